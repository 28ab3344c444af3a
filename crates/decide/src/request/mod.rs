//! The state machines of single requests: routing, queues, retries and the idempotency record.

pub(crate) mod arrivals;
pub(crate) mod availability;
pub(crate) mod crash_log;
pub(crate) mod digest;
pub(crate) mod dispatch;
pub(crate) mod fair;
pub(crate) mod idempotency;
pub(crate) mod prefix;
pub(crate) mod retry;
pub(crate) mod route;
pub(crate) mod run_times;
pub(crate) mod windowed_retry;
