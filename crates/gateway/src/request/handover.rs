//! Another upstream for a stream that has stalled.

use {
    super::ActiveRequest,
    crate::{
        dispatch::InFlight,
        exchange::{Exchange, Failure},
        pool::Connection,
    },
    marigoldroute_core::{forward::retry::Outcome, route::Progress},
    std::time::Duration,
};

/// Choices of an upstream for one handover, when each turns out to be unusable.
const CHOICE_LIMIT: usize = 3;

/// An upstream that can continue a stream at once: assigned, with its permit and a connection.
pub(crate) struct Successor {
    in_flight: InFlight,
    connection: Connection,
}

impl ActiveRequest {
    /// Prepares another upstream to continue the stream; returns `None` if no one can now.
    pub(crate) async fn prepare_successor(&mut self) -> Option<Successor> {
        for _ in 0..CHOICE_LIMIT {
            let Some(in_flight) = self.try_acquire_upstream().await.ok()? else {
                continue;
            };
            match self.connect(&in_flight).await {
                Ok(connection) => {
                    return Some(Successor {
                        in_flight,
                        connection,
                    });
                }
                Err(failure) => {
                    let started = self.context.clock.now();
                    self.tried.push(in_flight.upstream.clone());
                    self.fail(in_flight, started, &failure);
                }
            }
        }
        None
    }

    /// Asks an upstream to continue the stream after the event with the id `last`; returns the
    /// exchange once the upstream has agreed, and when the request was sent.
    ///
    /// # Errors
    /// The failure, after which this upstream does not run the request.
    pub(crate) async fn send_to_successor(
        &mut self,
        successor: Successor,
        last: Option<u64>,
    ) -> Result<(Exchange, Duration), Failure> {
        let Successor {
            in_flight,
            connection,
        } = successor;
        let started = self.context.clock.now();
        self.tried.push(in_flight.upstream.clone());
        self.record_send(&in_flight);
        let exchange = match self.start_exchange(in_flight, connection, last).await {
            Ok(exchange) => exchange,
            Err((in_flight, failure)) => {
                if failure.outcome.is_unsent() {
                    self.sent -= 1;
                }
                if failure.outcome == Outcome::Barred {
                    self.record_failure(&in_flight.upstream, started, &failure);
                    self.forget_choice(in_flight);
                } else {
                    self.fail(in_flight, started, &failure);
                }
                return Err(failure);
            }
        };
        let failure = match self.validate(&exchange.head) {
            Ok(()) if exchange.head.status.is_success() => return Ok((exchange, started)),
            Ok(()) => Failure::new(Outcome::Failed, "the upstream did not continue the stream"),
            Err(failure) => failure,
        };
        let upstream = exchange.in_flight.upstream.clone();
        if failure.outcome == Outcome::Refused {
            exchange.finish_refused().await;
            self.record_failure(&upstream, started, &failure);
        } else {
            self.fail(exchange.into_in_flight(), started, &failure);
        }
        Err(failure)
    }

    /// Records that an attempt to continue the stream failed.
    fn fail(&self, mut in_flight: InFlight, started: Duration, failure: &Failure) {
        in_flight.report(Progress::Failed);
        self.record_failure(&in_flight.upstream, started, failure);
    }
}
