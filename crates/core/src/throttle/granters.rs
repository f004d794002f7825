//! The hosts that one host asks for the permits of an upstream.

use {super::Silences, crate::id::HostId, std::time::Duration};

/// Hosts that grant the permits for one upstream, with the times at which each may be asked again.
#[derive(Clone, Debug, Default)]
pub(super) struct Granters {
    /// By rank; empty until the fleet has been counted.
    hosts: Vec<Granter>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Granter {
    host: HostId,
    /// Until when this host does not ask it.
    closed_until: Duration,
}

impl Granter {
    fn opens_at(&self, silences: &Silences) -> Duration {
        let silent_until = silences.get(&self.host).copied();
        self.closed_until.max(silent_until.unwrap_or_default())
    }
}

impl Granters {
    /// Replaces the hosts. A wait ends with the host that it was for.
    pub(super) fn update(&mut self, now: Duration, hosts: &[&HostId]) {
        let granter = |host: &&HostId| {
            let known = self.hosts.iter().find(|known| known.host == **host);
            known.cloned().unwrap_or_else(|| Granter {
                host: (*host).clone(),
                closed_until: now,
            })
        };
        self.hosts = hosts.iter().map(granter).collect();
    }

    /// Lets all of them be asked.
    pub(super) fn open(&mut self, now: Duration) {
        for granter in &mut self.hosts {
            granter.closed_until = now;
        }
    }

    /// Keeps one of them from being asked before this time.
    pub(super) fn close(&mut self, host: &HostId, until: Duration) {
        let granter = self.hosts.iter_mut().find(|granter| granter.host == *host);
        // It may have been replaced while it was asked.
        if let Some(granter) = granter {
            granter.closed_until = until;
        }
    }

    /// Returns when the first of them may be asked; `None` while none is known.
    pub(super) fn opens_at(&self, silences: &Silences) -> Option<Duration> {
        let times = self.hosts.iter().map(|granter| granter.opens_at(silences));
        times.min()
    }

    /// Returns the host to ask now: `own` if it is one of them, otherwise the one that has been
    /// open for longest, so that the questions of all hosts are spread.
    pub(super) fn choose(
        &self,
        now: Duration,
        own: &HostId,
        silences: &Silences,
    ) -> Option<&HostId> {
        let open = self
            .hosts
            .iter()
            .filter(|granter| granter.opens_at(silences) <= now);
        let chosen = open.min_by_key(|granter| (granter.host != *own, granter.opens_at(silences)));
        chosen.map(|granter| &granter.host)
    }

    /// Returns all of them.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.iter().map(|granter| &granter.host)
    }

    /// Returns the one that tells all hosts of a change: the first that is not silent.
    pub(super) fn publisher(&self, now: Duration, silences: &Silences) -> Option<&HostId> {
        let is_silent = |host: &HostId| silences.get(host).is_some_and(|until| *until > now);
        self.hosts()
            .find(|host| !is_silent(host))
            .or(self.hosts().next())
    }
}
