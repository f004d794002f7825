//! Prometheus metrics of a gateway process.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the buckets of latency histograms, in seconds; routes have objectives between
/// 0.1 and 1 s.
const LATENCY_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/// Metrics of a gateway process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests that ended, by outcome.
    pub(crate) requests: IntCounterVec,
    /// Attempts at upstreams that ended, by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Requests sent to upstreams that had stated a rate, by attempt: `first` or `later`.
    pub(crate) limited: IntCounterVec,
    /// Permits for requests to upstreams that have stated a rate, by result.
    pub(crate) permits: IntCounterVec,
    /// What upstreams said about later requests: `leaving`, `paused` or `resumed`.
    pub(crate) notices: IntCounterVec,
    /// Calls to the store, by result.
    pub(crate) store_calls: IntCounterVec,
    /// Reservations of tokens, by the host that made them: `own`, `other` or `none`.
    pub(crate) reservations: IntCounterVec,
    /// Connections to upstreams, by event.
    pub(crate) connections: IntCounterVec,
    /// Requests that got an error response before their body was read, by status.
    pub(crate) unread_bodies: IntCounterVec,
    /// Streams that ended before they were complete although their caller was there, by cause.
    pub(crate) cut_streams: IntCounterVec,
    /// Streams that stalled while another upstream could be asked to continue them, by result.
    pub(crate) stalled_streams: IntCounterVec,
    /// Connections of callers that this host closed, by reason.
    pub(crate) closed_connections: IntCounterVec,
    /// Open connections of callers.
    pub(crate) caller_connections: IntGauge,
    /// Memory that is left in each quota, in bytes.
    pub(crate) memory_left: IntGaugeVec,
    /// Attempts whose connection broke, by the state of the request.
    pub(crate) broken_attempts: IntCounterVec,
    /// Changes of what is known about parts of prompts that crash upstreams, by kind.
    pub(crate) prompt_parts: IntCounterVec,
    /// Requests that were not sent, or sent no more, because of a part of their prompt.
    pub(crate) quarantined: IntCounterVec,
    /// Panics that were caught, by task.
    pub(crate) panics: IntCounterVec,
    /// Time from the choice of an upstream to the first bytes of its answer.
    pub(crate) attempt: Histogram,
    /// Time from a request's arrival to the first byte of its answer.
    pub(crate) first_byte: Histogram,
    /// Configuration version in effect.
    pub(crate) version: IntGauge,
    /// Hosts in the fleet.
    pub(crate) hosts: IntGauge,
    /// Availability zones that operators have evacuated.
    pub(crate) evacuated_zones: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_SECONDS.into());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        Ok(Self {
            requests: counter(
                "marigoldroute_gateway_requests_total",
                "Requests ended, by outcome",
                "outcome",
            )?,
            attempts: counter(
                "marigoldroute_gateway_attempts_total",
                "Attempts at upstreams ended, by outcome",
                "outcome",
            )?,
            limited: counter(
                "marigoldroute_gateway_limited_attempts_total",
                "Requests sent to upstreams that had stated a rate, by attempt",
                "attempt",
            )?,
            permits: counter(
                "marigoldroute_gateway_permits_total",
                "Permits for requests to upstreams that have stated a rate, by result",
                "result",
            )?,
            notices: counter(
                "marigoldroute_gateway_notices_total",
                "Upstreams that began to leave, asked for a pause or resumed",
                "notice",
            )?,
            store_calls: counter(
                "marigoldroute_gateway_store_calls_total",
                "Calls to the store, by result",
                "result",
            )?,
            reservations: counter(
                "marigoldroute_gateway_reservations_total",
                "Reservations of tokens, by where they were made",
                "place",
            )?,
            connections: counter(
                "marigoldroute_gateway_connections_total",
                "Connections to upstreams, by event",
                "event",
            )?,
            unread_bodies: counter(
                "marigoldroute_gateway_unread_bodies_total",
                "Requests that got an error response before their body was read, by status",
                "status",
            )?,
            cut_streams: counter(
                "marigoldroute_gateway_cut_streams_total",
                "Streams that ended before they were complete, by cause",
                "cause",
            )?,
            stalled_streams: counter(
                "marigoldroute_gateway_stalled_streams_total",
                "Streams that stalled while another upstream could be asked, by result",
                "result",
            )?,
            closed_connections: counter(
                "marigoldroute_gateway_closed_connections_total",
                "Connections of callers that the host closed, by reason",
                "reason",
            )?,
            caller_connections: gauge(
                "marigoldroute_gateway_caller_connections",
                "Open connections of callers",
            )?,
            memory_left: memory_left(&registry)?,
            broken_attempts: counter(
                "marigoldroute_gateway_broken_attempts_total",
                "Attempts whose connection broke, by the state of the request",
                "state",
            )?,
            prompt_parts: counter(
                "marigoldroute_gateway_prompt_parts_total",
                "Changes of what is known about parts of prompts that crash upstreams",
                "change",
            )?,
            quarantined: counter(
                "marigoldroute_gateway_quarantined_requests_total",
                "Requests that were kept from upstreams because of a part of their prompt",
                "state",
            )?,
            panics: counter(
                "marigoldroute_gateway_panics_total",
                "Panics caught, by task",
                "task",
            )?,
            attempt: histogram(
                "marigoldroute_gateway_attempt_seconds",
                "Time from the choice of an upstream to the first bytes of its answer",
            )?,
            first_byte: histogram(
                "marigoldroute_gateway_first_byte_seconds",
                "Time from the arrival of a request to the first byte of its answer",
            )?,
            version: gauge(
                "marigoldroute_gateway_configuration_version",
                "Configuration version in effect",
            )?,
            hosts: gauge("marigoldroute_gateway_hosts", "Hosts in the fleet")?,
            evacuated_zones: gauge(
                "marigoldroute_gateway_evacuated_zones",
                "Availability zones that operators have evacuated",
            )?,
            registry,
        })
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::error!("metrics cannot be encoded: {error}");
        }
        text
    }
}

/// Registers the memory that is left, by what takes it.
fn memory_left(registry: &Registry) -> prometheus::Result<IntGaugeVec> {
    let options = Opts::new(
        "marigoldroute_gateway_memory_left_bytes",
        "Memory that is left, by what takes it",
    );
    let gauge = IntGaugeVec::new(options, &["kind"])?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
