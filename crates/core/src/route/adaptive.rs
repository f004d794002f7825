//! The product's policy: the lowest estimate of the times to first token and to completion.

use {
    super::{
        CacheChange, CacheUpdate, Candidate, Choice, Full, Load, Name, Origin, Policy, Progress,
        Reason, Request, Settings, Ticket,
        choice::Phase,
        engine::{Engine, Estimate, class},
        prefix::{Hints, Trust},
        registry::{Distance, List, Registry, Slot, Subset},
    },
    crate::{fleet::weighted_score, id::HostId},
    rand::{Rng, RngCore},
    std::{mem::size_of, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Estimates the times to first token and to completion of each candidate in a sample of this
/// host's subset, and chooses the lowest after adding a random share that grows with the age of
/// the load report.
#[derive(Debug)]
pub struct Adaptive {
    settings: Settings,
    registry: Registry<Engine>,
    hints: Hints,
    share: Share,
}

/// This host's share of the load of the upstreams that report, over recent reports.
#[derive(Debug, Default)]
struct Share {
    own: f32,
    all: f32,
}

impl Share {
    /// Weight of the earlier reports when a new one arrives.
    const MEMORY: f32 = 0.98;

    fn add(&mut self, own: u32, all: u32) {
        self.own = self.own * Self::MEMORY + own as f32;
        self.all = self.all * Self::MEMORY + all as f32;
    }

    /// Returns how many requests at an upstream one own request stands for.
    fn peers(&self, settings: &Settings) -> f32 {
        (self.all / self.own.max(1.0)).clamp(1.0, settings.peer_limit)
    }
}

/// A candidate with its estimate.
#[derive(Clone, Copy, Debug)]
struct Rated {
    slot: u32,
    cost: f32,
    estimate: Estimate,
    is_assumed: bool,
}

/// The best candidates so far.
#[derive(Debug, Default)]
struct Ranking {
    best: Option<Rated>,
    next: Option<Rated>,
    suspect: Option<Rated>,
    considered: usize,
}

impl Ranking {
    fn add(&mut self, rated: Rated, is_suspect: bool) {
        self.considered += 1;
        if is_suspect {
            if self.suspect.is_none_or(|other| rated.cost < other.cost) {
                self.suspect = Some(rated);
            }
            return;
        }
        if self.best.is_none_or(|other| rated.cost < other.cost) {
            self.next = self.best.replace(rated);
        } else if self.next.is_none_or(|other| rated.cost < other.cost) {
            self.next = Some(rated);
        }
    }
}

impl Adaptive {
    /// Creates the policy without candidates.
    pub fn new(origin: Origin, settings: Settings) -> Self {
        Self {
            registry: Registry::new(origin, settings.capacity),
            hints: Hints::new(settings.hint_limit, settings.hint_half_life),
            share: Share::default(),
            settings,
        }
    }

    /// Rates a slot with a factor on its cost, unless it is not allowed.
    fn rate(
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
        let rated = Rated {
            slot: index,
            cost: self.cost(request, slot, &estimate) * noise * factor,
            estimate,
            is_assumed,
        };
        ranking.add(rated, slot.state.is_suspect(settings, now, estimate.first));
    }

    fn estimate(
        &self,
        now: Duration,
        request: &Request<'_>,
        is_home: bool,
        slot: &Slot<Engine>,
    ) -> (Estimate, bool) {
        let engine = &slot.state;
        let trust = Trust {
            cleared: engine.cleared,
            gap: engine.gap,
            after_gap: self.settings.gap_weight,
        };
        let blocks = self.hints.expect(now, slot.hash, request.prefixes, &trust);
        let shared = request.home.filter(|_| is_home);
        let assumed = shared.map_or(0.0, |home| home.blocks as f32);
        let cached = (blocks.max(assumed) * self.settings.block_tokens as f32) as u32;
        let class = class(request.priority);
        let peers = self.share.peers(&self.settings);
        let estimate = engine.estimate(&self.settings, now, class, request.prompt, cached, peers);
        (estimate, assumed > blocks + 1.0)
    }

    fn cost(&self, request: &Request<'_>, slot: &Slot<Engine>, estimate: &Estimate) -> f32 {
        let settings = &self.settings;
        let network = match slot.distance {
            Distance::Zone => Duration::ZERO,
            Distance::Region => settings.zone_cost,
            Distance::Remote => settings.region_cost,
        };
        let tokens = request.output.min(settings.response_limit) as f32;
        let response =
            tokens * (estimate.token_interval + settings.slowdown_weight * estimate.slowdown);
        let excess = (estimate.token_interval / settings.token_interval_limit - 1.0).max(0.0);
        let shared = request
            .home
            .map_or(0, |home| home.blocks * settings.block_tokens);
        let reread = settings.reread_cost * shared.saturating_sub(estimate.cached) as f32;
        let time = network.as_secs_f32() + estimate.first + settings.completion_weight * response;
        time + excess + reread
    }

    /// Rates one random candidate outside the subset, a random sample of the subset, and the candidate that the prompt's first prefix hash
    /// maps to, so that prompts with the same prefix meet also without cache events.
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
        if let Some(slot) = list.outsider(random, &subset) {
            let rated = (slot, self.settings.outside_factor);
            self.rate(now, random, request, home, rated, &mut ranking);
        }
        let count = subset.len();
        if let Some(slot) = home {
            self.rate(now, random, request, home, (slot, 1.0), &mut ranking);
        }
        if count <= self.settings.sample {
            for index in 0..count {
                self.rate(
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
        // A random start and a stride that shares no factor with the count visit distinct
        // candidates without a list of those already drawn.
        let start = random.random_range(0..count);
        let stride = stride(random.random_range(1..count), count);
        for step in 0..self.settings.sample {
            let slot = subset.slot((start + step * stride) % count);
            self.rate(now, random, request, home, (slot, 1.0), &mut ranking);
        }
        if let Some(slot) = self.affine(request, subset) {
            self.rate(now, random, request, home, (slot, 1.0), &mut ranking);
        }
        ranking
    }

    /// Returns the allowed candidate with the highest rendezvous hash for the shared prefix.
    fn home(&self, request: &Request<'_>, list: &List) -> Option<u32> {
        let home = request.home?;
        let score = |slot: &u32| {
            let slot = self.registry.slot(*slot);
            let (hash, weight) = slot.map_or((0, 1.0), |slot| (slot.hash, slot.state.weight()));
            let hash = xxh3_64_with_seed(&hash.to_le_bytes(), home.key);
            weighted_score(hash, f64::from(weight))
        };
        let is_allowed = |slot: &u32| {
            let slot = self.registry.slot(*slot);
            slot.is_some_and(|slot| (request.allows)(&slot.candidate.id))
        };
        let allowed = list.all().filter(is_allowed);
        allowed.max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    fn affine(&self, request: &Request<'_>, subset: Subset<'_>) -> Option<u32> {
        let prefix = request.prefixes.first()?;
        let weight = |slot: &u32| {
            let hash = self.registry.slot(*slot).map_or(0, |slot| slot.hash);
            (hash ^ prefix).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        };
        (0..subset.len())
            .map(|index| subset.slot(index))
            .max_by_key(weight)
    }

    fn choice(
        &self,
        now: Duration,
        rated: Rated,
        known: usize,
        considered: usize,
        reason: Reason,
    ) -> Option<Choice> {
        let slot = self.registry.slot(rated.slot)?;
        let mut ticket = Ticket::plain(now, rated.slot, slot.generation);
        ticket.uncached = rated.estimate.uncached;
        ticket.first = rated.estimate.first;
        ticket.token_interval = rated.estimate.token_interval;
        ticket.is_assumed = rated.is_assumed;
        Some(Choice {
            upstream: slot.candidate.id.clone(),
            known,
            considered,
            reason,
            ticket,
        })
    }

    fn reason(&self, rated: &Rated, ranking: &Ranking) -> Reason {
        let failures = self
            .registry
            .slot(rated.slot)
            .map_or(0, |slot| slot.state.failures());
        if ranking.best.is_none() {
            return Reason::Fallback;
        }
        if failures > 0 {
            return Reason::Probe { failures };
        }
        Reason::Estimate {
            first: rated.estimate.first,
            token_interval: rated.estimate.token_interval,
            cached: rated.estimate.cached,
            age: rated.estimate.age,
            next: ranking.next.map_or(0.0, |next| next.estimate.first),
        }
    }
}

impl Policy for Adaptive {
    fn name(&self) -> Name {
        Name::Adaptive
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
            // Nothing in the sample is in order, so all candidates are considered.
            ranking = Ranking::default();
            let home = self.home(request, list);
            for slot in list.all() {
                self.rate(now, random, request, home, (slot, 1.0), &mut ranking);
            }
        }
        let rated = ranking.best.or(ranking.suspect)?;
        let reason = self.reason(&rated, &ranking);
        self.choice(now, rated, list.len(), ranking.considered, reason)
    }

    fn report(&mut self, now: Duration, ticket: &mut Ticket, progress: Progress<'_>) {
        let Some((from, to)) = ticket.advance(&progress) else {
            return;
        };
        let elapsed = now.saturating_sub(ticket.at).as_secs_f32();
        ticket.at = now;
        let settings = &self.settings;
        let Some(slot) = self.registry.current(ticket.slot, ticket.generation) else {
            return;
        };
        let engine = &mut slot.state;
        match progress {
            Progress::Sent(prefixes) => {
                engine.send(now, ticket.uncached);
                self.hints.store(now, slot.hash, prefixes);
                return;
            }
            Progress::FirstToken => {
                let first = (!ticket.is_assumed).then_some(ticket.first);
                engine.answer(settings, now, elapsed, first);
                engine.processed(ticket.uncached);
                return;
            }
            Progress::Finished { tokens } if tokens > 1 && from == Phase::Answered => {
                engine.pace(
                    settings,
                    elapsed / (tokens - 1) as f32,
                    ticket.token_interval,
                );
            }
            Progress::Finished { .. } => engine.respond(now),
            Progress::Failed => engine.fail(settings, now),
            Progress::Refused { after } => engine.refuse(settings, now, after),
            Progress::Cancelled => {}
        }
        if from != Phase::Chosen && to == Phase::Ended {
            engine.end(from == Phase::Answered);
        }
        if from == Phase::Sent {
            engine.processed(ticket.uncached);
        }
    }

    fn record_load(&mut self, now: Duration, upstream: &str, load: &Load) {
        if let Some((_, engine)) = self.registry.state(upstream) {
            let (own, all) = engine.report(&self.settings, now, load);
            self.share.add(own, all);
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
        let is_gap = engine.sequence > 0 && event.sequence != engine.sequence + 1;
        engine.sequence = event.sequence;
        if is_gap {
            engine.gap = now;
        }
        if event.change == CacheChange::Cleared {
            engine.cleared = now;
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

/// Returns the first number from `from` on that shares no factor with `count`.
fn stride(from: usize, count: usize) -> usize {
    (from..).find(|step| gcd(*step, count) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
