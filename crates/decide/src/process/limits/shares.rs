//! Moves weights between a VM's row and the workspaces' pools in the platform's table.
//!
//! A VM's row is written by the VM itself, except when it is reclaimed. Every commit checks the
//! revision of all rows that it writes. A commit whose reply was lost may still take effect later;
//! until a newer commit of the same row has succeeded, the VM counts with the smaller weight of
//! both outcomes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, Incarnation, VmId, WorkspaceId};
use crate::map::FastMap;
use crate::process::limits::{
    FULL_WEIGHT, LOAN_MARGIN, LOAN_TERM, MicroTokens, SHARE_WINDOW, Weight,
};

/// The revision of a row in the table; 0 if the row is absent.
pub type Revision = u64;

/// How often a VM renews its row.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// How long the keeper waits after a failed read or commit.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest change of weight that is worth a commit, in millionths.
const MIN_WEIGHT_CHANGE: Weight = FULL_WEIGHT / 50;

/// The row of one VM's weights in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The VM's failure domain.
    pub domain: DomainId,
    /// The process instance that wrote the row.
    pub life: Incarnation,
    /// The number of the commit that wrote the row, within the process instance.
    pub commit: u64,
    /// The weights by workspace.
    pub weights: BTreeMap<WorkspaceId, Weight>,
}

/// The row of the weight of one workspace that no VM holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The weight, in millionths.
    pub weight: Weight,
    /// The tokens that go with the weight, in millionths.
    pub tokens: MicroTokens,
}

/// A commit of a VM's row and the pools that it changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareCommit {
    /// The number of the commit.
    pub number: u64,
    /// The new row and the revision that it replaces.
    pub row: (Revision, ShareRow),
    /// The new pools and the revisions that they replace.
    pub pools: BTreeMap<WorkspaceId, (Revision, PoolRow)>,
}

/// The outcome of a commit; `R` says how the store numbers its rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome<R = Revision> {
    /// The commit took effect with this revision.
    Committed(R),
    /// A row had another revision than the commit expected.
    Conflict,
    /// No reply came, so the commit may have taken effect or may still do so.
    Unknown,
}

/// The rows that a VM has read from the table.
#[derive(Debug, Clone, Default)]
pub struct ShareSnapshot {
    /// The VM's own row; `None` if the table has none.
    pub row: Option<(Revision, ShareRow)>,
    /// The pools by workspace.
    pub pools: FastMap<WorkspaceId, (Revision, PoolRow)>,
}

/// A change of a VM's weight that its account must follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightChange {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The weight from now on, in millionths.
    pub weight: Weight,
    /// The tokens that come with the change, in millionths.
    pub tokens: MicroTokens,
    /// The time until which the weight may be used.
    pub valid: Duration,
    /// Whether the VM had lost its row, so that its tokens from former weights are void.
    pub reset: bool,
}

/// The keeper of one VM's row.
#[derive(Debug)]
pub struct ShareKeeper {
    domain: DomainId,
    life: Incarnation,
    started: Duration,
    commits: u64,
    snapshot: Option<ShareSnapshot>,
    pending: Option<PendingCommit>,
    /// The time of the next read and commit.
    due: Duration,
}

#[derive(Debug)]
struct PendingCommit {
    commit: ShareCommit,
    sent: Duration,
    /// By workspace, the tokens that come with a larger weight.
    gains: FastMap<WorkspaceId, MicroTokens>,
    reset: bool,
}

impl ShareKeeper {
    /// Creates the keeper for a process instance that started at a time.
    ///
    /// ```
    /// use bamboocourse_decide::ShareKeeper;
    /// use std::time::Duration;
    /// let shares = ShareKeeper::new("konya-a".into(), 7, Duration::ZERO);
    /// assert!(shares.wants_read(Duration::ZERO));
    /// ```
    pub fn new(domain: DomainId, life: Incarnation, started: Duration) -> Self {
        Self { domain, life, started, commits: 0, snapshot: None, pending: None, due: started }
    }

    /// Returns whether the table must be read before anything else.
    pub fn wants_read(&self, now: Duration) -> bool {
        self.snapshot.is_none() && self.pending.is_none() && now >= self.due
    }

    /// Keeps the rows that were read, for the next commit.
    pub fn on_read(&mut self, snapshot: ShareSnapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Delays the next read, as the table could not be read.
    pub fn on_read_failed(&mut self, now: Duration) {
        self.due = now + RETRY_INTERVAL;
    }

    /// Returns the next commit towards the target weights, if one is due.
    ///
    /// `targets` holds by workspace the target weight and the burst, in tokens. `lower` reduces a
    /// weight on this VM at once and returns the tokens that leave with it.
    pub fn plan(
        &mut self,
        targets: &FastMap<WorkspaceId, (Weight, u64)>,
        mut lower: impl FnMut(&WorkspaceId, Weight) -> MicroTokens,
        now: Duration,
    ) -> Option<ShareCommit> {
        let snapshot = self.snapshot.as_ref()?;
        if self.pending.is_some() || now < self.due {
            return None;
        }
        let (revision, row) = self.base_row(snapshot, now)?;
        let reset = snapshot.row.is_none();
        let mut weights = row.weights.clone();
        let mut pools = BTreeMap::new();
        let mut gains = FastMap::default();
        let dropped = row.weights.keys().filter(|name| !targets.contains_key(*name));
        let dropped: Vec<WorkspaceId> = dropped.cloned().collect();
        let wanted = targets.iter().map(|(name, (weight, burst))| (name, *weight, *burst));
        for (name, target, burst) in wanted.chain(dropped.iter().map(|name| (name, 0, 0))) {
            let current = weights.get(name).copied().unwrap_or(0);
            if current.abs_diff(target) < MIN_WEIGHT_CHANGE.min(target.max(1)) {
                continue;
            }
            let full = PoolRow { weight: FULL_WEIGHT, tokens: super::to_micro_tokens(burst) };
            let (pool_revision, mut pool) = snapshot.pools.get(name).cloned().unwrap_or((0, full));
            let weight = if target > current {
                let taken = (target - current).min(pool.weight);
                if taken == 0 {
                    continue;
                }
                let part = u128::from(taken) * pool.tokens.max(0) as u128 / u128::from(pool.weight);
                pool.weight -= taken;
                pool.tokens -= part as MicroTokens;
                gains.insert(name.clone(), part as MicroTokens);
                current + taken
            } else {
                pool.weight += current - target;
                pool.tokens += lower(name, target);
                target
            };
            weights.insert(name.clone(), weight);
            pools.insert(name.clone(), (pool_revision, pool));
        }
        weights.retain(|_, weight| *weight > 0);
        self.commits += 1;
        let row = ShareRow {
            domain: self.domain.clone(),
            life: self.life,
            commit: self.commits,
            weights,
        };
        let commit = ShareCommit { number: self.commits, row: (revision, row), pools };
        self.pending = Some(PendingCommit { commit: commit.clone(), sent: now, gains, reset });
        self.snapshot = None;
        Some(commit)
    }

    /// Applies the outcome of the commit, and returns the changes that the accounts must follow.
    pub fn on_outcome(&mut self, outcome: CommitOutcome, now: Duration) -> Vec<WeightChange> {
        let Some(pending) = self.pending.take() else { return Vec::new() };
        let CommitOutcome::Committed(_) = outcome else {
            self.due = now + RETRY_INTERVAL;
            return Vec::new();
        };
        let row = pending.commit.row.1;
        let valid = pending.sent + SHARE_WINDOW;
        let gain = |name: &WorkspaceId| pending.gains.get(name).copied().unwrap_or(0);
        let changes = row
            .weights
            .iter()
            .map(|(name, weight)| WeightChange {
                workspace: name.clone(),
                weight: *weight,
                tokens: gain(name),
                valid,
                reset: pending.reset,
            })
            .collect();
        self.due = now + RENEW_INTERVAL;
        changes
    }

    /// Makes the next commit due at once.
    pub fn make_due(&mut self, now: Duration) {
        self.due = self.due.min(now);
    }

    /// Returns the row to build on, with its revision: the stored row or, if there is none, an
    /// empty row. Returns `None` while loans of a former process instance may still be open.
    fn base_row(&self, snapshot: &ShareSnapshot, now: Duration) -> Option<(Revision, ShareRow)> {
        let Some((revision, row)) = &snapshot.row else {
            let weights = BTreeMap::new();
            let row = ShareRow { domain: self.domain.clone(), life: self.life, commit: 0, weights };
            return Some((0, row));
        };
        let from_former_life = row.life != self.life;
        if from_former_life && now < self.started + LOAN_TERM + LOAN_MARGIN {
            return None;
        }
        Some((*revision, row.clone()))
    }
}

/// Decides which VMs' rows may be reclaimed.
#[derive(Debug, Default)]
pub struct Reclaimer {
    seen: FastMap<VmId, RowHistory>,
}

/// What a reclaimer knows of one row from all observations.
#[derive(Debug)]
struct RowHistory {
    revision: Revision,
    changed_at: Duration,
    /// Whether the platform has ever listed the VM.
    listed: bool,
    /// Since when the platform has not listed the VM, while its domain writes to the table.
    absent_since: Option<Duration>,
}

/// One observation of one row.
#[derive(Debug, Clone)]
pub struct ObservedRow {
    /// The VM whose row it is.
    pub vm: VmId,
    /// The row's revision.
    pub revision: Revision,
    /// Whether the platform lists the VM.
    pub listed: bool,
    /// Whether another VM of its domain has renewed its row recently.
    pub domain_active: bool,
}

impl Reclaimer {
    /// Updates the history of all rows, and returns the VMs whose rows are proven to be unused.
    ///
    /// A row is proven unused either when its window has expired, or when the platform had listed
    /// the VM and has stopped listing it while the VM's domain still writes to the table.
    pub fn observe(&mut self, rows: &[ObservedRow], now: Duration) -> Vec<VmId> {
        self.seen.retain(|vm, _| rows.iter().any(|row| row.vm == *vm));
        rows.iter().filter(|row| self.is_unused(row, now)).map(|row| row.vm.clone()).collect()
    }

    /// Updates the history of a row; returns whether the row is proven to be unused.
    fn is_unused(&mut self, row: &ObservedRow, now: Duration) -> bool {
        let seen = self.seen.entry(row.vm.clone()).or_insert(RowHistory {
            revision: row.revision,
            changed_at: now,
            listed: row.listed,
            absent_since: None,
        });
        if seen.revision != row.revision {
            seen.revision = row.revision;
            seen.changed_at = now;
            seen.absent_since = None;
        }
        seen.listed |= row.listed;
        if row.listed || !row.domain_active {
            seen.absent_since = None;
        } else if seen.listed {
            seen.absent_since.get_or_insert(now);
        }
        let expired = now >= seen.changed_at + SHARE_WINDOW + super::RECLAIM_MARGIN;
        let loan_time = LOAN_TERM + LOAN_MARGIN;
        expired || seen.absent_since.is_some_and(|since| now >= since + loan_time)
    }
}

/// Returns the pools with the weights of a reclaimed row added; the row's tokens are lost.
///
/// Returns `None` if the pool of a workspace is missing.
pub fn reclaim(
    row: &ShareRow,
    pools: &FastMap<WorkspaceId, (Revision, PoolRow)>,
) -> Option<BTreeMap<WorkspaceId, (Revision, PoolRow)>> {
    row.weights
        .iter()
        .map(|(name, weight)| {
            let (revision, pool) = pools.get(name)?;
            let pool = PoolRow { weight: pool.weight + weight, tokens: pool.tokens };
            Some((name.clone(), (*revision, pool)))
        })
        .collect()
}
