//! Requests that wait for an upstream, in the order in which they get one.
//!
//! While [`Intake`] finds that the upstreams have no room within the objective of a request, the
//! request waits although they are not at this host's limit. A place that becomes free goes to the first request of its service, in the order of
//! [`limit::Queue`], that an upstream can be assigned to. A place reaches a request as its
//! [`InFlight`]; when the request is gone by then, dropping it passes the place on.

use {
    super::{Dispatcher, InFlight, Rationale, Scheduled, Unavailable},
    crate::{profile::Profile, protocol::Load, view::lock},
    marigoldroute_core::{
        fault::Fault,
        forward::Service,
        id::{ServiceId, UpstreamId, WorkspaceId},
        limit::{self, Entry, Intake, IntakeSettings, Key, QueueSettings},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// What a request that waits receives.
pub(crate) type Assigned = Result<(InFlight, Rationale), Unavailable>;

/// Queues of one host, one for each service, since requests for different services do not compete.
///
/// Locked before the state of the dispatcher. No [`InFlight`] may be dropped under this lock,
/// because that takes the lock again.
#[derive(Default)]
pub(super) struct Queues {
    settings: QueueSettings,
    services: Mutex<HashMap<ServiceId, Line>>,
}

impl Queues {
    pub(super) fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            services: Mutex::default(),
        }
    }
}

/// Requests that wait for one service.
struct Line {
    queue: limit::Queue<Waiter>,
    intake: Intake,
}

/// A request that waits.
struct Waiter {
    class: u8,
    objective: Duration,
    service: Arc<Service>,
    profile: Arc<Profile>,
    /// Upstreams that the request has tried and that it must not be assigned to.
    tried: Vec<UpstreamId>,
    reply: oneshot::Sender<Assigned>,
}

/// How a request is ranked among those that wait.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) workspace: WorkspaceId,
    /// Priority class; 0 is served first.
    pub(crate) class: u8,
    /// Time within which upstreams should have room for the request, so that it is sent.
    pub(crate) objective: Duration,
    /// Time by which the request must be assigned.
    pub(crate) deadline: Duration,
}

/// The result of [`Dispatcher::enter`].
pub(crate) enum Entered {
    Assigned(Box<InFlight>, Rationale),
    Waiting(Place),
}

/// A request in the queue; dropping it removes the request.
pub(crate) struct Place {
    dispatcher: Arc<Dispatcher>,
    service: ServiceId,
    key: Key,
    /// Completes when the request is assigned or refused.
    pub(crate) reply: oneshot::Receiver<Assigned>,
    /// Time until the queue has to be looked at again, if upstreams open by themselves.
    pub(crate) opens_after: Option<Duration>,
}

impl Place {
    /// Looks at the queue again after an upstream may have opened without the end of a request.
    pub(crate) fn review(&mut self) {
        self.opens_after = self.dispatcher.serve_waiting(&self.service);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(queues) = &self.dispatcher.queues else {
            return;
        };
        // An entry that was served has been removed, and its reply passes the place on.
        let mut services = lock(&queues.services);
        if let Some(line) = services.get_mut(&self.service)
            && line.queue.cancel(self.key).is_some()
        {
            self.dispatcher.metrics.waiting.dec();
        }
    }
}

impl Dispatcher {
    /// Lets requests wait in order; without settings, they all look at the upstreams again whenever
    /// a place becomes free.
    pub(crate) fn with_queue(mut self, settings: Option<QueueSettings>) -> Self {
        self.queues = settings.map(Queues::new);
        self
    }

    /// Returns whether requests wait in order.
    pub(crate) fn has_queue(&self) -> bool {
        self.queues.is_some()
    }

    /// Assigns a request to an upstream, the one that a scheduler has chosen if it can, or adds it to
    /// the queue while all upstreams are busy. Requests that wait come first.
    ///
    /// # Errors
    /// [`Unavailable`]; [`Unavailable::Overloaded`] if the request is not expected to be assigned
    /// by its deadline.
    pub(crate) fn enter(
        self: &Arc<Self>,
        service: &Arc<Service>,
        profile: &Arc<Profile>,
        tried: &[UpstreamId],
        claim: Claim,
        scheduled: Option<Scheduled>,
    ) -> Result<Entered, Unavailable> {
        let Some(queues) = &self.queues else {
            let assigned = self.assign_preferred(service, profile, tried, scheduled);
            let (in_flight, rationale) = assigned?;
            return Ok(Entered::Assigned(Box::new(in_flight), rationale));
        };
        let mut services = lock(&queues.services);
        let line = services
            .entry(service.name.clone())
            .or_insert_with(|| Line {
                queue: limit::Queue::new(queues.settings.clone()),
                intake: Intake::new(IntakeSettings::default()),
            });
        // A place that is still free after this fits none of those that wait.
        let (served, waiting) = self.serve(line);
        let now = self.clock.now();
        let held = line.intake.opens_at(now, claim.class, claim.objective);
        let assigned = match held {
            Some(until) => {
                if let Some(scheduled) = scheduled {
                    self.refuse_scheduled(&scheduled);
                }
                Err(Unavailable::Busy(Some(until.saturating_sub(now))))
            }
            None => self.assign_preferred(service, profile, tried, scheduled),
        };
        let (result, replaced) = match assigned {
            Ok((in_flight, rationale)) => {
                (Ok(Entered::Assigned(Box::new(in_flight), rationale)), None)
            }
            Err(Unavailable::Busy(opens_after)) => {
                let (reply, receiver) = oneshot::channel();
                let waiter = Waiter {
                    class: claim.class,
                    objective: claim.objective,
                    service: service.clone(),
                    profile: profile.clone(),
                    tried: tried.to_vec(),
                    reply,
                };
                let entry = Entry {
                    workspace: claim.workspace,
                    weight: 1,
                    class: claim.class,
                    cost: profile.tokens(),
                    deadline: claim.deadline,
                    item: waiter,
                };
                match line.queue.push(now, entry) {
                    Ok((key, replaced)) => {
                        self.metrics.waiting.inc();
                        let place = Place {
                            dispatcher: self.clone(),
                            service: service.name.clone(),
                            key,
                            reply: receiver,
                            opens_after: earlier(opens_after, waiting),
                        };
                        (Ok(Entered::Waiting(place)), replaced)
                    }
                    Err(shed) => (Err(overloaded(&shed.fault)), None),
                }
            }
            Err(unavailable) => (Err(unavailable), None),
        };
        drop(services);
        reply(served);
        if let Some(replaced) = replaced {
            self.metrics.waiting.dec();
            let refusal = Err(overloaded(&replaced.fault));
            reply(vec![(replaced.item, refusal)]);
        }
        result
    }

    /// Assigns the requests that wait for a service to upstreams, as far as they take any. Returns
    /// the time after which to look again, if upstreams open by themselves.
    pub(crate) fn serve_waiting(self: &Arc<Self>, service: &str) -> Option<Duration> {
        let queues = self.queues.as_ref()?;
        let mut services = lock(&queues.services);
        let line = services.get_mut(service)?;
        let (served, opens_after) = self.serve(line);
        drop(services);
        reply(served);
        opens_after
    }

    /// Records a load that an upstream of a service stated.
    pub(super) fn record_intake(self: &Arc<Self>, service: &str, load: &Load) {
        let now = self.clock.now();
        self.with_line(service, |line| {
            line.intake.record_load(now, load.running, load.waiting);
        });
        self.serve_waiting(service);
    }

    /// Records that a request has ended at an upstream of a service this time after it was sent, and
    /// gives its place to the next one.
    pub(super) fn pass_on(self: &Arc<Self>, service: &str, time: Duration) {
        self.with_line(service, |line| line.intake.record_end(time));
        self.serve_waiting(service);
    }

    fn with_line(&self, service: &str, act: impl FnOnce(&mut Line)) {
        if let Some(queues) = &self.queues
            && let Some(line) = lock(&queues.services).get_mut(service)
        {
            act(line);
        }
    }

    /// Takes the requests from a queue that an upstream can be assigned to, or that none will take.
    fn serve(
        self: &Arc<Self>,
        Line { queue, intake }: &mut Line,
    ) -> (Vec<Served>, Option<Duration>) {
        let mut served = Vec::new();
        let mut opens_after = None;
        let mut is_full = false;
        loop {
            let mut found = None;
            let now = self.clock.now();
            let key = queue.find(now, |waiter| {
                // What one request without earlier attempts cannot get, no other one can.
                if is_full && waiter.tried.is_empty() {
                    return false;
                }
                if let Some(until) = intake.opens_at(now, waiter.class, waiter.objective) {
                    opens_after = earlier(opens_after, Some(until.saturating_sub(now)));
                    return false;
                }
                match self.assign(&waiter.service, &waiter.profile, &waiter.tried) {
                    Err(Unavailable::Busy(after)) => {
                        is_full |= waiter.tried.is_empty();
                        opens_after = earlier(opens_after, after);
                        false
                    }
                    assigned => {
                        found = Some(assigned);
                        true
                    }
                }
            });
            let (Some(key), Some(assigned)) = (key, found) else {
                return (served, opens_after);
            };
            // Only places that were given away tell how fast the queue is served.
            let waiter = match assigned {
                Ok(_) => queue.take(now, key),
                Err(_) => queue.cancel(key),
            };
            self.metrics.waiting.dec();
            served.extend(waiter.map(|waiter| (waiter, assigned)));
        }
    }
}

type Served = (Waiter, Assigned);

fn earlier(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// Answers requests that wait. A place whose request is gone is dropped, which passes it on.
fn reply(served: Vec<Served>) {
    for (waiter, assigned) in served {
        drop(waiter.reply.send(assigned));
    }
}

fn overloaded(fault: &Fault) -> Unavailable {
    Unavailable::Overloaded(fault.answer().retry_after.unwrap_or_default())
}
