//! Choices that the scheduler of a service makes for all hosts; see
//! [`schedule`](marigoldroute_core::schedule).

use {
    super::{ASSUMED_HOSTS, Dispatcher, InFlight, Inner, Rationale, Unavailable, in_flight_limit},
    crate::{profile::Profile, protocol::Load, view::lock},
    marigoldroute_core::{
        admission::{Stage, Standing},
        fleet::WeightedHost,
        forward::Service,
        id::{HostId, UpstreamId},
        route::{self, Origin, Progress},
        schedule::{
            Election, Key, Outcome, Question, Scheduler, Selection, Settings, Silence,
            SilenceSettings,
        },
        wire::{self, AttemptState, Choose, Chosen, EngineLoad, Outcomes},
    },
    marigoldroute_process::logs::BELIEFS,
    rand::RngCore,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Outcomes of attempts that wait to be sent to schedulers. Beyond it they are dropped, and the
/// scheduler forgets the attempts at their deadlines.
const OUTBOX_LEN: usize = 1_024;
/// Time after the deadline of an attempt at which a scheduler forgets it.
const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Longest time for which an attempt of another host is followed, above the timeouts of routes.
const ATTEMPT_TIME_LIMIT: Duration = Duration::from_secs(120);
/// Tried engines that a question names, so that it fits into a datagram.
const EXCLUDED_LIMIT: usize = 8;

/// What this host knows about the schedulers, and its state as one of them.
pub(super) struct Schedule {
    scheduler: Scheduler,
    election: Election,
    silence: Silence,
    next_number: u64,
}

impl Schedule {
    pub(super) fn new(origin: Origin, settings: Settings) -> Self {
        Self {
            election: Election::new(settings.scope),
            silence: Silence::new(SilenceSettings::default()),
            next_number: 0,
            scheduler: Scheduler::new(origin, settings),
        }
    }

    /// Adds an engine or replaces it.
    pub(super) fn join(&mut self, now: Duration, candidate: &route::Candidate) {
        if let Err(full) = self.scheduler.join(now, candidate) {
            log::error!(target: BELIEFS, upstream:% = candidate.id; "upstream not scheduled: {full}");
        }
    }

    pub(super) fn withdraw(&mut self, upstream: &UpstreamId) {
        self.scheduler.withdraw(upstream);
    }

    pub(super) fn clear_cache(&mut self, now: Duration, upstream: &UpstreamId) {
        self.scheduler.clear_cache(now, upstream);
    }

    /// Returns the host that schedules a service with this many engines: the first candidate that is
    /// not silent.
    pub(super) fn scheduler_of(
        &mut self,
        now: Duration,
        service: &Service,
        engines: usize,
    ) -> Option<HostId> {
        if !self.election.covers(engines) {
            return None;
        }
        let candidates = self.election.candidates(&service.name).iter();
        let mut asked = candidates.filter(|host| self.silence.allows(now, host));
        asked.next().cloned()
    }

    /// Returns what the scheduler would choose, without an attempt.
    pub(super) fn preview(
        &mut self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &route::Request<'_>,
    ) -> Option<Selection> {
        self.scheduler.preview(now, random, request)
    }

    pub(super) fn update_hosts(&mut self, hosts: &[WeightedHost]) {
        self.election.update_hosts(hosts);
        let is_live = |host: &HostId| hosts.iter().any(|live| live.host == *host);
        self.silence.retain(is_live);
    }
}

/// A question for a scheduler.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// Host to ask.
    pub(crate) host: HostId,
    /// Whether that is this host.
    pub(crate) is_own: bool,
    pub(crate) choose: Choose,
}

/// An attempt for which a scheduler has chosen the engine.
#[derive(Clone, Debug)]
pub(crate) struct Scheduled {
    /// The scheduler.
    pub(crate) host: HostId,
    /// Whether that is this host.
    pub(crate) is_own: bool,
    /// Number of the attempt.
    pub(crate) number: u64,
    /// Engine that it has chosen.
    pub(crate) upstream: UpstreamId,
    /// Why.
    pub(crate) reason: Arc<str>,
}

/// Outcome of an attempt on its way to a scheduler.
pub(crate) type Report = (HostId, wire::Outcome);

/// Returns the queue of outcomes on their way to schedulers.
pub(super) fn outbox() -> (mpsc::Sender<Report>, mpsc::Receiver<Report>) {
    mpsc::channel(OUTBOX_LEN)
}

impl Inner {
    /// Returns the number of engines of a service.
    fn engine_count(&self, service: &Service) -> usize {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(|upstream| upstream.service == service.name)
            .count()
    }
}

impl Dispatcher {
    /// Returns whether an upstream of a service gets no request from this host now.
    fn is_barred(&self, service: &Service, id: &UpstreamId) -> bool {
        let now = self.clock.now();
        let inner = lock(&self.inner);
        let limit = in_flight_limit(service, inner.hosts.unwrap_or(ASSUMED_HOSTS));
        let standing = inner.admission.standing(now, id, Stage::Choose { limit });
        matches!(standing, Standing::Barred(_))
    }

    /// Returns the question for the scheduler of a service: the first candidate that is not silent.
    /// Returns `None` when this host is to choose for itself.
    pub(crate) fn ask(
        &self,
        service: &Service,
        profile: &Profile,
        tried: &[UpstreamId],
        timeout: Duration,
    ) -> Option<Ask> {
        service.engine.as_ref()?;
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let engines = inner.engine_count(service);
        let schedule = inner.schedule.as_mut()?;
        let host = schedule.scheduler_of(now, service, engines)?;
        schedule.next_number += 1;
        Some(Ask {
            is_own: host == self.instance,
            host,
            choose: Choose {
                number: schedule.next_number,
                service: service.name.to_string(),
                prompt: profile.prompt,
                output: profile.output,
                priority: profile.priority.into(),
                parts: profile.wire_parts(),
                excluded: tried
                    .iter()
                    .rev()
                    .take(EXCLUDED_LIMIT)
                    .map(ToString::to_string)
                    .collect(),
                zone: self.zone.to_string(),
                timeout_ms: (timeout + EXPIRY_MARGIN).as_millis() as u64,
            },
        })
    }

    /// Returns whether one host schedules the requests of a service.
    pub(crate) fn is_scheduled(&self, service: &Service) -> bool {
        if service.engine.is_none() {
            return false;
        }
        let inner = lock(&self.inner);
        let engines = inner.engine_count(service);
        let schedule = inner.schedule.as_ref();
        schedule.is_some_and(|schedule| schedule.election.covers(engines))
    }

    /// Records whether a scheduler has answered.
    pub(crate) fn record_scheduler(&self, host: &HostId, has_answered: bool) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let Some(schedule) = &mut inner.schedule else {
            return;
        };
        let has_changed = match has_answered {
            true => schedule.silence.record_answer(host),
            false => schedule.silence.record_silence(now, host),
        };
        drop(inner);
        match (has_changed, has_answered) {
            (true, true) => {
                log::info!(target: BELIEFS, scheduler:% = host; "scheduler answers again");
            }
            (true, false) => log::warn!(target: BELIEFS, scheduler:% = host; "scheduler silent"),
            (false, _) => {}
        }
    }

    /// Chooses an engine as the scheduler of a service, for an attempt of the process `from`.
    pub(crate) fn answer_choose(&self, from: &str, choose: &Choose) -> Chosen {
        let now = self.clock.now();
        let profile = Profile::from_wire(choose, self.block_tokens);
        let mut inner = lock(&self.inner);
        let Inner {
            schedule,
            random,
            admission,
            ..
        } = &mut *inner;
        let Some(schedule) = schedule else {
            return Chosen::default();
        };
        // What the scheduler itself has in flight does not matter for other hosts.
        let stage = Stage::Choose { limit: u32::MAX };
        let allows = |id: &UpstreamId| {
            let is_excluded = choose.excluded.iter().any(|excluded| **excluded == **id);
            let is_barred = || matches!(admission.standing(now, id, stage), Standing::Barred(_));
            !is_excluded && !is_barred()
        };
        let question = Question {
            request: route::Request {
                zone: Some(&choose.zone),
                ..profile.request(&choose.service, &allows)
            },
            expires_at: now + Duration::from_millis(choose.timeout_ms).min(ATTEMPT_TIME_LIMIT),
        };
        let key = key(from, choose.number);
        let selection = schedule.scheduler.choose(now, random, key, &question);
        let open = schedule.scheduler.len();
        drop(inner);
        self.metrics.scheduled_attempts.set(open as i64);
        selection.map_or_else(Chosen::default, |selection| Chosen {
            reason: format!(
                "{} considered by the scheduler: {}",
                selection.considered, selection.reason
            ),
            upstream: selection.upstream.to_string(),
        })
    }

    /// Applies outcomes of attempts of the process `from`.
    pub(crate) fn apply_outcomes(&self, from: &str, outcomes: &Outcomes) {
        for outcome in &outcomes.items {
            self.apply_outcome(from, outcome);
        }
    }

    fn apply_outcome(&self, from: &str, outcome: &wire::Outcome) {
        let pause = Duration::from_millis(outcome.pause_ms);
        let progress = match outcome.state() {
            AttemptState::Unknown => return,
            AttemptState::FirstToken => Progress::FirstToken,
            AttemptState::Finished => Progress::Finished {
                tokens: outcome.tokens,
            },
            AttemptState::Cancelled => Progress::Cancelled,
            AttemptState::Failed => Progress::Failed,
            AttemptState::Refused => Progress::Refused {
                after: Some(pause).filter(|pause| !pause.is_zero()),
            },
        };
        let load = outcome.load.as_ref().map(|load| route::Load {
            running: load.running,
            waiting: [load.waiting, 0, 0],
            slowdown: load.slowdown,
            ..route::Load::default()
        });
        let outcome_of = Outcome {
            progress,
            elapsed: Duration::from_micros(outcome.elapsed_us),
            load,
        };
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if let Some(schedule) = &mut inner.schedule {
            let key = key(from, outcome.number);
            schedule.scheduler.report(now, key, &outcome_of);
            let open = schedule.scheduler.len();
            drop(inner);
            self.metrics.scheduled_attempts.set(open as i64);
        }
    }

    /// Assigns a request to the engine that a scheduler has chosen. If there is none, or this host may
    /// not send it there, chooses an upstream.
    ///
    /// # Errors
    /// [`Unavailable`].
    pub(crate) fn assign_preferred(
        self: &Arc<Self>,
        service: &Service,
        profile: &Profile,
        tried: &[UpstreamId],
        scheduled: Option<Scheduled>,
    ) -> Result<(InFlight, Rationale), Unavailable> {
        if let Some(scheduled) = scheduled {
            match self.assign_scheduled(service, profile, &scheduled) {
                Ok(assigned) => return Ok(assigned),
                Err(_) => self.refuse_scheduled(&scheduled),
            }
        }
        self.assign(service, profile, tried)
    }

    fn assign_scheduled(
        self: &Arc<Self>,
        service: &Service,
        profile: &Profile,
        scheduled: &Scheduled,
    ) -> Result<(InFlight, Rationale), Unavailable> {
        let id = &scheduled.upstream;
        // Without this check, a choice of one upstream that is barred would take the time at which a
        // refused caller should return.
        if self.is_barred(service, id) {
            return Err(Unavailable::Busy(None));
        }
        let is_chosen = |other: &UpstreamId| other == id;
        let (mut in_flight, rationale) = self.assign_among(service, profile, &is_chosen)?;
        in_flight.scheduled = Some(scheduled.clone());
        Ok((in_flight, rationale))
    }

    /// Tells a scheduler that an attempt is not made.
    pub(crate) fn cancel_scheduled(&self, scheduled: &Scheduled) {
        self.report_outcome(scheduled, &Progress::Cancelled, Duration::ZERO, None);
    }

    /// Tells a scheduler that this host may not send an attempt to the engine that it has chosen.
    pub(crate) fn refuse_scheduled(&self, scheduled: &Scheduled) {
        self.metrics
            .scheduling
            .with_label_values(&["unusable"])
            .inc();
        self.report_outcome(scheduled, &Progress::Cancelled, Duration::ZERO, None);
    }

    /// Tells the scheduler of an attempt what became of it.
    pub(crate) fn report_outcome(
        &self,
        scheduled: &Scheduled,
        progress: &Progress<'_>,
        elapsed: Duration,
        load: Option<&Load>,
    ) {
        let (state, tokens, pause) = match *progress {
            Progress::Sent(_) => return,
            Progress::FirstToken => (AttemptState::FirstToken, 0, None),
            Progress::Finished { tokens } => (AttemptState::Finished, tokens, None),
            Progress::Cancelled => (AttemptState::Cancelled, 0, None),
            Progress::Failed => (AttemptState::Failed, 0, None),
            Progress::Refused { after } => (AttemptState::Refused, 0, after),
        };
        let outcome = wire::Outcome {
            number: scheduled.number,
            state: state.into(),
            tokens,
            pause_ms: pause.map_or(0, |pause| pause.as_millis() as u64),
            elapsed_us: elapsed.as_micros() as u64,
            load: load.map(|load| EngineLoad {
                running: load.running,
                waiting: load.waiting,
                slowdown: load.slowdown.unwrap_or(0.0),
            }),
        };
        if scheduled.is_own {
            self.apply_outcome("", &outcome);
        } else if self
            .outbox
            .try_send((scheduled.host.clone(), outcome))
            .is_err()
        {
            self.metrics
                .scheduling
                .with_label_values(&["dropped"])
                .inc();
        }
    }
}

/// Returns the key of an attempt of a process; the process is empty for this host's own attempts.
fn key(process: &str, number: u64) -> Key {
    (xxh3_64(process.as_bytes()), number)
}
