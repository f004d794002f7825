//! Routers with the stand-ins of their outside systems, for tests.

#![allow(dead_code, reason = "each test program uses a part of it")]
#![allow(clippy::unwrap_used)]

use {
    marigoldroute::{Handle, Settings},
    marigoldroute_core::{
        bill::Bill,
        budget::{Account, Entry, Journal},
        config::{Access, Catalog, Service, State, Upstream, hash_key},
        table::Transaction,
    },
    marigoldroute_platform::{Client, StandIn as Platform},
    marigoldroute_upstream::StandIn as Engine,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// API key of the one workspace.
pub const KEY: &str = "workspace-key";
/// Budget of the one workspace.
pub const BUDGET: &str = "hems";

/// Outside systems of a fleet.
pub struct Outside {
    pub platform: Platform,
    pub client: Client,
    pub base: String,
    pub engines: Vec<Engine>,
    pub catalog: Catalog,
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

pub fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Outside {
    /// Starts the platform and `engines` engines that serve the model `drafting` and the plain
    /// service `orders`.
    pub async fn start(engines: usize, purchased: u64) -> Self {
        let platform = Platform::default();
        let (address, serve) = platform.bind(local()).await.unwrap();
        tokio::spawn(serve);
        let base = format!("http://{address}");
        let client = Client::new(base.as_str(), Duration::from_secs(5)).unwrap();
        let mut outside = Self {
            platform,
            client,
            base,
            engines: Vec::new(),
            catalog: catalog(),
        };
        for number in 0..engines {
            outside.add_engine(number).await;
        }
        outside.put("budget/hems", &account(purchased)).await;
        outside.publish().await;
        outside
    }

    async fn add_engine(&mut self, number: usize) {
        let engine = Engine::default();
        let (address, serve) = engine.bind(local()).await.unwrap();
        tokio::spawn(serve);
        let upstream = Upstream {
            url: format!("http://{address}").into(),
            serves: vec!["drafting".into(), "orders".into()],
            region: "region-1".into(),
            zone: "zone-1".into(),
            labels: Default::default(),
            state: State::InService,
        };
        let name = format!("engine-{number}").into();
        self.catalog.upstreams.insert(name, upstream);
        self.engines.push(engine);
    }

    /// Writes the configuration.
    pub async fn publish(&self) {
        self.put("config/catalog", &self.catalog).await;
    }

    pub async fn put(&self, key: &str, value: &impl serde::Serialize) {
        let mut transaction = Transaction::default();
        transaction.put(key, serde_json::to_string(value).unwrap());
        self.client.commit(&transaction).await.unwrap();
    }

    /// Settings of a router with short intervals.
    pub fn settings(&self, number: usize) -> Settings {
        Settings {
            host: format!("router-{number}").into(),
            listen: local(),
            listen_peers: local(),
            platform: self.base.as_str().into(),
            fleet_keys: vec!["a-fleet-key-for-the-tests".into()],
            poll_interval: Duration::from_millis(50),
            flush_interval: Duration::from_millis(100),
            upstream_timeout: Duration::from_millis(500),
            ..Settings::default()
        }
    }

    /// Starts a router in this process and waits until it is ready.
    pub async fn router(&self, number: usize) -> Handle {
        let router = marigoldroute::start(self.settings(number)).await.unwrap();
        ready(router.address()).await;
        router
    }

    /// Returns every bill in the journals.
    pub async fn bills(&self) -> Vec<Bill> {
        let rows = self.client.scan("journal/", "", 1_000).await.unwrap();
        let bills = rows.iter().flat_map(|row| {
            let journal: Journal = serde_json::from_str(&row.value).unwrap();
            match journal.entry {
                Entry::Flush { bills, .. } => bills,
            }
        });
        bills.collect()
    }

    /// Runs of all requests on all engines.
    pub fn runs(&self) -> u32 {
        let records = self.engines.iter().flat_map(|engine| engine.records());
        records.map(|(_, record)| record.runs).sum()
    }
}

fn account(purchased: u64) -> Account {
    Account {
        purchased,
        ..Account::default()
    }
}

fn catalog() -> Catalog {
    let access = Access {
        workspace: "/kolkata".into(),
        budget: BUDGET.into(),
        output_limit: 64,
        priority: 1,
    };
    let orders = Service {
        idempotent: false,
        price: 10,
    };
    Catalog {
        version: 1,
        keys: [(hash_key(KEY).into(), access)].into(),
        services: [("orders".into(), orders)].into(),
        ..Catalog::default()
    }
}

/// Waits until a router takes work.
pub async fn ready(address: SocketAddr) {
    let url = format!("http://{address}/readyz");
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    loop {
        tick.tick().await;
        if let Ok(response) = reqwest::get(&url).await
            && response.status().is_success()
        {
            return;
        }
    }
}

/// Sends a completion request with the output token limit 16.
pub async fn complete(
    address: SocketAddr,
    stream: bool,
    key: Option<&str>,
) -> reqwest::Result<Answer> {
    let body = json!({
        "model": "drafting", "stream": stream, "max_tokens": 16,
        "messages": [{"role": "user", "content": "Draft a work sheet."}],
    });
    let url = format!("http://{address}/v1/chat/completions");
    let mut call = reqwest::Client::new()
        .post(url)
        .bearer_auth(KEY)
        .json(&body);
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    read(call).await
}

/// Calls the plain service.
pub async fn order(address: SocketAddr, key: &str) -> reqwest::Result<Answer> {
    let url = format!("http://{address}/services/orders/place");
    let call = reqwest::Client::new().post(url).bearer_auth(KEY);
    read(call.header("idempotency-key", key).body("120 m khadi")).await
}

async fn read(call: reqwest::RequestBuilder) -> reqwest::Result<Answer> {
    let response = call.send().await?;
    let status = response.status().as_u16();
    let body = response.text().await?;
    Ok(Answer { status, body })
}

impl Answer {
    /// Returns the error kind and outcome, from the body or the stream's error event.
    pub fn error(&self) -> Option<(String, String)> {
        let text = match self.body.split_once("event: error\ndata: ") {
            Some((_, data)) => data.trim(),
            None => &self.body,
        };
        let value: Value = serde_json::from_str(text).ok()?;
        let part = |name: &str| value["error"][name].as_str().map(str::to_owned);
        Some((part("kind")?, part("outcome")?))
    }

    /// Returns whether a streamed answer is complete.
    pub fn is_whole_stream(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }

    /// Returns the answer's tokens in order.
    pub fn text(&self) -> String {
        if let Ok(value) = serde_json::from_str::<Value>(&self.body) {
            let text = &value["choices"][0]["message"]["content"];
            return text.as_str().unwrap_or_default().to_owned();
        }
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        chunks
            .map(|chunk| {
                chunk["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned()
            })
            .collect()
    }
}
