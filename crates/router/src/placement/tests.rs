//! Tests of the check of the lease directly before an order is sent.

#![allow(clippy::unwrap_used)]

use {
    super::{
        RoundError, Times, Worker,
        lease::HeldLease,
        tenure::{Planned, Tenure},
    },
    crate::{
        Clock,
        control::{self, Snapshot},
        dispatch::Dispatcher,
        metrics::Metrics,
        peer::Links,
    },
    marigoldroute_core::{
        bill::Lease,
        config::{Catalog, State, Upstream},
        fleet::Host,
        placement::{Engine, ModelVersion, Order, Settings},
        route::{Origin, PolicyName},
        table::{Transaction, Verdict},
        wire::Keys,
    },
    marigoldroute_store::{Client, StandIn as Platform},
    marigoldroute_upstream::{
        Loader, Settings as Speed, StandIn as Stand, WeightSource, WeightStore,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

const TERM: Duration = Duration::from_secs(3_600);
const TIMES: Times = Times {
    interval: Duration::from_secs(1),
    lease: TERM,
    pause_bound: Duration::ZERO,
};

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// A worker whose rounds are not run, with a platform and an engine that ignores fencing numbers.
struct Harness {
    worker: Worker,
    client: Client,
    engine: Stand,
    snapshot: Snapshot,
}

impl Harness {
    async fn start() -> Self {
        let (address, serve) = Platform::default().bind(local()).await.unwrap();
        tokio::spawn(serve);
        let client = Client::new(format!("http://{address}"), Duration::from_secs(5)).unwrap();
        let engine = Stand::with_loader(
            Speed::default(),
            Loader {
                is_fencing: false,
                start_time: Duration::ZERO,
                weights: WeightSource::Local(WeightStore::default()),
            },
        );
        let (address, serve) = engine.bind(local()).await.unwrap();
        tokio::spawn(serve);
        let upstream = Upstream {
            url: format!("http://{address}").into(),
            serves: vec!["drafting".into()],
            region: "r".into(),
            zone: "z".into(),
            labels: Default::default(),
            state: State::InService,
        };
        let catalog = Catalog {
            upstreams: [("e".into(), upstream)].into(),
            ..Catalog::default()
        };
        let mut snapshot = Snapshot::default();
        snapshot.catalog = Arc::new(catalog);
        Self {
            worker: worker(client.clone()),
            client,
            engine,
            snapshot,
        }
    }

    async fn tenure(&self, term: Duration) -> Tenure {
        let held = self.worker.acquire(None, term).await.unwrap().unwrap();
        let mut tenure = Tenure::new(held, Vec::new());
        // Disables the wait of engines that ignore fencing numbers after a change of the lease
        // holder.
        tenure.settings = Settings {
            lease_time: Duration::ZERO,
            pause_bound: Duration::ZERO,
            ..Settings::default()
        };
        tenure
    }

    async fn send(&self, tenure: &Tenure) -> Result<(), RoundError> {
        let engine = Engine {
            id: "e".into(),
            zone: "z".into(),
            is_fencing: false,
            models: vec!["drafting".into()],
        };
        let order = Order {
            engine: "e".into(),
            load: ModelVersion {
                model: "drafting".into(),
                version: 1,
            },
            fencing: tenure.held.lease.fencing,
            reason: "test",
        };
        let planned = Planned {
            order,
            engine,
            considered: 1,
        };
        self.worker.send(&self.snapshot, tenure, &planned).await
    }

    /// Lets another process take the lease, as happens after a pause of this one.
    async fn take_over(&self, held: &HeldLease) {
        let lease = Lease {
            holder: "other.1".into(),
            fencing: held.lease.fencing + 1,
            until: u64::MAX,
        };
        let mut transaction = Transaction::default();
        transaction.require(held.row.key.clone(), held.row.version);
        transaction.put(held.row.key.clone(), serde_json::to_string(&lease).unwrap());
        let verdict = self.client.commit(&transaction).await;
        assert_eq!(verdict, Ok(Verdict::Committed));
    }
}

fn worker(platform: Client) -> Worker {
    let (clock, metrics) = (Clock::new(), Arc::new(Metrics::new().unwrap()));
    let keys = Keys::new(vec![b"a-fleet-key-for-the-tests".as_slice().into()]);
    let links = Links::new(
        "h".into(),
        keys,
        Duration::from_secs(1),
        metrics.clone(),
        TaskTracker::new(),
    );
    let origin = Origin {
        host: "h".into(),
        region: "r".into(),
        zone: "z".into(),
    };
    let host = Host {
        id: "h".into(),
        incarnation: 1,
        region: "r".into(),
        zone: "z".into(),
        address: "127.0.0.1:1".into(),
        weight: 1,
    };
    let (control, ..) = control::create(control::Dependencies {
        dispatcher: Arc::new(Dispatcher::new(clock, origin, PolicyName::Adaptive)),
        host,
        process: "h.1".into(),
        clock,
        platform: platform.clone(),
        http: reqwest::Client::new(),
        links: Arc::new(links),
        metrics: metrics.clone(),
        renew_interval: TERM,
        draining: CancellationToken::new(),
        stop: CancellationToken::new(),
    });
    Worker {
        process: "h.1".into(),
        host: "h".into(),
        region: "r".into(),
        clock,
        platform,
        control,
        metrics,
        http: reqwest::Client::new(),
        times: TIMES,
    }
}

/// Guards against an order that is sent after another process has taken the lease, while the lease
/// is still valid by the sender's own clock.
#[tokio::test]
async fn no_order_is_sent_when_the_lease_was_taken() {
    let harness = Harness::start().await;
    let tenure = harness.tenure(TERM).await;
    harness.send(&tenure).await.unwrap();
    assert_eq!(harness.engine.accepted_orders().len(), 1);
    harness.take_over(&tenure.held).await;
    let sent = harness.send(&tenure).await;
    assert!(matches!(sent, Err(RoundError::Ended)), "{sent:?}");
    assert_eq!(harness.engine.accepted_orders().len(), 1);
}

/// Guards against an order that is sent after the end of the lease while no other process has taken
/// it.
#[tokio::test]
async fn no_order_is_sent_after_the_end_of_the_lease() {
    let harness = Harness::start().await;
    let tenure = harness.tenure(Duration::ZERO).await;
    let sent = harness.send(&tenure).await;
    assert!(matches!(sent, Err(RoundError::Ended)), "{sent:?}");
    assert_eq!(harness.engine.accepted_orders().len(), 0);
}

/// Guards against an order that is sent although the table service cannot confirm the lease.
#[tokio::test]
async fn no_order_is_sent_when_the_lease_cannot_be_confirmed() {
    let mut harness = Harness::start().await;
    let tenure = harness.tenure(TERM).await;
    let nowhere = "http://127.0.0.1:9";
    harness.worker.platform = Client::new(nowhere, Duration::from_secs(5)).unwrap();
    let sent = harness.send(&tenure).await;
    assert!(matches!(sent, Err(RoundError::Platform(_))), "{sent:?}");
    assert_eq!(harness.engine.accepted_orders().len(), 0);
}

/// Guards against a renewed lease that is taken for a new one, and against one that is assumed to
/// last longer than its row says.
#[tokio::test]
async fn renewed_lease_keeps_its_start() {
    let harness = Harness::start().await;
    let first = harness.worker.acquire(None, TERM).await.unwrap().unwrap();
    let before = harness.worker.clock.now();
    let again = harness.worker.acquire(Some(&first), TERM).await.unwrap();
    let again = again.unwrap();
    assert_eq!(again.lease.fencing, first.lease.fencing);
    assert_eq!(again.lease.acquired, first.lease.acquired);
    assert!(again.lease.until <= harness.worker.clock.now() + TERM);
    assert!(again.lease.until + Duration::from_secs(1) >= before + TERM);
    harness.worker.release_lease().await;
    let other = Worker {
        process: "other.1".into(),
        ..worker(harness.client.clone())
    };
    let taken = other.acquire(None, TERM).await.unwrap().unwrap();
    assert_eq!(taken.lease.fencing, first.lease.fencing + 1);
}
