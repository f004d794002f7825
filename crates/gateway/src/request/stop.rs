//! Requests beside a planned stop.

use {
    super::{ActiveRequest, Answer, Context},
    crate::{drain::Prospect, error::Error},
    marigoldroute_process::logs::REQUESTS,
    std::time::Duration,
};

/// Time after which the caller of a host that stops should return, to another host.
const OTHER_HOST_DELAY: Duration = Duration::from_millis(10);

impl Context {
    /// Returns the error of a request that the stop of the process leaves too little time for.
    pub(crate) fn stopping(&self) -> Error {
        let is_alone = self.view.hosts() == Some(1);
        let left = self.drain.time_left().filter(|_| is_alone);
        Error::Stopping(left.unwrap_or(OTHER_HOST_DELAY))
    }
}

impl ActiveRequest {
    /// Returns for how long the request may wait before it is sent to continue after this event, so
    /// that it ends before the process does.
    pub(super) fn slack(&self, last_event: Option<u64>) -> Duration {
        self.context.drain.slack(&self.prospect(last_event))
    }

    /// Waits until the process stops too early for the request, which was not sent.
    pub(super) async fn until_late(&self) {
        let prospect = self.prospect(self.head.last_event);
        self.context.drain.until_late(&prospect).await;
    }

    fn prospect(&self, last_event: Option<u64>) -> Prospect<'_> {
        Prospect {
            head: &self.head,
            access: &self.access,
            service: &self.service,
            deadline: self.deadline.at(),
            last_event,
            has_begun: self.has_begun,
        }
    }

    /// Returns whether the process stops before the request could end, if it is sent now.
    pub(crate) fn is_too_late(&self, last_event: Option<u64>) -> bool {
        self.slack(last_event).is_zero()
    }

    /// Ends the request before a response has begun, as the process stops.
    pub(super) fn cut(&self) -> Answer {
        if self.sends.count() > 0 {
            let now = self.context.clock.now();
            log::info!(
                target: REQUESTS,
                request:% = self.head.id, cause = "stop", sent = self.sends.count(),
                ms = now.saturating_sub(self.arrived).as_millis() as u64,
                left_ms = self.remaining().as_millis() as u64;
                "request cut"
            );
        }
        self.timed_out()
    }
}
