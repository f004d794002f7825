//! The dry run of a withdrawal or restoration.

use {
    super::{Hit, Selector},
    crate::{
        config::{Catalog, Change, Edit, Rejection, Running, Setting, Tree, Value, parent},
        id::{ModelId, Version, Zone},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What is done with a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// It gets no new work; running work is treated as given.
    Withdraw(Running),
    /// It gets new work again.
    Restore,
}

/// Upstreams in service for a model or service in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// Model or service.
    pub serves: ModelId,
    /// Availability zone.
    pub zone: Zone,
    /// Number before.
    pub before: usize,
    /// Number after.
    pub after: usize,
}

/// What a withdrawal or restoration would do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// Version that the plan is made on; the change is to be proposed with it as its base.
    pub base: Version,
    /// What is hit.
    pub hits: Vec<Hit>,
    /// Capacity of each model and service that is hit, in each availability zone.
    pub capacity: Vec<Capacity>,
    /// Models and services without any upstream in service afterwards.
    pub emptied: Vec<ModelId>,
    /// The change; without edits when the batch is in the wanted state already.
    pub change: Change,
}

impl Plan {
    /// Plans an action on a batch.
    pub fn new(base: Version, tree: &Tree, selector: &Selector, action: Action) -> Self {
        let hits = selector.select(tree);
        let edits = hits.iter().flat_map(|hit| edits(tree, hit, action));
        let change = Change {
            edits: edits.collect(),
            force: false,
        };
        let mut later = tree.clone();
        change.apply(&mut later);
        let (before, after) = (count(base, tree), count(base, &later));
        let capacity = compare(&before, &after);
        let emptied = emptied(&before, &after);
        Self {
            base,
            hits,
            capacity,
            emptied,
            change,
        }
    }

    /// Returns the plan with the change accepting that nothing remains of a model or service.
    pub fn with_force(mut self) -> Self {
        self.change.force = true;
        self
    }

    /// Validates the change.
    ///
    /// # Errors
    /// Every mistake, among them each model or service that would be left without an upstream in
    /// service, unless the plan has force.
    pub fn validate(&self, tree: &Tree) -> Result<Tree, Rejection> {
        self.change.validate(tree)
    }
}

type Counts = BTreeMap<(ModelId, Zone), usize>;

fn count(version: Version, tree: &Tree) -> Counts {
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

fn compare(before: &Counts, after: &Counts) -> Vec<Capacity> {
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

fn emptied(before: &Counts, after: &Counts) -> Vec<ModelId> {
    let mut names: Vec<_> = before.keys().map(|(serves, _)| serves.clone()).collect();
    names.dedup();
    names.retain(|name| !after.keys().any(|(serves, _)| serves == name));
    names
}

fn edits(tree: &Tree, hit: &Hit, action: Action) -> Vec<Edit> {
    let own = |setting| tree.get(&hit.path).and_then(|n| n.settings.get(&setting));
    let above = |setting| {
        let above = parent(&hit.path).and_then(|parent| tree.effective(parent));
        above.and_then(|above| above.get(setting))
    };
    let turn =
        |setting, wanted: Option<Value>| target(hit, setting, own(setting), above(setting), wanted);
    let (state, withdrawn) = match (&hit.serves, action) {
        (None, Action::Withdraw(_)) => (Some("withdrawn"), None),
        (None, Action::Restore) => (Some("in_service"), None),
        (Some(models), action) => {
            let now = own(Setting::Withdrawn).or_else(|| above(Setting::Withdrawn));
            (None, Some(names(now, models, action)))
        }
    };
    let state = state.map(|state| turn(Setting::State, Some(text(state))));
    let withdrawn = withdrawn.map(|names| turn(Setting::Withdrawn, Some(Value::Names(names))));
    let running = turn(Setting::Running, running(action));
    let all = [state.flatten(), withdrawn.flatten(), running];
    all.into_iter().flatten().collect()
}

fn text(text: &str) -> Value {
    Value::Text(text.into())
}

fn running(action: Action) -> Option<Value> {
    match action {
        Action::Withdraw(Running::Finish) => Some(text("finish")),
        Action::Withdraw(Running::Move) => Some(text("move")),
        Action::Restore => None,
    }
}

/// Returns the withdrawn models after an action. Those that stay keep their order, so that a batch
/// that is withdrawn already needs no edit.
fn names(now: Option<&Value>, models: &[ModelId], action: Action) -> Vec<Arc<str>> {
    let mut names = now.map_or(&[][..], Value::members).to_vec();
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

/// Returns the edit after which a setting has a value, or follows the parent when `wanted` is
/// absent. An override with the value that the parent gives anyway is removed, so that a
/// withdrawal and its restoration leave the tree as it was.
fn target(
    hit: &Hit,
    setting: Setting,
    own: Option<&Value>,
    above: Option<&Value>,
    wanted: Option<Value>,
) -> Option<Edit> {
    let path = hit.path.clone();
    let setting_name: Arc<str> = setting.to_string().into();
    let inherited = above.cloned().or_else(|| initial(setting));
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

/// Returns the value that a setting has when no node sets it.
fn initial(setting: Setting) -> Option<Value> {
    match setting {
        Setting::State => Some(text("in_service")),
        Setting::Withdrawn => Some(Value::Names(Vec::new())),
        Setting::Running => Some(text("finish")),
        _ => None,
    }
}
