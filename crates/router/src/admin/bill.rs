//! Bills.
//!
//! Bills are first in the journals of the holders. The ledger takes them from there into segments
//! in the object store, where no request appears twice. A bill that is still in a journal is shown
//! as not final.

use {
    super::{
        Admin,
        answer::Result,
        key::Operator,
        page::{Page, Range},
        ring::Role,
    },
    marigoldroute_core::{
        bill::{self, Cursor, Segment, cursor_key, request_of},
        budget::{Journal, journal},
        id::{Sequence, Tokens},
        table::Row,
    },
    marigoldroute_store::Fault,
    poem_openapi::{Object, OpenApi, param::Query, payload::Json},
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Journal rows read per call.
const PAGE_ROWS: usize = 500;
/// Most segments and journal rows read for one answer.
const READ_LIMIT: usize = 2_000;

/// A second bill of a request follows the first within this time.
pub(super) const REPEAT_SECONDS: u64 = 3_600;

/// Operations on bills.
pub(super) struct Api(pub(super) Arc<Admin>);

/// A bill.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Bill")]
struct Shown {
    /// Request.
    request: String,
    /// Workspace that asked.
    workspace: String,
    /// Budget that pays.
    budget: String,
    /// Model or service that answered.
    model: String,
    /// Upstream that answered.
    upstream: String,
    /// Tokens charged.
    charged: Tokens,
    /// Tokens that the upstream used above the reservation; not charged.
    uncovered: Tokens,
    /// Whether the ledger has decided on the bill.
    settled: bool,
}

/// A group of bills that are read together.
#[derive(Clone, Debug)]
pub(super) struct Group {
    /// Key of the segment or journal row.
    pub(super) key: Arc<str>,
    pub(super) bills: Vec<bill::Bill>,
    /// Whether the ledger has decided on the bills.
    pub(super) is_settled: bool,
}

/// Bills as read for one answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Found {
    /// In the order of their keys; no request appears twice.
    pub(super) groups: Vec<Group>,
    /// Number of bills in the groups.
    count: usize,
    /// First key of the answer; what comes before only makes requests known.
    from: String,
    /// Requests that have a bill.
    known: HashSet<Arc<str>>,
    /// Whether nothing was left out.
    pub(super) is_complete: bool,
}

impl Admin {
    /// Reads the bills of a budget, or of all of them, from a key on. `enough` is the number of
    /// bills after which no more is read.
    pub(super) async fn bills(
        &self,
        budget: Option<&str>,
        from: &str,
        enough: usize,
    ) -> Result<Found> {
        let mut found = Found {
            from: from.to_owned(),
            ..Found::default()
        };
        let prefix = match budget {
            Some(budget) => format!("bills/{budget}/"),
            None => "bills/".to_owned(),
        };
        let keys = self.platform.list_objects(&prefix).await?;
        // Older segments are left out of a later page, but for those whose bills a holder may
        // have written a second time.
        let recent = now_seconds().saturating_sub(REPEAT_SECONDS);
        let is_needed = |key: &String| **key >= *from || time(key) >= recent;
        for (read, key) in keys.into_iter().filter(is_needed).enumerate() {
            if read == READ_LIMIT || found.count > enough {
                return Ok(found);
            }
            // A segment never disappears; one that is listed and absent is being written.
            let Some(value) = self.platform.get_object(&key).await? else {
                continue;
            };
            let bills = Segment::decode(&key, &value)?.bills;
            found.add(key.into(), bills, true);
        }
        self.open_bills(budget, enough, &mut found).await?;
        Ok(found)
    }

    /// Adds the bills that the ledger has not taken. The journals are short, because the ledger
    /// follows them; they are read from the start to know each request that comes before.
    pub(super) async fn open_bills(
        &self,
        budget: Option<&str>,
        enough: usize,
        found: &mut Found,
    ) -> Result<()> {
        let mut cursors = BTreeMap::new();
        let mut after = String::new();
        let mut read = 0;
        while read < READ_LIMIT && found.count <= enough {
            let rows = self.platform.scan("journal/", &after, PAGE_ROWS).await?;
            read += rows.len();
            for row in &rows {
                after = row.key.to_string();
                let holder = row.key.split('/').nth(1).unwrap_or_default();
                if !cursors.contains_key(holder) {
                    let next = self.taken(holder).await?;
                    cursors.insert(holder.to_owned(), next);
                }
                if journal::sequence_of_key(&row.key) >= cursors.get(holder).copied() {
                    found.add(row.key.clone(), bills(row, budget)?, false);
                }
            }
            if rows.len() < PAGE_ROWS {
                found.is_complete = true;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the first journal row of a holder whose bills are not in segments.
    async fn taken(&self, holder: &str) -> Result<Sequence> {
        let row = self.platform.get(&cursor_key(holder)).await?;
        let cursor: Cursor = bill::Page::decode_cursor(row.as_ref())?;
        Ok(cursor.batch.map_or(cursor.next, |batch| batch.first))
    }
}

impl Found {
    fn add(&mut self, key: Arc<str>, mut bills: Vec<bill::Bill>, is_settled: bool) {
        bills.retain(|bill| self.known.insert(request_of(&bill.request)));
        if *key < *self.from {
            return;
        }
        self.count += bills.len();
        self.groups.push(Group {
            key,
            bills,
            is_settled,
        });
    }
}

/// Returns the time in the key of a segment, in seconds since the Unix epoch.
pub(super) fn time(key: &str) -> u64 {
    let name = key.rsplit('/').next().unwrap_or_default();
    let time = name.split('-').next().unwrap_or_default();
    time.parse().unwrap_or_default()
}

pub(super) fn now_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}

fn bills(row: &Row, budget: Option<&str>) -> Result<Vec<bill::Bill>> {
    let journal: Journal = serde_json::from_str(&row.value).map_err(|_| Fault::Malformed)?;
    let mut bills = journal.entry.bills().to_vec();
    bills.retain(|bill| budget.is_none_or(|budget| *bill.budget == *budget));
    Ok(bills)
}

/// Place of a bill: `{key}#{number of the bill in its group}`.
fn place(text: &str) -> (&str, usize) {
    let split = text.rsplit_once('#');
    split.map_or((text, 0), |(key, number)| {
        (key, number.parse().unwrap_or(0))
    })
}

#[OpenApi]
impl Api {
    /// Lists the bills, those of a budget in the order of time.
    #[oai(path = "/bills", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Only bills of this budget.
        budget: Query<Option<String>>,
        /// `next` of the page before.
        after: Query<Option<String>>,
        /// Most bills of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Shown>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let (from, skip) = place(&range.after);
        let found = self.0.bills(budget.0.as_deref(), from, range.limit + skip);
        let found = found.await?;
        let mut items = Vec::new();
        for group in &found.groups {
            let first = if *group.key == *from { skip } else { 0 };
            for (number, bill) in group.bills.iter().enumerate().skip(first) {
                if items.len() == range.limit {
                    let next = Some(format!("{}#{number}", group.key));
                    return Ok(Json(Page { items, next }));
                }
                items.push(Shown::new(bill, group.is_settled));
            }
        }
        let last = found.groups.last();
        let rest = last.map(|group| format!("{}#{}", group.key, group.bills.len()));
        let next = rest.filter(|_| !found.is_complete);
        Ok(Json(Page { items, next }))
    }
}

impl Shown {
    fn new(bill: &bill::Bill, settled: bool) -> Self {
        Self {
            request: bill.request.to_string(),
            workspace: bill.workspace.to_string(),
            budget: bill.budget.to_string(),
            model: bill.model.to_string(),
            upstream: bill.upstream.to_string(),
            charged: bill.charged,
            uncovered: bill.uncovered,
            settled,
        }
    }
}
