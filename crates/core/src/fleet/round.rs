//! Periodic messages of the membership exchange.

use {
    super::{
        health::FAILING_TTL,
        mark::{Evidence, Fact, Gossip, Kind},
        peer::Peer,
        probe::Selection,
        queue::Urgency,
        view::View,
    },
    crate::id::{HostId, UpstreamId},
    rand::{Rng, seq::IteratorRandom},
    std::time::Duration,
};

/// Peers that each urgent message is sent to.
const URGENT_FANOUT: usize = 2;
/// Newly learned hosts in an answer from which on the next exchange contains a digest. A host that
/// has just started lacks many hosts, whereas one that missed a few marks does not.
const DIGEST_THRESHOLD_HOSTS: u32 = 8;
/// Limit on the disputed hosts that are asked to refute in one round.
const REFUTATION_REQUEST_LIMIT: usize = 8;
/// Hosts of the platform's list that are contacted in one round while no live peer is known.
const BOOTSTRAP_CONTACTS: usize = 3;

impl View {
    /// Returns the messages to send at `now`, with their recipients.
    pub fn tick(&mut self, now: Duration, random: &mut impl Rng) -> Vec<(HostId, Gossip)> {
        self.expire_probes(now);
        if now >= self.next_exchange {
            self.next_exchange = now + self.settings.exchange_interval;
            return self.exchange(now, random);
        }
        if !self.queue.has_urgent() {
            return Vec::new();
        }
        let marks = self.queue.take_urgent(self.settings.urgent_limit_bytes);
        let message = self.message(Kind::Urgent, marks);
        let chosen = self.peers.alive().choose_multiple(random, URGENT_FANOUT);
        let send = |peer: &Peer| (peer.host.id.clone(), message.clone());
        chosen.into_iter().map(send).collect()
    }

    fn message(&self, kind: Kind, marks: Vec<super::Mark>) -> Gossip {
        Gossip {
            version: self.me.applied,
            buckets: Vec::new(),
            marks,
            kind: kind.into(),
        }
    }

    /// Returns the messages of a regular exchange.
    fn exchange(&mut self, now: Duration, random: &mut impl Rng) -> Vec<(HostId, Gossip)> {
        self.renew_failure_reports(now);
        let is_digest = now >= self.next_digest;
        if is_digest {
            self.next_digest = now + self.settings.digest_interval;
        }
        let buckets = match is_digest {
            true => self.buckets(now),
            false => Vec::new(),
        };
        let mut messages = Vec::new();
        for (peer, selection) in self.targets(now, random) {
            self.probes.record_sent(now, &peer, selection);
            let marks = self.queue.take(self.settings.message_limit_bytes);
            let message = Gossip {
                buckets: buckets.clone(),
                ..self.message(Kind::Exchange, marks)
            };
            messages.push((peer, message));
        }
        messages.extend(self.refutation_requests());
        messages
    }

    /// Asks hosts that are gone here, but alive according to others, to refute that they are gone.
    /// Without this, the two sides of a healed partition would accept each other only after the
    /// tombstones have expired.
    fn refutation_requests(&mut self) -> Vec<(HostId, Gossip)> {
        let mut messages = Vec::new();
        while messages.len() < REFUTATION_REQUEST_LIMIT
            && let Some(host) = self.disputed.pop_first()
        {
            if let Some(suspicion) = self.suspicion_of(&host) {
                let marks = vec![Fact::Suspicion(suspicion).into()];
                messages.push((host, self.message(Kind::Urgent, marks)));
            }
        }
        messages
    }

    /// Schedules a digest for the next exchange when an answer contained many hosts that were not
    /// known.
    pub(super) fn expedite_digest(&mut self, now: Duration, new_hosts: u32) {
        if new_hosts >= DIGEST_THRESHOLD_HOSTS {
            self.next_digest = now;
        }
    }

    /// Returns the peers of a regular exchange: a random one of the same availability zone, a
    /// random one of another zone, retries, and hosts of the platform's list.
    fn targets(&mut self, now: Duration, random: &mut impl Rng) -> Vec<(HostId, Selection)> {
        let zone = &self.me.host.zone;
        let pick = |is_wanted: &dyn Fn(&&Peer) -> bool, random: &mut _| {
            let wanted = self.peers.alive().filter(is_wanted);
            wanted.choose(random).map(|peer| peer.host.id.clone())
        };
        let near = pick(&|peer| peer.host.zone == *zone, random);
        let far = pick(&|peer| peer.host.zone != *zone, random);
        let first = near.or_else(|| pick(&|peer| Some(&peer.host.id) != far.as_ref(), random));
        let second = far.or_else(|| pick(&|peer| Some(&peer.host.id) != first.as_ref(), random));
        let chosen = first.into_iter().chain(second);
        let mut targets: Vec<_> = chosen.map(|peer| (peer, Selection::Random)).collect();
        for peer in self.probes.take_retries() {
            targets.push((peer, Selection::Directed));
        }
        for peer in self.contacts(now, random) {
            targets.push((peer, Selection::Directed));
        }
        targets.sort_by(|(left, _), (right, _)| left.cmp(right));
        targets.dedup_by(|(left, _), (right, _)| left == right);
        targets
    }

    /// Returns hosts of the platform's list that are not known as alive. By these contacts a host
    /// joins when it starts, and the two sides of a partition find each other when it heals.
    fn contacts(&self, now: Duration, random: &mut impl Rng) -> Vec<HostId> {
        let is_alone = self.peers.alive().next().is_none();
        let is_digest_round = self.next_digest == now + self.settings.digest_interval;
        let count = match (is_alone, is_digest_round) {
            (true, _) => BOOTSTRAP_CONTACTS,
            (false, true) => 1,
            (false, false) => 0,
        };
        let is_missing = |id: &HostId| {
            let peer = self.peers.get(id);
            *id != self.me.host.id && !peer.is_some_and(Peer::is_alive)
        };
        let listed = self.listing.hosts.iter().map(|listed| &listed.id);
        let missing = listed.filter(|id| is_missing(id)).cloned();
        missing.choose_multiple(random, count)
    }

    /// Suspects peers that did not answer, and resolves suspicions.
    fn expire_probes(&mut self, now: Duration) {
        let suspects = self.probes.expire(now);
        let is_isolated = self.probes.is_isolated();
        for id in suspects {
            let me = &self.me.host.id;
            let peer = self.peers.get(&id).filter(|peer| peer.is_alive());
            let Some(mark) = peer.map(|peer| peer.suspicion(me)) else {
                continue;
            };
            let is_newer = self.peers.record_suspicion(now, &mark);
            if is_newer && !is_isolated {
                self.enqueue(Fact::Suspicion(mark), Urgency::Regular);
            }
        }
        self.peers.expire(now, &self.me.host.id);
        let peers = &self.peers;
        let is_alive = |id: &HostId| peers.get(id).is_some_and(Peer::is_alive);
        self.probes.retain(is_alive);
    }

    /// Repeats own reports of failures before they expire on other hosts.
    fn renew_failure_reports(&mut self, now: Duration) {
        if self.has_local_fault() {
            return;
        }
        let me = &self.me.host.id;
        let due: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, health)| {
                health.is_ejected() && health.is_renewal_due(now, me, FAILING_TTL * 2 / 3)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for upstream in due {
            self.publish_report(now, &upstream, Evidence::Failing);
        }
    }
}
