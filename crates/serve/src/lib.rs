//! The asynchronous part of an entry VM: its connections, tasks and clients.
//!
//! It passes what arrives on sockets to the state machines of `bamboocourse-decide` and carries out
//! what they decide. A process works as follows:
//! 1. [`EntryVm::start`] binds the addresses and starts to read the configuration from the
//!    platform.
//! 2. Each caller's request is admitted and routed to an endpoint, and the endpoint's response is
//!    forwarded.
//! 3. Meanwhile the process gossips with its peers, lends and borrows tokens, and renews its
//!    shares.
//! 4. One VM of each failure domain is the leader: it plans placement and reclaims the shares of
//!    dead VMs.
//! 5. [`EntryVm::drain`] takes the VM out of service after its running requests have ended.

mod connection;
mod edge;
mod process;
mod request;
mod version;
mod wire;

pub use edge::platform::HttpPlatform;
pub use edge::pool::{Pool, ReadError, SendError, read_body};
pub use edge::{
    BoxFuture, Commit, CommitReply, Objects, Platform, PlatformError, Row, RowCheck, RowWrite,
    Table, VmList, VmListing,
};
pub use process::report::{BurnReport, BurnRow, ReportPage, merge_reports};
pub use process::settings::{Settings, SettingsError};
pub use process::vm::EntryVm;
pub use version::publishing::{
    DomainState, Publication, PublishError, PublishedVersion, domain_states, publish, read_head,
};
pub use wire::size::{digest_size, loan_grant_size, loan_request_size, member_states_size};
