//! A simulated router host.

use {
    super::{oracle::Oracle, simulation::Defect},
    marigoldroute_core::{
        config::{Body, Log, Packet, Settings},
        fleet::{self, Gossip, Phase, View},
        id::{HostId, Version},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

pub fn id(index: usize) -> HostId {
    format!("h{index}").into()
}

pub fn index(id: &str) -> usize {
    id[1..].parse().unwrap()
}

/// Small sizes, so that snapshots and the removal of old versions happen within a short run.
pub fn settings() -> Settings {
    Settings {
        recent_versions: 4,
        snapshot_versions: 3,
        retained_versions: 3,
        ..Settings::default()
    }
}

/// One start of a router process.
pub struct Process {
    pub log: Log,
    pub view: View,
    pub random: SmallRng,
    pub incarnation: u64,
    /// Newest version in any answer since the start.
    newest_answer: Version,
    answers: u32,
    /// An earlier state of the log, for [`Defect::Revert`].
    earlier: Option<Log>,
    last_version: Version,
    is_serving: bool,
}

impl Process {
    pub fn new(host: usize, incarnation: u64, seed: u64, now: Duration) -> Self {
        let own = fleet::Host {
            id: id(host),
            incarnation,
            region: if host % 3 < 2 { "east" } else { "west" }.into(),
            zone: format!("z{}", host % 3).into(),
            address: format!("127.0.0.1:{host}").into(),
            weight: 1,
        };
        Self {
            log: Log::new(settings(), now),
            view: View::new(own, fleet::Settings::default(), now),
            random: SmallRng::seed_from_u64(seed ^ incarnation << 8 ^ host as u64),
            incarnation,
            newest_answer: 0,
            answers: 0,
            earlier: None,
            last_version: 0,
            is_serving: false,
        }
    }

    pub fn answered(&mut self, version: Version) {
        self.newest_answer = self.newest_answer.max(version);
        self.answers += 1;
    }

    pub fn packet(&mut self, now: Duration, from: usize, packet: Packet) -> Option<Packet> {
        if let Some(Body::Versions(versions)) = &packet.body
            && versions.is_answer
            && versions.is_serving
        {
            self.answered(versions.newest);
        }
        self.log.receive(now, &id(from), packet)
    }

    pub fn gossip(&mut self, now: Duration, from: usize, gossip: &Gossip) -> Option<Gossip> {
        self.log.observe(now, &id(from), gossip.version);
        self.view.receive(now, &id(from), gossip, &mut self.random)
    }

    /// Returns whether the host takes work.
    pub fn takes_work(&self, now: Duration, defect: Option<Defect>) -> bool {
        defect == Some(Defect::WorkBeforeCatchUp) || self.log.check_ready(now).is_ok()
    }

    pub fn revert(&mut self) {
        if let Some(earlier) = self.earlier.take() {
            self.log = earlier;
        }
    }

    /// Checks the invariants that hold at any time.
    pub fn check(&mut self, now: Duration, oracle: &Oracle, defect: Option<Defect>) {
        let version = self.log.version();
        if self.earlier.is_none() && version > 1 && defect == Some(Defect::Revert) {
            self.earlier = Some(self.log.clone());
        }
        assert!(
            version >= self.last_version,
            "version {} after {}",
            version,
            self.last_version
        );
        self.last_version = version;
        assert!(
            version <= oracle.newest(),
            "version {version} was never accepted"
        );
        let catalog = self.log.catalog();
        let workspaces = catalog.workspaces.iter();
        let served = workspaces.map(|(path, workspace)| (path.clone(), workspace.share));
        assert_eq!(
            served.collect::<super::oracle::Shares>(),
            oracle.shares(version),
            "content of version {version}"
        );
        if self.takes_work(now, defect) && !self.is_serving {
            self.is_serving = true;
            assert!(self.answers > 0, "work was taken before any answer");
            assert!(
                version >= self.newest_answer,
                "work was taken at version {version}, with {} known",
                self.newest_answer
            );
            self.view.enter(Phase::Ready);
        }
        self.view.record_applied(version);
    }
}
