//! Metrics of the router.
//!
//! No metric has a label for workspaces or budgets: 17,000 budgets would be 17,000 series per
//! metric and host.

#[cfg(test)]
mod tests;

use {
    anyhow::Context,
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
};

/// Bucket bounds in seconds around the first-token target of 0.78 s.
const FIRST_TOKEN_BUCKETS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.78, 2.0, 10.0];

/// Metrics of a process, with their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Finished requests by result: `ok` or an error kind.
    pub(crate) requests: IntCounterVec,
    /// Requests between admission and settlement.
    pub(crate) running: IntGauge,
    /// Tokens billed.
    pub(crate) charged: IntCounter,
    /// Tokens used by upstreams above the reservation, not billed.
    pub(crate) uncovered: IntCounter,
    /// Seconds from the request to the first token.
    pub(crate) first_token: Histogram,
    /// Attempts that an upstream refused.
    pub(crate) refusals: IntCounter,
    /// Streams that were to move from a withdrawn upstream, by result: `moved` or `kept`.
    pub(crate) moves: IntCounterVec,
    /// Cache events that engines reported.
    pub(crate) cache_events: IntCounter,
    /// Failed calls to the table service and the object store.
    pub(crate) platform_faults: IntCounter,
    /// Bytes of frames sent to other hosts.
    pub(crate) peer_sent: IntCounter,
    /// Bytes of frames received from other hosts.
    pub(crate) peer_received: IntCounter,
    /// Frames of the internal protocol that were refused.
    pub(crate) refused_frames: IntCounter,
    /// Hosts of the fleet that take work, as this host knows them.
    pub(crate) ready_hosts: IntGauge,
    /// Version of the configuration in effect.
    pub(crate) config_version: IntGauge,
    /// Changed TLS certificates that were put into effect.
    pub(crate) tls_reloads: IntCounter,
    /// Changed TLS certificates that could not be used, so that the previous one stayed.
    pub(crate) tls_refused: IntCounter,
    /// Orders to engines by result: `sent`, `refused` or `failed`.
    pub(crate) placement_orders: IntCounterVec,
    /// 1 while this process holds the placement lease.
    pub(crate) placement_holder: IntGauge,
    /// Operators' calls by result: `ok` or an error kind.
    pub(crate) admin_calls: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> anyhow::Result<IntCounter> {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let gauge = |name: &str, help: &str| -> anyhow::Result<IntGauge> {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let requests = Opts::new(
            "marigoldroute_requests_total",
            "Finished requests by result",
        );
        let requests = IntCounterVec::new(requests, &["result"])?;
        registry.register(Box::new(requests.clone()))?;
        let admin_calls = Opts::new(
            "marigoldroute_admin_calls_total",
            "Operators' calls by result",
        );
        let admin_calls = IntCounterVec::new(admin_calls, &["result"])?;
        registry.register(Box::new(admin_calls.clone()))?;
        let moves = Opts::new(
            "marigoldroute_moved_streams_total",
            "Streams that were to move from a withdrawn upstream, by result",
        );
        let moves = IntCounterVec::new(moves, &["result"])?;
        registry.register(Box::new(moves.clone()))?;
        for result in ["moved", "kept"] {
            moves.with_label_values(&[result]);
        }
        let orders = Opts::new(
            "marigoldroute_placement_orders_total",
            "Orders to engines to load a model, by result",
        );
        let placement_orders = IntCounterVec::new(orders, &["result"])?;
        registry.register(Box::new(placement_orders.clone()))?;
        let first_token = HistogramOpts::new(
            "marigoldroute_first_token_seconds",
            "Time from the request to the first token",
        );
        let first_token = Histogram::with_opts(first_token.buckets(FIRST_TOKEN_BUCKETS.into()))?;
        registry.register(Box::new(first_token.clone()))?;
        Ok(Self {
            requests,
            admin_calls,
            moves,
            placement_orders,
            placement_holder: gauge(
                "marigoldroute_placement_holder",
                "1 on the host that holds the placement lease, otherwise 0",
            )?,
            running: gauge("marigoldroute_running_requests", "Requests being served")?,
            charged: counter("marigoldroute_charged_tokens_total", "Tokens billed")?,
            uncovered: counter(
                "marigoldroute_uncovered_tokens_total",
                "Tokens that upstreams used above the reservation, not billed",
            )?,
            first_token,
            refusals: counter(
                "marigoldroute_upstream_refusals_total",
                "Attempts that an upstream refused",
            )?,
            cache_events: counter(
                "marigoldroute_cache_events_total",
                "Changes of prefix caches that engines reported to this host",
            )?,
            platform_faults: counter(
                "marigoldroute_platform_faults_total",
                "Failed calls to the table service and the object store",
            )?,
            peer_sent: counter(
                "marigoldroute_peer_sent_bytes_total",
                "Bytes of frames sent to other hosts",
            )?,
            peer_received: counter(
                "marigoldroute_peer_received_bytes_total",
                "Bytes of frames received from other hosts",
            )?,
            refused_frames: counter(
                "marigoldroute_refused_frames_total",
                "Frames of the internal protocol that were refused",
            )?,
            tls_reloads: counter(
                "marigoldroute_tls_reloads_total",
                "Changed TLS certificates that were put into effect",
            )?,
            tls_refused: counter(
                "marigoldroute_tls_refused_total",
                "Changed TLS certificates that were refused; the previous one stays in effect",
            )?,
            ready_hosts: gauge(
                "marigoldroute_ready_hosts",
                "Hosts of the fleet that take work, as this host knows them",
            )?,
            config_version: gauge(
                "marigoldroute_config_version",
                "Version of the configuration in effect",
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut text)
            .context("encode metrics")?;
        String::from_utf8(text).context("encode metrics")
    }
}
