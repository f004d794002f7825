//! Delivers settlements to holders.
//!
//! A settlement is repeated until the holder's bill is in the store. If the holder is lost before
//! that, the settlement goes to another holder of the budget, which makes the bill.

use {
    crate::{
        control::Control,
        escrow::{Escrow, Settlement},
        logs::TOKENS,
        peer::Links,
    },
    marigoldroute_core::{
        id::{HostId, Region, Zone},
        wire::{self, Billing, Body, Settle},
    },
    std::{
        collections::{BTreeMap, HashSet},
        future::Future,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::mpsc, task::JoinSet},
    tokio_util::sync::CancellationToken,
};

/// Capacity of the queue of new settlements.
const QUEUE_ITEMS: usize = 1_024;
/// Largest number of settlements that are not durable yet. An outage of the store that exceeds it
/// drops the oldest settlements; the holders make their bills from the engines' usage records.
const ITEMS_LIMIT: usize = 65_536;
/// Largest number of settlements in one message.
const MESSAGE_ITEMS: usize = 512;
/// Consecutive messages without an answer after which a settlement goes to another holder.
const MISSED_LIMIT: u32 = 3;

/// Handle to the task; clones send to the same one.
#[derive(Clone, Debug)]
pub(crate) struct Outbox(mpsc::Sender<(Settlement, HostId)>);

impl Outbox {
    /// Queues a settlement for the holder on `host`.
    pub(crate) async fn push(&self, item: Settlement, host: HostId) {
        // The task ends only after the last request, so the send cannot fail.
        let _ = self.0.send((item, host)).await;
    }
}

/// Dependencies of the task.
pub(crate) struct Dependencies {
    pub(crate) own: HostId,
    pub(crate) region: Region,
    pub(crate) zone: Zone,
    pub(crate) holders_per_region: usize,
    pub(crate) escrow: Escrow,
    pub(crate) links: Arc<Links>,
    pub(crate) control: Control,
    /// Interval at which settlements that are not durable are sent again.
    pub(crate) interval: Duration,
}

/// Creates the task and its handle. After `stop` the task ends once every settlement is durable.
pub(crate) fn create(
    deps: Dependencies,
    stop: CancellationToken,
) -> (Outbox, impl Future<Output = ()> + Send + use<>) {
    let (sender, receiver) = mpsc::channel(QUEUE_ITEMS);
    let worker = Worker {
        deps,
        items: BTreeMap::new(),
        next: 0,
        calls: JoinSet::new(),
        busy: HashSet::new(),
    };
    (Outbox(sender), worker.run(receiver, stop))
}

struct Item {
    settlement: Settlement,
    host: HostId,
    /// Whether the settlement was sent to `host`.
    is_sent: bool,
    /// Consecutive messages that `host` has not answered or has refused.
    missed: u32,
}

/// Host of the holder, numbers of the settlements sent, and the state of their bills if it
/// answered.
type Answer = (HostId, Vec<u64>, Option<Vec<Billing>>);

struct Worker {
    deps: Dependencies,
    /// Settlements that are not durable, in order of arrival; at most [`ITEMS_LIMIT`].
    items: BTreeMap<u64, Item>,
    next: u64,
    calls: JoinSet<Answer>,
    /// Hosts with a call in progress.
    busy: HashSet<HostId>,
}

impl Worker {
    async fn run(
        mut self,
        mut arrivals: mpsc::Receiver<(Settlement, HostId)>,
        stop: CancellationToken,
    ) {
        let mut round = tokio::time::interval(self.deps.interval);
        let mut is_open = true;
        while is_open || !self.items.is_empty() {
            tokio::select! {
                arrival = arrivals.recv(), if is_open => match arrival {
                    Some((settlement, host)) => self.push(settlement, host),
                    None => is_open = false,
                },
                Some(answer) = self.calls.join_next() => if let Ok(answer) = answer {
                    self.apply(answer);
                },
                _ = round.tick() => self.resend(),
                () = stop.cancelled(), if is_open && arrivals.is_empty() => is_open = false,
            }
        }
    }

    fn push(&mut self, settlement: Settlement, host: HostId) {
        if self.items.len() >= ITEMS_LIMIT
            && let Some((_, item)) = self.items.pop_first()
        {
            log::error!(target: TOKENS, attempt:% = item.settlement.attempt; "settlement dropped");
        }
        let item = Item {
            settlement,
            host: host.clone(),
            is_sent: false,
            missed: 0,
        };
        self.items.insert(self.next, item);
        self.next += 1;
        self.send_new(host);
    }

    /// Sends the settlements that were not sent to a holder yet, unless a call to it is in
    /// progress. The holder then frees the rest of their reservations.
    fn send_new(&mut self, host: HostId) {
        if self.busy.contains(&host) {
            return;
        }
        let is_new = |item: &Item| !item.is_sent && item.host == host;
        let items = self.items.iter().filter(|(_, item)| is_new(item));
        let numbers: Vec<_> = items
            .map(|(number, _)| *number)
            .take(MESSAGE_ITEMS)
            .collect();
        if !numbers.is_empty() {
            self.call(host, numbers);
        }
    }

    /// Sends every settlement that is not durable again.
    fn resend(&mut self) {
        self.reassign();
        let mut batches: BTreeMap<HostId, Vec<u64>> = BTreeMap::new();
        for (number, item) in &self.items {
            let batch = batches.entry(item.host.clone()).or_default();
            if batch.len() < MESSAGE_ITEMS {
                batch.push(*number);
            }
        }
        for (host, numbers) in batches {
            if !self.busy.contains(&host) {
                self.call(host, numbers);
            }
        }
    }

    /// Assigns settlements whose holder does not answer to another holder.
    fn reassign(&mut self) {
        let snapshot = self.deps.control.snapshot();
        let count = snapshot.holders_per_region(self.deps.holders_per_region);
        let (own, zone) = (&self.deps.own, &self.deps.zone);
        for item in self.items.values_mut() {
            if item.missed < MISSED_LIMIT {
                continue;
            }
            let holders = snapshot.holders(&item.settlement.budget, &self.deps.region, count);
            let others = holders.iter().filter(|holder| *holder.host != item.host);
            let other = others.min_by_key(|holder| (!holder.is_near, holder.nearness(own, zone)));
            let host = other.map_or(own, |holder| holder.host);
            log::warn!(
                target: TOKENS,
                attempt:% = item.settlement.attempt, lost:% = item.host, holder:% = host;
                "settlement reassigned to another holder"
            );
            item.host = host.clone();
            item.is_sent = false;
            item.missed = 0;
        }
    }

    fn call(&mut self, host: HostId, numbers: Vec<u64>) {
        let mut items = Vec::with_capacity(numbers.len());
        for number in &numbers {
            if let Some(item) = self.items.get_mut(number) {
                item.is_sent = true;
                items.push(item.settlement.clone());
            }
        }
        self.busy.insert(host.clone());
        if host == self.deps.own {
            let escrow = self.deps.escrow.clone();
            self.calls
                .spawn(async move { (host, numbers, escrow.settle(items).await) });
            return;
        }
        let address = self.deps.control.snapshot().address(&host);
        let links = self.deps.links.clone();
        self.calls.spawn(async move {
            let Some(address) = address else {
                return (host, numbers, None);
            };
            let body = Body::Settle(Settle {
                items: items.iter().map(message).collect(),
            });
            let settled = match links.call(&host, address, body).await {
                Ok(Body::Settled(settled)) => Some(settled.items().collect()),
                _ => None,
            };
            (host, numbers, settled)
        });
    }

    fn apply(&mut self, (host, numbers, settled): Answer) {
        self.busy.remove(&host);
        let settled = settled.filter(|settled| settled.len() == numbers.len());
        for (index, number) in numbers.into_iter().enumerate() {
            let billing = settled
                .as_ref()
                .map_or(Billing::Refused, |settled| settled[index]);
            let Some(item) = self.items.get_mut(&number) else {
                continue;
            };
            match billing {
                Billing::Durable => drop(self.items.remove(&number)),
                Billing::Pending => item.missed = 0,
                Billing::Refused => item.missed += 1,
            }
        }
        self.send_new(host);
    }
}

fn message(item: &Settlement) -> wire::Settlement {
    wire::Settlement {
        attempt: item.attempt.to_string(),
        budget: item.budget.to_string(),
        workspace: item.usage.workspace.to_string(),
        model: item.usage.model.to_string(),
        upstream: item.usage.upstream.to_string(),
        tokens: item.usage.tokens,
    }
}
