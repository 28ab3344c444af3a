//! Plans which items each endpoint of a failure domain should hold.
//!
//! A plan only contains the next few orders; a new plan is made after they are confirmed. A
//! replica is added where the endpoints of a model are expected to be too busy and another
//! endpoint is not. A replica is removed only to make room, so that no load is needed when the
//! demand shifts back. Every item keeps at least one replica.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ByteSize, EndpointId};
use crate::map::FastMap;
use crate::process::placement::ledger::{Item, Order};

/// The number of domains that keep a replica of an item even without load, if memory allows.
pub const KEEPER_DOMAINS: usize = 2;

/// Expected utilization, as a share of an endpoint's slots, from which on the endpoint is busy:
/// its items get replicas on other endpoints.
const BUSY_RATIO: f64 = 0.97;
/// How much lower than the busy endpoint's the utilization of a new replica's endpoint must be.
const MIN_GAIN_RATIO: f64 = 0.2;
/// The other holders of an item must have free capacity for this many times a replica's load
/// before the replica is removed.
const SPARE_CAPACITY_RATIO: f64 = 2.0;
/// A domain adds replicas for load only if the free capacity for the item in other domains is
/// below this share of the domain's own load.
const OUTSIDE_CAPACITY_RATIO: f64 = 0.05;
/// How long after any other order no standby replicas are loaded.
const STANDBY_DELAY: Duration = Duration::from_secs(900);
/// A replica is added only for an item that takes up at least this share of a busy endpoint's
/// slots.
const MIN_LOAD_RATIO: f64 = 0.1;
/// Number of passes over all items in which their load is spread over their holders.
const SPREAD_ROUNDS: usize = 6;

/// An item to place, with what the domain knows about its demand and its replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementItem {
    /// The memory of the item with its minimum KV cache, in bytes.
    pub memory: ByteSize,
    /// The load that the domain expects for the item, in concurrent requests.
    pub load: f64,
    /// The item that must be on the same endpoint: for an adapter, its model; `None` for a model.
    pub base: Option<Item>,
    /// The rank of the domain among those that keep the item: the domain with rank 0 (the
    /// primary) must hold a replica, rank 1 should, and others hold one only for load.
    pub rank: usize,
    /// Whether the primary domain is known to hold a replica.
    pub primary_holds: bool,
    /// Free capacity of the item's endpoints in other domains, in concurrent requests.
    pub spare_elsewhere: f64,
    /// Whether this domain is the next domain to add a replica if it has none.
    pub helper: bool,
}

impl PlacementItem {
    /// Returns the number of replicas that the domain keeps even without load.
    pub fn min_replicas(&self) -> usize {
        usize::from(self.rank < KEEPER_DOMAINS)
    }
}

/// An endpoint as seen by a [`DomainPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct HostView {
    /// The items that are confirmed to be resident and are not being unloaded.
    pub items: Vec<Item>,
    /// The memory that is free in the worst case, in bytes.
    pub free: ByteSize,
    /// The total memory, in bytes.
    pub memory: ByteSize,
    /// The number of requests that it runs concurrently.
    pub slots: f64,
    /// Whether it has no open order and accepts a new order.
    pub idle: bool,
    /// Whether it is leaving, so that its items need replicas elsewhere.
    pub leaving: bool,
    /// The item that an open order is loading, if any.
    pub loading: Option<Item>,
    /// Items that cannot be unloaded yet.
    pub pinned: Vec<Item>,
}

/// One order of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanStep {
    /// The endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Whether to load or to unload the item.
    pub order: Order,
    /// The item to load or unload.
    pub item: Item,
    /// Why the order is wanted.
    pub reason: Reason,
}

/// Why an order is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The item has too few replicas.
    Unreachable,
    /// The item's endpoints are too busy.
    Busy,
    /// The item's memory is needed for another item.
    Room,
    /// The configuration no longer names the item.
    Obsolete,
}

impl Reason {
    /// Returns the text for logs and for the list of decisions.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Unreachable => "too few replicas",
            Reason::Busy => "its endpoints are busy",
            Reason::Room => "room for another item",
            Reason::Obsolete => "not in the configuration",
        }
    }
}

/// Plans the orders to the endpoints of a domain.
#[derive(Debug, Default)]
pub struct DomainPlanner {
    /// From when on standby replicas may be loaded.
    standby_from: Duration,
}

impl DomainPlanner {
    /// Plans the next orders for a domain, at most one for each endpoint.
    ///
    /// Standby replicas wait after other orders: they would fill memory that was freed for load
    /// and would soon have to be unloaded again.
    ///
    /// ```
    /// use bamboocourse_decide::DomainPlanner;
    /// use std::{collections::BTreeMap, time::Duration};
    /// let mut planner = DomainPlanner::default();
    /// assert!(planner.plan(&BTreeMap::new(), &BTreeMap::new(), Duration::ZERO).is_empty());
    /// ```
    pub fn plan(
        &mut self,
        items: &BTreeMap<Item, PlacementItem>,
        hosts: &BTreeMap<EndpointId, HostView>,
        now: Duration,
    ) -> Vec<PlanStep> {
        let mut plan = Plan::new(items, hosts);
        plan.drop_obsolete();
        plan.add_required(Purpose::Must);
        plan.add_absent();
        plan.relieve_busy();
        if !plan.steps.is_empty() {
            self.standby_from = now + STANDBY_DELAY;
        }
        if now >= self.standby_from {
            plan.add_required(Purpose::Standby);
        }
        plan.steps
    }
}

/// What a replica is for, which decides which other replicas are unloaded to make room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// The domain must hold the item: every replica that it can do without makes room.
    Must,
    /// The endpoints of the item are too busy: replicas whose load others can take on make room.
    Load,
    /// The domain should hold the item too: nothing makes room.
    Standby,
}

/// Index of an item in a plan.
type ItemIndex = usize;
/// Index of an endpoint in a plan.
type HostIndex = usize;

/// A plan that is being made.
struct Plan<'a> {
    names: Vec<&'a Item>,
    items: Vec<&'a PlacementItem>,
    index: FastMap<&'a Item, ItemIndex>,
    hosts: Vec<HostState<'a>>,
    /// For each item, the endpoints that hold it and are not leaving.
    holders: Vec<Vec<HostIndex>>,
    /// For each item, the number of its loads under way or planned.
    loading: Vec<usize>,
    steps: Vec<PlanStep>,
}

/// An endpoint in a plan that is being made.
struct HostState<'a> {
    name: &'a EndpointId,
    view: &'a HostView,
    items: Vec<ItemIndex>,
    free: ByteSize,
    idle: bool,
    /// Concurrent requests expected on the endpoint.
    load: f64,
    /// The part of `load` that is expected for each item.
    item_loads: FastMap<ItemIndex, f64>,
}

impl<'a> Plan<'a> {
    fn new(
        items: &'a BTreeMap<Item, PlacementItem>,
        hosts: &'a BTreeMap<EndpointId, HostView>,
    ) -> Self {
        let names: Vec<&Item> = items.keys().collect();
        let index: FastMap<&Item, ItemIndex> =
            names.iter().enumerate().map(|(index, name)| (*name, index)).collect();
        let mut holders = vec![Vec::new(); names.len()];
        let mut loading = vec![0; names.len()];
        let mut states = Vec::new();
        for (name, host) in hosts {
            let held: Vec<ItemIndex> =
                host.items.iter().filter_map(|item| index.get(item).copied()).collect();
            if !host.leaving {
                held.iter().for_each(|item| holders[*item].push(states.len()));
            }
            if let Some(item) = host.loading.as_ref().and_then(|item| index.get(item)) {
                loading[*item] += 1;
            }
            states.push(HostState {
                name,
                view: host,
                items: held,
                free: host.free,
                idle: host.idle,
                load: 0.0,
                item_loads: FastMap::default(),
            });
        }
        let items = items.values().collect();
        let mut plan =
            Self { names, items, index, hosts: states, holders, loading, steps: Vec::new() };
        plan.spread_load();
        plan
    }

    /// Spreads the load of each item over its holders in proportion to their free slots, as
    /// load-based routing does.
    fn spread_load(&mut self) {
        let mut remaining: Vec<f64> = self.items.iter().map(|spec| spec.load).collect();
        for round in 0..SPREAD_ROUNDS {
            for (item, remaining) in
                remaining.iter_mut().enumerate().filter(|(_, left)| **left > 0.0)
            {
                let holders = &self.holders[item];
                let amount = *remaining / (SPREAD_ROUNDS - round) as f64;
                let room = |host: &HostIndex| {
                    // A full endpoint still gets a small part, so its utilization can exceed 1.
                    (self.hosts[*host].view.slots - self.hosts[*host].load).max(0.01)
                };
                let rooms: Vec<f64> = holders.iter().map(room).collect();
                let total: f64 = rooms.iter().sum();
                for (host, room) in holders.iter().zip(rooms) {
                    let part = amount * room / total;
                    self.hosts[*host].load += part;
                    *self.hosts[*host].item_loads.entry(item).or_default() += part;
                }
                *remaining -= amount;
            }
        }
    }

    /// Unloads items that the configuration no longer names.
    fn drop_obsolete(&mut self) {
        let mut found = Vec::new();
        for (host, state) in self.hosts.iter().enumerate().filter(|(_, state)| state.idle) {
            let obsolete = state.view.items.iter().find(|item| !self.index.contains_key(*item));
            // A version is unloaded only once a newer version of the model has a replica.
            let Some(item) = obsolete.filter(|item| !self.lacks_new_version(item)) else {
                continue;
            };
            found.push((host, item));
        }
        for (host, item) in found {
            self.hosts[host].idle = false;
            self.add_step(host, Order::Unload, item, Reason::Obsolete);
        }
    }

    /// Returns whether another version of an item's model is configured but has no replica yet.
    fn lacks_new_version(&self, item: &Item) -> bool {
        let Some((model, _)) = item.split_once('@') else { return false };
        let same = |other: &&Item| other.split_once('@').is_some_and(|(name, _)| name == model);
        let next = self.names.iter().position(same);
        next.is_some_and(|next| self.holders[next].is_empty())
    }

    /// Loads items that have fewer replicas than the domain keeps, in order of rank.
    fn add_required(&mut self, purpose: Purpose) {
        let missing = |item: &ItemIndex| {
            let spec = self.items[*item];
            let applies = (spec.rank == 0) == (purpose == Purpose::Must);
            applies && self.holders[*item].len() + self.loading[*item] < spec.min_replicas()
        };
        let mut wanted: Vec<ItemIndex> = (0..self.items.len()).filter(missing).collect();
        // Models come before adapters, and large items before small ones.
        wanted.sort_by_key(|item| {
            let spec = self.items[*item];
            (spec.rank, spec.base.is_some(), Reverse(spec.memory))
        });
        for item in wanted {
            if let Some(host) = self.find_host(item, purpose) {
                self.plan_load(host, item, Reason::Unreachable);
            }
        }
    }

    /// Loads items without a replica in this domain whose endpoints in other domains are full.
    fn add_absent(&mut self) {
        for item in 0..self.items.len() {
            let spec = self.items[item];
            let absent = self.holders[item].is_empty() && self.loading[item] == 0;
            if !absent || !spec.helper || !self.lacks_capacity(item) {
                continue;
            }
            if let Some(host) = self.find_host(item, Purpose::Load) {
                self.plan_load(host, item, Reason::Busy);
            }
        }
    }

    /// Adds a replica of the item with the most load on each busy endpoint, busiest first.
    fn relieve_busy(&mut self) {
        let mut order: Vec<HostIndex> = (0..self.hosts.len()).collect();
        order.sort_by(|a, b| self.utilization(*b).total_cmp(&self.utilization(*a)));
        for host in order {
            let utilization = self.utilization(host);
            if utilization < BUSY_RATIO {
                return;
            }
            let item_loads = &self.hosts[host].item_loads;
            let min_load = self.hosts[host].view.slots * MIN_LOAD_RATIO;
            let heaviest = item_loads
                .iter()
                .filter(|(item, load)| **load >= min_load && self.lacks_capacity(**item));
            let heaviest = heaviest.max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(a.0)));
            let Some(item) = heaviest.map(|(item, _)| *item) else { continue };
            if self.loading[item] > 0 {
                continue;
            }
            let Some(target) = self.find_host(item, Purpose::Load) else { continue };
            if self.utilization(target) + MIN_GAIN_RATIO < utilization {
                self.plan_load(target, item, Reason::Busy);
            }
        }
    }

    /// Returns whether the endpoints of a model in other domains have too little capacity for this
    /// domain's load.
    fn lacks_capacity(&self, item: ItemIndex) -> bool {
        let spec = self.items[item];
        let loaded = spec.base.is_none() && spec.load > 0.0;
        loaded && spec.spare_elsewhere < spec.load * OUTSIDE_CAPACITY_RATIO
    }

    /// Returns the least busy endpoint with room for an item. If none has room, plans an unload that
    /// makes room, where an unload is allowed, and returns `None`.
    fn find_host(&mut self, item: ItemIndex, purpose: Purpose) -> Option<HostIndex> {
        let spec = self.items[item];
        let base = spec.base.as_ref().map(|base| self.index.get(base).copied());
        let fits = |host: &HostIndex| {
            let state = &self.hosts[*host];
            let has_base = base.is_none_or(|base| base.is_some_and(|b| state.items.contains(&b)));
            let large_enough = state.view.memory >= spec.memory;
            state.idle
                && !state.view.leaving
                && has_base
                && large_enough
                && !state.items.contains(&item)
        };
        let mut hosts: Vec<HostIndex> = (0..self.hosts.len()).filter(fits).collect();
        hosts.sort_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)));
        let free = |host: &&HostIndex| self.hosts[**host].free >= spec.memory;
        if let Some(host) = hosts.iter().find(free) {
            return Some(*host);
        }
        let max_utilization = match purpose {
            Purpose::Must => f64::MAX,
            Purpose::Load => BUSY_RATIO - MIN_GAIN_RATIO,
            Purpose::Standby => return None,
        };
        for host in hosts.into_iter().filter(|host| self.utilization(*host) <= max_utilization) {
            let spare: Vec<ItemIndex> = self.hosts[host]
                .items
                .iter()
                .copied()
                .filter(|other| self.is_spare(host, *other, purpose))
                .collect();
            let freed: ByteSize = spare.iter().map(|other| self.items[*other].memory).sum();
            if self.hosts[host].free + freed < spec.memory {
                continue;
            }
            let load_per_byte = |other: &ItemIndex| {
                let part = self.hosts[host].item_loads.get(other).copied().unwrap_or(0.0);
                part / self.items[*other].memory.max(1) as f64
            };
            let victim =
                spare.into_iter().min_by(|a, b| load_per_byte(a).total_cmp(&load_per_byte(b)));
            if let Some(victim) = victim {
                self.plan_unload(host, victim);
                return None;
            }
        }
        None
    }

    /// Returns whether a replica may be unloaded to make room.
    ///
    /// The domain's last replica may be unloaded only if another domain is the item's primary and
    /// holds a replica.
    fn is_spare(&self, host: HostIndex, item: ItemIndex, purpose: Purpose) -> bool {
        let state = &self.hosts[host];
        let spec = self.items[item];
        if state.view.pinned.contains(self.names[item]) || self.holds_adapter_of(state, item) {
            return false;
        }
        let last = self.holders[item].len() <= 1;
        if last && (spec.rank == 0 || !spec.primary_holds) {
            return false;
        }
        if purpose == Purpose::Must {
            return true;
        }
        let part = state.item_loads.get(&item).copied().unwrap_or(0.0);
        let others = self.holders[item].iter().filter(|other| **other != host);
        let capacity = |other: &HostIndex| {
            (self.hosts[*other].view.slots * BUSY_RATIO - self.hosts[*other].load).max(0.0)
        };
        others.map(capacity).sum::<f64>() + spec.spare_elsewhere >= part * SPARE_CAPACITY_RATIO
    }

    /// Returns whether the endpoint also holds an adapter of the item, to be unloaded first.
    fn holds_adapter_of(&self, state: &HostState<'_>, item: ItemIndex) -> bool {
        let mut others = state.items.iter().map(|other| self.items[*other]);
        others.any(|spec| spec.base.as_ref() == Some(self.names[item]))
    }

    /// Plans a load.
    fn plan_load(&mut self, host: HostIndex, item: ItemIndex, reason: Reason) {
        let state = &mut self.hosts[host];
        state.idle = false;
        state.free = state.free.saturating_sub(self.items[item].memory);
        self.loading[item] += 1;
        self.add_step(host, Order::Load, self.names[item], reason);
    }

    /// Plans an unload to make room.
    fn plan_unload(&mut self, host: HostIndex, item: ItemIndex) {
        let state = &mut self.hosts[host];
        state.idle = false;
        state.items.retain(|other| *other != item);
        self.holders[item].retain(|other| *other != host);
        self.add_step(host, Order::Unload, self.names[item], Reason::Room);
    }

    /// Adds an order to the plan.
    fn add_step(&mut self, host: HostIndex, order: Order, item: &Item, reason: Reason) {
        let endpoint = self.hosts[host].name.clone();
        self.steps.push(PlanStep { endpoint, order, item: item.clone(), reason });
    }

    /// Returns the expected utilization of an endpoint, as a share of its slots.
    fn utilization(&self, host: HostIndex) -> f64 {
        self.hosts[host].load / self.hosts[host].view.slots.max(1.0)
    }
}
