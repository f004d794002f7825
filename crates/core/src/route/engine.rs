//! What is known and learned about one upstream.

use {
    super::{CLASSES, Load, Settings},
    std::time::Duration,
};

/// Bounds on one observed ratio of a measured to an estimated time, so that a single request
/// cannot dominate what was learned.
const RATIO: (f32, f32) = (0.25, 4.0);
/// Time after which an unconfirmed backlog of another host no longer counts.
const BACKLOG_TIME: Duration = Duration::from_secs(1);
/// Hosts whose backlog is kept for one upstream.
const BACKLOG_HOSTS: usize = 64;
/// Steps of the weight of a home per doubling of the slowness.
const HOME_STEPS: f32 = 2.0;
/// The load of a queue grows faster than its utilisation, so a slow engine gets less than its part
/// of the prompts: its speed to this power.
const HOME_POWER: f32 = 2.0;
/// Bounds on the weight of a home.
const HOME_WEIGHT: (f32, f32) = (0.02, 8.0);
/// Assumed mean length of a response in tokens.
const MEAN_TOKENS: f32 = 230.0;
/// Bounds on the learned speed.
const SLOWNESS: (f32, f32) = (0.1, 50.0);

/// Estimate for one request at one upstream, in seconds and tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    pub first: f32,
    pub token_interval: f32,
    /// Increase of the time between tokens for the requests in the batch, summed over them.
    pub slowdown: f32,
    pub cached: u32,
    pub uncached: u32,
    pub age: f32,
}

/// Prompt tokens that another host has sent to an upstream and not seen answered.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    host: u64,
    tokens: f32,
    /// When the host said so.
    at: Duration,
}

/// State of one upstream.
#[derive(Debug)]
pub struct Engine {
    load: Load,
    reported: Option<Duration>,
    /// Own requests in flight.
    in_flight: u32,
    /// Own requests in flight without a first token.
    unanswered: u32,
    /// Start of the present silence: the last sign of life while requests are unanswered.
    silent_since: Duration,
    /// Own prompt tokens sent and not answered.
    sent: f32,
    /// Prompt tokens that other hosts have sent and not seen answered.
    others: Vec<Backlog>,
    /// Own requests in flight, averaged over the times of the reports.
    own: f32,
    /// Requests in the batch, averaged over reports.
    running: f32,
    /// Prompt tokens that wait, averaged over reports.
    backlog: f32,
    /// Seconds between tokens per running request, averaged over reports; 0 when unknown.
    base: f32,
    /// Seconds per uncached prompt token, averaged over reports; 0 when unknown.
    prefill: f32,
    /// Measured over estimated time to first token.
    slowness: f32,
    /// Measured over estimated time between tokens.
    pace: f32,
    /// Failures in a row.
    failures: u32,
    avoid_until: Duration,
    /// Time of the last loss of cache events.
    pub gap: Duration,
    /// Time at which the cache was last cleared.
    pub cleared: Duration,
    /// Last sequence number of the cache events; 0 before the first.
    pub sequence: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            load: Load::default(),
            reported: None,
            in_flight: 0,
            unanswered: 0,
            silent_since: Duration::ZERO,
            sent: 0.0,
            others: Vec::new(),
            own: 0.0,
            running: 0.0,
            backlog: 0.0,
            base: 0.0,
            prefill: 0.0,
            slowness: 1.0,
            pace: 1.0,
            failures: 0,
            avoid_until: Duration::ZERO,
            gap: Duration::ZERO,
            cleared: Duration::ZERO,
            sequence: 0,
        }
    }
}

impl Engine {
    /// Estimates the times for a prompt of `prompt` tokens of which `cached` are expected in the
    /// prefix cache. `peers` is the number of running requests that one own request stands for.
    pub fn estimate(
        &self,
        settings: &Settings,
        now: Duration,
        class: usize,
        prompt: u32,
        cached: u32,
        peers: f32,
    ) -> Estimate {
        let age = self.age(now);
        let change = (self.in_flight as f32 - self.own) * peers * settings.own_weight;
        let running = (self.running + change).max(0.0);
        let prefill = positive(self.prefill, settings.prefill) * self.slowness;
        let token_interval = self.token_interval(settings, running + 1.0);
        let ahead = self.load.pending[..=class].iter().sum::<u32>() as f32;
        let fresh = (-age / settings.backlog_decay).exp();
        let backlog = self.backlog + (ahead - self.backlog) * fresh + self.sent + self.others(now);
        let uncached = prompt.saturating_sub(cached).max(1);
        let setup = settings.setup * self.slowness;
        let prompt_time = (backlog + uncached as f32) * prefill;
        let first = setup + prompt_time + token_interval + self.queue(class, token_interval);
        Estimate {
            first,
            token_interval,
            slowdown: token_interval * running / (settings.half_batch + running + 1.0),
            cached: prompt.min(cached),
            uncached,
            age,
        }
    }

    fn token_interval(&self, settings: &Settings, running: f32) -> f32 {
        let base = positive(
            self.base,
            settings.token_interval / (2.0 * settings.half_batch),
        );
        base * (settings.half_batch + running) * self.pace
    }

    /// Returns the prompt tokens of other hosts; what a host has not confirmed lately is over, because
    /// prompts are read in seconds.
    fn others(&self, now: Duration) -> f32 {
        let current = self.others.iter();
        let current = current.filter(|backlog| now < backlog.at + BACKLOG_TIME);
        current.map(|backlog| backlog.tokens).sum()
    }

    /// Takes the prompt tokens of another host.
    pub fn record_remote_pending(&mut self, now: Duration, host: u64, tokens: f32) {
        self.others
            .retain(|backlog| backlog.host != host && now < backlog.at + BACKLOG_TIME);
        if tokens > 0.0 && self.others.len() < BACKLOG_HOSTS {
            let at = now;
            self.others.push(Backlog { host, tokens, at });
        }
    }

    /// Estimates the wait for a place in a full batch: one place becomes free per mean response
    /// time divided by the number of running requests.
    fn queue(&self, class: usize, token_interval: f32) -> f32 {
        let waiting = self.load.waiting[..=class].iter().sum::<u32>() as f32;
        waiting * MEAN_TOKENS * token_interval / (self.load.running as f32).max(1.0)
    }

    fn age(&self, now: Duration) -> f32 {
        self.reported
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f32())
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the upstream is silent or in a pause after failures. After the pause, one
    /// request at a time probes it.
    pub fn is_suspect(&self, settings: &Settings, now: Duration, first: f32) -> bool {
        if now < self.avoid_until || (self.failures > 0 && self.unanswered > 0) {
            return true;
        }
        let silence = now.saturating_sub(self.silent_since);
        let patience = settings.silence_factor * first;
        self.unanswered > 0 && silence > settings.silence && silence.as_secs_f32() > patience
    }

    /// Takes a load report and returns the requests at the upstream, own and all.
    pub fn report(&mut self, settings: &Settings, now: Duration, load: &Load) -> (u32, u32) {
        let is_first = self.reported.is_none();
        let weight = if is_first { 1.0 } else { settings.smoothing };
        let running = load.running as f32;
        let pending = load.pending.iter().sum::<u32>() as f32;
        smooth(&mut self.own, self.in_flight as f32, weight);
        smooth(&mut self.running, running, weight);
        smooth(&mut self.backlog, pending, weight);
        if load.token_interval > 0.0 {
            let base = load.token_interval / (settings.half_batch + running);
            smooth_known(&mut self.base, base, weight);
        }
        if load.prefill > 0.0 {
            smooth_known(&mut self.prefill, load.prefill, weight);
        }
        self.load = *load;
        self.reported = Some(now);
        let total = load.running + load.waiting.iter().sum::<u32>();
        (self.in_flight, total)
    }

    pub fn send(&mut self, now: Duration, uncached: u32) {
        if self.unanswered == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.unanswered += 1;
        self.sent += uncached as f32;
    }

    /// Takes the time to first token of a request, in seconds, and its estimate, unless that says
    /// nothing about the speed.
    pub fn answer(
        &mut self,
        settings: &Settings,
        now: Duration,
        measured: f32,
        first: Option<f32>,
    ) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.respond(now);
        let Some(first) = first else {
            return;
        };
        let ratio = (measured / first.max(1e-4)).clamp(RATIO.0, RATIO.1);
        self.slowness = learn(self.slowness, ratio, settings.learning_rate);
    }

    /// Returns the share of the prompts with a home that the upstream should get, relative to an
    /// engine of normal speed. It moves in steps, so that hosts which learned slightly different
    /// speeds agree on the home of nearly every prompt.
    pub fn weight(&self) -> f32 {
        let steps = (self.slowness.log2() * HOME_STEPS).round() / HOME_STEPS;
        (-HOME_POWER * steps)
            .exp2()
            .clamp(HOME_WEIGHT.0, HOME_WEIGHT.1)
    }

    /// Notes that the upstream has answered a request.
    pub fn respond(&mut self, now: Duration) {
        self.silent_since = now;
        self.failures = 0;
    }

    /// Forgets the prompt tokens of a request that the upstream has processed.
    pub fn processed(&mut self, uncached: u32) {
        self.sent = (self.sent - uncached as f32).max(0.0);
    }

    /// Takes the mean time between the tokens of a response, in seconds.
    pub fn pace(&mut self, settings: &Settings, measured: f32, token_interval: f32) {
        let ratio = (measured / token_interval.max(1e-4)).clamp(RATIO.0, RATIO.1);
        self.pace = learn(self.pace, ratio, settings.learning_rate);
    }

    pub fn end(&mut self, was_answered: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !was_answered {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
    }

    pub fn fail(&mut self, settings: &Settings, now: Duration) {
        let doubled = settings.backoff * 2_u32.pow(self.failures.min(10));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = self
            .avoid_until
            .max(now + doubled.min(settings.backoff_limit));
    }

    pub fn refuse(&mut self, settings: &Settings, now: Duration, after: Option<Duration>) {
        let pause = after
            .unwrap_or(settings.backoff)
            .min(settings.backoff_limit);
        self.avoid_until = self.avoid_until.max(now + pause);
    }
}

/// Returns the class that a priority counts as.
pub fn class(priority: u8) -> usize {
    usize::from(priority).min(CLASSES - 1)
}

fn learn(old: f32, ratio: f32, weight: f32) -> f32 {
    (old * ratio.powf(weight)).clamp(SLOWNESS.0, SLOWNESS.1)
}

fn smooth(average: &mut f32, value: f32, weight: f32) {
    *average += weight * (value - *average);
}

/// Like [`smooth`], but an average of 0 counts as unknown and is replaced.
fn smooth_known(average: &mut f32, value: f32, weight: f32) {
    let weight = if *average > 0.0 { weight } else { 1.0 };
    smooth(average, value, weight);
}

fn positive(value: f32, default: f32) -> f32 {
    if value > 0.0 { value } else { default }
}
