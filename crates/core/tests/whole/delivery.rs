//! Delivery of messages, and the exchange of membership and configuration.

use {
    super::{
        host::{Process, host_id},
        message::Event,
        oracle::Run,
        simulation::{Defect, STORE, Simulation, TICK, index},
        upstream::{Kind, cost, output},
    },
    marigoldroute_core::{
        config::{Action, Read, Role},
        id::RequestId,
        table::Row,
    },
};

impl Simulation {
    /// Delivers every message that is due.
    pub fn deliver(&mut self) {
        while let Some((_, event)) = self.events.next(self.now) {
            match event {
                Event::Late(transaction) => {
                    self.store.apply(self.now, &transaction);
                    self.record_store_changes();
                }
                Event::Request {
                    upstream,
                    attempt,
                    name,
                    kind,
                    output_tokens,
                } => {
                    self.start_execution(upstream, &attempt, name, kind, output_tokens);
                }
                Event::Packet(_, to, _)
                | Event::Gossip(_, to, _)
                | Event::HolderMessage(_, to, _) => {
                    self.receive(to, None, event);
                }
                Event::Rows((to, incarnation), ..)
                | Event::HolderReply(_, (to, incarnation), _) => {
                    self.receive(to, Some(incarnation), event);
                }
            }
        }
    }

    fn start_execution(
        &mut self,
        upstream: usize,
        attempt: &RequestId,
        name: String,
        kind: Kind,
        output_tokens: u64,
    ) {
        let is_up = !self.upstreams[upstream].is_down;
        if is_up && self.upstreams[upstream].accept(attempt, kind, output_tokens) {
            self.oracle.runs.push(Run {
                attempt: attempt.clone(),
                name,
                output: output(kind, attempt, output_tokens),
                tokens: cost(kind, output_tokens),
            });
        }
    }

    /// Delivers a message to a host. One for a paused host waits; one for an earlier incarnation is
    /// dropped.
    fn receive(&mut self, to: usize, incarnation: Option<u64>, event: Event) {
        if self.hosts[to].is_paused {
            self.events.add(self.now + TICK, event);
            return;
        }
        let Some(mut process) = self.hosts[to].process.take() else {
            return;
        };
        if incarnation.is_none_or(|incarnation| incarnation == process.incarnation) {
            self.handle(&mut process, event);
        }
        self.hosts[to].process = Some(process);
    }

    fn handle(&mut self, process: &mut Process, event: Event) {
        let (clock, own) = (process.clock, process.host);
        match event {
            Event::Packet(from, _, packet) => {
                if let Some(answer) = process.log.receive(clock, &host_id(from), packet) {
                    self.send_message(own, from, Event::Packet(own, from, answer));
                }
            }
            Event::Gossip(from, _, gossip) => {
                process.log.observe(clock, &host_id(from), gossip.version);
                let answer =
                    process
                        .view
                        .receive(clock, &host_id(from), &gossip, &mut process.random);
                if let Some(answer) = answer {
                    self.send_message(own, from, Event::Gossip(own, from, answer));
                }
            }
            Event::Rows(_, read, rows) => process.apply_rows(&read, rows),
            Event::HolderMessage(from, _, message) => {
                let accepts_new = !process.is_draining;
                let reply = process.escrow.handle(clock, from.0, message, accepts_new);
                if let Some(reply) = reply {
                    self.send_message(own, from.0, Event::HolderReply(own, from, reply));
                }
            }
            Event::HolderReply(from, _, reply) => self.handle_reply(process, from, reply),
            Event::Request { .. } | Event::Late(_) => {}
        }
    }

    /// Exchanges membership and configuration.
    pub fn exchange_state(&mut self, process: &mut Process) {
        let own = process.host;
        let role = match process.view.is_poller() {
            true => Role::Poller,
            false => Role::Follower,
        };
        for (to, gossip) in process.view.tick(process.clock, &mut process.random) {
            self.send_message(own, index(&to), Event::Gossip(own, index(&to), gossip));
        }
        let peers = process.view.peers();
        for action in process
            .log
            .tick(process.clock, role, &peers, &mut process.random)
        {
            match action {
                Action::Read(read) => {
                    let rows = self.store.read(self.now, &read);
                    let rows = rows.filter(|_| self.is_linked(own, STORE));
                    let delay = self.delay();
                    let event = Event::Rows((own, process.incarnation), read, rows);
                    self.events.add(self.now + delay, event);
                }
                Action::Send(to, packet) => {
                    self.send_message(own, index(&to), Event::Packet(own, index(&to), packet));
                }
            }
        }
        process.apply_config(self.has(Defect::SendToWithdrawn));
    }
}

impl Process {
    fn apply_rows(&mut self, read: &Read, rows: Option<Vec<Row>>) {
        let Some(rows) = rows else {
            return self.log.record_store_failure();
        };
        match read {
            Read::Head => self.log.apply_head(self.clock, rows.first()),
            Read::Rows { .. } => self.log.apply_rows(self.clock, &rows),
            Read::Pointer => self.log.apply_pointer(self.clock, rows.first()),
            Read::Parts { .. } => self.log.apply_parts(self.clock, &rows),
        }
    }
}
