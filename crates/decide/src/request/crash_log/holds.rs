//! The parts that are held back, and what lets them go.

use std::time::Duration;

use super::evidence::{UNKNOWN_PART_ENDS, most_suspected};
use super::{CrashLog, EndpointEnd, PartChange, Prompt};
use crate::ids::{PartId, WorkspaceId};
use crate::map::FastSet;

/// How long a VM leaves decisions to the VM it reports to after that one has last told it something,
/// and holds a part back that the other one does not.
pub(super) const UNCONFIRMED_TERM: Duration = Duration::from_secs(1);
/// How long a part is held back after the last endpoint that ended or request that was tried.
pub(super) const HOLD_TERM: Duration = Duration::from_secs(24 * 3_600);

/// The most parts that are held back at a time; the ones held back first give way.
pub(super) const MAX_HELD_PARTS: usize = 64;

/// A part that is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPart {
    /// The part.
    pub part: PartId,
    /// The only workspace whose requests are held back; `None` for all.
    pub workspace: Option<WorkspaceId>,
    /// When the first and the last endpoint ended that count against the part.
    pub first: Duration,
    /// See `first`.
    pub last: Duration,
    /// The number of endpoints that ended under requests with the part, also since.
    pub ends: u32,
    /// The number of requests that were tried since.
    pub trials: u32,
    /// Whether the part may have been there by chance: the endpoints ended before requests with it
    /// could have been answered, or others ended under other requests.
    pub weak: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Hold {
    pub(super) held: HeldPart,
    /// When this VM began to hold the part back.
    pub(super) since: Duration,
    /// Whether the VM that this one reports to holds the part back, too.
    pub(super) told: bool,
}

impl CrashLog {
    /// Lets a part go if requests with it were answered since the first end that counts against it.
    ///
    /// A part that another VM told this one to hold back is let go by that VM.
    pub(super) fn release_sound(&mut self, part: &PartId, began: Duration, now: Duration) {
        let is_cleared = self
            .held
            .get(part)
            .is_some_and(|hold| hold.held.first < began && (self.leads || !hold.told));
        if is_cleared {
            self.release(part, "a request with it was answered");
            self.evaluate(now);
        }
    }

    pub(super) fn release(&mut self, part: &PartId, why: &'static str) {
        if let Some(hold) = self.held.remove(part) {
            self.changes.push(PartChange::Released(hold.held, why));
        }
    }

    /// Returns the parts that are held back.
    pub fn held(&self) -> Vec<HeldPart> {
        self.held.values().map(|hold| hold.held.clone()).collect()
    }

    /// Adopts a part that another VM holds back and that reports to this one, unless requests with it
    /// were answered since.
    pub fn adopt(&mut self, held: HeldPart, now: Duration) {
        if self.sound_at(&held.part).is_none_or(|at| at <= held.first) {
            self.hold(held, false, now);
        }
    }

    /// Applies the parts that the VM holds back to which this one reports.
    ///
    /// A part that it does not hold back is let go, also one that this VM held back by itself some
    /// time ago: the other VM has been told the evidence, and what speaks against it. A leader ignores
    /// this, since it only reports to itself.
    pub fn on_told(&mut self, told: Vec<HeldPart>, now: Duration) {
        if self.leads {
            return;
        }
        self.last_told = Some(now);
        let parts: FastSet<PartId> = told.iter().map(|held| held.part.clone()).collect();
        let dropped = self.held.iter().filter(|(part, hold)| {
            !parts.contains(*part) && (hold.told || hold.since + UNCONFIRMED_TERM <= now)
        });
        let dropped: Vec<PartId> = dropped.map(|(part, _)| part.clone()).collect();
        for part in dropped {
            self.note_told_sound(part.clone(), now);
            self.release(&part, "the VM that this one reports to has let it go");
        }
        for held in told {
            self.hold(held, true, now);
        }
        self.release_explained(now);
    }

    /// Holds a part back, or updates what is known of one that is.
    pub(super) fn hold(&mut self, held: HeldPart, told: bool, now: Duration) {
        self.doubts.remove(&held.part);
        if let Some(known) = self.held.get_mut(&held.part) {
            known.told |= told;
            known.held.first = known.held.first.min(held.first);
            known.held.last = known.held.last.max(held.last);
            known.held.ends = known.held.ends.max(held.ends);
            known.held.trials = known.held.trials.max(held.trials);
            known.held.weak &= held.weak;
            if known.held.workspace.is_some() && known.held.workspace != held.workspace {
                known.held.workspace = None;
                self.changes.push(PartChange::Held(known.held.clone()));
            }
            return;
        }
        // Another VM may not have let it go yet.
        let mut strong = self.held.values().filter(|hold| !hold.held.weak);
        if held.weak && strong.any(|hold| self.explains(&hold.held.part, &held.part, now)) {
            return;
        }
        if self.held.len() >= MAX_HELD_PARTS
            && let Some((oldest, _)) = self.held.iter().min_by_key(|(_, hold)| hold.held.last)
        {
            let oldest = oldest.clone();
            self.release(&oldest, "too many parts are held back");
        }
        self.changes.push(PartChange::Held(held.clone()));
        self.held.insert(held.part.clone(), Hold { held, since: now, told });
    }

    /// Lets the parts go that may be held back by chance, if another one explains the ends.
    pub(super) fn release_explained(&mut self, now: Duration) {
        while let Some((part, better)) = self.find_better(now) {
            self.release(&part, "another part explains the ends");
            if let Some(better) = better {
                self.hold(better, false, now);
            }
        }
    }

    /// Returns the parts of a prompt that are held back.
    pub(super) fn held_of<'a>(&'a self, prompt: &'a Prompt) -> impl Iterator<Item = &'a HeldPart> {
        prompt.parts.iter().filter_map(|part| self.held.get(part)).map(|hold| &hold.held)
    }

    /// Finds a part that is held back for one workspace and has ended an endpoint for another one.
    pub(super) fn find_widened(&self, now: Duration) -> Option<HeldPart> {
        let ends = self.recent_ends(now);
        let suspects = ends.flat_map(|end| end.suspects.iter().map(|suspect| (end.at, suspect)));
        let mut held = suspects.flat_map(|(at, suspect)| {
            let held = self.held_of(suspect).filter(move |held| held.first <= at);
            held.map(move |held| (&suspect.workspace, held))
        });
        let other = held.find(|(workspace, held)| {
            held.workspace.as_ref().is_some_and(|only| only != *workspace)
        });
        other.map(|(_, held)| HeldPart { workspace: None, ..held.clone() })
    }

    /// Finds a part that may be held back by chance, while another one was there at all of its ends and at
    /// more; returns the other one, too, if it is not held back yet.
    pub(super) fn find_better(&self, now: Duration) -> Option<(PartId, Option<HeldPart>)> {
        let weak = self.held.values().filter(|hold| hold.held.weak).map(|hold| &hold.held.part);
        let explained = weak.filter_map(|part| {
            let mut strong = self.held.values().filter(|hold| !hold.held.weak);
            if strong.any(|hold| self.explains(&hold.held.part, part, now)) {
                return Some((part.clone(), None));
            }
            if !self.decides(now) {
                return None;
            }
            let best = most_suspected(&self.gather(Some(part), now)).filter(|best| !best.weak)?;
            self.explains(&best.part, part, now).then(|| (part.clone(), Some(best)))
        });
        explained.min_by(|(a, _), (b, _)| a.cmp(b))
    }

    /// Returns whether a part was there at all recent ends of another one that suffice to hold it back, and
    /// more endpoints ended under it.
    pub(super) fn explains(&self, part: &PartId, other: &PartId, now: Duration) -> bool {
        let is_at = |end: &EndpointEnd, part: &PartId| {
            end.suspects.iter().any(|suspect| suspect.parts.contains(part))
        };
        let mut ends = self.recent_ends(now).filter(|end| is_at(end, other));
        let known = self.part_ends(other, now);
        known as usize >= UNKNOWN_PART_ENDS
            && self.part_ends(part, now) > known
            && ends.all(|end| is_at(end, part))
    }

    /// Notes which parts that may be held back by chance have become certain.
    pub(super) fn confirm_held(&mut self, now: Duration) {
        if !self.decides(now) {
            return;
        }
        let weak = self.held.values().filter(|hold| hold.held.weak).map(|hold| &hold.held.part);
        let certain: Vec<PartId> = weak
            .filter(|part| {
                let evidence = self.gather(Some(part), now);
                evidence.get(part).is_some_and(|known| known.is_enough() && !known.is_weak())
            })
            .cloned()
            .collect();
        for part in certain {
            if let Some(hold) = self.held.get_mut(&part) {
                hold.held.weak = false;
                self.changes.push(PartChange::Held(hold.held.clone()));
            }
        }
    }
}
