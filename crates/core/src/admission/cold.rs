//! Cold upstreams, which take few requests until they are warm.
//!
//! The hosts keep the limit of a cold upstream without messages: the requests of a second are
//! divided among the first hosts in its rendezvous order, and the other hosts send it nothing. The
//! hosts plan for half of what an upstream may get, so that the limit holds while hosts with an
//! older view of the fleet still send as well.

use {
    crate::{
        fleet::{WeightedHost, rank},
        forward::ColdStart,
        id::{HostId, ServiceId, UpstreamId},
        throttle::Process,
    },
    std::{collections::HashMap, time::Duration},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Time over which a host spreads its requests of a second: a little longer, because the time from
/// the choice of an upstream to the arrival varies.
const PERIOD: Duration = Duration::from_millis(1_050);
/// Longest time between two requests of a host to a cold upstream.
const PERIOD_LIMIT: Duration = Duration::from_secs(600);
/// Longest time for which one statement counts; an upstream that is cold for longer says so again.
const COLD_LIMIT: Duration = Duration::from_secs(30);
/// Time within which a request has to be sent after its upstream was chosen.
const SEND_TIME: Duration = Duration::from_millis(500);
/// Longest time over which refused callers come back.
const SPREAD_LIMIT: Duration = Duration::from_secs(1);

/// Requests that a cold upstream may get in one second from all hosts: its rate times `overage`,
/// plus `tolerance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests in addition.
    pub tolerance: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            overage: 1.0,
            tolerance: 0.0,
        }
    }
}

impl ColdSettings {
    /// Returns how many requests all hosts together send to a cold upstream in one period.
    fn count(self, rate: f64) -> usize {
        let bound = rate * self.overage.max(0.0) + self.tolerance.max(0.0);
        ((bound / 2.0).floor().min(rate.ceil()) as usize).max(1)
    }
}

/// What this host knows about one listed upstream.
#[derive(Clone, Debug)]
struct Upstream {
    process: Process,
    service: ServiceId,
    /// When this host learned that it is cold.
    cold_since: Duration,
    /// Until when it is cold.
    cold_until: Duration,
    /// When this host may send it the next request.
    next_at: Duration,
    /// Requests of this host in one period; 0 when others send.
    quota: u32,
}

/// What one host knows about cold upstreams.
#[derive(Clone, Debug)]
pub struct ColdStarts {
    own: HostId,
    settings: ColdSettings,
    /// Services whose upstreams are limited while they are cold.
    services: HashMap<ServiceId, ColdStart>,
    /// All known hosts, with equal weights: each host has to serve its own callers.
    hosts: Vec<WeightedHost>,
    /// Whether the whole list has been read; an upstream that is listed later is new.
    has_list: bool,
    upstreams: HashMap<UpstreamId, Upstream>,
    /// Number of callers that were told when to return.
    returns: u64,
}

impl ColdStarts {
    pub(super) fn new(own: HostId, settings: ColdSettings) -> Self {
        Self {
            own,
            settings,
            services: HashMap::new(),
            hosts: Vec::new(),
            has_list: false,
            upstreams: HashMap::new(),
            returns: 0,
        }
    }

    /// Replaces the known hosts, this one included.
    pub fn update_hosts(&mut self, now: Duration, hosts: impl IntoIterator<Item = HostId>) {
        let equal = |host| WeightedHost { host, weight: 1 };
        let hosts: Vec<_> = hosts.into_iter().map(equal).collect();
        if self.hosts != hosts {
            self.hosts = hosts;
            self.assess_cold(now);
        }
    }

    /// Replaces the services whose upstreams are limited while they are cold.
    pub fn update_services(
        &mut self,
        now: Duration,
        services: impl IntoIterator<Item = (ServiceId, ColdStart)>,
    ) {
        let services: HashMap<_, _> = services
            .into_iter()
            .filter(|(_, start)| start.rate > 0.0)
            .collect();
        if self.services != services {
            self.services = services;
            self.assess_cold(now);
        }
    }

    /// Records that the whole list of upstreams has been read.
    pub fn record_list(&mut self) {
        self.has_list = true;
    }

    /// Records that a process of an upstream is listed, and how long it stays cold by its entry.
    /// One that joins the list later is cold for the start time of its service at least: it may
    /// have become cold since it wrote its entry. Returns whether the upstream becomes cold.
    pub fn join(
        &mut self,
        now: Duration,
        process: &Process,
        service: &ServiceId,
        left: Duration,
    ) -> bool {
        let id = &process.upstream;
        let known = self.upstreams.get(id);
        if known.is_some_and(|known| known.process == *process && known.service == *service) {
            return self.extend(now, process, left);
        }
        let was_cold = self.is_cold(now, id);
        let start = self.services.get(service).map(|start| start.time);
        let start = start.filter(|_| self.has_list).unwrap_or_default();
        let hash = xxh3_64_with_seed(self.own.as_bytes(), xxh3_64(id.as_bytes()));
        let place = hash as f64 / u64::MAX as f64;
        let upstream = Upstream {
            process: process.clone(),
            service: service.clone(),
            cold_since: now,
            cold_until: now + start.max(left).min(COLD_LIMIT),
            next_at: now + PERIOD.mul_f64(place),
            quota: 0,
        };
        self.upstreams.insert(id.clone(), upstream);
        self.assess(id);
        !was_cold && self.is_cold(now, id)
    }

    /// Records how long a process of an upstream stays cold, by a newer entry of the list or by an
    /// answer. What was stated before stays in effect, because entries and answers overtake each
    /// other. Returns whether the upstream becomes cold.
    pub fn extend(&mut self, now: Duration, process: &Process, left: Duration) -> bool {
        let id = &process.upstream;
        let was_cold = self.is_cold(now, id);
        let upstream = self.upstreams.get_mut(id);
        let Some(upstream) = upstream.filter(|known| known.process == *process) else {
            return false;
        };
        let until = now + left.min(COLD_LIMIT);
        upstream.cold_until = upstream.cold_until.max(until);
        if was_cold || !self.is_cold(now, id) {
            return false;
        }
        self.begin(now, id);
        true
    }

    /// Treats an upstream that has had no requests for a while as one that has just been listed: it
    /// may be cold by now. Returns whether the upstream becomes cold.
    pub fn restore(&mut self, now: Duration, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let start = self.services.get(&upstream.service);
        let time = start.map_or(Duration::ZERO, |start| start.time);
        self.extend(now, &upstream.process.clone(), time)
    }

    /// Forgets an upstream that has left the list.
    pub fn leave(&mut self, id: &UpstreamId) {
        self.upstreams.remove(id);
    }

    /// Returns whether an upstream is cold, and its service limits what it gets meanwhile.
    pub fn is_cold(&self, now: Duration, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            upstream.cold_until > now && self.services.contains_key(&upstream.service)
        })
    }

    /// Begins to count the requests of an upstream that has become cold.
    fn begin(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.cold_since = now;
            // Other hosts may have filled this second before they learn of it.
            upstream.next_at = now + PERIOD;
        }
        self.assess(id);
    }

    fn assess_cold(&mut self, now: Duration) {
        let ids = self.upstreams.keys().filter(|id| self.is_cold(now, id));
        for id in ids.cloned().collect::<Vec<_>>() {
            self.assess(&id);
        }
    }

    /// Updates this host's part of the requests to an upstream.
    fn assess(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let Some(start) = self.services.get(&upstream.service) else {
            return;
        };
        let count = self.settings.count(start.rate);
        let ranked = rank(id, &self.hosts);
        let place = ranked.iter().position(|host| **host == self.own);
        upstream.quota = place.map_or(0, |place| {
            let is_rest = place < count % ranked.len();
            (count / ranked.len()) as u32 + u32::from(is_rest)
        });
    }

    /// Returns when a host may send the next request after one to this upstream.
    fn interval(&self, upstream: &Upstream) -> Duration {
        let Some(start) = self.services.get(&upstream.service) else {
            return Duration::ZERO;
        };
        let count = self.settings.count(start.rate) as f64;
        let period = Duration::try_from_secs_f64(count / start.rate);
        let period = period.unwrap_or(PERIOD_LIMIT).clamp(PERIOD, PERIOD_LIMIT);
        period / upstream.quota.max(1)
    }

    /// Counts a request that is assigned to an upstream.
    pub(super) fn count(&mut self, now: Duration, id: &UpstreamId) {
        let Some(upstream) = self
            .upstreams
            .get(id)
            .filter(|known| known.cold_until > now)
        else {
            return;
        };
        let interval = self.interval(upstream);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.next_at = upstream.next_at.max(now) + interval;
        }
    }

    /// Returns until when a cold upstream gets no request that is chosen for it now, if so.
    pub(super) fn closed_until(&self, now: Duration, id: &UpstreamId) -> Option<Duration> {
        let upstream = self.upstreams.get(id).filter(|_| self.is_cold(now, id))?;
        let warm_at = upstream.cold_until;
        let opens_at = match upstream.quota {
            0 => warm_at,
            _ => upstream.next_at.min(warm_at),
        };
        (opens_at > now).then_some(opens_at)
    }

    /// Returns whether a request was not counted that is to be sent to a cold upstream, or was too
    /// long ago.
    pub(super) fn is_uncounted(
        &self,
        now: Duration,
        id: &UpstreamId,
        assigned_at: Duration,
    ) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            let is_uncounted = assigned_at < upstream.cold_since || assigned_at + SEND_TIME < now;
            is_uncounted && self.is_cold(now, id)
        })
    }

    /// Returns when a caller should return who was refused because an upstream is closed until a
    /// time: callers come back over half of the wait.
    pub(super) fn turn(&mut self, now: Duration, opens_at: Duration) -> Duration {
        self.returns += 1;
        let hash = xxh3_64_with_seed(self.own.as_bytes(), self.returns);
        let spread = (opens_at.saturating_sub(now) / 2).min(SPREAD_LIMIT);
        opens_at + spread.mul_f64(hash as f64 / u64::MAX as f64)
    }
}
