//! Hosts and engines of a simulated fleet.

use marigoldroute_core::{
    id::UpstreamId,
    route::{Candidate, Origin},
};

/// Model that all engines serve.
pub const MODEL: &str = "drafting";
/// Availability zones that hosts and engines are spread over.
const ZONES: usize = 4;

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// Returns the host of a router.
pub fn origin(router: usize) -> Origin {
    Origin {
        host: format!("host-{router}").into(),
        region: "region".into(),
        zone: zone(router).into(),
    }
}

/// Returns an engine as a candidate.
pub fn candidate(id: &UpstreamId, engine: usize) -> Candidate {
    Candidate {
        id: id.clone(),
        serves: vec![MODEL.into()],
        region: "region".into(),
        zone: zone(engine).into(),
    }
}
