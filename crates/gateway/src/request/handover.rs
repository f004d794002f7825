//! Another upstream for a stream that has stalled.

use {
    super::{ActiveRequest, attempt::CONNECTION_LIMIT},
    crate::{
        dispatch::InFlight,
        exchange::{Exchange, Failure},
        pool::Connection,
    },
    marigoldroute_core::{forward::retry::Outcome, id::UpstreamId, route::Progress},
    std::time::Duration,
};

/// Choices of an upstream for one handover, when each turns out to be unusable.
const CHOICE_LIMIT: usize = 3;

/// A stream that another upstream has agreed to continue.
pub(crate) struct Continuation {
    pub(crate) exchange: Exchange,
    /// When the request was sent.
    pub(crate) started: Duration,
}

impl ActiveRequest {
    /// Asks another upstream to continue the stream after the event with the id `last`. Returns
    /// `None` if no one can be asked now. May be dropped at any time, which cancels the request.
    ///
    /// # Errors
    /// The failure, after which the upstream that was asked does not run the request.
    pub(crate) async fn ask_successor(
        &mut self,
        last: Option<u64>,
    ) -> Option<Result<Continuation, Failure>> {
        let (in_flight, connection) = self.connect_successor().await?;
        if !self.admit_resume() {
            let (pool, upstream) = (&self.context.pool, &in_flight.upstream);
            pool.put(upstream, in_flight.address, connection, None);
            return None;
        }
        let started = self.context.clock.now();
        let upstream = in_flight.upstream.clone();
        self.tried.push(upstream.clone());
        let asked = self.send_to_successor(in_flight, connection, last).await;
        Some(match asked {
            Ok(exchange) => Ok(Continuation { exchange, started }),
            Err(failure) => {
                self.record_failure(&upstream, started, &failure);
                Err(failure)
            }
        })
    }

    /// Records that the upstream that had the stream keeps it.
    pub(crate) fn record_kept(&mut self, upstream: &UpstreamId) {
        if let Some(reservation) = &mut self.reservation {
            reservation.record_sent(upstream);
        }
    }

    /// Assigns an upstream, with its permit, and connects to it.
    async fn connect_successor(&self) -> Option<(InFlight, Connection)> {
        for _ in 0..CHOICE_LIMIT {
            let Some(mut in_flight) = self.try_acquire_upstream().await.ok()? else {
                continue;
            };
            let started = self.context.clock.now();
            match self.connect(&in_flight).await {
                Ok(connection) => return Some((in_flight, connection)),
                Err(failure) => {
                    in_flight.report(Progress::Failed);
                    self.record_failure(&in_flight.upstream, started, &failure);
                }
            }
        }
        None
    }

    /// Sends the request and validates the head of the response.
    async fn send_to_successor(
        &mut self,
        mut in_flight: InFlight,
        mut connection: Connection,
        last: Option<u64>,
    ) -> Result<Exchange, Failure> {
        let mut tries_left = CONNECTION_LIMIT;
        let exchange = loop {
            tries_left -= 1;
            self.record_send(&in_flight);
            let failure = match self.start_exchange(in_flight, connection, last).await {
                Ok(exchange) => break exchange,
                Err((returned, failure)) => {
                    in_flight = returned;
                    failure
                }
            };
            self.sent -= u32::from(failure.outcome.is_unsent());
            if failure.outcome == Outcome::Barred {
                self.forget_choice(in_flight);
                return Err(failure);
            }
            if failure.outcome != Outcome::Unsent || tries_left == 0 {
                in_flight.report(Progress::Failed);
                return Err(failure);
            }
            connection = self.connect(&in_flight).await.inspect_err(|_| {
                in_flight.report(Progress::Failed);
            })?;
        };
        let failure = match self.validate(&exchange.head) {
            Ok(()) if exchange.head.status.is_success() => return Ok(exchange),
            Ok(()) => Failure::new(Outcome::Failed, "the upstream did not continue the stream"),
            Err(failure) => failure,
        };
        if failure.outcome == Outcome::Refused {
            exchange.finish_refused().await;
        } else {
            exchange.into_in_flight().report(Progress::Failed);
        }
        Err(failure)
    }
}
