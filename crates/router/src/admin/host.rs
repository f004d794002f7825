//! Hosts.

use {
    super::{
        Admin,
        answer::{Refused, Result},
        key::Operator,
        lost::{self, Statement},
        page::{Page, Range},
        ring::Role,
        write::{Ticket, execute},
    },
    crate::directory::Host,
    marigoldroute_core::{fault::Kind, id::Version},
    poem_openapi::{
        Object, OpenApi,
        param::{Header, Path, Query},
        payload::Json,
    },
    serde::Serialize,
    std::sync::Arc,
};

/// Operations on hosts.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A listed host.
#[derive(Clone, Debug, Object)]
struct Shown {
    /// Name.
    host: String,
    /// Region.
    region: String,
    /// Availability zone.
    zone: String,
    /// Address of the internal protocol.
    peers: String,
    /// Start of its process.
    incarnation: String,
    /// Version of the configuration in effect.
    version: Version,
    /// Whether it has the newest version that this host knows.
    current: bool,
}

/// A host with the journals of its processes.
#[derive(Clone, Debug, Object)]
struct Status {
    /// Host, as far as it is listed.
    #[oai(skip_serializing_if_is_none)]
    host: Option<Shown>,
    /// Journals of its processes.
    journals: Vec<lost::Journal>,
}

/// Which processes of a host are lost.
#[derive(Clone, Debug, Default, Object, Serialize)]
#[oai(default)]
struct Loss {
    /// Start of the lost process; every process of the host when absent.
    incarnation: Option<String>,
}

impl Api {
    fn shown(&self, name: &str, host: &Host) -> Shown {
        let (own, known) = (self.0.version(), self.0.config.read(|log| log.known()));
        let is_own = *name == *self.0.host;
        let version = if is_own { own } else { host.version };
        Shown {
            host: name.to_owned(),
            region: host.region.to_string(),
            zone: host.zone.to_string(),
            peers: host.peers.to_string(),
            incarnation: host.incarnation.to_string(),
            version,
            current: version >= known,
        }
    }
}

#[OpenApi]
impl Api {
    /// Lists the hosts.
    #[oai(path = "/hosts", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Last host of the page before.
        after: Query<Option<String>>,
        /// Most hosts of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Shown>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let hosts = self.0.hosts.borrow().clone();
        let shown = hosts
            .iter()
            .map(|(name, host)| (name, self.shown(name, host)));
        Ok(Json(range.cut(shown)))
    }

    /// Returns a host and the journals of its processes.
    #[oai(path = "/hosts/:host", method = "get")]
    async fn show(
        &self,
        operator: Operator,
        /// Name of the host.
        host: Path<String>,
    ) -> Result<Json<Status>> {
        operator.0.require(Role::Read)?;
        let hosts = self.0.hosts.borrow().clone();
        let listed = hosts.get(host.as_str());
        let tails = lost::tails(&self.0, &host, None).await?;
        if listed.is_none() && tails.is_empty() {
            let message = format!("no host {} and no journal of it", host.0);
            return Err(Refused::new(Kind::NotFound, message));
        }
        Ok(Json(Status {
            host: listed.map(|listed| self.shown(&host, listed)),
            journals: tails.iter().filter_map(lost::Journal::new).collect(),
        }))
    }

    /// States that a host is permanently lost. The tokens that its processes have not billed
    /// return to their budgets.
    #[oai(path = "/hosts/:host/lost", method = "post")]
    async fn lost(
        &self,
        operator: Operator,
        /// Name of the host.
        host: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<Loss>,
    ) -> Result<Json<lost::Released>> {
        operator.0.require(Role::Money)?;
        if *host.0 == *self.0.host {
            let message = "this host answers; ask another one";
            return Err(Refused::new(Kind::Conflict, message));
        }
        let ticket = Ticket::new(&operator, &request, "hosts lost", host.as_str(), &body.0)?;
        let statement = Statement {
            host: host.0,
            incarnation: body.0.incarnation,
            operator: ticket.operator.clone(),
        };
        execute(&self.0, &ticket, &statement).await.map(Json)
    }
}
