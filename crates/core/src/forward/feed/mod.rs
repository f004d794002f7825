//! Reading of the list of upstreams by a few hosts for all others.
//!
//! In a large fleet every host belongs to a group within its availability zone, and [`reader`]
//! selects the host of the group that reads the list at the store. A [`Node`] is the part of one
//! host: a reader tells its followers what has changed in the content of entries, and a follower
//! decides when it follows the reader and when it reads the list itself.
//!
//! Only what a host has read at the store itself enters its log, so no fact is passed on twice.

mod cursor;
mod group;
mod log;
mod node;

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

pub use {
    cursor::{Fallback, Receipt},
    group::{Settings, reader},
    node::Node,
};

use {
    self::{cursor::Cursor, log::Log},
    super::{Registration, State},
    crate::{
        id::UpstreamId,
        wire::{Entry, Item},
    },
    std::time::Duration,
};

/// Position in the store's sequence of changes.
pub type Position = u64;

/// Time between two questions of a follower to its reader. Each answer confirms that the reader is
/// in touch with the store.
pub const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// Age of what a follower knows at which it reads the list itself. It covers three lost exchanges in
/// a row, and leaves a second of the shortest bound for a departure, 2,000 ms, for that read, which
/// may time out once (400 ms) and be repeated after a pause (150 ms).
pub const AGE_LIMIT: Duration = Duration::from_millis(1_000);
/// Age up to which an answer lets a host begin to follow. It is below [`AGE_LIMIT`], so that a host
/// does not alternate between both at a reader that is slow.
pub const JOIN_AGE_LIMIT: Duration = Duration::from_millis(500);
/// Longest time that the store waits for a change before it answers a reader. The age of what a
/// reader knows counts from its question, so it is up to twice this time.
pub const READER_WAIT: Duration = Duration::from_millis(200);

/// Time for which a host follows until it reads the whole list once, so that no difference from the
/// store lasts longer.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(120);

/// An update of the list: the entry of an upstream, or `None` when it has been removed.
pub type Update = (UpstreamId, Option<Registration>);

fn encode(id: &UpstreamId, entry: Option<&Registration>, cold_left: Duration) -> Item {
    let entry = entry.map(|entry| Entry {
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        region: entry.region.to_string(),
        zone: entry.zone.to_string(),
        slots: entry.slots,
        is_draining: entry.state == State::Draining,
        started_ms: entry.started_ms,
        cold_left_us: cold_left.as_micros() as u64,
    });
    let upstream = id.to_string();
    Item { upstream, entry }
}

/// Returns the update that an item states; `None` when it has no valid address.
fn decode(item: &Item) -> Option<Update> {
    let id = item.upstream.as_str().into();
    let Some(entry) = &item.entry else {
        return Some((id, None));
    };
    let entry = Registration {
        service: entry.service.as_str().into(),
        address: entry.address.parse().ok()?,
        region: entry.region.as_str().into(),
        zone: entry.zone.as_str().into(),
        slots: entry.slots,
        state: match entry.is_draining {
            true => State::Draining,
            false => State::Ready,
        },
        started_ms: entry.started_ms,
        cold_left: Duration::from_micros(entry.cold_left_us),
    };
    Some((id, Some(entry)))
}
