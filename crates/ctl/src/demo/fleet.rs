//! The processes of the demonstration.

use {
    super::setup,
    crate::client::Client as Admin,
    anyhow::Context,
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::hash_key,
    marigoldroute_store::{Client, StandIn as Platform, http_client_builder},
    marigoldroute_upstream::StandIn as Engine,
    reqwest::{Method, StatusCode},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinHandle,
};

/// The operator's key of the demonstration.
const ADMIN_KEY: &str = "demo-key-of-the-operator";
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
    admin: Admin,
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
        let mut routers = Vec::new();
        for number in 1..=3 {
            routers.push(marigoldroute::start(settings(number, &base)).await?);
        }
        let admin = Admin::new(&format!("http://{}", routers[0].address()), ADMIN_KEY, None)?;
        let fleet = Self {
            platform,
            engines: vec![a, b],
            service,
            routers,
            admin,
            http: http_client_builder().build()?,
            servers,
        };
        setup::run(&fleet, &urls).await?;
        Ok(fleet)
    }

    /// Writes through the administration API; returns the answer.
    pub async fn write(&self, request: &str, path: &str, body: &Value) -> anyhow::Result<Value> {
        self.admin.write(Method::POST, path, request, body).await
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

    /// Takes an upstream out of service and waits until this is in effect on every router.
    pub async fn withdraw(&self, upstream: &str) -> anyhow::Result<()> {
        let path = format!("/upstreams/{upstream}/withdraw");
        let accepted = self.write("demo-withdraw", &path, &json!({})).await?;
        self.settled(&accepted).await
    }

    /// Waits until an accepted change is in effect on every router.
    pub async fn settled(&self, accepted: &Value) -> anyhow::Result<()> {
        let query = [("version", accepted["version"].to_string())];
        let wait = async {
            loop {
                let progress = self.admin.get("/progress", &query).await?;
                let applied = progress["applied"].as_array().map_or(0, Vec::len);
                if progress["everywhere"] == true && applied == self.routers.len() {
                    return anyhow::Ok(());
                }
                tokio::time::sleep(READY_PAUSE).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, wait).await;
        waited.context("the configuration did not take effect in time")?
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
        admin_key_hash: Some(hash_key(ADMIN_KEY).into()),
        flush_interval: Duration::from_millis(500),
        ..Settings::default()
    }
}
