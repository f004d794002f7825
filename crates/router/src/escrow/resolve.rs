//! What upstreams know of a request whose entry does not answer.

use {
    crate::upstream::{Upstreams, Used},
    marigoldroute_core::{
        budget::{Execution, Usage},
        config::Catalog,
        id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    std::sync::Arc,
};

/// What a reservation is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Purpose {
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    /// Whether a plain service may have received the request.
    pub(super) is_announced: bool,
}

/// Finds out what became of a request.
///
/// Engines are asked for their usage record. A plain service keeps none, so its flat price is
/// billed when the request was announced: the caller was told that the outcome is unknown. Without
/// an announcement the service has not received the request.
pub(super) async fn resolve(
    upstreams: Arc<Upstreams>,
    catalog: Arc<Catalog>,
    attempt: RequestId,
    purpose: Purpose,
) -> (RequestId, Execution) {
    let usage = |upstream: UpstreamId, tokens| Usage {
        workspace: purpose.workspace.clone(),
        model: purpose.model.clone(),
        upstream,
        tokens,
    };
    if let Some(service) = catalog.services.get(&purpose.model) {
        let record = match purpose.is_announced {
            true => Execution::Finished(usage("".into(), service.price)),
            false => Execution::Absent,
        };
        return (attempt, record);
    }
    let is_candidate = |serves: &[ModelId]| serves.contains(&purpose.model);
    let candidates = catalog
        .upstreams
        .iter()
        .filter(|(_, upstream)| is_candidate(&upstream.serves));
    let mut found = Found::default();
    for (id, upstream) in candidates {
        found.add(id, upstreams.usage(&upstream.url, &attempt).await);
    }
    let finished = |(id, tokens)| Execution::Finished(usage(id, tokens));
    let record = match found.state() {
        State::Running => Execution::Running,
        State::Finished => found.most.map_or(Execution::Absent, finished),
    };
    (attempt, record)
}

/// What the engines know of one attempt. A moved attempt has a record at each engine where it ran.
#[derive(Debug, Default)]
struct Found {
    is_running: bool,
    is_unanswered: bool,
    /// The engine that finished with the most tokens.
    most: Option<(UpstreamId, Tokens)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Finished,
}

impl Found {
    /// An engine that does not answer delays the end only while no other has a record.
    fn state(&self) -> State {
        if self.is_running || (self.is_unanswered && self.most.is_none()) {
            State::Running
        } else {
            State::Finished
        }
    }

    fn add(&mut self, upstream: &UpstreamId, used: Used) {
        match used {
            Used::Absent => {}
            Used::Running => self.is_running = true,
            Used::Unanswered => self.is_unanswered = true,
            Used::Finished(tokens) => {
                if self.most.as_ref().is_none_or(|(_, most)| *most < tokens) {
                    self.most = Some((upstream.clone(), tokens));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
