//! How a VM follows a table of the store, by its own feed or by what another VM tells.
//!
//! A feed that says nothing is idle or dead: a store that was silent for a moment has forgotten the
//! calls that waited, on all VMs alike, and nothing fails. So a VM that nobody tells what is new
//! waits for a part of the time only in which a change must apply, and opens its feed again when an
//! answer is overdue. VMs that are told pass on how old the news is, so that the waits of a chain of
//! VMs do not add up: each VM counts from the store's answer, not from the last message.

use std::time::Duration;

use crate::process::table_age::{TableAge, TableSource};

/// How long a feed waits for changes while another VM tells them, too; each call has a cost.
const TOLD_WAIT: Duration = Duration::from_secs(25);
/// How long a call may take beyond its wait at the most; a slow store takes some hundred ms.
const MAX_GRACE: Duration = Duration::from_millis(1_200);
/// The shortest time in which changes can apply on every VM: two reports and a few calls to the store.
const MIN_BOUND: Duration = Duration::from_millis(800);
/// The factor by which VMs that are no relays wait longer in their feeds: there may be hundreds.
const LONE_WAIT_FACTOR: u32 = 4;

/// What a VM is to others that follow the same table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Follower {
    /// The leader, or a relay, which the leader tells what is new.
    Relay,
    /// A VM that a relay tells what is new.
    Member,
}

/// The times of a feed, as parts of the time in which a change must apply on every VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTimes {
    /// How long a feed waits for changes.
    pub wait: Duration,
    /// How much longer an answer may take.
    pub grace: Duration,
    /// How old what the leader tells may be before a relay follows the store itself.
    pub relay: Duration,
    /// How old what a relay tells may be before a member follows the store itself.
    pub member: Duration,
    /// The most that is added to `member`, different for each VM.
    pub jitter: Duration,
}

impl FeedTimes {
    /// Divides the time in which a change must apply; a very short one counts as one that can be kept.
    ///
    /// A dead feed is found after `wait + grace`, a leader without contact after `relay`. What remains
    /// is for the answer of the store, and for a report of a relay and of a member.
    ///
    /// ```
    /// use bamboocourse_decide::FeedTimes;
    /// use std::time::Duration;
    /// let times = FeedTimes::within(Duration::from_secs(2));
    /// assert_eq!(times.wait + times.grace, Duration::from_secs(1));
    /// assert!(times.relay < times.member && times.member + times.jitter < Duration::from_secs(2));
    /// ```
    pub fn within(bound: Duration) -> Self {
        let bound = bound.max(MIN_BOUND);
        let wait = bound / 4;
        let grace = (bound / 4).min(MAX_GRACE);
        Self { wait, grace, relay: bound * 3 / 5, member: bound * 4 / 5, jitter: bound / 10 }
    }

    /// Returns whether another VM tells this one what is new, so that it need not ask the store.
    ///
    /// `jitter` is this VM's part of [`jitter`](Self::jitter).
    ///
    /// ```
    /// use bamboocourse_decide::{FeedTimes, Follower, TableAge, TableSource};
    /// use std::time::Duration;
    /// let times = FeedTimes::within(Duration::from_secs(2));
    /// let mut age = TableAge::default();
    /// age.on_told(TableSource::Leader, Duration::from_secs(5));
    /// let is_told = |millis| {
    ///     let now = Duration::from_millis(millis);
    ///     times.is_told(Follower::Relay, &age, Duration::ZERO, now)
    /// };
    /// assert!(is_told(6_000) && !is_told(6_300));
    /// ```
    pub fn is_told(
        &self,
        follower: Follower,
        age: &TableAge,
        jitter: Duration,
        now: Duration,
    ) -> bool {
        let (source, limit) = match follower {
            Follower::Relay => (TableSource::Leader, self.relay),
            Follower::Member => (TableSource::Relay, self.member + jitter),
        };
        age.known_until(source).is_some_and(|at| now < at + limit)
    }
}

/// One call to the store for what is new in a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedCall {
    /// How long the store waits for changes.
    pub wait: Duration,
    /// How long the answer may take beyond `wait`.
    pub grace: Duration,
    /// Whether another VM tells what is new as well; the call is given up once none does.
    pub told: bool,
}

/// A VM's calls to the store for one table.
#[derive(Debug, Clone)]
pub struct TableFeed {
    times: FeedTimes,
    /// How much longer than its wait the next call may take; grows while answers are overdue.
    grace: Duration,
    /// When the last call was answered; `None` after a call that was not.
    answered: Option<Duration>,
}

impl TableFeed {
    /// Starts without a call.
    pub fn new(times: FeedTimes) -> Self {
        Self { times, grace: times.grace, answered: None }
    }

    /// Returns the next call; `told` says whether another VM tells what is new as well.
    ///
    /// After a call without an answer, the next one does not wait for changes, so that it shows soon
    /// whether the store is back.
    pub fn next_call(&self, follower: Follower, told: bool, now: Duration) -> FeedCall {
        if told {
            return FeedCall { wait: TOLD_WAIT, grace: MAX_GRACE, told };
        }
        let grace = self.grace;
        let Some(answered) = self.answered else {
            return FeedCall { wait: Duration::ZERO, grace, told };
        };
        let wait = match follower {
            Follower::Relay => self.times.wait,
            Follower::Member => self.times.wait * LONE_WAIT_FACTOR,
        };
        // The time since the last answer counts as a part of the wait.
        let wait = wait.saturating_sub(now.saturating_sub(answered)).max(self.times.wait / 2);
        FeedCall { wait, grace, told }
    }

    /// Records that a call was answered.
    pub fn on_answer(&mut self, now: Duration) {
        self.grace = self.times.grace;
        self.answered = Some(now);
    }

    /// Records that a call failed or its answer is overdue, which may be as the store is slow.
    pub fn on_failure(&mut self, overdue: bool) {
        self.answered = None;
        if overdue {
            self.grace = (self.grace * 2).min(MAX_GRACE.max(self.times.grace));
        }
    }
}
