//! The settings that an entry VM starts with.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bamboocourse_decide::{ColdBound, DomainId, FeedTimes, RetryLimit, VmId};

/// The settings of one entry VM on a platform.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's failure domain.
    pub domain: DomainId,
    /// The source address of outgoing connections.
    pub local: IpAddr,
    /// The address that callers connect to.
    pub front: SocketAddr,
    /// The address where the balancer asks whether the VM accepts connections.
    pub ready: SocketAddr,
    /// The address that other VMs connect to.
    pub peer: SocketAddr,
    /// The address where metrics are served; `None` to serve no metrics.
    pub metrics: Option<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Addresses of a few VMs, for a VM that knows no other and cannot reach the store.
    pub seeds: Vec<SocketAddr>,
    /// The number of failure domains.
    pub domains: usize,
    /// How large the VM is, in any unit; relays are the larger VMs.
    pub capacity: u64,
    /// The memory that the process may take, in bytes.
    pub memory: u64,
    /// The limits that the deployment sets.
    pub bounds: Bounds,
}

/// The limits that a deployment sets for every VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The minimum time between the orders of two leaders to the same endpoint.
    pub order_gap: Duration,
    /// The grace period: how long a process may take to leave service.
    pub grace: Duration,
    /// The sliding window over which a workspace's tokens are counted.
    pub quota_window: Duration,
    /// The part of a workspace's limit by which the limit may be exceeded; 0.1 allows 10 % more.
    pub quota_excess: f64,
    /// The number of tokens by which the limit may be exceeded in addition.
    pub quota_slack: u64,
    /// How many retries may be sent to a service.
    pub retries: RetryLimit,
    /// How many requests a cold endpoint may get in a second.
    pub cold: ColdBound,
    /// The sliding window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// The factor by which the weight store's rate of loads may be exceeded; 1.1 allows 10 % more.
    pub load_excess: f64,
    /// The longest row that the store accepts, in bytes.
    pub row_limit: usize,
    /// The times in which VMs learn what is new in the store.
    pub feed: FeedTimes,
    /// How long vanished endpoints are kept after the store has recovered from an outage.
    pub removal_delay: Duration,
}
