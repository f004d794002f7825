//! Admission control: a limit on the requests in progress, and a queue that shares free permits
//! between workspaces by weight and sheds requests early.

use {
    crate::Clock,
    marigoldroute_core::{
        fault::{Fault, Kind},
        id::WorkspaceId,
        limit::{Entry, Queue, QueueSettings, Shed},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::oneshot,
    tokio_util::sync::CancellationToken,
};

/// Longest wait in the queue.
const QUEUE_TIME: Duration = Duration::from_secs(5);
/// Interval at which deadlines are checked.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(50);

type Reply = oneshot::Sender<Result<Permit, Fault>>;

struct State {
    /// Requests in progress; at most `limit`.
    running: usize,
    limit: usize,
    queue: Queue<Reply>,
}

/// Admission control of a host; clones share its state.
#[derive(Clone)]
pub(crate) struct Gate {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

/// Permission to be in progress; released when it is dropped.
pub(crate) struct Permit(Gate);

/// Parameters of a request that asks for a permit.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    pub(crate) workspace: WorkspaceId,
    /// Weight of the workspace in the queue; 0 counts as 1.
    pub(crate) weight: u32,
    /// Priority class; 0 is served first.
    pub(crate) class: u8,
    /// Upper bound on the tokens of the request.
    pub(crate) cost: u64,
}

impl Gate {
    pub(crate) fn new(clock: Clock, limit: usize) -> Self {
        let state = State {
            running: 0,
            limit,
            queue: Queue::new(QueueSettings::default()),
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// [`Kind::Overloaded`], as soon as it is known that no permit will be free in time.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Result<Permit, Fault> {
        let (reply, permit) = oneshot::channel();
        {
            let mut state = self.lock();
            if state.running < state.limit && state.queue.is_empty() {
                state.running += 1;
                return Ok(Permit(self.clone()));
            }
            let now = self.clock.now();
            let entry = Entry {
                workspace: request.workspace,
                weight: request.weight.max(1),
                class: request.class,
                cost: request.cost.max(1),
                deadline: now + QUEUE_TIME,
                item: reply,
            };
            match state.queue.push(now, entry) {
                Ok((_, replaced)) => replaced.into_iter().for_each(reject),
                Err(shed) => reject(shed),
            }
        }
        let lost = |_| Err(Fault::new(Kind::Overloaded, "the request was shed"));
        permit.await.unwrap_or_else(lost)
    }

    /// Rejects waiting requests whose deadline has passed, until `stop`.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(EXPIRE_INTERVAL);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => return,
            }
            let now = self.clock.now();
            let expired = self.lock().queue.expire(now);
            expired.into_iter().for_each(reject);
        }
    }

    /// Passes a permit to the next waiting request, or releases it if none waits.
    fn release(&self) {
        let now = self.clock.now();
        let next = {
            let mut state = self.lock();
            let next = state.queue.pop(now);
            if next.is_none() {
                state.running -= 1;
            }
            next
        };
        if let Some((_, reply)) = next {
            // If the receiver was dropped, so is the permit, which goes to the next request.
            let _ = reply.send(Ok(Permit(self.clone())));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

fn reject(shed: Shed<Reply>) {
    // The receiver may have been dropped.
    let _ = shed.item.send(Err(shed.fault));
}
