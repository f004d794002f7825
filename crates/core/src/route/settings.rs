//! Settings of the adaptive policy.

use std::time::Duration;

/// Settings of [`super::Adaptive`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Most candidates known at a time.
    pub capacity: usize,
    /// Candidates of the own region that a host prefers on average, per model. A small subset makes
    /// a larger share of their load this host's own, which it knows without delay.
    pub subset: usize,
    /// Candidates of other regions that are considered at least, per model.
    pub spill: usize,
    /// Factor on the estimate of one random candidate outside the subset; it receives work only
    /// when it is much better.
    pub outside_factor: f32,
    /// Candidates of the subset compared per decision.
    pub sample: usize,
    /// Tokens covered by one prefix hash.
    pub block_tokens: u32,
    /// Bound on prefix hints; rounded up to a power of two.
    pub hint_limit: usize,
    /// Age at which a prefix hint has lost half of its weight.
    pub hint_half_life: Duration,
    /// Weight of the prefix hints from before a gap in the cache events.
    pub gap_weight: f32,
    /// Seconds to the first token of an idle engine of normal speed, without those for the prompt.
    pub setup: f32,
    /// Assumed seconds per uncached prompt token before anything was learned.
    pub prefill: f32,
    /// Assumed seconds between tokens before anything was learned.
    pub token_interval: f32,
    /// Number of running requests at which an engine's time between tokens is twice that of an
    /// empty engine.
    pub half_batch: f32,
    /// Weight of the time to completion against the time to first token.
    pub completion_weight: f32,
    /// Tokens up to which the output token limit counts in the time to completion. Without a bound,
    /// long responses would be placed without regard to their time to first token.
    pub response_limit: u32,
    /// Weight of the time that running requests lose to a new one. Without it, fast engines are
    /// filled until they are as slow as the slowest one.
    pub slowdown_weight: f32,
    /// Time between tokens, in seconds, above which a candidate is penalised.
    pub token_interval_limit: f32,
    /// Age of a load report, in seconds, at which its queue counts by a third; prompts are
    /// processed in a fraction of a second, so older queues say little.
    pub backlog_decay: f32,
    /// Weight of a change of the own requests in flight, scaled by this host's share of the load.
    /// Only the own ones are up to date; other hosts change theirs in a similar way.
    pub own_weight: f32,
    /// Weight of a new load report in the averages over reports. Hosts that follow every single
    /// report all choose the same upstream.
    pub smoothing: f32,
    /// Random part of an estimate, as a share of it.
    pub jitter: f32,
    /// Bound on the number of requests at an upstream that one own request stands for.
    pub peer_limit: f32,
    /// Weight of a new observation of an upstream's speed.
    pub learning_rate: f32,
    /// Cost in seconds per token of a shared prefix that another engine has to read again. Besides
    /// the time of this request it takes capacity and memory from others.
    pub reread_cost: f32,
    /// Network round trip to another availability zone.
    pub zone_cost: Duration,
    /// Network round trip to another region.
    pub region_cost: Duration,
    /// Silence after which an upstream is suspected at the earliest.
    pub silence: Duration,
    /// Silence, as a multiple of the estimated time to first token, after which an upstream is
    /// suspected.
    pub silence_factor: f32,
    /// Pause after the first failure; doubled with each further one.
    pub backoff: Duration,
    /// Longest pause after failures.
    pub backoff_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 4_096,
            subset: 8,
            spill: 4,
            outside_factor: 2.0,
            sample: 16,
            block_tokens: 256,
            hint_limit: 1 << 15,
            hint_half_life: Duration::from_secs(60),
            gap_weight: 0.5,
            setup: 0.0,
            prefill: 0.000_05,
            token_interval: 0.03,
            half_batch: 50.0,
            completion_weight: 0.01,
            response_limit: 256,
            slowdown_weight: 4.0,
            token_interval_limit: 0.055,
            backlog_decay: 0.3,
            own_weight: 0.7,
            smoothing: 0.2,
            jitter: 0.02,
            peer_limit: 64.0,
            learning_rate: 0.05,
            reread_cost: 0.0,
            zone_cost: Duration::from_millis(1),
            region_cost: Duration::from_millis(20),
            silence: Duration::from_millis(1_000),
            silence_factor: 4.0,
            backoff: Duration::from_secs(1),
            backoff_limit: Duration::from_secs(30),
        }
    }
}
