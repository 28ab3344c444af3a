//! The limits of requests that endpoints name: what this VM reports and is told of them, and the permits
//! for requests to such endpoints.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    Availability, ColdBound, ColdEnd, EndpointId, EndpointInstance, FleetConfig, IssuedPermits,
    LimitChange, LimitNumber, LimitStatement, NamedLimit, PermitRole, RaiseEvidence, Rate,
    Requirements, VmId, Want,
};
use log::info;

use super::{EndpointSlot, Scheduler};
use crate::edge::clock::boot_now;
use crate::process::asks::PermitNeeds;
use crate::wire::{EndpointLimit, LimitRaise, PermitWant, Permits, Status};

/// The most limits that a refusal names.
const MAX_NAMED_LIMITS: usize = 3;

/// The limit that an endpoint names, as it concerns the leader's orders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct OrderLimit {
    /// The requests per second that the endpoint names; a cold endpoint that names none takes all it can
    /// hold soon.
    pub(crate) named: Option<Rate>,
    /// Whether one more order may be sent now.
    pub(crate) has_room: bool,
}

impl Scheduler {
    /// Returns the limit of an instance in force for the leader's orders to it.
    pub(crate) fn order_limit(&self, name: &EndpointId, instance: u64) -> Option<OrderLimit> {
        let mut state = self.state();
        state.dispatcher.limit(name, instance)?;
        let key = (name.clone(), instance);
        let limits = state.dispatcher.limits();
        let named = limits.named_rate(&key);
        let has_room = limits.has_room_ahead(&key, boot_now());
        Some(OrderLimit { named, has_room })
    }

    /// Records what the head of an instance's answer says about the requests that it takes.
    ///
    /// `sent` is when the request was sent, `None` if the answer belongs to another one.
    pub(super) fn on_named_limit(
        self: &Arc<Self>,
        name: &EndpointId,
        instance: u64,
        named: Option<NamedLimit>,
        sent: Option<Duration>,
        cause: &str,
    ) {
        let mut state = self.state();
        let dispatcher = &mut state.dispatcher;
        let change = dispatcher.on_named_limit(name, instance, named, sent, boot_now());
        if dispatcher.limit(name, instance).is_some() {
            self.metrics.limited_answers.add(1, &[]);
        }
        drop(state);
        if let Some(change) = change {
            self.on_limit_change(&(name.clone(), instance), change, cause);
        }
    }

    /// Logs a change of a limit and lets the next report tell it soon.
    fn on_limit_change(
        self: &Arc<Self>,
        (name, instance): &EndpointInstance,
        LimitChange { former, rate }: LimitChange,
        from: &str,
    ) {
        info!(endpoint = name.as_str(), born = instance, from, former, rate;
            "the limit of requests that an endpoint names has changed");
        self.shortage.notify_one();
        // An ended limit makes room.
        self.dispatch_waiting();
    }

    /// Returns whether a request may be written to the endpoint of its slot now.
    pub(super) fn may_write(&self, slot: &EndpointSlot) -> bool {
        let mut permit = slot.permit();
        let mut state = self.state();
        state.dispatcher.may_write(&slot.name, slot.instance, &mut permit, boot_now())
    }

    /// Records that a request was written to the endpoint of its slot.
    pub(super) fn on_written(&self, slot: &EndpointSlot) {
        if slot.permit().take().is_some() {
            let instance = (slot.name.clone(), slot.instance);
            self.state().dispatcher.limits().on_used(&instance);
            self.metrics.count_permits("used", 1);
        }
    }

    /// Returns whether the leader may write an order or a request for a report to an instance now. These
    /// count against the limit like requests, and go before them.
    pub(crate) fn may_write_own(&self, name: &EndpointId, instance: u64) -> bool {
        let now = boot_now();
        let mut state = self.state();
        state.dispatcher.availability(name, instance, now) == Availability::Open
            && state.dispatcher.limits().take_ahead(&(name.clone(), instance), now)
    }

    /// Describes the limits of the endpoints that could run a request, for a refusal.
    pub(crate) fn describe_limits(&self, needs: &Requirements) -> String {
        let limited = self.state().dispatcher.limited_for(needs, boot_now());
        let names = limited.iter().take(MAX_NAMED_LIMITS);
        let names: Vec<String> =
            names.map(|(name, rate)| format!("{name} {rate} a second")).collect();
        names.join(", ")
    }

    /// Sets how many requests cold endpoints may get in a second, at all rates.
    pub(crate) fn set_cold_bound(&self, bound: ColdBound) {
        self.state().dispatcher.limits().set_cold_bound(bound);
    }

    /// Sets how many requests a second cold endpoints take.
    pub(crate) fn apply_config(&self, fleet: &FleetConfig) {
        let rates = fleet.services.iter();
        let rates = rates.filter_map(|(name, service)| Some((name.clone(), service.cold_rate?)));
        self.state().dispatcher.limits().set_cold_rates(rates.collect());
    }

    /// Sets what this VM is for the permits of others.
    pub(crate) fn set_permit_role(&self, role: PermitRole) {
        let now = boot_now();
        let mut state = self.state();
        let limits = state.dispatcher.limits();
        let was_alone = limits.is_alone();
        limits.set_role(role, now);
        limits.refresh(now);
        let (is_alone, limited) = (limits.is_alone(), limits.limited().count());
        drop(state);
        if was_alone != is_alone && limited > 0 {
            info!(alone = is_alone, role:?, limited;
                "whether this VM issues its own part of endpoints' limits has changed");
        }
    }

    /// Returns whether some endpoint has a limit in force.
    pub(crate) fn has_limits(&self) -> bool {
        self.state().dispatcher.limited() > 0
    }

    /// Returns the number of the last change of a limit.
    pub(crate) fn last_limit(&self) -> LimitNumber {
        self.state().dispatcher.limits().last()
    }

    /// Returns the limits that have changed after a number.
    pub(crate) fn limits_after(&self, number: LimitNumber) -> Vec<EndpointLimit> {
        limit_messages(&self.state().dispatcher.limits().after(number), boot_now())
    }

    /// Adds to a report what has changed in limits after the number `told`, and which permits are wanted;
    /// returns the new number.
    pub(crate) fn report_limits(&self, status: &mut Status, told: LimitNumber) -> LimitNumber {
        let now = boot_now();
        let mut state = self.state();
        let waiting = state.dispatcher.waiting_for_permits(now);
        let limits = state.dispatcher.limits();
        let report = limits.report(told, &waiting, now);
        let last = limits.last();
        drop(state);
        status.limits = limit_messages(&report.limits, now);
        status.raises = report.raises.iter().map(|raise| raise_message(raise, now)).collect();
        status.wants = report.wants.iter().map(want_message).collect();
        last
    }

    /// Applies the limits and the answers that another VM reports or tells.
    pub(crate) fn on_limits(
        self: &Arc<Self>,
        limits: &[EndpointLimit],
        raises: &[LimitRaise],
        from: &str,
    ) {
        if limits.is_empty() && raises.is_empty() {
            return;
        }
        let now = boot_now();
        let limits: Vec<_> = limits.iter().map(|limit| read_limit(limit, now)).collect();
        let raises: Vec<_> = raises.iter().map(|raise| read_raise(raise, now)).collect();
        let changes = self.state().dispatcher.limits().on_limits(&limits, &raises, now);
        for (instance, change) in changes {
            self.on_limit_change(&instance, change, from);
        }
    }

    /// Issues permits to a relay by its report, as the leader.
    pub(crate) fn issue_permits(&self, status: &Status) -> Vec<Permits> {
        let mut state = self.state();
        let limits = state.dispatcher.limits();
        let issued = limits.issue(&VmId::new(&status.vm), &read_wants(status), boot_now());
        drop(state);
        self.metrics.count_permits("issued", issued.iter().map(|permits| permits.count).sum());
        issued.iter().map(permits_message).collect()
    }

    /// Records the permits that a member wants, and passes on those for its requests that wait.
    pub(crate) fn on_member_wants(&self, status: &Status) -> Vec<Permits> {
        let mut state = self.state();
        let limits = state.dispatcher.limits();
        let wants = read_wants(status);
        let passed = limits.on_member(&VmId::new(&status.vm), &wants, boot_now());
        if wants.iter().any(|(_, want)| want.waiting > 0) {
            self.shortage.notify_one();
        }
        passed.iter().map(permits_message).collect()
    }

    /// Passes on permits to the requests of a member that wait.
    pub(crate) fn pass_on_permits(&self, member: &VmId) -> Vec<Permits> {
        let mut state = self.state();
        let passed = state.dispatcher.limits().pass_on(member, boot_now());
        passed.iter().map(permits_message).collect()
    }

    /// Passes on a permit for a member's request that an endpoint with a limit could take.
    pub(crate) fn pass_on_permit(&self, (service, target): PermitNeeds) -> Option<Permits> {
        let mut state = self.state();
        let passed = state.dispatcher.pass_on_permit(&service, target, boot_now());
        passed.as_ref().map(permits_message)
    }

    /// Records that a request which comes through this relay looks for a permit; returns whether the relay
    /// asks the leader for one.
    pub(crate) fn seek_permit(&self, (service, target): &PermitNeeds) -> bool {
        self.state().dispatcher.seek_permit(service, target.clone(), boot_now())
    }

    /// Issues a permit to a relay that asks for one, as the leader.
    pub(crate) fn issue_permit(
        &self,
        vm: &VmId,
        (service, target): PermitNeeds,
    ) -> Option<Permits> {
        let issued = self.state().dispatcher.issue_permit(vm, &service, target, boot_now());
        self.metrics.count_permits("issued", issued.iter().map(|permits| permits.count).sum());
        issued.as_ref().map(permits_message)
    }

    /// Adds permits that this VM asked for at the time `asked`; returns whether there are any.
    pub(crate) fn on_permits(self: &Arc<Self>, permits: &[Permits], asked: Duration) -> bool {
        if permits.is_empty() {
            return false;
        }
        let permits: Vec<_> = permits.iter().map(read_permits).collect();
        let has_permits = self.state().dispatcher.limits().on_permits(&permits, asked, boot_now());
        if has_permits {
            self.dispatch_waiting();
        }
        has_permits
    }

    /// Records that the leader has replied to a report that this VM made at the time `sent`.
    pub(crate) fn on_leader_reply(&self, sent: Duration) {
        self.state().dispatcher.limits().on_leader(sent);
    }

    /// Gives up this VM's permits, as it reports to another VM from now on.
    pub(crate) fn on_new_upper(&self) {
        self.state().dispatcher.limits().on_new_upper();
    }

    /// Forgets what is no longer needed of limits.
    pub(crate) fn prune_limits(&self) {
        let mut state = self.state();
        state.dispatcher.prune_limits(boot_now());
        let ended = state.dispatcher.limits().take_cold_ends();
        drop(state);
        for ColdEnd { instance: (name, born), sent } in ended {
            info!(endpoint = name.as_str(), born, sent; "an endpoint is no longer cold");
        }
    }
}

/// Returns how long ago a time was, in milliseconds.
fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

/// Returns the time that was some milliseconds ago.
fn time_of(age: u64, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age))
}

fn limit_messages(
    limits: &[(EndpointInstance, LimitStatement)],
    now: Duration,
) -> Vec<EndpointLimit> {
    let message = |((name, born), limit): &(EndpointInstance, LimitStatement)| EndpointLimit {
        endpoint: name.to_string(),
        born: *born,
        rate: limit.rate.unwrap_or_default(),
        ended: limit.rate.is_none(),
        sent_age: age(limit.sent, now),
        seen_age: age(limit.seen, now),
    };
    limits.iter().map(message).collect()
}

fn read_limit(message: &EndpointLimit, now: Duration) -> (EndpointInstance, LimitStatement) {
    let instance = (EndpointId::new(&message.endpoint), message.born);
    let statement = LimitStatement {
        rate: (!message.ended).then_some(message.rate),
        sent: time_of(message.sent_age, now),
        seen: time_of(message.seen_age, now),
    };
    (instance, statement)
}

fn raise_message(
    ((name, born), raise): &(EndpointInstance, RaiseEvidence),
    now: Duration,
) -> LimitRaise {
    LimitRaise {
        endpoint: name.to_string(),
        born: *born,
        rate: raise.rate.unwrap_or_default(),
        ended: raise.rate.is_none(),
        sent_age: age(raise.sent, now),
        answers: raise.answers,
    }
}

fn read_raise(message: &LimitRaise, now: Duration) -> (EndpointInstance, RaiseEvidence) {
    let raise = RaiseEvidence {
        rate: (!message.ended).then_some(message.rate),
        sent: time_of(message.sent_age, now),
        answers: message.answers,
    };
    ((EndpointId::new(&message.endpoint), message.born), raise)
}

fn want_message(((name, born), want): &(EndpointInstance, Want)) -> PermitWant {
    let Want { waiting, passed, used, returned } = *want;
    PermitWant { endpoint: name.to_string(), born: *born, waiting, passed, used, returned }
}

fn read_wants(status: &Status) -> Vec<(EndpointInstance, Want)> {
    let wants = status.wants.iter().map(|message| {
        let &PermitWant { waiting, passed, used, returned, .. } = message;
        let want = Want { waiting, passed, used, returned };
        ((EndpointId::new(&message.endpoint), message.born), want)
    });
    wants.collect()
}

fn permits_message(permits: &IssuedPermits) -> Permits {
    let (name, born) = &permits.instance;
    Permits {
        endpoint: name.to_string(),
        born: *born,
        count: permits.count,
        term: permits.term.as_millis() as u32,
        backlog: permits.backlog,
    }
}

fn read_permits(message: &Permits) -> IssuedPermits {
    IssuedPermits {
        instance: (EndpointId::new(&message.endpoint), message.born),
        count: message.count,
        term: Duration::from_millis(u64::from(message.term)),
        backlog: message.backlog,
    }
}
