//! Quarantine of parts of prompts that crash upstreams, shared with other hosts.

mod rows;

pub(crate) use rows::PartRows;

use {
    crate::{Clock, dispatch::InFlight, metrics::Metrics, protocol::PromptPart, view::lock},
    marigoldroute_core::{
        quarantine::{self, Audience, Change, PartId, State},
        wire::Parts,
    },
    marigoldroute_process::logs::BELIEFS,
    std::{
        collections::HashMap,
        io,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::TcpStream, sync::Notify},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Longest time to find out whether an upstream has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a failed attempt waits for that, so that its retry knows the result.
const PROBE_WAIT: Duration = Duration::from_millis(150);
/// How often a message about a part is sent, as datagrams get lost.
const SEND_COUNT: u32 = 3;
/// Messages that wait to be sent; later ones replace nothing and are dropped when it is full.
const OUTBOX_LIMIT: usize = 512;

/// Parts of a prompt that requests share.
pub(crate) type SharedParts = Arc<[PartId]>;

/// Returns the parts of a prompt that other requests may share: all but the last one.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> SharedParts {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.id).collect()
}

/// What has to be sent about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Notice {
    pub(crate) part: PartId,
    pub(crate) audience: Audience,
    is_sound: bool,
}

/// Quarantine of parts of prompts, as this host knows it.
pub(crate) struct Quarantine {
    clock: Clock,
    metrics: Arc<Metrics>,
    inner: Mutex<quarantine::Quarantine>,
    /// Notices to send, each with how often it still has to be sent.
    outbox: Mutex<HashMap<PartId, (Notice, u32)>>,
    /// Notified when the outbox has got a notice.
    pub(crate) outbox_filled: Notify,
    /// Notified when a part has been quarantined.
    began: Notify,
    /// Notified when this host has accused or quarantined a part, which its row has to show.
    pub(crate) row_changed: Notify,
}

impl Quarantine {
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            metrics,
            inner: Mutex::default(),
            outbox: Mutex::default(),
            outbox_filled: Notify::new(),
            began: Notify::new(),
            row_changed: Notify::new(),
        }
    }

    /// Returns for how long no request with these parts may be sent; `None` when it may.
    pub(crate) fn check(&self, parts: &[PartId]) -> Option<Duration> {
        if parts.is_empty() {
            return None;
        }
        lock(&self.inner).check(self.clock.now(), parts)
    }

    /// Waits until no request with these parts may be sent; returns for how long.
    pub(crate) async fn wait(&self, parts: &[PartId]) -> Duration {
        loop {
            let began = self.began.notified();
            if let Some(rest) = self.check(parts) {
                return rest;
            }
            began.await;
        }
    }

    /// Sets the number of other hosts of the fleet.
    pub(crate) fn set_other_hosts(&self, count: usize) {
        lock(&self.inner).set_other_hosts(count);
    }

    /// Records that an upstream answered a request with these parts.
    pub(crate) fn record_success(&self, parts: &[PartId]) {
        if parts.is_empty() {
            return;
        }
        let changes = lock(&self.inner).record_success(self.clock.now(), parts);
        if !changes.is_empty() {
            self.apply(&changes, "own answer");
        }
    }

    /// Finds out whether an upstream has ended that began to answer a request with these parts and
    /// then broke its connection. Returns whether the request should not be retried, as one of its
    /// parts has been accused before.
    pub(crate) async fn examine(
        self: &Arc<Self>,
        in_flight: &InFlight,
        parts: &SharedParts,
    ) -> bool {
        if parts.is_empty() {
            return false;
        }
        let process = &in_flight.process;
        let hash = xxh3_64_with_seed(process.upstream.as_bytes(), process.started_ms);
        let (this, parts) = (self.clone(), parts.clone());
        let (upstream, address) = (process.upstream.clone(), in_flight.address);
        let ended_at = self.clock.now();
        let probe = tokio::spawn(async move {
            let connect = TcpStream::connect(address);
            let connected = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
            let is_refused = matches!(
                connected,
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
            );
            log::info!(
                target: BELIEFS,
                upstream:%, has_ended = is_refused, parts:% = join_hex(&parts);
                "upstream broke off an answer"
            );
            is_refused && this.record_crash(ended_at, hash, &parts)
        });
        let known = tokio::time::timeout(PROBE_WAIT, probe).await;
        matches!(known, Ok(Ok(true)))
    }

    /// Records the end of an upstream; returns whether a part has been accused before.
    fn record_crash(&self, at: Duration, process: u64, parts: &[PartId]) -> bool {
        let changes = lock(&self.inner).record_crash(at, process, parts);
        self.apply(&changes, "own attempt");
        changes.iter().any(|change| match change.state {
            State::Suspected(crashes) => crashes > 1,
            State::Quarantined(_) => true,
            State::Sound => false,
        })
    }

    /// Applies a message of another host; returns the accused parts that this host knows to be
    /// sound.
    pub(crate) fn learn(&self, from: &str, message: &Parts) -> Vec<PartId> {
        let learned = lock(&self.inner).learn(self.clock.now(), message);
        self.apply(&learned.changes, from);
        learned.contradicted
    }

    /// Logs and counts changes, tells other hosts, and wakes the requests that may have to stop.
    fn apply(&self, changes: &[Change], source: &str) {
        for change in changes {
            let part = format!("{:016x}", change.part);
            let label = match change.state {
                State::Suspected(crashes) => {
                    log::info!(target: BELIEFS, part, crashes, source; "prompt part suspected");
                    "suspected"
                }
                State::Quarantined(crashes) => {
                    log::info!(target: BELIEFS, part, crashes, source; "prompt part quarantined");
                    "quarantined"
                }
                State::Sound => {
                    log::info!(target: BELIEFS, part, source; "prompt part found sound");
                    "sound"
                }
            };
            self.metrics.prompt_parts.with_label_values(&[label]).inc();
        }
        let is_quarantine = |change: &Change| matches!(change.state, State::Quarantined(_));
        if changes.iter().any(is_quarantine) {
            self.began.notify_waiters();
        }
        let has_news = {
            let inner = lock(&self.inner);
            changes.iter().any(|change| inner.is_news(change))
        };
        if has_news {
            self.row_changed.notify_one();
        }
        self.post(changes);
    }

    fn post(&self, changes: &[Change]) {
        let mut outbox = lock(&self.outbox);
        for change in changes {
            let Some(audience) = change.audience else {
                continue;
            };
            let notice = Notice {
                part: change.part,
                audience,
                is_sound: change.state == State::Sound,
            };
            if outbox.len() < OUTBOX_LIMIT || outbox.contains_key(&change.part) {
                outbox.insert(change.part, (notice, SEND_COUNT));
            }
        }
        let has_notices = !outbox.is_empty();
        drop(outbox);
        if has_notices {
            self.outbox_filled.notify_one();
        }
    }

    /// Takes the notices that have to be sent now, and whether some have to be sent again.
    pub(crate) fn take_notices(&self) -> (Vec<Notice>, bool) {
        let mut outbox = lock(&self.outbox);
        let notices = outbox.values_mut().map(|(notice, left)| {
            *left = left.saturating_sub(1);
            *notice
        });
        let notices = notices.collect();
        outbox.retain(|_, (_, left)| *left > 0);
        (notices, !outbox.is_empty())
    }

    /// Returns the message for notices.
    pub(crate) fn message(&self, notices: &[Notice]) -> Parts {
        let parts = |is_sound: bool| {
            let notices = notices.iter().filter(|notice| notice.is_sound == is_sound);
            notices.map(|notice| notice.part).collect::<Vec<_>>()
        };
        let now = self.clock.now();
        Parts {
            suspects: lock(&self.inner).describe(now, &parts(false)),
            sound: parts(true),
        }
    }
}

fn join_hex(parts: &[PartId]) -> String {
    let parts = parts.iter().map(|part| format!("{part:016x}"));
    parts.collect::<Vec<_>>().join(",")
}
