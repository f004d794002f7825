//! Property tests of withdrawals and restorations against a reference model of which upstream
//! serves which models.

use {
    marigoldroute_core::{
        config::{Catalog, Change, Edit, Kind, RunningPolicy, Setting, Tree, Value},
        withdraw::{Action, Plan, Selector},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::collections::{BTreeMap, BTreeSet},
};

const SEED: u64 = 0x6d61_7269_0005;
const CASES: u32 = 200;
const UPSTREAMS: usize = 6;
const MODELS: [&str; 2] = ["drafting", "desk"];
const LOTS: [&str; 2] = ["7", "8"];

/// Reference state of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Upstream {
    serves: BTreeSet<&'static str>,
    lot: &'static str,
    version: &'static str,
    is_withdrawn: bool,
    withdrawn: BTreeSet<&'static str>,
}

fn id(number: usize) -> String {
    format!("u{number}")
}

/// Returns the upstreams: every combination of lot and version, half of them with one model and
/// half with two.
fn upstreams() -> Vec<Upstream> {
    let upstream = |number: usize| Upstream {
        serves: MODELS[..=number % 2].iter().copied().collect(),
        lot: LOTS[number / 2 % 2],
        version: ["1", "2"][number / 3],
        is_withdrawn: false,
        withdrawn: BTreeSet::new(),
    };
    (0..UPSTREAMS).map(upstream).collect()
}

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

fn tree(upstreams: &[Upstream]) -> Tree {
    let add = |path: &str, kind| Edit::Add {
        path: path.into(),
        kind,
    };
    let mut edits: Vec<_> = MODELS.iter().map(|model| add(model, Kind::Model)).collect();
    for (number, upstream) in upstreams.iter().enumerate() {
        let path = format!("{}/{}", MODELS[0], id(number));
        let serves = upstream.serves.iter().map(|model| (*model).into());
        let versions = upstream.serves.iter();
        let versions = versions.map(|model| ((*model).into(), upstream.version.into()));
        let lot = [("lot".into(), upstream.lot.into())];
        edits.push(add(&path, Kind::Upstream));
        edits.push(set(
            &path,
            Setting::Url,
            Value::Text("http://127.0.0.1:1".into()),
        ));
        edits.push(set(&path, Setting::Region, Value::Text("east".into())));
        edits.push(set(&path, Setting::Zone, Value::Text("howrah".into())));
        edits.push(set(&path, Setting::Serves, Value::Names(serves.collect())));
        edits.push(set(
            &path,
            Setting::Versions,
            Value::Labels(versions.collect()),
        ));
        edits.push(set(&path, Setting::Labels, Value::Labels(lot.into())));
    }
    let change = Change {
        edits,
        force: false,
    };
    change.validate(&Tree::default()).expect("a valid tree")
}

/// Criteria of a batch; each may be absent.
#[derive(Clone, Debug)]
struct Batch {
    upstreams: BTreeSet<usize>,
    models: BTreeSet<&'static str>,
    version: Option<&'static str>,
    lot: Option<&'static str>,
}

impl Batch {
    fn selector(&self) -> Selector {
        let lot = self.lot.map(|lot| ("lot".into(), lot.into()));
        Selector {
            upstreams: self.upstreams.iter().map(|n| id(*n).into()).collect(),
            models: self.models.iter().map(|model| (*model).into()).collect(),
            versions: self.version.map(Into::into).into_iter().collect(),
            labels: lot.into_iter().collect(),
        }
    }

    /// Returns what the batch selects of an upstream: nothing (`None`), all of it (`Some(None)`),
    /// or some models.
    fn hit(&self, number: usize, upstream: &Upstream) -> Option<Option<BTreeSet<&'static str>>> {
        let is_named = self.upstreams.is_empty() || self.upstreams.contains(&number);
        let has_lot = self.lot.is_none_or(|lot| lot == upstream.lot);
        let is_empty = self.upstreams.is_empty() && self.models.is_empty();
        if !is_named || !has_lot || is_empty && self.version.is_none() && self.lot.is_none() {
            return None;
        }
        if self.models.is_empty() && self.version.is_none() {
            return Some(None);
        }
        let has_version = self
            .version
            .is_none_or(|version| version == upstream.version);
        let mut models = upstream.serves.clone();
        models.retain(|model| self.models.is_empty() || self.models.contains(model));
        (has_version && !models.is_empty()).then_some(Some(models))
    }

    fn apply(&self, upstreams: &mut [Upstream], is_withdrawal: bool) {
        for (number, upstream) in upstreams.iter_mut().enumerate() {
            match self.hit(number, upstream) {
                None => {}
                Some(None) => upstream.is_withdrawn = is_withdrawal,
                Some(Some(models)) if is_withdrawal => upstream.withdrawn.extend(models),
                Some(Some(models)) => upstream.withdrawn.retain(|model| !models.contains(model)),
            }
        }
    }
}

fn batch() -> impl Strategy<Value = Batch> {
    let upstreams = proptest::collection::btree_set(0..UPSTREAMS, 0..3);
    let models = proptest::collection::btree_set(prop::sample::select(&MODELS[..]), 0..2);
    let version = prop::option::of(prop::sample::select(vec!["1", "2"]));
    let lot = prop::option::of(prop::sample::select(&LOTS[..]));
    let parts = (upstreams, models, version, lot);
    parts.prop_map(|(upstreams, models, version, lot)| Batch {
        upstreams,
        models,
        version,
        lot,
    })
}

/// Upstreams in service by model.
type InService = BTreeMap<&'static str, BTreeSet<String>>;

/// Returns the upstreams in service according to the reference state.
fn expected(upstreams: &[Upstream]) -> InService {
    let serves = |upstream: &Upstream, model: &str| {
        !upstream.is_withdrawn
            && upstream.serves.contains(model)
            && !upstream.withdrawn.contains(model)
    };
    let ids = |model: &'static str| {
        let own = upstreams.iter().enumerate();
        let own = own.filter(|(_, upstream)| serves(upstream, model));
        (model, own.map(|(number, _)| id(number)).collect())
    };
    MODELS.into_iter().map(ids).collect()
}

/// Returns the upstreams in service according to the compiled tree, from which routers choose.
fn actual(tree: &Tree) -> InService {
    let catalog = Catalog::compile(1, tree);
    let ids = |model: &'static str| {
        let ids = catalog.candidates(model).map(|(id, _)| id.to_string());
        (model, ids.collect())
    };
    MODELS.into_iter().map(ids).collect()
}

/// Guards against a withdrawal or restoration that changes too much or too little, that takes the
/// last upstream of a model out of service without force, whose effect depends on earlier
/// withdrawals, or that is not idempotent.
#[test]
fn sequences_match_a_simple_model() {
    let steps = proptest::collection::vec((batch(), any::<bool>(), any::<bool>()), 1..8);
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut model = upstreams();
        let mut tree = tree(&model);
        for (batch, is_withdrawal, is_forced) in steps {
            let action = match is_withdrawal {
                true => Action::Withdraw(RunningPolicy::Finish),
                false => Action::Restore,
            };
            let before = expected(&model);
            let mut changed_model = model.clone();
            batch.apply(&mut changed_model, is_withdrawal);
            let after = expected(&changed_model);
            let is_emptied = |name: &&str| !before[name].is_empty() && after[name].is_empty();
            let emptied: Vec<_> = MODELS.into_iter().filter(is_emptied).collect();

            let mut plan = Plan::new(1, &tree, &batch.selector(), action);
            let named: BTreeSet<_> = plan.emptied.iter().map(|name| &**name).collect();
            prop_assert_eq!(named, emptied.iter().copied().collect());
            prop_assert_eq!(plan.change.edits.is_empty(), changed_model == model);
            if plan.change.edits.is_empty() {
                continue;
            }
            if is_forced {
                plan = plan.with_force();
            }
            match plan.validate(&tree) {
                Ok(changed) => {
                    prop_assert!(is_forced || emptied.is_empty(), "{:?} was emptied", emptied);
                    (tree, model) = (changed, changed_model);
                }
                Err(rejection) => {
                    prop_assert!(!is_forced && !emptied.is_empty(), "{:?}", rejection);
                    continue;
                }
            }
            prop_assert_eq!(actual(&tree), after);
            let again = Plan::new(1, &tree, &batch.selector(), action);
            prop_assert!(again.change.edits.is_empty(), "{:?}", again.change);
        }
        Ok(())
    });
    result.expect("as the model");
}

/// Guards against a restoration that leaves overrides of the withdrawal in the tree.
#[test]
fn restoration_undoes_a_withdrawal() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&batch(), |batch| {
        let initial = tree(&upstreams());
        let mut tree = initial.clone();
        for action in [Action::Withdraw(RunningPolicy::Move), Action::Restore] {
            let plan = Plan::new(1, &tree, &batch.selector(), action).with_force();
            if !plan.change.edits.is_empty() {
                tree = plan.validate(&tree).expect("a valid plan");
            }
        }
        let nodes = |tree: &Tree| -> Vec<_> {
            let nodes = tree.nodes();
            nodes
                .map(|(path, node)| (path.clone(), node.clone()))
                .collect()
        };
        prop_assert_eq!(nodes(&tree), nodes(&initial));
        Ok(())
    });
    result.expect("no trace");
}
