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
    marigoldroute_core::{
        config::Log,
        fault::Kind,
        id::{HostId, Version},
    },
    poem_openapi::{
        Object, OpenApi,
        param::{Header, Path, Query},
        payload::Json,
    },
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc},
};

/// Operations on hosts.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A host.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Host")]
struct Shown {
    /// Name.
    host: String,
    /// Region.
    region: String,
    /// Availability zone.
    zone: String,
    /// Address of the internal protocol.
    address: String,
    /// Start of its process.
    incarnation: String,
    /// `joining`, `ready`, `draining` or `gone`.
    phase: String,
    /// Whether it answers.
    alive: bool,
    /// Version of the configuration in effect, as last heard.
    version: Version,
    /// Whether that is the newest version that this host knows.
    current: bool,
}

/// A host with the journals of its processes.
#[derive(Clone, Debug, Object)]
#[oai(rename = "HostStatus")]
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
    async fn hosts(&self) -> Result<BTreeMap<HostId, Shown>> {
        let known = self.0.read(Log::newest_known).await?;
        let members = self.0.control.members().await;
        let shown = members.into_iter().map(|member| {
            let host = &member.host;
            let shown = Shown {
                host: host.id.to_string(),
                region: host.region.to_string(),
                zone: host.zone.to_string(),
                address: host.address.to_string(),
                incarnation: format!("{:016x}", host.incarnation),
                phase: format!("{:?}", member.phase).to_lowercase(),
                alive: member.is_alive,
                version: member.applied,
                current: member.applied >= known,
            };
            (host.id.clone(), shown)
        });
        Ok(shown.collect())
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
        Ok(Json(range.cut(self.hosts().await?)))
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
        let listed = self.hosts().await?.remove(host.as_str());
        let tails = lost::tails(&self.0, &host, None).await?;
        if listed.is_none() && tails.is_empty() {
            let message = format!("no host {} and no journal of it", host.0);
            return Err(Refused::new(Kind::NotFound, message));
        }
        Ok(Json(Status {
            host: listed,
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
