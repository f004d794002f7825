//! The processes of the demonstration.

use {
    anyhow::Context,
    marigoldroute::{Handle, Settings},
    marigoldroute_core::{
        budget::Account,
        config::{Change, Edit, Kind, Setting, Value, hash_key},
        table::Transaction,
    },
    marigoldroute_platform::{Client, StandIn as Platform},
    marigoldroute_upstream::StandIn as Engine,
    reqwest::StatusCode,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinHandle,
};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks at a router's readiness.
const READY_PAUSE: Duration = Duration::from_millis(20);
/// Bound on the wait until a version is in effect.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Routers with the stand-ins of their outside systems.
pub struct Fleet {
    pub platform: Client,
    pub engines: Vec<Engine>,
    pub service: Engine,
    pub routers: Vec<Handle>,
    http: reqwest::Client,
    servers: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts everything on loopback addresses.
    pub async fn start() -> anyhow::Result<Self> {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (address, serve) = Platform::default().bind(local).await?;
        let mut servers = vec![tokio::spawn(serve)];
        let base = format!("http://{address}");
        let platform = Client::new(base.as_str(), PLATFORM_TIMEOUT)?;

        let stand_ins = [Engine::default(), Engine::default(), Engine::default()];
        let mut urls = Vec::new();
        for stand_in in &stand_ins {
            let (address, serve) = stand_in.bind(local).await?;
            servers.push(tokio::spawn(serve));
            urls.push(format!("http://{address}"));
        }
        let [a, b, service] = stand_ins;
        fund(&platform, "hems", 20_000).await?;
        fund(&platform, "confetti", 600).await?;

        let mut fleet = Self {
            platform,
            engines: vec![a, b],
            service,
            routers: Vec::new(),
            http: reqwest::Client::new(),
            servers,
        };
        for number in 1..=3 {
            let settings = settings(number, &base);
            fleet.routers.push(marigoldroute::start(settings).await?);
        }
        fleet.change(first(&urls), "demo-1").await?;
        Ok(fleet)
    }

    /// Stops the routers as planned.
    pub async fn stop(&mut self) {
        for router in self.routers.drain(..) {
            router.stop().await;
        }
    }

    /// Sends a completion request; returns the status and the whole body.
    pub async fn complete(
        &self,
        router: usize,
        key: &str,
        stream: bool,
        limit: u64,
    ) -> anyhow::Result<(StatusCode, String)> {
        let body = json!({
            "model": "drafting", "stream": stream, "max_tokens": limit,
            "messages": [{"role": "user", "content": "Draft a work sheet."}],
        });
        let call = self.http.post(self.url(router, "/v1/chat/completions"));
        let response = call.bearer_auth(key).json(&body).send().await?;
        let status = response.status();
        Ok((status, response.text().await?))
    }

    /// Places an order at the plain service.
    pub async fn order(
        &self,
        router: usize,
        key: &str,
        id: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, String)> {
        let call = self.http.post(self.url(router, "/services/orders/place"));
        let call = call.bearer_auth(key).header("idempotency-key", id);
        let response = call.body(body).send().await?;
        let status = response.status();
        Ok((status, response.text().await?))
    }

    /// Takes an upstream out of service and waits until every router has applied it.
    pub async fn withdraw(&self, upstream: &str) -> anyhow::Result<()> {
        let state = Value::Text("withdrawn".into());
        self.change(vec![set(upstream, Setting::State, state)], "demo-2")
            .await
    }

    /// Changes the configuration and waits until every router has applied it.
    async fn change(&self, edits: Vec<Edit>, request: &str) -> anyhow::Result<()> {
        let change = Change {
            edits,
            force: false,
        };
        let version = self.routers[0].propose(change, "demo", request).await?;
        let wait = async {
            while self.routers.iter().any(|router| router.version() < version) {
                tokio::time::sleep(READY_PAUSE).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, wait).await;
        waited.context("the configuration did not take effect in time")
    }

    fn url(&self, router: usize, path: &str) -> String {
        format!("http://{}{path}", self.routers[router].address())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for server in &self.servers {
            server.abort();
        }
    }
}

fn settings(number: u32, platform: &str) -> Settings {
    Settings {
        host: format!("router-{number}").into(),
        listen: ([127, 0, 0, 1], 0).into(),
        listen_peers: ([127, 0, 0, 1], 0).into(),
        platform: platform.into(),
        fleet_keys: vec!["demo-key-of-the-fleet".into()],
        flush_interval: Duration::from_millis(500),
        ..Settings::default()
    }
}

fn add(path: &str, kind: Kind) -> Edit {
    Edit::Add {
        path: path.into(),
        kind,
    }
}

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

/// The first configuration.
fn first(urls: &[String]) -> Vec<Edit> {
    let mut edits = vec![
        set("", Setting::Region, Value::Text("region-1".into())),
        set("", Setting::Zone, Value::Text("zone-1".into())),
        add("drafting", Kind::Model),
        add("orders", Kind::Service),
        set("orders", Setting::Price, Value::Tokens(25)),
        set("orders", Setting::Idempotent, Value::Flag(false)),
    ];
    for (workspace, budget) in [("kolkata", "hems"), ("palermo", "confetti")] {
        let key = hash_key(&format!("{workspace}-key")).into();
        edits.push(add(workspace, Kind::Workspace));
        edits.push(set(workspace, Setting::Budget, Value::Text(budget.into())));
        edits.push(set(workspace, Setting::OutputLimit, Value::Tokens(256)));
        edits.push(set(workspace, Setting::ApiKeys, Value::Hashes(vec![key])));
    }
    let upstreams = [
        ("engine-a", "drafting"),
        ("engine-b", "drafting"),
        ("orders-1", "orders"),
    ];
    for ((name, serves), url) in upstreams.into_iter().zip(urls) {
        edits.push(add(name, Kind::Upstream));
        edits.push(set(name, Setting::Url, Value::Text(url.as_str().into())));
        edits.push(set(
            name,
            Setting::Serves,
            Value::Names(vec![serves.into()]),
        ));
    }
    edits
}

async fn fund(platform: &Client, budget: &str, tokens: u64) -> anyhow::Result<()> {
    let account = Account {
        purchased: tokens,
        ..Account::default()
    };
    let mut transaction = Transaction::default();
    transaction.put(format!("budget/{budget}"), serde_json::to_string(&account)?);
    platform.commit(&transaction).await?;
    Ok(())
}
