//! A gateway and everything around it in one process: a store in memory, scripted upstreams and a
//! plain protocol of requests and responses.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod protocol;
pub mod store;
pub mod upstream;

use {
    marigoldroute_core::{
        budget::Account,
        forward::{Engine, Kind, Registration, Route, Service, Snapshot, State, Target, Workspace},
    },
    marigoldroute_gateway::{Handle, Settings, start},
    protocol::PlainProtocol,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    store::MemoryStore,
    upstream::{Script, Upstream},
};

/// API key of the only workspace.
pub const KEY: &str = "key";
/// The only workspace.
pub const WORKSPACE: &str = "hostel";

/// Wait for the reservation of tokens, above the deadline of the routes: on a busy machine the first
/// row may take longer than the default.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(60);

/// A gateway with its store, its upstreams and a client.
pub struct Harness {
    pub store: Arc<MemoryStore>,
    pub gateway: Option<Handle>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub client: reqwest::Client,
    settings: Settings,
}

/// Returns a configuration with one route for each kind of request, all to the same service.
pub fn snapshot(version: u64, purchased: u64) -> Snapshot {
    let kinds = [
        ("safe", Kind::Idempotent),
        ("once", Kind::Once),
        ("stream", Kind::Stream),
        ("resumable", Kind::Resumable),
    ];
    let route = |(name, kind): (&str, Kind)| Route {
        name: name.into(),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        kind,
        targets: vec![Target {
            service: "desk".into(),
            weight: 1,
        }],
        attempts: 2,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(2),
        event_interval: Duration::from_millis(500),
        priority: 0,
        is_public: false,
    };
    let engine = Engine {
        slots: 8,
        capacity: 100_000,
        event_tokens: 10,
        models: Vec::new(),
    };
    let workspace = Workspace {
        name: WORKSPACE.into(),
        keys: vec![KEY.into()],
        priority: None,
        purchased: Some(purchased),
    };
    Snapshot {
        version,
        routes: kinds.into_iter().map(route).collect(),
        services: vec![Service {
            name: "desk".into(),
            connection_limit: 64,
            engine: Some(engine),
            cold_start: None,
        }],
        workspaces: vec![workspace],
        ..Snapshot::default()
    }
}

/// Returns the entry of an upstream in the store's list.
pub fn entry(address: SocketAddr, state: State) -> Registration {
    Registration {
        service: "desk".into(),
        address,
        region: "region".into(),
        zone: "zone".into(),
        slots: 8,
        state,
        started_ms: 1,
        cold_left: Duration::ZERO,
    }
}

/// Returns the peak memory of this process in MiB.
pub fn peak_mib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: usize = kib
        .and_then(|kib| kib.parse().ok())
        .expect("a number of KiB");
    kib >> 10
}

/// Returns the time in seconds after which a refused caller should return.
pub fn retry_after(response: &reqwest::Response) -> f64 {
    let after = response.headers().get("retry-after");
    let after = after.expect("a time to return");
    after.to_str().expect("text").parse().expect("seconds")
}

impl Harness {
    /// Starts a gateway and an upstream for each script, and waits until the gateway is ready. The
    /// workspace has a budget of 1,000,000 tokens.
    pub async fn new(scripts: Vec<Script>) -> (Self, Vec<Upstream>) {
        Self::with_snapshot(snapshot(1, 1_000_000), scripts).await
    }

    /// As [`Self::new`], but the workspace has no budget.
    pub async fn unlimited(scripts: Vec<Script>) -> (Self, Vec<Upstream>) {
        let mut snapshot = snapshot(1, 0);
        snapshot.workspaces[0].purchased = None;
        Self::with_snapshot(snapshot, scripts).await
    }

    /// As [`Self::new`], with this configuration.
    pub async fn with_snapshot(snapshot: Snapshot, scripts: Vec<Script>) -> (Self, Vec<Upstream>) {
        Self::with_settings(Settings::default(), snapshot, scripts).await
    }

    /// As [`Self::with_snapshot`], with these settings.
    pub async fn with_settings(
        settings: Settings,
        snapshot: Snapshot,
        scripts: Vec<Script>,
    ) -> (Self, Vec<Upstream>) {
        let harness = Self::set_up(settings, Some(snapshot), Duration::ZERO);
        let mut upstreams = Vec::new();
        for (index, script) in scripts.into_iter().enumerate() {
            let upstream = Upstream::start(&format!("u{index}"), script).await;
            harness
                .store
                .put(&upstream.id, entry(upstream.address, State::Ready));
            upstreams.push(upstream);
        }
        harness.until_ready().await;
        (harness, upstreams)
    }

    /// Starts a gateway with an upstream that runs already, and waits until the gateway is ready.
    pub async fn with_upstream(
        settings: Settings,
        snapshot: Snapshot,
        id: &str,
        entry: Registration,
    ) -> Self {
        let harness = Self::set_up(settings, Some(snapshot), Duration::ZERO);
        // Before the gateway's tasks run, so that its first read of the list has the entry.
        harness.store.put(id, entry);
        harness.until_ready().await;
        harness
    }

    /// Starts a gateway without upstreams, with or without a configuration.
    pub async fn without_upstreams(snapshot: Option<Snapshot>) -> Self {
        Self::with_transfer_time(snapshot, Duration::ZERO).await
    }

    /// As [`Self::without_upstreams`], with a store that takes this time to transfer a whole
    /// configuration.
    pub async fn with_transfer_time(snapshot: Option<Snapshot>, transfer: Duration) -> Self {
        Self::set_up(Settings::default(), snapshot, transfer)
    }

    fn set_up(settings: Settings, snapshot: Option<Snapshot>, transfer: Duration) -> Self {
        let store = Arc::new(MemoryStore::default());
        store.set_transfer(transfer);
        if let Some(snapshot) = snapshot {
            store.configure(snapshot);
        }
        let settings = Settings {
            deregistration_delay: Duration::from_millis(50),
            reserve_timeout: RESERVE_TIMEOUT,
            ..settings
        };
        let mut harness = Self {
            store,
            gateway: None,
            callers: settings.listen,
            ready: settings.listen_ready,
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
            settings,
        };
        harness.start();
        harness
    }

    /// Starts another host of the same fleet, with exactly these settings but for its addresses, and
    /// waits until it is ready.
    pub async fn start_host(&self, instance: &str, settings: Settings) -> Self {
        let settings = Settings {
            listen_peers: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            ..settings
        };
        self.start_host_apart(instance, settings).await
    }

    /// As [`Self::start_host`], but no message of another host reaches it unless the settings have
    /// an address for them.
    pub async fn start_host_apart(&self, instance: &str, settings: Settings) -> Self {
        let settings = Settings {
            instance: instance.into(),
            ..settings
        };
        let mut harness = Self {
            store: self.store.clone(),
            gateway: None,
            callers: settings.listen,
            ready: settings.listen_ready,
            client: self.client.clone(),
            settings,
        };
        harness.start();
        harness.until_ready().await;
        harness
    }

    /// Starts a new process of the same instance.
    pub fn start(&mut self) {
        let gateway = start(
            self.settings.clone(),
            self.store.clone(),
            Arc::new(PlainProtocol),
        );
        let gateway = gateway.expect("the gateway starts");
        self.callers = gateway.addresses().callers;
        self.ready = gateway.addresses().ready;
        self.gateway = Some(gateway);
    }

    /// Waits until the gateway reports that it is ready.
    pub async fn until_ready(&self) {
        while !self.is_ready().await {
            tokio::task::yield_now().await;
        }
    }

    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.ready);
        let response = self.client.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Returns a request of 100 prompt tokens and at most 50 output tokens.
    pub fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.plain_request(path, id).header("x-tokens", "100,50")
    }

    /// Returns a request with an id and the key, which does not state its tokens.
    pub fn plain_request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/{path}/x", self.callers);
        let request = self.client.post(url).header("host", "desk.example");
        let request = request.header("x-request-id", id).header("x-key", KEY);
        request.body("text")
    }

    /// Returns the account of the budget; an empty one while it has no row.
    pub fn account(&self) -> Account {
        let row = self.store.row(&format!("budget/{WORKSPACE}"));
        row.map_or_else(Account::default, |row| {
            serde_json::from_str(&row.value).expect("the row is an account")
        })
    }
}
