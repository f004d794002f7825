//! Settings of a router process.

use {
    crate::tls,
    derive_more::{Display, Error},
    marigoldroute_core::{
        budget::{Preset, reclaim},
        id::{HostId, Region, Zone},
        route, wire,
    },
    std::{fmt, net::SocketAddr, path::Path, sync::Arc, time::Duration},
};

/// Shortest accepted fleet key in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Greatest weight of a host.
const WEIGHT_LIMIT: u32 = 1_000;

/// Shortest placement lease; lease rows have a resolution of one second.
const MIN_LEASE: Duration = Duration::from_secs(2);
/// Smallest number of placement rounds within the lease, so that one slow round does not end it.
const MIN_LEASE_ROUNDS: u32 = 3;

/// Settings of a router process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: HostId,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Size of the host relative to others; its share of the budgets is proportional to it.
    pub weight: u32,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other hosts.
    pub listen_peers: SocketAddr,
    /// Address that is advertised to other hosts, if it differs from the bound one.
    pub advertise_peers: Option<SocketAddr>,
    /// File with the certificate chain for callers and operators, in PEM. Without it and the key,
    /// plain HTTP is served.
    pub tls_certificate: Option<Arc<Path>>,
    /// File with the key of the certificate, in PEM.
    pub tls_key: Option<Arc<Path>>,
    /// Interval at which these files are checked for changes.
    pub tls_interval: Duration,
    /// Base URL of the platform's table service and object store.
    pub platform: Arc<str>,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// Fleet keys of at least 16 bytes each; the first one signs, all are accepted.
    pub fleet_keys: Vec<Arc<str>>,
    /// SHA-256 hash of the first operator's key in lower-case hexadecimal; that key has every
    /// role. Without it, only keys in the table service are accepted.
    pub admin_key_hash: Option<Arc<str>>,
    /// Interval at which journal rows are written.
    pub flush_interval: Duration,
    /// Interval between two rounds of the ledger over all journals.
    pub ledger_interval: Duration,
    /// Interval between two rounds of the placement of models.
    pub placement_interval: Duration,
    /// Length of the placement lease; the same on every host.
    pub placement_lease: Duration,
    /// Assumed upper bound on the pause of a process; the same on every host. Engines that ignore
    /// fencing numbers get no orders from a new lease holder before this time has passed.
    pub pause_bound: Duration,
    /// Interval at which a process renews its row in the list of hosts. A process that has missed
    /// three renewals and that no host hears counts as dead.
    pub renew_interval: Duration,
    /// Hosts per region that hold a budget; at least 1.
    pub holders_per_region: usize,
    /// Timeout of a call to another host.
    pub peer_timeout: Duration,
    /// Longest wait for a reservation.
    pub reserve_timeout: Duration,
    /// Age at which the upstreams are queried for the outcome of a reservation, because its entry
    /// may be lost.
    pub reservation_limit: Duration,
    /// Longest wait for an upstream's next bytes.
    pub upstream_timeout: Duration,
    /// Largest number of upstreams tried for a request; at least 1.
    pub attempts: u32,
    /// Policy that chooses upstreams.
    pub policy: route::PolicyName,
    /// Largest number of requests in progress; further ones wait in a bounded queue.
    pub running_limit: usize,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Longest wait for running requests at a planned stop.
    pub drain_limit: Duration,
    /// When the unused tokens of a dead process return to their budgets.
    pub reclaim: reclaim::Settings,
    /// Preset for the sizes of grants.
    pub preset: Preset,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: "".into(),
            region: "region-1".into(),
            zone: "zone-1".into(),
            weight: 1,
            listen: ([127, 0, 0, 1], 8080).into(),
            listen_peers: ([127, 0, 0, 1], 8081).into(),
            advertise_peers: None,
            tls_certificate: None,
            tls_key: None,
            tls_interval: Duration::from_secs(5),
            platform: "http://127.0.0.1:8090".into(),
            platform_timeout: Duration::from_secs(2),
            fleet_keys: Vec::new(),
            admin_key_hash: None,
            flush_interval: Duration::from_secs(4),
            ledger_interval: Duration::from_secs(60),
            placement_interval: Duration::from_secs(4),
            placement_lease: Duration::from_secs(15),
            pause_bound: Duration::from_secs(30),
            renew_interval: Duration::from_secs(20),
            holders_per_region: 2,
            peer_timeout: Duration::from_millis(500),
            reserve_timeout: Duration::from_secs(1),
            reservation_limit: Duration::from_secs(60),
            upstream_timeout: Duration::from_secs(60),
            attempts: 3,
            policy: route::PolicyName::Adaptive,
            running_limit: 4_096,
            body_limit: 4 << 20,
            drain_limit: Duration::from_secs(600),
            reclaim: reclaim::Settings::default(),
            preset: Preset::Balanced,
            log_level: log::LevelFilter::Info,
        }
    }
}

/// Length of a SHA-256 hash in hexadecimal.
const HASH_CHARS: usize = 64;

fn is_url(text: &str) -> bool {
    let url = reqwest::Url::parse(text);
    url.is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host())
}

fn is_hash(text: &str) -> bool {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_CHARS && text.bytes().all(is_hex)
}

/// Every mistake found in the settings.
#[derive(Debug, Display, Error)]
#[display("{}", _0.join("\n"))]
pub struct Mistakes(#[error(not(source))] pub Vec<String>);

impl Settings {
    /// Checks the settings as a whole.
    ///
    /// # Errors
    /// [`Mistakes`] with every mistake found.
    pub fn check(&self) -> Result<(), Mistakes> {
        let mut mistakes = Vec::new();
        let mut require = |holds: bool, text: &str| {
            if !holds {
                mistakes.push(text.to_owned());
            }
        };
        require(!self.host.is_empty(), "--host: must not be empty");
        let name = |text: &str| !text.contains(['/', '.', ' ']);
        require(
            name(&self.host),
            "--host: must not contain '/', '.' or a space",
        );
        require(!self.region.is_empty(), "--region: must not be empty");
        require(!self.zone.is_empty(), "--zone: must not be empty");
        require(is_url(&self.platform), "--platform: must be an HTTP URL");
        require(
            !self.fleet_keys.is_empty(),
            "--fleet-key: at least one key is needed",
        );
        let long = |key: &Arc<str>| key.len() >= MIN_KEY_BYTES;
        require(
            self.fleet_keys.iter().all(long),
            "--fleet-key: a key needs 16 bytes or more",
        );
        require(
            self.admin_key_hash.as_deref().is_none_or(is_hash),
            "--admin-key-hash: must be a SHA-256 hash in lower-case hexadecimal",
        );
        require(
            self.holders_per_region > 0,
            "--holders-per-region: must be 1 or more",
        );
        require(self.attempts > 0, "--attempts: must be 1 or more");
        let times = [
            ("platform-timeout-ms", self.platform_timeout),
            ("flush-interval-ms", self.flush_interval),
            ("placement-interval-ms", self.placement_interval),
            ("peer-timeout-ms", self.peer_timeout),
            ("reserve-timeout-ms", self.reserve_timeout),
            ("upstream-timeout-ms", self.upstream_timeout),
            ("tls-interval-ms", self.tls_interval),
        ];
        for (flag, time) in times {
            require(!time.is_zero(), &format!("--{flag}: must be 1 or more"));
        }
        require(
            self.placement_lease >= MIN_LEASE,
            "--placement-lease-ms: must be 2000 or more",
        );
        require(
            self.placement_lease >= self.placement_interval * MIN_LEASE_ROUNDS,
            "--placement-lease-ms: must be at least 3 times --placement-interval-ms",
        );
        require(self.body_limit > 0, "--body-limit: must be 1 or more");
        let is_weight = (1..=WEIGHT_LIMIT).contains(&self.weight);
        require(is_weight, "--weight: must be from 1 to 1000");
        let peers = self.listen_peers != self.listen || self.listen.port() == 0;
        require(peers, "--listen-peers: must differ from --listen");
        let is_reachable = |to: SocketAddr| !to.ip().is_unspecified() && to.port() > 0;
        let advertised = self.advertise_peers.is_none_or(is_reachable);
        require(
            advertised,
            "--advertise-peers: must have the IP address and port that other hosts reach",
        );
        let files = self.tls();
        let unusable = files.and_then(|files| files.map(|files| files.read()).transpose());
        mistakes.extend(unusable.err().into_iter().flat_map(|unusable| unusable.0));
        if mistakes.is_empty() {
            Ok(())
        } else {
            Err(Mistakes(mistakes))
        }
    }

    /// Returns the files of the TLS certificate, or `None` when TLS is off.
    pub(crate) fn tls(&self) -> Result<Option<tls::Files>, tls::Unusable> {
        tls::Files::new(self.tls_certificate.as_ref(), self.tls_key.as_ref())
    }

    /// Returns the key ring for the internal protocol.
    pub(crate) fn keys(&self) -> wire::Keys {
        let keys = self.fleet_keys.iter();
        wire::Keys::new(keys.map(|key| key.as_bytes().into()).collect())
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = Duration::as_millis;
        writeln!(f, "host = {}", self.host)?;
        writeln!(f, "region = {}", self.region)?;
        writeln!(f, "zone = {}", self.zone)?;
        writeln!(f, "weight = {}", self.weight)?;
        writeln!(f, "listen = {}", self.listen)?;
        writeln!(f, "listen-peers = {}", self.listen_peers)?;
        let advertised = self.advertise_peers.map(|address| address.to_string());
        let advertised = advertised.as_deref().unwrap_or("none");
        writeln!(f, "advertise-peers = {advertised}")?;
        let path = |path: &Option<Arc<Path>>| match path {
            Some(path) => path.display().to_string(),
            None => "none".to_owned(),
        };
        writeln!(f, "tls-certificate = {}", path(&self.tls_certificate))?;
        writeln!(f, "tls-key = {}", path(&self.tls_key))?;
        writeln!(f, "tls-interval-ms = {}", ms(&self.tls_interval))?;
        writeln!(f, "platform = {}", self.platform)?;
        writeln!(f, "platform-timeout-ms = {}", ms(&self.platform_timeout))?;
        writeln!(
            f,
            "fleet-keys = {} (values not shown)",
            self.fleet_keys.len()
        )?;
        let admin = self.admin_key_hash.as_deref().unwrap_or("none");
        writeln!(f, "admin-key-hash = {admin}")?;
        writeln!(f, "flush-interval-ms = {}", ms(&self.flush_interval))?;
        writeln!(f, "ledger-interval-ms = {}", ms(&self.ledger_interval))?;
        let interval = ms(&self.placement_interval);
        writeln!(f, "placement-interval-ms = {interval}")?;
        writeln!(f, "placement-lease-ms = {}", ms(&self.placement_lease))?;
        writeln!(f, "pause-bound-ms = {}", ms(&self.pause_bound))?;
        writeln!(f, "renew-interval-ms = {}", ms(&self.renew_interval))?;
        writeln!(f, "holders-per-region = {}", self.holders_per_region)?;
        writeln!(f, "peer-timeout-ms = {}", ms(&self.peer_timeout))?;
        writeln!(f, "reserve-timeout-ms = {}", ms(&self.reserve_timeout))?;
        let limit = ms(&self.reservation_limit);
        writeln!(f, "preset = {}", self.preset)?;
        writeln!(f, "reservation-limit-ms = {limit}")?;
        writeln!(f, "upstream-timeout-ms = {}", ms(&self.upstream_timeout))?;
        writeln!(f, "attempts = {}", self.attempts)?;
        writeln!(f, "policy = {}", self.policy)?;
        writeln!(f, "running-limit = {}", self.running_limit)?;
        writeln!(f, "body-limit = {}", self.body_limit)?;
        writeln!(f, "drain-limit-ms = {}", ms(&self.drain_limit))?;
        writeln!(f, "log-level = {}", self.log_level)
    }
}
