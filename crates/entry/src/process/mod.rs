//! What lives as long as the process.

pub(crate) mod board;
pub(crate) mod desk;
pub(crate) mod follow;
pub(crate) mod lead;
pub(crate) mod link;
pub(crate) mod listing;
pub(crate) mod metrics;
pub(crate) mod purse;
pub(crate) mod settings;
pub(crate) mod vm;
