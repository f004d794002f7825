//! Moves a stalled stream to another upstream.

use {
    super::Relay,
    crate::{
        exchange::Failure,
        request::{Continuation, Delivered, NOT_CONTINUED, Stream},
    },
    marigoldroute_core::forward::retry::Outcome,
};

impl Relay {
    /// Asks another upstream to continue a stalled stream, which is kept until that one agrees.
    ///
    /// # Errors
    /// The failure of the stream, or of the other upstream after the stream was given up.
    pub(super) async fn hand_over(&mut self) -> Result<(), Failure> {
        let clock = self.request.context.clock;
        self.stall.postpone(clock.now());
        if !self.sequence.is_resumable() {
            return Ok(());
        }
        let Some(stream) = &self.stream else {
            return Ok(());
        };
        let current = stream.exchange.in_flight.upstream.clone();
        let delivered = Delivered {
            head: Some(&self.head),
            sequence: &self.sequence,
        };
        let asking = self.request.find_successor(&mut self.stream, delivered);
        let Some(continuation) = asking.await? else {
            return Ok(());
        };
        let received = self.receive(*continuation).await;
        let continued = received.and_then(|stream| self.go_on(stream));
        let result = if continued.is_ok() { "moved" } else { "lost" };
        let (reason, relayed) = ("another upstream has agreed", self.sequence.relayed());
        self.request.record_stall(result, reason, &current, relayed);
        continued
    }

    /// Reads the first events of the other upstream.
    async fn receive(&mut self, continuation: Continuation) -> Result<Box<Stream>, Failure> {
        let Continuation { stream, started } = continuation;
        let deadline = self.request.deadline.clone();
        let last = self.sequence.last();
        let opened = self.request.open_stream(stream, started, last);
        match deadline.run(opened).await {
            Some(Ok(stream)) => Ok(stream),
            Some(Err(outcome)) => Err(Failure::new(outcome, NOT_CONTINUED)),
            None => Err(Failure::new(Outcome::Unknown, super::DEADLINE_REASON)),
        }
    }
}
