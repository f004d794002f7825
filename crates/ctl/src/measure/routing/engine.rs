//! Model of an engine: continuous batching in steps, chunked prompt processing, priorities and a
//! prefix cache.

use {
    super::cache::Cache,
    marigoldroute_core::route::{Load, PRIORITY_CLASSES},
    std::collections::VecDeque,
};

/// Time of a step without work, in seconds, at speed 1.
const STEP: f64 = 0.012;
/// Additional time of a step per generated token, in seconds, at speed 1.
const STEP_TOKEN: f64 = 0.000_35;
/// Time per prompt token, in seconds, at speed 1.
const PREFILL: f64 = 0.000_04;
/// Prompt tokens processed per step at most.
const CHUNK: u32 = 512;
/// Requests in the batch at most.
const BATCH: usize = 128;
/// Tokens per block of the prefix cache.
pub const BLOCK: u32 = 256;

/// A request at the engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: usize,
    pub class: usize,
    pub prompt: u32,
    pub output: u32,
    pub prefixes: Vec<u64>,
}

/// A request in the batch.
#[derive(Debug)]
struct Running {
    job: Job,
    /// Prompt tokens that are not yet processed.
    left: u32,
    emitted: u32,
    last: f64,
}

/// What a step produced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    First { request: usize },
    Token { request: usize, gap: f64 },
    Finished { request: usize, tokens: u32 },
}

/// Sums since the last load report.
#[derive(Debug, Default)]
struct Recent {
    gaps: f64,
    tokens: u32,
    prefill: f64,
    prompt: u32,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    pub speed: f64,
    /// Whether a step is in progress.
    pub is_busy: bool,
    waiting: [VecDeque<Job>; PRIORITY_CLASSES],
    batch: Vec<Running>,
    cache: Cache,
    recent: Recent,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
}

impl Engine {
    pub fn new(speed: f64, cache: usize) -> Self {
        Self {
            speed,
            is_busy: false,
            waiting: Default::default(),
            batch: Vec::new(),
            cache: Cache::new(cache),
            recent: Recent::default(),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    pub fn accept(&mut self, job: Job) {
        self.waiting[job.class].push_back(job);
    }

    /// Removes a request that its caller gave up.
    pub fn cancel(&mut self, request: usize) {
        for queue in &mut self.waiting {
            queue.retain(|job| job.request != request);
        }
        self.batch.retain(|running| running.job.request != request);
    }

    /// Returns the requests in the batch that have emitted a token.
    pub fn answering(&self) -> Vec<usize> {
        let answering = self.batch.iter().filter(|running| running.emitted > 0);
        answering.map(|running| running.job.request).collect()
    }

    /// Returns the number of requests at the engine.
    pub fn outstanding(&self) -> usize {
        self.batch.len() + self.waiting.iter().map(VecDeque::len).sum::<usize>()
    }

    /// Starts a step and returns its length in seconds; `None` when there is nothing to do.
    pub fn begin(&mut self) -> Option<f64> {
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        let decoding = self
            .batch
            .iter()
            .filter(|running| running.left == 0)
            .count();
        let mut chunk = CHUNK;
        for running in &mut self.batch {
            let part = running.left.min(chunk);
            // The first token of a prompt that this step completes is emitted at its end.
            running.left -= part;
            chunk -= part;
        }
        let processed = CHUNK - chunk;
        let prefill = PREFILL * f64::from(processed);
        let length = (STEP + STEP_TOKEN * decoding as f64 + prefill) / self.speed;
        if processed > 0 {
            self.recent.prefill += length;
            self.recent.prompt += processed;
        }
        self.is_busy = true;
        Some(length)
    }

    /// Ends a step and returns what it produced.
    pub fn finish(&mut self, now: f64) -> Vec<Output> {
        self.is_busy = false;
        let mut outputs = Vec::with_capacity(self.batch.len());
        for running in self.batch.iter_mut().filter(|running| running.left == 0) {
            let request = running.job.request;
            running.emitted += 1;
            if running.emitted == 1 {
                self.cache.store(&running.job.prefixes);
                outputs.push(Output::First { request });
            } else {
                let gap = now - running.last;
                self.recent.gaps += gap;
                self.recent.tokens += 1;
                outputs.push(Output::Token { request, gap });
            }
            running.last = now;
            if running.emitted >= running.job.output {
                let tokens = running.emitted;
                outputs.push(Output::Finished { request, tokens });
            }
        }
        self.batch
            .retain(|running| running.emitted < running.job.output);
        outputs
    }

    /// Returns a load report on the time since the last one.
    pub fn report(&mut self) -> Load {
        let recent = std::mem::take(&mut self.recent);
        let mean = |sum: f64, count: u32| {
            if count > 0 {
                sum / f64::from(count)
            } else {
                0.0
            }
        };
        let mut load = Load {
            running: self.batch.len() as u32,
            token_interval: mean(recent.gaps, recent.tokens) as f32,
            prefill: mean(recent.prefill, recent.prompt) as f32,
            ..Load::default()
        };
        for (class, queue) in self.waiting.iter().enumerate() {
            load.waiting[class] = queue.len() as u32;
            load.pending_tokens[class] = queue.iter().map(|job| job.prompt).sum();
        }
        for running in &self.batch {
            load.pending_tokens[running.job.class] += running.left;
        }
        load
    }

    /// Returns the cache blocks stored and removed since the last call.
    pub fn changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        self.cache.changes()
    }

    fn admit(&mut self) {
        while self.batch.len() < BATCH {
            let Some(job) = self.waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            let cached = (self.cache.hit(&job.prefixes) as u32 * BLOCK).min(job.prompt - 1);
            self.prompt_tokens += u64::from(job.prompt);
            self.cached_tokens += u64::from(cached);
            let left = job.prompt - cached;
            let behind = |running: &Running| running.left > 0 && running.job.class > job.class;
            let place = self.batch.iter().position(behind);
            let running = Running {
                job,
                left,
                emitted: 0,
                last: 0.0,
            };
            self.batch
                .insert(place.unwrap_or(self.batch.len()), running);
        }
    }
}
