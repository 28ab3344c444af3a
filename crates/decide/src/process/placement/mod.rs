//! Which endpoint holds which model: the lease of the planner, the ledger of each endpoint's
//! memory, and the plan.

pub(crate) mod fleet;
pub(crate) mod forecast;
pub(crate) mod intake;
pub(crate) mod lease;
pub(crate) mod ledger;
pub(crate) mod plan;
pub(crate) mod station;
pub(crate) mod succession;
