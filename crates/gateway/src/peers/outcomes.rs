//! Outcomes of attempts for the schedulers that have chosen their engines.

use {
    super::{BATCH_TIME, Peers},
    crate::view::lock,
    marigoldroute_core::{
        id::HostId,
        wire::{Body, Outcome, Outcomes},
    },
    std::{collections::HashMap, future},
};

/// Limit of outcomes in a datagram.
const DATAGRAM_OUTCOMES: usize = 24;

impl Peers {
    /// Sends outcomes that were collected during [`BATCH_TIME`] to the schedulers.
    pub(super) async fn send_outcomes(&self) {
        let Some(mut reports) = self.dispatcher.take_reports() else {
            return future::pending().await;
        };
        while let Some((host, outcome)) = reports.recv().await {
            tokio::time::sleep(BATCH_TIME).await;
            let mut batches: HashMap<HostId, Vec<Outcome>> = HashMap::new();
            batches.entry(host).or_default().push(outcome);
            while let Ok((host, outcome)) = reports.try_recv() {
                batches.entry(host).or_default().push(outcome);
            }
            for (host, outcomes) in batches {
                let Some(endpoint) = lock(&self.endpoints).get(&host).cloned() else {
                    continue;
                };
                for items in outcomes.chunks(DATAGRAM_OUTCOMES) {
                    let items = items.to_vec();
                    self.send(&endpoint, 0, Body::Outcomes(Outcomes { items }))
                        .await;
                }
            }
        }
    }
}
