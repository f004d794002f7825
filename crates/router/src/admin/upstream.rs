//! Upstreams.

use {
    super::{
        Admin,
        answer::Result,
        change::{Accepted, Wanted},
        key::Operator,
        node::added,
        page::{Page, Range},
        ring::Role,
        settings::Json as Any,
        write::Ticket,
    },
    marigoldroute_core::{
        config::{Change, Kind, Log, Setting, State, Value, name},
        id::UpstreamId,
    },
    poem_openapi::{
        Object, OpenApi,
        param::{Header, Query},
        payload::Json,
    },
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc},
};

/// Operations on upstreams.
pub(super) struct Api(pub(super) Arc<Admin>);

/// An upstream with its effective values.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Upstream")]
struct Shown {
    /// Name.
    upstream: String,
    /// Path of its node.
    path: String,
    /// Base URL.
    url: String,
    /// Models or services for which it takes new work.
    serves: Vec<String>,
    /// Models or services for which it takes no new work.
    withdrawn: Vec<String>,
    /// Whether it takes new work at all.
    in_service: bool,
    /// Region.
    region: String,
    /// Availability zone.
    zone: String,
    /// Labels.
    labels: Any,
    /// Version served, by model.
    versions: Any,
}

/// An upstream to be put into service. What is absent is inherited.
#[derive(Clone, Debug, Object, Serialize)]
#[oai(rename = "NewUpstream")]
struct New {
    /// Path, below the model or service that it serves.
    path: String,
    /// Base URL.
    url: String,
    /// Region.
    region: Option<String>,
    /// Availability zone.
    zone: Option<String>,
    /// Labels.
    #[oai(default)]
    labels: BTreeMap<String, String>,
    /// Version served, by model.
    #[oai(default)]
    versions: BTreeMap<String, String>,
}

impl New {
    fn change(&self) -> Change {
        let text = |text: &String| Value::Text(text.as_str().into());
        let pairs = |pairs: &BTreeMap<String, String>| {
            let pair = |(name, value): (&String, &String)| {
                let pair: (Arc<str>, Arc<str>) = (name.as_str().into(), value.as_str().into());
                pair
            };
            let pairs: BTreeMap<_, _> = pairs.iter().map(pair).collect();
            (!pairs.is_empty()).then_some(Value::Labels(pairs))
        };
        let values = [
            (Setting::Url, Some(text(&self.url))),
            (Setting::Region, self.region.as_ref().map(text)),
            (Setting::Zone, self.zone.as_ref().map(text)),
            (Setting::Labels, pairs(&self.labels)),
            (Setting::Versions, pairs(&self.versions)),
        ];
        added(&self.path, Kind::Upstream, values)
    }
}

fn shown(log: &Log) -> BTreeMap<UpstreamId, Shown> {
    let (tree, catalog) = (log.tree(), log.catalog());
    let upstreams = tree
        .nodes()
        .filter(|(_, node)| node.kind == Kind::Upstream)
        .filter_map(|(path, _)| {
            let id = name(path);
            let (id, upstream) = catalog.upstreams.get_key_value(id)?;
            let hosting = catalog.hosting.get(id);
            let withdrawn = hosting.map(|hosting| hosting.withdrawn.clone());
            let versions = hosting.map(|hosting| &hosting.versions);
            let shown = Shown {
                upstream: id.to_string(),
                path: path.to_string(),
                url: upstream.url.to_string(),
                serves: upstream.serves.iter().map(ToString::to_string).collect(),
                withdrawn: withdrawn
                    .iter()
                    .flatten()
                    .map(ToString::to_string)
                    .collect(),
                in_service: upstream.state == State::InService,
                region: upstream.region.to_string(),
                zone: upstream.zone.to_string(),
                labels: poem_openapi::types::Any(json(&upstream.labels)),
                versions: poem_openapi::types::Any(json(&versions)),
            };
            Some((id.clone(), shown))
        });
    upstreams.collect()
}

fn json(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

#[OpenApi]
impl Api {
    /// Lists the upstreams.
    #[oai(path = "/upstreams", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Last upstream of the page before.
        after: Query<Option<String>>,
        /// Most upstreams of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Shown>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        Ok(Json(range.cut(self.0.read(shown).await?)))
    }

    /// Adds an upstream, which takes work at once.
    #[oai(path = "/upstreams", method = "post")]
    async fn create(
        &self,
        operator: Operator,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<New>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let operation = "upstreams create";
        let ticket = Ticket::new(&operator, &request, operation, body.path.as_str(), &body.0)?;
        let change = body.change();
        let plan = move |_: &Log| Ok(Wanted::planned(change.clone(), None));
        self.0.change(&ticket, plan).await.map(Json)
    }
}
