//! Requests, choices and reports on their progress.

use {
    crate::id::UpstreamId,
    derive_more::Display,
    std::{fmt, time::Duration},
};

/// A shared prefix. Every host maps it to the same upstream without exchanging messages, so that
/// one upstream reads it instead of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// Hash of the prefix.
    pub key: u64,
    /// Blocks of the prefix.
    pub blocks: u32,
}

/// What a choice is made for.
pub struct Request<'a> {
    /// Model or service.
    pub target: &'a str,
    /// Estimated prompt length in tokens.
    pub prompt: u32,
    /// Output token limit.
    pub output: u32,
    /// Hashes of the prompt's prefixes, one per block and each covering all blocks before it.
    pub prefixes: &'a [u64],
    /// Prefix that many requests share, for which all hosts prefer the same upstream.
    pub home: Option<Home>,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Whether an upstream may be chosen: not tried before, not out, not at its limit.
    pub allows: &'a dyn Fn(&UpstreamId) -> bool,
}

impl fmt::Debug for Request<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Request")
            .field("target", &self.target)
            .field("prompt", &self.prompt)
            .field("output", &self.output)
            .field("priority", &self.priority)
            .finish_non_exhaustive()
    }
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Reason {
    /// It was next in turn.
    #[display("next in turn")]
    Turn,
    /// It had the fewest of this host's requests in flight.
    #[display("fewest in flight ({in_flight})")]
    Fewest {
        /// This host's requests in flight at the upstream.
        in_flight: u32,
    },
    /// It had the lowest estimate.
    #[display(
        "lowest estimate: first token {:.0} ms, between tokens {:.1} ms, {cached} tokens cached, \
         report {:.1} s old, next best first token {:.0} ms",
        first * 1e3, token_interval * 1e3, age, next * 1e3
    )]
    Estimate {
        /// Estimated time to first token, in seconds.
        first: f32,
        /// Estimated time between tokens, in seconds.
        token_interval: f32,
        /// Prompt tokens expected in the prefix cache.
        cached: u32,
        /// Age of the load report, in seconds.
        age: f32,
        /// Estimated time to first token of the next best candidate, in seconds; 0 without one.
        next: f32,
    },
    /// It is tried again after failures.
    #[display("probe after {failures} failures")]
    Probe {
        /// Failures in a row.
        failures: u32,
    },
    /// Every allowed candidate is failing or silent, and this one was the best of them.
    #[display("all candidates suspected, lowest estimate")]
    Fallback,
}

/// A chosen upstream.
#[derive(Debug, Display)]
#[display("{upstream} of {known} ({considered} considered): {reason}")]
pub struct Choice {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Candidates known for the target.
    pub known: usize,
    /// Candidates compared.
    pub considered: usize,
    /// Why it was chosen.
    pub reason: Reason,
    /// Identifies the request in progress reports.
    pub ticket: Ticket,
}

/// Progress of a chosen request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress<'a> {
    /// The request was sent; carries the prefix hashes of its prompt.
    Sent(&'a [u64]),
    /// The first token arrived.
    FirstToken,
    /// The response is complete.
    Finished {
        /// Tokens of the response.
        tokens: u32,
    },
    /// The caller gave the request up; this says nothing about the upstream.
    Cancelled,
    /// The upstream failed or did not answer in time.
    Failed,
    /// The upstream refused the request.
    Refused {
        /// Time after which the upstream may be asked again.
        after: Option<Duration>,
    },
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Chosen,
    Sent,
    Answered,
    Ended,
}

/// Identifies a chosen request; held by the caller until the request has ended.
#[derive(Debug)]
pub struct Ticket {
    pub(super) slot: u32,
    /// Tells a later upstream in the same slot from the chosen one.
    pub(super) generation: u32,
    pub(super) phase: Phase,
    /// Time of the last progress.
    pub(super) at: Duration,
    /// Prompt tokens that are expected to be processed.
    pub(super) uncached: u32,
    /// Estimated time to first token without the network, in seconds.
    pub(super) first: f32,
    /// Estimated time between tokens, in seconds.
    pub(super) token_interval: f32,
    /// Whether the prefix was expected in the cache only because the upstream is its home. Another
    /// host may not have sent it yet, so the time to first token says nothing about the speed.
    pub(super) is_assumed: bool,
}

impl Ticket {
    /// Creates the ticket of a choice that was made without an estimate.
    pub(super) fn plain(now: Duration, slot: u32, generation: u32) -> Self {
        Self {
            slot,
            generation,
            phase: Phase::Chosen,
            at: now,
            uncached: 0,
            first: 0.0,
            token_interval: 0.0,
            is_assumed: false,
        }
    }

    /// Returns the prompt tokens that the upstream is expected to read for the request.
    pub fn uncached(&self) -> u32 {
        self.uncached
    }

    /// Moves to the phase that follows from a report; `None` when the report does not fit.
    pub(super) fn advance(&mut self, progress: &Progress<'_>) -> Option<(Phase, Phase)> {
        let from = self.phase;
        let to = match (from, progress) {
            (Phase::Chosen, Progress::Sent(_)) => Phase::Sent,
            (Phase::Sent, Progress::FirstToken) => Phase::Answered,
            (Phase::Sent | Phase::Answered, Progress::Sent(_) | Progress::FirstToken) => {
                return None;
            }
            (Phase::Ended, _) | (Phase::Chosen, Progress::FirstToken) => return None,
            _ => Phase::Ended,
        };
        self.phase = to;
        Some((from, to))
    }
}
