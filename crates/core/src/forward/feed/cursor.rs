//! Decides whether a host follows a reader or reads the list itself.

use {
    super::{AGE_LIMIT, JOIN_AGE_LIMIT, Position, REFRESH_INTERVAL, Update, decode},
    crate::{
        id::HolderId,
        wire::{Follow, News},
    },
    derive_more::Display,
    std::time::Duration,
};

/// Why a host stops following and reads the list itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fallback {
    /// No confirmation has arrived that what is known is recent.
    #[display("silent")]
    Silent,
    /// The reader has lost the store, or does not read any more.
    #[display("lost")]
    Lost,
    /// Changes are missing between those known and those received.
    #[display("gap")]
    Gap,
    /// Another host reads for the group, or none does.
    #[display("regrouped")]
    Regrouped,
    /// The host has followed for [`REFRESH_INTERVAL`].
    #[display("refresh")]
    Refresh,
}

/// How far a host follows one term of a reader.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Track {
    term: u64,
    /// Sequence of the last item applied.
    sequence: u64,
    /// Position up to which changes have been applied; it only ever increases.
    position: Position,
    /// Time of which everything that the store had acknowledged is known.
    known_at: Duration,
    /// When the host began to follow; it is kept when the host goes on in the same term.
    joined_at: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Mode {
    /// Reads the list itself. `position` is that of its last read, `resumable` what it followed
    /// before as long as it has not read the list since.
    Reading {
        position: Option<Position>,
        resumable: Option<Track>,
    },
    Following(Track),
}

/// What a message of the reader leads to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Receipt {
    /// Updates to apply, in this order.
    pub updates: Vec<Update>,
    /// When the store answered again after an outage that the reader saw lately.
    pub returned_at: Option<Duration>,
    /// Whether the host begins to follow.
    pub has_joined: bool,
    /// Why the host stops following.
    pub fallback: Option<Fallback>,
    /// Whether the reader has more to tell, so that the host asks again at once.
    pub has_more: bool,
}

/// What a host knows of the list by its own reads or from a reader.
#[derive(Debug)]
pub struct Cursor {
    /// Process that reads for the group; `None` while this host reads itself.
    reader: Option<HolderId>,
    mode: Mode,
}

impl Default for Cursor {
    fn default() -> Self {
        Self {
            reader: None,
            mode: Mode::Reading {
                position: None,
                resumable: None,
            },
        }
    }
}

impl Cursor {
    /// Sets the process that reads for the group of this host.
    pub fn set_reader(&mut self, reader: Option<HolderId>) -> Option<Fallback> {
        if self.reader == reader {
            return None;
        }
        self.reader = reader;
        if let Mode::Reading { resumable, .. } = &mut self.mode {
            *resumable = None;
        }
        self.fall_back(Fallback::Regrouped)
    }

    /// Forgets what is known, so that the whole list is read next.
    pub fn restart(&mut self) {
        self.mode = Self::default().mode;
    }

    /// Returns whether the host follows a reader and does not read the list itself.
    pub fn is_following(&self) -> bool {
        matches!(self.mode, Mode::Following(_))
    }

    /// Returns whether this host has a reader, whether it follows it or not.
    pub fn has_reader(&self) -> bool {
        self.reader.is_some()
    }

    /// Records an own read of the list or of updates. Returns false when the host follows by now: it
    /// may know more than that read, which must not be applied.
    pub fn record_read(&mut self, position: Position) -> bool {
        if self.is_following() {
            return false;
        }
        self.mode = Mode::Reading {
            position: Some(position),
            resumable: None,
        };
        true
    }

    /// Records an own read that failed: changes are unknown until the whole list is read.
    pub fn record_fault(&mut self) {
        if let Mode::Reading { position, .. } = &mut self.mode {
            *position = None;
        }
    }

    /// Returns the question to the reader, which a host asks once it has read the list itself.
    pub fn ask(&self, now: Duration) -> Option<(HolderId, Follow)> {
        let (term, sequence, position) = match self.mode {
            Mode::Following(track)
            | Mode::Reading {
                resumable: Some(track),
                ..
            } => (track.term, track.sequence, track.position),
            Mode::Reading { position, .. } => (0, 0, position?),
        };
        let follow = Follow {
            term,
            sequence,
            position,
            asked_us: now.as_micros() as u64,
        };
        Some((self.reader.clone()?, follow))
    }

    /// Stops following when what is known has become too old.
    pub fn tick(&mut self, now: Duration) -> Option<Fallback> {
        match self.mode {
            Mode::Following(track) if now > track.known_at + AGE_LIMIT => {
                self.fall_back(Fallback::Silent)
            }
            Mode::Following(track) if now > track.joined_at + REFRESH_INTERVAL => {
                self.fall_back(Fallback::Refresh)
            }
            _ => None,
        }
    }

    /// Handles a message of a process.
    pub fn receive(&mut self, now: Duration, from: &str, news: &News) -> Receipt {
        let is_reader = self.reader.as_ref().is_some_and(|reader| **reader == *from);
        // The question that the message answers was asked at this time by the own clock, and the
        // reader had read the list at most this long before it was asked. So neither a message that
        // was held up nor a pause of either host makes old facts look new.
        let asked_at = Duration::from_micros(news.asked_us).min(now);
        let known_at = asked_at.saturating_sub(Duration::from_micros(news.age_us));
        let age = now.saturating_sub(known_at);
        if !is_reader || age > AGE_LIMIT {
            return Receipt::default();
        }
        let track = match self.mode {
            Mode::Following(track) => track,
            Mode::Reading { .. } if age > JOIN_AGE_LIMIT || news.term == 0 || !news.is_complete => {
                return Receipt::default();
            }
            Mode::Reading {
                resumable: Some(track),
                ..
            } if track.term == news.term => track,
            Mode::Reading {
                position: Some(position),
                resumable: None,
            } if news.since <= position => Track {
                term: news.term,
                sequence: news.first.saturating_sub(1),
                position,
                known_at: Duration::ZERO,
                joined_at: now,
            },
            Mode::Reading { .. } => return Receipt::default(),
        };
        self.follow(now, track, known_at, news)
    }

    fn follow(&mut self, now: Duration, track: Track, known_at: Duration, news: &News) -> Receipt {
        if news.term != track.term {
            // An answer to a question about an earlier term may arrive late; `asked_us` tells.
            let is_newer = known_at > track.known_at || news.term == 0;
            let fallback = is_newer.then(|| self.fall_back(Fallback::Lost)).flatten();
            return Receipt {
                fallback,
                ..Receipt::default()
            };
        }
        if news.first > track.sequence + 1 {
            return Receipt {
                fallback: self.fall_back(Fallback::Gap),
                ..Receipt::default()
            };
        }
        if news.position < track.position {
            return Receipt::default();
        }
        let known = (track.sequence + 1 - news.first) as usize;
        let new = news.items.get(known..).unwrap_or_default();
        let returned = news.returned_us.map(Duration::from_micros);
        let has_joined = !self.is_following();
        let mut next = Track {
            sequence: track.sequence + new.len() as u64,
            ..track
        };
        if news.is_complete {
            next.position = news.position;
            next.known_at = track.known_at.max(known_at);
        }
        let receipt = Receipt {
            updates: new.iter().filter_map(decode).collect(),
            returned_at: returned.map(|since| now.saturating_sub(since)),
            has_joined,
            fallback: None,
            has_more: !news.is_complete,
        };
        self.mode = Mode::Following(next);
        receipt
    }

    fn fall_back(&mut self, reason: Fallback) -> Option<Fallback> {
        let Mode::Following(track) = self.mode else {
            return None;
        };
        self.mode = Mode::Reading {
            position: None,
            resumable: (reason == Fallback::Silent).then_some(track),
        };
        Some(reason)
    }
}
