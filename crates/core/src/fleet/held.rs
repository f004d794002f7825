//! Models that upstreams hold, as far as they report them.
//!
//! A few hosts probe an upstream; the others learn from them. One report per upstream is kept. A
//! prober that sees something else than what is known replaces it with the next sequence, so that
//! all hosts end with the same report, and with what the probes show.

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
    /// Forgets upstreams that the configuration no longer names.
    pub fn retain_upstreams(&mut self, is_configured: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_configured(id));
        self.held.retain(|id, _| is_configured(id));
    }

    /// Takes what an upstream reports to hold; an empty name when it holds no model.
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
        if self.take_held(&mark) {
            self.spread(Fact::Held(mark), Urgency::Urgent);
        }
    }

    /// Returns the model that each upstream holds, an empty name for none. Upstreams that do not
    /// report what they hold are absent.
    pub fn held_models(&self) -> BTreeMap<UpstreamId, ModelId> {
        let held = self.held.iter();
        held.map(|(id, mark)| (id.clone(), mark.model.as_str().into()))
            .collect()
    }

    /// Takes a report; returns whether it is news.
    pub(super) fn take_held(&mut self, mark: &Held) -> bool {
        let known = self.held.get(mark.upstream.as_str());
        if known.is_none() && self.held.len() >= UPSTREAM_LIMIT {
            return false;
        }
        let order = |mark: &Held| (mark.sequence, mark.reporter.clone());
        let is_news = known.is_none_or(|known| order(known) < order(mark));
        if is_news {
            self.held
                .insert(mark.upstream.as_str().into(), mark.clone());
        }
        is_news
    }
}
