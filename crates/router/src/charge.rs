//! Reservations at the holders of a budget, on this host or on others.

use {
    crate::{
        control::Control,
        escrow::{Escrow, Refusal, Reservation},
        logs::TOKENS,
        peer::{Links, Lost, Service},
        settings::Settings,
    },
    marigoldroute_core::{
        budget::Usage,
        fault::{Fault, Kind},
        id::{HostId, Region, RequestId, Tokens},
        wire::{self, Body, Lower, Release, Reply, Reserve, Settle},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio_util::task::TaskTracker,
};

/// Attempts to deliver a settlement or release to a holder on another host; after the last one
/// the holder finds out from the upstream's usage record.
const DELIVERY_ATTEMPTS: u32 = 12;
/// Pause before the second delivery attempt; it doubles each time.
const DELIVERY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between delivery attempts.
const DELIVERY_PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// Makes reservations.
pub(crate) struct Charger {
    own: HostId,
    region: Region,
    per_region: usize,
    /// Bound on a reservation at another host, which may wait for a refill.
    reserve_limit: Duration,
    escrow: Escrow,
    links: Arc<Links>,
    control: Control,
    tasks: TaskTracker,
}

/// A reservation of one request.
pub(crate) struct Charge {
    charger: Arc<Charger>,
    place: Place,
    attempt: RequestId,
}

/// Where a reservation is held.
#[derive(Clone, Debug)]
enum Place {
    Here,
    Peer(HostId, SocketAddr),
}

impl Charger {
    pub(crate) fn new(
        settings: &Settings,
        escrow: Escrow,
        links: Arc<Links>,
        control: Control,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            own: settings.host.clone(),
            region: settings.region.clone(),
            per_region: settings.holders_per_region,
            reserve_limit: settings.reserve_timeout + settings.peer_timeout,
            escrow,
            links,
            control,
            tasks,
        }
    }

    /// Reserves tokens at the first holder that covers them.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        reservation: &Reservation,
    ) -> Result<Charge, Fault> {
        let mut exhausted = false;
        for place in self.places(&reservation.budget) {
            let reserved = match &place {
                Place::Here => self.escrow.reserve(reservation.clone()).await.map(drop),
                Place::Peer(host, address) => self.reserve_at(host, *address, reservation).await,
            };
            match reserved {
                Ok(()) => {
                    return Ok(Charge {
                        charger: self.clone(),
                        place,
                        attempt: reservation.attempt.clone(),
                    });
                }
                Err(refusal) => exhausted |= refusal == Refusal::Exhausted,
            }
        }
        let Reservation {
            attempt,
            budget,
            amount,
            ..
        } = reservation;
        log::info!(target: TOKENS, attempt:%, budget:%, amount, exhausted; "reservation refused");
        Err(if exhausted {
            Fault::new(
                Kind::BudgetExhausted,
                "the rest of the budget does not cover the request",
            )
        } else {
            Fault::new(Kind::BudgetUnavailable, "no holder of the budget answered")
        })
    }

    async fn reserve_at(
        &self,
        host: &HostId,
        address: SocketAddr,
        reservation: &Reservation,
    ) -> Result<(), Refusal> {
        let reserve = Reserve {
            request: reservation.attempt.to_string(),
            budget: reservation.budget.to_string(),
            amount: reservation.amount,
            workspace: reservation.workspace.to_string(),
            model: reservation.model.to_string(),
        };
        let call =
            self.links
                .call_within(host, address, Body::Reserve(reserve), self.reserve_limit);
        match call.await {
            Ok(Body::Reply(reply)) => match reply.refusal() {
                wire::Refusal::None => Ok(()),
                wire::Refusal::Exhausted => Err(Refusal::Exhausted),
                _ => Err(Refusal::Unavailable),
            },
            Ok(_) => Err(Refusal::Unavailable),
            Err(Lost) => {
                let request = reservation.attempt.to_string();
                self.deliver(host.clone(), address, Body::Release(Release { request }));
                Err(Refusal::Unavailable)
            }
        }
    }

    /// Returns the holders of a budget: those of the own region, then those of the others.
    fn places(&self, budget: &str) -> Vec<Place> {
        let scene = self.control.scene();
        let count = scene.catalog.limits.holders;
        let count = count.map_or(self.per_region, |count| count as usize);
        let holders = scene.holders(budget, &self.region, count).into_iter();
        holders
            .map(|(host, address)| match **host == *self.own {
                true => Place::Here,
                false => Place::Peer(host.clone(), address),
            })
            .collect()
    }

    /// Delivers a message until the holder acknowledges it.
    fn deliver(&self, host: HostId, address: SocketAddr, body: Body) {
        let links = self.links.clone();
        self.tasks.spawn(async move {
            let mut pause = DELIVERY_PAUSE;
            for _ in 0..DELIVERY_ATTEMPTS {
                if links.call(&host, address, body.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(DELIVERY_PAUSE_LIMIT);
            }
            log::warn!(target: TOKENS, host:%; "settlement not delivered");
        });
    }
}

impl Charge {
    /// Lowers the reservation.
    pub(crate) async fn lower(&self, amount: Tokens) {
        let request = self.attempt.to_string();
        match &self.place {
            Place::Here => {
                self.charger
                    .escrow
                    .lower(self.attempt.clone(), amount)
                    .await;
            }
            Place::Peer(host, address) => {
                let body = Body::Lower(Lower { request, amount });
                // A lost message only keeps tokens reserved until settlement.
                let _ = self.charger.links.call(host, *address, body).await;
            }
        }
    }

    /// Bills the usage and ends the reservation.
    pub(crate) async fn settle(self, usage: Usage) {
        match self.place {
            Place::Here => drop(self.charger.escrow.settle(self.attempt, usage).await),
            Place::Peer(host, address) => {
                let body = Body::Settle(Settle {
                    request: self.attempt.to_string(),
                    workspace: usage.workspace.to_string(),
                    model: usage.model.to_string(),
                    upstream: usage.upstream.to_string(),
                    tokens: usage.tokens,
                });
                self.charger.deliver(host, address, body);
            }
        }
    }

    /// Ends the reservation of a request that did not run.
    pub(crate) async fn release(self) {
        match self.place {
            Place::Here => self.charger.escrow.release(self.attempt).await,
            Place::Peer(host, address) => {
                let request = self.attempt.to_string();
                let body = Body::Release(Release { request });
                self.charger.deliver(host, address, body);
            }
        }
    }
}

/// Answers other hosts' calls for the budgets that this host holds.
pub(crate) struct Responder {
    pub(crate) escrow: Escrow,
    pub(crate) control: Control,
}

impl Service for Responder {
    async fn answer(&self, from: HostId, body: Body) -> Option<Body> {
        let reply = match body {
            Body::Reserve(reserve) => self.reserve(reserve).await,
            Body::Lower(lower) => {
                self.escrow.lower(lower.request.into(), lower.amount).await;
                Reply::default()
            }
            Body::Settle(settle) => self.settle(settle).await,
            Body::Release(release) => {
                self.escrow.release(release.request.into()).await;
                Reply::default()
            }
            Body::Gossip(_) | Body::Config(_) => return self.control.message(from, body).await,
            Body::Reply(_) => return None,
        };
        Some(Body::Reply(reply))
    }
}

impl Responder {
    async fn reserve(&self, reserve: Reserve) -> Reply {
        let reservation = Reservation {
            attempt: reserve.request.into(),
            budget: reserve.budget.into(),
            amount: reserve.amount,
            workspace: reserve.workspace.into(),
            model: reserve.model.into(),
        };
        match self.escrow.reserve(reservation).await {
            Ok(tokens) => Reply { tokens, refusal: 0 },
            Err(refusal) => refused(match refusal {
                Refusal::Exhausted => wire::Refusal::Exhausted,
                Refusal::Unavailable => wire::Refusal::Unavailable,
            }),
        }
    }

    async fn settle(&self, settle: Settle) -> Reply {
        let usage = Usage {
            workspace: settle.workspace.into(),
            model: settle.model.into(),
            upstream: settle.upstream.into(),
            tokens: settle.tokens,
        };
        match self.escrow.settle(settle.request.into(), usage).await {
            Some(bill) => Reply {
                tokens: bill.charged,
                refusal: 0,
            },
            None => refused(wire::Refusal::Unknown),
        }
    }
}

fn refused(refusal: wire::Refusal) -> Reply {
    Reply {
        tokens: 0,
        refusal: refusal.into(),
    }
}
