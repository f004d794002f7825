//! Withdrawal and restoration of batches. One upstream is a batch of its own.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        change::{Accepted, Wanted},
        key::Operator,
        ring::Role,
        write::Ticket,
    },
    marigoldroute_core::{
        config::{Log, RunningPolicy},
        fault::Kind,
        id::Version,
        withdraw::{self, Action},
    },
    poem_openapi::{
        Enum, Object, OpenApi,
        param::{Header, Path},
        payload::Json,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Operations on batches.
pub(super) struct Api(pub(super) Arc<Admin>);

/// What happens to running work of a batch that is withdrawn.
#[derive(Clone, Copy, Debug, Default, Enum, PartialEq, Eq, Serialize, Deserialize)]
#[oai(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
enum RunningWork {
    /// It finishes where it runs.
    #[default]
    Finish,
    /// Idempotent work is cancelled and moved; other work finishes.
    Move,
}

/// Names a batch. An upstream must meet every criterion that is given; of a criterion with several
/// members it must meet one.
#[derive(Clone, Debug, Default, Object, Serialize)]
#[oai(default)]
struct Selector {
    /// Upstreams.
    upstreams: Vec<String>,
    /// Models or services.
    models: Vec<String>,
    /// Versions of models.
    versions: Vec<String>,
    /// Labels, all of which the upstream must have.
    labels: BTreeMap<String, String>,
}

/// A batch to withdraw.
#[derive(Clone, Debug, Object, Serialize)]
struct Withdrawal {
    /// Version that the operator saw, as in a preview; the newest one when absent. The write is refused when others have since touched the same upstreams.
    base: Option<Version>,
    /// Batch.
    selector: Selector,
    /// What happens to running work.
    #[oai(default)]
    running: RunningWork,
    /// Accepts that a model or service is left without an upstream in service.
    #[oai(default)]
    force: bool,
}

/// A batch to restore.
#[derive(Clone, Debug, Object, Serialize)]
struct Restoration {
    /// Version that the operator saw, as in a preview; the newest one when absent. The write is refused when others have since touched the same upstreams.
    base: Option<Version>,
    /// Batch.
    selector: Selector,
}

/// How one upstream is withdrawn.
#[derive(Clone, Debug, Default, Object, Serialize)]
#[oai(default)]
struct Manner {
    /// What happens to running work.
    running: RunningWork,
    /// Accepts that a model or service is left without an upstream in service.
    force: bool,
}

/// An upstream of a batch.
#[derive(Clone, Debug, Object)]
struct Hit {
    /// Upstream.
    upstream: String,
    /// Path of its node.
    path: String,
    /// What is selected on it; the whole upstream when absent.
    #[oai(skip_serializing_if_is_none)]
    serves: Option<Vec<String>>,
}

/// Upstreams in service for a model or service in an availability zone.
#[derive(Clone, Debug, Object)]
struct Capacity {
    /// Model or service.
    serves: String,
    /// Availability zone.
    zone: String,
    /// Number before.
    before: u32,
    /// Number after.
    after: u32,
}

/// What a withdrawal or restoration would do.
#[derive(Clone, Debug, Object)]
struct Plan {
    /// Version that the plan is made on.
    version: Version,
    /// What is hit.
    hits: Vec<Hit>,
    /// Capacity of each model and service that is hit, in each availability zone.
    capacity: Vec<Capacity>,
    /// Models and services without any upstream in service afterwards.
    emptied: Vec<String>,
    /// Number of settings that would be changed.
    edits: u32,
}

impl Selector {
    fn one(upstream: &str) -> Self {
        Self {
            upstreams: vec![upstream.to_owned()],
            ..Self::default()
        }
    }

    fn read(&self) -> Result<withdraw::Selector> {
        let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
        let labels = self.labels.iter();
        let selector = withdraw::Selector {
            upstreams: names(&self.upstreams),
            models: names(&self.models),
            versions: names(&self.versions),
            labels: labels
                .map(|(name, value)| (name.as_str().into(), value.as_str().into()))
                .collect(),
        };
        if selector.is_empty() {
            let message = "at least one criterion is needed";
            return Err(Refused::mistakes(vec![Mistake::new("selector", message)]));
        }
        Ok(selector)
    }
}

impl From<RunningWork> for Action {
    fn from(running: RunningWork) -> Self {
        match running {
            RunningWork::Finish => Self::Withdraw(RunningPolicy::Finish),
            RunningWork::Move => Self::Withdraw(RunningPolicy::Move),
        }
    }
}

impl From<withdraw::Plan> for Plan {
    fn from(plan: withdraw::Plan) -> Self {
        let hits = plan.hits.into_iter().map(|hit| Hit {
            upstream: hit.upstream.to_string(),
            path: hit.path.to_string(),
            serves: hit
                .serves
                .map(|names| names.iter().map(ToString::to_string).collect()),
        });
        let capacity = plan.capacity.into_iter().map(|capacity| Capacity {
            serves: capacity.serves.to_string(),
            zone: capacity.zone.to_string(),
            before: capacity.before as u32,
            after: capacity.after as u32,
        });
        Self {
            version: plan.base,
            hits: hits.collect(),
            capacity: capacity.collect(),
            emptied: plan.emptied.iter().map(ToString::to_string).collect(),
            edits: plan.change.edits.len() as u32,
        }
    }
}

/// Plans an action on the version in effect.
///
/// # Errors
/// When the selector names nothing.
fn plan(log: &Log, selector: &withdraw::Selector, action: Action) -> Result<withdraw::Plan> {
    let plan = withdraw::Plan::new(log.version(), log.tree(), selector, action);
    if plan.hits.is_empty() {
        let message = "no upstream meets the criteria";
        return Err(Refused::new(Kind::NotFound, message));
    }
    Ok(plan)
}

/// On which terms a batch is changed.
#[derive(Clone, Copy, Debug, Default)]
struct Terms {
    base: Option<Version>,
    force: bool,
}

impl Api {
    async fn turn(
        &self,
        ticket: &Ticket,
        selector: &Selector,
        action: Action,
        terms: Terms,
    ) -> Result<Json<Accepted>> {
        let selector = selector.read()?;
        let wanted = move |log: &Log| {
            let mut change = plan(log, &selector, action)?.change;
            change.force = terms.force;
            Ok(Wanted::planned(change, terms.base))
        };
        self.0.change(ticket, wanted).await.map(Json)
    }

    async fn preview(&self, selector: &Selector, action: Action) -> Result<Json<Plan>> {
        let selector = selector.read()?;
        let plan = move |log: &Log| plan(log, &selector, action);
        let plan = self.0.read(plan).await??;
        Ok(Json(plan.into()))
    }
}

#[OpenApi]
impl Api {
    /// Shows what a withdrawal would do, without effect.
    #[oai(path = "/withdrawals/preview", method = "post")]
    async fn preview_withdrawal(
        &self,
        operator: Operator,
        body: Json<Withdrawal>,
    ) -> Result<Json<Plan>> {
        operator.0.require(Role::Read)?;
        self.preview(&body.selector, body.running.into()).await
    }

    /// Withdraws a batch: it gets no new work.
    #[oai(path = "/withdrawals", method = "post")]
    async fn withdraw(
        &self,
        operator: Operator,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<Withdrawal>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let target = serde_json::to_string(&body.selector).unwrap_or_default();
        let ticket = Ticket::new(&operator, &request, "withdraw", target, &body.0)?;
        let action = body.running.into();
        let terms = Terms {
            base: body.base,
            force: body.force,
        };
        self.turn(&ticket, &body.selector, action, terms).await
    }

    /// Shows what a restoration would do, without effect.
    #[oai(path = "/restorations/preview", method = "post")]
    async fn preview_restoration(
        &self,
        operator: Operator,
        body: Json<Restoration>,
    ) -> Result<Json<Plan>> {
        operator.0.require(Role::Read)?;
        self.preview(&body.selector, Action::Restore).await
    }

    /// Restores a batch: it gets new work again.
    #[oai(path = "/restorations", method = "post")]
    async fn restore(
        &self,
        operator: Operator,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<Restoration>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let target = serde_json::to_string(&body.selector).unwrap_or_default();
        let ticket = Ticket::new(&operator, &request, "restore", target, &body.0)?;
        let action = Action::Restore;
        let terms = Terms {
            base: body.base,
            force: false,
        };
        self.turn(&ticket, &body.selector, action, terms).await
    }

    /// Takes an upstream out of service.
    #[oai(path = "/upstreams/:upstream/withdraw", method = "post")]
    async fn take_out(
        &self,
        operator: Operator,
        /// Name of the upstream.
        upstream: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<Manner>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let operation = "upstreams withdraw";
        let ticket = Ticket::new(&operator, &request, operation, upstream.as_str(), &body.0)?;
        let (selector, action) = (Selector::one(&upstream), body.running.into());
        let terms = Terms {
            base: None,
            force: body.force,
        };
        self.turn(&ticket, &selector, action, terms).await
    }

    /// Puts an upstream back into service.
    #[oai(path = "/upstreams/:upstream/restore", method = "post")]
    async fn put_back(
        &self,
        operator: Operator,
        /// Name of the upstream.
        upstream: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let operation = "upstreams restore";
        let ticket = Ticket::new(&operator, &request, operation, upstream.as_str(), &())?;
        let selector = Selector::one(&upstream);
        let terms = Terms::default();
        self.turn(&ticket, &selector, Action::Restore, terms).await
    }
}
