//! Operators, planned stops, and the end of a case.

use {
    super::{
        host::Process,
        oracle::Version,
        upstream::{Kind, Mischief},
        world::{BUDGETS, Defect, ENGINES, HOSTS, UPSTREAMS, World, reach, upstream_id},
    },
    marigoldroute_core::{
        budget::{self, Change as Sum, Request},
        config::{
            Change, Edit, Kind as Node, LOG_PREFIX, Log, Proposal, Rebase, Record, RunningPolicy,
            Setting, Settings, Step, Submission, Value, hash_key,
        },
        fleet::Phase,
        table::Verdict,
        withdraw::{Action, Plan, Selector},
    },
};

const TRIES: u32 = 60;

/// What an operator wants, until it is done.
pub enum Operator {
    Config {
        host: usize,
        proposal: Proposal,
        tries: u32,
    },
    Money {
        host: usize,
        request: Request,
        tries: u32,
    },
}

impl World {
    /// Writes the first configuration and budgets while nothing else happens.
    pub fn set_up(&mut self) {
        let mut log = Log::new(Settings::default(), self.now);
        let mut edits = vec![
            add("w0", Node::Workspace),
            set("w0", Setting::Budget, Value::Text(BUDGETS[0].into())),
            set("w0", Setting::OutputLimit, Value::Tokens(16)),
            set(
                "w0",
                Setting::ApiKeys,
                Value::Hashes(vec![hash_key("key").into()]),
            ),
            set("w0", Setting::Share, Value::Weight(1)),
            add("drafting", Node::Model),
            add("orders", Node::Service),
            set(
                "orders",
                Setting::Price,
                Value::Tokens(super::upstream::PRICE),
            ),
            set("", Setting::Zone, Value::Text("z0".into())),
        ];
        for upstream in 0..UPSTREAMS {
            let path = upstream_id(upstream);
            let serves = if upstream < ENGINES {
                "drafting"
            } else {
                "orders"
            };
            let region = ["east", "west"][upstream % 2];
            edits.push(add(&path, Node::Upstream));
            edits.push(set(
                &path,
                Setting::Url,
                Value::Text("http://127.0.0.1:1".into()),
            ));
            edits.push(set(&path, Setting::Region, Value::Text(region.into())));
            edits.push(set(
                &path,
                Setting::Serves,
                Value::Names(vec![serves.into()]),
            ));
        }
        let mut proposal = Proposal::new(submission("set-up".into(), 0, edits, Rebase::Never));
        let Ok(Step::Commit(transaction)) = proposal.decide(&[], &log) else {
            panic!("the first configuration was not accepted");
        };
        self.store.apply(self.now, &transaction);
        log.apply_rows(self.now, &self.store.rows(LOG_PREFIX));
        self.note();
        for budget in BUDGETS {
            self.oracle.purchased.insert(budget.into(), 0);
            self.money(0, budget, "first", Sum::TopUp(400));
        }
        self.operate();
    }

    /// Records versions and sums as the store has accepted them.
    pub fn note(&mut self) {
        if !self.store.take_changed() {
            return;
        }
        let known = self.oracle.versions.len();
        for row in self.store.rows(LOG_PREFIX).into_iter().skip(known) {
            let record: Record = serde_json::from_str(&row.value).expect("a record");
            let mut withdrawn = match self.oracle.versions.last() {
                Some(version) => version.withdrawn.clone(),
                None => Default::default(),
            };
            for edit in &record.change.edits {
                let is_state = |setting: &str| setting == Setting::State.to_string();
                match edit {
                    Edit::Set { path, setting, .. } if is_state(setting) => {
                        reach("withdrawn");
                        withdrawn.insert(path.to_string(), self.now);
                    }
                    Edit::Unset { path, setting } if is_state(setting) => {
                        withdrawn.remove(&**path);
                    }
                    _ => {}
                }
            }
            let at = self.now;
            self.oracle.versions.push(Version { at, withdrawn });
        }
        let sums = self.store.rows("topup/").into_iter().map(|row| {
            let receipt: budget::Receipt = serde_json::from_str(&row.value).expect("a receipt");
            let budget = row.key.split('/').nth(1).expect("a budget").to_owned();
            match receipt.change {
                Sum::TopUp(tokens) => (budget, tokens as i64),
                Sum::Cut(tokens) => (budget, -(tokens as i64)),
            }
        });
        let sums: Vec<_> = sums.collect();
        self.oracle.purchased.values_mut().for_each(|sum| *sum = 0);
        for (budget, tokens) in sums {
            *self.oracle.purchased.entry(budget).or_default() += tokens;
        }
    }

    /// An operator tops a budget up or cuts it.
    pub fn money(&mut self, host: usize, budget: &str, id: &str, change: Sum) {
        let request = Request {
            budget: budget.into(),
            id: id.into(),
            change,
            operator: "operator".into(),
        };
        let tries = 0;
        self.operators.push(Operator::Money {
            host,
            request,
            tries,
        });
    }

    /// An operator changes the share of the workspace, as seen from a host.
    pub fn edit(&mut self, host: usize, weight: u64) {
        let edits = vec![set("w0", Setting::Share, Value::Weight(weight))];
        self.propose(host, edits, Rebase::Never);
    }

    /// An operator withdraws or restores an upstream, as seen from a host.
    pub fn withdraw(&mut self, host: usize, upstream: usize, action: Action) {
        let Some(process) = &self.hosts[host].process else {
            return;
        };
        let selector = Selector {
            upstreams: [upstream_id(upstream)].into(),
            ..Selector::default()
        };
        let plan = Plan::new(process.log.version(), process.log.tree(), &selector, action);
        self.propose(host, plan.change.edits, Rebase::Disjoint);
    }

    fn propose(&mut self, host: usize, edits: Vec<Edit>, rebase: Rebase) {
        let Some(process) = self.hosts[host]
            .process
            .as_ref()
            .filter(|_| !edits.is_empty())
        else {
            return;
        };
        let id = format!("change-{}-{}", self.now.as_millis(), self.operators.len());
        let submission = submission(id, process.log.version(), edits, rebase);
        let proposal = Proposal::new(submission);
        let tries = 0;
        self.operators.push(Operator::Config {
            host,
            proposal,
            tries,
        });
    }

    /// Lets every operator make one attempt.
    pub fn operate(&mut self) {
        for mut operator in std::mem::take(&mut self.operators) {
            let is_open = match &mut operator {
                Operator::Config {
                    host,
                    proposal,
                    tries,
                } => {
                    *tries += 1;
                    *tries < TRIES && self.try_propose(*host, proposal)
                }
                Operator::Money {
                    host,
                    request,
                    tries,
                } => {
                    *tries += 1;
                    *tries < TRIES && self.try_pay(*host, request)
                }
            };
            if is_open {
                self.operators.push(operator);
            }
        }
    }

    fn try_pay(&mut self, host: usize, request: &Request) -> bool {
        let rows: Option<Vec<_>> = (request.keys().iter())
            .map(|key| self.get(host, key))
            .collect();
        let Some(rows) = rows else { return true };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        match request.propose(&rows) {
            Ok(budget::Proposal::Done(_)) => false,
            Ok(budget::Proposal::Commit(transaction)) => {
                self.commit(host, &transaction) != Some(Verdict::Committed)
            }
            Err(_) => false,
        }
    }

    fn try_propose(&mut self, host: usize, proposal: &mut Proposal) -> bool {
        let rows: Option<Vec<_>> = (proposal.required_keys().iter())
            .map(|key| self.get(host, key))
            .collect();
        let Some(rows) = rows else { return true };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let Some(process) = self.hosts[host].process.as_ref() else {
            return true;
        };
        match proposal.decide(&rows, &process.log) {
            Ok(Step::Accepted(_)) => false,
            Ok(Step::CatchUp(_) | Step::Reread) => true,
            Ok(Step::Commit(transaction)) => match self.commit(host, &transaction) {
                Some(verdict) => matches!(proposal.apply_verdict(&verdict), Ok(None)),
                None => true,
            },
            Err(_) => false,
        }
    }

    /// Starts a planned stop.
    pub fn stop(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        if let Some(process) = slot.process.as_mut().filter(|_| !slot.is_paused) {
            process.is_draining = true;
            process.view.enter(Phase::Draining);
        }
    }

    /// Takes the next step of a planned stop; returns whether the process has ended.
    pub fn is_ended(&mut self, process: &mut Process) -> bool {
        if !process.is_draining {
            return false;
        }
        if self.has(Defect::StopAtOnce) {
            for job in std::mem::take(&mut process.jobs).into_values() {
                self.tell(&job, super::oracle::Told::Dropped);
            }
        }
        let is_idle = process.jobs.is_empty() && process.outbox.is_empty();
        if !process.is_settled && is_idle && process.releases.is_empty() {
            process.is_settled = true;
            match self.has(Defect::KeepTokens) {
                true => process.escrow.holders.clear(),
                false => process.escrow.stop(),
            }
        }
        let is_closed = process.escrow.holders.is_empty() && process.registry.backlog.is_empty();
        if !process.is_settled || !is_closed {
            return false;
        }
        let mut transaction = marigoldroute_core::table::Transaction::default();
        transaction.delete(format!("host/{}", process.id));
        self.commit(process.host, &transaction).is_some()
    }

    /// Ends every fault; hosts that are gone start again.
    pub fn heal(&mut self) {
        self.store.faults = Default::default();
        self.agenda.faults = Default::default();
        self.are_objects_down = false;
        for upstream in &mut self.upstreams {
            upstream.is_down = false;
            upstream.mischief = Mischief::None;
        }
        for host in 0..HOSTS {
            self.hosts[host].is_paused = false;
            self.start(host);
        }
    }

    /// Ends the case: calm with some traffic, a planned stop of every host, and one host that
    /// bills what is left.
    pub fn end(&mut self) {
        const REJOIN_TICKS: usize = 120;
        const STOP_TICKS: usize = 400;
        const BILL_TICKS: usize = 120;
        self.heal();
        self.run(REJOIN_TICKS);
        self.mark_calm(true);
        for _ in 0..12 {
            (0..HOSTS).for_each(|host| self.call(host, Kind::Stream, None, host % 2, 1));
            self.run(4);
        }
        self.mark_calm(false);
        for host in 0..HOSTS {
            self.stop(host);
        }
        let is_up = |world: &Self| world.hosts.iter().any(|slot| slot.process.is_some());
        for _ in 0..STOP_TICKS {
            if is_up(self) {
                self.run(1);
            }
        }
        assert!(!is_up(self), "P7: a planned stop does not end");
        self.start(0);
        self.run(BILL_TICKS);
        let rows = self.store.rows("journal/");
        let late = rows.iter().filter(|row| row.value.contains("\"late\""));
        late.for_each(|_| reach("late"));
        let given_up = self.oracle.check_end(&self.bills());
        (0..given_up).for_each(|_| reach("bill given up"));
        // With this defect, the check of the spend itself has to fail.
        if self.oracle.killed.is_empty() && !self.has(Defect::SkipAccount) {
            self.check_conserved();
        }
    }

    /// Without a death, every token is spent or back in its budget.
    fn check_conserved(&self) {
        let bills = self.bills();
        for budget in BUDGETS {
            let own = bills.iter().filter(|bill| *bill.budget == *budget);
            let spent: u64 = own.map(|bill| bill.charged).sum();
            let allocated = self.account(budget).allocated;
            assert_eq!(allocated, spent, "P7: tokens of {budget} were not returned");
        }
    }
}

pub fn withdrawal() -> Action {
    Action::Withdraw(RunningPolicy::Finish)
}

fn add(path: &str, kind: Node) -> Edit {
    Edit::Add {
        path: path.into(),
        kind,
    }
}

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

fn submission(id: String, base: u64, edits: Vec<Edit>, rebase: Rebase) -> Submission {
    let force = false;
    Submission {
        change: Change { edits, force },
        author: "operator".into(),
        request: id.into(),
        time_ms: 0,
        base,
        rebase,
    }
}
