//! The routers of all services, each under its own lock, and the queues of requests that wait while
//! all endpoints are full.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use bamboocourse_decide::{
    CompiledConfig, DomainId, EndpointId, ErrorKind, FairQueue, FastMap, ModelId, Pick, PickError,
    Priority, Refusal, RequestTimes, RetryBudget, RouteQuery, Router, ServiceId, ServiceKind,
    Tokens, WorkspaceId,
};
use tokio::sync::oneshot;

use crate::edge::engine;
use crate::process::vm::AppState;

/// The shortest time between two load reports of an engine.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Engines are read less often the more there are: the interval is at least this for each of them.
const REPORT_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(100);
/// The interval is this many times longer for engines of other domains, which get few of this VM's
/// requests.
const REMOTE_INTERVAL_RATIO: u32 = 4;
/// State and cache events are read with one in this many load reports.
const STATE_ROUNDS: u32 = 4;
/// When a caller may retry a request that no endpoint could take.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time over which request rates are averaged, in seconds.
const DEMAND_SECONDS: f64 = 30.0;

/// The routers of all services, and the request rates of all models.
#[derive(Debug)]
pub(crate) struct Routers {
    domain: DomainId,
    services: RwLock<FastMap<ServiceId, Arc<ServiceRouter>>>,
    models: Mutex<FastMap<ModelId, RequestRate>>,
}

/// The router, queue and retry budget of one service.
#[derive(Debug)]
pub(crate) struct ServiceRouter {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    router: Router,
    queue: FairQueue,
    /// The sender that wakes each queued request, by ticket.
    waiting: FastMap<u64, oneshot::Sender<()>>,
    last_ticket: u64,
    budget: RetryBudget,
    addresses: FastMap<EndpointId, SocketAddr>,
}

/// An exponentially weighted request rate.
#[derive(Debug, Default)]
struct RequestRate {
    /// Requests a minute at the time of the last request.
    rate: f64,
    /// When the last request came.
    at: Duration,
}

/// The properties of a waiting request that decide its place in the queue, and how long it waits.
#[derive(Debug, Clone)]
pub(crate) struct RoutingWaiter<'a> {
    pub(crate) workspace: &'a WorkspaceId,
    pub(crate) priority: Priority,
    /// The tokens that the request may use, or 1 for a request to a plain service.
    pub(crate) cost: u64,
    /// Until when the request may wait, as a time since the process started.
    pub(crate) deadline: Duration,
}

/// The endpoint that a request was routed to; the router counts the request as running there until
/// this value is dropped.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    service: Arc<ServiceRouter>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    /// The tokens of the prompt that the endpoint has not cached.
    uncached: Tokens,
    /// The start of the process, which the router's times are counted from.
    start: Instant,
    times: Option<RequestTimes>,
}

impl RoutedRequest {
    /// Sets the times from sending to the first token and to the end, for the router's estimates.
    pub(crate) fn set_times(&mut self, first: Duration, total: Duration) {
        self.times = Some(RequestTimes { uncached: self.uncached, first_token: first, total });
    }
}

impl Drop for RoutedRequest {
    fn drop(&mut self) {
        let mut inner = self.service.lock();
        inner.router.finish(&self.endpoint, self.times, self.start.elapsed());
        inner.wake_next();
    }
}

impl Routers {
    pub(crate) fn new(domain: DomainId) -> Self {
        Self { domain, services: RwLock::default(), models: Mutex::default() }
    }

    /// Applies the services and endpoints of a new configuration.
    pub(crate) fn apply_config(&self, config: &CompiledConfig) {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.retain(|name, _| config.config.services.contains_key(name));
        for name in config.config.services.keys() {
            let service =
                services.entry(name.clone()).or_insert_with(|| ServiceRouter::new(&self.domain));
            service.lock().apply_config(name, config);
        }
    }

    pub(crate) fn service(&self, name: &ServiceId) -> Option<Arc<ServiceRouter>> {
        self.services.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Counts a request for a model in its rate.
    pub(crate) fn count_request(&self, model: &ModelId, now: Duration) {
        let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = models.entry(model.clone()).or_default();
        rate.rate = rate.at_time(now) + 60.0 / DEMAND_SECONDS;
        rate.at = now;
    }

    /// Returns the requests a minute for each model with any.
    pub(crate) fn demand(&self, now: Duration) -> BTreeMap<ModelId, u64> {
        let models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        let rates = models.iter().map(|(name, rate)| (name.clone(), rate.at_time(now) as u64));
        rates.filter(|(_, rate)| *rate > 0).collect()
    }
}

impl RequestRate {
    /// Returns the decayed rate at a time after the last request, in requests a minute.
    fn at_time(&self, now: Duration) -> f64 {
        self.rate * (-now.saturating_sub(self.at).as_secs_f64() / DEMAND_SECONDS).exp()
    }
}

impl ServiceRouter {
    fn new(domain: &DomainId) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                router: Router::new(domain.clone()),
                queue: FairQueue::default(),
                waiting: FastMap::default(),
                last_ticket: 0,
                budget: RetryBudget::default(),
                addresses: FastMap::default(),
            }),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks an endpoint, and waits in the fair queue while all of them are full.
    ///
    /// Fails if none can run the request, or if all are still full at the deadline.
    pub(crate) async fn pick(
        self: &Arc<Self>,
        shared: &AppState,
        query: &RouteQuery<'_>,
        waiter: &RoutingWaiter<'_>,
    ) -> Result<RoutedRequest, Refusal> {
        let mut woken = false;
        loop {
            let now = shared.now();
            let queued = {
                let mut inner = self.lock();
                // Waiting requests go first, unless this one has just been woken.
                let must_wait = !woken && !inner.queue.is_empty();
                let picked = if must_wait {
                    Err(PickError::Full)
                } else {
                    inner.router.pick(query, now, &mut rand::rng())
                };
                match picked {
                    Ok(pick) => return Ok(self.start_request(&mut inner, pick, shared.start)),
                    Err(PickError::Full) => inner.enqueue(waiter),
                    Err(reason) => return Err(refusal_for(reason)),
                }
            };
            let (ticket, wakeup) = queued;
            let remaining = waiter.deadline.saturating_sub(now);
            let guard = LeaveOnDrop { service: self, ticket };
            let result = tokio::time::timeout(remaining, wakeup).await;
            drop(guard);
            if result.is_err() {
                return Err(refusal_for(PickError::Full));
            }
            woken = true;
        }
    }

    /// Counts a request towards the retry budget and looks its endpoint's address up.
    fn start_request(
        self: &Arc<Self>,
        inner: &mut Inner,
        pick: Pick,
        start: Instant,
    ) -> RoutedRequest {
        inner.budget.on_request();
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let Pick { endpoint: name, uncached } = pick;
        let address = inner.addresses.get(&name).copied().unwrap_or(unknown);
        RoutedRequest {
            service: self.clone(),
            endpoint: name,
            address,
            uncached,
            start,
            times: None,
        }
    }

    /// Records an endpoint's failure and returns whether the retry budget allows another attempt.
    pub(crate) fn on_failure(&self, name: &EndpointId, now: Duration) -> bool {
        let mut inner = self.lock();
        inner.router.on_failure(name, now);
        inner.budget.take(now)
    }

    /// Returns how many more requests for an item the endpoints outside a domain can run at once.
    pub(crate) fn spare_elsewhere(&self, item: &str, domain: &DomainId) -> f64 {
        self.lock().router.spare_elsewhere(item, domain)
    }

    /// Returns the endpoints on which an item is resident.
    pub(crate) fn holders(&self, item: &str) -> Vec<EndpointId> {
        self.lock().router.holders(item)
    }
}

impl Inner {
    fn apply_config(&mut self, service: &ServiceId, config: &CompiledConfig) {
        let endpoints = config.config.endpoints.iter().filter(|(_, e)| e.service == *service);
        self.addresses.clear();
        for (name, endpoint) in endpoints {
            let (domain, slots) = (&endpoint.domain, endpoint.slots);
            self.router.upsert(name, domain, slots, endpoint.leaving);
            self.addresses.insert(name.clone(), endpoint.address);
        }
        let addresses = &self.addresses;
        self.router.retain(|name| addresses.contains_key(name));
    }

    /// Queues a request; returns its ticket and the receiver of the message that wakes it.
    fn enqueue(&mut self, waiter: &RoutingWaiter<'_>) -> (u64, oneshot::Receiver<()>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let (sender, receiver) = oneshot::channel();
        self.queue.push(ticket, waiter.workspace, waiter.priority, waiter.cost);
        self.waiting.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Wakes the next waiting request, which then tries again.
    fn wake_next(&mut self) {
        while let Some(ticket) = self.queue.pop() {
            let Some(sender) = self.waiting.remove(&ticket) else { continue };
            if sender.send(()).is_ok() {
                return;
            }
        }
    }
}

/// Removes a request from the queue when it stops waiting.
struct LeaveOnDrop<'a> {
    service: &'a ServiceRouter,
    ticket: u64,
}

impl Drop for LeaveOnDrop<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.lock();
        inner.waiting.remove(&self.ticket);
        inner.queue.remove(self.ticket);
    }
}

fn refusal_for(reason: PickError) -> Refusal {
    let (kind, detail) = match reason {
        PickError::Full => (ErrorKind::Overloaded, "every endpoint that could run this is full"),
        PickError::Unreachable => {
            (ErrorKind::NoEndpoint, "no endpoint that could run this is reachable")
        }
        PickError::NotResident => (ErrorKind::NoEndpoint, "no endpoint holds the model now"),
    };
    Refusal::not_run(kind, detail).retry_after(RETRY_AFTER)
}

/// Runs a task for each engine, which reads the engine's load, state and cache events.
pub(crate) async fn follow_engines(shared: Arc<AppState>) {
    let mut tasks: FastMap<EndpointId, tokio::task::JoinHandle<()>> = FastMap::default();
    let mut versions = shared.versions.subscribe();
    loop {
        if let Some(config) = shared.config() {
            let engines: BTreeMap<&EndpointId, _> = config
                .config
                .endpoints
                .iter()
                .filter(|(_, endpoint)| {
                    let service = config.config.services.get(&endpoint.service);
                    service.is_some_and(|service| service.kind == ServiceKind::Models)
                })
                .collect();
            tasks.retain(|name, task| {
                let kept = engines.contains_key(name);
                if !kept {
                    task.abort();
                }
                kept
            });
            for (name, endpoint) in engines {
                let engine = Engine {
                    name: name.clone(),
                    service: endpoint.service.clone(),
                    address: endpoint.address,
                    same_domain: endpoint.domain == shared.settings.domain,
                };
                tasks
                    .entry(name.clone())
                    .or_insert_with(|| tokio::spawn(follow_engine(shared.clone(), engine)));
            }
        }
        if versions.changed().await.is_err() {
            return;
        }
    }
}

/// An engine whose reports are read.
struct Engine {
    name: EndpointId,
    service: ServiceId,
    address: SocketAddr,
    same_domain: bool,
}

/// Returns the time between two reports of an engine.
///
/// It grows with the number of engines, so that the cost of all reports stays bounded.
fn report_interval(shared: &AppState, same_domain: bool) -> Duration {
    let Some(config) = shared.config() else { return MIN_REPORT_INTERVAL };
    let endpoints = config.config.endpoints.values();
    let counted =
        endpoints.filter(|endpoint| (endpoint.domain == shared.settings.domain) == same_domain);
    let interval = REPORT_INTERVAL_PER_ENGINE * counted.count() as u32;
    if same_domain {
        interval.max(MIN_REPORT_INTERVAL)
    } else {
        interval.max(MIN_REPORT_INTERVAL) * REMOTE_INTERVAL_RATIO
    }
}

async fn follow_engine(shared: Arc<AppState>, engine: Engine) {
    let Engine { name, service, address, same_domain } = engine;
    let mut round = 0;
    let mut last_event = 0;
    loop {
        let Some(router) = shared.routers.service(&service) else { return };
        if round % STATE_ROUNDS == 0 {
            if let Some(state) = engine::read_state(&shared.pool, address).await {
                let mut inner = router.lock();
                inner.router.set_resident(&name, state.resident.into_keys());
                inner.wake_next();
            }
            if let Some((next, blocks)) =
                engine::read_cache_events(&shared.pool, address, last_event).await
            {
                last_event = next;
                router.lock().router.on_cached(&name, &blocks);
            }
        }
        if let Some((load, age)) = engine::read_load(&shared.pool, address).await {
            let vms = shared.members().serving(shared.now()).len();
            let mut inner = router.lock();
            inner.router.set_vms(vms);
            inner.router.on_load(&name, load, shared.now().saturating_sub(age));
            inner.wake_next();
        }
        round += 1;
        tokio::time::sleep(report_interval(&shared, same_domain)).await;
    }
}
