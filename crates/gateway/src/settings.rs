//! Settings of a gateway process.

use {
    marigoldroute_core::{
        admission::ColdSettings,
        budget,
        forward::AllowanceSettings,
        id::{HostId, Region, Zone},
        limit::LinkSettings,
        route,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Identity that at most one process has at a time, as the name and the address of the host: a
    /// new process knows that the earlier ones of the same instance have ended.
    pub instance: Arc<str>,
    /// Size of the host relative to others; in a large fleet, larger hosts hold more budgets.
    pub weight: u32,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Address of the HTTP service for callers.
    pub listen: SocketAddr,
    /// Address of the readiness check.
    pub listen_ready: SocketAddr,
    /// UDP address for messages of other hosts; absent when hosts exchange none.
    pub listen_peers: Option<SocketAddr>,
    /// Address of the Prometheus metrics; absent when they are not served.
    pub listen_metrics: Option<SocketAddr>,
    /// Settings of the holder of this process, such as the sizes of grants and marks.
    pub escrow: budget::Settings,
    /// Settings of the routing policy.
    pub routing: route::Settings,
    /// Capacity of the host's network link, and the load at which it accepts no new callers.
    pub link: LinkSettings,
    /// Limit on the retries of the whole fleet.
    pub retries: AllowanceSettings,
    /// Limit on what the whole fleet sends to a cold upstream.
    pub cold: ColdSettings,
    /// Time between two regular flushes of the journal; longer in a large fleet.
    pub flush_interval: Duration,
    /// Writes per second that the store accepts from all hosts together.
    pub store_writes: f64,
    /// Longest wait of a request for the reservation of its tokens.
    pub reserve_timeout: Duration,
    /// Memory that responses of upstreams may take together, in bytes.
    pub answer_memory: usize,
    /// Memory that bodies of callers' requests may take together, in bytes.
    pub body_memory: usize,
    /// Memory that heads of many fields may take together, in bytes.
    pub head_memory: usize,
    /// Connections of callers that are open at a time. One more closes the one whose caller has kept
    /// the host waiting for longest.
    pub caller_connections: usize,
    /// Connections to the readiness check that are open at a time, and to the metrics. One more closes
    /// the oldest.
    pub probe_connections: usize,
    /// Time without a byte after which a body is given up; its request has not run.
    pub body_stall: Duration,
    /// Longest time to open a connection to an upstream.
    pub connect_timeout: Duration,
    /// Time that the store waits for a change before it answers a read; longer in a large fleet.
    pub watch_wait: Duration,
    /// Time without a response after which a call to the store has failed.
    pub store_timeout: Duration,
    /// Time between two renewals of the host's row; after three missed ones the host counts as
    /// dead.
    pub renew_interval: Duration,
    /// Time for which new connections are still accepted after the start of a planned stop, until
    /// the load balancer has taken the host out.
    pub deregistration_delay: Duration,
    /// Longest time that a planned stop waits for requests, the deregistration delay included.
    pub drain_limit: Duration,
    /// Time before the drain limit at which requests that still wait for an upstream or for its
    /// response get an error response.
    pub refusal_time: Duration,
}

/// Writes per second that each host may make. Once all hosts together would exceed the rate of the
/// store, the intervals of store calls grow with the fleet, so that the total rate stays about the
/// same.
const WRITES_PER_HOST: f64 = 25.0;
/// Time of demand that a holder in a large fleet may reserve without waiting for a row.
const LARGE_FLEET_BURST: Duration = Duration::from_millis(800);
/// Share of the store's writes that may change budget rows.
const REFILL_SHARE: f64 = 0.5;
/// Largest growth of an interval: journal rows must stay younger than the hold time of their
/// bounds, and a dead connection to the store must be detected within seconds.
const INTERVAL_GROWTH_LIMIT: f64 = 3.0;

impl Settings {
    /// Returns an interval of store calls, lengthened for a fleet of `hosts`. An unknown number
    /// counts as one host.
    pub(crate) fn scale_interval(&self, interval: Duration, hosts: Option<usize>) -> Duration {
        let growth = hosts.unwrap_or(1) as f64 * WRITES_PER_HOST / self.store_writes.max(1.0);
        interval.mul_f64(growth.clamp(1.0, INTERVAL_GROWTH_LIMIT))
    }
}

impl Settings {
    /// Returns the settings of a holder in a fleet of `hosts`.
    ///
    /// In a large fleet only a few hosts hold each budget, and some of them are small. Rows that
    /// cover a burst in advance keep requests from waiting for a busy holder. The death of a holder
    /// strands only a small part of a budget there.
    pub(crate) fn escrow_for(&self, hosts: Option<usize>) -> budget::Settings {
        let is_large = hosts.is_some_and(|hosts| hosts > budget::Assignment::SMALL_FLEET_LIMIT);
        let burst = if is_large {
            LARGE_FLEET_BURST
        } else {
            Duration::ZERO
        };
        let bound = self.escrow.bound.map(|bound| budget::bound::Settings {
            burst_time: burst,
            ..bound
        });
        budget::Settings {
            bound,
            ..self.escrow.clone()
        }
    }

    /// Returns the time for which this host relies on its view of the fleet without a renewal. It
    /// allows for one round that fails, and is shorter than the time after which others take this
    /// host for dead.
    pub(crate) fn view_term(&self) -> Duration {
        self.renew_interval * 2 + self.store_timeout.min(self.renew_interval / 2)
    }

    /// Returns the shortest time between two changes of budget rows by this host.
    pub(crate) fn refill_interval(&self, hosts: Option<usize>) -> Duration {
        let writes = self.store_writes.max(1.0) * REFILL_SHARE;
        Duration::from_secs_f64(hosts.unwrap_or(1) as f64 / writes)
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host: "host".into(),
            instance: "host".into(),
            weight: 1,
            region: "region".into(),
            zone: "zone".into(),
            listen: any,
            listen_ready: any,
            listen_peers: None,
            listen_metrics: None,
            escrow: escrow(),
            routing: routing(),
            link: LinkSettings::default(),
            retries: AllowanceSettings::default(),
            cold: ColdSettings::default(),
            flush_interval: Duration::from_millis(300),
            store_writes: 600.0,
            reserve_timeout: Duration::from_millis(1_000),
            answer_memory: 32 << 20,
            body_memory: 32 << 20,
            head_memory: 8 << 20,
            caller_connections: usize::MAX,
            probe_connections: 32,
            body_stall: Duration::from_secs(5),
            connect_timeout: Duration::from_millis(400),
            watch_wait: Duration::from_millis(700),
            store_timeout: Duration::from_millis(1_100),
            renew_interval: Duration::from_secs(3),
            deregistration_delay: Duration::from_millis(2_300),
            drain_limit: Duration::from_secs(7),
            refusal_time: Duration::from_millis(300),
        }
    }
}

/// Returns holder settings for a fleet in which every host holds every budget. Marks outlast an
/// outage of the store of ten seconds at the current demand; bounds limit what is lost of a mark
/// when its process dies.
fn escrow() -> budget::Settings {
    budget::Settings {
        endurance: Duration::from_secs(12),
        rise_time: Duration::from_secs(4),
        fall_time: Duration::from_secs(15),
        min_endurance: Duration::from_millis(300),
        horizon: Duration::from_secs(14),
        low_water: 0.8,
        min_grant: 40_000,
        initial_share: 0.04,
        divisor: 2,
        bound: Some(budget::bound::Settings::default()),
        exhausted_ttl: Duration::from_millis(500),
        exhaustion_delay: Duration::from_millis(800),
        // Half of the 65,536 bytes of a row; the other half is for the shares.
        bill_bytes_limit: 32 << 10,
        review_interval: Duration::from_secs(3),
        short_review_interval: Duration::from_millis(400),
        ..budget::Settings::default()
    }
}

/// Returns the routing for engines whose prefix caches hold prompts that many callers share.
fn routing() -> route::Settings {
    route::Settings {
        subset: 32,
        sample: 32,
        setup: 0.09,
        learning_rate: 0.1,
        prefill: 0.000_018,
        reread_cost: 0.000_02,
        token_interval: 0.01,
        backoff: Duration::from_millis(500),
        backoff_limit: Duration::from_secs(5),
        ..route::Settings::default()
    }
}
