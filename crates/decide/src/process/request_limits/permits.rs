//! Keeps the requests that reach an endpoint within the limit that it names for all VMs together.
//!
//! A request to such an endpoint needs a permit. The leader issues permits at the rate of the limit, to
//! the relays whose callers want them; relays pass them on to the requests of their members. A permit
//! lapses soon, and one that was not used goes back with the next report. A relay to which few requests
//! for an endpoint come asks for a permit when one comes, as one issued ahead would lapse. A relay that
//! does not hear of the leader issues its own part, which the leader then leaves out.

use std::time::Duration;

use super::account::{Account, Bucket, MAX_WANTED, Permit, RelayPart, Want, issue_rate, recent};
use super::cold::{ColdBound, ColdChange, ColdEnd, ColdLog};
use super::log::{
    LimitChange, LimitLog, LimitNumber, LimitStatement, NamedLimit, RaiseEvidence, Rate,
};
use crate::ids::{ServiceId, VmId};
use crate::map::FastMap;
use crate::request::availability::EndpointInstance;

/// How long a permit of the leader is valid.
const PERMIT_TERM: Duration = Duration::from_secs(5);
/// The asks a second of one relay for single permits: at all relays together, the leader answers them in a
/// small part of its time.
const MAX_ASK_RATE: f64 = 20.0;
/// The part of a limit that the leader's orders and requests for reports may take.
const OWN_PART: f64 = 0.25;
/// How long after its last report a relay's part is issued by the leader.
const PRESENT_TERM: Duration = Duration::from_secs(1);
/// How long after its last report that was replied to a relay issues its part itself. The difference
/// from [`PRESENT_TERM`] covers the way of the report.
const ALONE_DELAY: Duration = Duration::from_millis(1_500);

/// What a VM is for the permits of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PermitRole {
    /// The leader of a number of relays, which issues permits to them.
    Leader(u32),
    /// A relay, which gets its permits from the leader and passes them on. If it hears of no leader, it
    /// issues its own part.
    Relay(RelayPart),
    /// A VM that gets its permits from a relay.
    #[default]
    Member,
}

/// What a VM reports on limits.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LimitReport {
    /// The limits in force that the receiver may not know.
    pub limits: Vec<(EndpointInstance, LimitStatement)>,
    /// Answers that name higher limits, or none.
    pub raises: Vec<(EndpointInstance, RaiseEvidence)>,
    /// The permits that are wanted or were not used.
    pub wants: Vec<(EndpointInstance, Want)>,
}

/// Permits for a VM.
#[derive(Debug, Clone, PartialEq)]
pub struct IssuedPermits {
    /// The instance that requests may be sent to.
    pub instance: EndpointInstance,
    /// The number of requests.
    pub count: u32,
    /// How long the permits are valid, from when the VM asked for them.
    pub term: Duration,
    /// The number of requests in the fleet that wait for a permit.
    pub backlog: u32,
}

/// The limits that endpoints name, and this VM's permits.
#[derive(Debug, Clone, Default)]
pub struct RequestLimits {
    log: LimitLog,
    cold: ColdLog,
    accounts: FastMap<EndpointInstance, Account>,
    role: PermitRole,
    /// When the last report was made that the leader has replied to.
    heard: Duration,
    /// Whether this VM is a relay that hears of no leader.
    is_alone: bool,
    /// What bounds the asks for single permits.
    asks: Option<Bucket>,
    /// When each relay last reported to this leader.
    present: FastMap<VmId, Duration>,
}

impl RequestLimits {
    /// Sets what this VM is.
    pub fn set_role(&mut self, role: PermitRole, now: Duration) {
        if std::mem::discriminant(&self.role) != std::mem::discriminant(&role) {
            self.heard = now;
            self.present.clear();
            self.clear_buckets();
        }
        self.role = role;
    }

    /// Gives up the permits that this VM holds, as it reports to another VM from now on: that one does not
    /// know of them.
    pub fn on_new_upper(&mut self) {
        for account in self.accounts.values_mut() {
            account.returned += account.free.len() as u32;
            account.free.clear();
        }
    }

    /// Records that the leader has replied to a report that this relay made at the time `sent`.
    pub fn on_leader(&mut self, sent: Duration) {
        self.heard = self.heard.max(sent);
    }

    /// Returns whether this VM decides when answers raise a limit.
    fn decides(&self) -> bool {
        self.is_alone || matches!(self.role, PermitRole::Leader(_))
    }

    /// Forgets what may be issued, as another VM has issued permits until now.
    fn clear_buckets(&mut self) {
        for account in self.accounts.values_mut() {
            account.bucket = None;
        }
    }

    /// Issues the permits that are due to a VM without a leader; returns whether any permit is at
    /// hand.
    pub fn refresh(&mut self, now: Duration) -> bool {
        let is_alone = match self.role {
            PermitRole::Relay(_) => now >= self.heard + ALONE_DELAY,
            PermitRole::Leader(_) | PermitRole::Member => false,
        };
        if is_alone != self.is_alone {
            self.is_alone = is_alone;
            self.clear_buckets();
        }
        self.cold.expire(now);
        let mut has_permits = false;
        for (instance, rate) in limited(&self.log, &self.cold) {
            let account = self.accounts.entry(instance.clone()).or_default();
            account.cold = self.cold.rate(instance).map(|_| self.cold.bound());
            if let PermitRole::Relay(part) = self.role
                && is_alone
            {
                account.issue_alone(issue_rate(rate), part, now);
            }
            has_permits |= account.free.iter().any(|permit| permit.is_valid(now));
        }
        has_permits
    }

    /// Returns whether this VM is a relay that hears of no leader and issues its own part.
    pub fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Returns whether no instance is known to have or have had a limit.
    pub fn is_empty(&self) -> bool {
        self.log.is_empty() && self.cold.is_empty()
    }

    /// Returns the limit in force for an instance.
    pub fn rate(&self, instance: &EndpointInstance) -> Option<Rate> {
        rate(&self.log, &self.cold, instance)
    }

    /// Returns the limit in force that an instance names.
    pub fn named_rate(&self, instance: &EndpointInstance) -> Option<Rate> {
        self.log.rate(instance)
    }

    /// Returns the cold instances, and how many requests a second they take.
    pub fn cold(&self) -> impl Iterator<Item = (&EndpointInstance, Rate)> {
        self.cold.limited()
    }

    /// Sets how many requests a cold endpoint may get in a second.
    pub fn set_cold_bound(&mut self, bound: ColdBound) {
        self.cold.set_bound(bound);
    }

    /// Takes the cold spans that have ended, with what this VM sent in them.
    pub fn take_cold_ends(&mut self) -> Vec<ColdEnd> {
        self.cold.take_ended()
    }

    /// Sets how many requests a second a cold endpoint of each service takes; services that are never cold
    /// are left out.
    pub fn set_cold_rates(&mut self, rates: FastMap<ServiceId, Rate>) {
        self.cold.set_rates(rates);
    }

    /// Applies how long an instance is still cold by its newest entry in the platform's list; returns the
    /// change.
    ///
    /// ```
    /// use bamboocourse_decide::{ColdChange, RequestLimits};
    /// use std::time::Duration;
    /// let (e1, now) = (("e1".into(), 7), Duration::from_secs(5));
    /// let mut limits = RequestLimits::default();
    /// limits.set_cold_rates([("chat".into(), 11.0)].into_iter().collect());
    /// let change = limits.on_cold(&e1, &"chat".into(), Duration::from_secs(3), now);
    /// assert_eq!(change, Some(ColdChange::Began));
    /// assert!(!limits.is_open(&e1, now));
    /// limits.refresh(now + Duration::from_secs(3));
    /// assert!(limits.is_open(&e1, now + Duration::from_secs(3)));
    /// ```
    pub fn on_cold(
        &mut self,
        instance: &EndpointInstance,
        service: &ServiceId,
        left: Duration,
        now: Duration,
    ) -> Option<ColdChange> {
        let was_limited = self.rate(instance).is_some();
        let change = self.cold.on_listed(instance, service, left, now);
        if self.cold.rate(instance).is_some() {
            let account = self.accounts.entry(instance.clone()).or_default();
            account.cold = Some(self.cold.bound());
            if matches!(self.role, PermitRole::Leader(_)) && !was_limited {
                account.begin(now);
            }
        }
        change
    }

    /// Returns the instances with a limit in force, and the limits.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointInstance, Rate)> {
        limited(&self.log, &self.cold)
    }

    /// Records that a request was sent by a permit.
    pub fn on_used(&mut self, instance: &EndpointInstance) {
        self.accounts.entry(instance.clone()).or_default().used += 1;
        self.cold.on_sent(instance);
    }

    /// Records an answer, as [`LimitLog::on_answer`] does.
    pub fn on_answer(
        &mut self,
        instance: &EndpointInstance,
        named: Option<NamedLimit>,
        sent: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let decides = self.decides();
        self.log.on_answer(instance, named, sent, now, decides)
    }

    /// Returns whether a request may be sent to an instance now: it has no limit, or a permit is at
    /// hand.
    ///
    /// ```
    /// use bamboocourse_decide::{NamedLimit, RequestLimits};
    /// use std::time::Duration;
    /// let (e1, now) = (("e1".into(), 7), Duration::from_secs(5));
    /// let mut limits = RequestLimits::default();
    /// assert!(limits.is_open(&e1, now));
    /// limits.on_answer(&e1, Some(NamedLimit::PerSecond(2.0)), now, now);
    /// assert!(!limits.is_open(&e1, now));
    /// ```
    pub fn is_open(&self, instance: &EndpointInstance, now: Duration) -> bool {
        if self.rate(instance).is_none() {
            return true;
        }
        let account = self.accounts.get(instance);
        account.is_some_and(|account| account.free.iter().any(|permit| permit.is_valid(now)))
    }

    /// Takes a permit for one request; `None` without one, or if the instance has no limit.
    pub fn take(&mut self, instance: &EndpointInstance, now: Duration) -> Option<Permit> {
        self.draw(instance, 1, now).pop()
    }

    /// Gives back a permit that was not used.
    pub fn put_back(&mut self, instance: &EndpointInstance, permit: Permit, now: Duration) {
        let account = self.accounts.entry(instance.clone()).or_default();
        account.free.push(permit);
        account.expire(now);
    }

    /// Returns whether the leader itself may send something to an instance now, ahead of requests: orders
    /// and requests for reports have a part of the limit.
    pub fn has_room_ahead(&mut self, instance: &EndpointInstance, now: Duration) -> bool {
        let Some(rate) = self.rate(instance) else { return true };
        let PermitRole::Leader(_) = self.role else { return false };
        let account = self.accounts.entry(instance.clone()).or_default();
        account.own_bucket(now).has_one(issue_rate(rate) * OWN_PART, now)
    }

    /// Takes a permit for what the leader itself sends to an instance, ahead of requests; returns
    /// whether there is one, or none is needed.
    pub fn take_ahead(&mut self, instance: &EndpointInstance, now: Duration) -> bool {
        let is_allowed = self.has_room_ahead(instance, now);
        if is_allowed
            && let Some(rate) = self.rate(instance)
            && let Some(account) = self.accounts.get_mut(instance)
        {
            account.own_bucket(now).tokens -= 1.0;
            // The next requests get less.
            account.bucket(issue_rate(rate), now).tokens -= 1.0;
        }
        is_allowed
    }

    /// Counts a request that was sent elsewhere or refused as an instance's permits are used up.
    pub fn on_passed(&mut self, instance: &EndpointInstance) {
        let account = self.accounts.entry(instance.clone()).or_default();
        account.passed = (account.passed + 1).min(MAX_WANTED);
    }

    /// Returns how long the next request waits for a permit of one of some limited instances, with
    /// `ahead` requests of this VM before it.
    pub fn waiting_time<'a>(
        &self,
        instances: impl Iterator<Item = &'a EndpointInstance>,
        ahead: u32,
        now: Duration,
    ) -> Duration {
        let (mut rate, mut waiting) = (0.0, ahead);
        for instance in instances {
            rate += issue_rate(self.rate(instance).unwrap_or_default());
            let account = self.accounts.get(instance);
            waiting = waiting.max(account.map_or(0, |account| account.backlog(now)));
        }
        Duration::from_secs_f64((f64::from(waiting) + 1.0) / issue_rate(rate))
    }

    /// Returns this VM's report, with what has changed after the number `told`.
    ///
    /// `waiting` holds this VM's own requests that wait for permits.
    pub fn report(
        &mut self,
        told: LimitNumber,
        waiting: &FastMap<EndpointInstance, u32>,
        now: Duration,
    ) -> LimitReport {
        let raises = if self.decides() { Vec::new() } else { self.log.take_raises() };
        for instance in waiting.keys() {
            self.accounts.entry(instance.clone()).or_default();
        }
        let mut wants = Vec::new();
        let (log, cold) = (&self.log, &self.cold);
        let asks_leader = !self.is_alone && self.role != PermitRole::Member;
        self.accounts.retain(|instance, account| {
            account.expire(now);
            if asks_leader && account.is_thin(PERMIT_TERM, now) {
                // The next request asks for its permit.
                account.passed = 0;
                account.give_back(PERMIT_TERM, now);
            }
            let own = waiting.get(instance).copied().unwrap_or_default();
            let want = Want {
                waiting: (own + recent(&mut account.members, now))
                    .saturating_sub(account.free.len() as u32)
                    .min(MAX_WANTED),
                passed: std::mem::take(&mut account.passed),
                used: std::mem::take(&mut account.used),
                returned: std::mem::take(&mut account.returned),
            };
            if want != Want::default() {
                wants.push((instance.clone(), want));
            }
            rate(log, cold, instance).is_some()
        });
        LimitReport { limits: self.log.after(told), raises, wants }
    }

    /// Applies what another VM reports of limits; returns what has changed by it.
    pub fn on_limits(
        &mut self,
        limits: &[(EndpointInstance, LimitStatement)],
        raises: &[(EndpointInstance, RaiseEvidence)],
        now: Duration,
    ) -> Vec<(EndpointInstance, LimitChange)> {
        let decides = self.decides();
        let mut changes = Vec::new();
        for (instance, statement) in limits {
            changes.extend(self.log.on_told(instance, *statement).map(|c| (instance.clone(), c)));
        }
        for (instance, raise) in raises {
            let change = self.log.on_raise(instance, *raise, now, decides);
            changes.extend(change.map(|change| (instance.clone(), change)));
        }
        changes
    }

    /// Issues permits to a relay by its report, as the leader.
    pub fn issue(
        &mut self,
        vm: &VmId,
        wants: &[(EndpointInstance, Want)],
        now: Duration,
    ) -> Vec<IssuedPermits> {
        let PermitRole::Leader(relays) = self.role else { return Vec::new() };
        self.present.insert(vm.clone(), now);
        let part = self.present_part(relays, now);
        let present = self.present.len().max(1) as f64;
        let wants: FastMap<&EndpointInstance, Want> =
            wants.iter().map(|(instance, want)| (instance, *want)).collect();
        let mut issued = Vec::new();
        let limited: Vec<_> = self.limited().map(|(name, rate)| (name.clone(), rate)).collect();
        for (instance, rate) in limited {
            let rate = issue_rate(rate);
            let want = wants.get(&instance).copied().unwrap_or_default();
            let account = self.accounts.entry(instance.clone()).or_default();
            account.relays.insert(vm.clone(), (want.waiting, now));
            let backlog = recent(&mut account.relays, now);
            let returned = account.settle_relay(vm, &want, now);
            let room = account.fill(rate, part, returned, now);
            let most = (rate / present).ceil() as u32;
            let wanted = account.want(vm, &want, most, now);
            let asked = (want.waiting + wanted).min(room);
            let count = account.bucket(rate, now).take(asked);
            account.on_issued(vm, count, want.waiting, now);
            if count > 0 || want.waiting > 0 {
                let (instance, term) = (instance.clone(), PERMIT_TERM);
                issued.push(IssuedPermits { instance, count, term, backlog });
            }
        }
        issued
    }

    /// Issues a permit to a relay that asks for one for a request that is there, as the leader; `None` while
    /// requests wait for permits, which go first.
    ///
    /// ```
    /// use bamboocourse_decide::{NamedLimit, PermitRole, RequestLimits};
    /// use std::time::Duration;
    /// let (e1, now) = (("e1".into(), 7), Duration::from_secs(5));
    /// let mut leader = RequestLimits::default();
    /// leader.set_role(PermitRole::Leader(1), now);
    /// leader.on_answer(&e1, Some(NamedLimit::PerSecond(2.0)), now, now);
    /// leader.issue(&"vm-1".into(), &[], now);
    /// let later = now + Duration::from_secs(2);
    /// leader.issue(&"vm-1".into(), &[], later);
    /// assert!(leader.issue_one(&"vm-1".into(), &e1, later).is_some());
    /// ```
    pub fn issue_one(
        &mut self,
        vm: &VmId,
        instance: &EndpointInstance,
        now: Duration,
    ) -> Option<IssuedPermits> {
        let PermitRole::Leader(relays) = self.role else { return None };
        let rate = issue_rate(self.rate(instance)?);
        let part = self.present_part(relays, now);
        let account = self.accounts.entry(instance.clone()).or_default();
        let backlog = recent(&mut account.relays, now);
        let room = account.fill(rate, part, 0, now);
        if backlog > 0 || account.bucket(rate, now).take(room.min(1)) == 0 {
            return None;
        }
        account.on_issued(vm, 1, 1, now);
        *account.asked.entry(vm.clone()).or_default() += 1;
        Some(IssuedPermits { instance: instance.clone(), count: 1, term: PERMIT_TERM, backlog })
    }

    /// Takes the right to one ask for a permit; `false` if this relay has asked as often as it may.
    pub fn take_ask(&mut self, now: Duration) -> bool {
        let asks = self.asks.get_or_insert(Bucket { tokens: MAX_ASK_RATE, filled: now });
        asks.fill(MAX_ASK_RATE, 0, MAX_ASK_RATE, now);
        asks.take(1) > 0
    }

    /// Records that a request which comes through this relay looks for a permit; returns whether the relay
    /// asks the leader for one if none is at hand, as [`issue_one`](Self::issue_one) issues them.
    pub fn seek(&mut self, instance: &EndpointInstance, now: Duration) -> bool {
        if self.rate(instance).is_none() || self.role == PermitRole::Member {
            return false;
        }
        let is_thin = self.accounts.entry(instance.clone()).or_default().seek(PERMIT_TERM, now);
        is_thin && !self.is_alone
    }

    /// Records what a VM wants that reports to this relay, and passes on permits to its requests that
    /// wait; returns these.
    pub fn on_member(
        &mut self,
        vm: &VmId,
        wants: &[(EndpointInstance, Want)],
        now: Duration,
    ) -> Vec<IssuedPermits> {
        for (instance, want) in wants {
            let account = self.accounts.entry(instance.clone()).or_default();
            account.members.insert(vm.clone(), (want.waiting, now));
            account.passed = (account.passed + want.passed).min(MAX_WANTED);
            account.settle(want, now);
        }
        self.pass_on(vm, now)
    }

    /// Passes on permits to the requests of a member that wait.
    pub fn pass_on(&mut self, vm: &VmId, now: Duration) -> Vec<IssuedPermits> {
        let mut waiting = Vec::new();
        for (instance, account) in &mut self.accounts {
            recent(&mut account.members, now);
            if let Some((count, _)) = account.members.get(vm).filter(|(count, _)| *count > 0) {
                waiting.push((instance.clone(), *count));
            }
        }
        let mut passed = Vec::new();
        for (instance, count) in waiting {
            let permits = self.draw(&instance, count, now);
            let Some(account) = self.accounts.get_mut(&instance) else { continue };
            if permits.is_empty() {
                continue;
            }
            let (term, count) = (account.lend(&permits, now), permits.len() as u32);
            let backlog = account.backlog(now);
            if let Some((left, _)) = account.members.get_mut(vm) {
                *left = left.saturating_sub(count);
            }
            passed.push(IssuedPermits { instance, count, term, backlog });
        }
        passed
    }

    /// Passes on one permit for a member's request that may use it; returns it.
    pub fn pass_on_one(
        &mut self,
        instance: &EndpointInstance,
        now: Duration,
    ) -> Option<IssuedPermits> {
        let permit = self.take(instance, now)?;
        let account = self.accounts.get_mut(instance)?;
        let (term, backlog) = (account.lend(&[permit], now), account.backlog(now));
        Some(IssuedPermits { instance: instance.clone(), count: 1, term, backlog })
    }

    /// Adds permits that were issued or passed on to this VM, which asked at the time `asked`; returns
    /// whether there are any.
    pub fn on_permits(
        &mut self,
        permits: &[IssuedPermits],
        asked: Duration,
        now: Duration,
    ) -> bool {
        for IssuedPermits { instance, count, term, backlog } in permits {
            let account = self.accounts.entry(instance.clone()).or_default();
            account.backlog = (*backlog, now);
            let permit = Permit { until: asked + *term };
            account.free.extend(std::iter::repeat_n(permit, *count as usize));
            account.expire(now);
        }
        let has_permits = permits.iter().any(|permits| permits.count > 0);
        if has_permits && matches!(self.role, PermitRole::Relay(_)) {
            // Whoever issues permits to this relay counts its part.
            self.heard = self.heard.max(asked);
        }
        has_permits
    }

    /// Returns the number of the last change of a limit.
    pub fn last(&self) -> LimitNumber {
        self.log.last()
    }

    /// Returns the limits that have changed after a number.
    pub fn after(&self, number: LimitNumber) -> Vec<(EndpointInstance, LimitStatement)> {
        self.log.after(number)
    }

    /// Forgets limits that have ended or belong to instances that are gone.
    pub fn prune(&mut self, is_listed: impl Fn(&EndpointInstance) -> bool, now: Duration) {
        self.cold.expire(now);
        self.cold.prune(&is_listed);
        self.log.prune(is_listed, now);
        let (log, cold) = (&self.log, &self.cold);
        self.accounts.retain(|instance, _| rate(log, cold, instance).is_some());
    }

    /// Returns which part of the limits the leader issues: that of the relays that report to it.
    fn present_part(&mut self, relays: u32, now: Duration) -> f64 {
        self.present.retain(|_, at| now < *at + PRESENT_TERM);
        (self.present.len() as f64 / f64::from(relays.max(1))).min(1.0)
    }

    /// Takes up to `count` permits that this VM holds.
    fn draw(&mut self, instance: &EndpointInstance, count: u32, now: Duration) -> Vec<Permit> {
        if self.rate(instance).is_none() {
            return Vec::new();
        }
        let Some(account) = self.accounts.get_mut(instance) else { return Vec::new() };
        account.expire(now);
        let kept = account.free.len().saturating_sub(count as usize);
        account.free.split_off(kept)
    }
}

/// Returns the limit in force for an instance: the lower one of that which it names and that which it has
/// while it is cold.
fn rate(log: &LimitLog, cold: &ColdLog, instance: &EndpointInstance) -> Option<Rate> {
    match (log.rate(instance), cold.rate(instance)) {
        (Some(named), Some(cold)) => Some(named.min(cold)),
        (named, cold) => named.or(cold),
    }
}

/// Returns the instances with a limit in force, and the limits.
fn limited<'a>(
    log: &'a LimitLog,
    cold: &'a ColdLog,
) -> impl Iterator<Item = (&'a EndpointInstance, Rate)> {
    let named = log.limited().map(|(instance, named)| {
        (instance, cold.rate(instance).map_or(named, |cold| named.min(cold)))
    });
    named.chain(cold.limited().filter(|(instance, _)| log.rate(instance).is_none()))
}
