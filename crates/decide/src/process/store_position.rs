//! Positions in the history of the platform's store.
//!
//! The store may be restored from a copy. What was written after the copy was taken is gone then,
//! and its versions are given out again, so a version alone does not tell which of two rows is
//! newer. Each restore starts a new era.

use serde::{Deserialize, Serialize};

/// The number of times that the store has been restored from a copy; 0 if the store does not say.
pub type StoreEra = u64;

/// A position in the store's history, ordered by era first.
///
/// ```
/// use bamboocourse_decide::StorePosition;
/// let before = StorePosition { era: 1, version: 900 };
/// let after = StorePosition { era: 2, version: 850 };
/// assert!(before < after);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era in which the store gave out the version.
    pub era: StoreEra,
    /// The store's version, which grows with every transaction of one era.
    pub version: u64,
}

impl StorePosition {
    /// The position before all others, at which nothing has been written.
    pub const START: Self = Self { era: 0, version: 0 };
    /// A position after all others.
    pub const MAX: Self = Self { era: StoreEra::MAX, version: u64::MAX };

    /// Creates a position.
    pub const fn new(era: StoreEra, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the position after this one in the same era.
    pub const fn next(self) -> Self {
        Self { era: self.era, version: self.version.saturating_add(1) }
    }
}

impl std::fmt::Display for StorePosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.version)
    }
}
