//! Limits of requests per second that endpoints name for all VMs together.

pub(crate) mod account;
pub(crate) mod log;
pub(crate) mod permits;
