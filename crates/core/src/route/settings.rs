//! Settings of the adaptive policy.

use std::time::Duration;

/// Settings of [`super::Adaptive`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of candidates.
    pub capacity: usize,
    /// Average number of candidates of the own region in a host's subset, per model. The smaller
    /// the subset, the larger this host's share of their load, which it knows without delay.
    pub subset: usize,
    /// Minimum number of candidates of other regions in the subset, per model.
    pub spill: usize,
    /// Factor on the cost of the random candidate outside the subset, which is chosen only when it
    /// is much better than the others.
    pub outside_factor: f32,
    /// Number of candidates of the subset that are compared per choice.
    pub sample: usize,
    /// Whether shared prefixes have a home, an upstream on which hosts agree without messages. A host
    /// that chooses for a whole fleet knows where each prefix was processed.
    pub has_homes: bool,
    /// Tokens of a block, the unit that prefix hashes are computed for.
    pub block_tokens: u32,
    /// Maximum number of prefix hints; rounded up to a power of two.
    pub hint_limit: usize,
    /// Age at which a prefix hint has lost half of its weight.
    pub hint_half_life: Duration,
    /// Weight of the prefix hints stored before a gap in the cache events.
    pub gap_weight: f32,
    /// Time to first token of an idle engine of normal speed without processing the prompt, in
    /// seconds.
    pub setup: f32,
    /// Assumed time per uncached prompt token before the first report of it, in seconds.
    pub prefill: f32,
    /// Assumed time between tokens before the first report of it, in seconds.
    pub token_interval: f32,
    /// Number of running requests at which the time between tokens is twice that of an idle engine.
    pub half_batch: f32,
    /// Weight of the time to completion relative to the time to first token.
    pub completion_weight: f32,
    /// Maximum number of output tokens in the time to completion. Without it, the time to first
    /// token would not matter for requests with a high output token limit.
    pub response_limit: u32,
    /// Weight of the delay that a new request causes for the running ones. Without it, fast engines
    /// are filled until they are as slow as the slowest one.
    pub slowdown_weight: f32,
    /// Time between tokens, in seconds, above which a candidate's cost is increased.
    pub token_interval_limit: f32,
    /// Time constant, in seconds, with which the queue of a load report loses weight against the
    /// average. Prompts are processed in a fraction of a second, so older queues say little.
    pub backlog_decay: f32,
    /// Time constant, in seconds, with which a reported [`Load::slowdown`](super::Load::slowdown)
    /// loses weight. It changes many times a second, so only a fresh one says how fast an upstream
    /// is.
    pub slowdown_decay: f32,
    /// Weight of a change of this host's requests in flight, which is scaled up to the load of all
    /// hosts. Only this host's requests are known without delay; those of other hosts change in a
    /// similar way.
    pub own_weight: f32,
    /// Weight of a new load report in the averages over reports. Hosts that follow every single
    /// report all choose the same upstream.
    pub smoothing: f32,
    /// Maximum of the random share that is added to a cost.
    pub jitter: f32,
    /// Maximum number of requests at an upstream that one request of this host represents.
    pub peer_limit: f32,
    /// Weight of a new observation of an upstream's speed.
    pub learning_rate: f32,
    /// Cost in seconds per token of a shared prefix that another engine has to process again.
    /// Besides the time of the request, this takes capacity and memory from others.
    pub reread_cost: f32,
    /// Cost in seconds of a shared prefix at an engine that works all the time. Later requests with the
    /// prefix follow it there, so a busy engine is a bad place for a new one.
    pub utilization_cost: f32,
    /// Network round trip to another availability zone.
    pub zone_cost: Duration,
    /// Network round trip to another region.
    pub region_cost: Duration,
    /// Minimum silence after which an upstream is suspect.
    pub silence: Duration,
    /// Minimum silence after which an upstream is suspect, as a multiple of the estimated time to
    /// first token; both minima apply.
    pub silence_factor: f32,
    /// Pause after the first failure; doubles with each further one.
    pub backoff: Duration,
    /// Maximum pause after failures or a refusal.
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
            has_homes: true,
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
            slowdown_decay: 0.3,
            own_weight: 0.7,
            smoothing: 0.2,
            jitter: 0.02,
            peer_limit: 64.0,
            learning_rate: 0.05,
            reread_cost: 0.0,
            utilization_cost: 0.0,
            zone_cost: Duration::from_millis(1),
            region_cost: Duration::from_millis(20),
            silence: Duration::from_millis(1_000),
            silence_factor: 4.0,
            backoff: Duration::from_secs(1),
            backoff_limit: Duration::from_secs(30),
        }
    }
}
