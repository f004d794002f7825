//! What upstreams know of a request whose entry does not answer.

use {
    crate::upstream::{Upstreams, Used},
    marigoldroute_core::{
        budget::{Record, Usage},
        config::Catalog,
        id::{ModelId, RequestId, UpstreamId, WorkspaceId},
    },
    std::sync::Arc,
};

/// What a reservation is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Purpose {
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
}

/// Finds out what became of a request.
///
/// Engines are asked for their usage record. A plain service keeps none, so its flat price is
/// billed: the caller was told that the outcome is unknown.
pub(super) async fn resolve(
    upstreams: Arc<Upstreams>,
    catalog: Arc<Catalog>,
    attempt: RequestId,
    purpose: Purpose,
) -> (RequestId, Record) {
    let usage = |upstream: UpstreamId, tokens| Usage {
        workspace: purpose.workspace.clone(),
        model: purpose.model.clone(),
        upstream,
        tokens,
    };
    if let Some(service) = catalog.services.get(&purpose.model) {
        return (attempt, Record::Finished(usage("".into(), service.price)));
    }
    let mut record = Record::Absent;
    let is_candidate = |serves: &[ModelId]| serves.contains(&purpose.model);
    let candidates = catalog
        .upstreams
        .iter()
        .filter(|(_, upstream)| is_candidate(&upstream.serves));
    for (id, upstream) in candidates {
        match upstreams.usage(&upstream.url, &attempt).await {
            Used::Finished(tokens) => {
                return (attempt, Record::Finished(usage(id.clone(), tokens)));
            }
            Used::Running | Used::Unanswered => record = Record::Running,
            Used::Absent => {}
        }
    }
    (attempt, record)
}
