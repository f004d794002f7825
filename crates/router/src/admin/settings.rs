//! The settings tree.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        change::{Accepted, Wanted},
        diff::Line,
        key::Operator,
        page::{Page, Range},
        ring::Role,
        write::Ticket,
    },
    marigoldroute_core::{
        config::{Change, Edit, Log, Node, Rebase, Value},
        fault::Kind,
        id::Version,
    },
    poem_openapi::{
        Enum, Object, OpenApi,
        param::{Header, Query},
        payload::Json as Body,
        types::Any,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A JSON value whose form depends on the setting.
pub(super) type Json = Any<serde_json::Value>;

/// Operations on the settings tree.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A node with its overrides.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Node")]
pub(super) struct Place {
    /// Path; empty for the root.
    path: String,
    /// Kind.
    kind: String,
    /// Overrides by setting, each written as `{"<unit>": <value>}`.
    settings: Json,
}

/// A part of the tree.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Tree")]
struct Listing {
    /// Version that is shown; pass it as `base` of a change.
    version: Version,
    /// Nodes.
    nodes: Page<Place>,
}

/// The effective values of a node.
#[derive(Clone, Debug, Object)]
#[oai(rename = "EffectiveNode")]
struct Explained {
    /// Version that is shown.
    version: Version,
    /// Path.
    path: String,
    /// Kind.
    kind: String,
    /// Values, in the order of the list of settings.
    values: Vec<Origin>,
}

/// An effective value and where it comes from.
#[derive(Clone, Debug, Object)]
#[oai(rename = "EffectiveValue")]
struct Origin {
    /// Setting.
    setting: String,
    /// Value.
    value: Json,
    /// Node that sets it.
    origin: String,
    /// The value that would be inherited, when the node overrides one.
    #[oai(skip_serializing_if_is_none)]
    overrides: Option<Json>,
}

/// What happens when others made versions since `base`.
#[derive(Clone, Copy, Debug, Default, Enum, PartialEq, Eq, Serialize, Deserialize)]
#[oai(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
enum OnRace {
    /// The change is refused.
    #[default]
    Refuse,
    /// The change is made if the others touched other parts of the tree.
    Disjoint,
}

/// A change of the tree.
#[derive(Clone, Debug, Object, Serialize)]
#[oai(rename = "Change")]
struct Request {
    /// Version that the operator saw.
    base: Version,
    /// Edits in order: `{"add": {"path", "kind"}}`, `{"remove": {"path"}}`,
    /// `{"set": {"path", "setting", "value"}}` or `{"unset": {"path", "setting"}}`.
    edits: Vec<Json>,
    /// Accepts that a model or service is left without an upstream in service.
    #[oai(default)]
    force: bool,
    /// What happens when others made versions since `base`.
    #[oai(default)]
    on_race: OnRace,
}

/// What a change would do.
#[derive(Clone, Debug, Object)]
struct Preview {
    /// Version that the change was tried on.
    version: Version,
    /// Values that it would change.
    differences: Vec<Line>,
}

/// Returns the JSON form of a value.
pub(super) fn json(value: &Value) -> Json {
    Any(serde_json::to_value(value).unwrap_or_default())
}

impl Place {
    fn new(path: &str, node: &Node) -> Self {
        Self {
            path: path.to_owned(),
            kind: node.kind.to_string(),
            settings: Any(serde_json::to_value(&node.settings).unwrap_or_default()),
        }
    }
}

impl Request {
    /// Returns the change, or every mistake in it. Edits that cannot be read are left out of the
    /// validation, so that a mistake in one of them does not hide those in the others.
    fn wanted(&self, log: &Log) -> Result<Wanted> {
        let mut mistakes = Vec::new();
        let mut edits = Vec::new();
        for (number, edit) in self.edits.iter().enumerate() {
            match Edit::deserialize(&edit.0) {
                Ok(edit) => edits.push(edit),
                Err(error) => {
                    let place = format!("edits[{number}]");
                    mistakes.push(Mistake::new(place, error.to_string()));
                }
            }
        }
        let change = Change {
            edits,
            force: self.force,
        };
        if !mistakes.is_empty() {
            let rejected = change.validate(log.tree()).err().map(Refused::from);
            mistakes.extend(rejected.into_iter().flat_map(|refused| refused.mistakes));
            return Err(Refused::mistakes(mistakes));
        }
        Ok(Wanted {
            change,
            base: Some(self.base),
            rebase: match self.on_race {
                OnRace::Refuse => Rebase::Never,
                OnRace::Disjoint => Rebase::Disjoint,
            },
        })
    }
}

/// Sets or removes one override.
#[derive(Clone, Debug, Object, Serialize)]
#[oai(rename = "SingleChange")]
struct Single {
    /// Version that the operator saw.
    base: Version,
    /// Path of the node; empty for the root.
    path: String,
    /// Name of the setting.
    setting: String,
    /// Value as `{"<unit>": <value>}`; the override is removed when it is absent.
    #[oai(skip_serializing_if_is_none)]
    value: Option<Json>,
}

impl Single {
    fn request(&self) -> Request {
        let place = serde_json::json!({"path": self.path, "setting": self.setting});
        let edit = match &self.value {
            Some(Any(value)) => {
                let mut place = place;
                place["value"] = value.clone();
                serde_json::json!({"set": place})
            }
            None => serde_json::json!({"unset": place}),
        };
        Request {
            base: self.base,
            edits: vec![Any(edit)],
            force: false,
            on_race: OnRace::Refuse,
        }
    }
}

fn unknown(path: &str) -> Refused {
    Refused::new(Kind::NotFound, format!("no node at {path:?}"))
}

#[OpenApi]
impl Api {
    /// Lists the nodes of the tree with their overrides.
    #[oai(path = "/settings", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Only nodes at or below this path.
        under: Query<Option<String>>,
        /// Last path of the page before.
        after: Query<Option<String>>,
        /// Most nodes of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Body<Listing>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let under = under.0.unwrap_or_default();
        let (version, tree) = self.0.control.tree().await;
        tree.get(&under).ok_or_else(|| unknown(&under))?;
        let mut paths = vec![under.as_str().into()];
        paths.extend(tree.descendants(&under));
        let nodes = paths
            .iter()
            .filter_map(|path| Some((path, tree.get(path)?)));
        let places = nodes.map(|(path, node)| (path, Place::new(path, node)));
        let nodes = range.cut(places);
        Ok(Body(Listing { version, nodes }))
    }

    /// Returns the effective values of a node and the nodes that set them.
    #[oai(path = "/settings/explain", method = "get")]
    async fn explain(
        &self,
        operator: Operator,
        /// Path of the node; empty for the root.
        path: Query<String>,
    ) -> Result<Body<Explained>> {
        operator.0.require(Role::Read)?;
        let (version, tree) = self.0.control.tree().await;
        let node = tree.get(&path).ok_or_else(|| unknown(&path))?;
        let lines = tree.explain(&path).unwrap_or_default();
        let values = lines.into_iter().map(|line| Origin {
            setting: line.setting.to_string(),
            value: json(&line.value),
            origin: line.origin.to_string(),
            overrides: line.overrides.as_ref().map(json),
        });
        Ok(Body(Explained {
            version,
            path: path.0.clone(),
            kind: node.kind.to_string(),
            values: values.collect(),
        }))
    }

    /// Sets or removes one override.
    #[oai(path = "/settings/value", method = "post")]
    async fn set(
        &self,
        operator: Operator,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Body<Single>,
    ) -> Result<Body<Accepted>> {
        operator.0.require(Role::Operate)?;
        let operation = match body.value {
            Some(_) => "settings set",
            None => "settings unset",
        };
        let target = format!("{}:{}", body.path, body.setting);
        let ticket = Ticket::new(&operator, &request, operation, target, &body.0)?;
        let change = body.request();
        let plan = move |log: &Log| change.wanted(log);
        let accepted = self.0.change(&ticket, plan).await?;
        Ok(Body(accepted))
    }

    /// Makes many edits, all of them or none.
    #[oai(path = "/settings/apply", method = "post")]
    async fn apply(
        &self,
        operator: Operator,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Body<Request>,
    ) -> Result<Body<Accepted>> {
        operator.0.require(Role::Operate)?;
        let target = format!("{} edits", body.edits.len());
        let ticket = Ticket::new(&operator, &request, "settings apply", target, &body.0)?;
        let plan = move |log: &Log| body.wanted(log);
        let accepted = self.0.change(&ticket, plan).await?;
        Ok(Body(accepted))
    }

    /// Shows what many edits would change, without effect.
    #[oai(path = "/settings/preview", method = "post")]
    async fn preview(&self, operator: Operator, body: Body<Request>) -> Result<Body<Preview>> {
        operator.0.require(Role::Read)?;
        let preview = move |log: &Log| {
            let wanted = body.wanted(log)?;
            let later = wanted.change.validate(log.tree())?;
            let differences = log.tree().diff(&later);
            Ok(Preview {
                version: log.version(),
                differences: differences.into_iter().map(Line::from).collect(),
            })
        };
        self.0.read(preview).await?.map(Body)
    }
}
