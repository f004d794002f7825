//! Recovery from panics: a defect in the handling of one message must not end the process or one of
//! its background tasks.

use {
    crate::metrics::Metrics,
    futures_util::FutureExt,
    std::{panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause before a task that panicked is restarted, so that one that always panics uses little CPU
/// time.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs a future; logs a panic and returns `None`. State that the future shares must be valid after
/// a panic at any point, as plain data behind locks is.
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

/// Runs the background tasks of the process.
#[derive(Clone)]
pub(crate) struct Supervisor {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

impl Supervisor {
    /// Spawns a background task; restarts it when it panics.
    pub(crate) fn start<F>(
        &self,
        task: &'static str,
        run: impl Fn(CancellationToken) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let Self {
            metrics,
            tasks,
            stop,
        } = self.clone();
        tasks.spawn(async move {
            while catch_panic(&metrics, task, run(stop.clone()))
                .await
                .is_none()
            {
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        });
    }
}
