//! Type aliases for the identifiers and quantities that modules exchange.

use std::sync::Arc;

/// Name of a host, unique in the fleet.
pub type HostId = Arc<str>;
/// Identifier of one run of a router process, `{host}.{incarnation}`; never reused.
pub type HolderId = Arc<str>;
/// Name of a prepaid token budget.
pub type BudgetId = Arc<str>;
/// Path of a workspace in the settings tree.
pub type WorkspaceId = Arc<str>;
/// Name of an upstream: a model engine or an instance of a plain service.
pub type UpstreamId = Arc<str>;
/// Name of a plain service or a model service in the settings tree.
pub type ServiceId = Arc<str>;
/// Identifier of a request, the same for all retries with one idempotency key.
pub type RequestId = Arc<str>;
/// Name of a model, as callers state it.
pub type ModelId = Arc<str>;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Name of a region.
pub type Region = Arc<str>;

/// A number of tokens.
pub type Tokens = u64;
/// Version of a row or of the configuration; 0 means that there is none.
pub type Version = u64;
/// Number of times that the store was restored from a copy; versions of different eras cannot be
/// compared, because a later era assigns the same versions again.
pub type Era = u64;
/// Position of a row in a holder's journal; the first row has sequence 1.
pub type Sequence = u64;
