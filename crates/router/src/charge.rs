//! Reservations at the holders of a budget, on this host or on others.

use {
    crate::{
        directory::Hosts,
        escrow::{Escrow, Refusal},
        logs::TOKENS,
        peer::{Links, Lost, Service},
        settings::Settings,
    },
    marigoldroute_core::{
        budget::Usage,
        config::Access,
        fault::{Fault, Kind},
        id::{BudgetId, HostId, ModelId, Region, RequestId, Tokens},
        wire::{self, Body, Lower, Release, Reply, Reserve, Settle},
    },
    std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
    tokio_util::task::TaskTracker,
    xxhash_rust::xxh3::xxh3_64,
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
    escrow: Escrow,
    links: Arc<Links>,
    hosts: watch::Receiver<Arc<Hosts>>,
    tasks: TaskTracker,
}

/// A reservation of one request.
pub(crate) struct Charge {
    charger: Arc<Charger>,
    place: Place,
    request: RequestId,
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
        hosts: watch::Receiver<Arc<Hosts>>,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            own: settings.host.clone(),
            region: settings.region.clone(),
            per_region: settings.holders_per_region,
            escrow,
            links,
            hosts,
            tasks,
        }
    }

    /// Reserves tokens at the first holder that covers them.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        request: &RequestId,
        access: &Access,
        model: &ModelId,
        amount: Tokens,
    ) -> Result<Charge, Fault> {
        let mut exhausted = false;
        for place in self.places(&access.budget) {
            let reserved = match &place {
                Place::Here => self.reserve_here(request, &access.budget, amount).await,
                Place::Peer(host, address) => {
                    let reserve = Reserve {
                        request: request.to_string(),
                        budget: access.budget.to_string(),
                        amount,
                        workspace: access.workspace.to_string(),
                        model: model.to_string(),
                    };
                    self.reserve_at(host, *address, reserve).await
                }
            };
            match reserved {
                Ok(()) => {
                    return Ok(Charge {
                        charger: self.clone(),
                        place,
                        request: request.clone(),
                    });
                }
                Err(refusal) => exhausted |= refusal == Refusal::Exhausted,
            }
        }
        log::info!(target: TOKENS, request:%, budget:% = access.budget, amount, exhausted; "reservation refused");
        Err(if exhausted {
            Fault::new(
                Kind::BudgetExhausted,
                "the rest of the budget does not cover the request",
            )
        } else {
            Fault::new(Kind::BudgetUnavailable, "no holder of the budget answered")
        })
    }

    async fn reserve_here(
        &self,
        request: &RequestId,
        budget: &BudgetId,
        amount: Tokens,
    ) -> Result<(), Refusal> {
        let reserved = self.escrow.reserve(request.clone(), budget.clone(), amount);
        reserved.await.map(drop)
    }

    async fn reserve_at(
        &self,
        host: &HostId,
        address: SocketAddr,
        reserve: Reserve,
    ) -> Result<(), Refusal> {
        let request = reserve.request.clone();
        match self.links.call(host, address, Body::Reserve(reserve)).await {
            Ok(Body::Reply(reply)) => match reply.refusal() {
                wire::Refusal::None => Ok(()),
                wire::Refusal::Exhausted => Err(Refusal::Exhausted),
                _ => Err(Refusal::Unavailable),
            },
            Ok(_) => Err(Refusal::Unavailable),
            Err(Lost) => {
                self.deliver(host.clone(), address, Body::Release(Release { request }));
                Err(Refusal::Unavailable)
            }
        }
    }

    /// Returns the holders of a budget: those of the own region, then those of the others.
    fn places(&self, budget: &str) -> Vec<Place> {
        let hosts = self.hosts.borrow().clone();
        let mut ranked: Vec<_> = hosts
            .iter()
            .map(|(name, host)| {
                (
                    Reverse(xxh3_64(format!("{budget} {name}").as_bytes())),
                    name,
                    host,
                )
            })
            .collect();
        ranked.sort_by_key(|(rank, ..)| *rank);
        let own = ranked
            .iter()
            .filter(|(_, _, host)| host.region == self.region);
        let others = ranked
            .iter()
            .filter(|(_, _, host)| host.region != self.region);
        let chosen = own
            .take(self.per_region)
            .chain(others.take(self.per_region));
        chosen
            .map(|(_, name, host)| match **name == self.own {
                true => Place::Here,
                false => Place::Peer((*name).clone(), host.peers),
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
        let request = self.request.to_string();
        match &self.place {
            Place::Here => {
                self.charger
                    .escrow
                    .lower(self.request.clone(), amount)
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
            Place::Here => drop(self.charger.escrow.settle(self.request, usage).await),
            Place::Peer(host, address) => {
                let body = Body::Settle(Settle {
                    request: self.request.to_string(),
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
            Place::Here => self.charger.escrow.release(self.request).await,
            Place::Peer(host, address) => {
                let request = self.request.to_string();
                let body = Body::Release(Release { request });
                self.charger.deliver(host, address, body);
            }
        }
    }
}

/// Answers other hosts' calls for the budgets that this host holds.
pub(crate) struct Responder(pub(crate) Escrow);

impl Service for Responder {
    async fn answer(&self, _from: HostId, body: Body) -> Option<Body> {
        let reply = match body {
            Body::Reserve(reserve) => self.reserve(reserve).await,
            Body::Lower(lower) => {
                self.0.lower(lower.request.into(), lower.amount).await;
                Reply::default()
            }
            Body::Settle(settle) => self.settle(settle).await,
            Body::Release(release) => {
                self.0.release(release.request.into()).await;
                Reply::default()
            }
            Body::Reply(_) | Body::Gossip(_) | Body::Config(_) => return None,
        };
        Some(Body::Reply(reply))
    }
}

impl Responder {
    async fn reserve(&self, reserve: Reserve) -> Reply {
        let Reserve {
            request,
            budget,
            amount,
            ..
        } = reserve;
        match self.0.reserve(request.into(), budget.into(), amount).await {
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
        match self.0.settle(settle.request.into(), usage).await {
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
