//! Counts of requests in flight by upstream and target.

use {
    marigoldroute_core::{
        config::Catalog,
        id::{ModelId, UpstreamId},
    },
    std::collections::HashMap,
};

/// An upstream, and the model or service that a request at it names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Work {
    pub(crate) upstream: UpstreamId,
    pub(crate) target: ModelId,
}

/// Number of requests by upstream and target. Entries with zero requests are removed, so the size
/// is bounded by the requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Running(HashMap<Work, u64>);

impl Running {
    pub(crate) fn begin(&mut self, work: &Work) {
        *self.0.entry(work.clone()).or_default() += 1;
    }

    pub(crate) fn end(&mut self, work: &Work) {
        if let Some(count) = self.0.get_mut(work) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(work);
            }
        }
    }

    /// Returns the number of requests at upstreams that are withdrawn for their target.
    pub(crate) fn count_withdrawn(&self, catalog: &Catalog) -> u64 {
        let takes = |work: &Work| {
            let upstream = catalog.upstreams.get(&work.upstream);
            upstream.is_some_and(|upstream| {
                upstream.is_in_service() && upstream.serves.contains(&work.target)
            })
        };
        let withdrawn = self.0.iter().filter(|(work, _)| !takes(work));
        withdrawn.map(|(_, count)| count).sum()
    }
}
