//! Choice of an upstream for each request, within the limits of each upstream.

mod upstream;

#[cfg(test)]
mod tests;

use {
    crate::{
        Clock,
        control::{CacheEvent, Snapshot},
        running::{Running, Work},
    },
    marigoldroute_core::{
        config::Catalog,
        id::{HostId, ModelId, UpstreamId, Version},
        limit::{RetryBudget, RetrySettings},
        route::{
            CacheChange, CacheUpdate, Candidate, Choice, Load, Origin, Policy, PolicyName,
            Progress, Reason, Request, Settings, Ticket,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeSet, HashMap},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, futures::Notified},
    upstream::{RampMode, UpstreamState},
};

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Profile<'a> {
    /// Model or service.
    pub(crate) target: &'a ModelId,
    /// Estimated prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Output token limit.
    pub(crate) output_limit: u32,
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
    limits: HashMap<UpstreamId, UpstreamState>,
    /// Upstreams that are not in service by configuration.
    withdrawn: BTreeSet<UpstreamId>,
    /// Upstreams that are out because of their health.
    out: BTreeSet<UpstreamId>,
    /// End of the last slow start.
    started: Duration,
    retries: RetryBudget,
    running: Running,
}

/// Chooses upstreams.
pub(crate) struct Dispatcher {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a place at an upstream comes free.
    room: Notify,
}

/// A request on its way to or at an upstream; dropping it reports it as cancelled.
pub(crate) struct InFlight {
    dispatcher: Arc<Dispatcher>,
    work: Work,
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

impl Dispatcher {
    pub(crate) fn new(clock: Clock, origin: Origin, policy: PolicyName) -> Self {
        let state = State {
            policy: policy.policy(origin, Settings::default()),
            random: SmallRng::from_os_rng(),
            version: 0,
            hosts: Vec::new(),
            limits: HashMap::new(),
            withdrawn: BTreeSet::new(),
            out: BTreeSet::new(),
            started: Duration::ZERO,
            retries: RetryBudget::new(RetrySettings::default()),
            running: Running::default(),
        };
        Self {
            clock,
            state: Mutex::new(state),
            room: Notify::new(),
        }
    }

    /// Takes a new state; states are given in their order, before requests see them.
    pub(crate) fn apply(&self, snapshot: &Snapshot) {
        self.apply_at(self.clock.now(), snapshot);
    }

    fn apply_at(&self, now: Duration, snapshot: &Snapshot) {
        self.lock().follow(now, snapshot);
    }

    /// Chooses an upstream that is up, has room and was not tried.
    pub(crate) fn choose(
        self: &Arc<Self>,
        snapshot: &Snapshot,
        profile: Profile<'_>,
        tried: &[UpstreamId],
    ) -> Option<InFlight> {
        self.choose_at(self.clock.now(), snapshot, profile, tried)
    }

    fn choose_at(
        self: &Arc<Self>,
        now: Duration,
        snapshot: &Snapshot,
        profile: Profile<'_>,
        tried: &[UpstreamId],
    ) -> Option<InFlight> {
        let mut state = self.lock();
        let mut choice = state.choose(now, snapshot, profile, tried)?;
        let State {
            policy,
            limits,
            running,
            ..
        } = &mut *state;
        policy.report(now, &mut choice.ticket, Progress::Sent(profile.prefixes));
        let room = limits.entry(choice.upstream.clone()).or_default();
        room.last_used = Some(now);
        let has_place = room.limit.acquire(1.0);
        debug_assert!(has_place, "the choice was made under the same lock");
        let work = Work {
            upstream: choice.upstream,
            target: profile.target.clone(),
        };
        running.begin(&work);
        Some(InFlight {
            dispatcher: self.clone(),
            work,
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
    pub(crate) fn could_serve(
        &self,
        snapshot: &Snapshot,
        target: &str,
        tried: &[UpstreamId],
    ) -> bool {
        let state = self.lock();
        let mut candidates = snapshot.catalog.candidates(target);
        candidates.any(|(id, _)| {
            let is_usable = snapshot.takes(id, target);
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

    /// Returns the requests that run on upstreams which take no new work of their kind.
    pub(crate) fn count_withdrawn(&self, catalog: &Catalog) -> u64 {
        self.lock().running.count_withdrawn(catalog)
    }

    /// Takes a load report.
    pub(crate) fn load(&self, upstream: &UpstreamId, load: &Load) {
        let now = self.clock.now();
        self.lock().policy.record_load(now, upstream, load);
    }

    /// Takes cache events of an upstream, in their order.
    pub(crate) fn cache(&self, upstream: &UpstreamId, events: &[CacheEvent]) {
        self.cache_at(self.clock.now(), upstream, events);
    }

    fn cache_at(&self, now: Duration, upstream: &UpstreamId, events: &[CacheEvent]) {
        let mut state = self.lock();
        for event in events {
            let change = match event {
                CacheEvent { cleared: true, .. } => CacheChange::Cleared,
                CacheEvent { removed, .. } if !removed.is_empty() => CacheChange::Removed(removed),
                CacheEvent { stored, .. } => CacheChange::Stored(stored),
            };
            let sequence = event.sequence;
            state
                .policy
                .apply_cache_update(now, upstream, &CacheUpdate { sequence, change });
        }
        if let (Some(room), Some(last)) = (state.limits.get_mut(upstream), events.last()) {
            room.last_cache_sequence = last.sequence;
        }
    }

    /// Returns the sequence number of the last cache event of an upstream.
    pub(crate) fn sequence(&self, upstream: &UpstreamId) -> u64 {
        let state = self.lock();
        state
            .limits
            .get(upstream)
            .map_or(0, |room| room.last_cache_sequence)
    }

    /// Returns the upstreams that this host has sent requests to lately.
    pub(crate) fn used(&self) -> BTreeSet<UpstreamId> {
        let now = self.clock.now();
        let state = self.lock();
        let rooms = state.limits.iter().filter(|(_, room)| room.is_in_use(now));
        rooms.map(|(id, _)| id.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Chooses within the slow starts, or beyond them when nothing else is left.
    fn choose(
        &mut self,
        now: Duration,
        snapshot: &Snapshot,
        profile: Profile<'_>,
        tried: &[UpstreamId],
    ) -> Option<Choice> {
        let mut start = self.start(now);
        loop {
            let limits = &self.limits;
            let allows = |id: &UpstreamId| {
                let has_room = limits
                    .get(id)
                    .is_none_or(|room| room.has_capacity(now, start));
                // The request may have seen an older state than the policy.
                let is_known = snapshot.catalog.upstreams.contains_key(id);
                has_room && is_known && snapshot.takes(id, profile.target) && !tried.contains(id)
            };
            let request = Request {
                target: profile.target,
                prompt_tokens: profile.prompt_tokens,
                output_limit: profile.output_limit,
                prefixes: profile.prefixes,
                home: None,
                priority: profile.priority,
                allows: &allows,
            };
            let choice = self.policy.choose(now, &mut self.random, &request);
            if choice.is_some() || start == RampMode::Full {
                return choice;
            }
            start = RampMode::Full;
        }
    }

    /// Returns the bound on upstreams in their slow start.
    fn start(&self, now: Duration) -> RampMode {
        if now >= self.started {
            return RampMode::Full;
        }
        let full = self.limits.values().filter(|room| room.share(now) >= 1.0);
        let busiest = full.map(|room| room.limit.in_flight()).max();
        RampMode::Slow {
            busiest: busiest.unwrap_or_default(),
        }
    }

    /// Tells the policy about the hosts and about the upstreams of a new configuration.
    fn follow(&mut self, now: Duration, snapshot: &Snapshot) {
        if snapshot.hosts != self.hosts {
            self.hosts.clone_from(&snapshot.hosts);
            self.policy.set_hosts(&self.hosts);
        }
        let catalog = &snapshot.catalog;
        if catalog.version != self.version {
            self.apply(now, catalog);
        }
        if !snapshot.out.keys().eq(&self.out) {
            let out: BTreeSet<_> = snapshot.out.keys().cloned().collect();
            let before = std::mem::replace(&mut self.out, out);
            for id in before.iter().filter(|id| snapshot.is_up(id)) {
                self.begin(now, id);
            }
        }
    }

    fn apply(&mut self, now: Duration, catalog: &Catalog) {
        // What was there when the process started is not new to the fleet.
        let is_first = std::mem::replace(&mut self.version, catalog.version) == 0;
        let known: Vec<_> = self.limits.keys().cloned().collect();
        for id in known {
            if !catalog.upstreams.contains_key(&id) {
                self.limits.remove(&id);
                self.withdrawn.remove(&id);
                self.policy.withdraw(&id);
            }
        }
        for (id, upstream) in &catalog.upstreams {
            if !upstream.is_in_service() {
                self.policy.withdraw(id);
                self.withdrawn.insert(id.clone());
                continue;
            }
            let is_new = !self.limits.contains_key(id);
            self.limits.entry(id.clone()).or_default();
            if self.withdrawn.remove(id) || (is_new && !is_first) {
                self.begin(now, id);
            }
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

    /// Begins the slow start of an upstream.
    fn begin(&mut self, now: Duration, upstream: &UpstreamId) {
        if let Some(room) = self.limits.get_mut(upstream) {
            self.started = room.begin_slow_start(now);
        }
    }
}

impl InFlight {
    /// Returns the upstream.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.work.upstream
    }

    /// Notes the first token.
    pub(crate) fn first(&mut self) {
        let now = self.dispatcher.clock.now();
        self.first = Some(now.saturating_sub(self.started));
        let mut state = self.dispatcher.lock();
        state
            .policy
            .report(now, &mut self.ticket, Progress::FirstToken);
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
        let now = self.dispatcher.clock.now();
        let mut state = self.dispatcher.lock();
        state.running.end(&self.work);
        if let Some(UpstreamState { limit, .. }) = state.limits.get_mut(self.upstream()) {
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
        self.dispatcher.room.notify_waiters();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(Progress::Cancelled);
    }
}
