//! Audit entries of accepted writes.

use {
    super::{
        Admin,
        answer::Result,
        key::Operator,
        page::{Page, Range},
        ring::Role,
        write::Entry,
    },
    marigoldroute_core::retention::AUDIT_PREFIX,
    poem_openapi::{Object, OpenApi, param::Query, payload::Json},
    std::sync::Arc,
};

/// Operations on the audit entries.
pub(super) struct Api(pub(super) Arc<Admin>);

/// An audit entry with its place in the list.
#[derive(Clone, Debug, Object)]
#[oai(rename = "ListedAuditEntry")]
struct Listed {
    /// Place; sorts by time.
    id: String,
    /// Entry.
    #[oai(flatten)]
    entry: Entry,
}

#[OpenApi]
impl Api {
    /// Lists the accepted writes, oldest first.
    #[oai(path = "/audit", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Only entries from this time on, in milliseconds since the Unix epoch.
        since_ms: Query<Option<u64>>,
        /// Last id of the page before.
        after: Query<Option<String>>,
        /// Most entries of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Listed>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let since = since_ms
            .0
            .map(|since| format!("{since:015}"))
            .unwrap_or_default();
        let after = format!("{AUDIT_PREFIX}{}", range.after.max(since));
        let (prefix, limit) = (AUDIT_PREFIX, range.limit + 1);
        let rows = self.0.platform.scan(prefix, &after, limit).await?;
        let is_more = rows.len() > range.limit;
        let listed = rows.iter().take(range.limit).filter_map(|row| {
            let id = row.key.strip_prefix(AUDIT_PREFIX)?.to_owned();
            let entry = serde_json::from_str(&row.value).ok()?;
            Some(Listed { id, entry })
        });
        let items: Vec<_> = listed.collect();
        let last = items.last().map(|listed| listed.id.clone());
        let next = last.filter(|_| is_more);
        Ok(Json(Page { items, next }))
    }
}
