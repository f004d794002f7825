//! Dry run of a withdrawal or restoration.

use {
    super::{Hit, Selector},
    crate::{
        config::{Catalog, Change, Edit, Rejection, RunningPolicy, Setting, Tree, Value, parent},
        id::{ModelId, Version, Zone},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What is to be done with a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Gives the batch no new work; states what happens to its running work.
    Withdraw(RunningPolicy),
    /// Gives the batch new work again.
    Restore,
}

/// Number of upstreams in service for a model or service in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// Name of the model or service.
    pub serves: ModelId,
    /// Availability zone of the upstreams.
    pub zone: Zone,
    /// Upstreams in service before the change.
    pub before: usize,
    /// Upstreams in service after the change.
    pub after: usize,
}

/// Effect of a withdrawal or restoration that has not been carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// Configuration version on which the plan is based. The change must be proposed with this
    /// base.
    pub base: Version,
    /// Selected upstreams, and the selected models of each.
    pub hits: Vec<Hit>,
    /// Capacity, in each availability zone, of each model and service whose capacity changes.
    pub capacity: Vec<Capacity>,
    /// Models and services that lose their last upstream in service.
    pub emptied: Vec<ModelId>,
    /// Change of the settings tree; without edits when the batch is already in the wanted state.
    pub change: Change,
}

impl Plan {
    /// Plans an action on the batch that `selector` selects in the tree of version `base`.
    pub fn new(base: Version, tree: &Tree, selector: &Selector, action: Action) -> Self {
        let hits = selector.select(tree);
        let edits = hits.iter().flat_map(|hit| edits(tree, hit, action));
        let change = Change {
            edits: edits.collect(),
            force: false,
        };
        let mut changed = tree.clone();
        change.apply(&mut changed);
        let (before, after) = (
            count_in_service(base, tree),
            count_in_service(base, &changed),
        );
        let capacity = compare_capacity(&before, &after);
        let emptied = emptied_models(&before, &after);
        Self {
            base,
            hits,
            capacity,
            emptied,
            change,
        }
    }

    /// Lets the change take the last upstream of a model or service out of service.
    pub fn with_force(mut self) -> Self {
        self.change.force = true;
        self
    }

    /// Validates the change against a tree, and returns the changed tree.
    ///
    /// # Errors
    /// Returns every mistake. Without force, each model or service that would be left without an
    /// upstream in service is one.
    pub fn validate(&self, tree: &Tree) -> Result<Tree, Rejection> {
        self.change.validate(tree)
    }
}

/// Number of upstreams in service by model or service and availability zone.
type Counts = BTreeMap<(ModelId, Zone), usize>;

fn count_in_service(version: Version, tree: &Tree) -> Counts {
    let catalog = Catalog::compile(version, tree);
    let mut counts = Counts::new();
    for upstream in catalog.upstreams.values().filter(|u| u.is_in_service()) {
        for serves in &upstream.serves {
            let key = (serves.clone(), upstream.zone.clone());
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

/// Returns the capacity of each model and service whose capacity changes, in all its availability
/// zones.
fn compare_capacity(before: &Counts, after: &Counts) -> Vec<Capacity> {
    let number = |counts: &Counts, key| counts.get(key).copied().unwrap_or_default();
    let mut keys: Vec<_> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    let touched: Vec<_> = keys
        .iter()
        .filter(|key| number(before, key) != number(after, key))
        .map(|(serves, _)| serves)
        .collect();
    let lines = keys.iter().filter(|(serves, _)| touched.contains(&serves));
    lines
        .map(|key| Capacity {
            serves: key.0.clone(),
            zone: key.1.clone(),
            before: number(before, key),
            after: number(after, key),
        })
        .collect()
}

fn emptied_models(before: &Counts, after: &Counts) -> Vec<ModelId> {
    let mut names: Vec<_> = before.keys().map(|(serves, _)| serves.clone()).collect();
    names.dedup();
    names.retain(|name| !after.keys().any(|(serves, _)| serves == name));
    names
}

/// Returns the edits by which an upstream, or some of its models, reach the state after an action.
fn edits(tree: &Tree, hit: &Hit, action: Action) -> Vec<Edit> {
    let own = |setting| tree.get(&hit.path).and_then(|n| n.settings.get(&setting));
    let inherited = |setting| {
        let effective = parent(&hit.path).and_then(|parent| tree.effective(parent));
        effective.and_then(|effective| effective.get(setting))
    };
    let edit = |setting, wanted: Option<Value>| {
        edit_setting(hit, setting, own(setting), inherited(setting), wanted)
    };
    let (state, withdrawn) = match (&hit.serves, action) {
        (None, Action::Withdraw(_)) => (Some("withdrawn"), None),
        (None, Action::Restore) => (Some("in_service"), None),
        (Some(models), action) => {
            let current = own(Setting::Withdrawn).or_else(|| inherited(Setting::Withdrawn));
            (None, Some(withdrawn_models(current, models, action)))
        }
    };
    let state = state.map(|state| edit(Setting::State, Some(text(state))));
    let withdrawn = withdrawn.map(|names| edit(Setting::Withdrawn, Some(Value::Names(names))));
    let running = edit(Setting::Running, running_work(action));
    let all = [state.flatten(), withdrawn.flatten(), running];
    all.into_iter().flatten().collect()
}

fn text(text: &str) -> Value {
    Value::Text(text.into())
}

/// Returns the value of the setting for running work, or `None` to inherit it.
fn running_work(action: Action) -> Option<Value> {
    match action {
        Action::Withdraw(RunningPolicy::Finish) => Some(text("finish")),
        Action::Withdraw(RunningPolicy::Move) => Some(text("move")),
        Action::Restore => None,
    }
}

/// Returns the withdrawn models after an action. Models that stay withdrawn keep their order, so
/// that a batch that is already withdrawn needs no edit.
fn withdrawn_models(current: Option<&Value>, models: &[ModelId], action: Action) -> Vec<Arc<str>> {
    let mut names = current.map_or(&[][..], Value::members).to_vec();
    match action {
        Action::Withdraw(_) => {
            let added = models.iter().filter(|model| !names.contains(model));
            let added: Vec<_> = added.cloned().collect();
            names.extend(added);
        }
        Action::Restore => names.retain(|name| !models.contains(name)),
    }
    names
}

/// Returns the edit by which a setting gets the `wanted` value, or inherits the parent's value when
/// `wanted` is absent; `None` when no edit is needed. An override that equals the inherited value
/// is removed, so that a withdrawal and its restoration leave the tree unchanged.
fn edit_setting(
    hit: &Hit,
    setting: Setting,
    own: Option<&Value>,
    inherited: Option<&Value>,
    wanted: Option<Value>,
) -> Option<Edit> {
    let path = hit.path.clone();
    let setting_name: Arc<str> = setting.to_string().into();
    let inherited = inherited.cloned().or_else(|| default_value(setting));
    let Some(value) = wanted.filter(|wanted| inherited.as_ref() != Some(wanted)) else {
        return own.map(|_| Edit::Unset {
            path,
            setting: setting_name,
        });
    };
    (own != Some(&value)).then_some(Edit::Set {
        path,
        setting: setting_name,
        value,
    })
}

/// Returns the value of a setting that no node sets.
fn default_value(setting: Setting) -> Option<Value> {
    match setting {
        Setting::State => Some(text("in_service")),
        Setting::Withdrawn => Some(Value::Names(Vec::new())),
        Setting::Running => Some(text("finish")),
        _ => None,
    }
}
