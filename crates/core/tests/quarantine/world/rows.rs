//! Rows of the hosts in the store, and hosts that are cut off.

use {
    super::{CONTACT, RENEWAL, STEP, World},
    crate::plan::Cut,
    marigoldroute_core::{
        quarantine::{Change, PartId, Quarantine},
        wire::{Parts, Suspect},
    },
    std::time::Duration,
};

/// The row of a host.
#[derive(Clone, Default)]
pub(super) struct Row {
    written_at: Duration,
    /// Quarantined parts with their ends.
    quarantined: Vec<(PartId, Duration, Vec<PartId>)>,
    accused: Vec<Suspect>,
}

impl Row {
    fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.accused.is_empty()
    }
}

/// Reads a row.
pub(super) fn read(quarantine: &mut Quarantine, now: Duration, row: &Row) -> Vec<Change> {
    for (part, until, common) in &row.quarantined {
        quarantine.restore(now, *part, until.saturating_sub(now), common);
    }
    let passed = (now - row.written_at).as_millis() as u64;
    let mut suspects = row.accused.clone();
    for accusation in suspects
        .iter_mut()
        .flat_map(|suspect| &mut suspect.accusations)
    {
        accusation.age_ms += passed;
    }
    let sound = Vec::new();
    quarantine.learn(now, &Parts { suspects, sound }).changes
}

impl World {
    /// Hosts renew their rows and read those of the others, one after the other.
    pub(super) fn renew_rows(&mut self) {
        let now = self.now;
        let count = self.hosts.len();
        for host in 0..count {
            let phase = RENEWAL * host as u32 / count as u32;
            let passed = (now - phase.min(now)).as_millis() % RENEWAL.as_millis();
            if passed >= STEP.as_millis() || self.is_cut_off(host, true) {
                continue;
            }
            self.write_row(host);
            let rows = self.hosts.iter().map(|host| &host.row);
            let rows: Vec<_> = rows.filter(|row| !row.is_empty()).cloned().collect();
            for row in &rows {
                let changes = read(&mut self.hosts[host].quarantine, now, row);
                self.post(host, &changes);
            }
        }
    }

    fn write_row(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let quarantined = host.quarantine.quarantined(self.now).into_iter();
        host.row = Row {
            written_at: self.now,
            quarantined: quarantined
                .map(|(part, rest, common)| (part, self.now + rest, common))
                .collect(),
            accused: host.quarantine.accused(self.now),
        };
    }

    /// Writes the rows of hosts with news.
    pub(super) fn write_news(&mut self) {
        for host in 0..self.hosts.len() {
            let is_due = |at: &Duration| *at <= self.now;
            if self.hosts[host]
                .writes_at
                .take_if(|at| is_due(at))
                .is_some()
                && !self.is_cut_off(host, true)
            {
                self.write_row(host);
            }
        }
    }

    /// Returns whether a host is cut off from the others, and from the store if that is asked for.
    pub(super) fn is_cut_off(&self, host: usize, from_store: bool) -> bool {
        self.cuts(host).any(|cut| {
            (cut.from..cut.to).contains(&self.now) && (cut.includes_store || !from_store)
        })
    }

    /// Returns whether a host has reached the store for long enough.
    pub(super) fn is_in_touch(&self, host: usize) -> bool {
        let is_recent = |cut: &Cut| (cut.from..cut.to + CONTACT).contains(&self.now);
        !self
            .cuts(host)
            .any(|cut| cut.includes_store && is_recent(cut))
    }

    fn cuts(&self, host: usize) -> impl Iterator<Item = &Cut> {
        self.plan.cuts.iter().filter(move |cut| host < cut.hosts)
    }
}
