//! Panics of tasks: a defect that one message meets must not end the process, nor a duty of it.

use {
    crate::metrics::Metrics,
    futures_util::FutureExt,
    std::{panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause before a task that panicked starts again, so that a lasting defect takes little time.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs a future; returns `None` when it panicked. What it shares with others must stay valid at
/// every await and panic, as plain data behind locks does.
pub(crate) async fn catch_panic<T>(
    metrics: &Metrics,
    task: &str,
    future: impl Future<Output = T>,
) -> Option<T> {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => Some(output),
        Err(panic) => {
            let text = panic.downcast_ref::<&str>().map(ToString::to_string);
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            metrics.panics.with_label_values(&[task]).inc();
            log::error!(task, panic = text.unwrap_or_default(); "task panicked");
            None
        }
    }
}

/// Starts the duties of the process.
#[derive(Clone)]
pub(crate) struct Supervisor {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

impl Supervisor {
    /// Runs a duty until it ends, and starts it again when it panics.
    pub(crate) fn start<F>(
        &self,
        task: &'static str,
        duty: impl Fn(CancellationToken) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let Self {
            metrics,
            tasks,
            stop,
        } = self.clone();
        tasks.spawn(async move {
            while catch_panic(&metrics, task, duty(stop.clone()))
                .await
                .is_none()
            {
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        });
    }
}
