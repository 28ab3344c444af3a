//! The latest decisions of a VM, which `explain` shows.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// The number of decisions that are kept; older ones are dropped.
const MAX_STORED_DECISIONS: usize = 2_000;

/// One decision and why it was taken.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Decision {
    /// When it was taken, in milliseconds since the Unix epoch.
    pub(crate) at: u64,
    /// Its subject: the id of a request, a model, an item, an endpoint, a workspace or a VM.
    pub(crate) subject: String,
    /// What was decided.
    pub(crate) what: String,
    /// The reason.
    pub(crate) why: String,
}

/// A bounded list of decisions; the oldest is dropped first.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    entries: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Records a decision.
    pub(crate) fn record(&self, subject: &str, what: impl Into<String>, why: impl Into<String>) {
        let decision = Decision {
            at: unix_millis(),
            subject: subject.to_string(),
            what: what.into(),
            why: why.into(),
        };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push_back(decision);
        if entries.len() > MAX_STORED_DECISIONS {
            entries.pop_front();
        }
    }

    /// Returns up to `limit` decisions, newest first: those about a subject or with a reason that
    /// mentions it, or with `None` all.
    pub(crate) fn about(&self, subject: Option<&str>, limit: usize) -> Vec<Decision> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let found = entries.iter().rev().filter(|decision| {
            subject
                .is_none_or(|subject| decision.subject == subject || decision.why.contains(subject))
        });
        found.take(limit).cloned().collect()
    }
}

/// Returns the time of the wall clock, in milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
