//! How new a VM's copy of a table of the store is, by who told it.

use std::time::Duration;

/// Who tells a VM what is new in a table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TableSource {
    /// The store, as the answer to a read or a feed.
    Store,
    /// The leader, in its replies to relays.
    Leader,
    /// A relay, in its replies to members.
    Relay,
}

impl TableSource {
    /// All sources.
    pub const ALL: [Self; 3] = [Self::Store, Self::Leader, Self::Relay];

    /// Returns the source's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Leader => "leader",
            Self::Relay => "relay",
        }
    }
}

/// Until when a VM knows all changes of a table, by source; times are of the VM's boot clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableAge {
    store: Option<Duration>,
    leader: Option<Duration>,
    relay: Option<Duration>,
}

impl TableAge {
    /// Records that a source has told all changes until `at`.
    ///
    /// ```
    /// use bamboocourse_decide::{TableAge, TableSource};
    /// use std::time::Duration;
    /// let mut age = TableAge::default();
    /// age.on_told(TableSource::Leader, Duration::from_secs(4));
    /// age.on_told(TableSource::Leader, Duration::from_secs(3));
    /// assert_eq!(age.known_until(TableSource::Leader), Some(Duration::from_secs(4)));
    /// assert_eq!(age.newest(), Some(Duration::from_secs(4)));
    /// ```
    pub fn on_told(&mut self, source: TableSource, at: Duration) {
        let known = match source {
            TableSource::Store => &mut self.store,
            TableSource::Leader => &mut self.leader,
            TableSource::Relay => &mut self.relay,
        };
        *known = (*known).max(Some(at));
    }

    /// Returns until when a source has told all changes; `None` if it has told nothing.
    pub fn known_until(&self, source: TableSource) -> Option<Duration> {
        match source {
            TableSource::Store => self.store,
            TableSource::Leader => self.leader,
            TableSource::Relay => self.relay,
        }
    }

    /// Returns whether the store has answered the leader since a call of this VM failed.
    pub fn shows_recovery(&self, failed: Duration) -> bool {
        self.leader.is_some_and(|at| at > failed)
    }

    /// Returns until when all changes are known, by any source.
    pub fn newest(&self) -> Option<Duration> {
        self.store.max(self.leader).max(self.relay)
    }
}
