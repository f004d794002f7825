//! Membership and configuration of this host.
//!
//! One task owns core's [`View`](marigoldroute_core::fleet::View) and
//! [`Log`](marigoldroute_core::config::Log), exchanges their messages with other hosts and reads
//! the store for them. The request path sees the result as a [`Snapshot`].

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
    task::{Parts, create},
};

/// Commands that wait for the task.
const QUEUE_COMMANDS: usize = 1_024;

/// Why a proposal was not accepted.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub(crate) enum ProposeError {
    /// It was decided against.
    #[display("{_0}")]
    Refused(Refusal),
    /// The store did not answer; the change may be accepted. A repetition with the same request
    /// id finds out.
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

/// A function that runs where the log is.
type LogAccess = Box<dyn FnOnce(&mut Log, Duration) + Send>;

/// Access to the task; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    commands: mpsc::Sender<Command>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
}

impl Control {
    /// Returns what the request path needs to know.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns a receiver of each new state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshot.clone()
    }

    /// Returns whether this host may take new work.
    ///
    /// # Errors
    /// Why not.
    pub(crate) fn check_ready(&self) -> Result<(), NotReady> {
        match self.snapshot.borrow().not_ready {
            Some(not_ready) => Err(not_ready),
            None => Ok(()),
        }
    }

    /// Notes what a request showed of an upstream. Observations are dropped while the task has no
    /// room for more; later ones replace them.
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

    /// Proposes a change of the configuration.
    pub(crate) async fn propose(&self, proposal: Proposal) -> Result<Version, ProposeError> {
        let proposal = Box::new(proposal);
        let decided = self.ask(|reply| Command::Propose { proposal, reply });
        decided.await.unwrap_or(Err(ProposeError::Unanswered))
    }

    /// Returns on which hosts a version is in effect.
    pub(crate) async fn progress(&self, version: Version) -> Progress {
        let progress = self.ask(|reply| Command::Progress { version, reply });
        progress.await.unwrap_or_default()
    }

    /// Returns the hosts of the fleet.
    pub(crate) async fn members(&self) -> Vec<Member> {
        self.ask(Command::Members).await.unwrap_or_default()
    }

    /// Returns the version in effect and its settings tree.
    pub(crate) async fn tree(&self) -> (Version, Arc<Tree>) {
        self.ask(Command::Tree).await.unwrap_or_default()
    }

    /// Runs a short function on the log, in the task that owns it; it may give the log input.
    /// `None` when the task has ended.
    pub(crate) async fn with_log<T: Send + 'static>(
        &self,
        function: impl FnOnce(&mut Log, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let answer = |reply: oneshot::Sender<T>| {
            Command::WithLog(Box::new(move |log, now| {
                // The operator may have left.
                let _ = reply.send(function(log, now));
            }))
        };
        self.ask(answer).await
    }

    /// `None` when the task has ended.
    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}
