//! One configuration version as data.

use {
    crate::id::{ModelId, ServiceId, Tokens, Version, WorkspaceId},
    std::{sync::Arc, time::Duration},
};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that another upstream may continue after a given event.
    Resumable,
}

impl Kind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share of the requests relative to the other targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host name that callers ask for, in lower case and without a port.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Never empty.
    pub targets: Vec<Target>,
    /// Most upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time in which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between events of a stream that is on time.
    pub event_interval: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Whether no key is required.
    pub is_public: bool,
}

impl Route {
    /// Returns a target by weight; `random` is uniform in [0, 1).
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

/// What is known of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Most requests in a batch.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub capacity: Tokens,
    /// Output tokens in one event of a stream, at most.
    pub event_tokens: Tokens,
    /// Models.
    pub models: Vec<ModelId>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one upstream accepts from all hosts together.
    pub connection_limit: u32,
    /// Present for services of model engines.
    pub engine: Option<Engine>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name, which is also the id of its budget.
    pub name: WorkspaceId,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Takes precedence over the priority of the route.
    pub priority: Option<u8>,
    /// Tokens bought in all; absent when spend is not limited.
    pub purchased: Option<Tokens>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Grows with each change.
    pub version: Version,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces; empty when no key is required anywhere.
    pub workspaces: Vec<Workspace>,
    /// Bounds on requests.
    pub limits: Limits,
}
