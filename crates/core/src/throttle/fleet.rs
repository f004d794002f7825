//! Choice of the host that grants the permits for an upstream.
//!
//! Every host ranks the hosts that it knows by rendezvous hashing; the first one grants. Views of
//! the fleet differ for a while when hosts join, die or are cut off from the store, so a host only
//! grants while its own view is confirmed, and after it has been first for the time that other
//! views can be old. This keeps two hosts from granting at the same time.

use {
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
    /// Views in effect during the last term without a gap in the confirmation, the newest last.
    views: VecDeque<View>,
    /// Start of the last round that renewed this host's row and counted all rows.
    confirmed_at: Option<Duration>,
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
        }
    }

    /// Replaces the known hosts. `confirmed_at` is the start of the round if it also renewed this
    /// host's row. Returns whether a host has joined.
    pub(super) fn update(
        &mut self,
        now: Duration,
        hosts: Vec<WeightedHost>,
        confirmed_at: Option<Duration>,
    ) -> bool {
        if !self.is_confirmed(now) {
            // Others may have granted in the meantime.
            self.views.clear();
        }
        let known = self.views.back().map_or(&[][..], |view| &view.hosts);
        let has_joined = hosts.iter().any(|host| !known.contains(host));
        if known != hosts {
            let since = now;
            self.views.push_back(View { since, hosts });
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        let ended = |next: &View| next.since + self.term <= now;
        while self.views.get(1).is_some_and(ended) {
            self.views.pop_front();
        }
        has_joined
    }

    /// Returns the number of hosts; 0 until they have been counted.
    pub(super) fn len(&self) -> usize {
        self.views.back().map_or(0, |view| view.hosts.len())
    }

    /// Returns the host to ask for permits, as far as this host knows.
    pub(super) fn granter(&self, upstream: &UpstreamId) -> Option<&HostId> {
        self.views.back()?.first(upstream)
    }

    /// Checks that no other host grants permits for an upstream.
    ///
    /// # Errors
    /// The time after which to ask again.
    pub(super) fn check_grants(
        &self,
        now: Duration,
        upstream: &UpstreamId,
    ) -> Result<(), Duration> {
        if !self.is_confirmed(now) {
            return Err(ELSEWHERE_WAIT);
        }
        let is_own = |view: &View| view.first(upstream) == Some(&self.own);
        let mut first_since = None;
        for view in &self.views {
            first_since = is_own(view).then(|| first_since.unwrap_or(view.since));
        }
        let grants_from = first_since.map(|since| since + self.term);
        match grants_from.ok_or(ELSEWHERE_WAIT)? {
            from if from <= now => Ok(()),
            from => Err(from - now),
        }
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) <= self.term;
        self.confirmed_at.is_some_and(is_recent)
    }
}
