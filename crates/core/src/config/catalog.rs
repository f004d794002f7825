//! The effective configuration, compiled for lookups on the request path.

use {
    crate::id::{
        BudgetId, ModelId, Region, ServiceId, Tokens, UpstreamId, Version, WorkspaceId, Zone,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// What an API key gives access to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Access {
    /// The workspace that the key belongs to.
    pub workspace: WorkspaceId,
    /// Budget that its requests are charged to.
    pub budget: BudgetId,
    /// Output token limit for requests that name none.
    pub output_limit: Tokens,
    /// Smallest output token limit to which a request is shortened when the rest of the budget does
    /// not cover it; `None` when such requests are refused.
    #[serde(default)]
    pub least_output: Option<Tokens>,
    /// Priority class; 0 is served first.
    pub priority: u8,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes new work.
    #[default]
    InService,
    /// Takes no new work; running work finishes.
    Withdrawn,
}

/// An upstream as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Base URL, without a trailing slash.
    pub url: Arc<str>,
    /// The models or services that it serves.
    pub serves: Vec<ModelId>,
    /// Region that it runs in.
    pub region: Region,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Labels that operators select upstreams by, such as the lot that it was bought with.
    #[serde(default)]
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether its calls may be repeated unless a request says otherwise.
    #[serde(default)]
    pub idempotent: bool,
    /// Price of a call in tokens.
    pub price: Tokens,
}

impl Upstream {
    /// Returns whether the configuration lets it take new work.
    pub fn is_in_service(&self) -> bool {
        self.state == State::InService
    }
}

/// Version of a model that engines are ordered to load, and the demand that it must serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Version of the model.
    pub version: u64,
    /// Tokens per second for which replicas are kept.
    pub demand: u64,
    /// Tokens per second that one replica generates at full load; at least 1.
    pub replica_rate: u64,
}

/// Capacity share, retry limit and allowed models of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Weight in the division of capacity when it is short.
    pub share: u64,
    /// Limit on retries in percent of requests; at most 100.
    pub retry_percent: u64,
    /// Models and services that it may use; all of them when absent.
    pub allowed: Option<Vec<ModelId>>,
}

/// What happens to running work of a withdrawn upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunningPolicy {
    /// It finishes where it runs.
    #[default]
    Finish,
    /// Idempotent work is cancelled and moved; other work finishes.
    Move,
}

/// Model versions of an upstream, what is withdrawn on it, and how it checks commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosting {
    /// Version served, by model.
    pub versions: BTreeMap<ModelId, Arc<str>>,
    /// Models or services for which no new work is taken.
    pub withdrawn: Vec<ModelId>,
    /// What happens to running work once withdrawn.
    pub running: RunningPolicy,
    /// Whether commands with an old fencing number are refused.
    pub is_fencing: bool,
    /// Whether the sender of a command is verified.
    pub is_verifying: bool,
}

/// Settings of the whole organisation; where one is absent, the process's default applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Hosts per region that hold a grant of a budget.
    pub holders: Option<u64>,
    /// Time for which a holder's allocated tokens cover its demand without the store.
    pub endurance: Option<Duration>,
    /// Age of the last contact with store or peers after which new work is refused.
    pub stale: Option<Duration>,
    /// Longest time that a stopping host waits for its streams.
    pub drain: Option<Duration>,
    /// Greatest number of concurrent loads from the weight store; at least 1.
    #[serde(default)]
    pub concurrent_loads: Option<u64>,
    /// Shortest time between two loads from the weight store.
    #[serde(default)]
    pub load_interval: Option<Duration>,
    /// How long audit entries and the changes of each version are kept.
    #[serde(default)]
    pub history: Option<Duration>,
}

/// The effective configuration of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the configuration; 0 before the first one is applied.
    pub version: Version,
    /// Access by the hash of the API key, see [`hash_key`].
    pub keys: BTreeMap<Arc<str>, Access>,
    /// Upstreams by id, in service or withdrawn.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Plain services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Workspaces that have API keys.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Versions and withdrawals of each upstream.
    #[serde(default)]
    pub hosting: BTreeMap<UpstreamId, Hosting>,
    /// Models that engines are ordered to load.
    #[serde(default)]
    pub placement: BTreeMap<ModelId, Placement>,
    /// Organisation-wide settings.
    #[serde(default)]
    pub limits: Limits,
}

impl Catalog {
    /// Returns what an API key gives access to.
    pub fn access(&self, key: &str) -> Option<&Access> {
        self.keys.get(hash_key(key).as_str())
    }

    /// Returns whether a workspace may use a model or service.
    pub fn allows(&self, workspace: &str, name: &str) -> bool {
        let workspace = self.workspaces.get(workspace);
        let allowed = workspace.and_then(|workspace| workspace.allowed.as_ref());
        allowed.is_none_or(|allowed| allowed.iter().any(|known| **known == *name))
    }

    /// Returns the upstreams in service for a model or plain service.
    pub fn candidates(&self, serves: &str) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        let in_service = move |upstream: &Upstream| {
            upstream.is_in_service() && upstream.serves.iter().any(|s| **s == *serves)
        };
        self.upstreams
            .iter()
            .filter(move |(_, upstream)| in_service(upstream))
    }

    /// Returns whether any upstream is configured to serve a model.
    pub fn has_model(&self, model: &str) -> bool {
        let mut serves = self
            .upstreams
            .values()
            .flat_map(|upstream| &upstream.serves);
        serves.any(|name| **name == *model) && !self.services.contains_key(model)
    }

    /// Returns the models that any upstream is configured to serve, without plain services.
    pub fn models(&self) -> Vec<ModelId> {
        let serves = self
            .upstreams
            .values()
            .flat_map(|upstream| &upstream.serves);
        let mut models: Vec<_> = serves
            .filter(|name| !self.services.contains_key(*name))
            .cloned()
            .collect();
        models.sort();
        models.dedup();
        models
    }
}

/// Returns the SHA-256 hash of an API key in hexadecimal; keys themselves are never stored.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}
