//! Tests the rate limit of log lines and the log writer.

use std::io::Write;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use gateway::LogLimiter;
use gateway::LogWriter;

/// Guards against a log that grows with the load, and against skipped lines that are not counted.
#[test]
fn lines_are_limited_and_skipped_ones_counted() {
    let mut limiter = LogLimiter::default();
    let now = Instant::now();
    let written = (0..1_000)
        .filter(|_| limiter.allow("a", now).is_some())
        .count();
    assert_eq!(written, 20);
    assert_eq!(limiter.allow("b", now), Some(0));
    assert_eq!(limiter.allow("a", now + Duration::from_secs(1)), Some(980));
    assert_eq!(limiter.allow("a", now + Duration::from_secs(1)), Some(0));
}

/// Output whose writes block until the sender of its channel is dropped.
struct BlockedOutput(std::sync::mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks because nothing reads its log.
#[test]
fn blocked_output_does_not_block_writer() {
    let (release, blocked) = channel();
    let (mut writer, _flusher) = LogWriter::start(BlockedOutput(blocked)).unwrap();
    for _ in 0..10_000 {
        writer.write_all(b"line\n").unwrap();
    }
    drop(release);
}

/// Output that sends what is written to it.
struct SentOutput(std::sync::mpsc::Sender<Vec<u8>>);

impl Write for SentOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against names of other writers that forge lines of the log or fill it.
#[test]
fn name_in_a_line_forges_no_other_line() {
    let (sender, lines) = channel();
    let (mut writer, _flusher) = LogWriter::start(SentOutput(sender)).unwrap();
    writer
        .write_all("servers: removed name=é\r\nforged\n".as_bytes())
        .unwrap();
    let line = lines.recv().unwrap();
    assert_eq!(line, "servers: removed name=é\\r\\nforged\n".as_bytes());
    writer.write_all(&[b'x'; 1 << 20]).unwrap();
    assert!(lines.recv().unwrap().len() < 5_000);
}
