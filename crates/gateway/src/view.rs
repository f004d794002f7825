//! This process's view of the configuration, the upstreams and the fleet.

use {
    marigoldroute_core::{
        forward::{Directory, Roster},
        id::{HolderId, Version},
        limit::{Link, LinkSettings},
        table::Verdict,
    },
    marigoldroute_process::logs::BELIEFS,
    std::{
        collections::{BTreeSet, HashMap},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Locks a mutex and ignores poisoning: the data behind the locks of this crate is valid after a
/// panic at any point.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether a transaction took effect.
pub(crate) fn is_committed(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Committed)
}

/// Time for which a process counts as one that may have taken tokens after its row was last read. The
/// store is restored from copies that are seconds old, after an outage of seconds.
const KNOWN_TIME: Duration = Duration::from_secs(60);

/// Configuration, upstreams and fleet as this process knows them, which may be out of date.
#[derive(Debug)]
pub(crate) struct View {
    directory: RwLock<Option<Arc<Directory>>>,
    /// Version of the directory; notifies of a new one.
    version: watch::Sender<Version>,
    pub(crate) roster: Mutex<Roster>,
    /// Processes with rows of hosts, and when the row of each was last read.
    processes: Mutex<HashMap<HolderId, Duration>>,
    /// Hosts in the fleet; 0 until they have been counted.
    hosts: AtomicUsize,
    /// Whether the list of upstreams has been read.
    has_upstreams: AtomicBool,
    is_draining: AtomicBool,
    /// Load of the host's network link.
    link: Mutex<Link>,
    /// Result of the last [`Self::is_busy`], to log changes only.
    was_busy: AtomicBool,
}

impl View {
    pub(crate) fn new(link: LinkSettings) -> Self {
        Self {
            directory: RwLock::new(None),
            version: watch::Sender::new(0),
            roster: Mutex::default(),
            processes: Mutex::default(),
            hosts: AtomicUsize::new(0),
            has_upstreams: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            link: Mutex::new(Link::new(link)),
            was_busy: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in effect.
    pub(crate) fn directory(&self) -> Option<Arc<Directory>> {
        let directory = self.directory.read();
        directory.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration into effect if it is newer than the current one; returns whether it is.
    pub(crate) fn update_directory(&self, directory: Directory) -> bool {
        let mut current = self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let version = directory.version();
        if current
            .as_ref()
            .is_some_and(|known| known.version() >= version)
        {
            return false;
        }
        *current = Some(Arc::new(directory));
        self.version.send_replace(version);
        true
    }

    /// Returns the version of the configuration in effect; 0 while there is none.
    pub(crate) fn version(&self) -> Version {
        *self.version.borrow()
    }

    /// Returns a receiver of the versions of new configurations.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Returns the number of hosts in the fleet, or `None` before they have been counted.
    pub(crate) fn hosts(&self) -> Option<usize> {
        match self.hosts.load(Ordering::Relaxed) {
            0 => None,
            hosts => Some(hosts),
        }
    }

    pub(crate) fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts.max(1), Ordering::Relaxed);
    }

    /// Records the processes that have rows of hosts.
    pub(crate) fn record_processes(&self, now: Duration, read: impl Iterator<Item = HolderId>) {
        let mut processes = lock(&self.processes);
        processes.extend(read.map(|process| (process, now)));
        processes.retain(|_, at| now.saturating_sub(*at) <= KNOWN_TIME);
    }

    /// Returns the processes whose rows were read lately.
    pub(crate) fn known_processes(&self, now: Duration) -> BTreeSet<HolderId> {
        let processes = lock(&self.processes);
        let is_known = |at: &Duration| now.saturating_sub(*at) <= KNOWN_TIME;
        let known = processes.iter().filter(|(_, at)| is_known(at));
        known.map(|(process, _)| process.clone()).collect()
    }

    /// Records that the list of upstreams has been read.
    pub(crate) fn set_upstreams_read(&self) {
        self.has_upstreams.store(true, Ordering::Relaxed);
    }

    /// Records that a planned stop has begun.
    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Adds bytes of a request or a response to the load of the link.
    pub(crate) fn record_bytes(&self, now: Duration, bytes: usize) {
        lock(&self.link).record_bytes(now, bytes);
    }

    /// Returns whether the link is so loaded that callers should use other hosts.
    pub(crate) fn is_busy(&self, now: Duration) -> bool {
        let is_busy = lock(&self.link).is_busy(now);
        if self.was_busy.swap(is_busy, Ordering::Relaxed) != is_busy {
            log::info!(target: BELIEFS, is_busy; "load of the link");
        }
        is_busy
    }

    /// Returns whether the process accepts new callers: it is not stopping, the link has capacity,
    /// and both the list of upstreams and the configuration are known. The evacuations are read
    /// before the configuration.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.is_draining()
            && !self.is_busy(now)
            && self.has_upstreams.load(Ordering::Relaxed)
            && self.directory().is_some()
    }
}
