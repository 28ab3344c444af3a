//! The requests whose response is not complete yet, and how far each of them is.
//!
//! They are written to the log when the VM begins to leave and when its grace period ends, since a
//! request that is cut may not be able to say so itself.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bamboocourse_decide::{EndpointId, FastMap};
use log::info;
use smol_str::SmolStr;
use tokio::time::Instant;

/// The largest number of lines that are written at a time.
const MAX_LINES: usize = 200;

/// What a request is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Stage {
    /// Its body is being read.
    #[default]
    Reading,
    /// It has been read, and its tokens are being admitted.
    Admission,
    /// It waits for an endpoint.
    Waiting,
    /// An endpoint has it, and no response has begun.
    Sent,
    /// Its response is being received and passed on.
    Streaming,
    /// A part of its response waits until the caller has read what came before.
    Caller,
}

impl Stage {
    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Stage::Reading => "reading",
            Stage::Admission => "admission",
            Stage::Waiting => "waiting",
            Stage::Sent => "sent",
            Stage::Streaming => "streaming",
            Stage::Caller => "caller",
        }
    }
}

/// How far a request is.
#[derive(Debug, Clone)]
pub(crate) struct Standing {
    pub(crate) id: SmolStr,
    pub(crate) route: SmolStr,
    pub(crate) stage: Stage,
    pub(crate) endpoint: EndpointId,
    /// When its head was read.
    pub(crate) arrived: Instant,
    /// When it was last sent to an endpoint.
    pub(crate) sent: Option<Instant>,
    /// How many chunks of its stream have been passed on.
    pub(crate) events: u32,
    /// When the last of them came.
    pub(crate) last: Option<Instant>,
}

/// The open requests of a process; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenRequests {
    next: Arc<AtomicU64>,
    open: Arc<Mutex<FastMap<u64, Arc<Mutex<Standing>>>>>,
}

/// The id of the newest request of a connection; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct LastRequest(Arc<Mutex<SmolStr>>);

impl LastRequest {
    /// Returns the id; empty if no request has been read.
    pub(crate) fn id(&self) -> SmolStr {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the id.
    pub(crate) fn set(&self, id: SmolStr) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = id;
    }
}

/// One open request; it counts as open until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    all: OpenRequests,
    number: u64,
    standing: Arc<Mutex<Standing>>,
}

impl OpenRequests {
    /// Adds a request whose head was read at this time.
    pub(crate) fn enter(&self, arrived: Instant) -> OpenRequest {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let standing = Arc::new(Mutex::new(Standing {
            id: SmolStr::default(),
            route: SmolStr::default(),
            stage: Stage::default(),
            endpoint: EndpointId::default(),
            arrived,
            sent: None,
            events: 0,
            last: None,
        }));
        self.lock().insert(number, standing.clone());
        OpenRequest { all: self.clone(), number, standing }
    }

    /// Returns how many requests are open.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Writes a line for each of them, the oldest first; `when` says at which point.
    pub(crate) fn log(&self, when: &'static str) {
        let mut open: Vec<Standing> =
            self.lock().values().map(|standing| lock(standing).clone()).collect();
        open.sort_by_key(|standing| standing.arrived);
        let left_out = open.len().saturating_sub(MAX_LINES);
        let now = Instant::now();
        let ago = |at: Option<Instant>| at.map_or(-1, |at| (now - at).as_millis() as i64);
        for standing in open.iter().take(MAX_LINES) {
            info!(id = standing.id.as_str(), when, route = standing.route.as_str(),
                stage = standing.stage.name(), endpoint = standing.endpoint.as_str(),
                read_ms = ago(Some(standing.arrived)), sent_ms = ago(standing.sent),
                events = standing.events, last_ms = ago(standing.last);
                "a request is open while the VM leaves");
        }
        if left_out > 0 {
            info!(when, left_out; "more requests are open while the VM leaves");
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<u64, Arc<Mutex<Standing>>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// Returns what the request is doing.
    pub(crate) fn stage(&self) -> Stage {
        lock(&self.standing).stage
    }

    /// Changes how far the request is.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Standing)) {
        change(&mut lock(&self.standing));
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.all.lock().remove(&self.number);
    }
}

fn lock(standing: &Mutex<Standing>) -> MutexGuard<'_, Standing> {
    standing.lock().unwrap_or_else(PoisonError::into_inner)
}
