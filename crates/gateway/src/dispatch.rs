//! Assignment of requests to upstreams, with this host's requests in flight and retries.

mod cold;
mod evacuations;
mod explain;
mod in_flight;
mod notices;
mod rates;
mod schedule;
#[cfg(test)]
mod tests;
mod waiting;

pub(crate) use {
    in_flight::InFlight,
    schedule::{Ask, Report, Scheduled},
    waiting::{Assigned, Claim, Entered},
};

use {
    crate::{
        Clock, metrics::Metrics, profile::Profile, protocol::RequestHead, settings::Settings,
        view::lock,
    },
    derive_more::Display,
    marigoldroute_core::{
        admission::{Admission, Bar, Stage, Standing},
        forward::{Allowance, AllowanceSettings, Change, Service},
        id::{HostId, ServiceId, UpstreamId, Zone},
        route::{self, Adaptive, CacheUpdate, Candidate, Choice, Origin, Policy, Reason},
        throttle::Process,
    },
    marigoldroute_process::logs::BELIEFS,
    rand::{SeedableRng, rngs::SmallRng},
    schedule::Schedule,
    std::{
        cell::Cell,
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
};

/// Number of hosts assumed until the size of the fleet is known.
const ASSUMED_HOSTS: usize = 16;

/// Share of an upstream's connections that the counted hosts use; the rest is for hosts that have
/// not been counted yet.
const CONNECTION_SHARE: f64 = 0.8;

/// Returns how many requests one host may have in flight at an upstream.
fn in_flight_limit(service: &Service, hosts: usize) -> u32 {
    let share = f64::from(service.connection_limit) * CONNECTION_SHARE / hosts.max(1) as f64;
    (share as u32).max(1)
}

/// Assigns requests to upstreams.
pub(crate) struct Dispatcher {
    clock: Clock,
    metrics: Arc<Metrics>,
    /// This host.
    instance: HostId,
    /// Its availability zone.
    zone: Zone,
    /// Tokens of a block of the prefix cache.
    block_tokens: u32,
    retries: AllowanceSettings,
    inner: Mutex<Inner>,
    /// Requests that wait in order; absent if they do not.
    queues: Option<waiting::Queues>,
    /// Notified when the list of upstreams or what is known of them changes; without queues, also
    /// when a request in flight ends.
    pub(crate) capacity_freed: Notify,
    /// Notified when pending prompt tokens have changed, so that other hosts get an update.
    pub(crate) pending_changed: Notify,
    /// Notified when other hosts have to be told about a rate.
    pub(crate) rates_changed: Notify,
    /// Outcomes of attempts for the schedulers that have chosen their engines.
    outbox: mpsc::Sender<Report>,
    /// Receiver of `outbox`, until it is taken.
    reports: Mutex<Option<mpsc::Receiver<Report>>>,
}

struct Inner {
    policy: Adaptive,
    random: SmallRng,
    allowances: HashMap<ServiceId, Allowance>,
    upstreams: HashMap<UpstreamId, Upstream>,
    hosts: Option<usize>,
    admission: Admission,
    /// Absent when each host chooses engines for itself.
    schedule: Option<Schedule>,
}

struct Upstream {
    service: ServiceId,
    address: SocketAddr,
    started_ms: u64,
    /// Prompt tokens sent whose requests have neither a first event nor an end.
    pending: u32,
    /// Whether `pending` has changed since it was last reported to other hosts.
    has_unreported_change: bool,
}

impl Inner {
    fn update_pending(&mut self, id: &UpstreamId, change: impl FnOnce(u32) -> u32) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let pending = change(upstream.pending);
            upstream.has_unreported_change |= pending != upstream.pending;
            upstream.pending = pending;
        }
    }

    /// Returns the time after which a caller should return that none of these upstreams of a
    /// service takes now; see [`Admission::schedule_return`].
    fn schedule_return(
        &mut self,
        now: Duration,
        service: &ServiceId,
        mut is_considered: impl FnMut(&UpstreamId) -> bool,
    ) -> Option<Duration> {
        let of_service = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.service == *service);
        let ids = of_service.map(|(id, _)| id);
        let ids: Vec<_> = ids.filter(|id| is_considered(id)).collect();
        self.admission.schedule_return(now, service, &ids)
    }

    /// Removes an upstream that has left once this host has no request in flight there.
    fn remove_if_done(&mut self, id: &UpstreamId) {
        if self.admission.is_done(id) {
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

/// What keeps the candidates that were not tried from being chosen.
#[derive(Clone, Copy, Debug, Default)]
struct Obstacles {
    /// Whether one of them is expected to take a request within moments.
    is_busy: bool,
    /// When the first of the others may take one.
    opens_at: Option<Duration>,
}

impl Obstacles {
    fn with(mut self, bar: Bar) -> Self {
        let opens_at = match bar {
            Bar::Unlisted | Bar::Evacuated | Bar::Leaving => None,
            Bar::Paused(until) | Bar::Spent(_, until) | Bar::Cold(until) => Some(until),
            Bar::Resuming(until) => {
                self.is_busy = true;
                Some(until)
            }
            Bar::Full => {
                self.is_busy = true;
                None
            }
        };
        self.opens_at = match (self.opens_at, opens_at) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
        self
    }
}

/// Why no upstream could be assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// Every candidate that was not tried takes no requests now, and at least one of them is
    /// expected to within moments. Holds the time until the first of the others may take one.
    Busy(Option<Duration>),
    /// Every candidate that was not tried has asked for a pause, is cold, or takes no more requests
    /// at the rate that it states; holds the time after which the caller should return.
    Closed(Duration),
    /// No upstream is known that was not tried.
    NoCandidate,
    /// The request is not expected to get an upstream by its deadline; holds the time after which
    /// the caller should return.
    Overloaded(Duration),
    /// The process stops before the request could end.
    Stopping,
    /// A part of the prompt is quarantined for this time.
    Quarantined(Duration),
}

impl Dispatcher {
    pub(crate) fn new(
        clock: Clock,
        metrics: Arc<Metrics>,
        settings: &Settings,
        admission: Admission,
    ) -> Self {
        let origin = Origin {
            host: settings.host.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let scheduling = settings.scheduling.clone();
        let (outbox, reports) = schedule::outbox();
        let inner = Inner {
            admission,
            schedule: scheduling.map(|settings| Schedule::new(origin.clone(), settings)),
            policy: Adaptive::new(origin, settings.routing.clone()),
            random: SmallRng::from_os_rng(),
            allowances: HashMap::new(),
            upstreams: HashMap::new(),
            hosts: None,
        };
        Self {
            clock,
            metrics,
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            block_tokens: settings.routing.block_tokens,
            retries: settings.retries,
            inner: Mutex::new(inner),
            queues: None,
            capacity_freed: Notify::new(),
            pending_changed: Notify::new(),
            rates_changed: Notify::new(),
            outbox,
            reports: Mutex::new(Some(reports)),
        }
    }

    /// Takes the receiver of outcomes for schedulers; `None` when it was taken before.
    pub(crate) fn take_reports(&self) -> Option<mpsc::Receiver<Report>> {
        lock(&self.reports).take()
    }

    /// Returns the properties of a request that [`Self::assign`] needs.
    pub(crate) fn profile(&self, head: &RequestHead, priority: u8) -> Profile {
        Profile::new(head, priority, self.block_tokens)
    }

    /// Applies a change of the list of upstreams.
    pub(crate) fn apply(&self, now: Duration, change: Change) {
        let mut inner = lock(&self.inner);
        match change {
            Change::Left(id) => {
                inner.policy.withdraw(&id);
                if let Some(schedule) = &mut inner.schedule {
                    schedule.withdraw(&id);
                }
                inner.admission.leave(now, &id);
                inner.admission.cold_starts().leave(&id);
                inner.remove_if_done(&id);
            }
            Change::Cold(id, entry) => {
                inner.learn_cold(now, &id, &entry);
                // Nobody waits for an upstream to become cold.
                return;
            }
            Change::Joined(id, entry) => {
                let process = Process {
                    upstream: id.clone(),
                    started_ms: entry.started_ms,
                };
                inner.admission.join(now, &process, &entry.zone);
                inner.learn_cold(now, &id, &entry);
                let candidate = Candidate {
                    id: id.clone(),
                    serves: vec![entry.service.clone()],
                    region: entry.region,
                    zone: entry.zone,
                };
                let known = inner.upstreams.get(&id);
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
                    if let Some(schedule) = &mut inner.schedule {
                        schedule.clear_cache(now, &id);
                    }
                }
                let upstream = Upstream {
                    service: entry.service,
                    address: entry.address,
                    started_ms: entry.started_ms,
                    pending,
                    has_unreported_change: pending > 0,
                };
                inner.upstreams.insert(id, upstream);
                if let Some(schedule) = &mut inner.schedule {
                    schedule.join(now, &candidate);
                }
                if let Err(full) = inner.policy.join(now, &candidate) {
                    log::error!(target: BELIEFS, upstream:% = candidate.id; "upstream not used: {full}");
                }
            }
        }
        drop(inner);
        self.capacity_freed.notify_waiters();
    }

    /// Sets the number of hosts that share the upstreams and the retries.
    pub(crate) fn set_hosts(&self, hosts: usize) {
        let mut inner = lock(&self.inner);
        inner.hosts = Some(hosts);
        let allowances = inner.allowances.values_mut();
        allowances.for_each(|allowance| allowance.set_hosts(hosts));
    }

    /// Returns the pending prompt tokens that changed since the last call; with `is_confirmation`
    /// also all others that are not zero.
    pub(crate) fn take_pending_changes(&self, is_confirmation: bool) -> Vec<(UpstreamId, u32)> {
        let mut inner = lock(&self.inner);
        let upstreams = inner.upstreams.iter_mut();
        let changes = upstreams.filter_map(|(id, upstream)| {
            let has_unreported_change = std::mem::take(&mut upstream.has_unreported_change);
            let is_due = has_unreported_change || (is_confirmation && upstream.pending > 0);
            is_due.then(|| (id.clone(), upstream.pending))
        });
        changes.collect()
    }

    /// Records the pending prompt tokens of another host at an upstream.
    pub(crate) fn record_remote_pending(&self, host: u64, upstream: &str, tokens: u32) {
        let now = self.clock.now();
        lock(&self.inner)
            .policy
            .record_remote_pending(now, upstream, host, tokens);
    }

    /// Records a request for a service, which adds to its allowance of retries.
    pub(crate) fn record_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        self.with_allowance(service, |allowance| allowance.deposit(now));
    }

    /// Takes a retry from this host's part of the fleet's allowance; returns whether there was one.
    pub(crate) fn acquire_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.with_allowance(service, |allowance| allowance.withdraw(now))
    }

    /// As [`Self::acquire_retry`], for a request that has not failed; see
    /// [`Allowance::withdraw_spare`].
    pub(crate) fn acquire_spare_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.with_allowance(service, |allowance| allowance.withdraw_spare(now))
    }

    /// Returns whether [`Self::acquire_retry`] would take a retry now.
    pub(crate) fn has_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.with_allowance(service, |allowance| allowance.has_retry(now))
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

    /// Assigns a request to an upstream, which counts it as in flight there.
    ///
    /// # Errors
    /// [`Unavailable`].
    pub(crate) fn assign(
        self: &Arc<Self>,
        service: &Service,
        profile: &Profile,
        tried: &[UpstreamId],
    ) -> Result<(InFlight, Rationale), Unavailable> {
        self.assign_among(service, profile, &|id| !tried.contains(id))
    }

    /// Assigns a request to one of the upstreams for which `is_considered` holds.
    fn assign_among(
        self: &Arc<Self>,
        service: &Service,
        profile: &Profile,
        is_considered: &dyn Fn(&UpstreamId) -> bool,
    ) -> Result<(InFlight, Rationale), Unavailable> {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let Inner {
            policy,
            random,
            upstreams,
            hosts,
            admission,
            ..
        } = &mut *inner;
        let limit = in_flight_limit(service, hosts.unwrap_or(ASSUMED_HOSTS));
        let stage = Stage::Choose { limit };
        let obstacles = Cell::new(Obstacles::default());
        let allows = |id: &UpstreamId| {
            if !is_considered(id) {
                return false;
            }
            match admission.standing(now, id, stage) {
                Standing::Open | Standing::Limited(_) => true,
                Standing::Barred(bar) => {
                    obstacles.set(obstacles.get().with(bar));
                    false
                }
            }
        };
        let request = profile.request(&service.name, &allows);
        let Some(choice) = policy.choose(now, random, &request) else {
            let obstacles = obstacles.get();
            if obstacles.is_busy {
                let opens_after = obstacles.opens_at.map(|at| at.saturating_sub(now));
                return Err(Unavailable::Busy(opens_after));
            }
            let has_untried = obstacles.opens_at.is_some();
            let returns_after =
                inner.schedule_return(now, &service.name, |id| !has_untried || is_considered(id));
            return Err(returns_after.map_or(Unavailable::NoCandidate, Unavailable::Closed));
        };
        let Choice {
            upstream: id,
            known,
            considered,
            reason,
            ticket,
        } = choice;
        let rate = match admission.standing(now, &id, stage) {
            Standing::Limited(rate) => Some(rate),
            Standing::Open | Standing::Barred(_) => None,
        };
        let address = upstreams.get(&id).map(|upstream| upstream.address);
        let process = admission.begin(now, &id);
        let (Some(address), Some(process)) = (address, process) else {
            return Err(Unavailable::NoCandidate);
        };
        let in_flight = InFlight {
            dispatcher: self.clone(),
            process,
            upstream: id,
            address,
            rate,
            sent_at: now,
            ticket,
            pending: 0,
            has_ended: false,
            scheduled: None,
            load: None,
        };
        let rationale = Rationale {
            known,
            considered,
            reason,
        };
        Ok((in_flight, rationale))
    }
}
