//! Validation of changes.

use {
    super::{Catalog, Change, Edit, Kind, Node, Path, Rejection, Setting, Tree, Value, tree},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        sync::Arc,
    },
};

/// Greatest length of a node's name.
pub const NAME_LIMIT_BYTES: usize = 64;
/// Greatest number of names in a path.
pub const DEPTH_LIMIT: usize = 8;
/// Greatest number of nodes; twice the target of 17,000 budgets, 4,800 workspaces and 600
/// upstreams.
pub const NODE_LIMIT: usize = 45_000;
/// Greatest number of edits in a change; covers a withdrawal of all 600 upstreams.
pub const EDIT_LIMIT: usize = 2_000;
/// Longest change in bytes of JSON; several fit into a frame between hosts.
pub const CHANGE_LIMIT_BYTES: usize = 200_000;

/// Settings whose numbers must not be 0.
const NONZERO: [Setting; 3] = [
    Setting::ModelVersion,
    Setting::ReplicaRate,
    Setting::ConcurrentLoads,
];

/// One mistake of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{path}: {reason}")]
pub struct Mistake {
    /// Path of the node; the root for a mistake of the change as a whole.
    pub path: Path,
    /// Setting, when the mistake concerns one.
    pub setting: Option<Arc<str>>,
    /// Kind of mistake.
    pub reason: Reason,
}

/// Kind of a [`Mistake`]. Its display text is shown to operators.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The change has no edits.
    #[display("the change is empty")]
    Empty,
    /// The node does not exist.
    #[display("no such node")]
    NoNode,
    /// The node exists already.
    #[display("the node exists already")]
    Exists,
    /// The parent does not exist.
    #[display("the parent does not exist")]
    NoParent,
    /// The parent cannot have such a child.
    #[display("a node of this kind is not allowed below its parent")]
    Misplaced,
    /// A name in the path is empty, too long or has characters other than letters, digits, `.`,
    /// `_` and `-`.
    #[display("malformed path")]
    Malformed,
    /// The path has too many names.
    #[display("more than {DEPTH_LIMIT} levels")]
    TooDeep,
    /// The tree would have too many nodes.
    #[display("more than {NODE_LIMIT} nodes")]
    TooManyNodes,
    /// The change has too many edits.
    #[display("more than {EDIT_LIMIT} edits")]
    TooManyEdits,
    /// The change is too long.
    #[display("longer than {CHANGE_LIMIT_BYTES} bytes")]
    TooLong,
    /// No such setting.
    #[display("unknown setting")]
    UnknownSetting,
    /// The setting has no effect on this kind of node.
    #[display("the setting does not belong to this kind of node")]
    Inapplicable,
    /// The override to be removed does not exist.
    #[display("the node does not override the setting")]
    NotSet,
    /// The value has another unit.
    #[display("the value must be given in {expected}")]
    WrongUnit {
        /// Unit of the setting.
        expected: Arc<str>,
    },
    /// The value is outside the limit of the setting.
    #[display("the value is over {limit}")]
    TooLarge {
        /// Greatest value or length.
        limit: u64,
    },
    /// The value is not one of the accepted words, or is empty, or not a URL or a hash.
    #[display("the value is not acceptable")]
    BadValue,
    /// A reference to a model or service that does not exist.
    #[display("no model or service named {name}")]
    Dangling {
        /// Name that does not exist.
        name: Arc<str>,
    },
    /// Two models, services or upstreams of the same name, or an API key used twice.
    #[display("{name} is used twice")]
    Duplicate {
        /// The name or hash.
        name: Arc<str>,
    },
    /// A setting that the node needs has no value.
    #[display("{setting} is missing")]
    Missing {
        /// Required setting.
        setting: Setting,
    },
    /// A model or service would be left without an upstream in service.
    #[display("no upstream would remain in service; repeat with force to accept this")]
    NothingLeft,
}

pub(super) fn validate(change: &Change, base: &Tree) -> Result<Tree, Rejection> {
    let mut mistakes = check_size(change);
    let mut tree = base.clone();
    for edit in &change.edits {
        mistakes.extend(check_edit(edit, &tree));
        tree.apply(edit);
    }
    if tree.len() > NODE_LIMIT {
        mistakes.push(mistake(tree::ROOT, None, Reason::TooManyNodes));
    }
    let mut new = check_tree(&tree);
    if !new.is_empty() {
        // Mistakes that the base already has are not caused by this change. A newer release with
        // stricter rules must not refuse every change of an older tree.
        let known: BTreeSet<_> = check_tree(base).into_iter().collect();
        new.retain(|mistake| !known.contains(mistake));
    }
    mistakes.extend(new);
    if !change.force {
        mistakes.extend(newly_unserved(base, &tree));
    }
    if mistakes.is_empty() {
        Ok(tree)
    } else {
        Err(Rejection(mistakes))
    }
}

fn mistake(path: &str, setting: Option<&str>, reason: Reason) -> Mistake {
    Mistake {
        path: path.into(),
        setting: setting.map(Into::into),
        reason,
    }
}

fn check_size(change: &Change) -> Vec<Mistake> {
    let length = serde_json::to_string(change).map_or(usize::MAX, |text| text.len());
    let checks = [
        (change.edits.is_empty(), Reason::Empty),
        (change.edits.len() > EDIT_LIMIT, Reason::TooManyEdits),
        (length > CHANGE_LIMIT_BYTES, Reason::TooLong),
    ];
    let wrong = checks.into_iter().filter(|(is_wrong, _)| *is_wrong);
    wrong
        .map(|(_, reason)| mistake(tree::ROOT, None, reason))
        .collect()
}

fn check_edit(edit: &Edit, tree: &Tree) -> Vec<Mistake> {
    match edit {
        Edit::Add { path, kind } => {
            let reasons = check_add(path, *kind, tree);
            let named = reasons.into_iter();
            named.map(|reason| mistake(path, None, reason)).collect()
        }
        Edit::Remove { path } if **path == *tree::ROOT => {
            vec![mistake(path, None, Reason::Misplaced)]
        }
        Edit::Remove { path } if tree.get(path).is_none() => {
            vec![mistake(path, None, Reason::NoNode)]
        }
        Edit::Remove { .. } => Vec::new(),
        Edit::Set {
            path,
            setting,
            value,
        } => {
            let reason = check_set(path, setting, value, tree);
            let named = reason.map(|reason| mistake(path, Some(setting), reason));
            named.into_iter().collect()
        }
        Edit::Unset { path, setting } => {
            let reason = check_unset(path, setting, tree);
            let named = reason.map(|reason| mistake(path, Some(setting), reason));
            named.into_iter().collect()
        }
    }
}

fn check_add(path: &str, kind: Kind, tree: &Tree) -> Vec<Reason> {
    let mut reasons = Vec::new();
    if !path.split('/').all(is_name) {
        reasons.push(Reason::Malformed);
    }
    if path.split('/').count() > DEPTH_LIMIT {
        reasons.push(Reason::TooDeep);
    }
    if tree.get(path).is_some() {
        reasons.push(Reason::Exists);
    }
    match tree::parent(path).map(|parent| tree.get(parent)) {
        Some(Some(parent)) if !parent.kind.accepts(kind) => reasons.push(Reason::Misplaced),
        Some(None) => reasons.push(Reason::NoParent),
        _ => {}
    }
    reasons
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !name.is_empty() && name.len() <= NAME_LIMIT_BYTES && name.bytes().all(is_allowed)
}

fn check_set(path: &str, setting: &str, value: &Value, tree: &Tree) -> Option<Reason> {
    let Some(setting) = Setting::parse(setting) else {
        return Some(Reason::UnknownSetting);
    };
    let Some(node) = tree.get(path) else {
        return Some(Reason::NoNode);
    };
    if !setting.rule().kinds.contains(&node.kind) {
        return Some(Reason::Inapplicable);
    }
    check_value(setting, value)
}

fn check_value(setting: Setting, value: &Value) -> Option<Reason> {
    let rule = setting.rule();
    if value.unit() != Some(rule.unit) {
        let expected = rule.unit.to_string().into();
        return Some(Reason::WrongUnit { expected });
    }
    if magnitude(value) > rule.limit {
        return Some(Reason::TooLarge { limit: rule.limit });
    }
    let is_valid = match value {
        Value::Text(text) if setting == Setting::Url => is_url(text),
        Value::Text(text) if rule.words.is_empty() => !text.is_empty(),
        Value::Text(text) => rule.words.contains(&&**text),
        Value::Hashes(hashes) => hashes.iter().all(|hash| is_hash(hash)),
        Value::Names(names) => names.iter().all(|name| is_name(name)),
        Value::Labels(labels) => labels
            .iter()
            .all(|(name, value)| is_name(name) && value.len() <= NAME_LIMIT_BYTES),
        Value::Tokens(0) | Value::Count(0) => !NONZERO.contains(&setting),
        _ => true,
    };
    (!is_valid).then_some(Reason::BadValue)
}

/// Returns what the rule of a setting limits: the number of a numeric value or the length of any
/// other.
fn magnitude(value: &Value) -> u64 {
    let length = match value {
        Value::Text(text) => text.len(),
        Value::Names(list) | Value::Hashes(list) => list.len(),
        Value::Labels(labels) => labels.len(),
        _ => return value.number().unwrap_or(0),
    };
    length as u64
}

fn is_url(text: &str) -> bool {
    let rest = text
        .strip_prefix("http://")
        .or(text.strip_prefix("https://"));
    rest.is_some_and(|rest| !rest.is_empty() && !rest.ends_with('/') && !rest.contains(' '))
}

fn is_hash(text: &str) -> bool {
    const HASH_DIGITS: usize = 64;
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_DIGITS && text.bytes().all(is_digit)
}

fn check_unset(path: &str, setting: &str, tree: &Tree) -> Option<Reason> {
    let Some(setting) = Setting::parse(setting) else {
        return Some(Reason::UnknownSetting);
    };
    let Some(node) = tree.get(path) else {
        return Some(Reason::NoNode);
    };
    (!node.settings.contains_key(&setting)).then_some(Reason::NotSet)
}

/// Returns the mistakes that can only be found in the tree as a whole.
fn check_tree(tree: &Tree) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let mut names: HashSet<(bool, &str)> = HashSet::new();
    let mut keys: HashSet<&Arc<str>> = HashSet::new();
    let named = servable_names(tree);
    tree.walk(|path, node, effective| {
        let name = tree::name(path);
        let mut report = |setting: Option<Setting>, reason| {
            let setting = setting.map(|setting| setting.to_string());
            mistakes.push(mistake(path, setting.as_deref(), reason));
        };
        let is_upstream = node.kind == Kind::Upstream;
        if needs_unique_name(node.kind) && !names.insert((is_upstream, name)) {
            let name = name.into();
            report(None, Reason::Duplicate { name });
        }
        for setting in [Setting::Serves, Setting::Allowed, Setting::Withdrawn] {
            let value = node.settings.get(&setting);
            for name in value.map_or(&[][..], Value::members) {
                if !named.contains(&**name) {
                    let name = name.clone();
                    report(Some(setting), Reason::Dangling { name });
                }
            }
        }
        let hashes = node.settings.get(&Setting::ApiKeys);
        for hash in hashes.map_or(&[][..], Value::members) {
            if !keys.insert(hash) {
                let name = hash.clone();
                report(Some(Setting::ApiKeys), Reason::Duplicate { name });
            }
        }
        let is_placed = effective.get(Setting::Placement).is_some_and(Value::is_on);
        for setting in required(node, is_placed) {
            if effective.get(*setting).is_none() {
                report(Some(*setting), Reason::Missing { setting: *setting });
            }
        }
        let is_enclosed = tree::parent(path).is_some_and(|parent| parent != tree::ROOT);
        if is_upstream && !is_enclosed && effective.get(Setting::Serves).is_none() {
            let setting = Setting::Serves;
            report(Some(setting), Reason::Missing { setting });
        }
    });
    mistakes
}

fn needs_unique_name(kind: Kind) -> bool {
    matches!(kind, Kind::Model | Kind::Service | Kind::Upstream)
}

fn servable_names(tree: &Tree) -> BTreeSet<&str> {
    let is_served = |kind| matches!(kind, Kind::Model | Kind::Service);
    let served = tree.nodes().filter(|(_, node)| is_served(node.kind));
    served.map(|(path, _)| tree::name(path)).collect()
}

fn required(node: &Node, is_placed: bool) -> &'static [Setting] {
    match node.kind {
        Kind::Model if is_placed => &[Setting::ModelVersion, Setting::Demand, Setting::ReplicaRate],
        Kind::Upstream => &[Setting::Url, Setting::Region, Setting::Zone],
        Kind::Workspace if node.settings.contains_key(&Setting::ApiKeys) => {
            &[Setting::Budget, Setting::OutputLimit]
        }
        _ => &[],
    }
}

/// Returns the models and services that had an upstream in service before, and have none after.
fn newly_unserved(before: &Tree, after: &Tree) -> Vec<Mistake> {
    let (before, counts) = (in_service_counts(before), in_service_counts(after));
    let still_named = servable_names(after);
    let lost = before
        .keys()
        .filter(|name| still_named.contains(&***name) && !counts.contains_key(*name));
    let path = |name: &Arc<str>| {
        let mut nodes = after.nodes();
        let found = nodes.find(|(path, node)| {
            needs_unique_name(node.kind)
                && node.kind != Kind::Upstream
                && tree::name(path) == &**name
        });
        found.map_or(tree::ROOT, |(path, _)| &**path)
    };
    lost.map(|name| mistake(path(name), None, Reason::NothingLeft))
        .collect()
}

/// Returns the number of upstreams in service by model or service.
fn in_service_counts(tree: &Tree) -> BTreeMap<Arc<str>, usize> {
    let catalog = Catalog::upstreams(tree);
    let mut counts = BTreeMap::new();
    for upstream in catalog.values().filter(|u| u.is_in_service()) {
        for name in &upstream.serves {
            *counts.entry(name.clone()).or_default() += 1;
        }
    }
    counts
}
