//! Accepted connections of callers, operators and other VMs.

pub(crate) mod caller;
pub(crate) mod peer;
