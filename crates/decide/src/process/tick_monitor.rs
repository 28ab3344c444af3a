//! How late a process runs, from the times of a task that runs at regular intervals.
//!
//! The load pattern: a VM with a share of a core gets no processor for some tenths of a second, or has too
//! much to do at once. A signal that it handles then was sent some time ago, and whoever sent it counts
//! from then. The process knows only that it was sent after the last time at which the task ran.

use std::collections::VecDeque;
use std::time::Duration;

/// For how long a delay tells how late the process may be again.
const MEMORY: Duration = Duration::from_secs(10);
/// How much later than planned a tick comes on a VM that is not short of processor time.
const TIMER_SLACK: Duration = Duration::from_millis(50);
/// The time within which a tick and the handling of a signal follow each other after a pause.
const SAME_MOMENT: Duration = Duration::from_millis(50);

/// A pause between two ticks that was longer than the interval.
#[derive(Debug, Clone, Copy)]
struct Pause {
    from: Duration,
    until: Duration,
}

/// The ticks of a process. All times are read from one clock, which counts suspended time, too.
#[derive(Debug, Clone)]
pub struct TickMonitor {
    interval: Duration,
    last: Option<Duration>,
    /// The pauses that ended within [`MEMORY`], oldest first.
    pauses: VecDeque<Pause>,
}

impl TickMonitor {
    /// Creates a monitor of ticks that follow each other at this interval.
    ///
    /// ```
    /// use bamboocourse_decide::TickMonitor;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut ticks = TickMonitor::new(ms(250));
    /// ticks.tick(ms(1_000));
    /// assert_eq!(ticks.earliest(ms(1_200)), ms(1_200));
    /// assert_eq!(ticks.earliest(ms(1_900)), ms(1_000));
    /// ```
    pub fn new(interval: Duration) -> Self {
        Self { interval, last: None, pauses: VecDeque::new() }
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Duration) {
        let pause = self.last.map(|from| Pause { from, until: now });
        self.last = Some(now);
        self.pauses.retain(|pause| pause.until + MEMORY > now);
        self.pauses.extend(pause.filter(|pause| self.is_late(pause)));
    }

    /// Returns the earliest time at which a signal may have been sent that is handled now.
    pub fn earliest(&self, now: Duration) -> Duration {
        let present = self.last.map(|from| Pause { from, until: now });
        let present = present.filter(|pause| self.is_late(pause));
        // The tick may run before the signal is handled.
        let just_over = self.pauses.back().filter(|pause| pause.until + SAME_MOMENT >= now);
        present.or(just_over.copied()).map_or(now, |pause| pause.from)
    }

    /// Returns how late a tick came at most within [`MEMORY`], beyond its interval; a pause that is just over counts
    /// in [`earliest`](Self::earliest) already.
    pub fn worst(&self, now: Duration) -> Duration {
        let is_counted =
            |pause: &&Pause| pause.until + MEMORY > now && pause.until + SAME_MOMENT < now;
        let recent = self.pauses.iter().filter(is_counted);
        recent.map(|pause| self.delay(pause)).max().unwrap_or_default()
    }

    fn delay(&self, pause: &Pause) -> Duration {
        pause.until.saturating_sub(pause.from).saturating_sub(self.interval)
    }

    fn is_late(&self, pause: &Pause) -> bool {
        self.delay(pause) > TIMER_SLACK
    }
}
