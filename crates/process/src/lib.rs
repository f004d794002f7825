//! Basics of every process of the fleet: a monotonic clock, listening sockets and structured logs.

mod clock;
pub mod logs;
mod queue;
mod socket;

pub use {clock::Clock, queue::Queue, socket::listen};
