//! The memory for large messages that a process receives at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory for all large messages, in bytes: a twentieth of the smallest VM's memory, as buffers
/// of frames grow by doubling.
const TOTAL_BYTES: usize = 8 << 20;
/// The part of each message that the budget does not count, in bytes: usual messages are smaller,
/// and the number of connections bounds their sum.
pub(crate) const UNCOUNTED_BYTES: usize = 64 << 10;

/// The memory that is not for bodies of callers, in bytes: that of the process itself, the buffers of its
/// connections and the messages of endpoints, the store and other VMs.
const RESERVED_BYTES: u64 = 80_000_000;
/// The least part of a VM's memory that is for bodies of callers.
const LEAST_BODIES_DIVISOR: u64 = 4;

/// The memory that is left for large messages; clones share it.
///
/// Other processes can send bytes without end on many connections. Each message has a limit of its
/// own, and the budget bounds their sum.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    left: Arc<AtomicUsize>,
    /// The part of each message that is not counted, in bytes.
    uncounted: usize,
}

/// A part of a budget, which is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of [`TOTAL_BYTES`].
    pub(crate) fn new() -> Self {
        Self { left: Arc::new(AtomicUsize::new(TOTAL_BYTES)), uncounted: UNCOUNTED_BYTES }
    }

    /// Creates the budget for the bodies of callers of a VM with this memory, in bytes.
    pub(crate) fn for_callers(memory: u64) -> Self {
        let bytes = memory.saturating_sub(RESERVED_BYTES).max(memory / LEAST_BODIES_DIVISOR);
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        Self { left: Arc::new(AtomicUsize::new(bytes)), uncounted: 0 }
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
        let missing = length.saturating_sub(self.budget.uncounted).saturating_sub(self.bytes);
        let take = |left: usize| left.checked_sub(missing);
        let taken =
            self.budget.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        self.bytes += if taken { missing } else { 0 };
        taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
