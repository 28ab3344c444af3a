//! Picks an endpoint for a request by the estimated time to its first token.
//!
//! The estimate adds up the last reported load, this VM's own sends since that report, the prompt
//! tokens that no cached prefix covers, and the network distance. All VMs see the same report. So
//! that they do not all pick the same endpoint, each VM draws two endpoints among those close to
//! the best estimate and takes the better one.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::ids::{DomainId, EndpointId, Tokens};
use crate::map::{FastMap, FastSet, hash_of};
use crate::request::prefix::{BlockHash, PrefixIndex};
use smol_str::SmolStr;

/// The round-trip time between failure domains.
const CROSS_DOMAIN_DELAY: Duration = Duration::from_millis(2);
/// The initial estimate of the prefill time for one prompt token, in seconds.
const INITIAL_PREFILL_SECONDS: f64 = 0.000_2;
/// The initial estimate of how long a request keeps its slot, in seconds.
const INITIAL_SERVICE_SECONDS: f64 = 2.0;
/// The weight of the newest sample in the moving averages.
const SMOOTHING_RATIO: f64 = 0.1;
/// How far an endpoint's estimate may exceed the best for it to be drawn, in seconds.
const NEAR_BEST_SECONDS: f64 = 0.01;
/// The index of the prompt block that decides which endpoint all VMs favour.
const AFFINITY_BLOCK_INDEX: usize = 3;
/// How much the favoured endpoint's estimate is lowered, in seconds.
const AFFINITY_SECONDS: f64 = 0.08;
/// The exponent with which the probability of a wait rises as an endpoint fills up.
const FILL_EXPONENT: i32 = 4;
/// The largest number of changes of an endpoint's open requests that are remembered.
const MAX_HISTORY: usize = 256;
/// The running and waiting requests, as a multiple of its slots, at which an endpoint is full.
const FULL_RATIO: f64 = 1.5;
/// The first ejection of a failing endpoint; each further ejection is twice as long.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// The longest ejection of a failing endpoint.
const MAX_EJECTION: Duration = Duration::from_secs(20);

/// An endpoint's load as reported by the endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait.
    pub waiting: u32,
}

/// What a request requires of an endpoint.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    /// The items that must be resident; empty for a plain service.
    pub items: &'a [SmolStr],
    /// The prompt's length, in tokens.
    pub prompt: Tokens,
    /// The hashes of the prompt's prefixes.
    pub blocks: &'a [BlockHash],
    /// Endpoints that have already failed this request.
    pub exclude: &'a [EndpointId],
}

/// A picked endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The prompt tokens that its cache is not expected to cover.
    pub uncached: Tokens,
}

/// Why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// No endpoint holds the required items.
    NotResident,
    /// Every endpoint that holds the items is unreachable, leaving or excluded.
    Unreachable,
    /// Every endpoint that holds the items and is reachable has a full queue.
    Full,
}

/// The endpoints of one service, as one VM sees them.
#[derive(Debug)]
pub struct Router {
    domain: DomainId,
    /// The number of VMs that send to the same endpoints, this one included.
    vms: f64,
    backends: FastMap<EndpointId, Backend>,
}

#[derive(Debug)]
struct Backend {
    domain: DomainId,
    slots: u32,
    leaving: bool,
    resident: FastSet<SmolStr>,
    load: Load,
    /// This VM's open requests there.
    open: u32,
    /// This VM's open requests there when the last report was taken.
    reported_open: u32,
    /// The latest changes of `open`: the time and the new value, oldest first.
    history: VecDeque<(Duration, u32)>,
    prefixes: PrefixIndex,
    /// The average prefill time for a prompt token that is not cached, in seconds.
    prefill_seconds: f64,
    /// The average time that a request keeps its slot, in seconds.
    service_seconds: f64,
    /// Failures since the last request that finished.
    failures: u32,
    ejected_until: Duration,
}

impl Router {
    /// Creates a router for a VM of a failure domain.
    ///
    /// ```
    /// use bamboocourse_decide::Router;
    /// assert_eq!(Router::new("konya-a".into()).len(), 0);
    /// ```
    pub fn new(domain: DomainId) -> Self {
        Self { domain, vms: 1.0, backends: FastMap::default() }
    }

    /// Sets how many VMs send to the same endpoints.
    ///
    /// This VM's sends since a report are multiplied by that number to estimate those of all VMs.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1) as f64;
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Adds an endpoint, or updates it and keeps its load, cache and failure state.
    ///
    /// `slots` is the number of requests that it runs at once; a `leaving` endpoint gets no new
    /// requests.
    pub fn upsert(&mut self, name: &EndpointId, domain: &DomainId, slots: u32, leaving: bool) {
        let backend = self.backends.entry(name.clone()).or_insert_with(|| Backend {
            domain: domain.clone(),
            slots,
            leaving,
            resident: FastSet::default(),
            load: Load::default(),
            open: 0,
            reported_open: 0,
            history: VecDeque::new(),
            prefixes: PrefixIndex::default(),
            prefill_seconds: INITIAL_PREFILL_SECONDS,
            service_seconds: INITIAL_SERVICE_SECONDS,
            failures: 0,
            ejected_until: Duration::ZERO,
        });
        backend.domain = domain.clone();
        backend.slots = slots;
        backend.leaving = leaving;
    }

    /// Removes every endpoint for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.backends.retain(|name, _| keep(name));
    }

    /// Sets the items that are resident on an endpoint.
    pub fn set_resident(&mut self, name: &EndpointId, items: impl IntoIterator<Item = SmolStr>) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.resident = items.into_iter().collect();
        }
    }

    /// Stores a load report that was taken at the time `taken`, on this VM's clock.
    pub fn on_load(&mut self, name: &EndpointId, load: Load, taken: Duration) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.load = load;
        while backend.history.get(1).is_some_and(|(time, _)| *time <= taken) {
            backend.history.pop_front();
        }
        backend.reported_open = backend.history.front().map_or(backend.open, |(_, open)| *open);
    }

    /// Records cache events: blocks that an endpoint now holds.
    pub fn on_cached(&mut self, name: &EndpointId, blocks: &[BlockHash]) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.prefixes.insert(blocks);
        }
    }

    /// Picks an endpoint and counts the request there until [`finish`](Self::finish) is called.
    ///
    /// # Errors
    /// Returns [`PickError`] if no endpoint can take the request now.
    pub fn pick(
        &mut self,
        query: &RouteQuery<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Result<Pick, PickError> {
        let mut error = PickError::NotResident;
        let mut ranked: Vec<(f64, EndpointId)> = Vec::new();
        for (name, backend) in &self.backends {
            if !query.items.iter().all(|item| backend.resident.contains(item)) {
                continue;
            }
            if backend.leaving || now < backend.ejected_until || query.exclude.contains(name) {
                error = error.more_specific(PickError::Unreachable);
                continue;
            }
            if backend.outstanding(self.vms) >= f64::from(backend.slots) * FULL_RATIO {
                error = PickError::Full;
                continue;
            }
            let estimate = backend.estimate(query, &self.domain, self.vms);
            ranked.push((estimate, name.clone()));
        }
        favour_common_endpoint(&mut ranked, query);
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let Some((best, _)) = ranked.first() else { return Err(error) };
        let limit = best + NEAR_BEST_SECONDS.max(best * 0.1);
        let near_best = ranked.iter().take_while(|(estimate, _)| *estimate <= limit).count();
        let draws = [rng.random_range(0..near_best), rng.random_range(0..near_best)];
        let chosen = draws[0].min(draws[1]);
        let endpoint = ranked.swap_remove(chosen).1;
        let mut uncached = query.prompt;
        if let Some(backend) = self.backends.get_mut(&endpoint) {
            uncached = backend.uncached(query);
            backend.open += 1;
            backend.record_open(now);
            backend.prefixes.insert(query.blocks);
        }
        Ok(Pick { endpoint, uncached })
    }

    /// Ends a request that was counted at an endpoint; `times` is `None` if the request failed.
    pub fn finish(&mut self, name: &EndpointId, times: Option<RequestTimes>, now: Duration) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.open = backend.open.saturating_sub(1);
        backend.record_open(now);
        let Some(times) = times else { return };
        backend.failures = 0;
        backend.ejected_until = Duration::ZERO;
        update_average(&mut backend.service_seconds, times.total.as_secs_f64());
        if !times.first_token.is_zero() && backend.load.waiting == 0 {
            let per_token = times.first_token.as_secs_f64() / times.uncached.max(1) as f64;
            let bounded = per_token.min(backend.prefill_seconds * 4.0);
            update_average(&mut backend.prefill_seconds, bounded);
        }
    }

    /// Records that an endpoint failed or could not be reached, and ejects it for a while.
    pub fn on_failure(&mut self, name: &EndpointId, now: Duration) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        let ejection = MIN_EJECTION * 2u32.saturating_pow(backend.failures.min(8));
        backend.failures += 1;
        backend.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Returns how many requests an item's endpoints outside a failure domain could start at once.
    pub fn spare_elsewhere(&self, item: &str, domain: &DomainId) -> f64 {
        let others = self.backends.values().filter(|backend| {
            backend.domain != *domain && !backend.leaving && backend.resident.contains(item)
        });
        let room = |backend: &Backend| f64::from(backend.slots) - backend.outstanding(self.vms);
        others.map(|backend| room(backend).max(0.0)).sum()
    }

    /// Returns the names of the endpoints that hold an item, in order.
    pub fn holders(&self, item: &str) -> Vec<EndpointId> {
        let holders = self.backends.iter().filter(|(_, backend)| backend.resident.contains(item));
        let mut names: Vec<EndpointId> = holders.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }
}

/// How long a finished request took.
#[derive(Debug, Clone, Copy)]
pub struct RequestTimes {
    /// The prompt tokens that no cached prefix was expected to cover.
    pub uncached: Tokens,
    /// The time from the send to the first token.
    pub first_token: Duration,
    /// The time from the send to the end.
    pub total: Duration,
}

impl PickError {
    /// Returns this error, or `other` in place of the least specific [`PickError::NotResident`].
    fn more_specific(self, other: PickError) -> PickError {
        match self {
            PickError::NotResident => other,
            PickError::Unreachable | PickError::Full => self,
        }
    }
}

impl Backend {
    /// Estimates how many requests run or wait at the endpoint while `vms` VMs send to it.
    fn outstanding(&self, vms: f64) -> f64 {
        let reported = f64::from(self.load.running.saturating_add(self.load.waiting));
        let unreported = f64::from(self.open) - f64::from(self.reported_open);
        (reported + unreported * vms).max(f64::from(self.open))
    }

    /// Estimates the time to the first token, in seconds.
    fn estimate(&self, query: &RouteQuery<'_>, domain: &DomainId, vms: f64) -> f64 {
        let slots = f64::from(self.slots);
        let outstanding = self.outstanding(vms);
        // The fuller an endpoint is, the more likely all its slots are taken on arrival.
        let utilization = (outstanding / slots).min(1.0);
        let queued = (outstanding + 1.0 - slots).max(0.0) + utilization.powi(FILL_EXPONENT);
        let wait = queued * self.service_seconds / slots;
        let prefill = self.uncached(query) as f64 * self.prefill_seconds;
        let distance = if self.domain == *domain { 0.0 } else { CROSS_DOMAIN_DELAY.as_secs_f64() };
        wait + prefill + distance
    }

    /// Estimates the prompt tokens that no cached prefix covers; at least one.
    fn uncached(&self, query: &RouteQuery<'_>) -> Tokens {
        let blocks = query.blocks.len().max(1) as u64;
        let hits = self.prefixes.count_hits(query.blocks) as u64;
        // Blocks are counted in bytes and prompts in tokens, so only the fraction carries over.
        (query.prompt - query.prompt * hits.min(blocks) / blocks).max(1)
    }

    /// Remembers the number of open requests from now on.
    fn record_open(&mut self, now: Duration) {
        self.history.push_back((now, self.open));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

/// Favours one endpoint for each prompt, the same on all VMs without communication.
///
/// Cache events arrive late. Without a common endpoint, VMs that see the same new prefix at once
/// would each compute it on a different endpoint.
fn favour_common_endpoint(ranked: &mut [(f64, EndpointId)], query: &RouteQuery<'_>) {
    let Some(block) =
        query.blocks.get(AFFINITY_BLOCK_INDEX.min(query.blocks.len().saturating_sub(1)))
    else {
        return;
    };
    let score = |name: &EndpointId| hash_of(&(*block, hash_of(name.as_str())));
    let favoured = ranked.iter_mut().max_by_key(|(_, name)| score(name));
    if let Some((estimate, _)) = favoured {
        *estimate -= AFFINITY_SECONDS;
    }
}

/// Moves a moving average towards a sample.
fn update_average(average: &mut f64, sample: f64) {
    *average += (sample - *average) * SMOOTHING_RATIO;
}
