//! What every process needs: its clock, listening sockets and structured logs.

mod clock;
pub mod logs;
mod queue;
mod socket;

pub use {clock::Clock, queue::Queue, socket::listen};
