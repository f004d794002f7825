//! Requests that still run on withdrawn upstreams, by host.
//!
//! The host that an operator calls asks the others over the internal protocol. Gossip would cost
//! more: a count that changes is a mark of about 45 bytes that each of 390 hosts sends 11 times,
//! whether an operator looks or not. A question and its answer are about 150 bytes on two hosts.

#[cfg(test)]
mod tests;

use {
    super::Admin,
    futures_util::future::join_all,
    marigoldroute_core::{
        id::{HostId, Version},
        wire::{Body, Count, Counted},
    },
    std::{
        collections::BTreeMap,
        sync::{MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Hosts that are asked within [`WINDOW`]: about 5 KB, in plus out. With the 16 KB of a busy host
/// that stays below the limit of 24 KB per second and node; 390 hosts take 13 s.
const ASKED_HOSTS: usize = 32;
/// Time to which the bound on questions applies.
const WINDOW: Duration = Duration::from_secs(1);

/// What is known of a host.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// When it was asked last.
    asked: Duration,
    /// Its last answer.
    answer: Option<Answer>,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    version: Version,
    running: u64,
}

/// Answers of other hosts, and the bound on questions.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    known: BTreeMap<HostId, Known>,
    window: Duration,
    /// Questions in the present window.
    asked: usize,
}

impl Counts {
    /// Returns the hosts to ask now, those first that were not asked for longest, and notes that
    /// they are asked.
    ///
    /// A host with the version that has once nothing left gets no new work there, so it is not
    /// asked again.
    fn due(&mut self, now: Duration, hosts: &[HostId], version: Version) -> Vec<HostId> {
        self.known.retain(|host, _| hosts.contains(host));
        if now.saturating_sub(self.window) >= WINDOW {
            (self.window, self.asked) = (now, 0);
        }
        let mut due: Vec<_> = hosts
            .iter()
            .map(|host| (self.known.get(host).copied().unwrap_or_default(), host))
            .filter(|(known, _)| !known.is_idle(version))
            .collect();
        due.sort_by_key(|(known, _)| known.asked);
        due.truncate(ASKED_HOSTS.saturating_sub(self.asked));
        self.asked += due.len();
        let due: Vec<HostId> = due.into_iter().map(|(_, host)| host.clone()).collect();
        for host in &due {
            self.known.entry(host.clone()).or_default().asked = now;
        }
        due
    }

    fn note(&mut self, host: &HostId, counted: Counted) {
        if let Some(known) = self.known.get_mut(host) {
            known.answer = Some(Answer {
                version: counted.version,
                running: counted.running,
            });
        }
    }

    fn running(&self, host: &HostId, version: Version) -> Option<u64> {
        let answer = self.known.get(host)?.answer;
        let answer = answer.filter(|answer| answer.version >= version);
        answer.map(|answer| answer.running)
    }
}

impl Known {
    fn is_idle(self, version: Version) -> bool {
        let idle = |answer: Answer| answer.version >= version && answer.running == 0;
        self.answer.is_some_and(idle)
    }
}

impl Admin {
    /// Returns the requests that run on withdrawn upstreams through each of `hosts`, as they
    /// answered last with `version` or a newer one in effect.
    pub(super) async fn running(
        &self,
        hosts: &[HostId],
        version: Version,
    ) -> BTreeMap<HostId, u64> {
        let others: Vec<_> = hosts.iter().filter(|host| **host != self.host).collect();
        let others: Vec<HostId> = others.into_iter().cloned().collect();
        let due = self.lock_counts().due(self.clock.now(), &others, version);
        let answers = join_all(due.iter().map(|host| self.ask(host))).await;
        let own = self.control.snapshot();
        let mut counts = self.lock_counts();
        for (host, counted) in due.iter().zip(answers) {
            if let Some(counted) = counted {
                counts.note(host, counted);
            }
        }
        let running = |host: &HostId| match *host == self.host {
            true => Some(self.dispatcher.count_withdrawn(&own.catalog)),
            false => counts.running(host, version),
        };
        let known = hosts.iter().map(|host| (host, running(host)));
        known
            .filter_map(|(host, running)| Some((host.clone(), running?)))
            .collect()
    }

    async fn ask(&self, host: &HostId) -> Option<Counted> {
        let address = self.control.snapshot().address(host)?;
        let body = Body::Count(Count {});
        match self.links.call(host, address, body).await {
            Ok(Body::Counted(counted)) => Some(counted),
            _ => None,
        }
    }

    fn lock_counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
