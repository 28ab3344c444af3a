//! What a VM holds for one endpoint that names a limit: permits, and what is known of those of others.

use std::collections::VecDeque;
use std::time::Duration;

use super::cold::{self, ColdBound};
use super::log::Rate;
use crate::ids::VmId;
use crate::map::FastMap;

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
/// The permits that may be issued at once while none is open, as the time in which the limit allows as
/// many, and the most of them: requests that ask for single permits do not come evenly either.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// See [`IDLE_TIME`].
const MAX_IDLE_BURST: f64 = 4.0;
/// A relay to which fewer requests for an instance come within the term of a permit asks for single
/// permits: most of those issued ahead would lapse.
const MIN_REQUESTS: usize = 3;
/// The time for which a leader that begins to issue permits waits at the most, as those of its
/// predecessor may still be used.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);
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
/// How long a VM's waiting requests count after its report.
const WAITING_TERM: Duration = Duration::from_millis(1_500);
/// How long after a relay last wanted a permit for requests that do not wait it may still be issued one.
const WANT_TERM: Duration = Duration::from_secs(2);
/// The most permits that one VM asks for at once.
pub(super) const MAX_WANTED: u32 = 1_000;

/// A permit to send one request to an instance of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    pub(super) until: Duration,
}

impl Permit {
    /// Returns whether the permit has not lapsed.
    pub fn is_valid(self, now: Duration) -> bool {
        now < self.until
    }
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
    pub(super) fn part(self) -> f64 {
        1.0 / f64::from(self.relays.max(1))
    }

    /// Returns the bucket that a relay begins with: relays that lose the leader together issue their
    /// first permits in turn.
    pub(super) fn bucket(self, now: Duration) -> Bucket {
        Bucket { tokens: -f64::from(self.rank) * self.part(), filled: now }
    }
}

/// The requests of a VM that want permits for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Want {
    /// Requests that wait for a permit.
    pub waiting: u32,
    /// Requests that were sent elsewhere or refused for lack of a permit since the last report.
    pub passed: u32,
    /// Permits that were used since the last report.
    pub used: u32,
    /// Permits that have lapsed unused since the last report.
    pub returned: u32,
}

/// A token bucket that issues permits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    pub(super) tokens: f64,
    pub(super) filled: Duration,
}

impl Bucket {
    pub(super) fn new(rate: Rate, now: Duration) -> Self {
        // Permits of a former issuer may still be open.
        let open = f64::from(max_open(rate)).min(rate * TAKEOVER_TIME.as_secs_f64());
        Self { tokens: -open, filled: now }
    }

    /// Adds what was due since the last time, up to `most`, and `returned` permits.
    pub(super) fn fill(&mut self, rate: Rate, returned: u32, most: f64, now: Duration) {
        let time = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + rate * time + f64::from(returned)).min(most);
        self.filled = now;
    }

    /// Returns whether a permit may be issued.
    pub(super) fn has_one(&mut self, rate: Rate, now: Duration) -> bool {
        self.fill(rate, 0, burst(rate), now);
        self.tokens >= 1.0
    }

    /// Takes up to `count` permits.
    pub(super) fn take(&mut self, count: u32) -> u32 {
        let taken = count.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

/// What a VM holds for one instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    pub(super) free: Vec<Permit>,
    /// The permits that were passed on to members, which have not reported them as used or returned.
    pub(super) lent: Vec<Permit>,
    pub(super) passed: u32,
    pub(super) used: u32,
    pub(super) returned: u32,
    /// How many requests wait in the fleet, and when this VM was told.
    pub(super) backlog: (u32, Duration),
    /// The permits that each relay was not issued yet for requests that were sent elsewhere, and when it
    /// last wanted one.
    pub(super) wanted: FastMap<VmId, (u32, Duration)>,
    /// The permits of each relay that it has not reported as used or returned, and when it got the last.
    pub(super) open: FastMap<VmId, (u32, Duration)>,
    /// The permits that each relay was issued as it asked for them, and has not reported as used or
    /// returned.
    pub(super) asked: FastMap<VmId, u32>,
    /// When requests that come through this relay last looked for a permit.
    pub(super) sought: VecDeque<Duration>,
    /// The waiting requests of the members, and when they were reported.
    pub(super) members: FastMap<VmId, (u32, Duration)>,
    /// The waiting requests of the relays that report to this leader, and when they were reported.
    pub(super) relays: FastMap<VmId, (u32, Duration)>,
    pub(super) bucket: Option<Bucket>,
    /// For the leader's orders and requests for reports.
    pub(super) own: Option<Bucket>,
    /// The bound while the endpoint is cold: then what reaches it is counted by the second.
    pub(super) cold: Option<ColdBound>,
}

impl Account {
    /// Counts the permits that have lapsed as returned.
    pub(super) fn expire(&mut self, now: Duration) {
        let before = self.free.len();
        self.free.retain(|permit| permit.is_valid(now));
        self.returned += (before - self.free.len()) as u32;
        // A member that has ended reports nothing of its permits.
        self.lent.retain(|permit| now < permit.until + OPEN_TERM);
    }

    /// Settles the permits that a relay has used or returned; returns how many of those that this leader
    /// issued it has returned.
    pub(super) fn settle_relay(&mut self, vm: &VmId, want: &Want, now: Duration) -> u32 {
        self.open.retain(|_, (_, at)| now < *at + OPEN_TERM);
        let Some((open, _)) = self.open.get_mut(vm) else { return 0 };
        *open = open.saturating_sub(want.used);
        let returned = want.returned.min(*open);
        *open -= returned;
        returned
    }

    /// Returns how many permits are open at all relays.
    pub(super) fn open(&mut self, now: Duration) -> u32 {
        self.open.retain(|_, (_, at)| now < *at + OPEN_TERM);
        self.open.values().map(|(open, _)| open).sum()
    }

    /// Adds what is due to the leader's bucket; returns how many permits may be issued now.
    pub(super) fn fill(&mut self, rate: Rate, part: f64, returned: u32, now: Duration) -> u32 {
        let open = self.open(now);
        // Open permits and those that may be issued at once can all be used within one span.
        let idle = (rate * part * IDLE_TIME.as_secs_f64()).min(MAX_IDLE_BURST);
        let most = burst(rate * part).max(idle - f64::from(open));
        self.bucket(rate, now).fill(rate * part, returned, most, now);
        self.max_open(rate).saturating_sub(open)
    }

    /// Returns how many permits may be open at once.
    fn max_open(&self, rate: Rate) -> u32 {
        let most = max_open(rate);
        self.cold.map_or(most, |bound| most.min(cold::max_open(rate, burst(rate), bound)))
    }

    /// Begins to issue permits at once, as nobody has issued any.
    pub(super) fn begin(&mut self, now: Duration) {
        self.bucket = Some(Bucket { tokens: 0.0, filled: now });
    }

    /// Records that a request looks for a permit; returns whether so few do that this relay asks for single
    /// ones.
    pub(super) fn seek(&mut self, term: Duration, now: Duration) -> bool {
        let is_thin = self.is_thin(term, now);
        self.sought.push_back(now);
        if self.sought.len() > MIN_REQUESTS {
            self.sought.pop_front();
        }
        is_thin
    }

    /// Counts the permits as returned that no request has used soon after they were issued.
    pub(super) fn give_back(&mut self, term: Duration, now: Duration) {
        let before = self.free.len();
        self.free.retain(|permit| permit.until + MEMBER_TERM > now + term);
        self.returned += (before - self.free.len()) as u32;
    }

    /// Returns whether few requests come through this relay.
    pub(super) fn is_thin(&self, term: Duration, now: Duration) -> bool {
        self.sought.len() < MIN_REQUESTS || self.sought.front().is_none_or(|at| now > *at + term)
    }

    /// Returns how many permits a relay wants for requests that do not wait, `most` at the most: it will
    /// have more like those that it sent elsewhere or by a permit.
    pub(super) fn want(&mut self, vm: &VmId, want: &Want, most: u32, now: Duration) -> u32 {
        self.wanted.retain(|_, (_, at)| now < *at + WANT_TERM);
        let mut used = want.used;
        if let Some(asked) = self.asked.get_mut(vm) {
            let settled = (*asked).min(want.used + want.returned);
            used -= settled.min(used);
            *asked -= settled;
            if *asked == 0 {
                self.asked.remove(vm);
            }
        }
        let new = want.passed + used;
        if new > 0 {
            let (count, at) = self.wanted.entry(vm.clone()).or_default();
            (*count, *at) = ((*count + new).min(most), now);
        }
        self.wanted.get(vm).map_or(0, |(count, _)| *count)
    }

    /// Records that permits were issued to a relay, for its waiting requests first.
    pub(super) fn on_issued(&mut self, vm: &VmId, count: u32, waiting: u32, now: Duration) {
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
    pub(super) fn lend(&mut self, permits: &[Permit], now: Duration) -> Duration {
        self.lent.extend_from_slice(permits);
        let until = permits.iter().map(|permit| permit.until).min().unwrap_or(now);
        until.saturating_sub(now).min(MEMBER_TERM)
    }

    /// Settles permits that a member has used or returned; returned ones may be passed on again.
    pub(super) fn settle(&mut self, want: &Want, now: Duration) {
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

    pub(super) fn bucket(&mut self, rate: Rate, now: Duration) -> &mut Bucket {
        let is_cold = self.cold.is_some();
        self.bucket.get_or_insert_with(|| match is_cold {
            // Within a second, relays may still get permits of the former issuer.
            true => Bucket { tokens: -rate * TAKEOVER_TIME.as_secs_f64(), filled: now },
            false => Bucket::new(rate, now),
        })
    }

    /// Returns how many requests wait in the fleet, as far as is known.
    pub(super) fn backlog(&self, now: Duration) -> u32 {
        let (count, at) = self.backlog;
        if now < at + WAITING_TERM { count } else { 0 }
    }

    /// Returns the bucket for what the leader itself sends, which begins with one permit.
    pub(super) fn own_bucket(&mut self, now: Duration) -> &mut Bucket {
        self.own.get_or_insert(Bucket { tokens: 1.0, filled: now })
    }

    /// Issues the permits that are due to a relay without a leader. They are not kept for later: all
    /// relays together would have as many.
    pub(super) fn issue_alone(&mut self, rate: Rate, part: RelayPart, now: Duration) {
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
pub(super) fn recent(reports: &mut FastMap<VmId, (u32, Duration)>, now: Duration) -> u32 {
    reports.retain(|_, (_, at)| now < *at + WAITING_TERM);
    reports.values().fold(0, |sum: u32, (count, _)| sum.saturating_add(*count))
}

/// The highest rate at which permits are issued, per second: far above what any endpoint takes, and so low
/// that sums of permits stay finite.
const MAX_ISSUE_RATE: Rate = 1e9;

/// Returns the rate at which permits are issued for a limit.
pub(super) fn issue_rate(rate: Rate) -> Rate {
    rate.clamp(MIN_ISSUE_RATE, MAX_ISSUE_RATE)
}

/// Returns how many permits may be issued at once.
pub(super) fn burst(rate: Rate) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(rate.min(SMALL_BURST)).max(MIN_BURST)
}

/// Returns how many permits may be open at once: as many more than the limit allows may be used within
/// one span. Where the limit is low, permits wait longer for a request.
pub(super) fn max_open(rate: Rate) -> u32 {
    (3.0 + rate * 0.25 + rate.min(4.0)) as u32
}

/// Returns how long a permit of a relay without a leader is valid.
pub(super) fn alone_term(rate: Rate) -> Duration {
    Duration::from_secs_f64(REQUESTS_PER_TERM / rate).clamp(MIN_ALONE_TERM, MAX_ALONE_TERM)
}
