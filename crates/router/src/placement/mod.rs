//! The duty that orders engines to load models, under a lease.
//!
//! Only the host that holds `lease/placement` polls the engines and sends orders. A host keeps the
//! lease while it can, because each change of the holder keeps engines that ignore fencing numbers
//! waiting.

mod lease;
mod order;
mod report;
mod tenure;

#[cfg(test)]
mod tests;

use {
    crate::{Clock, control::Control, logs::PLACEMENT, metrics::Metrics},
    derive_more::{Display, Error, From},
    lease::Hold,
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

const NAME: &str = "placement";
/// Models whose halted rollouts are read; more than ten times the target of 35 models.
const HALT_ROWS: usize = 500;

/// Why a round ended early.
#[derive(Debug, Display, Error, From)]
enum Broken {
    #[display("{_0}")]
    Platform(Fault),
    #[display("{_0}")]
    Row(fault::Fault),
    #[display("the lease has ended")]
    #[from(skip)]
    Ended,
}

/// Times of the duty; the same on every host of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// Time between two rounds.
    pub(crate) interval: Duration,
    /// Length of the lease.
    pub(crate) lease: Duration,
    /// Bound on the time for which a paused host can still send orders after its lease ended.
    pub(crate) pause_bound: Duration,
}

/// What the duty works with.
pub(crate) struct Duty {
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

impl Duty {
    /// Runs rounds until `draining`, then gives up the lease.
    pub(crate) async fn run(self, draining: CancellationToken) {
        let mut tick = tokio::time::interval(self.times.interval);
        let mut tenure = None;
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = draining.cancelled() => break,
            }
            if let Err(broken) = self.step(&mut tenure).await {
                log::warn!(target: PLACEMENT, broken:%; "placement round ended early");
            }
            self.metrics.placement_holder.set(tenure.is_some().into());
        }
        if tenure.is_some() {
            self.metrics.placement_holder.set(0);
            self.give_up().await;
        }
    }

    async fn step(&self, tenure: &mut Option<Tenure>) -> Result<(), Broken> {
        // A host that was cut off or paused looks at its configuration first.
        if self.control.permit().is_err() {
            return Ok(());
        }
        let is_needed = !self.control.snapshot().catalog.placement.is_empty();
        if !is_needed {
            if tenure.take().is_some() {
                self.give_up().await;
            }
            return Ok(());
        }
        if tenure.is_none() && !self.is_first() {
            return Ok(());
        }
        let known = tenure.as_ref().map(|tenure| &tenure.hold);
        let Some(hold) = self.acquire(known, self.times.lease).await? else {
            *tenure = None;
            return Ok(());
        };
        self.round(hold, tenure).await
    }

    /// Returns whether this host is the first for the duty; the lease decides when two hosts
    /// take themselves for it.
    fn is_first(&self) -> bool {
        let snapshot = self.control.snapshot();
        let holders = snapshot.holders(NAME, &self.region, 1);
        let best = holders.iter().map(|holder| holder.host).min();
        best.is_some_and(|host| *host == self.host)
    }

    async fn round(&self, hold: Hold, tenure: &mut Option<Tenure>) -> Result<(), Broken> {
        let fencing = hold.lease.fencing;
        let is_same = |tenure: &Tenure| tenure.hold.lease.fencing == fencing;
        let mut current = match tenure.take().filter(is_same) {
            Some(current) => Tenure { hold, ..current },
            None => Tenure::new(hold, self.halts().await?),
        };
        let result = self.place(&mut current).await;
        if !matches!(result, Err(Broken::Ended)) {
            *tenure = Some(current);
        }
        result
    }

    async fn place(&self, tenure: &mut Tenure) -> Result<(), Broken> {
        let snapshot = self.control.snapshot();
        self.poll(&snapshot, &mut tenure.reports).await;
        tenure.configure(&snapshot.catalog, &self.times);
        tenure.count();
        self.keep_halts(tenure).await?;
        let Some(planned) = tenure.plan(self.clock.now(), &snapshot.catalog) else {
            return Ok(());
        };
        let sent = self.send(&snapshot, tenure, &planned).await;
        if sent.is_err() {
            tenure.planner.cancel(&planned.order);
        }
        sent
    }

    /// Reads the halted rollouts that earlier holders of the lease recorded.
    async fn halts(&self) -> Result<Vec<Halt>, Broken> {
        let rows = self.platform.scan(HALT_PREFIX, "", HALT_ROWS).await?;
        let halts: Result<_, _> = rows.iter().map(Halt::decode).collect();
        Ok(halts?)
    }

    /// Records rollouts that were halted, and removes records that an operator has ended.
    async fn keep_halts(&self, tenure: &mut Tenure) -> Result<(), Broken> {
        let catalog = self.control.snapshot().catalog.clone();
        for halt in tenure.new_halts(catalog.version) {
            self.write(halt.record(&tenure.hold.row)).await?;
            log::warn!(
                target: PLACEMENT, model:% = halt.model, version = halt.to, remaining = halt.from;
                "rollout halted"
            );
            tenure.halts.insert(halt.model.clone(), halt);
        }
        for halt in tenure.ended_halts(&catalog) {
            self.write(halt.remove(&tenure.hold.row)).await?;
            tenure.halts.remove(&halt.model);
        }
        Ok(())
    }

    /// Commits a transaction that requires the lease.
    async fn write(&self, transaction: Transaction) -> Result<(), Broken> {
        match self.platform.commit(&transaction).await? {
            Verdict::Committed => Ok(()),
            Verdict::Conflict(_) => Err(Broken::Ended),
        }
    }
}
