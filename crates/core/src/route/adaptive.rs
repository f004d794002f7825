//! The default policy: chooses the lowest estimate of the times to first token and to completion.

use {
    super::{
        CacheChange, CacheUpdate, Candidate, Choice, Full, Load, Origin, Policy, PolicyName,
        Progress, Reason, Request, Settings, Ticket,
        choice::Phase,
        engine::{Engine, Estimate, class},
        prefix::{Hints, Validity},
        registry::{Distance, List, Registry, Slot, Subset},
    },
    crate::{fleet::weighted_score, id::HostId},
    rand::{Rng, RngCore},
    std::{mem::size_of, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Estimates the times to first token and to completion of the candidates in a sample of this
/// host's subset, and chooses the lowest cost after adding a random share of up to
/// [`Settings::jitter`].
#[derive(Debug)]
pub struct Adaptive {
    settings: Settings,
    registry: Registry<Engine>,
    hints: Hints,
    share: LoadShare,
}

/// This host's share of the load of the upstreams, from recent load reports.
#[derive(Debug, Default)]
struct LoadShare {
    /// Decaying sum of this host's requests in flight.
    own: f32,
    /// Decaying sum of all requests at the upstreams.
    all: f32,
}

impl LoadShare {
    /// Weight of the earlier reports when a new one arrives.
    const DECAY: f32 = 0.98;

    fn record(&mut self, own: u32, all: u32) {
        self.own = self.own * Self::DECAY + own as f32;
        self.all = self.all * Self::DECAY + all as f32;
    }

    /// Returns how many requests at an upstream one request of this host represents.
    fn requests_per_own(&self, settings: &Settings) -> f32 {
        (self.all / self.own.max(1.0)).clamp(1.0, settings.peer_limit)
    }
}

/// A candidate with its estimate and its cost.
#[derive(Clone, Copy, Debug)]
struct Scored {
    slot: u32,
    /// The lowest is chosen.
    cost: f32,
    estimate: Estimate,
    /// Whether the prefix is assumed to be cached only because the upstream is its home.
    is_assumed: bool,
}

/// The best of the candidates considered so far.
#[derive(Debug, Default)]
struct Ranking {
    best: Option<Scored>,
    second: Option<Scored>,
    best_suspect: Option<Scored>,
    considered: usize,
}

impl Ranking {
    fn add(&mut self, scored: Scored, is_suspect: bool) {
        self.considered += 1;
        if is_suspect {
            if self
                .best_suspect
                .is_none_or(|other| scored.cost < other.cost)
            {
                self.best_suspect = Some(scored);
            }
            return;
        }
        if self.best.is_none_or(|other| scored.cost < other.cost) {
            self.second = self.best.replace(scored);
        } else if self.second.is_none_or(|other| scored.cost < other.cost) {
            self.second = Some(scored);
        }
    }
}

impl Adaptive {
    /// Creates a policy without candidates.
    pub fn new(origin: Origin, settings: Settings) -> Self {
        Self {
            registry: Registry::new(origin, settings.capacity),
            hints: Hints::new(settings.hint_limit, settings.hint_half_life),
            share: LoadShare::default(),
            settings,
        }
    }

    /// Adds a slot, with a factor on its cost, to the ranking if the request allows it.
    fn score(
        &self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &Request<'_>,
        home: Option<u32>,
        (index, factor): (u32, f32),
        ranking: &mut Ranking,
    ) {
        let Some(slot) = self.registry.slot(index) else {
            return;
        };
        if !(request.allows)(&slot.candidate.id) {
            return;
        }
        let settings = &self.settings;
        let (estimate, is_assumed) = self.estimate(now, request, home == Some(index), slot);
        let noise = 1.0 + settings.jitter * random.random::<f32>();
        let scored = Scored {
            slot: index,
            cost: self.cost(now, request, slot, &estimate) * noise * factor,
            estimate,
            is_assumed,
        };
        ranking.add(
            scored,
            slot.state.is_suspect(settings, now, estimate.first_token),
        );
    }

    /// Returns the estimate of a slot, and whether it only assumes that the prefix is cached.
    fn estimate(
        &self,
        now: Duration,
        request: &Request<'_>,
        is_home: bool,
        slot: &Slot<Engine>,
    ) -> (Estimate, bool) {
        let engine = &slot.state;
        let validity = Validity {
            cleared_at: engine.cleared_at,
            gap_at: engine.gap_at,
            gap_weight: self.settings.gap_weight,
        };
        let blocks = self
            .hints
            .cached_blocks(now, slot.hash, request.prefixes, &validity);
        let shared = request.shared_prefix.filter(|_| is_home);
        let assumed = shared.map_or(0.0, |prefix| prefix.blocks as f32);
        let cached = (blocks.max(assumed) * self.settings.block_tokens as f32) as u32;
        let class = class(request.priority);
        let requests_per_own = self.share.requests_per_own(&self.settings);
        let estimate = engine.estimate(
            &self.settings,
            now,
            class,
            request.prompt_tokens,
            cached,
            requests_per_own,
        );
        (estimate, assumed > blocks + 1.0)
    }

    /// Returns the cost of a candidate: weighted times in seconds, plus the relative excess over
    /// [`Settings::token_interval_limit`].
    fn cost(
        &self,
        now: Duration,
        request: &Request<'_>,
        slot: &Slot<Engine>,
        estimate: &Estimate,
    ) -> f32 {
        let settings = &self.settings;
        let network = match slot.distance {
            Distance::Zone | Distance::Region if let Some(zone) = request.zone => {
                let is_near = *slot.candidate.zone == *zone;
                if is_near {
                    Duration::ZERO
                } else {
                    settings.zone_cost
                }
            }
            Distance::Zone => Duration::ZERO,
            Distance::Region => settings.zone_cost,
            Distance::Remote => settings.region_cost,
        };
        let tokens = request.output_limit.min(settings.response_limit) as f32;
        let response =
            tokens * (estimate.token_interval + settings.slowdown_weight * estimate.slowdown);
        let excess = (estimate.token_interval / settings.token_interval_limit - 1.0).max(0.0);
        let shared = request
            .shared_prefix
            .map_or(0, |prefix| prefix.blocks * settings.block_tokens);
        let reread = settings.reread_cost * shared.saturating_sub(estimate.cached) as f32;
        let utilization = slot.state.utilization(now).min(1.0);
        let uncached = shared.saturating_sub(estimate.cached) as f32 / shared.max(1) as f32;
        let placement = settings.utilization_cost * utilization * uncached;
        let time =
            network.as_secs_f32() + estimate.first_token + settings.completion_weight * response;
        time + excess + reread + placement
    }

    /// Ranks a random candidate outside the subset, the home of the request, and a random sample of
    /// the subset, or all of it when it is no larger than a sample. A sample is completed by the
    /// candidate that the prompt's first prefix hash maps to, so that prompts with the same prefix
    /// reach the same upstream even without cache events.
    fn sample(
        &self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &Request<'_>,
        list: &List,
    ) -> Ranking {
        let mut ranking = Ranking::default();
        let home = self.home(request, list);
        let hosts = self.registry.host_count();
        let subset = list.subset(self.settings.subset, self.settings.spill, hosts);
        if let Some(slot) = list.random_outside(random, &subset) {
            let outside = (slot, self.settings.outside_factor);
            self.score(now, random, request, home, outside, &mut ranking);
        }
        let count = subset.len();
        if let Some(slot) = home {
            self.score(now, random, request, home, (slot, 1.0), &mut ranking);
        }
        if count <= self.settings.sample {
            for index in 0..count {
                self.score(
                    now,
                    random,
                    request,
                    home,
                    (subset.slot(index), 1.0),
                    &mut ranking,
                );
            }
            return ranking;
        }
        // A random start and a stride coprime to the count visit distinct candidates without a list
        // of those already visited.
        let start = random.random_range(0..count);
        let stride = next_coprime(random.random_range(1..count), count);
        for step in 0..self.settings.sample {
            let slot = subset.slot((start + step * stride) % count);
            self.score(now, random, request, home, (slot, 1.0), &mut ranking);
        }
        if let Some(slot) = self.prefix_affine(request, subset) {
            self.score(now, random, request, home, (slot, 1.0), &mut ranking);
        }
        ranking
    }

    /// Returns the home of the shared prefix: the allowed candidate with the highest weighted
    /// rendezvous hash.
    fn home(&self, request: &Request<'_>, list: &List) -> Option<u32> {
        let prefix = request.shared_prefix.filter(|_| self.settings.has_homes)?;
        let score = |slot: &u32| {
            let slot = self.registry.slot(*slot);
            let (hash, weight) =
                slot.map_or((0, 1.0), |slot| (slot.hash, slot.state.home_weight()));
            let hash = xxh3_64_with_seed(&hash.to_le_bytes(), prefix.key);
            weighted_score(hash, f64::from(weight))
        };
        let is_allowed = |slot: &u32| {
            let slot = self.registry.slot(*slot);
            slot.is_some_and(|slot| (request.allows)(&slot.candidate.id))
        };
        let allowed = list.all().filter(is_allowed);
        allowed.max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// Returns the candidate of the subset with the highest rendezvous hash for the first prefix.
    fn prefix_affine(&self, request: &Request<'_>, subset: Subset<'_>) -> Option<u32> {
        let prefix = request.prefixes.first()?;
        let weight = |slot: &u32| {
            let hash = self.registry.slot(*slot).map_or(0, |slot| slot.hash);
            (hash ^ prefix).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        };
        (0..subset.len())
            .map(|index| subset.slot(index))
            .max_by_key(weight)
    }

    fn build_choice(
        &self,
        now: Duration,
        scored: Scored,
        known: usize,
        considered: usize,
        reason: Reason,
    ) -> Option<Choice> {
        let slot = self.registry.slot(scored.slot)?;
        let mut ticket = Ticket::without_estimate(now, scored.slot, slot.generation);
        ticket.uncached = scored.estimate.uncached;
        ticket.first_token = scored.estimate.first_token;
        ticket.token_interval = scored.estimate.token_interval;
        ticket.is_assumed = scored.is_assumed;
        Some(Choice {
            upstream: slot.candidate.id.clone(),
            known,
            considered,
            reason,
            ticket,
        })
    }

    fn reason(&self, scored: &Scored, ranking: &Ranking) -> Reason {
        let failures = self
            .registry
            .slot(scored.slot)
            .map_or(0, |slot| slot.state.failures());
        if ranking.best.is_none() {
            return Reason::Fallback;
        }
        if failures > 0 {
            return Reason::Probe { failures };
        }
        Reason::Estimate {
            first_token: scored.estimate.first_token,
            token_interval: scored.estimate.token_interval,
            cached: scored.estimate.cached,
            age: scored.estimate.age,
            next_first_token: ranking
                .second
                .map_or(0.0, |second| second.estimate.first_token),
        }
    }
}

impl Policy for Adaptive {
    fn name(&self) -> PolicyName {
        PolicyName::Adaptive
    }

    fn join(&mut self, _now: Duration, candidate: &Candidate) -> Result<(), Full> {
        self.registry.join(candidate)
    }

    fn withdraw(&mut self, upstream: &str) {
        self.registry.withdraw(upstream);
    }

    fn set_hosts(&mut self, hosts: &[HostId]) {
        self.registry.set_hosts(hosts);
    }

    fn choose(
        &mut self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &Request<'_>,
    ) -> Option<Choice> {
        let list = self.registry.list(request.target)?;
        let mut ranking = self.sample(now, random, request, list);
        if ranking.best.is_none() {
            // Every candidate of the sample is suspect or not allowed, so all are considered.
            ranking = Ranking::default();
            let home = self.home(request, list);
            for slot in list.all() {
                self.score(now, random, request, home, (slot, 1.0), &mut ranking);
            }
        }
        let scored = ranking.best.or(ranking.best_suspect)?;
        let reason = self.reason(&scored, &ranking);
        self.build_choice(now, scored, list.len(), ranking.considered, reason)
    }

    fn report(&mut self, now: Duration, ticket: &mut Ticket, progress: Progress<'_>) {
        let Some((from, to)) = ticket.advance(&progress) else {
            return;
        };
        let elapsed = now.saturating_sub(ticket.updated_at).as_secs_f32();
        ticket.updated_at = now;
        let settings = &self.settings;
        let Some(slot) = self.registry.current(ticket.slot, ticket.generation) else {
            return;
        };
        let engine = &mut slot.state;
        match progress {
            Progress::Sent(prefixes) => {
                engine.record_sent(settings, now, ticket.uncached);
                self.hints.store(now, slot.hash, prefixes);
                return;
            }
            Progress::FirstToken => {
                let first_token = (!ticket.is_assumed).then_some(ticket.first_token);
                engine.record_first_token(settings, now, elapsed, first_token);
                engine.remove_from_backlog(ticket.uncached);
                return;
            }
            Progress::Finished { tokens } if tokens > 1 && from == Phase::Answered => {
                engine.record_token_interval(
                    settings,
                    elapsed / (tokens - 1) as f32,
                    ticket.token_interval,
                );
            }
            Progress::Finished { .. } => engine.record_response(now),
            Progress::Failed => engine.record_failure(settings, now),
            Progress::Refused { after } => engine.record_refusal(settings, now, after),
            Progress::Cancelled => {}
        }
        if from != Phase::Chosen && to == Phase::Ended {
            engine.record_end(from == Phase::Answered);
        }
        if from == Phase::Sent {
            engine.remove_from_backlog(ticket.uncached);
        }
    }

    fn record_load(&mut self, now: Duration, upstream: &str, load: &Load) {
        if let Some((_, engine)) = self.registry.state(upstream) {
            let (own, all) = engine.record_load(&self.settings, now, load);
            self.share.record(own, all);
        }
    }

    fn record_remote_pending(&mut self, now: Duration, upstream: &str, host: u64, tokens: u32) {
        if let Some((_, engine)) = self.registry.state(upstream) {
            engine.record_remote_pending(now, host, tokens as f32);
        }
    }

    fn apply_cache_update(&mut self, now: Duration, upstream: &str, event: &CacheUpdate<'_>) {
        let Some(index) = self.registry.find(upstream) else {
            return;
        };
        let Some(hash) = self.registry.slot(index).map(|slot| slot.hash) else {
            return;
        };
        let Some((_, engine)) = self.registry.state(upstream) else {
            return;
        };
        let has_gap = engine.cache_sequence > 0 && event.sequence != engine.cache_sequence + 1;
        engine.cache_sequence = event.sequence;
        if has_gap {
            engine.gap_at = now;
        }
        if event.change == CacheChange::Cleared {
            engine.cleared_at = now;
        }
        match event.change {
            CacheChange::Stored(prefixes) => self.hints.store(now, hash, prefixes),
            CacheChange::Removed(prefixes) => self.hints.remove(hash, prefixes),
            CacheChange::Cleared => {}
        }
    }

    fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.registry.memory_bytes() + self.hints.memory_bytes()
    }
}

/// Returns the lowest number from `from` on that is coprime to `count`.
fn next_coprime(from: usize, count: usize) -> usize {
    (from..).find(|step| gcd(*step, count) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
