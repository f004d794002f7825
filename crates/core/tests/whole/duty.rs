//! Background duties of a router process: journals, settlements, reclaim and the ledger.

use {
    super::{
        host::{Process, Silence},
        job::usage,
        message::{Answer, Ask, Billing, Event},
        upstream::{Kind, PRICE},
        world::{Defect, UPSTREAMS, World, node, reach, upstream_id},
    },
    marigoldroute_core::{
        budget::{Execution, Reason, journal, reclaim},
        claim::{Batch, Decision, Finding, Presence, Query},
        id::HolderId,
        table::{Row, Transaction, Verdict, Write},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Age from which the outcome of a reservation is asked for.
const RESERVATION_LIMIT: Duration = Duration::from_secs(10);
/// Rounds without an answer after which another holder gets a settlement.
const MISSED_ROUNDS: u32 = 3;
const RELEASE_TRIES: u32 = 5;
/// A process that does not renew its row for this long counts as dead.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// Longest gap between two reads of the rows.
const GAP_LIMIT: Duration = Duration::from_secs(3);

impl World {
    /// Writes the journals.
    pub fn flush(&mut self, process: &mut Process) {
        let generations: Vec<_> = process.escrow.holders.keys().copied().collect();
        for generation in generations {
            let Some(holder) = process.escrow.holders.get_mut(&generation) else {
                continue;
            };
            let keys = holder.required_keys();
            let rows = keys.iter().filter_map(|key| self.get(process.host, key));
            let rows: Vec<Row> = rows.flatten().collect();
            let Some(transaction) = holder.flush(process.clock, &rows) else {
                continue;
            };
            let transaction = match self.has(Defect::SkipAccount) {
                true => without_budgets(transaction),
                false => transaction,
            };
            let verdict = self.commit(process.host, &transaction);
            if let Some(verdict) = verdict {
                holder.apply_verdict(&verdict);
            }
        }
        process.escrow.renew();
        let (answers, lacking) = process.escrow.retry(process.clock);
        for (from, answer) in answers {
            self.answer(process, from, answer);
        }
        for budget in lacking {
            for host in process.places(&budget) {
                let budget = budget.clone();
                self.ask(process, host, Ask::Review { budget });
            }
        }
        for (attempt, purpose) in process.escrow.overdue(process.clock, RESERVATION_LIMIT) {
            let record = match purpose.kind {
                Kind::Order if self.has(Defect::NoServiceRecords) => {
                    match process.escrow.is_announced(&attempt) {
                        true => Execution::Finished(usage(purpose.kind, "", PRICE)),
                        false => Execution::Absent,
                    }
                }
                _ => self.record(process.host, &attempt, purpose.kind),
            };
            process.escrow.resolve(process.clock, &attempt, record);
        }
    }

    /// Asks the upstreams what became of an attempt.
    fn record(&self, host: usize, attempt: &str, kind: Kind) -> Execution {
        let mut found = Execution::Absent;
        for upstream in 0..UPSTREAMS {
            let id = upstream_id(upstream);
            let record = match self.is_linked(host, node(upstream)) {
                true => self.upstreams[upstream].record(attempt, |tokens| usage(kind, &id, tokens)),
                false => Execution::Running,
            };
            match record {
                Execution::Finished(_) => return record,
                Execution::Running => found = record,
                Execution::Absent => {}
            }
        }
        found
    }

    /// Repeats settlements and releases that are not acknowledged.
    pub fn deliver_settlements(&mut self, process: &mut Process) {
        let mut outbox = std::mem::take(&mut process.outbox);
        for item in &mut outbox {
            if item.missed >= MISSED_ROUNDS
                && let Ask::Settle { purpose, .. } = &item.job
            {
                let places = process.places(&purpose.budget);
                let other = places.into_iter().find(|host| *host != item.host);
                item.host = other.unwrap_or(process.host);
                item.missed = 0;
                reach("settled elsewhere");
            }
            item.missed += 1;
            self.ask(process, item.host, item.job.clone());
        }
        process.outbox = outbox;
        let mut releases = std::mem::take(&mut process.releases);
        for release in &mut releases {
            release.tries += 1;
            let attempt = release.attempt.clone();
            self.ask(process, release.host, Ask::Release { attempt });
        }
        releases.retain(|release| release.tries < RELEASE_TRIES);
        process.releases = releases;
    }

    /// Takes a holder's answer.
    pub fn answered(&mut self, process: &mut Process, from: usize, answer: Answer) {
        match answer {
            Answer::Reserved(attempt, result) => {
                self.reserved(process, from, &attempt, result.is_ok());
            }
            Answer::Released(attempt) => {
                let is_open = |release: &super::host::Release| {
                    release.host != from || release.attempt != attempt
                };
                process.releases.retain(is_open);
                self.withdrawn(process, from, &attempt);
            }
            Answer::Announced(attempt, is_open) => {
                self.announced(process, from, &attempt, is_open);
            }
            Answer::Settled(attempt, billing) => {
                let is_own = |item: &&mut super::host::Item| {
                    item.host == from && item.job.attempt() == attempt
                };
                match billing {
                    Billing::Durable => process
                        .outbox
                        .retain(|item| item.host != from || item.job.attempt() != attempt),
                    Billing::Pending => {
                        if let Some(item) = process.outbox.iter_mut().find(is_own) {
                            item.missed = 0;
                        }
                    }
                    Billing::Refused => {}
                }
            }
        }
    }

    /// Commits claims and works on their backlog.
    pub fn claim(&mut self, process: &mut Process) {
        while let Some(batch) = process.registry.next_batch(process.claim_timestamp()) {
            let verdict = match self.has(Defect::SkipClaim) {
                true => Some(Verdict::Committed),
                false => self.commit(process.host, &batch.transaction),
            };
            let decisions = self.decisions(process, batch, verdict);
            for (attempt, decision) in decisions {
                match decision {
                    Decision::Query(query) => self.query(process, *query),
                    decision => self.decide(process, &attempt, decision),
                }
            }
        }
        for _ in 0..process.registry.backlog.len() {
            self.tidy(process);
        }
    }

    fn decisions(
        &self,
        process: &mut Process,
        batch: Batch,
        verdict: Option<Verdict>,
    ) -> Vec<(marigoldroute_core::id::RequestId, Decision)> {
        let heard = process.heard();
        let presence = |author: &HolderId| match heard.contains(author) {
            true => Presence::Alive,
            false => Presence::Gone,
        };
        let now = process.claim_timestamp();
        let read = |key: &str| self.fresh(process.host, key);
        match verdict {
            Some(verdict) => process.registry.decide(now, batch, &verdict, &presence),
            None => process
                .registry
                .decide_after_read(now, batch, &read, &presence),
        }
    }

    fn query(&mut self, process: &mut Process, query: Query) {
        let attempt = query.attempt().clone();
        let finding = match self.record(process.host, &query.request, Kind::Order) {
            Execution::Finished(_) => Finding::Ran,
            Execution::Running => Finding::Unreachable,
            Execution::Absent => Finding::Absent,
        };
        if let Some(decision) = process.registry.resolve(process.clock, query, finding) {
            self.decide(process, &attempt, decision);
        }
    }

    fn tidy(&mut self, process: &mut Process) {
        let backlog = &mut process.registry.backlog;
        let Some(update) = backlog.next_due(process.clock) else {
            return;
        };
        let (request, key) = (update.request.clone(), update.key.clone());
        let Some(row) = self.fresh(process.host, &key) else {
            return;
        };
        let transaction = backlog.transaction_for(process.clock, &request, row.as_ref());
        if let Some(transaction) = transaction
            && self.commit(process.host, &transaction) == Some(Verdict::Committed)
        {
            process.registry.backlog.complete(process.clock, &request);
        }
    }

    /// Renews the row of the process and fences those that do not.
    pub fn reclaim(&mut self, process: &mut Process) {
        let mut transaction = Transaction::default();
        transaction.put(format!("host/{}", process.id), "{}");
        self.commit(process.host, &transaction);
        let Some(rows) = self.scan(process.host, "host/") else {
            return;
        };
        if process.clock.saturating_sub(process.last_read) > GAP_LIMIT {
            process.silences.clear();
        }
        process.last_read = process.clock;
        let heard: BTreeSet<_> = process.heard().into_iter().collect();
        for row in rows {
            let id: HolderId = row.key["host/".len()..].into();
            let silence = Silence {
                version: row.version,
                since: process.clock,
                fenced: None,
            };
            let known = process.silences.entry(id.clone()).or_insert(silence);
            if known.version != row.version || heard.contains(&id) {
                *known = silence;
            }
            if process.clock >= known.since + SILENCE_LIMIT {
                self.reclaim_process(process, &id);
            }
        }
    }

    fn reclaim_process(&mut self, process: &mut Process, dead: &HolderId) {
        let Some(rows) = self.scan(process.host, &format!("journal/{dead}.")) else {
            return;
        };
        let holders: BTreeSet<HolderId> = rows
            .iter()
            .filter_map(|row| Some(journal::holder_of_key(&row.key)?.into()))
            .collect();
        let mut is_done = true;
        for holder in holders {
            let mut own = rows
                .iter()
                .filter(|row| journal::holder_of_key(&row.key) == Some(&*holder));
            is_done &= self.reclaim_journal(process, dead, &holder, own.next_back());
        }
        if is_done {
            let mut transaction = Transaction::default();
            transaction.delete(format!("host/{dead}"));
            self.commit(process.host, &transaction);
        }
    }

    /// Takes the next step for one journal; returns whether nothing is left to do.
    fn reclaim_journal(
        &mut self,
        process: &mut Process,
        dead: &HolderId,
        holder: &HolderId,
        last: Option<&Row>,
    ) -> bool {
        let rows = |world: &Self, keys: Vec<String>| -> Vec<Row> {
            let rows = keys.iter().filter_map(|key| world.get(process.host, key));
            rows.flatten().collect()
        };
        let author = process.id.clone();
        let Some(opening) = self.fresh(process.host, &journal::opening_key(holder)) else {
            return false;
        };
        let found = reclaim::read(holder, last, opening.as_ref());
        let transaction = match found.expect("a journal row") {
            reclaim::JournalState::Closed | reclaim::JournalState::Lost(_) => return true,
            reclaim::JournalState::Live(tail) => {
                reach("fence");
                tail.fence(&author, &rows(self, tail.keys(&[])))
            }
            reclaim::JournalState::Fenced(tail) => {
                let now = process.clock;
                let silence = process.silences.get_mut(dead);
                let seen = silence.map_or(now, |silence| *silence.fenced.get_or_insert(now));
                if !tail.is_spent() && !tail.is_due(&self.reclaim, seen, now) {
                    return false;
                }
                reach("lost");
                let rows = rows(self, tail.keys(&[]));
                tail.declare_lost(&author, Reason::Elapsed, Vec::new(), &rows)
            }
        };
        if let Some(transaction) = transaction {
            self.commit(process.host, &transaction);
        }
        false
    }

    pub fn answer(&mut self, process: &Process, to: usize, answer: Answer) {
        let Some(incarnation) = self.incarnation(to) else {
            return;
        };
        let event = Event::Answer(process.host, (to, incarnation), answer);
        self.post(process.host, to, event);
    }

    pub fn ask(&mut self, process: &Process, to: usize, ask: Ask) {
        let from = (process.host, process.incarnation);
        self.post(process.host, to, Event::Ask(from, to, ask));
    }
}

/// Returns a transaction without its part that concerns budget rows.
fn without_budgets(mut transaction: Transaction) -> Transaction {
    let is_budget = |key: &str| key.starts_with("budget/");
    transaction
        .conditions
        .retain(|condition| !is_budget(&condition.key));
    transaction.writes.retain(|write| match write {
        Write::Put { key, .. } | Write::Delete { key } => !is_budget(key),
    });
    transaction
}
