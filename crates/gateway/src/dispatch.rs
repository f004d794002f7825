//! Choice of upstreams, with the requests in flight and the retries of this host.

use {
    crate::{
        Clock,
        profile::Profile,
        protocol::{Load, RequestHead},
        view::lock,
    },
    derive_more::Display,
    marigoldroute_core::{
        forward::{Allowance, AllowanceSettings, Change, Service},
        id::{ServiceId, UpstreamId},
        route::{
            self, Adaptive, CacheUpdate, Candidate, Choice, Origin, Policy, Progress, Reason,
            Ticket,
        },
    },
    marigoldroute_process::logs::BELIEFS,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Hosts that are assumed until the size of the fleet is known.
const ASSUMED_HOSTS: usize = 16;

/// Share of an upstream's connections that the fleet uses; the rest is left for hosts that are not
/// counted yet.
const USED_CONNECTIONS: f64 = 0.8;

/// Returns how many requests of one host an upstream may have at a time.
fn places(service: &Service, hosts: usize) -> u32 {
    let share = f64::from(service.connection_limit) * USED_CONNECTIONS / hosts.max(1) as f64;
    (share as u32).max(1)
}

/// Chooses upstreams.
pub(crate) struct Dispatcher {
    clock: Clock,
    block: u32,
    retries: AllowanceSettings,
    inner: Mutex<Inner>,
    /// Notified when a place at an upstream becomes free or an upstream joins.
    pub(crate) freed: Notify,
    /// Notified when other hosts should be told of pending prompts.
    pub(crate) pending_changed: Notify,
}

struct Inner {
    policy: Adaptive,
    random: SmallRng,
    allowances: HashMap<ServiceId, Allowance>,
    upstreams: HashMap<UpstreamId, Upstream>,
    hosts: Option<usize>,
}

struct Upstream {
    address: SocketAddr,
    started_ms: u64,
    in_flight: u32,
    /// Prompt tokens sent and not answered.
    pending: u32,
    /// Whether other hosts have not been told of `pending`.
    is_news: bool,
    has_left: bool,
}

impl Inner {
    fn change_pending(&mut self, id: &UpstreamId, change: impl FnOnce(u32) -> u32) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let pending = change(upstream.pending);
            upstream.is_news |= pending != upstream.pending;
            upstream.pending = pending;
        }
    }

    /// Forgets an upstream that has left once nothing of this host runs there.
    fn forget(&mut self, id: &UpstreamId) {
        let is_over = |upstream: &Upstream| upstream.has_left && upstream.in_flight == 0;
        if self.upstreams.get(id).is_some_and(is_over) {
            self.upstreams.remove(id);
        }
    }
}

/// Why an upstream was chosen, for the log.
#[derive(Clone, Copy, Debug, Display)]
#[display("{considered} of {known} considered: {reason}")]
pub(crate) struct Rationale {
    known: usize,
    considered: usize,
    reason: Reason,
}

/// A chosen upstream; dropping it ends the request there.
pub(crate) struct Flight {
    dispatcher: Arc<Dispatcher>,
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    ticket: Ticket,
    /// Prompt tokens that count as pending until the first event.
    pending: u32,
    has_ended: bool,
}

impl Flight {
    pub(crate) fn report(&mut self, progress: Progress<'_>) {
        let ends = !matches!(progress, Progress::Sent(_) | Progress::FirstToken);
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        inner.policy.report(now, &mut self.ticket, progress);
        inner.change_pending(&self.upstream, |pending| {
            pending.saturating_sub(self.pending)
        });
        drop(inner);
        self.has_ended |= ends;
        if std::mem::take(&mut self.pending) > 0 {
            self.dispatcher.pending_changed.notify_one();
        }
    }

    /// Takes the load that the upstream states.
    pub(crate) fn load(&self, load: &Load) {
        let load = route::Load {
            running: load.running,
            waiting: [load.waiting, 0, 0],
            ..route::Load::default()
        };
        let now = self.dispatcher.clock.now();
        lock(&self.dispatcher.inner)
            .policy
            .record_load(now, &self.upstream, &load);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.has_ended {
            self.report(Progress::Cancelled);
        }
        let mut inner = lock(&self.dispatcher.inner);
        if let Some(upstream) = inner.upstreams.get_mut(&self.upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
        inner.forget(&self.upstream);
        drop(inner);
        self.dispatcher.freed.notify_waiters();
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vacancy {
    /// Every upstream has as many requests of this host as it may have.
    Full,
    /// No upstream is known that was not tried.
    None,
}

impl Dispatcher {
    pub(crate) fn new(
        clock: Clock,
        origin: Origin,
        settings: route::Settings,
        retries: AllowanceSettings,
    ) -> Self {
        let block = settings.block_tokens;
        let inner = Inner {
            policy: Adaptive::new(origin, settings),
            random: SmallRng::from_os_rng(),
            allowances: HashMap::new(),
            upstreams: HashMap::new(),
            hosts: None,
        };
        Self {
            clock,
            block,
            retries,
            inner: Mutex::new(inner),
            freed: Notify::new(),
            pending_changed: Notify::new(),
        }
    }

    /// Describes a request for [`Self::choose`].
    pub(crate) fn profile(&self, head: &RequestHead, priority: u8) -> Profile {
        Profile::new(head, priority, self.block)
    }

    /// Takes a change of the list of upstreams.
    pub(crate) fn apply(&self, now: Duration, change: Change) {
        let mut inner = lock(&self.inner);
        match change {
            Change::Left(id) => {
                inner.policy.withdraw(&id);
                if let Some(upstream) = inner.upstreams.get_mut(&id) {
                    upstream.has_left = true;
                }
                inner.forget(&id);
            }
            Change::Joined(id, entry) => {
                let candidate = Candidate {
                    id: id.clone(),
                    serves: vec![entry.service],
                    region: entry.region,
                    zone: entry.zone,
                };
                let known = inner.upstreams.get(&id);
                let in_flight = known.map_or(0, |known| known.in_flight);
                let pending = known.map_or(0, |known| known.pending);
                if known.is_some_and(|known| known.started_ms != entry.started_ms) {
                    let change = route::CacheChange::Cleared;
                    inner.policy.apply_cache_update(
                        now,
                        &id,
                        &CacheUpdate {
                            sequence: 0,
                            change,
                        },
                    );
                }
                let upstream = Upstream {
                    address: entry.address,
                    started_ms: entry.started_ms,
                    in_flight,
                    pending,
                    is_news: pending > 0,
                    has_left: false,
                };
                inner.upstreams.insert(id, upstream);
                if let Err(full) = inner.policy.join(now, &candidate) {
                    log::error!(target: BELIEFS, upstream:% = candidate.id; "upstream not used: {full}");
                }
            }
        }
        drop(inner);
        self.freed.notify_waiters();
    }

    /// Sets the number of hosts that share the upstreams and the retries.
    pub(crate) fn set_hosts(&self, hosts: usize) {
        let mut inner = lock(&self.inner);
        inner.hosts = Some(hosts);
        let allowances = inner.allowances.values_mut();
        allowances.for_each(|allowance| allowance.set_hosts(hosts));
    }

    /// Returns the pending prompts that other hosts have not been told of; all of them when they are
    /// to be confirmed.
    pub(crate) fn take_pending_changes(&self, is_confirmation: bool) -> Vec<(UpstreamId, u32)> {
        let mut inner = lock(&self.inner);
        let upstreams = inner.upstreams.iter_mut();
        let told = upstreams.filter_map(|(id, upstream)| {
            let is_news = std::mem::take(&mut upstream.is_news);
            let is_due = is_news || (is_confirmation && upstream.pending > 0);
            is_due.then(|| (id.clone(), upstream.pending))
        });
        told.collect()
    }

    /// Takes the pending prompts of another host.
    pub(crate) fn record_remote_pending(&self, host: u64, upstream: &str, tokens: u32) {
        let now = self.clock.now();
        lock(&self.inner)
            .policy
            .record_remote_pending(now, upstream, host, tokens);
    }

    /// Counts a request for a service.
    pub(crate) fn arrive(&self, service: &ServiceId) {
        self.with_allowance(service, Allowance::deposit);
    }

    /// Takes a retry from the fleet's allowance.
    pub(crate) fn may_retry(&self, service: &ServiceId) -> bool {
        self.with_allowance(service, Allowance::withdraw)
    }

    fn with_allowance<T>(&self, service: &ServiceId, act: impl FnOnce(&mut Allowance) -> T) -> T {
        let mut inner = lock(&self.inner);
        let hosts = inner.hosts;
        let allowance = inner.allowances.entry(service.clone());
        act(allowance.or_insert_with(|| {
            let mut allowance = Allowance::new(self.retries);
            if let Some(hosts) = hosts {
                allowance.set_hosts(hosts);
            }
            allowance
        }))
    }

    /// Chooses an upstream and takes a place there.
    pub(crate) fn choose(
        self: &Arc<Self>,
        service: &Service,
        profile: &Profile,
        tried: &[UpstreamId],
    ) -> Result<(Flight, Rationale), Vacancy> {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let Inner {
            policy,
            random,
            upstreams,
            hosts,
            ..
        } = &mut *inner;
        let most = places(service, hosts.unwrap_or(ASSUMED_HOSTS));
        let is_full = std::cell::Cell::new(false);
        let allows = |id: &UpstreamId| {
            if tried.contains(id) {
                return false;
            }
            let has_room = upstreams
                .get(id)
                .is_some_and(|upstream| upstream.in_flight < most);
            is_full.set(is_full.get() || !has_room);
            has_room
        };
        let request = route::Request {
            target: &service.name,
            prompt_tokens: profile.prompt,
            output_limit: profile.output,
            prefixes: &profile.prefixes,
            home: profile.home,
            priority: profile.priority,
            allows: &allows,
        };
        let choice = policy.choose(now, random, &request);
        let Some(choice) = choice else {
            return Err(if is_full.get() {
                Vacancy::Full
            } else {
                Vacancy::None
            });
        };
        let Choice {
            upstream: id,
            known,
            considered,
            reason,
            mut ticket,
        } = choice;
        let Some(upstream) = upstreams.get_mut(&id) else {
            return Err(Vacancy::None);
        };
        let pending = if profile.prompt > 0 {
            ticket.uncached_tokens()
        } else {
            0
        };
        upstream.in_flight += 1;
        upstream.pending = upstream.pending.saturating_add(pending);
        upstream.is_news |= pending > 0;
        let address = upstream.address;
        policy.report(now, &mut ticket, Progress::Sent(&profile.prefixes));
        if pending > 0 {
            self.pending_changed.notify_one();
        }
        let flight = Flight {
            dispatcher: self.clone(),
            upstream: id,
            address,
            ticket,
            pending,
            has_ended: false,
        };
        Ok((
            flight,
            Rationale {
                known,
                considered,
                reason,
            },
        ))
    }
}
