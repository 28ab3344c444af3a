//! Keeps the requests that reach an endpoint within the limit that it names for all VMs together.
//!
//! A request to such an endpoint needs a permit. The leader issues permits at the rate of the limit, to
//! the relays whose callers want them; relays pass them on to the requests of their members. A permit
//! lapses soon, and one that was not used goes back with the next report. A relay that does not hear
//! of the leader issues its own part, which the leader then leaves out.

use std::time::Duration;

use super::log::{
    LimitChange, LimitLog, LimitNumber, LimitStatement, NamedLimit, RaiseEvidence, Rate,
};
use crate::ids::VmId;
use crate::map::FastMap;
use crate::request::availability::EndpointInstance;

/// The lowest rate at which permits are issued, per second: only an answer shows that the limit of an
/// endpoint that takes nothing has ended.
const MIN_ISSUE_RATE: Rate = 0.1;
/// The permits that may be issued at once, as the time in which the limit allows as many.
const BURST_TIME: Duration = Duration::from_millis(250);
/// The permits that may be issued at once at least, and those that may be issued at a limit of as many a
/// second or more: wants do not come evenly.
const MIN_BURST: f64 = 1.0;
/// See [`MIN_BURST`].
const SMALL_BURST: f64 = 2.0;
/// How long a permit of the leader is valid.
const PERMIT_TERM: Duration = Duration::from_secs(5);
/// How long a permit is valid that a relay passes on for a request that is there.
const MEMBER_TERM: Duration = Duration::from_millis(400);
/// How long after it issued permits to a relay the leader counts those as used that it hears nothing of.
const OPEN_TERM: Duration = Duration::from_secs(6);
/// The requests that the limit allows within the term of a permit of a relay without a leader. Over a
/// longer term, more permits find a request; over a shorter one, fewer are used at the same time.
const REQUESTS_PER_TERM: f64 = 2.0;
/// The shortest and the longest term of such a permit.
const MIN_ALONE_TERM: Duration = Duration::from_millis(500);
/// See [`MIN_ALONE_TERM`].
const MAX_ALONE_TERM: Duration = Duration::from_secs(5);
/// How long after its last report a relay's part is issued by the leader.
const PRESENT_TERM: Duration = Duration::from_secs(1);
/// How long after its last report that was replied to a relay issues its part itself. The difference
/// from [`PRESENT_TERM`] covers the way of the report.
const ALONE_DELAY: Duration = Duration::from_millis(1_500);
/// How long a VM's waiting requests count after its report.
const WAITING_TERM: Duration = Duration::from_millis(1_500);
/// How long after a relay last wanted a permit for requests that do not wait it may still be issued one.
const WANT_TERM: Duration = Duration::from_secs(2);
/// The most permits that one VM asks for at once.
const MAX_WANTED: u32 = 1_000;

/// A permit to send one request to an instance of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    until: Duration,
}

impl Permit {
    /// Returns whether the permit has not lapsed.
    pub fn is_valid(self, now: Duration) -> bool {
        now < self.until
    }
}

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

/// The part of one relay in a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayPart {
    /// The number of relays.
    pub relays: u32,
    /// The relay's rank among them, from 0.
    pub rank: u32,
}

impl RelayPart {
    fn part(self) -> f64 {
        1.0 / f64::from(self.relays.max(1))
    }

    /// Returns the bucket that a relay begins with: relays that lose the leader together issue their
    /// first permits in turn.
    fn bucket(self, now: Duration) -> Bucket {
        Bucket { tokens: -f64::from(self.rank) * self.part(), filled: now }
    }
}

/// The requests of a VM that want permits for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Want {
    /// Requests that wait for a permit.
    pub waiting: u32,
    /// Requests that were sent elsewhere for lack of a permit since the last report.
    pub passed: u32,
    /// Permits that were used since the last report.
    pub used: u32,
    /// Permits that have lapsed unused since the last report.
    pub returned: u32,
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

/// A token bucket that issues permits.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    filled: Duration,
}

impl Bucket {
    fn new(now: Duration) -> Self {
        // A former issuer may have issued a burst a moment ago.
        Self { tokens: 0.0, filled: now }
    }

    fn fill(&mut self, rate: Rate, now: Duration) {
        let time = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + rate * time).min(burst(rate));
        self.filled = now;
    }

    /// Takes up to `count` permits.
    fn take(&mut self, count: u32, rate: Rate, now: Duration) -> u32 {
        self.fill(rate, now);
        let taken = count.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

/// What a VM holds for one instance.
#[derive(Debug, Clone, Default)]
struct Account {
    free: Vec<Permit>,
    /// The permits that were passed on to members, which have not reported them as used or returned.
    lent: Vec<Permit>,
    passed: u32,
    used: u32,
    returned: u32,
    backlog: u32,
    /// The permits that each relay was not issued yet for requests that were sent elsewhere, and when it
    /// last wanted one.
    wanted: FastMap<VmId, (u32, Duration)>,
    /// The permits of each relay that it has not reported as used or returned, and when it got the last.
    open: FastMap<VmId, (u32, Duration)>,
    /// The waiting requests of the members, and when they were reported.
    members: FastMap<VmId, (u32, Duration)>,
    /// The waiting requests of the relays that report to this leader, and when they were reported.
    relays: FastMap<VmId, (u32, Duration)>,
    bucket: Option<Bucket>,
}

impl Account {
    /// Counts the permits that have lapsed as returned.
    fn expire(&mut self, now: Duration) {
        let before = self.free.len();
        self.free.retain(|permit| permit.is_valid(now));
        self.returned += (before - self.free.len()) as u32;
    }

    /// Settles the permits that a relay has used or returned; returns how many are open at all relays, and
    /// how many of those that this leader issued it has returned.
    fn settle_relay(&mut self, vm: &VmId, want: &Want, now: Duration) -> (u32, u32) {
        self.open.retain(|_, (_, at)| now < *at + OPEN_TERM);
        let mut returned = 0;
        if let Some((open, _)) = self.open.get_mut(vm) {
            *open = open.saturating_sub(want.used);
            returned = want.returned.min(*open);
            *open -= returned;
        }
        (self.open.values().map(|(open, _)| open).sum(), returned)
    }

    /// Returns how many permits a relay wants for requests that do not wait, `most` at the most: it will
    /// have more like those that it sent elsewhere or by a permit.
    fn want(&mut self, vm: &VmId, want: &Want, most: u32, now: Duration) -> u32 {
        self.wanted.retain(|_, (_, at)| now < *at + WANT_TERM);
        let new = want.passed + want.used;
        if new > 0 {
            let (count, at) = self.wanted.entry(vm.clone()).or_default();
            (*count, *at) = ((*count + new).min(most), now);
        }
        self.wanted.get(vm).map_or(0, |(count, _)| *count)
    }

    /// Records that permits were issued to a relay, for its waiting requests first.
    fn on_issued(&mut self, vm: &VmId, count: u32, waiting: u32, now: Duration) {
        if count == 0 {
            return;
        }
        let (open, at) = self.open.entry(vm.clone()).or_default();
        (*open, *at) = (*open + count, now);
        if let Some((wanted, _)) = self.wanted.get_mut(vm) {
            *wanted = wanted.saturating_sub(count.saturating_sub(waiting));
        }
    }

    /// Passes on permits; returns the least time for which they are valid.
    fn lend(&mut self, permits: &[Permit], now: Duration) -> Duration {
        self.lent.extend_from_slice(permits);
        let until = permits.iter().map(|permit| permit.until).min().unwrap_or(now);
        until.saturating_sub(now).min(MEMBER_TERM)
    }

    /// Settles permits that a member has used or returned; returned ones may be passed on again.
    fn settle(&mut self, want: &Want, now: Duration) {
        self.lent.sort_by_key(|permit| permit.until);
        for _ in 0..want.used {
            self.lent.pop();
        }
        self.used += want.used;
        let returned = self.lent.len().min(want.returned as usize);
        self.free.extend(self.lent.drain(..returned));
        self.returned += want.returned - returned as u32;
        self.expire(now);
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        self.bucket.get_or_insert_with(|| Bucket::new(now))
    }

    /// Issues the permits that are due to a relay without a leader. They are not kept for later: all
    /// relays together would have as many.
    fn issue_alone(&mut self, rate: Rate, part: RelayPart, now: Duration) {
        let own_rate = rate * part.part();
        let bucket = self.bucket.get_or_insert_with(|| part.bucket(now));
        let time = now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.tokens += own_rate * time;
        bucket.filled = now;
        let due = bucket.tokens.max(0.0).floor();
        let until = now + alone_term(rate);
        for index in 0..due.min(f64::from(MAX_WANTED)) as u32 {
            let age = (bucket.tokens - f64::from(index) - 1.0) / own_rate;
            let age = Duration::try_from_secs_f64(age).unwrap_or(Duration::MAX);
            let permit = Permit { until: until.saturating_sub(age) };
            self.free.extend(permit.is_valid(now).then_some(permit));
        }
        bucket.tokens -= due;
    }
}

/// Returns the sum of what VMs reported recently, and forgets the rest.
fn recent(reports: &mut FastMap<VmId, (u32, Duration)>, now: Duration) -> u32 {
    reports.retain(|_, (_, at)| now < *at + WAITING_TERM);
    reports.values().map(|(count, _)| count).sum()
}

/// The limits that endpoints name, and this VM's permits.
#[derive(Debug, Clone, Default)]
pub struct RequestLimits {
    log: LimitLog,
    accounts: FastMap<EndpointInstance, Account>,
    role: PermitRole,
    /// When the last report was made that the leader has replied to.
    heard: Duration,
    /// Whether this VM is a relay that hears of no leader.
    is_alone: bool,
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
        let mut has_permits = false;
        for (instance, rate) in self.log.limited() {
            let account = self.accounts.entry(instance.clone()).or_default();
            if let PermitRole::Relay(part) = self.role
                && is_alone
            {
                account.issue_alone(issue_rate(rate), part, now);
            }
            has_permits |= account.free.iter().any(|permit| permit.is_valid(now));
        }
        has_permits
    }

    /// Returns whether no instance is known to have or have had a limit.
    pub fn is_empty(&self) -> bool {
        self.log.is_empty()
    }

    /// Returns the limit in force for an instance.
    pub fn rate(&self, instance: &EndpointInstance) -> Option<Rate> {
        self.log.rate(instance)
    }

    /// Returns the instances with a limit in force, and the limits.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointInstance, Rate)> {
        self.log.limited()
    }

    /// Records that a request was sent by a permit.
    pub fn on_used(&mut self, instance: &EndpointInstance) {
        self.accounts.entry(instance.clone()).or_default().used += 1;
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
        if self.log.rate(instance).is_none() {
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

    /// Returns whether the leader itself may send something to an instance now, ahead of requests. It may
    /// use up what the next requests would have got.
    pub fn has_room_ahead(&mut self, instance: &EndpointInstance, now: Duration) -> bool {
        let Some(rate) = self.log.rate(instance) else { return true };
        let PermitRole::Leader(relays) = self.role else { return false };
        let rate = issue_rate(rate) * self.present_part(relays, now);
        let bucket = self.accounts.entry(instance.clone()).or_default().bucket(now);
        bucket.fill(rate, now);
        bucket.tokens > -burst(rate)
    }

    /// Takes a permit for what the leader itself sends to an instance, ahead of requests; returns
    /// whether there is one, or none is needed.
    pub fn take_ahead(&mut self, instance: &EndpointInstance, now: Duration) -> bool {
        let is_allowed = self.has_room_ahead(instance, now);
        if is_allowed
            && let Some(account) = self.accounts.get_mut(instance)
            && self.log.rate(instance).is_some()
        {
            account.bucket(now).tokens -= 1.0;
        }
        is_allowed
    }

    /// Counts a request that was sent elsewhere as an instance's permits are used up.
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
    ) -> Duration {
        let (mut rate, mut waiting) = (0.0, ahead);
        for instance in instances {
            rate += issue_rate(self.log.rate(instance).unwrap_or_default());
            let account = self.accounts.get(instance);
            waiting = waiting.max(account.map_or(0, |account| account.backlog));
        }
        Duration::from_secs_f64(f64::from(waiting + 1) / rate.max(MIN_ISSUE_RATE))
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
        let log = &self.log;
        self.accounts.retain(|instance, account| {
            account.expire(now);
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
            log.rate(instance).is_some()
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
        let mut issued = Vec::new();
        let limited: Vec<_> = self.log.limited().map(|(name, rate)| (name.clone(), rate)).collect();
        for (instance, rate) in limited {
            let rate = issue_rate(rate);
            let want = wants.iter().find(|(other, _)| *other == instance).map(|(_, want)| *want);
            let want = want.unwrap_or_default();
            let account = self.accounts.entry(instance.clone()).or_default();
            account.relays.insert(vm.clone(), (want.waiting, now));
            let backlog = recent(&mut account.relays, now);
            let (open, returned) = account.settle_relay(vm, &want, now);
            let bucket = account.bucket(now);
            bucket.fill(rate * part, now);
            bucket.tokens = (bucket.tokens + f64::from(returned)).min(burst(rate * part));
            let most = (rate / present).ceil() as u32;
            let wanted = account.want(vm, &want, most, now);
            let room = max_open(rate).saturating_sub(open);
            let asked = (want.waiting + wanted).min(room);
            let count = account.bucket(now).take(asked, rate * part, now);
            account.on_issued(vm, count, want.waiting, now);
            if count > 0 || want.waiting > 0 {
                let (instance, term) = (instance.clone(), PERMIT_TERM);
                issued.push(IssuedPermits { instance, count, term, backlog });
            }
        }
        issued
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
                waiting.push((instance.clone(), *count, account.backlog));
            }
        }
        let mut passed = Vec::new();
        for (instance, count, backlog) in waiting {
            let permits = self.draw(&instance, count, now);
            let Some(account) = self.accounts.get_mut(&instance) else { continue };
            if permits.is_empty() {
                continue;
            }
            let (term, count) = (account.lend(&permits, now), permits.len() as u32);
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
        let (term, backlog) = (account.lend(&[permit], now), account.backlog);
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
            account.backlog = *backlog;
            let permit = Permit { until: asked + *term };
            account.free.extend(std::iter::repeat_n(permit, *count as usize));
            account.expire(now);
        }
        permits.iter().any(|permits| permits.count > 0)
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
        self.log.prune(is_listed, now);
        let log = &self.log;
        self.accounts.retain(|instance, _| log.rate(instance).is_some());
    }

    /// Returns which part of the limits the leader issues: that of the relays that report to it.
    fn present_part(&mut self, relays: u32, now: Duration) -> f64 {
        self.present.retain(|_, at| now < *at + PRESENT_TERM);
        (self.present.len() as f64 / f64::from(relays.max(1))).min(1.0)
    }

    /// Takes up to `count` permits that this VM holds.
    fn draw(&mut self, instance: &EndpointInstance, count: u32, now: Duration) -> Vec<Permit> {
        if self.log.rate(instance).is_none() {
            return Vec::new();
        }
        let Some(account) = self.accounts.get_mut(instance) else { return Vec::new() };
        account.expire(now);
        let kept = account.free.len().saturating_sub(count as usize);
        account.free.split_off(kept)
    }
}

/// Returns the rate at which permits are issued for a limit.
fn issue_rate(rate: Rate) -> Rate {
    rate.max(MIN_ISSUE_RATE)
}

/// Returns how many permits may be issued at once.
fn burst(rate: Rate) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(rate.min(SMALL_BURST)).max(MIN_BURST)
}

/// Returns how many permits may be open at once: as many more than the limit allows may be used within
/// one span. Where the limit is low, permits wait longer for a request.
fn max_open(rate: Rate) -> u32 {
    (3.0 + rate * 0.25 + rate.min(4.0)) as u32
}

/// Returns how long a permit of a relay without a leader is valid.
fn alone_term(rate: Rate) -> Duration {
    Duration::from_secs_f64(REQUESTS_PER_TERM / rate).clamp(MIN_ALONE_TERM, MAX_ALONE_TERM)
}
