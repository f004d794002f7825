//! Latencies and shares of the routes whose slow requests get a second copy.

use {
    crate::{Clock, view::lock},
    marigoldroute_core::forward::{Hedge, Kind, Route},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// The routes whose requests may get a copy. Without a share, nothing is recorded.
pub(crate) struct Hedges {
    clock: Clock,
    /// Copies per request, from 0 to 1.
    share: f64,
    /// By the name of the route.
    routes: Mutex<HashMap<Arc<str>, Hedge>>,
}

impl Hedges {
    pub(crate) fn new(clock: Clock, percent: f64) -> Self {
        Self {
            clock,
            share: percent / 100.0,
            routes: Mutex::default(),
        }
    }

    /// Returns whether requests of a route get copies.
    ///
    /// Streams get none: the copy of a prompt takes the time of an engine that others wait for, while
    /// a stream that stalls moves to another upstream already.
    pub(crate) fn covers(&self, route: &Route) -> bool {
        self.share > 0.0 && route.kind == Kind::Idempotent
    }

    /// Records a request, which adds to the share of its route.
    pub(crate) fn record_request(&self, route: &Route) {
        self.with(route, Hedge::record_request);
    }

    /// Records the time that an upstream took to answer, or had taken when its answer was no longer
    /// needed.
    pub(crate) fn record_latency(&self, route: &Route, latency: Duration) {
        let now = self.clock.now();
        self.with(route, |hedge| hedge.record_latency(now, latency));
    }

    /// Returns the time after which a copy of an unanswered request is due, if any is.
    pub(crate) fn delay(&self, route: &Route) -> Option<Duration> {
        let now = self.clock.now();
        self.with(route, |hedge| hedge.delay(now, route.objective))
    }

    /// Returns whether the share of a route allows a copy now.
    pub(crate) fn has_copy(&self, route: &Route) -> bool {
        self.with(route, |hedge| hedge.has_copy()) == Some(true)
    }

    /// Takes a copy from the share of a route; `false` when none is left.
    pub(crate) fn take_copy(&self, route: &Route) -> bool {
        self.with(route, Hedge::take_copy) == Some(true)
    }

    /// Returns `None` for routes without copies.
    fn with<T>(&self, route: &Route, act: impl FnOnce(&mut Hedge) -> T) -> Option<T> {
        if !self.covers(route) {
            return None;
        }
        let mut routes = lock(&self.routes);
        let hedge = routes.entry(route.name.clone());
        Some(act(
            hedge.or_insert_with(|| Hedge::new(self.share, rand::random()))
        ))
    }
}
