//! Choice of an upstream for each request, within the limits of each upstream.

use {
    crate::{clock::Clock, control::Scene},
    marigoldroute_core::{
        id::{HostId, UpstreamId, Version},
        limit::{Concurrency, ConcurrencySettings, RetryBudget, RetrySettings},
        route::{
            Candidate, Load, Name, Origin, Policy, Progress, Reason, Request, Settings, Ticket,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, futures::Notified},
};

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    /// Model or service.
    pub(crate) target: &'a str,
    /// Estimated prompt tokens.
    pub(crate) prompt: u32,
    /// Output token limit.
    pub(crate) output: u32,
    /// Hashes of the prompt's prefixes.
    pub(crate) prefixes: &'a [u64],
    /// Priority class.
    pub(crate) priority: u8,
}

struct State {
    policy: Box<dyn Policy>,
    random: SmallRng,
    /// Version of the configuration whose upstreams the policy knows.
    version: Version,
    /// Hosts between which the policy divides the candidates.
    hosts: Vec<HostId>,
    limits: HashMap<UpstreamId, Concurrency>,
    retries: RetryBudget,
}

/// Chooses upstreams.
pub(crate) struct Dispatch {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a place at an upstream comes free.
    room: Notify,
}

/// A request on its way to or at an upstream; dropping it reports it as cancelled.
pub(crate) struct Flight {
    dispatch: Arc<Dispatch>,
    pub(crate) upstream: UpstreamId,
    /// Candidates known and compared, and why this one was chosen.
    pub(crate) known: usize,
    pub(crate) considered: usize,
    pub(crate) reason: Reason,
    ticket: Ticket,
    started: Duration,
    /// Time until the first token.
    first: Option<Duration>,
    is_ended: bool,
}

impl Dispatch {
    pub(crate) fn new(clock: Clock, origin: Origin, policy: Name) -> Self {
        let state = State {
            policy: policy.policy(origin, Settings::default()),
            random: SmallRng::from_os_rng(),
            version: 0,
            hosts: Vec::new(),
            limits: HashMap::new(),
            retries: RetryBudget::new(RetrySettings::default()),
        };
        Self {
            clock,
            state: Mutex::new(state),
            room: Notify::new(),
        }
    }

    /// Chooses an upstream that is up, has room and was not tried.
    pub(crate) fn choose(
        self: &Arc<Self>,
        scene: &Scene,
        need: Need<'_>,
        tried: &[UpstreamId],
    ) -> Option<Flight> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.follow(now, scene);
        let State {
            policy,
            random,
            limits,
            ..
        } = &mut *state;
        let allows = |id: &UpstreamId| {
            let has_room = limits.get(id).is_none_or(|limit| limit.has_room(1.0));
            has_room && scene.is_up(id) && scene.holds(id, need.target) && !tried.contains(id)
        };
        let request = Request {
            target: need.target,
            prompt: need.prompt,
            output: need.output,
            prefixes: need.prefixes,
            priority: need.priority,
            allows: &allows,
        };
        let mut choice = policy.choose(now, random, &request)?;
        policy.report(now, &mut choice.ticket, Progress::Sent(need.prefixes));
        let limit = limits.entry(choice.upstream.clone());
        let limit = limit.or_insert_with(limit_of_new);
        let has_place = limit.acquire(1.0);
        debug_assert!(has_place, "the choice was made under the same lock");
        Some(Flight {
            dispatch: self.clone(),
            upstream: choice.upstream,
            known: choice.known,
            considered: choice.considered,
            reason: choice.reason,
            ticket: choice.ticket,
            started: now,
            first: None,
            is_ended: false,
        })
    }

    /// Returns a future that ends when a place comes free at any upstream after this call.
    pub(crate) fn freed(&self) -> Notified<'_> {
        self.room.notified()
    }

    /// Returns whether an upstream is up that could serve a request, with or without room.
    pub(crate) fn could_serve(&self, scene: &Scene, target: &str, tried: &[UpstreamId]) -> bool {
        let state = self.lock();
        let mut candidates = scene.catalog.candidates(target);
        candidates.any(|(id, _)| {
            let is_usable = scene.is_up(id) && scene.holds(id, target);
            is_usable && !tried.contains(id) && state.limits.contains_key(id)
        })
    }

    /// Counts a first attempt.
    pub(crate) fn count_request(&self) {
        self.lock().retries.deposit();
    }

    /// Returns whether another attempt is within the share of traffic that retries may have.
    pub(crate) fn allows_retry(&self) -> bool {
        self.lock().retries.withdraw()
    }

    /// Takes a load report.
    pub(crate) fn load(&self, upstream: &UpstreamId, load: &Load) {
        let now = self.clock.now();
        self.lock().policy.load(now, upstream, load);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells the policy about the hosts and about the upstreams of a new configuration.
    fn follow(&mut self, now: Duration, scene: &Scene) {
        if scene.hosts != self.hosts {
            self.hosts.clone_from(&scene.hosts);
            self.policy.hosts(&self.hosts);
        }
        let catalog = &scene.catalog;
        if catalog.version == self.version {
            return;
        }
        self.version = catalog.version;
        let known: Vec<_> = self.limits.keys().cloned().collect();
        for id in known {
            if !catalog.upstreams.contains_key(&id) {
                self.limits.remove(&id);
                self.policy.withdraw(&id);
            }
        }
        for (id, upstream) in &catalog.upstreams {
            if !upstream.is_in_service() {
                self.policy.withdraw(id);
                continue;
            }
            self.limits.entry(id.clone()).or_insert_with(limit_of_new);
            let candidate = Candidate {
                id: id.clone(),
                serves: upstream.serves.clone(),
                region: upstream.region.clone(),
                zone: upstream.zone.clone(),
            };
            if let Err(full) = self.policy.join(now, &candidate) {
                log::error!(upstream:% = id, full:%; "upstream left out");
            }
        }
    }
}

/// Returns the limit of an upstream that nothing is known of.
///
/// Long streams end rarely, so the limit adapts slowly; a low first value would hold back a burst
/// of streams for seconds.
fn limit_of_new() -> Concurrency {
    Concurrency::new(ConcurrencySettings {
        initial: 128,
        ..ConcurrencySettings::default()
    })
}

impl Flight {
    /// Notes the first token.
    pub(crate) fn first(&mut self) {
        let now = self.dispatch.clock.now();
        self.first = Some(now.saturating_sub(self.started));
        let mut state = self.dispatch.lock();
        state.policy.report(now, &mut self.ticket, Progress::First);
    }

    /// Notes a complete response.
    pub(crate) fn finish(mut self, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.end(Progress::Finished { tokens });
    }

    /// Notes that the upstream failed.
    pub(crate) fn fail(mut self) {
        self.end(Progress::Failed);
    }

    /// Notes that the upstream refused the request.
    pub(crate) fn refuse(mut self) {
        self.end(Progress::Refused { after: None });
    }

    fn end(&mut self, progress: Progress<'_>) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let now = self.dispatch.clock.now();
        let mut state = self.dispatch.lock();
        if let Some(limit) = state.limits.get_mut(&self.upstream) {
            match progress {
                Progress::Finished { .. } => {
                    let whole = now.saturating_sub(self.started);
                    limit.succeed(self.first.unwrap_or(whole));
                }
                Progress::Failed | Progress::Refused { .. } => limit.fail(),
                _ => limit.release(),
            }
        }
        state.policy.report(now, &mut self.ticket, progress);
        drop(state);
        // Every waiter looks again: the place may be of no use to the one that waits longest.
        self.dispatch.room.notify_waiters();
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(Progress::Cancelled);
    }
}
