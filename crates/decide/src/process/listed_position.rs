//! Which of two entries of the list of endpoints is newer.

use crate::process::store_position::StorePosition;

/// Where an entry of the list stands, and whether that is where it was written.
///
/// The first whole read after a restore of the store shows entries at positions of the new era. They
/// may have been written again, or be of the copy and thus of an older era. Which of the two is not
/// known, only that the copy holds nothing above the version at that read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedPosition {
    /// The position at which the entry was read.
    pub at: StorePosition,
    /// Whether the entry may be of the copy.
    pub restored: bool,
}

impl ListedPosition {
    /// Returns whether an entry replaces a known one; `differs` says whether its content differs.
    ///
    /// An entry that may be of the copy is compared with one of an older era by their versions: the
    /// copy shows an older version of all that was lost. An entry that was written again under a
    /// lower version counts once its next change is read. Equal versions with different content are
    /// two writes, of which the copy cannot hold the lost one.
    ///
    /// ```
    /// use bamboocourse_decide::{ListedPosition, StorePosition};
    /// let known = ListedPosition { at: StorePosition::new(1, 900), restored: false };
    /// let copied = ListedPosition { at: StorePosition::new(2, 850), restored: true };
    /// let written = ListedPosition { at: StorePosition::new(2, 851), restored: false };
    /// assert!(!copied.replaces(known, true));
    /// assert!(written.replaces(known, true));
    /// ```
    pub fn replaces(self, known: Self, differs: bool) -> bool {
        if !self.restored || self.at.era <= known.at.era {
            return self.at > known.at;
        }
        self.at.version > known.at.version || (self.at.version == known.at.version && differs)
    }
}
