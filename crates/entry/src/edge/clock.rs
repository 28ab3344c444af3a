//! The clocks of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including the time that it was suspended.
///
/// Leases, ceilings and windows use this clock: the monotonic clock stops while a VM is suspended,
/// but a lease must still expire.
pub(crate) fn boot_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Returns the time of day in Unix milliseconds; used only to tell process instances apart.
pub(crate) fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |passed| passed.as_millis() as u64)
}
