//! Workspaces.

use {
    super::{
        Admin,
        answer::{Refused, Result},
        change::{Accepted, Wanted},
        key::Operator,
        node::added,
        page::{Page, Range},
        ring::Role,
        write::Ticket,
    },
    marigoldroute_core::{
        config::{Change, Edit, Effective, Kind, Log, Setting, Tree, Value},
        fault::Kind as Error,
        id::Tokens,
    },
    poem_openapi::{
        Object, OpenApi,
        param::{Header, Query},
        payload::Json,
    },
    serde::Serialize,
    std::sync::Arc,
};

/// Operations on workspaces.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A workspace with its effective values.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Workspace")]
struct Shown {
    /// Path.
    path: String,
    /// Budget that pays.
    #[oai(skip_serializing_if_is_none)]
    budget: Option<String>,
    /// Number of API keys.
    keys: u32,
    /// Output token limit for requests that name none.
    #[oai(skip_serializing_if_is_none)]
    output_limit: Option<Tokens>,
    /// Priority class; 0 is served first.
    #[oai(skip_serializing_if_is_none)]
    priority: Option<u64>,
    /// Weight when capacity is short.
    #[oai(skip_serializing_if_is_none)]
    share: Option<u64>,
}

/// A workspace to be created. What is absent is inherited.
#[derive(Clone, Debug, Object, Serialize)]
#[oai(rename = "NewWorkspace")]
struct New {
    /// Path; the parent must exist.
    path: String,
    /// Budget that pays.
    budget: Option<String>,
    /// SHA-256 hashes of API keys in lower-case hexadecimal.
    #[oai(default)]
    key_hashes: Vec<String>,
    /// Output token limit for requests that name none.
    output_limit: Option<Tokens>,
    /// Priority class; 0 is served first.
    priority: Option<u64>,
    /// Weight when capacity is short.
    share: Option<u64>,
}

impl Shown {
    fn new(path: &str, tree: &Tree) -> Option<Self> {
        let effective = tree.effective(path)?;
        let keys = tree.get(path)?.settings.get(&Setting::ApiKeys);
        let number = |setting| number(&effective, setting);
        Some(Self {
            path: path.to_owned(),
            budget: effective
                .get(Setting::Budget)
                .and_then(Value::text)
                .map(ToString::to_string),
            keys: keys.map_or(0, |keys| keys.members().len() as u32),
            output_limit: number(Setting::OutputLimit),
            priority: number(Setting::Priority),
            share: number(Setting::Share),
        })
    }
}

fn number(effective: &Effective<'_>, setting: Setting) -> Option<u64> {
    effective.get(setting).and_then(Value::number)
}

impl New {
    fn change(&self) -> Change {
        let hashes = self.key_hashes.iter().map(|hash| hash.as_str().into());
        let hashes: Vec<Arc<str>> = hashes.collect();
        let budget = self.budget.as_ref().map(|name| name.as_str().into());
        let values = [
            (Setting::Budget, budget.map(Value::Text)),
            (
                Setting::ApiKeys,
                (!hashes.is_empty()).then_some(Value::Hashes(hashes)),
            ),
            (Setting::OutputLimit, self.output_limit.map(Value::Tokens)),
            (Setting::Priority, self.priority.map(Value::Class)),
            (Setting::Share, self.share.map(Value::Weight)),
        ];
        added(&self.path, Kind::Workspace, values)
    }
}

fn is_workspace(tree: &Tree, path: &str) -> bool {
    tree.get(path)
        .is_some_and(|node| node.kind == Kind::Workspace)
}

#[OpenApi]
impl Api {
    /// Lists the workspaces.
    #[oai(path = "/workspaces", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Last path of the page before.
        after: Query<Option<String>>,
        /// Most workspaces of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Shown>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let (_, tree) = self.0.control.tree().await;
        let paths = tree.nodes().map(|(path, _)| path);
        let workspaces = paths.filter(|path| is_workspace(&tree, path));
        let shown = workspaces.filter_map(|path| Some((path, Shown::new(path, &tree)?)));
        Ok(Json(range.cut(shown)))
    }

    /// Creates a workspace.
    #[oai(path = "/workspaces", method = "post")]
    async fn create(
        &self,
        operator: Operator,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<New>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let operation = "workspaces create";
        let ticket = Ticket::new(&operator, &request, operation, body.path.as_str(), &body.0)?;
        let change = body.change();
        let plan = move |_: &Log| Ok(Wanted::planned(change.clone(), None));
        self.0.change(&ticket, plan).await.map(Json)
    }

    /// Removes a workspace and those below it. Its budget stays.
    #[oai(path = "/workspaces", method = "delete")]
    async fn delete(
        &self,
        operator: Operator,
        /// Path of the workspace.
        path: Query<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
    ) -> Result<Json<Accepted>> {
        operator.0.require(Role::Operate)?;
        let operation = "workspaces delete";
        let ticket = Ticket::new(&operator, &request, operation, path.as_str(), &())?;
        let plan = move |log: &Log| {
            if !is_workspace(log.tree(), &path) {
                let message = format!("no workspace at {:?}", path.0);
                return Err(Refused::new(Error::NotFound, message));
            }
            let path = path.as_str().into();
            let change = Change {
                edits: vec![Edit::Remove { path }],
                force: false,
            };
            Ok(Wanted::planned(change, None))
        };
        self.0.change(&ticket, plan).await.map(Json)
    }
}
