//! A stand-in's records of requests, by request id.

use {
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of records; the oldest is dropped first.
const RECORD_LIMIT: usize = 100_000;

/// An upstream's record of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of times that the request was executed.
    pub runs: u32,
    /// Priority class of the last run, if the request named one.
    pub class: Option<usize>,
    /// Prompt tokens of the last run.
    pub prompt_tokens: u64,
    /// Greatest number of tokens that a run has generated.
    pub completion_tokens: u64,
    /// Whether the last run has ended.
    pub ended: bool,
}

/// Records of at most [`RECORD_LIMIT`] requests.
#[derive(Debug, Default)]
pub(crate) struct RecordStore {
    records: HashMap<String, Record>,
    order: VecDeque<String>,
}

impl RecordStore {
    pub(crate) fn get(&self, request: &str) -> Option<Record> {
        self.records.get(request).copied()
    }

    /// Updates a record, which is created when absent; returns the request whose record was dropped
    /// to stay within the limit.
    pub(crate) fn update(
        &mut self,
        request: &str,
        change: impl FnOnce(&mut Record),
    ) -> Option<String> {
        if !self.records.contains_key(request) {
            self.order.push_back(request.to_owned());
        }
        change(self.records.entry(request.to_owned()).or_default());
        if self.order.len() <= RECORD_LIMIT {
            return None;
        }
        let oldest = self.order.pop_front()?;
        self.records.remove(&oldest);
        Some(oldest)
    }

    pub(crate) fn all(&self) -> HashMap<String, Record> {
        self.records.clone()
    }
}
