//! Membership of hosts, and health of upstreams.
//!
//! Every host has a [`View`] of the fleet. Once a second it exchanges [`Gossip`] with one random
//! peer of its own availability zone and one of another zone. A message contains the sender's
//! configuration version and the marks, versioned facts about hosts and upstreams, that the sender
//! learned recently. Every ten seconds it also contains a digest of the marks that the sender
//! knows, so that the peer can send those that were lost.

mod census;
mod health;
mod held;
mod mark;
mod member;
mod peer;
mod probe;
mod queue;
mod rank;
mod repair;
mod round;
mod view;

#[cfg(test)]
mod tests;

pub use {
    census::Census,
    health::{Observation, Status},
    mark::{Applied, Evidence, Fact, Gossip, Held, HostMark, Kind, Mark, Phase, Report, Suspicion},
    member::Member,
    peer::{Host, ListedHost, Listing, Progress},
    rank::{WeightedHost, ZonedHost, rank, rank_across_zones, weighted_score},
    view::{Settings, View},
};
