//! Log lines: bounded in number, and written without blocking the tasks that log.

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

/// Lines of one kind in a period; the rest are counted.
const LINES: u32 = 20;

/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Lines that wait to be written; when a reader is slower than that, lines are dropped.
const QUEUE: usize = 512;

/// Pause between two looks at the lines that are left.
const DRAIN_POLL: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct KindCount {
    began: Instant,
    lines: u32,
    skipped: u64,
}

/// Limits the log lines of each kind, so that an overload isn't made worse by its own log.
#[derive(Debug, Default)]
pub struct LogLimiter {
    kinds: HashMap<&'static str, KindCount>,
}

impl LogLimiter {
    /// Tells whether a line may be written now, and how many of its kind were skipped since the last one.
    pub fn allow(&mut self, kind: &'static str, now: Instant) -> Option<u64> {
        let state = self.kinds.entry(kind).or_insert(KindCount {
            began: now,
            lines: 0,
            skipped: 0,
        });
        if now.saturating_duration_since(state.began) >= PERIOD {
            state.began = now;
            state.lines = 0;
        }
        if state.lines >= LINES {
            state.skipped += 1;
            return None;
        }
        state.lines += 1;
        Some(std::mem::take(&mut state.skipped))
    }
}

/// Writes lines in a thread of its own, and drops them when its reader is too slow.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

/// Waits for the lines of a [`LogWriter`], at the end of a process.
#[derive(Debug)]
pub struct LogFlusher {
    queued: Arc<AtomicUsize>,
}

impl LogFlusher {
    /// Waits until every line is written, but no longer than `time`.
    pub fn wait(&self, time: Duration) {
        let end = Instant::now() + time;
        while self.queued.load(Ordering::Acquire) > 0 && Instant::now() < end {
            std::thread::sleep(DRAIN_POLL);
        }
    }
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns why the system gave no thread.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<(LogWriter, LogFlusher)> {
        let (lines, queue) = sync_channel::<Vec<u8>>(QUEUE);
        let queued = Arc::new(AtomicUsize::new(0));
        let written = Arc::clone(&queued);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                while let Ok(line) = queue.recv() {
                    // Nobody is left to tell when the output is closed.
                    let _ = output.write_all(&line).and_then(|()| output.flush());
                    written.fetch_sub(1, Ordering::Release);
                }
            })?;
        let drain = LogFlusher {
            queued: Arc::clone(&queued),
        };
        Ok((LogWriter { lines, queued }, drain))
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.queued.fetch_add(1, Ordering::Acquire);
        match self.lines.try_send(bytes.to_vec()) {
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
