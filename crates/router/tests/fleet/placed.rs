//! Test support: engines that accept orders to load models, and a fleet with placement.

use {
    super::{Environment, set, until},
    marigoldroute::{Handle, Settings},
    marigoldroute_core::{
        bill::Lease,
        config::{Change, Edit, Setting, Value},
        fleet::{WeightedHost, rank},
    },
    marigoldroute_upstream::{Loader, Rate, Settings as Speed, StandIn, WeightSource, WeightStore},
    serde_json::json,
    std::time::Duration,
};

/// Row of the placement lease.
const LEASE: &str = "lease/placement";
/// Longer than any test, so that the operator's router does not take part in the placement.
const NEVER: Duration = Duration::from_secs(36_000);

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Numbers {
    Checked,
    Ignored,
}

/// Creates engines of these kinds, which load from a weight store.
pub fn engines(kinds: &[Numbers], store: &WeightStore) -> Vec<StandIn> {
    let engine = |kind: &Numbers| {
        let loader = Loader {
            is_fencing: *kind == Numbers::Checked,
            start_time: Duration::from_millis(20),
            weights: WeightSource::Local(store.clone()),
        };
        StandIn::with_loader(Speed::default(), loader)
    };
    kinds.iter().map(engine).collect()
}

/// Creates a weight store that serves `concurrent` transfers at a time.
pub fn store(concurrent: usize) -> WeightStore {
    WeightStore::new(Rate {
        concurrent,
        ..Rate::default()
    })
}

/// Returns edits that enable placement with a demand of 1.8 replicas, for which 3 are planned.
pub fn placement(engines: &[Numbers]) -> Vec<Edit> {
    let mut edits = vec![
        set("drafting", Setting::Placement, Value::Flag(true)),
        set("drafting", Setting::ModelVersion, Value::Count(1)),
        set("drafting", Setting::Demand, Value::Tokens(180)),
        set("drafting", Setting::ReplicaRate, Value::Tokens(100)),
        set("", Setting::LoadInterval, Value::Seconds(0)),
    ];
    for (number, kind) in engines.iter().enumerate() {
        let is_fencing = Value::Flag(*kind == Numbers::Checked);
        edits.push(set(
            &format!("engine-{number}"),
            Setting::Fencing,
            is_fencing,
        ));
    }
    edits
}

/// Makes a change through a router.
pub async fn apply(router: &Handle, request: &str, edits: Vec<Edit>) {
    let change = Change {
        edits,
        force: false,
    };
    until(|| async {
        router
            .propose(change.clone(), "test", request)
            .await
            .is_ok()
    })
    .await;
}

impl Environment {
    /// Starts a router for changes that never takes the placement lease and is never the first for
    /// it beside routers 1 and 2.
    pub async fn bystander(&self) -> Handle {
        let weighted = |number: usize| WeightedHost {
            host: format!("router-{number}").into(),
            weight: 1,
        };
        let is_last = |number: &usize| {
            let hosts = [weighted(1), weighted(2), weighted(*number)];
            rank("placement", &hosts)[2] == &hosts[2].host
        };
        let number = (3..1_000).find(is_last).unwrap();
        let settings = Settings {
            placement_interval: NEVER / 3,
            placement_lease: NEVER,
            ..self.settings(number)
        };
        self.router_with(settings).await
    }

    /// Returns the lease with the version of its row; `None` when no host ever took it.
    pub async fn lease(&self) -> Option<(Lease, u64)> {
        let row = self.client.get(LEASE).await.unwrap()?;
        Some((Lease::decode(&row).unwrap(), row.version))
    }

    /// Returns the number of the router that holds the lease.
    pub async fn lease_router(&self) -> Option<usize> {
        let (lease, _) = self.lease().await?;
        let host = lease.holder.split('.').next()?;
        host.strip_prefix("router-")?.parse().ok()
    }

    /// Waits until the holder has renewed the lease `count` times, thus completed as many rounds.
    pub async fn rounds(&self, count: usize) {
        let mut seen = 0;
        for _ in 0..=count {
            until(|| async {
                self.lease()
                    .await
                    .is_some_and(|(_, version)| version != seen)
            })
            .await;
            seen = self.lease().await.unwrap().1;
        }
    }

    /// Returns the numbers of the engines that serve the model `drafting`, with its version.
    pub fn serving(&self) -> Vec<(usize, u64)> {
        let engines = self.engines.iter().enumerate();
        let held = engines.filter_map(|(number, engine)| {
            let loaded = engine.holding().loaded?;
            (loaded.model == "drafting").then_some((number, loaded.version))
        });
        held.collect()
    }

    /// Waits until `count` engines serve the model `drafting` in a version.
    pub async fn served(&self, count: usize, version: u64) {
        until(|| async {
            let serving = self.serving();
            serving.iter().filter(|(_, v)| *v == version).count() == count
        })
        .await;
    }

    /// Returns the number of orders that engines acted upon.
    pub fn acted(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.accepted_orders().len())
            .sum()
    }

    /// Sends failing requests directly to an engine.
    pub async fn fail(&self, engine: usize, count: usize) {
        let faults = std::iter::repeat_n(marigoldroute_upstream::Fault::Break, count);
        self.engines[engine].inject(faults);
        let url = format!("{}/v1/completions", self.urls[engine]);
        for number in 0..count {
            let call = reqwest::Client::new().post(&url);
            let call = call.header("x-request-id", format!("failing-{number}"));
            let body = json!({"model": "drafting", "prompt": "Draft.", "max_tokens": 2});
            // The answer is lost on purpose.
            let _ = call.json(&body).send().await;
        }
    }
}

/// Checks that no engine acted on an order after one with a greater fencing number.
pub fn assert_fenced(environment: &Environment) {
    for (number, engine) in environment.engines.iter().enumerate() {
        let numbers: Vec<_> = engine
            .accepted_orders()
            .iter()
            .map(|order| order.fencing)
            .collect();
        assert!(numbers.is_sorted(), "engine {number} acted on {numbers:?}");
    }
}
