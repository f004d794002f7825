//! State of the other hosts of the fleet, and the list of hosts that the platform provides.

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

/// Limit on the known hosts; more than twice the target size of 390.
const HOST_LIMIT: usize = 1_000;
/// Hosts that must suspect a host before it counts as gone.
const SUSPICION_QUORUM: usize = 2;
/// Limit on the reporters of a suspicion that are kept for one host.
const SUSPICION_LIMIT: usize = 3;
/// Time that a suspected host has to refute the suspicion.
const REFUTATION_TIME: Duration = Duration::from_secs(3);
/// Time after which a suspicion without a quorum is dropped. If this host is one of its reporters,
/// the suspected host then counts as gone on this host.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(20);
/// Time for which a host that is gone is remembered, so that late marks do not bring it back.
const TOMBSTONE_TIME: Duration = Duration::from_secs(60);

/// Description that a host gives of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name, unique in the fleet.
    pub id: HostId,
    /// Number of its process, greater for each start.
    pub incarnation: u64,
    /// Region that the host runs in.
    pub region: Region,
    /// Availability zone that the host runs in.
    pub zone: Zone,
    /// Address at which it accepts the internal protocol.
    pub address: Arc<str>,
    /// Size relative to other hosts.
    pub weight: u32,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name, unique in the fleet.
    pub id: HostId,
    /// Availability zone that the host runs in.
    pub zone: Zone,
    /// Address at which it accepts the internal protocol.
    pub address: Arc<str>,
}

/// The platform's list of hosts and of leaving upstreams. It may be out of date: that it contains a
/// host or lacks a leaving upstream does not outweigh other evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Hosts that can be contacted for the membership exchange.
    pub hosts: Vec<ListedHost>,
    /// Upstreams that are about to leave.
    pub leaving: BTreeSet<UpstreamId>,
}

/// Progress of a configuration version: on which hosts it is in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Configuration version that was asked for.
    pub version: Version,
    /// Hosts on which this version or a newer one is in effect.
    pub applied: Vec<HostId>,
    /// Hosts on which an older version is in effect, with that version.
    pub behind: Vec<(HostId, Version)>,
    /// Hosts that do not answer, with the latest version that is known of each.
    pub unreachable: Vec<(HostId, Version)>,
}

/// State of another host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) host: Host,
    pub(super) revision: u64,
    pub(super) phase: Phase,
    pub(super) applied: Version,
    /// Reporters of the current suspicion.
    suspected_by: BTreeSet<HostId>,
    /// When the current suspicion was first received.
    suspected_at: Option<Duration>,
    /// When the host stopped, or was found not to answer.
    gone_at: Option<Duration>,
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
            suspected_by: BTreeSet::new(),
            suspected_at: None,
            gone_at: None,
        }
    }

    pub(super) fn is_alive(&self) -> bool {
        self.gone_at.is_none()
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
        self.suspected_at.is_some()
    }

    /// Returns the incarnation and the revision; a greater order is newer.
    pub(super) fn order(&self) -> (u64, u64) {
        (self.host.incarnation, self.revision)
    }

    pub(super) fn host_mark(&self) -> HostMark {
        host_mark(&self.host, self.revision, self.phase)
    }

    pub(super) fn suspicion(&self, reporter: &HostId) -> Suspicion {
        Suspicion {
            id: self.host.id.to_string(),
            incarnation: self.host.incarnation,
            revision: self.revision,
            reporter: reporter.to_string(),
        }
    }

    /// Ends a suspicion that has enough reporters and was not refuted, or that has expired.
    fn resolve_suspicion(&mut self, now: Duration, me: &HostId, quorum: usize) {
        let Some(since) = self.suspected_at else {
            return;
        };
        let is_confirmed = self.suspected_by.len() >= quorum && now >= since + REFUTATION_TIME;
        let is_expired = now >= since + UNCONFIRMED_TIME;
        if is_confirmed || is_expired && self.suspected_by.contains(me) {
            self.gone_at = Some(now);
        }
        if is_confirmed || is_expired {
            self.suspected_at = None;
            self.suspected_by.clear();
        }
    }
}

pub(super) fn host_mark(host: &Host, revision: u64, phase: Phase) -> HostMark {
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

/// The other hosts, by name. Hosts that are gone stay for [`TOMBSTONE_TIME`].
#[derive(Debug, Default)]
pub(super) struct Peers(BTreeMap<HostId, Peer>);

impl Peers {
    pub(super) fn get(&self, id: &str) -> Option<&Peer> {
        self.0.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.0.values()
    }

    pub(super) fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.0.values().filter(|peer| peer.is_alive())
    }

    /// Records a host's mark of itself unless a newer one is known; returns whether it was
    /// recorded.
    pub(super) fn merge_host(&mut self, now: Duration, mark: &HostMark) -> bool {
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
        peer.gone_at = (mark.phase() == Phase::Gone).then_some(now);
        self.0.insert(peer.host.id.clone(), peer);
        true
    }

    /// Records the version in effect on a host unless a newer one is known; returns whether it was
    /// recorded.
    pub(super) fn merge_applied(&mut self, mark: &Applied) -> bool {
        let Some(peer) = self.0.get_mut(mark.id.as_str()) else {
            return false;
        };
        let is_newer = peer.host.incarnation == mark.incarnation && mark.version > peer.applied;
        if is_newer {
            peer.applied = mark.version;
        }
        is_newer
    }

    /// Records a suspicion against the current mark of a live host; returns whether it was
    /// recorded.
    pub(super) fn record_suspicion(&mut self, now: Duration, mark: &Suspicion) -> bool {
        let Some(peer) = self.0.get_mut(mark.id.as_str()) else {
            return false;
        };
        let is_current = peer.order() == (mark.incarnation, mark.revision) && peer.is_alive();
        if !is_current || peer.suspected_by.len() >= SUSPICION_LIMIT {
            return false;
        }
        peer.suspected_at.get_or_insert(now);
        peer.suspected_by.insert(mark.reporter.as_str().into())
    }

    /// Resolves suspicions, and removes hosts that have been gone for [`TOMBSTONE_TIME`].
    pub(super) fn expire(&mut self, now: Duration, me: &HostId) {
        let others = self.alive().count().saturating_sub(1);
        let quorum = SUSPICION_QUORUM.min(others.max(1));
        for peer in self.0.values_mut() {
            peer.resolve_suspicion(now, me, quorum);
        }
        let is_remembered = |gone_at: Duration| now < gone_at + TOMBSTONE_TIME;
        self.0
            .retain(|_, peer| peer.gone_at.is_none_or(is_remembered));
    }

    pub(super) fn weighted_hosts(&self, is_wanted: impl Fn(&Peer) -> bool) -> Vec<WeightedHost> {
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
