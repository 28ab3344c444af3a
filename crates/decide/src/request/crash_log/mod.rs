//! Who is blamed for an endpoint's end, and who is cleared.
//!
//! Blamed is what was at several endpoints that ended before they had answered it, a whole request or a
//! part of prompts; whatever was answered since is cleared, and so is what only was there when another
//! cause explains the ends.
//!
//! When an endpoint's process ends, the requests that it had not yet been seen to answer are the
//! suspects: one of them may have ended it. For a part:
//!
//! - An endpoint counts once, whatever number of VMs saw it end. Attempts of one request do not suffice by
//!   themselves; then the request is to blame.
//! - Ends at the same moment are one piece of evidence: a part that most requests share is among the
//!   suspects of every endpoint, so the loss of a rack says nothing about it. The ends must be spread
//!   over so long that a sound part would have been answered in between by endpoints that did not end.
//! - A part in doubt is told to all VMs, and those that saw it answered say so before it is held back.
//!   A VM that reports to another one leaves the decision to it.
//! - An endpoint whose end is explained by a part that is held back already, or that more endpoints
//!   ended under, does not count against the other parts of the same requests. Nor do ends that are all
//!   under one request that is certain to be at fault.
//! - A part that may be held back by chance is let go once more endpoints have ended under another one,
//!   among them all that had ended under the first.
//! - A request with the part that some endpoint went on answering clears all earlier evidence. A part
//!   that was answered some time ago needs more evidence than one that never was. So does any part
//!   while endpoints also end under other requests: a rare part may have been there by chance.
//! - A part is held back only for the workspace whose requests ended all these endpoints, until a
//!   request of another one has ended one, too.
//!
//! What differs for a whole request is in [`requests`].
//!
//! The leader tells the other VMs what is held back and which parts are in doubt. A VM that it does
//! not reach decides by what it has seen itself.
//!
//! After some time, one attempt is tried, wherever it comes: a VM that has such a request asks for the
//! trial with its next report, and the leader allows it to the first that asks.

mod cause;
mod evidence;
mod holds;
mod requests;
mod sound;
mod trials;

use std::time::Duration;

use crate::ids::WorkspaceId;
use crate::map::FastMap;
use crate::request::availability::EndpointInstance;

use self::evidence::{Doubt, MOMENT};
use self::holds::{HOLD_TERM, Hold, UNCONFIRMED_TERM};
use self::sound::{Answered, SOUND_MEMORY};
use self::trials::TrialAsk;

pub use self::cause::{Cause, RequestContent};
pub use self::evidence::CauseEvidence;
pub use self::holds::HeldCause;
pub use self::trials::TRIAL_TERM;

/// How long an endpoint's end is remembered as evidence.
pub const EVIDENCE_TERM: Duration = Duration::from_secs(60);
/// How long after its first event a stream counts as answered: an endpoint that crashes on a request
/// does so when it begins to answer.
pub const SOUND_STREAM_TIME: Duration = Duration::from_millis(300);
/// How often entries are looked for that are older than that.
const SOUND_PRUNE_INTERVAL: Duration = Duration::from_secs(30);
/// The endpoints that a request may end before it is sent no more, not counting those that ended at the
/// same moment as others that did not have it.
const MAX_REQUEST_ENDS: usize = 2;
/// The same, counting all.
const MAX_SHARED_ENDS: usize = 3;
/// The most endpoints whose end is remembered.
const MAX_ENDS: usize = 64;
/// The most suspects of one endpoint's end that are remembered.
const MAX_SUSPECTS: usize = 256;
/// The most of them that are remembered of one workspace.
const MAX_WORKSPACE_SUSPECTS: usize = 128;

/// The end of an endpoint's process, as one or more VMs saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEnd {
    /// The process instance.
    pub instance: EndpointInstance,
    /// When a VM first saw it end.
    pub at: Duration,
    /// The suspects: the requests that the endpoint had not been seen to answer.
    pub suspects: Vec<RequestContent>,
    /// When requests with causes of the suspects last began to be answered, as far as is known.
    pub sound: Vec<(Cause, Duration)>,
}

impl EndpointEnd {
    /// Returns whether a cause was among the suspects.
    fn is_under(&self, cause: &Cause) -> bool {
        self.suspects.iter().any(|suspect| suspect.causes.contains(cause))
    }
}

/// Whether a request may be sent to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendCheck {
    /// Nothing speaks against it.
    Open,
    /// It may be sent once, to learn whether it or a part of its prompt is sound again.
    Trial,
    /// It or a part of its prompt is held back.
    Held(HeldCause),
    /// The request itself has ended this number of endpoints.
    EndedEndpoints(usize),
}

/// A change at what is held back, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CauseChange {
    /// The part was a suspect when this number of endpoints ended, and needs more evidence.
    Suspected(Cause, usize),
    /// This VM has found the evidence against a cause sufficient.
    Decided(CauseEvidence),
    /// The cause is held back from now on, for all workspaces instead of one, or for certain.
    Held(HeldCause),
    /// The cause is no longer held back, for this reason.
    Released(HeldCause, &'static str),
}

/// The ends of endpoints, and what is held back because of them, as one VM knows it.
#[derive(Debug, Default)]
pub struct CrashLog {
    ends: Vec<(u64, EndpointEnd)>,
    last_number: u64,
    /// When requests with a cause last began to be answered, as this VM saw it, for each workspace.
    sound: FastMap<WorkspaceId, Answered>,
    /// The same, as other VMs told it, for causes of suspects.
    told_sound: FastMap<Cause, Duration>,
    /// When this VM let a cause go because the one that it reports to had: earlier ends do not count, but
    /// no other VM must take it for answered.
    let_go: FastMap<Cause, Duration>,
    /// When the two were last searched for entries that are too old.
    sound_pruned: Duration,
    held: FastMap<Cause, Hold>,
    /// The parts that this VM finds in doubt.
    doubts: FastMap<Cause, Doubt>,
    /// The same of the VM that this one reports to: when the first endpoint ended that counts.
    told_doubts: FastMap<Cause, Duration>,
    /// When that VM last told something.
    last_told: Option<Duration>,
    /// Whether there is something to report that the VM above waits for.
    has_news: bool,
    /// The trials that this VM and those that report to it have asked for, oldest first.
    asks: Vec<TrialAsk>,
    /// Until when this VM may try one request with a cause.
    allowed: FastMap<Cause, Duration>,
    /// The request that was last tried, and until when its outcome is waited for; only at the leader.
    open_trial: Option<(Cause, Duration)>,
    changes: Vec<CauseChange>,
    leads: bool,
    /// Since when it does, as far as it has been noticed.
    leads_since: Option<Duration>,
}

impl CrashLog {
    /// Returns whether a request may be sent, for the first time or again.
    ///
    /// ```
    /// use bamboocourse_decide::{CrashLog, RequestContent, RequestDigest, SendCheck};
    /// let log = CrashLog::default();
    /// let digest = RequestDigest::new("w", "POST", &["h", "/path"], b"body");
    /// let request = RequestContent::new(1, "w".into(), vec!["p".into()], digest);
    /// assert_eq!(log.check(&request), SendCheck::Open);
    /// ```
    pub fn check(&self, request: &RequestContent) -> SendCheck {
        let ends = self.request_ends(request.request);
        if ends >= MAX_SHARED_ENDS || self.own_ends(request.request) >= MAX_REQUEST_ENDS {
            return SendCheck::EndedEndpoints(ends);
        }
        if self.held.is_empty() {
            return SendCheck::Open;
        }
        let is_for = |held: &HeldCause| {
            held.workspace.as_ref().is_none_or(|only| *only == request.workspace)
        };
        let held = self.held_of(request).find(|held| is_for(held));
        held.map_or(SendCheck::Open, |held| SendCheck::Held(held.clone()))
    }

    /// Returns whether a new request may be sent, and takes the trial if it may be one.
    pub fn admit(&mut self, request: &RequestContent, now: Duration) -> SendCheck {
        let check = self.check(request);
        let SendCheck::Held(held) = &check else { return check };
        let cause = &held.cause;
        let is_allowed =
            |log: &mut Self| log.allowed.remove(cause).is_some_and(|until| now < until);
        let is_new = self.request_ends(request.request) == 0;
        if is_new && (self.take_trial(cause, now) || is_allowed(self)) {
            return SendCheck::Trial;
        }
        check
    }

    /// Returns how many endpoints ended while they had this request and had not answered it.
    pub fn request_ends(&self, request: u64) -> usize {
        let is_suspect =
            |end: &EndpointEnd| end.suspects.iter().any(|suspect| suspect.request == request);
        self.ends.iter().filter(|(_, end)| is_suspect(end)).count()
    }

    /// Returns how many of them ended while no other endpoint did that had no such request: in the loss of a
    /// domain, a request may lose one endpoint after the other.
    fn own_ends(&self, request: u64) -> usize {
        let is_suspect =
            |end: &EndpointEnd| end.suspects.iter().any(|suspect| suspect.request == request);
        let (with, without): (Vec<_>, Vec<_>) =
            self.ends.iter().map(|(_, end)| end).partition(|end| is_suspect(end));
        let is_shared =
            |end: &EndpointEnd| without.iter().any(|other| other.at.abs_diff(end.at) <= MOMENT);
        with.iter().filter(|end| !is_shared(end)).count()
    }

    /// Returns whether it is known that an instance has ended.
    pub fn has_ended(&self, instance: &EndpointInstance) -> bool {
        self.ends.iter().any(|(_, end)| end.instance == *instance)
    }

    /// Records that an endpoint ended, as this VM saw it or another one told it; returns whether that
    /// is new.
    pub fn on_end(&mut self, mut end: EndpointEnd, now: Duration) -> bool {
        if end.at + EVIDENCE_TERM <= now {
            return false;
        }
        for (cause, at) in end.sound.drain(..) {
            self.note_told_sound(cause, at.min(now));
        }
        let known = self.ends.iter().position(|(_, known)| known.instance == end.instance);
        let index = known.unwrap_or_else(|| {
            self.ends.push((0, EndpointEnd { suspects: Vec::new(), ..end.clone() }));
            self.ends.len() - 1
        });
        let (number, merged) = &mut self.ends[index];
        let mut is_new = known.is_none();
        merged.at = merged.at.min(end.at);
        for suspect in end.suspects {
            let own = merged.suspects.iter().filter(|other| other.workspace == suspect.workspace);
            let is_known = merged.suspects.iter().any(|other| other.request == suspect.request);
            let has_room = merged.suspects.len() < MAX_SUSPECTS;
            if !is_known && has_room && own.count() < MAX_WORKSPACE_SUSPECTS {
                merged.suspects.push(suspect);
                is_new = true;
            }
        }
        if is_new {
            self.last_number += 1;
            *number = self.last_number;
        }
        if let Some((cause, _)) =
            self.open_trial.take_if(|(cause, _)| self.ends[index].1.is_under(cause))
            && let Some(hold) = self.held.get_mut(&cause)
        {
            hold.trial_ended = true;
        }
        if self.ends.len() > MAX_ENDS {
            // The oldest one stays, as it tells for how long endpoints have been ending.
            let mut oldest: Vec<usize> = (0..self.ends.len()).collect();
            oldest.sort_by_key(|index| self.ends[*index].1.at);
            self.ends.remove(oldest[1]);
        }
        self.evaluate(now);
        is_new
    }

    /// Returns whether this VM decides by itself which parts are held back.
    fn decides(&self, now: Duration) -> bool {
        self.leads || self.last_told.is_none_or(|at| at + UNCONFIRMED_TERM <= now)
    }

    /// Returns whether this VM leads.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Sets whether this VM leads, and so decides about trials.
    pub fn set_leads(&mut self, leads: bool) {
        self.leads = leads;
    }

    /// Returns the ends that were recorded or changed after a number, and the last number.
    ///
    /// Each says of the parts of its suspects when requests with them were last answered.
    pub fn ends_after(&self, number: u64) -> (Vec<EndpointEnd>, u64) {
        let later = self.ends.iter().filter(|(at, _)| *at > number);
        let later = later.map(|(_, end)| EndpointEnd {
            sound: self.known_sound(end.suspects.iter().flat_map(|suspect| &suspect.causes)),
            ..end.clone()
        });
        (later.collect(), self.last_number)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CauseChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what is too old.
    pub fn prune(&mut self, now: Duration) {
        self.ends.retain(|(_, end)| now < end.at + EVIDENCE_TERM);
        self.leads_since = self.leads.then(|| self.leads_since.unwrap_or(now));
        self.let_go.retain(|_, at| now < *at + EVIDENCE_TERM);
        if now >= self.sound_pruned + SOUND_PRUNE_INTERVAL {
            self.sound_pruned = now;
            for known in self.sound.values_mut() {
                known.forget_until(now.saturating_sub(SOUND_MEMORY));
            }
            self.sound.retain(|_, known| known.len() > 0);
            self.told_sound.retain(|_, at| now < *at + SOUND_MEMORY);
        }
        let expired = self.held.iter().filter(|(_, hold)| hold.held.last + HOLD_TERM <= now);
        let expired: Vec<Cause> = expired.map(|(cause, _)| cause.clone()).collect();
        for cause in expired {
            self.release(&cause, "its time is over");
        }
        if self.ends.is_empty() {
            self.doubts.clear();
        }
        // Time alone may decide: VMs that know nothing say nothing.
        if !self.doubts.is_empty() || self.weak_parts().next().is_some() {
            self.evaluate(now);
        } else if self.held.values().any(|hold| hold.held.weak) {
            self.evaluate_requests(now);
        }
        self.drop_old_asks(now);
        self.allowed.retain(|_, until| now < *until);
    }

    /// Returns how many ends, parts of answered requests and held parts are remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let sound = self.sound.values().map(Answered::len).sum::<usize>() + self.told_sound.len();
        (self.ends.len(), sound, self.held.len())
    }
}
