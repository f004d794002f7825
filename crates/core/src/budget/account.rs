//! Budget rows in the table service.

use {
    super::era::Settlement,
    crate::{
        bill::Bill,
        id::{BudgetId, Era, HolderId, Tokens, Version},
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Row `budget/{budget}`: the tokens of a budget, and how many of them holders have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Tokens bought since the budget was created, less what was cut.
    pub purchased: Tokens,
    /// Tokens moved to holders and not returned; at most `purchased`.
    pub allocated: Tokens,
    /// Pending part of cuts, taken from `purchased` as holders return tokens; at most `purchased`.
    /// While it is above 0, `purchased` equals the sum of `allocated` and `withheld`.
    #[serde(skip_serializing_if = "is_zero")]
    pub cut: Tokens,
    /// Latest configuration version whose total was applied; 0 when operators change the total by
    /// top-ups and cuts.
    #[serde(skip_serializing_if = "is_zero")]
    pub stated: Version,
    /// Shortfall of a holder, set so that other holders return unreserved tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wanted: Option<Shortfall>,
    /// Era of the store in which the row was settled. Absent in rows of deployments whose store
    /// states no era, and of earlier versions of the program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub settled: Option<Era>,
    /// Tokens that a dead process may have taken in a time that the store has lost. They are granted
    /// only to a holder that states later that it took them; `allocated + withheld ≤ purchased`.
    #[serde(skip_serializing_if = "is_zero")]
    pub withheld: Tokens,
}

/// Tokens that a holder lacks and that other holders may have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// The holder that lacks tokens. It does not return its own, so that two holders that lack
    /// tokens at the same time do not wait for each other.
    pub holder: HolderId,
    /// Number of tokens that the holder lacks.
    pub tokens: Tokens,
}

impl Account {
    /// Returns the tokens that are neither allocated to a holder nor withheld.
    pub fn unallocated(&self) -> Tokens {
        let taken = self.allocated.saturating_add(self.withheld);
        self.purchased.saturating_sub(taken)
    }

    /// Adds the difference between what holders took and what the row says after a restore. What
    /// they took comes from the withheld tokens first if these were withheld for them. If the row
    /// has too few, because the store has lost a top-up, the rest is pending as a cut of the next
    /// one.
    pub fn correct(&mut self, difference: i64, is_withheld: bool) {
        let amount = difference.unsigned_abs();
        if difference < 0 {
            self.allocated = self.allocated.saturating_sub(amount);
            return self.apply_cut();
        }
        self.allocated = self.allocated.saturating_add(amount);
        if is_withheld {
            self.withheld -= amount.min(self.withheld);
        }
        let excess = self.allocated.saturating_add(self.withheld);
        let excess = excess.saturating_sub(self.purchased);
        self.purchased += excess;
        self.cut += excess;
    }

    /// Withholds up to `amount` unallocated tokens.
    pub fn withhold(&mut self, amount: Tokens) {
        self.withheld += amount.min(self.unallocated());
    }

    /// Moves up to `amount` tokens to a holder and returns how many were moved.
    pub fn grant(&mut self, amount: Tokens) -> Tokens {
        let moved = amount.min(self.unallocated());
        self.allocated += moved;
        moved
    }

    /// Clears the shortfall of `holder`, which has just received tokens, or one that the
    /// unallocated tokens cover but whose holder has not taken them.
    pub fn clear_shortfall(&mut self, holder: &HolderId) {
        let unallocated = self.unallocated();
        let is_met =
            |shortfall: &Shortfall| shortfall.holder == *holder || shortfall.tokens <= unallocated;
        if self.wanted.as_ref().is_some_and(is_met) {
            self.wanted = None;
        }
    }

    /// Returns tokens from a holder to the budget; a pending cut consumes them first.
    ///
    /// Returns `None` when fewer tokens are allocated: the row is older than the grant, or another
    /// host has already returned the tokens.
    #[must_use]
    pub fn deallocate(&mut self, amount: Tokens) -> Option<()> {
        self.allocated = self.allocated.checked_sub(amount)?;
        self.apply_cut();
        Some(())
    }

    /// Adds purchased tokens; a pending cut consumes them first. Returns `None` on overflow.
    pub fn top_up(&mut self, amount: Tokens) -> Option<()> {
        self.purchased = self.purchased.checked_add(amount)?;
        self.apply_cut();
        Some(())
    }

    /// Removes tokens: unallocated ones at once, others when holders return them. Returns `None`
    /// when the amount exceeds the purchased tokens less pending cuts.
    pub fn cut(&mut self, amount: Tokens) -> Option<()> {
        let cut = self.cut.checked_add(amount)?;
        if cut > self.purchased {
            return None;
        }
        self.cut = cut;
        self.apply_cut();
        Some(())
    }

    /// Returns the purchased tokens less those that a pending cut will remove.
    pub fn total(&self) -> Tokens {
        self.purchased - self.cut
    }

    /// Sets the total to the value of a configuration version, by a top-up or a cut. A version that
    /// is not newer than the last applied one has no effect. Returns `None` on overflow.
    pub fn set_total(&mut self, version: Version, total: Tokens) -> Option<()> {
        if version <= self.stated {
            return Some(());
        }
        let known = self.total();
        if total >= known {
            self.increase(total - known)?;
        } else {
            self.cut(known - total)?;
        }
        self.stated = version;
        Some(())
    }

    /// Increases the total: cancels as much of a pending cut as possible and adds the remainder.
    fn increase(&mut self, amount: Tokens) -> Option<()> {
        let cancelled = self.cut.min(amount);
        self.cut -= cancelled;
        self.top_up(amount - cancelled)
    }

    /// Charges a bill from the unallocated tokens; the part that they do not cover is added to the
    /// uncovered tokens of the bill.
    pub fn charge(&mut self, bill: Bill) -> Bill {
        let charged = self.grant(bill.charged);
        Bill {
            uncovered: bill.uncovered + (bill.charged - charged),
            charged,
            ..bill
        }
    }

    /// Applies the pending cut to the unallocated tokens.
    fn apply_cut(&mut self) {
        let amount = self.cut.min(self.unallocated());
        self.cut -= amount;
        self.purchased -= amount;
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Returns the key of a budget's row.
pub fn key(budget: &str) -> String {
    format!("budget/{budget}")
}

/// Budget rows as they were read, with the changes of a transaction.
#[derive(Debug)]
pub(super) struct Accounts {
    rows: BTreeMap<BudgetId, AccountChange>,
}

#[derive(Debug)]
struct AccountChange {
    row: Row,
    before: Account,
    after: Account,
    /// Whether the transaction requires the version of the row even if it does not change it.
    is_required: bool,
}

impl Accounts {
    /// Parses the budget rows among `rows` and skips all others, and those that cannot be settled
    /// yet.
    pub fn read(rows: &[Row], settlement: &Settlement) -> Self {
        let parse = |row: &Row| {
            let budget = BudgetId::from(row.key.strip_prefix("budget/")?);
            let before: Account = serde_json::from_str(&row.value).ok()?;
            let mut after = before.clone();
            if !settlement.settle(&budget, &mut after) {
                return None;
            }
            let change = AccountChange {
                row: row.clone(),
                after,
                before,
                is_required: false,
            };
            Some((budget, change))
        };
        let rows = rows.iter().filter_map(parse).collect();
        Self { rows }
    }

    /// Returns the account of a budget to change it; `None` when its row was not read.
    pub fn get_mut(&mut self, budget: &str) -> Option<&mut Account> {
        self.rows.get_mut(budget).map(|change| &mut change.after)
    }

    /// Returns tokens from a holder to a budget; `None` when its row was not read.
    ///
    /// When fewer tokens are allocated, the row is stale or another host has returned the tokens.
    /// The transaction is made in any case and requires the row as it was read, so that the store's
    /// verdict tells the two cases apart.
    pub fn deallocate(&mut self, budget: &str, amount: Tokens) -> Option<()> {
        let change = self.rows.get_mut(budget)?;
        if change.after.deallocate(amount).is_none() {
            change.is_required = true;
        }
        Some(())
    }

    /// Returns whether a transaction changes or requires any budget row.
    pub fn is_used(&self) -> bool {
        self.is_changed() || self.rows.values().any(|change| change.is_required)
    }

    /// Returns whether any account was changed.
    pub fn is_changed(&self) -> bool {
        let mut changes = self.rows.values();
        changes.any(|change| change.before != change.after)
    }

    /// Adds the changed rows to a transaction, with the condition that they still have the versions
    /// that were read.
    pub fn write(&self, transaction: &mut Transaction) {
        for change in self.rows.values() {
            let row = &change.row;
            let is_changed = change.before != change.after;
            if is_changed || change.is_required {
                transaction.require(row.key.clone(), row.version);
            }
            if is_changed {
                transaction.put(row.key.clone(), json(&change.after));
            }
        }
    }
}

/// Returns the value of a row in JSON.
pub(super) fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
