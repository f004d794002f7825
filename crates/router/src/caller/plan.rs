//! Admission of a request: a permit of the gate, its claim and its reservation.

use {
    super::{
        Context,
        active_request::{ActiveRequest, Kind, TokenCounts, UpstreamRequest},
        claimed::{ClaimOutcome, ClaimSubject},
        request,
    },
    crate::escrow::ReservationSpec,
    marigoldroute_core::{
        claim::Capability,
        config::Access,
        fault::Fault,
        id::{ModelId, RequestId, Tokens},
    },
    poem::Response,
    std::sync::Arc,
};

/// An authenticated request that was not admitted yet.
pub(super) struct Plan {
    pub(super) id: RequestId,
    /// Idempotency key.
    pub(super) key: Option<String>,
    pub(super) access: Access,
    /// Model or service.
    pub(super) model: ModelId,
    pub(super) kind: Kind,
    pub(super) size: TokenCounts,
    /// Hashes of the prompt's prefixes; empty for a plain service.
    pub(super) prefixes: Vec<u64>,
    /// Upper bound on the tokens of the request.
    pub(super) amount: Tokens,
    /// Fewest tokens with which the request still runs near the end of its budget.
    pub(super) least: Tokens,
    pub(super) call: UpstreamRequest,
}

/// Result of the admission.
pub(super) enum Admitted {
    /// The request is to be sent.
    Run(Box<ActiveRequest>, UpstreamRequest),
    /// The request ran before; this is its recorded result.
    Replay(Response),
}

impl Plan {
    /// Waits for a permit, claims the key of a non-idempotent request and reserves its tokens.
    ///
    /// # Errors
    /// The reason why the request is not run.
    pub(super) async fn admit(self, context: Arc<Context>) -> Result<Admitted, Fault> {
        let permit = context.acquire_permit(&self.access, self.amount).await?;
        let attempt = request::attempt(&self.id);
        let claim = match context.claim(self.subject(&attempt)).await? {
            ClaimOutcome::Run(claim) => claim,
            ClaimOutcome::Replay(response) => return Ok(Admitted::Replay(response)),
        };
        let spec = ReservationSpec {
            attempt: attempt.clone(),
            budget: self.access.budget,
            amount: self.amount,
            least: self.amount,
            workspace: self.access.workspace.clone(),
            model: self.model.clone(),
        };
        let reservation = match context.reserver.reserve(&spec, self.least).await {
            Ok(reservation) => reservation,
            Err(fault) => {
                claim.abandon().await;
                return Err(fault);
            }
        };
        let request = ActiveRequest {
            context,
            id: attempt,
            workspace: self.access.workspace,
            model: self.model,
            reservation,
            claim,
            kind: self.kind,
            size: self.size,
            prefixes: self.prefixes,
            priority: self.access.priority,
            permit,
        };
        Ok(Admitted::Run(Box::new(request), self.call))
    }

    /// Returns the subject of the claim, or `None` for a request without a key and for an
    /// idempotent one.
    fn subject<'a>(&'a self, attempt: &'a RequestId) -> Option<ClaimSubject<'a>> {
        let key = self.key.as_deref().filter(|_| !self.kind.is_idempotent())?;
        Some(ClaimSubject {
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
