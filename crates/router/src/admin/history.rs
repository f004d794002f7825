//! Earlier versions of the settings tree.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        diff::{self, Line, Made, merge},
        key::Operator,
        page::{Page, Range},
        ring::Role,
    },
    marigoldroute_core::{
        config::Log, fault::Kind, id::Version, retention::VERSION_PREFIX as PREFIX,
    },
    poem_openapi::{Object, OpenApi, param::Query, payload::Json},
    std::sync::Arc,
};

/// Operations on earlier versions.
pub(super) struct Api(pub(super) Arc<Admin>);

/// An accepted version.
#[derive(Clone, Debug, Object)]
#[oai(rename = "PastVersion")]
struct Past {
    /// Version.
    version: Version,
    /// Version that the operator saw.
    base: Version,
    /// Name of the operator's key.
    operator: String,
    /// The operator's request id.
    request: String,
    /// Time of submission in milliseconds since the Unix epoch.
    time_ms: u64,
    /// What it changed.
    differences: Vec<Line>,
}

/// What changed between two versions.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Comparison")]
struct Compared {
    /// Earlier version.
    from: Version,
    /// Later version.
    to: Version,
    /// Values that differ.
    differences: Vec<Line>,
}

impl From<Made> for Past {
    fn from(made: Made) -> Self {
        Self {
            version: made.version,
            base: made.base,
            operator: made.operator,
            request: made.request,
            time_ms: made.time_ms,
            differences: made.differences.into_iter().map(Line::from).collect(),
        }
    }
}

#[OpenApi]
impl Api {
    /// Lists the accepted versions, oldest first.
    #[oai(path = "/settings/history", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Last version of the page before.
        after: Query<Option<String>>,
        /// Most versions of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Past>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let after = match range.after.as_str() {
            "" => String::new(),
            text => {
                let mistake = |_| Refused::mistakes(vec![Mistake::new("after", "not a version")]);
                diff::key(text.parse().map_err(mistake)?)
            }
        };
        let rows = self
            .0
            .platform
            .scan(PREFIX, &after, range.limit + 1)
            .await?;
        let read = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok());
        let mut items: Vec<Past> = read.map(|made: Made| made.into()).collect();
        let is_more = items.len() > range.limit;
        items.truncate(range.limit);
        let last = items.last().map(|past| past.version.to_string());
        let next = last.filter(|_| is_more);
        Ok(Json(Page { items, next }))
    }

    /// Compares two versions.
    #[oai(path = "/settings/diff", method = "get")]
    async fn diff(
        &self,
        operator: Operator,
        /// Earlier version.
        from: Query<Version>,
        /// Later version; the one in effect when absent.
        to: Query<Option<Version>>,
    ) -> Result<Json<Compared>> {
        operator.0.require(Role::Read)?;
        let current = self.0.read(Log::version).await?;
        let (from, to) = (from.0, to.0.unwrap_or(current));
        if from > to {
            let message = format!("version {from} is later than version {to}");
            return Err(Refused::new(Kind::InvalidRequest, message));
        }
        let differences = merge(self.0.made(from, to).await?);
        Ok(Json(Compared {
            from,
            to,
            differences,
        }))
    }
}
