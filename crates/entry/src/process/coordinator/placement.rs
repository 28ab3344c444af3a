//! Which models endpoints hold and which orders they get, while this VM holds the lease.

use std::time::Duration;

use bamboocourse_decide::{
    Availability, EndpointId, EndpointReport, EndpointTracker, EndpointView, FastMap, FastSet,
    FleetConfig, LATE_ORDER_TIMEOUT, LoadFailures, LoadLimiter, LoadOutcome, LoadedItem, ModelId,
    OrderCommand, OrderKey, OrderReply, PlannedOrder, QuietPeriod, ServiceId, ServicePlanner, VmId,
};

use log::info;

use crate::edge::ListedEndpoint;
use crate::process::scheduler::Scheduler;
use crate::process::settings::Bounds;
use crate::wire::{AdapterUse, Demand, Held, HeldModel};

/// How long a VM's report of its demand counts.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A limit below this many requests per second and slot leaves most of an endpoint's slots empty, as a
/// request takes about a second.
const LOW_LIMIT_PER_SLOT: f64 = 0.5;

/// The endpoints and planners of the services that have models.
pub(crate) struct EndpointPlacement {
    /// Each endpoint's orders and reports, and its entry in the platform's list.
    trackers: FastMap<EndpointId, (EndpointTracker, ListedEndpoint)>,
    planners: FastMap<ServiceId, (ServicePlanner, LoadLimiter)>,
    /// Each VM's last reported demand, and when the report arrived.
    demand: FastMap<VmId, (Duration, Vec<Demand>)>,
    /// The endpoints whose state changed since [`Self::take_changes`] was last called.
    changed: FastSet<EndpointId>,
    /// When each endpoint's last order is expected to finish.
    expected_end: FastMap<EndpointId, Duration>,
    load_failures: LoadFailures,
    bounds: Bounds,
    /// When this VM took over the lease from another process; `None` without a former leader.
    took_over: Option<Duration>,
}

/// An order to send.
#[derive(Debug)]
pub(crate) struct IssuedOrder {
    pub(crate) service: ServiceId,
    pub(crate) planned: PlannedOrder,
    pub(crate) key: OrderKey,
}

/// What came of the request for an endpoint's report.
#[derive(Debug)]
pub(crate) enum ReportReply {
    /// The report.
    Report(EndpointReport),
    /// The endpoint did not report in time.
    Missing,
    /// The endpoint leaves or wants quiet, which says nothing about what it holds.
    Withheld,
}

impl EndpointPlacement {
    pub(crate) fn new(bounds: Bounds, took_over: Option<Duration>) -> Self {
        Self {
            trackers: FastMap::default(),
            planners: FastMap::default(),
            demand: FastMap::default(),
            changed: FastSet::default(),
            expected_end: FastMap::default(),
            load_failures: LoadFailures::default(),
            bounds,
            took_over,
        }
    }

    /// Applies an endpoint's entry in the list; `None` means that the endpoint is gone.
    pub(crate) fn on_listed(
        &mut self,
        name: &EndpointId,
        listed: Option<ListedEndpoint>,
        fleet: &FleetConfig,
        now: Duration,
    ) {
        self.check_load(name, listed.as_ref(), now);
        let Some(listed) = listed else {
            self.trackers.remove(name);
            return;
        };
        let service = fleet.services.get(&listed.info.service);
        if service.is_none_or(|service| service.engine.is_none()) {
            return;
        }
        match self.trackers.get_mut(name) {
            Some((tracker, known)) => {
                *known = listed;
                let loading = loading_item(tracker);
                if tracker.on_listed(&known.report, now) {
                    self.changed.insert(name.clone());
                }
                self.load_failures.clear_loaded(loading, tracker);
            }
            None => {
                self.trackers.insert(
                    name.clone(),
                    (EndpointTracker::new(listed.info.instance, now), listed),
                );
            }
        }
    }

    /// Records that an endpoint ended while it loaded something, if its entry shows that.
    ///
    /// An endpoint that leaves is expected to end.
    fn check_load(&mut self, name: &EndpointId, listed: Option<&ListedEndpoint>, now: Duration) {
        let Some((tracker, known)) = self.trackers.get(name) else { return };
        let instance = tracker.instance();
        if !known.info.ready || listed.is_some_and(|listed| listed.info.instance == instance) {
            return;
        }
        let Some(item) = loading_item(tracker) else { return };
        let (model, adapter) = item.clone();
        let paused = self.load_failures.on_end(item, (name.clone(), instance), now);
        info!(endpoint = name.as_str(), born = instance, model = model.as_str(),
            adapter = adapter.unwrap_or_default().as_str(),
            paused_ms = paused.unwrap_or_default().as_millis() as u64;
            "an endpoint has ended while it loaded a model or adapter");
    }

    /// Returns whether an order would load what endpoints ended with.
    fn is_load_paused(&self, command: &OrderCommand, now: Duration) -> bool {
        let Some(item) = LoadFailures::loaded_item(command) else { return false };
        let trackers = self.trackers.values().map(|(tracker, _)| tracker);
        let loading = trackers.filter(|tracker| loading_item(tracker).as_ref() == Some(&item));
        self.load_failures.is_paused(&item, loading.count(), now)
    }

    /// Records the demand that a relay reported.
    pub(crate) fn on_demand(
        &mut self,
        vm: &VmId,
        demand: Vec<Demand>,
        adapters: &[AdapterUse],
        now: Duration,
    ) {
        for item in adapters {
            let service = ServiceId::new(&item.service);
            let Some((planner, _)) = self.planners.get_mut(&service) else { continue };
            planner.on_adapter((&item.model).into(), (&item.adapter).into(), item.missing, now);
        }
        self.demand.insert(vm.clone(), (now, demand));
    }

    /// Records which endpoints a VM could not reach.
    pub(crate) fn on_unreachable(&mut self, names: &[String], now: Duration) {
        for name in names {
            if let Some((tracker, _)) = self.trackers.get_mut(name.as_str()) {
                tracker.on_unreachable(now);
            }
        }
    }

    /// Returns at most `limit` endpoints whose report is needed and that may be sent to, and counts
    /// each as requested.
    pub(crate) fn take_report_requests(
        &mut self,
        limit: usize,
        scheduler: &Scheduler,
        now: Duration,
    ) -> Vec<(EndpointId, ListedEndpoint)> {
        let mut names = Vec::new();
        for (name, (tracker, listed)) in &mut self.trackers {
            if names.len() >= limit {
                break;
            }
            tracker.check_overdue(now);
            if tracker.needs_report(now)
                && scheduler.availability(name, listed.info.instance) == Availability::Open
            {
                tracker.on_report_requested(now);
                names.push((name.clone(), listed.clone()));
            }
        }
        names
    }

    /// Applies what came of the report that was requested of an endpoint at a time.
    pub(crate) fn on_report(
        &mut self,
        name: &EndpointId,
        requested: Duration,
        reply: ReportReply,
        now: Duration,
    ) {
        let Some((tracker, _)) = self.trackers.get_mut(name) else { return };
        match reply {
            ReportReply::Report(_) if tracker.may_predate_order(requested) => {
                tracker.retry_report();
            }
            ReportReply::Report(report) => {
                let loading = loading_item(tracker);
                if tracker.on_report(report, now) {
                    self.changed.insert(name.clone());
                }
                self.load_failures.clear_loaded(loading, tracker);
            }
            ReportReply::Missing => tracker.on_no_report(now),
            // The request stays due, and is repeated once the endpoint may be asked.
            ReportReply::Withheld => {}
        }
    }

    /// Applies the reply to an order.
    pub(crate) fn on_reply(&mut self, order: &IssuedOrder, reply: OrderReply, now: Duration) {
        if order.planned.from_store
            && let Some((_, limiter)) = self.planners.get_mut(&order.service)
        {
            limiter.settle(load_outcome(reply, now), now);
        }
        let name = &order.planned.endpoint;
        let Some((tracker, _)) = self.trackers.get_mut(name) else { return };
        if tracker.on_reply(order.key, reply, now) {
            self.changed.insert(name.clone());
        }
        if reply != OrderReply::Accepted {
            self.expected_end.remove(name);
        }
    }

    /// Updates the planners with the demand of all VMs and returns the orders to send now.
    ///
    /// Without a quiet period no orders may be given, and only the planners are updated. Endpoints
    /// that leave or whose domain is emptied take no part, and those that want quiet get no orders.
    pub(crate) fn plan(
        &mut self,
        fleet: &FleetConfig,
        quiet_period: Option<&QuietPeriod>,
        scheduler: &Scheduler,
        now: Duration,
    ) -> Vec<IssuedOrder> {
        let mut orders = Vec::new();
        self.load_failures.prune(now);
        for (name, service) in &fleet.services {
            let Some(engine) = &service.engine else { continue };
            let (bounds, took_over) = (&self.bounds, self.took_over);
            let (planner, limiter) = self.planners.entry(name.clone()).or_insert_with(|| {
                let limiter = LoadLimiter::new(bounds.load_window, bounds.load_excess);
                (ServicePlanner::default(), limiter)
            });
            limiter.set_rate(engine.load_rate);
            if let Some(took_over) =
                took_over.filter(|took_over| now < *took_over + bounds.load_window)
            {
                // The former leader's loads are not known. While some may still lie within the
                // window, they count as all that the limit allows.
                limiter.fill(took_over);
            }
            planner.on_demand(total_demand(&self.demand, name, now), now);
            let Some(quiet_period) = quiet_period else { continue };
            let mut views: Vec<EndpointView> = self
                .trackers
                .iter()
                .filter(|(_, (tracker, listed))| {
                    let own = listed.info.service == *name;
                    own && listed.info.ready && !tracker.is_down()
                })
                .filter_map(|(name, (tracker, listed))| {
                    let availability = scheduler.availability(name, listed.info.instance);
                    let mut view = endpoint_view(name, tracker, listed, now);
                    view.idle &= quiet_period.allows(name, now);
                    view.idle &= availability == Availability::Open;
                    if let Some(limit) = scheduler.order_limit(name, listed.info.instance) {
                        view.idle &= limit.has_room;
                        let slots = f64::from(listed.info.slots);
                        view.limited =
                            limit.named.is_some_and(|rate| rate < slots * LOW_LIMIT_PER_SLOT);
                    }
                    // What an emptied domain holds is loaded elsewhere, as with endpoints that leave.
                    let stays =
                        !matches!(availability, Availability::Leaving | Availability::Emptied);
                    stays.then_some(view)
                })
                .collect();
            views.sort_by(|a, b| a.name.cmp(&b.name));
            let planned = planner.plan(engine, &mut views, limiter, now);
            for planned in planned {
                let command = planned.command.clone();
                let is_paused = self.is_load_paused(&command, now);
                let Some((_, limiter)) = self.planners.get_mut(name) else { break };
                if is_paused {
                    if planned.from_store {
                        limiter.settle(LoadOutcome::NotBegun, now);
                    }
                    continue;
                }
                let key = self.trackers.get_mut(&planned.endpoint).and_then(|(tracker, _)| {
                    tracker.begin_order(command, planned.expected_time, now)
                });
                let Some(key) = key else {
                    if planned.from_store {
                        limiter.settle(LoadOutcome::NotBegun, now);
                    }
                    continue;
                };
                self.expected_end.insert(planned.endpoint.clone(), now + planned.expected_time);
                self.changed.insert(planned.endpoint.clone());
                orders.push(IssuedOrder { service: name.clone(), planned, key });
            }
        }
        orders
    }

    /// Returns the state of the endpoints that changed since the last call.
    pub(crate) fn take_changes(&mut self, now: Duration) -> Vec<Held> {
        let names: Vec<EndpointId> = self.changed.drain().collect();
        names.iter().filter_map(|name| self.held(name, now)).collect()
    }

    /// Returns an endpoint's entry in the list, if the endpoint is known.
    pub(crate) fn endpoint(&self, name: &EndpointId) -> Option<&ListedEndpoint> {
        self.trackers.get(name).map(|(_, listed)| listed)
    }

    /// Returns which models an endpoint holds and loads; `None` before its first report.
    fn held(&self, name: &EndpointId, now: Duration) -> Option<Held> {
        let (tracker, _) = self.trackers.get(name)?;
        if !tracker.is_known() {
            return None;
        }
        let models = tracker.resident().iter().map(|(model, adapters)| HeldModel {
            model: model.to_string(),
            adapters: adapters.iter().map(ToString::to_string).collect(),
        });
        let loading = tracker.loading_model().map(ToString::to_string).unwrap_or_default();
        let end = self.expected_end.get(name).copied().unwrap_or(now);
        Some(Held {
            endpoint: name.to_string(),
            born: tracker.instance(),
            models: models.collect(),
            loading,
            left: end.saturating_sub(now).as_millis() as u32,
        })
    }
}

/// Returns what an endpoint loads now.
fn loading_item(tracker: &EndpointTracker) -> Option<LoadedItem> {
    let adapter = tracker.loading_adapter().map(|(model, adapter)| (model, Some(adapter)));
    adapter.or_else(|| Some((tracker.loading_model()?.clone(), None)))
}

/// Returns an endpoint as the planner sees it.
fn endpoint_view(
    name: &EndpointId,
    tracker: &EndpointTracker,
    listed: &ListedEndpoint,
    now: Duration,
) -> EndpointView {
    EndpointView {
        name: name.clone(),
        domain: listed.info.domain.clone(),
        resident: tracker.resident().clone(),
        loading_model: tracker.loading_model().cloned(),
        loading_adapter: tracker.loading_adapter(),
        late_loads: tracker.late_loads(now).cloned().collect(),
        late_adapters: tracker
            .late_adapters(now)
            .map(|(model, adapter)| (model.clone(), adapter.clone()))
            .collect(),
        cached: tracker.cached().clone(),
        idle: tracker.is_idle(),
        limited: false,
    }
}

/// Returns what a reply to the order of a load says about the load.
fn load_outcome(reply: OrderReply, now: Duration) -> LoadOutcome {
    match reply {
        OrderReply::Accepted => LoadOutcome::Begun,
        OrderReply::Lost => LoadOutcome::UnknownUntil(now + LATE_ORDER_TIMEOUT),
        OrderReply::Holds
        | OrderReply::Conflict
        | OrderReply::Elsewhere
        | OrderReply::Refused
        | OrderReply::NotSent => LoadOutcome::NotBegun,
    }
}

/// Sums a service's demand over all VMs with a recent report: for each model, the open and the
/// waiting requests.
fn total_demand(
    demand: &FastMap<VmId, (Duration, Vec<Demand>)>,
    service: &ServiceId,
    now: Duration,
) -> Vec<(ModelId, f64, f64)> {
    let mut total: FastMap<&str, (f64, f64)> = FastMap::default();
    for (at, demand) in demand.values() {
        if now > *at + DEMAND_TIMEOUT {
            continue;
        }
        for item in demand.iter().filter(|item| item.service == service.as_str()) {
            let entry = total.entry(item.model.as_str()).or_default();
            entry.0 += f64::from(item.open);
            entry.1 += f64::from(item.waiting);
        }
    }
    total.into_iter().map(|(model, (open, waiting))| (model.into(), open, waiting)).collect()
}
