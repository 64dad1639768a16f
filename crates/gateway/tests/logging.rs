//! The bound of log lines.

use std::io::Write;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use gateway::LogLimiter;
use gateway::LogWriter;

/// Guards against a log that grows with the load, and against lines that are left out without a word.
#[test]
fn lines_are_bounded_and_skipped_ones_counted() {
    let mut budget = LogLimiter::default();
    let now = Instant::now();
    let written = (0..1_000)
        .filter(|_| budget.allow("a", now).is_some())
        .count();
    assert_eq!(written, 20);
    assert_eq!(budget.allow("b", now), Some(0));
    assert_eq!(budget.allow("a", now + Duration::from_secs(1)), Some(980));
    assert_eq!(budget.allow("a", now + Duration::from_secs(1)), Some(0));
}

struct Stuck(std::sync::mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a reader of the log that stands still and stops the process with it.
#[test]
fn stuck_reader_doesn_t_block() {
    let (release, stuck) = channel();
    let (mut writer, _drain) = LogWriter::start(Stuck(stuck)).unwrap();
    for _ in 0..10_000 {
        writer.write_all(b"line\n").unwrap();
    }
    drop(release);
}
