//! The memory for large messages that a process receives at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory for all large messages, in bytes: a twentieth of the smallest VM's memory, as buffers
/// of frames grow by doubling.
const TOTAL_BYTES: usize = 8 << 20;
/// The part of each message that the budget does not count, in bytes: usual messages are smaller,
/// and the number of connections bounds their sum.
pub(crate) const UNCOUNTED_BYTES: usize = 64 << 10;

/// The memory that is left for large messages; clones share it.
///
/// Other processes can send bytes without end on many connections. Each message has a limit of its
/// own, and the budget bounds their sum.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget(Arc<AtomicUsize>);

/// A part of a budget, which is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of [`TOTAL_BYTES`].
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(TOTAL_BYTES)))
    }

    /// Creates a reservation of nothing, which can grow.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Makes the reservation large enough for a message of `length` bytes; returns whether the
    /// budget has room for it.
    pub(crate) fn cover(&mut self, length: usize) -> bool {
        let missing = length.saturating_sub(UNCOUNTED_BYTES).saturating_sub(self.bytes);
        let take = |left: usize| left.checked_sub(missing);
        let taken = self.budget.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        self.bytes += if taken { missing } else { 0 };
        taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
