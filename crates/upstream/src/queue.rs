//! Admission queue of the stand-in engine, which gives execution slots by priority class.

use {crate::server::StandIn, tokio::sync::watch};

/// Number of priority classes; higher class numbers count as the last class.
pub(crate) const PRIORITY_CLASSES: usize = 3;

/// Requests that run or wait for an execution slot.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Number of requests that have a slot.
    pub(crate) running: u64,
    /// Prompt tokens of each waiting request, by class and arrival number.
    waiting: std::collections::BTreeMap<(usize, u64), u64>,
    /// Arrival number of the last request.
    arrivals: u64,
    /// Notifies waiting requests of a change in the queue.
    changed: watch::Sender<()>,
}

impl Queue {
    /// Returns the number of waiting requests and their prompt tokens, by class.
    pub(crate) fn waiting(&self) -> ([u64; PRIORITY_CLASSES], [u64; PRIORITY_CLASSES]) {
        let (mut requests, mut tokens) = ([0; PRIORITY_CLASSES], [0; PRIORITY_CLASSES]);
        for ((class, _), prompt_tokens) in &self.waiting {
            requests[*class] += 1;
            tokens[*class] += prompt_tokens;
        }
        (requests, tokens)
    }

    fn push(&mut self, class: usize, prompt_tokens: u64) -> (usize, u64) {
        self.arrivals += 1;
        let key = (class.min(PRIORITY_CLASSES - 1), self.arrivals);
        self.waiting.insert(key, prompt_tokens);
        key
    }

    /// Admits a request when it is first in the queue and a slot is free; returns whether it was
    /// admitted.
    fn try_admit(&mut self, key: (usize, u64), slots: Option<u64>) -> bool {
        let is_first = self.waiting.keys().next() == Some(&key);
        let is_admitted = is_first && slots.is_none_or(|slots| self.running < slots);
        if is_admitted {
            self.waiting.remove(&key);
            self.running += 1;
            self.changed.send_replace(());
        }
        is_admitted
    }
}

/// A queued or admitted request; dropping it leaves the queue or frees the slot.
pub(crate) struct Admission {
    stand_in: StandIn,
    key: (usize, u64),
    is_admitted: bool,
}

impl Admission {
    /// Appends a request to the queue of its class.
    pub(crate) fn enqueue(stand_in: &StandIn, class: usize, prompt_tokens: u64) -> Self {
        Self {
            key: stand_in.queue(|queue| queue.push(class, prompt_tokens)),
            stand_in: stand_in.clone(),
            is_admitted: false,
        }
    }

    /// Waits until the request has a slot.
    pub(crate) async fn admitted(&mut self) {
        let slots = self.stand_in.settings().places;
        let mut changed = self.stand_in.queue(|queue| queue.changed.subscribe());
        while !self
            .stand_in
            .queue(|queue| queue.try_admit(self.key, slots))
        {
            // An error is impossible: the stand-in's state owns the sender.
            let _ = changed.changed().await;
        }
        self.is_admitted = true;
    }
}

impl Drop for Admission {
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
