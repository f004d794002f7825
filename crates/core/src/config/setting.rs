//! All settings, with their units, limits and the nodes that may set them.

use {
    super::{Kind, Unit},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Where a setting may be set and which values it takes.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Unit of the value.
    pub unit: Unit,
    /// Greatest number; for text and lists, the greatest length.
    pub limit: u64,
    /// Kinds of nodes that may set it; their descendants inherit it.
    pub kinds: &'static [Kind],
    /// Words that a text value is restricted to; empty when any text is accepted.
    pub words: &'static [&'static str],
}

macro_rules! settings {
    ($($(#[$doc:meta])* $setting:ident = $name:literal, $unit:ident, $limit:expr, $kinds:expr, $words:expr;)+) => {
        /// A setting of the tree.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Setting {
            $($(#[$doc])* #[display($name)] #[serde(rename = $name)] $setting,)+
        }

        impl Setting {
            /// Every setting.
            pub const ALL: &[Self] = &[$(Self::$setting),+];

            /// Returns the rule of this setting.
            pub const fn rule(self) -> Rule {
                match self {
                    $(Self::$setting => Rule {
                        unit: Unit::$unit,
                        limit: $limit,
                        kinds: $kinds,
                        words: $words,
                    },)+
                }
            }

            /// Returns the setting of a name.
            pub fn parse(name: &str) -> Option<Self> {
                match name {
                    $($name => Some(Self::$setting),)+
                    _ => None,
                }
            }
        }
    };
}

const ORGANISATION: &[Kind] = &[Kind::Organisation];
const WORKSPACES: &[Kind] = &[Kind::Organisation, Kind::Workspace];
const WORKSPACE: &[Kind] = &[Kind::Workspace];
const SERVICES: &[Kind] = &[Kind::Organisation, Kind::Service];
const UPSTREAMS: &[Kind] = &[
    Kind::Organisation,
    Kind::Model,
    Kind::Service,
    Kind::Upstream,
];
const UPSTREAM: &[Kind] = &[Kind::Upstream];
const MODELS: &[Kind] = &[Kind::Organisation, Kind::Model];
const MODEL: &[Kind] = &[Kind::Model];

const TEXT_LIMIT_BYTES: u64 = 512;
const LIST_LIMIT: u64 = 256;
const TOKENS_LIMIT: u64 = 1 << 50;
const DAY_SECONDS: u64 = 86_400;
const VERSION_LIMIT: u64 = 1 << 50;
const HISTORY_SECONDS: u64 = 10 * 366 * DAY_SECONDS;

settings! {
    /// Hashes of the API keys of a workspace.
    ApiKeys = "api_keys", Hashes, LIST_LIMIT, WORKSPACE, &[];
    /// Budget that a workspace's requests are charged to.
    Budget = "budget", Text, TEXT_LIMIT_BYTES, WORKSPACES, &[];
    /// Output token limit for requests that name none.
    OutputLimit = "output_limit", Tokens, TOKENS_LIMIT, WORKSPACES, &[];
    /// Whether a request that the rest of the budget covers only in part is refused or shortened.
    BudgetEnd = "budget_end", Text, TEXT_LIMIT_BYTES, WORKSPACES, &["refuse", "shorten"];
    /// Smallest output token limit that a request is shortened to; 64 when unset.
    LeastOutput = "least_output", Tokens, TOKENS_LIMIT, WORKSPACES, &[];
    /// Priority class of a workspace; 0 is served first, 3 when unset.
    Priority = "priority", Class, 7, WORKSPACES, &[];
    /// Weight of a workspace in the division of capacity when it is short; 1 when unset.
    Share = "share", Weight, 10_000, WORKSPACES, &[];
    /// Limit on the retries of a workspace, as a share of its requests; 10 percent when unset.
    RetryShare = "retry_share", Percent, 100, WORKSPACES, &[];
    /// Models and services that a workspace may use; all when unset.
    Allowed = "allowed", Names, LIST_LIMIT, WORKSPACES, &[];
    /// Price of a call of a plain service.
    Price = "price", Tokens, TOKENS_LIMIT, SERVICES, &[];
    /// Whether calls of a plain service may be repeated.
    Idempotent = "idempotent", Flag, 1, SERVICES, &[];
    /// Base URL of an upstream.
    Url = "url", Text, TEXT_LIMIT_BYTES, UPSTREAM, &[];
    /// Region of an upstream.
    Region = "region", Text, TEXT_LIMIT_BYTES, UPSTREAMS, &[];
    /// Availability zone of an upstream.
    Zone = "availability_zone", Text, TEXT_LIMIT_BYTES, UPSTREAMS, &[];
    /// Labels of an upstream, such as the lot that it was bought with.
    Labels = "labels", Labels, 32, UPSTREAMS, &[];
    /// Models or services that an upstream serves; the model or service of the enclosing node when
    /// unset.
    Serves = "serves", Names, LIST_LIMIT, UPSTREAMS, &[];
    /// Version served, by model.
    Versions = "versions", Labels, 64, UPSTREAMS, &[];
    /// Whether an upstream takes new work.
    State = "state", Text, TEXT_LIMIT_BYTES, UPSTREAMS, &["in_service", "withdrawn"];
    /// Models or services for which an upstream takes no new work.
    Withdrawn = "withdrawn", Names, LIST_LIMIT, UPSTREAMS, &[];
    /// What happens to running work of a withdrawn upstream.
    Running = "running_work", Text, TEXT_LIMIT_BYTES, UPSTREAMS, &["finish", "move"];
    /// Whether an upstream refuses commands with an old fencing number.
    Fencing = "fencing", Flag, 1, UPSTREAMS, &[];
    /// Whether an upstream verifies the sender of a command.
    Verifies = "verifies_sender", Flag, 1, UPSTREAMS, &[];
    /// Whether engines are ordered to load a model.
    Placement = "placement", Flag, 1, MODELS, &[];
    /// Version of a model that engines are ordered to load.
    ModelVersion = "model_version", Count, VERSION_LIMIT, MODEL, &[];
    /// Tokens per second for which replicas of a model are kept, also when fewer are used.
    Demand = "demand", Tokens, TOKENS_LIMIT, MODEL, &[];
    /// Tokens per second that one replica of a model generates at full load.
    ReplicaRate = "replica_rate", Tokens, TOKENS_LIMIT, MODELS, &[];
    /// Greatest number of concurrent loads from the weight store.
    ConcurrentLoads = "concurrent_loads", Count, 64, ORGANISATION, &[];
    /// Shortest time between two loads from the weight store.
    LoadInterval = "load_interval", Seconds, DAY_SECONDS, ORGANISATION, &[];
    /// Hosts per region that hold a grant of a budget.
    Holders = "holders_per_region", Count, 16, ORGANISATION, &[];
    /// Time for which a holder's allocated tokens cover its demand without the store.
    Endurance = "endurance", Seconds, DAY_SECONDS, ORGANISATION, &[];
    /// Age of the last contact with store or peers after which a host refuses new work.
    StaleLimit = "stale_limit", Seconds, DAY_SECONDS, ORGANISATION, &[];
    /// Longest time that a stopping host waits for its streams.
    DrainLimit = "drain_limit", Seconds, DAY_SECONDS, ORGANISATION, &[];
    /// How long audit entries and the changes of each version are kept; 400 days when unset.
    HistoryRetention = "history_retention", Seconds, HISTORY_SECONDS, ORGANISATION, &[];
}
