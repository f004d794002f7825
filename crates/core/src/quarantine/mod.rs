//! Parts of prompts that crash the upstreams which begin to answer them.
//!
//! A request accuses the parts of its prompt when its upstream ended while it had begun to answer
//! and had sent no event. A part that was accused at [`CRASH_LIMIT`] distinct ends, and answered at
//! none between them, is quarantined: no request with it is sent any more. Hosts share accusations
//! and contradict those of parts that they know to be sound. [`Quarantine`] is the state of one
//! host.

mod change;
mod recent;
mod suspect;

pub use change::{Audience, Change, Learned, State};

use {
    crate::{
        id::HostId,
        wire::{Accusation, Parts, Suspect as Message},
    },
    recent::Recent,
    std::time::Duration,
    suspect::{Block, Crash, Suspect},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Identifies a part of a prompt by its content.
pub type PartId = u64;

/// Distinct ends of upstreams at which a part is quarantined. Two can happen to a healthy request
/// and its retry while several upstreams fail.
pub const CRASH_LIMIT: usize = 3;
/// Time for which a part stays quarantined.
pub const TERM: Duration = Duration::from_secs(600);
/// Time after an answer during which a part is not accused.
const SOUND_TIME: Duration = Duration::from_secs(10);
/// Time between two updates of the time of a part's last answer; much shorter than
/// [`SOUND_TIME`].
const SOUND_STEP: Duration = Duration::from_secs(1);
/// Parts that are remembered as accused.
const SUSPECT_LIMIT: usize = 512;
/// Parts that are quarantined at the same time.
pub const QUARANTINE_LIMIT: usize = 32;
/// Accused parts, the most recent ones, of which other hosts learn by the row of the accuser.
pub const PUBLISHED_LIMIT: usize = 16;
/// Parts that are remembered as answered; covers [`SOUND_TIME`] of a busy host.
const SOUND_LIMIT: usize = 4_096;
/// Parts of one request, and of one message, that are looked at.
const PART_LIMIT: usize = 64;

/// Parts of a prompt that are remembered as accused together with another one.
const COMPANION_LIMIT: usize = 6;
/// Largest number of other hosts that all count the accusations of every part.
const SMALL_FLEET_LIMIT: usize = 16;
/// Hosts that count the accusations of a part in a larger fleet; several, as hosts end and views of
/// the fleet differ.
const JUDGE_COUNT: usize = 8;

/// Chooses the hosts that count the accusations of a part: all of them in a small fleet, and
/// otherwise a few by hash, so that the accusations of all hosts meet there.
pub fn judges(part: PartId, hosts: &mut Vec<HostId>) {
    if hosts.len() > SMALL_FLEET_LIMIT {
        hosts.sort_by_cached_key(|host| xxh3_64_with_seed(host.as_bytes(), part));
        hosts.truncate(JUDGE_COUNT);
    }
}

/// What one host knows about parts of prompts that crash upstreams.
#[derive(Clone, Debug)]
pub struct Quarantine {
    suspects: Recent<Suspect>,
    blocks: Recent<Block>,
    /// When a request with the part was last answered, as far as this host knows.
    sound: Recent<Duration>,
    /// Other hosts of the fleet.
    other_hosts: usize,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: Recent::new(SUSPECT_LIMIT),
            blocks: Recent::new(QUARANTINE_LIMIT),
            sound: Recent::new(SOUND_LIMIT),
            other_hosts: 0,
        }
    }
}

impl Quarantine {
    /// Returns for how long no request with these parts may be sent; `None` when it may.
    ///
    /// Of parts that were always accused together, any may be the deadly one. A prompt with some of
    /// them and not all is sent: an answer clears those that it has, and an end convicts them.
    pub fn check(&self, now: Duration, parts: &[PartId]) -> Option<Duration> {
        let blocks = parts.iter().filter_map(|part| self.blocks.get(*part));
        let blocking = blocks.filter(|block| {
            block.is_active(now) && block.common.iter().all(|other| parts.contains(other))
        });
        blocking.map(|block| block.until.saturating_sub(now)).max()
    }

    /// Records that a request with these parts was answered.
    pub fn record_success(&mut self, now: Duration, parts: &[PartId]) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts.iter().take(PART_LIMIT) {
            let cleared = self.clear(*part);
            let is_recent = |at: &Duration| now.saturating_sub(*at) < SOUND_STEP;
            if cleared.is_some() || !self.sound.get(*part).is_some_and(is_recent) {
                self.sound.insert(*part, now);
            }
            changes.extend(cleared.map(|(_, audience)| Change {
                part: *part,
                state: State::Sound,
                audience: Some(audience),
            }));
        }
        changes
    }

    /// Records that a process of an upstream ended after it had begun to answer a request with
    /// these parts, and before the first event.
    pub fn record_crash(&mut self, now: Duration, process: u64, parts: &[PartId]) -> Vec<Change> {
        let mut accused = parts.to_vec();
        accused.retain(|part| !self.is_sound(*part, now));
        if self.check(now, parts).is_some() {
            // What is quarantined explains the end.
            accused.retain(|part| self.blocks.get(*part).is_some());
        }
        let surplus = accused.len().saturating_sub(COMPANION_LIMIT + 1);
        let mut changes = Vec::new();
        for part in accused.iter().take(PART_LIMIT) {
            let others = accused[surplus..].iter().filter(|other| *other != part);
            let crash = Crash {
                process,
                at: now,
                companions: others.take(COMPANION_LIMIT).copied().collect(),
            };
            let change = self.accuse(now, *part, crash);
            changes.extend(change.map(|change| Change {
                audience: change.audience.or(Some(Audience::Judges)),
                ..change
            }));
            if let Some(suspect) = self.suspect_mut(*part) {
                suspect.is_published = true;
            }
        }
        changes
    }

    /// Returns a message about accused and quarantined parts.
    pub fn describe(&self, now: Duration, parts: &[PartId]) -> Vec<Message> {
        let message = |part: &PartId| {
            let block = self.blocks.get(*part);
            let suspect = block.map(|block| &block.suspect);
            let suspect = suspect.or_else(|| self.suspects.get(*part))?;
            let accusations = suspect.crashes.iter().map(|crash| Accusation {
                process: crash.process,
                age_ms: now.saturating_sub(crash.at).as_millis() as u64,
                companions: crash.companions.clone(),
            });
            let common = block.map_or_else(Vec::new, |block| block.common.clone());
            let rest = block.map_or(Duration::ZERO, |block| block.until.saturating_sub(now));
            Some(Message {
                part: *part,
                accusations: accusations.collect(),
                quarantined_ms: rest.as_millis() as u64,
                common,
            })
        };
        parts.iter().filter_map(message).collect()
    }

    /// Applies a message of another host.
    pub fn learn(&mut self, now: Duration, message: &Parts) -> Learned {
        let mut learned = Learned::default();
        for suspect in message.suspects.iter().take(PART_LIMIT) {
            self.learn_suspect(now, suspect, &mut learned);
        }
        for part in message.sound.iter().take(PART_LIMIT) {
            let cleared = self.clear(*part);
            learned
                .changes
                .extend(cleared.map(|(suspect, audience)| Change {
                    part: *part,
                    state: State::Sound,
                    audience: suspect.is_published.then_some(audience),
                }));
            self.sound.insert(*part, now);
        }
        learned
    }

    fn learn_suspect(&mut self, now: Duration, suspect: &Message, learned: &mut Learned) {
        let part = suspect.part;
        let rest = Duration::from_millis(suspect.quarantined_ms).min(TERM);
        let crashes = suspect.accusations.iter().take(CRASH_LIMIT);
        let crashes = crashes.map(|accusation| Crash {
            process: accusation.process,
            at: now.saturating_sub(Duration::from_millis(accusation.age_ms)),
            companions: bounded(&accusation.companions),
        });
        let mut is_contradicted = false;
        let mut last_change = None;
        for crash in crashes {
            if self.is_sound(part, crash.at) {
                is_contradicted = true;
            } else if let Some(change) = self.accuse(now, part, crash) {
                last_change = Some(change);
            }
        }
        if !rest.is_zero() && !is_contradicted {
            // The host that decided tells all others itself.
            let untold = |change| Change {
                audience: None,
                ..change
            };
            last_change = self
                .restore(now, part, rest, &suspect.common)
                .or(last_change.map(untold));
        }
        if is_contradicted {
            learned.contradicted.push(part);
        }
        learned.changes.extend(last_change);
    }

    /// Records that another host, or an earlier process, has quarantined a part that stays so for
    /// `rest`, and was always accused with `common`; ignored when the part has been answered since.
    pub fn restore(
        &mut self,
        now: Duration,
        part: PartId,
        rest: Duration,
        common: &[PartId],
    ) -> Option<Change> {
        let until = now + rest.min(TERM);
        let is_answered = self.is_sound(part, until.saturating_sub(TERM));
        if rest.is_zero() || is_answered {
            return None;
        }
        let known = self.blocks.get_mut(part);
        if let Some(block) = known.filter(|block| block.is_active(now)) {
            block.common.retain(|other| common.contains(other));
            return None;
        }
        let suspect = self.suspects.remove(part).unwrap_or_default();
        let crashes = suspect.crashes.len();
        let mut common = bounded(common);
        common.retain(|other| !self.is_sound(*other, now));
        let block = Block {
            until,
            suspect,
            common,
        };
        self.blocks.insert(part, block);
        Some(Change {
            part,
            state: State::Quarantined(crashes),
            audience: None,
        })
    }

    /// Returns the quarantined parts with the rest of their quarantine and the parts that were always
    /// accused with them.
    pub fn quarantined(&self, now: Duration) -> Vec<(PartId, Duration, Vec<PartId>)> {
        let active = self.blocks.iter().filter(|(_, block)| block.is_active(now));
        let mut list: Vec<_> = active
            .map(|(part, block)| (part, block.until.saturating_sub(now), block.common.clone()))
            .collect();
        list.sort_unstable();
        list
    }

    /// Sets the number of other hosts of the fleet.
    pub fn set_other_hosts(&mut self, count: usize) {
        self.other_hosts = count;
    }

    /// Returns whether the row of this host has to show a change soon.
    pub fn is_news(&self, change: &Change) -> bool {
        let is_shown = match change.state {
            State::Suspected(_) => self.other_hosts <= SMALL_FLEET_LIMIT,
            State::Quarantined(_) => true,
            State::Sound => false,
        };
        is_shown && change.audience.is_some()
    }

    /// Returns messages for the row of this host about the parts that it has accused and that are
    /// not quarantined; none in a large fleet, where every host would read too many.
    pub fn accused(&self, now: Duration) -> Vec<Message> {
        if self.other_hosts > SMALL_FLEET_LIMIT {
            return Vec::new();
        }
        let published = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_published && suspect.is_recent(now));
        let mut list: Vec<_> = published
            .map(|(part, suspect)| (suspect.crashes.last().map(|crash| crash.at), part))
            .collect();
        list.sort_unstable_by(|a, b| b.cmp(a));
        list.truncate(PUBLISHED_LIMIT);
        let parts: Vec<_> = list.into_iter().map(|(_, part)| part).collect();
        self.describe(now, &parts)
    }

    /// Returns whether the part was answered so late that an end at this time is no evidence.
    fn is_sound(&self, part: PartId, at: Duration) -> bool {
        let answered_at = self.sound.get(part);
        answered_at.is_some_and(|answered_at| *answered_at + SOUND_TIME > at)
    }

    fn suspect_mut(&mut self, part: PartId) -> Option<&mut Suspect> {
        match self.blocks.get_mut(part) {
            Some(block) => Some(&mut block.suspect),
            None => self.suspects.get_mut(part),
        }
    }

    /// Ends the accusation and the quarantine of a part; returns the hosts that may know of it.
    fn clear(&mut self, part: PartId) -> Option<(Suspect, Audience)> {
        let block = self.blocks.remove(part);
        let block = block.map(|block| (block.suspect, Audience::All));
        let suspect = self.suspects.remove(part);
        if block.is_some() || suspect.is_some() {
            // It no longer explains the ends at which others were accused with it.
            self.blocks
                .for_each(|block| block.common.retain(|other| *other != part));
        }
        block.or(suspect.map(|suspect| (suspect, Audience::Judges)))
    }

    /// Drops accusations of other parts at ends which a quarantined part alone explains.
    fn explain_by(&mut self, block: &Block) {
        if block.common.is_empty() {
            let ends = &block.suspect.crashes;
            let is_explained = |crash: &Crash| ends.iter().any(|end| end.process == crash.process);
            self.suspects
                .for_each(|suspect| suspect.crashes.retain(|crash| !is_explained(crash)));
        }
    }

    fn accuse(&mut self, now: Duration, part: PartId, crash: Crash) -> Option<Change> {
        if let Some(block) = self.blocks.get_mut(part) {
            let companions = crash.companions.clone();
            let at = crash.at;
            if !block.suspect.add(now, crash) || at <= block.started_at() {
                return None;
            }
            let known = block.common.len();
            block.common.retain(|other| companions.contains(other));
            if block.is_active(now) && block.common.len() == known {
                return None;
            }
            if !block.is_active(now) {
                // One more end is enough after a quarantine.
                block.until = at + TERM;
            }
            return Some(Change {
                part,
                state: State::Quarantined(block.suspect.crashes.len()),
                audience: Some(Audience::All),
            });
        }
        let mut suspect = self.suspects.get(part).cloned().unwrap_or_default();
        if !suspect.add(now, crash) {
            return None;
        }
        let crashes = suspect.crashes.len();
        if crashes < CRASH_LIMIT {
            self.suspects.insert(part, suspect);
            return Some(Change {
                part,
                state: State::Suspected(crashes),
                audience: None,
            });
        }
        self.suspects.remove(part);
        suspect.is_published = true;
        let block = Block {
            until: now + TERM,
            common: suspect.common(),
            suspect,
        };
        self.explain_by(&block);
        self.blocks.insert(part, block);
        Some(Change {
            part,
            state: State::Quarantined(crashes),
            audience: Some(Audience::All),
        })
    }
}

/// Returns the parts of a message or a row that are looked at.
fn bounded(parts: &[PartId]) -> Vec<PartId> {
    parts.iter().take(COMPANION_LIMIT).copied().collect()
}
