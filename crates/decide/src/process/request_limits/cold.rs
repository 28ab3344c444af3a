//! Which endpoints are cold, by the platform's list, and how many requests they take meanwhile.
//!
//! Unlike a limit that an answer names, this one is told by the list to every VM that knows the endpoint, and
//! it ends by itself. A VM that hears of it late counts the time left from then on, so it keeps to the limit
//! longer than it has to.

use std::time::Duration;

use super::log::Rate;
use crate::ids::ServiceId;
use crate::map::FastMap;
use crate::request::availability::EndpointInstance;

/// How many requests a cold endpoint may get in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// How many times its rate.
    pub excess: f64,
    /// How many beyond that.
    pub slack: f64,
}

impl Default for ColdBound {
    /// The bound of deployments that do not set one.
    fn default() -> Self {
        Self { excess: 1.5, slack: 5.0 }
    }
}

/// A change at a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    /// It is cold now and was not, or had less time left.
    Began,
    /// It is no longer cold.
    Ended,
}

/// What this VM sent to an endpoint while it was cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdEnd {
    /// The instance.
    pub instance: EndpointInstance,
    /// The requests.
    pub sent: u32,
}

#[derive(Debug, Clone)]
struct Span {
    service: ServiceId,
    until: Duration,
    /// The requests that this VM has sent by permits.
    sent: u32,
}

/// The cold endpoints.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdLog {
    spans: FastMap<EndpointInstance, Span>,
    /// The requests a second that a cold endpoint of a service takes.
    rates: FastMap<ServiceId, Rate>,
    bound: ColdBound,
    /// The spans that have ended since they were last taken.
    ended: Vec<ColdEnd>,
}

impl ColdLog {
    pub(super) fn set_bound(&mut self, bound: ColdBound) {
        self.bound = bound;
    }

    pub(super) fn bound(&self) -> ColdBound {
        self.bound
    }

    pub(super) fn set_rates(&mut self, rates: FastMap<ServiceId, Rate>) {
        self.rates = rates;
    }

    /// Applies the newest entry of an instance.
    pub(super) fn on_listed(
        &mut self,
        instance: &EndpointInstance,
        service: &ServiceId,
        left: Duration,
        now: Duration,
    ) -> Option<ColdChange> {
        if left.is_zero() {
            let Span { until, sent, .. } = self.spans.remove(instance)?;
            self.ended.push(ColdEnd { instance: instance.clone(), sent });
            return (now < until).then_some(ColdChange::Ended);
        }
        let until = now.saturating_add(left);
        let Some(span) = self.spans.get_mut(instance) else {
            let span = Span { service: service.clone(), until, sent: 0 };
            self.spans.insert(instance.clone(), span);
            return Some(ColdChange::Began);
        };
        let former = std::mem::replace(&mut span.until, until);
        (former < until).then_some(ColdChange::Began)
    }

    /// Counts a request that was sent to an instance.
    pub(super) fn on_sent(&mut self, instance: &EndpointInstance) {
        if let Some(span) = self.spans.get_mut(instance) {
            span.sent += 1;
        }
    }

    /// Takes the spans that have ended.
    pub(super) fn take_ended(&mut self) -> Vec<ColdEnd> {
        std::mem::take(&mut self.ended)
    }

    pub(super) fn rate(&self, instance: &EndpointInstance) -> Option<Rate> {
        self.rates.get(&self.spans.get(instance)?.service).copied()
    }

    pub(super) fn limited(&self) -> impl Iterator<Item = (&EndpointInstance, Rate)> {
        let spans = self.spans.iter();
        spans.filter_map(|(instance, span)| Some((instance, *self.rates.get(&span.service)?)))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Forgets the spans that are over.
    pub(super) fn expire(&mut self, now: Duration) {
        let ended = &mut self.ended;
        self.spans.retain(|instance, span| {
            let is_over = now >= span.until;
            if is_over {
                ended.push(ColdEnd { instance: instance.clone(), sent: span.sent });
            }
            !is_over
        });
    }

    /// Forgets the spans of instances that are gone.
    pub(super) fn prune(&mut self, is_listed: impl Fn(&EndpointInstance) -> bool) {
        self.spans.retain(|instance, _| is_listed(instance));
    }
}

/// Returns how many permits for a cold endpoint may be open at once, with `burst` more that may be issued
/// when some are used: all of them may be used within one second, beside those that fall due in it.
pub(super) fn max_open(rate: Rate, burst: f64, bound: ColdBound) -> u32 {
    (rate * (bound.excess - 1.0) + bound.slack - burst).max(1.0) as u32
}
