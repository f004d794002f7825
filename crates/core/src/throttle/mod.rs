//! Rates that upstreams state, and how all hosts share them.
//!
//! An upstream in need states the number of requests a second that it takes from all hosts
//! together. For each such upstream, two hosts grant permits, each at half of this rate, and every
//! request to it needs one. [`Throttle`] is the state of one host: what it knows about rates, the
//! permits that it grants, and when it may ask other hosts for permits again.

mod bucket;
mod fleet;
mod granters;
mod rate;
mod returns;

use {
    crate::{
        fleet::WeightedHost,
        id::{HostId, ServiceId, UpstreamId},
        wire::{Acquire, Acquired, Stated},
    },
    bucket::Bucket,
    fleet::Fleet,
    granters::Granters,
    returns::Returns,
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

pub use rate::{Rate, Statement};

/// Time after which a host that did not answer is asked again.
const SILENCE_WAIT: Duration = Duration::from_secs(1);
/// Time for which what an upstream stated is kept after the upstream has left or stated no rate.
const MEMORY: Duration = Duration::from_secs(600);

/// Hosts that did not answer, with the time until which they are not asked.
type Silences = HashMap<HostId, Duration>;

/// A process of an upstream. A later process of the same upstream knows nothing of its rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start of the process, in milliseconds since 1970.
    pub started_ms: u64,
}

/// Whether an upstream may get a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// No rate is known.
    Free,
    /// A request needs a permit.
    Limited(Rate),
    /// There is no permit before this time.
    Closed(Rate, Duration),
}

/// A change of what this host knows about the rate of an upstream, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Rate until now; `None` if there was none.
    pub previous: Option<Rate>,
    /// Rate from now on.
    pub rate: Option<Rate>,
}

/// The next step towards a permit.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The request may be sent.
    Send,
    /// There is no permit now.
    Closed,
    /// Ask this host, and pass its answer to [`Throttle::apply`].
    Ask(HostId, Acquire),
}

/// What this host knows about one upstream that has stated a rate.
#[derive(Clone, Debug)]
struct Upstream {
    started_ms: u64,
    /// The newest statement; `None` when it states no rate any more.
    rate: Option<Rate>,
    /// When a host received that statement.
    stated_at: Duration,
    /// When this host learned that there is a rate.
    limited_since: Duration,
    /// Until when this host does not look for a granter, when it has found none.
    closed_until: Duration,
    /// Permits that this host grants.
    bucket: Option<Bucket>,
    /// Hosts that grant the permits, as far as this host knows.
    granters: Granters,
    /// When the upstream left the list, if it did.
    left_at: Option<Duration>,
}

impl Upstream {
    fn set(&mut self, now: Duration, rate: Option<Rate>, stated_at: Duration) -> Option<Change> {
        self.stated_at = stated_at;
        let previous = std::mem::replace(&mut self.rate, rate);
        if previous == rate {
            return None;
        }
        self.closed_until = now;
        self.granters.open(now);
        if previous.is_none() {
            self.limited_since = now;
        }
        match (&mut self.bucket, rate) {
            (Some(bucket), Some(rate)) => bucket.limit_wait(now, rate.interval()),
            (bucket, _) => *bucket = None,
        }
        Some(Change { previous, rate })
    }

    fn is_forgotten(&self, now: Duration) -> bool {
        let ended_at = match self.rate {
            Some(_) => self.left_at,
            None => Some(self.stated_at),
        };
        ended_at.is_some_and(|at| now.saturating_sub(at) > MEMORY)
    }
}

/// What one host knows about the rates of upstreams, and the permits that it grants.
#[derive(Clone, Debug)]
pub struct Throttle {
    own: HostId,
    fleet: Fleet,
    upstreams: HashMap<UpstreamId, Upstream>,
    silences: Silences,
    returns: Returns,
    /// Upstreams whose rate other hosts have to be told.
    unpublished: BTreeSet<UpstreamId>,
}

impl Throttle {
    /// Creates the state of the host `own`, which knows no rates and no other hosts.
    ///
    /// `term` is the time for which a view of the fleet holds without confirmation. It must be
    /// shorter than the time after which other hosts take this one for dead.
    pub fn new(own: HostId, term: Duration) -> Self {
        Self {
            fleet: Fleet::new(own.clone(), term),
            own,
            upstreams: HashMap::new(),
            silences: Silences::new(),
            returns: Returns::default(),
            unpublished: BTreeSet::new(),
        }
    }

    /// Replaces the known hosts, this one included, sorted by id. `confirmed_at` is the start of
    /// the round that counted them, if this round also renewed the row of this host.
    pub fn update_hosts(
        &mut self,
        now: Duration,
        hosts: Vec<WeightedHost>,
        confirmed_at: Option<Duration>,
    ) {
        self.silences.retain(|_, until| *until > now);
        let Some(change) = self.fleet.update(now, hosts, confirmed_at) else {
            return;
        };
        for (id, upstream) in &mut self.upstreams {
            upstream.granters.update(now, &self.fleet.granters(id));
            upstream.closed_until = now;
            let is_own = upstream.granters.publisher(now, &self.silences) == Some(&self.own);
            if change == fleet::Change::Joined && is_own && upstream.rate.is_some() {
                self.unpublished.insert(id.clone());
            }
        }
    }

    /// Compares the monotonic clock with the time of day since 1970, before permits are granted: a
    /// host that was suspended does not rely on its view of the fleet.
    pub fn check_clocks(&mut self, now: Duration, wall: Duration) {
        self.fleet.check_clocks(now, wall);
    }

    /// Forgets the rate of an earlier process of an upstream that is on the list.
    pub fn join(&mut self, process: &Process) {
        let upstream = self.upstreams.get_mut(&process.upstream);
        if upstream
            .as_ref()
            .is_some_and(|known| known.started_ms < process.started_ms)
        {
            self.upstreams.remove(&process.upstream);
        } else if let Some(upstream) = upstream {
            upstream.left_at = None;
        }
    }

    /// Records that an upstream has left the list. It may come back without a new start.
    pub fn leave(&mut self, now: Duration, upstream: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.left_at = Some(now);
        }
    }

    /// Returns whether an upstream may get a request now.
    pub fn state(&self, now: Duration, upstream: &UpstreamId) -> State {
        let Some(upstream) = self.upstreams.get(upstream) else {
            return State::Free;
        };
        let Some(rate) = upstream.rate else {
            return State::Free;
        };
        let opens_at = upstream.granters.opens_at(&self.silences);
        let closed_until = opens_at.unwrap_or(upstream.closed_until);
        match closed_until > now {
            true => State::Closed(rate, closed_until),
            false => State::Limited(rate),
        }
    }

    /// Records what a response states. `sent_at` is when its request was sent; `is_success` is
    /// whether the upstream served it, as other answers may lack the statement.
    pub fn record(
        &mut self,
        now: Duration,
        process: &Process,
        sent_at: Duration,
        statement: Statement,
        is_success: bool,
    ) -> Option<Change> {
        let rate = match statement {
            Statement::Limited(rate) => Some(rate),
            Statement::Unlimited => {
                // The statement may have begun while the request was under way.
                let known = self.upstreams.get(&process.upstream)?;
                if !is_success || sent_at < known.limited_since {
                    return None;
                }
                None
            }
            // It takes requests at some rate, so what is known stays in effect.
            Statement::Unreadable => return None,
        };
        let change = self.set(now, process, rate, now);
        if change.is_some() {
            self.unpublished.insert(process.upstream.clone());
        }
        change
    }

    /// Records what another host has learned; the newest statement holds.
    pub fn learn(&mut self, now: Duration, stated: &Stated) -> Option<Change> {
        let process = Process {
            upstream: stated.upstream.as_str().into(),
            started_ms: stated.started_ms,
        };
        let rate = match stated.rate {
            Some(rate) => Some(Rate::new(rate)?),
            None => None,
        };
        let stated_at = now.saturating_sub(Duration::from_micros(stated.age_us));
        if let Some(known) = self.upstreams.get(&process.upstream) {
            let is_newer = process.started_ms > known.started_ms
                || (process.started_ms == known.started_ms && stated_at > known.stated_at);
            // A statement that comes back must not count as newer than it was.
            if !is_newer || (process.started_ms == known.started_ms && rate == known.rate) {
                return None;
            }
        }
        let change = self.set(now, &process, rate, stated_at);
        if change.is_some() && self.is_publisher(now, &process.upstream) {
            self.unpublished.insert(process.upstream);
        }
        change
    }

    fn set(
        &mut self,
        now: Duration,
        process: &Process,
        rate: Option<Rate>,
        stated_at: Duration,
    ) -> Option<Change> {
        let id = &process.upstream;
        if !self.upstreams.contains_key(id) {
            // A rate that ends without having begun here is not worth an entry.
            rate?;
            self.upstreams
                .retain(|_, upstream| !upstream.is_forgotten(now));
        }
        let mut granters = Granters::default();
        granters.update(now, &self.fleet.granters(id));
        let new = || Upstream {
            started_ms: process.started_ms,
            rate: None,
            stated_at,
            limited_since: now,
            closed_until: now,
            bucket: None,
            granters: granters.clone(),
            left_at: None,
        };
        let upstream = self.upstreams.entry(id.clone()).or_insert_with(new);
        if upstream.started_ms != process.started_ms {
            if upstream.started_ms > process.started_ms {
                return None;
            }
            *upstream = new();
        }
        let change = upstream.set(now, rate, stated_at);
        if matches!(change, Some(Change { rate: None, .. })) {
            // Turns were given at a rate that no longer holds.
            self.returns = Returns::default();
        }
        change
    }

    /// Begins to acquire a permit for one request.
    pub fn acquire(&mut self, now: Duration, id: &UpstreamId) -> Step {
        loop {
            match self.state(now, id) {
                State::Free => return Step::Send,
                State::Closed(..) => return Step::Closed,
                State::Limited(_) => {}
            }
            let Some(stated) = self.stated(now, id) else {
                return Step::Send;
            };
            let Some(upstream) = self.upstreams.get_mut(id) else {
                return Step::Send;
            };
            let chosen = upstream.granters.choose(now, &self.own, &self.silences);
            match chosen.cloned() {
                Some(host) if host == self.own => {
                    let acquired = self.grant(now, id);
                    if acquired.is_granted {
                        return Step::Send;
                    }
                    let own = self.own.clone();
                    self.close(id, &own, now + Duration::from_millis(acquired.wait_ms));
                }
                Some(host) => return Step::Ask(host, Acquire { stated }),
                None => {
                    upstream.closed_until = now + SILENCE_WAIT;
                    return Step::Closed;
                }
            }
        }
    }

    /// Answers another host that asks for a permit.
    pub fn answer(&mut self, now: Duration, acquire: &Acquire) -> (Acquired, Option<Change>) {
        let change = self.learn(now, &acquire.stated);
        let upstream = acquire.stated.upstream.as_str().into();
        (self.grant(now, &upstream), change)
    }

    /// Grants a permit if this host is the one that does, and the rate allows it.
    fn grant(&mut self, now: Duration, id: &UpstreamId) -> Acquired {
        let stated = self.stated(now, id);
        let granted = match self.upstreams.get_mut(id) {
            Some(upstream) => match upstream.rate {
                Some(rate) => self.fleet.part(now, id).and_then(|part| {
                    let interval = part.interval(rate);
                    let bucket = upstream
                        .bucket
                        .get_or_insert_with(|| Bucket::new(now, part.rank(), rate.interval()));
                    bucket.take(now, interval)
                }),
                None => Ok(()),
            },
            None => Ok(()),
        };
        let wait = granted.err();
        Acquired {
            is_granted: wait.is_none(),
            wait_ms: wait.map_or(0, |wait| wait.as_millis() as u64 + 1),
            stated,
        }
    }

    /// Applies the answer of a host that grants permits.
    pub fn apply(
        &mut self,
        now: Duration,
        id: &UpstreamId,
        host: &HostId,
        acquired: &Acquired,
    ) -> Option<Change> {
        let stated = acquired.stated.as_ref();
        let change = stated.and_then(|stated| self.learn(now, stated));
        if !acquired.is_granted {
            self.close(id, host, now + Duration::from_millis(acquired.wait_ms));
        }
        change
    }

    /// Records that a host did not answer. It is not asked for permits of any upstream for a while.
    pub fn record_silence(&mut self, now: Duration, host: HostId) {
        self.silences.insert(host, now + SILENCE_WAIT);
    }

    fn close(&mut self, id: &UpstreamId, host: &HostId, until: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.granters.close(host, until);
        }
    }

    /// Returns the time after which a caller should return who was refused because these upstreams
    /// of a service are closed. Callers of all hosts together then return at the rate that the
    /// upstreams take.
    pub fn schedule_return<'a>(
        &mut self,
        now: Duration,
        service: &ServiceId,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
    ) -> Duration {
        let mut opens_at: Option<Duration> = None;
        let mut per_second = 0.0;
        for upstream in upstreams {
            if let State::Closed(rate, until) = self.state(now, upstream) {
                opens_at = Some(opens_at.map_or(until, |other| other.min(until)));
                per_second += rate.interval().as_secs_f64().recip();
            }
        }
        let Some(opens_at) = opens_at else {
            return Duration::ZERO;
        };
        let hosts = self.fleet.len().max(1) as f64;
        let interval = Duration::from_secs_f64(hosts / per_second);
        self.returns.schedule(now, service, opens_at, interval)
    }

    /// Takes what other hosts have to be told: all of them, or, where another host tells all, the
    /// hosts that grant the permits.
    pub fn take_unpublished(&mut self, now: Duration) -> (Vec<Stated>, Vec<(HostId, Stated)>) {
        let (mut to_all, mut to_granters) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.unpublished) {
            let Some(stated) = self.stated(now, &id) else {
                continue;
            };
            if self.is_publisher(now, &id) {
                to_all.push(stated);
                continue;
            }
            let granters = self.upstreams.get(&id).into_iter();
            let hosts = granters.flat_map(|upstream| upstream.granters.hosts());
            let others = hosts.filter(|host| **host != self.own);
            to_granters.extend(others.map(|host| (host.clone(), stated.clone())));
        }
        (to_all, to_granters)
    }

    /// Returns whether other hosts have to be told something.
    pub fn has_unpublished(&self) -> bool {
        !self.unpublished.is_empty()
    }

    /// Returns whether this host tells all others what an upstream states, as far as it knows.
    fn is_publisher(&self, now: Duration, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get(id);
        let publisher = upstream.map(|known| known.granters.publisher(now, &self.silences));
        publisher.is_some_and(|host| host.is_none_or(|host| *host == self.own))
    }

    fn stated(&self, now: Duration, id: &UpstreamId) -> Option<Stated> {
        let upstream = self.upstreams.get(id)?;
        Some(Stated {
            upstream: id.to_string(),
            started_ms: upstream.started_ms,
            rate: upstream.rate.map(Rate::per_second),
            age_us: now.saturating_sub(upstream.stated_at).as_micros() as u64,
        })
    }
}
