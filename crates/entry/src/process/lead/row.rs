//! The fleet's lease as it lies in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bamboocourse_decide::{LeaseRow, PoolNote, VmId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The key of the row.
pub(crate) const LEAD_KEY: &str = "lead";

/// The row of the fleet's lease, with what a successor must know of its holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeadRow {
    /// Who holds it.
    pub(crate) lease: LeaseRow,
    /// Where its holder listens for other VMs.
    pub(crate) peer: SocketAddr,
    /// The store's clock when the pools were noted, in milliseconds.
    pub(crate) noted: u64,
    /// The workspaces' pools.
    pub(crate) pools: BTreeMap<WorkspaceId, PoolNote>,
    /// Each VM's weight of all floors, in millionths.
    pub(crate) floors: BTreeMap<VmId, u64>,
}
