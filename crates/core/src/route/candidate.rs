//! Upstreams and their reports, as the policies receive them.

use crate::id::{HostId, ModelId, Region, UpstreamId, Zone};

/// Number of priority classes; class 0 is served first, and higher priorities count as the last
/// class.
pub const PRIORITY_CLASSES: usize = 3;

/// The host that chooses upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Id of the host, which determines the subset of candidates that it considers.
    pub host: HostId,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
}

/// An upstream in service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Models and services that it serves.
    pub serves: Vec<ModelId>,
    /// Region that the upstream runs in.
    pub region: Region,
    /// Availability zone that the upstream runs in.
    pub zone: Zone,
}

/// A load report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait to enter the batch, by priority class.
    pub waiting: [u32; PRIORITY_CLASSES],
    /// Prompt tokens that are not yet processed, by priority class.
    pub pending_tokens: [u32; PRIORITY_CLASSES],
    /// Mean time between tokens since the last report, in seconds; 0 when unknown.
    pub token_interval: f32,
    /// Mean time per uncached prompt token since the last report, in seconds; 0 when unknown.
    pub prefill: f32,
    /// How long work takes at the moment of the report, relative to the usual time; 0 when unknown.
    pub slowdown: f32,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange<'a> {
    /// Blocks were stored, given by their prefix hashes.
    Stored(&'a [u64]),
    /// Blocks were removed, given by their prefix hashes.
    Removed(&'a [u64]),
    /// The whole cache was cleared.
    Cleared,
}

/// An event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUpdate<'a> {
    /// Position in the engine's sequence of events; a gap means that events were lost.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange<'a>,
}
