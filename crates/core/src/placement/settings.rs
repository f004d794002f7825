//! Settings of the planner.

use std::time::Duration;

/// Settings of a [`super::Planner`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of a replica's full rate that the planner counts on.
    pub utilisation: f64,
    /// Share by which the demand must fall below what the present replicas serve before one of
    /// them may be used for another model. Without it, replicas would be reloaded back and forth.
    pub hysteresis: f64,
    /// Shortest time between two reloads of an engine for changes of the demand.
    pub reload_interval: Duration,
    /// Greatest number of concurrent loads from the weight store.
    pub concurrent_loads: usize,
    /// Shortest time between two loads from the weight store.
    pub load_interval: Duration,
    /// Time after which an order whose effect is not observed is sent again.
    pub resend_interval: Duration,
    /// Length of the placement lease.
    pub lease_time: Duration,
    /// Bound on the time for which a paused host can still send orders after its lease ended.
    pub pause_bound: Duration,
    /// Shares of a model's replicas that have the new version after each step of a rollout.
    pub steps: Vec<f64>,
    /// Time for which each step is observed.
    pub observation_time: Duration,
    /// Errors per request with the new version above which a rollout halts.
    pub error_share: f64,
    /// Requests with the new version that a step needs before its errors can halt the rollout and
    /// before the next step.
    pub min_requests: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            utilisation: 0.7,
            hysteresis: 0.25,
            reload_interval: Duration::from_secs(600),
            concurrent_loads: 8,
            load_interval: Duration::from_secs(2),
            resend_interval: Duration::from_secs(30),
            lease_time: Duration::from_secs(15),
            pause_bound: Duration::from_secs(30),
            steps: vec![0.0, 0.1, 0.5, 1.0],
            observation_time: Duration::from_secs(300),
            error_share: 0.02,
            min_requests: 20,
        }
    }
}
