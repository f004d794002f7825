//! What the process believes about its surroundings.

use {
    marigoldroute_core::{
        forward::{Directory, Roster},
        limit::{Link, LinkSettings},
        table::Verdict,
    },
    marigoldroute_process::logs::BELIEFS,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Locks a mutex; a panic while it was held leaves plain data that is still valid.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether a transaction took effect.
pub(crate) fn is_committed(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Committed)
}

/// Configuration, upstreams and fleet as this process knows them.
#[derive(Debug)]
pub(crate) struct View {
    directory: RwLock<Option<Arc<Directory>>>,
    /// Notifies of a new directory.
    changed: watch::Sender<u64>,
    pub(crate) roster: Mutex<Roster>,
    hosts: AtomicUsize,
    is_listed: AtomicBool,
    is_draining: AtomicBool,
    link: Mutex<Link>,
    /// What the log was told.
    was_busy: AtomicBool,
}

impl View {
    pub(crate) fn new(link: LinkSettings) -> Self {
        Self {
            directory: RwLock::new(None),
            changed: watch::Sender::new(0),
            roster: Mutex::default(),
            hosts: AtomicUsize::new(0),
            is_listed: AtomicBool::new(false),
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

    /// Puts a configuration into effect, unless it is not newer than the present one.
    pub(crate) fn adopt(&self, directory: Directory) -> bool {
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
        self.changed.send_replace(version);
        true
    }

    /// Returns a receiver that is notified of each new configuration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the hosts of the fleet, or `None` before they are known.
    pub(crate) fn hosts(&self) -> Option<usize> {
        match self.hosts.load(Ordering::Relaxed) {
            0 => None,
            hosts => Some(hosts),
        }
    }

    pub(crate) fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts.max(1), Ordering::Relaxed);
    }

    /// Notes that the list of upstreams was read.
    pub(crate) fn set_listed(&self) {
        self.is_listed.store(true, Ordering::Relaxed);
    }

    /// Notes that a planned stop has begun.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Counts bytes of a request or an answer.
    pub(crate) fn count_bytes(&self, now: Duration, bytes: usize) {
        lock(&self.link).record_bytes(now, bytes);
    }

    /// Returns whether callers should go to other hosts.
    pub(crate) fn is_busy(&self, now: Duration) -> bool {
        let is_busy = lock(&self.link).is_busy(now);
        if self.was_busy.swap(is_busy, Ordering::Relaxed) != is_busy {
            log::info!(target: BELIEFS, is_busy; "load of the link");
        }
        is_busy
    }

    /// Returns whether the process takes new callers.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.is_draining()
            && !self.is_busy(now)
            && self.is_listed.load(Ordering::Relaxed)
            && self.directory().is_some()
    }
}
