//! Test support: routers with stand-ins of the platform and of engines.

#![allow(dead_code, reason = "each test program uses a part of it")]
#![allow(clippy::unwrap_used)]

pub mod links;
pub mod placed;
pub mod process;

use {
    marigoldroute::{Handle, Settings},
    marigoldroute_core::{
        bill::{Bill, Page, Segment, cursor_key, request_of},
        budget::{Account, Entry, Journal, Share, journal},
        config::{Change, Edit, Kind, Setting, Value, hash_key},
        table::{Row, Transaction},
    },
    marigoldroute_store::{Client, StandIn as Platform},
    marigoldroute_upstream::StandIn as Engine,
    serde_json::{Value as Json, json},
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// API key of the one workspace.
pub const KEY: &str = "workspace-key";
/// Budget of the one workspace.
pub const BUDGET: &str = "hems";

/// Length of the placement lease in tests.
pub const PLACEMENT_LEASE: Duration = Duration::from_secs(2);

/// Stand-ins of the platform and of the engines of a fleet.
pub struct Environment {
    pub platform: Platform,
    pub client: Client,
    pub base: String,
    pub engines: Vec<Engine>,
    pub urls: Vec<String>,
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

impl Environment {
    /// Starts the platform and `engines` engines that serve the model `drafting` and the plain
    /// service `orders`.
    pub async fn start(engines: usize, purchased: u64) -> Self {
        let engines = (0..engines).map(|_| Engine::default()).collect();
        Self::with_engines(engines, purchased).await
    }

    /// Starts the platform and these engines.
    pub async fn with_engines(engines: Vec<Engine>, purchased: u64) -> Self {
        let platform = Platform::default();
        let (address, serve) = platform.bind(local()).await.unwrap();
        tokio::spawn(serve);
        let base = format!("http://{address}");
        let client = Client::new(base.as_str(), Duration::from_secs(5)).unwrap();
        let mut environment = Self {
            platform,
            client,
            base,
            engines: Vec::new(),
            urls: Vec::new(),
        };
        for engine in engines {
            environment.add_engine(engine).await;
        }
        environment.put("budget/hems", &account(purchased)).await;
        environment
    }

    async fn add_engine(&mut self, engine: Engine) {
        let (address, serve) = engine.bind(local()).await.unwrap();
        tokio::spawn(serve);
        self.urls.push(format!("http://{address}"));
        self.engines.push(engine);
    }

    pub async fn put(&self, key: &str, value: &impl serde::Serialize) {
        let mut transaction = Transaction::default();
        transaction.put(key, serde_json::to_string(value).unwrap());
        self.client.commit(&transaction).await.unwrap();
    }

    /// Returns settings of a router with short intervals.
    pub fn settings(&self, number: usize) -> Settings {
        Settings {
            host: format!("router-{number}").into(),
            listen: local(),
            listen_peers: local(),
            platform: self.base.as_str().into(),
            fleet_keys: vec!["a-fleet-key-for-the-tests".into()],
            flush_interval: Duration::from_millis(100),
            ledger_interval: Duration::from_millis(100),
            placement_interval: Duration::from_millis(100),
            placement_lease: PLACEMENT_LEASE,
            pause_bound: Duration::from_millis(500),
            upstream_timeout: Duration::from_millis(500),
            ..Settings::default()
        }
    }

    /// Starts a router in this process, proposes the first configuration if the fleet has none, and
    /// waits until the router is ready.
    pub async fn router(&self, number: usize) -> Handle {
        self.router_with(self.settings(number)).await
    }

    /// Like [`Self::router`], with other settings.
    pub async fn router_with(&self, settings: Settings) -> Handle {
        let router = marigoldroute::start(settings).await.unwrap();
        until(|| async { router.propose(self.change(), "test", "first").await.is_ok() }).await;
        ready(router.address()).await;
        router
    }

    /// Returns the first configuration of the fleet.
    pub fn change(&self) -> Change {
        let mut edits = vec![
            add("kolkata", Kind::Workspace),
            set("kolkata", Setting::Budget, Value::Text(BUDGET.into())),
            set("kolkata", Setting::OutputLimit, Value::Tokens(64)),
            set(
                "kolkata",
                Setting::ApiKeys,
                Value::Hashes(vec![hash_key(KEY).into()]),
            ),
            add("drafting", Kind::Model),
            add("orders", Kind::Service),
            set("orders", Setting::Price, Value::Tokens(10)),
            set("orders", Setting::Idempotent, Value::Flag(false)),
            set("", Setting::Region, Value::Text("region-1".into())),
            set("", Setting::Zone, Value::Text("zone-1".into())),
        ];
        for (number, url) in self.urls.iter().enumerate() {
            let path = format!("engine-{number}");
            let serves = vec!["drafting".into(), "orders".into()];
            edits.push(add(&path, Kind::Upstream));
            edits.push(set(&path, Setting::Url, Value::Text(url.as_str().into())));
            edits.push(set(&path, Setting::Serves, Value::Names(serves)));
        }
        Change {
            edits,
            force: false,
        }
    }

    /// Returns whether a router counts this many routers as ready.
    pub async fn sees(&self, address: SocketAddr, count: i64) -> bool {
        gauge(address, "marigoldroute_ready_hosts").await == count
    }

    /// Returns the bills of closed batches and those that the ledger has not read yet.
    pub async fn bills(&self) -> Vec<Bill> {
        let mut bills = Vec::new();
        let mut open = HashSet::new();
        for holder in self.holders().await {
            let page = self.page(&holder).await;
            bills.extend(page.pending_bills().cloned());
            open.extend(page.open_batch().map(|batch| (holder, batch.first)));
        }
        for key in self.client.list_objects("bills/").await.unwrap() {
            let object = self.client.get_object(&key).await.unwrap().unwrap();
            let segment = Segment::decode(&key, &object).unwrap();
            if !open.contains(&(segment.holder.to_string(), segment.first)) {
                bills.extend(segment.bills);
            }
        }
        bills
    }

    /// Returns the number of distinct requests that are billed so far; 0 if the ledger has written
    /// during the read.
    pub async fn requests_billed(&self) -> usize {
        let before = self.platform.counters().writes;
        let bills = self.bills().await;
        if self.platform.counters().writes != before {
            return 0;
        }
        let requests: HashSet<_> = bills.iter().map(|bill| &bill.request).collect();
        requests.len()
    }

    /// Returns the number of bills that the ledger has not read yet.
    pub async fn unread(&self) -> usize {
        let mut unread = 0;
        for holder in self.holders().await {
            unread += self.page(&holder).await.pending_bills().count();
        }
        unread
    }

    /// Reads a cursor and the rows that follow it. The ledger deletes rows in the transaction that
    /// moves the cursor, so the rows match the cursor only if it is unchanged after the scan.
    async fn page(&self, holder: &str) -> Page {
        loop {
            let cursor = self.client.get(&cursor_key(holder)).await.unwrap();
            let (prefix, after) =
                Page::scan_range(holder, &Page::decode_cursor(cursor.as_ref()).unwrap());
            let rows = self.client.scan(&prefix, &after, 1_000).await.unwrap();
            if self.client.get(&cursor_key(holder)).await.unwrap() == cursor {
                return Page::decode(holder.into(), cursor.as_ref(), &rows).unwrap();
            }
        }
    }

    async fn journals(&self) -> Vec<Row> {
        self.client.scan("journal/", "", 1_000).await.unwrap()
    }

    pub async fn holders(&self) -> BTreeSet<String> {
        let rows = self.journals().await;
        let holders = rows
            .iter()
            .filter_map(|row| journal::holder_of_key(&row.key));
        holders.map(str::to_owned).collect()
    }

    /// Returns the number of fence rows.
    pub async fn fences(&self) -> usize {
        let rows = self.journals().await;
        let journals = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<Journal>(&row.value).ok());
        journals
            .filter(|journal| matches!(journal.entry, Entry::Fence { .. }))
            .count()
    }

    /// Returns the shares of the budget in the journal rows that have any, in the order of the
    /// rows.
    pub async fn shares(&self) -> Vec<Share> {
        let rows = self.journals().await;
        let journals = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<Journal>(&row.value).ok());
        journals
            .filter_map(|journal| {
                journal
                    .entry
                    .shares()
                    .and_then(|shares| shares.get(BUDGET).copied())
            })
            .collect()
    }

    /// Returns the row of the budget.
    pub async fn account(&self) -> Account {
        let row = self.client.get("budget/hems").await.unwrap().unwrap();
        serde_json::from_str(&row.value).unwrap()
    }

    /// Returns the number of executions by request, over all attempts and engines.
    pub fn runs_by_request(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for (attempt, record) in self.engines.iter().flat_map(Engine::records) {
            *runs.entry(request_of(&attempt).to_string()).or_default() += record.runs;
        }
        runs
    }

    /// Returns the number of executions of all requests on all engines.
    pub fn runs(&self) -> u32 {
        let records = self.engines.iter().flat_map(|engine| engine.records());
        records.map(|(_, record)| record.runs).sum()
    }
}

/// Returns a metric without labels of a router.
pub async fn gauge(address: SocketAddr, name: &str) -> i64 {
    let metrics = reqwest::get(format!("http://{address}/metrics")).await;
    let text = metrics.unwrap().text().await.unwrap();
    let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
    lines.next().unwrap().trim().parse().unwrap()
}

fn account(purchased: u64) -> Account {
    Account {
        purchased,
        ..Account::default()
    }
}

pub fn add(path: &str, kind: Kind) -> Edit {
    Edit::Add {
        path: path.into(),
        kind,
    }
}

pub fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

/// Waits until a condition holds; the test runner's timeout ends a test whose condition never
/// holds.
pub async fn until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    while !condition().await {
        tick.tick().await;
    }
}

/// Waits until a router is ready.
pub async fn ready(address: SocketAddr) {
    let url = format!("http://{address}/readyz");
    until(|| async {
        reqwest::get(&url)
            .await
            .is_ok_and(|r| r.status().is_success())
    })
    .await;
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
        let value: Json = serde_json::from_str(text).ok()?;
        let part = |name: &str| value["error"][name].as_str().map(str::to_owned);
        Some((part("kind")?, part("outcome")?))
    }

    /// Returns whether a streamed answer is complete.
    pub fn is_whole_stream(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }

    /// Returns the answer's tokens in order.
    pub fn text(&self) -> String {
        if let Ok(value) = serde_json::from_str::<Json>(&self.body) {
            let text = &value["choices"][0]["message"]["content"];
            return text.as_str().unwrap_or_default().to_owned();
        }
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = data.filter_map(|data| serde_json::from_str::<Json>(data).ok());
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
