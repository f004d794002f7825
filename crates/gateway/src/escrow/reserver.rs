//! Reservations for the requests of this host, at its own holder or at other hosts.

use {
    super::{Escrow, Location, Refusal, Reservation, ReservationSpec},
    crate::{
        Clock,
        metrics::Metrics,
        peers::{CallOutcome, Peers},
        view::lock,
    },
    marigoldroute_core::{
        budget::Assignment,
        id::{BudgetId, HostId, RequestId},
        wire::{self, Body, Release, Reserve, Settle, Settlement},
    },
    marigoldroute_process::logs::TOKENS,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::watch,
    tokio_util::task::TaskTracker,
};

/// Time that the first holder has for a refill before the next one is asked.
const FIRST_HOLDER_WAIT: Duration = Duration::from_millis(250);
/// Time for which a host that did not answer is asked last.
const AVOIDANCE_TIME: Duration = Duration::from_secs(3);
/// Time for which a host is not asked again for a budget that it reported as exhausted.
const EXHAUSTED_TTL: Duration = Duration::from_millis(400);
/// Attempts to deliver the end of a reservation. When all fail, the holder bills the reservation in
/// full.
const DELIVERY_ATTEMPTS: u32 = 6;
/// Pause before the second attempt to deliver; it doubles after each attempt.
const DELIVERY_PAUSE: Duration = Duration::from_millis(100);

/// Makes the reservations of this host's requests.
pub(crate) struct Reserver {
    clock: Clock,
    own: HostId,
    escrow: Arc<Escrow>,
    /// Absent when this host has no address for messages between hosts.
    peers: Option<Arc<Peers>>,
    metrics: Arc<Metrics>,
    assignment: watch::Sender<Assignment>,
    /// Hosts that did not answer, with the time until which they are asked last.
    avoided: Mutex<HashMap<HostId, Duration>>,
    /// Hosts that reported a budget as exhausted, with the time until which they are not asked for
    /// it.
    exhausted: Mutex<HashMap<(HostId, BudgetId), Duration>>,
    tasks: TaskTracker,
}

/// Hosts that may hold a reservation which the request does not use. Their reservations are
/// released when this is dropped, also when the caller has disconnected.
struct UnusedReservations {
    reserver: Arc<Reserver>,
    request: RequestId,
    hosts: Vec<HostId>,
}

/// Refusals that one request has received.
#[derive(Default)]
struct Refusals {
    /// Hosts whose refill had not finished in time, in the order in which they were asked.
    timed_out: Vec<HostId>,
    /// Number of hosts that reported the budget as exhausted.
    exhausted: usize,
    /// Shortest retry time of the refusals.
    retry_after: Option<Duration>,
    /// Number of hosts that were unreachable or could not reach the store.
    unreachable: usize,
}

impl Reserver {
    pub(crate) fn new(
        clock: Clock,
        own: HostId,
        escrow: Arc<Escrow>,
        peers: Option<Arc<Peers>>,
        metrics: Arc<Metrics>,
        tasks: TaskTracker,
    ) -> Self {
        let assignment = Assignment::new(own.clone(), "".into(), Vec::new());
        Self {
            clock,
            own,
            escrow,
            peers,
            metrics,
            assignment: watch::Sender::new(assignment),
            avoided: Mutex::default(),
            exhausted: Mutex::default(),
            tasks,
        }
    }

    /// Sets the assignment of budgets to hosts.
    pub(crate) fn set_assignment(&self, assignment: Assignment) {
        self.assignment.send_if_modified(|known| {
            let has_changed = *known != assignment;
            *known = assignment;
            has_changed
        });
    }

    /// Returns a receiver that is notified when the assignment changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Assignment> {
        self.assignment.subscribe()
    }

    /// Reserves the maximum usage of a request, here or at another host. Waits for a refill until
    /// `deadline`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        spec: ReservationSpec,
        deadline: Duration,
    ) -> Result<Reservation, Refusal> {
        let mut refusals = Refusals::default();
        let mut unused = UnusedReservations {
            reserver: self.clone(),
            request: spec.request.clone(),
            hosts: Vec::new(),
        };
        // When this host cannot reach the store it could only wait, but another host may reach it.
        let first_wait = match self.escrow.is_store_unreachable() {
            true => Duration::ZERO,
            false => FIRST_HOLDER_WAIT,
        };
        let mut limit = deadline.min(self.clock.now() + first_wait);
        for host in self.candidates(&spec.workspace) {
            unused.hosts.push(host.clone());
            match self.reserve_at(&host, &spec, limit).await {
                Ok(reservation) => {
                    unused.remove(&host);
                    return Ok(reservation);
                }
                Err(refusal) => refusals.add(refusal, &host, &mut unused),
            }
            // The budget row has no tokens left, and other holders keep theirs for their own
            // callers.
            if refusals.exhausted > 0 {
                break;
            }
            limit = self.clock.now();
        }
        for host in std::mem::take(&mut refusals.timed_out) {
            if self.clock.now() >= deadline {
                break;
            }
            match self.reserve_at(&host, &spec, deadline).await {
                Ok(reservation) => {
                    unused.remove(&host);
                    return Ok(reservation);
                }
                Err(refusal) => refusals.add(refusal, &host, &mut unused),
            }
        }
        let refusal = refusals.refusal();
        self.count("none");
        log::info!(
            target: TOKENS,
            request:% = spec.request, budget:% = spec.workspace, refusal:%,
            exhausted = refusals.exhausted, unreachable = refusals.unreachable;
            "no host reserved tokens"
        );
        Err(refusal)
    }

    /// Returns the hosts to ask in order, without those that reported the budget as exhausted.
    /// Hosts that did not answer recently come last.
    fn candidates(&self, budget: &BudgetId) -> Vec<HostId> {
        let mut order = self.assignment.borrow().candidates(budget);
        let now = self.clock.now();
        {
            let mut avoided = lock(&self.avoided);
            avoided.retain(|_, until| *until > now);
            order.sort_by_key(|host| avoided.contains_key(host));
        }
        let mut exhausted = lock(&self.exhausted);
        exhausted.retain(|_, until| *until > now);
        let is_exhausted = |host: &HostId| exhausted.contains_key(&(host.clone(), budget.clone()));
        let mut candidates: Vec<_> = order
            .iter()
            .filter(|host| !is_exhausted(host))
            .cloned()
            .collect();
        // A refusal needs the answer of at least one host.
        if candidates.is_empty() {
            candidates.extend(order.into_iter().next());
        }
        candidates
    }

    /// Reserves at the given host, which may be this one, until `limit`.
    async fn reserve_at(
        self: &Arc<Self>,
        host: &HostId,
        spec: &ReservationSpec,
        limit: Duration,
    ) -> Result<Reservation, Refusal> {
        let reserved = if *host == self.own {
            self.escrow.reserve(spec.clone(), limit).await
        } else {
            self.reserve_remote(host, spec, limit).await
        };
        if reserved.is_ok() {
            self.count(if *host == self.own { "own" } else { "other" });
        }
        if matches!(reserved, Err(Refusal::Exhausted)) {
            let key = (host.clone(), spec.workspace.clone());
            lock(&self.exhausted).insert(key, self.clock.now() + EXHAUSTED_TTL);
        }
        reserved
    }

    /// Reserves at another host, until `limit`.
    async fn reserve_remote(
        self: &Arc<Self>,
        host: &HostId,
        spec: &ReservationSpec,
        limit: Duration,
    ) -> Result<Reservation, Refusal> {
        let Some(peers) = &self.peers else {
            return Err(Refusal::unreachable());
        };
        let started = self.clock.now();
        let body = Body::Reserve(Reserve {
            request: spec.request.to_string(),
            budget: spec.workspace.to_string(),
            amount: spec.usage.total(),
            workspace: spec.workspace.to_string(),
            model: spec.model.to_string(),
            least: 0,
        });
        let outcome = peers.call(host, body, limit.saturating_sub(started)).await;
        let refusal = match outcome {
            CallOutcome::Answered(Body::Reply(reply)) => match reply.refusal() {
                wire::Refusal::None => {
                    let ms = self.clock.now().saturating_sub(started).as_millis() as u64;
                    log::info!(
                        target: TOKENS,
                        request:% = spec.request, budget:% = spec.workspace, holder:% = host,
                        ms;
                        "tokens reserved at another host"
                    );
                    let location = Location::Remote(self.clone(), host.clone());
                    return Ok(Reservation::new(location, spec.clone()));
                }
                wire::Refusal::Exhausted => Refusal::Exhausted,
                wire::Refusal::Waiting => Refusal::TimedOut,
                wire::Refusal::Unavailable => Refusal::unreachable(),
            },
            CallOutcome::Answered(_) => Refusal::unreachable(),
            CallOutcome::Waiting => Refusal::TimedOut,
            CallOutcome::Unanswered => {
                let until = self.clock.now() + AVOIDANCE_TIME;
                if lock(&self.avoided).insert(host.clone(), until).is_none() {
                    log::warn!(target: TOKENS, holder:% = host; "holder does not answer");
                }
                Refusal::Unanswered
            }
        };
        Err(refusal)
    }

    /// Counts a reservation by the metric label of its place: `own`, `other` or `none`.
    fn count(&self, place: &str) {
        let reservations = &self.metrics.reservations;
        reservations.with_label_values(&[place]).inc();
    }

    fn release(self: &Arc<Self>, host: HostId, request: &RequestId) {
        let request = request.to_string();
        self.send_until_acknowledged(host, Body::Release(Release { request }));
    }

    /// Ends a reservation at another host: settles the used tokens, or releases it without them.
    pub(super) fn end(
        self: &Arc<Self>,
        host: HostId,
        spec: &ReservationSpec,
        used: Option<Settlement>,
    ) {
        match used {
            None => self.release(host, &spec.request),
            Some(item) => {
                self.send_until_acknowledged(host, Body::Settle(Settle { items: vec![item] }));
            }
        }
    }

    /// Sends a message to a holder in the background until it is acknowledged or all attempts have
    /// failed.
    fn send_until_acknowledged(self: &Arc<Self>, host: HostId, body: Body) {
        let Some(peers) = self.peers.clone().filter(|_| host != self.own) else {
            return;
        };
        self.tasks.spawn(async move {
            let mut pause = DELIVERY_PAUSE;
            for _ in 0..DELIVERY_ATTEMPTS {
                let outcome = peers.call(&host, body.clone(), Duration::ZERO).await;
                if matches!(outcome, CallOutcome::Answered(_)) {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            log::warn!(target: TOKENS, holder:% = host; "end of a reservation not delivered");
        });
    }
}

impl UnusedReservations {
    /// Removes a host that has made no reservation, or whose reservation is in use.
    fn remove(&mut self, host: &HostId) {
        self.hosts.retain(|other| other != host);
    }
}

impl Drop for UnusedReservations {
    fn drop(&mut self) {
        for host in self.hosts.drain(..) {
            self.reserver.release(host, &self.request);
        }
    }
}

impl Refusals {
    /// Records the refusal of a host. A host that has certainly made no reservation is removed from
    /// `unused`.
    fn add(&mut self, refusal: Refusal, host: &HostId, unused: &mut UnusedReservations) {
        match refusal {
            Refusal::Exhausted => self.exhausted += 1,
            Refusal::TimedOut => {
                self.timed_out.push(host.clone());
                return;
            }
            Refusal::Unanswered => {
                self.unreachable += 1;
                return;
            }
            Refusal::Unreachable { retry_after } => {
                self.unreachable += 1;
                self.retry_after = Some(
                    self.retry_after
                        .map_or(retry_after, |soonest| soonest.min(retry_after)),
                );
            }
        }
        unused.remove(host);
    }

    /// Returns the refusal for the caller. The budget counts as exhausted if a holder reports it
    /// and no other asked host may still have tokens.
    fn refusal(&self) -> Refusal {
        if self.unreachable == 0 && self.timed_out.is_empty() && self.exhausted > 0 {
            return Refusal::Exhausted;
        }
        self.retry_after
            .map_or(Refusal::unreachable(), |retry_after| Refusal::Unreachable {
                retry_after,
            })
    }
}
