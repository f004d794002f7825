//! Membership of hosts, and health of upstreams.
//!
//! Every host has a [`View`]. Each second it exchanges [`Gossip`] with one peer of its own
//! availability zone and one elsewhere. A message carries the version of the sender's
//! configuration and the marks that the sender learned recently; now and then a digest of
//! everything it knows, so that a peer can repair what was lost.

mod census;
mod health;
mod held;
mod mark;
mod member;
mod probe;
mod queue;
mod rank;
mod repair;
mod roster;
mod round;
mod view;

#[cfg(test)]
mod tests;

pub use {
    census::Census,
    health::{Observation, Status},
    mark::{Applied, Evidence, Fact, Gossip, Held, HostMark, Kind, Mark, Phase, Report, Suspicion},
    member::Member,
    rank::{WeightedHost, ZonedHost, rank, rank_across_zones, weighted_score},
    roster::{Host, ListedHost, Listing, Progress},
    view::{Settings, View},
};
