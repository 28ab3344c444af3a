//! Limits the loads from the weight store in any time window.
//!
//! An order takes a while to reach its endpoint, and one without a reply may be carried out much
//! later. So a load counts in every window in which it may begin, from its order until one window
//! after the reply, or after the time until which an order without a reply may be carried out.

use std::time::Duration;

use crate::process::sliding_window::SlidingWindow;

/// Loads in each window that are not granted: a former leader's orders that take effect late, and
/// weights that an endpoint has dropped from its disk since its last report.
const RESERVED_LOADS: f64 = 1.0;
/// Loads that the bound of a window allows in addition to the rate.
const BURST_LOADS: f64 = 3.0;

/// What the reply to an order says about the order's load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The load has begun by now.
    Begun,
    /// The load has not begun and never will.
    NotBegun,
    /// The load may have begun, or may begin until this time.
    UnknownUntil(Duration),
}

/// Limits the loads from the weight store that begin in any window of time.
#[derive(Debug, Clone)]
pub struct LoadLimiter {
    /// The loads that began within the window.
    begun: SlidingWindow,
    /// The loads whose order has no reply yet.
    pending: u64,
    /// For each load whose order got no reply: until when it may begin.
    late: Vec<Duration>,
    span: Duration,
    /// The factor by which the rate is multiplied.
    rate_factor: f64,
    /// The greatest number of loads in a window.
    bound: f64,
}

impl LoadLimiter {
    /// Creates a limiter for windows of length `span`, which allows no loads until a rate is set.
    ///
    /// `rate_factor` multiplies the rate: with 1.1, a window allows a tenth more loads.
    ///
    /// ```
    /// use bamboocourse_decide::{LoadLimiter, LoadOutcome};
    /// use std::time::Duration;
    /// let mut limiter = LoadLimiter::new(Duration::from_secs(5), 1.0);
    /// limiter.set_rate(2.0);
    /// assert!(limiter.take(Duration::ZERO));
    /// limiter.settle(LoadOutcome::Begun, Duration::from_millis(30));
    /// ```
    pub fn new(span: Duration, rate_factor: f64) -> Self {
        let begun = SlidingWindow::new(span);
        Self { begun, pending: 0, late: Vec::new(), span, rate_factor, bound: 0.0 }
    }

    /// Sets the rate that the weight store allows, in loads per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.bound =
            rate * self.span.as_secs_f64() * self.rate_factor + BURST_LOADS - RESERVED_LOADS;
    }

    /// Counts a load whose order is sent now and returns true, or returns false if the bound does
    /// not allow the load.
    ///
    /// [`Self::settle`] must be called with the outcome.
    pub fn take(&mut self, now: Duration) -> bool {
        let allowed = self.has_room(now);
        self.pending += u64::from(allowed);
        allowed
    }

    /// Records the outcome of a load that [`Self::take`] has allowed.
    pub fn settle(&mut self, outcome: LoadOutcome, now: Duration) {
        self.pending = self.pending.saturating_sub(1);
        match outcome {
            LoadOutcome::Begun => self.begun.add(now, 1),
            LoadOutcome::NotBegun => {}
            LoadOutcome::UnknownUntil(until) => self.late.push(until),
        }
    }

    /// Counts as many loads as the bound allows, as if they had begun now: a new leader does not
    /// know how many loads the former leader began.
    pub fn fill(&mut self, now: Duration) {
        while self.has_room(now) {
            self.begun.add(now, 1);
        }
    }

    /// Returns whether the bound allows another load now.
    pub fn has_room(&mut self, now: Duration) -> bool {
        let span = self.span;
        self.late.retain(|until| now < *until + span);
        let counted = self.begun.total(now) + self.pending + self.late.len() as u64;
        counted as f64 + 1.0 <= self.bound
    }
}
