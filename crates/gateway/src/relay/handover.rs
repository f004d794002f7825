//! Moves a stalled stream to another upstream.

use {
    super::{Relay, give_up},
    crate::{
        exchange::Failure,
        request::{Answer, Continuation, Received, Stream},
    },
    marigoldroute_core::{forward::retry::Outcome, id::UpstreamId},
    marigoldroute_process::logs::REQUESTS,
    std::pin::pin,
};

/// What came of the attempt to move a stream.
enum Asked {
    /// The stream went on, or nobody else continues it.
    Kept(&'static str),
    /// Another upstream has agreed to continue it.
    Agreed(Box<Continuation>),
    /// The stream broke, and nobody else continues it.
    Lost(Failure),
}

impl Relay {
    /// Asks another upstream to continue a stalled stream. The stream is read meanwhile, and given
    /// up only when the other one has agreed, that is, begins to work on the request.
    ///
    /// # Errors
    /// The failure of the stream, or of the other upstream after the stream was given up.
    pub(super) async fn hand_over(&mut self) -> Result<(), Failure> {
        let clock = self.request.context.clock;
        self.stall.postpone(clock.now());
        if !self.sequence.is_resumable() {
            return Ok(());
        }
        // After a pause of this process, its timers expire before bytes that have arrived are read.
        tokio::task::yield_now().await;
        let Some(stream) = &self.stream else {
            return Ok(());
        };
        let current = stream.exchange.in_flight.upstream.clone();
        match self.ask().await {
            Asked::Kept(reason) => {
                self.request.record_kept(&current);
                self.record_stall("kept", reason, &current);
                Ok(())
            }
            Asked::Lost(failure) => {
                self.record_stall("lost", &failure.reason, &current);
                Err(failure)
            }
            Asked::Agreed(continuation) => {
                give_up(&mut self.stream);
                let received = self.receive(*continuation).await;
                let continued = received.and_then(|stream| self.go_on(stream));
                let result = if continued.is_ok() { "moved" } else { "lost" };
                self.record_stall(result, "another upstream has agreed", &current);
                continued
            }
        }
    }

    /// Asks another upstream to continue the stream, until the stream itself goes on.
    async fn ask(&mut self) -> Asked {
        let deadline = self.request.context.clock.instant(self.request.deadline);
        let last = self.sequence.last();
        let mut asking = pin!(self.request.ask_successor(last));
        let (asked, broken) = loop {
            let Some(stream) = &mut self.stream else {
                return Asked::Kept("the stream has ended");
            };
            let read = tokio::select! {
                biased;
                read = stream.exchange.read() => read,
                asked = &mut asking => break (asked, None),
                () = tokio::time::sleep_until(deadline.into()) => {
                    return Asked::Kept("the deadline has passed");
                }
            };
            match stream.push(read) {
                Ok(()) if stream.has_ended || !stream.events.is_empty() => {
                    return Asked::Kept("the stream goes on");
                }
                Ok(()) => {}
                Err(failure) => {
                    give_up(&mut self.stream);
                    let asked = tokio::time::timeout_at(deadline.into(), asking).await;
                    break (asked.unwrap_or_default(), Some(failure));
                }
            }
        };
        match (asked, broken) {
            (Some(Ok(continuation)), _) => Asked::Agreed(Box::new(continuation)),
            (Some(Err(failure)), Some(_)) | (None, Some(failure)) => Asked::Lost(failure),
            (Some(Err(_)), None) => Asked::Kept("the other upstream declined"),
            (None, None) => Asked::Kept("no other upstream can continue it"),
        }
    }

    /// Reads the first events of the other upstream.
    async fn receive(&mut self, continuation: Continuation) -> Result<Box<Stream>, Failure> {
        let Continuation { exchange, started } = continuation;
        let remaining = self.request.remaining();
        let last = self.sequence.last();
        let received = self.request.receive(exchange, started, last);
        match tokio::time::timeout(remaining, received).await {
            Ok(Ok(Received::Final(Answer::Stream(stream)))) => Ok(stream),
            Ok(Ok(_)) => Err(Failure::new(Outcome::Failed, "the answer is not a stream")),
            Ok(Err(outcome)) => Err(Failure::new(outcome, "the stream did not continue")),
            Err(_) => Err(Failure::new(Outcome::Unknown, super::DEADLINE_REASON)),
        }
    }

    fn record_stall(&self, result: &str, reason: &str, upstream: &UpstreamId) {
        let stalled = &self.request.context.metrics.stalled_streams;
        stalled.with_label_values(&[result]).inc();
        log::info!(
            target: REQUESTS,
            request:% = self.request.head.id, upstream:%, result, reason,
            events = self.sequence.relayed(), left_ms = self.request.remaining().as_millis() as u64;
            "stream stalled"
        );
    }
}
