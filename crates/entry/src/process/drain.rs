//! The way out of a VM, in one place: requests drain, connections close, the process ends.
//!
//! 1. [`Drain::begin`]: the VM is not ready any more. Requests are passed on only if they are expected to
//!    end in time, and responses ask callers to close their connections.
//! 2. [`Phase::Closing`]: no connections are accepted, and idle ones are closed.
//! 3. [`close`]: a connection is closed in two steps, so that its caller receives all of its last response.
//!    The VM ends its own side once everything has been written, and reads until the caller ends the
//!    other. The connection counts as open until then. One that has been idle is closed at once, so that a
//!    request on its way counts as unread.
//! 4. [`Phase::Answering`], then [`Phase::Ending`]: shortly before the grace period ends, requests without a
//!    response get their final one, and streams that still run break off.
//! 5. [`Drain::run`] returns when no request and no connection is open, and the process may end.
//!
//! The signal may have been sent some time before it was noticed. What the VM takes from then on, and its
//! final responses, allow for that.

use std::time::Duration;

use bamboocourse_decide::ShutdownSchedule;
use log::{info, warn};
use smol_str::SmolStr;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::process::open_requests::OpenRequests;
use crate::process::shutdown::{LeaveTimes, OpenCount, Phase, ShutdownSender, Ticks};

/// The time for the final responses of the requests that are still open when the grace period ends.
pub(crate) const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// How often a leaving process checks whether requests are still running.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often the process checks whether the final responses have been given.
const FINAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a caller may take to close a connection whose last response has been handed to the kernel;
/// several round trips.
pub(crate) const LINGER_TIME: Duration = Duration::from_secs(1);
/// How long the kernel goes on trying to deliver the rest of a response to a caller that pauses, also
/// after the process has ended.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// How much of what has arrived on an idle connection is looked at, in bytes.
const PEEK_BYTES: usize = 64;
/// The size of the buffer for bytes that are discarded, in bytes.
const DISCARD_BYTES: usize = 4 << 10;

/// Takes a VM out of service.
#[derive(Debug)]
pub(crate) struct Drain {
    pub(crate) vm: SmolStr,
    pub(crate) shutdown: ShutdownSender,
    /// The requests whose response is not complete yet.
    pub(crate) requests: OpenRequests,
    /// The callers' connections that have carried a request.
    pub(crate) connections: OpenCount,
    /// Those of them of which all responses have been handed to the kernel.
    pub(crate) lingering: OpenCount,
    /// The ticks of the upkeep.
    pub(crate) ticks: Ticks,
}

impl Drain {
    /// Starts to leave; returns the times of the shutdown.
    pub(crate) fn begin(&self, grace: Duration) -> LeaveTimes {
        let (waited, late) = (self.ticks.waited(), self.ticks.worst());
        let schedule = ShutdownSchedule::new(grace).noticed_after(waited, late);
        let times = LeaveTimes { began: Instant::now(), schedule };
        info!(vm = self.vm.as_str(), requests = self.requests.len(),
            connections = self.connections.get(), waited_ms = waited.as_millis() as u64,
            late_ms = late.as_millis() as u64; "the VM is leaving");
        self.requests.log("start");
        self.shutdown.leave(times);
        times
    }

    /// Waits until no request and no connection is open, at most until the end of the schedule and a
    /// little longer.
    pub(crate) async fn run(&self, times: LeaveTimes) {
        let LeaveTimes { began, schedule } = times;
        let (answer, end) = (began + schedule.answer, began + schedule.end);
        tokio::time::sleep_until(began + schedule.close).await;
        self.shutdown.enter(Phase::Closing);
        // All connections close now; only those with a request or a response are waited for.
        tokio::time::sleep(LEAVE_CHECK_INTERVAL).await;
        while Instant::now() < end && self.is_busy() {
            let next = if Instant::now() < answer { answer } else { end };
            tokio::time::sleep_until(next.min(Instant::now() + LEAVE_CHECK_INTERVAL)).await;
            if Instant::now() >= answer {
                self.shutdown.enter(Phase::Answering);
            }
        }
        if self.is_busy() {
            warn!(vm = self.vm.as_str(), requests = self.requests.len(),
                connections = self.connections.get();
                "the grace period is over while requests still run");
            self.requests.log("end");
        }
        self.shutdown.enter(Phase::Ending);
        let end = Instant::now() + FINAL_RESPONSE_TIME;
        // The kernel delivers the rest of what lingering connections hold; the process has to end in time.
        while Instant::now() < end && self.is_writing() {
            tokio::time::sleep(FINAL_CHECK_INTERVAL).await;
        }
    }

    /// Writes the last line, once the process has nothing left to do.
    pub(crate) fn finish(&self, times: LeaveTimes) {
        info!(vm = self.vm.as_str(), after_ms = times.began.elapsed().as_millis() as u64,
            connections = self.connections.get(), late_ms = self.ticks.worst().as_millis() as u64;
            "the VM has left");
    }

    /// Returns whether a request runs, or a response has not been handed to the kernel.
    fn is_writing(&self) -> bool {
        self.requests.len() > 0 || self.connections.get() > self.lingering.get()
    }

    /// Returns whether a request runs, or a caller may not have all of its response.
    fn is_busy(&self) -> bool {
        self.requests.len() > 0 || self.connections.get() > 0
    }
}

/// How a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Closed {
    /// Whether the caller has closed its side, so that it has the response or does not want it.
    pub(crate) by_caller: bool,
    /// The number of bytes that arrived and of which no request was made.
    pub(crate) discarded: usize,
}

/// Closes a connection whose responses have all been written to the kernel; `lingers` tells whether the
/// caller may not have received all of them.
///
/// Closing it with bytes unread, or before bytes that are on their way have arrived, would reset it, and
/// a reset discards what the caller has not received yet.
pub(crate) async fn close(mut stream: TcpStream, lingers: bool) -> Closed {
    // Both fail if the caller has reset the connection, which the reading below shows. The HTTP library has
    // not ended its side if the connection failed.
    let _ = stream.shutdown().await;
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(DELIVERY_TIMEOUT));
    let mut closed = Closed { by_caller: false, discarded: 0 };
    if !lingers {
        closed.discarded = stream.try_read(&mut [0; PEEK_BYTES]).unwrap_or(0);
        return closed;
    }
    let mut buffer = [0; DISCARD_BYTES];
    let reading = async {
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            closed.discarded += count;
        }
        closed.by_caller = true;
    };
    let _ = tokio::time::timeout(LINGER_TIME, reading).await;
    closed
}
