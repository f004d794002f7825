//! On which hosts a version of the configuration is in effect.

use {
    super::{Admin, answer::Result, key::Operator, ring::Role},
    marigoldroute_core::{config::Log, id::Version},
    poem_openapi::{Object, OpenApi, param::Query, payload::Json},
    std::sync::Arc,
};

/// Operations on the progress of versions.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A host with the version in effect on it.
#[derive(Clone, Debug, Object)]
struct At {
    /// Host.
    host: String,
    /// Version in effect, as far as this host knows.
    version: Version,
}

/// On which hosts a version is in effect.
#[derive(Clone, Debug, Object)]
struct Shown {
    /// Version.
    version: Version,
    /// Whether it is in effect on every listed host.
    everywhere: bool,
    /// Hosts with this version or a newer one.
    applied: Vec<String>,
    /// Hosts with an older version.
    behind: Vec<At>,
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
        let (current, known) = self.0.config.read(|log| (log.version(), log.known()));
        let wanted = version.0.unwrap_or(known);
        let hosts = self.0.hosts.borrow().clone();
        let (mut applied, mut behind) = (Vec::new(), Vec::new());
        for (name, host) in hosts.iter() {
            let is_own = *name == self.0.host;
            let version = if is_own { current } else { host.version };
            let host = name.to_string();
            if version >= wanted {
                applied.push(host);
            } else {
                behind.push(At { host, version });
            }
        }
        Ok(Json(Shown {
            version: wanted,
            everywhere: behind.is_empty(),
            applied,
            behind,
        }))
    }
}

impl Admin {
    /// Returns the version in effect on this host.
    pub(super) fn version(&self) -> Version {
        self.config.read(Log::version)
    }
}
