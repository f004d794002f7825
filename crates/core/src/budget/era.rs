//! Settlement of the budget rows after a restore of the store.
//!
//! A restore takes the rows back to a copy, so budget rows may lack tokens that holders have taken
//! since. Each process states once in the new era by how much the tokens that it took or used
//! differ from what its surviving journal says. When all processes that may have taken tokens have
//! done so, or the others have been found dead, the list of statements is closed. From then on, the
//! first transaction that changes a budget row also settles it: it adds the differences, and
//! withholds all unallocated tokens if a process is missing, because that process may have used
//! them.
//!
//! The rows of an era are never removed: a budget that is not used is settled at its next use.

use {
    super::account::{Account, json},
    crate::{
        id::{BudgetId, Era, HolderId, Tokens, Version},
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Prefix of the keys of all rows of this module.
pub const PREFIX: &str = "fleet/";
/// Prefix of the keys of the rows [`Opened`].
const OPENED_PREFIX: &str = "fleet/era/";
/// Prefix of the keys of the rows [`Statement`].
const STATEMENT_PREFIX: &str = "fleet/restated/";
/// Prefix of the keys of the rows [`Closing`].
const CLOSING_PREFIX: &str = "fleet/settled/";
/// Earlier eras that are opened together with one whose predecessors nobody may have seen, so that
/// transactions made in them fail.
const SKIPPED_ERAS: Era = 8;
/// Latest era that a store which was never restored may state.
const FIRST_ERA: Era = 1;
/// Time after which a process that has not restated counts as dead. Hosts learn of a new era within
/// a second and are to serve everything again 15 s after the restore.
pub const PATIENCE: Duration = Duration::from_secs(8);

/// Tokens that a process took or used beyond what its surviving journal says, by budget; negative
/// for tokens that it returned.
pub type Differences = BTreeMap<BudgetId, i64>;

/// Row `fleet/era/{era}`, created by the first process that sees the era.
///
/// Transactions that change budget rows require that the row of the next era is absent, because the
/// versions in their other conditions may have been assigned again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Opened {
    /// Whether the era began with a restore.
    pub is_restored: bool,
    /// Processes that were seen before or shortly after the restore and have to restate.
    pub known: BTreeSet<HolderId>,
    /// Newest configuration version that one of the processes has known.
    pub configured: Version,
}

/// Row `fleet/restated/{era}/{holder}`, created once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Statement {
    /// Differences that the settlement adds to the budget rows; empty after the closing, when the
    /// process changes the budget rows itself.
    pub differences: Differences,
}

/// Row `fleet/settled/{era}`, created once. It ends the statements of an era: their transactions
/// require that it is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Closing {
    /// Processes that may have taken tokens and have not restated.
    pub missing: BTreeSet<HolderId>,
    /// Totals of the budgets in the newest configuration, with its version. They are applied before
    /// tokens are withheld, since a missing process may have used a top-up that the store lost.
    /// Budgets that are not listed came later and need no settlement.
    pub totals: BTreeMap<BudgetId, (Version, Tokens)>,
}

/// What the store says about the present era.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Present era; `None` when the store states none, and everything counts as settled.
    era: Option<Era>,
    opened: BTreeMap<Era, Opened>,
    closings: BTreeMap<Era, Closing>,
    /// Processes that have restated, with their differences.
    statements: BTreeMap<Era, BTreeMap<HolderId, Differences>>,
}

/// What a process contributes when it opens an era.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Witness {
    /// Processes that it has seen lately.
    pub known: BTreeSet<HolderId>,
    /// Configuration version that it has in effect.
    pub configured: Version,
    /// Whether it has seen an earlier era.
    pub has_seen_earlier: bool,
}

impl Settlement {
    /// Parses the rows whose keys start with [`PREFIX`], as read in `era`. A row that cannot be
    /// parsed counts as absent.
    pub fn read(era: Era, rows: &[Row]) -> Self {
        let mut settlement = Self {
            era: Some(era),
            ..Self::default()
        };
        for row in rows {
            settlement.read_row(row);
        }
        settlement
    }

    fn read_row(&mut self, row: &Row) {
        if let Some((era, opened)) = parse(row, OPENED_PREFIX) {
            self.opened.insert(era, opened);
        } else if let Some((era, closing)) = parse(row, CLOSING_PREFIX) {
            self.closings.insert(era, closing);
        } else if let Some(rest) = row.key.strip_prefix(STATEMENT_PREFIX)
            && let Some((era, holder)) = rest.split_once('/')
            && let Ok(era) = era.parse()
            && let Ok(statement) = serde_json::from_str::<Statement>(&row.value)
        {
            let statements = self.statements.entry(era).or_default();
            statements.insert(holder.into(), statement.differences);
        }
    }

    /// Returns the present era.
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns whether the era began with a restore. Without an era there are no restores.
    pub fn is_restored(&self) -> bool {
        let opened = self.era.and_then(|era| self.opened.get(&era));
        opened.is_some_and(|opened| opened.is_restored)
    }

    /// Returns whether a process has opened the era.
    pub fn is_open(&self) -> bool {
        self.era.is_none_or(|era| self.opened.contains_key(&era))
    }

    /// Returns the row that ends the statements of the era.
    pub fn closing(&self) -> Option<&Closing> {
        self.closings.get(&self.era?)
    }

    /// Returns whether a process has restated in the era.
    pub fn has_restated(&self, holder: &str) -> bool {
        let statements = self.era.and_then(|era| self.statements.get(&era));
        statements.is_some_and(|statements| statements.contains_key(holder))
    }

    /// Returns the transaction that opens the era, or adds what this process has seen to its row;
    /// `None` when nothing is missing. `rows` are those that the settlement was read from.
    pub fn open(&self, rows: &[Row], witness: &Witness) -> Option<Transaction> {
        let era = self.era?;
        let mut transaction = Transaction::default();
        let current = self.opened.get(&era);
        let has_earlier = self.opened.range(..era).next().is_some() || witness.has_seen_earlier;
        let is_restored = match current {
            Some(opened) => opened.is_restored || witness.has_seen_earlier,
            // The copy may be older than the first row of this kind.
            None => has_earlier || era > FIRST_ERA,
        };
        let mut opened = current.cloned().unwrap_or_default();
        opened.is_restored = is_restored;
        if is_restored && self.closing().is_none() {
            opened.known.extend(witness.known.iter().cloned());
            opened.configured = opened.configured.max(witness.configured);
        }
        if current == Some(&opened) {
            return None;
        }
        let key = opened_key(era);
        let version = rows.iter().find(|row| *row.key == *key);
        transaction.require(key.as_str(), version.map_or(0, |row| row.version));
        transaction.put(key, json(&opened));
        let skipped = era.saturating_sub(SKIPPED_ERAS)..era;
        for skipped in skipped.filter(|era| is_restored && !self.opened.contains_key(era)) {
            transaction.put(
                opened_key(skipped),
                json(&Opened {
                    is_restored,
                    ..Opened::default()
                }),
            );
        }
        require_era(&mut transaction, self.era);
        Some(transaction)
    }

    /// Returns the processes that have to restate and have not done so; none after the closing.
    /// Processes whose journals
    /// ended before the restore are among them.
    pub fn missing(&self) -> BTreeSet<HolderId> {
        let Some(era) = self.era.filter(|_| self.closing().is_none()) else {
            return BTreeSet::new();
        };
        // Statements of an era that was not closed still count, so its processes have to be known.
        let closed = self.closings.range(..=era).next_back();
        let first = closed.map_or(0, |(closed, _)| closed + 1);
        let opened = self.opened.range(first..=era);
        let known = opened.flat_map(|(_, opened)| opened.known.iter());
        known
            .filter(|holder| !self.has_restated(holder))
            .cloned()
            .collect()
    }

    /// Returns the transaction that ends the statements of the era: as soon as no process is
    /// missing, or once the others count as dead. `waited` is the time since this process first saw
    /// the era, and `totals` come from the configuration `version` that it has in effect.
    pub fn close(
        &self,
        rows: &[Row],
        waited: Duration,
        missing: BTreeSet<HolderId>,
        version: Version,
        totals: BTreeMap<BudgetId, (Version, Tokens)>,
    ) -> Option<Transaction> {
        let era = self.era?;
        let opened = self.opened.get(&era).filter(|opened| opened.is_restored)?;
        let is_due = missing.is_empty() || waited >= PATIENCE;
        if self.closing().is_some() || !is_due || version < opened.configured {
            return None;
        }
        let key = opened_key(era);
        let row = rows.iter().find(|row| *row.key == *key)?;
        let mut transaction = Transaction::default();
        transaction.require(key, row.version);
        transaction.require(closing_key(era), 0);
        transaction.put(closing_key(era), json(&Closing { missing, totals }));
        require_era(&mut transaction, self.era);
        Some(transaction)
    }

    /// Brings an account into the present era; returns whether it is in it. If not, no tokens of
    /// the budget may be granted or returned.
    pub fn settle(&self, budget: &str, account: &mut Account) -> bool {
        let Some(era) = self.era else {
            return true;
        };
        if account.settled == Some(era) {
            return true;
        }
        // A row of a later era was read by a process that has not entered that era yet.
        if !self.is_open() || account.settled > Some(era) {
            return false;
        }
        if !self.is_restored() {
            account.settled = Some(era);
            return true;
        }
        if self.closing().is_none() {
            return false;
        }
        let since = account.settled.map_or(0, |era| era + 1);
        let closings: Vec<_> = self.closings.range(since..=era).collect();
        for (_, closing) in &closings {
            if let Some((version, total)) = closing.totals.get(budget) {
                // An overflow leaves the total as it is.
                let _ = account.set_total(*version, *total);
            }
        }
        let is_complete = closings
            .iter()
            .all(|(_, closing)| closing.missing.is_empty());
        account.correct(self.sum(since, era, budget, true), true);
        account.correct(self.sum(since, era, budget, false), false);
        if !is_complete {
            account.withhold(Tokens::MAX);
        }
        account.settled = Some(era);
        true
    }

    /// Returns the sum of the differences that holders state of a budget in the eras `since..=era`:
    /// of those for which tokens were withheld in an earlier era, or of the others.
    fn sum(&self, since: Era, era: Era, budget: &str, is_withheld: bool) -> i64 {
        let was_missing = |before: Era, holder: &HolderId| {
            let mut closings = self.closings.range(..before);
            closings.any(|(_, closing)| closing.missing.contains(holder))
        };
        let statements = self.statements.range(since..=era);
        let statements =
            statements.flat_map(|(era, holders)| holders.iter().map(|all| (*era, all)));
        let differences = statements
            .filter(|(era, (holder, _))| was_missing(*era, holder) == is_withheld)
            .filter_map(|(_, (_, differences))| differences.get(budget));
        differences.sum()
    }

    /// Returns the era in which the new row of a budget counts as settled. A row that the restore
    /// may have removed has to be settled like any other.
    pub fn era_of_new(&self, budget: &str) -> Option<Era> {
        let is_new = || {
            let is_listed = |closing: &Closing| closing.totals.contains_key(budget);
            let has_statement = |all: &Differences| all.contains_key(budget);
            let mut statements = self.statements.values().flat_map(BTreeMap::values);
            self.closing().is_some()
                && !self.closings.values().any(is_listed)
                && !statements.any(has_statement)
        };
        match self.era {
            Some(_) if self.is_open() && (!self.is_restored() || is_new()) => self.era,
            Some(_) => Some(0),
            None => None,
        }
    }

    /// Adds to a transaction that changes budget rows that it fails in a later era.
    pub(super) fn require(&self, transaction: &mut Transaction) {
        require_era(transaction, self.era);
    }

    /// Adds the statement of a process, which has to come before the closing.
    pub(super) fn state(
        &self,
        transaction: &mut Transaction,
        holder: &str,
        differences: Differences,
    ) {
        let Some(era) = self.era else {
            return;
        };
        if self.closing().is_none() {
            transaction.require(closing_key(era), 0);
        }
        let key = format!("{STATEMENT_PREFIX}{era:012}/{holder}");
        transaction.require(key.as_str(), 0);
        transaction.put(key, json(&Statement { differences }));
    }
}

/// Adds the condition that no process has seen the era after `era`.
fn require_era(transaction: &mut Transaction, era: Option<Era>) {
    if let Some(era) = era {
        transaction.require(opened_key(era + 1), 0);
    }
}

fn opened_key(era: Era) -> String {
    format!("{OPENED_PREFIX}{era:012}")
}

fn closing_key(era: Era) -> String {
    format!("{CLOSING_PREFIX}{era:012}")
}

fn parse<T: DeserializeOwned>(row: &Row, prefix: &str) -> Option<(Era, T)> {
    let era = row.key.strip_prefix(prefix)?.parse().ok()?;
    Some((era, serde_json::from_str(&row.value).ok()?))
}
