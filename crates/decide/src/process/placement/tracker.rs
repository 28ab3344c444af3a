//! Tracks what one endpoint holds and the order that the leader has pending there.
//!
//! Each order names the number of orders that the endpoint must have accepted before it, so that
//! of two orders with the same number only one can ever take effect. An order without a reply may
//! take effect much later, also at the next instance of the endpoint's process. Until the endpoint
//! has accepted another order with the same number, the memory that a load without a reply would
//! take stays charged.
//!
//! Reports, entries of the list and replies arrive in any order. The number of accepted orders
//! tells which of them are newer: what is older than the last known accepted order changes nothing.

use std::time::Duration;

use crate::ids::{AdapterId, ModelId};
use crate::map::{FastMap, FastSet};

/// How long after it was sent an order without a reply may still be carried out.
pub const LATE_ORDER_TIMEOUT: Duration = Duration::from_secs(13);
/// How old the content of an endpoint's report may be: a report requested this long after an event
/// includes the event.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
/// How long after an order's expected end a report is requested, if the end was not seen.
const OVERDUE_DELAY: Duration = Duration::from_millis(500);
/// Time between two requests for a report.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The models that an endpoint holds, each with its adapters.
pub type ResidentModels = FastMap<ModelId, FastSet<AdapterId>>;

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a model that the endpoint holds.
    Fetch(ModelId, AdapterId),
    /// Unload an adapter.
    Release(ModelId, AdapterId),
}

/// Identifies an order to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderKey {
    /// The process instance that the order is for.
    pub instance: u64,
    /// How many orders the endpoint must have accepted before this order.
    pub number: u64,
}

/// The reply of an endpoint to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The order is being carried out.
    Accepted,
    /// The endpoint is already in the state that the order asks for.
    Holds,
    /// Another order is in progress, or the order's number is not the expected one.
    Conflict,
    /// The address belongs to another endpoint.
    Elsewhere,
    /// The order is refused and would be refused again.
    Refused,
    /// The order was not sent or not taken, and has no effect.
    NotSent,
    /// No reply came; the order may still be carried out later.
    Lost,
}

/// What an endpoint reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EndpointReport {
    /// The start of its process in Unix milliseconds, which identifies the process instance.
    pub instance: u64,
    /// The number of orders that the process has accepted.
    pub seq: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The models and adapters that it holds.
    pub resident: ResidentModels,
    /// Adapters that it is loading.
    pub loading: Vec<(ModelId, AdapterId)>,
    /// Models that it can load from its own memory or disk.
    pub cached: FastSet<ModelId>,
}

/// The leader's view of one endpoint: what it holds, and the order that is pending there.
#[derive(Debug, Clone)]
pub struct EndpointTracker {
    instance: u64,
    /// The number of orders that the endpoint has accepted; `None` before its first report.
    seq: Option<u64>,
    resident: ResidentModels,
    cached: FastSet<ModelId>,
    pending: Option<PendingOrder>,
    /// Whether an order that this leader did not send is in progress.
    foreign_order: bool,
    /// Orders without a reply, which the endpoint may still carry out.
    late_orders: Vec<LateOrder>,
    /// Whether the endpoint did not reply to the last request for a report.
    down: bool,
    /// When a report is needed; `None` if none is.
    report_due: Option<Duration>,
    /// When an order was last accepted or ended.
    changed: Duration,
}

/// An order that was begun and whose end is not known.
#[derive(Debug, Clone)]
struct PendingOrder {
    command: OrderCommand,
    /// The number of orders that the endpoint must have accepted before this order.
    number: u64,
    /// Whether the endpoint has accepted the order.
    accepted: bool,
    expected_end: Duration,
}

/// An order without a reply.
#[derive(Debug, Clone)]
struct LateOrder {
    command: OrderCommand,
    /// The number of orders that the endpoint must have accepted before this order.
    number: u64,
    /// The time until which the order may still be carried out.
    until: Duration,
}

impl EndpointTracker {
    /// Creates a tracker for a process instance; it needs a report before any order.
    ///
    /// ```
    /// use bamboocourse_decide::EndpointTracker;
    /// use std::time::Duration;
    /// let tracker = EndpointTracker::new(7, Duration::ZERO);
    /// assert!(!tracker.is_idle());
    /// assert!(tracker.needs_report(Duration::ZERO));
    /// ```
    pub fn new(instance: u64, now: Duration) -> Self {
        Self {
            instance,
            seq: None,
            resident: ResidentModels::default(),
            cached: FastSet::default(),
            pending: None,
            foreign_order: false,
            late_orders: Vec::new(),
            down: false,
            report_due: Some(now),
            changed: Duration::ZERO,
        }
    }

    /// Returns what the endpoint holds, without what the pending order removes.
    pub fn resident(&self) -> &ResidentModels {
        &self.resident
    }

    /// Returns the models that the endpoint can load from its own memory or disk.
    pub fn cached(&self) -> &FastSet<ModelId> {
        &self.cached
    }

    /// Returns the model that is being loaded, if any.
    pub fn loading_model(&self) -> Option<&ModelId> {
        match self.pending.as_ref().map(|pending| &pending.command) {
            Some(OrderCommand::Load(model)) => Some(model),
            _ => None,
        }
    }

    /// Returns the adapter that is being loaded and its model, if any.
    pub fn loading_adapter(&self) -> Option<(ModelId, AdapterId)> {
        match self.pending.as_ref().map(|pending| &pending.command) {
            Some(OrderCommand::Fetch(model, adapter)) => Some((model.clone(), adapter.clone())),
            _ => None,
        }
    }

    /// Returns the process instance of the endpoint, as the start of its process in Unix
    /// milliseconds.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns whether a report has shown what the endpoint holds.
    pub fn is_known(&self) -> bool {
        self.seq.is_some()
    }

    /// Returns whether an order may be sent now.
    pub fn is_idle(&self) -> bool {
        self.seq.is_some()
            && self.pending.is_none()
            && !self.foreign_order
            && self.report_due.is_none()
    }

    /// Returns whether a report is needed now.
    pub fn needs_report(&self, now: Duration) -> bool {
        self.report_due.is_some_and(|at| now >= at)
    }

    /// Returns whether a report that was requested at a time may show the endpoint as it was before
    /// its last order was accepted or ended.
    pub fn may_predate_order(&self, requested: Duration) -> bool {
        self.changed > Duration::ZERO && requested < self.changed + MAX_REPORT_AGE
    }

    /// Requests a report that cannot predate the last order.
    pub fn retry_report(&mut self) {
        self.report_due = Some(self.changed + MAX_REPORT_AGE);
    }

    /// Returns the models that orders without a reply may still load.
    pub fn late_loads(&self, now: Duration) -> impl Iterator<Item = &ModelId> {
        let live = self.late_orders.iter().filter(move |late| now < late.until);
        live.filter_map(|late| match &late.command {
            OrderCommand::Load(model) => Some(model),
            _ => None,
        })
    }

    /// Returns the adapters that orders without a reply may still load, with their models.
    pub fn late_adapters(&self, now: Duration) -> impl Iterator<Item = (&ModelId, &AdapterId)> {
        let live = self.late_orders.iter().filter(move |late| now < late.until);
        live.filter_map(|late| match &late.command {
            OrderCommand::Fetch(model, adapter) => Some((model, adapter)),
            _ => None,
        })
    }

    /// Switches to a new process instance, for which a report is needed before any order; does
    /// nothing if the instance has not changed.
    ///
    /// The new instance may still carry out an order that the former one has not replied to.
    pub fn on_instance(&mut self, instance: u64, now: Duration) {
        if instance == self.instance {
            return;
        }
        if let Some(pending) = self.pending.take_if(|pending| !pending.accepted) {
            self.add_late_order(pending, now);
        }
        let late_orders = std::mem::take(&mut self.late_orders);
        let cached = std::mem::take(&mut self.cached);
        *self = Self { late_orders, cached, ..Self::new(instance, now) };
    }

    /// Begins an order and returns its key, or `None` if no order may be sent now.
    ///
    /// `expected_time` is how long the order is expected to take.
    pub fn begin_order(
        &mut self,
        command: OrderCommand,
        expected_time: Duration,
        now: Duration,
    ) -> Option<OrderKey> {
        let number = self.seq.filter(|_| self.is_idle())?;
        match &command {
            OrderCommand::Unload(model) => {
                self.resident.remove(model);
            }
            OrderCommand::Release(model, adapter) => {
                if let Some(adapters) = self.resident.get_mut(model) {
                    adapters.remove(adapter);
                }
            }
            OrderCommand::Load(_) | OrderCommand::Fetch(..) => {}
        }
        let expected_end = now + expected_time;
        self.pending = Some(PendingOrder { command, number, accepted: false, expected_end });
        Some(OrderKey { instance: self.instance, number })
    }

    /// Applies the reply to an order; returns whether what the endpoint holds or loads may have
    /// changed.
    ///
    /// A reply to an order that is no longer pending changes nothing: a report or a new instance has
    /// decided the order's fate already.
    pub fn on_reply(&mut self, key: OrderKey, reply: OrderReply, now: Duration) -> bool {
        let instance = self.instance;
        let is_pending =
            |pending: &&mut PendingOrder| key == OrderKey { instance, number: pending.number };
        let Some(pending) = self.pending.as_mut().filter(is_pending) else { return false };
        match reply {
            OrderReply::Accepted | OrderReply::Holds => {
                self.changed = now;
                if !std::mem::replace(&mut pending.accepted, true) {
                    self.count_accepted(reply);
                }
                self.apply_reply(reply, now)
            }
            OrderReply::Lost if pending.accepted => false,
            OrderReply::Lost => {
                if let Some(pending) = self.pending.take() {
                    self.add_late_order(pending, now);
                }
                self.report_due = Some(now + MAX_REPORT_AGE);
                true
            }
            OrderReply::Conflict
            | OrderReply::NotSent
            | OrderReply::Refused
            | OrderReply::Elsewhere => {
                self.pending = None;
                self.report_due = Some(now + MAX_REPORT_AGE);
                true
            }
        }
    }

    /// Applies a report of the endpoint; returns whether what it holds has changed.
    pub fn on_report(&mut self, report: EndpointReport, now: Duration) -> bool {
        if report.instance < self.instance {
            // The report of a former instance arrived after the list showed the present one.
            self.report_due = Some(now + MAX_REPORT_AGE);
            return false;
        }
        if report.instance != self.instance {
            self.on_instance(report.instance, now);
        }
        self.down = false;
        if self.seq.is_some_and(|seq| report.seq < seq) {
            // The report is older than the last accepted order.
            self.report_due = Some(now + MAX_REPORT_AGE);
            return false;
        }
        if self.pending.as_ref().is_some_and(|pending| report.seq <= pending.number) {
            // The report does not show the pending order, which may still be on its way.
            self.report_due = None;
            return false;
        }
        self.seq = Some(report.seq);
        self.cached = report.cached;
        if report.busy && self.shows_pending(report.seq) {
            if let Some(pending) = &mut self.pending {
                pending.accepted = true;
            }
            self.report_due = Some(now + REPORT_RETRY_INTERVAL);
            return false;
        }
        // While an order is in progress, it may be any of the late orders.
        let outcome_known = |late: &LateOrder| late.number < report.seq && !report.busy;
        self.late_orders.retain(|late| now < late.until && !outcome_known(late));
        self.foreign_order = report.busy;
        self.report_due = report.busy.then_some(now + REPORT_RETRY_INTERVAL);
        self.pending = None;
        let mut resident = report.resident;
        for (model, adapter) in report.loading {
            resident.entry(model).or_default().insert(adapter);
        }
        let changed = self.resident != resident;
        self.resident = resident;
        changed
    }

    /// Applies the endpoint's entry in the platform's list; returns whether an order has ended or
    /// the endpoint has a new process instance.
    ///
    /// The list shows changes of models at once and never shows adapters. The cached models are
    /// replaced as a whole, since an endpoint drops weights that it has not used for long.
    pub fn on_listed(&mut self, listed: &EndpointReport, now: Duration) -> bool {
        if listed.instance != self.instance {
            self.on_instance(listed.instance, now);
            self.cached = listed.cached.clone();
            return true;
        }
        if self.seq.is_some_and(|seq| listed.seq < seq) {
            // The entry is older than the last accepted order.
            return false;
        }
        self.cached = listed.cached.clone();
        let models = &listed.resident;
        let Some(pending) = &self.pending else { return false };
        let ended = match &pending.command {
            OrderCommand::Load(model) => pending.accepted && models.contains_key(model),
            OrderCommand::Unload(model) => pending.accepted && !models.contains_key(model),
            OrderCommand::Fetch(..) | OrderCommand::Release(..) => false,
        };
        if ended {
            self.changed = now;
            self.complete_order();
        }
        ended
    }

    /// Requests a report if an accepted order is overdue.
    pub fn check_overdue(&mut self, now: Duration) {
        if let Some(pending) = &self.pending
            && pending.accepted
            && self.report_due.is_none()
            && now >= pending.expected_end + OVERDUE_DELAY
        {
            self.report_due = Some(now);
        }
    }

    /// Records that a report was requested; the next request is due later.
    pub fn on_report_requested(&mut self, now: Duration) {
        self.report_due = Some(now + REPORT_RETRY_INTERVAL);
    }

    /// Records that no report came. Until a report comes, the endpoint counts as down, and what it
    /// holds cannot be relied on.
    pub fn on_no_report(&mut self, now: Duration) {
        self.down = true;
        self.report_due = Some(now + REPORT_RETRY_INTERVAL);
    }

    /// Requests a report, since a VM could not reach the endpoint.
    pub fn on_unreachable(&mut self, now: Duration) {
        if !self.down && self.report_due.is_none() {
            self.report_due = Some(now);
        }
    }

    /// Returns whether the endpoint did not reply to the last request for a report.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Keeps charging an order that the endpoint may still carry out.
    fn add_late_order(&mut self, pending: PendingOrder, now: Duration) {
        let PendingOrder { command, number, .. } = pending;
        self.late_orders.push(LateOrder { command, number, until: now + LATE_ORDER_TIMEOUT });
    }

    /// Returns whether the pending order is the last one that an endpoint with `seq` accepted
    /// orders has accepted.
    fn shows_pending(&self, seq: u64) -> bool {
        let Some(pending) = &self.pending else { return false };
        // An unanswered order with the same number may have been accepted in its place.
        let rival = |late: &LateOrder| late.number == pending.number;
        Some(seq) == pending.number.checked_add(1)
            && (pending.accepted || !self.late_orders.iter().any(rival))
    }

    /// Counts an order that the endpoint has accepted, and drops late orders whose number can no
    /// longer be accepted. An endpoint also counts a release of an adapter that it does not hold.
    fn count_accepted(&mut self, reply: OrderReply) {
        let accepted = match (&self.pending, reply) {
            (_, OrderReply::Accepted) => true,
            (Some(pending), OrderReply::Holds) => {
                matches!(pending.command, OrderCommand::Release(..))
            }
            _ => false,
        };
        if accepted && let Some(seq) = &mut self.seq {
            *seq += 1;
        }
        let seq = self.seq.unwrap_or_default();
        self.late_orders.retain(|late| late.number >= seq);
    }

    /// Updates the pending order after an [`OrderReply::Accepted`] or [`OrderReply::Holds`].
    fn apply_reply(&mut self, reply: OrderReply, now: Duration) -> bool {
        let Some(pending) = &self.pending else { return false };
        match (&pending.command, reply) {
            // A release that is accepted, not carried out at once, waits for the adapter's requests.
            (
                OrderCommand::Load(_) | OrderCommand::Unload(_) | OrderCommand::Release(..),
                OrderReply::Accepted,
            ) => true,
            (OrderCommand::Load(_), OrderReply::Holds) => {
                // The endpoint holds a model that its last report did not show, so a new report is
                // needed.
                self.pending = None;
                self.report_due = Some(now);
                true
            }
            _ => {
                self.complete_order();
                true
            }
        }
    }

    /// Ends the pending order as carried out.
    fn complete_order(&mut self) {
        match self.pending.take().map(|pending| pending.command) {
            Some(OrderCommand::Load(model)) => {
                self.resident.entry(model).or_default();
            }
            Some(OrderCommand::Fetch(model, adapter)) => {
                self.resident.entry(model).or_default().insert(adapter);
            }
            Some(OrderCommand::Unload(_) | OrderCommand::Release(..)) | None => {}
        }
        self.report_due = None;
    }
}
