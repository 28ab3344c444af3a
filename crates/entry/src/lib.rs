//! An entry VM on a platform: the pipeline for requests, and the coordination of the fleet.
//!
//! The platform's formats are translated by its [`Protocol`] and its [`Store`]. Decisions that need
//! no input or output, such as picking an endpoint, are made in `bamboocourse-decide`.
//!
//! The lifecycle of a process:
//! 1. [`EntryProcess::start`] binds its addresses and follows the platform's store.
//! 2. Each caller's request is admitted, assigned to an endpoint and sent there, and the endpoint's
//!    response is forwarded.
//! 3. The process reports its demand and its spent tokens to the leader, the VM that holds the
//!    fleet's lease. Any VM may lead. The leader grants tokens and orders models onto endpoints.
//! 4. [`EntryProcess::leave`] takes the process out of service. It waits for running requests, but
//!    no longer than the grace period.

mod connection;
mod edge;
mod process;
mod request;
mod wire;

pub use edge::pool::{Pool, PooledConnection, ReadError, SendError};
pub use edge::{
    BoxFuture, CallerRequest, EndpointRequest, EventSpan, ListedEndpoint, OrderRequest, Protocol,
    ResponseHead, Store, StoreError, StoreRow, StoreRows, Table, WriteOutcome,
};
pub use process::coordinator::row::{HeldRow, LeaderRow};
pub use process::settings::{Bounds, EntrySettings};
pub use process::vm::EntryProcess;
