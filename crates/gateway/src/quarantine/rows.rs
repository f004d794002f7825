//! Accused and quarantined parts of prompts in the rows of hosts.

use {
    super::Quarantine,
    crate::view::lock,
    marigoldroute_core::{
        quarantine::{PUBLISHED_LIMIT, PartId, QUARANTINE_LIMIT},
        wire::{Accusation, Parts, Suspect},
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// What a host's row says about parts of prompts. All ids are in hexadecimal, and all times in
/// milliseconds since 1970.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartRows {
    /// Parts that no host sends to upstreams, for processes that start later.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    quarantined: Vec<Quarantined>,
    /// Parts that the host has accused, for hosts that its messages do not reach.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    accused: Vec<Accused>,
}

/// A quarantined part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Quarantined {
    part: String,
    /// End of the quarantine.
    until_ms: u64,
    /// Parts that were always accused with it.
    #[serde(default)]
    common: Vec<String>,
}

/// An accused part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Accused {
    part: String,
    crashes: Vec<Crash>,
}

/// The end of a process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    /// Hash of the upstream and the start of its process.
    process: String,
    at_ms: u64,
    /// Parts of the same prompt that were accused with it.
    companions: Vec<String>,
}

impl PartRows {
    /// Returns whether the text of a row may contain any.
    pub(crate) fn may_be_in(text: &str) -> bool {
        text.contains("\"quarantined\"") || text.contains("\"accused\"")
    }
}

impl Quarantine {
    /// Returns what this host's row says.
    pub(crate) fn rows(&self) -> PartRows {
        let (now, now_ms) = (self.clock.now(), unix_ms());
        let inner = lock(&self.inner);
        let quarantined = inner
            .quarantined(now)
            .into_iter()
            .map(|(part, rest, common)| Quarantined {
                part: format_id(&part),
                until_ms: now_ms.saturating_add(rest.as_millis() as u64),
                common: common.iter().map(format_id).collect(),
            });
        let crash = |accusation: &Accusation| Crash {
            process: format_id(&accusation.process),
            at_ms: now_ms.saturating_sub(accusation.age_ms),
            companions: accusation.companions.iter().map(format_id).collect(),
        };
        let accused = inner.accused(now).into_iter().map(|suspect| Accused {
            part: format_id(&suspect.part),
            crashes: suspect.accusations.iter().map(crash).collect(),
        });
        PartRows {
            quarantined: quarantined.collect(),
            accused: accused.collect(),
        }
    }

    /// Learns what the row of another process says.
    pub(crate) fn learn_rows(&self, process: &str, rows: &PartRows) {
        let (now, now_ms) = (self.clock.now(), unix_ms());
        let mut inner = lock(&self.inner);
        let quarantined = rows.quarantined.iter().take(QUARANTINE_LIMIT);
        let known = quarantined.filter_map(|row| {
            let rest = Duration::from_millis(row.until_ms.saturating_sub(now_ms));
            inner.restore(now, parse_id(&row.part)?, rest, &parse_ids(&row.common))
        });
        let mut changes: Vec<_> = known.collect();
        let accused = rows.accused.iter().take(PUBLISHED_LIMIT);
        let suspects = accused.filter_map(|row| row.to_suspect(now_ms));
        let message = Parts {
            suspects: suspects.collect(),
            sound: Vec::new(),
        };
        // The accuser gets the contradiction with the datagram that it sends as well.
        changes.extend(inner.learn(now, &message).changes);
        drop(inner);
        self.apply(&changes, process);
    }
}

impl Accused {
    /// Returns the message that says the same; `None` when the id cannot be read.
    fn to_suspect(&self, now_ms: u64) -> Option<Suspect> {
        let accusations = self.crashes.iter().filter_map(|crash| {
            Some(Accusation {
                process: parse_id(&crash.process)?,
                age_ms: now_ms.saturating_sub(crash.at_ms),
                companions: parse_ids(&crash.companions),
            })
        });
        Some(Suspect {
            part: parse_id(&self.part)?,
            accusations: accusations.collect(),
            ..Suspect::default()
        })
    }
}

fn format_id(id: &PartId) -> String {
    format!("{id:016x}")
}

fn parse_id(text: &str) -> Option<PartId> {
    u64::from_str_radix(text, 16).ok()
}

fn parse_ids(texts: &[String]) -> Vec<PartId> {
    texts.iter().filter_map(|text| parse_id(text)).collect()
}

/// Returns the wall clock's milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
