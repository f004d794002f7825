//! One request on its way through a router process, as the entry drives it.

use {
    super::{
        answer::Open,
        host::{Item, Process, Release},
        message::{Ask, Event, Purpose},
        oracle::Told,
        upstream::{Kind, PRICE, PROMPT},
        world::{World, node, reach, upstream_id},
    },
    marigoldroute_core::{
        budget::Usage,
        claim::{Body, Decision, Permit, Response, Sent, Unsent},
        fleet::Observation,
        id::{RequestId, Tokens},
        route::Progress,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Bound on a reservation at one holder.
const RESERVE_LIMIT: Duration = Duration::from_secs(3);
/// Bound on an announcement, and on the wait for the release of an announced request.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(2);
const ROOM_LIMIT: Duration = Duration::from_secs(2);
const ATTEMPTS: usize = 3;

pub enum Claim {
    Free,
    Unsent(Permit<Unsent>),
    Sent(Permit<Sent>),
}

pub enum Stage {
    Claiming,
    Reserving {
        places: VecDeque<usize>,
        asked: Option<(usize, Duration)>,
    },
    /// Waits until the holder knows that the request is about to be sent, since when.
    Announcing(Option<Duration>),
    /// Waits for an upstream, since when.
    Sending(Duration),
    /// Did not run; waits until the holder has released its reservation, since when.
    Withdrawing(Duration),
    /// Did not run, and no holder bills it.
    Withdrawn,
    Open(Box<Open>),
}

pub struct Job {
    /// Number of the call at the oracle.
    pub call: usize,
    pub name: String,
    pub attempt: RequestId,
    pub purpose: Purpose,
    pub total: u64,
    pub stage: Stage,
    pub claim: Claim,
    pub charge: Option<usize>,
    /// Whether the holder may bill the request by itself.
    pub is_announced: bool,
    pub tried: Vec<usize>,
    /// Whether an upstream that was given up may have acted on the request.
    pub is_doubtful: bool,
}

impl Job {
    pub fn amount(&self) -> Tokens {
        match self.purpose.kind {
            Kind::Order => PRICE,
            Kind::Stream | Kind::Whole => PROMPT + self.total,
        }
    }

    pub fn is_idempotent(&self) -> bool {
        self.purpose.kind != Kind::Order
    }

    pub fn target(&self) -> &'static str {
        match self.purpose.kind {
            Kind::Order => "orders",
            Kind::Stream | Kind::Whole => "drafting",
        }
    }
}

/// Returns a settlement's usage.
pub fn usage(kind: Kind, upstream: &str, tokens: Tokens) -> Usage {
    let model = if kind == Kind::Order {
        "orders"
    } else {
        "drafting"
    };
    Usage {
        workspace: "w0".into(),
        model: model.into(),
        upstream: upstream.into(),
        tokens,
    }
}

impl World {
    /// Takes the registry's decision on a claim.
    pub fn decide(&mut self, process: &mut Process, attempt: &RequestId, decision: Decision) {
        let fault = decision.fault();
        let Some(mut job) = process.jobs.remove(attempt) else {
            if let Decision::Run(permit) = decision {
                process.registry.backlog.push(permit.release());
            }
            return;
        };
        match (decision, fault) {
            (Decision::Run(permit), _) => {
                job.claim = Claim::Unsent(permit);
                job.stage = self.reserving(process, &job);
                process.jobs.insert(attempt.clone(), job);
            }
            (
                Decision::Replay(Response {
                    body: Body::Text(text),
                    ..
                }),
                None,
            ) => {
                reach("replay");
                self.tell(&job, Told::Complete(text.to_string()));
            }
            (_, Some(fault)) => self.tell(&job, told(fault.answer().outcome)),
            _ => self.tell(&job, Told::Other),
        }
    }

    pub fn reserving(&self, process: &Process, job: &Job) -> Stage {
        Stage::Reserving {
            places: process.places(&job.purpose.budget).into(),
            asked: None,
        }
    }

    /// Takes one step of a job; returns it unless it has ended.
    pub fn advance(&mut self, process: &mut Process, mut job: Job) -> Option<Job> {
        match std::mem::replace(&mut job.stage, Stage::Claiming) {
            Stage::Claiming => Some(job),
            Stage::Reserving { places, asked } => self.reserve(process, job, places, asked),
            Stage::Announcing(since) => self.announce(process, job, since),
            Stage::Sending(since) => self.send(process, job, since),
            Stage::Withdrawing(since) if process.clock < since + ANNOUNCE_LIMIT => {
                job.stage = Stage::Withdrawing(since);
                Some(job)
            }
            Stage::Withdrawing(_) => self.dismiss(process, job, Told::Other),
            Stage::Withdrawn => self.dismiss(process, job, Told::NotRun),
            Stage::Open(open) => self.read(process, job, open),
        }
    }

    fn reserve(
        &mut self,
        process: &mut Process,
        mut job: Job,
        mut places: VecDeque<usize>,
        mut asked: Option<(usize, Duration)>,
    ) -> Option<Job> {
        let is_over = |at: Duration| process.clock >= at + RESERVE_LIMIT;
        if let Some((host, _)) = asked.filter(|(_, at)| is_over(*at)) {
            self.release(process, host, &job.attempt);
            asked = None;
        }
        if asked.is_none() {
            let Some(host) = places.pop_front() else {
                return self.refuse(process, job);
            };
            let ask = Ask::Reserve {
                attempt: job.attempt.clone(),
                purpose: job.purpose.clone(),
                amount: job.amount(),
            };
            self.ask(process, host, ask);
            asked = Some((host, process.clock));
        }
        job.stage = Stage::Reserving { places, asked };
        Some(job)
    }

    fn release(&mut self, process: &mut Process, host: usize, attempt: &RequestId) {
        process.releases.push(Release {
            host,
            attempt: attempt.clone(),
            tries: 0,
        });
    }

    fn announce(
        &mut self,
        process: &mut Process,
        mut job: Job,
        since: Option<Duration>,
    ) -> Option<Job> {
        let since = match (since, job.charge) {
            (Some(since), _) if process.clock >= since + ANNOUNCE_LIMIT => {
                return self.refuse(process, job);
            }
            (Some(since), _) => since,
            (None, Some(host)) => {
                let attempt = job.attempt.clone();
                self.ask(process, host, Ask::Announce { attempt });
                job.is_announced = true;
                process.clock
            }
            (None, None) => unreachable!("a job with a reservation"),
        };
        job.stage = Stage::Announcing(Some(since));
        Some(job)
    }

    /// Ends a job of which no upstream has seen a byte, once no holder can bill it.
    fn refuse(&mut self, process: &mut Process, mut job: Job) -> Option<Job> {
        if let Some(host) = job.charge {
            self.release(process, host, &job.attempt);
        }
        if job.is_announced {
            job.stage = Stage::Withdrawing(process.clock);
            return Some(job);
        }
        self.dismiss(process, job, Told::NotRun)
    }

    fn dismiss(&mut self, process: &mut Process, job: Job, told: Told) -> Option<Job> {
        self.tell(&job, told);
        if let Claim::Unsent(permit) = job.claim {
            process.registry.backlog.push(permit.release());
        }
        None
    }

    /// Ends a job that may have run, and bills `tokens`.
    pub fn settle(
        &mut self,
        process: &mut Process,
        job: Job,
        upstream: &str,
        tokens: Tokens,
        told: Told,
    ) {
        let usage = usage(job.purpose.kind, upstream, tokens);
        let item = Ask::Settle {
            attempt: job.attempt.clone(),
            purpose: job.purpose.clone(),
            usage,
        };
        process.outbox.push(Item {
            job: item,
            host: job.charge.unwrap_or(process.host),
            missed: 0,
        });
        self.tell(&job, told.clone());
        if let Claim::Sent(permit) = job.claim {
            let update = match told {
                Told::Complete(text) => permit.record(Response {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: Body::Text(text.into()),
                }),
                _ => permit.mark_unresolved(),
            };
            process.registry.backlog.push(update);
        }
    }

    fn send(&mut self, process: &mut Process, mut job: Job, since: Duration) -> Option<Job> {
        let flight = match job.tried.len() < ATTEMPTS {
            true => process.choose(job.target(), job.total, &job.tried),
            false => None,
        };
        let Some(flight) = flight else {
            if process.clock < since + ROOM_LIMIT && job.tried.is_empty() {
                job.stage = Stage::Sending(since);
                return Some(job);
            }
            return self.fail(process, job);
        };
        job.claim = match job.claim {
            Claim::Unsent(permit) => match permit.begin_send(process.claim_timestamp()) {
                Ok(sent) => Claim::Sent(sent),
                Err(permit) => {
                    job.claim = Claim::Unsent(permit);
                    process.land(flight, Progress::Cancelled);
                    return self.refuse(process, job);
                }
            },
            claim => claim,
        };
        self.oracle.sent(self.now, &upstream_id(flight.upstream));
        if !self.dial(process, &job, flight.upstream) {
            job.tried.push(flight.upstream);
            process.view.observe(
                process.clock,
                &upstream_id(flight.upstream),
                Observation::Failure,
            );
            process.land(flight, Progress::Failed);
            job.claim = unsent(job.claim);
            job.stage = Stage::Sending(since);
            return Some(job);
        }
        job.stage = Stage::Open(Box::new(Open::new(flight, &job, process.clock)));
        Some(job)
    }

    /// Sends a request; returns whether the connection was made.
    fn dial(&mut self, process: &Process, job: &Job, upstream: usize) -> bool {
        let way = (process.host, node(upstream));
        if self.upstreams[upstream].is_down && self.is_linked(way.0, way.1) {
            return false;
        }
        if self.agenda.faults.cut.contains(&way) {
            return true;
        }
        let delay = self.delay();
        self.agenda.add(
            self.now + delay,
            Event::Request {
                upstream,
                attempt: job.attempt.clone(),
                name: job.name.clone(),
                kind: job.purpose.kind,
                total: job.total,
            },
        );
        true
    }

    /// Ends a job that no upstream answered.
    fn fail(&mut self, process: &mut Process, job: Job) -> Option<Job> {
        if !job.is_doubtful {
            return self.refuse(process, job);
        }
        let tokens = if job.is_idempotent() { PROMPT } else { PRICE };
        self.settle(process, job, "", tokens, Told::Other);
        None
    }
}

pub fn unsent(claim: Claim) -> Claim {
    match claim {
        Claim::Sent(permit) => Claim::Unsent(permit.into_unsent()),
        claim => claim,
    }
}

fn told(outcome: marigoldroute_core::fault::Outcome) -> Told {
    match outcome {
        marigoldroute_core::fault::Outcome::NotRun => Told::NotRun,
        _ => Told::Other,
    }
}
