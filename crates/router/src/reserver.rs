//! Reservations of tokens at the holders of a budget, on this host or on others.

use {
    crate::{
        control::Control,
        dispatch::Dispatcher,
        escrow::{Escrow, Refusal, ReservationSpec, Settlement},
        logs::TOKENS,
        outbox::Outbox,
        peer::{Links, Service, Unanswered},
        settings::Settings,
    },
    marigoldroute_core::{
        budget::Usage,
        fault::{Fault, Kind},
        id::{BudgetId, HostId, Region, RequestId, Tokens, Zone},
        wire::{self, Announce, Body, Counted, Lower, Release, Reply, Reserve, Settle, Settled},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio_util::task::TaskTracker,
};

/// Attempts to deliver a release to a holder on another host; after the last one the holder asks
/// the upstreams for the outcome.
const DELIVERY_ATTEMPTS: u32 = 5;
/// Delay before the second delivery attempt; it doubles with each attempt.
const DELIVERY_PAUSE: Duration = Duration::from_millis(100);

/// Hosts in each region, ranked just below the holders, that are asked when a holder could not
/// answer.
const SPARE_HOLDERS: usize = 2;

/// Reserves tokens at holders.
pub(crate) struct Reserver {
    own: HostId,
    region: Region,
    zone: Zone,
    per_region: usize,
    /// Timeout of a reservation at another host, which may wait for a refill.
    reserve_timeout: Duration,
    escrow: Escrow,
    links: Arc<Links>,
    control: Control,
    outbox: Outbox,
    tasks: TaskTracker,
}

/// Tokens reserved at a holder for one attempt of a request.
pub(crate) struct Reservation {
    reserver: Arc<Reserver>,
    location: Location,
    attempt: RequestId,
    budget: BudgetId,
    /// Tokens reserved; not updated when the reservation is lowered.
    amount: Tokens,
    /// Whether the request was announced, so that the holder may bill it without a settlement.
    is_announced: bool,
}

/// Role of a host for a budget; hosts are asked in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    /// A holder in the region of this host.
    SameRegion,
    /// A holder in another region.
    OtherRegion,
    /// A host that ranks just below the holders; asked only when a holder could not answer.
    Spare,
}

/// Holder that keeps a reservation: this host, or another one with its address.
#[derive(Clone, Debug)]
enum Location {
    Local,
    Remote(HostId, SocketAddr),
}

impl Reserver {
    pub(crate) fn new(
        settings: &Settings,
        escrow: Escrow,
        links: Arc<Links>,
        control: Control,
        outbox: Outbox,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            own: settings.host.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            per_region: settings.holders_per_region,
            reserve_timeout: settings.reserve_timeout + settings.peer_timeout,
            escrow,
            links,
            control,
            outbox,
            tasks,
        }
    }

    /// Reserves tokens at the first holder that has the whole amount. If none has, reserves what is
    /// left at the first holder with at least `least` tokens.
    ///
    /// # Errors
    /// [`Kind::BudgetExhausted`] if a holder answered that it lacks the tokens,
    /// [`Kind::BudgetUnavailable`] if no holder answered.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        spec: &ReservationSpec,
        least: Tokens,
    ) -> Result<Reservation, Fault> {
        let locations = self.locations(&spec.budget);
        let exhausted = match self.reserve_at_first(locations, spec).await {
            Ok(reservation) => return Ok(reservation),
            Err(exhausted) => exhausted,
        };
        let is_exhausted = !exhausted.is_empty();
        if least < spec.amount {
            let part = ReservationSpec {
                least,
                ..spec.clone()
            };
            // Asks only holders that answered: a late release for one that did not would end the
            // new reservation of the same attempt.
            if let Ok(reservation) = self.reserve_at_first(exhausted, &part).await {
                return Ok(reservation);
            }
        }
        let ReservationSpec {
            attempt,
            budget,
            amount,
            ..
        } = spec;
        log::info!(target: TOKENS, attempt:%, budget:%, amount, exhausted = is_exhausted; "reservation refused");
        Err(if is_exhausted {
            Fault::new(
                Kind::BudgetExhausted,
                "the rest of the budget does not cover the request",
            )
        } else {
            Fault::new(Kind::BudgetUnavailable, "no holder of the budget answered")
        })
    }

    /// Reserves at the first location that has the tokens; otherwise returns the locations that
    /// answered that they lack them.
    async fn reserve_at_first(
        self: &Arc<Self>,
        locations: Vec<(Role, Location)>,
        spec: &ReservationSpec,
    ) -> Result<Reservation, Vec<(Role, Location)>> {
        let (mut exhausted, mut unavailable) = (Vec::new(), false);
        for (role, location) in locations {
            if role == Role::Spare && !unavailable {
                continue;
            }
            let reserved = match &location {
                Location::Local => self.escrow.reserve(spec.clone()).await,
                Location::Remote(host, address) => self.reserve_remote(host, *address, spec).await,
            };
            match reserved {
                Ok(amount) => {
                    return Ok(Reservation {
                        reserver: self.clone(),
                        location,
                        attempt: spec.attempt.clone(),
                        budget: spec.budget.clone(),
                        amount,
                        is_announced: false,
                    });
                }
                Err(Refusal::Exhausted) => exhausted.push((role, location)),
                Err(Refusal::Unavailable) => unavailable = true,
            }
        }
        Err(exhausted)
    }

    async fn reserve_remote(
        &self,
        host: &HostId,
        address: SocketAddr,
        spec: &ReservationSpec,
    ) -> Result<Tokens, Refusal> {
        let reserve = Reserve {
            request: spec.attempt.to_string(),
            budget: spec.budget.to_string(),
            amount: spec.amount,
            workspace: spec.workspace.to_string(),
            model: spec.model.to_string(),
            least: match spec.least < spec.amount {
                true => spec.least,
                false => 0,
            },
        };
        let call =
            self.links
                .call_within(host, address, Body::Reserve(reserve), self.reserve_timeout);
        match call.await {
            Ok(Body::Reply(reply)) => match reply.refusal() {
                wire::Refusal::None => Ok(reply.tokens),
                wire::Refusal::Exhausted => Err(Refusal::Exhausted),
                _ => Err(Refusal::Unavailable),
            },
            Ok(_) => Err(Refusal::Unavailable),
            Err(Unanswered) => {
                let request = spec.attempt.to_string();
                self.deliver(host.clone(), address, Body::Release(Release { request }));
                Err(Refusal::Unavailable)
            }
        }
    }

    /// Returns the holders of a budget in the order in which they are asked.
    ///
    /// Holders in other availability zones come first, then those on other hosts, then this host:
    /// as long as entry and holder are not lost together, no bill is lost. Hosts that rank just
    /// below the holders follow as spares: they were holders before other hosts joined and may
    /// still have tokens, while a new holder has none until it reaches the store.
    fn locations(&self, budget: &str) -> Vec<(Role, Location)> {
        let snapshot = self.control.snapshot();
        let count = snapshot.holders_per_region(self.per_region);
        let holders = snapshot.holders(budget, &self.region, count + SPARE_HOLDERS);
        let mut locations: Vec<_> = holders
            .into_iter()
            .map(|holder| {
                let role = match (holder.rank < count, holder.is_near) {
                    (true, true) => Role::SameRegion,
                    (true, false) => Role::OtherRegion,
                    (false, _) => Role::Spare,
                };
                let location = match *holder.host == self.own {
                    true => Location::Local,
                    false => Location::Remote(holder.host.clone(), holder.address),
                };
                (role, holder.nearness(&self.own, &self.zone), location)
            })
            .collect();
        locations.sort_by_key(|(role, nearness, _)| (*role, *nearness));
        let locations = locations.into_iter();
        locations
            .map(|(role, _, location)| (role, location))
            .collect()
    }

    /// Sends a message in the background until the holder acknowledges it, at most
    /// [`DELIVERY_ATTEMPTS`] times.
    fn deliver(&self, host: HostId, address: SocketAddr, body: Body) {
        let links = self.links.clone();
        self.tasks.spawn(async move {
            let mut pause = DELIVERY_PAUSE;
            for _ in 0..DELIVERY_ATTEMPTS {
                if links.call(&host, address, body.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            log::warn!(target: TOKENS, host:%; "release not delivered");
        });
    }
}

impl Reservation {
    /// Returns the tokens that were reserved, before any lowering.
    pub(crate) fn amount(&self) -> Tokens {
        self.amount
    }

    /// Lowers the reservation to `amount` tokens.
    pub(crate) async fn lower(&self, amount: Tokens) {
        let request = self.attempt.to_string();
        match &self.location {
            Location::Local => {
                let attempt = self.attempt.clone();
                self.reserver.escrow.lower(attempt, amount).await;
            }
            Location::Remote(host, address) => {
                let body = Body::Lower(Lower { request, amount });
                let (links, host, address) = (self.reserver.links.clone(), host.clone(), *address);
                // A lost message only keeps tokens reserved until settlement.
                let call = async move { drop(links.call(&host, address, body).await) };
                self.reserver.tasks.spawn(call);
            }
        }
    }

    /// Queues the settlement that bills the usage and ends the reservation.
    pub(crate) async fn settle(self, usage: Usage) {
        let item = Settlement {
            attempt: self.attempt,
            budget: self.budget,
            usage,
        };
        let host = match self.location {
            Location::Local => self.reserver.own.clone(),
            Location::Remote(host, _) => host,
        };
        self.reserver.outbox.push(item, host).await;
    }

    /// Announces to the holder that a plain service, which keeps no usage records, is about to
    /// receive the request. Without the announcement the holder assumes that it was not sent.
    ///
    /// # Errors
    /// [`Kind::BudgetUnavailable`] when the holder does not confirm it; the request must not be
    /// sent.
    pub(crate) async fn announce(&mut self) -> Result<(), Fault> {
        self.is_announced = true;
        let is_open = match &self.location {
            Location::Local => self.reserver.escrow.announce(self.attempt.clone()).await,
            Location::Remote(host, address) => {
                let request = self.attempt.to_string();
                let body = Body::Announce(Announce { request });
                let answer = self.reserver.links.call(host, *address, body).await;
                let is_confirmed = |reply: &Reply| matches!(reply.refusal(), wire::Refusal::None);
                matches!(answer, Ok(Body::Reply(reply)) if is_confirmed(&reply))
            }
        };
        match is_open {
            true => Ok(()),
            false => {
                log::info!(target: TOKENS, attempt:% = self.attempt; "announcement not confirmed");
                let message = "the holder of the budget did not confirm the reservation";
                Err(Fault::new(Kind::BudgetUnavailable, message))
            }
        }
    }

    /// Ends the reservation of a request that did not run. Returns `false` if the holder may still
    /// bill the request, because it was announced and the release was not acknowledged.
    pub(crate) async fn release(self) -> bool {
        let Location::Remote(host, address) = self.location else {
            self.reserver.escrow.release(self.attempt).await;
            return true;
        };
        let request = self.attempt.to_string();
        let body = Body::Release(Release { request });
        if !self.is_announced {
            self.reserver.deliver(host, address, body);
            return true;
        }
        let links = &self.reserver.links;
        let is_released = links.call(&host, address, body.clone()).await.is_ok();
        if !is_released {
            self.reserver.deliver(host, address, body);
        }
        is_released
    }
}

/// Answers the calls of other hosts: reservations and settlements of budgets that this host holds,
/// gossip and configuration, counts of running requests.
pub(crate) struct Responder {
    pub(crate) escrow: Escrow,
    pub(crate) control: Control,
    pub(crate) dispatcher: Arc<Dispatcher>,
}

impl Service for Responder {
    async fn answer(&self, from: HostId, body: Body) -> Option<Body> {
        let reply = match body {
            Body::Reserve(reserve) => self.reserve(reserve).await,
            Body::Lower(lower) => {
                self.escrow.lower(lower.request.into(), lower.amount).await;
                Reply::default()
            }
            Body::Settle(settle) => return self.settle(settle).await,
            Body::Release(release) => {
                self.escrow.release(release.request.into()).await;
                Reply::default()
            }
            Body::Announce(announce) => match self.escrow.announce(announce.request.into()).await {
                true => Reply::default(),
                false => refusal_reply(wire::Refusal::Unavailable),
            },
            Body::Gossip(_) | Body::Config(_) => return self.control.message(from, body).await,
            Body::Review(review) => {
                self.escrow.review(review.budget.into()).await;
                Reply::default()
            }
            Body::Count(_) => return Some(Body::Counted(self.count())),
            // Only the gateway uses pending prompts and rates.
            Body::Pending(_)
            | Body::Choose(_)
            | Body::Chosen(_)
            | Body::Outcomes(_)
            | Body::Acquire(_)
            | Body::Acquired(_)
            | Body::Rates(_)
            | Body::Parts(_)
            | Body::Follow(_)
            | Body::News(_) => {
                return None;
            }
            Body::Reply(_) | Body::Settled(_) | Body::Counted(_) => return None,
        };
        Some(Body::Reply(reply))
    }
}

impl Responder {
    fn count(&self) -> Counted {
        let snapshot = self.control.snapshot();
        Counted {
            version: snapshot.catalog.version,
            running: self.dispatcher.count_withdrawn(&snapshot.catalog),
        }
    }

    async fn reserve(&self, reserve: Reserve) -> Reply {
        let spec = ReservationSpec {
            attempt: reserve.request.into(),
            budget: reserve.budget.into(),
            amount: reserve.amount,
            least: match reserve.least {
                0 => reserve.amount,
                least => least,
            },
            workspace: reserve.workspace.into(),
            model: reserve.model.into(),
        };
        match self.escrow.reserve(spec).await {
            Ok(tokens) => Reply { tokens, refusal: 0 },
            Err(refusal) => refusal_reply(match refusal {
                Refusal::Exhausted => wire::Refusal::Exhausted,
                Refusal::Unavailable => wire::Refusal::Unavailable,
            }),
        }
    }

    async fn settle(&self, settle: Settle) -> Option<Body> {
        let items = settle.items.into_iter().map(|item| Settlement {
            attempt: item.attempt.into(),
            budget: item.budget.into(),
            usage: Usage {
                workspace: item.workspace.into(),
                model: item.model.into(),
                upstream: item.upstream.into(),
                tokens: item.tokens,
            },
        });
        let settled = self.escrow.settle(items.collect()).await?;
        let items = settled.into_iter().map(Into::into).collect();
        Some(Body::Settled(Settled { items }))
    }
}

fn refusal_reply(refusal: wire::Refusal) -> Reply {
    Reply {
        tokens: 0,
        refusal: refusal.into(),
    }
}
