//! Bills against budgets, as the platform has them.

use {
    super::fleet::Fleet,
    anyhow::ensure,
    marigoldroute_core::{
        bill::{Bill, Page, Segment, cursor_key},
        budget::{Account, journal},
    },
    std::collections::{BTreeMap, BTreeSet, HashSet},
};

/// Rows read per call.
const PAGE_ROWS: usize = 1_000;

/// Prints what was billed per budget; fails when a budget was overspent or a request billed twice.
pub async fn print(fleet: &Fleet) -> anyhow::Result<()> {
    let mut billed: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let mut requests = HashSet::new();
    for bill in bills(fleet).await? {
        let is_first = requests.insert(bill.request.clone());
        ensure!(is_first, "request {} billed twice", bill.request);
        let entry = billed.entry(bill.budget.to_string()).or_default();
        entry.0 += 1;
        entry.1 += bill.charged;
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
        let allocated = account.allocated;
        ensure!(
            allocated == spent,
            "budget {name}: {allocated} tokens allocated, {spent} spent"
        );
    }
    Ok(())
}

/// Returns the bills of closed batches and those that the ledger has not read yet.
async fn bills(fleet: &Fleet) -> anyhow::Result<Vec<Bill>> {
    let platform = &fleet.platform;
    let mut bills = Vec::new();
    for key in platform.list_objects("bills/").await? {
        let object = platform.get_object(&key).await?.unwrap_or_default();
        bills.extend(Segment::decode(&key, &object)?.bills);
    }
    let rows = platform.scan("journal/", "", PAGE_ROWS).await?;
    let holders: BTreeSet<_> = rows
        .iter()
        .filter_map(|row| journal::holder_of_key(&row.key))
        .collect();
    for holder in holders {
        let cursor = platform.get(&cursor_key(holder)).await?;
        let (prefix, after) = Page::scan_range(holder, &Page::decode_cursor(cursor.as_ref())?);
        let rows = platform.scan(&prefix, &after, PAGE_ROWS).await?;
        let page = Page::decode(holder.into(), cursor.as_ref(), &rows)?;
        ensure!(
            page.open_batch().is_none(),
            "the ledger stopped within a batch of {holder}"
        );
        bills.extend(page.pending_bills().cloned());
    }
    Ok(bills)
}
