//! What a request needs before it may be sent: a place, its claim and its tokens.

use {
    super::{
        Context,
        claimed::{Ruling, Subject},
        job::{Call, Job, Kind, Size},
        request,
    },
    crate::escrow::Reservation,
    marigoldroute_core::{
        claim::Capability,
        config::Access,
        fault::Fault,
        id::{ModelId, RequestId, Tokens},
    },
    poem::Response,
    std::sync::Arc,
};

/// An authenticated request.
pub(super) struct Plan {
    pub(super) id: RequestId,
    /// Idempotency key.
    pub(super) key: Option<String>,
    pub(super) access: Access,
    /// Model or service.
    pub(super) model: ModelId,
    pub(super) kind: Kind,
    pub(super) size: Size,
    /// Hashes of the prompt's prefixes.
    pub(super) prefixes: Vec<u64>,
    /// Upper bound on the tokens of the request.
    pub(super) amount: Tokens,
    /// Fewest tokens with which the request is of use, near the end of its budget.
    pub(super) least: Tokens,
    pub(super) call: Call,
}

/// A request that was admitted.
pub(super) enum Admitted {
    /// To be sent.
    Job(Box<Job>, Call),
    /// Its recorded result.
    Replay(Response),
}

impl Plan {
    /// Waits for a place, claims the key of a non-idempotent request and reserves its tokens.
    ///
    /// # Errors
    /// Why the request is not run.
    pub(super) async fn admit(self, context: Arc<Context>) -> Result<Admitted, Fault> {
        let place = context.enter(&self.access, self.amount).await?;
        let attempt = request::attempt(&self.id);
        let claim = match context.claim(self.subject(&attempt)).await? {
            Ruling::Run(claim) => claim,
            Ruling::Replay(response) => return Ok(Admitted::Replay(response)),
        };
        let reservation = Reservation {
            attempt: attempt.clone(),
            budget: self.access.budget,
            amount: self.amount,
            least: self.amount,
            workspace: self.access.workspace.clone(),
            model: self.model.clone(),
        };
        let charge = match context.charger.reserve(&reservation, self.least).await {
            Ok(charge) => charge,
            Err(fault) => {
                claim.give_up().await;
                return Err(fault);
            }
        };
        let job = Job {
            context,
            id: attempt,
            workspace: self.access.workspace,
            model: self.model,
            charge,
            claim,
            kind: self.kind,
            size: self.size,
            prefixes: self.prefixes,
            priority: self.access.priority,
            place,
        };
        Ok(Admitted::Job(Box::new(job), self.call))
    }

    /// Returns what is to be claimed; idempotent requests need no claim.
    fn subject<'a>(&'a self, attempt: &'a RequestId) -> Option<Subject<'a>> {
        let key = self.key.as_deref().filter(|_| !self.kind.is_idempotent())?;
        Some(Subject {
            workspace: &self.access.workspace,
            key,
            attempt,
            method: self.call.method.as_str(),
            path: &self.call.path,
            body: &self.call.body,
            capability: match self.kind {
                Kind::Model { .. } => Capability::Query,
                Kind::Service { .. } => Capability::None,
            },
        })
    }
}
