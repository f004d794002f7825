//! Changes of a budget's purchased tokens: top-ups and cuts by operators, and totals in the
//! configuration.

use {
    super::{
        account::{self, Account, json},
        era::Settlement,
    },
    crate::{
        fault::{Fault, Kind},
        id::{BudgetId, Tokens, Version},
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize},
};

/// A change of the purchased tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds purchased tokens; creates the budget when it does not exist.
    TopUp(Tokens),
    /// Removes tokens: unallocated ones at once, others when holders return them.
    Cut(Tokens),
}

/// Row `topup/{budget}/{id}`, created in the same transaction as the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The change that was applied.
    pub change: Change,
    /// Name of the operator's key.
    pub operator: String,
    /// [`Account::purchased`] after the change.
    pub purchased: Tokens,
    /// [`Account::cut`] after the change: tokens that are still to be cut.
    pub cut: Tokens,
}

/// An operator's request to change a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Budget to change.
    pub budget: BudgetId,
    /// The operator's request id; requests with the same id are applied once.
    pub id: String,
    /// Change to apply.
    pub change: Change,
    /// Name of the operator's key.
    pub operator: String,
}

/// Next step of a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// The transaction to commit. On a conflict or a lost response, the caller reads the rows again
    /// and repeats [`Request::propose`].
    Commit(Transaction),
    /// The change has taken effect.
    Done(Receipt),
}

impl Request {
    /// Returns the keys of the receipt row and the budget row.
    pub fn keys(&self) -> [String; 2] {
        [self.receipt_key(), account::key(&self.budget)]
    }

    /// Returns the next step, given those rows of [`Self::keys`] that exist.
    ///
    /// # Errors
    /// [`Kind::InvalidRequest`] when the amount is 0, too large, or more than can be cut;
    /// [`Kind::NotFound`] when the budget to cut does not exist; [`Kind::Conflict`] when the id
    /// was used for another change; [`Kind::Internal`] when a row cannot be read.
    pub fn propose(&self, rows: &[Row]) -> Result<Proposal, Fault> {
        let [receipt_key, budget_key] = self.keys();
        let find = |key: &str| rows.iter().find(|row| *row.key == *key);
        if let Some(row) = find(&receipt_key) {
            return self.repeat(row);
        }
        let row = find(&budget_key);
        let account = self.apply(row)?;
        let receipt = Receipt {
            change: self.change,
            operator: self.operator.clone(),
            purchased: account.purchased,
            cut: account.cut,
        };
        let version: Version = row.map_or(0, |row| row.version);
        let mut transaction = Transaction::default();
        transaction.require(receipt_key.as_str(), 0);
        transaction.require(budget_key.as_str(), version);
        transaction.put(receipt_key, json(&receipt));
        transaction.put(budget_key, json(&account));
        Ok(Proposal::Commit(transaction))
    }

    fn receipt_key(&self) -> String {
        format!("topup/{}/{}", self.budget, self.id)
    }

    fn repeat(&self, row: &Row) -> Result<Proposal, Fault> {
        let receipt: Receipt = parse(row)?;
        if receipt.change == self.change {
            return Ok(Proposal::Done(receipt));
        }
        let message = format!("request id {} was used for another change", self.id);
        Err(Fault::new(Kind::Conflict, message))
    }

    fn apply(&self, row: Option<&Row>) -> Result<Account, Fault> {
        let invalid = |message: &str| Fault::new(Kind::InvalidRequest, message);
        let mut account = match (row, self.change) {
            (Some(row), _) => parse(row)?,
            (None, Change::TopUp(_)) => Account::default(),
            (None, Change::Cut(_)) => {
                let message = format!("budget {} does not exist", self.budget);
                return Err(Fault::new(Kind::NotFound, message));
            }
        };
        let applied = match self.change {
            Change::TopUp(0) | Change::Cut(0) => return Err(invalid("the amount is 0")),
            Change::TopUp(amount) => account.top_up(amount),
            Change::Cut(amount) => account.cut(amount),
        };
        applied.ok_or_else(|| invalid("the amount exceeds what the budget allows"))?;
        Ok(account)
    }
}

/// Total of a budget as set in a configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredTotal {
    /// Budget to change.
    pub budget: BudgetId,
    /// Configuration version. It has no effect if the budget row states the same or a newer one.
    pub version: Version,
    /// Value for [`Account::total`].
    pub total: Tokens,
}

impl ConfiguredTotal {
    /// Returns the transaction that applies the total, given the budget row if it exists; `None`
    /// when this total or a newer version is already in effect.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the row cannot be read; [`Kind::Conflict`] when it cannot be settled
    /// yet after a restore of the store.
    pub fn propose(
        &self,
        row: Option<&Row>,
        settlement: &Settlement,
    ) -> Result<Option<Transaction>, Fault> {
        let mut account: Account = row.map(parse).transpose()?.unwrap_or_default();
        if row.is_none() {
            account.settled = settlement.era_of_new(&self.budget);
        } else if !settlement.settle(&self.budget, &mut account) {
            let message = format!("budget {} is not settled yet", self.budget);
            return Err(Fault::new(Kind::Conflict, message));
        }
        let is_known = row.is_some() && account.total() == self.total;
        if is_known || account.stated >= self.version {
            return Ok(None);
        }
        let overflow = || Fault::new(Kind::Internal, "the stated total is too large");
        account
            .set_total(self.version, self.total)
            .ok_or_else(overflow)?;
        let key = account::key(&self.budget);
        let mut transaction = Transaction::default();
        transaction.require(key.as_str(), row.map_or(0, |row| row.version));
        transaction.put(key, json(&account));
        settlement.require(&mut transaction);
        Ok(Some(transaction))
    }
}

fn parse<'a, T: Deserialize<'a>>(row: &'a Row) -> Result<T, Fault> {
    serde_json::from_str(&row.value).map_err(|error| {
        let message = format!("row {} cannot be read: {error}", row.key);
        Fault::new(Kind::Internal, message)
    })
}
