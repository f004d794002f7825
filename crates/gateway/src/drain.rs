//! The planned stop: until when requests may run, and which are still taken.

use {
    crate::{Clock, protocol::RequestHead, settings::Settings, view::lock},
    marigoldroute_core::forward::{
        Access, Forecast, Service,
        forecast::{self, Caution, Response},
    },
    std::{
        sync::{Arc, Mutex, OnceLock},
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// The planned stop of a process, if it has begun.
pub(crate) struct Drain {
    clock: Clock,
    limit: Duration,
    /// Time before the end at which requests without a response have to end.
    refusal_time: Duration,
    /// When requests are cut.
    end: OnceLock<Duration>,
    /// Cancelled when no new connections are accepted any more and idle ones are closed.
    pub(crate) close: CancellationToken,
    /// Cancelled when the stop has begun.
    begun: CancellationToken,
    /// Cancelled when requests without a response have to end.
    pub(crate) ending: CancellationToken,
    /// Cancelled when all requests are cut.
    pub(crate) cut: CancellationToken,
    forecast: Mutex<Forecast>,
}

impl Drain {
    pub(crate) fn new(clock: Clock, settings: &Settings) -> Self {
        Self {
            clock,
            limit: settings.drain_limit,
            refusal_time: settings.refusal_time,
            end: OnceLock::new(),
            close: CancellationToken::new(),
            begun: CancellationToken::new(),
            ending: CancellationToken::new(),
            cut: CancellationToken::new(),
            forecast: Mutex::default(),
        }
    }

    /// Begins the stop.
    pub(crate) fn start(&self) {
        self.end.get_or_init(|| self.clock.now() + self.limit);
        self.begun.cancel();
    }

    /// Returns the time until requests are cut; none before the stop.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let end = self.end.get()?;
        Some(end.saturating_sub(self.clock.now()))
    }

    /// Returns the time until requests without a response have to end.
    pub(crate) fn patience(&self) -> Duration {
        let left = self.time_left().unwrap_or(Duration::MAX);
        left.saturating_sub(self.refusal_time)
    }

    /// Returns for how long a request may still wait before it is sent to an upstream, which is zero
    /// if the stop leaves too little time for it.
    pub(crate) fn slack(&self, prospect: &Prospect<'_>) -> Duration {
        let Some(end) = self.end.get() else {
            return Duration::MAX;
        };
        let now = self.clock.now();
        let route = &prospect.access.route.name;
        let caution = match self.close.is_cancelled() {
            true => Caution::High,
            false => Caution::Low,
        };
        let expected = lock(&self.forecast).expect(now, route, prospect.response(), caution);
        // A stream that broke is lost unless it is resumed, and its caller gets no error response.
        let end = match prospect.has_begun {
            true => *end,
            false => end.saturating_sub(self.refusal_time),
        };
        let is_taken_unknown = prospect.has_begun || caution == Caution::Low;
        let expected = expected.or(is_taken_unknown.then_some(Duration::ZERO));
        forecast::slack(now, end, prospect.deadline, expected)
    }

    /// Waits until the stop leaves too little time for a request that is still to be sent.
    pub(crate) async fn until_late(&self, prospect: &Prospect<'_>) {
        self.begun.cancelled().await;
        loop {
            let slack = self.slack(prospect);
            if slack.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(slack) => {}
                // Less is taken from then on.
                () = self.close.cancelled(), if !self.close.is_cancelled() => {}
            }
        }
    }

    /// Records the time from sending a request to its answer or its first event.
    pub(crate) fn record_wait(&self, route: &Arc<str>, wait: Duration) {
        lock(&self.forecast).record_wait(self.clock.now(), route, wait);
    }

    /// Records a stream with its number of events, the first of which came at `begun`.
    pub(crate) fn record_stream(&self, route: &Arc<str>, events: u64, begun: Duration) {
        let now = self.clock.now();
        let time = now.saturating_sub(begun);
        lock(&self.forecast).record_stream(now, route, events, time);
    }
}

/// What tells how long a request that is to be sent will last.
pub(crate) struct Prospect<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) access: &'a Access,
    pub(crate) service: &'a Service,
    pub(crate) deadline: Duration,
    /// Id of the last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// Whether the caller has the begin of the response.
    pub(crate) has_begun: bool,
}

impl Prospect<'_> {
    fn response(&self) -> Response {
        if !self.access.route.kind.is_stream() {
            return Response::Whole;
        }
        let engine = self.service.engine.as_ref();
        let events = engine.zip(self.head.usage).map(|(engine, usage)| {
            let events = usage.output.div_ceil(engine.event_tokens.max(1));
            events.saturating_sub(self.last_event.unwrap_or(0))
        });
        Response::Stream(events)
    }
}
