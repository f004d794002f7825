//! The hosts that a view knows.

use {
    super::{
        mark::{Applied, HostMark, Phase, Suspicion},
        member::Member,
        rank::WeightedHost,
    },
    crate::id::{HostId, Region, UpstreamId, Version, Zone},
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Greatest number of hosts; more than twice the target of 390.
const HOST_LIMIT: usize = 1_000;
/// Reporters that must suspect a host before it counts as gone.
const SUSPICION_QUORUM: usize = 2;
/// Reporters that are kept for one host.
const SUSPICION_LIMIT: usize = 3;
/// A suspected host has this long to refute.
const REFUTE_TIME: Duration = Duration::from_secs(3);
/// A suspicion that nobody shares is dropped after this time. When it is the host's own, the
/// other host counts as gone here.
const LONE_TIME: Duration = Duration::from_secs(20);
/// A host that is gone is remembered for this time, so that late marks do not bring it back.
const GONE_TIME: Duration = Duration::from_secs(60);

/// A host as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Host.
    pub id: HostId,
    /// Start of its process; greater for each start.
    pub incarnation: u64,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// Address of the internal protocol.
    pub address: Arc<str>,
    /// Relative size.
    pub weight: u32,
}

/// A host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Host.
    pub id: HostId,
    /// Availability zone.
    pub zone: Zone,
    /// Address of the internal protocol.
    pub address: Arc<str>,
}

/// The platform's list. It lags behind: a live entry does not outweigh other evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Hosts to exchange membership with.
    pub hosts: Vec<ListedHost>,
    /// Upstreams that are leaving.
    pub leaving: BTreeSet<UpstreamId>,
}

/// On which hosts a configuration version is in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Version.
    pub version: Version,
    /// Hosts with this version or a newer one.
    pub applied: Vec<HostId>,
    /// Hosts with an older version, and which.
    pub behind: Vec<(HostId, Version)>,
    /// Hosts that do not answer, and the version that they were last seen with.
    pub unreachable: Vec<(HostId, Version)>,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) host: Host,
    pub(super) revision: u64,
    pub(super) phase: Phase,
    pub(super) applied: Version,
    suspects: BTreeSet<HostId>,
    suspected: Option<Duration>,
    gone: Option<Duration>,
}

impl Peer {
    fn new(mark: &HostMark) -> Self {
        Self {
            host: Host {
                id: mark.id.as_str().into(),
                incarnation: mark.incarnation,
                region: mark.region.as_str().into(),
                zone: mark.zone.as_str().into(),
                address: mark.address.as_str().into(),
                weight: mark.weight,
            },
            revision: mark.revision,
            phase: mark.phase(),
            applied: 0,
            suspects: BTreeSet::new(),
            suspected: None,
            gone: None,
        }
    }

    pub(super) fn is_alive(&self) -> bool {
        self.gone.is_none()
    }

    pub(super) fn member(&self) -> Member {
        Member {
            host: self.host.clone(),
            phase: self.phase,
            applied: self.applied,
            is_alive: self.is_alive(),
        }
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.suspected.is_some()
    }

    pub(super) fn order(&self) -> (u64, u64) {
        (self.host.incarnation, self.revision)
    }

    pub(super) fn mark(&self) -> HostMark {
        mark(&self.host, self.revision, self.phase)
    }

    pub(super) fn suspicion(&self, reporter: &HostId) -> Suspicion {
        Suspicion {
            id: self.host.id.to_string(),
            incarnation: self.host.incarnation,
            revision: self.revision,
            reporter: reporter.to_string(),
        }
    }

    fn settle(&mut self, now: Duration, me: &HostId, quorum: usize) {
        let Some(since) = self.suspected else {
            return;
        };
        let is_shared = self.suspects.len() >= quorum && now >= since + REFUTE_TIME;
        let is_old = now >= since + LONE_TIME;
        if is_shared || is_old && self.suspects.contains(me) {
            self.gone = Some(now);
        }
        if is_shared || is_old {
            self.suspected = None;
            self.suspects.clear();
        }
    }
}

pub(super) fn mark(host: &Host, revision: u64, phase: Phase) -> HostMark {
    HostMark {
        id: host.id.to_string(),
        incarnation: host.incarnation,
        revision,
        phase: phase.into(),
        region: host.region.to_string(),
        zone: host.zone.to_string(),
        address: host.address.to_string(),
        weight: host.weight,
    }
}

/// The other hosts.
#[derive(Debug, Default)]
pub(super) struct Roster(BTreeMap<HostId, Peer>);

impl Roster {
    pub(super) fn get(&self, id: &str) -> Option<&Peer> {
        self.0.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.0.values()
    }

    pub(super) fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.0.values().filter(|peer| peer.is_alive())
    }

    /// Takes a host's own mark; returns whether it is news.
    pub(super) fn host(&mut self, now: Duration, mark: &HostMark) -> bool {
        let known = self.0.get(mark.id.as_str());
        if known.is_some_and(|known| known.order() >= (mark.incarnation, mark.revision)) {
            return false;
        }
        if known.is_none() && (self.0.len() >= HOST_LIMIT || mark.phase() == Phase::Gone) {
            return false;
        }
        let mut peer = Peer::new(mark);
        let same = known.filter(|known| known.host.incarnation == mark.incarnation);
        peer.applied = same.map_or(0, |known| known.applied);
        peer.gone = (mark.phase() == Phase::Gone).then_some(now);
        self.0.insert(peer.host.id.clone(), peer);
        true
    }

    /// Takes the version in effect on a host; returns whether it is news.
    pub(super) fn applied(&mut self, mark: &Applied) -> bool {
        let Some(peer) = self.0.get_mut(mark.id.as_str()) else {
            return false;
        };
        let is_news = peer.host.incarnation == mark.incarnation && mark.version > peer.applied;
        if is_news {
            peer.applied = mark.version;
        }
        is_news
    }

    /// Takes a suspicion; returns whether it is news.
    pub(super) fn suspect(&mut self, now: Duration, mark: &Suspicion) -> bool {
        let Some(peer) = self.0.get_mut(mark.id.as_str()) else {
            return false;
        };
        let is_current = peer.order() == (mark.incarnation, mark.revision) && peer.is_alive();
        if !is_current || peer.suspects.len() >= SUSPICION_LIMIT {
            return false;
        }
        peer.suspected.get_or_insert(now);
        peer.suspects.insert(mark.reporter.as_str().into())
    }

    /// Settles suspicions and forgets hosts that are gone for long.
    pub(super) fn settle(&mut self, now: Duration, me: &HostId) {
        let others = self.alive().count().saturating_sub(1);
        let quorum = SUSPICION_QUORUM.min(others.max(1));
        for peer in self.0.values_mut() {
            peer.settle(now, me, quorum);
        }
        let is_remembered = |gone: Duration| now < gone + GONE_TIME;
        self.0.retain(|_, peer| peer.gone.is_none_or(is_remembered));
    }

    pub(super) fn weighted(&self, is_wanted: impl Fn(&Peer) -> bool) -> Vec<WeightedHost> {
        let wanted = self.alive().filter(|peer| is_wanted(peer));
        wanted
            .map(|peer| WeightedHost {
                host: peer.host.id.clone(),
                weight: peer.host.weight,
            })
            .collect()
    }

    pub(super) fn progress(&self, version: Version) -> Progress {
        let mut progress = Progress {
            version,
            ..Progress::default()
        };
        for peer in self.0.values().filter(|peer| peer.phase != Phase::Gone) {
            let id = peer.host.id.clone();
            if !peer.is_alive() {
                progress.unreachable.push((id, peer.applied));
            } else if peer.applied >= version {
                progress.applied.push(id);
            } else {
                progress.behind.push((id, peer.applied));
            }
        }
        progress
    }
}
