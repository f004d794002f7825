//! Lists that are read page by page.

use {
    super::answer::{Mistake, Refused, Result},
    poem_openapi::{
        Object,
        types::{ParseFromJSON, ToJSON, Type},
    },
};

/// Entries of a page when the call names no limit.
const DEFAULT_ENTRIES: u32 = 100;
/// Most entries of a page.
const MOST_ENTRIES: u32 = 1_000;

/// A page of a list.
#[derive(Clone, Debug, Object)]
pub(super) struct Page<T: ParseFromJSON + ToJSON + Type + Send + Sync> {
    /// Entries in the order of their names.
    pub(super) items: Vec<T>,
    /// Pass this as `after` for the next page; absent on the last one.
    #[oai(skip_serializing_if_is_none)]
    pub(super) next: Option<String>,
}

/// Which page is asked for.
#[derive(Clone, Debug)]
pub(super) struct Range {
    /// Last entry of the page before; empty for the first page.
    pub(super) after: String,
    /// Most entries.
    pub(super) limit: usize,
}

impl Range {
    /// Reads the parameters of a call.
    pub(super) fn new(after: Option<String>, limit: Option<u32>) -> Result<Self> {
        let limit = limit.unwrap_or(DEFAULT_ENTRIES);
        if limit == 0 || limit > MOST_ENTRIES {
            let message = format!("must be from 1 to {MOST_ENTRIES}");
            return Err(Refused::mistakes(vec![Mistake::new("limit", message)]));
        }
        Ok(Self {
            after: after.unwrap_or_default(),
            limit: limit as usize,
        })
    }

    /// Takes a page out of a whole list that is sorted by name.
    pub(super) fn cut<S, T: ParseFromJSON + ToJSON + Type + Send + Sync>(
        &self,
        list: impl IntoIterator<Item = (S, T)>,
    ) -> Page<T>
    where
        S: AsRef<str>,
    {
        let mut later = list
            .into_iter()
            .filter(|(name, _)| name.as_ref() > self.after.as_str() || self.after.is_empty());
        let mut last = None;
        let mut items = Vec::new();
        for (name, item) in later.by_ref().take(self.limit) {
            last = Some(name.as_ref().to_owned());
            items.push(item);
        }
        let next = later.next().and(last);
        Page { items, next }
    }
}
