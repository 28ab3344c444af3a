//! Connections of callers, of the balancer and of whoever reads the metrics.

pub(crate) mod callers;
pub(crate) mod side;
