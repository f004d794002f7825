//! Marks that are still to be sent.

use {
    super::mark::{Fact, Mark, Subject},
    prost::Message,
    std::collections::BTreeMap,
};

/// Greatest number of marks; covers a change of version on 390 hosts and a report on each of 600
/// upstreams by three hosts.
const QUEUE_LIMIT: usize = 2_400;
/// Sends of a mark beyond the logarithm of the number of hosts. With fewer, marks that no host
/// sends any more have not reached all hosts when messages are lost.
const EXTRA_SENDS: u32 = 2;
/// Sends of an urgent mark between the regular exchanges.
const URGENT_SENDS: u32 = 4;

/// How fast a mark has to spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    Regular,
    Urgent,
}

#[derive(Debug)]
struct Item {
    mark: Mark,
    bytes: usize,
    /// Sends left in regular exchanges.
    left: u32,
    /// Sends left between them.
    urgent: u32,
}

/// Marks that are still to be sent, each a bounded number of times.
#[derive(Debug, Default)]
pub(super) struct Queue(BTreeMap<Subject, Item>);

impl Queue {
    /// Adds a mark in place of an older one of the same subject.
    pub(super) fn push(&mut self, fact: Fact, hosts: usize, urgency: Urgency) {
        let subject = fact.subject();
        if self.0.len() >= QUEUE_LIMIT && !self.0.contains_key(&subject) {
            self.drop_oldest();
        }
        let mark = Mark::from(fact);
        let item = Item {
            bytes: mark.encoded_len() + 2,
            mark,
            left: EXTRA_SENDS + usize::BITS - hosts.leading_zeros(),
            urgent: match urgency {
                Urgency::Regular => 0,
                Urgency::Urgent => URGENT_SENDS,
            },
        };
        self.0.insert(subject, item);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, item)| item.left);
        if let Some(subject) = oldest.map(|(subject, _)| subject.clone()) {
            self.0.remove(&subject);
        }
    }

    pub(super) fn has_urgent(&self) -> bool {
        self.0.values().any(|item| item.urgent > 0)
    }

    /// Takes the marks of a regular message, those that were sent least first.
    pub(super) fn take(&mut self, limit_bytes: usize) -> Vec<Mark> {
        let marks = self.pick(limit_bytes, |item| &mut item.left);
        self.0.retain(|_, item| item.left > 0);
        marks
    }

    /// Takes the marks of an urgent message.
    pub(super) fn take_urgent(&mut self, limit_bytes: usize) -> Vec<Mark> {
        self.pick(limit_bytes, |item| &mut item.urgent)
    }

    fn pick(&mut self, limit_bytes: usize, left: fn(&mut Item) -> &mut u32) -> Vec<Mark> {
        let mut open: Vec<_> = self
            .0
            .values_mut()
            .filter_map(|item| {
                let sends = *left(item);
                (sends > 0).then_some((sends, item))
            })
            .collect();
        open.sort_by_key(|(sends, _)| u32::MAX - sends);
        let mut bytes = 0;
        let mut marks = Vec::new();
        for (_, item) in open {
            bytes += item.bytes;
            if bytes > limit_bytes {
                break;
            }
            *left(item) -= 1;
            marks.push(item.mark.clone());
        }
        marks
    }
}
