//! Cuts off callers that do not read their responses while the memory for responses is short, and
//! reports how short the host is.

use {
    crate::request::Context,
    marigoldroute_process::logs::BELIEFS,
    std::{sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Time between two looks at the memory.
const INTERVAL: Duration = Duration::from_millis(200);
/// The memory for responses divided by this is kept free of responses that are not read.
const FREE_DIVISOR: usize = 4;
/// Looks at the memory between two log lines.
const LOG_TURNS: u32 = 25;
/// Reasons for which connections are closed for other callers.
const REASONS: [&str; 2] = ["limit", "unread"];

/// Looks at the memory until `stop`.
pub(crate) async fn run(context: Arc<Context>, stop: CancellationToken) {
    let mut reported = closed(&context);
    for turn in 1_u32.. {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let free = context.settings.answer_memory / FREE_DIVISOR;
        while context.quota.left() < free && context.registry.cut_unread() {
            // The memory returns when the task of the connection runs.
            tokio::task::yield_now().await;
        }
        record(&context);
        if turn.is_multiple_of(LOG_TURNS) {
            reported = report(&context, reported);
        }
    }
}

/// Returns how many connections were closed for others, by reason.
fn closed(context: &Context) -> [u64; 2] {
    let closed = &context.metrics.closed_connections;
    REASONS.map(|reason| closed.with_label_values(&[reason]).get())
}

fn record(context: &Context) {
    let left = [
        ("answers", context.quota.left()),
        ("bodies", context.body_quota.left()),
        ("heads", context.head_quota.left()),
    ];
    for (kind, bytes) in left {
        let gauge = context.metrics.memory_left.with_label_values(&[kind]);
        gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

/// Logs what was closed since the last report, if anything was.
fn report(context: &Context, [limit, unread]: [u64; 2]) -> [u64; 2] {
    let now = closed(context);
    if now != [limit, unread] {
        let open = context.metrics.caller_connections.get();
        log::warn!(
            target: BELIEFS,
            open, limit = now[0] - limit, unread = now[1] - unread,
            answer_bytes_left = context.quota.left(), body_bytes_left = context.body_quota.left(),
            head_bytes_left = context.head_quota.left();
            "connections of callers closed for others"
        );
    }
    now
}
