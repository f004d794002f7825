//! Membership and configuration of this host.
//!
//! One task owns core's [`View`](marigoldroute_core::fleet::View) and
//! [`Log`](marigoldroute_core::config::Log), exchanges their messages with other hosts and reads
//! the store for them. It publishes the result to the request path as a [`Snapshot`].

mod listing;
mod probe;
mod proposal;
mod reader;
mod snapshot;
mod store;
mod task;
mod upkeep;

use {
    derive_more::{Display, Error, From},
    marigoldroute_core::{
        config::{Log, NotReady, Proposal, Refusal, Tree},
        fleet::{Member, Observation, Progress},
        id::{HostId, UpstreamId, Version},
        wire::Body,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot, watch},
};

pub(crate) use {
    listing::{HOST_PREFIX, Process, Registry, remove},
    probe::CacheEvent,
    snapshot::{Snapshot, process},
    task::{Dependencies, create},
};

/// Capacity of the command queue.
const QUEUE_COMMANDS: usize = 1_024;

/// Error of a proposal.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub(crate) enum ProposeError {
    /// The proposal was refused.
    #[display("{_0}")]
    Refused(Refusal),
    /// The store did not answer, so the change may have been accepted. A retry with the same
    /// request id returns the outcome.
    #[display("the store did not answer")]
    #[from(skip)]
    Unanswered,
}

enum Command {
    Message {
        from: HostId,
        body: Body,
        reply: oneshot::Sender<Option<Body>>,
    },
    Observe {
        upstream: UpstreamId,
        observation: Observation,
    },
    Propose {
        proposal: Box<Proposal>,
        reply: oneshot::Sender<Result<Version, ProposeError>>,
    },
    Progress {
        version: Version,
        reply: oneshot::Sender<Progress>,
    },
    Members(oneshot::Sender<Vec<Member>>),
    Tree(oneshot::Sender<(Version, Arc<Tree>)>),
    WithLog(LogAccess),
}

/// A function that runs in the task that owns the log; it gets the time.
type LogAccess = Box<dyn FnOnce(&mut Log, Duration) + Send>;

/// Handle to the task; clones send to the same one.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    commands: mpsc::Sender<Command>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
}

impl Control {
    /// Returns the current snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns a receiver of new snapshots.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshot.clone()
    }

    /// Checks whether this host may take new work.
    ///
    /// # Errors
    /// The reason if it may not.
    pub(crate) fn check_ready(&self) -> Result<(), NotReady> {
        match self.snapshot.borrow().not_ready {
            Some(not_ready) => Err(not_ready),
            None => Ok(()),
        }
    }

    /// Records what a request showed about an upstream's health. Observations are dropped while the
    /// command queue is full; later ones make up for them.
    pub(crate) fn observe(&self, upstream: &UpstreamId, observation: Observation) {
        let upstream = upstream.clone();
        let _ = self.commands.try_send(Command::Observe {
            upstream,
            observation,
        });
    }

    /// Answers another host's message about membership or configuration.
    pub(crate) async fn message(&self, from: HostId, body: Body) -> Option<Body> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Message { from, body, reply };
        self.commands.send(command).await.ok()?;
        answer.await.ok()?
    }

    /// Proposes a change of the configuration; returns its version.
    pub(crate) async fn propose(&self, proposal: Proposal) -> Result<Version, ProposeError> {
        let proposal = Box::new(proposal);
        let decided = self.request(|reply| Command::Propose { proposal, reply });
        decided.await.unwrap_or(Err(ProposeError::Unanswered))
    }

    /// Returns on which hosts a version is in effect; empty when the task has ended.
    pub(crate) async fn progress(&self, version: Version) -> Progress {
        let progress = self.request(|reply| Command::Progress { version, reply });
        progress.await.unwrap_or_default()
    }

    /// Returns the hosts of the fleet, with their state; empty when the task has ended.
    pub(crate) async fn members(&self) -> Vec<Member> {
        self.request(Command::Members).await.unwrap_or_default()
    }

    /// Returns the version in effect and its settings tree.
    pub(crate) async fn tree(&self) -> (Version, Arc<Tree>) {
        self.request(Command::Tree).await.unwrap_or_default()
    }

    /// Runs a function on the log in the task that owns it; the function must not block. Returns
    /// `None` when the task has ended.
    pub(crate) async fn with_log<T: Send + 'static>(
        &self,
        function: impl FnOnce(&mut Log, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let answer = |reply: oneshot::Sender<T>| {
            Command::WithLog(Box::new(move |log, now| {
                // The caller may no longer wait.
                let _ = reply.send(function(log, now));
            }))
        };
        self.request(answer).await
    }

    /// Sends a command and waits for its reply; `None` when the task has ended.
    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}
