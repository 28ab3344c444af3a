//! Placement of models and adapters on endpoints: the lease of the leader that plans, the plans,
//! and the memory and pending orders of each endpoint.
//!
//! The leader of a failure domain plans with `domain`, `forecast` and `ledger`; the leader of a
//! whole fleet plans with `service`, `tracker`, `quiet_period` and `load_limiter`. Both hold a
//! `lease`.

pub(crate) mod domain;
pub(crate) mod forecast;
pub(crate) mod lease;
pub(crate) mod ledger;
pub(crate) mod load_failures;
pub(crate) mod load_limiter;
pub(crate) mod quiet_period;
pub(crate) mod service;
pub(crate) mod tracker;
