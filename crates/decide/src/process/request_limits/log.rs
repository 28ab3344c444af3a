//! Which limits endpoints name in their answers, as far as this VM has seen or was told.
//!
//! Answers cross on their way, some lack the limit, and VMs see different ones. A lower limit is in force
//! at once. A higher one, or none, takes several answers to requests that were all sent after the
//! last answer with the lower one had arrived, so none of them can be an older answer.

use std::cmp::Ordering;
use std::time::Duration;

use crate::map::FastMap;
use crate::request::availability::EndpointInstance;

/// The answers in a row that raise or end a limit: an answer without the limit may be an exception.
const RAISE_ANSWERS: u32 = 3;
/// The limit of an endpoint that names one that cannot be read, in requests per second: the endpoint
/// is in need.
const UNREADABLE_RATE: f64 = 1.0;
/// The highest limit, in requests per second; more is none in practice.
const MAX_RATE: f64 = 1e6;
/// How long after the last answer with the lower limit the requests were sent, at least, whose answers
/// raise it. The times that VMs tell each other look later by as much as the message took.
const RAISE_MARGIN: Duration = Duration::from_millis(300);
/// How long an ended limit is remembered, so that a VM that was out of touch learns of its end.
const ENDED_TERM: Duration = Duration::from_secs(60);
/// How long the limit of an instance is remembered that is not listed.
const UNLISTED_TERM: Duration = Duration::from_secs(600);

/// A number of requests per second.
pub type Rate = f64;
/// The number of a change in a [`LimitLog`].
pub type LimitNumber = u64;

/// The limit that an answer names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// So many requests per second.
    PerSecond(Rate),
    /// A limit that cannot be read.
    Unreadable,
}

/// What is known of an instance's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// The limit; `None` if the instance no longer names one.
    pub rate: Option<Rate>,
    /// When the requests were sent, at the earliest, whose answers say so.
    pub sent: Duration,
    /// When the last answer arrived that says so.
    pub seen: Duration,
}

/// Answers of an instance that name a higher limit than the one in force, or none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RaiseEvidence {
    /// The lowest limit among them; `None` if none names one.
    pub rate: Option<Rate>,
    /// When the first of the requests was sent.
    pub sent: Duration,
    /// The number of answers.
    pub answers: u32,
}

/// A change of the limit in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit until now; `None` if there was none.
    pub former: Option<Rate>,
    /// The limit from now on; `None` if it has ended.
    pub rate: Option<Rate>,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    statement: LimitStatement,
    raise: Option<RaiseEvidence>,
    number: LimitNumber,
}

/// The limits of all instances, as numbered changes.
#[derive(Debug, Clone, Default)]
pub struct LimitLog {
    records: FastMap<EndpointInstance, Record>,
    last: LimitNumber,
}

impl LimitLog {
    /// Returns the limit in force for an instance.
    ///
    /// ```
    /// use bamboocourse_decide::{LimitLog, NamedLimit};
    /// use std::time::Duration;
    /// let mut log = LimitLog::default();
    /// let e1 = ("e1".into(), 7);
    /// log.on_answer(&e1, Some(NamedLimit::PerSecond(3.3)), Duration::ZERO, Duration::ZERO, true);
    /// assert_eq!(log.rate(&e1), Some(3.3));
    /// assert_eq!(log.rate(&("e1".into(), 8)), None);
    /// ```
    pub fn rate(&self, instance: &EndpointInstance) -> Option<Rate> {
        // Mostly, no endpoint names a limit.
        if self.records.is_empty() {
            return None;
        }
        self.records.get(instance)?.statement.rate
    }

    /// Returns whether no limit is known, neither one in force nor one that has ended.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the instances with a limit in force, and the limits.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointInstance, Rate)> {
        let records = self.records.iter();
        records.filter_map(|(instance, record)| Some((instance, record.statement.rate?)))
    }

    /// Records an answer to a request that was sent at a time; returns the change of the limit in
    /// force.
    ///
    /// `decides` says that no other VM gathers the answers that raise a limit.
    pub fn on_answer(
        &mut self,
        instance: &EndpointInstance,
        named: Option<NamedLimit>,
        sent: Duration,
        now: Duration,
        decides: bool,
    ) -> Option<LimitChange> {
        if named.is_none() && self.records.is_empty() {
            return None;
        }
        let known = self.records.get(instance).map(|record| record.statement);
        let rate = match named {
            None => None,
            Some(NamedLimit::PerSecond(rate)) => Some(usable(rate)),
            Some(NamedLimit::Unreadable) => {
                known.and_then(|known| known.rate).or(Some(UNREADABLE_RATE))
            }
        };
        let answer = LimitStatement { rate, sent, seen: now };
        match known {
            None if rate.is_none() => None,
            Some(known) if compare(rate, known.rate) == Ordering::Greater => {
                self.on_raise(instance, RaiseEvidence { rate, sent, answers: 1 }, now, decides)
            }
            Some(known) => {
                let sent = if known.rate == rate { known.sent.max(sent) } else { sent };
                self.set(instance, LimitStatement { sent, ..answer })
            }
            None => self.set(instance, answer),
        }
    }

    /// Adds answers that name a higher limit, or none; returns the change of the limit in force.
    pub fn on_raise(
        &mut self,
        instance: &EndpointInstance,
        raise: RaiseEvidence,
        now: Duration,
        decides: bool,
    ) -> Option<LimitChange> {
        let raise = RaiseEvidence { rate: raise.rate.map(usable), ..raise };
        let record = self.records.get_mut(instance)?;
        let known = record.statement;
        if !is_later(raise.sent, &known) || compare(raise.rate, known.rate) != Ordering::Greater {
            return None;
        }
        let RaiseEvidence { rate, sent, answers } = raise;
        let raise = match record.raise {
            Some(former) => RaiseEvidence {
                rate: lower(former.rate, rate),
                sent: former.sent.min(sent),
                answers: former.answers.saturating_add(answers),
            },
            None => raise,
        };
        record.raise = Some(raise);
        if !decides || raise.answers < RAISE_ANSWERS {
            return None;
        }
        let statement = LimitStatement { rate: raise.rate, sent: raise.sent, seen: now };
        self.set(instance, statement)
    }

    /// Applies what another VM holds to be in force; returns the change of the limit in force.
    ///
    /// If it is overruled by what this VM has seen since, that counts as a change to be told.
    pub fn on_told(
        &mut self,
        instance: &EndpointInstance,
        told: LimitStatement,
    ) -> Option<LimitChange> {
        let told = LimitStatement { rate: told.rate.map(usable), ..told };
        let Some(record) = self.records.get_mut(instance) else {
            return told.rate.and_then(|_| self.set(instance, told));
        };
        let known = record.statement;
        let merged = match compare(told.rate, known.rate) {
            Ordering::Equal => LimitStatement {
                sent: known.sent.max(told.sent),
                seen: known.seen.max(told.seen),
                ..known
            },
            Ordering::Greater if is_later(told.sent, &known) => told,
            Ordering::Less if !is_later(known.sent, &told) => told,
            Ordering::Greater | Ordering::Less => known,
        };
        if merged.rate == told.rate {
            return self.set(instance, merged);
        }
        self.last += 1;
        record.number = self.last;
        None
    }

    /// Takes the gathered answers that name higher limits, or none, to report them.
    pub fn take_raises(&mut self) -> Vec<(EndpointInstance, RaiseEvidence)> {
        let records = self.records.iter_mut();
        let raises =
            records.filter_map(|(instance, record)| Some((instance.clone(), record.raise.take()?)));
        raises.collect()
    }

    /// Returns the number of the last change.
    pub fn last(&self) -> LimitNumber {
        self.last
    }

    /// Returns what has changed after a number.
    pub fn after(&self, number: LimitNumber) -> Vec<(EndpointInstance, LimitStatement)> {
        if number >= self.last {
            return Vec::new();
        }
        let changed = self.records.iter().filter(|(_, record)| record.number > number);
        changed.map(|(instance, record)| (instance.clone(), record.statement)).collect()
    }

    /// Forgets limits that ended long ago, and those of instances that have long not been listed.
    pub fn prune(&mut self, is_listed: impl Fn(&EndpointInstance) -> bool, now: Duration) {
        self.records.retain(|instance, record| {
            let term = if record.statement.rate.is_none() { ENDED_TERM } else { UNLISTED_TERM };
            let is_kept = record.statement.rate.is_some() && is_listed(instance);
            is_kept || now < record.statement.seen + term
        });
    }

    /// Sets what is in force; returns the change.
    fn set(
        &mut self,
        instance: &EndpointInstance,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let former = self.records.get(instance).map(|record| record.statement);
        let is_new = former.is_none_or(|former| former.rate != statement.rate);
        self.last += u64::from(is_new);
        let number = self.last;
        let record = self.records.entry(instance.clone()).or_insert(Record {
            statement,
            raise: None,
            number,
        });
        record.statement = statement;
        // A raise needs answers in a row.
        record.raise = None;
        if !is_new {
            return None;
        }
        record.number = number;
        Some(LimitChange { former: former.and_then(|former| former.rate), rate: statement.rate })
    }
}

/// Returns whether an answer to a request that was sent at a time is newer than all those with a lower
/// limit.
fn is_later(sent: Duration, lower: &LimitStatement) -> bool {
    sent > lower.seen.saturating_add(RAISE_MARGIN)
}

/// Returns the limit that a number stands for, which comes from an endpoint or another VM.
fn usable(rate: Rate) -> Rate {
    if rate.is_nan() { UNREADABLE_RATE } else { rate.clamp(0.0, MAX_RATE) }
}

/// Compares two limits; no limit is above all others.
fn compare(a: Option<Rate>, b: Option<Rate>) -> Ordering {
    let value = |rate: Option<Rate>| rate.unwrap_or(Rate::INFINITY);
    value(a).total_cmp(&value(b))
}

/// Returns the lower of two limits.
fn lower(a: Option<Rate>, b: Option<Rate>) -> Option<Rate> {
    if compare(a, b) == Ordering::Greater { b } else { a }
}
