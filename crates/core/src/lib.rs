//! Decision logic of marigoldroute.
//!
//! Nothing here does I/O, reads a clock or uses a global random source. The caller passes in the
//! time as a [`std::time::Duration`] since the process's clock origin, and functions return the
//! messages to send, the transactions to commit or the decisions to carry out. The same code
//! therefore runs in the router process and in deterministic tests.

pub mod admission;
pub mod bill;
pub mod budget;
pub mod claim;
pub mod config;
pub mod fault;
pub mod fleet;
pub mod forward;
pub mod id;
pub mod limit;
pub mod placement;
pub mod quarantine;
pub mod retention;
pub mod route;
pub mod schedule;
pub mod stream;
pub mod table;
pub mod throttle;
pub mod wire;
pub mod withdraw;
