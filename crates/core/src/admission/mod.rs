//! Whether an upstream may be sent a request.
//!
//! [`Admission`] is what one host knows about the upstreams on the list that limits what it may
//! send them. [`Admission::standing`] decides for every path to an upstream, when an upstream is
//! chosen and again right before a request is sent. Failures and load are no part of it: they make
//! the routing policy prefer other upstreams, and bar none.

mod cold;
mod evacuation;
mod pause;

pub use {
    cold::{ColdSettings, ColdStarts},
    evacuation::Evacuation,
};

use {
    crate::{
        id::{HostId, ServiceId, UpstreamId, Zone},
        throttle::{Process, Rate, State, Throttle},
    },
    derive_more::Display,
    pause::Pause,
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Time for which the notices of an upstream are kept after it has left the list; it may come back
/// without a new start.
const MEMORY: Duration = Duration::from_secs(600);
/// Upstreams that have left and whose notices are kept at most; with more, those that left first
/// are forgotten.
const MEMORY_LIMIT: usize = 1_024;
/// Shift of the end of a pause from which on it is reported: requests that were under way are
/// turned away one after the other.
const NOTABLE_CHANGE: Duration = Duration::from_millis(500);

/// What an answer says about requests that its upstream gets later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether this process of the upstream leaves, and takes nothing new.
    pub is_leaving: bool,
    /// Time for which the upstream wants nothing from this host; `None` when the answer asks for no
    /// pause.
    pub pause: Option<Duration>,
}

/// A change of what this host knows from notices, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream leaves.
    Leaving,
    /// The upstream asks for a pause of this time; not reported again for one that hardly moves the
    /// end of a pause in effect.
    Paused(Duration),
    /// The upstream has answered after its pause.
    Resumed,
}

/// What the host is about to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// To choose an upstream, while it may have this many requests in flight at each.
    Choose {
        /// Requests in flight at which an upstream gets no other one.
        limit: u32,
    },
    /// To send a request that is assigned to the upstream and counts as in flight there.
    Send {
        /// Start of the process that it is assigned to.
        started_ms: u64,
        /// Whether the request has acquired a permit.
        has_permit: bool,
        /// When it was assigned.
        assigned_at: Duration,
    },
}

/// Whether an upstream may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It may.
    Open,
    /// It may, with a permit.
    Limited(Rate),
    /// It may not.
    Barred(Bar),
}

/// Why an upstream gets no request.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Bar {
    /// It, or the process that was chosen, is not on the list, or takes no new work by the list.
    #[display("not on the list")]
    Unlisted,
    /// Operators have evacuated its availability zone.
    #[display("in an evacuated zone")]
    Evacuated,
    /// It has said that it leaves.
    #[display("leaves")]
    Leaving,
    /// It has asked for a pause, which ends at this time.
    #[display("asks for a pause")]
    Paused(Duration),
    /// It is cold, and takes nothing more from this host before this time.
    #[display("cold")]
    Cold(Duration),
    /// There is no permit before this time at the rate that it states.
    #[display("no permit")]
    Spent(Rate, Duration),
    /// The first request after its pause is not answered yet; others follow at this time at the
    /// latest.
    #[display("first request after a pause")]
    Resuming(Duration),
    /// This host has as many requests in flight there as it may have.
    #[display("at its limit")]
    Full,
}

/// What this host knows about one upstream.
#[derive(Clone, Debug)]
struct Upstream {
    /// Start of the process, in milliseconds since 1970. Notices hold for this process alone.
    started_ms: u64,
    zone: Zone,
    /// When it left the list or took no new work; `None` while it is listed.
    left_at: Option<Duration>,
    /// Whether this process has said that it leaves. It does not take that back.
    is_leaving: bool,
    pause: Option<Pause>,
    in_flight: u32,
}

impl Upstream {
    fn has_notice(&self, now: Duration) -> bool {
        self.is_leaving || self.pause.is_some_and(|pause| pause.opens_at() > now)
    }

    fn pause(&mut self, now: Duration, asked: Duration, names: (&str, &str)) -> Option<Change> {
        let pause = Pause::new(now, asked, names);
        let known = self.pause.filter(|known| known.opens_at() > now);
        let Some(known) = known else {
            self.pause = Some(pause);
            return Some(Change::Paused(asked));
        };
        let extended = known.extended(pause);
        self.pause = Some(extended);
        let moved = extended.opens_at() - known.opens_at();
        (moved >= NOTABLE_CHANGE).then_some(Change::Paused(asked))
    }

    /// Records an answer that asks for no pause. An answer to a request from before the end of the
    /// pause does not tell that the upstream takes requests again.
    fn resume(&mut self, sent_at: Duration) -> Option<Change> {
        self.pause.take_if(|pause| pause.opens_at() <= sent_at)?;
        Some(Change::Resumed)
    }

    /// Returns whether nothing is lost when the upstream is forgotten.
    fn is_forgettable(&self, now: Duration) -> bool {
        self.left_at.is_some_and(|at| {
            let is_old = now.saturating_sub(at) > MEMORY;
            self.in_flight == 0 && (is_old || !self.has_notice(now))
        })
    }
}

/// What one host knows about upstreams that limits what it may send them.
#[derive(Clone, Debug)]
pub struct Admission {
    own: HostId,
    upstreams: HashMap<UpstreamId, Upstream>,
    /// Availability zones that operators have evacuated, also ones without upstreams.
    evacuated: BTreeSet<Zone>,
    throttle: Throttle,
    cold_starts: ColdStarts,
}

impl Admission {
    /// Creates the state of the host `own`, which knows no upstreams.
    pub fn new(own: HostId, throttle: Throttle, cold: ColdSettings) -> Self {
        Self {
            cold_starts: ColdStarts::new(own.clone(), cold),
            own,
            upstreams: HashMap::new(),
            evacuated: BTreeSet::new(),
            throttle,
        }
    }

    /// Returns the rates that upstreams state.
    pub fn throttle(&mut self) -> &mut Throttle {
        &mut self.throttle
    }

    /// Returns the cold upstreams.
    pub fn cold_starts(&mut self) -> &mut ColdStarts {
        &mut self.cold_starts
    }

    /// Records that a process of an upstream in a zone is on the list and takes work. A process that
    /// was not known before is free of the notices of an earlier one.
    pub fn join(&mut self, now: Duration, process: &Process, zone: &Zone) {
        self.throttle.join(process);
        self.upstreams
            .retain(|id, upstream| *id == process.upstream || !upstream.is_forgettable(now));
        let upstream = self.upstreams.entry(process.upstream.clone());
        let upstream = upstream.or_insert(Upstream {
            started_ms: process.started_ms,
            zone: zone.clone(),
            left_at: None,
            is_leaving: false,
            pause: None,
            in_flight: 0,
        });
        upstream.left_at = None;
        upstream.zone.clone_from(zone);
        if upstream.started_ms != process.started_ms {
            upstream.started_ms = process.started_ms;
            upstream.is_leaving = false;
            upstream.pause = None;
        }
    }

    /// Records that an upstream has left the list, or takes no new work by the list.
    pub fn leave(&mut self, now: Duration, id: &UpstreamId) {
        self.throttle.leave(now, id);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.left_at.get_or_insert(now);
        }
        self.upstreams
            .retain(|_, upstream| !upstream.is_forgettable(now));
        let gone = self.upstreams.iter().filter_map(|(id, upstream)| {
            let left_at = upstream.left_at.filter(|_| upstream.in_flight == 0)?;
            Some((left_at, id.clone()))
        });
        let mut gone: Vec<_> = gone.collect();
        if gone.len() > MEMORY_LIMIT {
            gone.sort_unstable();
            for (_, id) in &gone[..gone.len() - MEMORY_LIMIT] {
                self.upstreams.remove(id);
            }
        }
    }

    /// Returns whether an upstream may get a request now.
    pub fn standing(&self, now: Duration, id: &UpstreamId, stage: Stage) -> Standing {
        let Some(upstream) = self.upstreams.get(id) else {
            return Standing::Barred(Bar::Unlisted);
        };
        let is_current = match stage {
            Stage::Choose { .. } => true,
            Stage::Send { started_ms, .. } => started_ms == upstream.started_ms,
        };
        if upstream.left_at.is_some() || !is_current {
            return Standing::Barred(Bar::Unlisted);
        }
        if self.evacuated.contains(&upstream.zone) {
            return Standing::Barred(Bar::Evacuated);
        }
        if upstream.is_leaving {
            return Standing::Barred(Bar::Leaving);
        }
        let pause = upstream
            .pause
            .map_or(pause::State::Over, |pause| pause.state(now));
        match (pause, stage) {
            (pause::State::Closed(until), _) => return Standing::Barred(Bar::Paused(until)),
            (pause::State::Resuming(until), Stage::Choose { .. }) => {
                return Standing::Barred(Bar::Resuming(until));
            }
            // The request at hand may be the one whose answer the others wait for.
            (pause::State::Resuming(_), Stage::Send { .. }) | (pause::State::Over, _) => {}
        }
        let cold = match stage {
            Stage::Choose { .. } => self.cold_starts.closed_until(now, id),
            Stage::Send { assigned_at, .. } => {
                let is_uncounted = self.cold_starts.is_uncounted(now, id, assigned_at);
                is_uncounted.then_some(now)
            }
        };
        if let Some(until) = cold {
            return Standing::Barred(Bar::Cold(until));
        }
        let rate = self.throttle.state(now, id);
        match stage {
            Stage::Choose { limit } => match rate {
                State::Closed(rate, until) => Standing::Barred(Bar::Spent(rate, until)),
                _ if upstream.in_flight >= limit => Standing::Barred(Bar::Full),
                State::Limited(rate) => Standing::Limited(rate),
                State::Free => Standing::Open,
            },
            Stage::Send { has_permit, .. } => match rate {
                State::Free => Standing::Open,
                State::Limited(_) | State::Closed(..) if has_permit => Standing::Open,
                // The rate was stated after the upstream had been chosen.
                State::Limited(rate) => Standing::Barred(Bar::Spent(rate, now)),
                State::Closed(rate, until) => Standing::Barred(Bar::Spent(rate, until)),
            },
        }
    }

    /// Counts a request as in flight at the upstream that was chosen for it; returns the process
    /// that it was chosen from the list, or `None` if the upstream is not known.
    pub fn begin(&mut self, now: Duration, id: &UpstreamId) -> Option<Process> {
        let upstream = self.upstreams.get_mut(id)?;
        upstream.in_flight += 1;
        self.cold_starts.count(now, id);
        if let Some(pause) = &mut upstream.pause {
            pause.begin(now);
        }
        Some(Process {
            upstream: id.clone(),
            started_ms: upstream.started_ms,
        })
    }

    /// Records that a request is no longer in flight; returns whether its upstream has left the
    /// list and has no other request of this host.
    pub fn end(&mut self, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return true;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        self.is_done(id)
    }

    /// Returns whether an upstream has left the list and has no request of this host in flight.
    pub fn is_done(&self, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_none_or(|upstream| upstream.left_at.is_some() && upstream.in_flight == 0)
    }

    /// Records what an answer of a process says. `sent_at` is when its request was sent.
    pub fn record(
        &mut self,
        now: Duration,
        process: &Process,
        sent_at: Duration,
        notice: Notice,
    ) -> Option<Change> {
        let upstream = self.upstreams.get_mut(&process.upstream)?;
        if upstream.started_ms != process.started_ms {
            return None;
        }
        let asked = notice.pause.filter(|asked| !asked.is_zero());
        let change = match asked {
            Some(asked) => upstream.pause(now, asked, (&self.own, &process.upstream)),
            None => upstream.resume(sent_at),
        };
        if notice.is_leaving && !std::mem::replace(&mut upstream.is_leaving, true) {
            return Some(Change::Leaving);
        }
        change
    }

    /// Returns the time after which a caller should return who was refused because none of these
    /// upstreams of a service takes a request: when the first of them does, and spread out from
    /// then on. `None` if one of them takes requests now, or none of them will.
    pub fn schedule_return(
        &mut self,
        now: Duration,
        service: &ServiceId,
        ids: &[&UpstreamId],
    ) -> Option<Duration> {
        let mut spent = Vec::new();
        let mut resumed: Option<Duration> = None;
        for id in ids {
            // The limit of requests in flight is no reason to come back later.
            let stage = Stage::Choose { limit: u32::MAX };
            match self.standing(now, id, stage) {
                Standing::Open | Standing::Limited(_) => return None,
                Standing::Barred(bar) => match bar {
                    Bar::Unlisted | Bar::Evacuated | Bar::Leaving => {}
                    Bar::Spent(..) => spent.push(*id),
                    Bar::Paused(_) => {
                        let pause = self.upstreams.get(*id).and_then(|known| known.pause);
                        let turn = pause.map_or(now, |pause| pause.turn(now));
                        resumed = Some(resumed.map_or(turn, |other| other.min(turn)));
                    }
                    Bar::Resuming(until) => {
                        resumed = Some(resumed.map_or(until, |other| other.min(until)));
                    }
                    Bar::Cold(until) => {
                        let turn = self.cold_starts.turn(now, until);
                        resumed = Some(resumed.map_or(turn, |other| other.min(turn)));
                    }
                    Bar::Full => return None,
                },
            }
        }
        let resumed = resumed.map(|at| at.saturating_sub(now));
        if spent.is_empty() {
            return resumed;
        }
        let permitted = self
            .throttle
            .schedule_return(now, service, spent.into_iter());
        Some(resumed.map_or(permitted, |after| after.min(permitted)))
    }
}
