//! Which of two configurations is newer.

use crate::process::store_position::StorePosition;

/// What orders configurations: first the operator's version, then the position of the row.
///
/// After a restore of the store, an older configuration stands at a newer position until the operator
/// has written the newest one again, so the position alone does not tell which one is newer.
///
/// ```
/// use bamboocourse_decide::{ConfigStamp, StorePosition};
/// let known = ConfigStamp { version: 6, row: StorePosition::new(1, 900) };
/// let copied = ConfigStamp { version: 5, row: StorePosition::new(2, 850) };
/// let again = ConfigStamp { version: 6, row: StorePosition::new(2, 851) };
/// assert!(copied < known && known < again);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConfigStamp {
    /// The version that the operator gave the configuration.
    pub version: u64,
    /// The position of the row that holds the configuration.
    pub row: StorePosition,
}

impl ConfigStamp {
    /// Stands for no configuration; before all others.
    pub const NONE: Self = Self { version: 0, row: StorePosition::START };
    /// After all others.
    pub const MAX: Self = Self { version: u64::MAX, row: StorePosition::MAX };
}
