//! Admission of requests: a bound on those in progress, and a queue that divides free places
//! between workspaces and sheds early.

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
/// Time between two looks at deadlines.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(50);

type Reply = oneshot::Sender<Result<Permit, Fault>>;

struct State {
    /// Requests in progress; at most `limit`.
    running: usize,
    limit: usize,
    queue: Queue<Reply>,
}

/// The gate; clones share it.
#[derive(Clone)]
pub(crate) struct Gate {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

/// A place among the requests in progress, given back when it is dropped.
pub(crate) struct Permit(Gate);

/// Who asks for a place.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    pub(crate) workspace: WorkspaceId,
    /// Weight of the workspace.
    pub(crate) weight: u32,
    /// Priority class.
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

    /// Waits for a place.
    ///
    /// # Errors
    /// [`Kind::Overloaded`], as soon as it is known that no place will come free in time.
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
                Ok((_, replaced)) => replaced.into_iter().for_each(refuse),
                Err(shed) => refuse(shed),
            }
        }
        let lost = |_| Err(Fault::new(Kind::Overloaded, "the request was shed"));
        permit.await.unwrap_or_else(lost)
    }

    /// Refuses requests whose deadline passes while they wait, until `stop`.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(EXPIRE_INTERVAL);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => return,
            }
            let now = self.clock.now();
            let expired = self.lock().queue.expire(now);
            expired.into_iter().for_each(refuse);
        }
    }

    /// Gives a place back, to the next request that waits if there is one.
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
            // A caller that has gone drops the place, which passes it on.
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

fn refuse(shed: Shed<Reply>) {
    // The caller may have gone.
    let _ = shed.item.send(Err(shed.fault));
}
