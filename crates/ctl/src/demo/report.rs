//! Bills against budgets, read from the table service.

use {
    super::fleet::Fleet,
    anyhow::ensure,
    marigoldroute_core::budget::{Account, Journal},
    std::collections::{BTreeMap, HashSet},
};

/// Rows read per call.
const PAGE_ROWS: usize = 1_000;

/// Prints what was billed per budget; fails when a budget was overspent or a request billed twice.
pub async fn print(fleet: &Fleet) -> anyhow::Result<()> {
    let mut billed: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let mut requests = HashSet::new();
    for row in fleet.platform.scan("journal/", "", PAGE_ROWS).await? {
        let journal: Journal = serde_json::from_str(&row.value)?;
        for bill in journal.entry.bills() {
            ensure!(
                requests.insert(bill.request.clone()),
                "request {} billed twice",
                bill.request
            );
            let entry = billed.entry(bill.budget.to_string()).or_default();
            entry.0 += 1;
            entry.1 += bill.charged;
        }
    }
    println!(
        "{:<10} {:>9} {:>6} {:>7}",
        "budget", "purchased", "bills", "spent"
    );
    for row in fleet.platform.scan("budget/", "", PAGE_ROWS).await? {
        let account: Account = serde_json::from_str(&row.value)?;
        let name = row.key.trim_start_matches("budget/");
        let (bills, spent) = billed.get(name).copied().unwrap_or_default();
        println!("{name:<10} {:>9} {bills:>6} {spent:>7}", account.purchased);
        ensure!(spent <= account.purchased, "budget {name} is overspent");
    }
    Ok(())
}
