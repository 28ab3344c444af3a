//! Which parts of prompts crash the endpoints that begin to answer requests with them.
//!
//! When an endpoint's process ends, the requests that it had not yet been seen to answer are the
//! suspects: one of them may have ended it. A part of a prompt is held back once it was among the
//! suspects of several endpoints that ended, and no request with it has been answered since. What
//! counts for a part, and what against:
//!
//! - An endpoint counts once, whatever number of VMs saw it end. A request that was sent on from one
//!   endpoint to the next does not suffice by itself.
//! - Ends at the same moment are one piece of evidence: a part that most requests share is among the
//!   suspects of every endpoint, so the loss of a rack says nothing about it. The ends must be spread
//!   over so long that a sound part would have been answered in between by endpoints that did not end.
//! - A part in doubt is told to all VMs, and those that saw it answered say so before it is held back.
//!   A VM that reports to another one leaves the decision to it.
//! - An endpoint whose end is explained by a part that is held back already, or that more endpoints
//!   ended under, does not count against the other parts of the same requests.
//! - A part that may be held back by chance is let go once more endpoints have ended under another one,
//!   among them all that had ended under the first.
//! - A request with the part that some endpoint went on answering clears all earlier evidence. A part
//!   that was answered some time ago needs more evidence than one that never was. So does any part
//!   while endpoints also end under other requests: a rare part may have been there by chance.
//! - A part is held back only for the workspace whose requests ended all these endpoints, until a
//!   request of another one has ended one, too.
//!
//! The leader tells the other VMs which parts are held back and which are in doubt. A VM that it does
//! not reach decides by what it has seen itself.
//!
//! After some time, one request is tried with a part, wherever it comes: a VM that has such a request
//! asks for the trial with its next report, and the leader allows it to the first that asks.

use std::time::Duration;

use crate::ids::{PartId, VmId, WorkspaceId};
use crate::map::{FastMap, FastSet};
use crate::request::availability::EndpointInstance;
use crate::request::digest::RequestDigest;

/// How long an endpoint's end is remembered as evidence.
pub const EVIDENCE_TERM: Duration = Duration::from_secs(60);
/// How long after its first event a stream counts as answered: an endpoint that crashes on a request
/// does so when it begins to answer.
pub const SOUND_STREAM_TIME: Duration = Duration::from_millis(300);
/// The endpoints that must have ended under a part that no request was ever answered with, if few
/// ended under other requests.
const UNKNOWN_PART_ENDS: usize = 3;
/// How many endpoints must have ended under such a part for each one that ended under others.
const MIN_ENDS_RATIO: usize = 3;
/// The requests with such a part that they must have ended under.
const UNKNOWN_PART_REQUESTS: usize = 2;
/// The longest time between ends that count as one moment; VMs notice the loss of a rack within it.
const MOMENT: Duration = Duration::from_millis(100);
/// The moments at which endpoints must have ended under a part.
const MIN_MOMENTS: usize = 3;
/// The moments that suffice for a hold without a soon trial, however near to each other they are.
const CONCLUSIVE_MOMENTS: usize = 5;
/// The least time over which endpoints must have ended under a part that no request was ever answered
/// with: requests with a sound part that were sent meanwhile begin to be answered, and go on for
/// [`SOUND_STREAM_TIME`].
const UNKNOWN_PART_SPAN: Duration = Duration::from_millis(600);
/// How long a part is in doubt before it is held back, so that VMs that saw it answered can say so: two
/// reports of a relay and its members.
const DOUBT_TERM: Duration = Duration::from_millis(300);
/// The most parts in doubt at a time; those with the most ends.
const MAX_DOUBTS: usize = 32;
/// The endpoints that must have ended under any other part.
const KNOWN_PART_ENDS: usize = 5;
/// The requests with such a part that they must have ended under.
const KNOWN_PART_REQUESTS: usize = 3;
/// The least time over which they must have ended; requests with a part in use are answered within this
/// time.
const KNOWN_PART_SPAN: Duration = Duration::from_secs(1);
/// How long it is remembered that a request with a part was answered.
const SOUND_MEMORY: Duration = Duration::from_secs(600);
/// How often entries are looked for that are older than that.
const SOUND_PRUNE_INTERVAL: Duration = Duration::from_secs(30);
/// The endpoints that a request may end before it is sent no more, not counting those that ended at the
/// same moment as others that did not have it.
const MAX_REQUEST_ENDS: usize = 2;
/// The same, counting all.
const MAX_SHARED_ENDS: usize = 3;
/// How long a VM leaves decisions to the VM it reports to after that one has last told it something,
/// and holds a part back that the other one does not.
const UNCONFIRMED_TERM: Duration = Duration::from_secs(1);
/// The times until one request after the other is tried with a part that is held back: from the last
/// endpoint that ended to the first trial, and from each trial to the next.
const TRIAL_DELAYS: &[Duration] =
    &[Duration::from_secs(60), Duration::from_secs(300), Duration::from_secs(1_500)];
/// The same for a part that may be held back by chance.
const WEAK_TRIAL_DELAYS: &[Duration] = &[
    Duration::from_millis(1_500),
    Duration::from_secs(5),
    Duration::from_secs(10),
    Duration::from_secs(300),
    Duration::from_secs(1_500),
];
/// The most endpoints that end under a part, after which no further request is tried: three more than
/// those that suffice to hold any part back.
const MAX_PART_ENDS: u32 = 8;
/// How long a part is held back after the last endpoint that ended or request that was tried.
const HOLD_TERM: Duration = Duration::from_secs(24 * 3_600);
/// The most endpoints whose end is remembered.
const MAX_ENDS: usize = 64;
/// How long a request waits for the leader's word whether it is tried, and how long that holds.
pub const TRIAL_TERM: Duration = Duration::from_millis(600);
/// How long a VM asks for no further trial with a part after it asked for one in vain.
const TRIAL_ASK_INTERVAL: Duration = Duration::from_secs(3);
/// The most asks for trials that a relay keeps for its members.
const MAX_TRIAL_ASKS: usize = 256;
/// The most suspects of one endpoint's end that are remembered.
const MAX_SUSPECTS: usize = 64;
/// The most of them that are remembered of one workspace.
const MAX_WORKSPACE_SUSPECTS: usize = 16;
/// The most parts that are held back at a time; the ones held back first give way.
const MAX_HELD_PARTS: usize = 64;
/// The parts in answered requests of one workspace that are remembered; the newest half stays.
const MAX_SOUND_PARTS: usize = 512;
/// The parts in requests that other VMs saw answered that are remembered; the newest half stays.
const MAX_TOLD_PARTS: usize = 4_096;
/// The workspaces of which they are remembered.
const MAX_SOUND_WORKSPACES: usize = 256;

/// A request, as far as its prompt is concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// A hash of the request's id.
    pub request: u64,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The parts of the prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// What it asks for; the same for each attempt of its caller.
    pub digest: RequestDigest,
}

/// The end of an endpoint's process, as one or more VMs saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEnd {
    /// The process instance.
    pub instance: EndpointInstance,
    /// When a VM first saw it end.
    pub at: Duration,
    /// The suspects: the requests that the endpoint had not been seen to answer.
    pub suspects: Vec<Prompt>,
    /// When requests with parts of the suspects last began to be answered, as far as is known.
    pub sound: Vec<(PartId, Duration)>,
}

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

/// Whether a request may be sent to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptCheck {
    /// Nothing speaks against it.
    Open,
    /// It may be sent once, to learn whether a part is sound again.
    Trial,
    /// A part of its prompt is held back.
    Held(HeldPart),
    /// The request itself has ended this number of endpoints.
    EndedEndpoints(usize),
}

/// Why a VM has decided to hold a part back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEvidence {
    /// The part.
    pub part: PartId,
    /// The ends that count: the endpoint, when it ended, and the number of suspects.
    pub ends: Vec<(EndpointInstance, Duration, usize)>,
    /// The number of different requests with the part among the suspects.
    pub requests: usize,
    /// The number of endpoints that ended under other requests.
    pub others: usize,
    /// When a request with the part last began to be answered, as far as is known.
    pub sound_at: Option<Duration>,
}

/// A change at the parts that are held back, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// The part was a suspect when this number of endpoints ended, and needs more evidence.
    Suspected(PartId, usize),
    /// This VM has found the evidence against a part sufficient.
    Decided(PartEvidence),
    /// The part is held back from now on, or for all workspaces instead of one.
    Held(HeldPart),
    /// The part is no longer held back, for this reason.
    Released(HeldPart, &'static str),
}

/// The ends of endpoints, and the parts that are held back because of them, as one VM knows them.
#[derive(Debug, Default)]
pub struct CrashLog {
    ends: Vec<(u64, EndpointEnd)>,
    last_number: u64,
    /// When requests with a part last began to be answered, as this VM saw it, for each workspace.
    sound: FastMap<WorkspaceId, FastMap<PartId, Duration>>,
    /// The same, as other VMs told it, for parts of suspects.
    told_sound: FastMap<PartId, Duration>,
    /// When the two were last searched for entries that are too old.
    sound_pruned: Duration,
    held: FastMap<PartId, Hold>,
    /// The parts that this VM finds in doubt.
    doubts: FastMap<PartId, Doubt>,
    /// The same of the VM that this one reports to: when the first endpoint ended that counts.
    told_doubts: FastMap<PartId, Duration>,
    /// When that VM last told something.
    last_told: Option<Duration>,
    /// Whether there is something to report that the VM above waits for.
    has_news: bool,
    /// The trials that this VM and those that report to it have asked for, oldest first.
    asks: Vec<TrialAsk>,
    /// Until when this VM may try one request with a part.
    allowed: FastMap<PartId, Duration>,
    changes: Vec<PartChange>,
    leads: bool,
}

/// Who asked when for a trial with a part.
#[derive(Debug)]
struct TrialAsk {
    part: PartId,
    asker: TrialAsker,
    at: Duration,
}

#[derive(Debug, PartialEq, Eq)]
enum TrialAsker {
    /// A request of this VM's callers.
    Request(u64),
    /// A VM that reports to this one.
    Member(VmId),
}

/// A part under which endpoints have ended, of which too little is known.
#[derive(Debug, Clone)]
struct Doubt {
    /// When the first endpoint ended that counts against it.
    first: Duration,
    /// When this VM began to doubt it.
    since: Duration,
}

#[derive(Debug, Clone)]
struct Hold {
    held: HeldPart,
    /// When this VM began to hold the part back.
    since: Duration,
    /// Whether the VM that this one reports to holds the part back, too.
    told: bool,
}

impl HeldPart {
    /// Returns when the next request with the part may be tried; `None` if none will be.
    fn next_trial(&self) -> Option<Duration> {
        let delays = if self.weak { WEAK_TRIAL_DELAYS } else { TRIAL_DELAYS };
        let delay = delays.get(self.trials as usize).filter(|_| self.ends < MAX_PART_ENDS);
        delay.map(|delay| self.last + *delay)
    }

    /// Returns how long it takes until a request that is tried has shown whether the part is sound; `None`
    /// if the evidence is conclusive, or no further request will be tried.
    ///
    /// ```
    /// use bamboocourse_decide::HeldPart;
    /// use std::time::Duration;
    /// let (first, last) = (Duration::from_secs(10), Duration::from_secs(11));
    /// let held = HeldPart {
    ///     part: "p".into(),
    ///     workspace: None,
    ///     first,
    ///     last,
    ///     ends: 3,
    ///     trials: 0,
    ///     weak: true,
    /// };
    /// assert!(held.recheck_after(last).is_some());
    /// assert_eq!(HeldPart { weak: false, ..held }.recheck_after(last), None);
    /// ```
    pub fn recheck_after(&self, now: Duration) -> Option<Duration> {
        let trial = self.next_trial().filter(|_| self.weak)?;
        Some(trial.saturating_sub(now) + TRIAL_TERM)
    }

    /// Returns whether a request with the part may be tried.
    fn may_try(&self, now: Duration) -> bool {
        self.next_trial().is_some_and(|trial| trial <= now)
    }
}

/// What counts against one part.
#[derive(Debug, Default)]
struct Evidence<'a> {
    ends: usize,
    requests: FastSet<u64>,
    workspaces: FastSet<&'a WorkspaceId>,
    first: Duration,
    last: Duration,
    /// When the endpoints ended.
    times: Vec<Duration>,
    /// The endpoints that ended under other requests.
    others: usize,
    /// The place of the part in the prompts, from the front.
    place: usize,
    /// When a request with the part last began to be answered.
    sound_at: Option<Duration>,
}

impl CrashLog {
    /// Returns whether a request may be sent, for the first time or again.
    ///
    /// ```
    /// use bamboocourse_decide::{CrashLog, Prompt, PromptCheck, RequestDigest};
    /// use std::time::Duration;
    /// let mut log = CrashLog::default();
    /// let digest = RequestDigest::new("w", "POST", &["h", "/path"], b"body");
    /// let request =
    ///     Prompt { request: 1, workspace: "w".into(), parts: vec!["p".into()], digest };
    /// assert_eq!(log.check(&request, Duration::ZERO), PromptCheck::Open);
    /// ```
    pub fn check(&mut self, request: &Prompt, now: Duration) -> PromptCheck {
        let ends = self.request_ends(request.request);
        if ends >= MAX_SHARED_ENDS || self.own_ends(request.request) >= MAX_REQUEST_ENDS {
            return PromptCheck::EndedEndpoints(ends);
        }
        if self.held.is_empty() {
            return PromptCheck::Open;
        }
        for part in &request.parts {
            let Some(hold) = self.held.get(part) else { continue };
            if hold.held.workspace.as_ref().is_some_and(|only| *only != request.workspace) {
                continue;
            }
            let held = hold.held.clone();
            let is_allowed =
                |log: &mut Self| log.allowed.remove(part).is_some_and(|until| now < until);
            if ends == 0 && (self.take_trial(part, now) || is_allowed(self)) {
                return PromptCheck::Trial;
            }
            return PromptCheck::Held(held);
        }
        PromptCheck::Open
    }

    /// Takes the next trial with a part, if this VM leads and it is due.
    fn take_trial(&mut self, part: &PartId, now: Duration) -> bool {
        let due = self.held.get_mut(part).filter(|hold| self.leads && hold.held.may_try(now));
        let Some(hold) = due else { return false };
        hold.held.trials += 1;
        hold.held.last = now;
        true
    }

    /// Asks for a trial with a part for a new request that is held back because of it; returns whether
    /// the request waits for it, for at most [`TRIAL_TERM`]. One request of a VM does at a time.
    pub fn ask_trial(&mut self, part: &PartId, request: u64, now: Duration) -> bool {
        let is_due = self.held.get(part).is_some_and(|hold| hold.held.may_try(now));
        if self.leads || !is_due || self.request_ends(request) > 0 {
            return false;
        }
        self.drop_old_asks(now);
        let own = self
            .asks
            .iter()
            .find(|ask| ask.part == *part && matches!(ask.asker, TrialAsker::Request(_)));
        if let Some(own) = own {
            return own.asker == TrialAsker::Request(request) && now < own.at + TRIAL_TERM;
        }
        let asker = TrialAsker::Request(request);
        self.asks.push(TrialAsk { part: part.clone(), asker, at: now });
        true
    }

    fn drop_old_asks(&mut self, now: Duration) {
        self.asks.retain(|ask| match ask.asker {
            TrialAsker::Request(_) => now < ask.at + TRIAL_ASK_INTERVAL,
            TrialAsker::Member(_) => now < ask.at + TRIAL_TERM,
        });
    }

    /// Returns the parts for which this VM and those that report to it wait for a trial.
    pub fn asked_trials(&self, now: Duration) -> Vec<PartId> {
        let open = self.asks.iter().filter(|ask| now < ask.at + TRIAL_TERM);
        let parts: FastSet<&PartId> = open.map(|ask| &ask.part).collect();
        parts.into_iter().cloned().collect()
    }

    /// Takes in that a VM that reports to this one asks for a trial; returns whether it may try one
    /// request, which only the leader allows.
    pub fn on_trial_ask(&mut self, part: &PartId, vm: &VmId, now: Duration) -> bool {
        if self.leads {
            return self.take_trial(part, now);
        }
        self.drop_old_asks(now);
        let asker = TrialAsker::Member(vm.clone());
        let is_known = self.asks.iter().any(|ask| ask.part == *part && ask.asker == asker);
        if !is_known && self.held.contains_key(part) && self.asks.len() < MAX_TRIAL_ASKS {
            self.asks.push(TrialAsk { part: part.clone(), asker, at: now });
        }
        false
    }

    /// Takes in that this VM, or one that reports to it, may try one request with a part; returns
    /// the VM to pass this on to. The one that asked first gets it.
    pub fn on_trial_allowed(&mut self, part: &PartId, now: Duration) -> Option<VmId> {
        self.drop_old_asks(now);
        let index = self.asks.iter().position(|ask| ask.part == *part && now < ask.at + TRIAL_TERM);
        let asker = index.map(|index| self.asks.remove(index).asker);
        if let Some(TrialAsker::Member(vm)) = asker {
            return Some(vm);
        }
        self.allowed.insert(part.clone(), now + TRIAL_TERM);
        None
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
        for (part, at) in end.sound.drain(..) {
            self.note_told_sound(part, at.min(now));
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
        if self.ends.len() > MAX_ENDS {
            // The oldest one stays, as it tells for how long endpoints have been ending.
            let mut oldest: Vec<usize> = (0..self.ends.len()).collect();
            oldest.sort_by_key(|index| self.ends[*index].1.at);
            self.ends.remove(oldest[1]);
        }
        self.evaluate(now);
        is_new
    }

    /// Records that requests of a workspace with these parts are answered; the endpoint began to
    /// answer at `began`.
    pub fn on_sound(
        &mut self,
        workspace: &WorkspaceId,
        parts: &[PartId],
        began: Duration,
        now: Duration,
    ) {
        if parts.is_empty() {
            return;
        }
        if !self.sound.contains_key(workspace) && self.sound.len() >= MAX_SOUND_WORKSPACES {
            self.sound.retain(|_, parts| parts.values().any(|at| now < *at + EVIDENCE_TERM));
            if self.sound.len() >= MAX_SOUND_WORKSPACES {
                return;
            }
        }
        for part in parts {
            self.note_news(part, began);
        }
        let known = self.sound.entry(workspace.clone()).or_default();
        for part in parts {
            let at = known.entry(part.clone()).or_default();
            *at = began.max(*at);
        }
        keep_newest(known, MAX_SOUND_PARTS);
        for part in parts {
            self.release_sound(part, began, now);
        }
    }

    /// Records that another VM saw requests with a part being answered from `began` on.
    pub fn on_told_sound(&mut self, part: &PartId, began: Duration, now: Duration) {
        self.note_news(part, began.min(now));
        self.note_told_sound(part.clone(), began.min(now));
        self.release_sound(part, began.min(now), now);
    }

    /// Notes that the VM which this one reports to waits for the word that a part was answered.
    fn note_news(&mut self, part: &PartId, began: Duration) {
        let Some(first) = self.told_doubts.get(part) else { return };
        self.has_news |= *first < began && self.sound_at(part).is_none_or(|at| at <= *first);
    }

    /// Returns whether there is something to report soon, once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns whether this VM decides by itself which parts are held back.
    fn decides(&self, now: Duration) -> bool {
        self.leads || self.last_told.is_none_or(|at| at + UNCONFIRMED_TERM <= now)
    }

    fn note_told_sound(&mut self, part: PartId, began: Duration) {
        let at = self.told_sound.entry(part).or_default();
        *at = began.max(*at);
        keep_newest(&mut self.told_sound, MAX_TOLD_PARTS);
    }

    /// Lets a part go if requests with it were answered since the first end that counts against it.
    ///
    /// A part that another VM told this one to hold back is let go by that VM.
    fn release_sound(&mut self, part: &PartId, began: Duration, now: Duration) {
        let is_cleared = self
            .held
            .get(part)
            .is_some_and(|hold| hold.held.first < began && (self.leads || !hold.told));
        if is_cleared {
            self.release(part, "a request with it was answered");
            self.evaluate(now);
        }
    }

    fn release(&mut self, part: &PartId, why: &'static str) {
        if let Some(hold) = self.held.remove(part) {
            self.changes.push(PartChange::Released(hold.held, why));
        }
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
            sound: self.known_sound(end.suspects.iter().flat_map(|suspect| &suspect.parts)),
            ..end.clone()
        });
        (later.collect(), self.last_number)
    }

    /// Returns the parts that are held back or in doubt although requests with them were answered since,
    /// and when these began to be answered.
    pub fn cleared(&self) -> Vec<(PartId, Duration)> {
        let held = self.held.iter().map(|(part, hold)| (part, hold.held.first));
        let doubts = self.told_doubts.iter().map(|(part, first)| (part, *first));
        let parts: FastMap<&PartId, Duration> = doubts.chain(held).collect();
        let cleared = parts.into_iter().filter_map(|(part, first)| {
            let at = self.sound_at(part)?;
            (first < at).then(|| (part.clone(), at))
        });
        cleared.collect()
    }

    /// Returns the parts in doubt, and when the first endpoint ended that counts against each.
    pub fn doubts(&self) -> Vec<(PartId, Duration)> {
        let own = self.doubts.iter().map(|(part, doubt)| (part.clone(), doubt.first));
        let told = self.told_doubts.iter().filter(|(part, _)| !self.doubts.contains_key(*part));
        own.chain(told.map(|(part, first)| (part.clone(), *first))).collect()
    }

    /// Takes in which parts the VM that this one reports to finds in doubt, and when the first
    /// endpoint ended that counts against each.
    pub fn on_told_doubts(&mut self, told: Vec<(PartId, Duration)>) {
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

    fn known_sound<'a>(&self, parts: impl Iterator<Item = &'a PartId>) -> Vec<(PartId, Duration)> {
        let parts: FastSet<&PartId> = parts.collect();
        let known = parts.into_iter().filter_map(|part| Some((part.clone(), self.sound_at(part)?)));
        known.collect()
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
    fn hold(&mut self, held: HeldPart, told: bool, now: Duration) {
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

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what is too old.
    pub fn prune(&mut self, now: Duration) {
        self.ends.retain(|(_, end)| now < end.at + EVIDENCE_TERM);
        if now >= self.sound_pruned + SOUND_PRUNE_INTERVAL {
            self.sound_pruned = now;
            for parts in self.sound.values_mut() {
                parts.retain(|_, at| now < *at + SOUND_MEMORY);
            }
            self.sound.retain(|_, parts| !parts.is_empty());
            self.told_sound.retain(|_, at| now < *at + SOUND_MEMORY);
        }
        let expired = self.held.iter().filter(|(_, hold)| hold.held.last + HOLD_TERM <= now);
        let expired: Vec<PartId> = expired.map(|(part, _)| part.clone()).collect();
        for part in expired {
            self.release(&part, "its time is over");
        }
        if self.ends.is_empty() {
            self.doubts.clear();
        }
        // Time alone may decide: VMs that know nothing say nothing.
        if !self.doubts.is_empty() || self.held.values().any(|hold| hold.held.weak) {
            self.evaluate(now);
        }
        self.drop_old_asks(now);
        self.allowed.retain(|_, until| now < *until);
    }

    /// Returns how many ends, parts of answered requests and held parts are remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let sound = self.sound.values().map(FastMap::len).sum::<usize>() + self.told_sound.len();
        (self.ends.len(), sound, self.held.len())
    }

    /// Returns when a request with a part last began to be answered.
    fn sound_at(&self, part: &PartId) -> Option<Duration> {
        let own = self.sound.values().filter_map(|parts| parts.get(part));
        own.chain(self.told_sound.get(part)).copied().max()
    }

    /// Holds back the parts that enough evidence speaks against, one after another, as each may
    /// explain the ends that speak against others.
    fn evaluate(&mut self, now: Duration) {
        while let Some(held) = self.find_widened(now) {
            self.hold(held, false, now);
        }
        self.update_doubts(now);
        while let Some(held) = self.find_part(now) {
            let evidence = self.evidence_against(&held.part, now);
            self.changes.extend(evidence.map(PartChange::Decided));
            self.hold(held, false, now);
            self.update_doubts(now);
        }
        self.confirm_held(now);
        self.release_explained(now);
        let held: Vec<PartId> = self.held.keys().cloned().collect();
        for part in held {
            let ends = self.part_ends(&part, now);
            if let Some(hold) = self.held.get_mut(&part) {
                hold.held.ends = hold.held.ends.max(ends);
            }
        }
    }

    /// Lets the parts go that may be held back by chance, if another one explains the ends.
    fn release_explained(&mut self, now: Duration) {
        while let Some((part, better)) = self.find_better(now) {
            self.release(&part, "another part explains the ends");
            if let Some(better) = better {
                self.hold(better, false, now);
            }
        }
    }

    /// Returns how many endpoints ended under a part since a request with it was last answered.
    fn part_ends(&self, part: &PartId, now: Duration) -> u32 {
        let sound_at = self.sound_at(part);
        let ends = self.recent_ends(now).filter(|end| {
            sound_at.is_none_or(|at| at < end.at)
                && end.suspects.iter().any(|suspect| suspect.parts.contains(part))
        });
        ends.count() as u32
    }

    /// Returns the parts of a prompt that are held back.
    fn held_of<'a>(&'a self, prompt: &'a Prompt) -> impl Iterator<Item = &'a HeldPart> {
        prompt.parts.iter().filter_map(|part| self.held.get(part)).map(|hold| &hold.held)
    }

    /// Returns the ends that are recent enough to count.
    fn recent_ends(&self, now: Duration) -> impl Iterator<Item = &EndpointEnd> {
        let ends = self.ends.iter().map(|(_, end)| end);
        ends.filter(move |end| now < end.at + EVIDENCE_TERM)
    }

    /// Finds a part that is held back for one workspace and has ended an endpoint for another one.
    fn find_widened(&self, now: Duration) -> Option<HeldPart> {
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
    fn find_better(&self, now: Duration) -> Option<(PartId, Option<HeldPart>)> {
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
    fn explains(&self, part: &PartId, other: &PartId, now: Duration) -> bool {
        let is_at = |end: &EndpointEnd, part: &PartId| {
            end.suspects.iter().any(|suspect| suspect.parts.contains(part))
        };
        let mut ends = self.recent_ends(now).filter(|end| is_at(end, other));
        let known = self.part_ends(other, now);
        known as usize >= UNKNOWN_PART_ENDS
            && self.part_ends(part, now) > known
            && ends.all(|end| is_at(end, part))
    }

    /// Finds the part that most ends speak against, if they are enough and this VM decides.
    fn find_part(&self, now: Duration) -> Option<HeldPart> {
        if !self.decides(now) {
            return None;
        }
        let is_asked = |part: &PartId| {
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
    fn update_doubts(&mut self, now: Duration) {
        let evidence = self.gather(None, now);
        let suspected = evidence.iter().filter(|(_, known)| known.ends + 1 >= UNKNOWN_PART_ENDS);
        let mut suspected: Vec<(PartId, usize, Duration)> =
            suspected.map(|(part, known)| (PartId::clone(part), known.ends, known.first)).collect();
        suspected.sort_by(|a, b| (b.1, &b.0).cmp(&(a.1, &a.0)));
        suspected.truncate(MAX_DOUBTS);
        let former = std::mem::take(&mut self.doubts);
        for (part, ends, first) in suspected {
            let since = former.get(&part).map(|doubt| doubt.since);
            if since.is_none() {
                self.changes.push(PartChange::Suspected(part.clone(), ends));
            }
            self.doubts.insert(part, Doubt { first, since: since.unwrap_or(now) });
        }
    }

    /// Notes which parts that may be held back by chance have become certain.
    fn confirm_held(&mut self, now: Duration) {
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

    /// Returns what speaks against a part that is not held back yet.
    fn evidence_against(&self, part: &PartId, now: Duration) -> Option<PartEvidence> {
        let evidence = self.gather(None, now);
        let known = evidence.get(part)?;
        let ends = self.recent_ends(now).filter(|end| {
            known.sound_at.is_none_or(|at| at < end.at)
                && end.suspects.iter().any(|suspect| suspect.parts.contains(part))
        });
        let ends = ends.map(|end| (end.instance.clone(), end.at, end.suspects.len()));
        Some(PartEvidence {
            part: part.clone(),
            ends: ends.collect(),
            requests: known.requests.len(),
            others: known.others,
            sound_at: known.sound_at,
        })
    }

    /// Gathers what speaks against each part, as if `open` were not held back.
    fn gather(&self, open: Option<&PartId>, now: Duration) -> FastMap<&PartId, Evidence<'_>> {
        self.gather_before(open, now, now)
    }

    /// Gathers the same of the ends until a time.
    fn gather_before(
        &self,
        open: Option<&PartId>,
        until: Duration,
        now: Duration,
    ) -> FastMap<&PartId, Evidence<'_>> {
        let mut evidence: FastMap<&PartId, Evidence<'_>> = FastMap::default();
        let mut unexplained = 0;
        for end in self.recent_ends(now).filter(|end| end.at <= until) {
            let is_explained = end
                .suspects
                .iter()
                .any(|suspect| self.held_of(suspect).any(|held| Some(&held.part) != open));
            if is_explained {
                continue;
            }
            unexplained += 1;
            // Other VMs may not have told the suspect yet that explains this end.
            let may_be_explained = end.at + DOUBT_TERM > now;
            let mut counted: FastSet<&PartId> = FastSet::default();
            for suspect in &end.suspects {
                for (place, part) in suspect.parts.iter().enumerate() {
                    let known = evidence.entry(part).or_insert_with(|| Evidence {
                        first: Duration::MAX,
                        sound_at: self.sound_at(part),
                        ..Evidence::default()
                    });
                    let is_known = known.sound_at.is_some() || !self.held.is_empty();
                    let is_sound = known.sound_at.is_some_and(|at| at >= end.at);
                    if is_sound || (is_known && may_be_explained) {
                        continue;
                    }
                    if counted.insert(part) {
                        known.ends += 1;
                        known.times.push(end.at);
                    }
                    known.requests.insert(suspect.request);
                    known.workspaces.insert(&suspect.workspace);
                    known.first = known.first.min(end.at);
                    known.last = known.last.max(end.at);
                    known.place = known.place.max(place);
                }
            }
        }
        for known in evidence.values_mut() {
            known.others = unexplained - known.ends;
        }
        evidence
    }
}

impl Evidence<'_> {
    /// Returns whether the evidence suffices to hold the part back.
    fn is_enough(&self) -> bool {
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
    fn stands_out(&self) -> bool {
        self.ends >= self.others * MIN_ENDS_RATIO
    }

    /// Returns whether the part may have been there by chance.
    fn is_weak(&self) -> bool {
        let is_short = self.last < self.first + KNOWN_PART_SPAN;
        !self.stands_out() || (is_short && self.moments() < CONCLUSIVE_MOMENTS)
    }

    /// Returns the number of moments at which the endpoints ended.
    fn moments(&self) -> usize {
        let mut times = self.times.clone();
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

    fn held_part(&self, part: &PartId) -> HeldPart {
        let mut workspaces = self.workspaces.iter();
        let only = workspaces.next().filter(|_| workspaces.next().is_none());
        // A request on a public route belongs to no workspace.
        let only = only.filter(|only| !only.is_empty());
        HeldPart {
            part: part.clone(),
            workspace: only.map(|workspace| WorkspaceId::clone(workspace)),
            first: self.first,
            last: self.last,
            ends: self.ends as u32,
            trials: 0,
            weak: self.is_weak(),
        }
    }
}

/// Returns the part that most ends speak against, if they are enough to hold it back.
fn most_suspected(evidence: &FastMap<&PartId, Evidence<'_>>) -> Option<HeldPart> {
    let enough = evidence.iter().filter(|(_, evidence)| evidence.is_enough());
    let best = enough.max_by_key(|(part, evidence)| {
        (evidence.sound_at.is_none(), evidence.ends, evidence.place, PartId::clone(part))
    });
    best.map(|(part, evidence)| evidence.held_part(part))
}

/// Drops the older half of the entries if there are more than `most`.
fn keep_newest(parts: &mut FastMap<PartId, Duration>, most: usize) {
    if parts.len() <= most {
        return;
    }
    let mut times: Vec<Duration> = parts.values().copied().collect();
    let (_, middle, _) = times.select_nth_unstable(most / 2);
    let middle = *middle;
    parts.retain(|_, at| *at > middle);
}
