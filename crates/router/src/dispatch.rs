//! Assigns requests to upstreams, within each upstream's concurrency limit and slow start, and
//! within the budget of retries.

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

/// What the choice of an upstream depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Profile<'a> {
    /// Model or service that the request names.
    pub(crate) target: &'a ModelId,
    /// Estimated prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Largest number of answer tokens.
    pub(crate) output_limit: u32,
    /// Hashes of the prompt's prefixes, see [`marigoldroute_core::route::prefix_hashes`].
    pub(crate) prefixes: &'a [u64],
    /// Priority class; 0 is served first.
    pub(crate) priority: u8,
}

struct State {
    policy: Box<dyn Policy>,
    random: SmallRng,
    /// Version of the configuration whose upstreams the policy knows.
    version: Version,
    /// Hosts between which the policy divides the candidates.
    hosts: Vec<HostId>,
    upstreams: HashMap<UpstreamId, UpstreamState>,
    /// Upstreams that are not in service by configuration.
    withdrawn: BTreeSet<UpstreamId>,
    /// Upstreams that get no new work because they fail or are leaving.
    unavailable: BTreeSet<UpstreamId>,
    /// Time at which the last slow start ends.
    slow_start_end: Duration,
    retries: RetryBudget,
    running: Running,
}

/// Assigns requests to upstreams and tracks those in flight.
pub(crate) struct Dispatcher {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a request in flight ends.
    capacity_freed: Notify,
}

/// A request that was assigned to an upstream and has not ended; dropping it reports it as
/// cancelled.
pub(crate) struct InFlight {
    dispatcher: Arc<Dispatcher>,
    work: Work,
    /// Candidates that the policy knows.
    pub(crate) known: usize,
    /// Candidates that the policy compared.
    pub(crate) considered: usize,
    /// Why the policy chose the upstream.
    pub(crate) reason: Reason,
    ticket: Ticket,
    started: Duration,
    /// Time from the assignment to the first token.
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
            upstreams: HashMap::new(),
            withdrawn: BTreeSet::new(),
            unavailable: BTreeSet::new(),
            slow_start_end: Duration::ZERO,
            retries: RetryBudget::new(RetrySettings::default()),
            running: Running::default(),
        };
        Self {
            clock,
            state: Mutex::new(state),
            capacity_freed: Notify::new(),
        }
    }

    /// Applies a new snapshot. Snapshots must be applied in their order, each before requests see
    /// it.
    pub(crate) fn update(&self, snapshot: &Snapshot) {
        self.update_at(self.clock.now(), snapshot);
    }

    fn update_at(&self, now: Duration, snapshot: &Snapshot) {
        self.lock().update(now, snapshot);
    }

    /// Assigns a request to an upstream that accepts it, has free capacity and is not in `tried`.
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
            upstreams,
            running,
            ..
        } = &mut *state;
        policy.report(now, &mut choice.ticket, Progress::Sent(profile.prefixes));
        let upstream_state = upstreams.entry(choice.upstream.clone()).or_default();
        upstream_state.last_used = Some(now);
        let is_acquired = upstream_state.limit.acquire(1.0);
        debug_assert!(is_acquired, "the choice was made under the same lock");
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

    /// Returns a future that completes when a request ends at any upstream after this call.
    pub(crate) fn capacity_freed(&self) -> Notified<'_> {
        self.capacity_freed.notified()
    }

    /// Returns whether any upstream outside `tried` accepts work for `target`, even if it is at its
    /// concurrency limit.
    pub(crate) fn could_serve(
        &self,
        snapshot: &Snapshot,
        target: &str,
        tried: &[UpstreamId],
    ) -> bool {
        let state = self.lock();
        let mut candidates = snapshot.catalog.candidates(target);
        candidates.any(|(id, _)| {
            let is_usable = snapshot.accepts_work(id, target);
            is_usable && !tried.contains(id) && state.upstreams.contains_key(id)
        })
    }

    /// Records a first attempt in the retry budget.
    pub(crate) fn record_request(&self) {
        self.lock().retries.deposit();
    }

    /// Takes a retry from the retry budget; returns `false` when none is left.
    pub(crate) fn acquire_retry(&self) -> bool {
        self.lock().retries.withdraw()
    }

    /// Returns the number of requests in flight at upstreams that are withdrawn for their target.
    pub(crate) fn count_withdrawn(&self, catalog: &Catalog) -> u64 {
        self.lock().running.count_withdrawn(catalog)
    }

    /// Passes a load report to the policy.
    pub(crate) fn record_load(&self, upstream: &UpstreamId, load: &Load) {
        let now = self.clock.now();
        self.lock().policy.record_load(now, upstream, load);
    }

    /// Applies prefix cache events of an upstream, which must be in the order of their sequence
    /// numbers.
    pub(crate) fn apply_cache_events(&self, upstream: &UpstreamId, events: &[CacheEvent]) {
        self.apply_cache_events_at(self.clock.now(), upstream, events);
    }

    fn apply_cache_events_at(&self, now: Duration, upstream: &UpstreamId, events: &[CacheEvent]) {
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
        if let (Some(upstream_state), Some(last)) =
            (state.upstreams.get_mut(upstream), events.last())
        {
            upstream_state.last_cache_sequence = last.sequence;
        }
    }

    /// Returns the sequence number of the last cache event applied for an upstream; 0 if there was
    /// none.
    pub(crate) fn last_cache_sequence(&self, upstream: &UpstreamId) -> u64 {
        let state = self.lock();
        state
            .upstreams
            .get(upstream)
            .map_or(0, |upstream_state| upstream_state.last_cache_sequence)
    }

    /// Returns the upstreams that this host has sent a request to within the last 60 s.
    pub(crate) fn recently_used(&self) -> BTreeSet<UpstreamId> {
        let now = self.clock.now();
        let state = self.lock();
        let in_use = state
            .upstreams
            .iter()
            .filter(|(_, upstream_state)| upstream_state.is_in_use(now));
        in_use.map(|(id, _)| id.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Chooses within the bounds of slow starts; ignores those bounds when no upstream is within
    /// them.
    fn choose(
        &mut self,
        now: Duration,
        snapshot: &Snapshot,
        profile: Profile<'_>,
        tried: &[UpstreamId],
    ) -> Option<Choice> {
        let mut ramp_mode = self.ramp_mode(now);
        loop {
            let upstreams = &self.upstreams;
            let allows = |id: &UpstreamId| {
                let has_capacity = upstreams
                    .get(id)
                    .is_none_or(|upstream_state| upstream_state.has_capacity(now, ramp_mode));
                // The request may hold an older snapshot than the policy.
                let is_known = snapshot.catalog.upstreams.contains_key(id);
                has_capacity
                    && is_known
                    && snapshot.accepts_work(id, profile.target)
                    && !tried.contains(id)
            };
            let request = Request {
                target: profile.target,
                prompt_tokens: profile.prompt_tokens,
                output_limit: profile.output_limit,
                prefixes: profile.prefixes,
                shared_prefix: None,
                zone: None,
                priority: profile.priority,
                allows: &allows,
            };
            let choice = self.policy.choose(now, &mut self.random, &request);
            if choice.is_some() || ramp_mode == RampMode::Full {
                return choice;
            }
            ramp_mode = RampMode::Full;
        }
    }

    /// Returns the bound that applies to upstreams in their slow start.
    fn ramp_mode(&self, now: Duration) -> RampMode {
        if now >= self.slow_start_end {
            return RampMode::Full;
        }
        let full = self
            .upstreams
            .values()
            .filter(|upstream_state| upstream_state.share(now) >= 1.0);
        let busiest = full
            .map(|upstream_state| upstream_state.limit.in_flight())
            .max();
        RampMode::Slow {
            busiest: busiest.unwrap_or_default(),
        }
    }

    /// Applies a snapshot: passes hosts and upstreams to the policy and begins the slow start of
    /// upstreams that recovered.
    fn update(&mut self, now: Duration, snapshot: &Snapshot) {
        if snapshot.hosts != self.hosts {
            self.hosts.clone_from(&snapshot.hosts);
            self.policy.set_hosts(&self.hosts);
        }
        let catalog = &snapshot.catalog;
        if catalog.version != self.version {
            self.update_catalog(now, catalog);
        }
        if !snapshot.unavailable.keys().eq(&self.unavailable) {
            let unavailable: BTreeSet<_> = snapshot.unavailable.keys().cloned().collect();
            let before = std::mem::replace(&mut self.unavailable, unavailable);
            for id in before.iter().filter(|id| snapshot.is_up(id)) {
                self.begin_slow_start(now, id);
            }
        }
    }

    fn update_catalog(&mut self, now: Duration, catalog: &Catalog) {
        // The upstreams of the first configuration that a process sees are not new to the fleet.
        let is_first = std::mem::replace(&mut self.version, catalog.version) == 0;
        let known: Vec<_> = self.upstreams.keys().cloned().collect();
        for id in known {
            if !catalog.upstreams.contains_key(&id) {
                self.upstreams.remove(&id);
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
            let is_new = !self.upstreams.contains_key(id);
            self.upstreams.entry(id.clone()).or_default();
            if self.withdrawn.remove(id) || (is_new && !is_first) {
                self.begin_slow_start(now, id);
            }
            let candidate = Candidate {
                id: id.clone(),
                serves: upstream.serves.clone(),
                region: upstream.region.clone(),
                zone: upstream.zone.clone(),
            };
            if let Err(full) = self.policy.join(now, &candidate) {
                log::error!(upstream:% = id, full:%; "upstream not added to the routing policy");
            }
        }
    }

    /// Begins the slow start of an upstream that has come into service or recovered.
    fn begin_slow_start(&mut self, now: Duration, upstream: &UpstreamId) {
        if let Some(upstream_state) = self.upstreams.get_mut(upstream) {
            self.slow_start_end = upstream_state.begin_slow_start(now);
        }
    }
}

impl InFlight {
    /// Returns the upstream that the request was assigned to.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.work.upstream
    }

    /// Records that the first token arrived.
    pub(crate) fn record_first_token(&mut self) {
        let now = self.dispatcher.clock.now();
        self.first = Some(now.saturating_sub(self.started));
        let mut state = self.dispatcher.lock();
        state
            .policy
            .report(now, &mut self.ticket, Progress::FirstToken);
    }

    /// Records a complete response with its number of tokens.
    pub(crate) fn finish(mut self, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.end(Progress::Finished { tokens });
    }

    /// Records that the upstream failed.
    pub(crate) fn fail(mut self) {
        self.end(Progress::Failed);
    }

    /// Records that the upstream refused the request.
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
        if let Some(UpstreamState { limit, .. }) = state.upstreams.get_mut(self.upstream()) {
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
        // Wakes every waiter: the one that waits longest may be unable to use this upstream.
        self.dispatcher.capacity_freed.notify_waiters();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(Progress::Cancelled);
    }
}
