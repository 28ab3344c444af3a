//! The workspaces' token pools and the VMs' floors, while this VM holds the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocourse_decide::{
    FastMap, FleetConfig, FloorHistory, Floors, Incarnation, Limit, PoolRecord, SpendReport,
    TokenPool, VmId, WorkspaceId,
};
use log::info;

use crate::process::quotas::limit_of;
use crate::process::settings::Bounds;
use crate::wire::{Ceiling, FloorSpend, Status};

/// The assumed age of a report if the VM has had no reply from this leader yet, and so cannot say
/// on the leader's clock when the report was made.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// The token pools of all workspaces and the floors of all VMs.
pub(crate) struct TokenPools {
    bounds: Bounds,
    pools: FastMap<WorkspaceId, TokenPool>,
    /// The former leader's records of workspaces that have no pool here yet.
    former_records: BTreeMap<WorkspaceId, PoolRecord>,
    /// When this VM took over from a copy that may lack the former leader's last records; what a
    /// workspace may have spent before then is known only from VMs.
    copied_at: Option<Duration>,
    /// When the former leader made its records, on this VM's boot clock.
    recorded_at: Duration,
    floors: Floors,
    limits: FastMap<WorkspaceId, Limit>,
    /// The sum of the floors' weights, in millionths; the pools leave out the floors' tokens.
    assigned: u64,
    /// What each VM's process last reported as spent of its floors, and when, on this VM's boot
    /// clock.
    histories: FastMap<VmId, (Incarnation, Duration, FloorHistory)>,
}

/// What a VM's former process had spent of its floors, for the VM that has restarted.
pub(crate) struct FormerSpend {
    /// The spent tokens of each workspace.
    pub(crate) spent: Vec<FloorSpend>,
    /// Whether the former process spent nothing after this report.
    pub(crate) is_final: bool,
    /// How long ago the report was made.
    pub(crate) age: Duration,
}

impl TokenPools {
    /// Continues from a former leader's state; `is_copy` says that the store may have lost what was
    /// recorded last.
    pub(crate) fn new(
        bounds: Bounds,
        mut former_records: BTreeMap<WorkspaceId, PoolRecord>,
        recorded_at: Duration,
        floors: BTreeMap<VmId, u64>,
        mut histories: FastMap<VmId, (Incarnation, Duration, FloorHistory)>,
        is_copy: bool,
        now: Duration,
    ) -> Self {
        let floors = if is_copy {
            former_records.clear();
            for (_, _, history) in histories.values_mut() {
                *history = std::mem::take(history).from_copy();
            }
            let last_report = |vm: &str| histories.get(vm).map(|(_, at, _)| *at);
            Floors::from_copy(floors, last_report, bounds.quota_window, now)
        } else {
            Floors::new(floors, now)
        };
        let assigned = floors.assigned(&BTreeMap::new());
        let (pools, limits) = (FastMap::default(), FastMap::default());
        Self {
            bounds,
            pools,
            former_records,
            copied_at: is_copy.then_some(now),
            recorded_at,
            floors,
            limits,
            assigned,
            histories,
        }
    }

    /// Raises no ceiling until the next record: the store may have lost the last one.
    pub(crate) fn on_record_lost(&mut self) {
        self.pools.values_mut().for_each(TokenPool::on_record_lost);
    }

    /// Applies the limits of a configuration; new pools continue from the former leader's records.
    pub(crate) fn apply_config(&mut self, fleet: &FleetConfig, now: Duration) {
        let assigned = self.assigned;
        self.limits.clear();
        for workspace in &fleet.workspaces {
            let Some(limit) = limit_of(workspace, &self.bounds) else { continue };
            self.limits.insert(workspace.name.clone(), limit);
            match self.pools.get_mut(&workspace.name) {
                Some(pool) => pool.set_limit(limit, assigned),
                None => {
                    let record = self.former_records.remove(&workspace.name).unwrap_or_default();
                    let age = now.saturating_sub(self.recorded_at);
                    let is_copy = self.copied_at.is_some_and(|at| now < at + limit.ceiling_tail());
                    let mut pool = match is_copy {
                        true => TokenPool::without_record(limit, assigned, now),
                        false => TokenPool::new(limit, assigned, &record, age, now),
                    };
                    let usage = pool.usage(now);
                    info!(workspace = workspace.name.as_str(), size = usage.size,
                        used = usage.used, unheard = usage.unreported, is_copy,
                        age_ms = age.as_millis() as u64; "a workspace's pool is taken over");
                    self.pools.insert(workspace.name.clone(), pool);
                }
            }
        }
    }

    /// Returns the pools' records and the floors' weights to write to the store next.
    pub(crate) fn next_records(
        &mut self,
        now: Duration,
    ) -> (BTreeMap<WorkspaceId, PoolRecord>, BTreeMap<VmId, u64>) {
        let floors = self.floors.next_weights(self.bounds.quota_window, now);
        // The pools shrink before the floors grow, so that no token is granted twice.
        self.set_assigned(self.floors.assigned(&floors));
        let mut records = self.former_records.clone();
        for (name, pool) in &mut self.pools {
            records.insert(name.clone(), pool.next_record(now));
        }
        (records, floors)
    }

    /// Sets the sum of the floors' weights, in millionths, and resizes the pools.
    fn set_assigned(&mut self, assigned: u64) {
        if self.assigned == assigned {
            return;
        }
        self.assigned = assigned;
        for (name, pool) in &mut self.pools {
            if let Some(limit) = self.limits.get(name) {
                pool.set_limit(*limit, assigned);
            }
        }
    }

    /// Returns what each relay's process spent of its floors, for the store.
    ///
    /// `to_store_time` converts this VM's boot clock to the store's, in milliseconds.
    pub(crate) fn floor_histories(
        &self,
        to_store_time: impl Fn(Duration) -> u64,
    ) -> BTreeMap<VmId, FloorHistory> {
        let histories = self.histories.iter().map(|(vm, (_, at, history))| {
            (vm.clone(), FloorHistory { at: to_store_time(*at), ..history.clone() })
        });
        histories.collect()
    }

    /// Records what a VM's process has spent of its floors.
    ///
    /// Until the process first reports its floors, returns what its former process had reported.
    pub(crate) fn on_floor_report(
        &mut self,
        status: &Status,
        now: Duration,
    ) -> Option<FormerSpend> {
        let vm = VmId::new(&status.vm);
        let former = self.histories.get(&vm).filter(|(life, ..)| *life != status.life);
        let former = former.map(|(_, at, history)| {
            let spends = history.spent.keys().map(|workspace| FloorSpend {
                workspace: workspace.to_string(),
                parts: history.parts(workspace),
            });
            FormerSpend {
                spent: spends.collect(),
                is_final: history.whole,
                age: now.saturating_sub(*at),
            }
        });
        let mut history = FloorHistory { whole: status.last, ..FloorHistory::default() };
        for spend in &status.floors {
            history.set(WorkspaceId::new(&spend.workspace), &spend.parts);
        }
        // The age of a report counts from when it was made, however long it was on its way.
        let made_at = match status.heard {
            0 => now.saturating_sub(REPORT_LAG),
            heard => Duration::from_millis(heard).min(now),
        };
        // A process that does not know what its former one spent reports no floors, so that the
        // former history stays.
        if !status.floors.is_empty() {
            self.histories.insert(vm, (status.life, made_at, history));
        }
        // Without a configuration, the process has no workspaces to apply the history to.
        former.filter(|_| status.config > 0)
    }

    /// Returns whether a ceiling or a floor cannot rise before the next record.
    pub(crate) fn wants_record(&self) -> bool {
        self.floors.has_newcomer()
            || !self.can_grant()
            || self.pools.values().any(TokenPool::wants_record)
    }

    /// Records that the store holds the last records and these weights of the floors.
    pub(crate) fn on_recorded(&mut self, floors: &BTreeMap<VmId, u64>) {
        for pool in self.pools.values_mut() {
            pool.on_recorded();
        }
        self.floors.on_recorded(floors.clone());
        self.set_assigned(floors.values().sum());
    }

    /// Applies a VM's report and returns the VM's ceilings.
    pub(crate) fn on_report(&mut self, status: &Status, now: Duration) -> Vec<Ceiling> {
        let vm = VmId::new(&status.vm);
        self.floors.on_report(&vm, status.asked, now);
        let mut ceilings = Vec::new();
        for spend in &status.spends {
            let Some(pool) = self.pools.get_mut(spend.workspace.as_str()) else { continue };
            let report = SpendReport {
                spent: spend.spent,
                returned: spend.returned,
                wanted: spend.wanted,
                ceiling: spend.ceiling,
                recent: spend.recent.clone(),
                grant_age: Duration::from_millis(spend.known),
                waiting: spend.waiting,
                is_final: spend.last,
            };
            let ceiling = pool.on_report(&vm, status.life, &report, now);
            ceilings.push(Ceiling {
                workspace: spend.workspace.clone(),
                tokens: ceiling.tokens,
                hungry: ceiling.exhausted,
            });
        }
        ceilings
    }

    /// Returns whether tokens of every workspace may be granted: the store has a record of each pool.
    pub(crate) fn can_grant(&self) -> bool {
        self.pools.values().all(TokenPool::recorded)
    }

    /// Returns a VM's share of all floors, in millionths.
    pub(crate) fn floor_weight(&self, vm: &str) -> u64 {
        self.floors.weight(vm)
    }
}
