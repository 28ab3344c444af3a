//! Renews this VM's shares in the platform's table and selects the VMs that it borrows tokens from.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    CommitOutcome, DomainId, FastMap, ModelId, PoolRow, Revision, ShareCommit, ShareKeeper,
    ShareRow, ShareSnapshot, VmId, Weight, WorkspaceId, home_count, home_vms, lender_order,
    target_weight,
};
use serde::{Deserialize, Serialize};

use crate::edge::{Commit, PlatformError, RowCheck, RowWrite};
use crate::process::vm::AppState;
use crate::version::publishing::{decode_json, read_row};

/// The key prefix of the VMs' shares, one row for each VM.
pub(crate) const SHARE_PREFIX: &str = "limits/vm/";
/// The key prefix of the pools of unassigned weight, one row for each workspace.
pub(crate) const POOL_PREFIX: &str = "limits/pool/";
/// The key prefix of the domains' demand, one row for each domain.
pub(crate) const DEMAND_PREFIX: &str = "limits/demand/";

/// How often the shares are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often the demand of all domains is read.
const DEMAND_INTERVAL: Duration = Duration::from_secs(30);
/// How long after its start a new VM reads the list of VMs by which it takes its first weights, so
/// that VMs that start at the same time leave each other their parts.
pub(crate) const START_DELAY: Duration = Duration::from_secs(2);

/// The stored demand of a domain, which its leader writes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DemandRow {
    /// The tokens a second that callers request, by workspace.
    pub(crate) tokens: FastMap<WorkspaceId, u64>,
    /// The requests a minute, by model.
    #[serde(default)]
    pub(crate) models: FastMap<ModelId, u64>,
}

/// Renews this VM's shares until the process ends.
pub(crate) async fn run(shared: Arc<AppState>) {
    let settings = &shared.settings;
    let mut shares = ShareKeeper::new(settings.domain.clone(), shared.life, Duration::ZERO);
    let mut demand = FastMap::default();
    let mut read_at: Option<Duration> = None;
    let mut made_due = false;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let now = shared.now();
        if read_at.is_none_or(|at| now >= at + DEMAND_INTERVAL)
            && let Ok(rows) = read_demand(&shared).await
        {
            demand = rows;
            read_at = Some(now);
        }
        // Asked before the targets are computed from the list.
        let settled = shared.peers.is_list_settled() && shared.config().is_some();
        let targets = targets(&shared, &demand);
        set_lenders(&shared);
        if shared.is_draining() && !made_due {
            made_due = true;
            shares.make_due(now);
        }
        if settled {
            step(&shared, &mut shares, &targets).await;
        }
        let empty = shared.limits.status(now).iter().all(|account| account.weight == 0);
        if shared.is_draining() && empty {
            // `notify_one` also reaches a drain that starts to wait only later.
            shared.shares_returned.notify_waiters();
            shared.shares_returned.notify_one();
        }
    }
}

/// Reads, plans and commits this VM's shares, as far as that is due, and applies the changes.
async fn step(
    shared: &AppState,
    shares: &mut ShareKeeper,
    targets: &FastMap<WorkspaceId, (Weight, u64)>,
) {
    let now = shared.now();
    if shares.wants_read(now) {
        match read_snapshot(shared).await {
            Ok(snapshot) => shares.on_read(snapshot),
            Err(_) => shares.on_read_failed(now),
        }
    }
    let limits = &shared.limits;
    let lower = |name: &WorkspaceId, weight| limits.lower_weight(name, weight, now);
    let Some(commit) = shares.plan(targets, lower, now) else { return };
    let outcome = match shared.platform.commit(to_transaction(shared, &commit)).await {
        Ok(reply) if reply.committed => CommitOutcome::Committed(reply.revision),
        Ok(_) => CommitOutcome::Conflict,
        Err(PlatformError::Unreachable(_) | PlatformError::Refused(_)) => CommitOutcome::Conflict,
        Err(_) => CommitOutcome::Unknown,
    };
    for change in shares.on_outcome(outcome, shared.now()) {
        shared.limits.apply_change(&change, shared.now());
    }
}

fn to_transaction(shared: &AppState, commit: &ShareCommit) -> Commit {
    let key = format!("{SHARE_PREFIX}{}", shared.settings.vm);
    let (revision, row) = &commit.row;
    let mut transaction = Commit::default().replace(&key, *revision, encode_json(row));
    for (name, (revision, pool)) in &commit.pools {
        let key = format!("{POOL_PREFIX}{name}");
        transaction.checks.push(RowCheck { key: key.clone(), revision: *revision });
        transaction.writes.push(RowWrite { key, value: encode_json(pool) });
    }
    transaction
}

/// Returns a row's value as JSON text; `None`, which deletes the row, if it cannot be encoded.
pub(crate) fn encode_json<T: Serialize>(value: &T) -> Option<String> {
    serde_json::to_string(value).ok()
}

async fn read_snapshot(shared: &AppState) -> Result<ShareSnapshot, PlatformError> {
    let key = format!("{SHARE_PREFIX}{}", shared.settings.vm);
    let row = read_row::<ShareRow>(shared.platform.as_ref(), &key).await?;
    Ok(ShareSnapshot { row, pools: read_pools(shared).await? })
}

/// Reads the pools of all workspaces with their revisions.
pub(crate) async fn read_pools(
    shared: &AppState,
) -> Result<FastMap<WorkspaceId, (Revision, PoolRow)>, PlatformError> {
    let mut pools = FastMap::default();
    for row in shared.platform.rows(POOL_PREFIX).await? {
        let Some(name) = row.key.strip_prefix(POOL_PREFIX) else { continue };
        pools.insert(WorkspaceId::from(name), (row.revision, decode_json(&row.value)?));
    }
    Ok(pools)
}

/// Reads the demand of every domain.
pub(crate) async fn read_demand(
    shared: &AppState,
) -> Result<FastMap<DomainId, DemandRow>, PlatformError> {
    let mut demand = FastMap::default();
    for row in shared.platform.rows(DEMAND_PREFIX).await? {
        let Some(name) = row.key.strip_prefix(DEMAND_PREFIX) else { continue };
        demand.insert(DomainId::from(name), decode_json(&row.value)?);
    }
    Ok(demand)
}

/// Returns the weight that this VM should hold of each workspace, and the workspace's burst.
fn targets(
    shared: &AppState,
    demand: &FastMap<DomainId, DemandRow>,
) -> FastMap<WorkspaceId, (Weight, u64)> {
    let mut targets = FastMap::default();
    let Some(config) = shared.config() else { return targets };
    let domains = shared.peers.domains();
    let serving = shared.members().serving(shared.now());
    for (name, workspace) in &config.config.workspaces {
        let tokens = |domain: &DomainId| {
            demand.get(domain).and_then(|row| row.tokens.get(name)).copied().unwrap_or(0) as f64
        };
        let demands: Vec<_> = domains.keys().map(|d| (d.clone(), tokens(d))).collect();
        let serving: &[VmId] = if shared.is_draining() { &[] } else { &serving };
        let homes = home_vms(name, serving, home_count(workspace.rate, domains.len()));
        let weight = target_weight(&shared.settings.vm, &shared.settings.domain, &homes, &demands);
        targets.insert(name.clone(), (weight, workspace.burst));
    }
    targets
}

/// Sets the VMs that this one borrows each workspace's tokens from.
fn set_lenders(shared: &AppState) {
    let Some(config) = shared.config() else { return };
    let domains = shared.peers.domains();
    let serving = shared.members().serving(shared.now());
    for (name, workspace) in &config.config.workspaces {
        let count = home_count(workspace.rate, domains.len());
        shared.limits.set_lenders(name, lenders(shared, name, count, &serving, &domains));
    }
}

/// Returns the VMs that this one borrows a workspace's tokens from, nearest first.
fn lenders(
    shared: &AppState,
    workspace: &WorkspaceId,
    count: usize,
    serving: &[VmId],
    domains: &std::collections::BTreeMap<DomainId, Vec<VmId>>,
) -> Vec<VmId> {
    let others = domains.iter().filter(|(domain, _)| **domain != shared.settings.domain);
    let remote = others.flat_map(|(_, vms)| home_vms(workspace, vms, count)).collect();
    lender_order(&shared.settings.vm, home_vms(workspace, serving, count), remote)
}
