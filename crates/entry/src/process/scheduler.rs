//! Assigns requests to endpoints, and holds the requests that wait for a slot.

mod limits;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    AdapterId, Availability, Dispatcher, DomainId, EndpointId, EndpointInstance, FastMap, FastSet,
    Load, ModelId, ModelRef, Permit, QueueTicket, Requirements, ResidentModels, SendOutcome,
    ServiceId, Shortage, VmId,
};
use log::info;
use tokio::sync::{Notify, oneshot};

use crate::edge::clock::boot_now;
use crate::edge::{ListedEndpoint, ResponseHead};
use crate::process::metrics::Metrics;
use crate::wire::{AdapterUse, Demand, Held, LeavingEndpoint, Status};

/// How long a member's reported demand counts.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after the leader's last message what it told of endpoints' models overrides their
/// entries in the list.
const LEADER_STATE_TIMEOUT: Duration = Duration::from_secs(16);

/// The endpoints, the waiting requests, and the demand that is reported to the leader.
#[derive(Debug)]
pub(crate) struct Scheduler {
    state: Mutex<State>,
    metrics: Arc<Metrics>,
    /// Notified when a request lacks a model or an adapter, or an endpoint cannot be reached or
    /// leaves.
    pub(crate) shortage: Notify,
    /// Notified when an endpoint wants quiet or a domain is emptied, for the requests that wait.
    quiet: Notify,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    addresses: FastMap<EndpointId, SocketAddr>,
    waiters: FastMap<QueueTicket, oneshot::Sender<EndpointSlot>>,
    /// When each model that is being loaded will be available.
    loading: FastMap<(EndpointId, ModelId), Duration>,
    /// The endpoints whose models the leader has told.
    leader_state: FastSet<EndpointId>,
    /// How many requests hold a slot now.
    open: FastMap<(ServiceId, ModelId), u32>,
    /// How many attempts since the last report found no endpoint with the model or adapter.
    unserved: FastMap<(ServiceId, ModelId), u32>,
    /// The adapters that were asked for since the last report, and whether one was missing.
    adapters: FastMap<(ServiceId, ModelRef), bool>,
    /// The endpoints that could not be reached since the last report.
    unreachable: FastSet<EndpointId>,
    /// The last reported demand of each VM that reports to this one, and when it was reported.
    members: FastMap<VmId, (Duration, Vec<Demand>)>,
    /// When the leader or a relay was last heard.
    leader_heard: Duration,
    /// The last ticket that was given out.
    last_ticket: QueueTicket,
}

/// A request's slot at an endpoint; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct EndpointSlot {
    scheduler: Arc<Scheduler>,
    pub(crate) name: EndpointId,
    pub(crate) address: SocketAddr,
    /// The process instance that was listed when this slot was taken.
    pub(crate) instance: u64,
    /// The part of the endpoint's slots in use when this slot was taken, including this slot; more
    /// than 1 if requests queue there.
    pub(crate) utilization: f64,
    /// The service and model that the slot counts for, if the service has models.
    model: Option<(ServiceId, ModelId)>,
    outcome: SendOutcome,
    /// The permit for the request, if the endpoint names a limit and the request is not written yet.
    permit: Mutex<Option<Permit>>,
}

impl EndpointSlot {
    /// Sets how the request ended; [`SendOutcome::Neutral`] until then.
    pub(crate) fn set_outcome(&mut self, outcome: SendOutcome) {
        self.outcome = outcome;
    }

    /// Records the load that the endpoint's response reported.
    pub(crate) fn on_load(&self, load: Load) {
        self.scheduler.state().dispatcher.on_load(&self.name, load, boot_now());
    }

    /// Records what the head of an answer says about sending to the endpoint; returns whether the
    /// endpoint wants quiet now.
    ///
    /// `sent` is when the request was sent, `None` if the answer belongs to another one.
    pub(crate) fn on_head(&self, head: &ResponseHead, sent: Option<Duration>, cause: &str) -> bool {
        self.scheduler.on_head(&self.name, self.instance, head, sent, cause)
    }

    /// Returns whether the request may be written to the endpoint now.
    pub(crate) fn may_write(&self) -> bool {
        self.scheduler.may_write(self)
    }

    /// Records that the request was written to the endpoint.
    pub(crate) fn on_written(&self) {
        self.scheduler.on_written(self);
    }

    fn permit(&self) -> MutexGuard<'_, Option<Permit>> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the endpoint leaves, by its answers or by its entry in the list.
    pub(crate) fn is_leaving(&self) -> bool {
        let state = self.scheduler.state();
        state.dispatcher.is_leaving(&self.name, self.instance)
    }

    /// Returns whether the endpoint is so loaded that a late response is to be expected.
    pub(crate) fn is_busy(&self) -> bool {
        self.scheduler.state().dispatcher.is_busy(&self.name, boot_now())
    }

    /// Records that the endpoint lacks the model or adapter; returns whether an adapter is still
    /// loading there, in which case waiting requests are given free slots once it has loaded.
    pub(crate) fn on_missing(&self, target: &ModelRef) -> bool {
        let wait = self.scheduler.state().dispatcher.on_missing(&self.name, target, boot_now());
        let Some(wait) = wait else { return false };
        self.scheduler.dispatch_at(boot_now() + wait);
        true
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        let now = boot_now();
        let permit = self.permit().take();
        let mut state = self.scheduler.state();
        if let Some(permit) = permit {
            let instance = (self.name.clone(), self.instance);
            state.dispatcher.limits().put_back(&instance, permit, now);
        }
        state.dispatcher.finish(&self.name, self.outcome, now);
        if self.outcome == SendOutcome::Unreachable {
            state.unreachable.insert(self.name.clone());
            self.scheduler.shortage.notify_one();
        }
        if let Some(model) = &self.model
            && let Some(open) = state.open.get_mut(model)
        {
            *open = open.saturating_sub(1);
        }
        drop(state);
        self.scheduler.dispatch_waiting();
    }
}

/// A request in the queue; dropping this takes the request out of the queue.
struct QueuedRequest {
    scheduler: Arc<Scheduler>,
    ticket: QueueTicket,
    urgency: u8,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut state = self.scheduler.state();
        state.dispatcher.cancel(self.ticket, self.urgency);
        let waiter = state.waiters.remove(&self.ticket);
        drop(state);
        drop(waiter);
    }
}

impl Scheduler {
    pub(crate) fn new(domain: DomainId, metrics: Arc<Metrics>) -> Self {
        let state = State {
            dispatcher: Dispatcher::new(domain),
            addresses: FastMap::default(),
            waiters: FastMap::default(),
            loading: FastMap::default(),
            leader_state: FastSet::default(),
            open: FastMap::default(),
            unserved: FastMap::default(),
            adapters: FastMap::default(),
            unreachable: FastSet::default(),
            members: FastMap::default(),
            leader_heard: Duration::ZERO,
            last_ticket: 0,
        };
        Self { state: Mutex::new(state), metrics, shortage: Notify::new(), quiet: Notify::new() }
    }

    /// Returns how many endpoints accept requests.
    pub(crate) fn ready_endpoints(&self) -> usize {
        self.state().dispatcher.ready()
    }

    /// Adds or updates an endpoint from its entry in the list.
    ///
    /// A recent message of the leader on the models of the same process takes precedence over the
    /// entry's models.
    pub(crate) fn upsert_endpoint(self: &Arc<Self>, name: &EndpointId, listed: &ListedEndpoint) {
        let now = boot_now();
        let mut state = self.state();
        let restarted = state.dispatcher.instance(name) != Some(listed.info.instance);
        state.dispatcher.upsert(name, listed.info.clone());
        let cold = state.dispatcher.on_cold(name, listed.cold, now);
        state.addresses.insert(name.clone(), listed.address);
        let overridden =
            state.leader_state.contains(name) && now < state.leader_heard + LEADER_STATE_TIMEOUT;
        if restarted || !overridden {
            state.dispatcher.set_resident(name, listed.report.resident.clone());
        }
        let rate = state.dispatcher.limit(name, listed.info.instance);
        drop(state);
        if let Some(change) = cold {
            info!(endpoint = name.as_str(), born = listed.info.instance, change:?, rate,
                left_ms = listed.cold.as_millis() as u64; "the time for which an endpoint is cold has changed");
        }
        self.dispatch_waiting();
    }

    /// Sets the failure domains whose endpoints get nothing, and looks for other endpoints for what waits.
    pub(crate) fn set_emptied(self: &Arc<Self>, emptied: FastSet<DomainId>) {
        self.state().dispatcher.set_emptied(emptied);
        self.dispatch_waiting();
        self.quiet.notify_waiters();
        self.shortage.notify_one();
    }

    /// Removes an endpoint.
    pub(crate) fn remove_endpoint(&self, name: &EndpointId) {
        let mut state = self.state();
        state.dispatcher.remove(name);
        state.addresses.remove(name);
        state.leader_state.remove(name);
    }

    /// Returns whether an instance of an endpoint may be sent to now.
    pub(crate) fn availability(&self, name: &EndpointId, instance: u64) -> Availability {
        self.state().dispatcher.availability(name, instance, boot_now())
    }

    /// Records what the head of an instance's answer says about sending to it; returns whether the
    /// instance wants quiet now. `cause` is the id of the request, or what else was answered.
    pub(crate) fn on_head(
        self: &Arc<Self>,
        name: &EndpointId,
        instance: u64,
        head: &ResponseHead,
        sent: Option<Duration>,
        cause: &str,
    ) -> bool {
        if head.leaving {
            self.on_leaving(name, instance, cause);
        }
        self.on_named_limit(name, instance, head.limit, sent, cause);
        let Some(request) = head.quiet else { return false };
        let now = boot_now();
        let changed = self.state().dispatcher.on_quiet(name, instance, request, now);
        if let Some(until) = changed {
            info!(endpoint = name.as_str(), born = instance, id = cause, asked:? = request,
                quiet_ms = until.saturating_sub(now).as_millis() as u64;
                "an endpoint wants no requests for a time");
            self.dispatch_at(until);
            self.quiet.notify_waiters();
        }
        matches!(self.availability(name, instance), Availability::QuietUntil(_))
    }

    /// Records that an instance of an endpoint leaves.
    fn on_leaving(self: &Arc<Self>, name: &EndpointId, instance: u64, cause: &str) {
        let mut state = self.state();
        if !state.dispatcher.on_leaving(name, instance, boot_now()) {
            return;
        }
        let listed = state.dispatcher.instance(name);
        drop(state);
        info!(endpoint = name.as_str(), born = instance, listed, id = cause;
            "an endpoint leaves by its own answer and is not used");
        self.shortage.notify_one();
        // Requests that wait for this endpoint may have room at others.
        self.dispatch_waiting();
    }

    /// Records the endpoints that leave by what another VM reports.
    pub(crate) fn on_told_leaving(self: &Arc<Self>, report: &Status) {
        for leaving in &report.leaving {
            let name = EndpointId::new(&leaving.endpoint);
            self.on_leaving(&name, leaving.born, &report.vm);
        }
    }

    /// Returns the endpoints that leave by their answers but not yet by the list, for a report.
    pub(crate) fn leaving(&self) -> Vec<LeavingEndpoint> {
        let leaving = self.state().dispatcher.leaving().into_iter();
        let message =
            |(name, born): EndpointInstance| LeavingEndpoint { endpoint: name.into(), born };
        leaving.map(message).collect()
    }

    /// Updates the metrics of endpoints that may not be sent to.
    pub(crate) fn record_availability(&self) {
        let state = self.state();
        let (leaving, quiet) = state.dispatcher.unavailable(boot_now());
        self.metrics.record_availability(leaving, quiet, state.dispatcher.limited());
        let cold = state.dispatcher.cold();
        drop(state);
        self.metrics.record_cold(cold);
    }

    /// Returns whether a service can lose one endpoint.
    pub(crate) fn has_spare(&self, service: &ServiceId) -> bool {
        self.state().dispatcher.has_spare(service, boot_now())
    }

    /// Returns why no slot is free for a request, or `None` if one is.
    pub(crate) fn shortage(&self, needs: &Requirements) -> Option<Shortage> {
        self.state().dispatcher.choose(needs, 0, boot_now()).err()
    }

    /// Gives free slots to waiting requests at a time on the boot clock.
    fn dispatch_at(self: &Arc<Self>, time: Duration) {
        let scheduler = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time.saturating_sub(boot_now())).await;
            scheduler.dispatch_waiting();
        });
    }

    /// Records a message of the leader or of a relay.
    pub(crate) fn on_leader_heard(&self) {
        self.state().leader_heard = boot_now();
    }

    /// Records the report of a VM that reports to this one; returns whether its callers lack a model
    /// or an adapter.
    pub(crate) fn on_member(self: &Arc<Self>, report: &Status) -> bool {
        self.on_told_leaving(report);
        let now = boot_now();
        let mut state = self.state();
        let mut lacks = report.demand.iter().any(|item| item.waiting > 0);
        for item in &report.adapters {
            let target =
                ModelRef { model: (&item.model).into(), adapter: Some((&item.adapter).into()) };
            *state.adapters.entry(((&item.service).into(), target)).or_default() |= item.missing;
            lacks |= item.missing;
        }
        state.unreachable.extend(report.unreached.iter().map(EndpointId::new));
        state.members.insert(VmId::new(&report.vm), (now, report.demand.clone()));
        if lacks || !report.unreached.is_empty() {
            self.shortage.notify_one();
        }
        lacks
    }

    /// Returns how many VMs report to this one.
    pub(crate) fn members(&self) -> usize {
        let now = boot_now();
        let mut state = self.state();
        state.members.retain(|_, (at, _)| now < *at + MEMBER_TIMEOUT);
        state.members.len()
    }

    /// Applies the leader's message on which models endpoints hold and load.
    pub(crate) fn on_leader_state(self: &Arc<Self>, held: &[Held]) {
        if held.is_empty() {
            return;
        }
        let now = boot_now();
        let mut state = self.state();
        for endpoint in held {
            let name = EndpointId::new(&endpoint.endpoint);
            state.loading.retain(|(other, _), _| *other != name);
            if !endpoint.loading.is_empty() {
                let due = now + Duration::from_millis(u64::from(endpoint.left));
                state.loading.insert((name.clone(), ModelId::new(&endpoint.loading)), due);
            }
            if state.dispatcher.instance(&name) != Some(endpoint.born) {
                continue;
            }
            let resident: ResidentModels = endpoint
                .models
                .iter()
                .map(|model| {
                    let adapters = model.adapters.iter().map(AdapterId::new);
                    (ModelId::new(&model.model), adapters.collect::<FastSet<_>>())
                })
                .collect();
            state.dispatcher.set_resident(&name, resident);
            state.leader_state.insert(name);
        }
        drop(state);
        self.dispatch_waiting();
    }

    /// Returns the time until a model that is being loaded is available, at the first endpoint that
    /// loads the model.
    pub(crate) fn time_until_loaded(&self, model: &ModelId) -> Option<Duration> {
        let now = boot_now();
        let state = self.state();
        let loads = state.loading.iter().filter(|((_, other), _)| other == model);
        loads.map(|(_, due)| due.saturating_sub(now)).min()
    }

    /// Takes a slot that is free now.
    ///
    /// # Errors
    /// Returns the shortage. A missing model or adapter also makes the next report to the leader
    /// due soon.
    pub(crate) fn try_acquire(
        self: &Arc<Self>,
        needs: &Requirements,
    ) -> Result<EndpointSlot, Shortage> {
        let mut state = self.state();
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        self.record_adapter(&mut state, needs, false);
        let picked = state.dispatcher.pick(needs, ticket, boot_now());
        if matches!(picked, Err(Shortage::NotResident | Shortage::NoAdapter | Shortage::Limited(_)))
        {
            let lacks_adapter = !matches!(picked, Err(Shortage::Limited(_)));
            self.record_adapter(&mut state, needs, lacks_adapter);
            if let Some(target) = &needs.target {
                let key = (needs.service.clone(), target.model.clone());
                *state.unserved.entry(key).or_default() += 1;
            }
            self.shortage.notify_one();
        }
        picked.and_then(|name| self.occupy(&mut state, name, needs).ok_or(Shortage::NoEndpoint))
    }

    /// Waits for a slot; returns `None` if no slot is free within `timeout`, or as soon as all
    /// endpoints want quiet for longer or are in emptied domains.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        needs: &Requirements,
        timeout: Duration,
    ) -> Option<EndpointSlot> {
        let (sender, mut receiver) = oneshot::channel();
        let mut changed = std::pin::pin!(self.quiet.notified());
        let end = boot_now() + timeout;
        let guard = {
            let mut state = self.state();
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            state.dispatcher.enqueue(ticket, needs.clone());
            state.waiters.insert(ticket, sender);
            QueuedRequest { scheduler: self.clone(), ticket, urgency: needs.urgency }
        };
        let waiting = async {
            loop {
                tokio::select! {
                    slot = &mut receiver => return slot.ok(),
                    () = changed.as_mut() => changed.set(self.quiet.notified()),
                }
                match self.shortage(needs) {
                    Some(Shortage::Quiet(until)) if until > end => return None,
                    Some(Shortage::Emptied) => return None,
                    _ => {}
                }
            }
        };
        let slot = tokio::time::timeout(timeout, waiting).await;
        drop(guard);
        slot.ok()?
    }

    /// Gives free slots to waiting requests.
    pub(crate) fn dispatch_waiting(self: &Arc<Self>) {
        let mut unclaimed = Vec::new();
        let mut state = self.state();
        if state.dispatcher.waiting() == 0 {
            return;
        }
        for (ticket, name, needs) in state.dispatcher.dispatch_waiting(boot_now()) {
            let Some(waiter) = state.waiters.remove(&ticket) else { continue };
            let Some(slot) = self.occupy(&mut state, name, &needs) else { continue };
            if let Err(slot) = waiter.send(slot) {
                unclaimed.push(slot);
            }
        }
        drop(state);
        // Dropping a slot takes the lock.
        drop(unclaimed);
    }

    /// Returns the endpoints that could not be reached since the last call.
    pub(crate) fn take_unreachable(&self) -> Vec<String> {
        self.state().unreachable.drain().map(Into::into).collect()
    }

    /// Returns the demand and the use of adapters for a report to the leader, and resets the counts
    /// that cover the time between two reports.
    pub(crate) fn take_demand(&self) -> (Vec<Demand>, Vec<AdapterUse>) {
        let mut state = self.state();
        let mut totals: FastMap<(ServiceId, ModelId), (u32, u32)> = FastMap::default();
        for (key, open) in &state.open {
            totals.entry(key.clone()).or_default().0 += open;
        }
        state.open.retain(|_, open| *open > 0);
        for (key, unserved) in state.unserved.drain() {
            totals.entry(key).or_default().1 += unserved;
        }
        for ((service, target), waiting) in state.dispatcher.waiting_by_model() {
            totals.entry((service, target.model)).or_default().1 += waiting;
        }
        let now = boot_now();
        let live = state.members.values().filter(|(at, _)| now < *at + MEMBER_TIMEOUT);
        for item in live.flat_map(|(_, demand)| demand) {
            let key = (ServiceId::new(&item.service), ModelId::new(&item.model));
            let total = totals.entry(key).or_default();
            total.0 += item.open;
            total.1 += item.waiting;
        }
        let demand = totals.into_iter().map(|((service, model), (open, waiting))| Demand {
            service: service.into(),
            model: model.into(),
            open,
            waiting,
        });
        let demand = demand.collect();
        let adapters = state.adapters.drain().map(|((service, target), missing)| AdapterUse {
            service: service.into(),
            model: target.model.into(),
            adapter: target.adapter.unwrap_or_default().into(),
            missing,
        });
        let adapters = adapters.collect();
        (demand, adapters)
    }

    /// Creates the slot for a request that was picked for an endpoint.
    fn occupy(
        self: &Arc<Self>,
        state: &mut State,
        name: EndpointId,
        needs: &Requirements,
    ) -> Option<EndpointSlot> {
        let Some(address) = state.addresses.get(&name).copied() else {
            info!(endpoint = name.as_str(); "an endpoint without an address was picked");
            state.dispatcher.finish(&name, SendOutcome::Neutral, boot_now());
            state.dispatcher.take_reserved(&name);
            return None;
        };
        let permit = Mutex::new(state.dispatcher.take_reserved(&name));
        let model = needs.target.as_ref().map(|target| {
            let key = (needs.service.clone(), target.model.clone());
            *state.open.entry(key.clone()).or_default() += 1;
            key
        });
        let utilization = state.dispatcher.utilization(&name, boot_now());
        let instance = state.dispatcher.instance(&name).unwrap_or_default();
        let scheduler = self.clone();
        Some(EndpointSlot {
            scheduler,
            name,
            address,
            instance,
            utilization,
            model,
            outcome: SendOutcome::Neutral,
            permit,
        })
    }

    /// Records that a request asks for an adapter, and whether it is missing.
    fn record_adapter(&self, state: &mut State, needs: &Requirements, missing: bool) {
        let Some(target) = &needs.target else { return };
        if target.adapter.is_none() {
            return;
        }
        let entry = state.adapters.entry((needs.service.clone(), target.clone())).or_default();
        *entry |= missing;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
