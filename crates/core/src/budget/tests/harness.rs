//! Harness with holders, operators and reclaimers on an in-memory table, with faults of the store
//! and deliberate defects.

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

/// A deliberate defect that the oracle has to find.
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

/// How the store behaves towards one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreBehaviour {
    Up,
    Down,
    /// Transactions take effect, but the verdict does not arrive.
    Lost,
    /// Reads return rows of the last snapshot.
    Stale,
}

/// Usage record of an engine, with the node that reserved the tokens.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    pub node: usize,
    pub bill: Bill,
}

/// A process with its holder.
pub struct Node {
    pub id: HolderId,
    /// `None` after the process died.
    pub holder: Option<Holder>,
    /// Open requests with their budget and reserved tokens.
    pub open: BTreeMap<RequestId, (BudgetId, Tokens)>,
}

pub struct Harness {
    pub defect: Defect,
    pub table: Memory,
    /// Earlier content of the table, for stale reads.
    snapshot: Memory,
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub records: BTreeMap<RequestId, EngineRecord>,
    /// Transactions sent to the store so far, for replays.
    sent: Vec<Transaction>,
    /// Number of requests so far.
    requests: u64,
    /// Cache of parsed journal rows by key.
    pub parsed: BTreeMap<String, Journal>,
}

const LIVE_NODES: usize = 3;
const NODE_LIMIT: usize = 10;

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

impl Harness {
    pub fn new(defect: Defect) -> Self {
        let mut harness = Self {
            defect,
            table: Memory::default(),
            snapshot: Memory::default(),
            now: Duration::ZERO,
            nodes: Vec::new(),
            records: BTreeMap::new(),
            sent: Vec::new(),
            requests: 0,
            parsed: BTreeMap::new(),
        };
        harness.spawn();
        harness
    }

    /// Starts processes until [`LIVE_NODES`] are open or [`NODE_LIMIT`] is reached.
    pub fn spawn(&mut self) {
        let open = |node: &&Node| {
            node.holder
                .as_ref()
                .is_some_and(|h| h.phase() == Phase::Open)
        };
        while self.nodes.iter().filter(open).count() < LIVE_NODES && self.nodes.len() < NODE_LIMIT {
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

    /// Returns one of the nodes whose holder is not closed.
    pub fn live_node(&self, index: u8) -> usize {
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

    pub fn take_snapshot(&mut self) {
        self.snapshot = self.table.clone();
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
        let is_refill_pending =
            holder.reserve(self.now, &request, budget, amount) == Err(ReserveError::RefillPending);
        // Half of the requests wait for the refill, so that the cases spend tokens.
        if is_refill_pending && amount.is_multiple_of(2) {
            self.flush(node, StoreBehaviour::Up);
        }
        let Some(holder) = &mut self.nodes[node].holder else {
            return;
        };
        // A fifth of the requests accept a quarter of their tokens.
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
        self.records
            .insert(request.clone(), EngineRecord { node, bill });
        self.nodes[node].open.remove(&request);
        self.repeat_messages(node, &request, &budget, usage);
    }

    /// Repeats the messages of a settled request.
    fn repeat_messages(
        &mut self,
        node: usize,
        request: &RequestId,
        budget: &BudgetId,
        usage: Usage,
    ) {
        let holder = self.nodes[node].holder.as_mut().unwrap();
        if self.defect == Defect::BillTwice {
            holder.ended_requests.clear();
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

    pub fn flush(&mut self, node: usize, store: StoreBehaviour) {
        let table = if store == StoreBehaviour::Stale {
            &self.snapshot
        } else {
            &self.table
        };
        let Some(holder) = &mut self.nodes[node].holder else {
            return;
        };
        let rows = match store {
            StoreBehaviour::Down => Vec::new(),
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
        if store == StoreBehaviour::Down {
            return;
        }
        let verdict = self.table.commit(&transaction);
        if store != StoreBehaviour::Lost {
            holder.apply_verdict(&verdict);
        } else if self.defect == Defect::ForgetAnswer {
            holder.pending = None;
            holder.next_sequence += 1;
        }
        self.drop_lost_reservations(node);
    }

    /// Commits an earlier transaction again, as a delayed message would.
    pub fn replay(&mut self, index: u8) {
        if !self.sent.is_empty() {
            let transaction = &self.sent[usize::from(index) % self.sent.len()];
            self.table.commit(transaction);
        }
    }

    /// Ends a process without a planned stop. The engines finish half of its requests.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].holder = None;
        let open = std::mem::take(&mut self.nodes[node].open);
        for (position, (request, (budget, amount))) in open.into_iter().enumerate() {
            if position % 2 == 0 {
                let bill = bill(&request, &budget, amount / 2);
                self.records.insert(request, EngineRecord { node, bill });
            }
        }
    }

    /// Takes the next step of a reclaim: fences the holder, declares a fenced one lost, or appends
    /// late bills.
    pub fn reclaim(&mut self, node: usize, store: StoreBehaviour) {
        let id = self.nodes[node].id.clone();
        let table = if store == StoreBehaviour::Stale {
            &self.snapshot
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

    /// Repeats an operator's request until it is done, or refused on current rows. The first answer
    /// may be lost or based on stale rows.
    pub fn operate(&mut self, request: &Request, answer: StoreBehaviour) -> bool {
        let mut keys = request.keys().to_vec();
        if self.defect == Defect::ApplyTwice {
            keys.remove(0);
        }
        for round in 0..4 {
            let is_stale = round == 0 && answer == StoreBehaviour::Stale;
            let rows = fetch(
                if is_stale {
                    &self.snapshot
                } else {
                    &self.table
                },
                &keys,
            );
            let mut transaction = match request.propose(&rows) {
                Ok(Proposal::Commit(transaction)) => transaction,
                Ok(Proposal::Done(_)) => return true,
                // A refusal based on stale rows is not final.
                Err(_) if is_stale => continue,
                Err(_) => return false,
            };
            if self.defect == Defect::ApplyTwice {
                transaction.conditions.remove(0);
            }
            let verdict = self.table.commit(&transaction);
            self.sent.push(transaction);
            let is_lost = round == 0 && answer == StoreBehaviour::Lost;
            if verdict == Verdict::Committed && !is_lost {
                return true;
            }
        }
        panic!("a request is not done after four rounds");
    }

    /// Removes open requests whose reservations the holder dropped because another host billed
    /// them.
    fn drop_lost_reservations(&mut self, node: usize) {
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
