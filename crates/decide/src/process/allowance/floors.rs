//! Division of the floors among the VMs, decided by the leader.
//!
//! Demand differs from VM to VM: callers' connections are spread unevenly, the VMs of a small
//! domain are busier, and VMs come and go. A VM's floor is only ever raised, out of what no VM
//! holds: a part that is taken away may still have been spent within the window. The floor of a VM
//! that has been silent for long enough is free again, since floors expire on the VM's own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ANY_VM, PARTS_PER_MILLION};
use crate::ids::{Tokens, VmId, WorkspaceId};
use crate::map::FastMap;

/// How long a VM may use its floor, from when it sent the last report that got a reply.
pub const FLOOR_TERM: Duration = Duration::from_secs(25);
/// How much longer than [`FLOOR_TERM`] and the window the leader waits before it gives the floor of
/// a silent VM to others.
const FLOOR_MARGIN: Duration = Duration::from_secs(2);
/// The least number of equal parts into which all floors are divided for VMs without a floor, of
/// which each gets one part: enough for the VMs of a usual fleet and those that may be added.
const MIN_INITIAL_PARTS: u64 = 12;
/// The number of these parts in percent of the known VMs, if that is more.
const INITIAL_PARTS_PERCENT: u64 = 140;
/// The share of all floors that raises leave to VMs that come later, in millionths.
const NEWCOMER_RESERVE_PPM: u64 = 80_000;
/// The floor that a VM is raised to, in percent of its share of the demand.
const FLOOR_DEMAND_PERCENT: u64 = 92;
/// The weight of the newest report in a VM's average demand.
const NEW_DEMAND_RATIO: f64 = 0.1;
/// The reports that a VM must have sent before its floor is raised with its demand.
const MIN_REPORTS: u32 = 8;
/// The smallest raise of a floor, in millionths: each raise is written to the store.
const MIN_RAISE_PPM: u64 = 10_000;

/// What a VM's process has spent of all its floors, for the process that starts after it.
///
/// Spending is rounded up to coarse units, since each record of the leader holds every VM's.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FloorHistory {
    /// The time of the last report, on the store's clock, in milliseconds.
    pub at: u64,
    /// Whether the process ended at that time, so that it has spent nothing since.
    #[serde(default)]
    pub whole: bool,
    /// By workspace: a unit in tokens, and the spending by parts of the window in that unit, newest
    /// first.
    pub spent: BTreeMap<WorkspaceId, (Tokens, Vec<u8>)>,
}

impl FloorHistory {
    /// Sets a workspace's spending by parts of the window, in tokens, newest first; rounds it up.
    ///
    /// ```
    /// use bamboocourse_decide::FloorHistory;
    /// let mut history = FloorHistory::default();
    /// history.set("desk".into(), &[1_000, 10]);
    /// assert!(history.parts("desk").iter().zip([1_000, 10]).all(|(kept, spent)| *kept >= spent));
    /// ```
    pub fn set(&mut self, workspace: WorkspaceId, parts: &[Tokens]) {
        let max = parts.iter().copied().max().unwrap_or(0);
        let unit = max.div_ceil(u64::from(u8::MAX)).max(1);
        let coarse = parts.iter().map(|part| part.div_ceil(unit) as u8).collect();
        self.spent.insert(workspace, (unit, coarse));
    }

    /// Returns what this history proves if it comes from an older copy of the store: another process
    /// may have started, spent and ended since.
    ///
    /// ```
    /// use bamboocourse_decide::FloorHistory;
    /// let history = FloorHistory { whole: true, ..FloorHistory::default() };
    /// assert!(!history.from_copy().whole);
    /// ```
    pub fn from_copy(self) -> Self {
        Self { whole: false, ..self }
    }

    /// Returns a workspace's spending by parts of the window, in tokens, newest first.
    pub fn parts(&self, workspace: &str) -> Vec<Tokens> {
        let Some((unit, parts)) = self.spent.get(workspace) else { return Vec::new() };
        parts.iter().map(|part| u64::from(*part) * unit).collect()
    }
}

/// Each VM's weight of all floors, in millionths, and its demand.
#[derive(Debug, Clone, Default)]
pub struct Floors {
    weights: BTreeMap<VmId, u64>,
    demands: FastMap<VmId, VmDemand>,
}

/// The demand that a VM has reported.
#[derive(Debug, Clone, Copy)]
struct VmDemand {
    /// The time of the last report.
    reported: Duration,
    /// The moving average of the reported tokens.
    average: f64,
    /// The number of reports.
    reports: u32,
}

impl Floors {
    /// Starts from the weights recorded in the store, as if each VM had last reported now.
    ///
    /// ```
    /// use bamboocourse_decide::Floors;
    /// use std::time::Duration;
    /// let floors = Floors::new(Default::default(), Duration::ZERO);
    /// assert_eq!(floors.weight("vm-1"), 0);
    /// ```
    pub fn new(weights: BTreeMap<VmId, u64>, now: Duration) -> Self {
        let unreported = VmDemand { reported: now, average: 0.0, reports: 0 };
        let demands = weights.keys().map(|vm| (vm.clone(), unreported)).collect();
        Self { weights, demands }
    }

    /// Starts from the weights of an older copy of the store.
    ///
    /// Since the copy was made, floors may have been raised out of what it shows as free, and out of
    /// the floors of VMs that were silent. So no floor is raised until those that any VM may hold
    /// have expired. `last_report` tells when each VM had last reported, as far as the copy shows.
    ///
    /// ```
    /// use bamboocourse_decide::{Floors, PARTS_PER_MILLION};
    /// use std::time::Duration;
    /// let weights = [("vm-1".into(), 300_000), ("vm-2".into(), 200_000)].into();
    /// let heard = |vm: &str| (vm == "vm-1").then_some(Duration::from_secs(90));
    /// let window = Duration::from_secs(8);
    /// let mut floors = Floors::from_copy(weights, heard, window, Duration::from_secs(100));
    /// assert_eq!((floors.weight("vm-1"), floors.weight("vm-2")), (300_000, 0));
    /// assert_eq!(floors.assigned(&Default::default()), PARTS_PER_MILLION);
    /// ```
    pub fn from_copy(
        mut weights: BTreeMap<VmId, u64>,
        last_report: impl Fn(&str) -> Option<Duration>,
        window: Duration,
        now: Duration,
    ) -> Self {
        weights.retain(|vm, _| last_report(vm).is_some_and(|at| Self::is_kept(at, window, now)));
        let held: u64 = weights.values().sum();
        weights.insert(ANY_VM.into(), PARTS_PER_MILLION.saturating_sub(held));
        Self::new(weights, now)
    }

    /// Returns whether a VM that reported at a time still has the floor that it had then, whatever a
    /// leader has done since.
    pub fn is_kept(reported: Duration, window: Duration, now: Duration) -> bool {
        now < reported + silence_limit(window)
    }

    /// Updates a VM's average demand with the tokens of its report.
    pub fn on_report(&mut self, vm: &VmId, asked: Tokens, now: Duration) {
        let fresh = VmDemand { reported: now, average: asked as f64, reports: 0 };
        let demand = self.demands.entry(vm.clone()).or_insert(fresh);
        demand.reported = now;
        demand.reports += 1;
        demand.average += (asked as f64 - demand.average) * NEW_DEMAND_RATIO;
    }

    /// Returns a VM's recorded weight, in millionths.
    pub fn weight(&self, vm: &str) -> u64 {
        self.weights.get(vm).copied().unwrap_or(0)
    }

    /// Returns the sum of the weights, in millionths, counting for each VM the larger one of its
    /// recorded and its next weight.
    pub fn assigned(&self, next: &BTreeMap<VmId, u64>) -> u64 {
        let larger =
            |vm: &VmId, weight: u64| weight.max(self.weights.get(vm).copied().unwrap_or(0));
        let new: u64 = next.iter().map(|(vm, weight)| larger(vm, *weight)).sum();
        let gone = self.weights.iter().filter(|(vm, _)| !next.contains_key(*vm));
        new + gone.map(|(_, weight)| weight).sum::<u64>()
    }

    /// Returns whether a VM that has reported has no floor yet and may get one.
    pub fn has_newcomer(&self) -> bool {
        self.weights.values().sum::<u64>() < PARTS_PER_MILLION
            && self.demands.keys().any(|vm| !self.weights.contains_key(vm))
    }

    /// Returns how many VMs have reported within a time; at least 1.
    pub fn active_vms(&self, within: Duration, now: Duration) -> usize {
        self.demands.values().filter(|demand| now < demand.reported + within).count().max(1)
    }

    /// Returns the weights to record next, in millionths.
    ///
    /// Silent VMs lose their floor, new VMs get their first floor, and the floors of others are
    /// raised by demand.
    pub fn next_weights(&mut self, window: Duration, now: Duration) -> BTreeMap<VmId, u64> {
        let timeout = silence_limit(window);
        self.demands.retain(|_, demand| now < demand.reported + timeout);
        let mut weights = self.weights.clone();
        weights.retain(|vm, _| self.demands.contains_key(vm));
        let newcomers: Vec<&VmId> =
            self.demands.keys().filter(|vm| !weights.contains_key(*vm)).collect();
        let known = (weights.len() + newcomers.len()) as u64;
        let part = PARTS_PER_MILLION / MIN_INITIAL_PARTS.max(known * INITIAL_PARTS_PERCENT / 100);
        for vm in newcomers {
            let free = PARTS_PER_MILLION.saturating_sub(weights.values().sum());
            if free > 0 {
                weights.insert(vm.clone(), part.min(free));
            }
        }
        self.raise(&mut weights);
        weights
    }

    /// Replaces the recorded weights, once the store has them.
    pub fn on_recorded(&mut self, weights: BTreeMap<VmId, u64>) {
        self.weights = weights;
    }

    /// Raises the floors of VMs whose share of the demand is larger than their floor, out of what
    /// no VM holds.
    fn raise(&self, weights: &mut BTreeMap<VmId, u64>) {
        let total: f64 = self.demands.values().map(|demand| demand.average).sum();
        if total <= 0.0 {
            return;
        }
        let mut gaps: Vec<(u64, &VmId)> = Vec::new();
        for (vm, demand) in &self.demands {
            let share = (demand.average / total * PARTS_PER_MILLION as f64) as u64
                * FLOOR_DEMAND_PERCENT
                / 100;
            let gap = share.saturating_sub(weights.get(vm).copied().unwrap_or(0));
            if demand.reports >= MIN_REPORTS && gap >= MIN_RAISE_PPM {
                gaps.push((gap, vm));
            }
        }
        let total_gap: u64 = gaps.iter().map(|(gap, _)| gap).sum();
        let free = PARTS_PER_MILLION
            .saturating_sub(weights.values().sum::<u64>())
            .saturating_sub(NEWCOMER_RESERVE_PPM);
        for (gap, vm) in gaps {
            let granted = gap.min(gap * free / total_gap.max(1));
            if granted >= MIN_RAISE_PPM {
                *weights.entry(vm.clone()).or_default() += granted;
            }
        }
    }
}

/// Returns how long a VM must have been silent before its floor is given to others.
fn silence_limit(window: Duration) -> Duration {
    FLOOR_TERM + FLOOR_MARGIN + window
}
