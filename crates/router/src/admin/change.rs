//! Changes of the settings tree as writes.

use {
    super::{
        Admin,
        answer::{Refused, Result},
        diff::{self, Made},
        write::{self, Effect, Step, Ticket, Write, json},
    },
    marigoldroute_core::{
        config::{
            self, Change, Conflict, Head, LOG_PREFIX, Log, Proposal, Rebase, Refusal, Submission,
            log_key,
        },
        fault::Kind,
        id::Version,
        table::Row,
    },
    poem_openapi::Object,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Log rows read per call.
const SCAN_ROWS: usize = 64;

/// An accepted change.
#[derive(Clone, Debug, Object, Serialize, Deserialize)]
pub(super) struct Accepted {
    /// Version that the change made, or the version in effect when nothing had to be changed.
    pub(super) version: Version,
    /// Version that the change was made on.
    pub(super) base: Version,
    /// Whether a version was made.
    pub(super) changed: bool,
}

/// A change that is to be proposed.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) change: Change,
    /// Version that the operator saw; the newest one when the write began when absent.
    pub(super) base: Option<Version>,
    pub(super) rebase: Rebase,
}

impl Wanted {
    /// Wants a change that is planned on the newest version, unless others have touched the same
    /// nodes since `base`.
    pub(super) fn planned(change: Change, base: Option<Version>) -> Self {
        Self {
            change,
            base,
            rebase: Rebase::Disjoint,
        }
    }
}

/// Plans a change on the version in effect.
pub(super) trait Plan: Fn(&Log) -> Result<Wanted> + Send + Sync + 'static {}

impl<F: Fn(&Log) -> Result<Wanted> + Send + Sync + 'static> Plan for F {}

/// A write that changes the settings tree.
struct Edit<F> {
    plan: Arc<F>,
    /// Newest version when the write began. A change that names no version is
    /// based on it, so that it is refused when others have since touched the same nodes.
    seen: Version,
}

impl<F: Plan> Write for Edit<F> {
    async fn step(&self, admin: &Admin, ticket: &Ticket) -> Result<Step> {
        let keys = [
            config::HEAD_KEY.to_owned(),
            config::request_key(&ticket.request),
        ];
        let mut rows = Vec::new();
        for key in &keys {
            rows.extend(admin.platform.get(key).await?);
        }
        let (plan, ticket, seen) = (self.plan.clone(), ticket.clone(), self.seen);
        let decide = move |log: &Log| decide(&*plan, seen, log, &ticket, &rows);
        match admin.read(decide).await?? {
            Decision::Step(step) => Ok(*step),
            Decision::CatchUp => {
                admin.catch_up().await?;
                Ok(Step::Again)
            }
            Decision::Conflict(base, conflict) => Err(refuse(admin, base, &conflict).await),
        }
    }
}

enum Decision {
    Step(Box<Step>),
    CatchUp,
    Conflict(Version, Conflict),
}

fn decide(
    plan: &impl Plan,
    seen: Version,
    log: &Log,
    ticket: &Ticket,
    rows: &[Row],
) -> Result<Decision> {
    let current = log.version();
    // A plan on an old version could be refused for what a newer one has set right.
    if newest(rows) > current {
        return Ok(Decision::CatchUp);
    }
    let wanted = plan(log)?;
    let base = wanted.base.unwrap_or(seen);
    if wanted.rebase == Rebase::Disjoint && wanted.change.edits.is_empty() {
        return Ok(Decision::Step(Box::new(unchanged(current))));
    }
    let mut proposal = Proposal::new(Submission {
        change: wanted.change,
        author: ticket.operator.as_str().into(),
        request: ticket.request.as_str().into(),
        time_ms: ticket.time_ms,
        base,
        rebase: wanted.rebase,
    });
    Ok(match proposal.decide(rows, log) {
        Ok(config::Step::Commit(mut transaction)) => {
            let later = proposal.submission().change.validate(log.tree())?;
            let made = Made {
                version: current + 1,
                base,
                operator: ticket.operator.clone(),
                request: ticket.request.clone(),
                time_ms: ticket.time_ms,
                differences: log.tree().diff(&later),
            };
            transaction.put(diff::key(made.version), json(&made));
            Decision::Step(Box::new(Step::Finish(transaction, effect(current))))
        }
        Ok(config::Step::CatchUp(_)) => Decision::CatchUp,
        // The receipt of the write appears with the version; it is read at the next step.
        Ok(config::Step::Accepted(_) | config::Step::Reread) => {
            Decision::Step(Box::new(Step::Again))
        }
        Err(Refusal::Rejected(rejection)) => return Err(rejection.into()),
        Err(Refusal::Conflict(conflict)) => Decision::Conflict(base, conflict),
        Err(refusal @ Refusal::Reused(_)) => {
            return Err(Refused::new(Kind::Conflict, refusal.to_string()));
        }
    })
}

/// Returns the newest version by the rows as read.
fn newest(rows: &[Row]) -> Version {
    let head = rows.iter().find(|row| *row.key == *config::HEAD_KEY);
    let head = head.and_then(|row| serde_json::from_str::<Head>(&row.value).ok());
    head.unwrap_or_default().version
}

fn effect(current: Version) -> Effect {
    let accepted = Accepted {
        version: current + 1,
        base: current,
        changed: true,
    };
    Effect {
        from: current.to_string(),
        to: accepted.version.to_string(),
        answer: serde_json::to_value(accepted).unwrap_or_default(),
    }
}

fn unchanged(current: Version) -> Step {
    let accepted = Accepted {
        version: current,
        base: current,
        changed: false,
    };
    let effect = Effect {
        from: current.to_string(),
        to: current.to_string(),
        answer: serde_json::to_value(accepted).unwrap_or_default(),
    };
    Step::Finish(Default::default(), effect)
}

/// Refuses a change that lost a race, with what the operator did not see.
async fn refuse(admin: &Admin, base: Version, conflict: &Conflict) -> Refused {
    let message = format!(
        "the change was made on version {base}, the newest version is {}",
        conflict.current
    );
    let unseen = admin.unseen(base, conflict.current).await.ok();
    Refused {
        unseen: unseen.map(Box::new),
        ..Refused::new(Kind::Conflict, message)
    }
}

impl Admin {
    /// Reads the configuration log of this host; `read` must be short.
    pub(super) async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Log) -> T + Send + 'static,
    ) -> Result<T> {
        let read = self.control.with_log(move |log, _| read(log)).await;
        read.ok_or_else(|| Refused::new(Kind::Draining, "the host is stopping"))
    }

    /// Reads the versions that follow the one in effect and applies them.
    async fn catch_up(&self) -> Result<()> {
        loop {
            let before = self.read(Log::version).await?;
            let after = log_key(before);
            let rows = self.platform.scan(LOG_PREFIX, &after, SCAN_ROWS).await?;
            let is_last = rows.len() < SCAN_ROWS;
            let apply = move |log: &mut Log, now| {
                log.apply_rows(now, &rows);
                log.version()
            };
            let version = self.control.with_log(apply).await;
            if is_last || version.is_none_or(|version| version == before) {
                return Ok(());
            }
        }
    }

    /// Makes a change of the settings tree.
    pub(super) async fn change(&self, ticket: &Ticket, plan: impl Plan) -> Result<Accepted> {
        // This host may be behind what the operator saw through another one.
        self.catch_up().await?;
        let edit = Edit {
            plan: Arc::new(plan),
            seen: self.read(Log::version).await?,
        };
        let accepted: Accepted = write::execute(self, ticket, &edit).await?;
        // The operator's next call to this host is to see the change. The change itself stands.
        if let Err(refused) = self.catch_up().await {
            log::warn!(version = accepted.version; "accepted change not read back: {refused}");
        }
        Ok(accepted)
    }
}
