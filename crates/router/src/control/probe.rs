//! Probes of upstreams.
//!
//! Each upstream is probed by a few hosts, which tell the others by gossip; otherwise the probes
//! of an upstream would grow with the number of hosts.

use {
    marigoldroute_core::{
        config::Catalog,
        fleet::{Observation, Weighted, rank},
        id::{HostId, ModelId, UpstreamId},
        route::Load,
    },
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
};

/// Hosts that probe one upstream.
const PROBERS: usize = 3;
/// Time between two probes of an upstream by one host.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Bound on a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// A load report.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Report {
    running: u32,
    waiting: u32,
    draining: bool,
    /// Absent for an engine that takes no orders.
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

/// What a probe showed.
pub(super) struct Probed {
    pub(super) observation: Observation,
    pub(super) load: Option<Load>,
    /// Model that the upstream holds, an empty name for none; absent when it does not say.
    pub(super) holds: Option<ModelId>,
}

impl From<Observation> for Probed {
    fn from(observation: Observation) -> Self {
        Self {
            observation,
            load: None,
            holds: None,
        }
    }
}

impl From<Report> for Load {
    fn from(report: Report) -> Self {
        Self {
            running: report.running,
            waiting: [report.waiting, 0, 0],
            ..Self::default()
        }
    }
}

/// Returns the upstreams that `own` probes.
pub(super) fn duties(
    catalog: &Catalog,
    own: &HostId,
    ready: &[Weighted],
) -> Vec<(UpstreamId, Arc<str>)> {
    let is_prober = |upstream: &UpstreamId| {
        let ranked = rank(upstream, ready);
        ranked.into_iter().take(PROBERS).any(|host| host == own)
    };
    let upstreams = catalog.upstreams.iter();
    upstreams
        .filter(|(id, _)| is_prober(id))
        .map(|(id, upstream)| (id.clone(), upstream.url.clone()))
        .collect()
}

/// Probes one upstream.
pub(super) async fn probe(http: reqwest::Client, url: Arc<str>) -> Probed {
    let call = http.get(format!("{url}/v1/load")).timeout(PROBE_TIMEOUT);
    let Ok(response) = call.send().await else {
        return Observation::Failure.into();
    };
    if response.status().is_server_error() {
        return Observation::Failure.into();
    }
    // A plain service answers without a load report.
    let Ok(report) = response.json::<Report>().await else {
        return Observation::Ready.into();
    };
    let observation = match report.draining {
        true => Observation::Leaving,
        false => Observation::Ready,
    };
    let holding = report.holding.as_ref();
    let holds = holding.map(|holding| match &holding.loaded {
        Some(loaded) => loaded.model.clone(),
        None => "".into(),
    });
    Probed {
        observation,
        load: Some(report.into()),
        holds,
    }
}
