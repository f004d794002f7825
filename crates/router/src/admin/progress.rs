//! On which hosts a version of the configuration is in effect.

use {
    super::{Admin, answer::Result, key::Operator, ring::Role},
    marigoldroute_core::{
        config::Log,
        fleet::Progress,
        id::{HostId, Version},
    },
    poem_openapi::{Object, OpenApi, param::Query, payload::Json},
    std::sync::Arc,
};

/// Operations on the progress of versions.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A host with the version in effect on it.
#[derive(Clone, Debug, Object)]
#[oai(rename = "HostVersion")]
struct Place {
    /// Host.
    host: String,
    /// Version in effect, as far as this host knows.
    version: Version,
}

/// On which hosts a version is in effect.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Progress")]
struct Shown {
    /// Version.
    version: Version,
    /// Whether it is in effect on every host that is heard of or listed.
    everywhere: bool,
    /// Hosts with this version or a newer one.
    applied: Vec<String>,
    /// Hosts with an older version.
    behind: Vec<Place>,
    /// Hosts that are listed and do not answer, with the version that they were last seen with.
    unreachable: Vec<Place>,
}

fn is_placed(progress: &Progress, host: &HostId) -> bool {
    let others = progress.behind.iter().chain(&progress.unreachable);
    progress.applied.contains(host) || others.into_iter().any(|(other, _)| other == host)
}

#[OpenApi]
impl Api {
    /// Shows on which hosts a version is in effect.
    #[oai(path = "/progress", method = "get")]
    async fn show(
        &self,
        operator: Operator,
        /// Version; the newest one that this host knows when absent.
        version: Query<Option<Version>>,
    ) -> Result<Json<Shown>> {
        operator.0.require(Role::Read)?;
        let known = self.0.read(Log::known).await?;
        let wanted = version.0.unwrap_or(known);
        let mut progress = self.0.control.progress(wanted).await;
        for host in self.0.listed().await.iter() {
            if !is_placed(&progress, host) {
                progress.unreachable.push((host.clone(), 0));
            }
        }
        let places = |hosts: Vec<(HostId, Version)>| {
            let place = |(host, version): (HostId, Version)| Place {
                host: host.to_string(),
                version,
            };
            hosts.into_iter().map(place).collect()
        };
        Ok(Json(Shown {
            version: progress.version,
            everywhere: progress.behind.is_empty() && progress.unreachable.is_empty(),
            applied: progress.applied.iter().map(ToString::to_string).collect(),
            behind: places(progress.behind),
            unreachable: places(progress.unreachable),
        }))
    }
}
