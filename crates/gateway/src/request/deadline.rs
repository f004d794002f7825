//! The time by which the response of a request is due.

use {
    super::Context,
    crate::{
        Clock,
        protocol::RequestHead,
        view::{View, lock},
    },
    marigoldroute_core::{forward::Route, id::Version},
    poem::http::Uri,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// When the response of a request is due: the caller's timeout after the arrival, at most the
/// longest timeout that the configuration has given to such requests since.
pub(crate) struct Deadline {
    clock: Clock,
    view: Arc<View>,
    arrived: Duration,
    /// Timeout that the caller states, if any.
    stated: Option<Duration>,
    /// Host name and target, by which each version finds its route.
    host: String,
    target: Uri,
    longest: Mutex<Longest>,
}

/// The longest timeout of a route.
struct Longest {
    timeout: Duration,
    /// Newest version that was considered.
    version: Version,
}

impl Deadline {
    /// Starts to consider new versions. `route` is the one under which the request is admitted.
    pub(crate) fn new(
        context: &Context,
        head: &RequestHead,
        route: &Route,
        arrived: Duration,
    ) -> Self {
        let longest = Mutex::new(Longest {
            timeout: route.timeout,
            version: 0,
        });
        Self {
            clock: context.clock,
            view: context.view.clone(),
            arrived,
            stated: head.timeout,
            host: head.host.clone(),
            target: head.target.clone(),
            longest,
        }
    }

    /// Returns the deadline by the versions of the configuration until now.
    pub(crate) fn at(&self) -> Duration {
        let timeout = self.longest_timeout();
        self.arrived + self.stated.map_or(timeout, |stated| stated.min(timeout))
    }

    fn longest_timeout(&self) -> Duration {
        let mut longest = lock(&self.longest);
        let version = self.view.version();
        if longest.version != version
            && let Some(directory) = self.view.directory()
        {
            longest.version = directory.version();
            if let Some(route) = directory.route(&self.host, self.target.path()) {
                longest.timeout = longest.timeout.max(route.timeout);
            }
        }
        longest.timeout
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.at().saturating_sub(self.clock.now())
    }

    /// Waits until the deadline, which changes of the configuration may put off meanwhile.
    pub(crate) async fn passed(&self) {
        let mut versions = self.view.subscribe();
        while !self.remaining().is_zero() {
            let at = self.clock.instant(self.at());
            tokio::select! {
                biased;
                Ok(()) = versions.changed() => {}
                () = tokio::time::sleep_until(at.into()) => {}
            }
        }
    }

    /// Runs a future until the deadline; returns `None` if it has passed before.
    pub(crate) async fn run<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.passed() => None,
        }
    }
}
