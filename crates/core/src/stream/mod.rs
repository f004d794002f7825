//! Checks of an upstream's answer stream.

mod event;
mod relay;

#[cfg(test)]
mod tests;

pub use {
    event::{Event, Splitter},
    relay::{Broken, Relay, Step, Summary},
};
