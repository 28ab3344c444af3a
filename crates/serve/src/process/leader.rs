//! The leader of a failure domain: placement, the shares of dead VMs, and the domain's rows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    CommitOutcome, CompiledConfig, DomainId, DomainPlanner, EndpointId, FastMap, FastSet, Fence,
    Forecast, HostView, Item, LEASE_RENEW_INTERVAL, Lease, LeaseEvent, LeaseRow, ModelId,
    ObservedRow, Order, PlacementItem, PlanStep, Reclaimer, ServiceId, ServiceKind, ShareRow,
    StorePosition, VmId, reclaim, rendezvous_score,
};
use log::info;

use crate::edge::Commit;
use crate::process::decisions::unix_millis;
use crate::process::ledger_store::LedgerStore;
use crate::process::routers::ServiceRouter;
use crate::process::shares::{
    DEMAND_PREFIX, DemandRow, POOL_PREFIX, SHARE_PREFIX, encode_json, read_demand, read_pools,
};
use crate::process::vm::AppState;
use crate::version::publishing::{DOMAIN_PREFIX, DomainState, decode_json, read_row};

/// How often the lease is checked and the leader's work that is due is done.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often placement is planned.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// How often the rows of the domain's VMs are checked for dead VMs.
const RECLAIM_INTERVAL: Duration = Duration::from_secs(5);
/// How often the domain's state is written when it has not changed.
const STATE_INTERVAL: Duration = Duration::from_secs(5);
/// How often the domain's demand is written and that of all domains is read.
const DEMAND_INTERVAL: Duration = Duration::from_secs(15);
/// How recently another VM of the domain must have renewed its row for a missing VM to count as
/// dead.
const MAX_RENEWAL_AGE: Duration = Duration::from_secs(30);
/// How long a new leader waits before its first load from the weight store.
const FIRST_LOAD_DELAY: Duration = Duration::from_secs(2);
/// The average time that a request is assumed to run; it turns a request rate into a number of
/// running requests.
const REQUEST_TIME: Duration = Duration::from_secs(3);

/// Acquires and renews the domain's lease, and leads the domain while this VM holds it.
pub(crate) async fn run(shared: Arc<AppState>) {
    let key = format!("lease/{}", shared.settings.domain);
    let mut lease = Lease::new(shared.settings.vm.clone(), shared.life);
    let mut state: Option<LeaderState> = None;
    let mut next_renewal = Duration::ZERO;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let now = shared.now();
        if shared.is_draining() {
            if let Some(proposal) = lease.handle(LeaseEvent::Release) {
                let commit = Commit::default().replace(
                    &key,
                    proposal.position.version,
                    encode_json(&proposal.row),
                );
                let _ = shared.platform.commit(commit).await;
            }
            shared.set_lease_term(None);
            return;
        }
        lease.handle(LeaseEvent::Tick(now));
        if now >= next_renewal {
            next_renewal = now + LEASE_RENEW_INTERVAL;
            renew(&shared, &key, &mut lease).await;
        }
        shared.set_lease_term(lease.term());
        let Some(fence) = shared.leading_fence() else {
            state = None;
            continue;
        };
        if state.as_ref().is_none_or(|state| state.fence != fence) {
            info!(vm = shared.settings.vm.as_str(), fence = fence; "leads its domain");
            state = Some(LeaderState::new(fence, shared.now()));
        }
        if let Some(state) = &mut state {
            state.step(&shared).await;
        }
    }
}

/// Reads the lease's row and commits what the lease proposes.
async fn renew(shared: &AppState, key: &str, lease: &mut Lease) {
    let read = read_row::<LeaseRow>(shared.platform.as_ref(), key).await;
    let Ok(row) = read else { return };
    let now = shared.now();
    let (revision, row) = row.map_or((0, None), |(revision, row)| (revision, Some(row)));
    // The table is never restored from a copy, so all its revisions are of one era.
    let position = StorePosition::new(0, revision);
    let Some(proposal) = lease.handle(LeaseEvent::Read(position, row, now)) else { return };
    let commit =
        Commit::default().replace(key, proposal.position.version, encode_json(&proposal.row));
    let outcome = match shared.platform.commit(commit).await {
        Ok(reply) if reply.committed => {
            CommitOutcome::Committed(StorePosition::new(0, reply.revision))
        }
        Ok(_) => CommitOutcome::Conflict,
        Err(_) => CommitOutcome::Unknown,
    };
    lease.handle(LeaseEvent::Settled(proposal.row.fence, outcome, shared.now()));
}

/// The state of a VM that leads its domain.
struct LeaderState {
    fence: Fence,
    ledgers: FastMap<EndpointId, Arc<LedgerStore>>,
    forecasts: FastMap<ModelId, Forecast>,
    reclaimer: Reclaimer,
    /// The last revision of each VM's share row, and when that revision was first seen.
    renewals: FastMap<VmId, (u64, Duration)>,
    reclaimed_at: Duration,
    /// The last written state of the domain, and when it was written.
    written: (Duration, DomainState),
    demand_at: Duration,
    demands: FastMap<DomainId, DemandRow>,
    planned_at: Duration,
    load_pace: LoadPace,
    planners: FastMap<ServiceId, DomainPlanner>,
}

/// Spaces this domain's model loads, so that it keeps to its part of the weight store's rate limit.
///
/// A new leader waits before its first load, because the former leader may have just started one.
#[derive(Debug)]
struct LoadPace {
    /// When the next model load may start.
    next: Duration,
}

impl LeaderState {
    fn new(fence: Fence, now: Duration) -> Self {
        Self {
            fence,
            ledgers: FastMap::default(),
            forecasts: FastMap::default(),
            reclaimer: Reclaimer::default(),
            renewals: FastMap::default(),
            reclaimed_at: Duration::ZERO,
            written: (Duration::ZERO, DomainState::default()),
            demand_at: Duration::ZERO,
            demands: FastMap::default(),
            planned_at: Duration::ZERO,
            load_pace: LoadPace { next: now + FIRST_LOAD_DELAY },
            planners: FastMap::default(),
        }
    }

    /// Does the leader's work that is due.
    async fn step(&mut self, shared: &Arc<AppState>) {
        let now = shared.now();
        self.write_state(shared).await;
        if now >= self.demand_at + DEMAND_INTERVAL {
            self.demand_at = now;
            write_demand(shared).await;
            if let Ok(demands) = read_demand(shared).await {
                self.demands = demands;
            }
        }
        if now >= self.reclaimed_at + RECLAIM_INTERVAL {
            self.reclaimed_at = now;
            self.reclaim(shared).await;
        }
        if now >= self.planned_at + PLAN_INTERVAL {
            self.planned_at = now;
            self.update_forecasts(shared);
            self.plan_placement(shared).await;
        }
    }

    /// Writes the active version of each live VM, after a change and every [`STATE_INTERVAL`].
    async fn write_state(&mut self, shared: &AppState) {
        let now = shared.now();
        let vms: BTreeMap<VmId, u64> = {
            let members = shared.members();
            members.alive(now).map(|member| (member.vm.clone(), member.version)).collect()
        };
        if vms == self.written.1.vms && now < self.written.0 + STATE_INTERVAL {
            return;
        }
        let state = DomainState { vms, at: unix_millis() };
        let key = format!("{DOMAIN_PREFIX}{}", shared.settings.domain);
        let mut commit = Commit::default();
        commit.writes.push(crate::edge::RowWrite { key, value: encode_json(&state) });
        if shared.platform.commit(commit).await.is_ok() {
            self.written = (now, state);
        }
    }

    /// Moves the weights of VMs that are proven dead back to the workspaces' pools.
    async fn reclaim(&mut self, shared: &AppState) {
        let Ok(rows) = shared.platform.rows(SHARE_PREFIX).await else { return };
        let now = shared.now();
        let listed = shared.peers.listed();
        let mut shares: FastMap<VmId, (u64, ShareRow)> = FastMap::default();
        for row in rows {
            let Some(name) = row.key.strip_prefix(SHARE_PREFIX) else { continue };
            let Ok(share) = decode_json::<ShareRow>(&row.value) else { continue };
            if share.domain == shared.settings.domain {
                let renewal = self.renewals.entry(name.into()).or_insert((row.revision, now));
                if renewal.0 != row.revision {
                    *renewal = (row.revision, now);
                }
                shares.insert(name.into(), (row.revision, share));
            }
        }
        let is_domain_active = |vm: &VmId| {
            self.renewals.iter().any(|(other, (_, at))| other != vm && now < *at + MAX_RENEWAL_AGE)
        };
        let observed: Vec<ObservedRow> = shares
            .iter()
            .map(|(vm, (revision, _))| ObservedRow {
                vm: vm.clone(),
                revision: *revision,
                listed: listed.contains_key(vm),
                domain_active: is_domain_active(vm),
            })
            .collect();
        for vm in self.reclaimer.observe(&observed, now) {
            let Some((revision, row)) = shares.get(&vm) else { continue };
            let Ok(pools) = read_pools(shared).await else { return };
            let Some(pools) = reclaim(row, &pools) else { continue };
            let mut commit =
                Commit::default().replace(&format!("{SHARE_PREFIX}{vm}"), *revision, None);
            for (name, (revision, pool)) in pools {
                commit =
                    commit.replace(&format!("{POOL_PREFIX}{name}"), revision, encode_json(&pool));
            }
            if shared.platform.commit(commit).await.is_ok_and(|reply| reply.committed) {
                shared.metrics.reclaims.add(1, &[]);
                let why = "it is no longer listed, or its window has run out";
                shared.decisions.record(&vm, "shares reclaimed", why);
            }
        }
    }

    /// Updates the forecasts with this domain's part of the demand of all domains.
    ///
    /// The domains that hold a model divide its demand evenly. A domain without the model takes the
    /// part that it would have if all domains of the service held the model, because it may have to
    /// load the model to help them.
    fn update_forecasts(&mut self, shared: &AppState) {
        let now = shared.now();
        let mut rates = model_rates(shared);
        for (domain, row) in &self.demands {
            if *domain != shared.settings.domain {
                row.models.iter().for_each(|(name, rate)| {
                    *rates.entry(name.clone()).or_default() += rate;
                });
            }
        }
        let Some(config) = shared.config() else { return };
        for (name, model) in &config.config.models {
            let ranking = DomainRanking::new(shared, &config, &model.service);
            let domains = ranking.sharing_domains(&model_item(name, &model.version)) as f64;
            let rate = rates.get(name).copied().unwrap_or(0) as f64 / domains;
            let forecast = self.forecasts.entry(name.clone()).or_default();
            forecast.observe(rate / 60.0 * REQUEST_TIME.as_secs_f64(), now);
        }
    }

    /// Plans the placement of every service's models and issues the planned orders.
    async fn plan_placement(&mut self, shared: &Arc<AppState>) {
        let Some(config) = shared.config() else { return };
        self.track_endpoints(shared, &config).await;
        let services = config.config.services.iter();
        let models = services.filter(|(_, service)| service.kind == ServiceKind::Models);
        for (service, _) in models {
            let items = self.items(shared, &config, service);
            let hosts = self.host_views(&config, service).await;
            let planner = self.planners.entry(service.clone()).or_default();
            for step in planner.plan(&items, &hosts, shared.now()) {
                self.issue_order(shared, &config, &items, step).await;
            }
        }
    }

    /// Starts to run the ledgers of new endpoints of the domain and drops those of removed ones.
    async fn track_endpoints(&mut self, shared: &Arc<AppState>, config: &CompiledConfig) {
        let own = config.config.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.domain == shared.settings.domain && endpoint.memory > 0
        });
        let own: BTreeMap<_, _> = own.collect();
        self.ledgers.retain(|name, _| own.contains_key(name));
        for (name, endpoint) in own {
            if self.ledgers.contains_key(name) {
                continue;
            }
            let ledger = Arc::new(LedgerStore::new(name, endpoint));
            self.ledgers.insert(name.clone(), ledger.clone());
            tokio::spawn(ledger.run(shared.clone(), self.fence));
        }
    }

    /// Describes the models and adapters of a service, as the planner needs them.
    fn items(
        &self,
        shared: &AppState,
        config: &CompiledConfig,
        service: &ServiceId,
    ) -> BTreeMap<Item, PlacementItem> {
        let mut items = BTreeMap::new();
        let ranking = DomainRanking::new(shared, config, service);
        for (name, model) in &config.config.models {
            if model.service != *service {
                continue;
            }
            let load = self.forecasts.get(name).map_or(0.0, Forecast::estimate);
            let memory = model.footprint();
            let item = model_item(name, &model.version);
            let described = ranking.placement_item(name, &item, memory, load, None);
            items.insert(item, described);
        }
        for (name, adapter) in &config.config.adapters {
            let Some(model) = config.config.models.get(&adapter.model) else { continue };
            if model.service != *service {
                continue;
            }
            let base = Some(model_item(&adapter.model, &model.version));
            let item = adapter_item(&adapter.model, name);
            let described =
                ranking.placement_item(&adapter.model, &item, adapter.memory, 0.0, base);
            items.insert(item, described);
        }
        items
    }

    /// Describes the endpoints of a service, as the planner needs them.
    async fn host_views(
        &self,
        config: &CompiledConfig,
        service: &ServiceId,
    ) -> BTreeMap<EndpointId, HostView> {
        let mut hosts = BTreeMap::new();
        for (name, ledger) in &self.ledgers {
            let Some(endpoint) = config.config.endpoints.get(name) else { continue };
            if endpoint.service != *service {
                continue;
            }
            let stored = ledger.stored.lock().await;
            let Some(stored) = stored.as_ref() else { continue };
            let row = stored.ledger.row();
            let present = row.resident.keys().filter(|item| stored.ledger.holds(item));
            let open = row.open.as_ref().filter(|open| open.order == Order::Load);
            let host = HostView {
                items: present.cloned().collect(),
                free: stored.ledger.free(),
                memory: endpoint.memory,
                slots: f64::from(endpoint.slots),
                idle: row.open.is_none() && stored.fenced && !endpoint.leaving,
                leaving: endpoint.leaving,
                loading: open.map(|open| open.item.clone()),
                pinned: stored.ledger.pinned(),
            };
            hosts.insert(name.clone(), host);
        }
        hosts
    }

    /// Issues a planned order, if the weight store's limits allow it, and sends it in a task of its
    /// own.
    async fn issue_order(
        &mut self,
        shared: &Arc<AppState>,
        config: &CompiledConfig,
        items: &BTreeMap<Item, PlacementItem>,
        step: PlanStep,
    ) {
        if step.order == Order::Load && !self.may_load(shared, config, &step.item).await {
            return;
        }
        let Some(ledger) = self.ledgers.get(&step.endpoint).cloned() else { return };
        let memory = items.get(&step.item).map_or(0, |item| item.memory);
        let issued = ledger.issue(shared, step.order, &step.item, memory).await;
        let Some(open) = issued else { return };
        let what = match step.order {
            Order::Load => format!("load on {}", step.endpoint),
            Order::Unload => format!("unload from {}", step.endpoint),
        };
        shared.decisions.record(&step.item, what, step.reason.as_str());
        shared.metrics.orders.add(1, &[]);
        let shared = shared.clone();
        tokio::spawn(async move { ledger.execute(&shared, open).await });
    }

    /// Returns whether this domain may start a load now, within its part of the weight store's
    /// limits.
    async fn may_load(&mut self, shared: &AppState, config: &CompiledConfig, item: &Item) -> bool {
        let Some(limits) = config.config.store else { return true };
        let domains = shared.peers.domains().len().max(1) as u32;
        // The item of an adapter contains a slash, that of a model does not.
        let is_model = !item.contains('/');
        let limit = if is_model { limits.loads } else { limits.adapters } / domains;
        let mut open = 0;
        for ledger in self.ledgers.values() {
            let stored = ledger.stored.lock().await;
            let order = stored.as_ref().and_then(|stored| stored.ledger.row().open.as_ref());
            let same_kind = order
                .filter(|open| open.order == Order::Load && open.item.contains('/') != is_model);
            open += u32::from(same_kind.is_some());
        }
        if open >= limit {
            return false;
        }
        let now = shared.now();
        if is_model && now < self.load_pace.next {
            return false;
        }
        if is_model {
            self.load_pace.next = now + Duration::from_secs_f64(f64::from(domains) / limits.rate);
        }
        true
    }
}

/// Ranks the domains of a service for each model; the first of them should hold the model.
struct DomainRanking<'a> {
    own: &'a DomainId,
    domains: Vec<&'a DomainId>,
    config: &'a CompiledConfig,
    router: Option<Arc<ServiceRouter>>,
}

impl<'a> DomainRanking<'a> {
    fn new(shared: &'a AppState, config: &'a CompiledConfig, service: &ServiceId) -> Self {
        let endpoints = config.config.endpoints.values();
        let serving =
            endpoints.filter(|endpoint| endpoint.service == *service && !endpoint.leaving);
        let mut domains: Vec<&DomainId> = serving.map(|endpoint| &endpoint.domain).collect();
        domains.sort();
        domains.dedup();
        let router = shared.routers.service(service);
        Self { own: &shared.settings.domain, domains, config, router }
    }

    /// Describes an item of a model, as the planner needs it.
    fn placement_item(
        &self,
        model: &ModelId,
        item: &Item,
        memory: u64,
        load: f64,
        base: Option<Item>,
    ) -> PlacementItem {
        let order = self.ranked_domains(model);
        let router = self.router.as_ref();
        let holding = self.holding_domains(item);
        let holds = |domain: &DomainId| holding.contains(domain);
        PlacementItem {
            memory,
            load,
            base,
            rank: order.iter().position(|domain| *domain == self.own).unwrap_or(order.len()),
            primary_holds: order.first().is_some_and(|first| holds(first)),
            spare_elsewhere: router.map_or(0.0, |router| router.spare_elsewhere(item, self.own)),
            helper: order.iter().find(|domain| !holds(domain)) == Some(&self.own),
        }
    }

    /// Returns the domains on whose endpoints the router sees an item.
    fn holding_domains(&self, item: &Item) -> FastSet<DomainId> {
        let router = self.router.as_ref();
        let holders = router.map(|router| router.holders(item)).unwrap_or_default();
        let endpoints = &self.config.config.endpoints;
        let found = holders.iter().filter_map(|name| endpoints.get(name));
        found.map(|endpoint| endpoint.domain.clone()).collect()
    }

    /// Returns the number of domains by which this domain divides an item's demand, at least 1:
    /// those that hold the item, or all if this domain does not hold it.
    fn sharing_domains(&self, item: &Item) -> usize {
        let holding = self.holding_domains(item);
        let count = if holding.contains(self.own) { holding.len() } else { self.domains.len() };
        count.max(1)
    }

    /// Returns the domains in the order in which they should hold a model.
    fn ranked_domains(&self, model: &ModelId) -> Vec<&'a DomainId> {
        let mut order = self.domains.clone();
        order.sort_by_key(|domain| std::cmp::Reverse(rendezvous_score(model, domain)));
        order
    }
}

/// Returns the item of a model's version: the name under which engines hold it.
pub(crate) fn model_item(model: &str, version: &str) -> Item {
    Item::from(format!("{model}@{version}"))
}

/// Returns the item of an adapter: the name under which engines hold it.
pub(crate) fn adapter_item(model: &str, adapter: &str) -> Item {
    Item::from(format!("{model}/{adapter}"))
}

/// Returns the requests a minute that callers send to this domain, by model.
fn model_rates(shared: &AppState) -> FastMap<ModelId, u64> {
    let mut rates = FastMap::default();
    for member in shared.members().alive(shared.now()) {
        for (model, rate) in &member.models {
            *rates.entry(model.clone()).or_default() += rate;
        }
    }
    rates
}

/// Writes the sum of the demand of the domain's live VMs.
async fn write_demand(shared: &AppState) {
    let now = shared.now();
    let mut row = DemandRow { models: model_rates(shared), ..DemandRow::default() };
    for member in shared.members().alive(now) {
        for (workspace, tokens) in &member.demand {
            *row.tokens.entry(workspace.clone()).or_default() += tokens;
        }
    }
    let key = format!("{DEMAND_PREFIX}{}", shared.settings.domain);
    let mut commit = Commit::default();
    commit.writes.push(crate::edge::RowWrite { key, value: encode_json(&row) });
    let _ = shared.platform.commit(commit).await;
}
