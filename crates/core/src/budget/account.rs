//! The budget row of the table service.

use {
    crate::id::Tokens,
    serde::{Deserialize, Serialize},
};

/// Row `budget/{budget}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Tokens bought since the budget was created, less what was cut.
    pub purchased: Tokens,
    /// Tokens moved to holders and not given back; at most `purchased`.
    pub allocated: Tokens,
}

impl Account {
    /// Returns the tokens that no holder has.
    pub fn rest(&self) -> Tokens {
        self.purchased.saturating_sub(self.allocated)
    }
}

/// Returns the key of a budget's row.
pub fn key(budget: &str) -> String {
    format!("budget/{budget}")
}
