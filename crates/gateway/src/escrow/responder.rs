//! Reservations that this host makes for others.

use {
    super::{Escrow, Refusal, Reservation, ReservationSpec},
    crate::{
        Clock,
        protocol::Usage,
        view::{View, lock},
    },
    marigoldroute_core::{
        budget::remote::{Admission, Reservations},
        id::RequestId,
        wire::{self, Billing, Body, Reply, Reserve, Settle, Settled},
    },
    marigoldroute_process::logs::TOKENS,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum time that a reservation for another host waits for a refill.
const REFILL_WAIT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which the other host is notified that the answer will follow.
const NOTICE_DELAY: Duration = Duration::from_millis(20);
/// Interval of the check for reservations of hosts that are gone.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes and ends reservations on behalf of hosts that hold no tokens of a budget.
pub(crate) struct Responder {
    clock: Clock,
    escrow: Arc<Escrow>,
    view: Arc<View>,
    reservations: Mutex<Reservations<Reservation>>,
    /// Cancels the wait of a request for a refill. The wait is cancelled when the other host has
    /// given up or reserved tokens elsewhere, because the next row would otherwise cover a
    /// reservation that nobody uses.
    waiting: Mutex<HashMap<RequestId, CancellationToken>>,
    tasks: TaskTracker,
}

impl Responder {
    pub(crate) fn new(
        clock: Clock,
        escrow: Arc<Escrow>,
        view: Arc<View>,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            clock,
            escrow,
            view,
            reservations: Mutex::default(),
            waiting: Mutex::default(),
            tasks,
        }
    }

    /// Ends the reservations of hosts that are gone, until `stop`; then ends all. Their requests
    /// may have run, so they are billed in full.
    pub(crate) async fn run(self: Arc<Self>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                () = tokio::time::sleep(EXPIRE_INTERVAL) => {}
            }
            let expired = lock(&self.reservations).expire(self.clock.now());
            expired.into_iter().for_each(bill_in_full);
        }
        let open = lock(&self.reservations).close(self.clock.now());
        open.into_iter().for_each(bill_in_full);
    }

    /// Handles a message of another host; `answer` sends a body to its sender.
    pub(crate) fn answer<A, F>(self: Arc<Self>, message: Body, answer: A)
    where
        A: Fn(Body) -> F + Send + 'static,
        F: Future<Output = ()> + Send,
    {
        let body = match message {
            Body::Reserve(reserve) => return self.reserve(reserve, answer),
            Body::Release(release) => {
                if let Some(mut reservation) = self.end(&release.request) {
                    reservation.record_not_run();
                }
                Body::Reply(Reply::default())
            }
            Body::Settle(settle) => self.settle(settle),
            _ => return,
        };
        self.tasks.spawn(async move { answer(body).await });
    }

    fn reserve<A, F>(self: Arc<Self>, reserve: Reserve, answer: A)
    where
        A: Fn(Body) -> F + Send + 'static,
        F: Future<Output = ()> + Send,
    {
        let request: RequestId = reserve.request.as_str().into();
        let admission = {
            let mut reservations = lock(&self.reservations);
            match reservations.admit(self.clock.now(), &request) {
                // A planned stop accepts none: those still open at its end are billed in full.
                Admission::New if self.view.is_draining() => {
                    reservations.cancel(&request);
                    Admission::Refused
                }
                admission => admission,
            }
        };
        let tasks = self.tasks.clone();
        tasks.spawn(async move {
            match admission {
                Admission::New => self.make_reservation(reserve, answer).await,
                Admission::Waiting => answer(reply(0, wire::Refusal::Waiting)).await,
                Admission::Held => answer(reply(reserve.amount, wire::Refusal::None)).await,
                Admission::Refused => answer(reply(0, wire::Refusal::Unavailable)).await,
            }
        });
    }

    /// Makes the reservation of a new request and answers with the result.
    async fn make_reservation<A, F>(&self, reserve: Reserve, answer: A)
    where
        A: Fn(Body) -> F,
        F: Future<Output = ()>,
    {
        let spec = ReservationSpec {
            request: reserve.request.as_str().into(),
            workspace: reserve.workspace.into(),
            model: reserve.model.into(),
            // The sender settles with the sum.
            usage: Usage {
                prompt: reserve.amount,
                output: 0,
            },
        };
        let request = spec.request.clone();
        let deadline = self.clock.now() + REFILL_WAIT_LIMIT;
        let cancel = CancellationToken::new();
        lock(&self.waiting).insert(request.clone(), cancel.clone());
        let mut reserving = Box::pin(async {
            tokio::select! {
                reserved = self.escrow.reserve(spec, deadline) => reserved,
                () = cancel.cancelled() => Err(Refusal::TimedOut),
            }
        });
        let reserved = match tokio::time::timeout(NOTICE_DELAY, &mut reserving).await {
            Ok(reserved) => reserved,
            Err(_) => {
                answer(reply(0, wire::Refusal::Waiting)).await;
                reserving.await
            }
        };
        lock(&self.waiting).remove(&request);
        let refusal = match reserved {
            Ok(reservation) => {
                let held = lock(&self.reservations).hold(self.clock.now(), &request, reservation);
                match held {
                    Ok(()) => wire::Refusal::None,
                    // The sender has given up meanwhile; dropping the reservation releases it.
                    Err(_) => wire::Refusal::Unavailable,
                }
            }
            Err(refusal) => {
                lock(&self.reservations).cancel(&request);
                match refusal {
                    Refusal::Exhausted => wire::Refusal::Exhausted,
                    Refusal::Unreachable { .. } | Refusal::TimedOut | Refusal::Unanswered => {
                        wire::Refusal::Unavailable
                    }
                }
            }
        };
        let tokens = match refusal {
            wire::Refusal::None => reserve.amount,
            _ => 0,
        };
        answer(reply(tokens, refusal)).await;
    }

    fn settle(&self, settle: Settle) -> Body {
        let items = settle.items.into_iter().map(|item| {
            let Some(mut reservation) = self.end(&item.attempt) else {
                // Already billed, in full if its host counted as gone.
                return Billing::Refused.into();
            };
            reservation.record_sent(&item.upstream.into());
            reservation.set_used(item.tokens);
            Billing::Pending.into()
        });
        Body::Settled(Settled {
            items: items.collect(),
        })
    }

    /// Ends a request and returns its reservation, if it has one.
    fn end(&self, request: &str) -> Option<Reservation> {
        if let Some(cancel) = lock(&self.waiting).remove(request) {
            cancel.cancel();
        }
        lock(&self.reservations).end(self.clock.now(), &request.into())
    }
}

/// Bills all tokens of a reservation, because its request may have run.
fn bill_in_full(mut reservation: Reservation) {
    log::warn!(
        target: TOKENS,
        request:% = reservation.spec.request, tokens = reservation.spec.usage.total();
        "reservation for another host not settled; billed as a whole"
    );
    reservation.record_sent(&"".into());
}

fn reply(tokens: u64, refusal: wire::Refusal) -> Body {
    Body::Reply(Reply {
        tokens,
        refusal: refusal.into(),
    })
}
