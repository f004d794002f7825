//! Baseline policies, which use only this host's own requests in flight.

use {
    super::{
        Candidate, Choice, Full, Origin, Policy, PolicyName, Progress, Reason, Request, Ticket,
        choice::Phase, registry::Registry,
    },
    rand::{Rng, RngCore},
    std::{mem::size_of, time::Duration},
};

/// This host's requests in flight at each candidate.
#[derive(Debug)]
struct Counts {
    registry: Registry<u32>,
}

impl Counts {
    fn new(origin: Origin, capacity: usize) -> Self {
        Self {
            registry: Registry::new(origin, capacity),
        }
    }

    /// Returns the slots of the candidates that the request allows.
    fn allowed(&self, request: &Request<'_>) -> Vec<u32> {
        let Some(list) = self.registry.list(request.target) else {
            return Vec::new();
        };
        let allows = |index: &u32| {
            let slot = self.registry.slot(*index);
            slot.is_some_and(|slot| (request.allows)(&slot.candidate.id))
        };
        list.all().filter(allows).collect()
    }

    fn in_flight(&self, index: u32) -> u32 {
        self.registry.slot(index).map_or(0, |slot| slot.state)
    }

    fn choice(
        &self,
        now: Duration,
        index: u32,
        considered: usize,
        reason: Reason,
    ) -> Option<Choice> {
        let slot = self.registry.slot(index)?;
        Some(Choice {
            upstream: slot.candidate.id.clone(),
            known: considered,
            considered,
            reason,
            ticket: Ticket::without_estimate(now, index, slot.generation),
        })
    }

    fn report(&mut self, ticket: &mut Ticket, progress: &Progress<'_>) {
        let Some((from, to)) = ticket.advance(progress) else {
            return;
        };
        let Some(slot) = self.registry.current(ticket.slot, ticket.generation) else {
            return;
        };
        match (from, to) {
            (Phase::Chosen, Phase::Sent) => slot.state += 1,
            (Phase::Sent | Phase::Answered, Phase::Ended) => slot.state -= 1,
            _ => {}
        }
    }
}

/// Defines a policy on [`Counts`] with a function that chooses.
macro_rules! baseline {
    ($(#[$doc:meta])* $name:ident, $choose:expr) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name {
            counts: Counts,
        }

        impl $name {
            /// Creates a policy with at most `capacity` candidates.
            pub fn new(origin: Origin, capacity: usize) -> Self {
                Self {
                    counts: Counts::new(origin, capacity),
                }
            }
        }

        impl Policy for $name {
            fn name(&self) -> PolicyName {
                PolicyName::$name
            }

            fn join(&mut self, _now: Duration, candidate: &Candidate) -> Result<(), Full> {
                self.counts.registry.join(candidate)
            }

            fn withdraw(&mut self, upstream: &str) {
                self.counts.registry.withdraw(upstream);
            }

            fn choose(
                &mut self,
                now: Duration,
                random: &mut dyn RngCore,
                request: &Request<'_>,
            ) -> Option<Choice> {
                $choose(&mut self.counts, now, random, request)
            }

            fn report(&mut self, _now: Duration, ticket: &mut Ticket, progress: Progress<'_>) {
                self.counts.report(ticket, &progress);
            }

            fn memory_bytes(&self) -> usize {
                size_of::<Self>() + self.counts.registry.memory_bytes()
            }
        }
    };
}

baseline! {
    /// Chooses the candidates in round-robin order.
    RoundRobin, choose_next
}

baseline! {
    /// Chooses the candidate with the fewest of this host's requests in flight, and breaks ties at
    /// random.
    LeastInFlight, choose_fewest
}

baseline! {
    /// Chooses, of two random candidates, the one with fewer of this host's requests in flight.
    TwoChoices, choose_of_two
}

fn choose_next(
    counts: &mut Counts,
    now: Duration,
    _random: &mut dyn RngCore,
    request: &Request<'_>,
) -> Option<Choice> {
    let allowed = counts.allowed(request);
    if allowed.is_empty() {
        return None;
    }
    let list = counts.registry.list_mut(request.target)?;
    let index = allowed[list.next_turn % allowed.len()];
    list.next_turn = list.next_turn.wrapping_add(1);
    counts.choice(now, index, allowed.len(), Reason::Turn)
}

fn choose_fewest(
    counts: &mut Counts,
    now: Duration,
    random: &mut dyn RngCore,
    request: &Request<'_>,
) -> Option<Choice> {
    let allowed = counts.allowed(request);
    let offset = random.random_range(0..allowed.len().max(1));
    let rotated = allowed.iter().cycle().skip(offset).take(allowed.len());
    let index = *rotated.min_by_key(|index| counts.in_flight(**index))?;
    let in_flight = counts.in_flight(index);
    counts.choice(now, index, allowed.len(), Reason::Fewest { in_flight })
}

fn choose_of_two(
    counts: &mut Counts,
    now: Duration,
    random: &mut dyn RngCore,
    request: &Request<'_>,
) -> Option<Choice> {
    let allowed = counts.allowed(request);
    if allowed.is_empty() {
        return None;
    }
    let first = random.random_range(0..allowed.len());
    let offset = random.random_range(0..allowed.len().max(2) - 1) + 1;
    let second = (first + offset) % allowed.len();
    let better = |a: u32, b: u32| {
        if counts.in_flight(b) < counts.in_flight(a) {
            b
        } else {
            a
        }
    };
    let index = better(allowed[first], allowed[second]);
    let in_flight = counts.in_flight(index);
    counts.choice(
        now,
        index,
        2.min(allowed.len()),
        Reason::Fewest { in_flight },
    )
}
