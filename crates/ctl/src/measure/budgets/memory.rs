//! Memory of a holder, read from the process's resident set.

use {
    super::node::{Node, Store},
    anyhow::{Context, Result},
    marigoldroute_core::{
        budget::{Account, Settings},
        id::{BudgetId, RequestId},
        table::Transaction,
    },
    std::{fs, time::Duration},
};

/// Holders built for the measurement.
const HOLDERS: usize = 8;
/// Requests between two flushes.
const BATCH: usize = 4_096;
/// Unit of the figures in `/proc/self/statm`.
const PAGE: usize = 4_096;
/// Open reservations per holder.
const OPEN: usize = 100;

/// Returns the bytes per holder with grants of `budgets` budgets, 100 open reservations and
/// `settled` settled requests. Only meaningful before the process has freed much memory.
///
/// # Errors
/// Fails when the resident set cannot be read.
pub fn measure(budgets: usize, settled: usize) -> Result<usize> {
    let names: Vec<BudgetId> = (0..budgets)
        .map(|index| format!("b{index}").into())
        .collect();
    let account = Account {
        purchased: u64::MAX / 2,
        ..Account::default()
    };
    let text = serde_json::to_string(&account)?;
    let mut store = Store::default();
    for name in &names {
        let mut transaction = Transaction::default();
        transaction.put(format!("budget/{name}"), text.as_str());
        store.commit(&transaction);
    }
    let before = resident()?;
    let nodes: Vec<_> = (0..HOLDERS)
        .map(|index| fill(index, &names, settled, &mut store))
        .collect();
    let bytes = (resident()?.saturating_sub(before)) / HOLDERS;
    drop(nodes);
    Ok(bytes)
}

fn fill(index: usize, names: &[BudgetId], settled: usize, store: &mut Store) -> Node {
    let mut node = Node::new(index, &Settings::default());
    let mut now = Duration::from_secs(1);
    for (number, budget) in names.iter().cycle().take(settled + OPEN).enumerate() {
        if number % BATCH == 0 {
            now += Duration::from_secs(4);
            for budget in names {
                let _ = node.reserve(now, &"filler".into(), budget, 100_000);
            }
            // A transaction carries at most `Settings::batch` budget rows.
            (0..8).for_each(|_| node.flush(now, Some(store)));
        }
        let request: RequestId = format!("r{number}").into();
        let reserved = node.reserve(now, &request, budget, 100).is_ok();
        if reserved && number < settled {
            node.settle(&request, 50);
        }
    }
    node.flush(now, Some(store));
    node
}

fn resident() -> Result<usize> {
    let text = fs::read_to_string("/proc/self/statm").context("cannot read /proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .context("no resident set in statm")?;
    Ok(pages.parse::<usize>()? * PAGE)
}
