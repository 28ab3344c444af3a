//! The shared pool of a workspace's tokens, kept by the leader.
//!
//! Before the leader raises a ceiling, the store has recorded how far it may be raised until the
//! next record, and what was spent recently. So a new leader knows what may have been spent by VMs
//! that have not reported to it, and continues from the record without waiting for a whole window.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::spender::SpendReport;
use super::{ANY_VM, CEILING_MARGIN, CEILING_TERM, HISTORY_PARTS, Limit, REPORT_LAG};
use crate::ids::{Incarnation, Tokens, VmId};
use crate::map::FastMap;
use crate::process::sliding_window::SlidingWindow;

/// How many seconds of its demand a VM's ceiling runs ahead: enough for a change of leader.
const RUN_AHEAD_SECONDS: f64 = 1.5;
/// The same where VMs also have floors to spend: a smaller number, since the tokens that a ceiling
/// runs ahead are lost to the pool when the VM is killed.
const FLOORS_RUN_AHEAD_SECONDS: f64 = 0.7;
/// The sum of the floors' weights from which [`FLOORS_RUN_AHEAD_SECONDS`] applies, in millionths.
const MIN_FLOORS_PPM: u64 = 500_000;
/// How many seconds of its demand a VM's ceiling runs ahead when the pool is nearly exhausted.
const SCARCE_RUN_AHEAD_SECONDS: f64 = 0.5;
/// The share of the pool that must be free for ceilings to run ahead fully.
const PLENTY_RATIO: f64 = 0.2;
/// The pool divided by this is the least that the ceiling of a VM with demand runs ahead.
const MIN_RUN_AHEAD_DIVISOR: Tokens = 128;
/// The pool divided by this is the most that all VMs together get as this least amount.
const TOTAL_RUN_AHEAD_DIVISOR: Tokens = 12;
/// How many seconds of its demand a VM's ceiling may rise between two records.
const HEADROOM_SECONDS: f64 = 0.5;
/// The pool divided by this is the least that one VM's ceiling may rise between two records.
const MIN_HEADROOM_DIVISOR: Tokens = 400;
/// The pool divided by this is the most that all VMs together get as this least rise.
const TOTAL_HEADROOM_DIVISOR: Tokens = 40;
/// The most VMs that the free part of the pool is divided between when a VM asks.
const MAX_SHARERS: u64 = 5;
/// The pool divided by this is what each VM adds to what all VMs together may be granted between two
/// records beyond their headroom: the more VMs, the less their demand of the last second predicts.
const VM_RESERVE_DIVISOR: Tokens = 480;
/// The least and the most VMs that count for this.
const RESERVE_VMS: RangeInclusive<u64> = 20..=40;
/// The least reserve of a pool: the tokens of a large request, since a request waits for less time
/// than passes until the next record.
const MIN_RESERVE_TOKENS: Tokens = 2_000;
/// The least reserve is no more than the pool divided by this.
const MIN_RESERVE_DIVISOR: Tokens = 4;

/// The limit of what a VM may spend from the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ceiling {
    /// The most tokens that the VM may spend from the pool since its process started.
    pub tokens: Tokens,
    /// Whether the pool could not give what the VM asked for.
    pub exhausted: bool,
}

/// The state of a pool, as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolRecord {
    /// Tokens spent recently, by parts of the window, newest first.
    pub used: Vec<Tokens>,
    /// By VM, the tokens that it may spend beyond `used` before the next record.
    pub open: BTreeMap<VmId, Tokens>,
    /// Tokens that any VM may spend on top of `open`, mainly VMs that are new.
    pub reserve: Tokens,
    /// By VM that has not reported to the leader, the tokens that it may have spent since a former
    /// leader's record.
    pub unheard: BTreeMap<VmId, UnreportedSpend>,
}

impl PoolRecord {
    /// Replaces the tokens of each VM by one sum that any VM may have spent.
    ///
    /// The record gets shorter, but the sum counts for longer than the single amounts would.
    ///
    /// ```
    /// use bamboocourse_decide::PoolRecord;
    /// let mut record = PoolRecord::default();
    /// record.open.extend([("vm-1".into(), 3), ("vm-2".into(), 4)]);
    /// record.fold();
    /// assert_eq!(record.open.values().copied().collect::<Vec<_>>(), [7]);
    /// ```
    pub fn fold(&mut self) {
        let open = self.open.values().sum();
        self.open = BTreeMap::from([(ANY_VM.into(), open)]);
        let tokens = self.unheard.values().map(|unheard| unheard.tokens).sum();
        let age = self.unheard.values().map(|unheard| unheard.age).max().unwrap_or(0);
        self.unheard = BTreeMap::from([(ANY_VM.into(), UnreportedSpend { tokens, age })]);
    }
}

/// Tokens that a VM may have spent since a former leader's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreportedSpend {
    /// The number of tokens.
    pub tokens: Tokens,
    /// The age of that record, in milliseconds.
    pub age: u64,
}

/// The tokens of a pool at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolUsage {
    /// Tokens that the pool admits in a window.
    pub size: Tokens,
    /// Tokens that were spent within the window.
    pub used: Tokens,
    /// Tokens that VMs may still spend below their ceilings.
    pub open: Tokens,
    /// Tokens that VMs may have spent since a former leader's record, without having reported.
    pub unreported: Tokens,
}

/// The pool of one workspace.
#[derive(Debug, Clone)]
pub struct TokenPool {
    /// Tokens that the pool admits in a window.
    size: Tokens,
    /// How many seconds of its demand a VM's ceiling runs ahead while the pool has plenty.
    ahead: f64,
    /// How long spending counts: the window and the delay of reports.
    span: Duration,
    /// The length of one part of the window in a record.
    part: Duration,
    /// Tokens that were spent, at the time of the report.
    used: SlidingWindow,
    /// Tokens that VMs may have spent since a former leader's record, and the time of that record;
    /// what they had spent before it is in `used`.
    unreported: FastMap<VmId, (Tokens, Duration)>,
    /// What is left of the pool after what VMs have reported, if the former leader's record is lost:
    /// any VM may have spent it.
    unrecorded: Tokens,
    /// The time from which `unreported` and `unrecorded` have expired.
    unreported_until: Duration,
    /// What is left of the reserve in the store's record.
    reserve: Tokens,
    /// The reserve of the next record.
    next_reserve: Tokens,
    /// Whether [`Self::next_record`] has made a record.
    proposed: bool,
    /// Whether a record of this pool is in the store.
    recorded: bool,
    /// The VMs that have reported to this leader.
    vms: FastMap<VmId, VmState>,
}

/// What the leader knows of a VM that has reported.
#[derive(Debug, Clone)]
struct VmState {
    life: Incarnation,
    spent: Tokens,
    returned: Tokens,
    ceiling: Tokens,
    /// The VM's demand in the last second, in tokens.
    wanted: Tokens,
    /// How far the ceiling may be raised under the record in the store.
    recorded_ceiling: Tokens,
    /// How far the ceiling may be raised once the next record is in the store.
    next_ceiling: Tokens,
    /// The time at which the ceiling expires.
    expires: Duration,
    expired: bool,
}

impl TokenPool {
    /// Creates a pool from a former leader's record, which was written `age` ago.
    ///
    /// `assigned` is the sum of the floors' weights, which lie outside the pool, in millionths.
    ///
    /// ```
    /// use bamboocourse_decide::{Limit, PoolRecord, TokenPool};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { rate: 100.0, burst: 100.0, window, excess: 0.0, slack: 0 };
    /// let mut pool = TokenPool::new(limit, 0, &PoolRecord::default(), Duration::ZERO, Duration::ZERO);
    /// assert_eq!(pool.charged(Duration::ZERO), 0);
    /// ```
    pub fn new(
        limit: Limit,
        assigned: u64,
        record: &PoolRecord,
        age: Duration,
        now: Duration,
    ) -> Self {
        let span = limit.window + REPORT_LAG;
        let part = limit.window / HISTORY_PARTS;
        let mut used = SlidingWindow::new(span);
        for (index, tokens) in record.used.iter().enumerate().rev() {
            // Counts each part from its end: tokens leave the window late rather than early.
            used.add(now.saturating_sub(age + part * index as u32), *tokens);
        }
        let recorded_at = now.saturating_sub(age);
        let mut unreported: FastMap<VmId, (Tokens, Duration)> = FastMap::default();
        for (vm, unheard) in &record.unheard {
            let at = recorded_at.saturating_sub(Duration::from_millis(unheard.age));
            unreported.insert(vm.clone(), (unheard.tokens, at));
        }
        if record.reserve > 0 {
            let entry = unreported.entry(ANY_VM.into()).or_insert((0, recorded_at));
            entry.0 += record.reserve;
        }
        for (vm, open) in &record.open {
            let (tokens, at) = unreported.get(vm).copied().unwrap_or((0, recorded_at));
            unreported.insert(vm.clone(), (tokens + open, at));
        }
        Self {
            size: limit.pool_tokens(assigned),
            ahead: run_ahead_seconds(assigned),
            span,
            part,
            used,
            unreported,
            unrecorded: 0,
            reserve: 0,
            next_reserve: 0,
            proposed: false,
            recorded: false,
            unreported_until: now + limit.ceiling_tail(),
            vms: FastMap::default(),
        }
    }

    /// Creates a pool without a former leader's record: the store has come back as an older copy.
    ///
    /// All of the pool may have been spent within the window. What VMs report takes the place of
    /// that, so the pool grants what they had spent as it leaves the window.
    ///
    /// ```
    /// use bamboocourse_decide::{Limit, TokenPool};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { rate: 100.0, burst: 100.0, window, excess: 0.0, slack: 0 };
    /// let mut pool = TokenPool::without_record(limit, 0, Duration::ZERO);
    /// assert_eq!(pool.charged(Duration::ZERO), 900);
    /// ```
    pub fn without_record(limit: Limit, assigned: u64, now: Duration) -> Self {
        let mut pool = Self::new(limit, assigned, &PoolRecord::default(), Duration::ZERO, now);
        pool.unrecorded = pool.size;
        pool
    }

    /// Sets the limit and the sum of the floors' weights.
    ///
    /// `assigned` is that sum in millionths; floors lie outside the pool.
    pub fn set_limit(&mut self, limit: Limit, assigned: u64) {
        self.size = limit.pool_tokens(assigned);
        self.ahead = run_ahead_seconds(assigned);
    }

    /// Returns the record that the store must have before ceilings are raised further.
    pub fn next_record(&mut self, now: Duration) -> PoolRecord {
        self.expire(now);
        let least = self.min_headroom();
        let mut open: BTreeMap<VmId, Tokens> = BTreeMap::new();
        let mut unheard = BTreeMap::new();
        if now < self.unreported_until {
            unheard.extend(self.unreported.iter().map(|(vm, (tokens, at))| {
                let age = now.saturating_sub(*at).as_millis() as u64 + 1;
                (vm.clone(), UnreportedSpend { tokens: *tokens, age })
            }));
            if self.unrecorded > 0 {
                let empty = UnreportedSpend { tokens: 0, age: 0 };
                unheard.entry(ANY_VM.into()).or_insert(empty).tokens += self.unrecorded;
            }
        }
        for (vm, state) in &mut self.vms {
            let headroom = (state.wanted as f64 * HEADROOM_SECONDS) as Tokens + least;
            state.next_ceiling = state.ceiling + if state.expired { 0 } else { headroom };
            open.insert(vm.clone(), state.next_ceiling - state.spent);
        }
        let vms = (self.vms.len() as u64).clamp(*RESERVE_VMS.start(), *RESERVE_VMS.end());
        let least_reserve = MIN_RESERVE_TOKENS.min(self.size / MIN_RESERVE_DIVISOR);
        self.next_reserve = (self.size * vms / VM_RESERVE_DIVISOR).max(least_reserve);
        self.proposed = true;
        let used = self.used.parts(self.part, HISTORY_PARTS, now);
        PoolRecord { used, open, reserve: self.next_reserve, unheard }
    }

    /// Allows ceilings to rise to the last record, once the store has it.
    pub fn on_recorded(&mut self) {
        if !self.proposed {
            return;
        }
        for state in self.vms.values_mut() {
            state.recorded_ceiling = state.next_ceiling;
        }
        self.reserve = self.next_reserve;
        self.recorded = true;
    }

    /// Raises no ceiling until [`Self::on_recorded`]: the store has lost the last record.
    pub fn on_record_lost(&mut self) {
        for state in self.vms.values_mut() {
            state.recorded_ceiling = state.ceiling;
            state.next_ceiling = state.ceiling;
        }
        self.reserve = 0;
        self.proposed = false;
        self.recorded = false;
    }

    /// Updates the pool with a VM's report and returns the VM's new ceiling.
    pub fn on_report(
        &mut self,
        vm: &VmId,
        life: Incarnation,
        report: &SpendReport,
        now: Duration,
    ) -> Ceiling {
        self.expire(now);
        self.update_vm(vm, life, report, now);
        let charged = self.charged(now);
        let room = self.size.saturating_sub(charged);
        let plenty = (room as f64 / (self.size as f64 * PLENTY_RATIO).max(1.0)).min(1.0);
        let ahead = SCARCE_RUN_AHEAD_SECONDS + (self.ahead - SCARCE_RUN_AHEAD_SECONDS) * plenty;
        let min_ahead =
            self.size / MIN_RUN_AHEAD_DIVISOR.max(TOTAL_RUN_AHEAD_DIVISOR * self.vms.len() as u64);
        let sharers = (self.vms.len() as u64).clamp(2, MAX_SHARERS);
        let Some(state) = self.vms.get_mut(vm) else {
            return Ceiling { tokens: 0, exhausted: true };
        };
        if report.is_final {
            state.ceiling = state.spent;
            state.expired = true;
            return Ceiling { tokens: state.ceiling, exhausted: true };
        }
        let least = if report.wanted > 0 { min_ahead } else { 0 };
        let need = ((report.wanted as f64 * ahead) as u64).max(least).max(report.waiting);
        let open = state.ceiling - state.spent;
        let need = need.saturating_sub(open);
        let recorded = state.recorded_ceiling.saturating_sub(state.ceiling);
        let granted = need.min(room / sharers).min(recorded + self.reserve);
        self.reserve -= granted.saturating_sub(recorded);
        state.recorded_ceiling = state.recorded_ceiling.max(state.ceiling + granted);
        state.ceiling += granted;
        state.expires = now + CEILING_TERM + CEILING_MARGIN;
        // If only the record limits the grant, more is granted once the next record is written.
        let scarce = granted < need && room / sharers <= granted;
        Ceiling { tokens: state.ceiling, exhausted: scarce && open + granted < least }
    }

    /// Returns how the tokens of the pool are used at a time.
    pub fn usage(&mut self, now: Duration) -> PoolUsage {
        let open = self.vms.values().map(|state| state.ceiling - state.spent).sum();
        let unreported = if now < self.unreported_until {
            self.unrecorded + self.unreported.values().map(|spend| spend.0).sum::<Tokens>()
        } else {
            0
        };
        PoolUsage { size: self.size, used: self.used.total(now), open, unreported }
    }

    /// Returns whether the store has a record of this pool, so that tokens may be granted.
    pub fn recorded(&self) -> bool {
        self.recorded
    }

    /// Returns whether a VM's ceiling is held back by the record alone, or soon will be.
    pub fn wants_record(&self) -> bool {
        let least = self.min_headroom() / 2;
        let is_near_limit = |state: &VmState| {
            !state.expired && state.recorded_ceiling.saturating_sub(state.ceiling) < least
        };
        self.reserve * 2 < self.next_reserve || self.vms.values().any(is_near_limit)
    }

    /// Returns the tokens that may have been spent within the window, or may be at any moment.
    pub fn charged(&mut self, now: Duration) -> Tokens {
        let PoolUsage { used, open, unreported, .. } = self.usage(now);
        used + open + unreported
    }

    /// Returns the least that each VM's ceiling may rise between two records.
    fn min_headroom(&self) -> Tokens {
        self.size / MIN_HEADROOM_DIVISOR.max(TOTAL_HEADROOM_DIVISOR * self.vms.len() as u64)
    }

    /// Updates the state of a VM with its report.
    fn update_vm(&mut self, vm: &VmId, life: Incarnation, report: &SpendReport, now: Duration) {
        let known = self.vms.get(vm).is_some_and(|state| state.life == life);
        if !known {
            if let Some(former) = self.vms.remove(vm) {
                // The former process has ended; what it may have spent counts from now.
                self.used.add(now, former.ceiling - former.spent);
            } else {
                self.settle_unreported(vm, report, now);
                self.settle_unrecorded(report, now);
            }
            let ceiling = report.ceiling.max(report.spent);
            let state = VmState {
                life,
                spent: report.spent,
                returned: report.returned,
                ceiling,
                wanted: report.wanted,
                recorded_ceiling: ceiling,
                next_ceiling: ceiling,
                expires: now + CEILING_TERM,
                expired: false,
            };
            self.vms.insert(vm.clone(), state);
            return;
        }
        let Some(state) = self.vms.get_mut(vm) else { return };
        state.wanted = report.wanted;
        if state.expired {
            // The open part of the expired ceiling was counted as spent; the new ceiling starts
            // from what the VM reports.
            state.spent = report.spent;
            state.returned = report.returned;
            state.ceiling = report.spent;
            state.recorded_ceiling = state.recorded_ceiling.max(report.spent);
            state.expired = false;
        }
        let new_spend = report.spent.saturating_sub(state.spent);
        let returned = report.returned.saturating_sub(state.returned);
        self.used.add(now, new_spend.saturating_sub(returned));
        state.returned = report.returned;
        state.spent = state.spent.max(report.spent);
        state.ceiling = state.ceiling.max(report.spent);
        state.recorded_ceiling = state.recorded_ceiling.max(state.ceiling);
    }

    /// Replaces what a VM may have spent since a former leader's record by what it reports.
    fn settle_unreported(&mut self, vm: &VmId, report: &SpendReport, now: Duration) {
        let Some((tokens, recorded_at)) = self.unreported.remove(vm) else { return };
        let since = now.saturating_sub(report.grant_age);
        if report.recent.is_empty() || since + REPORT_LAG > recorded_at {
            // The record is about the VM's former process, which by now has spent all that it
            // could.
            self.used.add(now, tokens);
        }
        for (index, tokens) in report.recent.iter().enumerate() {
            let end = now.saturating_sub(self.part * index as u32);
            if end >= recorded_at {
                self.used.add(now, *tokens);
            }
        }
    }

    /// Replaces what any VM may have spent by what a VM reports.
    fn settle_unrecorded(&mut self, report: &SpendReport, now: Duration) {
        if self.unrecorded == 0 || now >= self.unreported_until {
            return;
        }
        for (index, tokens) in report.recent.iter().enumerate() {
            self.used.insert(now.saturating_sub(self.part * index as u32), *tokens);
        }
        let open = report.ceiling.saturating_sub(report.spent);
        let heard = report.recent.iter().sum::<Tokens>() + open;
        self.unrecorded = self.unrecorded.saturating_sub(heard);
    }

    /// Counts the expired ceilings of silent VMs as spent.
    fn expire(&mut self, now: Duration) {
        for state in self.vms.values_mut() {
            if now >= state.expires && !state.expired {
                self.used.add(now, state.ceiling - state.spent);
                state.spent = state.ceiling;
                state.expired = true;
            }
        }
        let retention = self.span;
        self.vms.retain(|_, state| now < state.expires + retention);
    }
}

/// Returns how many seconds of its demand a VM's ceiling runs ahead, given the floors' weights.
fn run_ahead_seconds(assigned: u64) -> f64 {
    if assigned >= MIN_FLOORS_PPM { FLOORS_RUN_AHEAD_SECONDS } else { RUN_AHEAD_SECONDS }
}
