//! Decision logic of marigoldroute.
//!
//! Nothing here does I/O, reads a clock or draws from a global random source: time is passed in
//! as a [`std::time::Duration`] since the process's clock origin, and functions return what is to
//! be done. The same code runs in the router process and in the tests.

pub mod bill;
pub mod budget;
pub mod claim;
pub mod config;
pub mod fault;
pub mod fleet;
pub mod forward;
pub mod id;
pub mod limit;
pub mod place;
pub mod retention;
pub mod route;
pub mod stream;
pub mod table;
pub mod wire;
pub mod withdraw;
