//! Picks endpoints for requests and queues the requests that must wait.
//!
//! An endpoint is scored by its utilization: the load that its last response reported, plus what
//! this VM has sent since. Endpoints of other failure domains get a fixed penalty, and endpoints
//! that failed recently get a penalty by their rate of failures. A request waits here while no
//! endpoint that holds its model has room. Waiting requests that can still meet their latency
//! target are sent first, and the more urgent ones before others. The endpoints' own queues stay
//! short, so that an urgent request does not wait behind less urgent requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AdapterId, DomainId, EndpointId, ModelId, ServiceId, VmId};
use crate::map::{FastMap, FastSet, hash_of};
use crate::process::request_limits::account::Permit;
use crate::process::request_limits::cold::ColdChange;
use crate::process::request_limits::log::{LimitChange, NamedLimit, Rate};
use crate::process::request_limits::permits::{IssuedPermits, RequestLimits};
use crate::request::availability::{Availability, AvailabilityLog, EndpointInstance, QuietRequest};
use crate::request::route::Load;

/// The score penalty of an endpoint in another failure domain, as a fraction of its slots.
const REMOTE_PENALTY_RATIO: f64 = 0.3;
/// The score penalty of an endpoint that fails every request, as a fraction of its slots.
const FAILURE_PENALTY_RATIO: f64 = 2.0;
/// The largest random addition to a score, as a fraction of the slots. Without it, VMs with the
/// same view would all pick the same endpoint among equals.
const JITTER_RATIO: f64 = 0.04;
/// The largest score difference that a session makes between endpoints, as a fraction of the
/// slots: the requests of one session prefer the endpoint that has cached their earlier prompts.
const AFFINITY_RATIO: f64 = 0.05;
/// The requests that may queue at an endpoint of a plain service before further ones wait here, as
/// a fraction of its slots.
const PLAIN_QUEUE_RATIO: f64 = 0.25;
/// The utilization of an engine at which requests wait here. A request that queues at the engine
/// waits for whole generations to end, and two thirds of such requests miss their latency target.
const ENGINE_FULL_RATIO: f64 = 0.95;
/// The utilization at which requests wait here that have already missed their latency target.
const LATE_FULL_RATIO: f64 = 0.85;
/// The utilization from which a missing response is put down to load rather than to a failure.
const BUSY_RATIO: f64 = 0.8;
/// The weight of the newest result in the moving average of an endpoint's failures.
const FAILURE_SMOOTHING_RATIO: f64 = 0.15;
/// The consecutive failures after which an endpoint is paused.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// The first pause of a failing endpoint; each further pause is twice as long.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause of a failing endpoint.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// The first wait for an adapter that is listed as resident but that the endpoint reports missing;
/// each further wait is twice as long. An adapter loads within 10 ms where few loads are under way.
const ADAPTER_RETRY_DELAY: Duration = Duration::from_millis(15);
/// The waits for such an adapter after which it counts as not resident.
const MAX_ADAPTER_RETRIES: u32 = 3;
/// The age at which a load report no longer counts; its weight falls linearly until then.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// The number of a request in the queue, in order of arrival.
pub type QueueTicket = u64;

/// A model, or an adapter of it, that an endpoint must hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelRef {
    /// The model.
    pub model: ModelId,
    /// The adapter, if the request names one.
    pub adapter: Option<AdapterId>,
}

/// What a request requires of an endpoint.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// The service.
    pub service: ServiceId,
    /// The model or adapter that must be resident; `None` for plain services.
    pub target: Option<ModelRef>,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
    /// A hash of the part of the prompt that a session's requests share, or 0 if there is none.
    pub session: u64,
    /// The time until which a response can still meet the latency target.
    pub target_deadline: Duration,
    /// The endpoints that this request was already sent to.
    pub tried: Vec<EndpointId>,
}

/// Why no endpoint can take a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The service has no ready endpoint.
    NoEndpoint,
    /// Every ready endpoint of the service leaves.
    Leaving,
    /// Every ready endpoint of the service that does not leave is in a failure domain that is emptied.
    Emptied,
    /// No endpoint holds the model.
    NotResident,
    /// Endpoints hold the model, but none holds the adapter.
    NoAdapter,
    /// The request was already sent to every endpoint that holds its model.
    Tried,
    /// Every endpoint that could run the request wants nothing from this VM, the first one until this
    /// time.
    Quiet(Duration),
    /// Every endpoint that could run the request names a limit and has been sent as many requests as it
    /// allows; by this time, one is expected to take another.
    Limited(Duration),
    /// Every endpoint that holds the model is full.
    Full,
}

/// How the sending of a request to an endpoint ended, as far as this concerns the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The response was complete.
    Completed,
    /// The endpoint reported that it did not run the request.
    Rejected,
    /// The endpoint failed, broke off the response or did not respond in time.
    Failed,
    /// The endpoint refuses connections, or another endpoint responds at its address.
    Unreachable,
    /// The send ended for a reason that does not concern the endpoint.
    Neutral,
}

/// What the platform's list says about an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointInfo {
    /// The service.
    pub service: ServiceId,
    /// The failure domain.
    pub domain: DomainId,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// The start of its process, in milliseconds since the Unix epoch.
    pub instance: u64,
}

/// The endpoints of all services and the waiting requests, as one VM sees them.
#[derive(Debug)]
pub struct Dispatcher {
    domain: DomainId,
    endpoints: FastMap<EndpointId, Endpoint>,
    services: FastMap<ServiceId, Vec<EndpointId>>,
    waiting: BTreeMap<(u8, QueueTicket), Requirements>,
    availability: AvailabilityLog,
    limits: RequestLimits,
    /// The permits of requests that were picked for endpoints, until their slots take them.
    reserved: FastMap<EndpointId, Vec<Permit>>,
    /// The failure domains whose endpoints get nothing.
    emptied: FastSet<DomainId>,
}

/// The result of comparing endpoints for a request.
struct Choice<'a> {
    /// The endpoint that can take the request now, or why there is none.
    picked: Result<&'a EndpointId, Shortage>,
    /// The endpoint that would be preferred to it but for the limit that it names.
    passed: Option<&'a EndpointId>,
}

#[derive(Debug)]
struct Endpoint {
    info: EndpointInfo,
    resident: FastMap<ModelId, FastSet<AdapterId>>,
    /// Adapters that are listed as resident but that the endpoint reported missing, each with the
    /// end of the current wait and the number of waits.
    missing: FastMap<ModelRef, (Duration, u32)>,
    load: Load,
    /// When `load` was reported.
    reported_at: Duration,
    /// This VM's open requests there.
    open: u32,
    /// This VM's sends since the last load report.
    unreported: u32,
    /// The moving average of failures: 0 if no request fails, 1 if every request fails.
    failure_rate: f64,
    failure_streak: u32,
    pause_count: u32,
    paused_until: Duration,
}

impl Dispatcher {
    /// Creates a dispatcher for a VM of a failure domain.
    ///
    /// ```
    /// use bamboocourse_decide::Dispatcher;
    /// assert_eq!(Dispatcher::new("konya-a".into()).waiting(), 0);
    /// ```
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            endpoints: FastMap::default(),
            services: FastMap::default(),
            waiting: BTreeMap::new(),
            availability: AvailabilityLog::default(),
            limits: RequestLimits::default(),
            reserved: FastMap::default(),
            emptied: FastSet::default(),
        }
    }

    /// Sets the failure domains whose endpoints get nothing.
    pub fn set_emptied(&mut self, emptied: FastSet<DomainId>) {
        self.emptied = emptied;
    }

    /// Returns whether an endpoint's failure domain is emptied.
    fn is_emptied(&self, info: &EndpointInfo) -> bool {
        self.emptied.contains(&info.domain)
    }

    /// Adds or updates an endpoint; a new process instance of it holds no models.
    pub fn upsert(&mut self, name: &EndpointId, info: EndpointInfo) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            if endpoint.info.service == info.service {
                if endpoint.info.instance != info.instance {
                    endpoint.resident.clear();
                    endpoint.missing.clear();
                    endpoint.load = Load::default();
                    endpoint.unreported = 0;
                    endpoint.failure_streak = 0;
                    endpoint.paused_until = Duration::ZERO;
                }
                endpoint.info = info;
                return;
            }
            self.remove(name);
        }
        self.services.entry(info.service.clone()).or_default().push(name.clone());
        let endpoint = Endpoint {
            info,
            resident: FastMap::default(),
            missing: FastMap::default(),
            load: Load::default(),
            reported_at: Duration::ZERO,
            open: 0,
            unreported: 0,
            failure_rate: 0.0,
            failure_streak: 0,
            pause_count: 0,
            paused_until: Duration::ZERO,
        };
        self.endpoints.insert(name.clone(), endpoint);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, name: &EndpointId) {
        let Some(endpoint) = self.endpoints.remove(name) else { return };
        if let Some(names) = self.services.get_mut(&endpoint.info.service) {
            names.retain(|other| other != name);
        }
    }

    /// Sets the models and adapters that an endpoint holds.
    pub fn set_resident(
        &mut self,
        name: &EndpointId,
        resident: FastMap<ModelId, FastSet<AdapterId>>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.resident = resident;
            let Endpoint { resident, missing, .. } = endpoint;
            missing.retain(|target, _| {
                let adapters = resident.get(&target.model);
                let adapter = target.adapter.as_ref();
                adapters.zip(adapter).is_some_and(|(held, adapter)| held.contains(adapter))
            });
        }
    }

    /// Returns the process instance of an endpoint, or `None` if the endpoint is unknown.
    pub fn instance(&self, name: &EndpointId) -> Option<u64> {
        self.endpoints.get(name).map(|endpoint| endpoint.info.instance)
    }

    /// Returns whether an endpoint is so loaded that a response may take long.
    pub fn is_busy(&self, name: &EndpointId, now: Duration) -> bool {
        let endpoint = self.endpoints.get(name);
        endpoint.is_some_and(|endpoint| {
            endpoint.outstanding(now) >= f64::from(endpoint.info.slots) * BUSY_RATIO
        })
    }

    /// Estimates the fraction of an endpoint's slots that is taken; above 1 if requests queue.
    pub fn utilization(&self, name: &EndpointId, now: Duration) -> f64 {
        let endpoint = self.endpoints.get(name);
        endpoint.map_or(0.0, |endpoint| {
            endpoint.outstanding(now) / f64::from(endpoint.info.slots.max(1))
        })
    }

    /// Returns how many endpoints accept new requests.
    pub fn ready(&self) -> usize {
        let ready = self.endpoints.iter().filter(|(name, endpoint)| {
            let checked = self.availability.check(name, endpoint.info.instance, Duration::ZERO);
            endpoint.info.ready && checked != Availability::Leaving
        });
        ready.count()
    }

    /// Returns whether a service can lose one endpoint: another one takes requests, or it has no other.
    pub fn has_spare(&self, service: &ServiceId, now: Duration) -> bool {
        let names = self.services.get(service).into_iter().flatten();
        let listed = names.filter_map(|name| Some((name, self.endpoints.get(name)?)));
        let usable = listed.clone().filter(|(name, endpoint)| {
            let checked = self.availability(name, endpoint.info.instance, now);
            endpoint.info.ready && endpoint.paused_until <= now && checked == Availability::Open
        });
        let usable = usable.count();
        usable > 1 || usable == listed.count()
    }

    /// Returns whether an instance of an endpoint may be sent to now.
    pub fn availability(&self, name: &EndpointId, instance: u64, now: Duration) -> Availability {
        let listed = self.endpoints.get(name).map(|endpoint| &endpoint.info);
        if listed.is_some_and(|info| self.is_emptied(info)) {
            return Availability::Emptied;
        }
        self.availability.check(name, instance, now)
    }

    /// Returns whether an instance of an endpoint leaves, by its answers or by its entry in the list.
    pub fn is_leaving(&self, name: &EndpointId, instance: u64) -> bool {
        let listed = self.endpoints.get(name).map(|endpoint| &endpoint.info);
        listed
            .is_some_and(|info| self.is_emptied(info) || (info.instance == instance && !info.ready))
            || self.availability.check(name, instance, Duration::ZERO) == Availability::Leaving
    }

    /// Records that an instance of an endpoint leaves; returns whether this was not known.
    pub fn on_leaving(&mut self, name: &EndpointId, instance: u64, now: Duration) -> bool {
        self.prune_availability(now);
        self.availability.on_leaving(name, instance, now)
    }

    /// Records that an instance of an endpoint wants quiet; returns until when, if that changes what
    /// was known.
    pub fn on_quiet(
        &mut self,
        name: &EndpointId,
        instance: u64,
        request: QuietRequest,
        now: Duration,
    ) -> Option<Duration> {
        self.prune_availability(now);
        self.availability.on_quiet(name, instance, request, now)
    }

    /// Records what an instance's answer says about the requests that it takes; the request was sent at
    /// the time `sent`, if that is known. Returns the change of the limit in force.
    pub fn on_named_limit(
        &mut self,
        name: &EndpointId,
        instance: u64,
        named: Option<NamedLimit>,
        sent: Option<Duration>,
        now: Duration,
    ) -> Option<LimitChange> {
        // An answer of unknown age without a limit says nothing about the limit in force.
        let sent = sent.or(named.map(|_| Duration::ZERO))?;
        self.limits.on_answer(&(name.clone(), instance), named, sent, now)
    }

    /// Applies how long a known endpoint is still cold by its newest entry; returns the change.
    pub fn on_cold(
        &mut self,
        name: &EndpointId,
        left: Duration,
        now: Duration,
    ) -> Option<ColdChange> {
        let info = &self.endpoints.get(name)?.info;
        self.limits.on_cold(&(name.clone(), info.instance), &info.service, left, now)
    }

    /// Returns the limits that endpoints name, and this VM's permits.
    pub fn limits(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// Takes the permit of a request that was picked for an endpoint.
    pub fn take_reserved(&mut self, name: &EndpointId) -> Option<Permit> {
        let permits = self.reserved.get_mut(name)?;
        let permit = permits.pop();
        if permits.is_empty() {
            self.reserved.remove(name);
        }
        permit
    }

    /// Returns whether a request may be written to an instance now: it is listed as ready, neither leaves
    /// nor wants quiet by its answers, and takes one more request. `permit` is what the request holds
    /// for the instance; it is replaced if it has lapsed.
    pub fn may_write(
        &mut self,
        name: &EndpointId,
        instance: u64,
        permit: &mut Option<Permit>,
        now: Duration,
    ) -> bool {
        let listed = self.endpoints.get(name).map(|endpoint| &endpoint.info);
        let is_listed = listed.is_some_and(|info| info.ready && info.instance == instance);
        if !is_listed || self.availability(name, instance, now) != Availability::Open {
            return false;
        }
        let instance = (name.clone(), instance);
        if self.limits.rate(&instance).is_none() {
            return true;
        }
        if let Some(lapsed) = permit.take_if(|permit| !permit.is_valid(now)) {
            self.limits.put_back(&instance, lapsed, now);
        }
        if permit.is_none() {
            *permit = self.limits.take(&instance, now);
        }
        permit.is_some()
    }

    /// Returns the endpoints that could run a request but for the limits that they name, and the limits.
    pub fn limited_for(&self, needs: &Requirements, now: Duration) -> Vec<(EndpointId, Rate)> {
        let names = self.services.get(&needs.service).into_iter().flatten();
        let limited = names.filter_map(|name| {
            let endpoint = self.endpoints.get(name)?;
            let is_open = endpoint.info.ready && !self.is_emptied(&endpoint.info);
            let can_run = is_open && endpoint.shortage(needs, now).is_none();
            let rate = self.limit(name, endpoint.info.instance)?;
            can_run.then(|| (name.clone(), rate))
        });
        limited.collect()
    }

    /// Returns how many of the waiting requests wait for a permit for each instance.
    pub fn waiting_for_permits(&self, now: Duration) -> FastMap<EndpointInstance, u32> {
        let mut waiting: FastMap<EndpointInstance, u32> = FastMap::default();
        if self.limits.is_empty() {
            return waiting;
        }
        for ((_, ticket), needs) in &self.waiting {
            let choice = self.compare(needs, *ticket, now);
            if let (Err(Shortage::Limited(_)), Some(name)) = (choice.picked, choice.passed) {
                *waiting.entry(self.instance_key(name)).or_default() += 1;
            }
        }
        waiting
    }

    /// Passes on a permit for a member's request that an endpoint with a limit could take.
    pub fn pass_on_permit(
        &mut self,
        service: &ServiceId,
        target: Option<ModelRef>,
        now: Duration,
    ) -> Option<IssuedPermits> {
        let candidates = self.limited_candidates(service, target, now);
        candidates.iter().find_map(|instance| self.limits.pass_on_one(instance, now))
    }

    /// Records that a request which comes through this relay looks for a permit; returns whether the relay
    /// asks the leader for one, as none is at hand.
    pub fn seek_permit(
        &mut self,
        service: &ServiceId,
        target: Option<ModelRef>,
        now: Duration,
    ) -> bool {
        let candidates = self.limited_candidates(service, target, now);
        let mut asks = false;
        for instance in &candidates {
            asks |= self.limits.seek(instance, now);
        }
        asks && !candidates.iter().any(|instance| self.limits.is_open(instance, now))
            && self.limits.take_ask(now)
    }

    /// Issues a permit to a relay that asks for one, as the leader.
    pub fn issue_permit(
        &mut self,
        vm: &VmId,
        service: &ServiceId,
        target: Option<ModelRef>,
        now: Duration,
    ) -> Option<IssuedPermits> {
        let candidates = self.limited_candidates(service, target, now);
        candidates.iter().find_map(|instance| self.limits.issue_one(vm, instance, now))
    }

    /// Returns the instances with a limit that could take a request otherwise.
    fn limited_candidates(
        &mut self,
        service: &ServiceId,
        target: Option<ModelRef>,
        now: Duration,
    ) -> Vec<EndpointInstance> {
        self.limits.refresh(now);
        let needs = Requirements {
            service: service.clone(),
            target,
            urgency: 0,
            session: 0,
            target_deadline: now,
            tried: Vec::new(),
        };
        let candidates: Vec<EndpointInstance> =
            self.limits.limited().map(|(i, _)| i.clone()).collect();
        let can_take = |(name, instance): &&EndpointInstance| {
            let known = self.endpoints.get(name);
            known.is_some_and(|endpoint| {
                endpoint.info.instance == *instance
                    && endpoint.info.ready
                    && endpoint.info.service == *service
                    && endpoint.shortage(&needs, now).is_none()
                    && self.availability(name, *instance, now) == Availability::Open
            })
        };
        candidates.iter().filter(can_take).cloned().collect()
    }

    /// Forgets what is no longer needed of limits.
    pub fn prune_limits(&mut self, now: Duration) {
        if self.limits.is_empty() {
            return;
        }
        let endpoints = &self.endpoints;
        let is_listed = |(name, instance): &EndpointInstance| {
            endpoints.get(name).is_some_and(|known| known.info.instance == *instance)
        };
        self.limits.prune(is_listed, now);
    }

    /// Returns the key of the instance of a known endpoint.
    fn instance_key(&self, name: &EndpointId) -> EndpointInstance {
        (name.clone(), self.instance(name).unwrap_or_default())
    }

    /// Returns the limit in force of an instance.
    pub fn limit(&self, name: &EndpointId, instance: u64) -> Option<Rate> {
        self.limits.rate(&(name.clone(), instance))
    }

    /// Returns how many instances are cold.
    pub fn cold(&self) -> usize {
        self.limits.cold().count()
    }

    /// Returns how many instances have a limit in force.
    pub fn limited(&self) -> usize {
        self.limits.limited().count()
    }

    fn prune_availability(&mut self, now: Duration) {
        let endpoints = &self.endpoints;
        let is_listed = |(name, instance): &EndpointInstance| {
            endpoints.get(name).is_some_and(|known| known.info.instance == *instance)
        };
        self.availability.prune(is_listed, now);
    }

    /// Returns how many ready endpoints leave by their answers, and how many want quiet.
    pub fn unavailable(&self, now: Duration) -> (usize, usize) {
        let (mut leaving, mut quiet) = (0, 0);
        for (name, endpoint) in self.endpoints.iter().filter(|(_, endpoint)| endpoint.info.ready) {
            match self.availability.check(name, endpoint.info.instance, now) {
                Availability::Open | Availability::Emptied => {}
                Availability::QuietUntil(_) => quiet += 1,
                Availability::Leaving => leaving += 1,
            }
        }
        (leaving, quiet)
    }

    /// Returns the instances that leave although their entries in the list say that they are ready.
    pub fn leaving(&self) -> Vec<EndpointInstance> {
        let listed = self.availability.leaving().filter(|(name, instance)| {
            let known = self.endpoints.get(name).map(|endpoint| &endpoint.info);
            known.is_some_and(|info| info.ready && info.instance == *instance)
        });
        listed.cloned().collect()
    }

    /// Stores the load that a response reported.
    pub fn on_load(&mut self, name: &EndpointId, load: Load, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.load = load;
            endpoint.reported_at = now;
            endpoint.unreported = 0;
        }
    }

    /// Records that an endpoint reported a model or adapter as missing.
    ///
    /// Returns how long to wait before the next try if the adapter may still be loading. `None`
    /// means that the model or adapter now counts as not resident.
    pub fn on_missing(
        &mut self,
        name: &EndpointId,
        target: &ModelRef,
        now: Duration,
    ) -> Option<Duration> {
        let endpoint = self.endpoints.get_mut(name)?;
        let Some(adapter) = &target.adapter else {
            endpoint.resident.remove(&target.model);
            return None;
        };
        let adapters = endpoint.resident.get_mut(&target.model)?;
        let (until, retries) = endpoint.missing.get(target).copied().unwrap_or_default();
        if now < until {
            return Some(until - now);
        }
        if retries < MAX_ADAPTER_RETRIES {
            let wait = ADAPTER_RETRY_DELAY * 2u32.pow(retries);
            endpoint.missing.insert(target.clone(), (now + wait, retries + 1));
            return Some(wait);
        }
        endpoint.missing.remove(target);
        adapters.remove(adapter);
        None
    }

    /// Picks an endpoint and counts the request there until [`finish`](Self::finish) is called.
    ///
    /// # Errors
    /// Returns [`Shortage`] if no endpoint can take the request now.
    pub fn pick(
        &mut self,
        needs: &Requirements,
        ticket: QueueTicket,
        now: Duration,
    ) -> Result<EndpointId, Shortage> {
        self.limits.refresh(now);
        let Choice { picked, passed } = self.compare(needs, ticket, now);
        let picked = picked.cloned();
        // Also if it is refused: without wants, no permit would be issued, and no answer would show that
        // the limit has ended.
        if let Some(name) = passed {
            let instance = self.instance_key(name);
            self.limits.on_passed(&instance);
        }
        let name = picked?;
        self.occupy(&name, now);
        Ok(name)
    }

    /// Counts a request at an endpoint, and reserves its permit if it needs one.
    fn occupy(&mut self, name: &EndpointId, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        endpoint.open += 1;
        endpoint.unreported += 1;
        let instance = (name.clone(), endpoint.info.instance);
        if let Some(permit) = self.limits.take(&instance, now) {
            self.reserved.entry(name.clone()).or_default().push(permit);
        }
    }

    /// Returns the endpoint that [`pick`](Self::pick) would pick.
    ///
    /// # Errors
    /// Returns [`Shortage`] if no endpoint can take the request now.
    pub fn choose(
        &self,
        needs: &Requirements,
        ticket: QueueTicket,
        now: Duration,
    ) -> Result<&EndpointId, Shortage> {
        self.compare(needs, ticket, now).picked
    }

    /// Compares the endpoints that could take a request.
    fn compare(&self, needs: &Requirements, ticket: QueueTicket, now: Duration) -> Choice<'_> {
        let Some(names) = self.services.get(&needs.service) else {
            return Choice { picked: Err(Shortage::NoEndpoint), passed: None };
        };
        let mut shortage = Shortage::NoEndpoint;
        let mut best: Option<(f64, &EndpointId)> = None;
        let mut paused: Option<(Duration, &EndpointId)> = None;
        let mut limited: Vec<(f64, &EndpointId)> = Vec::new();
        for name in names {
            let endpoint = &self.endpoints[name];
            if !endpoint.info.ready {
                continue;
            }
            let availability = self.availability.check(name, endpoint.info.instance, now);
            if self.is_emptied(&endpoint.info) {
                shortage = shortage.more_specific(Shortage::Emptied);
                continue;
            }
            if availability == Availability::Leaving {
                shortage = shortage.more_specific(Shortage::Leaving);
                continue;
            }
            shortage = match endpoint.shortage(needs, now) {
                Some(missing) => {
                    shortage = shortage.more_specific(missing);
                    continue;
                }
                None if let Availability::QuietUntil(until) = availability => {
                    shortage = shortage.more_specific(Shortage::Quiet(until));
                    continue;
                }
                None if needs.tried.contains(name) => {
                    shortage = shortage.more_specific(Shortage::Tried);
                    continue;
                }
                None if endpoint.is_full(needs, now) => {
                    shortage = shortage.more_specific(Shortage::Full);
                    continue;
                }
                None => shortage,
            };
            let score = endpoint.score(name, needs, &self.domain, ticket, now);
            if !self.limits.is_empty() && !self.limits.is_open(&self.instance_key(name), now) {
                limited.push((score, name));
                continue;
            }
            if now < endpoint.paused_until {
                if paused.is_none_or(|(until, _)| endpoint.paused_until < until) {
                    paused = Some((endpoint.paused_until, name));
                }
                continue;
            }
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, name));
            }
        }
        let passed = limited.iter().copied().min_by(|(a, _), (b, _)| a.total_cmp(b));
        let passed = passed.filter(|(score, _)| best.is_none_or(|(lowest, _)| *score < lowest));
        if !limited.is_empty() {
            let until = now + self.permit_wait(needs, &limited, now);
            shortage = shortage.more_specific(Shortage::Limited(until));
        }
        // If all endpoints are paused, the one whose pause ends first is tried rather than none.
        let picked = best.map(|(_, name)| name).or(paused.map(|(_, name)| name)).ok_or(shortage);
        Choice { picked, passed: passed.map(|(_, name)| name) }
    }

    /// Estimates how long a request waits for a permit of one of some endpoints.
    fn permit_wait(
        &self,
        needs: &Requirements,
        limited: &[(f64, &EndpointId)],
        now: Duration,
    ) -> Duration {
        let instances: Vec<_> = limited.iter().map(|(_, name)| self.instance_key(name)).collect();
        let same =
            |other: &&Requirements| other.service == needs.service && other.target == needs.target;
        let ahead = self.waiting.values().filter(same).count() as u32;
        self.limits.waiting_time(instances.iter(), ahead, now)
    }

    /// Ends a request that was counted at an endpoint.
    pub fn finish(&mut self, name: &EndpointId, outcome: SendOutcome, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        endpoint.open = endpoint.open.saturating_sub(1);
        match outcome {
            SendOutcome::Completed => {
                endpoint.failure_rate *= 1.0 - FAILURE_SMOOTHING_RATIO;
                endpoint.failure_streak = 0;
                endpoint.pause_count = 0;
            }
            SendOutcome::Rejected => {
                // The endpoint stays full for longer than its reported load suggests, so its queue
                // counts as full.
                endpoint.load.waiting = endpoint.load.waiting.max(endpoint.info.slots);
                endpoint.reported_at = now;
            }
            SendOutcome::Failed => {
                endpoint.failure_rate += FAILURE_SMOOTHING_RATIO * (1.0 - endpoint.failure_rate);
                endpoint.failure_streak += 1;
                if endpoint.failure_streak >= FAILURES_BEFORE_PAUSE {
                    endpoint.pause(now);
                }
            }
            SendOutcome::Unreachable => {
                endpoint.failure_rate += FAILURE_SMOOTHING_RATIO * (1.0 - endpoint.failure_rate);
                endpoint.pause(now);
            }
            SendOutcome::Neutral => {}
        }
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, ticket: QueueTicket, needs: Requirements) {
        self.waiting.insert((needs.urgency, ticket), needs);
    }

    /// Removes a request from the queue; returns whether it was still there.
    pub fn cancel(&mut self, ticket: QueueTicket, urgency: u8) -> bool {
        self.waiting.remove(&(urgency, ticket)).is_some()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Picks endpoints for waiting requests, the most urgent first, while there is room.
    pub fn dispatch_waiting(
        &mut self,
        now: Duration,
    ) -> Vec<(QueueTicket, EndpointId, Requirements)> {
        self.limits.refresh(now);
        let mut placed = Vec::new();
        let mut blocked: FastSet<(ServiceId, Option<ModelRef>, bool)> = FastSet::default();
        let mut removed = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        // Requests that can still meet their latency target go first, the newest before older
        // ones. Under overload, serving in order of arrival would make every response just late.
        let (mut on_time, late): (Vec<_>, Vec<_>) =
            waiting.iter().partition(|(_, needs)| now <= needs.target_deadline);
        on_time.sort_by_key(|((urgency, ticket), _)| (*urgency, Reverse(*ticket)));
        for (group, is_late) in [(on_time, false), (late, true)] {
            for ((urgency, ticket), needs) in group {
                let queue = (needs.service.clone(), needs.target.clone(), is_late);
                if blocked.contains(&queue) {
                    continue;
                }
                match self.choose(needs, *ticket, now).cloned() {
                    Ok(name) => {
                        self.occupy(&name, now);
                        placed.push((*ticket, name, needs.clone()));
                        removed.push((*urgency, *ticket));
                    }
                    // Another request of the queue may not have tried the endpoint that is free.
                    Err(Shortage::Tried | Shortage::Quiet(_)) => {}
                    Err(_) => {
                        blocked.insert(queue);
                    }
                }
            }
        }
        self.waiting = waiting;
        for key in removed {
            self.waiting.remove(&key);
        }
        placed
    }

    /// Returns how many requests wait for each model or adapter.
    pub fn waiting_by_model(&self) -> FastMap<(ServiceId, ModelRef), u32> {
        let mut counts: FastMap<(ServiceId, ModelRef), u32> = FastMap::default();
        for needs in self.waiting.values() {
            if let Some(target) = &needs.target {
                *counts.entry((needs.service.clone(), target.clone())).or_default() += 1;
            }
        }
        counts
    }
}

impl Shortage {
    /// Returns the shortage that says more about when there will be room.
    fn more_specific(self, other: Shortage) -> Shortage {
        match (self, other) {
            (Shortage::Quiet(until), Shortage::Quiet(other)) => {
                return Shortage::Quiet(until.min(other));
            }
            (Shortage::Limited(until), Shortage::Limited(other)) => {
                return Shortage::Limited(until.min(other));
            }
            // An adapter is loaded sooner than most limits allow another request.
            (Shortage::NoAdapter, Shortage::Limited(_))
            | (Shortage::Limited(_), Shortage::NoAdapter) => return Shortage::NoAdapter,
            _ => {}
        }
        let rank = |shortage: Shortage| match shortage {
            Shortage::NoEndpoint => 0,
            Shortage::Leaving => 1,
            Shortage::Emptied => 2,
            Shortage::NotResident => 3,
            Shortage::NoAdapter => 4,
            Shortage::Tried => 5,
            Shortage::Quiet(_) => 6,
            Shortage::Limited(_) => 7,
            Shortage::Full => 8,
        };
        if rank(other) > rank(self) { other } else { self }
    }
}

impl Endpoint {
    /// Returns what the endpoint lacks of the request's target, or `None` if it holds the target.
    fn shortage(&self, needs: &Requirements, now: Duration) -> Option<Shortage> {
        let target = needs.target.as_ref()?;
        let Some(adapters) = self.resident.get(&target.model) else {
            return Some(Shortage::NotResident);
        };
        let adapter = target.adapter.as_ref()?;
        let is_waited_for = |(until, _): &(Duration, u32)| now < *until;
        let loading = self.missing.get(target).is_some_and(is_waited_for);
        (loading || !adapters.contains(adapter)).then_some(Shortage::NoAdapter)
    }

    /// Estimates how many requests run or wait at the endpoint.
    fn outstanding(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64() / MAX_LOAD_AGE.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        let reported = f64::from(self.load.running.saturating_add(self.load.waiting)) * weight;
        (reported + f64::from(self.unreported.min(self.open))).max(f64::from(self.open))
    }

    /// Returns whether the endpoint has no room for a request, so that the request must wait here.
    fn is_full(&self, needs: &Requirements, now: Duration) -> bool {
        let slots = f64::from(self.info.slots);
        if now > needs.target_deadline {
            return self.outstanding(now) >= (slots * LATE_FULL_RATIO).max(1.0);
        }
        let limit = match needs.target {
            Some(_) => (slots * ENGINE_FULL_RATIO).max(1.0),
            None => slots + (slots * PLAIN_QUEUE_RATIO).max(1.0),
        };
        self.outstanding(now) >= limit
    }

    /// Scores the endpoint for a request; the lowest score wins.
    fn score(
        &self,
        name: &EndpointId,
        needs: &Requirements,
        domain: &DomainId,
        ticket: QueueTicket,
        now: Duration,
    ) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let mut score =
            (self.outstanding(now) + 1.0) / slots + self.failure_rate * FAILURE_PENALTY_RATIO;
        if self.info.domain != *domain {
            score += REMOTE_PENALTY_RATIO;
        }
        score += JITTER_RATIO * (hash_of(&(ticket, name)) % 1_000) as f64 / 1_000.0;
        if needs.session != 0 {
            score += AFFINITY_RATIO * (hash_of(&(needs.session, name)) % 1_000) as f64 / 1_000.0;
        }
        score
    }

    /// Pauses the endpoint, each time twice as long as the time before, up to [`MAX_PAUSE`].
    fn pause(&mut self, now: Duration) {
        let pause = MIN_PAUSE * 2u32.saturating_pow(self.pause_count.min(6));
        self.pause_count += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }
}
