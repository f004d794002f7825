//! Hosts that do not answer, as another host knows them.

use {
    crate::id::HostId,
    std::{collections::HashMap, time::Duration},
};

/// Settings of [`Silence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Pause after the first question without an answer; it doubles with each further one.
    pub pause: Duration,
    /// Longest pause.
    pub pause_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // Each question to a silent host delays a request, and a host that was only paused is
            // back within about this time.
            pause: Duration::from_millis(500),
            pause_limit: Duration::from_secs(4),
        }
    }
}

/// Silent hosts, which are not asked for some time.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    settings: Settings,
    /// Questions in a row without an answer, and the time from which the host is asked again.
    hosts: HashMap<HostId, (u32, Duration)>,
}

impl Silence {
    /// Creates a state without silent hosts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            hosts: HashMap::new(),
        }
    }

    /// Returns whether a host may be asked now.
    pub fn allows(&self, now: Duration, host: &HostId) -> bool {
        self.hosts.get(host).is_none_or(|(_, until)| now >= *until)
    }

    /// Records a question without an answer; returns whether the host was not silent before.
    pub fn record_silence(&mut self, now: Duration, host: &HostId) -> bool {
        let (count, until) = self.hosts.entry(host.clone()).or_default();
        // Questions that were under way together count once.
        if now < *until {
            return false;
        }
        let pause = self.settings.pause * 2_u32.saturating_pow((*count).min(8));
        *until = now + pause.min(self.settings.pause_limit);
        *count += 1;
        *count == 1
    }

    /// Records an answer; returns whether the host was silent before.
    pub fn record_answer(&mut self, host: &HostId) -> bool {
        self.hosts.remove(host).is_some()
    }

    /// Forgets the hosts that are not alive any more.
    pub fn retain(&mut self, is_live: impl Fn(&HostId) -> bool) {
        self.hosts.retain(|host, _| is_live(host));
    }
}
