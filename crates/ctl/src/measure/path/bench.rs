//! An engine with routers before it, and one call of a caller.

use {
    anyhow::{Context, Result, ensure},
    futures_util::StreamExt,
    marigoldroute::{Handle, Settings as Router},
    marigoldroute_core::{
        budget::Account,
        config::{Change, Edit, Kind, Setting, Value, hash_key},
        table::Transaction,
    },
    marigoldroute_store::{Client, StandIn as Platform, http_client_builder},
    marigoldroute_upstream::{Settings as Engine, StandIn},
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const KEY: &str = "measure-key";

/// Where the load is sent.
pub(super) struct Target {
    pub(super) name: &'static str,
    url: String,
}

/// An engine, and two routers before it.
pub(super) struct Bench {
    http: reqwest::Client,
    pub(super) direct: Target,
    pub(super) routed: Target,
    routers: Vec<Handle>,
    tokens: u64,
}

impl Bench {
    /// Starts an engine whose answers have `tokens` tokens, one per `pace`.
    pub(super) async fn start(tokens: u64, pace: Duration) -> Result<Self> {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (address, serve) = Platform::default().bind(local).await?;
        tokio::spawn(serve);
        let base = format!("http://{address}");
        fund(&Client::new(base.as_str(), Duration::from_secs(2))?).await?;
        let engine = StandIn::new(Engine {
            first_token: Duration::from_millis(5),
            token: pace,
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
            http: http_client_builder().build()?,
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

    pub(super) async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
    }

    /// Returns the bytes that the entry has exchanged with the other host.
    pub(super) async fn peer_bytes(&self) -> Result<u64> {
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

    /// Sends one request and reads its whole answer.
    pub(super) fn call(
        &self,
        target: &Target,
        number: usize,
    ) -> impl Future<Output = Result<Timing>> + use<> {
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
            let first = started.elapsed();
            let (mut gaps, mut before) = (Vec::new(), Instant::now());
            while let Some(bytes) = stream.next().await {
                last = bytes?;
                gaps.push(before.elapsed());
                before = Instant::now();
            }
            ensure!(last.ends_with(b"[DONE]\n\n"), "the stream is incomplete");
            Ok(Timing { first, gaps })
        }
    }
}

/// Times of one answer as its caller saw them.
pub(super) struct Timing {
    /// From the request to the first byte.
    pub(super) first: Duration,
    /// Between the parts that arrived after one another.
    pub(super) gaps: Vec<Duration>,
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
