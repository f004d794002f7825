//! Hosts that are listed in the table service.
//!
//! Membership shows the hosts that this one has heard of. A host that has just started, or that is
//! cut off since its start, has heard of few; the list shows the others.

use {
    super::Admin,
    crate::control::HOST_PREFIX,
    marigoldroute_core::id::HostId,
    marigoldroute_store::Fault,
    std::{
        collections::BTreeSet,
        sync::{Arc, PoisonError},
        time::Duration,
    },
};

/// Rows read per call.
const PAGE_ROWS: usize = 1_000;
/// Age up to which a list is used again. At 390 hosts, a wait for a version then costs 78 reads
/// per second.
const AGE_LIMIT: Duration = Duration::from_secs(5);

/// A list with the time at which it was read.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    at: Duration,
    hosts: Arc<BTreeSet<HostId>>,
}

impl Admin {
    /// Returns the listed hosts; those that were listed last while the store does not answer.
    pub(super) async fn listed(&self) -> Arc<BTreeSet<HostId>> {
        let now = self.clock.now();
        let known = self.lock_listed().clone();
        if let Some(known) = &known
            && now.saturating_sub(known.at) < AGE_LIMIT
        {
            return known.hosts.clone();
        }
        let Ok(hosts) = self.read_listed().await else {
            return known.map(|known| known.hosts).unwrap_or_default();
        };
        let hosts = Arc::new(hosts);
        *self.lock_listed() = Some(Listed {
            at: now,
            hosts: hosts.clone(),
        });
        hosts
    }

    async fn read_listed(&self) -> Result<BTreeSet<HostId>, Fault> {
        let mut hosts = BTreeSet::new();
        let mut after = String::new();
        loop {
            let rows = self.platform.scan(HOST_PREFIX, &after, PAGE_ROWS).await?;
            let is_last = rows.len() < PAGE_ROWS;
            for row in rows {
                after = row.key.to_string();
                let process = row.key.strip_prefix(HOST_PREFIX).unwrap_or_default();
                hosts.extend(process.split_once('.').map(|(host, _)| host.into()));
            }
            if is_last {
                return Ok(hosts);
            }
        }
    }

    fn lock_listed(&self) -> std::sync::MutexGuard<'_, Option<Listed>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
