//! Clients of the platform's services and of endpoints.

pub(crate) mod engine;
pub(crate) mod platform;
pub(crate) mod pool;

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use bamboocourse_decide::{DomainId, Revision, VmId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A boxed future, which makes a trait with asynchronous methods dyn compatible.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a request to the platform has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The request was not sent.
    Unreachable(String),
    /// The request was sent and no response came; a write may have taken effect.
    Lost(String),
    /// The platform refused the request with this HTTP status; a write took no effect.
    Refused(u16),
    /// The response cannot be decoded; a write may have taken effect.
    Unreadable(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "the platform cannot be reached: {why}"),
            Self::Lost(why) => write!(f, "the platform did not answer: {why}"),
            Self::Refused(status) => write!(f, "the platform refused with status {status}"),
            Self::Unreadable(why) => write!(f, "the platform's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// Returns whether a write may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Unreadable(_))
    }
}

/// One row of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, as JSON text.
    pub value: String,
    /// The revision of the last write.
    pub revision: Revision,
}

/// A condition of a commit: the revision of a row, 0 if the row must not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The row's key.
    pub key: String,
    /// The revision that the row must have.
    pub revision: Revision,
}

/// A write of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: String,
    /// The new value, as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction of the table service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The conditions; nothing is written unless all of them hold.
    pub checks: Vec<RowCheck>,
    /// The writes.
    pub writes: Vec<RowWrite>,
}

impl Commit {
    /// Adds the write of a row, on condition that the row has a revision.
    ///
    /// Revision 0 inserts the row; the value `None` deletes it.
    pub fn replace(mut self, key: &str, revision: Revision, value: Option<String>) -> Self {
        self.checks.push(RowCheck { key: key.to_string(), revision });
        self.writes.push(RowWrite { key: key.to_string(), value });
        self
    }
}

/// The table service's reply to a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    /// Whether every check held and the writes took effect.
    pub committed: bool,
    /// The revision of the written rows; without meaning if nothing was committed.
    pub revision: Revision,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The name of the VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address at which it accepts connections of other VMs.
    pub peer: SocketAddr,
    /// Whether the platform is removing the VM.
    pub leaving: bool,
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Reads the rows whose keys start with a prefix.
    ///
    /// # Errors
    /// Fails if no usable response arrives.
    fn rows<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>>;

    /// Commits a transaction; a reply with `committed: false` means that a condition did not hold.
    ///
    /// # Errors
    /// Fails if no usable response arrives; [`PlatformError::is_uncertain`] tells whether the
    /// writes may have taken effect nevertheless.
    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitReply, PlatformError>>;
}

/// The object store.
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if there is none of that name.
    ///
    /// # Errors
    /// Fails if no usable response arrives.
    fn fetch<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, PlatformError>>;

    /// Writes an object.
    ///
    /// # Errors
    /// Fails if no response confirms the write; the object may have been written nevertheless.
    fn store<'a>(&'a self, name: &'a str, bytes: Bytes)
    -> BoxFuture<'a, Result<(), PlatformError>>;
}

/// The list of VMs, which lags behind the VMs' real state.
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// Fails if no usable response arrives.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<VmListing>, PlatformError>>;
}

/// All services of the platform.
pub trait Platform: Table + Objects + VmList {}

impl<T: Table + Objects + VmList> Platform for T {}
