//! What speaks against whole requests: the ends of endpoints under attempts of one.
//!
//! A request is known again by its digest, whatever ids its attempts have. It differs from a part of
//! prompts in that only one caller has it, so that holding it back costs nobody else:
//!
//! - It is held back at once, by each VM that knows of enough ends, and let go as soon as it turns out
//!   that it was answered since the first of them.
//! - A request that moved from one endpoint to the next beside the one at fault looks like it. As long
//!   as two look alike, neither is refused for good: one after the other is tried.
//! - Ends that a conclusive cause explains count against no request.

use std::time::Duration;

use super::evidence::{DOUBT_TERM, MIN_ENDS_RATIO, count_moments};
use super::{Cause, CauseChange, CauseEvidence, CrashLog, EndpointEnd, HeldCause, RequestContent};
use crate::ids::WorkspaceId;
use crate::map::{FastMap, FastSet};

/// The endpoints that must have ended under a request before it is held back, if it was never answered
/// and fewer endpoints ended under others. One attempt and its repeat suffice.
const LIKELY_REQUEST_ENDS: u32 = 2;
/// The endpoints that must have ended under any other request: one that comes often is at every busy
/// endpoint, and one that is repeated may lose two in a wave of ends.
const REQUEST_ENDS: u32 = 3;
/// The moments at which they must have ended if it was answered before: one that comes often is at all
/// endpoints of a rack.
const MIN_REQUEST_MOMENTS: usize = 2;
/// The endpoints that must have ended under a request that is refused for good.
const CONCLUSIVE_REQUEST_ENDS: u32 = 3;
/// The least time over which they must have ended, as endpoints that end together do so within less.
const CONCLUSIVE_REQUEST_SPAN: Duration = Duration::from_millis(500);
/// How long a new leader gathers what other VMs know before it refuses a request for good.
const LEADER_GATHER_TERM: Duration = Duration::from_secs(1);
/// How long a request is held back by a VM that hears of no leader, which could have it tried.
const UNLED_HOLD_TERM: Duration = Duration::from_secs(5);

/// Some of the remembered ends, a bit for each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct EndSet(u64);

impl EndSet {
    pub(super) fn insert(&mut self, index: usize) {
        self.0 |= 1 << index;
    }

    pub(super) fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether all of these ends are among the others.
    pub(super) fn is_within(self, others: EndSet) -> bool {
        self.0 & !others.0 == 0
    }

    fn contains(self, index: usize) -> bool {
        self.0 & (1 << index) != 0
    }
}

/// The ends under each request that no conclusive cause explains.
struct RequestEnds {
    requests: FastMap<Cause, (EndSet, WorkspaceId)>,
    /// All of these ends, also those under other requests.
    all: EndSet,
}

impl RequestEnds {
    /// Returns how many endpoints ended under other requests than one with these ends.
    fn others(&self, ends: EndSet) -> u32 {
        self.all.len().saturating_sub(ends.len())
    }
}

impl CrashLog {
    /// Holds back the requests that enough ends speak against, and lets those go whose ends another
    /// cause explains.
    pub(super) fn evaluate_requests(&mut self, now: Duration) {
        let mut known = self.request_ends_by_cause(now);
        // Each conclusive cause may explain the ends under others.
        while self.knows_enough(now)
            && let Some(held) = self.find_conclusive(&known, now)
        {
            let evidence = self.request_evidence(&held.cause, &known);
            self.changes.extend(evidence.map(CauseChange::Decided));
            self.hold(held, false, now);
            known = self.request_ends_by_cause(now);
        }
        let weak: Vec<HeldCause> = known
            .requests
            .iter()
            .filter(|(cause, (ends, _))| self.is_suspicious(cause, *ends, known.others(*ends)))
            .map(|(cause, (ends, workspace))| self.held_request(cause, *ends, workspace))
            .collect();
        let new = weak.iter().filter(|held| !self.held.contains_key(&held.cause));
        let evidence: Vec<CauseEvidence> =
            new.filter_map(|held| self.request_evidence(&held.cause, &known)).collect();
        self.changes.extend(evidence.into_iter().map(CauseChange::Decided));
        let cleared = self.cleared_requests(&known, now);
        for held in weak {
            self.hold(held, false, now);
        }
        for (cause, why) in cleared {
            self.release(&cause, why);
        }
        self.lapse_unled(now);
    }

    /// Lets the requests go that may be held back by chance, if for some time there was no leader that
    /// could have them tried.
    fn lapse_unled(&mut self, now: Duration) {
        let is_unled = self.last_told.is_none_or(|at| at + UNLED_HOLD_TERM <= now);
        if self.leads || !is_unled {
            return;
        }
        let weak = self.held.iter().filter(|(cause, hold)| cause.is_request() && hold.held.weak);
        let lapsed = weak.filter(|(_, hold)| hold.since + UNLED_HOLD_TERM <= now);
        let lapsed: Vec<Cause> = lapsed.map(|(cause, _)| cause.clone()).collect();
        for cause in lapsed {
            self.let_go.insert(cause.clone(), now);
            self.release(&cause, "no VM leads that could have it tried");
        }
    }

    /// Returns whether this VM has been told the ends that others saw: it leads, and has for some time.
    fn knows_enough(&self, now: Duration) -> bool {
        self.leads_since.is_some_and(|since| since + LEADER_GATHER_TERM <= now)
    }

    /// Returns whether enough endpoints ended under a request to hold it back, beside others.
    fn is_suspicious(&self, request: &Cause, ends: EndSet, others: u32) -> bool {
        if self.sound_at(request).is_none() {
            let is_likely = others < ends.len();
            return ends.len() >= if is_likely { LIKELY_REQUEST_ENDS } else { REQUEST_ENDS };
        }
        let times = || self.ends_in(ends).into_iter().map(|end| end.at).collect();
        ends.len() >= REQUEST_ENDS && count_moments(times()) >= MIN_REQUEST_MOMENTS
    }

    /// Returns the requests that were held back by evidence that does not suffice any more, and why.
    fn cleared_requests(&self, known: &RequestEnds, now: Duration) -> Vec<(Cause, &'static str)> {
        let weak = self.held.iter().filter(|(cause, hold)| {
            cause.is_request() && hold.held.weak && (self.leads || !hold.told)
        });
        let cleared = weak.filter_map(|(cause, hold)| {
            let why = match known.requests.get(cause) {
                None if self.is_explained(cause, hold.held.first, now) => {
                    "another cause explains the ends"
                }
                // A wave of ends has just begun when the first ones are known. Other VMs may not have told
                // all of its suspects yet.
                Some((ends, _))
                    if hold.held.trials == 0
                        && hold.since + DOUBT_TERM <= now
                        && !self.is_suspicious(cause, *ends, known.others(*ends)) =>
                {
                    "more endpoints ended under other requests"
                }
                _ => return None,
            };
            Some((cause.clone(), why))
        });
        cleared.collect()
    }

    /// Returns the ends under each request since it was last answered.
    fn request_ends_by_cause(&self, now: Duration) -> RequestEnds {
        let mut requests: FastMap<&Cause, (EndSet, &WorkspaceId)> = FastMap::default();
        let mut all = EndSet::default();
        let explains = self.held.values().any(|hold| !hold.held.weak);
        for (index, end) in self.indexed_ends(now) {
            let suspects = || end.suspects.iter().flat_map(|suspect| &suspect.causes);
            let conclusive: Vec<&Cause> =
                suspects().filter(|cause| explains && self.is_conclusive(cause)).collect();
            if conclusive.is_empty() {
                all.insert(index);
            }
            for suspect in &end.suspects {
                let cause = suspect.request_cause();
                if conclusive.is_empty() || conclusive.contains(&cause) {
                    let (ends, _) =
                        requests.entry(cause).or_insert((EndSet::default(), &suspect.workspace));
                    ends.insert(index);
                }
            }
        }
        requests.retain(|_, (ends, _)| ends.len() >= LIKELY_REQUEST_ENDS);
        for (cause, (ends, _)) in &mut requests {
            if let Some(at) = self.cleared_until(cause) {
                *ends = self.ends_since(*ends, at);
            }
        }
        requests.retain(|_, (ends, _)| ends.len() >= LIKELY_REQUEST_ENDS);
        let owned = |(cause, (ends, workspace)): (&Cause, (EndSet, &WorkspaceId))| {
            (cause.clone(), (ends, workspace.clone()))
        };
        RequestEnds { requests: requests.into_iter().map(owned).collect(), all }
    }

    /// Finds a request that is certain to have ended endpoints and not known to be.
    fn find_conclusive(&self, known: &RequestEnds, now: Duration) -> Option<HeldCause> {
        let certain = known.requests.iter().filter(|(cause, (ends, _))| {
            let (first, last) = self.span_of(*ends);
            let is_alone = || {
                let mut others = known.requests.iter().filter(|(other, _)| other != cause);
                !others.any(|(_, (theirs, _))| ends.is_within(*theirs))
            };
            let trial_ended = self.held.get(cause).is_some_and(|hold| hold.trial_ended);
            let ratio = if trial_ended { 1 } else { MIN_ENDS_RATIO as u32 };
            self.is_asked(cause, now)
                && ends.len() >= CONCLUSIVE_REQUEST_ENDS
                && ends.len() >= known.others(*ends) * ratio
                && last >= first + CONCLUSIVE_REQUEST_SPAN
                && is_alone()
                && !self.has_rival_part(cause, *ends)
        });
        let (cause, (ends, workspace)) = certain.min_by_key(|(cause, _)| *cause)?;
        Some(HeldCause { weak: false, ..self.held_request(cause, *ends, workspace) })
    }

    /// Returns whether a request that may be held back by chance has been for so long that VMs which saw it
    /// answered would have said so.
    fn is_asked(&self, request: &Cause, now: Duration) -> bool {
        let hold = self.held.get(request).filter(|hold| hold.held.weak);
        hold.is_some_and(|hold| hold.since + DOUBT_TERM <= now)
    }

    /// Returns whether a part that is not the request's own was at all of these ends, and no request with it
    /// was answered since.
    fn has_rival_part(&self, request: &Cause, ends: EndSet) -> bool {
        let under = self.ends_in(ends);
        let Some((first, later)) = under.split_first() else { return false };
        let suspects = under.iter().flat_map(|end| &end.suspects);
        let own = suspects.filter(|suspect| suspect.request_cause() == request);
        let own: FastSet<&Cause> = own.flat_map(RequestContent::part_causes).collect();
        let mut parts = first.suspects.iter().flat_map(RequestContent::part_causes);
        parts.any(|part| {
            !own.contains(part)
                && self.sound_at(part).is_none_or(|at| at <= first.at)
                && later.iter().all(|end| end.is_under(part))
        })
    }

    fn held_request(&self, cause: &Cause, ends: EndSet, workspace: &WorkspaceId) -> HeldCause {
        let (first, last) = self.span_of(ends);
        HeldCause {
            cause: cause.clone(),
            workspace: (!workspace.is_empty()).then(|| workspace.clone()),
            first,
            last,
            ends: ends.len(),
            trials: 0,
            weak: !self.is_conclusive(cause),
        }
    }

    /// Returns the sets of ends under the requests that are certain to have ended endpoints.
    pub(super) fn conclusive_requests(&self, now: Duration) -> Vec<EndSet> {
        let is_certain = |cause: &Cause| cause.is_request() && self.is_conclusive(cause);
        let mut sets: FastMap<&Cause, EndSet> = FastMap::default();
        if self.held.keys().any(is_certain) {
            for (index, end) in self.indexed_ends(now) {
                let causes = end.suspects.iter().map(RequestContent::request_cause);
                for cause in causes.filter(|cause| is_certain(cause)) {
                    sets.entry(cause).or_default().insert(index);
                }
            }
        }
        sets.into_values().collect()
    }

    /// Returns whether a cause is held back by evidence that rules out chance.
    pub(super) fn is_conclusive(&self, cause: &Cause) -> bool {
        self.held.get(cause).is_some_and(|hold| !hold.held.weak)
    }

    /// Returns whether an end under a request since a time has a conclusive cause among its suspects.
    fn is_explained(&self, request: &Cause, since: Duration, now: Duration) -> bool {
        let mut ends = self.recent_ends(now).filter(|end| end.at >= since && end.is_under(request));
        ends.any(|end| {
            let mut causes = end.suspects.iter().flat_map(|suspect| &suspect.causes);
            causes.any(|cause| cause != request && self.is_conclusive(cause))
        })
    }

    /// Returns what speaks against a request.
    fn request_evidence(&self, cause: &Cause, known: &RequestEnds) -> Option<CauseEvidence> {
        let (ends, _) = known.requests.get(cause)?;
        let under = self.ends_in(*ends);
        let attempts = under.iter().flat_map(|end| {
            let own = end.suspects.iter().filter(|suspect| suspect.request_cause() == cause);
            own.map(|suspect| suspect.request)
        });
        let attempts: FastSet<u64> = attempts.collect();
        Some(CauseEvidence {
            cause: cause.clone(),
            requests: attempts.len(),
            others: known.others(*ends) as usize,
            sound_at: self.sound_at(cause),
            ends: under
                .iter()
                .map(|end| (end.instance.clone(), end.at, end.suspects.len()))
                .collect(),
        })
    }

    fn ends_in(&self, ends: EndSet) -> Vec<&EndpointEnd> {
        let indices = (0..self.ends.len()).filter(|index| ends.contains(*index));
        indices.map(|index| &self.ends[index].1).collect()
    }

    /// Returns the first and the last time of some ends.
    fn span_of(&self, ends: EndSet) -> (Duration, Duration) {
        let times = || self.ends_in(ends).into_iter().map(|end| end.at);
        (times().min().unwrap_or_default(), times().max().unwrap_or_default())
    }

    /// Returns those of some ends that were later than a time.
    fn ends_since(&self, ends: EndSet, time: Duration) -> EndSet {
        let mut later = EndSet::default();
        let indices = (0..self.ends.len())
            .filter(|index| ends.contains(*index) && self.ends[*index].1.at > time);
        indices.for_each(|index| later.insert(index));
        later
    }
}
