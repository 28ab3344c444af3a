//! Listeners for callers, for readiness checks and for metrics.

pub(crate) mod callers;
pub(crate) mod status;
