//! The processes of the demonstration.

use {
    anyhow::Context,
    marigoldroute::{Handle, Settings},
    marigoldroute_core::{
        budget::Account,
        config::{Access, Catalog, Service, State, Upstream, hash_key},
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
    catalog: Catalog,
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
        let catalog = catalog(&urls);
        fund(&platform, "hems", 20_000).await?;
        fund(&platform, "confetti", 600).await?;

        let mut fleet = Self {
            platform,
            engines: vec![a, b],
            service,
            routers: Vec::new(),
            catalog,
            http: reqwest::Client::new(),
            servers,
        };
        fleet.publish().await?;
        for number in 1..=3 {
            let settings = settings(number, &base);
            fleet.routers.push(marigoldroute::start(settings).await?);
        }
        fleet.settled().await?;
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
    pub async fn withdraw(&mut self, upstream: &str) -> anyhow::Result<()> {
        let entry = self.catalog.upstreams.get_mut(upstream);
        entry.context("no such upstream")?.state = State::Withdrawn;
        self.catalog.version += 1;
        self.publish().await?;
        self.settled().await
    }

    fn url(&self, router: usize, path: &str) -> String {
        format!("http://{}{path}", self.routers[router].address())
    }

    async fn publish(&self) -> anyhow::Result<()> {
        let mut transaction = Transaction::default();
        transaction.put("config/catalog", serde_json::to_string(&self.catalog)?);
        self.platform.commit(&transaction).await?;
        Ok(())
    }

    /// Waits until the newest version is in effect on every router.
    async fn settled(&self) -> anyhow::Result<()> {
        let line = format!("marigoldroute_config_version {}", self.catalog.version);
        let wait = async {
            for router in 0..self.routers.len() {
                let url = self.url(router, "/metrics");
                while !self
                    .http
                    .get(&url)
                    .send()
                    .await?
                    .text()
                    .await?
                    .contains(&line)
                {
                    tokio::time::sleep(READY_PAUSE).await;
                }
            }
            anyhow::Ok(())
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, wait).await;
        waited.context("the configuration did not take effect in time")?
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
        poll_interval: Duration::from_millis(200),
        flush_interval: Duration::from_millis(500),
        ..Settings::default()
    }
}

fn catalog(urls: &[String]) -> Catalog {
    let access = |workspace: &str, budget: &str| Access {
        workspace: workspace.into(),
        budget: budget.into(),
        output_limit: 256,
        priority: 1,
    };
    let upstream = |url: &str, serves: &str| Upstream {
        url: url.into(),
        serves: vec![serves.into()],
        region: "region-1".into(),
        zone: "zone-1".into(),
        labels: Default::default(),
        state: State::InService,
    };
    let orders = Service {
        idempotent: false,
        price: 25,
    };
    Catalog {
        version: 1,
        keys: [
            (hash_key("kolkata-key").into(), access("/kolkata", "hems")),
            (
                hash_key("palermo-key").into(),
                access("/palermo", "confetti"),
            ),
        ]
        .into(),
        upstreams: [
            ("engine-a".into(), upstream(&urls[0], "drafting")),
            ("engine-b".into(), upstream(&urls[1], "drafting")),
            ("orders-1".into(), upstream(&urls[2], "orders")),
        ]
        .into(),
        services: [("orders".into(), orders)].into(),
    }
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
