//! What lives for one accepted configuration.

pub(crate) mod check;
pub(crate) mod config;
pub(crate) mod fleet;
pub(crate) mod head;
pub(crate) mod key;
pub(crate) mod publish;
pub(crate) mod source;
