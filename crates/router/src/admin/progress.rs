//! On which hosts a version of the configuration is in effect, and what still runs on withdrawn
//! upstreams.

use {
    super::{Admin, answer::Result, key::Operator, ring::Role},
    marigoldroute_core::{
        config::Log,
        fleet::Progress,
        id::{HostId, Version},
        withdraw,
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

/// Requests of a host that run on withdrawn upstreams.
#[derive(Clone, Debug, Object)]
#[oai(rename = "HostRunning")]
struct Running {
    /// Host.
    host: String,
    /// Requests; absent while the host has not answered.
    #[oai(skip_serializing_if_is_none)]
    requests: Option<u64>,
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
    /// Requests that run on upstreams which take no new work of their kind, for each host with
    /// this version.
    running: Vec<Running>,
    /// Whether the version is in effect on every host that can be reached and each of them has
    /// answered that nothing runs there any more.
    idle: bool,
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
        let known = self.0.read(Log::newest_known).await?;
        let wanted = version.0.unwrap_or(known);
        let mut progress = self.0.control.progress(wanted).await;
        for host in self.0.listed().await.iter() {
            if !is_placed(&progress, host) {
                progress.unreachable.push((host.clone(), 0));
            }
        }
        let running = self.0.running(&progress.applied, wanted).await;
        let progress = withdraw::Progress {
            hosts: progress,
            running,
        };
        Ok(Json(progress.into()))
    }
}

impl From<withdraw::Progress> for Shown {
    fn from(progress: withdraw::Progress) -> Self {
        let idle = progress.is_done();
        let withdraw::Progress { hosts, running } = progress;
        let places = |hosts: Vec<(HostId, Version)>| {
            let place = |(host, version): (HostId, Version)| Place {
                host: host.to_string(),
                version,
            };
            hosts.into_iter().map(place).collect()
        };
        let counted = hosts.applied.iter().map(|host| Running {
            host: host.to_string(),
            requests: running.get(host).copied(),
        });
        Self {
            version: hosts.version,
            everywhere: hosts.behind.is_empty() && hosts.unreachable.is_empty(),
            running: counted.collect(),
            idle,
            applied: hosts.applied.iter().map(ToString::to_string).collect(),
            behind: places(hosts.behind),
            unreachable: places(hosts.unreachable),
        }
    }
}
