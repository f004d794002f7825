//! Checks of an upstream's answer stream.

mod event;
mod validator;

#[cfg(test)]
mod tests;

pub use {
    event::{Event, Splitter},
    validator::{InvalidAnswer, Step, Summary, Validator},
};
