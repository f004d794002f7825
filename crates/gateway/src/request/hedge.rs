//! A second copy of a request whose first one is slow.

use {
    super::{ActiveRequest, attempt::Received},
    crate::{dispatch::InFlight, metrics::Metrics},
    derive_more::Display,
    marigoldroute_core::{forward::retry::Outcome, id::UpstreamId},
    marigoldroute_process::logs::REQUESTS,
    std::{sync::Arc, time::Duration},
};

/// Which copy of a request an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The only one.
    Sole,
    /// The first, to which a second one may be added.
    First,
    /// The second.
    Copy,
}

/// How an attempt at one upstream ended.
type End = Result<Received, Outcome>;

/// Why no copy of a slow request is sent.
#[derive(Clone, Copy, Debug, Display)]
enum Obstacle {
    /// The first copy is not on its way yet; if it cannot be sent, it is retried.
    #[display("unsent")]
    Unsent,
    /// The process stops.
    #[display("stop")]
    Stop,
    /// The operator's share of extra work is used up.
    #[display("share")]
    Share,
    /// The retries that are left are kept for requests that fail.
    #[display("allowance")]
    Allowance,
    /// No other upstream takes the request without a wait.
    #[display("upstream")]
    Upstream,
}

/// Counts what became of a copy; one that is dropped before its end was cancelled.
struct Tally {
    metrics: Arc<Metrics>,
    has_ended: bool,
}

impl Tally {
    fn new(metrics: &Arc<Metrics>) -> Self {
        let metrics = metrics.clone();
        metrics.hedges.with_label_values(&["sent"]).inc();
        Self {
            metrics,
            has_ended: false,
        }
    }

    fn end(&mut self, result: &str) {
        self.has_ended = true;
        self.metrics.hedges.with_label_values(&[result]).inc();
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end("cancelled");
        }
    }
}

/// The two copies of a request.
struct Pair {
    /// Upstream of the first copy.
    first: UpstreamId,
    /// Upstream of the second copy.
    second: UpstreamId,
    /// When the first was assigned.
    started: Duration,
    /// Time from then on after which the second was due.
    delay: Duration,
    tally: Tally,
}

/// Waits for this time. After a pause of this process, its timers expire before answers that have
/// arrived are read, so they are read first.
async fn pass(time: Duration) {
    tokio::time::sleep(time).await;
    tokio::task::yield_now().await;
}

/// Returns whether an end is the answer for the caller.
fn is_final(end: &End) -> bool {
    matches!(end, Ok(Received::Final(_)))
}

/// Returns whether an upstream may have run the request in an attempt with this end.
fn may_have_run(end: &End) -> bool {
    end.as_ref()
        .map_or_else(|outcome| !outcome.is_not_run(), |_| true)
}

/// Returns the end of a request from those of both copies: a final answer goes before a failure that
/// an upstream answered, and that before a failure without an answer. A request that may have run in
/// one of them may have run.
fn merge(first: End, copy: End) -> End {
    match (first, copy) {
        (Ok(Received::Final(answer)), _) => Ok(Received::Final(answer)),
        (_, Ok(received)) | (Ok(received), _) => Ok(received),
        (Err(first), Err(copy)) if !first.is_not_run() || copy.is_held_back() => Err(first),
        (Err(_), Err(copy)) => Err(copy),
    }
}

impl ActiveRequest {
    /// Returns after how long a copy of the next attempt is due, if it may get one.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let route = &self.access.route;
        let has_attempts = self.sends.count() + 2 <= route.attempts;
        has_attempts.then(|| self.context.hedges.delay(route))?
    }

    /// Makes an attempt at an assigned upstream, with a copy at another one once it has taken
    /// `delay` without an answer.
    pub(super) async fn attempt_hedged(
        &mut self,
        in_flight: InFlight,
        delay: Duration,
        last_event: Option<u64>,
    ) -> End {
        self.role = Role::First;
        let mut copy = self.copy(&in_flight.upstream);
        let before = copy.tried.len();
        let end = self
            .attempt_twice(&mut copy, in_flight, delay, last_event)
            .await;
        self.role = Role::Sole;
        self.tried.extend(copy.tried.drain(before..));
        self.is_accused |= copy.is_accused;
        end
    }

    /// Runs the first copy, and from `delay` on the second. The first final answer ends the other
    /// copy. Without one, the second counts as the retry of the first.
    async fn attempt_twice(
        &mut self,
        copy: &mut Self,
        in_flight: InFlight,
        delay: Duration,
        last_event: Option<u64>,
    ) -> End {
        let started = self.context.clock.now();
        let before = self.sends.count();
        let first_upstream = in_flight.upstream.clone();
        let mut first = Box::pin(self.attempt_at(in_flight, last_event));
        tokio::select! {
            biased;
            end = &mut first => return end,
            () = pass(delay) => {}
        }
        let assigned = match copy.assign_copy(copy.sends.count() > before) {
            Ok(assigned) => assigned,
            Err(obstacle) => {
                copy.record_obstacle(obstacle, started);
                return first.await;
            }
        };
        let mut pair = Pair {
            first: first_upstream,
            second: assigned.upstream.clone(),
            started,
            delay,
            tally: Tally::new(&copy.context.metrics),
        };
        copy.record_copy("copy sent", &pair);
        let mut second = Box::pin(copy.attempt_at(assigned, last_event));
        let copied = tokio::select! {
            biased;
            end = &mut first => {
                drop(first);
                return self.after_first(end, second, &mut pair).await;
            }
            copied = &mut second => copied,
        };
        if is_final(&copied) {
            drop(first);
            self.end_copy(&copied, &mut pair);
            return copied;
        }
        pair.tally.end("failed");
        let end = first.await;
        if may_have_run(&copied) && !may_have_run(&end) {
            self.record_runner(&pair.second);
        }
        merge(end, copied)
    }

    /// Waits for the second copy, unless the first has the final answer.
    async fn after_first(
        &mut self,
        end: End,
        second: impl Future<Output = End>,
        pair: &mut Pair,
    ) -> End {
        // A request on which an upstream has ended is not retried.
        if is_final(&end) || self.is_accused {
            self.record_copy("copy cancelled", pair);
            return end;
        }
        self.record_runner(&pair.second);
        let copied = second.await;
        self.end_copy(&copied, pair);
        if !may_have_run(&copied) {
            self.record_runner(&pair.first);
        }
        merge(end, copied)
    }

    /// Records the end of a copy before an answer of the first.
    fn end_copy(&mut self, end: &End, pair: &mut Pair) {
        if !is_final(end) {
            pair.tally.end("failed");
            return;
        }
        pair.tally.end("won");
        self.record_runner(&pair.second);
        self.record_copy("copy won", pair);
        // The first has taken at least this long.
        let wait = self.context.clock.now().saturating_sub(pair.started);
        let route = &self.access.route;
        self.context.drain.record_wait(&route.name, wait);
        self.context.hedges.record_latency(route, wait);
    }

    /// Returns the request for a second copy, which avoids the upstream of the first and counts what
    /// is sent together with it. The reservation stays with the first, so that it is billed once.
    fn copy(&self, first: &UpstreamId) -> Self {
        let mut tried = self.tried.clone();
        tried.push(first.clone());
        Self {
            context: self.context.clone(),
            head: self.head.clone(),
            access: self.access.clone(),
            service: self.service.clone(),
            body: self.body.clone(),
            arrived: self.arrived,
            deadline: self.deadline.clone(),
            profile: self.profile.clone(),
            parts: self.parts.clone(),
            is_accused: self.is_accused,
            tried,
            sends: self.sends.clone(),
            role: Role::Copy,
            is_unexecuted: self.is_unexecuted,
            has_begun: self.has_begun,
            reservation: None,
            // The first copy keeps the memory of the head, which both share.
            head_memory: None,
        }
    }

    /// Assigns an upstream to a copy, which takes it from the share and from the allowance of
    /// retries. An upstream that has stated a rate gets no copy: its permits are for other requests.
    fn assign_copy(&self, is_first_sent: bool) -> Result<InFlight, Obstacle> {
        let context = &self.context;
        // Until the first is sent, nothing is charged for a request that may run.
        if !is_first_sent {
            return Err(Obstacle::Unsent);
        }
        if context.drain.time_left().is_some() {
            return Err(Obstacle::Stop);
        }
        let route = &self.access.route;
        if !context.hedges.has_copy(route) {
            return Err(Obstacle::Share);
        }
        let unavailable = |_| Obstacle::Upstream;
        self.pass_quarantine().map_err(unavailable)?;
        let assigned = context
            .dispatcher
            .assign(&self.service, &self.profile, &self.tried);
        let (mut in_flight, _) = assigned.map_err(unavailable)?;
        if in_flight.rate.is_some() {
            return Err(Obstacle::Upstream);
        }
        if !context.dispatcher.acquire_spare_retry(&self.service.name) {
            return Err(Obstacle::Allowance);
        }
        if !context.hedges.take_copy(route) {
            return Err(Obstacle::Share);
        }
        match in_flight.record_sent(&self.profile) {
            true => Ok(in_flight),
            false => Err(Obstacle::Upstream),
        }
    }

    /// Records the upstream to which the tokens of the request are charged.
    fn record_runner(&mut self, upstream: &UpstreamId) {
        if let Some(reservation) = &mut self.reservation {
            reservation.record_sent(upstream);
        }
    }

    /// Logs that a copy was sent, has won or was cancelled.
    fn record_copy(&self, message: &'static str, pair: &Pair) {
        log::info!(
            target: REQUESTS,
            request:% = self.head.id, route:% = self.access.route.name, first:% = pair.first,
            upstream:% = pair.second, due_ms = pair.delay.as_millis() as u64,
            ms = self.elapsed_ms(pair.started), left_ms = self.remaining().as_millis() as u64;
            "{message}"
        );
    }

    fn record_obstacle(&self, obstacle: Obstacle, started: Duration) {
        let reason = obstacle.to_string();
        let unsent = &self.context.metrics.unsent_hedges;
        unsent.with_label_values(&[&reason]).inc();
        log::debug!(
            target: REQUESTS,
            request:% = self.head.id, reason, ms = self.elapsed_ms(started);
            "no copy sent"
        );
    }
}
