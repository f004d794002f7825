//! What was sent, answered and run.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.now(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &str) -> std::io::Result<()> {
        let text = self.lines.lock().unwrap().join("\n");
        std::fs::write(path, text + "\n")
    }
}
