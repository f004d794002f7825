//! What one host knows of the others.

use {
    super::{
        health::{Health, Observation, Status},
        mark::{Applied, Evidence, Fact, Gossip, Held, HostMark, Kind, Phase, Report, Suspicion},
        probe::Probes,
        queue::{Queue, Urgency},
        rank::{WeightedHost, rank},
        roster::{self, Host, Listing, Progress, Roster},
    },
    crate::id::{HostId, UpstreamId, Version},
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Greatest number of upstreams; more than three times the target of 600.
pub(super) const UPSTREAM_LIMIT: usize = 2_000;
/// Hosts in doubt that are kept.
const DOUBT_LIMIT: usize = 64;
/// Hosts of an availability zone that read the configuration from the store.
const POLLERS: usize = 2;
/// When at least this many upstreams fail, and they are most of those that this host uses, its
/// own connection is the likely fault.
const OWN_FAULT_UPSTREAMS: usize = 4;

/// Times and sizes of a [`View`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between regular exchanges.
    pub round: Duration,
    /// Time between digests.
    pub digest_interval: Duration,
    /// Size of the marks in a regular message.
    pub message_bytes: usize,
    /// Size of the marks in an urgent message.
    pub urgent_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round: Duration::from_secs(1),
            digest_interval: Duration::from_secs(10),
            message_bytes: 1_200,
            urgent_bytes: 600,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Own {
    pub(super) host: Host,
    pub(super) revision: u64,
    pub(super) phase: Phase,
    pub(super) applied: Version,
    /// Sequence of the last report on an upstream.
    sequence: u64,
}

/// Membership and upstream health as one host knows them.
///
/// [`tick`](Self::tick) is called every 200 ms and returns messages to send;
/// [`receive`](Self::receive) takes those of other hosts.
#[derive(Debug)]
pub struct View {
    pub(super) settings: Settings,
    pub(super) me: Own,
    pub(super) roster: Roster,
    pub(super) upstreams: BTreeMap<UpstreamId, Health>,
    /// Models that upstreams report to hold.
    pub(super) held: BTreeMap<UpstreamId, Held>,
    pub(super) listing: Listing,
    pub(super) queue: Queue,
    pub(super) probes: Probes,
    /// Hosts that seem gone here, but that others know as alive.
    pub(super) doubted: BTreeSet<HostId>,
    pub(super) next_round: Duration,
    pub(super) next_digest: Duration,
}

impl View {
    /// Creates the view of a host that has just started.
    pub fn new(host: Host, settings: Settings, now: Duration) -> Self {
        let mut view = Self {
            settings,
            me: Own {
                host,
                revision: 1,
                phase: Phase::Joining,
                applied: 0,
                sequence: 0,
            },
            roster: Roster::default(),
            upstreams: BTreeMap::new(),
            held: BTreeMap::new(),
            listing: Listing::default(),
            queue: Queue::default(),
            probes: Probes::default(),
            doubted: BTreeSet::new(),
            next_round: now,
            next_digest: now,
        };
        view.announce();
        view
    }

    /// Enters a phase. A host never goes back; to do so, it starts anew.
    pub fn enter(&mut self, phase: Phase) {
        if phase > self.me.phase {
            self.me.phase = phase;
            self.me.revision = self.me.revision.saturating_add(1);
            self.announce();
        }
    }

    /// Notes the configuration version in effect on this host.
    pub fn record_applied(&mut self, version: Version) {
        if version > self.me.applied {
            self.me.applied = version;
            let mark = Applied {
                id: self.me.host.id.to_string(),
                incarnation: self.me.host.incarnation,
                version,
            };
            self.spread(Fact::Applied(mark), Urgency::Regular);
        }
    }

    /// Takes the platform's list.
    pub fn update_listing(&mut self, listing: Listing) {
        for (id, health) in &mut self.upstreams {
            health.is_listed_leaving = listing.leaving.contains(id);
        }
        for id in &listing.leaving {
            if let Some(health) = self.health(id) {
                health.is_listed_leaving = true;
            }
        }
        self.listing = listing;
    }

    /// Takes an own observation of an upstream.
    pub fn observe(&mut self, now: Duration, upstream: &UpstreamId, observation: Observation) {
        let Some(health) = self.health(upstream) else {
            return;
        };
        let Some(evidence) = health.observe(now, observation) else {
            return;
        };
        let is_wanted = health.wants_report(now, evidence);
        // What the upstream said itself is true whatever the state of this host's connection.
        let is_own_fault = evidence == Evidence::Failing && self.is_own_fault();
        if is_wanted && !is_own_fault {
            self.tell(now, upstream, evidence);
        }
    }

    /// Returns whether an upstream gets new work.
    pub fn status(&self, now: Duration, upstream: &str) -> Status {
        let is_trusted = |reporter: &HostId| {
            let peer = self.roster.get(reporter);
            *reporter == self.me.host.id
                || peer.is_some_and(|peer| peer.is_alive() && !peer.is_suspected())
        };
        let health = self.upstreams.get(upstream);
        health.map_or(Status::Up, |health| health.status(now, is_trusted))
    }

    /// Returns the hosts that take work, with this one if it does.
    pub fn ready_hosts(&self) -> Vec<WeightedHost> {
        let mut ready = self.roster.weighted(|peer| peer.phase == Phase::Ready);
        if self.me.phase == Phase::Ready {
            ready.push(self.weighted());
        }
        ready
    }

    /// Returns the other hosts that are alive, in any phase.
    pub fn peers(&self) -> Vec<HostId> {
        let alive = self.roster.alive();
        alive.map(|peer| peer.host.id.clone()).collect()
    }

    /// Returns the address of a host.
    pub fn address(&self, host: &str) -> Option<Arc<str>> {
        let peer = self.roster.get(host).map(|peer| &peer.host.address);
        let listed = self.listing.hosts.iter().find(|listed| *listed.id == *host);
        peer.or(listed.map(|listed| &listed.address)).cloned()
    }

    /// Returns whether this host is one of those of its availability zone that read the
    /// configuration from the store.
    pub fn is_poller(&self) -> bool {
        let zone = &self.me.host.zone;
        let mut hosts = self.roster.weighted(|peer| peer.host.zone == *zone);
        hosts.push(self.weighted());
        let ranked = rank("config/poller", &hosts);
        ranked
            .into_iter()
            .take(POLLERS)
            .any(|id| *id == self.me.host.id)
    }

    /// Returns on which hosts a configuration version is in effect.
    pub fn progress(&self, version: Version) -> Progress {
        let mut progress = self.roster.progress(version);
        let me = self.me.host.id.clone();
        if self.me.applied >= version {
            progress.applied.push(me);
        } else {
            progress.behind.push((me, self.me.applied));
        }
        progress
    }

    /// Takes a message of another host; returns the answer.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &HostId,
        gossip: &Gossip,
        random: &mut impl Rng,
    ) -> Option<Gossip> {
        let mut new_hosts = 0;
        for fact in gossip.marks.iter().filter_map(|mark| mark.fact.as_ref()) {
            let is_news = self.take(now, fact, random);
            new_hosts += u32::from(is_news && matches!(fact, Fact::Host(_)));
        }
        match gossip.kind() {
            Kind::Urgent => None,
            Kind::Answer => {
                self.probes.answered(from);
                self.hurry_repair(now, new_hosts);
                None
            }
            Kind::Exchange => {
                let mut answer = self.answer(now, gossip, random);
                let doubt = self.doubt(from).map(|doubt| Fact::Suspicion(doubt).into());
                answer.marks.extend(doubt);
                Some(answer)
            }
        }
    }

    /// Returns what to tell a host that seems gone or is suspected, so that it can refute. It is
    /// told to that host only: told to others, it would count against the host.
    pub(super) fn doubt(&self, host: &str) -> Option<Suspicion> {
        let peer = self.roster.get(host);
        let doubted = peer.filter(|peer| !peer.is_alive() || peer.is_suspected());
        doubted.map(|peer| peer.suspicion(&self.me.host.id))
    }

    /// Notes a host that seems gone here, but that others know as alive.
    fn note_doubt(&mut self, mark: &HostMark) {
        let peer = self.roster.get(&mark.id).filter(|peer| !peer.is_alive());
        let Some(peer) = peer else {
            return;
        };
        let is_same = peer.order() == (mark.incarnation, mark.revision);
        if is_same && mark.phase() != Phase::Gone && self.doubted.len() < DOUBT_LIMIT {
            self.doubted.insert(peer.host.id.clone());
        }
    }

    /// Takes a mark and passes it on when it is news.
    fn take(&mut self, now: Duration, fact: &Fact, random: &mut impl Rng) -> bool {
        let (is_news, urgency) = match fact {
            Fact::Host(mark) if *mark.id == *self.me.host.id => {
                self.defend(mark.incarnation, mark.revision);
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
                self.note_doubt(mark);
                (self.roster.host(now, mark), urgency)
            }
            Fact::Applied(mark) => (self.roster.applied(mark), Urgency::Regular),
            Fact::Suspicion(mark) => (self.suspect(now, mark, random), Urgency::Regular),
            Fact::Report(mark) => (self.report(now, mark), Urgency::Urgent),
            Fact::Held(mark) => (self.take_held(mark), Urgency::Urgent),
        };
        if is_news {
            self.spread(fact.clone(), urgency);
        }
        is_news
    }

    /// Outbids a mark about this host that it did not make, as after a start with the same
    /// incarnation.
    fn defend(&mut self, incarnation: u64, revision: u64) {
        if incarnation == self.me.host.incarnation && revision > self.me.revision {
            self.me.revision = revision.saturating_add(1);
            self.announce();
        }
    }

    fn refute(&mut self, mark: &Suspicion) {
        let own = (self.me.host.incarnation, self.me.revision);
        if (mark.incarnation, mark.revision) == own && self.me.phase != Phase::Gone {
            self.me.revision = self.me.revision.saturating_add(1);
            self.announce();
        }
    }

    fn suspect(&mut self, now: Duration, mark: &Suspicion, random: &mut impl Rng) -> bool {
        // A few of the hosts that hear of a suspicion ask the host themselves.
        const ASKING_HOSTS: f64 = 6.0;
        let is_news = self.roster.suspect(now, mark);
        let share = ASKING_HOSTS / (self.roster.alive().count() as f64).max(ASKING_HOSTS);
        if is_news && random.random_bool(share) {
            self.probes.retry(mark.id.as_str().into());
        }
        is_news
    }

    fn report(&mut self, now: Duration, mark: &Report) -> bool {
        let order = (mark.incarnation, mark.sequence);
        let reporter: HostId = mark.reporter.as_str().into();
        if reporter == self.me.host.id {
            return false;
        }
        let evidence = mark.evidence();
        let health = self.health(&mark.upstream.as_str().into());
        health.is_some_and(|health| health.report(now, &reporter, order, evidence))
    }

    /// Records an own report and passes it on.
    pub(super) fn tell(&mut self, now: Duration, upstream: &UpstreamId, evidence: Evidence) {
        self.me.sequence += 1;
        let order = (self.me.host.incarnation, self.me.sequence);
        let me = self.me.host.id.clone();
        if let Some(health) = self.health(upstream) {
            health.report(now, &me, order, evidence);
        }
        let report = Report {
            upstream: upstream.to_string(),
            reporter: me.to_string(),
            incarnation: order.0,
            sequence: order.1,
            evidence: evidence.into(),
        };
        self.spread(Fact::Report(report), Urgency::Urgent);
    }

    /// Returns whether the failures that this host sees are likely its own.
    pub(super) fn is_own_fault(&self) -> bool {
        let out = self
            .upstreams
            .values()
            .filter(|health| health.is_out())
            .count();
        let is_most = out * 2 > self.upstreams.len();
        self.probes.is_isolated() || out >= OWN_FAULT_UPSTREAMS && is_most
    }

    pub(super) fn spread(&mut self, fact: Fact, urgency: Urgency) {
        let hosts = self.roster.alive().count();
        self.queue.push(fact, hosts, urgency);
    }

    pub(super) fn host_mark(&self, id: &str) -> HostMark {
        match self.roster.get(id) {
            Some(peer) => peer.mark(),
            None => roster::mark(&self.me.host, self.me.revision, self.me.phase),
        }
    }

    fn announce(&mut self) {
        let mark = self.host_mark(&self.me.host.id);
        self.spread(Fact::Host(mark), Urgency::Urgent);
    }

    fn weighted(&self) -> WeightedHost {
        WeightedHost {
            host: self.me.host.id.clone(),
            weight: self.me.host.weight,
        }
    }

    fn health(&mut self, upstream: &UpstreamId) -> Option<&mut Health> {
        let is_full = self.upstreams.len() >= UPSTREAM_LIMIT;
        if is_full && !self.upstreams.contains_key(upstream) {
            return None;
        }
        Some(self.upstreams.entry(upstream.clone()).or_default())
    }
}
