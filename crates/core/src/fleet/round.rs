//! The messages that a host sends by itself.

use {
    super::{
        health::FAILING_TIME,
        mark::{Evidence, Fact, Gossip, Kind},
        probe::Attempt,
        queue::Urgency,
        roster::Peer,
        view::View,
    },
    crate::id::{HostId, UpstreamId},
    rand::{Rng, seq::IteratorRandom},
    std::time::Duration,
};

/// Peers that an urgent message goes to.
const URGENT_FANOUT: usize = 2;
/// Hosts in an answer that are news from which on the next digest is sent at once. A host that has
/// just started lacks many hosts; one that missed a few marks does not.
const MANY_HOSTS: u32 = 8;
/// Hosts in doubt that are asked in one round.
const DOUBTS: usize = 8;
/// Hosts of the platform's list that are contacted while no peer is known.
const FIRST_CONTACTS: usize = 3;

impl View {
    /// Returns the messages to send now.
    pub fn tick(&mut self, now: Duration, random: &mut impl Rng) -> Vec<(HostId, Gossip)> {
        self.expire(now);
        if now >= self.next_round {
            self.next_round = now + self.settings.round;
            return self.exchange(now, random);
        }
        if !self.queue.has_urgent() {
            return Vec::new();
        }
        let marks = self.queue.take_urgent(self.settings.urgent_bytes);
        let message = self.message(Kind::Urgent, marks);
        let chosen = self.roster.alive().choose_multiple(random, URGENT_FANOUT);
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

    fn exchange(&mut self, now: Duration, random: &mut impl Rng) -> Vec<(HostId, Gossip)> {
        self.renew(now);
        let is_digest = now >= self.next_digest;
        if is_digest {
            self.next_digest = now + self.settings.digest_interval;
        }
        let buckets = match is_digest {
            true => self.buckets(now),
            false => Vec::new(),
        };
        let mut messages = Vec::new();
        for (peer, attempt) in self.targets(now, random) {
            self.probes.sent(now, &peer, attempt);
            let marks = self.queue.take(self.settings.message_bytes);
            let message = Gossip {
                buckets: buckets.clone(),
                ..self.message(Kind::Exchange, marks)
            };
            messages.push((peer, message));
        }
        messages.extend(self.doubts());
        messages
    }

    /// Asks hosts that others know as alive to refute that they are gone. Without this, the two
    /// sides of a partition know each other again only when they have forgotten each other.
    fn doubts(&mut self) -> Vec<(HostId, Gossip)> {
        let mut messages = Vec::new();
        while messages.len() < DOUBTS
            && let Some(host) = self.doubted.pop_first()
        {
            if let Some(doubt) = self.doubt(&host) {
                let marks = vec![Fact::Suspicion(doubt).into()];
                messages.push((host, self.message(Kind::Urgent, marks)));
            }
        }
        messages
    }

    /// Sends the next digest at once when the last one showed that much was missing.
    pub(super) fn hurry_repair(&mut self, now: Duration, new_hosts: u32) {
        if new_hosts >= MANY_HOSTS {
            self.next_digest = now;
        }
    }

    fn targets(&mut self, now: Duration, random: &mut impl Rng) -> Vec<(HostId, Attempt)> {
        let zone = &self.me.host.zone;
        let pick = |is_wanted: &dyn Fn(&&Peer) -> bool, random: &mut _| {
            let wanted = self.roster.alive().filter(is_wanted);
            wanted.choose(random).map(|peer| peer.host.id.clone())
        };
        let near = pick(&|peer| peer.host.zone == *zone, random);
        let far = pick(&|peer| peer.host.zone != *zone, random);
        let first = near.or_else(|| pick(&|peer| Some(&peer.host.id) != far.as_ref(), random));
        let second = far.or_else(|| pick(&|peer| Some(&peer.host.id) != first.as_ref(), random));
        let chosen = first.into_iter().chain(second);
        let mut targets: Vec<_> = chosen.map(|peer| (peer, Attempt::Random)).collect();
        for peer in self.probes.take_retries() {
            targets.push((peer, Attempt::Again));
        }
        for peer in self.contacts(now, random) {
            targets.push((peer, Attempt::Again));
        }
        targets.sort_by(|(left, _), (right, _)| left.cmp(right));
        targets.dedup_by(|(left, _), (right, _)| left == right);
        targets
    }

    /// Returns hosts of the platform's list that are not known as alive. This joins a host that
    /// starts, and the two sides of a partition when it ends.
    fn contacts(&self, now: Duration, random: &mut impl Rng) -> Vec<HostId> {
        let is_alone = self.roster.alive().next().is_none();
        let is_digest_round = self.next_digest == now + self.settings.digest_interval;
        let count = match (is_alone, is_digest_round) {
            (true, _) => FIRST_CONTACTS,
            (false, true) => 1,
            (false, false) => 0,
        };
        let is_missing = |id: &HostId| {
            let peer = self.roster.get(id);
            *id != self.me.host.id && !peer.is_some_and(Peer::is_alive)
        };
        let listed = self.listing.hosts.iter().map(|listed| &listed.id);
        let missing = listed.filter(|id| is_missing(id)).cloned();
        missing.choose_multiple(random, count)
    }

    fn expire(&mut self, now: Duration) {
        let suspects = self.probes.expire(now);
        let is_isolated = self.probes.is_isolated();
        for id in suspects {
            let me = &self.me.host.id;
            let peer = self.roster.get(&id).filter(|peer| peer.is_alive());
            let Some(mark) = peer.map(|peer| peer.suspicion(me)) else {
                continue;
            };
            let is_news = self.roster.suspect(now, &mark);
            if is_news && !is_isolated {
                self.spread(Fact::Suspicion(mark), Urgency::Regular);
            }
        }
        self.roster.settle(now, &self.me.host.id);
        let roster = &self.roster;
        let is_alive = |id: &HostId| roster.get(id).is_some_and(Peer::is_alive);
        self.probes.retain(is_alive);
    }

    /// Repeats reports of failures before they expire elsewhere.
    fn renew(&mut self, now: Duration) {
        if self.is_own_fault() {
            return;
        }
        let me = &self.me.host.id;
        let due: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, health)| health.is_out() && health.is_due(now, me, FAILING_TIME * 2 / 3))
            .map(|(id, _)| id.clone())
            .collect();
        for upstream in due {
            self.tell(now, &upstream, Evidence::Failing);
        }
    }
}
