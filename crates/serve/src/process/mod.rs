//! The parts that live as long as the process: its settings, shared state and background tasks.

pub(crate) mod decisions;
pub(crate) mod gossip;
pub(crate) mod leader;
pub(crate) mod ledger_store;
pub(crate) mod metrics;
pub(crate) mod operator;
pub(crate) mod peers;
pub(crate) mod report;
pub(crate) mod routers;
pub(crate) mod running;
pub(crate) mod settings;
pub(crate) mod shares;
pub(crate) mod token_limits;
pub(crate) mod vm;
