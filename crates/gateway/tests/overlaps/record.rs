//! What callers, upstreams and the operator saw, and the check of it.

use {
    super::upstream::{EVENTS, body, event},
    marigoldroute_core::forward::Snapshot,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Longest time until a host has applied a version while its store is up.
const APPLY_TIME: Duration = Duration::from_secs(1);
/// As [`APPLY_TIME`], when the store is down at times.
const OUTAGE_APPLY_TIME: Duration = Duration::from_secs(4);
/// Longest time until a host reads a version of a calm store.
const READ_TIME: Duration = Duration::from_millis(100);
/// Time after a disruption of the store in which hosts may still miss a version.
const OUTAGE_END_TIME: Duration = Duration::from_secs(1);
/// Longest time from the deadline of a request to its end.
const END_TIME: Duration = Duration::from_secs(5);

/// Longest time from the last byte of a request to the end of its connection, when the two cross.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// A version of the configuration.
struct Version {
    put_at: Instant,
    /// Prefixes of the routes and their timeouts.
    timeouts: Vec<(String, Duration)>,
    keys: HashSet<String>,
    idle_limit: Duration,
}

impl Version {
    /// Returns the timeout of the route of a request.
    fn timeout(&self, request: &Request) -> Option<Duration> {
        let routes = self.timeouts.iter();
        let routes = routes.filter(|(prefix, _)| request.target.starts_with(prefix));
        let route = routes.max_by_key(|(prefix, _)| prefix.len());
        route.map(|(_, timeout)| *timeout)
    }
}

/// One run of a request at an upstream.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Whether the upstream stated that it did not run the request.
    pub is_refused: bool,
    /// Whether the upstream broke off.
    pub is_broken: bool,
    /// Whether the gateway closed the connection before the end of the response.
    pub is_cut: bool,
}

/// How a request ended for its caller.
#[derive(Debug)]
#[expect(dead_code, reason = "read in the messages of failed checks")]
pub enum End {
    Response(u16, String),
    /// The connection ended within the response.
    Cut(String),
    /// The connection ended without a byte of a response.
    Closed(String),
}

/// A request that has ended for its caller.
#[derive(Debug)]
#[expect(dead_code, reason = "read in the messages of failed checks")]
pub struct Request {
    pub id: String,
    pub path: &'static str,
    pub target: String,
    pub key: &'static str,
    pub stated: Option<Duration>,
    pub sent_at: Instant,
    /// When its last byte was written.
    pub written_at: Instant,
    pub ended_at: Instant,
    /// Whether the planned stop of its process had begun by its end.
    pub is_stopping: bool,
    /// Limit by which its caller kept the connection.
    pub idle_limit: Duration,
    /// How long the connection was idle before.
    pub idle: Duration,
    /// Requests that the connection carried before.
    pub carried: u64,
    pub end: End,
}

#[derive(Default)]
pub struct Record {
    versions: Vec<Version>,
    pub runs: HashMap<String, Vec<Run>>,
    pub requests: Vec<Request>,
    /// Whether upstreams close connections without notice.
    pub has_forgetful_upstreams: bool,
    /// Longest time for which the process stands still at times; zero if it does not.
    pub longest_stall: Duration,
    /// Disruptions of the store.
    pub outages: Vec<(Instant, Instant)>,
    /// Whether the store is down at times.
    pub has_outages: bool,
}

pub type Shared = Arc<Mutex<Record>>;

pub fn lock(record: &Shared) -> MutexGuard<'_, Record> {
    record.lock().expect("no task panics while it holds it")
}

/// Numbers of requests by their end.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub answered: u64,
    pub refused: u64,
    /// Failures and cuts after a break of the upstream or at the deadline.
    pub excused: u64,
    /// Connections that closed without a response.
    pub closed: u64,
}

impl Record {
    pub fn put(&mut self, snapshot: &Snapshot) {
        let routes = snapshot.routes.iter();
        let keys = snapshot.workspaces.iter().flat_map(|one| one.keys.iter());
        self.versions.push(Version {
            put_at: Instant::now(),
            timeouts: routes
                .map(|route| (route.prefix.to_string(), route.timeout))
                .collect(),
            keys: keys.map(ToString::to_string).collect(),
            idle_limit: snapshot.limits.idle_timeout,
        });
    }

    /// Returns the lowest idle limit that a host may go by now.
    pub fn idle_limit(&self) -> Duration {
        let now = Instant::now();
        let versions = self.in_force(now - self.apply_time(), now);
        let limits = versions.map(|version| version.idle_limit);
        limits.min().expect("a version")
    }

    fn apply_time(&self) -> Duration {
        match self.has_outages {
            true => OUTAGE_APPLY_TIME,
            false => APPLY_TIME,
        }
    }

    /// Returns the versions, each with when the next one was put.
    fn spans(&self) -> impl Iterator<Item = (&Version, Option<Instant>)> {
        let ends = self.versions.iter().skip(1).map(|next| Some(next.put_at));
        self.versions.iter().zip(ends.chain([None]))
    }

    /// Returns whether hosts have read a version before the next one was put at `end`: those that
    /// reach the store read the newest version only.
    fn is_read(&self, version: &Version, end: Instant) -> bool {
        let is_calm = self
            .outages
            .iter()
            .all(|(from, to)| *from > end || *to + OUTAGE_END_TIME < version.put_at);
        is_calm && end - version.put_at >= READ_TIME + self.longest_stall
    }

    /// Returns the versions that may be in force at any time of a span.
    fn in_force(&self, from: Instant, to: Instant) -> impl Iterator<Item = &Version> {
        self.spans()
            .filter(move |(version, end)| version.put_at <= to && end.is_none_or(|end| end >= from))
            .map(|(version, _)| version)
    }

    /// Returns the earliest time after which the gateway may end a request.
    fn shortest_timeout(&self, request: &Request) -> Duration {
        let before = request.sent_at - self.apply_time();
        // A body that comes later is read by the version of the head.
        let admitting = self.in_force(before, request.sent_at + APPLY_TIME);
        let admitted = admitting.filter_map(|version| version.timeout(request));
        let admitted = admitted.min().unwrap_or_default();
        let applied = request.ended_at - self.apply_time();
        let later = self.spans().filter(|(version, end)| {
            version.put_at >= request.sent_at
                && version.put_at <= applied
                && self.is_read(version, end.unwrap_or(request.ended_at))
        });
        let later = later.map(|(version, _)| version);
        let later = later.filter_map(|version| version.timeout(request));
        let timeout = later.max().unwrap_or_default().max(admitted);
        request.stated.map_or(timeout, |stated| stated.min(timeout))
    }

    /// Returns the latest time after which a request has to end.
    fn longest_timeout(&self, request: &Request) -> Duration {
        let before = request.sent_at - self.apply_time();
        let versions = self.in_force(before, request.ended_at);
        let timeouts = versions.filter_map(|version| version.timeout(request));
        let timeout = timeouts.max().unwrap_or_default();
        request.stated.map_or(timeout, |stated| stated.min(timeout))
    }

    /// Returns the timeouts of the route of a request around its time, with when their versions were
    /// put before it was sent and after.
    fn timeouts(&self, request: &Request) -> Vec<(Duration, Duration, Option<Duration>)> {
        let versions = self.in_force(request.sent_at - self.apply_time(), request.ended_at);
        let around = |version: &Version| {
            (
                request.sent_at.saturating_duration_since(version.put_at),
                version.put_at.saturating_duration_since(request.sent_at),
            )
        };
        let timeouts = versions.map(|version| {
            let (before, after) = around(version);
            (before, after, version.timeout(request))
        });
        timeouts.collect()
    }

    /// Checks all requests.
    pub fn check(&self, seed: u64) -> Counts {
        let mut counts = Counts::default();
        let mut wrong = Vec::new();
        for request in &self.requests {
            match self.judge(request) {
                Ok(count) => *count(&mut counts) += 1,
                Err(why) => wrong.push(format!(
                    "{why}: after {:?} of {:?} by {:?}, {:?}, runs {:?}",
                    request.ended_at - request.sent_at,
                    self.shortest_timeout(request),
                    self.timeouts(request),
                    request,
                    self.runs.get(&request.id),
                )),
            }
        }
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
        counts
    }

    fn judge(&self, request: &Request) -> Result<fn(&mut Counts) -> &mut u64, &'static str> {
        let runs = self.runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        let mut real = runs.iter().filter(|run| !run.is_refused);
        let has_run = real.clone().next().is_some();
        let is_broken = runs.iter().any(|run| run.is_broken);
        let elapsed = request.ended_at - request.sent_at;
        let is_over = elapsed >= self.shortest_timeout(request);
        let waited = request.ended_at - request.written_at;
        let is_repeatable = ["safe", "resumable"].contains(&request.path);
        if !is_repeatable && real.clone().count() > 1 {
            return Err("ran twice");
        }
        if elapsed > self.longest_timeout(request) + END_TIME {
            return Err("ended late");
        }
        if request.path != "resumable" && !is_over && real.any(|run| run.is_cut) {
            return Err("cut at its upstream");
        }
        // A request to a connection that its upstream has closed does not arrive.
        let is_forgotten = self.has_forgetful_upstreams && !has_run;
        let before = request.sent_at - self.apply_time();
        let mut versions = self.in_force(before, request.ended_at);
        match &request.end {
            End::Response(200, text) if *text == expected(request) => {
                Ok(|counts| &mut counts.answered)
            }
            End::Response(200, _) => Err("not the whole response"),
            End::Response(401 | 404 | 408 | 429 | 503, _) if has_run => Err("refused and ran"),
            End::Response(401, _) if versions.all(|one| one.keys.contains(request.key)) => {
                Err("no version lacks the key")
            }
            End::Response(404, _) if versions.all(|one| one.timeout(request).is_some()) => {
                Err("no version lacks the route")
            }
            End::Response(408, _) if !is_over => Err("a body in time is not late"),
            End::Response(401 | 404 | 408 | 429 | 503, _) => Ok(|counts| &mut counts.refused),
            End::Response(502 | 504, _) if is_broken || is_over || is_forgotten => {
                Ok(|counts| &mut counts.excused)
            }
            End::Cut(_) if is_broken || is_over => Ok(|counts| &mut counts.excused),
            End::Closed(_) if is_broken && request.path != "once" && request.path != "safe" => {
                Ok(|counts| &mut counts.excused)
            }
            End::Closed(_) if has_run => Err("closed without a response after it ran"),
            End::Closed(_) if request.is_stopping && waited < CLOSE_TIME => {
                Ok(|counts| &mut counts.closed)
            }
            // A caller that stands still exceeds the limit, and sees the response before late.
            End::Closed(_) if request.idle + self.longest_stall * 2 > request.idle_limit => {
                Ok(|counts| &mut counts.closed)
            }
            End::Closed(_) => Err("closed without a response"),
            End::Cut(_) => Err("cut"),
            End::Response(..) => Err("failed"),
        }
    }
}

/// Returns the body of the whole response.
fn expected(request: &Request) -> String {
    match request.path {
        "stream" | "resumable" => (1..=EVENTS).map(event).collect(),
        _ => body(&request.id),
    }
}
