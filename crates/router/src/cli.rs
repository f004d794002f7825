//! Command line and environment variables of the router.

use {
    crate::settings::{Mistakes, Settings},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    marigoldroute_core::{budget::Preset, route::PolicyName},
    std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
};

/// Returns the command line.
pub fn command() -> Command {
    Command::new("marigoldroute")
        .about("Routes requests to upstreams within prepaid budgets")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 planned stop, 1 failure, 2 mistakes in the settings")
        .args(names())
        .args(addresses())
        .args(tls())
        .args(placement())
        .args(limits())
        .args(actions())
}

/// Builds the settings and checks them as a whole.
///
/// # Errors
/// [`Mistakes`] with every mistake found.
pub fn settings(matches: &ArgMatches) -> Result<Settings, Mistakes> {
    let base = Settings::default();
    let text = |id: &str, default: &Arc<str>| match matches.get_one::<String>(id) {
        Some(value) => value.as_str().into(),
        None => default.clone(),
    };
    let address = |id: &str, default: SocketAddr| matches.get_one(id).copied().unwrap_or(default);
    let ms = |id: &str, default: Duration| match matches.get_one::<u64>(id) {
        Some(value) => Duration::from_millis(*value),
        None => default,
    };
    let size = |id: &str, default: usize| matches.get_one(id).copied().unwrap_or(default);
    let path = |id: &str| {
        matches
            .get_one::<PathBuf>(id)
            .map(|path| path.as_path().into())
    };
    let keys = matches
        .get_many::<String>("fleet-key")
        .into_iter()
        .flatten();
    let settings = Settings {
        host: text("host", &base.host),
        region: text("region", &base.region),
        zone: text("zone", &base.zone),
        weight: matches.get_one("weight").copied().unwrap_or(base.weight),
        listen: address("listen", base.listen),
        listen_peers: address("listen-peers", base.listen_peers),
        tls_certificate: path("tls-certificate"),
        tls_key: path("tls-key"),
        tls_interval: ms("tls-interval-ms", base.tls_interval),
        advertise_peers: matches.get_one("advertise-peers").copied(),
        platform: text("platform", &base.platform),
        platform_timeout: ms("platform-timeout-ms", base.platform_timeout),
        fleet_keys: keys.map(|key| key.as_str().into()).collect(),
        admin_key_hash: matches
            .get_one::<String>("admin-key-hash")
            .map(|hash| hash.as_str().into()),
        flush_interval: ms("flush-interval-ms", base.flush_interval),
        ledger_interval: ms("ledger-interval-ms", base.ledger_interval),
        placement_interval: ms("placement-interval-ms", base.placement_interval),
        placement_lease: ms("placement-lease-ms", base.placement_lease),
        pause_bound: ms("pause-bound-ms", base.pause_bound),
        renew_interval: ms("renew-interval-ms", base.renew_interval),
        holders_per_region: size("holders-per-region", base.holders_per_region),
        peer_timeout: ms("peer-timeout-ms", base.peer_timeout),
        preset: matches.get_one("preset").copied().unwrap_or(base.preset),
        reserve_timeout: ms("reserve-timeout-ms", base.reserve_timeout),
        reservation_limit: ms("reservation-limit-ms", base.reservation_limit),
        upstream_timeout: ms("upstream-timeout-ms", base.upstream_timeout),
        attempts: matches
            .get_one("attempts")
            .copied()
            .unwrap_or(base.attempts),
        policy: matches.get_one("policy").copied().unwrap_or(base.policy),
        running_limit: size("running-limit", base.running_limit),
        body_limit: size("body-limit", base.body_limit),
        drain_limit: ms("drain-limit-ms", base.drain_limit),
        log_level: matches
            .get_one("log-level")
            .copied()
            .unwrap_or(base.log_level),
        ..base
    };
    settings.check().map(|()| settings)
}

fn option(name: &'static str, env: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .value_name(value)
        .help(help)
}

fn names() -> [Arg; 4] {
    [
        option(
            "host",
            "MARIGOLDROUTE_HOST",
            "NAME",
            "Name of this host, unique in the fleet",
        ),
        option(
            "region",
            "MARIGOLDROUTE_REGION",
            "NAME",
            "Region of this host",
        ),
        option(
            "zone",
            "MARIGOLDROUTE_ZONE",
            "NAME",
            "Availability zone of this host",
        ),
        option(
            "weight",
            "MARIGOLDROUTE_WEIGHT",
            "N",
            "Size of this host relative to others",
        )
        .value_parser(value_parser!(u32)),
    ]
}

fn addresses() -> [Arg; 6] {
    [
        option(
            "listen",
            "MARIGOLDROUTE_LISTEN",
            "ADDRESS",
            "Address for callers and operators",
        )
        .value_parser(value_parser!(SocketAddr)),
        option(
            "listen-peers",
            "MARIGOLDROUTE_LISTEN_PEERS",
            "ADDRESS",
            "Address for other hosts",
        )
        .value_parser(value_parser!(SocketAddr)),
        option(
            "advertise-peers",
            "MARIGOLDROUTE_ADVERTISE_PEERS",
            "ADDRESS",
            "Address that other hosts are told to use; the bound one when unset",
        )
        .value_parser(value_parser!(SocketAddr)),
        option(
            "platform",
            "MARIGOLDROUTE_PLATFORM",
            "URL",
            "Table service and object store",
        ),
        option(
            "fleet-key",
            "MARIGOLDROUTE_FLEET_KEYS",
            "KEY",
            "Key of the internal protocol; the first signs, all are accepted",
        )
        .action(ArgAction::Append)
        .value_delimiter(',')
        .hide_env_values(true),
        option(
            "admin-key-hash",
            "MARIGOLDROUTE_ADMIN_KEY_HASH",
            "HASH",
            "SHA-256 hash of the first operator's key",
        ),
    ]
}

fn tls() -> [Arg; 3] {
    let file =
        |name, env, help| option(name, env, "FILE", help).value_parser(value_parser!(PathBuf));
    [
        file(
            "tls-certificate",
            "MARIGOLDROUTE_TLS_CERTIFICATE",
            "Certificate chain for callers and operators, in PEM",
        ),
        file(
            "tls-key",
            "MARIGOLDROUTE_TLS_KEY",
            "Key of the certificate, in PEM",
        ),
        option(
            "tls-interval-ms",
            "MARIGOLDROUTE_TLS_INTERVAL_MS",
            "MS",
            "Time between two looks at the TLS files",
        )
        .value_parser(value_parser!(u64)),
    ]
}

fn placement() -> [Arg; 3] {
    let ms = |name, env, help| option(name, env, "MS", help).value_parser(value_parser!(u64));
    [
        ms(
            "placement-interval-ms",
            "MARIGOLDROUTE_PLACEMENT_INTERVAL_MS",
            "Time between two rounds of the placement of models",
        ),
        ms(
            "placement-lease-ms",
            "MARIGOLDROUTE_PLACEMENT_LEASE_MS",
            "Length of the placement lease, the same on every host",
        ),
        ms(
            "pause-bound-ms",
            "MARIGOLDROUTE_PAUSE_BOUND_MS",
            "Longest pause of a process that is assumed, the same on every host",
        ),
    ]
}

fn limits() -> [Arg; 15] {
    let ms = |name, env, help| option(name, env, "MS", help).value_parser(value_parser!(u64));
    let count = |name, env, help| option(name, env, "N", help).value_parser(value_parser!(usize));
    [
        ms(
            "platform-timeout-ms",
            "MARIGOLDROUTE_PLATFORM_TIMEOUT_MS",
            "Bound on a call to the platform",
        ),
        ms(
            "flush-interval-ms",
            "MARIGOLDROUTE_FLUSH_INTERVAL_MS",
            "Time between two journal rows",
        ),
        ms(
            "reservation-limit-ms",
            "MARIGOLDROUTE_RESERVATION_LIMIT_MS",
            "Age at which the upstreams are asked for the outcome of a reservation",
        ),
        ms(
            "ledger-interval-ms",
            "MARIGOLDROUTE_LEDGER_INTERVAL_MS",
            "Time between two rounds of the ledger",
        ),
        ms(
            "renew-interval-ms",
            "MARIGOLDROUTE_RENEW_INTERVAL_MS",
            "Time between two signs of life in the list of hosts",
        ),
        count(
            "holders-per-region",
            "MARIGOLDROUTE_HOLDERS_PER_REGION",
            "Hosts per region that hold a budget",
        ),
        ms(
            "peer-timeout-ms",
            "MARIGOLDROUTE_PEER_TIMEOUT_MS",
            "Bound on a call to another host",
        ),
        option(
            "preset",
            "MARIGOLDROUTE_PRESET",
            "NAME",
            "What the sizes of grants favour: balanced, few-refusals or few-stranded",
        )
        .value_parser(|name: &str| Preset::parse(name).ok_or("unknown preset")),
        ms(
            "reserve-timeout-ms",
            "MARIGOLDROUTE_RESERVE_TIMEOUT_MS",
            "Bound on the wait for a reservation",
        ),
        ms(
            "upstream-timeout-ms",
            "MARIGOLDROUTE_UPSTREAM_TIMEOUT_MS",
            "Bound on the wait for an upstream's next bytes",
        ),
        option(
            "attempts",
            "MARIGOLDROUTE_ATTEMPTS",
            "N",
            "Upstreams tried for a request",
        )
        .value_parser(value_parser!(u32)),
        option(
            "policy",
            "MARIGOLDROUTE_POLICY",
            "NAME",
            "Routing policy: adaptive, round-robin, least-in-flight or two-choices",
        )
        .value_parser(|text: &str| text.parse::<PolicyName>()),
        count(
            "running-limit",
            "MARIGOLDROUTE_RUNNING_LIMIT",
            "Requests in progress at a time; more wait in a queue",
        ),
        count(
            "body-limit",
            "MARIGOLDROUTE_BODY_LIMIT",
            "Largest request body in bytes",
        ),
        ms(
            "drain-limit-ms",
            "MARIGOLDROUTE_DRAIN_LIMIT_MS",
            "Bound on the wait at a planned stop",
        ),
    ]
}

fn actions() -> [Arg; 3] {
    [
        option(
            "log-level",
            "MARIGOLDROUTE_LOG_LEVEL",
            "LEVEL",
            "Least severe level that is logged",
        )
        .value_parser(value_parser!(log::LevelFilter)),
        Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help("Check the settings, report every mistake and exit"),
        Arg::new("print-settings")
            .long("print-settings")
            .action(ArgAction::SetTrue)
            .help("Print the settings in effect and exit"),
    ]
}
