//! Whether endpoints may be sent to, as far as their own answers tell.
//!
//! An endpoint that leaves says so in its answers, and an endpoint that turns a request away may say
//! for how long it wants nothing from this VM. Both hold for one process instance of the endpoint,
//! also while its entry is missing from the list: an entry that comes back changes nothing about the
//! process.

use std::time::Duration;

use crate::ids::EndpointId;
use crate::map::FastMap;

/// The longest quiet that is kept to: an endpoint that asks for more, or whose answer is damaged, gets
/// one request an hour.
pub const MAX_QUIET: Duration = Duration::from_secs(3_600);
/// The quiet of an endpoint whose answer names a time that cannot be read: a caller whose latency
/// target is some seconds can still wait for its end.
pub const UNREADABLE_QUIET: Duration = Duration::from_secs(1);
/// The growth of a quiet that counts as a change: answers to requests that were sent together differ
/// by less.
const MIN_QUIET_CHANGE: Duration = Duration::from_millis(100);
/// How long an instance's leaving is remembered once the instance is not listed; an entry that was
/// lost by the store comes back within seconds.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(600);
/// The number of remembered instances from which outdated ones are looked for.
const MAX_RECORDS: usize = 256;

/// The process instance of an endpoint: the endpoint and the start of its process.
pub type EndpointInstance = (EndpointId, u64);

/// For how long an endpoint wants nothing, as its answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuietRequest {
    /// For a time; no time at all asks for nothing.
    For(Duration),
    /// For a time that cannot be read.
    Unreadable,
}

impl QuietRequest {
    /// Returns how long the endpoint is left alone.
    ///
    /// ```
    /// use bamboocourse_decide::{MAX_QUIET, QuietRequest};
    /// use std::time::Duration;
    /// assert_eq!(QuietRequest::For(Duration::MAX).time(), MAX_QUIET);
    /// ```
    pub fn time(self) -> Duration {
        match self {
            QuietRequest::For(time) => time.min(MAX_QUIET),
            QuietRequest::Unreadable => UNREADABLE_QUIET,
        }
    }
}

/// Whether an endpoint may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Nothing speaks against it.
    Open,
    /// The endpoint wants nothing from this VM until this time.
    QuietUntil(Duration),
    /// The endpoint leaves.
    Leaving,
    /// The endpoint's failure domain is emptied.
    Emptied,
}

/// What endpoints' answers said about sending to them.
#[derive(Debug, Clone, Default)]
pub struct AvailabilityLog {
    records: FastMap<EndpointInstance, Record>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    /// When the first answer arrived which says that the endpoint leaves.
    leaving_since: Option<Duration>,
    quiet_until: Duration,
}

impl AvailabilityLog {
    /// Returns whether an instance may be sent to.
    ///
    /// ```
    /// use bamboocourse_decide::{Availability, AvailabilityLog};
    /// use std::time::Duration;
    /// let mut log = AvailabilityLog::default();
    /// log.on_leaving("e1", 7, Duration::ZERO);
    /// assert_eq!(log.check("e1", 7, Duration::ZERO), Availability::Leaving);
    /// assert_eq!(log.check("e1", 8, Duration::ZERO), Availability::Open);
    /// ```
    pub fn check(&self, name: &str, instance: u64, now: Duration) -> Availability {
        if self.records.is_empty() {
            return Availability::Open;
        }
        match self.records.get(&(name.into(), instance)) {
            Some(record) if record.leaving_since.is_some() => Availability::Leaving,
            Some(record) if now < record.quiet_until => {
                Availability::QuietUntil(record.quiet_until)
            }
            _ => Availability::Open,
        }
    }

    /// Records that an instance leaves; returns whether this was not known.
    pub fn on_leaving(&mut self, name: &str, instance: u64, now: Duration) -> bool {
        let record = self.records.entry((name.into(), instance)).or_default();
        let is_new = record.leaving_since.is_none();
        record.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that an instance wants quiet; returns until when, if that changes what was known.
    ///
    /// A quiet is never shortened, since answers may arrive in another order than they were given.
    pub fn on_quiet(
        &mut self,
        name: &str,
        instance: u64,
        request: QuietRequest,
        now: Duration,
    ) -> Option<Duration> {
        let time = request.time();
        if time.is_zero() {
            return None;
        }
        let record = self.records.entry((name.into(), instance)).or_default();
        let former = record.quiet_until.max(now);
        record.quiet_until = record.quiet_until.max(now + time);
        (record.quiet_until >= former + MIN_QUIET_CHANGE || former == now)
            .then_some(record.quiet_until)
    }

    /// Returns the instances that leave.
    pub fn leaving(&self) -> impl Iterator<Item = &EndpointInstance> {
        let records = self.records.iter().filter(|(_, record)| record.leaving_since.is_some());
        records.map(|(instance, _)| instance)
    }

    /// Returns how many instances are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no instance is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets quiets that have ended, and the leaving of instances that have long not been listed,
    /// once there are many records.
    pub fn prune(&mut self, is_listed: impl Fn(&EndpointInstance) -> bool, now: Duration) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|instance, record| {
            let remembered = record
                .leaving_since
                .is_some_and(|since| now < since + UNLISTED_TIMEOUT || is_listed(instance));
            now < record.quiet_until || remembered
        });
    }
}
