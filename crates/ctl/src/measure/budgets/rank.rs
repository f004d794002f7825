//! Ranking of the hosts per budget.

use {
    super::Size,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Hosts kept in reserve for those that are down.
const RESERVE: usize = 2;

/// The hosts of each region in the order in which entries try them.
pub type Ranks = [Vec<usize>; 2];

/// Ranks the hosts for each budget; the lists are empty when every host has a grant.
pub fn ranks(size: Size, holders: Option<usize>) -> Vec<Ranks> {
    let kept = holders.map_or(0, |holders| holders + RESERVE);
    let rank = |budget: usize, region: usize| {
        let mut nodes: Vec<_> = (region..size.hosts).step_by(2).collect();
        nodes.sort_by_cached_key(|node| weight(budget, *node));
        nodes.truncate(kept);
        nodes
    };
    let budgets = 0..size.budgets;
    budgets
        .map(|budget| [rank(budget, 0), rank(budget, 1)])
        .collect()
}

fn weight(budget: usize, node: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (budget, node).hash(&mut hasher);
    hasher.finish()
}
