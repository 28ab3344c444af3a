//! The clock that leases, ceilings and windows are counted on.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine started, the time that it was suspended included.
///
/// The steady clock stands still while a machine is suspended; a lease must not.
pub(crate) fn boot_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Returns the time of day in Unix milliseconds; only to tell one process life from another.
pub(crate) fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |passed| passed.as_millis() as u64)
}
