//! Choice of the hosts that grant the permits for an upstream.
//!
//! Every host ranks the hosts that it knows by rendezvous hashing; the first two grant half of the
//! rate each, so that the upstream is used on when one of them dies. Views of the fleet differ for
//! a while when hosts join, die or are cut off from the store, so a host only grants its half while
//! its own view is confirmed, and after it has been one of the two for the time that other views
//! can be old. This keeps a third host from granting at the same time. A host that is cut off from
//! the store goes on with half of its part: another host may have taken over, or the store may be
//! away for all of them.

use {
    super::Rate,
    crate::{
        fleet::{WeightedHost, rank},
        id::{HostId, UpstreamId},
    },
    std::{collections::VecDeque, time::Duration},
};

/// Hosts that grant the permits for one upstream.
const GRANTERS: usize = 2;
/// Time after which to ask again a host that does not grant.
const ELSEWHERE_WAIT: Duration = Duration::from_millis(500);

/// Time by which the time of day may run ahead of the monotonic clock between two readings, for
/// example because it is set. After a suspension of less than this, views are not too old.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// The fleet as this host has seen it.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    own: HostId,
    /// Time for which a view is confirmed by a renewal of this host's row and the count of all
    /// rows. It must be shorter than the time after which others take this host for dead. Also the
    /// time for which a host must have been a granter before it grants.
    term: Duration,
    /// Views in effect during the last term, the newest last.
    views: VecDeque<View>,
    /// Start of the last round that renewed this host's row and counted all rows.
    confirmed_at: Option<Duration>,
    /// Since when the view has been confirmed without a gap.
    confirmed_since: Duration,
    /// Last readings of the monotonic clock and of the time of day.
    clocks: Option<(Duration, Duration)>,
}

/// Part of a rate that a host may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Part {
    /// Number by which the whole rate is divided.
    divisor: u32,
    /// Place of the host among the granters, from 0.
    rank: u32,
}

impl Part {
    /// Creates the part of one of so many granters.
    fn new(granters: usize, rank: usize, is_confirmed: bool) -> Self {
        let doubt = if is_confirmed { 1 } else { 2 };
        Self {
            divisor: granters as u32 * doubt,
            rank: rank as u32,
        }
    }

    /// Returns the time between two permits of this part.
    pub(super) fn interval(self, rate: Rate) -> Duration {
        rate.interval() * self.divisor
    }

    /// Returns the place of the host among the granters, from 0.
    pub(super) fn rank(self) -> u32 {
        self.rank
    }
}

/// How the known hosts have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// A host has joined; others may have left.
    Joined,
    /// Hosts have left.
    Left,
}

#[derive(Clone, Debug)]
struct View {
    since: Duration,
    hosts: Vec<WeightedHost>,
}

impl View {
    fn granters(&self, upstream: &UpstreamId) -> Vec<&HostId> {
        let mut ranked = rank(upstream, &self.hosts);
        ranked.truncate(GRANTERS);
        ranked
    }
}

impl Fleet {
    pub(super) fn new(own: HostId, term: Duration) -> Self {
        Self {
            own,
            term,
            views: VecDeque::new(),
            confirmed_at: None,
            confirmed_since: Duration::ZERO,
            clocks: None,
        }
    }

    /// Compares the monotonic clock with the time of day. The confirmation is lost when the first
    /// has stood still, because the machine was suspended.
    pub(super) fn check_clocks(&mut self, now: Duration, wall: Duration) {
        if let Some((last, last_wall)) = self.clocks.replace((now, wall)) {
            let counted = now.saturating_sub(last) + CLOCK_TOLERANCE;
            if wall.saturating_sub(last_wall) > counted {
                self.confirmed_at = None;
            }
        }
    }

    /// Replaces the known hosts. `confirmed_at` is the start of the round if it also renewed this
    /// host's row. Returns the change, if there is one.
    pub(super) fn update(
        &mut self,
        now: Duration,
        hosts: Vec<WeightedHost>,
        confirmed_at: Option<Duration>,
    ) -> Option<Change> {
        if !self.is_confirmed(now) {
            self.confirmed_since = now;
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        let ended = |next: &View| next.since + self.term <= now;
        while self.views.get(1).is_some_and(ended) {
            self.views.pop_front();
        }
        let known = self.views.back().map_or(&[][..], |view| &view.hosts);
        if known == hosts {
            return None;
        }
        let change = match hosts.iter().any(|host| !known.contains(host)) {
            true => Change::Joined,
            false => Change::Left,
        };
        let since = now;
        self.views.push_back(View { since, hosts });
        Some(change)
    }

    /// Returns the number of hosts; 0 until they have been counted.
    pub(super) fn len(&self) -> usize {
        self.views.back().map_or(0, |view| view.hosts.len())
    }

    /// Returns the hosts to ask for permits, as far as this host knows, by rank.
    pub(super) fn granters(&self, upstream: &UpstreamId) -> Vec<&HostId> {
        let view = self.views.back();
        view.map_or_else(Vec::new, |view| view.granters(upstream))
    }

    /// Returns which part of the rate of an upstream this host may grant.
    ///
    /// # Errors
    /// The time after which to ask again, when it is none.
    pub(super) fn part(&self, now: Duration, upstream: &UpstreamId) -> Result<Part, Duration> {
        let mut granter_since = None;
        // Another granter of any view in effect during the last term may still grant its half.
        let mut granters = 0;
        let mut rank = 0;
        for view in &self.views {
            let known = view.granters(upstream);
            let place = known.iter().position(|host| **host == self.own);
            rank = place.unwrap_or(rank);
            granter_since = place.map(|_| granter_since.unwrap_or(view.since));
            granters = granters.max(known.len());
        }
        let grants_from = granter_since.ok_or(ELSEWHERE_WAIT)? + self.term;
        if grants_from > now {
            return Err(grants_from - now);
        }
        let is_confirmed = self.is_confirmed(now) && self.confirmed_since + self.term <= now;
        Ok(Part::new(granters, rank, is_confirmed))
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) <= self.term;
        self.confirmed_at.is_some_and(is_recent)
    }
}
