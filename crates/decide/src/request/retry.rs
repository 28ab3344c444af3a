//! One VM's budget that keeps retries a small fraction of its requests.

use std::time::Duration;

/// The retries that each request adds to the budget.
const RETRY_RATIO: f64 = 0.1;
/// The largest number of retries that the budget saves up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// The retries that each second adds to the budget, so that a service with few requests can retry.
const RETRIES_PER_SECOND: f64 = 1.0;

/// A budget of retries, which grows with requests and with time.
#[derive(Debug)]
pub struct RetryBudget {
    /// The retries that are left.
    saved: f64,
    /// When the budget last grew with time.
    updated: Duration,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED_RETRIES, updated: Duration::ZERO }
    }
}

impl RetryBudget {
    /// Counts the first send of a request.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget; returns false if none is left.
    ///
    /// ```
    /// use bamboocourse_decide::RetryBudget;
    /// use std::time::Duration;
    /// assert!(RetryBudget::default().take(Duration::ZERO));
    /// ```
    pub fn take(&mut self, now: Duration) -> bool {
        let gained = now.saturating_sub(self.updated).as_secs_f64() * RETRIES_PER_SECOND;
        self.updated = now;
        self.saved = (self.saved + gained).min(MAX_SAVED_RETRIES);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
