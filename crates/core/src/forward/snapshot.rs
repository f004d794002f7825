//! The content of one configuration version.

use {
    crate::id::{ModelId, ServiceId, Tokens, Version, WorkspaceId},
    std::{sync::Arc, time::Duration},
};

/// How often a request may run, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that another upstream can continue after a given event.
    Resumable,
}

impl Kind {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that receives requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the requests relative to the other targets of the route.
    pub weight: u32,
}

/// Maps requests by host name and path to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, used in logs.
    pub name: Arc<str>,
    /// Host name of the requests, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of the path, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub kind: Kind,
    /// Services that the requests are distributed over; never empty.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request is sent to; at least 1.
    pub attempts: u32,
    /// Time limit for the final answer.
    pub timeout: Duration,
    /// Objective for the time until an answer or the first event of a stream.
    pub objective: Duration,
    /// Objective for the time between two events of a stream.
    pub event_interval: Duration,
    /// Priority of its requests; 0 is served first.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Selects a target by weight; `random` is uniform in [0, 1).
    pub fn pick(&self, random: f64) -> Option<&Target> {
        let all: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut rest = random * all as f64;
        let mut targets = self.targets.iter().filter(|target| target.weight > 0);
        let found = targets.find(|target| {
            rest -= f64::from(target.weight);
            rest < 0.0
        });
        found.or(self.targets.first())
    }
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Number of tokens that the key-value cache holds.
    pub capacity: Tokens,
    /// Maximum number of output tokens in one event of a stream.
    pub event_tokens: Tokens,
    /// Models that they serve.
    pub models: Vec<ModelId>,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, by which upstreams and routes refer to it.
    pub name: ServiceId,
    /// Maximum number of connections to one upstream from all hosts together.
    pub connection_limit: u32,
    /// Properties of its engines; absent for plain services.
    pub engine: Option<Engine>,
    /// Limit on requests to its cold upstreams, if any.
    pub cold_start: Option<ColdStart>,
}

/// What an upstream takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream is cold after it has started.
    pub time: Duration,
    /// Requests per second that a cold upstream takes from all hosts together; there is no limit if
    /// it is not greater than 0.
    pub rate: f64,
}

/// A customer's workspace with its keys and its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name, which is also the id of its budget.
    pub name: WorkspaceId,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// Total of the tokens bought; absent when spending is not limited.
    pub purchased: Option<Tokens>,
}

impl Workspace {
    /// Returns whether a request of so many tokens exceeds the whole budget, so that it cannot be
    /// served before more tokens are bought.
    pub fn is_exceeded_by(&self, tokens: Tokens) -> bool {
        self.purchased.is_some_and(|purchased| tokens > purchased)
    }
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Time in which a request head has to arrive, from its first byte.
    pub header_timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(10),
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Number of the version; increases with each change.
    pub version: Version,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services, in no particular order.
    pub services: Vec<Service>,
    /// Workspaces; empty when no key is required anywhere.
    pub workspaces: Vec<Workspace>,
    /// Limits on requests.
    pub limits: Limits,
}
