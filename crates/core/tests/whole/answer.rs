//! The answer of an upstream, as the entry reads it.

use {
    super::{
        host::{Flight, Process},
        job::{Job, Stage, unsent},
        oracle::Told,
        upstream::{Kind, PRICE, PROMPT, Part},
        world::{Defect, World, node, reach, upstream_id},
    },
    marigoldroute_core::{
        fleet::Observation,
        id::Tokens,
        route::Progress,
        stream::{Action, InvalidAnswer, Splitter, Validator},
    },
    std::time::Duration,
};

/// An upstream that sends nothing for this long has failed.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);
const RESUMES: u32 = 3;

/// An answer on its way.
pub struct Open {
    flight: Flight,
    validator: Validator,
    splitter: Splitter,
    position: u64,
    heard: Duration,
    resumes: u32,
    text: String,
    is_answered: bool,
}

/// How an answer ended.
enum End {
    Complete(String),
    /// The rest may be had from the upstream.
    Interrupted,
    Broken,
    Refused,
}

impl World {
    pub fn read(
        &mut self,
        process: &mut Process,
        mut job: Job,
        mut open: Box<Open>,
    ) -> Option<Job> {
        let Err(end) = self.pull(process, &job, &mut open) else {
            job.stage = Stage::Open(open);
            return Some(job);
        };
        let end = match end {
            End::Interrupted if self.has(Defect::CutAsComplete) => End::Complete(open.text.clone()),
            End::Broken | End::Interrupted if self.has(Defect::LostIsNotRun) => End::Refused,
            end => end,
        };
        match end {
            End::Interrupted if self.reconnect(process, &job, &mut open) => {
                job.stage = Stage::Open(open);
                Some(job)
            }
            End::Complete(text) => {
                let tokens = open.tokens(&job);
                let upstream = upstream_id(open.flight.upstream);
                process
                    .view
                    .observe(process.clock, &upstream, Observation::Success);
                process.land(
                    open.flight,
                    Progress::Finished {
                        tokens: tokens as u32,
                    },
                );
                self.settle(process, job, &upstream, tokens, Told::Complete(text));
                None
            }
            End::Refused => {
                job.tried.push(open.flight.upstream);
                process.land(open.flight, Progress::Refused { after: None });
                job.claim = unsent(job.claim);
                job.stage = Stage::Sending(process.clock);
                Some(job)
            }
            End::Interrupted | End::Broken => self.abandon(process, job, *open),
        }
    }

    /// Cancels an answer that failed. The request starts again elsewhere if the caller has no
    /// part of the answer and the request may be repeated.
    fn abandon(&mut self, process: &mut Process, mut job: Job, open: Open) -> Option<Job> {
        let upstream = open.flight.upstream;
        if self.is_linked(process.host, node(upstream)) {
            self.upstreams[upstream].cancel(&job.attempt);
        }
        process
            .view
            .observe(process.clock, &upstream_id(upstream), Observation::Failure);
        let tokens = open.tokens(&job);
        process.land(open.flight, Progress::Failed);
        let is_fresh = !open.validator.is_started() && !open.is_answered;
        if is_fresh && job.is_idempotent() && process.dispatch.retries.withdraw() {
            job.tried.push(upstream);
            reach("restart elsewhere");
            job.is_doubtful = true;
            job.stage = Stage::Sending(process.clock);
            return Some(job);
        }
        self.settle(process, job, &upstream_id(upstream), tokens, Told::Other);
        None
    }

    fn reconnect(&mut self, process: &Process, job: &Job, open: &mut Open) -> bool {
        open.resumes += 1;
        let upstream = open.flight.upstream;
        let is_linked = self.is_linked(process.host, node(upstream));
        let can = job.purpose.kind == Kind::Stream && open.resumes <= RESUMES && is_linked;
        if !can || !self.upstreams[upstream].resume(&job.attempt) {
            return false;
        }
        reach("resume");
        open.position = open.validator.received();
        open.splitter = Splitter::default();
        open.heard = process.clock;
        true
    }

    /// Reads what has arrived; returns how the answer ended unless more is to come.
    fn pull(&mut self, process: &Process, job: &Job, open: &mut Open) -> Result<(), End> {
        let upstream = open.flight.upstream;
        let is_linked = self.is_linked(process.host, node(upstream));
        let part = match is_linked {
            true => self.upstreams[upstream].answer(&job.attempt, open.position),
            false => Part::Nothing,
        };
        let is_silent = process.clock >= open.heard + SILENCE_LIMIT;
        match part {
            Part::Nothing if is_silent => Err(End::Interrupted),
            Part::Nothing => Ok(()),
            Part::Refused => Err(End::Refused),
            Part::End if job.purpose.kind == Kind::Stream => Err(match open.validator.close() {
                Ok(_) => End::Complete(open.text.clone()),
                Err(_) => End::Interrupted,
            }),
            Part::End => Err(End::Broken),
            Part::Piece(text) => {
                open.heard = process.clock;
                open.position += 1;
                open.is_answered = true;
                match job.purpose.kind {
                    Kind::Stream => open.take(&text),
                    Kind::Order => Err(End::Complete(text)),
                    Kind::Whole => Err(match text.split_once('|') {
                        Some((id, text)) if *id == *job.attempt => End::Complete(text.to_owned()),
                        _ => End::Broken,
                    }),
                }
            }
        }
    }
}

impl Open {
    pub fn new(flight: Flight, job: &Job, now: Duration) -> Self {
        Self {
            flight,
            validator: Validator::new(job.attempt.clone(), job.total),
            splitter: Splitter::default(),
            position: 0,
            heard: now,
            resumes: 0,
            text: String::new(),
            is_answered: false,
        }
    }

    fn tokens(&self, job: &Job) -> Tokens {
        match job.purpose.kind {
            Kind::Order => PRICE,
            Kind::Whole => PROMPT + job.total,
            Kind::Stream => PROMPT + self.validator.summary().answer_tokens,
        }
    }

    fn take(&mut self, text: &str) -> Result<(), End> {
        let events = self.splitter.push(text.as_bytes()).ok_or(End::Broken)?;
        for event in events {
            match self.validator.accept(&event) {
                Ok(Action::First | Action::Forward) => self.text.push_str(&content(&event.data)),
                Ok(Action::Ignore) => {}
                Ok(Action::End | Action::Limit) => return Err(End::Complete(self.text.clone())),
                Err(InvalidAnswer::Truncated) => return Err(End::Interrupted),
                Err(_) => return Err(End::Broken),
            }
        }
        Ok(())
    }
}

fn content(data: &str) -> String {
    let chunk: serde_json::Value = serde_json::from_str(data).expect("a chunk");
    let content = &chunk["choices"][0]["delta"]["content"];
    content.as_str().unwrap_or_default().to_owned()
}
