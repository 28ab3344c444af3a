//! The parts that live as long as the process: its settings, state and background tasks.

pub(crate) mod active_fleet;
pub(crate) mod asks;
pub(crate) mod coordinator;
pub(crate) mod crashes;
pub(crate) mod domain_words;
pub(crate) mod drain;
pub(crate) mod endpoint_list;
pub(crate) mod follow;
pub(crate) mod freshness;
pub(crate) mod link;
pub(crate) mod metrics;
pub(crate) mod open_requests;
pub(crate) mod quotas;
pub(crate) mod roster;
pub(crate) mod scheduler;
pub(crate) mod settings;
pub(crate) mod shutdown;
pub(crate) mod vm;
