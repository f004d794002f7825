//! Changes of the settings tree.

use {
    super::{Kind, Mistake, Path, Tree, Value, check},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One edit of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds a node.
    Add {
        /// Path of the new node.
        path: Path,
        /// Kind of the new node.
        kind: Kind,
    },
    /// Removes a node and everything below it.
    Remove {
        /// Path of the node.
        path: Path,
    },
    /// Overrides a setting.
    Set {
        /// Path of the node.
        path: Path,
        /// Name of the setting.
        setting: Arc<str>,
        /// New value.
        value: Value,
    },
    /// Removes an override, after which the node inherits the setting.
    Unset {
        /// Path of the node.
        path: Path,
        /// Name of the setting.
        setting: Arc<str>,
    },
}

impl Edit {
    /// Returns the path of the node that is edited.
    pub fn path(&self) -> &Path {
        match self {
            Self::Add { path, .. }
            | Self::Remove { path }
            | Self::Set { path, .. }
            | Self::Unset { path, .. } => path,
        }
    }
}

/// Edits that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Edits, applied in this order.
    pub edits: Vec<Edit>,
    /// Accepts that a model or service is left without an upstream in service.
    #[serde(default)]
    pub force: bool,
}

/// Every mistake of a change.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{} mistakes in the change", _0.len())]
pub struct Rejection(#[error(not(source))] pub Vec<Mistake>);

impl Change {
    /// Returns the tree after this change.
    ///
    /// # Errors
    /// Every mistake of the change, each with its path.
    pub fn validate(&self, tree: &Tree) -> Result<Tree, Rejection> {
        check::validate(self, tree)
    }

    /// Applies the edits without checks, for a version that was already accepted.
    pub fn apply(&self, tree: &mut Tree) {
        for edit in &self.edits {
            tree.apply(edit);
        }
    }

    /// Returns whether both changes edit the same node, or one edits an ancestor of a node that the
    /// other edits. Such nodes depend on each other through inheritance, so the changes are never
    /// rebased on each other.
    pub fn overlaps(&self, other: &Self) -> bool {
        let paths = |change: &Self| -> Vec<Path> {
            change.edits.iter().map(|e| e.path().clone()).collect()
        };
        let (mine, theirs) = (paths(self), paths(other));
        mine.iter()
            .any(|a| theirs.iter().any(|b| is_within(a, b) || is_within(b, a)))
    }
}

fn is_within(path: &str, ancestor: &str) -> bool {
    path.strip_prefix(ancestor)
        .is_some_and(|rest| ancestor.is_empty() || rest.is_empty() || rest.starts_with('/'))
}
