//! Tests of the service planner when demand moves to other models within seconds.

use std::time::Duration;

use bamboocourse_decide::{
    AdapterId, EndpointView, FastMap, FastSet, FleetEngine, FleetModel, LoadLimiter, LoadOutcome,
    ModelId, OrderCommand, ServicePlanner,
};

/// The number of endpoints.
const ENDPOINTS: usize = 12;
/// The number of models.
const MODELS: usize = 26;
/// The models that fit into an endpoint's memory.
const MODELS_PER_ENDPOINT: usize = 3;
/// The models on an endpoint's disk.
const MODELS_PER_DISK: usize = 6;
/// Size of every adapter, in MB.
const ADAPTER_MB: f64 = 66.0;
/// The time between two plans.
const STEP: Duration = Duration::from_millis(250);
/// How long a load from the weight store takes.
const LOAD_TIME: Duration = Duration::from_millis(3_200);
/// How long a load from disk takes.
const DISK_TIME: Duration = Duration::from_millis(600);

fn model(index: usize) -> ModelId {
    ModelId::new(format!("m{index}"))
}

fn engine() -> FleetEngine {
    let spec = FleetModel {
        memory: 70_000.0,
        load_time: LOAD_TIME,
        disk_time: DISK_TIME,
        adapters: FastSet::default(),
        adapter_memory: ADAPTER_MB,
    };
    FleetEngine {
        slots: 48,
        memory: 230_000.0,
        adapters: 8,
        load_rate: 1.9,
        models: (0..MODELS).map(|index| (model(index), spec.clone())).collect(),
    }
}

/// Creates the initial endpoints: every model is resident somewhere, and six are on each disk.
fn endpoints() -> Vec<EndpointView> {
    let endpoint = |index: usize| {
        let held =
            (0..MODELS_PER_ENDPOINT).map(|slot| (index * MODELS_PER_ENDPOINT + slot) % MODELS);
        let cached =
            (0..MODELS_PER_DISK).map(|slot| (index * MODELS_PER_ENDPOINT + slot * 5) % MODELS);
        EndpointView {
            name: format!("e{index}").into(),
            domain: format!("d{}", index % 3).into(),
            resident: held.map(|held| (model(held), FastSet::default())).collect(),
            loading_model: None,
            loading_adapter: None,
            late_loads: Vec::new(),
            late_adapters: Vec::new(),
            cached: cached.map(model).collect(),
            idle: true,
            limited: false,
        }
    };
    (0..ENDPOINTS).map(endpoint).collect()
}

/// Endpoints that carry out the orders of a planner.
struct Simulation {
    now: Duration,
    endpoints: Vec<EndpointView>,
    planner: ServicePlanner,
    limiter: LoadLimiter,
    /// Orders that run, with the endpoint's index and the time at which each ends.
    running: Vec<(usize, OrderCommand, Duration)>,
    /// Loads from the weight store so far.
    store_loads: usize,
}

impl Simulation {
    fn new() -> Self {
        let mut limiter = LoadLimiter::new(Duration::from_secs(5), 1.1);
        limiter.set_rate(1.9);
        Self {
            now: Duration::from_secs(100),
            endpoints: endpoints(),
            planner: ServicePlanner::default(),
            limiter,
            running: Vec::new(),
            store_loads: 0,
        }
    }

    fn replicas(&self, model: &ModelId) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.resident.contains_key(model)).count()
    }

    /// Runs one step with the given models' open requests as the demand.
    fn step(&mut self, demand: &[(usize, f64)]) {
        self.now += STEP;
        let (done, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(.., due)| *due <= self.now);
        self.running = open;
        for (index, command, _) in done {
            let endpoint = &mut self.endpoints[index];
            endpoint.idle = true;
            endpoint.loading_model = None;
            if let OrderCommand::Load(model) = command {
                endpoint.resident.insert(model, FastSet::default());
            }
        }
        let demand = demand.iter().map(|(index, open)| (model(*index), *open, 0.0));
        self.planner.on_demand(demand, self.now);
        let mut endpoints = self.endpoints.clone();
        for planned in self.planner.plan(&engine(), &mut endpoints, &mut self.limiter, self.now) {
            let index =
                self.endpoints.iter().position(|endpoint| endpoint.name == planned.endpoint);
            let index = index.expect("the planner names a known endpoint");
            if planned.from_store {
                self.limiter.settle(LoadOutcome::Begun, self.now);
            }
            let endpoint = &mut self.endpoints[index];
            assert!(endpoint.idle, "an endpoint gets one order at a time");
            endpoint.idle = false;
            let duration = match &planned.command {
                OrderCommand::Load(model) => {
                    assert!(
                        endpoint.resident.len() < MODELS_PER_ENDPOINT,
                        "an endpoint holds no more models than fit"
                    );
                    endpoint.loading_model = Some(model.clone());
                    let cached = endpoint.cached.contains(model);
                    self.store_loads += usize::from(!cached);
                    if cached { DISK_TIME } else { LOAD_TIME }
                }
                OrderCommand::Unload(model) => {
                    endpoint.resident.remove(model);
                    Duration::from_millis(300)
                }
                OrderCommand::Fetch(..) | OrderCommand::Release(..) => Duration::from_millis(10),
            };
            self.running.push((index, planned.command, self.now + duration));
        }
    }
}

/// Guards against replicas that come too late: one model's demand rises from 0 to 130 open requests
/// in 8 s, and the model got no replica from 2.8 s to 8.0 s (seed 70384037).
#[test]
fn a_model_gets_replicas_as_its_demand_rises() {
    let mut simulation = Simulation::new();
    let rising = 7;
    for _ in 0..8 {
        simulation.step(&[(0, 40.0), (1, 20.0), (rising, 0.0)]);
    }
    for step in 0..32 {
        let open = 130.0 * f64::from(step) / 32.0;
        simulation.step(&[(0, 40.0), (1, 20.0), (rising, open)]);
        let replicas = simulation.replicas(&model(rising));
        // A replica runs 48 requests at once; a further replica must be loaded before it is full.
        assert!(
            open <= 48.0 * replicas as f64,
            "{open} open on {replicas} replicas at step {step}"
        );
    }
    assert!(simulation.replicas(&model(rising)) >= 4, "{}", simulation.replicas(&model(rising)));
    assert!(simulation.replicas(&model(0)) >= 1 && simulation.replicas(&model(1)) >= 1);
}

/// Guards against loads from the weight store, whose rate is limited, when an endpoint has the
/// model on its disk.
#[test]
fn replicas_come_from_disk_first() {
    let mut simulation = Simulation::new();
    for _ in 0..40 {
        simulation.step(&[(0, 40.0), (5, 60.0), (10, 30.0)]);
    }
    let replicas: usize = [0, 5, 10].iter().map(|index| simulation.replicas(&model(*index))).sum();
    assert!(replicas >= 9, "{replicas}");
    assert!(
        simulation.store_loads <= replicas / 2,
        "{} from the weight store",
        simulation.store_loads
    );
}

/// Guards against the unloading of a model's last replica while there is room for all models.
#[test]
fn models_without_demand_keep_their_last_replica() {
    let mut simulation = Simulation::new();
    for _ in 0..60 {
        simulation.step(&[(0, 5.0), (1, 2.0)]);
    }
    let mut lost: FastMap<ModelId, ()> = FastMap::default();
    for index in 0..MODELS {
        if simulation.replicas(&model(index)) == 0 {
            lost.insert(model(index), ());
        }
    }
    assert!(lost.is_empty(), "{lost:?}");
}

/// The name of an adapter.
fn adapter(index: usize) -> AdapterId {
    AdapterId::new(format!("a{index}"))
}

/// Plans for one endpoint while callers ask for one missing adapter after another, and checks that
/// each order fits; returns how many adapters the endpoint then holds.
fn fetch_adapters(engine: &FleetEngine, mut endpoint: EndpointView) -> usize {
    let mut planner = ServicePlanner::default();
    let mut limiter = LoadLimiter::new(Duration::from_secs(5), 1.1);
    let mut now = Duration::from_secs(100);
    for index in 0..40 {
        now += Duration::from_millis(200);
        planner.on_adapter(model(0), adapter(index), true, now);
        let mut views = [EndpointView { idle: true, ..endpoint.clone() }];
        for planned in planner.plan(engine, &mut views, &mut limiter, now) {
            match planned.command {
                OrderCommand::Fetch(model, adapter) => {
                    endpoint.resident.entry(model).or_default().insert(adapter);
                }
                OrderCommand::Release(model, adapter) => {
                    endpoint.resident.entry(model).or_default().remove(&adapter);
                }
                OrderCommand::Load(_) | OrderCommand::Unload(_) => {}
            }
        }
        let held: usize = endpoint.resident.values().map(FastSet::len).sum();
        let adapters = held + endpoint.late_adapters.len();
        let models = endpoint.resident.len() + endpoint.late_loads.len();
        let memory = models as f64 * 70_000.0 + adapters as f64 * ADAPTER_MB;
        assert!(memory <= engine.memory, "{memory} MB after {} s", now.as_secs_f64());
        assert!(adapters <= engine.adapters as usize, "{adapters} adapters");
    }
    endpoint.resident.values().map(FastSet::len).sum()
}

/// Guards against adapters that are ordered by free slots alone, where the models that an endpoint
/// starts with leave less memory than its slots could take.
#[test]
fn adapters_fit_in_the_memory_that_models_leave() {
    let engine = FleetEngine { memory: 210_000.0 + 3.5 * ADAPTER_MB, ..engine() };
    assert_eq!(fetch_adapters(&engine, endpoints().remove(0)), 3);
}

/// Guards against orders that get no reply and are carried out later, beside newer ones.
#[test]
fn late_orders_count_for_the_room_of_adapters() {
    let late_adapters = (50..52).map(|index| (model(0), adapter(index))).collect();
    let endpoint = EndpointView { late_adapters, ..endpoints().remove(0) };
    assert_eq!(fetch_adapters(&engine(), endpoint), 6);
    let engine = FleetEngine { memory: 280_000.0 + 1.5 * ADAPTER_MB, ..engine() };
    let endpoint = EndpointView { late_loads: vec![model(9)], ..endpoints().remove(0) };
    assert_eq!(fetch_adapters(&engine, endpoint), 1);
}
