//! What an upstream gets after a change of the fleet.

use {
    crate::{
        allowed,
        world::{Upstream, World, seconds},
    },
    std::time::Duration,
};

/// Time after a change in which its effects are looked for.
const AFTERMATH: Duration = Duration::from_secs(40);
/// Rate of the upstream.
const RATE: f64 = 10.0;

/// What an upstream got after a change of the fleet at some time.
struct Effect {
    /// Longest time without a request.
    gap: Duration,
    /// Seconds in which it got less than 60% of its rate.
    short: usize,
    /// Seconds in which it got less than 30% of its rate.
    starved: usize,
    most: usize,
}

impl Effect {
    fn measure(upstream: &Upstream, at: Duration) -> Self {
        let below = |share: f64| {
            let starts = (0..AFTERMATH.as_secs()).map(|start| at + seconds(start));
            let counts = starts.map(|start| upstream.count(start, start + seconds(1)));
            counts
                .filter(|count| (*count as f64) < share * RATE)
                .count()
        };
        Self {
            gap: upstream.longest_gap(at, at + AFTERMATH),
            short: below(0.6),
            starved: below(0.3),
            most: upstream.busiest_span(at, at + AFTERMATH),
        }
    }
}

/// Plays a change of a calm fleet with different seeds and returns the worst of its effects.
fn play(name: &str, hosts: usize, change: impl Fn(&mut World)) -> Effect {
    let seeds = if hosts > 100 { 1 } else { 20 };
    let load = if hosts > 100 { 1.0 } else { 10.0 };
    let (mut asked, mut sent) = (0, 0);
    let effects = (0..seeds).map(|seed| {
        let mut world = World::new(100 + seed, hosts, &[Some(RATE)], load);
        world.run(seconds(30) + Duration::from_millis(150 * seed));
        let at = world.now;
        change(&mut world);
        world.run(at + AFTERMATH);
        asked += world.asked;
        sent += world.sent;
        Effect::measure(&world.upstreams[0], at)
    });
    let worst = effects.reduce(|one, other| Effect {
        gap: one.gap.max(other.gap),
        short: one.short.max(other.short),
        starved: one.starved.max(other.starved),
        most: one.most.max(other.most),
    });
    let worst = worst.expect("a seed");
    let excess = worst.most as f64 / (4.0 * RATE);
    println!(
        "{name}, {hosts} hosts: gap {:?}, {} s below 60%, {} s below 30%, {excess:.2} of the rate \
         in 4 s, {:.2} questions a request",
        worst.gap,
        worst.short,
        worst.starved,
        asked as f64 / sent as f64
    );
    worst
}

/// Guards against an upstream that gets nothing from the death, stop or start of a host until the
/// others know of it.
#[test]
fn a_change_of_the_fleet_leaves_no_gap() {
    type Change = fn(&mut World);
    let changes: [(&str, Change); 5] = [
        ("none", |_| {}),
        ("death of the first", |world| {
            world.kill(world.ranked(0)[0]);
        }),
        ("death of the second", |world| {
            world.kill(world.ranked(0)[1]);
        }),
        ("stop of the first", |world| {
            world.stop(world.ranked(0)[0]);
        }),
        ("start of another first", |world| {
            while world.ranked(0)[0] + 1 < world.hosts.len() || world.hosts.len() < 7 {
                world.join();
            }
        }),
    ];
    for hosts in [6, 300] {
        for (name, change) in changes {
            if hosts == 300 && name != "death of the first" {
                continue;
            }
            let effect = play(name, hosts, change);
            assert!(
                effect.gap < seconds(3),
                "{name}, {hosts} hosts: {:?}",
                effect.gap
            );
        }
    }
}

/// Guards against hosts that go on granting after they were suspended, beside those that have taken
/// over. Their clocks do not count the time.
#[test]
fn suspended_hosts_do_not_grant_beside_their_successors() {
    let rate = 40.0;
    for suspended in [1, 2] {
        let mut worst = 0;
        for seed in 0..10 {
            let mut world = World::new(200 + seed, 6, &[Some(rate)], 80.0);
            world.run(seconds(30));
            let granters = world.ranked(0);
            for host in &granters[..suspended] {
                world.suspend(*host, seconds(28) + Duration::from_millis(300 * seed));
            }
            world.run(seconds(75));
            worst = worst.max(world.upstreams[0].busiest_span(seconds(30), seconds(75)));
        }
        println!("{suspended} suspended: {worst} requests in 4 s at {rate} a second");
        assert!(
            worst <= allowed(rate),
            "{suspended} suspended: {worst} requests in 4 s"
        );
    }
}

/// Guards against hosts that grant as much as before when they are cut off from the store, while
/// others take over.
#[test]
fn hosts_that_are_cut_off_from_the_store_grant_half_of_their_part() {
    for (cut, share) in [(1, 1.25), (2, 1.5)] {
        let mut worst = 0;
        for seed in 0..10 {
            let mut world = World::new(300 + seed, 6, &[Some(RATE)], 60.0);
            world.run(seconds(30));
            let granters = world.ranked(0);
            for host in &granters[..cut] {
                world.hosts[*host].reaches_store = false;
            }
            world.run(seconds(70));
            world.heal();
            world.run(seconds(100));
            worst = worst.max(world.upstreams[0].busiest_span(seconds(30), seconds(100)));
        }
        println!("{cut} cut off: {worst} requests in 4 s at {RATE} a second");
        let limit = (share * 4.0 * RATE) as usize + 5;
        assert!(worst <= limit, "{cut} cut off: {worst} requests in 4 s");
    }
}

/// Guards against an upstream of the lowest rate that gets no request for over 30 s: only an answer
/// tells that a rate has ended.
#[test]
fn the_lowest_rate_is_tried_every_30_seconds() {
    for seed in 500..510 {
        let mut world = World::new(seed, 6, &[Some(0.01)], 10.0);
        world.run(seconds(200));
        let gap = world.upstreams[0].longest_gap(seconds(20), seconds(200));
        assert!(gap < seconds(36), "seed {seed}: {gap:?}");
    }
}
