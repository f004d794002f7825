//! Validation of the event stream with which an upstream answers.

mod event;
mod validator;

#[cfg(test)]
mod tests;

pub use {
    event::{Event, Splitter},
    validator::{Action, InvalidAnswer, Summary, Validator},
};
