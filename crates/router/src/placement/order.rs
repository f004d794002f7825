//! Sends orders to engines.

use {
    super::{
        RoundError, Worker,
        tenure::{Planned, Tenure},
    },
    crate::{control::Snapshot, logs::PLACEMENT},
    derive_more::Display,
    marigoldroute_core::placement::Order,
    reqwest::StatusCode,
    serde::Serialize,
    std::time::Duration,
};

/// Timeout of the answer to an order. The planner relies on the engines' reports anyway, and
/// repeats an order that had no effect.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of an order.
#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    version: u64,
    fencing: u64,
}

/// Result of an order; the `Display` text is the metric label and the log value.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
enum Answer {
    /// The engine acts on the order.
    Sent,
    /// The engine has acted on an order with a greater fencing number.
    Refused,
    /// The engine gave no answer, or an unexpected one.
    Failed,
}

impl Worker {
    /// Sends an order after a check, directly before, that the lease is still held.
    ///
    /// # Errors
    /// [`RoundError::Ended`] if it is not.
    pub(super) async fn send(
        &self,
        snapshot: &Snapshot,
        tenure: &Tenure,
        planned: &Planned,
    ) -> Result<(), RoundError> {
        let order = &planned.order;
        let Some(upstream) = snapshot.catalog.upstreams.get(&order.engine) else {
            return Ok(());
        };
        let left = self.confirm(&tenure.held).await?;
        let lease = &tenure.held.lease;
        if !lease.permits(&tenure.settings, self.clock.now(), &planned.engine) {
            return Err(RoundError::Ended);
        }
        let answer = self.call(&upstream.url, order, left).await;
        let result = answer.to_string();
        self.metrics
            .placement_orders
            .with_label_values(&[&result])
            .inc();
        log::info!(
            target: PLACEMENT, engine:% = order.engine, model:% = order.load.model,
            version = order.load.version, considered = planned.considered,
            reason = order.reason, fencing = order.fencing, result:%;
            "order"
        );
        // The order counts as sent whatever the result, so that an engine that refuses or fails
        // does not block the others. The next round checks whether another process holds the lease.
        Ok(())
    }

    async fn call(&self, url: &str, order: &Order, left: Duration) -> Answer {
        let body = Body {
            model: &order.load.model,
            version: order.load.version,
            fencing: order.fencing,
        };
        let call = self.http.post(format!("{url}/v1/models/load")).json(&body);
        let response = call.timeout(ORDER_TIMEOUT.min(left)).send().await;
        match response.map(|response| response.status()) {
            Ok(status) if status.is_success() => Answer::Sent,
            Ok(StatusCode::CONFLICT) => Answer::Refused,
            _ => Answer::Failed,
        }
    }
}
