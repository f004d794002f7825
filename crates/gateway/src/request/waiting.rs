//! The wait of a request for an upstream, in order with the others of its host.

use {
    super::ActiveRequest,
    crate::{
        dispatch::{Assigned, Claim, Entered, InFlight, Unavailable},
        metrics::Metrics,
    },
    marigoldroute_process::logs::ROUTING,
    std::{pin::pin, time::Duration},
};

/// Shortest time between two looks at the queue for an upstream that opens by itself.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1);

impl ActiveRequest {
    /// Assigns an upstream, with a permit if it has stated a rate, when it is the request's turn.
    pub(super) async fn acquire_in_order(
        &self,
        last_event: Option<u64>,
    ) -> Result<InFlight, Unavailable> {
        loop {
            let (in_flight, rationale) = self.wait_in_order(last_event).await?;
            if let Some(in_flight) = self.prepare(in_flight, rationale).await? {
                return Ok(in_flight);
            }
        }
    }

    async fn wait_in_order(&self, last_event: Option<u64>) -> Assigned {
        let context = &self.context;
        let mut wait = None;
        loop {
            // Registered before the queue is entered, so that no change is missed.
            let mut changed = pin!(context.dispatcher.capacity_freed.notified());
            self.pass_quarantine()?;
            let slack = self.slack(last_event);
            if slack.is_zero() {
                return Err(Unavailable::Stopping);
            }
            let deadline = self.entry_deadline(slack);
            if deadline <= context.clock.now() {
                // The caller of this function ends it now, unless the deadline has been put off.
                self.deadline.passed().await;
                tokio::task::yield_now().await;
                continue;
            }
            let scheduled = self.ask_scheduler().await;
            let claim = self.claim(deadline);
            let (service, profile) = (&self.service, &self.profile);
            let entered = context
                .dispatcher
                .enter(service, profile, &self.tried, claim, scheduled);
            let mut place = match entered {
                Ok(Entered::Assigned(in_flight, rationale)) => {
                    return Wait::end(wait, Ok((*in_flight, rationale)));
                }
                Ok(Entered::Waiting(place)) => place,
                Err(unavailable) => {
                    if matches!(unavailable, Unavailable::Overloaded(_)) {
                        wait.get_or_insert_with(|| Wait::new(self));
                    }
                    return Wait::end(wait, Err(unavailable));
                }
            };
            wait.get_or_insert_with(|| Wait::new(self));
            loop {
                let slack = self.slack(last_event);
                if slack.is_zero() {
                    return Wait::end(wait, Err(Unavailable::Stopping));
                }
                let left = deadline.saturating_sub(context.clock.now()).min(slack);
                if left.is_zero() {
                    break;
                }
                let opens_after = place.opens_after.unwrap_or(left).max(REVIEW_INTERVAL);
                tokio::select! {
                    biased;
                    reply = &mut place.reply => {
                        return Wait::end(wait, reply.unwrap_or(Err(Unavailable::Busy(None))));
                    }
                    () = &mut changed => {
                        changed.set(context.dispatcher.capacity_freed.notified());
                    }
                    () = tokio::time::sleep(opens_after.min(left)) => {}
                }
                place.review();
            }
        }
    }

    /// Returns the time by which the request must be assigned, if it may wait for `slack`.
    fn entry_deadline(&self, slack: Duration) -> Duration {
        let now = self.context.clock.now();
        now.saturating_add(slack).min(self.deadline.at())
    }

    /// Returns how the request is ranked. One that upstreams have worked on is as urgent as the most
    /// urgent: its work would be lost, and a refusal could not tell its caller that it has not run.
    fn claim(&self, deadline: Duration) -> Claim {
        let was_sent = self.sends.count() > 0 || self.has_begun;
        Claim {
            workspace: self.workspace().cloned().unwrap_or_else(|| "".into()),
            class: if was_sent { 0 } else { self.profile.priority },
            objective: match was_sent {
                true => Duration::MAX,
                false => self.access.route.objective,
            },
            deadline,
        }
    }
}

/// A wait that is reported when it ends; without another result, because the request is given up.
struct Wait<'a> {
    request: &'a ActiveRequest,
    began: Duration,
    result: &'static str,
}

impl<'a> Wait<'a> {
    fn new(request: &'a ActiveRequest) -> Self {
        Self {
            request,
            began: request.context.clock.now(),
            result: "left",
        }
    }

    /// Records the result of a wait, if there was one.
    fn end(wait: Option<Self>, assigned: Assigned) -> Assigned {
        if let Some(mut wait) = wait {
            wait.result = match &assigned {
                Ok(_) => "assigned",
                Err(Unavailable::Overloaded(_)) => "refused",
                Err(Unavailable::Stopping) => "stopping",
                Err(_) => "unavailable",
            };
        }
        assigned
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let Self {
            request, result, ..
        } = self;
        let now = request.context.clock.now();
        let waited = now.saturating_sub(self.began);
        let metrics: &Metrics = &request.context.metrics;
        metrics.waits.with_label_values(&[*result]).inc();
        metrics.wait.observe(waited.as_secs_f64());
        log::info!(
            target: ROUTING,
            request:% = request.head.id, service:% = request.service.name,
            workspace = request.workspace().map(|name| &**name),
            priority = request.profile.priority, tokens = request.profile.tokens(),
            waited_ms = waited.as_millis() as u64,
            left_ms = request.remaining().as_millis() as u64, result:% = result;
            "wait for an upstream ended"
        );
    }
}
