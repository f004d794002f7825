//! A fleet with its store and a network that loses messages, played on a simulated clock.

mod host;

use {
    self::host::Host,
    super::{
        ASK_INTERVAL, Position, Settings, reader,
        tests::{entry, hosts},
    },
    crate::{
        forward::{Registration, State},
        id::{HolderId, UpstreamId},
        wire::{Follow, News},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom},
    std::{collections::BTreeMap, time::Duration},
};

const TICK: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);
/// Share of datagrams that are lost.
const LOSS: f64 = 0.025;
/// Time of a datagram.
const LINK_TIME: Duration = Duration::from_millis(5);
/// Time after which a host that has died leaves the list of live hosts.
const CENSUS_TIME: Duration = Duration::from_secs(9);
const UPSTREAMS: usize = 60;

#[derive(Default)]
struct Store {
    entries: BTreeMap<UpstreamId, Registration>,
    changes: Vec<(Position, UpstreamId)>,
    is_down: bool,
    reads: usize,
}

impl Store {
    fn position(&self) -> Position {
        self.changes.len() as Position
    }

    fn set(&mut self, id: &str, entry: Option<Registration>) {
        match entry {
            Some(entry) => self.entries.insert(id.into(), entry),
            None => self.entries.remove(id),
        };
        self.changes.push((self.position() + 1, id.into()));
    }
}

enum Message {
    Follow(Follow),
    News(News),
}

struct Fleet {
    now: Duration,
    random: StdRng,
    settings: Settings,
    store: Store,
    hosts: Vec<Host>,
    /// Time of arrival, sender and recipient.
    messages: Vec<(Duration, usize, usize, Message)>,
}

impl Fleet {
    fn new(size: usize, settings: Settings, seed: u64) -> Self {
        let mut store = Store::default();
        for index in 0..UPSTREAMS {
            store.set(&format!("u{index}"), Some(entry(State::Ready)));
        }
        let host = |index| Host::new(format!("h{index}").into(), index as u32);
        let mut fleet = Self {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            settings,
            store,
            hosts: (0..size).map(host).collect(),
            messages: Vec::new(),
        };
        fleet.count();
        fleet
    }

    /// Sets the reader of each host from the hosts that count as live.
    fn count(&mut self) {
        let zones = if self.hosts.len() > 100 { 3 } else { 1 };
        let mut live = hosts(self.hosts.len(), zones);
        live.retain(|host| {
            let known = self
                .hosts
                .iter()
                .find(|known| known.id == host.weighted.host);
            let died_at = known.and_then(|known| known.died_at);
            died_at.is_none_or(|at| self.now < at + CENSUS_TIME)
        });
        for host in &mut self.hosts {
            let reader = reader(&self.settings, &host.id, &live);
            let fallback = host.node.set_reader(reader);
            host.fall_back(fallback);
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        let to = self.hosts.iter().position(|host| *host.id == *to);
        let is_cut = self.hosts[from].alone_until > self.now;
        if !is_cut && !self.random.random_bool(LOSS) {
            let at = self.now + LINK_TIME;
            self.messages.push((at, from, to.expect("a host"), message));
        }
    }

    fn deliver(&mut self) {
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at, _, to, _)| {
                // A paused host finds what has arrived when it goes on.
                *at <= self.now && self.hosts[*to].paused_until <= self.now
            })
            .collect();
        for (_, from, to, message) in due {
            let (now, sender) = (self.now, self.hosts[from].id.clone());
            let host = &mut self.hosts[to];
            if host.died_at.is_some() || host.alone_until > now {
                continue;
            }
            match message {
                Message::Follow(follow) => {
                    let news = host.node.answer(now, &sender, &follow);
                    self.send(to, &sender, Message::News(news));
                }
                Message::News(news) => {
                    let receipt = host.node.receive(now, &sender, &news);
                    if receipt.has_joined {
                        host.roster.mark_store_reachable(now);
                    }
                    if let Some(at) = receipt.returned_at {
                        host.roster.record_return(at);
                    }
                    host.apply(now, receipt.updates);
                    host.fall_back(receipt.fallback);
                    if receipt.has_more {
                        host.next_ask = now;
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        if self.now.as_millis().is_multiple_of(500) {
            self.count();
        }
        // Each upstream confirms its entry once a second.
        let slot = self.now.as_millis() as usize % 1_000;
        if slot.is_multiple_of(15) && slot / 15 < UPSTREAMS && !self.store.is_down {
            let id = format!("u{}", slot / 15);
            if let Some(entry) = self.store.entries.get(&*id).cloned() {
                self.store.set(&id, Some(entry));
            }
        }
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            host.receive_answer(self.now, &self.store);
            if host.died_at.is_some() || host.paused_until > self.now {
                continue;
            }
            let fallback = host.node.tick(self.now);
            host.fall_back(fallback);
            host.roster.expire(self.now);
            host.watch(self.now, &mut self.store);
            let mut messages = Vec::new();
            if self.now >= host.next_ask {
                host.next_ask = self.now + ASK_INTERVAL;
                let question = host.node.ask(self.now);
                messages.extend(question.map(|(to, follow)| (to, Message::Follow(follow))));
            }
            let news = host.node.publish(self.now).into_iter();
            messages.extend(news.map(|(to, news)| (to, Message::News(news))));
            for (to, message) in messages {
                self.send(index, &to, message);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the indices of live hosts that read for others, or of those that follow.
    fn live(&self, follows: bool) -> Vec<usize> {
        let live = 0..self.hosts.len();
        let live = live.filter(|index| self.hosts[*index].died_at.is_none());
        live.filter(|index| self.hosts[*index].node.has_reader() == follows)
            .collect()
    }

    /// Disturbs some hosts for a time: pauses them, cuts them off or, once in a play, ends one.
    fn disturb(&mut self, fault: Fault) {
        let count = self.hosts.len().div_ceil(50);
        let until = self.now + Duration::from_millis(self.random.random_range(300..3_000));
        let is_of_member = matches!(fault, Fault::PauseMembers | Fault::IsolateMembers);
        let hosts = self.live(is_of_member).into_iter();
        for index in hosts.choose_multiple(&mut self.random, count) {
            let host = &mut self.hosts[index];
            match fault {
                Fault::Kill => host.died_at = Some(self.now),
                Fault::PauseReaders | Fault::PauseMembers => host.paused_until = until,
                Fault::CutReaders => host.cut_until = until,
                Fault::IsolateReaders | Fault::IsolateMembers => host.alone_until = until,
            }
            if fault == Fault::Kill && self.hosts.len() < 10 {
                break;
            }
        }
    }

    /// Lets an upstream leave and returns the hosts that still use it after the bound, which counts
    /// from the return of those that were paused or cut off from the store: a host that reads itself
    /// cannot know earlier either.
    fn leave(&mut self, id: &str, left: Option<Registration>, bound: Duration) -> Vec<HolderId> {
        let left_at = self.now;
        self.store.set(id, left);
        let mut late = Vec::new();
        while self.now < left_at + bound * 2 {
            self.step();
            for host in &self.hosts {
                let since = left_at.max(host.paused_until).max(host.cut_until);
                let uses = host.roster.ready().any(|(known, _)| **known == *id);
                if uses && host.died_at.is_none() && self.now > since + bound {
                    late.push(host.id.clone());
                }
            }
        }
        late.dedup();
        late
    }

    /// Returns the hosts whose list differs from that of the store.
    fn disagreeing(&self) -> Vec<&HolderId> {
        let live = self.hosts.iter().filter(|host| host.died_at.is_none());
        let differs = |host: &&Host| {
            let entries = self.store.entries.iter();
            let ready: BTreeMap<_, _> = entries.filter(|(_, entry)| entry.is_ready()).collect();
            host.roster.ready().collect::<BTreeMap<_, _>>() != ready
        };
        live.filter(differs).map(|host| &host.id).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    PauseReaders,
    PauseMembers,
    CutReaders,
    IsolateReaders,
    IsolateMembers,
}

fn settings(group_hosts: usize) -> Settings {
    Settings {
        group_hosts,
        smallest_fleet: 2,
    }
}

/// Plays departures with a fault at the moment of each, and checks the bound and the end.
fn play(size: usize, seed: u64, faults: &[Fault], removes: bool, bound: Duration) {
    let mut fleet = Fleet::new(size, settings(if size < 10 { 3 } else { 8 }), seed);
    fleet.run(SECOND * 3);
    for (index, fault) in faults.iter().enumerate() {
        fleet.disturb(*fault);
        let id = format!("u{index}");
        let left = (!removes).then(|| entry(State::Draining));
        let late = fleet.leave(&id, left, bound);
        assert!(late.is_empty(), "{size} hosts, {seed}, {fault:?}: {late:?}");
        fleet.store.set(&id, None);
        fleet
            .store
            .set(&format!("v{index}"), Some(entry(State::Ready)));
    }
    fleet.run(SECOND * 15);
    assert_eq!(
        fleet.disagreeing(),
        Vec::<&HolderId>::new(),
        "{size} hosts, {seed}"
    );
    let members = fleet.live(true);
    let following = members
        .iter()
        .filter(|index| fleet.hosts[**index].node.is_following());
    assert!(
        following.count() * 10 >= members.len() * 9,
        "{size} hosts, {seed}"
    );
}

const ALL: [Fault; 6] = [
    Fault::Kill,
    Fault::PauseReaders,
    Fault::PauseMembers,
    Fault::CutReaders,
    Fault::IsolateReaders,
    Fault::IsolateMembers,
];

/// Guards against hosts that use an upstream later than allowed after it has left, whatever happens
/// to readers, members and links at that moment, and against hosts that disagree with the store.
#[test]
fn departures_are_known_within_the_bounds() {
    // That of most deployments; others allow 3,000 ms.
    let bound = Duration::from_millis(2_000);
    for seed in 0..20 {
        play(6, seed, &ALL, false, bound);
        play(6, seed, &[Fault::Kill, Fault::IsolateReaders], true, bound);
    }
    for seed in 0..2 {
        play(300, seed, &ALL, false, bound);
        play(
            300,
            seed,
            &[Fault::Kill, Fault::IsolateMembers],
            true,
            bound,
        );
    }
}

/// Guards against members that drop running upstreams whose entries lapsed in an outage, and against
/// upstreams that stay in use when they left in it.
#[test]
fn an_outage_of_the_store_costs_no_running_upstream() {
    for (size, seed) in [(6, 0), (6, 1), (6, 2), (300, 3)] {
        let mut fleet = Fleet::new(size, settings(3), seed);
        fleet.run(SECOND * 3);
        fleet.store.is_down = true;
        fleet.run(SECOND * 2);
        for index in 0..20 {
            fleet.store.set(&format!("u{index}"), None);
        }
        fleet.store.is_down = false;
        // Those that run register again within two seconds, all but one.
        for index in 1..20 {
            fleet.run(Duration::from_millis(95));
            fleet
                .store
                .set(&format!("u{index}"), Some(entry(State::Ready)));
            for host in &fleet.hosts {
                let used = host.roster.ready().filter(|(id, _)| ***id != *"u0");
                assert_eq!(used.count(), UPSTREAMS - 1, "{} of {size}, {seed}", host.id);
            }
        }
        // 3,000 ms after the end of the outage the one that left is gone.
        fleet.run(Duration::from_millis(3_000 - 19 * 95));
        assert_eq!(fleet.disagreeing(), Vec::<&HolderId>::new());
    }
}

/// Guards against a fleet whose readers do not save reads at the store: a fifth must remain at most
/// in groups of eight.
#[test]
fn readers_save_reads_at_the_store() {
    let reads = |settings| {
        let mut fleet = Fleet::new(300, settings, 1);
        fleet.run(SECOND * 10);
        fleet.store.reads = 0;
        fleet.run(SECOND * 20);
        let fallbacks = fleet.hosts.iter().flat_map(|host| &host.fallbacks);
        let fallbacks: Vec<_> = fallbacks.collect();
        println!(
            "{} reads/s, fallbacks {fallbacks:?}",
            fleet.store.reads / 20
        );
        fleet.store.reads
    };
    let before = reads(Settings {
        smallest_fleet: usize::MAX,
        ..Settings::default()
    });
    let after = reads(Settings::default());
    assert!(after * 5 <= before, "{before} and {after}");
}
