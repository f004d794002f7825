//! Top-ups and cuts of a budget by operators.

use {
    super::account::{self, Account, json},
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
    /// Removes tokens, at once as far as no holder has them.
    Cut(Tokens),
}

/// Row `topup/{budget}/{id}`, created in the same transaction as the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// What was done.
    pub change: Change,
    /// Name of the operator's key.
    pub operator: String,
    /// Tokens of the budget afterwards, without those already cut.
    pub purchased: Tokens,
    /// Tokens still to be cut afterwards.
    pub cut: Tokens,
}

/// An operator's request to change a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The budget.
    pub budget: BudgetId,
    /// The operator's request id; a request with the same id is applied once.
    pub id: String,
    /// What to do.
    pub change: Change,
    /// Name of the operator's key.
    pub operator: String,
}

/// What to do next for a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// Commit the transaction. On a conflict or a lost response, read the rows again and call
    /// [`Request::propose`] again.
    Commit(Transaction),
    /// The change has taken effect.
    Done(Receipt),
}

impl Request {
    /// Returns the keys of the receipt and of the budget row.
    pub fn keys(&self) -> [String; 2] {
        [self.receipt_key(), account::key(&self.budget)]
    }

    /// Returns the next step, given the rows of [`Self::keys`] as far as they exist.
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

/// The total of a budget as a configuration version states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredTotal {
    /// The budget.
    pub budget: BudgetId,
    /// Configuration version; an older one than the budget row knows changes nothing.
    pub version: Version,
    /// Tokens bought in all.
    pub total: Tokens,
}

impl ConfiguredTotal {
    /// Returns the transaction that puts the statement into effect, given the budget row if it
    /// exists; `None` when it is in effect or a newer one is.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the row cannot be read.
    pub fn propose(&self, row: Option<&Row>) -> Result<Option<Transaction>, Fault> {
        let mut account: Account = row.map(parse).transpose()?.unwrap_or_default();
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
        Ok(Some(transaction))
    }
}

fn parse<'a, T: Deserialize<'a>>(row: &'a Row) -> Result<T, Fault> {
    serde_json::from_str(&row.value).map_err(|error| {
        let message = format!("row {} cannot be read: {error}", row.key);
        Fault::new(Kind::Internal, message)
    })
}
