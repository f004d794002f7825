//! Answers to peers.

use {
    super::{
        log::Log,
        message::{Copy, Fetch, Piece, Versions},
        record::encode,
        snapshot,
    },
    crate::id::Version,
    std::time::Duration,
};

/// Limit on the JSON size of the records in one message; a single record is always sent.
const ANSWER_LIMIT_BYTES: usize = 200_000;
/// A tree that peers copy is kept at its version for this time after the last request for a part.
const PIN_TIME: Duration = Duration::from_secs(10);

impl Log {
    /// Returns the versions from `first` on, as many as fit into a message.
    pub(super) fn versions_from(&self, first: Version) -> Versions {
        let records = self
            .records_after(first.saturating_sub(1))
            .unwrap_or_default();
        let mut bytes = 0;
        let texts = records.into_iter().map(|record| encode(&**record));
        let fitting = texts.take_while(|text| {
            let is_first = bytes == 0;
            bytes += text.len();
            is_first || bytes <= ANSWER_LIMIT_BYTES
        });
        Versions {
            newest: self.version(),
            is_serving: !self.phase.is_starting(),
            records: fitting.collect(),
            is_answer: false,
        }
    }

    pub(super) fn answer_fetch(&self, fetch: Fetch) -> Versions {
        Versions {
            is_answer: true,
            ..self.versions_from(fetch.after.saturating_add(1))
        }
    }

    pub(super) fn answer_copy(&mut self, now: Duration, copy: &Copy) -> Piece {
        let is_current = |(_, _, since): &(_, _, Duration)| now.saturating_sub(*since) < PIN_TIME;
        let pinned = self.pinned.take().filter(is_current);
        let pinned = pinned.unwrap_or_else(|| (self.version(), self.tree().clone(), now));
        let is_continued = copy.version == pinned.0 && copy.version > 0;
        let after = Some(copy.after.as_str()).filter(|_| is_continued);
        let (nodes, _, is_more) = snapshot::encode_part(&pinned.1, after);
        let piece = Piece {
            version: pinned.0,
            after: after.unwrap_or_default().into(),
            nodes,
            is_last: !is_more,
        };
        // A copy in progress extends the time for which the tree is kept.
        let since = if is_continued { now } else { pinned.2 };
        self.pinned = Some((pinned.0, pinned.1, since));
        piece
    }
}
