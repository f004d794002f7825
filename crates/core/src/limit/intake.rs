//! What upstreams can take within the objective of a request, by the load that they state.

use std::{collections::VecDeque, time::Duration};

/// Weight of a new request in the average time that requests take.
const TIME_WEIGHT: f64 = 0.1;

/// Settings of an [`Intake`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Statements without room that are needed before requests are held back; fewer tell nothing
    /// about upstreams that were silent.
    pub evidence: usize,
}

impl Default for Settings {
    /// When one in five upstreams has room, 16 statements without room in a row have a chance of 3%.
    fn default() -> Self {
        Self { evidence: 16 }
    }
}

/// A load that an upstream stated.
#[derive(Clone, Copy, Debug)]
struct Statement {
    at: Duration,
    /// Expected wait of a new request there.
    wait: Duration,
}

/// Decides whether the upstreams of a service have room, for one of many hosts.
///
/// A host does not know the requests of the others and hears from each upstream rarely. Requests are
/// held back only while all recent statements agree that a new request waits for longer than its
/// objective, and no longer than the upstream that spoke first has work for. Without statements,
/// requests are sent: upstreams have queues of their own, ordered by urgency.
#[derive(Clone, Debug)]
pub struct Intake {
    settings: Settings,
    /// Average time from the sending of a request to its end, in seconds; 0 before it is measured.
    time: f64,
    /// The last statements, at most `evidence`, the oldest first.
    statements: VecDeque<Statement>,
    /// Least urgent class that was seen.
    last_class: u8,
}

impl Intake {
    /// Creates the state of a service that nothing is known of.
    pub fn new(settings: Settings) -> Self {
        Self {
            time: 0.0,
            statements: VecDeque::with_capacity(settings.evidence),
            last_class: 0,
            settings,
        }
    }

    /// Records the time from the sending of a request to its end.
    pub fn record_end(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        match self.time > 0.0 {
            true => self.time += TIME_WEIGHT * (time - self.time),
            false => self.time = time,
        }
    }

    /// Records the requests that run and wait at an upstream. By Little's law, as many end there per
    /// second as are there, divided by the time that each one takes.
    pub fn record_load(&mut self, now: Duration, running: u32, waiting: u32) {
        let all = f64::from(running) + f64::from(waiting);
        let wait = f64::from(waiting) * self.time / all.max(1.0);
        while self.statements.len() >= self.settings.evidence.max(1) {
            self.statements.pop_front();
        }
        self.statements.push_back(Statement {
            at: now,
            wait: Duration::from_secs_f64(wait),
        });
    }

    /// Returns when a request with this objective may be sent; `None` if it may be now. Only the least
    /// urgent class that was seen is ever held back: statements count the waiting requests of all
    /// classes, and upstreams let the other classes overtake them.
    pub fn opens_at(&mut self, now: Duration, class: u8, objective: Duration) -> Option<Duration> {
        self.last_class = self.last_class.max(class);
        if class < self.last_class || self.statements.len() < self.settings.evidence.max(1) {
            return None;
        }
        let is_full = |statement: &Statement| statement.wait > objective;
        let oldest = self.statements.front()?;
        // That upstream has work until then at least.
        let until = oldest.at.saturating_add(objective);
        (until > now && self.statements.iter().all(is_full)).then_some(until)
    }
}
