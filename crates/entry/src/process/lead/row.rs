//! The fleet's lease as it lies in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bamboocourse_decide::{FloorPast, LeaseRow, PoolNote, VmId, WorkspaceId};
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
    /// The machine that may have given the last orders, which goes on without a wait.
    pub(crate) orderer: VmId,
    /// From when on the store's clock it may give them, in milliseconds.
    pub(crate) orders_from: u64,
    /// What each VM has spent of its floors of late.
    pub(crate) past: BTreeMap<VmId, FloorPast>,
    /// Each VM's weight of all floors, in millionths.
    pub(crate) floors: BTreeMap<VmId, u64>,
}
