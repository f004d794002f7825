//! One host's view of the membership of the fleet and of the health of upstreams.

use {
    super::{
        health::{Health, Observation, Status},
        mark::{Applied, Evidence, Fact, Gossip, Held, HostMark, Kind, Phase, Report, Suspicion},
        peer::{self, Host, Listing, Peers, Progress},
        probe::Probes,
        queue::{Queue, Urgency},
        rank::{WeightedHost, rank},
    },
    crate::id::{HostId, UpstreamId, Version},
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Limit on the known upstreams; more than three times the target of 600.
pub(super) const UPSTREAM_LIMIT: usize = 2_000;
/// Limit on the disputed hosts that wait to be asked.
const DISPUTED_LIMIT: usize = 64;
/// Hosts of each availability zone that read the configuration from the store.
const POLLERS_PER_ZONE: usize = 2;
/// Failing upstreams from which on this host's own connection is the likely cause, if they are also
/// the majority of the upstreams that it knows.
const LOCAL_FAULT_UPSTREAMS: usize = 4;

/// Intervals and message sizes of a [`View`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two regular exchanges.
    pub exchange_interval: Duration,
    /// Time between two exchanges that contain a digest.
    pub digest_interval: Duration,
    /// Limit on the size of the marks in a regular message, without those that answer a digest.
    pub message_limit_bytes: usize,
    /// Limit on the size of the marks in an urgent message.
    pub urgent_limit_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            exchange_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(10),
            message_limit_bytes: 1_200,
            urgent_limit_bytes: 600,
        }
    }
}

/// State that this host publishes about itself.
#[derive(Clone, Debug)]
pub(super) struct LocalState {
    pub(super) host: Host,
    pub(super) revision: u64,
    pub(super) phase: Phase,
    pub(super) applied: Version,
    /// Sequence of this host's last report on an upstream.
    report_sequence: u64,
}

/// Membership of the fleet and health of the upstreams, as one host knows them.
///
/// [`tick`](Self::tick) is to be called every 200 ms and returns the messages to send.
/// [`receive`](Self::receive) processes the messages of other hosts.
#[derive(Debug)]
pub struct View {
    pub(super) settings: Settings,
    pub(super) me: LocalState,
    pub(super) peers: Peers,
    pub(super) upstreams: BTreeMap<UpstreamId, Health>,
    /// Latest mark on the model that each upstream holds.
    pub(super) held: BTreeMap<UpstreamId, Held>,
    pub(super) listing: Listing,
    pub(super) queue: Queue,
    pub(super) probes: Probes,
    /// Hosts that are gone according to this view, but alive according to another host.
    pub(super) disputed: BTreeSet<HostId>,
    pub(super) next_exchange: Duration,
    pub(super) next_digest: Duration,
}

impl View {
    /// Creates the view of a host that has just started.
    pub fn new(host: Host, settings: Settings, now: Duration) -> Self {
        let mut view = Self {
            settings,
            me: LocalState {
                host,
                revision: 1,
                phase: Phase::Joining,
                applied: 0,
                report_sequence: 0,
            },
            peers: Peers::default(),
            upstreams: BTreeMap::new(),
            held: BTreeMap::new(),
            listing: Listing::default(),
            queue: Queue::default(),
            probes: Probes::default(),
            disputed: BTreeSet::new(),
            next_exchange: now,
            next_digest: now,
        };
        view.announce();
        view
    }

    /// Changes the phase of this host and announces it. A phase that is not later than the current
    /// one is ignored; only a new incarnation starts over.
    pub fn enter(&mut self, phase: Phase) {
        if phase > self.me.phase {
            self.me.phase = phase;
            self.me.revision = self.me.revision.saturating_add(1);
            self.announce();
        }
    }

    /// Records and announces the configuration version in effect on this host.
    pub fn record_applied(&mut self, version: Version) {
        if version > self.me.applied {
            self.me.applied = version;
            let mark = Applied {
                id: self.me.host.id.to_string(),
                incarnation: self.me.host.incarnation,
                version,
            };
            self.enqueue(Fact::Applied(mark), Urgency::Regular);
        }
    }

    /// Replaces the platform's list of hosts and leaving upstreams.
    pub fn update_listing(&mut self, listing: Listing) {
        for (id, health) in &mut self.upstreams {
            health.is_listed_leaving = listing.leaving.contains(id);
        }
        for id in &listing.leaving {
            if let Some(health) = self.health_mut(id) {
                health.is_listed_leaving = true;
            }
        }
        self.listing = listing;
    }

    /// Records an observation of an upstream, and reports it to other hosts where it changes what
    /// they know.
    pub fn observe(&mut self, now: Duration, upstream: &UpstreamId, observation: Observation) {
        let Some(health) = self.health_mut(upstream) else {
            return;
        };
        let Some(evidence) = health.observe(now, observation) else {
            return;
        };
        let is_needed = health.needs_report(now, evidence);
        // A failure may be caused by this host's connection; a statement of the upstream cannot be.
        let is_local_fault = evidence == Evidence::Failing && self.has_local_fault();
        if is_needed && !is_local_fault {
            self.publish_report(now, upstream, evidence);
        }
    }

    /// Returns whether an upstream gets new work. Unknown upstreams do.
    pub fn status(&self, now: Duration, upstream: &str) -> Status {
        let is_trusted = |reporter: &HostId| {
            let peer = self.peers.get(reporter);
            *reporter == self.me.host.id
                || peer.is_some_and(|peer| peer.is_alive() && !peer.is_suspected())
        };
        let health = self.upstreams.get(upstream);
        health.map_or(Status::Up, |health| health.status(now, is_trusted))
    }

    /// Returns the hosts that take work: those alive in [`Phase::Ready`], including this one.
    pub fn ready_hosts(&self) -> Vec<WeightedHost> {
        let mut ready = self.peers.weighted_hosts(|peer| peer.phase == Phase::Ready);
        if self.me.phase == Phase::Ready {
            ready.push(self.weighted_self());
        }
        ready
    }

    /// Returns the other hosts that are alive, in any phase.
    pub fn peers(&self) -> Vec<HostId> {
        let alive = self.peers.alive();
        alive.map(|peer| peer.host.id.clone()).collect()
    }

    /// Returns the address of a host's internal protocol: its own statement, otherwise the
    /// platform's list.
    pub fn address(&self, host: &str) -> Option<Arc<str>> {
        let peer = self.peers.get(host).map(|peer| &peer.host.address);
        let listed = self.listing.hosts.iter().find(|listed| *listed.id == *host);
        peer.or(listed.map(|listed| &listed.address)).cloned()
    }

    /// Returns whether this host is one of those in its availability zone that read the
    /// configuration from the store, so that the others do not have to.
    pub fn is_poller(&self) -> bool {
        let zone = &self.me.host.zone;
        let mut hosts = self.peers.weighted_hosts(|peer| peer.host.zone == *zone);
        hosts.push(self.weighted_self());
        let ranked = rank("config/poller", &hosts);
        ranked
            .into_iter()
            .take(POLLERS_PER_ZONE)
            .any(|id| *id == self.me.host.id)
    }

    /// Returns on which hosts, including this one, a configuration version is in effect.
    pub fn progress(&self, version: Version) -> Progress {
        let mut progress = self.peers.progress(version);
        let me = self.me.host.id.clone();
        if self.me.applied >= version {
            progress.applied.push(me);
        } else {
            progress.behind.push((me, self.me.applied));
        }
        progress
    }

    /// Processes a message of another host; returns the answer, if there is one.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &HostId,
        gossip: &Gossip,
        random: &mut impl Rng,
    ) -> Option<Gossip> {
        let mut new_hosts = 0;
        for fact in gossip.marks.iter().filter_map(|mark| mark.fact.as_ref()) {
            let is_newer = self.merge(now, fact, random);
            new_hosts += u32::from(is_newer && matches!(fact, Fact::Host(_)));
        }
        match gossip.kind() {
            Kind::Urgent => None,
            Kind::Answer => {
                self.probes.record_answer(from);
                self.expedite_digest(now, new_hosts);
                None
            }
            Kind::Exchange => {
                let mut answer = self.answer(now, gossip, random);
                let suspicion = self
                    .suspicion_of(from)
                    .map(|suspicion| Fact::Suspicion(suspicion).into());
                answer.marks.extend(suspicion);
                Some(answer)
            }
        }
    }

    /// Returns the suspicion to send to a host that is gone or suspected, so that the host can
    /// refute it. It must be sent to that host only: other hosts would count it towards the quorum.
    pub(super) fn suspicion_of(&self, host: &str) -> Option<Suspicion> {
        let peer = self.peers.get(host);
        let suspect = peer.filter(|peer| !peer.is_alive() || peer.is_suspected());
        suspect.map(|peer| peer.suspicion(&self.me.host.id))
    }

    /// Records a host that is gone here, but alive according to the sender of `mark`.
    fn record_disputed(&mut self, mark: &HostMark) {
        let peer = self.peers.get(&mark.id).filter(|peer| !peer.is_alive());
        let Some(peer) = peer else {
            return;
        };
        let is_same = peer.order() == (mark.incarnation, mark.revision);
        if is_same && mark.phase() != Phase::Gone && self.disputed.len() < DISPUTED_LIMIT {
            self.disputed.insert(peer.host.id.clone());
        }
    }

    /// Merges a mark into this view, and queues it for other hosts if it is newer than what was
    /// known. Returns whether it was.
    fn merge(&mut self, now: Duration, fact: &Fact, random: &mut impl Rng) -> bool {
        let (is_newer, urgency) = match fact {
            Fact::Host(mark) if *mark.id == *self.me.host.id => {
                self.supersede(mark.incarnation, mark.revision);
                return false;
            }
            Fact::Suspicion(mark) if *mark.id == *self.me.host.id => {
                self.refute(mark);
                return false;
            }
            Fact::Host(mark) => {
                let urgency = match mark.phase() {
                    Phase::Draining | Phase::Gone => Urgency::Urgent,
                    Phase::Joining | Phase::Ready => Urgency::Regular,
                };
                self.record_disputed(mark);
                (self.peers.merge_host(now, mark), urgency)
            }
            Fact::Applied(mark) => (self.peers.merge_applied(mark), Urgency::Regular),
            Fact::Suspicion(mark) => (self.receive_suspicion(now, mark, random), Urgency::Regular),
            Fact::Report(mark) => (self.receive_report(now, mark), Urgency::Urgent),
            Fact::Held(mark) => (self.merge_held(mark), Urgency::Urgent),
        };
        if is_newer {
            self.enqueue(fact.clone(), urgency);
        }
        is_newer
    }

    /// Publishes a revision greater than that of a mark about this host that it did not make, which
    /// happens after a restart with the same incarnation.
    fn supersede(&mut self, incarnation: u64, revision: u64) {
        if incarnation == self.me.host.incarnation && revision > self.me.revision {
            self.me.revision = revision.saturating_add(1);
            self.announce();
        }
    }

    /// Refutes a suspicion against this host's current mark by a greater revision.
    fn refute(&mut self, mark: &Suspicion) {
        let own = (self.me.host.incarnation, self.me.revision);
        if (mark.incarnation, mark.revision) == own && self.me.phase != Phase::Gone {
            self.me.revision = self.me.revision.saturating_add(1);
            self.announce();
        }
    }

    fn receive_suspicion(
        &mut self,
        now: Duration,
        mark: &Suspicion,
        random: &mut impl Rng,
    ) -> bool {
        // About six of the hosts that receive a suspicion probe the suspected host themselves.
        const VERIFYING_HOSTS: f64 = 6.0;
        let is_newer = self.peers.record_suspicion(now, mark);
        let share = VERIFYING_HOSTS / (self.peers.alive().count() as f64).max(VERIFYING_HOSTS);
        if is_newer && random.random_bool(share) {
            self.probes.schedule_retry(mark.id.as_str().into());
        }
        is_newer
    }

    fn receive_report(&mut self, now: Duration, mark: &Report) -> bool {
        let order = (mark.incarnation, mark.sequence);
        let reporter: HostId = mark.reporter.as_str().into();
        if reporter == self.me.host.id {
            return false;
        }
        let evidence = mark.evidence();
        let health = self.health_mut(&mark.upstream.as_str().into());
        health.is_some_and(|health| health.record_report(now, &reporter, order, evidence))
    }

    /// Records a report of this host on an upstream, and queues it for other hosts.
    pub(super) fn publish_report(
        &mut self,
        now: Duration,
        upstream: &UpstreamId,
        evidence: Evidence,
    ) {
        self.me.report_sequence += 1;
        let order = (self.me.host.incarnation, self.me.report_sequence);
        let me = self.me.host.id.clone();
        if let Some(health) = self.health_mut(upstream) {
            health.record_report(now, &me, order, evidence);
        }
        let report = Report {
            upstream: upstream.to_string(),
            reporter: me.to_string(),
            incarnation: order.0,
            sequence: order.1,
            evidence: evidence.into(),
        };
        self.enqueue(Fact::Report(report), Urgency::Urgent);
    }

    /// Returns whether the failures that this host observes are likely caused by its own
    /// connection.
    pub(super) fn has_local_fault(&self) -> bool {
        let ejected = self
            .upstreams
            .values()
            .filter(|health| health.is_ejected())
            .count();
        let is_most = ejected * 2 > self.upstreams.len();
        self.probes.is_isolated() || ejected >= LOCAL_FAULT_UPSTREAMS && is_most
    }

    /// Queues a mark for other hosts.
    pub(super) fn enqueue(&mut self, fact: Fact, urgency: Urgency) {
        let hosts = self.peers.alive().count();
        self.queue.push(fact, hosts, urgency);
    }

    pub(super) fn host_mark(&self, id: &str) -> HostMark {
        match self.peers.get(id) {
            Some(peer) => peer.host_mark(),
            None => peer::host_mark(&self.me.host, self.me.revision, self.me.phase),
        }
    }

    /// Queues this host's mark of itself for other hosts.
    fn announce(&mut self) {
        let mark = self.host_mark(&self.me.host.id);
        self.enqueue(Fact::Host(mark), Urgency::Urgent);
    }

    fn weighted_self(&self) -> WeightedHost {
        WeightedHost {
            host: self.me.host.id.clone(),
            weight: self.me.host.weight,
        }
    }

    /// Returns the health of an upstream, or `None` if it is unknown and the limit is reached.
    fn health_mut(&mut self, upstream: &UpstreamId) -> Option<&mut Health> {
        let is_full = self.upstreams.len() >= UPSTREAM_LIMIT;
        if is_full && !self.upstreams.contains_key(upstream) {
            return None;
        }
        Some(self.upstreams.entry(upstream.clone()).or_default())
    }
}
