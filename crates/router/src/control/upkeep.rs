//! Maintains rows of the table service: the row of this process, and snapshots and the log of the
//! configuration. Reads the list of hosts.

use {
    super::{
        listing,
        task::{Event, Task},
    },
    marigoldroute_core::{
        config::{LOG_PREFIX, SNAPSHOT_KEY, TRIM_LIMIT_ROWS},
        table::Row,
    },
    std::time::Duration,
};

/// Shortest time between two reads of the platform's list; applies while no other host is known.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the list by a poller, per host on it. A read costs one row per host;
/// with 12 pollers the list costs 80 rows a second, whatever the size of the fleet.
const LIST_INTERVAL_PER_HOST: Duration = Duration::from_millis(150);

impl Task {
    pub(super) fn register(&mut self) {
        let platform = self.deps.platform.clone();
        let (process, host) = (self.deps.process.clone(), self.deps.host.clone());
        self.calls.spawn(async move {
            Event::Registered(listing::register(&platform, &process, &host).await)
        });
    }

    pub(super) fn list(&mut self, now: Duration) {
        let peers = self.view.peers().len() as u32;
        let is_alone = peers == 0;
        self.next_list = now + (LIST_INTERVAL_PER_HOST * peers).max(MIN_LIST_INTERVAL);
        if !is_alone && !self.view.is_poller() {
            return;
        }
        if self.view.is_poller() {
            self.start_upkeep();
        }
        let platform = self.deps.platform.clone();
        self.calls
            .spawn(async move { Event::Listed(listing::read(&platform).await) });
    }

    /// Reads the rows that [`Self::maintain_log`] needs.
    pub(super) fn start_upkeep(&mut self) {
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            let rows = async {
                let pointer = platform.get(SNAPSHOT_KEY).await?;
                let oldest = platform.scan(LOG_PREFIX, "", TRIM_LIMIT_ROWS).await?;
                Ok((pointer, oldest))
            };
            Event::Upkeep(rows.await)
        });
    }

    /// Writes a snapshot if the last one is old, and removes log rows that a snapshot covers.
    pub(super) fn maintain_log(&mut self, pointer: Option<&Row>, oldest: &[Row]) {
        let transactions = [self.log.snapshot(pointer), self.log.trim(pointer, oldest)];
        for transaction in transactions.into_iter().flatten() {
            let platform = self.deps.platform.clone();
            // Another poller may commit first; the next round then reads its rows.
            self.calls.spawn(async move {
                let result = platform.commit(&transaction).await;
                Event::Written(result.map(drop))
            });
        }
    }
}
