//! Log lines: bounded in number, and written without blocking the tasks that log.

use std::collections::HashMap;
use std::io;
use std::io::Write;
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

#[derive(Debug)]
struct Kind {
    began: Instant,
    lines: u32,
    skipped: u64,
}

/// Bounds the log lines of each kind, so that an overload isn't made worse by its own log.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: HashMap<&'static str, Kind>,
}

impl LineBudget {
    /// Tells whether a line may be written now, and how many of its kind were skipped since the last one.
    pub fn allow(&mut self, kind: &'static str, now: Instant) -> Option<u64> {
        let state = self.kinds.entry(kind).or_insert(Kind {
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
pub struct LineWriter {
    lines: SyncSender<Vec<u8>>,
}

impl LineWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns why the system gave no thread.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<LineWriter> {
        let (lines, queue) = sync_channel::<Vec<u8>>(QUEUE);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                while let Ok(line) = queue.recv() {
                    // Nobody is left to tell when the output is closed.
                    let _ = output.write_all(&line).and_then(|()| output.flush());
                }
            })?;
        Ok(LineWriter { lines })
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(bytes.to_vec()) {
            Ok(()) | Err(TrySendError::Full(_)) => Ok(bytes.len()),
            Err(TrySendError::Disconnected(_)) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
