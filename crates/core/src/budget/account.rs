//! The budget row of the table service.

use {
    crate::{
        bill::Bill,
        id::{BudgetId, HolderId, Tokens, Version},
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Row `budget/{budget}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Tokens bought since the budget was created, less what was cut.
    pub purchased: Tokens,
    /// Tokens moved to holders and not given back; at most `purchased`.
    pub allocated: Tokens,
    /// Pending part of cuts, taken from `purchased` as holders return tokens; at most `purchased`.
    /// While it is above 0, `purchased` equals `allocated`.
    #[serde(skip_serializing_if = "is_zero")]
    pub cut: Tokens,
    /// Configuration version that stated the total last; 0 when operators change it by amounts.
    #[serde(skip_serializing_if = "is_zero")]
    pub stated: Version,
    /// Set by a holder that lacks tokens which other holders may have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wanted: Option<Shortfall>,
}

/// A holder's call for tokens that other holders do not need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// The holder that lacks tokens. It keeps its own tokens, so that two holders that lack
    /// tokens at the same time do not wait for each other.
    pub holder: HolderId,
    /// Tokens that it lacks.
    pub tokens: Tokens,
}

impl Account {
    /// Returns the tokens that no holder has.
    pub fn unallocated(&self) -> Tokens {
        self.purchased.saturating_sub(self.allocated)
    }

    /// Moves up to `amount` tokens to a holder and returns how many were moved.
    pub fn grant(&mut self, amount: Tokens) -> Tokens {
        let moved = amount.min(self.unallocated());
        self.allocated += moved;
        moved
    }

    /// Ends the call of a holder that has got its tokens, or that did not take them although they
    /// were there.
    pub fn clear_shortfall(&mut self, holder: &HolderId) {
        let rest = self.unallocated();
        let done = |want: &Shortfall| want.holder == *holder || want.tokens <= rest;
        if self.wanted.as_ref().is_some_and(done) {
            self.wanted = None;
        }
    }

    /// Takes tokens back from a holder; a pending cut takes them first.
    ///
    /// Returns `None` when fewer tokens are allocated: the row is older than the grant, or another
    /// host has returned the tokens.
    #[must_use]
    pub fn deallocate(&mut self, amount: Tokens) -> Option<()> {
        self.allocated = self.allocated.checked_sub(amount)?;
        self.take_cut();
        Some(())
    }

    /// Adds purchased tokens; a pending cut takes them first. Returns `None` on overflow.
    pub fn top_up(&mut self, amount: Tokens) -> Option<()> {
        self.purchased = self.purchased.checked_add(amount)?;
        self.take_cut();
        Some(())
    }

    /// Removes tokens, at once as far as no holder has them. Returns `None` when the amount is
    /// above what was purchased and not yet cut.
    pub fn cut(&mut self, amount: Tokens) -> Option<()> {
        let cut = self.cut.checked_add(amount)?;
        if cut > self.purchased {
            return None;
        }
        self.cut = cut;
        self.take_cut();
        Some(())
    }

    /// Returns the tokens bought in all, without those that a cut takes.
    pub fn total(&self) -> Tokens {
        self.purchased - self.cut
    }

    /// Sets the tokens bought in all, as stated by a configuration version; an older statement
    /// than the last changes nothing. Returns `None` on overflow.
    pub fn set_total(&mut self, version: Version, total: Tokens) -> Option<()> {
        if version <= self.stated {
            return Some(());
        }
        let known = self.total();
        if total >= known {
            self.raise(total - known)?;
        } else {
            self.cut(known - total)?;
        }
        self.stated = version;
        Some(())
    }

    /// Adds purchased tokens; they first undo a pending cut.
    fn raise(&mut self, amount: Tokens) -> Option<()> {
        let undone = self.cut.min(amount);
        self.cut -= undone;
        self.top_up(amount - undone)
    }

    /// Charges a bill from the rest; what the rest does not cover becomes uncovered.
    pub fn charge(&mut self, bill: Bill) -> Bill {
        let charged = self.grant(bill.charged);
        Bill {
            uncovered: bill.uncovered + (bill.charged - charged),
            charged,
            ..bill
        }
    }

    fn take_cut(&mut self) {
        let taken = self.cut.min(self.unallocated());
        self.cut -= taken;
        self.purchased -= taken;
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Returns the key of a budget's row.
pub fn key(budget: &str) -> String {
    format!("budget/{budget}")
}

/// Budget rows as read, and as a transaction changes them.
#[derive(Debug)]
pub(super) struct Accounts {
    rows: BTreeMap<BudgetId, Change>,
}

#[derive(Debug)]
struct Change {
    row: Row,
    before: Account,
    after: Account,
    /// Whether the transaction depends on the row although it may not change it.
    required: bool,
}

impl Accounts {
    /// Reads the budget rows among `rows`.
    pub fn read(rows: &[Row]) -> Self {
        let parse = |row: &Row| {
            let budget = BudgetId::from(row.key.strip_prefix("budget/")?);
            let before: Account = serde_json::from_str(&row.value).ok()?;
            let change = Change {
                row: row.clone(),
                after: before.clone(),
                before,
                required: false,
            };
            Some((budget, change))
        };
        let rows = rows.iter().filter_map(parse).collect();
        Self { rows }
    }

    /// Returns a budget to change.
    pub fn get(&mut self, budget: &str) -> Option<&mut Account> {
        self.rows.get_mut(budget).map(|change| &mut change.after)
    }

    /// Returns tokens to a budget; `None` when its row is missing.
    ///
    /// When fewer tokens are allocated, the row is old or another host has returned the tokens.
    /// The transaction is made all the same and requires the row as it was read, so that the
    /// store's verdict tells which of the two it was.
    pub fn deallocate(&mut self, budget: &str, amount: Tokens) -> Option<()> {
        let change = self.rows.get_mut(budget)?;
        if change.after.deallocate(amount).is_none() {
            change.required = true;
        }
        Some(())
    }

    /// Returns whether a transaction has to write a row.
    pub fn is_changed(&self) -> bool {
        let mut changes = self.rows.values();
        changes.any(|change| change.before != change.after)
    }

    /// Adds the changed rows to a transaction that requires the versions that were read.
    pub fn write(&self, transaction: &mut Transaction) {
        for change in self.rows.values() {
            let row = &change.row;
            let changed = change.before != change.after;
            if changed || change.required {
                transaction.require(row.key.clone(), row.version);
            }
            if changed {
                transaction.put(row.key.clone(), json(&change.after));
            }
        }
    }
}

/// Returns the text of a row.
pub(super) fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
