//! Reads and validates the answer of an upstream, as the entry does.

use {
    super::{
        host::{InFlight, Process},
        oracle::CallOutcome,
        request::{ActiveRequest, Stage, unsent},
        simulation::{Defect, Simulation, node, record_path, upstream_id},
        upstream::{Kind, PRICE, PROMPT, Part},
    },
    marigoldroute_core::{
        fleet::Observation,
        id::Tokens,
        route::Progress,
        stream::{Action, InvalidAnswer, Splitter, Validator},
    },
    std::time::Duration,
};

/// An answer of which nothing has arrived for this long counts as interrupted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most times that one stream is resumed.
const RESUME_LIMIT: u32 = 3;

/// Reader of one answer, with what has arrived so far.
pub struct Reader {
    in_flight: InFlight,
    validator: Validator,
    splitter: Splitter,
    position: u64,
    last_received: Duration,
    resumes: u32,
    text: String,
    has_received: bool,
}

/// How an answer ended.
enum End {
    Complete(String),
    /// The answer broke off; the upstream may be able to resume a stream.
    Interrupted,
    /// The answer does not belong to the request or is malformed.
    Invalid,
    /// The upstream did not execute the request.
    Refused,
}

impl Simulation {
    /// Reads what has arrived of an answer and, once the answer has ended, settles the request or
    /// sends it again. Returns the request unless it has ended.
    pub fn read_answer(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
        mut reader: Box<Reader>,
    ) -> Option<ActiveRequest> {
        let Err(end) = self.poll(process, &request, &mut reader) else {
            request.stage = Stage::Reading(reader);
            return Some(request);
        };
        let end = match end {
            End::Interrupted if self.has(Defect::TruncatedAsComplete) => {
                End::Complete(reader.text.clone())
            }
            End::Invalid | End::Interrupted if self.has(Defect::LostAsNotRun) => End::Refused,
            end => end,
        };
        match end {
            End::Interrupted if self.reconnect(process, &request, &mut reader) => {
                request.stage = Stage::Reading(reader);
                Some(request)
            }
            End::Complete(text) => {
                let tokens = reader.tokens(&request);
                let upstream = upstream_id(reader.in_flight.upstream);
                process
                    .view
                    .observe(process.clock, &upstream, Observation::Success);
                process.finish_attempt(
                    reader.in_flight,
                    Progress::Finished {
                        tokens: tokens as u32,
                    },
                );
                self.settle(
                    process,
                    request,
                    &upstream,
                    tokens,
                    CallOutcome::Complete(text),
                );
                None
            }
            End::Refused => {
                request.tried.push(reader.in_flight.upstream);
                process.finish_attempt(reader.in_flight, Progress::Refused { after: None });
                request.claim = unsent(request.claim);
                request.stage = Stage::Sending(process.clock);
                Some(request)
            }
            End::Interrupted | End::Invalid => self.abandon(process, request, *reader),
        }
    }

    /// Cancels an answer that failed. The request is sent to another upstream if the caller has
    /// no part of the answer, the request is idempotent and the retry budget allows it; otherwise
    /// it is settled.
    fn abandon(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
        reader: Reader,
    ) -> Option<ActiveRequest> {
        let upstream = reader.in_flight.upstream;
        if self.is_linked(process.host, node(upstream)) {
            self.upstreams[upstream].cancel(&request.attempt);
        }
        process
            .view
            .observe(process.clock, &upstream_id(upstream), Observation::Failure);
        let tokens = reader.tokens(&request);
        process.finish_attempt(reader.in_flight, Progress::Failed);
        let can_restart = !reader.validator.is_started() && !reader.has_received;
        if can_restart && request.is_idempotent() && process.dispatcher.retries.withdraw() {
            request.tried.push(upstream);
            record_path("restart elsewhere");
            request.may_have_run = true;
            request.stage = Stage::Sending(process.clock);
            return Some(request);
        }
        self.settle(
            process,
            request,
            &upstream_id(upstream),
            tokens,
            CallOutcome::Other,
        );
        None
    }

    /// Resumes a stream after the last event received; returns whether the upstream can do so.
    fn reconnect(
        &mut self,
        process: &Process,
        request: &ActiveRequest,
        reader: &mut Reader,
    ) -> bool {
        reader.resumes += 1;
        let upstream = reader.in_flight.upstream;
        let is_linked = self.is_linked(process.host, node(upstream));
        let can_resume =
            request.spec.kind == Kind::Stream && reader.resumes <= RESUME_LIMIT && is_linked;
        if !can_resume || !self.upstreams[upstream].resume(&request.attempt) {
            return false;
        }
        record_path("resume");
        reader.position = reader.validator.received();
        reader.splitter = Splitter::default();
        reader.last_received = process.clock;
        true
    }

    /// Reads the next part that has arrived; `Err` tells how the answer ended.
    fn poll(
        &mut self,
        process: &Process,
        request: &ActiveRequest,
        reader: &mut Reader,
    ) -> Result<(), End> {
        let upstream = reader.in_flight.upstream;
        let is_linked = self.is_linked(process.host, node(upstream));
        let part = match is_linked {
            true => self.upstreams[upstream].answer(&request.attempt, reader.position),
            false => Part::Nothing,
        };
        let is_timed_out = process.clock >= reader.last_received + IDLE_TIMEOUT;
        match part {
            Part::Nothing if is_timed_out => Err(End::Interrupted),
            Part::Nothing => Ok(()),
            Part::Refused => Err(End::Refused),
            Part::End if request.spec.kind == Kind::Stream => Err(match reader.validator.close() {
                Ok(_) => End::Complete(reader.text.clone()),
                Err(_) => End::Interrupted,
            }),
            Part::End => Err(End::Invalid),
            Part::Piece(text) => {
                reader.last_received = process.clock;
                reader.position += 1;
                reader.has_received = true;
                match request.spec.kind {
                    Kind::Stream => reader.accept(&text),
                    Kind::Order => Err(End::Complete(text)),
                    Kind::Whole => Err(match text.split_once('|') {
                        Some((id, text)) if *id == *request.attempt => {
                            End::Complete(text.to_owned())
                        }
                        _ => End::Invalid,
                    }),
                }
            }
        }
    }
}

impl Reader {
    pub fn new(in_flight: InFlight, request: &ActiveRequest, now: Duration) -> Self {
        Self {
            in_flight,
            validator: Validator::new(request.attempt.clone(), request.output_tokens),
            splitter: Splitter::default(),
            position: 0,
            last_received: now,
            resumes: 0,
            text: String::new(),
            has_received: false,
        }
    }

    fn tokens(&self, request: &ActiveRequest) -> Tokens {
        match request.spec.kind {
            Kind::Order => PRICE,
            Kind::Whole => PROMPT + request.output_tokens,
            Kind::Stream => PROMPT + self.validator.summary().answer_tokens,
        }
    }

    fn accept(&mut self, text: &str) -> Result<(), End> {
        let events = self.splitter.push(text.as_bytes()).ok_or(End::Invalid)?;
        for event in events {
            match self.validator.accept(&event) {
                Ok(Action::First | Action::Forward) => self.text.push_str(&chunk_text(&event.data)),
                Ok(Action::Ignore) => {}
                Ok(Action::End | Action::Limit) => return Err(End::Complete(self.text.clone())),
                Err(InvalidAnswer::Truncated) => return Err(End::Interrupted),
                Err(_) => return Err(End::Invalid),
            }
        }
        Ok(())
    }
}

fn chunk_text(data: &str) -> String {
    let chunk: serde_json::Value = serde_json::from_str(data).expect("a chunk is JSON");
    let content = &chunk["choices"][0]["delta"]["content"];
    content.as_str().unwrap_or_default().to_owned()
}
