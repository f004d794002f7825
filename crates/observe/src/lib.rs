//! Structured logs of marigoldroute's processes.

pub mod logs;
pub mod queue;
