//! Choice of the host that grants the permits for an upstream.
//!
//! Every host ranks the hosts that it knows by rendezvous hashing; the first one grants. Views of
//! the fleet differ for a while when hosts join, die or are cut off from the store, so a host only
//! grants the whole rate while its own view is confirmed, and after it has been first for the time
//! that other views can be old. This keeps two hosts from granting the whole rate at the same time.
//! A host that is cut off from the store goes on with half of the rate: another host may have taken
//! over, or the store may be away for all of them.

use {
    super::Rate,
    crate::{
        fleet::{WeightedHost, rank},
        id::{HostId, UpstreamId},
    },
    std::{collections::VecDeque, time::Duration},
};

/// Time after which to ask again a host that does not grant.
const ELSEWHERE_WAIT: Duration = Duration::from_millis(500);

/// The fleet as this host has seen it.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    own: HostId,
    /// Time for which a view is confirmed by a renewal of this host's row and the count of all
    /// rows. It must be shorter than the time after which others take this host for dead. Also the
    /// time for which a host must have been first before it grants.
    term: Duration,
    /// Views in effect during the last term, the newest last.
    views: VecDeque<View>,
    /// Start of the last round that renewed this host's row and counted all rows.
    confirmed_at: Option<Duration>,
    /// Since when the view has been confirmed without a gap.
    confirmed_since: Duration,
}

/// Part of a rate that a host may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    /// No other host grants.
    Whole,
    /// Another host may grant the whole rate.
    Half,
}

impl Part {
    /// Returns the time between two permits of this part.
    pub(super) fn interval(self, rate: Rate) -> Duration {
        match self {
            Self::Whole => rate.interval(),
            Self::Half => rate.interval() * 2,
        }
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
    fn first(&self, upstream: &UpstreamId) -> Option<&HostId> {
        rank(upstream, &self.hosts).into_iter().next()
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

    /// Returns the host to ask for permits, as far as this host knows.
    pub(super) fn granter(&self, upstream: &UpstreamId) -> Option<&HostId> {
        self.views.back()?.first(upstream)
    }

    /// Returns which part of the rate of an upstream this host may grant.
    ///
    /// # Errors
    /// The time after which to ask again, when it is none.
    pub(super) fn part(&self, now: Duration, upstream: &UpstreamId) -> Result<Part, Duration> {
        let mut first_since = None;
        for view in &self.views {
            let is_first = view.first(upstream) == Some(&self.own);
            first_since = is_first.then(|| first_since.unwrap_or(view.since));
        }
        let grants_from = first_since.ok_or(ELSEWHERE_WAIT)? + self.term;
        if grants_from > now {
            return Err(grants_from - now);
        }
        match self.is_confirmed(now) && self.confirmed_since + self.term <= now {
            true => Ok(Part::Whole),
            false => Ok(Part::Half),
        }
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) <= self.term;
        self.confirmed_at.is_some_and(is_recent)
    }
}
