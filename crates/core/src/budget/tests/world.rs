//! Holders, operators and reclaimers on a table in memory, with faults and deliberate defects.

use {
    super::{
        super::{
            Holder, Journal, Phase, Proposal, Reason, Request, ReserveError, Settings, Usage,
            journal,
            reclaim::{self, JournalState},
        },
        usage,
    },
    crate::{
        bill::Bill,
        id::{BudgetId, HolderId, RequestId, Tokens},
        table::{Memory, Row, Transaction, Verdict},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A defect that the oracle has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    ReserveAboveMark,
    ReclaimMarked,
    ApplyTwice,
    BillTwice,
    ForgetAnswer,
    IgnoreVersion,
    KeepAfterLoss,
}

/// A fault of the store as one caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    Up,
    Down,
    /// The transaction takes effect, its verdict does not arrive.
    Lost,
    /// Reads return rows of the past.
    Stale,
}

/// What an engine knows of a request.
#[derive(Clone, Debug)]
pub struct Record {
    pub node: usize,
    pub bill: Bill,
}

pub struct Node {
    pub id: HolderId,
    /// Absent after the process died.
    pub holder: Option<Holder>,
    pub open: BTreeMap<RequestId, (BudgetId, Tokens)>,
}

pub struct World {
    pub defect: Defect,
    pub table: Memory,
    past: Memory,
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub records: BTreeMap<RequestId, Record>,
    sent: Vec<Transaction>,
    requests: u64,
    pub parsed: BTreeMap<String, Journal>,
}

const LIVE: usize = 3;
const NODES: usize = 10;

pub fn budget(index: u8) -> BudgetId {
    format!("b{index}").into()
}

pub fn settings() -> Settings {
    Settings {
        endurance: Duration::from_secs(60),
        min_endurance: Duration::from_secs(2),
        horizon: Duration::from_secs(90),
        min_grant: 200,
        divisor: 3,
        review_interval: Duration::from_secs(8),
        reservation_limit: 16,
        dedup_limit: 64,
        batch_limit: 4,
        ..Settings::default()
    }
}

impl World {
    pub fn new(defect: Defect) -> Self {
        let mut world = Self {
            defect,
            table: Memory::default(),
            past: Memory::default(),
            now: Duration::ZERO,
            nodes: Vec::new(),
            records: BTreeMap::new(),
            sent: Vec::new(),
            requests: 0,
            parsed: BTreeMap::new(),
        };
        world.spawn();
        world
    }

    /// Starts processes in place of those that died or closed.
    pub fn spawn(&mut self) {
        let open = |node: &&Node| {
            node.holder
                .as_ref()
                .is_some_and(|h| h.phase() == Phase::Open)
        };
        while self.nodes.iter().filter(open).count() < LIVE && self.nodes.len() < NODES {
            let id: HolderId = format!("h.{}", self.nodes.len()).into();
            self.nodes.push(Node {
                holder: Some(Holder::new(id.clone(), settings())),
                id,
                open: BTreeMap::new(),
            });
        }
    }

    pub fn index(&self, index: u8) -> usize {
        usize::from(index) % self.nodes.len()
    }

    /// Picks a node whose process runs.
    pub fn live(&self, index: u8) -> usize {
        let live = |n: &usize| {
            self.nodes[*n]
                .holder
                .as_ref()
                .is_some_and(|h| h.phase() != Phase::Closed)
        };
        let nodes: Vec<_> = (0..self.nodes.len()).filter(live).collect();
        nodes
            .get(usize::from(index) % nodes.len().max(1))
            .copied()
            .unwrap_or(0)
    }

    pub fn remember_past(&mut self) {
        self.past = self.table.clone();
    }

    pub fn reserve(&mut self, node: usize, budget: &BudgetId, amount: Tokens) {
        self.requests += 1;
        let request: RequestId = format!("r{}", self.requests).into();
        let Some(holder) = &mut self.nodes[node].holder else {
            return;
        };
        if self.defect == Defect::ReserveAboveMark
            && let Some(slot) = holder.slots.get_mut(budget)
        {
            slot.ceiling += 300;
        }
        let refill =
            holder.reserve(self.now, &request, budget, amount) == Err(ReserveError::RefillPending);
        // Half of the requests wait for the refill, so that the cases reach spent tokens.
        if refill && amount.is_multiple_of(2) {
            self.flush(node, Store::Up);
        }
        let Some(holder) = &mut self.nodes[node].holder else {
            return;
        };
        // A fifth of the requests do with a quarter of their tokens.
        let reserved = if amount.is_multiple_of(5) {
            let least = amount / 4;
            let part = holder.reserve_up_to(self.now, &request, budget, amount, least);
            assert!(part.is_err() || part.is_ok_and(|part| part >= least && part <= amount));
            part
        } else {
            holder.reserve(self.now, &request, budget, amount)
        };
        if let Ok(amount) = reserved {
            // A repeated message returns the same reservation.
            assert_eq!(holder.reserve(self.now, &request, budget, 1), Ok(amount));
            let open = &mut self.nodes[node].open;
            open.insert(request, (budget.clone(), amount));
        }
    }

    pub fn settle(&mut self, node: usize, pick: u8, tokens: Tokens) {
        let Some((request, budget, amount)) = self.pick(node, pick) else {
            return;
        };
        let holder = self.nodes[node].holder.as_mut().unwrap();
        let usage = usage(tokens);
        let bill = holder.settle(&request, usage.clone()).unwrap();
        assert_eq!((bill.charged, &bill.budget), (tokens.min(amount), &budget));
        self.records.insert(request.clone(), Record { node, bill });
        self.nodes[node].open.remove(&request);
        self.repeat(node, &request, &budget, usage);
    }

    /// Repeats the messages of a settled request.
    fn repeat(&mut self, node: usize, request: &RequestId, budget: &BudgetId, usage: Usage) {
        let holder = self.nodes[node].holder.as_mut().unwrap();
        if self.defect == Defect::BillTwice {
            holder.billed.clear();
        }
        let _ = holder.reserve(self.now, request, budget, 1);
        holder.settle(request, usage);
    }

    pub fn release(&mut self, node: usize, pick: u8) {
        if let Some((request, ..)) = self.pick(node, pick) {
            let holder = self.nodes[node].holder.as_mut().unwrap();
            holder.release(&request);
            holder.release(&request);
            self.nodes[node].open.remove(&request);
        }
    }

    pub fn lower(&mut self, node: usize, pick: u8, amount: Tokens) {
        if let Some((request, _, had)) = self.pick(node, pick) {
            let holder = self.nodes[node].holder.as_mut().unwrap();
            holder.lower(&request, amount);
            let open = self.nodes[node].open.get_mut(&request).unwrap();
            open.1 = amount.min(had);
        }
    }

    pub fn flush(&mut self, node: usize, store: Store) {
        let table = if store == Store::Stale {
            &self.past
        } else {
            &self.table
        };
        let Some(holder) = &mut self.nodes[node].holder else {
            return;
        };
        let rows = match store {
            Store::Down => Vec::new(),
            _ => fetch(table, &holder.required_keys()),
        };
        let Some(mut transaction) = holder.flush(self.now, &rows) else {
            return;
        };
        if self.defect == Defect::IgnoreVersion {
            transaction
                .conditions
                .retain(|c| c.key.starts_with("journal"));
        }
        self.sent.push(transaction.clone());
        if store == Store::Down {
            return;
        }
        let verdict = self.table.commit(&transaction);
        if store != Store::Lost {
            holder.apply_verdict(&verdict);
        } else if self.defect == Defect::ForgetAnswer {
            holder.pending = None;
            holder.next += 1;
        }
        self.learn(node);
    }

    /// Delivers an earlier transaction once more.
    pub fn replay(&mut self, index: u8) {
        if !self.sent.is_empty() {
            let transaction = &self.sent[usize::from(index) % self.sent.len()];
            self.table.commit(transaction);
        }
    }

    /// Ends a process. The engines finish half of its requests.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].holder = None;
        let open = std::mem::take(&mut self.nodes[node].open);
        for (position, (request, (budget, amount))) in open.into_iter().enumerate() {
            if position % 2 == 0 {
                let bill = bill(&request, &budget, amount / 2);
                self.records.insert(request, Record { node, bill });
            }
        }
    }

    /// Takes the next step of a reclaim: fences the holder, or declares a fenced one lost, or
    /// adds late bills.
    pub fn reclaim(&mut self, node: usize, store: Store) {
        let id = self.nodes[node].id.clone();
        let table = if store == Store::Stale {
            &self.past
        } else {
            &self.table
        };
        let last = table.scan(&journal::prefix(&id), "", usize::MAX).pop();
        let opening = table.get(&journal::opening_key(&id)).cloned();
        let author: HolderId = "reclaimer".into();
        let bills = self.unbilled(node);
        let table = &self.table;
        let found = reclaim::read(&id, last.as_ref(), opening.as_ref());
        let transaction = match found.unwrap() {
            JournalState::Live(mut tail) => {
                if self.defect == Defect::ReclaimMarked {
                    tail.shares
                        .values_mut()
                        .for_each(|share| share.mark = share.spent);
                }
                tail.fence(&author, &fetch(table, &tail.keys(&[])))
            }
            JournalState::Fenced(tail) => {
                let rows = fetch(table, &tail.keys(&bills));
                tail.declare_lost(&author, Reason::Elapsed, bills, &rows)
            }
            JournalState::Lost(tail) if !bills.is_empty() => {
                let rows = fetch(table, &tail.keys(&bills));
                tail.append_late_bills(&author, bills, &rows)
            }
            JournalState::Lost(_) | JournalState::Closed => None,
        };
        if let Some(transaction) = transaction {
            self.table.commit(&transaction);
            self.sent.push(transaction);
        }
    }

    /// Sends an operator's request until it is done; the first answer may be lost.
    pub fn operate(&mut self, request: &Request, answer: Store) -> bool {
        let mut keys = request.keys().to_vec();
        if self.defect == Defect::ApplyTwice {
            keys.remove(0);
        }
        for round in 0..4 {
            let old = round == 0 && answer == Store::Stale;
            let rows = fetch(if old { &self.past } else { &self.table }, &keys);
            let mut transaction = match request.propose(&rows) {
                Ok(Proposal::Commit(transaction)) => transaction,
                Ok(Proposal::Done(_)) => return true,
                // A refusal that was decided on old rows proves nothing.
                Err(_) if old => continue,
                Err(_) => return false,
            };
            if self.defect == Defect::ApplyTwice {
                transaction.conditions.remove(0);
            }
            let verdict = self.table.commit(&transaction);
            self.sent.push(transaction);
            let lost = round == 0 && answer == Store::Lost;
            if verdict == Verdict::Committed && !lost {
                return true;
            }
        }
        panic!("a request is not done after four rounds");
    }

    /// Forgets reservations that the holder gave up because another host billed them.
    fn learn(&mut self, node: usize) {
        let Node { holder, open, .. } = &mut self.nodes[node];
        let Some(holder) = holder else { return };
        if self.defect == Defect::KeepAfterLoss && holder.phase() == Phase::Lost {
            holder.phase = Phase::Open;
        }
        open.retain(|request, _| holder.reservations.contains_key(request));
    }

    fn pick(&self, node: usize, pick: u8) -> Option<(RequestId, BudgetId, Tokens)> {
        let Node { holder, open, .. } = &self.nodes[node];
        holder.as_ref()?;
        let index = usize::from(pick) % open.len().max(1);
        let (request, (budget, amount)) = open.iter().nth(index)?;
        Some((request.clone(), budget.clone(), *amount))
    }
}

pub fn fetch(table: &Memory, keys: &[String]) -> Vec<Row> {
    let rows = keys.iter().filter_map(|key| table.get(key));
    rows.cloned().collect()
}

fn bill(request: &RequestId, budget: &BudgetId, tokens: Tokens) -> Bill {
    let Usage {
        workspace,
        model,
        upstream,
        tokens,
    } = usage(tokens);
    Bill {
        request: request.clone(),
        budget: budget.clone(),
        workspace,
        model,
        upstream,
        charged: tokens,
        uncovered: 0,
    }
}
