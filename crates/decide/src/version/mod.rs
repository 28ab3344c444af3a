//! Configurations: service files and their checks, versions, keys and publishing.

pub(crate) mod active_config;
pub(crate) mod check;
pub(crate) mod config;
pub(crate) mod fleet_config;
pub(crate) mod key;
pub(crate) mod publish;
pub(crate) mod source;
