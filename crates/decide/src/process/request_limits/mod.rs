//! Limits of requests per second for all VMs together: those that endpoints name, and those of cold ones.

pub(crate) mod account;
pub(crate) mod cold;
pub(crate) mod log;
pub(crate) mod permits;
