//! The workspaces' pools and the VMs' floors, while this VM holds the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocourse_decide::{
    FastMap, Fleet, MILLION, Spending, TokenPool, Tokens, VmId, WorkspaceId,
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
    /// What former holders may have let be spent, for pools that are not made yet.
    before: BTreeMap<WorkspaceId, Tokens>,
    /// The floors that the store has recorded.
    floors: BTreeMap<VmId, u64>,
    heard: FastMap<VmId, Duration>,
}

impl Accounts {
    pub(crate) fn new(
        bounds: Bounds,
        before: BTreeMap<WorkspaceId, Tokens>,
        floors: BTreeMap<VmId, u64>,
    ) -> Self {
        Self { bounds, pools: FastMap::default(), before, floors, heard: FastMap::default() }
    }

    /// Sets the limits of a configuration.
    pub(crate) fn apply(&mut self, fleet: &Fleet, now: Duration) {
        for workspace in &fleet.workspaces {
            let Some(limit) = limit_of(workspace, &self.bounds) else { continue };
            match self.pools.get_mut(&workspace.name) {
                Some(pool) => pool.set_limit(limit),
                None => {
                    let before = self.before.get(&workspace.name).copied().unwrap_or(0);
                    let pool = TokenPool::new(limit, before, now);
                    self.pools.insert(workspace.name.clone(), pool);
                }
            }
        }
    }

    /// Returns the caps and floors to record next.
    pub(crate) fn next(
        &mut self,
        now: Duration,
    ) -> (BTreeMap<WorkspaceId, Tokens>, BTreeMap<VmId, u64>) {
        let mut caps = self.before.clone();
        for (name, pool) in &mut self.pools {
            caps.insert(name.clone(), pool.next_cap(now));
        }
        (caps, self.next_floors(now))
    }

    /// Notes what the store has recorded.
    pub(crate) fn on_recorded(
        &mut self,
        caps: &BTreeMap<WorkspaceId, Tokens>,
        floors: &BTreeMap<VmId, u64>,
    ) {
        for (name, pool) in &mut self.pools {
            pool.set_cap(caps.get(name).copied().unwrap_or(0));
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
            let said = Spending { spent: spend.spent, wanted: spend.wanted };
            let ceiling = pool.on_report(&vm, status.life, said, now);
            ceilings.push(Ceiling {
                workspace: spend.workspace.clone(),
                tokens: ceiling.tokens,
                hungry: ceiling.hungry,
            });
        }
        ceilings
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
