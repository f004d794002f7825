//! Prepaid tokens of this host: reservations for requests, and the task that writes the journal.

mod reserver;
mod responder;
mod restore;
mod writer;

pub(crate) use {reserver::Reserver, responder::Responder, writer::Writer};

use {
    crate::{Clock, protocol::Usage, settings::Settings, view::lock},
    derive_more::{Display, Error},
    marigoldroute_core::{
        budget::{self, Holder, ReserveError, era},
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

/// Retry time given to callers when it is not known when tokens can be reserved again.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Why no tokens were reserved.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The budget does not cover the request.
    #[display("the budget is exhausted")]
    Exhausted,
    /// The budget may have tokens, but they cannot be reserved now: the store or the holders are
    /// unreachable, or a holder accepts no reservations.
    #[display("the budget cannot be reached")]
    Unreachable {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The deadline passed during a refill.
    #[display("the refill takes too long")]
    TimedOut,
    /// The host that was asked did not answer.
    #[display("the holder does not answer")]
    Unanswered,
}

impl Refusal {
    /// Returns [`Self::Unreachable`] with the default retry time.
    fn unreachable() -> Self {
        Self::Unreachable {
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

/// What a reservation is for: the request, and the tokens that it can use.
#[derive(Clone, Debug)]
pub(crate) struct ReservationSpec {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) model: ModelId,
    pub(crate) usage: Usage,
}

/// The holder of this host, shared between requests and the [`Writer`].
pub(crate) struct Escrow {
    pub(crate) clock: Clock,
    holder: Mutex<Holder>,
    /// Totals of budgets in the configuration that are not in the budget rows yet, with the version
    /// that set them.
    configured_totals: Mutex<BTreeMap<BudgetId, (Version, Tokens)>>,
    /// Time from which budget rows may be changed again.
    refill_at: Mutex<Duration>,
    /// Number of flushes so far; waiting reservations retry after each one.
    flushes: watch::Sender<u64>,
    /// Requests a flush before the next regular one.
    flush_requested: Notify,
    /// Timeout of calls to the store, adapted to the calls of the [`Writer`].
    store_timeout: Mutex<AdaptiveTimeout>,
    /// Progress in the store's present era.
    era_progress: Mutex<restore::EraProgress>,
    /// Whether the last flush failed and the store counts as unreachable.
    is_store_unreachable: AtomicBool,
}

/// Cancels the wait of a request for a journal row when it is dropped, also when the caller has
/// disconnected.
struct WaitGuard<'a> {
    escrow: &'a Escrow,
    spec: &'a ReservationSpec,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut holder = lock(&self.escrow.holder);
        holder.cancel_wait(&self.spec.request, &self.spec.workspace);
    }
}

/// Holder at which a reservation was made.
enum Location {
    /// The holder of this host.
    Local(Arc<Escrow>),
    /// The holder of another host.
    Remote(Arc<Reserver>, HostId),
}

/// Reserved tokens of one request. When dropped, it bills the used tokens if an upstream may have
/// run the request, and otherwise releases the reservation.
pub(crate) struct Reservation {
    location: Location,
    spec: ReservationSpec,
    /// Upstream that may have run the request.
    upstream: Option<UpstreamId>,
    /// Output tokens that were sent to the caller.
    delivered: Tokens,
}

impl Reservation {
    fn new(location: Location, spec: ReservationSpec) -> Self {
        Self {
            location,
            spec,
            upstream: None,
            delivered: 0,
        }
    }

    /// Sets the total tokens that the request has used, at most the reserved ones.
    fn set_used(&mut self, tokens: Tokens) {
        self.spec.usage = Usage {
            prompt: tokens.min(self.spec.usage.total()),
            output: 0,
        };
        self.delivered = 0;
    }

    /// Records that the request is being sent to an upstream, which may run it from now on.
    pub(crate) fn record_sent(&mut self, upstream: &UpstreamId) {
        self.upstream = Some(upstream.clone());
    }

    /// Records that no upstream has run the request so far.
    pub(crate) fn record_not_run(&mut self) {
        self.upstream = None;
    }

    /// Adds output tokens that were sent to the caller.
    pub(crate) fn record_delivered(&mut self, tokens: Tokens) {
        let delivered = self.delivered.saturating_add(tokens);
        self.delivered = delivered.min(self.spec.usage.output);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let upstream = self.upstream.take();
        let tokens = self.spec.usage.prompt.saturating_add(self.delivered);
        match &self.location {
            Location::Local(escrow) => escrow.end(&self.spec, upstream, tokens),
            Location::Remote(reserver, host) => {
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
            configured_totals: Mutex::default(),
            refill_at: Mutex::default(),
            flushes: watch::Sender::new(0),
            flush_requested: Notify::new(),
            store_timeout: Mutex::new(AdaptiveTimeout::new(AdaptiveTimeoutSettings {
                max: settings.store_timeout,
                ..AdaptiveTimeoutSettings::default()
            })),
            era_progress: Mutex::default(),
            is_store_unreachable: AtomicBool::new(false),
        }
    }

    /// Returns what the store says about the era in which the holder has stated its tokens.
    pub(crate) fn settlement(&self) -> era::Settlement {
        lock(&self.holder).settlement().clone()
    }

    /// Reserves the maximum usage of a request at this host's holder. Waits for a refill until
    /// `deadline`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        spec: ReservationSpec,
        deadline: Duration,
    ) -> Result<Reservation, Refusal> {
        let amount = spec.usage.total();
        let mut flushes = self.flushes.subscribe();
        let wait_guard = WaitGuard {
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
                    return Err(self.log_refusal(&spec, Refusal::Exhausted));
                }
                Err(ReserveError::RefillPending) => {}
                Err(_) => {
                    return Err(self.log_refusal(&spec, Refusal::unreachable()));
                }
            }
            self.flush_requested.notify_one();
            // Even without a new row, the bound of the last one may allow the reservation later.
            let wait = lock(&self.holder).wait_time(now, &spec.workspace, amount);
            let is_out_of_reach =
                self.is_store_unreachable() && wait.is_none_or(|wait| now + wait > deadline);
            if is_out_of_reach {
                let retry_after = wait.unwrap_or(DEFAULT_RETRY_AFTER).max(DEFAULT_RETRY_AFTER);
                return Err(self.log_refusal(&spec, Refusal::Unreachable { retry_after }));
            }
            if now >= deadline {
                return Err(self.log_refusal(&spec, Refusal::TimedOut));
            }
            let wake = wait.map_or(deadline, |wait| deadline.min(now + wait));
            tokio::select! {
                _ = flushes.changed() => {}
                () = tokio::time::sleep_until(self.clock.instant(wake).into()) => {}
            }
        }
        drop(wait_guard);
        if lock(&self.holder).is_bound_low(&spec.workspace) {
            self.flush_requested.notify_one();
        }
        Ok(Reservation::new(Location::Local(self.clone()), spec))
    }

    /// Prepares for the end of the process: from the next row on, each reservation needs a row that
    /// states it, see [`Holder::require_write_ahead`].
    pub(crate) fn require_write_ahead(&self) {
        lock(&self.holder).require_write_ahead();
        self.flush_requested.notify_one();
    }

    /// Returns whether the last flush failed and the store counts as unreachable.
    fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable.load(Ordering::Relaxed)
    }

    /// Ends a reservation: bills `tokens` if an upstream may have run the request, otherwise
    /// releases it.
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

    /// Logs a refusal with the figures of the budget, and returns it.
    fn log_refusal(&self, spec: &ReservationSpec, refusal: Refusal) -> Refusal {
        let summary = lock(&self.holder).summary(&spec.workspace);
        let summary = summary.map_or_else(String::new, |summary| summary.to_string());
        log::info!(
            target: TOKENS,
            request:% = spec.request, budget:% = spec.workspace, refusal:%, view = summary,
            amount = spec.usage.total(), is_cut_off = self.is_store_unreachable();
            "no tokens reserved"
        );
        refusal
    }
}
