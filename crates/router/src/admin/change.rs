//! Changes of the settings tree as writes.

use {
    super::{
        Admin,
        answer::{Refused, Result},
        diff::{self, Made},
        write::{Effect, Step, Ticket, Write, json},
    },
    marigoldroute_core::{
        config::{self, Change, Conflict, Log, Proposal, Rebase, Refusal},
        fault::Kind,
        id::Version,
        table::Row,
    },
    poem_openapi::Object,
    serde::{Deserialize, Serialize},
};

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
    /// Version that the operator saw; the newest one when absent, as for a change that is planned
    /// anew after each lost race.
    pub(super) base: Option<Version>,
    pub(super) rebase: Rebase,
}

impl Wanted {
    /// Wants a change on the newest version.
    pub(super) fn planned(change: Change) -> Self {
        Self {
            change,
            base: None,
            rebase: Rebase::Never,
        }
    }
}

/// A write that changes the settings tree; the function plans it on the version in effect.
pub(super) struct Edit<F>(pub(super) F);

impl<F: Fn(&Log) -> Result<Wanted> + Sync> Write for Edit<F> {
    async fn step(&self, admin: &Admin, ticket: &Ticket) -> Result<Step> {
        let keys = [
            config::HEAD_KEY.to_owned(),
            config::request_key(&ticket.request),
        ];
        let mut rows = Vec::new();
        for key in &keys {
            rows.extend(admin.platform.get(key).await?);
        }
        match admin.config.read(|log| self.decide(log, ticket, &rows))? {
            Decision::Step(step) => Ok(*step),
            Decision::CatchUp => {
                admin.config.catch_up(&admin.platform).await?;
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

impl<F: Fn(&Log) -> Result<Wanted> + Sync> Edit<F> {
    fn decide(&self, log: &Log, ticket: &Ticket, rows: &[Row]) -> Result<Decision> {
        let wanted = (self.0)(log)?;
        let current = log.version();
        let base = wanted.base.unwrap_or(current);
        if wanted.base.is_none() && wanted.change.edits.is_empty() {
            return Ok(Decision::Step(Box::new(unchanged(current))));
        }
        let proposal = Proposal {
            change: wanted.change,
            author: ticket.operator.as_str().into(),
            request: ticket.request.as_str().into(),
            time_ms: ticket.time_ms,
            base,
            rebase: wanted.rebase,
        };
        Ok(match proposal.decide(rows, log) {
            Ok(config::Step::Commit(mut transaction)) => {
                let later = proposal.preview(log)?;
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
            // The receipt row appears with the version; it is read at the next step.
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
    /// Makes a change of the settings tree.
    pub(super) async fn change(
        &self,
        ticket: &Ticket,
        plan: impl Fn(&Log) -> Result<Wanted> + Sync,
    ) -> Result<Accepted> {
        let accepted: Accepted = super::write::execute(self, ticket, &Edit(plan)).await?;
        // The operator's next call to this host is to see the change. The change itself stands.
        if let Err(fault) = self.config.catch_up(&self.platform).await {
            log::warn!(version = accepted.version; "accepted change not read back: {fault}");
        }
        Ok(accepted)
    }
}
