//! What the router adds to a streamed request: processor time, latency and memory.
//!
//! The same load is sent to a stand-in engine directly and through a router whose budget is held
//! by a second router. Caller, engine, platform and routers share this process, so the router's
//! part is the difference between the two.

use {
    anyhow::{Context, Result, ensure},
    futures_util::StreamExt,
    hdrhistogram::Histogram,
    marigoldroute::{Handle, Settings as Router},
    marigoldroute_core::{
        budget::Account,
        config::{Change, Edit, Kind, Setting, Value, hash_key},
        table::Transaction,
    },
    marigoldroute_platform::{Client, StandIn as Platform},
    marigoldroute_upstream::{Settings as Engine, StandIn},
    serde_json::json,
    std::{
        fs,
        io::Write,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, task::JoinSet},
};

const KEY: &str = "measure-key";
/// Ticks of processor time a second in `/proc/self/stat`.
const TICKS: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;
/// Two flush intervals.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Requests of a line at the least.
const LEAST_REQUESTS: usize = 16;

/// Sizes of the measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Numbers of streams that are open at the same time.
    pub streams: Vec<usize>,
    /// Tokens of an answer.
    pub tokens: Vec<u64>,
    /// Requests for each stream of a line; at least [`LEAST_REQUESTS`] are sent.
    pub requests: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            streams: vec![1, 64, 1_024],
            tokens: vec![1, 200],
            requests: 4,
        }
    }
}

/// Runs the measurement.
pub async fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "target,streams,tokens,requests,requests_per_s,cpu_us_per_request,first_p50_us,first_p99_us,resident_bytes,peer_bytes_per_request"
    )?;
    for tokens in &settings.tokens {
        let bench = Bench::start(*tokens).await?;
        for streams in &settings.streams {
            let requests = (settings.requests * streams).max(LEAST_REQUESTS);
            for target in [&bench.direct, &bench.routed] {
                // The first requests open connections and are not counted.
                bench.load(target, *streams, *streams).await?;
                let before = bench.peer_bytes().await?;
                let line = bench.load(target, *streams, requests).await?;
                // The last settlements are confirmed after the next flush.
                tokio::time::sleep(SETTLE_TIME).await;
                let peer = (bench.peer_bytes().await? - before) / requests as u64;
                writeln!(
                    out,
                    "{},{streams},{tokens},{requests},{line},{peer}",
                    target.name
                )?;
            }
        }
        bench.stop().await;
    }
    Ok(())
}

struct Target {
    name: &'static str,
    url: String,
}

struct Bench {
    http: reqwest::Client,
    direct: Target,
    routed: Target,
    routers: Vec<Handle>,
    tokens: u64,
}

impl Bench {
    async fn start(tokens: u64) -> Result<Self> {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (address, serve) = Platform::default().bind(local).await?;
        tokio::spawn(serve);
        let base = format!("http://{address}");
        fund(&Client::new(base.as_str(), Duration::from_secs(2))?).await?;
        let engine = StandIn::new(Engine {
            first_token: Duration::from_millis(5),
            token: Duration::from_millis(5),
            answer_tokens: tokens,
            ..Engine::default()
        });
        let (address, serve) = engine.bind(local).await?;
        tokio::spawn(serve);
        let direct = format!("http://{address}");
        let mut routers = Vec::new();
        for number in 1..=2 {
            let settings = Router {
                host: format!("measure-{number}").into(),
                listen: local,
                listen_peers: local,
                platform: base.as_str().into(),
                fleet_keys: vec!["measure-key-of-the-fleet".into()],
                ..Router::default()
            };
            routers.push(marigoldroute::start(settings).await?);
        }
        let routed = format!("http://{}", routers[0].address());
        configure(&routers, &direct).await?;
        Ok(Self {
            http: reqwest::Client::new(),
            direct: Target {
                name: "engine",
                url: direct,
            },
            routed: Target {
                name: "router",
                url: routed,
            },
            routers,
            tokens,
        })
    }

    async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
    }

    /// Returns the bytes that the entry has exchanged with the other host.
    async fn peer_bytes(&self) -> Result<u64> {
        let text = self
            .http
            .get(format!("{}/metrics", self.routed.url))
            .send()
            .await?;
        let text = text.text().await?;
        let value = |name: &str| -> Result<u64> {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            Ok(line.context("missing metric")?.trim().parse()?)
        };
        let sent = value("marigoldroute_peer_sent_bytes_total ")?;
        Ok(sent + value("marigoldroute_peer_received_bytes_total ")?)
    }

    /// Sends requests, `streams` at a time, and returns the figures of the line.
    async fn load(&self, target: &Target, streams: usize, requests: usize) -> Result<String> {
        let places = Arc::new(Semaphore::new(streams));
        let mut first = Histogram::<u64>::new(3)?;
        let (started, cpu) = (Instant::now(), cpu_seconds()?);
        let mut calls = JoinSet::new();
        let mut resident = 0;
        for number in 0..requests {
            let place = places.clone().acquire_owned().await?;
            let call = self.call(target, number);
            calls.spawn(async move {
                let result = call.await;
                drop(place);
                result
            });
            while let Some(done) = calls.try_join_next() {
                first.record(done??)?;
            }
            resident = resident_bytes()?.max(resident);
        }
        while let Some(done) = calls.join_next().await {
            first.record(done??)?;
        }
        let seconds = started.elapsed().as_secs_f64();
        let cpu = (cpu_seconds()? - cpu) / requests as f64 * 1e6;
        Ok(format!(
            "{:.0},{cpu:.0},{},{},{resident}",
            requests as f64 / seconds,
            first.value_at_quantile(0.5),
            first.value_at_quantile(0.99),
        ))
    }

    /// Returns the time to the first byte in microseconds.
    fn call(&self, target: &Target, number: usize) -> impl Future<Output = Result<u64>> + use<> {
        let body = json!({
            "model": "drafting", "stream": true, "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": "Draft a work sheet."}],
        });
        let call = self
            .http
            .post(format!("{}/v1/chat/completions", target.url));
        let call = call
            .bearer_auth(KEY)
            .header("x-request-id", format!("direct-{number}"));
        let call = call.json(&body);
        async move {
            let started = Instant::now();
            let response = call.send().await?.error_for_status()?;
            let mut stream = response.bytes_stream();
            let mut last = stream.next().await.context("no answer")??;
            let first = started.elapsed().as_micros() as u64;
            while let Some(bytes) = stream.next().await {
                last = bytes?;
            }
            ensure!(last.ends_with(b"[DONE]\n\n"), "the stream is incomplete");
            Ok(first)
        }
    }
}

async fn fund(platform: &Client) -> Result<()> {
    let account = Account {
        purchased: 1 << 40,
        ..Account::default()
    };
    let mut transaction = Transaction::default();
    transaction.put("budget/measure", serde_json::to_string(&account)?);
    platform.commit(&transaction).await?;
    Ok(())
}

async fn configure(routers: &[Handle], engine: &str) -> Result<()> {
    let add = |path: &str, kind| Edit::Add {
        path: path.into(),
        kind,
    };
    let set = |path: &str, setting: Setting, value| Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    };
    let edits = vec![
        set("", Setting::Region, Value::Text("region-1".into())),
        set("", Setting::Zone, Value::Text("zone-1".into())),
        add("drafting", Kind::Model),
        add("drafting/engine", Kind::Upstream),
        set("drafting/engine", Setting::Url, Value::Text(engine.into())),
        add("measure", Kind::Workspace),
        set("measure", Setting::Budget, Value::Text("measure".into())),
        set("measure", Setting::OutputLimit, Value::Tokens(256)),
        set(
            "measure",
            Setting::ApiKeys,
            Value::Hashes(vec![hash_key(KEY).into()]),
        ),
    ];
    let change = Change {
        edits,
        force: false,
    };
    let version = routers[0].propose(change, "measure", "measure-1").await?;
    let pause = Duration::from_millis(50);
    while routers.iter().any(|router| router.version() < version) {
        tokio::time::sleep(pause).await;
    }
    // One more exchange of membership, after which both routers are holders.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok(())
}

/// Returns the processor time of this process.
fn cpu_seconds() -> Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(") ").next().context("malformed stat")?;
    let mut ticks = fields.split(' ').skip(11).take(2);
    let mut next = || -> Result<f64> { Ok(ticks.next().context("malformed stat")?.parse()?) };
    Ok((next()? + next()?) / TICKS)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).context("malformed statm")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
