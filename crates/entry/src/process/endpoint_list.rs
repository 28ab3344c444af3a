//! The platform's list of endpoints, read from the store or relayed by the leader.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    EndpointId, FastMap, FastSet, ListedPosition, StoreEra, StorePosition, TableAge,
};
use log::{info, warn};
use tokio::sync::mpsc;

use crate::edge::clock::boot_now;
use crate::edge::{ListedEndpoint, Protocol, StoreRow, StoreRows};
use crate::process::coordinator::CoordinatorEvent;
use crate::process::scheduler::Scheduler;

/// The endpoints that the platform lists, as far as this VM knows.
pub(crate) struct EndpointList {
    protocol: Arc<dyn Protocol>,
    scheduler: Arc<Scheduler>,
    events: mpsc::UnboundedSender<CoordinatorEvent>,
    /// How long vanished endpoints are kept after the store has recovered from an outage.
    removal_delay: Duration,
    state: Mutex<State>,
}

/// What the leader relays to a VM that knows an older list.
#[derive(Debug, Default)]
pub(crate) struct ListUpdate {
    /// The changed entries.
    pub(crate) entries: Vec<ListEntry>,
    /// The position up to which the list is known with them.
    pub(crate) version: StorePosition,
    /// The position up to which the receiver knows it: before the first removal that still waits, so
    /// that it reads the removal from the store if this VM does not tell it.
    pub(crate) told: StorePosition,
    /// All listed endpoints, if the changes since the VM's version are not all known.
    pub(crate) live: Option<FastSet<EndpointId>>,
    /// Those of them whose removal waits.
    pub(crate) vanished: FastSet<EndpointId>,
}

/// A row of the list.
#[derive(Debug, Clone)]
pub(crate) struct ListEntry {
    pub(crate) row: StoreRow,
    /// Whether the row may come from the copy from which the store was restored.
    pub(crate) restored: bool,
}

impl ListEntry {
    fn position(&self) -> ListedPosition {
        ListedPosition { at: self.row.version, restored: self.restored }
    }

    /// Returns whether this entry replaces a known one.
    fn replaces(&self, known: &Self) -> bool {
        self.position().replaces(known.position(), self.row.value != known.row.value)
    }
}

#[derive(Default)]
struct State {
    rows: FastMap<EndpointId, ListEntry>,
    endpoints: FastMap<EndpointId, ListedEndpoint>,
    /// The store's position up to which the list is known.
    version: StorePosition,
    /// The position of the first list that this process read in its era: removals before it are not
    /// all known.
    first_version: Option<StorePosition>,
    /// The last older era of which another VM told the list; logged once.
    older_era: Option<StoreEra>,
    /// From when endpoints whose rows have vanished are removed; [`Duration::MAX`] during an outage
    /// of the store. Until then, the outage alone may have made the rows expire.
    removals_from: Duration,
    /// When this VM's last call for the list failed.
    failed: Duration,
    /// The row's version at each endpoint's last change that the leader must relay.
    relays: FastMap<EndpointId, StorePosition>,
    /// The same, in the order of versions.
    relay_order: BTreeSet<(StorePosition, EndpointId)>,
    /// The removals of vanished endpoints that still wait.
    pending: FastMap<EndpointId, Removal>,
    /// When each endpoint that vanished of late was removed.
    removed: FastMap<EndpointId, Duration>,
}

/// The removal of an endpoint whose entry may come back.
struct Removal {
    /// The position at which the entry was missing.
    version: StorePosition,
    /// The endpoint's last entry, if this VM had it.
    former: Option<StoreRow>,
}

impl State {
    /// Begins a new era if `version` is of one: what vanishes now may have been lost with the copy and
    /// is kept for a while.
    fn begin_era(&mut self, version: StorePosition, removal_delay: Duration) {
        let is_new = self.first_version.is_some() && version.era > self.version.era;
        if is_new {
            info!(era = version.era, former = self.version.era, version:% = version,
                known:% = self.version, endpoints = self.endpoints.len(),
                kept_ms = removal_delay.as_millis() as u64;
                "the list of endpoints is of a new era of the store");
            self.first_version = Some(version);
            self.version = version;
            self.removals_from = boot_now() + removal_delay;
        }
    }

    /// Returns the position up to which another VM knows the list without the removals that wait.
    fn told(&self) -> StorePosition {
        let waiting = self.pending.values().map(|removal| removal.version.previous());
        waiting.min().unwrap_or(self.version)
    }

    /// Records an endpoint's change that the leader must relay.
    fn relay(&mut self, name: &EndpointId, version: StorePosition) {
        if let Some(former) = self.relays.insert(name.clone(), version) {
            self.relay_order.remove(&(former, name.clone()));
        }
        self.relay_order.insert((version, name.clone()));
    }
}

/// How long the leader relays a removal to every VM, including those that know a newer version.
const REMOVAL_RELAY_TIME: Duration = Duration::from_secs(3);

impl EndpointList {
    pub(crate) fn new(
        protocol: Arc<dyn Protocol>,
        scheduler: Arc<Scheduler>,
        events: mpsc::UnboundedSender<CoordinatorEvent>,
        removal_delay: Duration,
    ) -> Self {
        Self { protocol, scheduler, events, removal_delay, state: Mutex::default() }
    }

    /// Returns the store's position up to which the list is known.
    pub(crate) fn version(&self) -> StorePosition {
        self.state().version
    }

    /// Returns the listed endpoints.
    pub(crate) fn endpoints(&self) -> FastMap<EndpointId, ListedEndpoint> {
        self.state().endpoints.clone()
    }

    /// Returns one endpoint, if it is listed.
    pub(crate) fn endpoint(&self, name: &EndpointId) -> Option<ListedEndpoint> {
        self.state().endpoints.get(name).cloned()
    }

    /// Returns what the leader relays to a VM that knows the list up to a version.
    ///
    /// A VM that knows an older list than the first one that this process has read also gets the
    /// names of all listed endpoints, since endpoints may have been removed in between.
    pub(crate) fn changes_after(&self, version: StorePosition) -> ListUpdate {
        let now = boot_now();
        let mut state = self.state();
        state.removed.retain(|_, at| now < *at + REMOVAL_RELAY_TIME);
        let changed = state.relay_order.range((version.next(), EndpointId::default())..);
        let changed = changed.map(|(_, name)| name);
        // A vanished endpoint's row counts only once the endpoint has been removed.
        let has_value = |name: &&EndpointId| {
            state.rows.get(*name).is_some_and(|known| known.row.value.is_some())
        };
        let listed = changed.filter(has_value);
        let names = listed.chain(state.removed.keys());
        let entries = names.filter_map(|name| state.rows.get(name).cloned()).collect();
        let is_older = state.first_version.is_some_and(|first| version < first);
        let live = is_older.then(|| state.endpoints.keys().cloned().collect());
        let vanished =
            if is_older { state.pending.keys().cloned().collect() } else { FastSet::default() };
        ListUpdate { entries, version: state.version, told: state.told(), live, vanished }
    }

    /// Records what the leader has told of the list: it may show that the store is back.
    pub(crate) fn on_told(&self, age: &TableAge) {
        if age.shows_recovery(self.state().failed) {
            self.on_recovery();
        }
    }

    /// Records that the store could not be reached.
    pub(crate) fn on_outage(&self) {
        let former = {
            let mut state = self.state();
            state.failed = boot_now();
            std::mem::replace(&mut state.removals_from, Duration::MAX)
        };
        if former != Duration::MAX {
            // The receiver is gone only while the process shuts down.
            let _ = self.events.send(CoordinatorEvent::StoreLost);
        }
    }

    /// Records that the store responds; after an outage, vanished endpoints are kept for a while.
    pub(crate) fn on_recovery(&self) {
        let mut state = self.state();
        if state.removals_from == Duration::MAX {
            state.removals_from = boot_now() + self.removal_delay;
            // The receiver is gone only while the process shuts down.
            let _ = self.events.send(CoordinatorEvent::StoreBack);
        }
    }

    /// Applies changed rows and the version up to which the list is known with them.
    pub(crate) fn on_changes(self: &Arc<Self>, changes: &StoreRows) {
        let entries =
            changes.rows.iter().map(|row| ListEntry { row: row.clone(), restored: false });
        self.on_entries(entries, changes.version);
    }

    fn on_entries(
        self: &Arc<Self>,
        entries: impl IntoIterator<Item = ListEntry>,
        version: StorePosition,
    ) {
        let held_back = entries.into_iter().filter(|entry| !self.on_entry(entry)).count();
        if held_back > 0 {
            info!(version:% = version, held_back;
                "entries that may be of the store's copy are older than what is known");
        }
        let mut state = self.state();
        state.version = state.version.max(version);
    }

    /// Applies what the leader relayed.
    ///
    /// Removals take effect at once, since the leader has already waited after an outage. A leader
    /// that started after an outage has not, so endpoints that it does not list are kept for as
    /// long as this VM keeps what vanished in an outage that it saw the end of.
    pub(crate) fn on_relayed(self: &Arc<Self>, update: &ListUpdate) {
        let ListUpdate { entries, told: version, live, vanished, .. } = update;
        {
            let mut state = self.state();
            if version.era < state.version.era {
                if state.older_era != Some(version.era) {
                    info!(version:% = version, known:% = state.version;
                        "a list of an older era of the store is ignored");
                    state.older_era = Some(version.era);
                }
                return;
            }
            state.begin_era(*version, self.removal_delay);
        }
        let (removed, listed): (Vec<ListEntry>, Vec<ListEntry>) =
            entries.iter().cloned().partition(|entry| entry.row.value.is_none());
        for entry in removed {
            self.remove_relayed(entry.row, Duration::ZERO);
        }
        if let Some(live) = live {
            let (unlisted, wait) = {
                let mut state = self.state();
                state.first_version.get_or_insert(*version);
                let known = state.endpoints.keys();
                let unlisted: Vec<_> =
                    known.filter(|name| !live.contains(*name)).cloned().collect();
                let wait = match state.removals_from {
                    // This VM cannot reach the store, but the leader can.
                    Duration::MAX => Duration::ZERO,
                    from => from.saturating_sub(boot_now()),
                };
                info!(version:% = version, known:% = state.version, listed = live.len(),
                    unlisted = unlisted.len(); "the leader's whole list is applied");
                (unlisted, wait)
            };
            for key in unlisted {
                self.remove_relayed(StoreRow { key, value: None, version: *version }, wait);
            }
        }
        self.on_entries(listed, *version);
        if let Some(live) = live {
            self.keep_listed(live.difference(vanished), *version);
        }
    }

    /// Cancels the removals of endpoints that the leader lists at a later position.
    ///
    /// The leader may have read the list only after their entries had come back, so that it saw no
    /// change that it would relay.
    fn keep_listed<'a>(
        &self,
        listed: impl Iterator<Item = &'a EndpointId>,
        version: StorePosition,
    ) {
        let mut state = self.state();
        for name in listed {
            let Some(Removal { version: missing, former: Some(former) }) = state.pending.get(name)
            else {
                continue;
            };
            let (missing, former) = (*missing, former.clone());
            if missing >= version {
                continue;
            }
            state.pending.remove(name);
            info!(endpoint = name.as_str(), row:% = version, missing:% = missing;
                "an endpoint whose entry vanished is listed by the leader and stays");
            let row = StoreRow { version, ..former };
            state.rows.insert(name.clone(), ListEntry { row, restored: false });
            state.relay(name, version);
        }
    }

    /// Removes an endpoint after a wait, unless a row is known that is newer than the removal.
    fn remove_relayed(self: &Arc<Self>, row: StoreRow, wait: Duration) {
        let mut state = self.state();
        if state.rows.get(&row.key).is_some_and(|known| known.row.version > row.version) {
            return;
        }
        let (name, version) = (row.key.clone(), row.version);
        let former = state.rows.insert(name.clone(), ListEntry { row, restored: false });
        drop(state);
        self.remove_later(name, version, wait, former);
    }

    /// Applies the whole list: endpoints without a row have vanished.
    ///
    /// `era_start` is the lowest position that the store has shown in its era; entries up to there may
    /// be of the copy from which it was restored.
    pub(crate) fn on_snapshot(self: &Arc<Self>, snapshot: &StoreRows, era_start: StorePosition) {
        if self.state().first_version.is_none() {
            info!(version:% = snapshot.version, endpoints = snapshot.rows.len();
                "the list of endpoints has been read");
        }
        let era_start = era_start.min(snapshot.version);
        let vanished: Vec<EndpointId> = {
            let mut state = self.state();
            state.begin_era(snapshot.version, self.removal_delay);
            state.first_version.get_or_insert(snapshot.version);
            let shown: FastSet<&EndpointId> = snapshot.rows.iter().map(|row| &row.key).collect();
            let live = state.rows.iter().filter(|(_, known)| known.row.value.is_some());
            let missing = live.filter(|(name, known)| {
                known.row.version <= snapshot.version && !shown.contains(*name)
            });
            missing.map(|(name, _)| name.clone()).collect()
        };
        for key in vanished {
            let row = StoreRow { key, value: None, version: snapshot.version };
            self.on_entry(&ListEntry { row, restored: false });
        }
        let entries = snapshot.rows.iter().map(|row| {
            let restored = row.version.era > 0 && row.version <= era_start;
            ListEntry { row: row.clone(), restored }
        });
        self.on_entries(entries, snapshot.version);
    }

    /// Applies an entry if it is newer than the known one; returns whether it was not held back as
    /// one of the copy.
    fn on_entry(self: &Arc<Self>, entry: &ListEntry) -> bool {
        let row = &entry.row;
        let name = row.key.clone();
        let mut state = self.state();
        let known = state.rows.get(&name);
        // A vanished endpoint that is not removed yet has not left; its entry comes back.
        let comes_back = known
            .is_some_and(|known| known.row.value.is_none() && known.row.version < row.version)
            && state.endpoints.contains_key(&name);
        if !comes_back && known.is_some_and(|known| !entry.replaces(known)) {
            return known.is_none_or(|known| {
                known.row.version > row.version || known.row.value == row.value
            });
        }
        // Other VMs may hold back what this VM has taken from the copy, or wait to remove what has come
        // back here.
        let was_restored = known.is_some_and(|known| known.restored && !entry.restored);
        let former = state.rows.insert(name.clone(), entry.clone());
        if row.value.is_none() {
            let wait = state.removals_from.saturating_sub(boot_now());
            drop(state);
            self.remove_later(name, row.version, wait, former);
            return true;
        }
        match self.protocol.read_endpoint(row) {
            Ok(listed) => {
                let known = state.endpoints.get(&name);
                let changed = known.is_none_or(|known| {
                    known.info.ready != listed.info.ready
                        || known.info.instance != listed.info.instance
                        // It has turned cold again. Otherwise the time left falls.
                        || known.cold < listed.cold
                });
                if changed {
                    info!(endpoint = name.as_str(), service = listed.info.service.as_str(),
                        domain = listed.info.domain.as_str(), ready = listed.info.ready,
                        born = listed.info.instance, row:% = row.version,
                        cold_ms = listed.cold.as_millis() as u64,
                        left_ms = listed.remaining.map(|left| left.as_millis() as u64).unwrap_or(0);
                        "an endpoint is listed");
                }
                if changed || was_restored || comes_back {
                    state.relay(&name, row.version);
                }
                state.removed.remove(&name);
                state.pending.remove(&name);
                state.endpoints.insert(name.clone(), listed.clone());
                drop(state);
                self.scheduler.upsert_endpoint(&name, &listed);
                self.notify(name);
            }
            Err(why) => {
                let known = state.endpoints.remove(&name).is_some();
                state.pending.remove(&name);
                state.relay(&name, row.version);
                drop(state);
                warn!(endpoint = name.as_str(), row:% = row.version, known, why:%;
                    "an endpoint's entry cannot be read; the endpoint is not used");
                self.scheduler.remove_endpoint(&name);
                self.notify(name);
            }
        }
        true
    }

    /// Removes an endpoint after a wait, unless its row comes back; `former` is its last row.
    fn remove_later(
        self: &Arc<Self>,
        name: EndpointId,
        version: StorePosition,
        wait: Duration,
        former: Option<ListEntry>,
    ) {
        if wait.is_zero() {
            self.remove(&name, version);
            return;
        }
        {
            let mut state = self.state();
            let former = former.map(|known| known.row).filter(|row| row.value.is_some());
            // The entry may have vanished again before it came back.
            let known = state.pending.remove(&name).and_then(|removal| removal.former);
            state.pending.insert(name.clone(), Removal { version, former: former.or(known) });
        }
        info!(endpoint = name.as_str(), row:% = version,
            wait_ms = wait.min(self.removal_delay).as_millis() as u64;
            "an endpoint's entry vanished around an outage of the store and may come back");
        let list = self.clone();
        tokio::spawn(async move {
            // During an outage the time of the store's recovery is not known, so the wait is
            // computed again after each sleep.
            loop {
                let wait = list.state().removals_from.saturating_sub(boot_now());
                if wait.is_zero() {
                    break;
                }
                tokio::time::sleep(wait.min(list.removal_delay)).await;
            }
            list.remove(&name, version);
        });
    }

    /// Removes an endpoint, unless its row changed after `version`.
    fn remove(&self, name: &EndpointId, version: StorePosition) {
        let mut state = self.state();
        let unchanged = state.rows.get(name).is_some_and(|known| known.row.version == version);
        if !unchanged {
            return;
        }
        state.pending.remove(name);
        if state.endpoints.remove(name).is_none() {
            return;
        }
        state.removed.insert(name.clone(), boot_now());
        drop(state);
        info!(endpoint = name.as_str(), row:% = version; "an endpoint is gone");
        self.scheduler.remove_endpoint(name);
        self.notify(name.clone());
    }

    /// Notifies the coordinator that an endpoint changed.
    fn notify(&self, name: EndpointId) {
        // The receiver is gone only while the process shuts down.
        let _ = self.events.send(CoordinatorEvent::EndpointChanged(name));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
