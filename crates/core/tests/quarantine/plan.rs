//! What happens in a world, and what was seen.

use std::time::Duration;

/// What happens in a world.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    pub upstreams: usize,
    /// Requests of all hosts in a second.
    pub rate: f64,
    /// Share of requests with the deadly part.
    pub deadly: f64,
    /// Share of datagrams that get lost.
    pub loss: f64,
    /// When a quarter of the upstreams end at the same instant.
    pub mass_crashes: Vec<Duration>,
    /// Upstreams of which one ends every 300 ms.
    pub flapping: usize,
    /// When a host is replaced by a new process.
    pub restarts: Vec<Duration>,
    /// Times at which hosts are cut off.
    pub cuts: Vec<Cut>,
}

/// A time at which hosts are cut off from each other, while their callers and upstreams reach them.
#[derive(Clone, Debug)]
pub struct Cut {
    pub from: Duration,
    pub to: Duration,
    /// Hosts that are cut off, the first ones.
    pub hosts: usize,
    /// Whether they are cut off from the store, too.
    pub includes_store: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 6,
            upstreams: 20,
            rate: 60.0,
            deadly: 0.0,
            loss: 0.1,
            mass_crashes: Vec::new(),
            flapping: 0,
            restarts: Vec::new(),
            cuts: Vec::new(),
        }
    }
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When the deadly part ended upstreams.
    pub crashes: Vec<Duration>,
    /// When requests with the deadly part reached upstreams.
    pub deadly_arrivals: Vec<Duration>,
    pub served: usize,
    /// Healthy requests that the quarantine refused.
    pub refused: usize,
    pub datagrams: usize,
}

impl Outcome {
    /// Returns how many requests with the deadly part reached upstreams later than this after the
    /// fifth crash.
    pub fn late_arrivals(&self, grace: Duration) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        let arrivals = self.deadly_arrivals.iter();
        arrivals.filter(|at| **at > *fifth + grace).count()
    }
}
