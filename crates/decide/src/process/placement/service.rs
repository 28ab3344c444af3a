//! Plans which endpoint of a service holds which models and adapters.
//!
//! A few models take most of the requests, and which models these are changes every few seconds.
//! A load from the weight store takes longer than a caller waits; a load from an endpoint's own
//! memory or disk does not. Therefore:
//!
//! - A model gets replicas in proportion to the requests that run or wait for it on all VMs, with
//!   spare capacity, and preferably on endpoints that have its weights cached.
//! - Surplus replicas are unloaded only to make room for another model.
//! - The last replica of a model is unloaded only if the model is idle and another model is in
//!   demand.

use std::time::Duration;

use smol_str::SmolStr;

use super::load_limiter::LoadLimiter;
use super::tracker::{OrderCommand, ResidentModels};
use crate::ids::{AdapterId, DomainId, EndpointId, ModelId};
use crate::map::{FastMap, FastSet};
use crate::version::fleet_config::FleetEngine;

/// Share of an endpoint's slots that the requests of one model should take up there.
const TARGET_FILL_RATIO: f64 = 0.3;
/// A model with this many concurrent requests gets a second replica, so that the crash of one
/// endpoint does not make it unavailable.
const SECOND_REPLICA_REQUESTS: f64 = 4.0;
/// Extra cost of a load from the weight store over one from cached weights. All costs are in
/// the unit of an endpoint's utilization: 1 is the cost of an endpoint with all slots in use.
const STORE_LOAD_COST: f64 = 3.0;
/// Cost of each replica that the endpoint's failure domain already has.
const SAME_DOMAIN_COST: f64 = 0.3;
/// Cost of unloading a model to make room.
const UNLOAD_COST: f64 = 0.2;
/// Extra cost of unloading a busy replica: the unload waits for the requests that run on it.
const BUSY_REPLICA_COST: f64 = 1.0;
/// Extra cost of unloading a model's last replica: less than [`STORE_LOAD_COST`].
const LAST_REPLICA_COST: f64 = 0.8;
/// A replica with this many concurrent requests counts as busy.
const BUSY_REPLICA_REQUESTS: f64 = 0.5;
/// A model with this many concurrent requests or more counts no replicas of endpoints that name a low
/// limit: what they cannot take needs another replica.
const LIMITED_REPLICA_REQUESTS: f64 = 0.5;
/// Extra cost of an adapter at an endpoint that names a low limit.
const LIMITED_ENDPOINT_COST: f64 = 2.0;
/// How long after the first demand no trend is derived: a rise in this time cannot be distinguished
/// from the start of all traffic.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);
/// How long a model must have no requests before its last replica may be unloaded.
const MODEL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A model with this many concurrent requests may replace the last replica of an idle model.
const REPLACE_LAST_REQUESTS: f64 = 3.0;
/// Time constant of the slow average of the demand, in seconds. A rise above the slow average
/// counts as a trend; a shorter time would take random rises for a trend.
const TREND_SECONDS: f64 = 2.0;
/// How long an adapter must be unused before it may be unloaded to make room.
const ADAPTER_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long after its last request a missing adapter is still loaded.
const ADAPTER_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Expected duration of an unload, which waits for the requests that run on the model.
const UNLOAD_TIME: Duration = Duration::from_secs(1);
/// Expected duration of an adapter's load when few other loads run.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(10);
/// How long an endpoint is reserved for the model that an unload makes room for.
const CLEARING_TIMEOUT: Duration = Duration::from_secs(6);
/// Time constant with which the demand level falls, in seconds.
const SMOOTHING_SECONDS: f64 = 0.8;

/// The most models that one plan adds replicas of, the most urgent first: a plan for hundreds of
/// endpoints must not hold up the leader.
const MAX_PLANNED_MODELS: usize = 96;

/// An adapter, identified by its model and its name.
pub type AdapterKey = (ModelId, AdapterId);

/// An endpoint as seen by a [`ServicePlanner`].
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// The endpoint's name.
    pub name: EndpointId,
    /// The endpoint's failure domain.
    pub domain: DomainId,
    /// The models and adapters that it holds.
    pub resident: ResidentModels,
    /// The model that is being loaded, if any.
    pub loading_model: Option<ModelId>,
    /// The adapter that is being loaded, if any.
    pub loading_adapter: Option<AdapterKey>,
    /// Models that orders without a reply may still load.
    pub late_loads: Vec<ModelId>,
    /// Adapters that orders without a reply may still load.
    pub late_adapters: Vec<AdapterKey>,
    /// Models that it can load from its own memory or disk.
    pub cached: FastSet<ModelId>,
    /// Whether an order may be sent to it now.
    pub idle: bool,
    /// Whether it names a limit of requests that leaves most of its slots empty.
    pub limited: bool,
}

/// An order that the planner wants to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The endpoint that receives the order.
    pub endpoint: EndpointId,
    /// What the endpoint is to do.
    pub command: OrderCommand,
    /// How long the order is expected to take.
    pub expected_time: Duration,
    /// Whether the order is a load from the weight store, which the limiter has counted.
    pub from_store: bool,
    /// The reason, for the log.
    pub why: SmolStr,
}

/// The demand for one model, in concurrent requests.
#[derive(Debug, Clone, Default)]
struct Demand {
    /// Requests that run or wait: follows a rise at once and a fall slowly.
    level: f64,
    /// Requests that run or wait, smoothed over [`TREND_SECONDS`].
    average: f64,
    /// Requests that wait because no endpoint holds the model.
    waiting: f64,
    /// When the model last had a request.
    last_seen: Option<Duration>,
}

/// Plans the orders to the endpoints of one service.
#[derive(Debug, Default)]
pub struct ServicePlanner {
    demand: FastMap<ModelId, Demand>,
    /// When each adapter was last requested.
    adapter_uses: FastMap<AdapterKey, Duration>,
    /// When each adapter was last requested while no endpoint held it.
    missing_adapters: FastMap<AdapterKey, Duration>,
    /// Endpoints that are being cleared for a model, and until when they are reserved for it.
    clearing: FastMap<EndpointId, (ModelId, Duration)>,
    /// When the demand was last updated.
    updated: Duration,
    /// When the planner first saw any demand.
    first_demand: Option<Duration>,
}

impl ServicePlanner {
    /// Updates the demand: for each model, the requests that run and those that wait, summed over
    /// all VMs.
    ///
    /// ```
    /// use bamboocourse_decide::ServicePlanner;
    /// use std::time::Duration;
    /// let mut planner = ServicePlanner::default();
    /// planner.on_demand([("m".into(), 3.0, 1.0)], Duration::from_secs(1));
    /// ```
    pub fn on_demand(
        &mut self,
        demand: impl IntoIterator<Item = (ModelId, f64, f64)>,
        now: Duration,
    ) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        let decay = (-elapsed / SMOOTHING_SECONDS).exp();
        let average_decay = (-elapsed / TREND_SECONDS).exp();
        let mut seen: FastSet<ModelId> = FastSet::default();
        for (model, running, waiting) in demand {
            let entry = self.demand.entry(model.clone()).or_default();
            let level = running + waiting;
            let start = *self.first_demand.get_or_insert(now);
            if now < start + STARTUP_PERIOD {
                entry.average = level;
            }
            // Follows a rise at once, a fall slowly.
            entry.level = level.max(entry.level * decay + level * (1.0 - decay));
            entry.average = entry.average * average_decay + level * (1.0 - average_decay);
            entry.waiting = waiting;
            if level > 0.0 {
                entry.last_seen = Some(now);
            }
            seen.insert(model);
        }
        for (model, entry) in &mut self.demand {
            if !seen.contains(model) {
                entry.level *= decay;
                entry.average *= average_decay;
                entry.waiting = 0.0;
            }
        }
    }

    /// Records that an adapter was requested; `missing` says that no endpoint held it.
    pub fn on_adapter(&mut self, model: ModelId, adapter: AdapterId, missing: bool, now: Duration) {
        let key = (model, adapter);
        if missing {
            self.missing_adapters.insert(key.clone(), now);
        }
        self.adapter_uses.insert(key, now);
    }

    /// Returns the orders to send now, at most one for each endpoint.
    ///
    /// Endpoints that get an order are marked as not idle. Loads from the weight store count
    /// against the limiter, which must be told their outcome.
    pub fn plan(
        &mut self,
        engine: &FleetEngine,
        endpoints: &mut [EndpointView],
        limiter: &mut LoadLimiter,
        now: Duration,
    ) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        self.plan_cleared(engine, endpoints, limiter, now, &mut orders);
        self.plan_adapters(engine, endpoints, now, &mut orders);
        self.plan_models(engine, endpoints, limiter, now, &mut orders);
        orders
    }

    /// Plans loads on endpoints that have been cleared for a model.
    fn plan_cleared(
        &mut self,
        engine: &FleetEngine,
        endpoints: &mut [EndpointView],
        limiter: &mut LoadLimiter,
        now: Duration,
        orders: &mut Vec<PlannedOrder>,
    ) {
        self.clearing.retain(|name, (_, until)| {
            now < *until && endpoints.iter().any(|endpoint| endpoint.name == *name)
        });
        for endpoint in endpoints.iter_mut().filter(|endpoint| endpoint.idle && !endpoint.limited) {
            let Some((model, _)) = self.clearing.get(&endpoint.name).cloned() else { continue };
            let Some(spec) = engine.models.get(&model) else { continue };
            let fits = engine.memory - endpoint.charged_memory(engine) >= spec.memory;
            if !fits || endpoint.holds_model(&model) || endpoint.late_loads.contains(&model) {
                self.clearing.remove(&endpoint.name);
                continue;
            }
            let cached = endpoint.cached.contains(&model);
            if !cached && !limiter.take(now) {
                continue;
            }
            self.clearing.remove(&endpoint.name);
            let expected_time = if cached { spec.disk_time } else { spec.load_time };
            endpoint.idle = false;
            endpoint.loading_model = Some(model.clone());
            let why = SmolStr::new(format!("room was made for {model}"));
            let command = OrderCommand::Load(model);
            orders.push(PlannedOrder {
                endpoint: endpoint.name.clone(),
                command,
                expected_time,
                from_store: !cached,
                why,
            });
        }
    }

    /// Plans loads for models with too few replicas, and unloads that make room for them.
    fn plan_models(
        &mut self,
        engine: &FleetEngine,
        endpoints: &mut [EndpointView],
        limiter: &mut LoadLimiter,
        now: Duration,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut replicas = self.count_replicas(endpoints);
        for (model, _) in self.clearing.values() {
            *replicas.entry(model.clone()).or_default() += 1;
        }
        let mut lacking: Vec<(f64, ModelId)> = Vec::new();
        for model in engine.models.keys() {
            let held = replicas.get(model).copied().unwrap_or(0);
            let target = self.target_replicas(model, engine, endpoints.len());
            if held < target {
                // Models without any replica come first.
                let level = self.demand.get(model).map_or(0.0, |demand| demand.level);
                let urgency = if held == 0 { 1e6 } else { 0.0 };
                let missing = (target - held) as f64 / target as f64;
                let priority = if level > 0.0 { urgency + level * missing } else { 0.0 };
                lacking.push((priority, model.clone()));
            }
        }
        lacking.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        lacking.truncate(MAX_PLANNED_MODELS);
        let mut hosts = HostCosts::new(endpoints, &self.clearing);
        let mut store_loads = self.count_store_loads(endpoints);
        for (_, model) in lacking {
            let spec = &engine.models[&model];
            // Loads beyond the rate of the weight store would only slow each other down.
            let max_loads =
                (engine.load_rate * spec.load_time.as_secs_f64()).ceil().max(1.0) as usize;
            let allow_store = store_loads < max_loads && limiter.has_room(now);
            let Some((index, victim)) = self.choose_endpoint(
                &model,
                engine,
                endpoints,
                &replicas,
                &mut hosts,
                allow_store,
                now,
            ) else {
                continue;
            };
            let cached = endpoints[index].cached.contains(&model);
            let from_store = victim.is_none() && !cached;
            let (command, expected_time) = match victim {
                Some(victim) => {
                    *replicas.entry(victim.clone()).or_default() -= 1;
                    *replicas.entry(model.clone()).or_default() += 1;
                    let until = now + CLEARING_TIMEOUT;
                    self.clearing.insert(endpoints[index].name.clone(), (model.clone(), until));
                    store_loads += usize::from(!cached);
                    (OrderCommand::Unload(victim), UNLOAD_TIME)
                }
                None => {
                    if !cached {
                        limiter.take(now);
                        store_loads += 1;
                    }
                    *replicas.entry(model.clone()).or_default() += 1;
                    let expected_time = if cached { spec.disk_time } else { spec.load_time };
                    (OrderCommand::Load(model.clone()), expected_time)
                }
            };
            let endpoint = &mut endpoints[index];
            endpoint.idle = false;
            let why = SmolStr::new(format!(
                "{model} has {} copies",
                replicas.get(&model).copied().unwrap_or(0)
            ));
            orders.push(PlannedOrder {
                endpoint: endpoint.name.clone(),
                command,
                expected_time,
                from_store,
                why,
            });
        }
    }

    /// Counts the replicas of each model that serve its demand, including those being loaded.
    fn count_replicas(&self, endpoints: &[EndpointView]) -> FastMap<ModelId, usize> {
        let mut replicas: FastMap<ModelId, usize> = FastMap::default();
        for endpoint in endpoints {
            for model in endpoint.resident.keys().chain(&endpoint.loading_model) {
                let level = self.demand.get(model).map_or(0.0, |demand| demand.level);
                if !endpoint.limited || level < LIMITED_REPLICA_REQUESTS {
                    *replicas.entry(model.clone()).or_default() += 1;
                }
            }
        }
        replicas
    }

    /// Returns the number of loads from the weight store that run, or will run once room is made.
    fn count_store_loads(&self, endpoints: &[EndpointView]) -> usize {
        let from_store = |endpoint: &&EndpointView| {
            let cleared = self.clearing.get(&endpoint.name).map(|(model, _)| model);
            endpoint
                .loading_model
                .as_ref()
                .or(cleared)
                .is_some_and(|model| !endpoint.cached.contains(model))
        };
        endpoints.iter().filter(from_store).count()
    }

    /// Returns the number of replicas that a model should have.
    fn target_replicas(
        &self,
        model: &ModelId,
        engine: &FleetEngine,
        endpoint_count: usize,
    ) -> usize {
        let Some(demand) = self.demand.get(model) else { return 1 };
        let replica_requests = f64::from(engine.slots.max(1)) * TARGET_FILL_RATIO;
        let load_seconds =
            engine.models.get(model).map_or(0.0, |spec| spec.load_time.as_secs_f64());
        let target = (demand.forecast(load_seconds) / replica_requests).ceil().max(1.0) as usize;
        let min_replicas = if demand.level >= SECOND_REPLICA_REQUESTS { 2 } else { 1 };
        target.max(min_replicas).min(endpoint_count.max(1))
    }

    /// Picks the endpoint for another replica of a model, and the model to unload there first if it
    /// does not fit.
    fn choose_endpoint(
        &self,
        model: &ModelId,
        engine: &FleetEngine,
        endpoints: &[EndpointView],
        replicas: &FastMap<ModelId, usize>,
        hosts: &mut HostCosts,
        allow_store: bool,
        now: Duration,
    ) -> Option<(usize, Option<ModelId>)> {
        let spec = engine.models.get(model)?;
        let mut domain_replicas: FastMap<&DomainId, usize> = FastMap::default();
        for index in hosts.holders.get(model).into_iter().flatten() {
            *domain_replicas.entry(&endpoints[*index].domain).or_default() += 1;
        }
        let mut best: Option<(f64, usize, Option<ModelId>)> = None;
        for index in &hosts.idle {
            let (index, endpoint) = (*index, &endpoints[*index]);
            if !endpoint.idle || endpoint.holds_model(model) || endpoint.late_loads.contains(model)
            {
                continue;
            }
            if !allow_store && !endpoint.cached.contains(model) {
                continue;
            }
            let (utilization, charged) = *hosts.costs[index].get_or_insert_with(|| {
                (self.utilization(endpoint, engine, replicas), endpoint.charged_memory(engine))
            });
            let free = engine.memory - charged;
            let mut cost = utilization;
            cost += domain_replicas.get(&endpoint.domain).copied().unwrap_or(0) as f64
                * SAME_DOMAIN_COST;
            if !endpoint.cached.contains(model) {
                cost += STORE_LOAD_COST;
            }
            if free >= spec.memory {
                if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    best = Some((cost, index, None));
                }
                continue;
            }
            let victim =
                self.choose_victim(model, endpoint, engine, replicas, endpoints.len(), now);
            let Some((victim_cost, victim)) = victim else { continue };
            let freed = engine.models.get(&victim).map_or(0.0, |spec| spec.memory);
            if free + freed < spec.memory {
                continue;
            }
            cost += UNLOAD_COST + victim_cost;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, index, Some(victim)));
            }
        }
        best.map(|(_, index, victim)| (index, victim))
    }

    /// Picks the model of an endpoint that costs least to unload, and returns it with this cost.
    fn choose_victim(
        &self,
        model: &ModelId,
        endpoint: &EndpointView,
        engine: &FleetEngine,
        replicas: &FastMap<ModelId, usize>,
        endpoint_count: usize,
        now: Duration,
    ) -> Option<(f64, ModelId)> {
        // A model in demand may replace the last replica of an idle model.
        let held = replicas.get(model).copied().unwrap_or(0);
        let in_demand = self.demand.get(model).is_some_and(|demand| {
            demand.level >= REPLACE_LAST_REQUESTS || (demand.waiting > 0.0 && held == 0)
        });
        let mut best: Option<(f64, ModelId)> = None;
        for other in endpoint.resident.keys() {
            let held = replicas.get(other).copied().unwrap_or(0);
            let demand = self.demand.get(other);
            let level = demand.map_or(0.0, |demand| demand.level);
            let surplus = held > self.target_replicas(other, engine, endpoint_count);
            let idle = demand
                .and_then(|demand| demand.last_seen)
                .is_none_or(|last| now >= last + MODEL_IDLE_TIMEOUT);
            let removable = surplus || (in_demand && idle && held <= 1);
            if !removable {
                continue;
            }
            let per_replica = level / held.max(1) as f64;
            let last_cost = if held <= 1 { LAST_REPLICA_COST } else { 0.0 };
            let busy_cost =
                if per_replica >= BUSY_REPLICA_REQUESTS { BUSY_REPLICA_COST } else { 0.0 };
            let cost = per_replica / f64::from(engine.slots.max(1)) + last_cost + busy_cost;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, other.clone()));
            }
        }
        best
    }

    /// Estimates the share of an endpoint's slots that the demand for its models takes up.
    fn utilization(
        &self,
        endpoint: &EndpointView,
        engine: &FleetEngine,
        replicas: &FastMap<ModelId, usize>,
    ) -> f64 {
        let models = endpoint.resident.keys().chain(&endpoint.loading_model);
        let levels = models.map(|model| {
            let level = self.demand.get(model).map_or(0.0, |demand| demand.level);
            level / replicas.get(model).copied().unwrap_or(1).max(1) as f64
        });
        levels.sum::<f64>() / f64::from(engine.slots.max(1))
    }

    /// Plans loads of missing adapters, and unloads of unused adapters that make room for them.
    fn plan_adapters(
        &mut self,
        engine: &FleetEngine,
        endpoints: &mut [EndpointView],
        now: Duration,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut missing: Vec<(Duration, AdapterKey)> =
            self.missing_adapters.iter().map(|(key, at)| (*at, key.clone())).collect();
        missing.sort();
        // Adapters do not change the number of replicas.
        let replicas = self.count_replicas(endpoints);
        for (requested, key) in missing {
            let (model, adapter) = &key;
            if now > requested + ADAPTER_REQUEST_TIMEOUT
                || endpoints.iter().any(|other| !other.limited && other.has_adapter(&key))
            {
                self.missing_adapters.remove(&key);
                continue;
            }
            let mut best: Option<(f64, usize, Option<AdapterKey>)> = None;
            for (index, endpoint) in endpoints.iter().enumerate() {
                let can_hold = endpoint.resident.contains_key(model) && !endpoint.has_adapter(&key);
                if !endpoint.idle || !can_hold {
                    continue;
                }
                let mut cost = self.utilization(endpoint, engine, &replicas);
                if endpoint.limited {
                    cost += LIMITED_ENDPOINT_COST;
                }
                let mut victim = None;
                if !endpoint.has_adapter_room(&key, None, engine) {
                    let Some((idle, unused)) = self.idle_adapter(endpoint, now) else { continue };
                    if !endpoint.has_adapter_room(&key, Some(&unused), engine) {
                        continue;
                    }
                    // Replacing an adapter costs 1 right after its last use, falling to 0.5 after
                    // 30 s without use.
                    cost += 1.0 - idle.as_secs_f64().min(30.0) / 60.0;
                    victim = Some(unused);
                }
                if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    best = Some((cost, index, victim));
                }
            }
            let Some((_, index, victim)) = best else { continue };
            let endpoint = &mut endpoints[index];
            endpoint.idle = false;
            let command = match victim {
                Some((model, adapter)) => OrderCommand::Release(model, adapter),
                None => {
                    endpoint.loading_adapter = Some(key.clone());
                    OrderCommand::Fetch(model.clone(), adapter.clone())
                }
            };
            let why = SmolStr::new(format!("{model}/{adapter} is asked for"));
            let expected_time = ADAPTER_LOAD_TIME;
            orders.push(PlannedOrder {
                endpoint: endpoint.name.clone(),
                command,
                expected_time,
                from_store: false,
                why,
            });
        }
    }

    /// Returns the adapter of an endpoint that has been unused the longest and for how long, if
    /// any adapter has been unused for [`ADAPTER_IDLE_TIMEOUT`].
    fn idle_adapter(
        &self,
        endpoint: &EndpointView,
        now: Duration,
    ) -> Option<(Duration, AdapterKey)> {
        let mut oldest: Option<(Duration, AdapterKey)> = None;
        for (model, adapters) in &endpoint.resident {
            for adapter in adapters {
                let key = (model.clone(), adapter.clone());
                let last = self.adapter_uses.get(&key).copied().unwrap_or_default();
                let idle = now.saturating_sub(last);
                if idle < ADAPTER_IDLE_TIMEOUT {
                    continue;
                }
                if oldest.as_ref().is_none_or(|(most, other)| (idle, &key) > (*most, other)) {
                    oldest = Some((idle, key));
                }
            }
        }
        oldest
    }
}

impl Demand {
    /// Returns the concurrent requests to expect in `seconds` if the present rise continues.
    fn forecast(&self, seconds: f64) -> f64 {
        let rise = (self.level - self.average).max(0.0) / TREND_SECONDS;
        self.level + rise * seconds
    }
}

/// What one plan works out once for each endpoint.
struct HostCosts {
    /// The endpoints that hold or load each model.
    holders: FastMap<ModelId, Vec<usize>>,
    /// The endpoints that may get an order when the plan begins.
    idle: Vec<usize>,
    /// The utilization of each endpoint and the memory that is charged there, once known.
    costs: Vec<Option<(f64, f64)>>,
}

impl HostCosts {
    fn new(
        endpoints: &[EndpointView],
        clearing: &FastMap<EndpointId, (ModelId, Duration)>,
    ) -> Self {
        let mut holders: FastMap<ModelId, Vec<usize>> = FastMap::default();
        let mut idle = Vec::new();
        for (index, endpoint) in endpoints.iter().enumerate() {
            for model in endpoint.resident.keys().chain(&endpoint.loading_model) {
                holders.entry(model.clone()).or_default().push(index);
            }
            if endpoint.idle && !endpoint.limited && !clearing.contains_key(&endpoint.name) {
                idle.push(index);
            }
        }
        Self { holders, idle, costs: vec![None; endpoints.len()] }
    }
}

impl EndpointView {
    /// Returns whether the endpoint holds an adapter or is loading it.
    fn has_adapter(&self, key: &AdapterKey) -> bool {
        let resident = self.resident.get(&key.0);
        resident.is_some_and(|adapters| adapters.contains(&key.1))
            || self.loading_adapter.as_ref() == Some(key)
    }

    /// Returns whether the endpoint holds a model or is loading it.
    fn holds_model(&self, model: &ModelId) -> bool {
        self.resident.contains_key(model) || self.loading_model.as_ref() == Some(model)
    }

    /// Returns whether an adapter fits in the slots for adapters and in the memory, beside all that
    /// the endpoint holds, loads or may still load; `without` names an adapter to unload first.
    fn has_adapter_room(
        &self,
        key: &AdapterKey,
        without: Option<&AdapterKey>,
        engine: &FleetEngine,
    ) -> bool {
        let adapter_memory =
            |model: &ModelId| engine.models.get(model).map_or(0.0, |spec| spec.adapter_memory);
        let held = self.resident.iter().map(|(model, adapters)| (model, adapters.len()));
        let single = self.loading_adapter.iter().chain(&self.late_adapters);
        let adapters = held.chain(single.map(|(model, _)| (model, 1)));
        let (mut count, mut memory) = (1, adapter_memory(&key.0) + self.model_memory(engine));
        for (model, number) in adapters {
            count += number;
            memory += adapter_memory(model) * number as f64;
        }
        if let Some((model, _)) = without {
            count -= 1;
            memory -= adapter_memory(model);
        }
        count <= engine.adapters as usize && memory <= engine.memory
    }

    /// Returns the memory in MB that models take, including those that are being loaded or may
    /// still be loaded by orders without a reply, and that the largest allowed set of adapters takes.
    fn charged_memory(&self, engine: &FleetEngine) -> f64 {
        let largest = engine.models.values().map(|spec| spec.adapter_memory).fold(0.0, f64::max);
        self.model_memory(engine) + largest * f64::from(engine.adapters)
    }

    /// Returns the memory in MB that models take, including those that are being loaded or may
    /// still be loaded by orders without a reply.
    fn model_memory(&self, engine: &FleetEngine) -> f64 {
        let size = |model: &ModelId| engine.models.get(model).map_or(0.0, |spec| spec.memory);
        let models = self.resident.keys().chain(&self.loading_model).chain(&self.late_loads);
        models.map(size).sum()
    }
}
