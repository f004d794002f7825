//! Models that upstreams hold, as far as the upstreams report it.
//!
//! A few hosts probe each upstream, and the others learn the result by the membership exchange. One
//! mark per upstream is kept. A host whose probe shows another model than the known mark replaces
//! the mark and increments its sequence. All hosts thus converge on the same mark, which agrees
//! with the latest probes.

use {
    super::{
        mark::{Fact, Held},
        queue::Urgency,
        view::{UPSTREAM_LIMIT, View},
    },
    crate::id::{ModelId, UpstreamId},
    std::collections::BTreeMap,
};

impl View {
    /// Removes the health and the held model of upstreams that the configuration no longer
    /// contains.
    pub fn retain_upstreams(&mut self, is_configured: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_configured(id));
        self.held.retain(|id, _| is_configured(id));
    }

    /// Records the model that a probe found on an upstream; empty when the upstream holds none.
    pub fn record_held_model(&mut self, upstream: &UpstreamId, model: &str) {
        let known = self.held.get(upstream);
        if known.is_some_and(|known| known.model == model) {
            return;
        }
        let mark = Held {
            upstream: upstream.to_string(),
            reporter: self.me.host.id.to_string(),
            sequence: known.map_or(0, |known| known.sequence).saturating_add(1),
            model: model.to_owned(),
        };
        if self.merge_held(&mark) {
            self.enqueue(Fact::Held(mark), Urgency::Urgent);
        }
    }

    /// Returns the model that each upstream holds, which is empty for an upstream that holds none.
    /// Upstreams that do not report what they hold are absent.
    pub fn held_models(&self) -> BTreeMap<UpstreamId, ModelId> {
        let held = self.held.iter();
        held.map(|(id, mark)| (id.clone(), mark.model.as_str().into()))
            .collect()
    }

    /// Records a mark unless a newer one is known; returns whether it was recorded.
    pub(super) fn merge_held(&mut self, mark: &Held) -> bool {
        let known = self.held.get(mark.upstream.as_str());
        if known.is_none() && self.held.len() >= UPSTREAM_LIMIT {
            return false;
        }
        let order = |mark: &Held| (mark.sequence, mark.reporter.clone());
        let is_newer = known.is_none_or(|known| order(known) < order(mark));
        if is_newer {
            self.held
                .insert(mark.upstream.as_str().into(), mark.clone());
        }
        is_newer
    }
}
