//! Chooses the VMs that hold a workspace's weights, its home VMs.

use crate::ids::{DomainId, Tokens, VmId, WorkspaceId};
use crate::map::{FastMap, rendezvous_score};
use crate::process::limits::{FULL_WEIGHT, Weight};

/// The number of home VMs of a workspace in each domain, unless the workspace's rate needs more;
/// also the number of relays of a domain.
pub const DEFAULT_HOMES: usize = 2;

/// The part of a workspace's rate that one home VM serves, in tokens per second.
const HOME_TOKENS_PER_SECOND: Tokens = 5_000;

/// The weight that is divided evenly between domains, in millionths; the rest follows the demand.
const EVEN_WEIGHT: Weight = FULL_WEIGHT / 4;

/// Returns how many home VMs a workspace has in each domain.
///
/// A large workspace has more, so that none of them gets too many loan requests; a small workspace
/// has few, so that its burst is not divided into parts that hold no request. `rate` is in tokens
/// per second.
///
/// ```
/// use bamboocourse_decide::home_count;
/// assert_eq!(home_count(8_000, 3), 2);
/// assert_eq!(home_count(400_000, 8), 10);
/// ```
pub fn home_count(rate: Tokens, domains: usize) -> usize {
    let part = rate / (domains.max(1) as Tokens) / HOME_TOKENS_PER_SECOND;
    (part as usize).max(DEFAULT_HOMES)
}

/// Returns at most `count` home VMs of a workspace among the VMs of one domain, best first.
///
/// ```
/// use bamboocourse_decide::home_vms;
/// let vms = ["a".into(), "b".into(), "c".into()];
/// assert_eq!(home_vms(&"desk".into(), &vms, 2).len(), 2);
/// ```
pub fn home_vms(workspace: &WorkspaceId, vms: &[VmId], count: usize) -> Vec<VmId> {
    let mut scored: Vec<(u64, &VmId)> =
        vms.iter().map(|vm| (rendezvous_score(workspace, vm), vm)).collect();
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().take(count).map(|(_, vm)| vm.clone()).collect()
}

/// Divides the full weight between domains: a quarter evenly, the rest by demand.
///
/// `demand` holds the tokens per second that each domain is asked for.
///
/// ```
/// use bamboocourse_decide::domain_weights;
/// let weights = domain_weights(&[("a".into(), 30.0), ("b".into(), 10.0)]);
/// assert_eq!(weights["a"], 687_500);
/// ```
pub fn domain_weights(demand: &[(DomainId, f64)]) -> FastMap<DomainId, Weight> {
    let total: f64 = demand.iter().map(|(_, tokens)| tokens).sum();
    let count = demand.len().max(1) as Weight;
    let even = if total > 0.0 { EVEN_WEIGHT / count } else { FULL_WEIGHT / count };
    let by_demand = if total > 0.0 { FULL_WEIGHT - EVEN_WEIGHT } else { 0 };
    let weight = |tokens: f64| even + (f64::from(by_demand) * tokens / total.max(1e-9)) as Weight;
    demand.iter().map(|(domain, tokens)| (domain.clone(), weight(*tokens))).collect()
}

/// Returns the weight that a VM should hold of a workspace.
///
/// `homes` are the home VMs of its domain, `demand` the tokens per second that each domain is asked
/// for.
///
/// ```
/// use bamboocourse_decide::{FULL_WEIGHT, target_weight};
/// let (vm, domain) = ("a".into(), "d".into());
/// let homes = ["a".into()];
/// assert_eq!(target_weight(&vm, &domain, &homes, &[("d".into(), 0.0)]), FULL_WEIGHT);
/// ```
pub fn target_weight(
    own: &VmId,
    domain: &DomainId,
    homes: &[VmId],
    demand: &[(DomainId, f64)],
) -> Weight {
    if !homes.contains(own) {
        return 0;
    }
    let domain_weight = domain_weights(demand).get(domain).copied().unwrap_or(0);
    domain_weight.min(FULL_WEIGHT) / homes.len() as Weight
}

/// Returns the VMs to borrow from: first `local`, the VMs of the VM's own domain, then `remote`,
/// those of other domains, each group in an order that differs from VM to VM.
///
/// ```
/// use bamboocourse_decide::lender_order;
/// let order = lender_order(&"a".into(), vec!["a".into(), "b".into()], vec!["c".into()]);
/// assert_eq!(order, ["b", "c"]);
/// ```
pub fn lender_order(own: &VmId, mut local: Vec<VmId>, mut remote: Vec<VmId>) -> Vec<VmId> {
    local.sort_by_key(|vm| rendezvous_score(own, vm));
    remote.sort_by_key(|vm| rendezvous_score(own, vm));
    local.extend(remote);
    local.retain(|vm| vm != own);
    local
}
