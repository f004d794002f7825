//! Tests of the order of waiting requests in a burst, at 60 hosts and 60 engines of uneven speed.

use {
    super::{Entry, Intake, IntakeSettings, Queue, QueueSettings},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
};

const HOSTS: usize = 60;
const ENGINES: usize = 60;
const SLOTS: usize = 64;
const WORKSPACES: usize = 24;
/// Workspaces that send most of the requests.
const LARGE: usize = 4;
const TOKENS_PER_MS: f64 = 63.9;
const EVENT_MS: u64 = 15;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// One in this many engines is slowed down by this factor in the bursts.
const SLOWED: usize = 4;
const SLOWDOWN: f64 = 2.5;
/// Start, end and factor of the bursts, in ms.
const BURSTS: [(u64, u64, f64); 2] = [(2_000, 6_000, 1.6), (6_000, 14_000, 2.6)];
const END_MS: u64 = 30_000;

/// Requests per second, prompt tokens, events, objective and deadline of each class.
const KINDS: [(f64, u32, u64, u64, u64); 3] = [
    (62.9, 17_020, 20, 500, 8_000),
    (86.5, 9_190, 9, 1_200, 5_000),
    (107.0, 1_460, 29, 2_500, 10_000),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Open,
    Served,
    Refused(u64),
    Expired,
}

#[derive(Clone, Debug)]
struct Request {
    host: usize,
    class: usize,
    workspace: usize,
    deadline: u64,
    end: End,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    /// Requests that wait, in the order of their urgency, with the time of their arrival.
    waiting: BTreeMap<(usize, usize), u64>,
    /// The request that is read, its arrival and the rest of its tokens.
    reading: Option<(usize, u64, f64)>,
    /// End, request and arrival of those that generate.
    running: Vec<(u64, usize, u64)>,
}

struct Host {
    queue: Queue<usize>,
    intake: Intake,
    in_flight: usize,
    /// When the queue was last empty.
    emptied: Vec<u64>,
}

struct Model {
    random: SmallRng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    now: u64,
    /// Requests that a host may have in flight.
    places: usize,
    /// Requests that waited at a host.
    held: usize,
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Model {
    fn new(seed: u64, places: usize) -> Self {
        let host = |_| Host {
            queue: Queue::new(QueueSettings::strict()),
            intake: Intake::new(IntakeSettings::default()),
            in_flight: 0,
            emptied: Vec::new(),
        };
        let engine = |index| Engine {
            speed: SPEEDS[index % SPEEDS.len()],
            ..Engine::default()
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            hosts: (0..HOSTS).map(host).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            requests: Vec::new(),
            now: 0,
            places,
            held: 0,
        }
    }

    fn run(&mut self) {
        while self.now < END_MS {
            self.now += 1;
            let burst = BURSTS
                .iter()
                .find(|(start, end, _)| (*start..*end).contains(&self.now));
            let factor = burst.map_or(1.0, |(_, _, factor)| *factor);
            for (class, kind) in KINDS.iter().enumerate() {
                if self.random.random_bool(kind.0 / 1_000.0 * factor) {
                    self.arrive(class);
                }
            }
            (0..ENGINES).for_each(|engine| self.advance(engine));
            (0..HOSTS).for_each(|host| self.serve(host));
        }
    }

    fn arrive(&mut self, class: usize) {
        // The large workspaces send 10 times as much as the others.
        let index = self.random.random_range(0..LARGE * 10 + WORKSPACES - LARGE);
        let workspace = match index < LARGE * 10 {
            true => index / 10,
            false => index - LARGE * 9,
        };
        let host = self.random.random_range(0..HOSTS);
        let deadline = self.now + KINDS[class].4;
        let id = self.requests.len();
        self.requests.push(Request {
            host,
            class,
            workspace,
            deadline,
            end: End::Open,
        });
        self.serve(host);
        if self.is_open(host, class) && self.hosts[host].queue.is_empty() {
            return self.send(id);
        }
        let entry = Entry {
            workspace: workspace.to_string().as_str().into(),
            weight: 1,
            class: class as u8,
            cost: u64::from(KINDS[class].1),
            deadline: millis(deadline),
            item: id,
        };
        match self.hosts[host].queue.push(millis(self.now), entry) {
            Ok((_, replaced)) => {
                assert!(replaced.is_none(), "the queue is not full");
                self.held += 1;
            }
            Err(_) => self.requests[id].end = End::Refused(self.now),
        }
    }

    fn is_open(&mut self, host: usize, class: usize) -> bool {
        if self.hosts[host].in_flight >= self.places {
            return false;
        }
        let objective = millis(KINDS[class].3);
        let intake = &mut self.hosts[host].intake;
        intake
            .opens_at(millis(self.now), class as u8, objective)
            .is_none()
    }

    /// Sends the requests of a host that wait and need not wait any more.
    fn serve(&mut self, host: usize) {
        let now = millis(self.now);
        for shed in self.hosts[host].queue.expire(now) {
            self.requests[shed.item].end = End::Expired;
        }
        while let Some(key) = self.hosts[host].queue.find(now, |_| true) {
            if !self.is_open(host, usize::from(key.class())) {
                return;
            }
            let id = self.hosts[host].queue.take(now, key).expect("an entry");
            self.send(id);
        }
        self.hosts[host].emptied.push(self.now);
    }

    /// Sends a request to an engine that is drawn by its usual speed.
    fn send(&mut self, id: usize) {
        let all: f64 = SPEEDS.iter().sum();
        let mut draw = || {
            let mut rest = self.random.random::<f64>() * all;
            let found = SPEEDS.iter().position(|speed| {
                rest -= speed;
                rest < 0.0
            });
            let group = found.unwrap_or_default();
            group + SPEEDS.len() * self.random.random_range(0..ENGINES / SPEEDS.len())
        };
        let engine = draw();
        let Request { class, host, .. } = self.requests[id];
        self.hosts[host].in_flight += 1;
        let key = (class, id);
        self.engines[engine].waiting.insert(key, self.now);
    }

    /// Lets an engine work for one millisecond.
    fn advance(&mut self, index: usize) {
        let (now, engine) = (self.now, &mut self.engines[index]);
        let mut ended = Vec::new();
        engine.waiting.retain(|(_, id), sent| {
            let is_late = self.requests[*id].deadline <= now;
            if is_late {
                ended.push((*id, *sent, End::Expired));
            }
            !is_late
        });
        engine.running.retain(|(end, id, sent)| {
            if *end <= now {
                ended.push((*id, *sent, End::Served));
            }
            *end > now
        });
        let is_slow = index.is_multiple_of(SLOWED)
            && BURSTS
                .iter()
                .any(|(start, end, _)| (*start..*end).contains(&now));
        let mut tokens = TOKENS_PER_MS * engine.speed / if is_slow { SLOWDOWN } else { 1.0 };
        while tokens > 0.0 {
            if engine.reading.is_none() && engine.running.len() < SLOTS {
                let next = engine.waiting.pop_first();
                engine.reading =
                    next.map(|((class, id), sent)| (id, sent, f64::from(KINDS[class].1)));
            }
            let Some((id, sent, rest)) = &mut engine.reading else {
                break;
            };
            let read = tokens.min(*rest);
            tokens -= read;
            *rest -= read;
            if *rest <= 0.0 {
                let request = &self.requests[*id];
                engine
                    .running
                    .push((now + KINDS[request.class].2 * EVENT_MS, *id, *sent));
                let load = (engine.running.len(), engine.waiting.len());
                let intake = &mut self.hosts[request.host].intake;
                intake.record_load(millis(now), load.0 as u32, load.1 as u32);
                engine.reading = None;
            }
        }
        for (id, sent, end) in ended {
            let request = &mut self.requests[id];
            request.end = end;
            self.hosts[request.host].in_flight -= 1;
            self.hosts[request.host]
                .intake
                .record_end(millis(now - sent));
        }
    }

    /// Returns whether a refused request would have been served: all that waited at its host were,
    /// before its deadline.
    fn was_servable(&self, request: &Request) -> bool {
        let End::Refused(at) = request.end else {
            return false;
        };
        let emptied = &self.hosts[request.host].emptied;
        emptied
            .iter()
            .any(|time| (at..request.deadline).contains(time))
    }

    /// Checks the order and the shares; returns how many requests were refused.
    fn check(&self) -> usize {
        let shares = [0, 1, 2].map(|class| self.share(class));
        assert!(shares[0] >= shares[1].max(shares[2]), "{shares:?}");
        let is_refused = |request: &&Request| matches!(request.end, End::Refused(_));
        let refused = self.requests.iter().filter(is_refused);
        let servable = refused.clone().filter(|request| self.was_servable(request));
        assert_eq!(servable.count(), 0, "of {}", refused.clone().count());
        let (mut all, mut served) = ([0.0; WORKSPACES], [0.0; WORKSPACES]);
        for request in &self.requests {
            all[request.workspace] += 1.0;
            served[request.workspace] += f64::from(u8::from(request.end == End::Served));
        }
        for own in 0..WORKSPACES {
            let others = (0..WORKSPACES).filter(|other| *other != own);
            let mean = |of: &dyn Fn(usize) -> f64| {
                others.clone().map(of).sum::<f64>() / (WORKSPACES - 1) as f64
            };
            let part = |index: usize| served[index] / all[index];
            let others_part = mean(&part);
            assert!(
                part(own) >= others_part / 4.0,
                "workspace {own}: {served:?}"
            );
            // A small workspace cannot get more than it asks for.
            let fair = mean(&|index| served[index]).min(all[own]);
            assert!(served[own] >= fair / 4.0, "workspace {own}: {served:?}");
        }
        refused.count()
    }

    /// Returns the share of the requests of a class that were served.
    fn share(&self, class: usize) -> f64 {
        let is_old = |request: &&Request| request.class == class && request.deadline < END_MS;
        let all = self.requests.iter().filter(is_old);
        let served = all.clone().filter(|request| request.end == End::Served);
        served.count() as f64 / all.count() as f64
    }
}

/// Guards against a burst in which urgent requests come after others, a large workspace takes the
/// places of the others, or requests are refused that could have been served.
#[test]
fn burst_is_served_in_order() {
    // Engines hold what hosts send; or hosts may have few requests in flight, so that most wait
    // there, because of connections, permits or pauses.
    for (seed, places, has_refusals) in [
        (7, usize::MAX, false),
        (7, 8, false),
        (7, 2, true),
        (8, 2, true),
    ] {
        let mut model = Model::new(seed, places);
        model.run();
        assert_eq!(model.check() > 0, has_refusals, "{places} places");
        assert_eq!(model.held > 1_000, places < usize::MAX, "{}", model.held);
    }
}
