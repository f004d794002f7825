//! Explains where a request would go now, without sending it.

use {
    super::{ASSUMED_HOSTS, Dispatcher, Inner, Rationale, in_flight_limit},
    crate::{profile::Profile, view::lock},
    marigoldroute_core::{
        admission::{Stage, Standing},
        forward::Service,
        id::{HostId, UpstreamId},
        route::Policy,
        schedule::Selection,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

/// Where a request for a service would go now.
pub(crate) struct Explanation {
    /// The upstreams of the service, by their ids.
    pub(crate) upstreams: Vec<(UpstreamId, Standing)>,
    /// Choice of this host; absent when none takes the request.
    pub(crate) choice: Option<(UpstreamId, Rationale)>,
    /// Host that chooses for all hosts, if the service has a scheduler.
    pub(crate) scheduler: Option<HostId>,
    /// Choice of this host as the scheduler; absent on other hosts.
    pub(crate) selection: Option<Selection>,
}

impl Dispatcher {
    /// Explains the choice for a request that no upstream has been tried for. Changes nothing: the
    /// choice takes neither a place nor a permit, and has its own source of random numbers. Another
    /// request may be sent elsewhere, as choices are random between upstreams of similar cost.
    pub(crate) fn explain(&self, service: &Service, profile: &Profile) -> Explanation {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let Inner {
            policy,
            upstreams,
            hosts,
            admission,
            schedule,
            ..
        } = &mut *inner;
        let limit = in_flight_limit(service, hosts.unwrap_or(ASSUMED_HOSTS));
        let standing = |id: &UpstreamId| admission.standing(now, id, Stage::Choose { limit });
        let allows = |id: &UpstreamId| !matches!(standing(id), Standing::Barred(_));
        let request = profile.request(&service.name, &allows);
        let mut random = SmallRng::from_os_rng();
        let choice = policy.choose(now, &mut random, &request);
        let choice = choice.map(|choice| {
            let rationale = Rationale {
                known: choice.known,
                considered: choice.considered,
                reason: choice.reason,
            };
            (choice.upstream, rationale)
        });
        let of_service = upstreams
            .iter()
            .filter(|(_, upstream)| upstream.service == service.name);
        let mut upstreams: Vec<_> = of_service
            .map(|(id, _)| (id.clone(), standing(id)))
            .collect();
        upstreams.sort_by(|(one, _), (other, _)| one.cmp(other));
        let engines = upstreams.len();
        let scheduler = schedule.as_mut().filter(|_| service.engine.is_some());
        let scheduler = scheduler.and_then(|schedule| schedule.scheduler_of(now, service, engines));
        let is_own = scheduler.as_ref() == Some(&self.instance);
        let selection = schedule.as_mut().filter(|_| is_own);
        let selection = selection.and_then(|schedule| schedule.preview(now, &mut random, &request));
        Explanation {
            upstreams,
            choice,
            scheduler,
            selection,
        }
    }
}
