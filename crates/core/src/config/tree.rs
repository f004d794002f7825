//! The settings tree.

use {
    super::{Edit, Overrides, Setting, Value},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// Path of a node, names separated by `/`; the root is the empty path.
pub type Path = Arc<str>;

/// Path of the root.
pub const ROOT: &str = "";

/// Kind of a node.
#[derive(
    Clone, Copy, Debug, Display, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// The root.
    #[default]
    Organisation,
    /// Callers with a common budget; may be nested.
    Workspace,
    /// A model; may be nested.
    Model,
    /// A plain service; may be nested.
    Service,
    /// An instance that serves models or services.
    Upstream,
}

impl Kind {
    /// Returns whether a node of this kind may have children of the other kind.
    pub fn accepts(self, child: Self) -> bool {
        match self {
            Self::Organisation => child != Self::Organisation,
            Self::Workspace => child == Self::Workspace,
            Self::Model => matches!(child, Self::Model | Self::Upstream),
            Self::Service => matches!(child, Self::Service | Self::Upstream),
            Self::Upstream => false,
        }
    }
}

/// A node with the settings that it overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// What the node stands for.
    pub kind: Kind,
    /// Overrides; everything else is inherited.
    #[serde(default, skip_serializing_if = "Overrides::is_empty")]
    pub settings: Overrides,
}

/// An effective value and the node that it comes from.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The node itself or the nearest ancestor that sets the value.
    pub path: &'a Path,
    /// Effective value.
    pub value: &'a Value,
}

/// The effective values of one node.
#[derive(Clone, Copy, Debug)]
pub struct Effective<'a>([Option<Source<'a>>; Setting::ALL.len()]);

impl<'a> Effective<'a> {
    const EMPTY: Self = Self([None; Setting::ALL.len()]);

    fn extend(mut self, path: &'a Path, node: &'a Node) -> Self {
        for (setting, value) in node.settings.iter() {
            self.0[*setting as usize] = Some(Source { path, value });
        }
        self
    }

    /// Returns the source of a setting.
    pub fn source(&self, setting: Setting) -> Option<Source<'a>> {
        self.0[setting as usize]
    }

    /// Returns the value of a setting.
    pub fn get(&self, setting: Setting) -> Option<&'a Value> {
        self.source(setting).map(|source| source.value)
    }
}

/// One line of [`Tree::explain`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Setting that has a value.
    pub setting: Setting,
    /// Effective value.
    pub value: Value,
    /// The node that sets it.
    pub origin: Path,
    /// The value without the node's own override; absent when there is none or when the value is
    /// inherited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overrides: Option<Value>,
}

/// One line of [`Tree::diff`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Path of the node.
    pub path: Path,
    /// Setting; absent when the node itself was added or removed.
    pub setting: Option<Setting>,
    /// Override in the earlier tree.
    pub before: Option<Value>,
    /// Override in the later tree.
    pub after: Option<Value>,
}

/// The settings tree of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    /// Nodes by path; always contains the root, and the parent of each node.
    nodes: BTreeMap<Path, Arc<Node>>,
}

impl Default for Tree {
    fn default() -> Self {
        Self {
            nodes: BTreeMap::from([(ROOT.into(), Arc::default())]),
        }
    }
}

impl FromIterator<(Path, Arc<Node>)> for Tree {
    fn from_iter<I: IntoIterator<Item = (Path, Arc<Node>)>>(nodes: I) -> Self {
        let mut tree = Self::default();
        tree.nodes.extend(nodes);
        tree
    }
}

impl Tree {
    /// Returns a node.
    pub fn get(&self, path: &str) -> Option<&Node> {
        self.nodes.get(path).map(Arc::as_ref)
    }

    /// Returns the nodes in the order of their paths; a parent precedes its children.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &Arc<Node>)> {
        self.nodes.iter()
    }

    /// Returns the nodes from a path on.
    pub(super) fn range<'a>(
        &'a self,
        start: Bound<&'a str>,
    ) -> impl Iterator<Item = (&'a Path, &'a Arc<Node>)> {
        self.nodes.range::<str, _>((start, Bound::Unbounded))
    }

    /// Returns the number of nodes.
    #[expect(clippy::len_without_is_empty, reason = "the root always exists")]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the paths below a node.
    pub fn descendants(&self, path: &str) -> Vec<Path> {
        if path == ROOT {
            return self.nodes.keys().skip(1).cloned().collect();
        }
        // '0' follows '/' in the order of bytes.
        let (start, end) = (format!("{path}/"), format!("{path}0"));
        let below = self.nodes.range::<str, _>((
            Bound::Included(start.as_str()),
            Bound::Excluded(end.as_str()),
        ));
        below.map(|(path, _)| path.clone()).collect()
    }

    /// Returns the effective values of a node.
    pub fn effective(&self, path: &str) -> Option<Effective<'_>> {
        let mut ancestry = Vec::new();
        let mut current = Some(path);
        while let Some(path) = current {
            ancestry.push(self.nodes.get_key_value(path)?);
            current = parent(path);
        }
        let from_root = ancestry.into_iter().rev();
        Some(from_root.fold(Effective::EMPTY, |all, (path, node)| all.extend(path, node)))
    }

    /// Calls `visit` for each node with its effective values.
    pub(super) fn walk<'a>(&'a self, mut visit: impl FnMut(&'a Path, &'a Node, &Effective<'a>)) {
        // Most consecutive nodes have the same parent, so the values of the last parent are kept.
        let mut last_parent: (&str, Effective<'a>) =
            (ROOT, self.effective(ROOT).unwrap_or(Effective::EMPTY));
        for (path, node) in &self.nodes {
            let Some(parent) = parent(path) else {
                visit(path, node, &Effective::EMPTY.extend(path, node));
                continue;
            };
            if parent != last_parent.0 {
                last_parent = (parent, self.effective(parent).unwrap_or(Effective::EMPTY));
            }
            visit(path, node, &last_parent.1.extend(path, node));
        }
    }

    /// Returns each effective value of a node with its origin, or `None` for an unknown path.
    pub fn explain(&self, path: &str) -> Option<Vec<Explanation>> {
        let effective = self.effective(path)?;
        let inherited = parent(path).and_then(|parent| self.effective(parent));
        let line = |setting: &Setting| {
            let source = effective.source(*setting)?;
            let above = inherited.as_ref().and_then(|above| above.get(*setting));
            Some(Explanation {
                setting: *setting,
                value: source.value.clone(),
                origin: source.path.clone(),
                overrides: above.filter(|_| **source.path == *path).cloned(),
            })
        };
        Some(Setting::ALL.iter().filter_map(line).collect())
    }

    /// Returns what changed from this tree to a later one.
    pub fn diff(&self, later: &Self) -> Vec<Difference> {
        let mut differences = Vec::new();
        for (path, node) in &self.nodes {
            match later.nodes.get(path) {
                Some(other) if Arc::ptr_eq(node, other) => {}
                Some(other) if node.kind == other.kind => {
                    compare_settings(path, node, other, &mut differences);
                }
                _ => differences.push(node_difference(path)),
            }
        }
        for (path, node) in &later.nodes {
            let earlier = self.nodes.get(path);
            if earlier.is_none_or(|earlier| earlier.kind != node.kind) {
                differences.push(node_difference(path));
                compare_settings(path, &Node::default(), node, &mut differences);
            }
        }
        differences
    }

    /// Applies one edit. Edits of accepted versions are not checked again, so that hosts with
    /// other limits arrive at the same tree; an edit without a target has no effect.
    pub(super) fn apply(&mut self, edit: &Edit) {
        match edit {
            Edit::Add { path, kind } => {
                let node = Node {
                    kind: *kind,
                    ..Node::default()
                };
                self.nodes.entry(path.clone()).or_insert(Arc::new(node));
            }
            Edit::Remove { path } => {
                for below in self.descendants(path) {
                    self.nodes.remove(&below);
                }
                if **path != *ROOT {
                    self.nodes.remove(path);
                }
            }
            Edit::Set {
                path,
                setting,
                value,
            } => {
                if let (Some(node), Some(setting)) = (self.node_mut(path), Setting::parse(setting))
                {
                    node.settings.insert(setting, value.clone());
                }
            }
            Edit::Unset { path, setting } => {
                if let (Some(node), Some(setting)) = (self.node_mut(path), Setting::parse(setting))
                {
                    node.settings.remove(&setting);
                }
            }
        }
    }

    fn node_mut(&mut self, path: &str) -> Option<&mut Node> {
        self.nodes.get_mut(path).map(Arc::make_mut)
    }
}

fn node_difference(path: &Path) -> Difference {
    Difference {
        path: path.clone(),
        setting: None,
        before: None,
        after: None,
    }
}

fn compare_settings(path: &Path, before: &Node, after: &Node, differences: &mut Vec<Difference>) {
    for setting in Setting::ALL {
        let (before, after) = (before.settings.get(setting), after.settings.get(setting));
        if before != after {
            differences.push(Difference {
                path: path.clone(),
                setting: Some(*setting),
                before: before.cloned(),
                after: after.cloned(),
            });
        }
    }
}

/// Returns the path of the parent; `None` for the root.
pub fn parent(path: &str) -> Option<&str> {
    if path == ROOT {
        return None;
    }
    Some(path.rsplit_once('/').map_or(ROOT, |(parent, _)| parent))
}

/// Returns the last name of a path.
pub fn name(path: &str) -> &str {
    path.rsplit_once('/').map_or(path, |(_, name)| name)
}
