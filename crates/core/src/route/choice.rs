//! Requests, choices and progress reports.

use {
    crate::id::UpstreamId,
    derive_more::Display,
    std::{fmt, time::Duration},
};

/// A prefix that many prompts share. Every host maps it to the same upstream, its home, without
/// exchanging messages, so that one upstream processes it instead of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash of the prefix.
    pub key: u64,
    /// Length of the prefix in blocks of [`Settings::block_tokens`](super::Settings::block_tokens).
    pub blocks: u32,
}

/// A request that an upstream is chosen for.
pub struct Request<'a> {
    /// Model or service that the upstream must serve.
    pub target: &'a str,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Output token limit.
    pub output_limit: u32,
    /// Hashes of the prompt's prefixes, one per block; each covers all blocks up to its own.
    pub prefixes: &'a [u64],
    /// Shared prefix of the prompt, for which all hosts prefer the same upstream.
    pub shared_prefix: Option<SharedPrefix>,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Availability zone of the host that sends the request, if that is not the one that chooses.
    pub zone: Option<&'a str>,
    /// Returns whether an upstream may be chosen: not tried before, in service, below its limit.
    pub allows: &'a dyn Fn(&UpstreamId) -> bool,
}

impl fmt::Debug for Request<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Request")
            .field("target", &self.target)
            .field("prompt", &self.prompt_tokens)
            .field("output", &self.output_limit)
            .field("priority", &self.priority)
            .finish_non_exhaustive()
    }
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Reason {
    /// It was next in round-robin order.
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
        first_token * 1e3, token_interval * 1e3, age, next_first_token * 1e3
    )]
    Estimate {
        /// Estimated time to first token, in seconds.
        first_token: f32,
        /// Estimated time between tokens, in seconds.
        token_interval: f32,
        /// Prompt tokens expected in the prefix cache.
        cached: u32,
        /// Age of the load report, in seconds.
        age: f32,
        /// Estimated time to first token of the second best candidate, in seconds; 0 without one.
        next_first_token: f32,
    },
    /// It is probed after failures.
    #[display("probe after {failures} failures")]
    Probe {
        /// Failures in a row.
        failures: u32,
    },
    /// Every allowed candidate is failing or silent; this one had the lowest estimate.
    #[display("all candidates suspected, lowest estimate")]
    Fallback,
}

/// A chosen upstream.
#[derive(Debug, Display)]
#[display("{upstream} of {known} ({considered} considered): {reason}")]
pub struct Choice {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Number of candidates for the target.
    pub known: usize,
    /// Number of candidates that were compared.
    pub considered: usize,
    /// Why it was chosen.
    pub reason: Reason,
    /// Ticket for the progress reports of the request.
    pub ticket: Ticket,
}

/// Progress of a chosen request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress<'a> {
    /// The request was sent; holds the prefix hashes of its prompt.
    Sent(&'a [u64]),
    /// The first token arrived.
    FirstToken,
    /// The response is complete.
    Finished {
        /// Tokens of the response.
        tokens: u32,
    },
    /// The caller cancelled the request; this says nothing about the upstream.
    Cancelled,
    /// The upstream failed or did not answer in time.
    Failed,
    /// The upstream refused the request.
    Refused {
        /// Time after which the upstream may be asked again.
        after: Option<Duration>,
    },
}

/// Phase of a chosen request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Chosen,
    Sent,
    Answered,
    Ended,
}

/// Identifies a chosen request in progress reports; kept until the request has ended.
#[derive(Debug)]
pub struct Ticket {
    pub(super) slot: u32,
    /// Generation of the slot, which distinguishes the chosen upstream from a later one in the
    /// slot.
    pub(super) generation: u32,
    pub(super) phase: Phase,
    /// Time of the choice or of the last progress report.
    pub(super) updated_at: Duration,
    /// Prompt tokens that the upstream is expected to process.
    pub(super) uncached: u32,
    /// Estimated time to first token in seconds, without the network.
    pub(super) first_token: f32,
    /// Estimated time between tokens, in seconds.
    pub(super) token_interval: f32,
    /// Whether the prefix is assumed to be cached only because the upstream is its home. Another
    /// host may not have sent it there yet, so the time to first token says nothing about the
    /// speed.
    pub(super) is_assumed: bool,
}

impl Ticket {
    /// Creates the ticket of a choice that was made without an estimate.
    pub(super) fn without_estimate(now: Duration, slot: u32, generation: u32) -> Self {
        Self {
            slot,
            generation,
            phase: Phase::Chosen,
            updated_at: now,
            uncached: 0,
            first_token: 0.0,
            token_interval: 0.0,
            is_assumed: false,
        }
    }

    /// Returns the prompt tokens that the upstream is expected to process for the request.
    pub fn uncached_tokens(&self) -> u32 {
        self.uncached
    }

    /// Sets the time of the last progress report, as the host of the request has measured it.
    pub(crate) fn set_updated_at(&mut self, at: Duration) {
        self.updated_at = at;
    }

    /// Advances the phase by a report and returns the old and the new phase, or `None` when the
    /// report is invalid in the current phase.
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
