//! Bodies that are being read, and which of them give their memory back to others.

use {
    crate::view::lock,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Bytes after which a body counts as having made progress; single bytes of a slow sender do not.
const PROGRESS_BYTES: usize = 4 << 10;
/// Shortest time without progress after which a body gives its memory to others that wait for it.
/// A caller that waits for the interim response before it sends may need longer than a round trip.
const SHORTEST_STALL: Duration = Duration::from_secs(2);

/// A body that is being read.
#[derive(Debug)]
struct Reading {
    /// Memory that it has taken.
    size: usize,
    /// Bytes since it last made progress.
    fresh: usize,
    progressed_at: Instant,
    cut: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    readings: BTreeMap<u64, Reading>,
    next: u64,
}

/// The bodies that are being read.
#[derive(Clone, Debug, Default)]
pub(super) struct Readings(Arc<Mutex<State>>);

impl Readings {
    /// Adds a body.
    pub(super) fn enter(&self) -> Entry {
        let cut = Arc::new(Notify::new());
        let mut state = lock(&self.0);
        state.next += 1;
        let number = state.next;
        let reading = Reading {
            size: 0,
            fresh: 0,
            progressed_at: Instant::now(),
            cut: cut.clone(),
        };
        state.readings.insert(number, reading);
        drop(state);
        Entry {
            readings: self.clone(),
            number,
            cut,
        }
    }

    /// Ends those bodies that have stood still for longest, until they have this memory together.
    pub(super) fn cut_stalled(&self, bytes: usize) {
        let now = Instant::now();
        let mut state = lock(&self.0);
        let is_stalled = |reading: &Reading| {
            reading.size > 0 && now.duration_since(reading.progressed_at) >= SHORTEST_STALL
        };
        let stalled = state.readings.iter();
        let stalled = stalled.filter(|(_, reading)| is_stalled(reading));
        let mut stalled: Vec<_> = stalled
            .map(|(number, reading)| (reading.progressed_at, *number))
            .collect();
        stalled.sort_unstable();
        let mut left = bytes;
        for (_, number) in stalled {
            if left == 0 {
                return;
            }
            if let Some(reading) = state.readings.remove(&number) {
                reading.cut.notify_one();
                left = left.saturating_sub(reading.size);
            }
        }
    }
}

/// A body in the list of those that are being read, which it leaves when this is dropped.
#[derive(Debug)]
pub(super) struct Entry {
    readings: Readings,
    number: u64,
    cut: Arc<Notify>,
}

impl Entry {
    /// Waits until the body has to give its memory back.
    pub(super) async fn cut(&self) {
        self.cut.notified().await;
    }

    /// Records bytes that have arrived, and the memory that the body has.
    pub(super) fn record(&self, bytes: usize, size: usize) {
        let mut state = lock(&self.readings.0);
        let Some(reading) = state.readings.get_mut(&self.number) else {
            return;
        };
        reading.size = size;
        reading.fresh += bytes;
        if reading.fresh >= PROGRESS_BYTES {
            reading.fresh = 0;
            reading.progressed_at = Instant::now();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        lock(&self.readings.0).readings.remove(&self.number);
    }
}
