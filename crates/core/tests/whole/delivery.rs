//! Messages that arrive.

use {
    super::{
        host::{Process, host_id},
        message::Event,
        oracle::Run,
        upstream::{Kind, cost, output},
        world::{Defect, STORE, TICK, World, index},
    },
    marigoldroute_core::{
        config::{Action, Read, Role},
        id::RequestId,
        table::Row,
    },
};

impl World {
    pub fn deliver(&mut self) {
        while let Some((_, event)) = self.agenda.next(self.now) {
            match event {
                Event::Late(transaction) => {
                    self.store.apply(self.now, &transaction);
                    self.note();
                }
                Event::Request {
                    upstream,
                    attempt,
                    name,
                    kind,
                    total,
                } => {
                    self.request(upstream, &attempt, name, kind, total);
                }
                Event::Packet(_, to, _) | Event::Gossip(_, to, _) | Event::Ask(_, to, _) => {
                    self.receive(to, None, event);
                }
                Event::Rows((to, incarnation), ..) | Event::Answer(_, (to, incarnation), _) => {
                    self.receive(to, Some(incarnation), event);
                }
            }
        }
    }

    fn request(
        &mut self,
        upstream: usize,
        attempt: &RequestId,
        name: String,
        kind: Kind,
        total: u64,
    ) {
        let is_up = !self.upstreams[upstream].is_down;
        if is_up && self.upstreams[upstream].take(attempt, kind, total) {
            self.oracle.runs.push(Run {
                attempt: attempt.clone(),
                name,
                output: output(kind, attempt, total),
                tokens: cost(kind, total),
            });
        }
    }

    /// Gives a message to a host; one for a paused host waits.
    fn receive(&mut self, to: usize, incarnation: Option<u64>, event: Event) {
        if self.hosts[to].is_paused {
            self.agenda.add(self.now + TICK, event);
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
                    self.post(own, from, Event::Packet(own, from, answer));
                }
            }
            Event::Gossip(from, _, gossip) => {
                process.log.observe(clock, &host_id(from), gossip.version);
                let answer =
                    process
                        .view
                        .receive(clock, &host_id(from), &gossip, &mut process.random);
                if let Some(answer) = answer {
                    self.post(own, from, Event::Gossip(own, from, answer));
                }
            }
            Event::Rows(_, read, rows) => process.rows(&read, rows),
            Event::Ask(from, _, ask) => {
                let is_open = !process.is_draining;
                let answer = process.escrow.take(clock, from.0, ask, is_open);
                if let Some(answer) = answer {
                    self.post(own, from.0, Event::Answer(own, from, answer));
                }
            }
            Event::Answer(from, _, answer) => self.answered(process, from, answer),
            Event::Request { .. } | Event::Late(_) => {}
        }
    }

    /// Exchanges membership and configuration.
    pub fn talk(&mut self, process: &mut Process) {
        let own = process.host;
        let role = match process.view.is_poller() {
            true => Role::Poller,
            false => Role::Follower,
        };
        for (to, gossip) in process.view.tick(process.clock, &mut process.random) {
            self.post(own, index(&to), Event::Gossip(own, index(&to), gossip));
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
                    self.agenda.add(self.now + delay, event);
                }
                Action::Send(to, packet) => {
                    self.post(own, index(&to), Event::Packet(own, index(&to), packet));
                }
            }
        }
        process.follow(self.has(Defect::SendToWithdrawn));
    }
}

impl Process {
    fn rows(&mut self, read: &Read, rows: Option<Vec<Row>>) {
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
