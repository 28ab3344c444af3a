//! What speaks against a part: the ends of endpoints under requests with it.

use std::time::Duration;

use super::requests::EndSet;
use super::{Cause, CauseChange, CrashLog, EVIDENCE_TERM, EndpointEnd, HeldCause};
use crate::ids::WorkspaceId;
use crate::map::{FastMap, FastSet};
use crate::request::availability::EndpointInstance;
use crate::request::digest::RequestDigest;

/// The endpoints that must have ended under a part that no request was ever answered with, if few
/// ended under other requests.
pub(super) const UNKNOWN_PART_ENDS: usize = 3;
/// How many endpoints must have ended under such a part for each one that ended under others.
pub(super) const MIN_ENDS_RATIO: usize = 3;
/// The requests with such a part that they must have ended under.
pub(super) const UNKNOWN_PART_REQUESTS: usize = 2;
/// The longest time between ends that count as one moment; VMs notice the loss of a rack within it.
pub(super) const MOMENT: Duration = Duration::from_millis(100);
/// The moments at which endpoints must have ended under a part.
pub(super) const MIN_MOMENTS: usize = 3;
/// The moments that suffice for a hold without a soon trial, however near to each other they are.
pub(super) const CONCLUSIVE_MOMENTS: usize = 5;
/// The least time over which endpoints must have ended under a part that no request was ever answered
/// with: requests with a sound part that were sent meanwhile begin to be answered, and go on for
/// [`SOUND_STREAM_TIME`].
pub(super) const UNKNOWN_PART_SPAN: Duration = Duration::from_millis(600);
/// How long a part is in doubt before it is held back, so that VMs that saw it answered can say so: two
/// reports of a relay and its members.
pub(super) const DOUBT_TERM: Duration = Duration::from_millis(300);
/// The most parts in doubt at a time; those with the most ends.
pub(super) const MAX_DOUBTS: usize = 32;
/// The endpoints that must have ended under any other part.
pub(super) const KNOWN_PART_ENDS: usize = 5;
/// The requests with such a part that they must have ended under.
pub(super) const KNOWN_PART_REQUESTS: usize = 3;
/// The least time over which they must have ended; requests with a part in use are answered within this
/// time.
pub(super) const KNOWN_PART_SPAN: Duration = Duration::from_secs(1);

/// Why a VM has decided to hold a cause back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CauseEvidence {
    /// The part or request.
    pub cause: Cause,
    /// The ends that count: the endpoint, when it ended, and the number of suspects.
    pub ends: Vec<(EndpointInstance, Duration, usize)>,
    /// The number of different requests with the part among the suspects.
    pub requests: usize,
    /// The number of endpoints that ended under other requests.
    pub others: usize,
    /// When a request with the part last began to be answered, as far as is known.
    pub sound_at: Option<Duration>,
}

/// A part under which endpoints have ended, of which too little is known.
#[derive(Debug, Clone)]
pub(super) struct Doubt {
    /// When the first endpoint ended that counts against it.
    pub(super) first: Duration,
    /// When this VM began to doubt it.
    pub(super) since: Duration,
}

/// What counts against one part.
#[derive(Debug, Default)]
pub(super) struct Evidence<'a> {
    pub(super) ends: usize,
    pub(super) requests: FastSet<RequestDigest>,
    pub(super) workspaces: FastSet<&'a WorkspaceId>,
    pub(super) first: Duration,
    pub(super) last: Duration,
    pub(super) set: EndSet,
    /// When the endpoints ended.
    pub(super) times: Vec<Duration>,
    /// The endpoints that ended under other requests.
    pub(super) others: usize,
    /// The place of the part in the prompts, from the front.
    pub(super) place: usize,
    /// When a request with the part last began to be answered.
    pub(super) sound_at: Option<Duration>,
}

impl Evidence<'_> {
    /// Returns whether the evidence suffices to hold the part back.
    pub(super) fn is_enough(&self) -> bool {
        let (requests, span) = (self.requests.len(), self.last.saturating_sub(self.first));
        if self.moments() < MIN_MOMENTS {
            return false;
        }
        let is_strong = self.ends >= KNOWN_PART_ENDS
            && requests >= KNOWN_PART_REQUESTS
            && span >= KNOWN_PART_SPAN;
        let is_new = self.sound_at.is_none() && self.stands_out();
        let is_enough = self.ends >= UNKNOWN_PART_ENDS
            && requests >= UNKNOWN_PART_REQUESTS
            && span >= UNKNOWN_PART_SPAN;
        is_strong || (is_new && is_enough)
    }

    /// Returns whether few endpoints ended under other requests.
    pub(super) fn stands_out(&self) -> bool {
        self.ends >= self.others * MIN_ENDS_RATIO
    }

    /// Returns whether the part may have been there by chance.
    pub(super) fn is_weak(&self) -> bool {
        let is_short = self.last < self.first + KNOWN_PART_SPAN;
        !self.stands_out() || (is_short && self.moments() < CONCLUSIVE_MOMENTS)
    }

    /// Returns the number of moments at which the endpoints ended.
    fn moments(&self) -> usize {
        count_moments(self.times.clone())
    }

    pub(super) fn held_cause(&self, part: &Cause) -> HeldCause {
        let mut workspaces = self.workspaces.iter();
        let only = workspaces.next().filter(|_| workspaces.next().is_none());
        // A request on a public route belongs to no workspace.
        let only = only.filter(|only| !only.is_empty());
        HeldCause {
            cause: part.clone(),
            workspace: only.map(|workspace| WorkspaceId::clone(workspace)),
            first: self.first,
            last: self.last,
            ends: self.ends as u32,
            trials: 0,
            weak: self.is_weak(),
        }
    }
}

/// Returns the number of moments at which endpoints ended.
pub(super) fn count_moments(mut times: Vec<Duration>) -> usize {
    times.sort_unstable();
    let mut began = None;
    let starts = times.into_iter().filter(|at| {
        let is_later = began.is_none_or(|began| began + MOMENT < *at);
        if is_later {
            began = Some(*at);
        }
        is_later
    });
    starts.count()
}

/// Returns the part that most ends speak against, if they are enough to hold it back.
pub(super) fn most_suspected(evidence: &FastMap<&Cause, Evidence<'_>>) -> Option<HeldCause> {
    let enough = evidence.iter().filter(|(_, evidence)| evidence.is_enough());
    let best = enough.max_by_key(|(part, evidence)| {
        (evidence.sound_at.is_none(), evidence.ends, evidence.place, Cause::clone(part))
    });
    best.map(|(part, evidence)| evidence.held_cause(part))
}

impl CrashLog {
    /// Returns the parts in doubt, and when the first endpoint ended that counts against each.
    pub fn doubts(&self) -> Vec<(Cause, Duration)> {
        let own = self.doubts.iter().map(|(part, doubt)| (part.clone(), doubt.first));
        let told = self.told_doubts.iter().filter(|(part, _)| !self.doubts.contains_key(*part));
        own.chain(told.map(|(part, first)| (part.clone(), *first))).collect()
    }

    /// Takes in which parts the VM that this one reports to finds in doubt, and when the first
    /// endpoint ended that counts against each.
    pub fn on_told_doubts(&mut self, told: Vec<(Cause, Duration)>) {
        if self.leads {
            return;
        }
        let has_news = told.iter().any(|(part, first)| {
            // Times that other VMs tell vary by the time that messages take.
            let is_new = self.told_doubts.get(part).is_none_or(|known| *known + MOMENT < *first);
            is_new && self.sound_at(part).is_some_and(|at| *first < at)
        });
        self.has_news |= has_news;
        self.told_doubts = told.into_iter().take(MAX_DOUBTS).collect();
    }

    /// Holds back the parts that enough evidence speaks against, one after another, as each may
    /// explain the ends that speak against others.
    pub(super) fn evaluate(&mut self, now: Duration) {
        while let Some(held) = self.find_widened(now) {
            self.hold(held, false, now);
        }
        self.evaluate_requests(now);
        self.update_doubts(now);
        while let Some(held) = self.find_part(now) {
            let evidence = self.evidence_against(&held.cause, now);
            self.changes.extend(evidence.map(CauseChange::Decided));
            self.hold(held, false, now);
            self.update_doubts(now);
        }
        self.confirm_held(now);
        self.release_explained(now);
        let held = self.held.keys().filter(|cause| !cause.is_request());
        let held: Vec<Cause> = held.cloned().collect();
        for part in held {
            let ends = self.part_ends(&part, now);
            if let Some(hold) = self.held.get_mut(&part) {
                hold.held.ends = hold.held.ends.max(ends);
            }
        }
    }

    /// Returns how many endpoints ended under a part since a request with it was last answered.
    pub(super) fn part_ends(&self, part: &Cause, now: Duration) -> u32 {
        let sound_at = self.cleared_until(part);
        let ends = self
            .recent_ends(now)
            .filter(|end| sound_at.is_none_or(|at| at < end.at) && end.is_under(part));
        ends.count() as u32
    }

    /// Returns the recent ends with their places among all that are remembered.
    pub(super) fn indexed_ends(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (usize, &EndpointEnd)> {
        let ends = self.ends.iter().map(|(_, end)| end).enumerate();
        ends.filter(move |(_, end)| now < end.at + EVIDENCE_TERM)
    }

    /// Returns the ends that are recent enough to count.
    pub(super) fn recent_ends(&self, now: Duration) -> impl Iterator<Item = &EndpointEnd> {
        self.indexed_ends(now).map(|(_, end)| end)
    }

    /// Finds the part that most ends speak against, if they are enough and this VM decides.
    pub(super) fn find_part(&self, now: Duration) -> Option<HeldCause> {
        if !self.decides(now) {
            return None;
        }
        let is_asked = |part: &Cause| {
            self.doubts.get(part).is_some_and(|doubt| doubt.since + DOUBT_TERM <= now)
        };
        let mut latest = self.gather(None, now);
        latest.retain(|part, known| is_asked(part) && known.stands_out());
        most_suspected(&latest).or_else(|| {
            let mut settled = self.gather_before(None, now.saturating_sub(DOUBT_TERM), now);
            settled.retain(|part, _| is_asked(part));
            most_suspected(&settled)
        })
    }

    /// Updates which parts are in doubt: those under which nearly enough endpoints have ended.
    pub(super) fn update_doubts(&mut self, now: Duration) {
        let evidence = self.gather(None, now);
        let suspected = evidence.iter().filter(|(_, known)| known.ends + 1 >= UNKNOWN_PART_ENDS);
        let mut suspected: Vec<(Cause, usize, Duration)> =
            suspected.map(|(part, known)| (Cause::clone(part), known.ends, known.first)).collect();
        suspected.sort_by(|a, b| (b.1, &b.0).cmp(&(a.1, &a.0)));
        suspected.truncate(MAX_DOUBTS);
        let former = std::mem::take(&mut self.doubts);
        for (part, ends, first) in suspected {
            let since = former.get(&part).map(|doubt| doubt.since);
            if since.is_none() {
                self.changes.push(CauseChange::Suspected(part.clone(), ends));
            }
            self.doubts.insert(part, Doubt { first, since: since.unwrap_or(now) });
        }
    }

    /// Returns what speaks against a part that is not held back yet.
    pub(super) fn evidence_against(&self, part: &Cause, now: Duration) -> Option<CauseEvidence> {
        let evidence = self.gather(None, now);
        let known = evidence.get(part)?;
        let ends = self
            .recent_ends(now)
            .filter(|end| known.sound_at.is_none_or(|at| at < end.at) && end.is_under(part));
        let ends = ends.map(|end| (end.instance.clone(), end.at, end.suspects.len()));
        Some(CauseEvidence {
            cause: part.clone(),
            ends: ends.collect(),
            requests: known.requests.len(),
            others: known.others,
            sound_at: known.sound_at,
        })
    }

    /// Gathers what speaks against each part, as if `open` were not held back.
    pub(super) fn gather(
        &self,
        open: Option<&Cause>,
        now: Duration,
    ) -> FastMap<&Cause, Evidence<'_>> {
        self.gather_before(open, now, now)
    }

    /// Gathers the same of the ends until a time.
    pub(super) fn gather_before(
        &self,
        open: Option<&Cause>,
        until: Duration,
        now: Duration,
    ) -> FastMap<&Cause, Evidence<'_>> {
        let mut evidence: FastMap<&Cause, Evidence<'_>> = FastMap::default();
        let mut unexplained = 0;
        let holds_parts = self.held.keys().any(|cause| !cause.is_request());
        for (index, end) in self.indexed_ends(now).filter(|(_, end)| end.at <= until) {
            let is_explained = end.suspects.iter().any(|suspect| {
                let mut held = self.held_of(suspect).filter(|held| !held.cause.is_request());
                held.any(|held| Some(&held.cause) != open)
            });
            if is_explained {
                continue;
            }
            unexplained += 1;
            // Other VMs may not have told the suspect yet that explains this end.
            let may_be_explained = end.at + DOUBT_TERM > now;
            let mut counted: FastSet<&Cause> = FastSet::default();
            for suspect in &end.suspects {
                for (place, part) in suspect.part_causes().enumerate() {
                    let known = evidence.entry(part).or_insert_with(|| Evidence {
                        first: Duration::MAX,
                        sound_at: self.cleared_until(part),
                        ..Evidence::default()
                    });
                    let is_known = known.sound_at.is_some() || holds_parts;
                    let is_sound = known.sound_at.is_some_and(|at| at >= end.at);
                    if is_sound || (is_known && may_be_explained) {
                        continue;
                    }
                    if counted.insert(part) {
                        known.ends += 1;
                        known.set.insert(index);
                        known.times.push(end.at);
                    }
                    known.requests.insert(suspect.digest);
                    known.workspaces.insert(&suspect.workspace);
                    known.first = known.first.min(end.at);
                    known.last = known.last.max(end.at);
                    known.place = known.place.max(place);
                }
            }
        }
        // A request is more specific than its parts, and blamed before them.
        let conclusive = self.conclusive_requests(now);
        evidence.retain(|_, known| !conclusive.iter().any(|ends| known.set.is_within(*ends)));
        for known in evidence.values_mut() {
            known.others = unexplained - known.ends;
        }
        evidence
    }
}
