//! Top-ups of the simulated budgets.

use {
    super::{super::demand::Demand, World},
    marigoldroute_core::{
        budget::{Change, Proposal, Request},
        id::Tokens,
    },
    rand::Rng,
};

impl World {
    /// Buys 20% more for a third of the budgets that are nearly used up.
    pub(super) fn top_up(&mut self, second: u64) {
        for budget in 0..self.size.active {
            let left = self.bought[budget].saturating_sub(self.taken[budget]);
            if left * 20 < self.bought[budget] && self.random.random_bool(0.33) {
                let amount = self.bought[budget] / 5 + 1;
                self.buy(budget, amount, &format!("t{second}"));
            }
        }
    }

    fn buy(&mut self, budget: usize, amount: Tokens, id: &str) {
        let request = Request {
            budget: self.names[budget].clone(),
            id: id.into(),
            change: Change::TopUp(amount),
            operator: "purser".into(),
        };
        let rows = self.store.fetch(&request.keys());
        if let Ok(Proposal::Commit(transaction)) = request.propose(&rows) {
            self.store.commit(&transaction);
            self.bought[budget] += amount;
        }
    }

    /// Buys for each active budget a random multiple of its expected use.
    pub(super) fn buy_all(&mut self) {
        let (least, most) = self.size.bought;
        let total = self.size.rate * self.duration as f64 * Demand::mean();
        for budget in 0..self.size.budgets {
            let share = if budget < self.size.active {
                self.demand.share(budget)
            } else {
                0.0
            };
            let ratio = self.random.random_range(least..most);
            let amount = (total * share * ratio) as Tokens + 20_000;
            self.buy(budget, amount, "t0");
        }
    }
}
