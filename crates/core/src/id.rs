//! Aliases for the names and numbers that the slices exchange.

use std::sync::Arc;

/// A host of the system.
pub type HostId = Arc<str>;
/// One start of a router process, `{host}.{incarnation}`; never reused.
pub type HolderId = Arc<str>;
/// A prepaid budget.
pub type BudgetId = Arc<str>;
/// A workspace, named by its path in the settings tree.
pub type WorkspaceId = Arc<str>;
/// An upstream: a model engine or a plain service instance.
pub type UpstreamId = Arc<str>;
/// A plain service or a model service of the settings tree.
pub type ServiceId = Arc<str>;
/// A request, stable across retries that carry the same idempotency key.
pub type RequestId = Arc<str>;
/// A model name as callers use it.
pub type ModelId = Arc<str>;
/// An availability zone.
pub type Zone = Arc<str>;
/// A region.
pub type Region = Arc<str>;

/// A number of tokens.
pub type Tokens = u64;
/// A version of a row or of the configuration; 0 stands for "absent".
pub type Version = u64;
/// Position in a holder's journal; the first row has sequence 1.
pub type Sequence = u64;
