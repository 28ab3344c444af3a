//! Which models and adapters are not loaded for now, because endpoints end while they load them.

use std::time::Duration;

use crate::ids::{AdapterId, ModelId};
use crate::map::FastMap;
use crate::process::placement::tracker::{EndpointTracker, OrderCommand};
use crate::request::availability::EndpointInstance;

/// The endpoints that must have ended while they loaded something.
const MAX_ENDS: usize = 3;
/// The least time over which they must have ended, so that the loss of many at the same moment is no
/// evidence.
const MIN_SPAN: Duration = Duration::from_secs(1);
/// How long such an end counts.
const END_TERM: Duration = Duration::from_secs(60);
/// How long the first pause lasts; each further one is four times as long.
const FIRST_PAUSE: Duration = Duration::from_secs(30);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(3_600);
/// The factor from one pause to the next.
const PAUSE_FACTOR: u32 = 4;

/// A model, or an adapter of it, that is loaded.
pub type LoadedItem = (ModelId, Option<AdapterId>);

/// The loads during which endpoints ended.
///
/// After a pause, each load during which an endpoint ends begins the next one. An endpoint that has
/// loaded the item clears it.
#[derive(Debug, Clone, Default)]
pub struct LoadFailures {
    records: FastMap<LoadedItem, Record>,
}

#[derive(Debug, Clone, Default)]
struct Record {
    ends: Vec<(EndpointInstance, Duration)>,
    pauses: u32,
    paused_until: Duration,
}

impl LoadFailures {
    /// Returns what an order loads, if it loads something.
    ///
    /// ```
    /// use bamboocourse_decide::{LoadFailures, OrderCommand};
    /// let order = OrderCommand::Load("m1".into());
    /// assert_eq!(LoadFailures::loaded_item(&order), Some(("m1".into(), None)));
    /// ```
    pub fn loaded_item(command: &OrderCommand) -> Option<LoadedItem> {
        match command {
            OrderCommand::Load(model) => Some((model.clone(), None)),
            OrderCommand::Fetch(model, adapter) => Some((model.clone(), Some(adapter.clone()))),
            OrderCommand::Unload(_) | OrderCommand::Release(..) => None,
        }
    }

    /// Records that an endpoint ended while it loaded an item; returns for how long the item is not
    /// loaded, if a pause begins now.
    pub fn on_end(
        &mut self,
        item: LoadedItem,
        instance: EndpointInstance,
        now: Duration,
    ) -> Option<Duration> {
        let record = self.records.entry(item).or_default();
        record.ends.retain(|(known, at)| now < *at + END_TERM && *known != instance);
        record.ends.push((instance, now));
        let first = record.ends.iter().map(|(_, at)| *at).min().unwrap_or(now);
        let is_enough = record.ends.len() >= MAX_ENDS && now >= first + MIN_SPAN;
        let is_enough = is_enough || record.pauses > 0;
        if !is_enough || now < record.paused_until {
            return None;
        }
        let pause = FIRST_PAUSE * PAUSE_FACTOR.saturating_pow(record.pauses.min(8));
        let pause = pause.min(LONGEST_PAUSE);
        record.pauses += 1;
        record.paused_until = now + pause;
        Some(pause)
    }

    /// Records that an endpoint has loaded an item.
    pub fn on_loaded(&mut self, item: &LoadedItem) {
        self.records.remove(item);
    }

    /// Clears what an endpoint was loading if the endpoint holds it by now.
    ///
    /// A copy that it held before says nothing: the weights may have been replaced since.
    pub fn clear_loaded(&mut self, loading: Option<LoadedItem>, tracker: &EndpointTracker) {
        let Some(item) = loading.filter(|item| self.records.contains_key(item)) else { return };
        let held = tracker.resident().get(&item.0);
        let is_loaded = held.is_some_and(|adapters| {
            item.1.as_ref().is_none_or(|adapter| adapters.contains(adapter))
        });
        if is_loaded {
            self.on_loaded(&item);
        }
    }

    /// Returns whether an item must not be loaded now.
    ///
    /// The loads in progress count as well: no more are begun than endpoints may end.
    pub fn is_paused(&self, item: &LoadedItem, loading: usize, now: Duration) -> bool {
        let Some(record) = self.records.get(item) else { return false };
        let recent = record.ends.iter().filter(|(_, at)| now < *at + END_TERM).count();
        let is_doubtful = recent > 0 || record.pauses > 0;
        now < record.paused_until || (is_doubtful && loading > 0)
    }

    /// Returns how many items are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no item is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets the items whose last end is long ago.
    pub fn prune(&mut self, now: Duration) {
        self.records.retain(|_, record| {
            let last = record.ends.last().map_or(Duration::ZERO, |(_, at)| *at);
            now < last + END_TERM
                || now < record.paused_until + LONGEST_PAUSE * record.pauses.min(1)
        });
    }
}
