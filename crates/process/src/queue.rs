//! Bounded queue between the threads that log and the thread that writes the log.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Capacity of the queue, about 1 MB; further lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Writes lines on a thread of its own, so that a slow reader of the log does not block callers.
#[derive(Clone, Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the writer thread, which ends when all clones of the queue are dropped or a write
    /// fails.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = dropped.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write(output, &queued, &count))?;
        Ok(Self { lines, dropped })
    }

    /// Queues a line, or drops and counts it when the queue is full.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes queued lines until every sender is dropped or a write fails. A warning with the number of
/// lines dropped since the previous write precedes the next line.
fn write(mut output: impl Write, queued: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(line) = queued.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let notice = (lost > 0).then(|| {
            format!("{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lost}}}\n")
        });
        let text = format!("{}{line}\n", notice.unwrap_or_default());
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
