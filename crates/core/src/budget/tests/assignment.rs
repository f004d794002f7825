//! Tests of the assignment of budgets to hosts.

use {
    crate::{
        budget::Assignment,
        fleet::{WeightedHost, ZonedHost},
        id::HostId,
    },
    std::collections::BTreeSet,
};

const ZONES: u32 = 4;

fn fleet(hosts: u32) -> Vec<ZonedHost> {
    let zoned = |host: u32| ZonedHost {
        weighted: WeightedHost {
            host: format!("h{host}").into(),
            weight: if host < ZONES * 2 { 20 } else { 1 },
        },
        zone: format!("z{}", host % ZONES).into(),
    };
    (0..hosts).map(zoned).collect()
}

fn assignment(own: u32, hosts: u32) -> Assignment {
    let zone = format!("z{}", own % ZONES);
    Assignment::new(format!("h{own}").into(), zone.into(), fleet(hosts))
}

/// Guards against splitting a budget in a large fleet into parts smaller than a request, and
/// against hosts that disagree about its holders.
#[test]
fn a_budget_has_a_holder_in_each_zone_of_a_large_fleet() {
    for budget in ["hems", "confetti", "paper"] {
        let holders: Vec<_> = (0..75)
            .filter(|host| assignment(*host, 75).is_holder(budget))
            .collect();
        assert_eq!(holders.len(), 4, "{budget}");
        let zones: BTreeSet<_> = holders.iter().map(|host| host % ZONES).collect();
        assert_eq!(zones.len(), 4, "{budget}");
        for own in 0..75 {
            let order = assignment(own, 75).candidates(budget);
            let first: HostId = if holders.contains(&own) {
                format!("h{own}").into()
            } else {
                let near = holders.iter().find(|host| *host % ZONES == own % ZONES);
                format!("h{}", near.expect("a holder in the zone")).into()
            };
            assert_eq!(order[0], first);
            let asked: BTreeSet<_> = order.iter().collect();
            assert!(asked.len() == order.len() && order.len() == 5);
        }
    }
}

/// Guards against hosts of a small fleet that cannot reserve while the other hosts are unreachable.
#[test]
fn every_host_of_a_small_fleet_holds_every_budget() {
    for own in 0..6 {
        let assignment = assignment(own, 6);
        assert!(assignment.is_holder("hems"));
        assert_eq!(*assignment.candidates("hems")[0], format!("h{own}"));
    }
    let alone = Assignment::new("h1".into(), "z".into(), Vec::new());
    assert!(alone.is_holder("hems"));
    assert_eq!(alone.candidates("hems"), [HostId::from("h1")]);
}

/// Guards against reassigning the budgets of other hosts when one host is lost.
#[test]
fn the_loss_of_a_host_moves_its_own_budgets_only() {
    let budgets: Vec<_> = (0..200).map(|number| format!("budget-{number}")).collect();
    let all = fleet(75);
    let rest: Vec<_> = all[1..].to_vec();
    let of = |hosts: &[ZonedHost], budget: &str| -> BTreeSet<u32> {
        let holds = |own: &u32| {
            let zone = format!("z{}", own % ZONES);
            let assignment = Assignment::new(format!("h{own}").into(), zone.into(), hosts.to_vec());
            assignment.is_holder(budget)
        };
        (1..75).filter(holds).collect()
    };
    for budget in budgets.iter().take(20) {
        let (before, after) = (of(&all, budget), of(&rest, budget));
        assert!(before.is_subset(&after), "{budget}");
        assert!(after.len() <= before.len() + 1);
    }
}
