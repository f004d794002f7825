//! Budgets.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        key::Operator,
        page::{Page, Range},
        ring::Role,
        write::{Effect, Step, Ticket, Write, execute},
    },
    marigoldroute_core::{
        budget::{self, Account, Change, Proposal, account},
        fault::Kind,
        id::Tokens,
        table::{Row, Transaction, Write as Put},
    },
    marigoldroute_store::Fault,
    poem_openapi::{
        Object, OpenApi,
        param::{Header, Path, Query},
        payload::Json,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

const PREFIX: &str = "budget/";
/// Longest name of a budget in bytes.
const NAME_LIMIT_BYTES: usize = 64;

/// Operations on budgets.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A budget.
#[derive(Clone, Debug, Object, Serialize, Deserialize)]
#[oai(rename = "Budget")]
struct Shown {
    /// Name.
    budget: String,
    /// Tokens bought, less what was cut.
    purchased: Tokens,
    /// Tokens that holders have spent or may spend.
    allocated: Tokens,
    /// Tokens that no holder has.
    rest: Tokens,
    /// Part of cuts that is taken as holders return tokens.
    pending_cut: Tokens,
}

/// A number of tokens to add or remove.
#[derive(Clone, Debug, Object, Serialize)]
struct Amount {
    /// Tokens; at least 1.
    tokens: Tokens,
}

/// A top-up or cut.
#[derive(Clone, Debug, Object)]
struct Booking {
    /// The operator's request id.
    id: String,
    /// Name of the operator's key.
    operator: String,
    /// Tokens added.
    topped_up: Tokens,
    /// Tokens removed or to be removed.
    cut: Tokens,
    /// Tokens of the budget afterwards.
    purchased: Tokens,
}

impl Shown {
    fn new(budget: &str, account: &Account) -> Self {
        Self {
            budget: budget.to_owned(),
            purchased: account.purchased,
            allocated: account.allocated,
            rest: account.unallocated(),
            pending_cut: account.cut,
        }
    }

    fn read(row: &Row) -> Option<(String, Self)> {
        let name = row.key.strip_prefix(PREFIX)?;
        let account = serde_json::from_str(&row.value).ok()?;
        Some((name.to_owned(), Self::new(name, &account)))
    }
}

impl Write for budget::Request {
    async fn step(&self, admin: &Admin, _: &Ticket) -> Result<Step> {
        let mut rows = Vec::new();
        for key in self.keys() {
            rows.extend(admin.platform.get(&key).await?);
        }
        let key = account::key(&self.budget);
        let before = rows.iter().find(|row| *row.key == *key);
        let before = before.map_or_else(|| "absent".into(), |row| row.value.to_string());
        let (transaction, after) = match self.propose(&rows)? {
            Proposal::Commit(transaction) => {
                let after = written(&transaction, &key).ok_or(Fault::Malformed)?;
                (transaction, after)
            }
            // Made without this interface; only the answer is missing.
            Proposal::Done(_) => (Transaction::default(), before.clone()),
        };
        let account = serde_json::from_str(&after).map_err(|_| Fault::Malformed)?;
        let shown = Shown::new(&self.budget, &account);
        let effect = Effect {
            from: before,
            to: after,
            answer: serde_json::to_value(shown).unwrap_or_default(),
        };
        Ok(Step::Finish(transaction, effect))
    }
}

fn written(transaction: &Transaction, wanted: &str) -> Option<String> {
    let mut writes = transaction.writes.iter();
    writes.find_map(|write| match write {
        Put::Put { key, value } if **key == *wanted => Some(value.to_string()),
        _ => None,
    })
}

fn check(name: &str) -> Result<()> {
    let is_good = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > NAME_LIMIT_BYTES || !name.bytes().all(is_good) {
        let message = "must be 1 to 64 letters, digits, '.', '_' or '-'";
        return Err(Refused::mistakes(vec![Mistake::new("budget", message)]));
    }
    Ok(())
}

impl Api {
    async fn book(
        &self,
        operator: &Operator,
        request: &str,
        name: &str,
        change: Change,
    ) -> Result<Shown> {
        operator.0.require(Role::Money)?;
        check(name)?;
        let (operation, tokens) = match change {
            Change::TopUp(tokens) => ("budgets top-up", tokens),
            Change::Cut(tokens) => ("budgets cut", tokens),
        };
        let amount = Amount { tokens };
        let ticket = Ticket::new(operator, request, operation, name, &amount)?;
        let booking = budget::Request {
            budget: name.into(),
            id: ticket.request.clone(),
            change,
            operator: ticket.operator.clone(),
        };
        execute(&self.0, &ticket, &booking).await
    }
}

#[OpenApi]
impl Api {
    /// Lists the budgets.
    #[oai(path = "/budgets", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Last budget of the page before.
        after: Query<Option<String>>,
        /// Most budgets of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Shown>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let after = format!("{PREFIX}{}", range.after);
        let rows = self
            .0
            .platform
            .scan(PREFIX, &after, range.limit + 1)
            .await?;
        Ok(Json(range.cut(rows.iter().filter_map(Shown::read))))
    }

    /// Returns a budget.
    #[oai(path = "/budgets/:budget", method = "get")]
    async fn show(
        &self,
        operator: Operator,
        /// Name of the budget.
        budget: Path<String>,
    ) -> Result<Json<Shown>> {
        operator.0.require(Role::Read)?;
        check(&budget)?;
        let row = self.0.platform.get(&account::key(&budget)).await?;
        let missing = || Refused::new(Kind::NotFound, format!("no budget {}", budget.0));
        let row = row.ok_or_else(missing)?;
        let shown = Shown::read(&row).ok_or(Fault::Malformed)?;
        Ok(Json(shown.1))
    }

    /// Lists the top-ups and cuts of a budget.
    #[oai(path = "/budgets/:budget/bookings", method = "get")]
    async fn bookings(
        &self,
        operator: Operator,
        /// Name of the budget.
        budget: Path<String>,
        /// Last request id of the page before.
        after: Query<Option<String>>,
        /// Most entries of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Booking>>> {
        operator.0.require(Role::Read)?;
        check(&budget)?;
        let range = Range::new(after.0, limit.0)?;
        let prefix = format!("topup/{}/", budget.0);
        let after = format!("{prefix}{}", range.after);
        let rows = self
            .0
            .platform
            .scan(&prefix, &after, range.limit + 1)
            .await?;
        let bookings = rows.iter().filter_map(|row| {
            let id = row.key.strip_prefix(&prefix)?.to_owned();
            let receipt: budget::Receipt = serde_json::from_str(&row.value).ok()?;
            let (topped_up, cut) = match receipt.change {
                Change::TopUp(tokens) => (tokens, 0),
                Change::Cut(tokens) => (0, tokens),
            };
            let booking = Booking {
                id: id.clone(),
                operator: receipt.operator,
                topped_up,
                cut,
                purchased: receipt.purchased,
            };
            Some((id, booking))
        });
        Ok(Json(range.cut(bookings)))
    }

    /// Adds tokens to a budget; creates the budget when it does not exist.
    #[oai(path = "/budgets/:budget/top-up", method = "post")]
    async fn top_up(
        &self,
        operator: Operator,
        /// Name of the budget.
        budget: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<Amount>,
    ) -> Result<Json<Shown>> {
        let change = Change::TopUp(body.tokens);
        let shown = self.book(&operator, &request, &budget, change).await?;
        Ok(Json(shown))
    }

    /// Removes tokens from a budget, at once as far as no holder has them.
    #[oai(path = "/budgets/:budget/cut", method = "post")]
    async fn cut(
        &self,
        operator: Operator,
        /// Name of the budget.
        budget: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<Amount>,
    ) -> Result<Json<Shown>> {
        let change = Change::Cut(body.tokens);
        let shown = self.book(&operator, &request, &budget, change).await?;
        Ok(Json(shown))
    }
}
