//! Resolves reservations that their entry has not settled, by a query to the upstreams.

use {
    crate::upstream::{Upstreams, UsageAnswer},
    marigoldroute_core::{
        budget::{Execution, Usage},
        config::Catalog,
        id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    std::sync::Arc,
};

/// What the holder needs to bill a reservation without a settlement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BillingContext {
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    /// Whether a plain service may have received the request.
    pub(super) is_announced: bool,
}

/// Queries the upstreams for the outcome of an attempt.
///
/// Engines are asked for their usage record. A plain service keeps none, so its flat price is
/// billed when the request was announced: the caller was told that the outcome is unknown. Without
/// an announcement the service has not received the request.
pub(super) async fn resolve(
    upstreams: Arc<Upstreams>,
    catalog: Arc<Catalog>,
    attempt: RequestId,
    context: BillingContext,
) -> (RequestId, Execution) {
    let usage = |upstream: UpstreamId, tokens| Usage {
        workspace: context.workspace.clone(),
        model: context.model.clone(),
        upstream,
        tokens,
    };
    if let Some(service) = catalog.services.get(&context.model) {
        let record = match context.is_announced {
            true => Execution::Finished(usage("".into(), service.price)),
            false => Execution::Absent,
        };
        return (attempt, record);
    }
    let is_candidate = |serves: &[ModelId]| serves.contains(&context.model);
    let candidates = catalog
        .upstreams
        .iter()
        .filter(|(_, upstream)| is_candidate(&upstream.serves));
    let mut findings = Findings::default();
    for (id, upstream) in candidates {
        findings.record(id, upstreams.usage(&upstream.url, &attempt).await);
    }
    let finished = |(id, tokens)| Execution::Finished(usage(id, tokens));
    let record = match findings.state() {
        State::Running => Execution::Running,
        State::Finished => findings.largest.map_or(Execution::Absent, finished),
    };
    (attempt, record)
}

/// Usage records of one attempt. An attempt whose stream was moved has one at each engine where it
/// ran.
#[derive(Debug, Default)]
struct Findings {
    is_running: bool,
    has_unanswered: bool,
    /// The engine that finished with the most tokens.
    largest: Option<(UpstreamId, Tokens)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Finished,
}

impl Findings {
    /// Returns whether the attempt may still run. An engine that did not answer counts as running
    /// only while no other engine has a finished record.
    fn state(&self) -> State {
        if self.is_running || (self.has_unanswered && self.largest.is_none()) {
            State::Running
        } else {
            State::Finished
        }
    }

    fn record(&mut self, upstream: &UpstreamId, used: UsageAnswer) {
        match used {
            UsageAnswer::Absent => {}
            UsageAnswer::Running => self.is_running = true,
            UsageAnswer::Unanswered => self.has_unanswered = true,
            UsageAnswer::Finished(tokens) => {
                if self
                    .largest
                    .as_ref()
                    .is_none_or(|(_, largest)| *largest < tokens)
                {
                    self.largest = Some((upstream.clone(), tokens));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
