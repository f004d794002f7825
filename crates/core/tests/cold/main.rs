//! Cold upstreams beside fleets of 67 and 300 hosts.
//!
//! `MARIGOLDROUTE_COLD=START:COUNT` runs COUNT more seeds from START.

mod world;

use {
    rand::Rng,
    std::time::Duration,
    world::{World, is_borne, millis},
};

/// Upstreams, and how many of them come back together.
const UPSTREAMS: usize = 40;
const ZONE: usize = 10;
/// Requests a second of all hosts.
const LOAD: f64 = 150.0;

fn busiest(world: &World) -> usize {
    let zone = world.upstreams[..ZONE].iter();
    zone.map(|upstream| upstream.busiest_second())
        .max()
        .unwrap_or(0)
}

fn check(world: &World, what: &str) {
    let most = busiest(world);
    assert!(is_borne(most), "{what}: {most} requests in a second");
}

/// Takes a zone of upstreams out and back, cold.
fn come_back(world: &mut World) {
    world.run(millis(10_000));
    world.stop_upstreams(ZONE);
    world.run(millis(14_000));
    world.return_upstreams(ZONE);
    world.run(millis(20_000));
}

/// Guards against the sum of what all hosts send to upstreams that come back cold, and against
/// upstreams that get nothing until they are warm.
#[test]
fn upstreams_that_come_back_get_what_they_bear() {
    for hosts in [1, 4, 6, 67, 300] {
        let load = LOAD.max(2.0 * hosts as f64);
        let mut world = World::new(1, hosts, UPSTREAMS, load, true);
        come_back(&mut world);
        check(&world, &format!("{hosts} hosts"));
        let counts = world.upstreams[..ZONE].iter();
        let got: usize = counts.map(|upstream| upstream.cold_count()).sum();
        let used = got as f64 / (ZONE as f64 * 3.0 * world::RATE);
        assert!(used >= 0.25, "{hosts} hosts use {used:.2} of the rate");
        assert_eq!(world.refused, 0, "refused beside warm upstreams");
    }
}

/// Guards against a check that passes whatever the hosts do.
#[test]
fn hosts_without_the_limit_send_too_much() {
    for hosts in [67, 300] {
        let mut world = World::new(1, hosts, UPSTREAMS, LOAD * 3.0, false);
        come_back(&mut world);
        let most = busiest(&world);
        assert!(
            !is_borne(most),
            "{hosts} hosts: {most} requests in a second"
        );
    }
}

/// Guards against upstreams that become cold in the midst of their work: until the next entry they
/// get their part of the load, and then what a cold one bears.
#[test]
fn upstreams_that_become_cold_again_get_what_they_bear() {
    for hosts in [6, 67, 300] {
        for seed in 0..2 {
            let mut world = World::new(seed, hosts, UPSTREAMS, LOAD, true);
            world.is_greedy = false;
            world.run(millis(10_000));
            for _ in 0..4 {
                world.chill(ZONE);
                let step = millis(1_000) + world.random_time(millis(4_000));
                world.run(world.now + step);
            }
            check(&world, &format!("seed {seed}, {hosts} hosts"));
        }
    }
}

/// Guards against hosts with different views of the fleet that together send more than one view
/// allows, and against hosts that learn late.
#[test]
fn the_limit_holds_while_hosts_join_die_and_are_cut_off() {
    for (hosts, seeds) in [(6, 0..8), (67, 8..14), (300, 14..15)] {
        for seed in seeds {
            play_faults(seed, hosts);
        }
    }
}

/// Runs more seeds, for use by hand.
#[test]
fn more_seeds() {
    let Ok(range) = std::env::var("MARIGOLDROUTE_COLD") else {
        return;
    };
    let (start, count) = range.split_once(':').expect("START:COUNT");
    let start: u64 = start.parse().expect("a number");
    let count: u64 = count.parse().expect("a number");
    for seed in start..start + count {
        play_faults(seed, [6, 67, 67, 67, 300][seed as usize % 5]);
    }
}

/// Plays random faults of hosts beside a zone that comes back cold again and again.
fn play_faults(seed: u64, hosts: usize) {
    let mut world = World::new(seed, hosts, UPSTREAMS, LOAD, true);
    world.run(millis(8_000));
    let mut is_zone_up = true;
    let mut turn_at = world.now + millis(2_000);
    while world.now < millis(40_000) {
        let step = millis(world.random.random_range(100..1_500));
        world.run(world.now + step);
        if world.now >= turn_at {
            match is_zone_up {
                true => world.stop_upstreams(ZONE),
                false => world.return_upstreams(ZONE),
            }
            is_zone_up = !is_zone_up;
            turn_at = world.now + millis(world.random.random_range(1_000..5_000));
        }
        fail(&mut world, hosts);
    }
    check(&world, &format!("seed {seed}, {hosts} hosts"));
}

/// Lets one fault of hosts or the store happen, or ends all.
fn fail(world: &mut World, hosts: usize) {
    let host = world.random.random_range(0..world.hosts.len());
    match world.random.random_range(0..12) {
        0 | 1 if world.hosts[host].is_up => world.kill(host),
        0..=2 => {
            world.kill(host);
            world.start(host);
        }
        3 => {
            let joining = world.random.random_range(1..=hosts);
            if world.hosts.len() + joining <= hosts * 2 {
                (0..joining).for_each(|_| world.join());
            }
        }
        4 => world.hosts[host].reaches_store = false,
        // A whole zone of hosts loses the store, or dies.
        5 => {
            for host in world.hosts.iter_mut().step_by(4) {
                host.reaches_store = false;
            }
        }
        6 => {
            for index in (0..world.hosts.len()).step_by(4) {
                world.kill(index);
            }
        }
        7 => world.is_store_up = !world.is_store_up,
        8 => {
            let time = world.random_time(millis(3_000));
            world.freeze(host, time);
        }
        9 => world.hosts[host].lag = world.random_time(Duration::from_secs(3)),
        _ => world.heal(),
    }
}
