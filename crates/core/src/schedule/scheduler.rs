//! State of a host that chooses engines for the requests of all hosts.

use {
    super::Scope,
    crate::{
        id::UpstreamId,
        route::{
            self, Adaptive, Candidate, Choice, Full, Load, Origin, Policy, Progress, Reason,
            Request, Ticket,
        },
    },
    rand::RngCore,
    std::{
        collections::{HashMap, hash_map::Entry},
        time::Duration,
    },
};

/// Identifies an attempt: the hash of the process that makes it, and a number that is unique there.
pub type Key = (u64, u64);

/// Time between two looks for attempts whose end was never reported.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the end of an attempt is remembered: a question about it may be repeated or arrive
/// late, and would open an attempt that nobody ends.
const ENDED_TIME: Duration = Duration::from_secs(2);
/// Time for which the failure of an engine is remembered, longer than attempts last.
const FAILED_TIME: Duration = Duration::from_secs(120);

/// Settings of a [`Scheduler`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Settings of the choice. A scheduler compares all engines and needs no homes of prefixes.
    pub routing: route::Settings,
    /// Fleets and services that are scheduled.
    pub scope: Scope,
    /// Largest number of attempts that are kept; hosts choose for themselves beyond it.
    pub attempt_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            routing: route::Settings {
                subset: 1_024,
                sample: 1_024,
                has_homes: false,
                outside_factor: 1.0,
                jitter: 0.0,
                // A prefix of 13,000 tokens takes 52 hints, and a fleet uses some thousand of them.
                hint_limit: 1 << 18,
                hint_half_life: Duration::from_secs(30),
                learning_rate: 0.1,
                ..route::Settings::default()
            },
            scope: Scope::default(),
            attempt_limit: 1 << 16,
        }
    }
}

/// A question for an engine.
pub struct Question<'a> {
    /// The request, with the engines that it allows.
    pub request: Request<'a>,
    /// Time after which the attempt has ended, also when nobody reports it.
    pub expires_at: Duration,
}

/// What a host reports about an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome<'a> {
    /// Progress of the attempt; never [`Progress::Sent`].
    pub progress: Progress<'a>,
    /// Time since the attempt was sent, measured by the host that sent it.
    pub elapsed: Duration,
    /// Load that the engine stated with the response.
    pub load: Option<Load>,
}

/// The engine for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// Number of engines that were compared.
    pub considered: usize,
    /// Why it was selected.
    pub reason: Reason,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct Attempt {
    selection: Selection,
    ticket: Ticket,
    /// Time from the sending to the last report, by the clock of the host that reports.
    reported: Duration,
    sent_at: Duration,
    expires_at: Duration,
}

/// Chooses engines for the requests of all hosts.
#[derive(Debug)]
pub struct Scheduler {
    policy: Adaptive,
    attempts: HashMap<Key, Attempt>,
    /// When attempts ended; at most `attempt_limit`.
    ended: HashMap<Key, Duration>,
    attempt_limit: usize,
    /// When the last failure of an engine was reported. Attempts that were sent before it failed
    /// with the same event, which counts once.
    failed_at: HashMap<UpstreamId, Duration>,
    sweep_at: Duration,
}

impl Scheduler {
    /// Creates a scheduler without engines.
    pub fn new(origin: Origin, settings: Settings) -> Self {
        Self {
            policy: Adaptive::new(origin, settings.routing),
            attempts: HashMap::new(),
            ended: HashMap::new(),
            attempt_limit: settings.attempt_limit,
            failed_at: HashMap::new(),
            sweep_at: Duration::ZERO,
        }
    }

    /// Adds an engine, or replaces the one with the same id if it changed.
    ///
    /// # Errors
    /// [`Full`] when the maximum number of engines is reached.
    pub fn join(&mut self, now: Duration, candidate: &Candidate) -> Result<(), Full> {
        self.policy.join(now, candidate)
    }

    /// Removes an engine.
    pub fn withdraw(&mut self, upstream: &UpstreamId) {
        self.policy.withdraw(upstream);
        self.failed_at.remove(upstream);
    }

    /// Forgets what an engine has cached, since its process has started anew.
    pub fn clear_cache(&mut self, now: Duration, upstream: &str) {
        let update = route::CacheUpdate {
            sequence: 0,
            change: route::CacheChange::Cleared,
        };
        self.policy.apply_cache_update(now, upstream, &update);
    }

    /// Returns the number of attempts that have not ended.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Chooses an engine for an attempt, which counts as sent from now on. Returns `None` when no
    /// known engine is allowed, or too many attempts are open.
    pub fn choose(
        &mut self,
        now: Duration,
        random: &mut dyn RngCore,
        key: Key,
        question: &Question<'_>,
    ) -> Option<Selection> {
        self.sweep(now);
        if self.ended.contains_key(&key) {
            return None;
        }
        let is_full = self.attempts.len() >= self.attempt_limit;
        let entry = match self.attempts.entry(key) {
            // The question was repeated.
            Entry::Occupied(entry) => return Some(entry.get().selection.clone()),
            Entry::Vacant(_) if is_full => return None,
            Entry::Vacant(entry) => entry,
        };
        let choice = self.policy.choose(now, random, &question.request)?;
        let Choice {
            upstream,
            considered,
            reason,
            mut ticket,
            ..
        } = choice;
        let sent = Progress::Sent(question.request.prefixes);
        self.policy.report(now, &mut ticket, sent);
        let selection = Selection {
            upstream,
            considered,
            reason,
        };
        entry.insert(Attempt {
            selection: selection.clone(),
            ticket,
            reported: Duration::ZERO,
            sent_at: now,
            expires_at: question.expires_at,
        });
        Some(selection)
    }

    /// Returns what [`Self::choose`] would choose for a request now.
    pub fn preview(
        &mut self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &Request<'_>,
    ) -> Option<Selection> {
        let choice = self.policy.choose(now, random, request)?;
        Some(Selection {
            upstream: choice.upstream,
            considered: choice.considered,
            reason: choice.reason,
        })
    }

    /// Applies what a host reports about an attempt. An end that arrives before its question is
    /// remembered, other reports on unknown attempts are ignored.
    pub fn report(&mut self, now: Duration, key: Key, outcome: &Outcome<'_>) {
        self.sweep(now);
        let is_end = outcome.progress != Progress::FirstToken;
        if is_end && self.ended.len() < self.attempt_limit {
            self.ended.insert(key, now);
        }
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let upstream = attempt.selection.upstream.clone();
        let progress = match outcome.progress {
            Progress::Failed if self.failed_at.get(&upstream) >= Some(&attempt.sent_at) => {
                Progress::Cancelled
            }
            progress => progress,
        };
        // Reports are collected and travel, so the times between them are those of their host.
        let since = outcome.elapsed.saturating_sub(attempt.reported);
        attempt.ticket.set_updated_at(now.saturating_sub(since));
        attempt.reported = outcome.elapsed;
        self.policy.report(now, &mut attempt.ticket, progress);
        if progress == Progress::Failed {
            self.failed_at.insert(upstream.clone(), now);
        }
        if is_end {
            self.attempts.remove(&key);
        }
        if let Some(load) = &outcome.load {
            self.policy.record_load(now, &upstream, load);
        }
    }

    /// Ends attempts whose end was never reported, as when their host has ended.
    fn sweep(&mut self, now: Duration) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP_INTERVAL;
        self.ended
            .retain(|_, at| now.saturating_sub(*at) < ENDED_TIME);
        self.failed_at
            .retain(|_, at| now.saturating_sub(*at) < FAILED_TIME);
        let expired = self
            .attempts
            .extract_if(|_, attempt| now >= attempt.expires_at);
        for (_, mut attempt) in expired {
            self.policy
                .report(now, &mut attempt.ticket, Progress::Cancelled);
        }
    }
}
