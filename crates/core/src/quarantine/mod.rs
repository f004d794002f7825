//! Parts of prompts that crash the upstreams which begin to answer them.
//!
//! A request accuses the parts of its prompt when its upstream ended while it had begun to answer
//! and had sent no event. A part that was accused at [`CRASH_LIMIT`] distinct ends, and answered at
//! none between them, is quarantined: no request with it is sent any more. Hosts share accusations
//! and contradict those of parts that they know to be sound. [`Quarantine`] is the state of one
//! host.

mod recent;

use {
    crate::wire::{Accusation, Parts, Suspect as Message},
    recent::Recent,
    std::time::Duration,
};

/// Identifies a part of a prompt by its content.
pub type PartId = u64;

/// Distinct ends of upstreams at which a part is quarantined. Two can happen to a healthy request
/// and its retry while several upstreams fail.
pub const CRASH_LIMIT: usize = 3;
/// Time for which a part stays quarantined.
pub const TERM: Duration = Duration::from_secs(600);
/// Ends of upstreams within this time count once, as they may have a common cause; covers the
/// spread with which hosts see them.
const SAME_INSTANT: Duration = Duration::from_millis(100);
/// Time after an answer during which a part is not accused.
const SOUND_TIME: Duration = Duration::from_secs(10);
/// Time between two updates of the time of a part's last answer; much shorter than
/// [`SOUND_TIME`].
const SOUND_STEP: Duration = Duration::from_secs(1);
/// Time for which an accusation counts.
const ACCUSATION_TIME: Duration = Duration::from_secs(120);
/// Parts that are remembered as accused.
const SUSPECT_LIMIT: usize = 512;
/// Parts that are quarantined at the same time.
pub const QUARANTINE_LIMIT: usize = 32;
/// Parts that are remembered as answered; covers [`SOUND_TIME`] of a busy host.
const SOUND_LIMIT: usize = 4_096;
/// Parts of one request, and of one message, that are looked at.
const PART_LIMIT: usize = 64;

/// The end of a process of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    /// Hash of the upstream and the start of its process.
    process: u64,
    at: Duration,
}

/// An accused part.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The newest ends at which it was accused, each at another instant and of another process.
    crashes: Vec<Crash>,
    /// Whether this host has told others.
    is_published: bool,
}

impl Suspect {
    /// Adds an end; returns whether it is another one than those that are known.
    fn add(&mut self, now: Duration, crash: Crash) -> bool {
        self.crashes
            .retain(|known| now.saturating_sub(known.at) <= ACCUSATION_TIME);
        let is_known = self.crashes.iter().any(|known| {
            known.process == crash.process || known.at.abs_diff(crash.at) < SAME_INSTANT
        });
        if is_known || now.saturating_sub(crash.at) > ACCUSATION_TIME {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        let surplus = self.crashes.len().saturating_sub(CRASH_LIMIT);
        self.crashes.drain(..surplus);
        true
    }
}

/// A quarantined part.
#[derive(Clone, Debug)]
struct Ward {
    until: Duration,
    suspect: Suspect,
}

impl Ward {
    fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    fn started_at(&self) -> Duration {
        self.until.saturating_sub(TERM)
    }
}

/// What changed about a part, for the log and for other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: PartId,
    /// Distinct ends at which it was accused, as far as this host knows.
    pub crashes: usize,
    /// Whether it is quarantined from now on.
    pub is_quarantined: bool,
    /// Whether all hosts have to be told, because this host was the one to decide.
    pub is_own_decision: bool,
}

/// What follows from a message of another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Learned {
    /// Accused parts that this host knows to be sound; the sender has to be told.
    pub contradicted: Vec<PartId>,
    /// Changes of what this host knows.
    pub changes: Vec<Change>,
    /// Parts that are no longer accused or quarantined.
    pub cleared: Vec<PartId>,
    /// Those of [`Self::cleared`] that this host had told others about, which have to be told
    /// again.
    pub retracted: Vec<PartId>,
}

/// What one host knows about parts of prompts that crash upstreams.
#[derive(Clone, Debug)]
pub struct Quarantine {
    suspects: Recent<Suspect>,
    wards: Recent<Ward>,
    /// When a request with the part was last answered, as far as this host knows.
    sound: Recent<Duration>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: Recent::new(SUSPECT_LIMIT),
            wards: Recent::new(QUARANTINE_LIMIT),
            sound: Recent::new(SOUND_LIMIT),
        }
    }
}

impl Quarantine {
    /// Returns for how long no request with these parts may be sent; `None` when it may.
    pub fn check(&self, now: Duration, parts: &[PartId]) -> Option<Duration> {
        let wards = parts.iter().filter_map(|part| self.wards.get(*part));
        let active = wards.filter(|ward| ward.is_active(now));
        active.map(|ward| ward.until.saturating_sub(now)).max()
    }

    /// Records that a request with these parts was answered; returns those that other hosts have
    /// to be told are sound.
    pub fn record_success(&mut self, now: Duration, parts: &[PartId]) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for part in parts.iter().take(PART_LIMIT) {
            if self.clear(*part).is_some() {
                cleared.push(*part);
                self.sound.insert(*part, now);
            } else if self
                .sound
                .get(*part)
                .is_none_or(|at| now.saturating_sub(*at) >= SOUND_STEP)
            {
                self.sound.insert(*part, now);
            }
        }
        cleared
    }

    /// Records that a process of an upstream ended after it had begun to answer a request with
    /// these parts, and before the first event. Other hosts have to be told about each change.
    pub fn record_crash(&mut self, now: Duration, process: u64, parts: &[PartId]) -> Vec<Change> {
        let crash = Crash { process, at: now };
        let mut changes = Vec::new();
        for part in parts.iter().take(PART_LIMIT) {
            if self.is_sound(*part, now) {
                continue;
            }
            changes.extend(self.accuse(now, *part, crash));
            if let Some(suspect) = self.suspect_mut(*part) {
                suspect.is_published = true;
            }
        }
        changes
    }

    /// Returns a message about accused and quarantined parts.
    pub fn describe(&self, now: Duration, parts: &[PartId]) -> Vec<Message> {
        let message = |part: &PartId| {
            let ward = self.wards.get(*part);
            let suspect = ward.map(|ward| &ward.suspect);
            let suspect = suspect.or_else(|| self.suspects.get(*part))?;
            let accusations = suspect.crashes.iter().map(|crash| Accusation {
                process: crash.process,
                age_ms: now.saturating_sub(crash.at).as_millis() as u64,
            });
            let rest = ward.map_or(Duration::ZERO, |ward| ward.until.saturating_sub(now));
            Some(Message {
                part: *part,
                accusations: accusations.collect(),
                quarantined_ms: rest.as_millis() as u64,
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
            if let Some(suspect) = self.clear(*part) {
                learned.cleared.push(*part);
                if suspect.is_published {
                    learned.retracted.push(*part);
                }
            }
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
        if let Some(change) = last_change.filter(|change| change.is_quarantined && !rest.is_zero())
        {
            // The sender has told all hosts already.
            last_change = Some(Change {
                is_own_decision: false,
                ..change
            });
        } else if !rest.is_zero() && !is_contradicted {
            last_change = self.restore(now, part, rest).or(last_change);
        }
        if is_contradicted {
            learned.contradicted.push(part);
        }
        learned.changes.extend(last_change);
    }

    /// Records that another host, or an earlier process, has quarantined a part that stays so for
    /// `rest`; ignored when the part has been answered since.
    pub fn restore(&mut self, now: Duration, part: PartId, rest: Duration) -> Option<Change> {
        let until = now + rest.min(TERM);
        let is_answered = self.is_sound(part, until.saturating_sub(TERM));
        let known = self.wards.get(part);
        if rest.is_zero() || is_answered || known.is_some_and(|ward| ward.is_active(now)) {
            return None;
        }
        let suspect = self.suspects.remove(part).unwrap_or_default();
        let crashes = suspect.crashes.len();
        self.wards.insert(part, Ward { until, suspect });
        Some(Change {
            part,
            crashes,
            is_quarantined: true,
            is_own_decision: false,
        })
    }

    /// Returns the quarantined parts with the rest of their quarantine.
    pub fn quarantined(&self, now: Duration) -> Vec<(PartId, Duration)> {
        let active = self.wards.iter().filter(|(_, ward)| ward.is_active(now));
        let mut list: Vec<_> = active
            .map(|(part, ward)| (part, ward.until.saturating_sub(now)))
            .collect();
        list.sort_unstable();
        list
    }

    /// Returns whether the part was answered so late that an end at this time is no evidence.
    fn is_sound(&self, part: PartId, at: Duration) -> bool {
        let answered_at = self.sound.get(part);
        answered_at.is_some_and(|answered_at| *answered_at + SOUND_TIME > at)
    }

    fn suspect_mut(&mut self, part: PartId) -> Option<&mut Suspect> {
        match self.wards.get_mut(part) {
            Some(ward) => Some(&mut ward.suspect),
            None => self.suspects.get_mut(part),
        }
    }

    /// Ends the accusation and the quarantine of a part.
    fn clear(&mut self, part: PartId) -> Option<Suspect> {
        let ward = self.wards.remove(part).map(|ward| ward.suspect);
        ward.or(self.suspects.remove(part))
    }

    fn accuse(&mut self, now: Duration, part: PartId, crash: Crash) -> Option<Change> {
        if let Some(ward) = self.wards.get_mut(part) {
            let is_new = ward.suspect.add(now, crash) && crash.at > ward.started_at();
            if ward.is_active(now) || !is_new {
                return None;
            }
            // One more end is enough after a quarantine.
            ward.until = crash.at + TERM;
            return Some(Change {
                part,
                crashes: ward.suspect.crashes.len(),
                is_quarantined: true,
                is_own_decision: true,
            });
        }
        let mut suspect = self.suspects.get(part).cloned().unwrap_or_default();
        if !suspect.add(now, crash) {
            return None;
        }
        let crashes = suspect.crashes.len();
        let is_quarantined = crashes >= CRASH_LIMIT;
        if is_quarantined {
            self.suspects.remove(part);
            suspect.is_published = true;
            let until = now + TERM;
            self.wards.insert(part, Ward { until, suspect });
        } else {
            self.suspects.insert(part, suspect);
        }
        Some(Change {
            part,
            crashes,
            is_quarantined,
            is_own_decision: is_quarantined,
        })
    }
}
