//! Requests that are tried although they are held back.

use std::time::Duration;

use super::{Cause, CrashLog, HeldCause};
use crate::ids::VmId;
use crate::map::FastSet;

/// The times until one request after the other is tried with a part that is held back: from the last
/// endpoint that ended to the first trial, and from each trial to the next.
pub(super) const TRIAL_DELAYS: &[Duration] =
    &[Duration::from_secs(60), Duration::from_secs(300), Duration::from_secs(1_500)];
/// The same for a part that may be held back by chance.
pub(super) const WEAK_TRIAL_DELAYS: &[Duration] = &[
    Duration::from_millis(1_500),
    Duration::from_secs(5),
    Duration::from_secs(10),
    Duration::from_secs(300),
    Duration::from_secs(1_500),
];
/// The same for a whole request.
const REQUEST_TRIAL_DELAYS: &[Duration] = &[Duration::from_secs(60), Duration::from_secs(300)];
/// The same for a whole request that may be held back by chance: endpoints that end are back after some
/// seconds, and until then a trial risks one of the others.
const WEAK_REQUEST_TRIAL_DELAYS: &[Duration] = &[
    Duration::from_millis(500),
    Duration::from_millis(1_500),
    Duration::from_secs(5),
    Duration::from_secs(60),
    Duration::from_secs(300),
];
/// The endpoints that end under a whole request before its further attempts are counted.
const MAX_FREE_ENDS: u32 = 3;
/// The most attempts that are tried once so many have ended: fewer than a caller's attempts may be by the
/// platform's rules, as a leader that is killed may not have told the last one.
const MAX_REQUEST_TRIALS: u32 = 2;
/// How long the outcome of one trial of a whole request is waited for before another request is tried: two
/// at one endpoint would both be suspects again.
const OPEN_TRIAL_TERM: Duration = Duration::from_secs(1);
/// The most endpoints that end under a part, after which no further request is tried: three more than
/// those that suffice to hold any part back.
pub(super) const MAX_PART_ENDS: u32 = 8;
/// How long a request waits for the leader's word whether it is tried, and how long that holds.
pub const TRIAL_TERM: Duration = Duration::from_millis(600);
/// How long a VM asks for no further trial with a part after it asked for one in vain.
pub(super) const TRIAL_ASK_INTERVAL: Duration = Duration::from_secs(3);
/// The most asks for trials that a relay keeps for its members.
pub(super) const MAX_TRIAL_ASKS: usize = 256;

/// Who asked when for a trial with a cause.
#[derive(Debug)]
pub(super) struct TrialAsk {
    pub(super) cause: Cause,
    pub(super) asker: TrialAsker,
    pub(super) at: Duration,
}

#[derive(Debug, PartialEq, Eq)]
pub(super) enum TrialAsker {
    /// A request of this VM's callers.
    Request(u64),
    /// A VM that reports to this one.
    Member(VmId),
}

impl HeldCause {
    /// Returns when the next request with the cause may be tried; `None` if none will be.
    pub(super) fn next_trial(&self) -> Option<Duration> {
        let (delays, has_ended) = match (&self.cause, self.weak) {
            (Cause::Part(_), false) => (TRIAL_DELAYS, self.ends >= MAX_PART_ENDS),
            (Cause::Part(_), true) => (WEAK_TRIAL_DELAYS, self.ends >= MAX_PART_ENDS),
            (Cause::Request(_), false) => (REQUEST_TRIAL_DELAYS, !self.has_trials_left()),
            (Cause::Request(_), true) => (WEAK_REQUEST_TRIAL_DELAYS, !self.has_trials_left()),
        };
        let delay = delays.get(self.trials as usize).filter(|_| !has_ended);
        delay.map(|delay| self.last + *delay)
    }

    /// Returns how many more requests may be tried, as far as is known now.
    pub fn trials_left(&self) -> u32 {
        match self.cause {
            Cause::Part(_) if self.ends >= MAX_PART_ENDS => 0,
            Cause::Part(_) if self.weak => {
                (WEAK_TRIAL_DELAYS.len() as u32).saturating_sub(self.trials)
            }
            Cause::Part(_) => (TRIAL_DELAYS.len() as u32).saturating_sub(self.trials),
            Cause::Request(_) if self.ends >= MAX_FREE_ENDS => {
                MAX_REQUEST_TRIALS.saturating_sub(self.trials)
            }
            Cause::Request(_) => {
                (WEAK_REQUEST_TRIAL_DELAYS.len() as u32).saturating_sub(self.trials)
            }
        }
    }

    fn has_trials_left(&self) -> bool {
        self.trials_left() > 0
    }

    /// Returns how long it takes until a request that is tried has shown whether the part is sound; `None`
    /// if the evidence is conclusive, or no further request will be tried.
    ///
    /// ```
    /// use bamboocourse_decide::HeldCause;
    /// use std::time::Duration;
    /// let (first, last) = (Duration::from_secs(10), Duration::from_secs(11));
    /// let held = HeldCause {
    ///     cause: "p".into(),
    ///     workspace: None,
    ///     first,
    ///     last,
    ///     ends: 3,
    ///     trials: 0,
    ///     weak: true,
    /// };
    /// assert!(held.recheck_after(last).is_some());
    /// assert_eq!(HeldCause { weak: false, ..held }.recheck_after(last), None);
    /// ```
    pub fn recheck_after(&self, now: Duration) -> Option<Duration> {
        let trial = self.next_trial().filter(|_| self.weak)?;
        Some(trial.saturating_sub(now) + TRIAL_TERM)
    }

    /// Returns whether a request with the cause may be tried.
    pub(super) fn may_try(&self, now: Duration) -> bool {
        self.next_trial().is_some_and(|trial| trial <= now)
    }
}

impl CrashLog {
    /// Takes the next trial with a cause, if this VM leads and it is due.
    pub(super) fn take_trial(&mut self, cause: &Cause, now: Duration) -> bool {
        let is_other_open = self.open_trial.as_ref().is_some_and(|(_, until)| now < *until);
        if cause.is_request() && is_other_open {
            return false;
        }
        let due = self.held.get_mut(cause).filter(|hold| self.leads && hold.held.may_try(now));
        let Some(hold) = due else { return false };
        hold.held.trials += 1;
        hold.held.last = now;
        if cause.is_request() {
            self.open_trial = Some((cause.clone(), now + OPEN_TRIAL_TERM));
        }
        true
    }

    /// Asks for a trial with a cause for a new request that is held back because of it; returns whether
    /// the request waits for it, for at most [`TRIAL_TERM`]. One request of a VM does at a time.
    pub fn ask_trial(&mut self, cause: &Cause, request: u64, now: Duration) -> bool {
        let is_due = self.held.get(cause).is_some_and(|hold| hold.held.may_try(now));
        if self.leads || !is_due || self.request_ends(request) > 0 {
            return false;
        }
        self.drop_old_asks(now);
        let own = self
            .asks
            .iter()
            .find(|ask| ask.cause == *cause && matches!(ask.asker, TrialAsker::Request(_)));
        if let Some(own) = own {
            return own.asker == TrialAsker::Request(request) && now < own.at + TRIAL_TERM;
        }
        let asker = TrialAsker::Request(request);
        self.asks.push(TrialAsk { cause: cause.clone(), asker, at: now });
        true
    }

    pub(super) fn drop_old_asks(&mut self, now: Duration) {
        self.asks.retain(|ask| match ask.asker {
            TrialAsker::Request(_) if ask.cause.is_request() => now < ask.at + TRIAL_TERM,
            TrialAsker::Request(_) => now < ask.at + TRIAL_ASK_INTERVAL,
            TrialAsker::Member(_) => now < ask.at + TRIAL_TERM,
        });
    }

    /// Returns the causes for which this VM and those that report to it wait for a trial.
    pub fn asked_trials(&self, now: Duration) -> Vec<Cause> {
        let open = self.asks.iter().filter(|ask| now < ask.at + TRIAL_TERM);
        let causes: FastSet<&Cause> = open.map(|ask| &ask.cause).collect();
        causes.into_iter().cloned().collect()
    }

    /// Takes in that a VM that reports to this one asks for a trial; returns whether it may try one
    /// request, which only the leader allows.
    pub fn on_trial_ask(&mut self, cause: &Cause, vm: &VmId, now: Duration) -> bool {
        if self.leads {
            return self.take_trial(cause, now);
        }
        self.drop_old_asks(now);
        let asker = TrialAsker::Member(vm.clone());
        let is_known = self.asks.iter().any(|ask| ask.cause == *cause && ask.asker == asker);
        if !is_known && self.held.contains_key(cause) && self.asks.len() < MAX_TRIAL_ASKS {
            self.asks.push(TrialAsk { cause: cause.clone(), asker, at: now });
        }
        false
    }

    /// Takes in that this VM, or one that reports to it, may try one request with a cause; returns
    /// the VM to pass this on to. The one that asked first gets it.
    pub fn on_trial_allowed(&mut self, cause: &Cause, now: Duration) -> Option<VmId> {
        self.drop_old_asks(now);
        let index =
            self.asks.iter().position(|ask| ask.cause == *cause && now < ask.at + TRIAL_TERM);
        let asker = index.map(|index| self.asks.remove(index).asker);
        if let Some(TrialAsker::Member(vm)) = asker {
            return Some(vm);
        }
        self.allowed.insert(cause.clone(), now + TRIAL_TERM);
        None
    }
}
