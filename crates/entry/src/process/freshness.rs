//! How new this VM's copies of the store's tables are, for decisions, logs and metrics.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{TableAge, TableSource};

use tokio::sync::Notify;

use crate::edge::Table;
use crate::edge::clock::boot_now;

/// The tables that every VM keeps a copy of.
pub(crate) const COPIED_TABLES: [Table; 2] = [Table::Operator, Table::Endpoints];

/// How new this VM's copies of the tables are, and since when its own calls for them are open.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    operator: Mutex<TableCopy>,
    endpoints: Mutex<TableCopy>,
    /// Notified when the store answers other calls again.
    store_back: Notify,
}

/// This VM's copy of a table.
#[derive(Debug, Default)]
struct TableCopy {
    age: TableAge,
    /// When the call that is in progress began.
    called: Option<Duration>,
}

impl Freshness {
    /// Records that a source has told all changes of a table until `at`.
    pub(crate) fn on_told(&self, table: Table, source: TableSource, at: Duration) {
        if let Some(mut copy) = self.copy(table) {
            copy.age.on_told(source, at);
        }
    }

    /// Tells those that wait after a failed call that the store answers other calls again.
    pub(crate) fn on_store_back(&self) {
        self.store_back.notify_waiters();
    }

    /// Waits after a failed call, but no longer than until the store answers other calls again.
    pub(crate) async fn wait_retry(&self, delay: Duration) {
        // The elapsed delay and the notification have the same meaning here.
        let _ = tokio::time::timeout(delay, self.store_back.notified()).await;
    }

    /// Records that a call to the store for a table begins, or that it has ended.
    pub(crate) fn set_called(&self, table: Table, called: Option<Duration>) {
        if let Some(mut copy) = self.copy(table) {
            copy.called = called;
        }
    }

    /// Returns until when a VM knows all changes of a table, by source.
    pub(crate) fn age(&self, table: Table) -> TableAge {
        self.copy(table).map(|copy| copy.age).unwrap_or_default()
    }

    /// Returns how old a table's copy is, in milliseconds; `None` if there is none.
    pub(crate) fn age_ms(&self, table: Table) -> Option<u64> {
        millis_since(self.copy(table)?.age.newest())
    }

    /// Returns how long ago a source told all changes of a table, in milliseconds; `None` if never.
    pub(crate) fn source_age_ms(&self, table: Table, source: TableSource) -> Option<u64> {
        millis_since(self.copy(table)?.age.known_until(source))
    }

    /// Returns for how long the call for a table has been open, in milliseconds; `None` if none is.
    pub(crate) fn open_ms(&self, table: Table) -> Option<u64> {
        millis_since(self.copy(table)?.called)
    }

    fn copy(&self, table: Table) -> Option<MutexGuard<'_, TableCopy>> {
        let copy = match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
            // Only the leader reads this VM's own table, at each use.
            Table::Own => return None,
        };
        Some(copy.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn millis_since(at: Option<Duration>) -> Option<u64> {
    at.map(|at| boot_now().saturating_sub(at).as_millis() as u64)
}
