//! Succession of a process that has ended.

use {
    super::super::{
        Account, Holder, Settings, Usage, bound,
        journal::{self, Shares},
        reclaim::{self, Found},
    },
    crate::{
        id::{HolderId, Tokens},
        table::{Memory, Verdict},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
};

const BUDGET: &str = "hostel";
const PURCHASED: Tokens = 4_000_000;

/// One holder on a simulated clock; the store's clock is ahead of the holder's by a constant.
struct World {
    table: Memory,
    holder: Holder,
    now: Duration,
    random: StdRng,
    /// Tokens of the open requests, and what they use.
    open: HashMap<u64, Tokens>,
    next: u64,
    /// Tokens that requests have used, whether a row says so or not.
    used: Tokens,
    is_down: bool,
}

impl World {
    fn new(seed: u64, settings: Settings) -> Self {
        let mut table = Memory::default();
        let account = Account {
            purchased: PURCHASED,
            ..Account::default()
        };
        let mut transaction = crate::table::Transaction::default();
        let value = serde_json::to_string(&account).expect("accounts can be written");
        transaction.put(format!("budget/{BUDGET}"), value);
        assert_eq!(table.commit(&transaction), Verdict::Committed);
        Self {
            table,
            holder: Holder::new("host.1".into(), settings),
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            open: HashMap::new(),
            next: 0,
            used: 0,
            is_down: false,
        }
    }

    fn store_ms(&self) -> u64 {
        5_000 + self.now.as_millis() as u64
    }

    fn flush(&mut self) {
        if self.is_down {
            return;
        }
        self.holder.see_clock(self.store_ms());
        let rows: Vec<_> = self
            .holder
            .wanted()
            .iter()
            .filter_map(|key| self.table.get(key).cloned())
            .collect();
        if let Some(transaction) = self.holder.flush(self.now, &rows) {
            let verdict = self.table.commit(&transaction);
            // A lost answer leaves the transaction pending although it took effect.
            if self.random.random_bool(0.9) {
                self.holder.decide(&verdict);
            }
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(1..40));
        if self.random.random_bool(0.005) {
            self.is_down = !self.is_down;
        }
        for _ in 0..self.random.random_range(0..3) {
            self.next += 1;
            let amount = self.random.random_range(100..9_000);
            let id = self.next.to_string().into();
            if self
                .holder
                .reserve(self.now, &id, &BUDGET.into(), amount)
                .is_ok()
            {
                self.open.insert(self.next, amount);
                // A request may have used all that it reserved at any later time.
                self.used += amount;
            }
        }
        let ended: Vec<_> = self.open.keys().copied().filter(|id| id % 3 != 0).collect();
        for id in ended {
            let amount = self.open.remove(&id).expect("the request is open");
            let unused = self.random.random_range(0..amount);
            self.used -= unused;
            let usage = Usage {
                workspace: "w".into(),
                model: "m".into(),
                upstream: "u".into(),
                tokens: amount - unused,
            };
            self.holder.settle(&id.to_string().into(), usage);
        }
        if self.random.random_bool(0.2) {
            self.flush();
        }
    }

    /// Ends the process, and lets its successor return what it cannot have used.
    fn succeed(&mut self) -> Tokens {
        self.now += Duration::from_millis(self.random.random_range(0..1_500));
        let id: HolderId = "host.1".into();
        let prefix = journal::prefix(&id);
        let last = self.table.scan(&prefix, "", usize::MAX).pop();
        let opening = self.table.get(&journal::opening(&id)).cloned();
        let Some(Found::Live(tail)) = reclaim::read(&id, last.as_ref(), opening.as_ref()) else {
            panic!("the journal is open");
        };
        let rows: Vec<_> = tail
            .keys(&[])
            .iter()
            .filter_map(|key| self.table.get(key).cloned())
            .collect();
        let transaction = tail.succeed(&"host.2".into(), self.store_ms(), &rows);
        let transaction = transaction.expect("the budget exists");
        assert_eq!(self.table.commit(&transaction), Verdict::Committed);
        let row = self
            .table
            .get(&format!("budget/{BUDGET}"))
            .expect("the budget exists");
        let account: Account = serde_json::from_str(&row.value).expect("the row is an account");
        account.allocated
    }
}

fn settings() -> Settings {
    Settings {
        rise: Duration::from_secs(4),
        endurance: Duration::from_secs(12),
        smallest: 20_000,
        bound: Some(bound::Settings::default()),
        ..Settings::default()
    }
}

/// Guards against overspend after the death of a process: what its successor returns must not
/// include tokens that requests have used, also when the store was down or lost answers.
#[test]
fn successor_returns_no_used_tokens() {
    for seed in 0..300 {
        let mut world = World::new(seed, settings());
        for _ in 0..world.random.random_range(20..600) {
            world.step();
        }
        world.is_down = false;
        world.flush();
        for _ in 0..world.random.random_range(0..200) {
            world.step();
        }
        let used = world.used;
        let left = world.succeed();
        assert!(
            left >= used,
            "seed {seed}: {left} tokens are charged, {used} were used"
        );
    }
}

/// Guards against stranding a whole mark when a process dies while the store answers.
#[test]
fn successor_returns_most_of_the_mark() {
    let mut world = World::new(7, settings());
    for _ in 0..200 {
        world.step();
        world.is_down = false;
    }
    world.flush();
    let shares: Shares = world.holder.shares();
    let mark = shares[BUDGET].mark;
    let used = world.used;
    let left = world.succeed();
    assert!(
        left - used < (mark - used) / 2,
        "{left} of {mark} tokens are charged, {used} were used"
    );
}
