//! State and learned speed of one upstream.

use {
    super::{Load, PRIORITY_CLASSES, Settings},
    std::time::Duration,
};

/// Bounds on a single observed ratio of measured to estimated time, so that one request cannot
/// dominate the learned speed.
const RATIO_BOUNDS: (f32, f32) = (0.25, 4.0);
/// Time after which the backlog of another host expires unless it is reported again.
const BACKLOG_TTL: Duration = Duration::from_secs(1);
/// Maximum number of hosts whose backlog is kept for one upstream.
const BACKLOG_HOST_LIMIT: usize = 64;
/// Steps of the home weight per doubling of the slowness.
const HOME_WEIGHT_STEPS: f32 = 2.0;
/// Exponent of the speed in the home weight. The queueing delay grows faster than the utilisation,
/// so a slow engine gets less than its proportional share of the prompts.
const HOME_WEIGHT_EXPONENT: f32 = 2.0;
/// Bounds on the home weight.
const HOME_WEIGHT_BOUNDS: (f32, f32) = (0.02, 8.0);
/// Assumed mean length of a response in tokens.
const MEAN_RESPONSE_TOKENS: f32 = 230.0;
/// Time constant, in seconds, of the utilization of an engine: about the time after which a prefix is
/// used again.
const WORK_TIME: f32 = 8.0;
/// Bounds on a slowdown that an upstream reports.
const SLOWDOWN_BOUNDS: (f32, f32) = (0.25, 10.0);
/// Bounds on learned ratios of measured to estimated time.
const SLOWNESS_BOUNDS: (f32, f32) = (0.1, 50.0);

/// Estimate for one request at one upstream, in seconds and prompt tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Time to first token.
    pub first_token: f32,
    /// Time between tokens.
    pub token_interval: f32,
    /// Increase of the time between tokens of the requests in the batch, summed over them.
    pub slowdown: f32,
    /// Prompt tokens expected in the prefix cache.
    pub cached: u32,
    /// Prompt tokens that have to be processed; at least 1.
    pub uncached: u32,
    /// Age of the load report; 0 without one.
    pub age: f32,
}

/// Prompt tokens that another host has sent to the upstream and that are not yet answered.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    host: u64,
    tokens: f32,
    /// When the host reported them.
    at: Duration,
}

/// State of one upstream, as this host knows it.
#[derive(Debug)]
pub struct Engine {
    /// Last load report.
    load: Load,
    /// Time of the last load report.
    reported_at: Option<Duration>,
    /// This host's requests in flight.
    in_flight: u32,
    /// This host's requests in flight without a first token.
    unanswered: u32,
    /// Start of the current silence: the last response, or the sending of the first unanswered
    /// request if that was later.
    silent_since: Duration,
    /// Prompt tokens that this host has sent and that are not yet answered.
    own_backlog: f32,
    /// Backlogs of other hosts, at most one per host.
    remote_backlogs: Vec<Backlog>,
    /// This host's requests in flight, averaged over the times of the reports.
    average_in_flight: f32,
    /// Requests in the batch, averaged over reports.
    average_running: f32,
    /// Prompt tokens not yet processed, averaged over reports.
    average_backlog: f32,
    /// Time between tokens over `half_batch` plus the running requests, in seconds, averaged over
    /// reports; 0 when unknown.
    interval_per_request: f32,
    /// Seconds per uncached prompt token, averaged over reports; 0 when unknown.
    prefill: f32,
    /// Decaying sum of the estimated work of the prompts that this host has sent, in seconds.
    work: f32,
    /// When `work` was last updated.
    work_at: Duration,
    /// Learned ratio of measured to estimated time to first token.
    slowness: f32,
    /// Learned ratio of measured to estimated time between tokens.
    interval_ratio: f32,
    /// Failures in a row.
    failures: u32,
    /// End of the pause after failures or refusals.
    avoid_until: Duration,
    /// Time of the last gap in the cache events.
    pub gap_at: Duration,
    /// Time at which the cache was last cleared.
    pub cleared_at: Duration,
    /// Sequence number of the last cache event; 0 before the first.
    pub cache_sequence: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            load: Load::default(),
            reported_at: None,
            in_flight: 0,
            unanswered: 0,
            silent_since: Duration::ZERO,
            own_backlog: 0.0,
            remote_backlogs: Vec::new(),
            average_in_flight: 0.0,
            average_running: 0.0,
            average_backlog: 0.0,
            interval_per_request: 0.0,
            prefill: 0.0,
            work: 0.0,
            work_at: Duration::ZERO,
            slowness: 1.0,
            interval_ratio: 1.0,
            failures: 0,
            avoid_until: Duration::ZERO,
            gap_at: Duration::ZERO,
            cleared_at: Duration::ZERO,
            cache_sequence: 0,
        }
    }
}

impl Engine {
    /// Estimates the times for a prompt of `prompt` tokens of which `cached` are expected in the
    /// prefix cache. `requests_per_own` is the number of requests at the upstream that one request
    /// of this host represents.
    pub fn estimate(
        &self,
        settings: &Settings,
        now: Duration,
        class: usize,
        prompt: u32,
        cached: u32,
        requests_per_own: f32,
    ) -> Estimate {
        let age = self.age(now);
        let change = (self.in_flight as f32 - self.average_in_flight)
            * requests_per_own
            * settings.own_weight;
        let running = (self.average_running + change).max(0.0);
        let slowdown = self.slowdown(settings, age);
        let prefill = positive(self.prefill, settings.prefill) * self.slowness * slowdown;
        let token_interval = self.estimate_interval(settings, running + 1.0) * slowdown;
        let ahead = saturating_sum(&self.load.pending_tokens[..=class]) as f32;
        let fresh = (-age / settings.backlog_decay).exp();
        let backlog = self.average_backlog
            + (ahead - self.average_backlog) * fresh
            + self.own_backlog
            + self.remote_backlog(now);
        let uncached = prompt.saturating_sub(cached).max(1);
        let setup = settings.setup * self.slowness;
        let prompt_time = (backlog + uncached as f32) * prefill;
        let first_token =
            setup + prompt_time + token_interval + self.queue_wait(class, token_interval);
        Estimate {
            first_token,
            token_interval,
            slowdown: token_interval * running / (settings.half_batch + running + 1.0),
            cached: prompt.min(cached),
            uncached,
            age,
        }
    }

    /// Returns how much longer than usual work takes now. What the last report says loses its weight
    /// within moments.
    fn slowdown(&self, settings: &Settings, age: f32) -> f32 {
        let fresh = (-age / settings.slowdown_decay).exp();
        1.0 + (positive(self.load.slowdown, 1.0).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1) - 1.0)
            * fresh
    }

    /// Estimates the time between tokens with a number of running requests, in seconds.
    fn estimate_interval(&self, settings: &Settings, running: f32) -> f32 {
        let base = positive(
            self.interval_per_request,
            settings.token_interval / (2.0 * settings.half_batch),
        );
        base * (settings.half_batch + running) * self.interval_ratio
    }

    /// Returns the backlog of other hosts in prompt tokens. A backlog that was not reported again
    /// has expired, because engines process prompts in seconds.
    fn remote_backlog(&self, now: Duration) -> f32 {
        let current = self.remote_backlogs.iter();
        let current = current.filter(|backlog| now < backlog.at + BACKLOG_TTL);
        current.map(|backlog| backlog.tokens).sum()
    }

    /// Replaces the backlog of another host, in prompt tokens.
    pub fn record_remote_pending(&mut self, now: Duration, host: u64, tokens: f32) {
        self.remote_backlogs
            .retain(|backlog| backlog.host != host && now < backlog.at + BACKLOG_TTL);
        if tokens > 0.0 && self.remote_backlogs.len() < BACKLOG_HOST_LIMIT {
            let at = now;
            self.remote_backlogs.push(Backlog { host, tokens, at });
        }
    }

    /// Estimates the wait for a slot in a full batch, in seconds: a slot becomes free once per mean
    /// response time divided by the number of running requests.
    fn queue_wait(&self, class: usize, token_interval: f32) -> f32 {
        let waiting = saturating_sum(&self.load.waiting[..=class]) as f32;
        waiting * MEAN_RESPONSE_TOKENS * token_interval / (self.load.running as f32).max(1.0)
    }

    /// Returns the age of the load report in seconds; 0 without one.
    fn age(&self, now: Duration) -> f32 {
        self.reported_at
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f32())
    }

    /// Returns the number of failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the upstream is silent or in the pause after failures. After the pause, it
    /// gets one request at a time as a probe until one is answered.
    pub fn is_suspect(&self, settings: &Settings, now: Duration, first_token: f32) -> bool {
        if now < self.avoid_until || (self.failures > 0 && self.unanswered > 0) {
            return true;
        }
        let silence = now.saturating_sub(self.silent_since);
        let silence_limit = settings.silence_factor * first_token;
        self.unanswered > 0 && silence > settings.silence && silence.as_secs_f32() > silence_limit
    }

    /// Records a load report; returns the requests in flight of this host and all requests that the
    /// upstream reports.
    pub fn record_load(&mut self, settings: &Settings, now: Duration, load: &Load) -> (u32, u32) {
        let is_first = self.reported_at.is_none();
        let weight = if is_first { 1.0 } else { settings.smoothing };
        let running = load.running as f32;
        let pending = saturating_sum(&load.pending_tokens) as f32;
        smooth(&mut self.average_in_flight, self.in_flight as f32, weight);
        smooth(&mut self.average_running, running, weight);
        smooth(&mut self.average_backlog, pending, weight);
        if load.token_interval > 0.0 {
            let base = load.token_interval / (settings.half_batch + running);
            smooth_known(&mut self.interval_per_request, base, weight);
        }
        if load.prefill > 0.0 {
            smooth_known(&mut self.prefill, load.prefill, weight);
        }
        self.load = *load;
        self.reported_at = Some(now);
        let total = load.running.saturating_add(saturating_sum(&load.waiting));
        (self.in_flight, total)
    }

    /// Records that a request with this number of uncached prompt tokens was sent.
    pub fn record_sent(&mut self, settings: &Settings, now: Duration, uncached: u32) {
        let prefill = positive(self.prefill, settings.prefill) * self.slowness;
        self.work = self.utilization(now) * WORK_TIME + uncached as f32 * prefill;
        self.work_at = now;
        if self.unanswered == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.unanswered += 1;
        self.own_backlog += uncached as f32;
    }

    /// Returns the share of the recent time that the engine has worked on prompts of this host.
    pub fn utilization(&self, now: Duration) -> f32 {
        let elapsed = now.saturating_sub(self.work_at).as_secs_f32();
        self.work * (-elapsed / WORK_TIME).exp() / WORK_TIME
    }

    /// Records the measured time to first token of a request, in seconds, and learns from its ratio
    /// to the estimate `first_token`, which is absent when it says nothing about the speed.
    pub fn record_first_token(
        &mut self,
        settings: &Settings,
        now: Duration,
        measured: f32,
        first_token: Option<f32>,
    ) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.record_response(now);
        let Some(first_token) = first_token else {
            return;
        };
        let ratio = (measured / first_token.max(1e-4)).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.slowness = learn(self.slowness, ratio, settings.learning_rate);
    }

    /// Returns the weight of the upstream in the choice of a prefix's home, relative to an engine
    /// of normal speed. The weight has discrete steps, so that hosts that learned slightly
    /// different speeds agree on the home of nearly every prefix.
    pub fn home_weight(&self) -> f32 {
        let steps = (self.slowness.log2() * HOME_WEIGHT_STEPS).round() / HOME_WEIGHT_STEPS;
        (-HOME_WEIGHT_EXPONENT * steps)
            .exp2()
            .clamp(HOME_WEIGHT_BOUNDS.0, HOME_WEIGHT_BOUNDS.1)
    }

    /// Records that the upstream answered a request, which ends silence and failures.
    pub fn record_response(&mut self, now: Duration) {
        self.silent_since = now;
        self.failures = 0;
    }

    /// Removes the prompt tokens of a request from the backlog of this host.
    pub fn remove_from_backlog(&mut self, uncached: u32) {
        self.own_backlog = (self.own_backlog - uncached as f32).max(0.0);
    }

    /// Learns from the measured mean time between the tokens of a response and its estimate, both
    /// in seconds.
    pub fn record_token_interval(
        &mut self,
        settings: &Settings,
        measured: f32,
        token_interval: f32,
    ) {
        let ratio = (measured / token_interval.max(1e-4)).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.interval_ratio = learn(self.interval_ratio, ratio, settings.learning_rate);
    }

    /// Records that a request ended, after its first token or without one.
    pub fn record_end(&mut self, was_answered: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !was_answered {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
    }

    /// Records a failure; the pause doubles with each failure in a row.
    pub fn record_failure(&mut self, settings: &Settings, now: Duration) {
        let backoff = settings.backoff * 2_u32.pow(self.failures.min(10));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = self
            .avoid_until
            .max(now + backoff.min(settings.backoff_limit));
    }

    /// Records a refusal; `after` is the pause that the upstream requested.
    pub fn record_refusal(&mut self, settings: &Settings, now: Duration, after: Option<Duration>) {
        let wait = after
            .unwrap_or(settings.backoff)
            .min(settings.backoff_limit);
        self.avoid_until = self.avoid_until.max(now + wait);
    }
}

/// Maps a priority to its class.
pub fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_CLASSES - 1)
}

/// Multiplies a learned ratio with a weighted new observation.
fn learn(old: f32, ratio: f32, weight: f32) -> f32 {
    (old * ratio.powf(weight)).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
}

/// Returns the sum of numbers that an upstream states.
fn saturating_sum(numbers: &[u32]) -> u32 {
    numbers.iter().copied().fold(0, u32::saturating_add)
}

/// Updates an exponentially weighted average.
fn smooth(average: &mut f32, value: f32, weight: f32) {
    *average += weight * (value - *average);
}

/// Like [`smooth`], but an average of 0 counts as unknown and is replaced.
fn smooth_known(average: &mut f32, value: f32, weight: f32) {
    let weight = if *average > 0.0 { weight } else { 1.0 };
    smooth(average, value, weight);
}

/// Returns `value` if it is positive, or else `default`.
fn positive(value: f32, default: f32) -> f32 {
    if value > 0.0 { value } else { default }
}
