//! Load reports of the engines, polled by the lease holder.

use {
    super::Worker,
    crate::control::Snapshot,
    futures_util::{StreamExt, stream},
    marigoldroute_core::{
        id::{ModelId, UpstreamId},
        placement::{EngineState, ModelVersion},
    },
    serde::Deserialize,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Largest number of reports requested at the same time.
const CONCURRENT_REPORTS: usize = 64;
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which the last report of an engine stays valid if newer ones are missing. A single lost
/// report must not lead to another replica.
const REPORT_VALIDITY: Duration = Duration::from_secs(15);
/// Time constant of the smoothing of the generated tokens per second.
const RATE_SMOOTHING_TIME: Duration = Duration::from_secs(60);

/// Model that an engine holds or is loading, with its counters as reported by the engine.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Holding {
    loaded: Option<Model>,
    loading: Option<Model>,
    requests: u64,
    errors: u64,
    tokens: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct Model {
    model: ModelId,
    version: u64,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    draining: bool,
    /// Absent for an engine that takes no orders.
    holding: Option<Holding>,
}

impl From<&Model> for ModelVersion {
    fn from(model: &Model) -> Self {
        Self {
            model: model.model.clone(),
            version: model.version,
        }
    }
}

/// Last report of an engine, with its smoothed rate.
#[derive(Debug)]
pub(super) struct EngineStats {
    at: Duration,
    holding: Holding,
    /// Smoothed rate of generated tokens per second.
    rate: f64,
    /// Requests and errors of the loaded model that were passed to the planner already.
    counted: (u64, u64),
}

impl EngineStats {
    fn new(at: Duration, holding: Holding) -> Self {
        Self {
            at,
            holding,
            rate: 0.0,
            counted: (0, 0),
        }
    }

    fn update(&mut self, now: Duration, holding: Holding) {
        let (old, new) = (&self.holding, &holding);
        let is_same = old.loaded == new.loaded
            && old.tokens <= new.tokens
            && old.requests <= new.requests
            && old.errors <= new.errors;
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if !is_same {
            *self = Self::new(now, holding);
        } else if passed > 0.0 {
            let rate = (new.tokens - old.tokens) as f64 / passed;
            let weight = 1.0 - (-passed / RATE_SMOOTHING_TIME.as_secs_f64()).exp();
            self.rate += (rate - self.rate) * weight;
            self.at = now;
            self.holding = holding;
        }
    }

    pub(super) fn state(&self) -> EngineState {
        EngineState {
            loaded: self.holding.loaded.as_ref().map(ModelVersion::from),
            loading: self.holding.loading.as_ref().map(ModelVersion::from),
        }
    }

    /// Returns the loaded model, and its requests and errors that were not passed to the planner
    /// yet; `None` without new requests.
    pub(super) fn uncounted(&self) -> Option<(ModelVersion, u64, u64)> {
        let loaded = self.holding.loaded.as_ref()?;
        let requests = self.holding.requests.saturating_sub(self.counted.0);
        let errors = self.holding.errors.saturating_sub(self.counted.1);
        (requests > 0).then(|| (loaded.into(), requests, errors))
    }

    pub(super) fn mark_counted(&mut self) {
        self.counted = (self.holding.requests, self.holding.errors);
    }

    /// Returns the tokens per second that the engine generates for a model; 0 if it holds another
    /// one.
    pub(super) fn rate(&self, model: &str) -> f64 {
        let loaded = self.holding.loaded.as_ref();
        match loaded.is_some_and(|loaded| *loaded.model == *model) {
            true => self.rate,
            false => 0.0,
        }
    }
}

/// Last reports of the engines in service.
pub(super) type Reports = BTreeMap<UpstreamId, EngineStats>;

impl Worker {
    /// Polls the engines in service that may hold a placed model, and updates their reports.
    pub(super) async fn poll(&self, snapshot: &Snapshot, reports: &mut Reports) {
        let engines = engines(snapshot);
        reports.retain(|id, _| engines.contains_key(id));
        let calls = engines.into_iter().map(|(id, url)| {
            let http = self.http.clone();
            async move { (id, request_report(http, url).await) }
        });
        let mut answers = stream::iter(calls).buffer_unordered(CONCURRENT_REPORTS);
        while let Some((id, report)) = answers.next().await {
            let now = self.clock.now();
            match report {
                Some(Report {
                    draining: false,
                    holding: Some(holding),
                }) => match reports.get_mut(&id) {
                    Some(stats) => stats.update(now, holding),
                    None => drop(reports.insert(id, EngineStats::new(now, holding))),
                },
                Some(_) => drop(reports.remove(&id)),
                None => {}
            }
        }
        let now = self.clock.now();
        reports.retain(|_, stats| now < stats.at + REPORT_VALIDITY);
    }
}

async fn request_report(http: reqwest::Client, url: Arc<str>) -> Option<Report> {
    let call = http.get(format!("{url}/v1/load"));
    let response = call.timeout(REPORT_TIMEOUT).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}

/// Returns the URLs of the engines in service that may hold a placed model.
fn engines(snapshot: &Snapshot) -> BTreeMap<UpstreamId, Arc<str>> {
    let placement = &snapshot.catalog.placement;
    let upstreams = snapshot.catalog.upstreams.iter();
    let engines = upstreams.filter(|(id, upstream)| {
        let is_placed = upstream.serves.iter().any(|m| placement.contains_key(m));
        is_placed && upstream.is_in_service() && snapshot.is_up(id)
    });
    engines
        .map(|(id, upstream)| (id.clone(), upstream.url.clone()))
        .collect()
}
