//! The background task that orders engines to load models, under a lease.
//!
//! Only the host that holds `lease/placement` polls the engines and sends orders. A host keeps the
//! lease as long as it can: after each change of the lease holder, engines that ignore fencing
//! numbers get no orders for a while.

mod lease;
mod order;
mod report;
mod tenure;

#[cfg(test)]
mod tests;

use {
    crate::{Clock, control::Control, logs::PLACEMENT, metrics::Metrics},
    derive_more::{Display, Error, From},
    lease::HeldLease,
    marigoldroute_core::{
        fault,
        id::{HolderId, HostId, Region},
        placement::{HALT_PREFIX, Halt},
        table::{Transaction, Verdict},
    },
    marigoldroute_store::{Client, Fault},
    std::{sync::Arc, time::Duration},
    tenure::Tenure,
    tokio_util::sync::CancellationToken,
};

/// Name of the lease and key by which the preferred host is chosen.
const NAME: &str = "placement";
/// Largest number of halted rollouts that are read; more than ten times the target of 35 models.
const HALT_LIMIT_ROWS: usize = 500;

/// Why a round ended before its last step.
#[derive(Debug, Display, Error, From)]
enum RoundError {
    #[display("{_0}")]
    Platform(Fault),
    #[display("{_0}")]
    Row(fault::Fault),
    #[display("the lease has ended")]
    #[from(skip)]
    Ended,
}

/// Times of the task; must be the same on every host of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// Interval between two rounds.
    pub(crate) interval: Duration,
    /// Length of the lease.
    pub(crate) lease: Duration,
    /// Upper bound on the time after the end of its lease for which a paused host can still send
    /// orders.
    pub(crate) pause_bound: Duration,
}

/// The background task and its dependencies.
pub(crate) struct Worker {
    pub(crate) process: HolderId,
    pub(crate) host: HostId,
    pub(crate) region: Region,
    pub(crate) clock: Clock,
    pub(crate) platform: Client,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) http: reqwest::Client,
    pub(crate) times: Times,
}

impl Worker {
    /// Runs rounds until `draining`, then releases the lease.
    pub(crate) async fn run(self, draining: CancellationToken) {
        let mut tick = tokio::time::interval(self.times.interval);
        let mut tenure = None;
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = draining.cancelled() => break,
            }
            if let Err(error) = self.step(&mut tenure).await {
                log::warn!(target: PLACEMENT, broken:% = error; "placement round ended early");
            }
            self.metrics.placement_holder.set(tenure.is_some().into());
        }
        if tenure.is_some() {
            self.metrics.placement_holder.set(0);
            self.release_lease().await;
        }
    }

    async fn step(&self, tenure: &mut Option<Tenure>) -> Result<(), RoundError> {
        // A host that was partitioned or paused must first check that its configuration is current.
        if self.control.check_ready().is_err() {
            return Ok(());
        }
        let is_needed = !self.control.snapshot().catalog.placement.is_empty();
        if !is_needed {
            if tenure.take().is_some() {
                self.release_lease().await;
            }
            return Ok(());
        }
        if tenure.is_none() && !self.is_preferred_host() {
            return Ok(());
        }
        let known = tenure.as_ref().map(|tenure| &tenure.held);
        let Some(held) = self.acquire(known, self.times.lease).await? else {
            *tenure = None;
            return Ok(());
        };
        self.round(held, tenure).await
    }

    /// Returns whether this host is the preferred one for the task. Hosts with different views of
    /// the fleet may disagree; the lease then decides.
    fn is_preferred_host(&self) -> bool {
        let snapshot = self.control.snapshot();
        let holders = snapshot.holders(NAME, &self.region, 1);
        let best = holders.iter().map(|holder| holder.host).min();
        best.is_some_and(|host| *host == self.host)
    }

    async fn round(&self, held: HeldLease, tenure: &mut Option<Tenure>) -> Result<(), RoundError> {
        let fencing = held.lease.fencing;
        let is_same = |tenure: &Tenure| tenure.held.lease.fencing == fencing;
        let mut current = match tenure.take().filter(is_same) {
            Some(current) => Tenure { held, ..current },
            None => Tenure::new(held, self.halts().await?),
        };
        let result = self.send_next_order(&mut current).await;
        if !matches!(result, Err(RoundError::Ended)) {
            *tenure = Some(current);
        }
        result
    }

    async fn send_next_order(&self, tenure: &mut Tenure) -> Result<(), RoundError> {
        let snapshot = self.control.snapshot();
        self.poll(&snapshot, &mut tenure.reports).await;
        tenure.apply_settings(&snapshot.catalog, &self.times);
        tenure.record_responses();
        self.sync_halts(tenure).await?;
        let Some(planned) = tenure.plan(self.clock.now(), &snapshot.catalog) else {
            return Ok(());
        };
        let sent = self.send(&snapshot, tenure, &planned).await;
        if sent.is_err() {
            tenure.planner.cancel(&planned.order);
        }
        sent
    }

    /// Reads the halted rollouts that earlier lease holders have recorded.
    async fn halts(&self) -> Result<Vec<Halt>, RoundError> {
        let rows = self.platform.scan(HALT_PREFIX, "", HALT_LIMIT_ROWS).await?;
        let halts: Result<_, _> = rows.iter().map(Halt::decode).collect();
        Ok(halts?)
    }

    /// Records newly halted rollouts, and removes the records of halts that an operator has ended.
    async fn sync_halts(&self, tenure: &mut Tenure) -> Result<(), RoundError> {
        let catalog = self.control.snapshot().catalog.clone();
        for halt in tenure.new_halts(catalog.version) {
            self.write(halt.record(&tenure.held.row)).await?;
            log::warn!(
                target: PLACEMENT, model:% = halt.model, version = halt.to, remaining = halt.from;
                "rollout halted"
            );
            tenure.halts.insert(halt.model.clone(), halt);
        }
        for halt in tenure.ended_halts(&catalog) {
            self.write(halt.remove(&tenure.held.row)).await?;
            tenure.halts.remove(&halt.model);
        }
        Ok(())
    }

    /// Commits a transaction that is conditional on the lease row.
    ///
    /// # Errors
    /// [`RoundError::Ended`] if the row has changed.
    async fn write(&self, transaction: Transaction) -> Result<(), RoundError> {
        match self.platform.commit(&transaction).await? {
            Verdict::Committed => Ok(()),
            Verdict::Conflict(_) => Err(RoundError::Ended),
        }
    }
}
