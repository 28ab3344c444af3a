//! The signals that end or reload an entry VM, recorded from the first moment of the process on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that come before the process can act on them; by default they would end it.
#[derive(Debug)]
pub(crate) struct EarlySignals {
    end: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// Leave service and end.
    End,
    /// Read the settings again.
    Reload,
}

/// The signals to a process that can act on them.
#[derive(Debug)]
pub(crate) struct Signals {
    early: EarlySignals,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl EarlySignals {
    /// Begins to record signals.
    ///
    /// # Errors
    /// Returns an error if the system does not take a handler.
    pub(crate) fn record() -> std::io::Result<Self> {
        let early = Self { end: Arc::default(), reload: Arc::default() };
        flag::register(SIGTERM, early.end.clone())?;
        flag::register(SIGINT, early.end.clone())?;
        flag::register(SIGHUP, early.reload.clone())?;
        Ok(early)
    }
}

impl Signals {
    /// Continues with signals that wake the current task; what was recorded before is not lost.
    ///
    /// # Errors
    /// Returns an error if the system does not take a handler.
    pub(crate) fn new(early: EarlySignals) -> std::io::Result<Self> {
        Ok(Self {
            early,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns whether the process has been asked to end before it could act on it.
    pub(crate) fn is_end_asked(&self) -> bool {
        self.early.end.load(Ordering::Relaxed)
    }

    /// Waits for the next signal. One that comes while handlers change may be returned twice.
    pub(crate) async fn next(&mut self) -> Request {
        if self.early.end.swap(false, Ordering::Relaxed) {
            return Request::End;
        }
        if self.early.reload.swap(false, Ordering::Relaxed) {
            return Request::Reload;
        }
        let request = tokio::select! {
            _ = self.terminate.recv() => Request::End,
            _ = self.interrupt.recv() => Request::End,
            _ = self.hangup.recv() => Request::Reload,
        };
        // The same signal has set its flag, too.
        let EarlySignals { end, reload } = &self.early;
        match request {
            Request::End => end.store(false, Ordering::Relaxed),
            Request::Reload => reload.store(false, Ordering::Relaxed),
        }
        request
    }
}
