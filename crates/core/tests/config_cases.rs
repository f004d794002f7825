//! Changes of the settings tree that must be refused, read from case files. Guards against a
//! mistake that is accepted, or not reported because the change has another one.

use {
    datatest_stable::Result,
    marigoldroute_core::config::{Change, Edit, Tree},
    serde::Deserialize,
    std::{fs, path::Path},
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    case: String,
    edits: Vec<Edit>,
    #[serde(default)]
    force: bool,
    /// Path, setting and text of each mistake.
    mistakes: Vec<(String, Option<String>, String)>,
}

fn base(path: &Path) -> Result<Tree> {
    let file = path.with_file_name("../base.json");
    let change: Change = serde_json::from_str(&fs::read_to_string(file)?)?;
    Ok(change.validate(&Tree::default())?)
}

fn bad(path: &Path, text: String) -> Result<()> {
    let tree = base(path)?;
    let cases: Vec<Case> = serde_json::from_str(&text)?;
    for case in cases {
        let change = Change {
            edits: case.edits,
            force: case.force,
        };
        let Err(rejection) = change.validate(&tree) else {
            return Err(format!("{}: accepted", case.case).into());
        };
        let found: Vec<_> = rejection
            .0
            .iter()
            .map(|mistake| {
                let setting = mistake.setting.as_ref().map(ToString::to_string);
                (
                    mistake.path.to_string(),
                    setting,
                    mistake.reason.to_string(),
                )
            })
            .collect();
        if found != case.mistakes {
            return Err(format!("{}: {found:#?}", case.case).into());
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = bad, root = "tests/cases/config/bad", pattern = r"\.json$" },
}
