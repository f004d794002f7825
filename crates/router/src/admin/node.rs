//! New nodes of the settings tree.

use marigoldroute_core::config::{Change, Edit, Kind, Path, Setting, Value};

/// Returns the change that adds a node with the given values; it inherits the absent ones.
pub(super) fn added(
    path: &str,
    kind: Kind,
    values: impl IntoIterator<Item = (Setting, Option<Value>)>,
) -> Change {
    let path: Path = path.into();
    let add = Edit::Add {
        path: path.clone(),
        kind,
    };
    let sets = values.into_iter().filter_map(|(setting, value)| {
        Some(Edit::Set {
            path: path.clone(),
            setting: setting.to_string().into(),
            value: value?,
        })
    });
    Change {
        edits: [add].into_iter().chain(sets).collect(),
        force: false,
    }
}
