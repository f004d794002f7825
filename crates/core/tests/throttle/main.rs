//! Rates of upstreams, shared by fleets of 6 and 300 hosts under faults.
//!
//! `MARIGOLDROUTE_THROTTLE=START:COUNT` runs COUNT more seeds from START.

mod changes;
mod world;

use {
    rand::Rng,
    std::time::Duration,
    world::{Upstream, World, seconds},
};

/// Returns how many requests an upstream may get in 4 s: one and a half times its rate, and 5.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * 4.0) as usize + 5
}

fn check(upstream: &Upstream, rate: f64, (from, to): (u64, u64)) {
    let most = upstream.busiest_span(seconds(from), seconds(to));
    let id = &upstream.id;
    assert!(
        most <= allowed(rate),
        "{id}: {most} requests in 4 s at {rate} a second"
    );
}

/// Guards against the sum of what each host sends, and against a rate of which most is lost.
#[test]
fn fleets_of_any_size_share_a_rate_and_use_it() {
    for (hosts, load) in [(1, 40.0), (6, 20.0), (300, 5.0)] {
        let rates = [Some(0.2), Some(1.0), Some(5.0), Some(40.0)];
        let mut world = World::new(7, hosts, &rates, load);
        world.run(seconds(60));
        for (upstream, rate) in world.upstreams.iter().zip(rates) {
            let rate = rate.expect("a rate");
            check(upstream, rate, (0, 60));
            let used = upstream.count(seconds(20), seconds(60)) as f64 / (40.0 * rate);
            assert!(used >= 0.6, "{hosts} hosts use {used:.2} of {rate}");
        }
    }
}

/// Guards against a limited upstream that is left alone, or gets the requests of free ones.
#[test]
fn free_upstreams_take_the_rest() {
    for (hosts, load) in [(6, 20.0), (300, 5.0)] {
        let mut world = World::new(8, hosts, &[Some(1.0), None, None], load);
        world.run(seconds(40));
        check(&world.upstreams[0], 1.0, (0, 40));
        assert!(world.upstreams[0].count(seconds(20), seconds(40)) >= 12);
        assert!(world.refused.is_empty(), "{} refused", world.refused.len());
    }
}

/// Guards against all hosts that keep a rate after it has ended, and against hosts that learn of a
/// rate one by one.
#[test]
fn hosts_follow_a_rate_that_changes_and_ends() {
    for (hosts, load) in [(6, 20.0), (300, 5.0)] {
        let mut world = World::new(9, hosts, &[None], load);
        world.run(seconds(20));
        world.upstreams[0].rate = Some(1.0);
        world.run(seconds(21));
        let before = world.upstreams[0].arrivals.len();
        world.run(seconds(30));
        check(&world.upstreams[0], 1.0, (20, 30));
        let late = world.upstreams[0].arrivals.len() - before;
        assert!(late <= 9 + 5, "{late} requests in the 9 s after the first");
        world.upstreams[0].rate = Some(20.0);
        world.run(seconds(50));
        check(&world.upstreams[0], 20.0, (30, 50));
        let used = world.upstreams[0].count(seconds(40), seconds(50));
        assert!(used >= 120, "{used} of 200 after a rise");
        world.upstreams[0].rate = Some(0.5);
        world.run(seconds(52));
        world.run(seconds(62));
        check(&world.upstreams[0], 0.5, (52, 62));
        world.upstreams[0].rate = None;
        world.run(seconds(70));
        let refused = world.refused.len();
        world.run(seconds(80));
        let late = world.refused.len() - refused;
        assert_eq!(late, 0, "refused although the rate has ended");
    }
}

/// Guards against a statement that is no rate and lifts the one in effect, and against rates that
/// stay with the next process of an upstream.
#[test]
fn only_statements_of_the_same_process_change_a_rate() {
    let mut world = World::new(10, 6, &[Some(1.0)], 20.0);
    world.run(seconds(20));
    world.upstreams[0].is_unreadable = true;
    world.run(seconds(40));
    check(&world.upstreams[0], 1.0, (0, 40));
    assert!(world.upstreams[0].count(seconds(20), seconds(40)) >= 12);
    world.upstreams[0].is_unreadable = false;
    world.upstreams[0].rate = None;
    world.restart_upstream(0);
    world.run(seconds(41));
    let refused = world.refused.len();
    world.run(seconds(50));
    assert_eq!(world.refused.len(), refused, "refused by an old rate");
}

/// Guards against rates that are no limit: zero must not stop an upstream for ever, and a number
/// that no upstream reaches must not hold requests back.
#[test]
fn extreme_rates_neither_block_nor_overflow() {
    let mut world = World::new(11, 6, &[Some(0.0)], 20.0);
    world.run(seconds(100));
    let asked = world.upstreams[0].count(seconds(10), seconds(100));
    assert!((1..=4).contains(&asked), "{asked} requests in 90 s");
    for rate in [1e9, f64::MAX, f64::MIN_POSITIVE] {
        let mut world = World::new(12, 6, &[Some(rate)], 20.0);
        world.run(seconds(30));
        if rate > 1.0 {
            let refused = world.refused.iter().filter(|(at, _)| *at > seconds(10));
            assert_eq!(refused.count(), 0, "refused at {rate} a second");
        }
    }
}

/// Guards against callers who are all told the same time to return, or a time at which nothing is
/// free.
#[test]
fn refused_callers_return_at_the_rate_that_is_taken() {
    let mut world = World::new(13, 6, &[Some(2.0), Some(2.0)], 2.0);
    world.run(seconds(60));
    // 12 requests a second, of which 4 are served. The turns reach the longest wait when twice as
    // many are refused as return.
    let due = |from: u64, to: u64| {
        let returns = world.refused.iter().map(|(at, after)| *at + *after);
        let due = returns.filter(|at| (seconds(from)..seconds(to)).contains(at));
        due.count()
    };
    for from in [20, 24, 28] {
        let returning = due(from, from + 4);
        assert!(returning <= 4 * 4 + 6, "{returning} return within 4 s");
    }
    let longest = world.refused.iter().map(|(_, after)| *after).max();
    assert!(longest.is_some_and(|after| after <= seconds(30)));
}

/// Guards against callers who are told to wait for turns of a rate that has ended.
#[test]
fn turns_end_with_the_rate_that_they_are_for() {
    let mut world = World::new(15, 6, &[Some(0.2)], 20.0);
    world.run(seconds(30));
    world.upstreams[0].rate = None;
    world.run(seconds(45));
    let last = world.refused.last().map(|(at, _)| *at);
    assert!(
        last.is_some_and(|at| at < seconds(43)),
        "refused without a rate"
    );
    world.upstreams[0].rate = Some(6.0);
    world.run(seconds(46));
    let new = world.refused.iter().filter(|(at, _)| *at > seconds(45));
    let soonest = new.map(|(_, after)| *after).min();
    assert!(
        soonest.is_some_and(|after| after < seconds(2)),
        "{soonest:?} at a rate that has just begun"
    );
}

/// Guards against limited upstreams that get nothing for as long as the store is away.
#[test]
fn limited_upstreams_are_used_while_the_store_is_away() {
    for (hosts, load) in [(6, 20.0), (300, 5.0)] {
        let mut world = World::new(14, hosts, &[Some(2.0)], load);
        world.run(seconds(20));
        world.is_store_up = false;
        world.run(seconds(60));
        check(&world.upstreams[0], 2.0, (0, 60));
        let used = world.upstreams[0].count(seconds(30), seconds(60));
        assert!(used >= 20, "{used} of 60 used by {hosts} hosts");
    }
}

/// Guards against two hosts that grant the permits of one upstream while views of the fleet differ,
/// and against an upstream that gets nothing more after the host that grants has died.
#[test]
fn a_rate_holds_while_hosts_join_die_and_are_cut_off() {
    for (hosts, seeds) in [(6, 0..40), (300, 40..41)] {
        for seed in seeds {
            play_faults(seed, hosts);
        }
    }
}

/// Runs more seeds, for use by hand.
#[test]
fn more_seeds() {
    let Ok(range) = std::env::var("MARIGOLDROUTE_THROTTLE") else {
        return;
    };
    let (start, count) = range.split_once(':').expect("START:COUNT");
    let start: u64 = start.parse().expect("a number");
    let count: u64 = count.parse().expect("a number");
    for seed in start..start + count {
        play_faults(seed, if seed % 20 == 0 { 300 } else { 6 });
    }
}

/// Plays random faults for 90 s and checks the rate throughout, and its use after a calm end.
fn play_faults(seed: u64, hosts: usize) {
    let load = if hosts > 100 { 2.0 } else { 10.0 };
    let rates = [1.0, 4.0];
    let mut world = World::new(seed, hosts, &rates.map(Some), load);
    world.run(seconds(10));
    while world.now < seconds(90) {
        let step = Duration::from_millis(world.random.random_range(200..4_000));
        world.run(world.now + step);
        let host = world.random.random_range(0..world.hosts.len());
        match world.random.random_range(0..13) {
            0 | 1 if world.hosts[host].is_up => world.kill(host),
            0..=3 => {
                world.kill(host);
                world.start(host);
            }
            4 => {
                let joining = world.random.random_range(1..=hosts);
                if world.hosts.len() + joining <= hosts + hosts.min(100) {
                    (0..joining).for_each(|_| {
                        world.join();
                    });
                }
            }
            5 => world.hosts[host].reaches_store = false,
            6 => world.hosts[host].side = 1,
            7 => {
                let side = world.random.random_range(1..100);
                for host in &mut world.hosts {
                    host.side = u8::from(side > 50);
                }
                for index in 0..world.hosts.len() {
                    world.hosts[index].side ^= u8::from(world.random.random_range(0..2) == 0);
                }
            }
            8 => world.is_store_up = !world.is_store_up,
            9 => {
                let time = Duration::from_millis(world.random.random_range(100..3_000));
                world.freeze(host, time);
            }
            10 => {
                let time = Duration::from_millis(world.random.random_range(3_000..20_000));
                world.suspend(host, time);
            }
            _ => world.heal(),
        }
    }
    for (upstream, rate) in world.upstreams.iter().zip(rates) {
        let most = upstream.busiest_span(Duration::ZERO, world.now);
        println!("seed {seed}, {hosts} hosts: {most} requests in 4 s at {rate} a second");
        assert!(
            most <= allowed(rate),
            "seed {seed}, {hosts} hosts: {most} requests in 4 s at {rate} a second"
        );
    }
    world.heal();
    for host in 0..world.hosts.len() {
        if !world.hosts[host].is_up {
            world.start(host);
        }
    }
    let calm = world.now + seconds(30);
    world.run(calm + seconds(20));
    for (upstream, rate) in world.upstreams.iter().zip(rates) {
        let used = upstream.count(calm, calm + seconds(20)) as f64 / (20.0 * rate);
        assert!(
            (0.6..=1.3).contains(&used),
            "seed {seed}, {hosts} hosts: {used:.2} of {rate} a second used after the faults"
        );
    }
}
