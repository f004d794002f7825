//! What a reader tells its followers.

use {
    super::{AGE_LIMIT, Position, Update, encode},
    crate::{
        forward::{Registration, roster::REREGISTRATION_TIME},
        id::{HolderId, UpstreamId},
        wire::{Follow, Item, News},
    },
    prost::Message,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

/// Limit on the items in one message, in bytes. With the ids of two processes and the tag, the
/// datagram stays below 1,400 bytes.
const MESSAGE_LIMIT_BYTES: usize = 1_000;
/// Number of items that are kept for followers that lag behind.
const ITEM_LIMIT: usize = 512;
/// Limit on followers, several times the size of a group.
const FOLLOWER_LIMIT: usize = 64;

/// Content of an entry as followers know it.
#[derive(Clone, Debug)]
struct Known {
    entry: Registration,
    /// Until when the upstream is cold by the entries read so far.
    cold_until: Duration,
}

/// A change of the content of an entry.
#[derive(Clone, Debug)]
struct Changed {
    /// Position up to which the read that returned the change contains changes.
    position: Position,
    /// When the change was read.
    read_at: Duration,
    id: UpstreamId,
    /// The new entry; `None` when it was removed.
    entry: Option<Registration>,
}

/// Reads without a fault between them.
#[derive(Clone, Debug)]
struct Term {
    /// Number of the term in this process; never 0.
    id: u64,
    /// Position up to which changes have been read.
    position: Position,
    /// When the last read that was answered began.
    asked_at: Duration,
    /// Position after which all changes are in `items`.
    floor: Position,
    /// Sequence of the first of `items`.
    first: u64,
    items: VecDeque<Changed>,
    known: BTreeMap<UpstreamId, Known>,
}

/// A host that follows.
#[derive(Clone, Debug)]
struct Follower {
    /// Its last question, by its own clock.
    asked_us: u64,
    asked_at: Duration,
    /// Sequence of the last item that it knew when it asked. Messages start after it, so that a lost
    /// one leaves no gap.
    known: u64,
    /// Sequence of the last item that was sent to it.
    sent: u64,
}

/// Changes of the list, as this host has read them at the store itself.
#[derive(Debug, Default)]
pub struct Log {
    term: Option<Term>,
    terms: u64,
    /// Whether the store has not answered the last read.
    is_lost: bool,
    /// When the store answered again after its last outage.
    returned_at: Option<Duration>,
    followers: HashMap<HolderId, Follower>,
}

impl Log {
    /// Records a read of the whole list that began at `asked_at`.
    pub fn record_list(
        &mut self,
        now: Duration,
        asked_at: Duration,
        position: Position,
        listing: &[(UpstreamId, Registration)],
    ) {
        if std::mem::take(&mut self.is_lost) {
            self.returned_at = Some(now);
        }
        let listed: BTreeMap<_, _> = listing.iter().cloned().collect();
        // A store that was restored from a copy goes back and assigns positions again.
        if let Some(term) = self.term.take_if(|term| position >= term.position) {
            let removed = term.known.keys().filter(|id| !listed.contains_key(*id));
            let removed: Vec<_> = removed.map(|id| (id.clone(), None)).collect();
            let put = listed.into_iter().map(|(id, entry)| (id, Some(entry)));
            let updates: Vec<_> = put.chain(removed).collect();
            self.term = Some(term);
            self.record_updates(now, asked_at, position, updates);
            return;
        }
        self.terms += 1;
        let known = |(id, entry): (UpstreamId, Registration)| (id, Known::new(now, entry));
        self.term = Some(Term {
            id: self.terms,
            position,
            asked_at,
            floor: position,
            first: 1,
            items: VecDeque::new(),
            known: listed.into_iter().map(known).collect(),
        });
    }

    /// Records a read of updates that began at `asked_at`. Of several updates of one entry, only the
    /// last one counts: a follower may already know it from its own read.
    pub fn record_updates(
        &mut self,
        now: Duration,
        asked_at: Duration,
        position: Position,
        updates: impl IntoIterator<Item = Update>,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        let last: BTreeMap<_, _> = updates.into_iter().collect();
        term.position = term.position.max(position);
        term.asked_at = asked_at;
        for (id, entry) in last {
            if term.learn(now, &id, entry.as_ref()) {
                term.items.push_back(Changed {
                    position: term.position,
                    read_at: now,
                    id,
                    entry,
                });
            }
        }
        while term.items.len() > ITEM_LIMIT {
            if let Some(dropped) = term.items.pop_front() {
                term.floor = dropped.position;
                term.first += 1;
            }
        }
    }

    /// Ends the term after a failed read; `is_lost` when the store did not answer.
    pub fn record_fault(&mut self, is_lost: bool) {
        self.is_lost |= is_lost;
        self.term = None;
    }

    /// Ends the term because this host follows another one, or begins to read anew.
    pub fn close(&mut self) {
        self.term = None;
    }

    /// Answers a host that follows or wants to.
    pub fn answer(&mut self, now: Duration, from: &HolderId, follow: &Follow) -> News {
        self.forget(now);
        let Some(sequence) = self.last_known(follow) else {
            self.followers.remove(from);
            return News {
                asked_us: follow.asked_us,
                ..News::default()
            };
        };
        let is_known = self.followers.contains_key(from);
        let mut follower = Follower {
            asked_us: follow.asked_us,
            asked_at: now,
            known: sequence,
            sent: sequence,
        };
        let news = self.news(now, &mut follower);
        if is_known || self.followers.len() < FOLLOWER_LIMIT {
            self.followers.insert(from.clone(), follower);
        }
        news
    }

    /// Returns what the followers have not been sent yet.
    pub fn publish(&mut self, now: Duration) -> Vec<(HolderId, News)> {
        self.forget(now);
        let last = self.term.as_ref().map_or(0, Term::last);
        let mut followers = std::mem::take(&mut self.followers);
        let mut messages = Vec::new();
        for (holder, follower) in &mut followers {
            if self.term.is_none() || follower.sent < last {
                messages.push((holder.clone(), self.news(now, follower)));
            }
        }
        if self.term.is_some() {
            self.followers = followers;
        }
        messages
    }

    /// Returns the number of hosts that follow this one.
    pub fn followers(&self) -> usize {
        self.followers.len()
    }

    fn forget(&mut self, now: Duration) {
        self.followers
            .retain(|_, follower| now < follower.asked_at + AGE_LIMIT);
    }

    /// Returns the sequence of the last item that a host knows, by its question; `None` when it
    /// cannot follow. A host that follows another term knows the items up to its own position.
    fn last_known(&self, follow: &Follow) -> Option<u64> {
        let term = self.term.as_ref()?;
        if follow.term == term.id {
            return (follow.sequence + 1 >= term.first).then_some(follow.sequence);
        }
        if follow.term != 0 || follow.position < term.floor {
            return None;
        }
        let known = |item: &Changed| item.position <= follow.position;
        Some(term.first - 1 + term.items.partition_point(known) as u64)
    }

    /// Returns the items that a follower has not been sent, as many as a message may hold.
    fn news(&self, now: Duration, follower: &mut Follower) -> News {
        let empty = News {
            asked_us: follower.asked_us,
            ..News::default()
        };
        let Some(term) = &self.term else {
            return empty;
        };
        let first = follower.known + 1;
        let skipped = first.saturating_sub(term.first) as usize;
        let mut size = 0;
        let items = term.items.iter().skip(skipped).map(|item| item.encode(now));
        let is_within = |item: &Item| {
            size += item.encoded_len();
            size <= MESSAGE_LIMIT_BYTES
        };
        let items: Vec<_> = items.take_while(is_within).collect();
        let is_complete = first + items.len() as u64 > term.last();
        if items.is_empty() && !is_complete {
            // An item that no message can hold; the follower has to read it at the store.
            return empty;
        }
        follower.sent = first - 1 + items.len() as u64;
        let returned = self.returned_at.map(|at| now.saturating_sub(at));
        let returned = returned.filter(|since| *since < REREGISTRATION_TIME);
        News {
            term: term.id,
            first,
            since: term.position_before(first),
            items,
            is_complete,
            position: term.position,
            age_us: now.saturating_sub(term.asked_at).as_micros() as u64,
            returned_us: returned.map(|since| since.as_micros() as u64),
            ..empty
        }
    }
}

impl Term {
    /// Returns the sequence of the last item.
    fn last(&self) -> u64 {
        self.first - 1 + self.items.len() as u64
    }

    /// Returns the position up to which the items before the one with this sequence are.
    fn position_before(&self, sequence: u64) -> Position {
        let before = sequence.checked_sub(self.first + 1);
        let before = before.and_then(|index| self.items.get(index as usize));
        before.map_or(self.floor, |item| item.position)
    }

    /// Records an update of an entry; returns whether its content has changed. An entry that only
    /// states again for how long its upstream stays cold has not.
    fn learn(&mut self, now: Duration, id: &UpstreamId, entry: Option<&Registration>) -> bool {
        let Some(entry) = entry else {
            return self.known.remove(id).is_some();
        };
        let mut next = Known::new(now, entry.clone());
        let known = self.known.get(id);
        let similar = known.filter(|known| known.entry.is_similar(entry));
        let has_changed = similar.is_none_or(|known| next.cold_until > known.cold_until);
        if let Some(known) = similar {
            next.cold_until = next.cold_until.max(known.cold_until);
        }
        self.known.insert(id.clone(), next);
        has_changed
    }
}

impl Known {
    fn new(now: Duration, entry: Registration) -> Self {
        let is_cold = !entry.cold_left.is_zero();
        let cold_until = if is_cold {
            now.saturating_add(entry.cold_left)
        } else {
            Duration::ZERO
        };
        Self { entry, cold_until }
    }
}

impl Changed {
    fn encode(&self, now: Duration) -> Item {
        let left = self.entry.as_ref().map(|entry| entry.cold_left);
        let age = now.saturating_sub(self.read_at);
        let left = left.unwrap_or_default().saturating_sub(age);
        encode(&self.id, self.entry.as_ref(), left)
    }
}
