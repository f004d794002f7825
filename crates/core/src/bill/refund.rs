//! Return of the tokens of dropped bills to their budgets.

use {
    super::Bill,
    crate::{
        budget::{Account, account::key},
        fault::{Fault, Kind},
        id::{BudgetId, Tokens},
        table::{Row, Transaction},
    },
    std::collections::BTreeMap,
};

/// Returns the sum of the tokens that the bills charge, by budget.
pub(super) fn refunds<'a>(bills: impl Iterator<Item = &'a Bill>) -> BTreeMap<&'a BudgetId, Tokens> {
    let mut refunds = BTreeMap::new();
    for bill in bills.filter(|bill| bill.charged > 0) {
        *refunds.entry(&bill.budget).or_default() += bill.charged;
    }
    refunds
}

/// Adds writes to `transaction` that return the tokens of dropped bills to their budget rows.
///
/// # Errors
/// [`Kind::Internal`] when a budget row is not among `accounts`, is malformed, or has fewer tokens
/// allocated than are returned.
pub(super) fn refund<'a>(
    transaction: &mut Transaction,
    bills: impl Iterator<Item = &'a Bill>,
    accounts: &[Row],
) -> Result<(), Fault> {
    for (budget, tokens) in refunds(bills) {
        let key = key(budget);
        let fault = |reason: &str| Fault::new(Kind::Internal, format!("row {key}: {reason}"));
        let row = accounts.iter().find(|row| *row.key == *key);
        let row = row.ok_or_else(|| fault("not read"))?;
        let mut account: Account =
            serde_json::from_str(&row.value).map_err(|_| fault("not a budget"))?;
        account
            .deallocate(tokens)
            .ok_or_else(|| fault("fewer tokens allocated than returned"))?;
        transaction.require(key.as_str(), row.version);
        transaction.put(key, serde_json::to_string(&account).unwrap_or_default());
    }
    Ok(())
}
