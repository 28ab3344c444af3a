//! When a new leader may send its first order to each endpoint.
//!
//! Orders of two leaders to one endpoint must be at least a fixed gap apart. A new leader that
//! knows nothing of the former leader waits the whole gap for every endpoint. A new leader that got
//! a [`Handover`] waits only for the endpoints that the former leader has ordered recently. This
//! matters in a rolling restart: the lease moves many times a minute, and no adapters can be
//! loaded while the leader waits.

use std::time::Duration;

use crate::ids::EndpointId;
use crate::map::{FastMap, FastSet};

/// How long the next leader must wait before its first orders, from the time of the handover on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Handover {
    /// The wait for endpoints that are not listed.
    pub default_wait: Duration,
    /// The endpoints with a longer wait, and that wait.
    pub endpoints: Vec<(EndpointId, Duration)>,
}

/// What a new leader knows of the last orders before its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastOrders<'a> {
    /// There were none.
    None,
    /// This VM gave them, and was to give none before a time.
    Own(Duration),
    /// The VM that gave them handed over at a time.
    HandedOver(&'a Handover, Duration),
    /// Another VM may have given them, up to now.
    Unknown,
}

impl<'a> LastOrders<'a> {
    /// Returns what a former leader's row tells.
    ///
    /// `own` is the time before which this VM was to give no order, if the row names it as the VM
    /// that gave the last ones; `handover` is what the row's leader handed over, and when. A copy of
    /// the store tells nothing: another VM may have led since.
    ///
    /// ```
    /// use bamboocourse_decide::LastOrders;
    /// use std::time::Duration;
    /// let own = Some(Duration::ZERO);
    /// assert_eq!(LastOrders::from_row(false, own, None), LastOrders::Own(Duration::ZERO));
    /// assert_eq!(LastOrders::from_row(true, own, None), LastOrders::Unknown);
    /// ```
    pub fn from_row(
        is_copy: bool,
        own: Option<Duration>,
        handover: Option<(&'a Handover, Duration)>,
    ) -> Self {
        match (own, handover) {
            _ if is_copy => Self::Unknown,
            (Some(from), _) => Self::Own(from),
            (None, Some((handover, at))) => Self::HandedOver(handover, at),
            (None, None) => Self::Unknown,
        }
    }
}

/// The times from which on a leader may send orders, and the record of its own orders.
#[derive(Debug, Clone)]
pub struct QuietPeriod {
    /// The least time between two leaders' orders to one endpoint.
    gap: Duration,
    /// How long after it was begun an order may still reach its endpoint.
    delivery: Duration,
    /// From when on endpoints that are not in `endpoint_from` may be ordered.
    default_from: Duration,
    /// From when on the other endpoints may be ordered.
    endpoint_from: FastMap<EndpointId, Duration>,
    /// When this leader's last order to each endpoint ended.
    ended: FastMap<EndpointId, Duration>,
    /// The endpoints with an order that has not ended.
    pending: FastSet<EndpointId>,
}

impl QuietPeriod {
    /// Creates the quiet period of a leader that may order every endpoint from the time `from` on.
    ///
    /// ```
    /// use bamboocourse_decide::QuietPeriod;
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let period = QuietPeriod::new(3 * second, second, 10 * second);
    /// assert!(!period.allows(&"e1".into(), 9 * second));
    /// assert!(period.allows(&"e1".into(), 10 * second));
    /// ```
    pub fn new(gap: Duration, delivery: Duration, from: Duration) -> Self {
        let (endpoint_from, ended, pending) =
            (FastMap::default(), FastMap::default(), FastSet::default());
        Self { gap, delivery, default_from: from, endpoint_from, ended, pending }
    }

    /// Creates the quiet period of a leader that received the former leader's handover at a time.
    pub fn from_handover(
        gap: Duration,
        delivery: Duration,
        handover: &Handover,
        at: Duration,
    ) -> Self {
        let endpoint_from =
            handover.endpoints.iter().map(|(name, wait)| (name.clone(), at + *wait));
        let endpoint_from = endpoint_from.collect();
        Self { endpoint_from, ..Self::new(gap, delivery, at + handover.default_wait) }
    }

    /// Creates the quiet period of a leader that starts now.
    ///
    /// ```
    /// use bamboocourse_decide::{LastOrders, QuietPeriod};
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let period = QuietPeriod::after(LastOrders::Unknown, 3 * second, second, 10 * second);
    /// assert_eq!(period.ends_at(), 13 * second);
    /// ```
    pub fn after(last: LastOrders<'_>, gap: Duration, delivery: Duration, now: Duration) -> Self {
        match last {
            LastOrders::None => Self::new(gap, delivery, now),
            LastOrders::Own(from) => Self::new(gap, delivery, from.clamp(now, now + gap)),
            LastOrders::HandedOver(handover, at) => {
                Self::from_handover(gap, delivery, handover, at)
            }
            LastOrders::Unknown => Self::new(gap, delivery, now + gap),
        }
    }

    /// Returns whether an order may be sent to an endpoint now.
    pub fn allows(&self, endpoint: &EndpointId, now: Duration) -> bool {
        now >= self.endpoint_from.get(endpoint).copied().unwrap_or(self.default_from)
    }

    /// Returns the time from which on every endpoint may be ordered.
    pub fn ends_at(&self) -> Duration {
        self.endpoint_from.values().copied().fold(self.default_from, Duration::max)
    }

    /// Records that an order is being sent to an endpoint.
    pub fn begin_order(&mut self, endpoint: &EndpointId) {
        self.pending.insert(endpoint.clone());
    }

    /// Records that an endpoint replied to its order, or that the order was given up.
    pub fn end_order(&mut self, endpoint: &EndpointId, now: Duration) {
        if self.pending.remove(endpoint) {
            self.ended.insert(endpoint.clone(), now);
        }
    }

    /// Returns the waits for the next leader, provided that this one sends no more orders.
    pub fn handover(&self, now: Duration) -> Handover {
        let mut allowed_from: FastMap<&EndpointId, Duration> = FastMap::default();
        let inherited = self.endpoint_from.iter().map(|(name, from)| (name, *from));
        let ended = self.ended.iter().map(|(name, at)| (name, *at + self.gap));
        let pending = self.pending.iter().map(|name| (name, now + self.delivery + self.gap));
        for (name, from) in inherited.chain(ended).chain(pending) {
            let latest = allowed_from.entry(name).or_insert(self.default_from);
            *latest = (*latest).max(from);
        }
        let default_wait = self.default_from.saturating_sub(now);
        let endpoints = allowed_from
            .into_iter()
            .map(|(name, from)| (name.clone(), from.saturating_sub(now)))
            .filter(|(_, wait)| *wait > default_wait);
        Handover { default_wait, endpoints: endpoints.collect() }
    }
}
