//! Counts running requests, so that a draining VM can wait until they have ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// A count of running requests.
#[derive(Debug, Default, Clone)]
pub(crate) struct RunningRequests {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    count: AtomicUsize,
    ended: Notify,
}

/// One running request; dropping the guard ends it.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    inner: Arc<Inner>,
}

impl RunningRequests {
    /// Counts a request until the guard is dropped.
    pub(crate) fn start(&self) -> RequestGuard {
        self.inner.count.fetch_add(1, Ordering::SeqCst);
        RequestGuard { inner: self.inner.clone() }
    }

    pub(crate) fn count(&self) -> usize {
        self.inner.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is running.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let ended = self.inner.ended.notified();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.inner.count.fetch_sub(1, Ordering::SeqCst);
        self.inner.ended.notify_waiters();
    }
}
