//! Reservations of this host's requests, here or at other hosts.

use {
    super::{Books, Escrow, Refusal, Reservation, ReservationSpec},
    crate::{
        Clock,
        metrics::Metrics,
        peers::{Called, Peers},
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

/// Time that the first holder has for a refill before others are asked.
const FIRST_WAIT: Duration = Duration::from_millis(250);
/// Time for which a silent host is asked last.
const AVOIDED_TIME: Duration = Duration::from_secs(3);
/// Time for which a host that reports a budget as exhausted is not asked for it again.
const DRY_TIME: Duration = Duration::from_millis(400);
/// Attempts to deliver the end of a reservation; after the last one the holder bills it as a whole.
const DELIVERY_ATTEMPTS: u32 = 6;
/// Pause before the second attempt; it doubles each time.
const DELIVERY_PAUSE: Duration = Duration::from_millis(100);

/// Makes reservations.
pub(crate) struct Reserver {
    clock: Clock,
    own: HostId,
    escrow: Arc<Escrow>,
    /// Absent when this host talks to no others.
    peers: Option<Arc<Peers>>,
    metrics: Arc<Metrics>,
    assignment: watch::Sender<Assignment>,
    /// Hosts that did not answer, until when they are avoided.
    avoided: Mutex<HashMap<HostId, Duration>>,
    /// Hosts without tokens of a budget, until when.
    dry: Mutex<HashMap<(HostId, BudgetId), Duration>>,
    tasks: TaskTracker,
}

/// Hosts that may reserve tokens for a request which does not use them. They are released when it is
/// dropped, also because the caller has left.
struct Open {
    reserver: Arc<Reserver>,
    request: RequestId,
    hosts: Vec<HostId>,
}

/// What hosts have said to one request.
#[derive(Default)]
struct Refusals {
    /// Hosts whose refill was on its way, in the order in which they were asked.
    late: Vec<HostId>,
    exhausted: usize,
    /// When tokens are expected to be within reach, by the host that is soonest.
    retry_after: Option<Duration>,
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
            dry: Mutex::default(),
            tasks,
        }
    }

    /// Sets the hosts that hold budgets.
    pub(crate) fn set_assignment(&self, assignment: Assignment) {
        self.assignment.send_if_modified(|known| {
            let has_changed = *known != assignment;
            *known = assignment;
            has_changed
        });
    }

    /// Returns a receiver that is notified when holders change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Assignment> {
        self.assignment.subscribe()
    }

    /// Reserves the most tokens that a request can use, waiting for a refill until `deadline`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        spec: ReservationSpec,
        deadline: Duration,
    ) -> Result<Reservation, Refusal> {
        let mut refusals = Refusals::default();
        let mut open = Open {
            reserver: self.clone(),
            request: spec.request.clone(),
            hosts: Vec::new(),
        };
        // Without the store, another host may still reach it; this one can only wait.
        let first_wait = match self.escrow.is_cut_off() {
            true => Duration::ZERO,
            false => FIRST_WAIT,
        };
        let mut limit = deadline.min(self.clock.now() + first_wait);
        for host in self.order(&spec.workspace) {
            open.hosts.push(host.clone());
            match self.reserve_at(&host, &spec, limit).await {
                Ok(reservation) => {
                    open.settle(&host);
                    return Ok(reservation);
                }
                Err(refusal) => refusals.add(refusal, &host, &mut open),
            }
            // The row has nothing left, and what other holders keep is for their own callers.
            if refusals.exhausted > 0 {
                break;
            }
            limit = self.clock.now();
        }
        for host in std::mem::take(&mut refusals.late) {
            if self.clock.now() >= deadline {
                break;
            }
            match self.reserve_at(&host, &spec, deadline).await {
                Ok(reservation) => {
                    open.settle(&host);
                    return Ok(reservation);
                }
                Err(refusal) => refusals.add(refusal, &host, &mut open),
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

    /// Returns the hosts to ask, those that did not answer lately last.
    fn order(&self, budget: &BudgetId) -> Vec<HostId> {
        let mut order = self.assignment.borrow().candidates(budget);
        let now = self.clock.now();
        {
            let mut avoided = lock(&self.avoided);
            avoided.retain(|_, until| *until > now);
            order.sort_by_key(|host| avoided.contains_key(host));
        }
        let mut dry = lock(&self.dry);
        dry.retain(|_, until| *until > now);
        let is_dry = |host: &HostId| dry.contains_key(&(host.clone(), budget.clone()));
        let mut asked: Vec<_> = order.iter().filter(|host| !is_dry(host)).cloned().collect();
        // A refusal needs the word of one host.
        if asked.is_empty() {
            asked.extend(order.into_iter().next());
        }
        asked
    }

    async fn reserve_at(
        self: &Arc<Self>,
        host: &HostId,
        spec: &ReservationSpec,
        limit: Duration,
    ) -> Result<Reservation, Refusal> {
        let reserved = if *host == self.own {
            self.escrow.reserve(spec.clone(), limit).await
        } else {
            self.reserve_other(host, spec, limit).await
        };
        if reserved.is_ok() {
            self.count(if *host == self.own { "own" } else { "other" });
        }
        if matches!(reserved, Err(Refusal::Exhausted)) {
            let key = (host.clone(), spec.workspace.clone());
            lock(&self.dry).insert(key, self.clock.now() + DRY_TIME);
        }
        reserved
    }

    async fn reserve_other(
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
        let called = peers.call(host, body, limit.saturating_sub(started)).await;
        let refusal = match called {
            Called::Answered(Body::Reply(reply)) => match reply.refusal() {
                wire::Refusal::None => {
                    let ms = self.clock.now().saturating_sub(started).as_millis() as u64;
                    log::info!(
                        target: TOKENS,
                        request:% = spec.request, budget:% = spec.workspace, holder:% = host,
                        ms;
                        "tokens reserved at another host"
                    );
                    let books = Books::Other(self.clone(), host.clone());
                    return Ok(Reservation::new(books, spec.clone()));
                }
                wire::Refusal::Exhausted => Refusal::Exhausted,
                wire::Refusal::Waiting => Refusal::TimedOut,
                wire::Refusal::Unavailable => Refusal::unreachable(),
            },
            Called::Answered(_) => Refusal::unreachable(),
            Called::Waiting => Refusal::TimedOut,
            Called::Silent => {
                let until = self.clock.now() + AVOIDED_TIME;
                if lock(&self.avoided).insert(host.clone(), until).is_none() {
                    log::warn!(target: TOKENS, holder:% = host; "holder does not answer");
                }
                Refusal::Unanswered
            }
        };
        Err(refusal)
    }

    fn count(&self, place: &str) {
        let reservations = &self.metrics.reservations;
        reservations.with_label_values(&[place]).inc();
    }

    fn release(self: &Arc<Self>, host: HostId, request: &RequestId) {
        let request = request.to_string();
        self.deliver(host, Body::Release(Release { request }));
    }

    /// Ends a reservation at another host.
    pub(super) fn end(
        self: &Arc<Self>,
        host: HostId,
        spec: &ReservationSpec,
        used: Option<Settlement>,
    ) {
        match used {
            None => self.release(host, &spec.request),
            Some(item) => self.deliver(host, Body::Settle(Settle { items: vec![item] })),
        }
    }

    /// Delivers a message until the holder acknowledges it.
    fn deliver(self: &Arc<Self>, host: HostId, body: Body) {
        let Some(peers) = self.peers.clone().filter(|_| host != self.own) else {
            return;
        };
        self.tasks.spawn(async move {
            let mut pause = DELIVERY_PAUSE;
            for _ in 0..DELIVERY_ATTEMPTS {
                let called = peers.call(&host, body.clone(), Duration::ZERO).await;
                if matches!(called, Called::Answered(_)) {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            log::warn!(target: TOKENS, holder:% = host; "end of a reservation not delivered");
        });
    }
}

impl Open {
    /// Notes that a host reserves nothing, or that its reservation is in use.
    fn settle(&mut self, host: &HostId) {
        self.hosts.retain(|open| open != host);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        for host in self.hosts.drain(..) {
            self.reserver.release(host, &self.request);
        }
    }
}

impl Refusals {
    fn add(&mut self, refusal: Refusal, host: &HostId, open: &mut Open) {
        match refusal {
            Refusal::Exhausted => self.exhausted += 1,
            Refusal::TimedOut => {
                self.late.push(host.clone());
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
        open.settle(host);
    }

    /// Returns the answer to the caller: a budget is exhausted when a holder says so and none may
    /// still have tokens.
    fn refusal(&self) -> Refusal {
        if self.unreachable == 0 && self.late.is_empty() && self.exhausted > 0 {
            return Refusal::Exhausted;
        }
        self.retry_after
            .map_or(Refusal::unreachable(), |retry_after| Refusal::Unreachable {
                retry_after,
            })
    }
}
