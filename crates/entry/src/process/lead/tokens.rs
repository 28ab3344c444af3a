//! The workspaces' pools and the VMs' floors, while this VM holds the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocourse_decide::{
    FastMap, Fleet, MILLION, PoolNote, Spending, TokenPool, VmId, WorkspaceId,
};

use crate::process::purse::limit_of;
use crate::process::settings::Bounds;
use crate::wire::{Ceiling, Status};

/// The fewest parts that floors are cut into: the VMs of today and those that may be added.
const FLOOR_PARTS: u64 = 12;
/// How many more VMs than those that are known floors are cut for, in hundredths.
const FLOOR_AHEAD: u64 = 140;
/// How long a VM must be silent before its floor is given to another.
const FLOOR_SILENT: Duration = Duration::from_secs(30);

/// The tokens of all workspaces.
pub(crate) struct Accounts {
    bounds: Bounds,
    pools: FastMap<WorkspaceId, TokenPool>,
    /// The former holder's notes, and when on this VM's clock they were made.
    before: BTreeMap<WorkspaceId, PoolNote>,
    noted: Duration,
    /// The floors that the store has recorded.
    floors: BTreeMap<VmId, u64>,
    heard: FastMap<VmId, Duration>,
}

impl Accounts {
    pub(crate) fn new(
        bounds: Bounds,
        before: BTreeMap<WorkspaceId, PoolNote>,
        noted: Duration,
        floors: BTreeMap<VmId, u64>,
    ) -> Self {
        let (pools, heard) = (FastMap::default(), FastMap::default());
        Self { bounds, pools, before, noted, floors, heard }
    }

    /// Sets the limits of a configuration.
    pub(crate) fn apply(&mut self, fleet: &Fleet, now: Duration) {
        for workspace in &fleet.workspaces {
            let Some(limit) = limit_of(workspace, &self.bounds) else { continue };
            match self.pools.get_mut(&workspace.name) {
                Some(pool) => pool.set_limit(limit),
                None => {
                    let note = self.before.remove(&workspace.name).unwrap_or_default();
                    let pool = TokenPool::new(limit, &note, now.saturating_sub(self.noted), now);
                    self.pools.insert(workspace.name.clone(), pool);
                }
            }
        }
    }

    /// Returns the notes and floors to record next.
    pub(crate) fn next(
        &mut self,
        now: Duration,
    ) -> (BTreeMap<WorkspaceId, PoolNote>, BTreeMap<VmId, u64>) {
        let mut notes = self.before.clone();
        for (name, pool) in &mut self.pools {
            notes.insert(name.clone(), pool.next_note(now));
        }
        (notes, self.next_floors(now))
    }

    /// Tells whether a ceiling is held back until the next record.
    pub(crate) fn wants_record(&self) -> bool {
        let unplaced = self.heard.keys().any(|vm| !self.floors.contains_key(vm));
        unplaced || !self.funded() || self.pools.values().any(TokenPool::wants_record)
    }

    /// Notes what the store has recorded.
    pub(crate) fn on_recorded(&mut self, floors: &BTreeMap<VmId, u64>) {
        for pool in self.pools.values_mut() {
            pool.on_recorded();
        }
        self.floors = floors.clone();
    }

    /// Takes in a VM's report and returns its ceilings.
    pub(crate) fn on_status(&mut self, status: &Status, now: Duration) -> Vec<Ceiling> {
        let vm = VmId::new(&status.vm);
        self.heard.insert(vm.clone(), now);
        let mut ceilings = Vec::new();
        for spend in &status.spends {
            let Some(pool) = self.pools.get_mut(spend.workspace.as_str()) else { continue };
            let said = Spending {
                spent: spend.spent,
                wanted: spend.wanted,
                ceiling: spend.ceiling,
                recent: spend.recent.clone(),
            };
            let ceiling = pool.on_report(&vm, status.life, &said, now);
            ceilings.push(Ceiling {
                workspace: spend.workspace.clone(),
                tokens: ceiling.tokens,
                hungry: ceiling.hungry,
            });
        }
        ceilings
    }

    /// Tells whether tokens of every workspace may be granted.
    pub(crate) fn funded(&self) -> bool {
        self.pools.values().all(TokenPool::recorded)
    }

    /// Returns a VM's weight of all floors.
    pub(crate) fn floor(&self, vm: &str) -> u64 {
        self.floors.get(vm).copied().unwrap_or(0)
    }

    /// Returns how many VMs have been heard of lately.
    pub(crate) fn vms(&self, now: Duration) -> usize {
        let lately = self.heard.values().filter(|at| now < **at + self.bounds.quota_window);
        lately.count().max(1)
    }

    fn next_floors(&self, now: Duration) -> BTreeMap<VmId, u64> {
        let mut floors = self.floors.clone();
        let newcomers: Vec<&VmId> =
            self.heard.keys().filter(|vm| !floors.contains_key(*vm)).collect();
        if newcomers.is_empty() {
            return floors;
        }
        let known = (floors.len() + newcomers.len()) as u64;
        let part = MILLION / FLOOR_PARTS.max(known * FLOOR_AHEAD / 100);
        for vm in newcomers {
            let taken: u64 = floors.values().sum();
            if taken + part > MILLION {
                let silent =
                    |vm: &VmId| self.heard.get(vm).is_none_or(|at| now >= *at + FLOOR_SILENT);
                let Some(gone) = floors.keys().find(|vm| silent(vm)).cloned() else { break };
                floors.remove(&gone);
            }
            let taken: u64 = floors.values().sum();
            floors.insert(vm.clone(), part.min(MILLION.saturating_sub(taken)));
        }
        floors
    }
}
