//! Limits the rate of log lines, and writes them without blocking the tasks that log.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// Most lines of one kind in a [`PERIOD`]; the rest are skipped and counted.
const MAX_LINES: u32 = 20;

/// Length of the period of the rate limit.
const PERIOD: Duration = Duration::from_secs(1);

/// Most lines that wait to be written; further lines are dropped.
const MAX_QUEUED_LINES: usize = 512;

/// Longest line; the rest of a longer one is dropped, since the names of others may have any length.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Interval at which [`LogFlusher::wait`] checks for queued lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct KindCount {
    period_start: Instant,
    /// Lines allowed in the current period.
    lines: u32,
    /// Lines skipped since the last allowed one.
    skipped: u64,
}

/// Limits the rate of log lines of each kind, so that logging doesn't make an overload worse.
#[derive(Debug, Default)]
pub struct LogLimiter {
    kinds: HashMap<&'static str, KindCount>,
}

impl LogLimiter {
    /// Returns how many lines of a kind were skipped since the last one, or `None` if this one is to be skipped too.
    pub fn allow(&mut self, kind: &'static str, now: Instant) -> Option<u64> {
        let count = self.kinds.entry(kind).or_insert(KindCount {
            period_start: now,
            lines: 0,
            skipped: 0,
        });
        if now.saturating_duration_since(count.period_start) >= PERIOD {
            count.period_start = now;
            count.lines = 0;
        }
        if count.lines >= MAX_LINES {
            count.skipped += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.skipped))
    }
}

/// Writes log lines from a thread of its own, and drops lines while its queue is full.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

/// Waits until a [`LogWriter`] has written its queue, before the process ends.
#[derive(Debug)]
pub struct LogFlusher {
    queued: Arc<AtomicUsize>,
}

impl LogFlusher {
    /// Waits until every queued line is written, but no longer than `timeout`.
    pub fn wait(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        while self.queued.load(Ordering::Acquire) > 0 && Instant::now() < end {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if it can't create a thread.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<(LogWriter, LogFlusher)> {
        let (lines, queue) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        let queued = Arc::new(AtomicUsize::new(0));
        let written = Arc::clone(&queued);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                while let Ok(line) = queue.recv() {
                    // A failure to write the log can't be logged.
                    let _ = output.write_all(&line).and_then(|()| output.flush());
                    written.fetch_sub(1, Ordering::Release);
                }
            })?;
        let flusher = LogFlusher {
            queued: Arc::clone(&queued),
        };
        Ok((LogWriter { lines, queued }, flusher))
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.queued.fetch_add(1, Ordering::Acquire);
        match self.lines.try_send(escape_line(bytes)) {
            Ok(()) => Ok(bytes.len()),
            Err(error) => {
                self.queued.fetch_sub(1, Ordering::Release);
                match error {
                    TrySendError::Full(_) => Ok(bytes.len()),
                    TrySendError::Disconnected(_) => Err(io::ErrorKind::BrokenPipe.into()),
                }
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Escapes control characters, so that a line stays one line whatever the names in it hold, and bounds its length.
fn escape_line(line: &[u8]) -> Vec<u8> {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let line = &line[..line.len().min(MAX_LINE_BYTES)];
    let mut escaped = Vec::with_capacity(line.len() + 1);
    for byte in line {
        match byte.is_ascii_control() {
            true => escaped.extend(byte.escape_ascii()),
            false => escaped.push(*byte),
        }
    }
    escaped.push(b'\n');
    escaped
}
