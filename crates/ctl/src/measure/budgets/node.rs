//! A simulated host with its holder, and the store as it sees it.

use {
    marigoldroute_core::{
        budget::{Holder, Phase, ReserveError, Settings, Usage, journal},
        id::{BudgetId, HolderId, RequestId, Tokens},
        table::{Memory, Row, Transaction, Verdict},
    },
    std::time::{Duration, Instant},
};

/// The table service with counters.
#[derive(Debug, Default)]
pub struct Store {
    pub table: Memory,
    pub reads: u64,
    pub writes: u64,
}

impl Store {
    /// Reads rows.
    pub fn fetch(&mut self, keys: &[String]) -> Vec<Row> {
        self.reads += keys.len() as u64;
        let rows = keys.iter().filter_map(|key| self.table.get(key));
        rows.cloned().collect()
    }

    /// Commits a transaction; a conflict writes nothing.
    pub fn commit(&mut self, transaction: &Transaction) -> Verdict {
        let verdict = self.table.commit(transaction);
        if verdict == Verdict::Committed {
            self.writes += transaction.writes.len() as u64;
        }
        verdict
    }
}

/// A host.
#[derive(Debug)]
pub struct Node {
    pub region: usize,
    pub name: String,
    pub incarnation: u64,
    pub holder: Holder,
    /// When a host that died or closed starts again, in seconds.
    pub down_until: Option<u64>,
    /// The second of the last flush on a shortage.
    pub hurried: Option<u64>,
    /// Time spent in the holder.
    pub cpu: Duration,
}

impl Node {
    pub fn new(index: usize, settings: &Settings) -> Self {
        let name = format!("h{index}");
        Self {
            region: index % 2,
            holder: Holder::new(format!("{name}.0").into(), settings.clone()),
            name,
            incarnation: 0,
            down_until: None,
            hurried: None,
            cpu: Duration::ZERO,
        }
    }

    pub fn id(&self) -> HolderId {
        format!("{}.{}", self.name, self.incarnation).into()
    }

    /// Starts the process again under a new holder id.
    pub fn restart(&mut self, settings: &Settings) {
        self.incarnation += 1;
        self.down_until = None;
        self.holder = Holder::new(self.id(), settings.clone());
    }

    pub fn reserve(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        amount: Tokens,
    ) -> Result<Tokens, ReserveError> {
        let start = Instant::now();
        let result = self.holder.reserve(now, request, budget, amount);
        self.cpu += start.elapsed();
        result
    }

    /// Reserves what there is, up to `most` and at least `least`.
    pub fn reserve_part(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        most: Tokens,
        least: Tokens,
    ) -> Result<Tokens, ReserveError> {
        let start = Instant::now();
        let result = self.holder.reserve_up_to(now, request, budget, most, least);
        self.cpu += start.elapsed();
        result
    }

    pub fn settle(&mut self, request: &RequestId, tokens: Tokens) {
        let usage = Usage {
            workspace: "w".into(),
            model: "m".into(),
            upstream: "u".into(),
            tokens,
        };
        let start = Instant::now();
        self.holder.settle(request, usage);
        self.cpu += start.elapsed();
    }

    /// Flushes to the store, or queues when the store cannot be reached. Repeats after a conflict
    /// a few times, with new rows.
    pub fn flush(&mut self, now: Duration, store: Option<&mut Store>) {
        let Some(store) = store else {
            let start = Instant::now();
            self.holder.flush(now, &[]);
            self.cpu += start.elapsed();
            return;
        };
        for _ in 0..3 {
            let start = Instant::now();
            let keys = self.holder.required_keys();
            self.cpu += start.elapsed();
            let rows = store.fetch(&keys);
            let start = Instant::now();
            let transaction = self.holder.flush(now, &rows);
            self.cpu += start.elapsed();
            let Some(transaction) = transaction else {
                return;
            };
            let verdict = store.commit(&transaction);
            let start = Instant::now();
            self.holder.apply_verdict(&verdict);
            self.cpu += start.elapsed();
            if verdict == Verdict::Committed {
                return self.trim(&mut store.table, &transaction);
            }
        }
    }

    /// Returns the marked and unspent tokens, which would be stranded if the host died now.
    pub fn marked(&self) -> Tokens {
        let shares = self.holder.shares();
        shares.values().map(|share| share.mark - share.spent).sum()
    }

    /// Returns whether the host takes requests.
    pub fn is_up(&self) -> bool {
        self.down_until.is_none() && self.holder.phase() == Phase::Open
    }

    /// Deletes the journal row before the last one, as the ledger duty does.
    fn trim(&self, table: &mut Memory, transaction: &Transaction) {
        let prefix = journal::prefix(&self.id());
        let keys = transaction
            .conditions
            .iter()
            .map(|condition| &condition.key);
        let key = keys.into_iter().find(|key| key.starts_with(&prefix));
        let sequence = key.and_then(|key| journal::sequence_of_key(key));
        if let Some(before) = sequence.and_then(|sequence| sequence.checked_sub(1)) {
            let mut delete = Transaction::default();
            delete.delete(journal::key(&self.id(), before));
            table.commit(&delete);
        }
    }
}
