//! Event loop of the simulation.

use {
    super::{
        arrivals::{Arrival, Arrivals},
        case::{Case, Fault},
        engine::{Engine, Job, Output},
        fleet::{MODEL, candidate, origin},
        meter::{Figures, Meter},
    },
    marigoldroute_core::{
        id::UpstreamId,
        route::{
            CacheChange, CacheUpdate, Load, Policy, PolicyName, Progress, Request, Settings, Ticket,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::Duration,
    },
};

/// Time to first token after which a router gives an attempt up.
const PATIENCE: f64 = 10.0;
/// Attempts per request.
const ATTEMPTS: usize = 3;
/// Network time one way, in seconds.
const NETWORK: f64 = 0.000_5;
/// Time until a failing engine's error arrives, in seconds.
const FAILURE: f64 = 0.005;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Accept { request: usize, engine: usize },
    Step { engine: usize },
    Expire { request: usize, attempt: usize },
    Fail { request: usize, attempt: usize },
    Publish { engine: usize },
    Deliver { engine: usize },
    Sample,
    Begin,
    Stall,
    End,
}

/// A request under way.
#[derive(Debug)]
struct Open {
    arrival: Arrival,
    engine: usize,
    ticket: Ticket,
    tried: Vec<UpstreamId>,
    is_answered: bool,
}

/// What an engine published and the routers have not received yet.
#[derive(Debug, Default)]
struct Mail {
    load: Load,
    stored: Vec<u64>,
    removed: Vec<u64>,
    sequence: u64,
    is_lost: bool,
}

/// A simulated fleet.
pub struct World<'a> {
    case: &'a Case,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    arrivals: Arrivals,
    next: Option<Arrival>,
    random: SmallRng,
    routers: Vec<Box<dyn Policy>>,
    ids: Vec<UpstreamId>,
    engines: Vec<Engine>,
    faults: Vec<Option<Fault>>,
    mail: Vec<VecDeque<Mail>>,
    sequences: Vec<u64>,
    open: Vec<Option<Open>>,
    meter: Meter,
}

impl<'a> World<'a> {
    pub fn new(case: &'a Case, name: PolicyName, settings: &Settings, seed: u64) -> Self {
        let count = case.speeds.len();
        let ids: Vec<UpstreamId> = (0..count).map(|n| format!("engine-{n}").into()).collect();
        let hosts: Vec<_> = (0..case.routers).map(|n| origin(n).host).collect();
        let router = |n: usize| {
            let mut policy = name.policy(origin(n), settings.clone());
            policy.set_hosts(&hosts);
            for (engine, id) in ids.iter().enumerate() {
                // The capacity is above the number of engines of every case.
                let _ = policy.join(Duration::ZERO, &candidate(id, engine));
            }
            policy
        };
        Self {
            now: 0.0,
            events: BinaryHeap::new(),
            order: 0,
            arrivals: Arrivals::new(case, seed),
            next: None,
            random: SmallRng::seed_from_u64(seed ^ 0x5eed),
            routers: (0..case.routers).map(router).collect(),
            engines: case
                .speeds
                .iter()
                .map(|speed| Engine::new(*speed, case.cache))
                .collect(),
            faults: vec![None; count],
            mail: (0..count).map(|_| VecDeque::new()).collect(),
            sequences: vec![0; count],
            open: Vec::new(),
            meter: Meter::new(),
            ids,
            case,
        }
    }

    /// Runs the case to its end.
    pub fn run(mut self) -> Figures {
        self.prepare();
        let end = self.case.end.as_secs_f64();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e9;
            if self.now >= end {
                break;
            }
            self.handle(event);
        }
        self.close(end)
    }

    fn prepare(&mut self) {
        self.schedule(0.0, Event::Arrive);
        let (from, until) = self.case.period;
        self.schedule(from.as_secs_f64(), Event::Begin);
        self.schedule(from.as_secs_f64() + PATIENCE, Event::Stall);
        self.schedule(until.as_secs_f64(), Event::End);
        self.schedule(self.case.warmup.as_secs_f64(), Event::Sample);
        for engine in 0..self.engines.len() {
            let phase = self.random.random::<f64>() * self.case.interval.as_secs_f64();
            self.schedule(phase, Event::Publish { engine });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Accept { request, engine } => self.accept(request, engine),
            Event::Step { engine } => self.step(engine),
            Event::Expire { request, attempt } | Event::Fail { request, attempt } => {
                self.fail(request, attempt);
            }
            Event::Publish { engine } => self.publish(engine),
            Event::Deliver { engine } => self.deliver(engine),
            Event::Sample => self.sample(),
            Event::Begin => self.begin(),
            Event::Stall => self.stall(),
            Event::End => self.end(),
        }
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.order += 1;
        let at = ((self.now + after) * 1e9) as u64;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn is_measured(&self, at: f64) -> bool {
        at >= self.case.warmup.as_secs_f64()
    }

    fn arrive(&mut self) {
        if let Some(arrival) = self.next.take() {
            self.dispatch(arrival, Vec::new());
        }
        let next = self.arrivals.next(self.case);
        self.schedule(next.at - self.now, Event::Arrive);
        self.next = Some(next);
    }

    /// Chooses an engine for a request and sends it there.
    fn dispatch(&mut self, arrival: Arrival, tried: Vec<UpstreamId>) {
        let now = Duration::from_secs_f64(self.now);
        let router = &mut self.routers[arrival.router];
        let request = Request {
            target: MODEL,
            prompt_tokens: arrival.prompt,
            output_limit: arrival.limit,
            prefixes: &arrival.prefixes,
            shared_prefix: None,
            zone: None,
            priority: arrival.class as u8,
            allows: &|id| !tried.contains(id),
        };
        let Some(mut choice) = router.choose(now, &mut self.random, &request) else {
            self.meter.failures += 1;
            return;
        };
        router.report(now, &mut choice.ticket, Progress::Sent(&arrival.prefixes));
        let engine = self.ids.iter().position(|id| *id == choice.upstream);
        let engine = engine.unwrap_or_default();
        let attempt = tried.len();
        self.open.push(Some(Open {
            arrival,
            engine,
            ticket: choice.ticket,
            tried,
            is_answered: false,
        }));
        let request = self.open.len() - 1;
        self.schedule(NETWORK, Event::Accept { request, engine });
        self.schedule(PATIENCE, Event::Expire { request, attempt });
    }

    fn accept(&mut self, request: usize, engine: usize) {
        let Some(Some(open)) = self.open.get(request) else {
            return;
        };
        if self.faults[engine] == Some(Fault::Failing) {
            let attempt = open.tried.len();
            self.schedule(FAILURE, Event::Fail { request, attempt });
            return;
        }
        self.engines[engine].accept(Job {
            request,
            class: open.arrival.class,
            prompt: open.arrival.prompt,
            output: open.arrival.output,
            prefixes: open.arrival.prefixes.clone(),
        });
        self.start(engine);
    }

    fn start(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if model.is_busy || self.faults[engine] == Some(Fault::Silent) {
            return;
        }
        if let Some(length) = model.begin() {
            self.schedule(length, Event::Step { engine });
        }
    }

    fn step(&mut self, engine: usize) {
        for output in self.engines[engine].finish(self.now) {
            self.relay(output);
        }
        self.start(engine);
    }

    fn relay(&mut self, output: Output) {
        let now = Duration::from_secs_f64(self.now + NETWORK);
        match output {
            Output::Token { gap, .. } => {
                if self.is_measured(self.now) {
                    self.meter.between(gap);
                    self.meter.tokens += 1;
                }
            }
            Output::First { request } => {
                let Some(open) = &mut self.open[request] else {
                    return;
                };
                open.is_answered = true;
                let at = open.arrival.at;
                self.routers[open.arrival.router].report(
                    now,
                    &mut open.ticket,
                    Progress::FirstToken,
                );
                if self.is_measured(at) {
                    self.meter.first(now.as_secs_f64() - at);
                }
            }
            Output::Finished { request, tokens } => {
                let Some(mut open) = self.open[request].take() else {
                    return;
                };
                let progress = Progress::Finished { tokens };
                self.routers[open.arrival.router].report(now, &mut open.ticket, progress);
                if self.is_measured(self.now) {
                    self.meter.requests += 1;
                }
            }
        }
    }

    /// Ends an attempt that failed or was not answered in time, and tries another engine.
    fn fail(&mut self, request: usize, attempt: usize) {
        let is_waiting = |open: &Open| !open.is_answered && open.tried.len() == attempt;
        if !self.open[request].as_ref().is_some_and(is_waiting) {
            return;
        }
        let Some(mut open) = self.open[request].take() else {
            return;
        };
        self.meter.attempts += 1;
        let now = Duration::from_secs_f64(self.now);
        self.routers[open.arrival.router].report(now, &mut open.ticket, Progress::Failed);
        self.engines[open.engine].cancel(request);
        open.tried.push(self.ids[open.engine].clone());
        if open.tried.len() >= ATTEMPTS {
            self.meter.failures += 1;
            self.meter.first(self.now - open.arrival.at);
        } else {
            self.dispatch(open.arrival, open.tried);
        }
    }

    fn publish(&mut self, engine: usize) {
        let interval = self.case.interval.as_secs_f64();
        self.schedule(interval, Event::Publish { engine });
        if self.faults[engine].is_some_and(|fault| !matches!(fault, Fault::Slow(_))) {
            return;
        }
        let (stored, removed) = self.engines[engine].changes();
        self.sequences[engine] += 2;
        let mail = Mail {
            load: self.engines[engine].report(),
            stored,
            removed,
            sequence: self.sequences[engine],
            is_lost: self.random.random_bool(self.case.loss),
        };
        self.mail[engine].push_back(mail);
        self.schedule(self.case.lag.as_secs_f64(), Event::Deliver { engine });
    }

    fn deliver(&mut self, engine: usize) {
        let Some(mail) = self.mail[engine].pop_front() else {
            return;
        };
        let now = Duration::from_secs_f64(self.now);
        let id = &self.ids[engine];
        let event = |sequence, change| CacheUpdate { sequence, change };
        for router in &mut self.routers {
            router.record_load(now, id, &mail.load);
            if !mail.is_lost {
                let removed = CacheChange::Removed(&mail.removed);
                router.apply_cache_update(now, id, &event(mail.sequence - 1, removed));
                let stored = CacheChange::Stored(&mail.stored);
                router.apply_cache_update(now, id, &event(mail.sequence, stored));
            }
        }
    }

    fn sample(&mut self) {
        self.schedule(1.0, Event::Sample);
        let loads = self.engines.iter().zip(&self.faults);
        let loads: Vec<f64> = loads
            .filter(|(_, fault)| fault.is_none())
            .map(|(engine, _)| engine.outstanding() as f64 / engine.speed)
            .collect();
        self.meter.balance(&loads);
    }

    fn begin(&mut self) {
        for outage in &self.case.outages {
            self.faults[outage.engine] = Some(outage.fault);
            if let Fault::Slow(share) = outage.fault {
                self.engines[outage.engine].speed *= share;
            }
        }
    }

    /// Fails the responses that a silent engine had begun.
    fn stall(&mut self) {
        for engine in 0..self.engines.len() {
            if self.faults[engine] != Some(Fault::Silent) {
                continue;
            }
            for request in self.engines[engine].answering() {
                self.engines[engine].cancel(request);
                if let Some(mut open) = self.open[request].take() {
                    let now = Duration::from_secs_f64(self.now);
                    let router = &mut self.routers[open.arrival.router];
                    router.report(now, &mut open.ticket, Progress::Failed);
                    self.meter.failures += 1;
                }
            }
        }
    }

    fn end(&mut self) {
        for outage in &self.case.outages {
            if let Some(Fault::Slow(share)) = self.faults[outage.engine].take() {
                self.engines[outage.engine].speed /= share;
            }
        }
        for engine in 0..self.engines.len() {
            self.start(engine);
        }
    }

    /// Counts requests that still wait with the time that they have waited.
    fn close(mut self, end: f64) -> Figures {
        for open in self.open.iter().flatten() {
            if !open.is_answered && open.arrival.at >= self.case.warmup.as_secs_f64() {
                self.meter.first(end - open.arrival.at);
            }
        }
        let prompt: u64 = self.engines.iter().map(|engine| engine.prompt_tokens).sum();
        let cached: u64 = self.engines.iter().map(|engine| engine.cached_tokens).sum();
        self.meter.figures(cached as f64 / prompt.max(1) as f64)
    }
}
