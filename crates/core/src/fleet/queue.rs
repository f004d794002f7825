//! Queue of marks that are to be sent to other hosts.

use {
    super::mark::{Fact, Mark, Subject},
    prost::Message,
    std::collections::BTreeMap,
};

/// Limit on the queued marks; covers a new configuration version on 390 hosts together with a
/// report on each of 600 upstreams by three hosts.
const QUEUE_LIMIT: usize = 2_400;
/// Sends of a mark in addition to the binary logarithm of the number of hosts. With fewer, every
/// host may have stopped sending a mark before it has reached all hosts when messages are lost.
const EXTRA_SENDS: u32 = 2;
/// Sends of an urgent mark in messages between the regular exchanges.
const URGENT_SENDS: u32 = 4;

/// How soon a mark has to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// With the next regular exchanges.
    Regular,
    /// Also in messages between the regular exchanges.
    Urgent,
}

#[derive(Debug)]
struct Item {
    mark: Mark,
    /// Size of the mark within a message, with two bytes for the tag and the length of its field.
    bytes: usize,
    /// Sends that remain in regular exchanges.
    regular_sends: u32,
    /// Sends that remain in urgent messages.
    urgent_sends: u32,
}

/// Latest mark of each subject that is still to be sent; each is sent a bounded number of times.
#[derive(Debug, Default)]
pub(super) struct Queue(BTreeMap<Subject, Item>);

impl Queue {
    /// Adds a mark, which replaces an older one of the same subject. `hosts` is the number of other
    /// hosts that are alive.
    pub(super) fn push(&mut self, fact: Fact, hosts: usize, urgency: Urgency) {
        let subject = fact.subject();
        if self.0.len() >= QUEUE_LIMIT && !self.0.contains_key(&subject) {
            self.drop_most_sent();
        }
        let mark = Mark::from(fact);
        let item = Item {
            bytes: mark.encoded_len() + 2,
            mark,
            regular_sends: EXTRA_SENDS + usize::BITS - hosts.leading_zeros(),
            urgent_sends: match urgency {
                Urgency::Regular => 0,
                Urgency::Urgent => URGENT_SENDS,
            },
        };
        self.0.insert(subject, item);
    }

    /// Removes the mark with the fewest remaining sends.
    fn drop_most_sent(&mut self) {
        let most_sent = self.0.iter().min_by_key(|(_, item)| item.regular_sends);
        if let Some(subject) = most_sent.map(|(subject, _)| subject.clone()) {
            self.0.remove(&subject);
        }
    }

    pub(super) fn has_urgent(&self) -> bool {
        self.0.values().any(|item| item.urgent_sends > 0)
    }

    /// Returns marks for a regular message, those with the most remaining sends first, and counts
    /// them as sent.
    pub(super) fn take(&mut self, limit_bytes: usize) -> Vec<Mark> {
        let marks = self.select(limit_bytes, |item| &mut item.regular_sends);
        self.0.retain(|_, item| item.regular_sends > 0);
        marks
    }

    /// Returns marks for an urgent message, in the same way.
    pub(super) fn take_urgent(&mut self, limit_bytes: usize) -> Vec<Mark> {
        self.select(limit_bytes, |item| &mut item.urgent_sends)
    }

    /// Returns the marks with the most remaining sends that fit `limit_bytes`, and counts them as
    /// sent.
    fn select(&mut self, limit_bytes: usize, remaining: fn(&mut Item) -> &mut u32) -> Vec<Mark> {
        let mut pending: Vec<_> = self
            .0
            .values_mut()
            .filter_map(|item| {
                let sends = *remaining(item);
                (sends > 0).then_some((sends, item))
            })
            .collect();
        pending.sort_by_key(|(sends, _)| u32::MAX - sends);
        let mut bytes = 0;
        let mut marks = Vec::new();
        for (_, item) in pending {
            bytes += item.bytes;
            if bytes > limit_bytes {
                break;
            }
            *remaining(item) -= 1;
            marks.push(item.mark.clone());
        }
        marks
    }
}
