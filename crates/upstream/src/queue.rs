//! Places of the stand-in engine, given by priority class.

use {crate::server::StandIn, tokio::sync::watch};

/// Number of priority classes; higher numbers count as the last class.
pub(crate) const CLASSES: usize = 3;

/// Requests that run or wait for a place.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) running: u64,
    /// Waiting requests, first by class, then by arrival, with their prompt tokens.
    waiting: std::collections::BTreeMap<(usize, u64), u64>,
    arrivals: u64,
    changed: watch::Sender<()>,
}

impl Queue {
    /// Returns the number of waiting requests and their prompt tokens, by class.
    pub(crate) fn waiting(&self) -> ([u64; CLASSES], [u64; CLASSES]) {
        let (mut requests, mut tokens) = ([0; CLASSES], [0; CLASSES]);
        for ((class, _), prompt) in &self.waiting {
            requests[*class] += 1;
            tokens[*class] += prompt;
        }
        (requests, tokens)
    }

    fn enter(&mut self, class: usize, prompt: u64) -> (usize, u64) {
        self.arrivals += 1;
        let key = (class.min(CLASSES - 1), self.arrivals);
        self.waiting.insert(key, prompt);
        key
    }

    /// Gives the first in the queue a place when there is one.
    fn admit(&mut self, key: (usize, u64), places: Option<u64>) -> bool {
        let is_first = self.waiting.keys().next() == Some(&key);
        let is_admitted = is_first && places.is_none_or(|places| self.running < places);
        if is_admitted {
            self.waiting.remove(&key);
            self.running += 1;
            self.changed.send_replace(());
        }
        is_admitted
    }
}

/// A request that waits, or has a place once it is admitted.
pub(crate) struct Busy {
    stand_in: StandIn,
    key: (usize, u64),
    is_admitted: bool,
}

impl Busy {
    pub(crate) fn enter(stand_in: &StandIn, class: usize, prompt: u64) -> Self {
        Self {
            key: stand_in.queue(|queue| queue.enter(class, prompt)),
            stand_in: stand_in.clone(),
            is_admitted: false,
        }
    }

    /// Waits for a place.
    pub(crate) async fn admitted(&mut self) {
        let places = self.stand_in.settings().places;
        let mut changed = self.stand_in.queue(|queue| queue.changed.subscribe());
        while !self.stand_in.queue(|queue| queue.admit(self.key, places)) {
            // The sender is kept in the state.
            let _ = changed.changed().await;
        }
        self.is_admitted = true;
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.stand_in.queue(|queue| {
            match self.is_admitted {
                true => queue.running -= 1,
                false => drop(queue.waiting.remove(&self.key)),
            }
            queue.changed.send_replace(());
        });
    }
}
