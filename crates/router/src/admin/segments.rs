//! Billed segments of a range of time, one after the other.

use {
    super::bill::time,
    marigoldroute_store::{Client, Fault},
    std::{collections::VecDeque, ops::Range},
};

/// Keys listed by one call.
const LIST_KEYS: usize = 500;
/// Lists read for one answer.
const LISTS: usize = 200;

/// Keys of segments in the order of the object store, without those outside of a range. It holds
/// one list of keys at a time.
pub(super) struct Segments<'a> {
    platform: &'a Client,
    prefix: String,
    /// Times of decision in seconds since the Unix epoch.
    range: Range<u64>,
    /// Last key that was looked at, or a later one that starts the next list.
    after: String,
    keys: VecDeque<String>,
    is_last: bool,
    lists: usize,
}

/// What follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// A segment.
    Key(String),
    /// Nothing; every segment of the range was returned.
    End,
    /// More, but the answer has read enough lists.
    Pause,
}

impl<'a> Segments<'a> {
    /// Starts after a key; the first segment follows the empty one.
    pub(super) fn new(
        platform: &'a Client,
        budget: Option<&str>,
        range: Range<u64>,
        after: &str,
    ) -> Self {
        Self {
            platform,
            prefix: match budget {
                Some(budget) => format!("bills/{budget}/"),
                None => "bills/".to_owned(),
            },
            range,
            after: after.to_owned(),
            keys: VecDeque::new(),
            is_last: false,
            lists: 0,
        }
    }

    /// Returns the key after which the next answer goes on.
    pub(super) fn after(&self) -> &str {
        &self.after
    }

    /// Returns the next segment of the range.
    pub(super) async fn next(&mut self) -> Result<Next, Fault> {
        loop {
            let Some(key) = self.keys.pop_front() else {
                if self.is_last {
                    return Ok(Next::End);
                }
                if self.lists == LISTS {
                    return Ok(Next::Pause);
                }
                self.list().await?;
                continue;
            };
            // Passed over by a jump.
            if key <= self.after {
                continue;
            }
            self.after.clone_from(&key);
            if self.range.contains(&time(&key)) {
                return Ok(Next::Key(key));
            }
            self.jump(&key);
        }
    }

    async fn list(&mut self) -> Result<(), Fault> {
        let keys = self
            .platform
            .list_objects_after(&self.prefix, &self.after, LIST_KEYS);
        self.keys = keys.await?.into();
        self.is_last = self.keys.len() < LIST_KEYS;
        self.lists += 1;
        Ok(())
    }

    /// Passes over the rest of a budget's segments that are before or after the range.
    fn jump(&mut self, key: &str) {
        /// Greater than the times of segments until the year 2286, with 12 digits.
        const END_OF_TIME: &str = "01";
        let Some((budget, name)) = key.rsplit_once('/') else {
            return;
        };
        if time(key) < self.range.start {
            self.after = format!("{budget}/{:012}", self.range.start);
        } else if name < END_OF_TIME {
            self.after = format!("{budget}/{END_OF_TIME}");
        }
    }
}
