//! Questions to the schedulers of services.

use {
    crate::{
        dispatch::{Ask, Dispatcher, Scheduled},
        metrics::Metrics,
        peers::{CallOutcome, Patience, Peers},
        profile::Profile,
    },
    marigoldroute_core::{
        forward::Service,
        id::UpstreamId,
        wire::{Body, Chosen},
    },
    std::{sync::Arc, time::Duration},
};

/// How long a host waits for a scheduler. Between availability zones an answer takes a few
/// milliseconds, and objectives are 500 ms and more; beyond this, choosing alone costs callers less.
const PATIENCE: Patience = Patience {
    repeat_interval: Duration::from_millis(25),
    silence_timeout: Duration::from_millis(50),
};

/// A question under way. When it is dropped without an answer, also because its caller has left, the
/// scheduler is told that the attempt is not made: it may have chosen an engine.
struct Pending<'a> {
    dispatcher: &'a Dispatcher,
    scheduled: Scheduled,
    is_answered: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.dispatcher.cancel_scheduled(&self.scheduled);
        }
    }
}

/// Asks schedulers, at this host or at others.
pub(crate) struct Scheduling {
    dispatcher: Arc<Dispatcher>,
    /// Absent when hosts exchange no messages; then this host chooses for itself.
    peers: Option<Arc<Peers>>,
    metrics: Arc<Metrics>,
}

impl Scheduling {
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        peers: Option<Arc<Peers>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            dispatcher,
            peers,
            metrics,
        }
    }

    /// Asks the scheduler of a service for the engine of an attempt that ends within `timeout`.
    /// Returns `None` when this host is to choose for itself.
    pub(crate) async fn ask(
        &self,
        service: &Service,
        profile: &Profile,
        tried: &[UpstreamId],
        timeout: Duration,
    ) -> Option<Scheduled> {
        let Ask {
            host,
            is_own,
            choose,
        } = self.dispatcher.ask(service, profile, tried, timeout)?;
        let scheduled = Scheduled {
            host: host.clone(),
            is_own,
            number: choose.number,
            upstream: "".into(),
            reason: "".into(),
        };
        let mut pending = Pending {
            dispatcher: &self.dispatcher,
            scheduled,
            is_answered: is_own,
        };
        let (result, chosen) = if is_own {
            ("own", Some(self.dispatcher.answer_choose("", &choose)))
        } else {
            let body = Body::Choose(choose);
            let peers = self.peers.as_ref()?;
            match peers
                .call_within(&host, body, Duration::ZERO, PATIENCE)
                .await
            {
                CallOutcome::Answered(Body::Chosen(chosen)) => ("answered", Some(chosen)),
                CallOutcome::Answered(_) | CallOutcome::Waiting | CallOutcome::Unanswered => {
                    ("silent", None)
                }
            }
        };
        pending.is_answered = chosen.is_some();
        if !is_own {
            self.dispatcher.record_scheduler(&host, chosen.is_some());
        }
        let result = match &chosen {
            Some(chosen) if chosen.upstream.is_empty() => "none",
            _ => result,
        };
        self.metrics.scheduling.with_label_values(&[result]).inc();
        let Chosen { upstream, reason } = chosen.filter(|chosen| !chosen.upstream.is_empty())?;
        Some(Scheduled {
            upstream: upstream.into(),
            reason: reason.into(),
            ..pending.scheduled.clone()
        })
    }
}
