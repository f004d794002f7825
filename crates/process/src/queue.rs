//! Bounded queue between the process and the writer of its log.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Lines that wait for the writer, about 1 MB; further lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Writes lines from its own thread, so that a reader that does not keep up delays nobody.
#[derive(Clone, Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread.
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

    /// Queues a line, or drops it when the queue is full.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes until every sender is gone or the output is closed.
fn write(mut output: impl Write, queued: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(line) = queued.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let note = (lost > 0).then(|| {
            format!("{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lost}}}\n")
        });
        let text = format!("{}{line}\n", note.unwrap_or_default());
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
