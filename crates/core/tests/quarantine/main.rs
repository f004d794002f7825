//! Quarantine of prompt parts, in simulated fleets and by single messages.

mod messages;
mod plan;
mod world;

use {
    plan::{Cut, Outcome, Plan},
    std::time::Duration,
    world::World,
};

/// Time after the fifth crash from which on requests with the part are counted.
const GRACE: Duration = Duration::from_secs(3);
/// Requests with the part that may reach upstreams after that.
const LATE_LIMIT: usize = 3;
const SECOND: Duration = Duration::from_secs(1);

fn play(seed: u64, plan: &Plan) -> Outcome {
    World::new(seed, plan.clone()).play(SECOND * 25)
}

/// Returns a fleet of this many hosts with its load.
fn fleet(hosts: usize) -> Plan {
    Plan {
        hosts,
        upstreams: hosts.max(6) * 3,
        rate: hosts as f64 * 10.0,
        ..Plan::default()
    }
}

/// Guards against requests with a deadly part that go on, with lost datagrams, restarts and other
/// ends of upstreams, and against the quarantine of healthy parts beside it.
#[test]
fn deadly_parts_stop_and_healthy_parts_go_on() {
    for (hosts, seeds) in [(6, 0..18), (300, 0..1)] {
        for seed in seeds {
            let plan = Plan {
                deadly: [0.003, 0.02, 0.1][seed as usize % 3],
                loss: [0.0, 0.2, 0.5][seed as usize / 3 % 3],
                restarts: vec![SECOND * 8, SECOND * 12],
                mass_crashes: vec![SECOND * 6],
                ..fleet(hosts)
            };
            let outcome = play(seed, &plan);
            let late = outcome.late_arrivals(GRACE);
            assert!(
                late <= LATE_LIMIT,
                "{hosts} hosts, seed {seed}: {late} late"
            );
            assert_eq!(outcome.refused, 0, "{hosts} hosts, seed {seed}");
        }
    }
}

/// Guards against the quarantine of healthy parts when many upstreams end at once or some end
/// again and again.
#[test]
fn other_ends_of_upstreams_quarantine_nothing() {
    for (hosts, seeds) in [(6, 100..118), (300, 100..101)] {
        for seed in seeds {
            let plan = Plan {
                mass_crashes: vec![SECOND * 4, SECOND * 9, SECOND * 14],
                flapping: 4,
                ..fleet(hosts)
            };
            let outcome = play(seed, &plan);
            assert!(outcome.served > hosts * 100, "{} served", outcome.served);
            assert_eq!(outcome.refused, 0, "{hosts} hosts, seed {seed}");
        }
    }
}

/// Guards against messages between hosts although no upstream ends.
#[test]
fn nothing_is_sent_while_no_upstream_ends() {
    let outcome = play(1, &fleet(6));
    assert_eq!(outcome.datagrams, 0);
}

/// Guards against hosts that do not reach each other, or not even the store, and that each need as
/// many crashes as the fleet.
#[test]
fn hosts_that_are_cut_off_count_crashes_together() {
    for (seed, includes_store) in (0..60).flat_map(|seed| [(seed, false), (seed, true)]) {
        let plan = Plan {
            deadly: [0.01, 0.03][seed as usize % 2],
            cuts: vec![Cut {
                from: SECOND * 2,
                to: SECOND * 10,
                hosts: [6, 2][seed as usize / 2 % 2],
                includes_store,
            }],
            ..fleet(6)
        };
        let outcome = play(seed, &plan);
        let late = outcome.late_arrivals(GRACE);
        assert!(
            late <= LATE_LIMIT,
            "seed {seed}, {includes_store}: {late} late"
        );
        assert_eq!(outcome.refused, 0, "seed {seed}, {includes_store}");
    }
}
