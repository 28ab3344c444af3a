//! What endpoints hold, as numbered changes, so that each VM is told only what it does not know.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocourse_decide::{EndpointId, FastMap};

use crate::wire::Held;

/// The number of a change.
pub(crate) type NewsNumber = u64;

/// The latest change of each endpoint.
#[derive(Debug, Default)]
pub(crate) struct NewsLog {
    last: NewsNumber,
    changes: FastMap<EndpointId, Change>,
    order: BTreeMap<NewsNumber, EndpointId>,
}

#[derive(Debug)]
struct Change {
    number: NewsNumber,
    held: Held,
    /// When the model that is being loaded is expected to be loaded.
    due: Duration,
}

impl NewsLog {
    /// Records what an endpoint holds; returns whether it is new.
    pub(crate) fn record(&mut self, held: Held, now: Duration) -> bool {
        let name = EndpointId::new(&held.endpoint);
        let due = now + Duration::from_millis(u64::from(held.left));
        if let Some(known) = self.changes.get_mut(&name) {
            let left = known.held.left;
            if known.held == (Held { left, ..held.clone() }) {
                known.due = due;
                return false;
            }
            self.order.remove(&known.number);
        }
        self.last += 1;
        self.order.insert(self.last, name.clone());
        self.changes.insert(name, Change { number: self.last, held, due });
        true
    }

    /// Forgets an endpoint that is no longer listed.
    pub(crate) fn remove(&mut self, name: &EndpointId) {
        if let Some(change) = self.changes.remove(name) {
            self.order.remove(&change.number);
        }
    }

    /// Returns the number of the last change.
    pub(crate) fn last(&self) -> NewsNumber {
        self.last
    }

    /// Returns the changes after a number, oldest first.
    pub(crate) fn after(&self, number: NewsNumber, now: Duration) -> Vec<Held> {
        let later = self.order.range(number + 1..).map(|(_, name)| &self.changes[name]);
        let held = later.map(|change| Held {
            left: change.due.saturating_sub(now).as_millis() as u32,
            ..change.held.clone()
        });
        held.collect()
    }
}
