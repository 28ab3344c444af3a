//! When a process that leaves service ends its stages, and which requests it still passes on.
//!
//! The load pattern: in a rolling restart, requests reach VMs that leave, over new connections until the
//! balancer has noticed, and over open ones until the end; others stand in the queues of these VMs. What
//! is passed on and cannot end before the process does is cut. So a leaving VM takes a request only if it
//! will end: each has a latest time at which it is passed on, by how long it runs at the longest; later, it
//! is refused while another VM can still serve it. Until the balancer has removed the VM, it gets as many
//! requests as ever, and a risk of one in a hundred is taken rather than refusing most of them.

use std::time::Duration;

use crate::request::run_times::RunEstimate;

/// How long a leaving VM still accepts requests on open connections.
///
/// The balancer asks for readiness once a second and removes a VM after two failures.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period all requests are ended, so that the process exits
/// before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// The time from the end of a run at its endpoint until the caller has the rest of the response.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// The part of the time until the end that is left to a request of which it is not known how much
/// longer than likely it may run.
const UNKNOWN_RUN_RATIO: f64 = 0.75;

/// The times of a shutdown, counted from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From when idle connections are closed and none are accepted.
    pub close: Duration,
    /// When requests of which no response has begun get their final one.
    pub answer: Duration,
    /// When streams that still run are ended.
    pub end: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule for a grace period, after which the process is killed.
    ///
    /// ```
    /// use bamboocourse_decide::ShutdownSchedule;
    /// use std::time::Duration;
    /// let schedule = ShutdownSchedule::new(Duration::from_secs(8));
    /// assert!(schedule.close < schedule.end);
    /// assert!(schedule.end < Duration::from_secs(8));
    /// ```
    pub fn new(grace: Duration) -> Self {
        let end = grace.saturating_sub(GRACE_MARGIN);
        Self { close: DRAIN_TIME.min(end), answer: end, end }
    }

    /// Returns the schedule of a process that may have been told this much before it noticed.
    ///
    /// What it takes from then on ends that much earlier. Streams that run already go on: if it was told
    /// just now, they can still end.
    ///
    /// ```
    /// use bamboocourse_decide::ShutdownSchedule;
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let schedule = ShutdownSchedule::new(8 * second).noticed_after(second, Duration::ZERO);
    /// assert_eq!(schedule.answer + second, schedule.end);
    /// ```
    pub fn noticed_after(self, waited: Duration, late: Duration) -> Self {
        // A past pause of seconds says little of the next one.
        let answer = self.end.saturating_sub(waited.saturating_add(late.min(GRACE_MARGIN)));
        Self { close: self.close.min(answer), answer, ..self }
    }

    /// Returns the latest time at which a request is passed on that no endpoint has run, or may be sent
    /// again: its answer is expected to be whole by the end.
    ///
    /// `deadline` is when the request ends in any case, counted from the start of the shutdown.
    ///
    /// ```
    /// use bamboocourse_decide::{RunEstimate, ShutdownSchedule};
    /// use std::time::Duration;
    /// let schedule = ShutdownSchedule::new(Duration::from_secs(8));
    /// let second = Duration::from_secs(1);
    /// let (upper, longest) = (Some(2 * second), Some(3 * second));
    /// let estimate = RunEstimate { likely: second, upper, longest, runs: 20 };
    /// assert!(schedule.latest_send(20 * second, Some(estimate)) > 4 * second);
    /// assert!(schedule.latest_send(20 * second, None) < 2 * second);
    /// assert_eq!(schedule.latest_send(3 * second, None), 3 * second);
    /// ```
    pub fn latest_send(&self, deadline: Duration, estimate: Option<RunEstimate>) -> Duration {
        if deadline <= self.answer {
            return deadline;
        }
        let before_end =
            |run: Duration| self.answer.saturating_sub(run.saturating_add(DELIVERY_TIME));
        let unknown = self.answer.mul_f64(1.0 - UNKNOWN_RUN_RATIO);
        match estimate {
            Some(RunEstimate { upper: Some(upper), longest, .. }) => {
                let early = self.close.min(before_end(upper));
                longest.map_or(early, |longest| early.max(before_end(longest)))
            }
            Some(RunEstimate { likely, upper: None, .. }) => unknown.min(before_end(likely)),
            None => unknown,
        }
    }

    /// Returns the latest time at which a stream of which the caller has a part is passed on to another
    /// endpoint: it is more likely whole by the end than not, and else its caller can go on elsewhere.
    ///
    /// `streamed` is for how long it has run, and `deadline` when it ends in any case.
    pub fn latest_resume(
        &self,
        deadline: Duration,
        estimate: Option<RunEstimate>,
        streamed: Duration,
    ) -> Duration {
        if deadline <= self.answer {
            return deadline;
        }
        let left = estimate.map_or(Duration::ZERO, |estimate| estimate.likely);
        self.answer.saturating_sub(left.saturating_sub(streamed).saturating_add(DELIVERY_TIME))
    }
}
