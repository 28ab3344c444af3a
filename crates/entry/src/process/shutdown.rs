//! The stages of a process from its start to its end, and the parts of it that wait for them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{ShutdownSchedule, TickMonitor};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::clock::boot_now;

/// The stages of the process from its start to its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The process serves requests.
    Serving,
    /// The process serves requests and asks callers to close their connections.
    Leaving,
    /// The process closes idle connections and accepts no new ones.
    Closing,
    /// Requests of which no response has begun get their final one.
    Answering,
    /// The grace period is over: the streams that still run are aborted.
    Ending,
}

/// The present stage, and the times of the shutdown if the process is leaving.
#[derive(Debug, Clone, Copy)]
struct Stage {
    phase: Phase,
    /// When it began.
    since: Instant,
    times: Option<LeaveTimes>,
}

/// The times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaveTimes {
    /// When the process noticed that it is to leave.
    pub(crate) began: Instant,
    /// The stages, counted from then.
    pub(crate) schedule: ShutdownSchedule,
}

/// Starts the stages; the process has one of it.
#[derive(Debug)]
pub(crate) struct ShutdownSender(watch::Sender<Stage>);

/// Tells the present stage; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Shutdown(watch::Receiver<Stage>);

/// How many connections are open; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenCount(Arc<AtomicUsize>);

/// Counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard(OpenCount);

impl OpenCount {
    /// Counts one more as open.
    pub(crate) fn enter(&self) -> OpenGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenGuard(self.clone())
    }

    /// Returns how many are open.
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The ticks of the process, which tell how late it runs; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Ticks(Arc<Mutex<TickMonitor>>);

impl Ticks {
    /// Creates a record of ticks that follow each other at this interval.
    pub(crate) fn new(interval: Duration) -> Self {
        Self(Arc::new(Mutex::new(TickMonitor::new(interval))))
    }

    /// Records a tick.
    pub(crate) fn tick(&self) {
        self.lock().tick(boot_now());
    }

    /// Returns for how long a signal that is handled now may have waited.
    pub(crate) fn waited(&self) -> Duration {
        let now = boot_now();
        now.saturating_sub(self.lock().earliest(now))
    }

    /// Returns how late a tick came at most in the last seconds.
    pub(crate) fn worst(&self) -> Duration {
        self.lock().worst(boot_now())
    }

    fn lock(&self) -> MutexGuard<'_, TickMonitor> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the two ends, in [`Phase::Serving`].
pub(crate) fn channel() -> (ShutdownSender, Shutdown) {
    let (sender, receiver) =
        watch::channel(Stage { phase: Phase::Serving, since: Instant::now(), times: None });
    (ShutdownSender(sender), Shutdown(receiver))
}

impl ShutdownSender {
    /// Starts to leave.
    pub(crate) fn leave(&self, times: LeaveTimes) {
        let since = Instant::now();
        self.0.send_replace(Stage { phase: Phase::Leaving, since, times: Some(times) });
    }

    /// Starts a later stage, unless it has begun.
    pub(crate) fn enter(&self, phase: Phase) {
        self.0.send_if_modified(|stage| {
            let is_new = stage.phase != phase;
            if is_new {
                *stage = Stage { phase, since: Instant::now(), ..*stage };
            }
            is_new
        });
    }
}

impl Shutdown {
    /// Returns the present stage.
    pub(crate) fn phase(&self) -> Phase {
        self.0.borrow().phase
    }

    /// Returns for how long the present stage has lasted.
    pub(crate) fn phase_time(&self) -> Duration {
        self.0.borrow().since.elapsed()
    }

    /// Returns how long the process had been leaving at a time, in milliseconds; -1 if it had not been.
    pub(crate) fn leaving_ms(&self, at: Instant) -> i64 {
        let times = self.0.borrow().times.filter(|times| times.began <= at);
        times.map_or(-1, |times| (at - times.began).as_millis() as i64)
    }

    /// Returns the time from when the process began to leave until a time, in milliseconds, negative if that
    /// is earlier; `None` if the process is not leaving.
    pub(crate) fn since_leaving_ms(&self, at: Instant) -> Option<i64> {
        let began = self.0.borrow().times?.began;
        let ms = |time: Duration| time.as_millis() as i64;
        Some(ms(at.saturating_duration_since(began)) - ms(began.saturating_duration_since(at)))
    }

    /// Returns a time that the schedule gives for a request with this deadline; `None` if the process is
    /// not leaving. The schedule counts from when that began.
    pub(crate) fn latest(
        &self,
        deadline: Instant,
        by: impl FnOnce(&ShutdownSchedule, Duration) -> Duration,
    ) -> Option<Instant> {
        let LeaveTimes { began, schedule } = self.0.borrow().times?;
        Some(began + by(&schedule, deadline.saturating_duration_since(began)))
    }

    /// Returns the time until requests without a response are answered; zero if the process is not leaving.
    pub(crate) fn time_left(&self) -> Duration {
        let end = self.0.borrow().times.map(|times| times.began + times.schedule.answer);
        end.map_or(Duration::ZERO, |end| end.saturating_duration_since(Instant::now()))
    }

    /// Waits until a stage begins; returns at once if it has begun.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut receiver = self.0.clone();
        if receiver.wait_for(|stage| stage.phase >= phase).await.is_err() {
            // Without a sender no stage follows; the process is being dropped.
            std::future::pending::<()>().await;
        }
    }
}
