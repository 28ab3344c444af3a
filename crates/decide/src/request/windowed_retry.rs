//! One VM's part of a service's retry budget, which all VMs together keep in every sliding window.

use std::time::Duration;

use crate::process::sliding_window::SlidingWindow;

/// The part of the allowed retries that VMs use; the rest covers requests that are counted late.
const USED_RATIO: f64 = 0.85;

/// How many retries all VMs together may send to a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// The number of retries allowed for each request in the window.
    pub ratio: f64,
    /// The number of retries allowed in each window on top of `ratio`.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// One VM's count of requests and retries to a service.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    limit: RetryLimit,
    /// When the slack becomes usable: a former process of this VM may have used it until then.
    slack_from: Duration,
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl WindowedRetryBudget {
    /// Creates an unused budget whose slack becomes usable at `slack_from`.
    ///
    /// ```
    /// use bamboocourse_decide::{RetryLimit, WindowedRetryBudget};
    /// use std::time::Duration;
    /// let limit = RetryLimit { ratio: 0.2, slack: 8.0, window: Duration::from_secs(10) };
    /// let mut budget = WindowedRetryBudget::new(limit, Duration::ZERO);
    /// assert!(budget.take(4, Duration::ZERO));
    /// assert!(!budget.take(4, Duration::ZERO));
    /// ```
    pub fn new(limit: RetryLimit, slack_from: Duration) -> Self {
        let (requests, retries) =
            (SlidingWindow::new(limit.window), SlidingWindow::new(limit.window));
        Self { limit, slack_from, requests, retries }
    }

    /// Counts the first send of a request.
    pub fn on_request(&mut self, now: Duration) {
        self.requests.add(now, 1);
    }

    /// Takes a retry from the budget; returns false if none is left.
    ///
    /// `vms` is the number of VMs that share the slack.
    pub fn take(&mut self, vms: usize, now: Duration) -> bool {
        let usable = now >= self.slack_from;
        let share = if usable { self.limit.slack / vms.max(1) as f64 } else { 0.0 };
        let allowed = self.limit.ratio * self.requests.total(now) as f64 + share;
        if (self.retries.total(now) + 1) as f64 > allowed * USED_RATIO {
            return false;
        }
        self.retries.add(now, 1);
        true
    }
}
