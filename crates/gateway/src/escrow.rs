//! Tokens of this host: reservations by requests, and the task that writes the journal.

mod reserver;
mod responder;
mod writer;

pub(crate) use {reserver::Reserver, responder::Responder, writer::Writer};

use {
    crate::{Clock, protocol::Usage, settings::Settings, view::lock},
    derive_more::{Display, Error},
    marigoldroute_core::{
        budget::{self, Holder, ReserveError},
        id::{
            BudgetId, HolderId, HostId, ModelId, RequestId, Tokens, UpstreamId, Version,
            WorkspaceId,
        },
        limit::{AdaptiveTimeout, AdaptiveTimeoutSettings},
        wire::Settlement,
    },
    marigoldroute_process::logs::TOKENS,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Time to come back when it is not known when tokens will be within reach.
const COME_BACK: Duration = Duration::from_millis(700);

/// Why no tokens were reserved.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The budget does not cover the request.
    #[display("the budget is exhausted")]
    Exhausted,
    /// The tokens are out of reach for now.
    #[display("the budget cannot be reached")]
    Unreachable {
        /// When tokens are expected to be within reach.
        retry_after: Duration,
    },
    /// The refill was on its way when the time was over.
    #[display("the refill takes too long")]
    TimedOut,
    /// The host that was asked did not answer.
    #[display("the holder does not answer")]
    Unanswered,
}

impl Refusal {
    /// Returns that tokens are out of reach, for a time that is not known.
    fn unreachable() -> Self {
        Self::Unreachable {
            retry_after: COME_BACK,
        }
    }
}

/// Who uses tokens for what.
#[derive(Clone, Debug)]
pub(crate) struct ReservationSpec {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) model: ModelId,
    pub(crate) usage: Usage,
}

/// The tokens of this host.
pub(crate) struct Escrow {
    clock: Clock,
    holder: Mutex<Holder>,
    /// Totals of budgets as the configuration states them, until the budget rows show them.
    statements: Mutex<BTreeMap<BudgetId, (Version, Tokens)>>,
    /// When budget rows may be changed again.
    refill_at: Mutex<Duration>,
    /// Number of flushes, so that waiting reservations try again after each.
    flushes: watch::Sender<u64>,
    /// Asks for a flush before the regular one.
    kick: Notify,
    /// Timeout of calls to the store, adapted to the calls of the [`Writer`].
    store_timeout: Mutex<AdaptiveTimeout>,
    /// Whether the store is out of reach.
    is_cut_off: AtomicBool,
}

/// A request that waits for a row; dropping it ends that, also because the caller has left.
struct Waiting<'a> {
    escrow: &'a Escrow,
    spec: &'a ReservationSpec,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut holder = lock(&self.escrow.holder);
        holder.cancel_wait(&self.spec.request, &self.spec.workspace);
    }
}

/// Where a reservation is kept.
enum Books {
    /// On this host.
    Own(Arc<Escrow>),
    /// On another host.
    Other(Arc<Reserver>, HostId),
}

/// Reserved tokens of one request; dropping it bills or returns them.
pub(crate) struct Reservation {
    books: Books,
    spec: ReservationSpec,
    /// Upstream that may have run the request.
    upstream: Option<UpstreamId>,
    delivered: Tokens,
}

impl Reservation {
    fn new(books: Books, spec: ReservationSpec) -> Self {
        Self {
            books,
            spec,
            upstream: None,
            delivered: 0,
        }
    }

    /// Sets the tokens that the request has used in all.
    fn charge(&mut self, tokens: Tokens) {
        self.spec.usage = Usage {
            prompt: tokens.min(self.spec.usage.total()),
            output: 0,
        };
        self.delivered = 0;
    }

    /// Notes that an upstream may run the request from now on.
    pub(crate) fn record_sent(&mut self, upstream: &UpstreamId) {
        self.upstream = Some(upstream.clone());
    }

    /// Notes that the request certainly has not run so far.
    pub(crate) fn record_not_run(&mut self) {
        self.upstream = None;
    }

    /// Adds output tokens that were handed to the caller.
    pub(crate) fn record_delivered(&mut self, tokens: Tokens) {
        self.delivered = (self.delivered + tokens).min(self.spec.usage.output);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let upstream = self.upstream.take();
        let tokens = self.spec.usage.prompt + self.delivered;
        match &self.books {
            Books::Own(escrow) => escrow.end(&self.spec, upstream, tokens),
            Books::Other(reserver, host) => {
                let used = upstream.map(|upstream| self.spec.settlement(&upstream, tokens));
                reserver.end(host.clone(), &self.spec, used);
            }
        }
    }
}

impl ReservationSpec {
    fn settlement(&self, upstream: &UpstreamId, tokens: Tokens) -> Settlement {
        Settlement {
            attempt: self.request.to_string(),
            budget: self.workspace.to_string(),
            workspace: self.workspace.to_string(),
            model: self.model.to_string(),
            upstream: upstream.to_string(),
            tokens,
        }
    }
}

impl Escrow {
    pub(crate) fn new(process: HolderId, clock: Clock, settings: &Settings) -> Self {
        Self {
            clock,
            holder: Mutex::new(Holder::new(process, settings.escrow.clone())),
            statements: Mutex::default(),
            refill_at: Mutex::default(),
            flushes: watch::Sender::new(0),
            kick: Notify::new(),
            store_timeout: Mutex::new(AdaptiveTimeout::new(AdaptiveTimeoutSettings {
                max: settings.store_timeout,
                ..AdaptiveTimeoutSettings::default()
            })),
            is_cut_off: AtomicBool::new(false),
        }
    }

    /// Reserves the most tokens that a request can use here, waiting for a refill until `deadline`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        spec: ReservationSpec,
        deadline: Duration,
    ) -> Result<Reservation, Refusal> {
        let amount = spec.usage.total();
        let mut flushes = self.flushes.subscribe();
        let waiting = Waiting {
            escrow: self,
            spec: &spec,
        };
        loop {
            let now = self.clock.now();
            let reserved = {
                let mut holder = lock(&self.holder);
                holder.reserve(now, &spec.request, &spec.workspace, amount)
            };
            match reserved {
                Ok(_) => break,
                Err(ReserveError::Exhausted) => {
                    return Err(self.refuse(&spec, Refusal::Exhausted));
                }
                Err(ReserveError::RefillPending) => {}
                Err(_) => {
                    return Err(self.refuse(&spec, Refusal::unreachable()));
                }
            }
            self.kick.notify_one();
            // Without a new row, the bound of the last one allows the reservation later.
            let wait = lock(&self.holder).wait_time(now, &spec.workspace, amount);
            let is_hopeless = self.is_cut_off() && wait.is_none_or(|wait| now + wait > deadline);
            if is_hopeless {
                let retry_after = wait.unwrap_or(COME_BACK).max(COME_BACK);
                return Err(self.refuse(&spec, Refusal::Unreachable { retry_after }));
            }
            if now >= deadline {
                return Err(self.refuse(&spec, Refusal::TimedOut));
            }
            let wake = wait.map_or(deadline, |wait| deadline.min(now + wait));
            tokio::select! {
                _ = flushes.changed() => {}
                () = tokio::time::sleep_until(self.clock.instant(wake).into()) => {}
            }
        }
        drop(waiting);
        if lock(&self.holder).is_bound_low(&spec.workspace) {
            self.kick.notify_one();
        }
        Ok(Reservation::new(Books::Own(self.clone()), spec))
    }

    /// Prepares for the end of the process: from the next row on, nothing is reserved without one.
    pub(crate) fn require_write_ahead(&self) {
        lock(&self.holder).require_write_ahead();
        self.kick.notify_one();
    }

    /// Returns whether the store is out of reach.
    fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Ends a reservation: bills `tokens` if an upstream may have run the request.
    fn end(&self, spec: &ReservationSpec, upstream: Option<UpstreamId>, tokens: Tokens) {
        let mut holder = lock(&self.holder);
        let Some(upstream) = upstream else {
            holder.release(&spec.request);
            return;
        };
        let usage = budget::Usage {
            workspace: spec.workspace.clone(),
            model: spec.model.clone(),
            upstream,
            tokens,
        };
        if holder.settle(&spec.request, usage).is_none() {
            log::error!(target: TOKENS, request:% = spec.request; "no reservation to settle");
        }
    }

    fn refuse(&self, spec: &ReservationSpec, refusal: Refusal) -> Refusal {
        let view = lock(&self.holder).summary(&spec.workspace);
        let view = view.map_or_else(String::new, |view| view.to_string());
        log::info!(
            target: TOKENS,
            request:% = spec.request, budget:% = spec.workspace, refusal:%, view,
            amount = spec.usage.total(), is_cut_off = self.is_cut_off();
            "no tokens reserved"
        );
        refusal
    }
}
