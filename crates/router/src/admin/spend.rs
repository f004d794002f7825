//! Spend by workspace, budget, model or upstream over a range of time.
//!
//! The time of a bill is that of the ledger's decision, which is in the key of its segment, so a
//! report on the past does not change. A report is read page by page; each page holds one segment
//! and the sums. The first page fixes the time up to which the segments are stable; the last one
//! adds what is newer, and the bills that the ledger has not decided on.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        bill::{Found, REPEAT_SECONDS, now_seconds, time},
        key::Operator,
        ring::Role,
        segments::{Next, Segments},
    },
    marigoldroute_core::{
        bill::{Bill, Segment, request_of},
        id::{RequestId, Tokens},
    },
    poem_openapi::{Enum, Object, OpenApi, param::Query, payload::Json},
    std::{
        collections::{BTreeMap, HashMap},
        ops::Range,
        sync::Arc,
    },
};

/// Segments read for a page.
const PAGE_SEGMENTS: usize = 500;
/// Segments read on the last page to find second bills of requests and new segments.
const RECENT_SEGMENTS: usize = 20_000;
/// Age from which segments are stable: an open batch is published by then, or its bills are still
/// read from the journal.
const STABLE_SECONDS: u64 = 300;

/// Operations on spend.
pub(super) struct Api(pub(super) Arc<Admin>);

/// What spend is grouped by.
#[derive(Clone, Copy, Debug, Enum, PartialEq, Eq)]
#[oai(rename_all = "snake_case")]
enum By {
    Workspace,
    Budget,
    Model,
    Upstream,
}

/// Sums of bills.
#[derive(Clone, Debug, Default, Object)]
#[oai(rename = "SpendTotal")]
struct Total {
    /// Workspace, budget, model or upstream.
    name: String,
    /// Number of bills.
    bills: u64,
    /// Tokens charged.
    charged: Tokens,
    /// Tokens that upstreams used above the reservations; not charged.
    uncovered: Tokens,
}

/// A page of a report of spend.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Spend")]
struct Report {
    /// Sums of this page, sorted by name.
    totals: Vec<Total>,
    /// Whether the report is complete with this page.
    complete: bool,
    /// Pass this as `after` for the next page; add the sums of all pages. Absent on the last one.
    #[oai(skip_serializing_if_is_none)]
    next: Option<String>,
}

/// What a report is about.
struct Question {
    by: By,
    budget: Option<String>,
    /// Seconds since the Unix epoch.
    range: Range<u64>,
}

/// Where a page begins: `{end of the stable segments}#{key}`.
struct Place {
    stable: u64,
    after: String,
}

impl Place {
    fn parse(text: &str) -> Result<Self> {
        let place = text.split_once('#').and_then(|(stable, after)| {
            let (stable, after) = (stable.parse().ok()?, after.to_owned());
            Some(Self { stable, after })
        });
        place.ok_or_else(|| Refused::mistakes(vec![Mistake::new("after", "not a page")]))
    }
}

/// Sums by name.
struct Sums {
    question: Question,
    totals: BTreeMap<Arc<str>, Total>,
}

impl Sums {
    fn add(&mut self, bill: &Bill) {
        let is_wanted = |budget: &String| *bill.budget == **budget;
        if !self.question.budget.as_ref().is_none_or(is_wanted) {
            return;
        }
        let name = match self.question.by {
            By::Workspace => &bill.workspace,
            By::Budget => &bill.budget,
            By::Model => &bill.model,
            By::Upstream => &bill.upstream,
        };
        let total = self.totals.entry(name.clone()).or_default();
        total.bills += 1;
        total.charged += bill.charged;
        total.uncovered += bill.uncovered;
    }

    fn report(self, complete: bool, next: Option<String>) -> Report {
        let named = self.totals.into_iter().map(|(name, total)| Total {
            name: name.to_string(),
            ..total
        });
        Report {
            totals: named.collect(),
            complete,
            next,
        }
    }
}

impl Admin {
    async fn segment(&self, key: &str) -> Result<Vec<Bill>> {
        // A segment never disappears; one that is listed and absent is being written.
        match self.platform.get_object(key).await? {
            Some(value) => Ok(Segment::decode(key, &value)?.bills),
            None => Ok(Vec::new()),
        }
    }

    async fn spend(&self, question: Question, place: Place) -> Result<Report> {
        let range = question.range.start..question.range.end.min(place.stable);
        let budget = question.budget.clone();
        let mut sums = Sums {
            question,
            totals: BTreeMap::new(),
        };
        let mut segments = Segments::new(&self.platform, budget.as_deref(), range, &place.after);
        for _ in 0..PAGE_SEGMENTS {
            match segments.next().await? {
                Next::Key(key) => {
                    let bills = self.segment(&key).await?;
                    bills.iter().for_each(|bill| sums.add(bill));
                }
                Next::Pause => break,
                Next::End => {
                    let complete = self.add_recent(&mut sums, place.stable).await?;
                    return Ok(sums.report(complete, None));
                }
            }
        }
        let next = format!("{}#{}", place.stable, segments.after());
        Ok(sums.report(false, Some(next)))
    }

    /// Adds the segments from `stable` on and the bills without a decision; returns whether none
    /// was left out.
    ///
    /// The journals are read first: a bill that is decided on meanwhile is then in both, and
    /// counts once.
    async fn add_recent(&self, sums: &mut Sums, stable: u64) -> Result<bool> {
        let (now, range) = (now_seconds(), sums.question.range.clone());
        let budget = sums.question.budget.clone();
        let mut is_complete = true;
        let mut open: HashMap<RequestId, Bill> = HashMap::new();
        if range.contains(&now) {
            let mut found = Found::default();
            let journals = self.open_bills(budget.as_deref(), usize::MAX, &mut found);
            journals.await?;
            is_complete = found.is_complete;
            let bills = found.groups.into_iter().flat_map(|group| group.bills);
            open.extend(bills.map(|bill| (request_of(&bill.request), bill)));
        }
        let earliest = match open.is_empty() {
            true => stable,
            false => stable.min(now.saturating_sub(REPEAT_SECONDS)),
        };
        let recent = earliest..u64::MAX;
        let mut segments = Segments::new(&self.platform, budget.as_deref(), recent, "");
        let mut read = 0;
        while let Next::Key(key) = segments.next().await? {
            read += 1;
            if read > RECENT_SEGMENTS {
                return Ok(false);
            }
            let is_counted = time(&key) >= stable && range.contains(&time(&key));
            for bill in self.segment(&key).await? {
                open.remove(&request_of(&bill.request));
                if is_counted {
                    sums.add(&bill);
                }
            }
        }
        open.values().for_each(|bill| sums.add(bill));
        Ok(is_complete && segments.next().await? == Next::End)
    }
}

#[OpenApi]
impl Api {
    /// Adds up the bills.
    #[oai(path = "/spend", method = "get")]
    async fn report(
        &self,
        operator: Operator,
        /// What to group by.
        by: Query<By>,
        /// Only bills of this budget.
        budget: Query<Option<String>>,
        /// Only bills from this time on, in seconds since the Unix epoch. The time of a bill is
        /// that of the ledger's decision.
        from: Query<Option<u64>>,
        /// Only bills before this time; bills without a decision count as of now.
        to: Query<Option<u64>>,
        /// `next` of the page before.
        after: Query<Option<String>>,
    ) -> Result<Json<Report>> {
        operator.0.require(Role::Read)?;
        let range = from.0.unwrap_or(0)..to.0.unwrap_or(u64::MAX);
        if range.is_empty() {
            let mistake = Mistake::new("to", "must be later than from");
            return Err(Refused::mistakes(vec![mistake]));
        }
        let place = match after.0 {
            Some(after) => Place::parse(&after)?,
            None => Place {
                stable: now_seconds().saturating_sub(STABLE_SECONDS),
                after: String::new(),
            },
        };
        let question = Question {
            by: by.0,
            budget: budget.0,
            range,
        };
        self.0.spend(question, place).await.map(Json)
    }
}
