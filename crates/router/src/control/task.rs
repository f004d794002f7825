//! Main loop of the control task: gossip, configuration, registration and probes.

use {
    super::{
        Command, Control, QUEUE_COMMANDS,
        listing::Registry,
        probe::{PROBE_INTERVAL, Report},
        proposal::{Attempt, PROPOSAL_RETRIES},
        reader::Reader,
        snapshot::Snapshot,
        store,
    },
    crate::{Clock, dispatch::Dispatcher, metrics::Metrics, peer::Links},
    marigoldroute_core::{
        config::{Action, Log, Packet, Read, Role},
        fleet::{Gossip, Host, Observation, Phase, Settings, Status, View},
        id::{HolderId, HostId, UpstreamId, Version},
        table::{Row, Verdict},
        wire::{Body, Reply},
    },
    marigoldroute_store::{Client, Fault},
    prost::Message,
    rand::{SeedableRng, rngs::SmallRng},
    std::{future::Future, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
    },
    tokio_util::sync::CancellationToken,
};

/// Interval at which membership and configuration are advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Dependencies of the task.
pub(crate) struct Dependencies {
    pub(crate) host: Host,
    /// `{host}.{incarnation}`.
    pub(crate) process: HolderId,
    pub(crate) clock: Clock,
    /// HTTP client for probes of upstreams.
    pub(crate) http: reqwest::Client,
    pub(crate) platform: Client,
    pub(crate) links: Arc<Links>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) renew_interval: Duration,
    pub(crate) draining: CancellationToken,
    pub(crate) stop: CancellationToken,
}

/// Creates the task, its handle, and a receiver of the processes registered at the platform.
pub(crate) fn create(
    deps: Dependencies,
) -> (
    Control,
    watch::Receiver<Arc<Registry>>,
    impl Future<Output = ()> + Send + use<>,
) {
    let (commands, receiver) = mpsc::channel(QUEUE_COMMANDS);
    let (snapshot, snapshots) = watch::channel(Arc::default());
    let (registry, registries) = watch::channel(Arc::default());
    let now = deps.clock.now();
    let task = Task {
        view: View::new(deps.host.clone(), Settings::default(), now),
        log: Log::new(Default::default(), now),
        http: deps.http.clone(),
        deps,
        random: SmallRng::from_os_rng(),
        calls: JoinSet::new(),
        snapshot,
        registry,
        next_register: Duration::ZERO,
        next_list: Duration::ZERO,
        next_probe: Duration::ZERO,
        reader: Reader::default(),
        version: 0,
    };
    let control = Control {
        commands,
        snapshot: snapshots,
    };
    (control, registries, task.run(receiver))
}

/// Result of a call that the task has started.
pub(super) enum Event {
    Gossip(HostId, Option<Gossip>),
    Packet(HostId, Option<Packet>),
    Read(Read, Result<Vec<Row>, Fault>),
    Registered(Result<(), Fault>),
    Written(Result<(), Fault>),
    Listed(Result<Registry, Fault>),
    Probed(UpstreamId, Observation, Report),
    Loaded(UpstreamId, Report),
    Decide(Box<Attempt>, Result<Vec<Row>, Fault>),
    Committed(Box<Attempt>, Result<Verdict, Fault>),
    Upkeep(Result<(Option<Row>, Vec<Row>), Fault>),
}

pub(super) struct Task {
    pub(super) deps: Dependencies,
    pub(super) view: View,
    pub(super) log: Log,
    pub(super) random: SmallRng,
    pub(super) http: reqwest::Client,
    pub(super) calls: JoinSet<Event>,
    pub(super) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(super) registry: watch::Sender<Arc<Registry>>,
    pub(super) next_register: Duration,
    pub(super) next_list: Duration,
    pub(super) next_probe: Duration,
    pub(super) reader: Reader,
    /// Version in effect when the last snapshot was published.
    pub(super) version: Version,
}

impl Task {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(STEP_INTERVAL);
        let (draining, stop) = (self.deps.draining.clone(), self.deps.stop.clone());
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(event) = self.calls.join_next() => if let Ok(event) = event {
                    self.apply(event);
                },
                _ = tick.tick() => {
                    self.step(draining.is_cancelled());
                    self.publish();
                }
                () = stop.cancelled() => break,
            }
        }
        self.announce_departure().await;
    }

    /// Gossips to other hosts that this one is gone, and waits for the calls in progress.
    async fn announce_departure(mut self) {
        self.view.enter(Phase::Gone);
        self.gossip_round();
        while self.calls.join_next().await.is_some() {}
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Message { from, body, reply } => {
                let answer = self.message(&from, body);
                let _ = reply.send(answer);
            }
            Command::Observe {
                upstream,
                observation,
            } => {
                let now = self.deps.clock.now();
                self.view.observe(now, &upstream, observation);
            }
            Command::Propose { proposal, reply } => self.start_attempt(Attempt {
                proposal,
                left: PROPOSAL_RETRIES,
                reply,
            }),
            Command::Progress { version, reply } => {
                let _ = reply.send(self.view.progress(version));
            }
            Command::Members(reply) => {
                let _ = reply.send(self.view.members());
            }
            Command::Tree(reply) => {
                let _ = reply.send((self.log.version(), self.log.tree().clone()));
            }
            Command::WithLog(function) => {
                function(&mut self.log, self.deps.clock.now());
                self.publish();
            }
        }
    }

    fn message(&mut self, from: &HostId, body: Body) -> Option<Body> {
        let now = self.deps.clock.now();
        match body {
            Body::Gossip(bytes) => {
                let gossip = Gossip::decode(&*bytes).ok()?;
                let answer = self.gossip(now, from, &gossip);
                let answer = answer.map(|answer| Body::Gossip(answer.encode_to_vec()));
                Some(answer.unwrap_or(Body::Reply(Reply::default())))
            }
            Body::Config(bytes) => {
                let packet = Packet::decode(&*bytes).ok()?;
                let answer = self.log.receive(now, from, packet);
                let answer = answer.map(|answer| Body::Config(answer.encode_to_vec()));
                Some(answer.unwrap_or(Body::Reply(Reply::default())))
            }
            _ => None,
        }
    }

    fn gossip(&mut self, now: Duration, from: &HostId, gossip: &Gossip) -> Option<Gossip> {
        self.log.observe(now, from, gossip.version);
        self.view.receive(now, from, gossip, &mut self.random)
    }

    fn apply(&mut self, event: Event) {
        let now = self.deps.clock.now();
        match event {
            Event::Gossip(from, Some(gossip)) => drop(self.gossip(now, &from, &gossip)),
            Event::Packet(from, Some(packet)) => drop(self.log.receive(now, &from, packet)),
            // The view counts a missing answer against the peer.
            Event::Gossip(_, None) | Event::Packet(_, None) => {}
            Event::Read(read, Ok(rows)) => self.apply_rows(now, &read, &rows),
            Event::Read(_, Err(fault)) => {
                self.record_platform_fault(fault);
                self.log.record_store_failure();
            }
            Event::Registered(result) => match result {
                Ok(()) => {}
                Err(fault) => {
                    self.record_platform_fault(fault);
                    self.next_register = now + STEP_INTERVAL;
                }
            },
            Event::Listed(Ok(registry)) => {
                self.view.update_listing(registry.listing.clone());
                self.registry.send_replace(Arc::new(registry));
            }
            Event::Written(Ok(())) => {}
            Event::Listed(Err(fault)) | Event::Written(Err(fault)) => {
                self.record_platform_fault(fault);
            }
            Event::Probed(upstream, seen, report) => self.record_probe(&upstream, seen, &report),
            Event::Loaded(upstream, report) => self.record_load_report(&upstream, &report),
            Event::Decide(attempt, rows) => self.decide(*attempt, rows),
            Event::Committed(attempt, verdict) => self.committed(*attempt, verdict),
            Event::Upkeep(Ok((pointer, oldest))) => self.maintain_log(pointer.as_ref(), &oldest),
            Event::Upkeep(Err(fault)) => self.record_platform_fault(fault),
        }
    }

    pub(super) fn record_platform_fault(&self, fault: Fault) {
        self.deps.metrics.platform_faults.inc();
        log::warn!(fault:%; "the platform did not answer");
    }

    fn apply_rows(&mut self, now: Duration, read: &Read, rows: &[Row]) {
        match read {
            Read::Head => self.log.apply_head(now, rows.first()),
            Read::Rows { .. } => self.log.apply_rows(now, rows),
            Read::Pointer => self.log.apply_pointer(now, rows.first()),
            Read::Parts { .. } => self.log.apply_parts(now, rows),
        }
    }

    /// Advances membership and configuration by one step.
    fn step(&mut self, is_draining: bool) {
        let now = self.deps.clock.now();
        self.advance_config(now);
        if is_draining {
            self.view.enter(Phase::Draining);
        } else if self.log.check_ready(now).is_ok() && self.log.version() > 0 {
            self.view.enter(Phase::Ready);
        }
        self.view.record_applied(self.log.version());
        self.gossip_round();
        if now >= self.next_register {
            self.next_register = now + self.deps.renew_interval;
            self.register();
        }
        if now >= self.next_list {
            self.list(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe();
        }
    }

    fn gossip_round(&mut self) {
        let now = self.deps.clock.now();
        for (peer, gossip) in self.view.tick(now, &mut self.random) {
            let body = Body::Gossip(gossip.encode_to_vec());
            self.call_peer(peer, body, |peer, body| match body {
                Some(Body::Gossip(bytes)) => Event::Gossip(peer, Gossip::decode(&*bytes).ok()),
                _ => Event::Gossip(peer, None),
            });
        }
    }

    fn advance_config(&mut self, now: Duration) {
        let role = match self.view.is_poller() {
            true => Role::Poller,
            false => Role::Follower,
        };
        let peers = self.view.peers();
        for action in self.log.tick(now, role, &peers, &mut self.random) {
            match action {
                Action::Read(read) => self.read(read),
                Action::Send(peer, packet) => {
                    let body = Body::Config(packet.encode_to_vec());
                    self.call_peer(peer, body, |peer, body| match body {
                        Some(Body::Config(bytes)) => {
                            Event::Packet(peer, Packet::decode(&*bytes).ok())
                        }
                        _ => Event::Packet(peer, None),
                    });
                }
            }
        }
    }

    fn read(&mut self, read: Read) {
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            let rows = store::read(&platform, &read).await;
            Event::Read(read, rows)
        });
    }

    fn call_peer(&mut self, peer: HostId, body: Body, event: fn(HostId, Option<Body>) -> Event) {
        let address = self.view.address(&peer).and_then(|text| text.parse().ok());
        let Some(address) = address else { return };
        let links = self.deps.links.clone();
        self.calls.spawn(async move {
            let answer = links.call(&peer, address, body).await.ok();
            event(peer, answer)
        });
    }

    /// Publishes a new snapshot if anything changed.
    fn publish(&mut self) {
        let now = self.deps.clock.now();
        let catalog = self.log.catalog().clone();
        if catalog.version > self.version {
            self.version = catalog.version;
            self.deps.metrics.config_version.set(catalog.version as i64);
            self.view
                .retain_upstreams(|id| catalog.upstreams.contains_key(id));
            log::info!(version = catalog.version; "configuration in effect");
        }
        let ids = catalog.upstreams.keys();
        let unavailable = ids.map(|id| (id.clone(), self.view.status(now, id)));
        let unavailable = unavailable
            .filter(|(_, status)| *status != Status::Up)
            .collect();
        let not_ready = self.log.check_ready(now).err();
        let members = self.view.members();
        self.deps
            .links
            .retain(|host| members.iter().any(|m| m.host.id == *host));
        let snapshot = Snapshot::new(catalog, not_ready, unavailable, &members)
            .with_held(self.view.held_models());
        self.deps
            .metrics
            .ready_hosts
            .set(snapshot.hosts.len() as i64);
        if !self.snapshot.borrow().is_same(&snapshot) {
            self.deps.dispatcher.update(&snapshot);
            self.snapshot.send_replace(Arc::new(snapshot));
        }
    }
}
