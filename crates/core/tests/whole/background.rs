//! Background work of a router process: journals, settlements, claims and the reclaim of journals
//! of dead processes.

use {
    super::{
        host::{Liveness, Process},
        message::{Billing, Event, HolderMessage, HolderReply},
        request::usage,
        simulation::{Defect, Simulation, UPSTREAMS, node, record_path, upstream_id},
        upstream::{Kind, PRICE},
    },
    marigoldroute_core::{
        budget::{Execution, Reason, journal, reclaim},
        claim::{Batch, Decision, Finding, Presence, Query},
        id::HolderId,
        table::{Row, Transaction, Verdict, Write},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Age from which the upstreams are queried for the outcome of a reservation.
const RESERVATION_QUERY_AGE: Duration = Duration::from_secs(10);
/// Unanswered sends after which a settlement goes to another holder.
const UNANSWERED_ROUND_LIMIT: u32 = 3;
/// Most times that a release is sent.
const RELEASE_ATTEMPT_LIMIT: u32 = 5;
/// A process that does not renew its row for this long counts as dead.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(6);
/// A longer gap between two reads of the process rows discards all observed liveness.
const READ_GAP_LIMIT: Duration = Duration::from_secs(3);

impl Simulation {
    /// Flushes the journals, retries waiting reservations and resolves overdue ones.
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
        process.escrow.replace_closed();
        let (replies, short_budgets) = process.escrow.retry(process.clock);
        for (from, reply) in replies {
            self.reply_to_entry(process, from, reply);
        }
        for budget in short_budgets {
            for host in process.candidates(&budget) {
                let budget = budget.clone();
                self.send_to_holder(process, host, HolderMessage::Review { budget });
            }
        }
        for (attempt, spec) in process.escrow.overdue(process.clock, RESERVATION_QUERY_AGE) {
            let execution = match spec.kind {
                Kind::Order if self.has(Defect::NoServiceRecords) => {
                    match process.escrow.is_announced(&attempt) {
                        true => Execution::Finished(usage(spec.kind, "", PRICE)),
                        false => Execution::Absent,
                    }
                }
                _ => self.query_execution(process.host, &attempt, spec.kind),
            };
            process.escrow.resolve(process.clock, &attempt, execution);
        }
    }

    /// Queries the upstreams for the execution of an attempt. An unreachable upstream counts as one
    /// where it is running.
    fn query_execution(&self, host: usize, attempt: &str, kind: Kind) -> Execution {
        let mut found = Execution::Absent;
        for upstream in 0..UPSTREAMS {
            let id = upstream_id(upstream);
            let execution = match self.is_linked(host, node(upstream)) {
                true => {
                    self.upstreams[upstream].execution(attempt, |tokens| usage(kind, &id, tokens))
                }
                false => Execution::Running,
            };
            match execution {
                Execution::Finished(_) => return execution,
                Execution::Running => found = execution,
                Execution::Absent => {}
            }
        }
        found
    }

    /// Repeats settlements and releases that are not acknowledged.
    pub fn deliver_settlements(&mut self, process: &mut Process) {
        let mut outbox = std::mem::take(&mut process.outbox);
        for settlement in &mut outbox {
            if settlement.unanswered_rounds >= UNANSWERED_ROUND_LIMIT
                && let HolderMessage::Settle { spec, .. } = &settlement.message
            {
                let candidates = process.candidates(&spec.budget);
                let other = candidates.into_iter().find(|host| *host != settlement.host);
                settlement.host = other.unwrap_or(process.host);
                settlement.unanswered_rounds = 0;
                record_path("settled elsewhere");
            }
            settlement.unanswered_rounds += 1;
            self.send_to_holder(process, settlement.host, settlement.message.clone());
        }
        process.outbox = outbox;
        let mut releases = std::mem::take(&mut process.releases);
        for release in &mut releases {
            release.attempts += 1;
            let attempt = release.attempt.clone();
            self.send_to_holder(process, release.host, HolderMessage::Release { attempt });
        }
        releases.retain(|release| release.attempts < RELEASE_ATTEMPT_LIMIT);
        process.releases = releases;
    }

    /// Applies a holder's reply.
    pub fn handle_reply(&mut self, process: &mut Process, from: usize, reply: HolderReply) {
        match reply {
            HolderReply::Reserved(attempt, result) => {
                self.handle_reserved(process, from, &attempt, result.is_ok());
            }
            HolderReply::Released(attempt) => {
                let is_unacknowledged = |release: &super::host::Release| {
                    release.host != from || release.attempt != attempt
                };
                process.releases.retain(is_unacknowledged);
                self.handle_released(process, from, &attempt);
            }
            HolderReply::Announced(attempt, is_announced) => {
                self.handle_announced(process, from, &attempt, is_announced);
            }
            HolderReply::Settled(attempt, billing) => {
                let is_own = |settlement: &&mut super::host::Settlement| {
                    settlement.host == from && settlement.message.attempt() == attempt
                };
                match billing {
                    Billing::Durable => process.outbox.retain(|settlement| {
                        settlement.host != from || settlement.message.attempt() != attempt
                    }),
                    Billing::Pending => {
                        if let Some(settlement) = process.outbox.iter_mut().find(is_own) {
                            settlement.unanswered_rounds = 0;
                        }
                    }
                    Billing::Refused => {}
                }
            }
        }
    }

    /// Commits queued claims and works off the backlog of claim updates.
    pub fn commit_claims(&mut self, process: &mut Process) {
        while let Some(batch) = process.registry.next_batch(process.claim_timestamp()) {
            let verdict = match self.has(Defect::SkipClaim) {
                true => Some(Verdict::Committed),
                false => self.commit(process.host, &batch.transaction),
            };
            let decisions = self.decisions(process, batch, verdict);
            for (attempt, decision) in decisions {
                match decision {
                    Decision::Query(query) => self.resolve_query(process, *query),
                    decision => self.decide(process, &attempt, decision),
                }
            }
        }
        for _ in 0..process.registry.backlog.len() {
            self.update_claim(process);
        }
    }

    fn decisions(
        &self,
        process: &mut Process,
        batch: Batch,
        verdict: Option<Verdict>,
    ) -> Vec<(marigoldroute_core::id::RequestId, Decision)> {
        let live_processes = process.live_processes();
        let presence = |author: &HolderId| match live_processes.contains(author) {
            true => Presence::Alive,
            false => Presence::Gone,
        };
        let now = process.claim_timestamp();
        let read = |key: &str| self.read_latest(process.host, key);
        match verdict {
            Some(verdict) => process.registry.decide(now, batch, &verdict, &presence),
            None => process
                .registry
                .decide_after_read(now, batch, &read, &presence),
        }
    }

    fn resolve_query(&mut self, process: &mut Process, query: Query) {
        let attempt = query.attempt().clone();
        let finding = match self.query_execution(process.host, &query.request, Kind::Order) {
            Execution::Finished(_) => Finding::Ran,
            Execution::Running => Finding::Unreachable,
            Execution::Absent => Finding::Absent,
        };
        if let Some(decision) = process.registry.resolve(process.clock, query, finding) {
            self.decide(process, &attempt, decision);
        }
    }

    /// Commits the next due update of the backlog.
    fn update_claim(&mut self, process: &mut Process) {
        let backlog = &mut process.registry.backlog;
        let Some(update) = backlog.next_due(process.clock) else {
            return;
        };
        let (request, key) = (update.request.clone(), update.key.clone());
        let Some(row) = self.read_latest(process.host, &key) else {
            return;
        };
        let transaction = backlog.transaction_for(process.clock, &request, row.as_ref());
        if let Some(transaction) = transaction
            && self.commit(process.host, &transaction) == Some(Verdict::Committed)
        {
            process.registry.backlog.complete(process.clock, &request);
        }
    }

    /// Renews the row of the process, and reclaims the journals of processes that do not renew
    /// theirs.
    pub fn reclaim(&mut self, process: &mut Process) {
        let mut transaction = Transaction::default();
        transaction.put(format!("host/{}", process.id), "{}");
        self.commit(process.host, &transaction);
        let Some(rows) = self.scan(process.host, "host/") else {
            return;
        };
        if process.clock.saturating_sub(process.last_read) > READ_GAP_LIMIT {
            process.liveness.clear();
        }
        process.last_read = process.clock;
        let live_processes: BTreeSet<_> = process.live_processes().into_iter().collect();
        for row in rows {
            let id: HolderId = row.key["host/".len()..].into();
            let observed = Liveness {
                version: row.version,
                since: process.clock,
                fenced: None,
            };
            let known = process.liveness.entry(id.clone()).or_insert(observed);
            if known.version != row.version || live_processes.contains(&id) {
                *known = observed;
            }
            if process.clock >= known.since + LIVENESS_TIMEOUT {
                self.reclaim_process(process, &id);
            }
        }
    }

    /// Reclaims the journals of a dead process, and deletes its row when nothing is left to do.
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

    /// Takes the next step to reclaim one journal; returns whether nothing is left to do.
    fn reclaim_journal(
        &mut self,
        process: &mut Process,
        dead: &HolderId,
        holder: &HolderId,
        last: Option<&Row>,
    ) -> bool {
        let rows = |simulation: &Self, keys: Vec<String>| -> Vec<Row> {
            let rows = keys
                .iter()
                .filter_map(|key| simulation.get(process.host, key));
            rows.flatten().collect()
        };
        let author = process.id.clone();
        let Some(opening) = self.read_latest(process.host, &journal::opening_key(holder)) else {
            return false;
        };
        let found = reclaim::read(holder, last, opening.as_ref());
        let transaction = match found.expect("a journal row") {
            reclaim::JournalState::Closed | reclaim::JournalState::Lost(_) => return true,
            reclaim::JournalState::Live(tail) => {
                record_path("fence");
                tail.fence(&author, &rows(self, tail.keys(&[])))
            }
            reclaim::JournalState::Fenced(tail) => {
                let now = process.clock;
                let observed = process.liveness.get_mut(dead);
                let seen = observed.map_or(now, |observed| *observed.fenced.get_or_insert(now));
                if !tail.is_spent() && !tail.is_due(&self.reclaim, seen, now) {
                    return false;
                }
                record_path("lost");
                let rows = rows(self, tail.keys(&[]));
                tail.declare_lost(&author, Reason::Elapsed, Vec::new(), &rows)
            }
        };
        if let Some(transaction) = transaction {
            self.commit(process.host, &transaction);
        }
        false
    }

    pub fn reply_to_entry(&mut self, process: &Process, to: usize, reply: HolderReply) {
        let Some(incarnation) = self.incarnation(to) else {
            return;
        };
        let event = Event::HolderReply(process.host, (to, incarnation), reply);
        self.send_message(process.host, to, event);
    }

    pub fn send_to_holder(&mut self, process: &Process, to: usize, message: HolderMessage) {
        let from = (process.host, process.incarnation);
        self.send_message(process.host, to, Event::HolderMessage(from, to, message));
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
