//! Timeouts of what others send, which a stall of this process does not use up.

use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// How late a timer is on a process that gets no time to run.
const STALL_TIME: Duration = Duration::from_millis(50);
/// The time to read what arrived during a stall.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_millis(20);
/// How often the other tasks run before a timeout counts: the runtime reads what has arrived, the
/// connection's task decodes it, and the one that waits is woken.
const READ_TURNS: usize = 4;

/// Waits for a future until a time.
///
/// After a stall all timers are over, while what has arrived meanwhile is still unread; so the future
/// then gets a moment to read it. A stall that ends just after the time cannot be told from none, so the
/// other tasks always run some more times first.
pub(crate) async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::pin!(future);
    let mut result = tokio::time::timeout_at(until, future.as_mut()).await;
    if result.is_err() && Instant::now() > until + STALL_TIME {
        return tokio::time::timeout(CATCH_UP_TIME, future).await;
    }
    for _ in 0..READ_TURNS {
        if result.is_ok() {
            break;
        }
        tokio::task::yield_now().await;
        if let Some(output) = future.as_mut().now_or_never() {
            result = Ok(output);
        }
    }
    result
}
