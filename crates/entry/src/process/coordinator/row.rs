//! The store's row of the fleet's lease, and its JSON format.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bamboocourse_decide::{
    FloorHistory, LeaseRow, PartId, PoolRecord, Roster, StoreEra, Tokens, UnreportedSpend, VmId,
    WorkspaceId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The row's key in the store.
pub(crate) const LEADER_KEY: &str = "lead";

/// The row of the fleet's lease, with the leader's state that the next leader continues from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRow {
    /// The lease, which names the leader.
    pub lease: LeaseRow,
    /// The address where the leader accepts connections of other VMs.
    pub peer: SocketAddr,
    /// The era in which the leader's state in the other fields was recorded. If the row is read in a
    /// later one, the store may have lost what a later leader recorded.
    pub era: StoreEra,
    /// When the pools were recorded, in milliseconds of the store's clock.
    pub noted: u64,
    /// Each workspace's token pool.
    pub pools: BTreeMap<WorkspaceId, PoolRecord>,
    /// The VM that may have issued the last orders. If the same VM leads again, it waits only until
    /// `orders_from`.
    pub orderer: VmId,
    /// From when the orderer may issue orders, in milliseconds of the store's clock.
    pub orders_from: u64,
    /// What each VM's process recently spent of its floors.
    pub past: BTreeMap<VmId, FloorHistory>,
    /// Each VM's share of all floors, in millionths.
    pub floors: BTreeMap<VmId, u64>,
    /// The relays, for VMs that start.
    pub roster: Roster,
    /// The parts of prompts and the requests that are held back.
    pub held: Vec<HeldRow>,
}

/// A part of prompts or a whole request that is held back; times are in milliseconds of the store's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// The part; empty if a whole request is held back.
    pub part: PartId,
    /// The digest of a whole request, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<SmolStr>,
    /// The only workspace whose requests are held back; `None` for all.
    pub workspace: Option<WorkspaceId>,
    /// When the first and the last endpoint ended that count against the part.
    pub first: u64,
    /// See `first`.
    pub last: u64,
    /// The number of endpoints that ended under requests with the part.
    pub ends: u32,
    /// The number of requests that were tried since.
    pub trials: u32,
    /// Whether the part may have been there by chance when the endpoints ended.
    #[serde(default)]
    pub weak: bool,
}

/// The row's JSON form: VMs are numbered, so that each name is stored only once.
#[derive(Debug, Serialize, Deserialize)]
struct Packed {
    lease: LeaseRow,
    peer: SocketAddr,
    #[serde(default)]
    era: StoreEra,
    noted: u64,
    orderer: VmId,
    orders_from: u64,
    vms: Vec<VmId>,
    pools: BTreeMap<WorkspaceId, PackedPool>,
    past: Vec<(usize, FloorHistory)>,
    floors: Vec<(usize, u64)>,
    #[serde(default)]
    roster: Roster,
    #[serde(default)]
    held: Vec<HeldRow>,
}

/// A pool's JSON form; the first number of each entry is an index into [`Packed::vms`].
#[derive(Debug, Serialize, Deserialize)]
struct PackedPool {
    used: Vec<Tokens>,
    reserve: Tokens,
    open: Vec<(usize, Tokens)>,
    unheard: Vec<(usize, Tokens, u64)>,
}

/// Numbers VMs in the order in which they are first asked for.
#[derive(Default)]
struct VmNumbers(BTreeMap<VmId, usize>);

impl VmNumbers {
    fn number(&mut self, vm: &VmId) -> usize {
        let next = self.0.len();
        *self.0.entry(vm.clone()).or_insert(next)
    }

    fn into_list(self) -> Vec<VmId> {
        let mut list = vec![VmId::default(); self.0.len()];
        for (name, number) in self.0 {
            list[number] = name;
        }
        list
    }
}

impl LeaderRow {
    /// Returns the row's JSON, which takes at most `limit` bytes.
    ///
    /// If the full row is longer, each pool's entries of single VMs are merged into one sum. If even
    /// that is longer, the spending of floors is left out: a restarted VM goes without its floor for
    /// one window.
    ///
    /// ```
    /// use bamboocourse_decide::LeaseRow;
    /// use bamboocourse_entry::LeaderRow;
    /// let lease = LeaseRow { holder: "vm-1".into(), life: 1, fence: 1, renewals: 0, era: 0 };
    /// let row = LeaderRow {
    ///     lease,
    ///     peer: "127.0.0.1:7600".parse().expect("an address"),
    ///     era: 0,
    ///     noted: 0,
    ///     pools: Default::default(),
    ///     orderer: "vm-1".into(),
    ///     orders_from: 0,
    ///     past: Default::default(),
    ///     floors: Default::default(),
    ///     roster: Default::default(),
    ///     held: Default::default(),
    /// };
    /// let bytes = row.encode(65_536).expect("the row fits");
    /// assert_eq!(LeaderRow::decode(&bytes), Ok(row));
    /// ```
    ///
    /// # Errors
    /// Returns an error if even the merged row is too long, or if it cannot be written as JSON.
    pub fn encode(&self, limit: usize) -> Result<Vec<u8>, String> {
        let bytes = self.pack()?;
        if bytes.len() <= limit {
            return Ok(bytes);
        }
        let mut folded = self.clone();
        folded.pools.values_mut().for_each(PoolRecord::fold);
        let mut bytes = folded.pack()?;
        if bytes.len() > limit {
            folded.past.clear();
            bytes = folded.pack()?;
        }
        if bytes.len() > limit {
            return Err(format!("the row takes {} bytes, the limit is {limit}", bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads a row from its JSON.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a row's JSON, or if a VM's number has no name.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let packed: Packed = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let Packed { lease, peer, era, noted, orderer, orders_from, vms, .. } = packed;
        let name =
            |number: usize| vms.get(number).cloned().ok_or("a VM's number has no name".to_owned());
        let mut pools = BTreeMap::new();
        for (workspace, pool) in packed.pools {
            let mut record =
                PoolRecord { used: pool.used, reserve: pool.reserve, ..PoolRecord::default() };
            for (vm, tokens) in pool.open {
                record.open.insert(name(vm)?, tokens);
            }
            for (vm, tokens, age) in pool.unheard {
                record.unheard.insert(name(vm)?, UnreportedSpend { tokens, age });
            }
            pools.insert(workspace, record);
        }
        let past = packed.past.into_iter().map(|(vm, history)| Ok((name(vm)?, history)));
        let past = past.collect::<Result<_, String>>()?;
        let floors = packed.floors.into_iter().map(|(vm, weight)| Ok((name(vm)?, weight)));
        let floors = floors.collect::<Result<_, String>>()?;
        let (roster, held) = (packed.roster, packed.held);
        Ok(Self {
            lease,
            peer,
            era,
            noted,
            pools,
            orderer,
            orders_from,
            past,
            floors,
            roster,
            held,
        })
    }

    /// Returns the row's JSON, whatever its length.
    fn pack(&self) -> Result<Vec<u8>, String> {
        let mut numbers = VmNumbers::default();
        let mut pools = BTreeMap::new();
        for (workspace, record) in &self.pools {
            let open =
                record.open.iter().map(|(vm, tokens)| (numbers.number(vm), *tokens)).collect();
            let unheard = record.unheard.iter();
            let unheard =
                unheard.map(|(vm, spend)| (numbers.number(vm), spend.tokens, spend.age)).collect();
            let pool =
                PackedPool { used: record.used.clone(), reserve: record.reserve, open, unheard };
            pools.insert(workspace.clone(), pool);
        }
        let past =
            self.past.iter().map(|(vm, history)| (numbers.number(vm), history.clone())).collect();
        let floors = self.floors.iter().map(|(vm, weight)| (numbers.number(vm), *weight)).collect();
        let packed = Packed {
            lease: self.lease.clone(),
            peer: self.peer,
            era: self.era,
            noted: self.noted,
            orderer: self.orderer.clone(),
            orders_from: self.orders_from,
            vms: numbers.into_list(),
            pools,
            past,
            floors,
            roster: self.roster.clone(),
            held: self.held.clone(),
        };
        serde_json::to_vec(&packed).map_err(|error| error.to_string())
    }
}
