//! Faults that tests inject into a stand-in's answers.

use serde::{Deserialize, Serialize};

/// Fault of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Answer without a fault.
    #[default]
    None,
    /// Refuse with 503 before anything runs.
    Refuse,
    /// Run the request, then fail without an answer: an engine breaks the connection, a plain
    /// service answers 500.
    Break,
    /// Break the connection after half of the tokens.
    Cut,
    /// End the stream without its final chunk and `[DONE]`.
    NoEnd,
    /// Answer with an id that belongs to another request.
    Crossed,
    /// Send more tokens than the request's limit and report them as used.
    Excess,
    /// Leave the token usage out of the answer.
    NoUsage,
    /// Never answer.
    Silent,
    /// Answer with other tokens than engines without a fault, which all give the same ones.
    Differ,
}
