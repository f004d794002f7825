//! Faults that a stand-in injects into its answers.

use serde::{Deserialize, Serialize};

/// The fault of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// Refuse with 503 before anything runs.
    Refuse,
    /// Run, then break the connection without an answer.
    Break,
    /// Break the stream after half of the tokens.
    Cut,
    /// End the stream without its end mark.
    NoEnd,
    /// Answer with the id of another request.
    Crossed,
    /// Send more tokens than the limit and report them.
    Excess,
    /// Report no usage.
    NoUsage,
    /// Never answer.
    Silent,
    /// Answer with other tokens than the engines without a fault.
    Differ,
}
