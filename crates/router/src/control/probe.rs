//! Health probes of upstreams.
//!
//! Each upstream is probed by a few hosts, which report the result to the others by gossip;
//! otherwise the number of probes of an upstream would grow with the number of hosts.

use {
    bytes::BytesMut,
    marigoldroute_core::{
        config::Catalog,
        fleet::{Observation, WeightedHost, rank},
        id::{HostId, ModelId, UpstreamId},
        route::{Load, PRIORITY_CLASSES},
    },
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
};

/// Number of hosts that probe one upstream.
const PROBERS_PER_UPSTREAM: usize = 3;
/// Interval at which one host probes an upstream.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest load report in bytes.
const REPORT_LIMIT_BYTES: usize = 16 << 10;
/// Largest number of prefix hashes requested by one probe, up to 20 bytes each.
const HASH_LIMIT: usize = 64;

/// A change of an engine's prefix cache, as reported by the engine.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) stored: Vec<u64>,
    pub(crate) removed: Vec<u64>,
    pub(crate) cleared: bool,
}

/// Content of an upstream's answer to a probe.
#[derive(Debug, Default)]
pub(super) struct Report {
    pub(super) load: Option<Load>,
    pub(super) events: Vec<CacheEvent>,
    /// Model that the upstream holds; empty for none, absent if the upstream does not report it.
    pub(super) holds: Option<ModelId>,
    /// Size of the answer's body in bytes.
    pub(super) bytes: usize,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Body {
    running: u32,
    waiting: u32,
    /// Absent if the engine does not support priority classes.
    waiting_by_class: Option<[u32; PRIORITY_CLASSES]>,
    prompt_tokens_by_class: [u32; PRIORITY_CLASSES],
    seconds_per_token: f32,
    seconds_per_prompt_token: f32,
    draining: bool,
    cache: Vec<CacheEvent>,
    /// Absent for an engine that does not support orders to load a model.
    holding: Option<Holding>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Holding {
    loaded: Option<Model>,
}

#[derive(Clone, Debug, Deserialize)]
struct Model {
    model: ModelId,
}

impl Holding {
    fn name(self) -> ModelId {
        self.loaded.map_or_else(|| "".into(), |loaded| loaded.model)
    }
}

impl Body {
    fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting_by_class.unwrap_or([self.waiting, 0, 0]),
            pending_tokens: self.prompt_tokens_by_class,
            token_interval: self.seconds_per_token,
            prefill: self.seconds_per_prompt_token,
            slowdown: 0.0,
        }
    }
}

/// Returns the upstreams that the host `own` probes, with their URLs.
pub(super) fn assigned_upstreams(
    catalog: &Catalog,
    own: &HostId,
    ready: &[WeightedHost],
) -> Vec<(UpstreamId, Arc<str>)> {
    let is_prober = |upstream: &UpstreamId| {
        let ranked = rank(upstream, ready);
        ranked
            .into_iter()
            .take(PROBERS_PER_UPSTREAM)
            .any(|host| host == own)
    };
    let upstreams = catalog.upstreams.iter();
    upstreams
        .filter(|(id, _)| is_prober(id))
        .map(|(id, upstream)| (id.clone(), upstream.url.clone()))
        .collect()
}

/// Probes one upstream; requests the cache events after the sequence number `after`, if given.
pub(super) async fn probe(
    http: reqwest::Client,
    url: Arc<str>,
    after: Option<u64>,
) -> (Observation, Report) {
    let query = after.map(|after| format!("?after={after}&hashes={HASH_LIMIT}"));
    let url = format!("{url}/v1/load{}", query.unwrap_or_default());
    let call = http.get(url).timeout(PROBE_TIMEOUT);
    let Ok(response) = call.send().await else {
        return (Observation::Failure, Report::default());
    };
    if response.status().is_server_error() {
        return (Observation::Failure, Report::default());
    }
    let Some(bytes) = read(response).await else {
        return (Observation::Ready, Report::default());
    };
    let mut report = Report {
        bytes: bytes.len(),
        ..Report::default()
    };
    // A plain service answers without a load report.
    let Ok(body) = serde_json::from_slice::<Body>(&bytes) else {
        return (Observation::Ready, report);
    };
    report.load = Some(body.load());
    let observation = match body.draining {
        true => Observation::Leaving,
        false => Observation::Ready,
    };
    report.events = body.cache;
    report.holds = body.holding.map(Holding::name);
    (observation, report)
}

/// Reads an answer; `None` if it is larger than [`REPORT_LIMIT_BYTES`] or the connection breaks.
async fn read(mut response: reqwest::Response) -> Option<BytesMut> {
    let mut body = BytesMut::new();
    while let Some(piece) = response.chunk().await.ok()? {
        if body.len() + piece.len() > REPORT_LIMIT_BYTES {
            return None;
        }
        body.extend_from_slice(&piece);
    }
    Some(body)
}
