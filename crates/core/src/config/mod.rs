//! Configuration of the fleet.
//!
//! A [`Tree`] of settings in which each node inherits from its parents unless it overrides a
//! value. Operators submit a [`Change`], which is validated as a whole. Each accepted change is
//! one version of the log in the table service; a [`Log`] applies the versions on a host in
//! order. The tree of a version compiles into the [`Catalog`] that the request path looks up.

mod catalog;
mod change;
mod check;
mod compile;
mod log;
mod message;
mod overrides;
mod phase;
mod proposal;
mod record;
mod serve;
mod setting;
mod snapshot;
mod sync;
mod tree;
mod value;

#[cfg(test)]
mod tests;

pub(crate) use compile::served_names;
pub use {
    catalog::{
        Access, Catalog, Hosting, Limits, Placement, RunningPolicy, Service, State, Upstream,
        Workspace, hash_key,
    },
    change::{Change, Edit, Rejection},
    check::{
        CHANGE_LIMIT_BYTES, DEPTH_LIMIT, EDIT_LIMIT, Mistake, NAME_LIMIT_BYTES, NODE_LIMIT, Reason,
    },
    log::{Log, RECENT_LIMIT_BYTES, Settings},
    message::{Body, Copy, Fetch, Packet, Piece, Versions},
    overrides::Overrides,
    phase::NotReady,
    proposal::{Conflict, Proposal, Rebase, Refusal, Step, Submission},
    record::{HEAD_KEY, Head, LOG_PREFIX, Receipt, Record, log_key, request_key},
    setting::{Rule, Setting},
    snapshot::{Pointer, SNAPSHOT_KEY, TRIM_LIMIT_ROWS},
    sync::{Action, Read, Role},
    tree::{
        Difference, Effective, Explanation, Kind, Node, Path, ROOT, Source, Tree, name, parent,
    },
    value::{Unit, Value},
};
