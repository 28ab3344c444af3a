//! What is held back, and what lets it go.

use std::time::Duration;

use super::evidence::{UNKNOWN_PART_ENDS, most_suspected};
use super::{Cause, CauseChange, CrashLog, RequestContent};
use crate::ids::WorkspaceId;
use crate::map::FastSet;

/// How long a VM leaves decisions to the VM it reports to after that one has last told it something,
/// and holds a part back that the other one does not.
pub(super) const UNCONFIRMED_TERM: Duration = Duration::from_secs(1);
/// How long a part is held back after the last endpoint that ended or request that was tried.
pub(super) const HOLD_TERM: Duration = Duration::from_secs(24 * 3_600);
/// The most causes of one kind that are held back at a time; the ones held back first give way.
pub(super) const MAX_HELD_CAUSES: usize = 64;

/// A part of prompts or a whole request that is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldCause {
    /// The part or request.
    pub cause: Cause,
    /// The only workspace whose requests are held back; `None` for all.
    pub workspace: Option<WorkspaceId>,
    /// When the first and the last endpoint ended that count against it.
    pub first: Duration,
    /// See `first`.
    pub last: Duration,
    /// The number of endpoints that ended under it, also since.
    pub ends: u32,
    /// The number of requests that were tried since.
    pub trials: u32,
    /// Whether it may have been there by chance: the endpoints ended before requests with it could have
    /// been answered, others ended under other requests, or another cause was there, too.
    pub weak: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Hold {
    pub(super) held: HeldCause,
    /// When this VM began to hold it back.
    pub(super) since: Duration,
    /// Whether the VM that this one reports to holds it back, too.
    pub(super) told: bool,
    /// Whether an endpoint ended under a request that was tried; only known to the leader.
    pub(super) trial_ended: bool,
}

impl CrashLog {
    /// Lets a cause go if requests with it were answered since the first end that counts against it.
    ///
    /// What another VM told this one to hold back is let go by that VM.
    pub(super) fn release_sound(&mut self, cause: &Cause, began: Duration, now: Duration) {
        let is_cleared = self
            .held
            .get(cause)
            .is_some_and(|hold| hold.held.first < began && (self.leads || !hold.told));
        if is_cleared {
            self.release(cause, "a request with it was answered");
            self.evaluate(now);
        }
    }

    pub(super) fn release(&mut self, cause: &Cause, why: &'static str) {
        if self.open_trial.as_ref().is_some_and(|(tried, _)| tried == cause) {
            self.open_trial = None;
        }
        if let Some(hold) = self.held.remove(cause) {
            self.changes.push(CauseChange::Released(hold.held, why));
        }
    }

    /// Returns what is held back.
    pub fn held(&self) -> Vec<HeldCause> {
        self.held.values().map(|hold| hold.held.clone()).collect()
    }

    /// Adopts what another VM holds back and that reports to this one, unless requests with it
    /// were answered since.
    pub fn adopt(&mut self, held: HeldCause, now: Duration) {
        if self.cleared_until(&held.cause).is_none_or(|at| at <= held.first) {
            self.hold(held, false, now);
        }
    }

    /// Applies what the VM holds back to which this one reports.
    ///
    /// What it does not hold back is let go, also what this VM held back by itself some
    /// time ago: the other VM has been told the evidence, and what speaks against it. A leader ignores
    /// this, since it only reports to itself.
    pub fn on_told(&mut self, told: Vec<HeldCause>, now: Duration) {
        if self.leads {
            return;
        }
        self.last_told = Some(now);
        let causes: FastSet<Cause> = told.iter().map(|held| held.cause.clone()).collect();
        let dropped = self.held.iter().filter(|(cause, hold)| {
            !causes.contains(*cause) && (hold.told || hold.since + UNCONFIRMED_TERM <= now)
        });
        let dropped: Vec<Cause> = dropped.map(|(cause, _)| cause.clone()).collect();
        for cause in dropped {
            self.let_go.insert(cause.clone(), now);
            self.release(&cause, "the VM that this one reports to has let it go");
        }
        for held in told {
            self.hold(held, true, now);
        }
        self.release_explained(now);
    }

    /// Holds a cause back, or updates what is known of one that is.
    pub(super) fn hold(&mut self, held: HeldCause, told: bool, now: Duration) {
        self.doubts.remove(&held.cause);
        if let Some(known) = self.held.get_mut(&held.cause) {
            known.told |= told;
            known.held.first = known.held.first.min(held.first);
            known.held.last = known.held.last.max(held.last);
            known.held.ends = known.held.ends.max(held.ends);
            known.held.trials = known.held.trials.max(held.trials);
            let is_confirmed = known.held.weak && !held.weak;
            known.held.weak &= held.weak;
            if is_confirmed {
                self.changes.push(CauseChange::Held(known.held.clone()));
            }
            if known.held.workspace.is_some() && known.held.workspace != held.workspace {
                known.held.workspace = None;
                self.changes.push(CauseChange::Held(known.held.clone()));
            }
            return;
        }
        // Another VM may not have let it go yet.
        let mut strong = self.held.values().filter(|hold| !hold.held.weak);
        if held.weak && strong.any(|hold| self.explains(&hold.held.cause, &held.cause, now)) {
            return;
        }
        let like = self.held.iter();
        let like = like.filter(|(cause, _)| cause.is_request() == held.cause.is_request());
        let rank = |held: &HeldCause| (held.cause.is_request() && !held.weak, held.last);
        let (count, least) = (like.clone().count(), like.min_by_key(|(_, hold)| rank(&hold.held)));
        if count >= MAX_HELD_CAUSES
            && let Some((least, hold)) = least
        {
            let least = least.clone();
            // Requests in question come in numbers when many endpoints end.
            if held.cause.is_request() && held.ends <= hold.held.ends {
                return;
            }
            self.release(&least, "too many causes are held back");
        }
        self.changes.push(CauseChange::Held(held.clone()));
        self.held.insert(held.cause.clone(), Hold { held, since: now, told, trial_ended: false });
    }

    /// Lets the parts go that may be held back by chance, if another one explains the ends.
    pub(super) fn release_explained(&mut self, now: Duration) {
        while let Some((cause, better)) = self.find_better(now) {
            self.release(&cause, "another cause explains the ends");
            if let Some(better) = better {
                self.hold(better, false, now);
            }
        }
    }

    /// Returns the causes of a request that are held back.
    pub(super) fn held_of<'a>(
        &'a self,
        prompt: &'a RequestContent,
    ) -> impl Iterator<Item = &'a HeldCause> {
        prompt.causes.iter().filter_map(|cause| self.held.get(cause)).map(|hold| &hold.held)
    }

    /// Finds a part that is held back for one workspace and has ended an endpoint for another one.
    pub(super) fn find_widened(&self, now: Duration) -> Option<HeldCause> {
        let ends = self.recent_ends(now);
        let suspects = ends.flat_map(|end| end.suspects.iter().map(|suspect| (end.at, suspect)));
        let mut held = suspects.flat_map(|(at, suspect)| {
            let held = self.held_of(suspect).filter(move |held| held.first <= at);
            held.map(move |held| (&suspect.workspace, held))
        });
        let other = held.find(|(workspace, held)| {
            held.workspace.as_ref().is_some_and(|only| only != *workspace)
        });
        other.map(|(_, held)| HeldCause { workspace: None, ..held.clone() })
    }

    /// Returns the parts that may be held back by chance.
    pub(super) fn weak_parts(&self) -> impl Iterator<Item = &Cause> {
        let weak = self.held.values().filter(|hold| hold.held.weak);
        weak.map(|hold| &hold.held.cause).filter(|cause| !cause.is_request())
    }

    /// Finds a part that may be held back by chance, while another one was there at all of its ends and at
    /// more; returns the other one, too, if it is not held back yet.
    pub(super) fn find_better(&self, now: Duration) -> Option<(Cause, Option<HeldCause>)> {
        let weak = self.weak_parts();
        let explained = weak.filter_map(|cause| {
            let mut strong = self.held.values().filter(|hold| !hold.held.weak);
            if strong.any(|hold| self.explains(&hold.held.cause, cause, now)) {
                return Some((cause.clone(), None));
            }
            if !self.decides(now) {
                return None;
            }
            let best = most_suspected(&self.gather(Some(cause), now)).filter(|best| !best.weak)?;
            self.explains(&best.cause, cause, now).then(|| (cause.clone(), Some(best)))
        });
        explained.min_by(|(a, _), (b, _)| a.cmp(b))
    }

    /// Returns whether a cause was there at all recent ends under a part that suffice to hold it back, and
    /// more endpoints ended under it; a whole request explains as many.
    pub(super) fn explains(&self, cause: &Cause, other: &Cause, now: Duration) -> bool {
        let mut ends = self.recent_ends(now).filter(|end| end.is_under(other));
        let known = self.part_ends(other, now);
        known as usize >= UNKNOWN_PART_ENDS
            && self.part_ends(cause, now) >= known + u32::from(!cause.is_request())
            && ends.all(|end| end.is_under(cause))
    }

    /// Notes which parts that may be held back by chance have become certain.
    pub(super) fn confirm_held(&mut self, now: Duration) {
        if !self.decides(now) {
            return;
        }
        let weak = self.weak_parts();
        let certain: Vec<Cause> = weak
            .filter(|cause| {
                let evidence = self.gather(Some(cause), now);
                evidence.get(cause).is_some_and(|known| known.is_enough() && !known.is_weak())
            })
            .cloned()
            .collect();
        for cause in certain {
            if let Some(hold) = self.held.get_mut(&cause) {
                hold.held.weak = false;
                self.changes.push(CauseChange::Held(hold.held.clone()));
            }
        }
    }
}
