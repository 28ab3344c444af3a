//! Shares a VM's log of endpoint crashes between requests, the coordinator and the links to other VMs,
//! and writes a log line when a request or a part of prompts is held back or let go.

use std::cmp::Reverse;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    Cause, CauseChange, CauseEvidence, CrashLog, EndpointEnd, EndpointInstance, HeldCause, PartId,
    RequestContent, RequestDigest, SendCheck, TRIAL_TERM, VmId, WorkspaceId,
};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::process::coordinator::row::HeldRow;
use crate::process::metrics::Metrics;
use crate::process::scheduler::Scheduler;
use crate::wire::{self, Lead, Status};

/// The most held parts that the lease's row keeps.
const MAX_HELD_ROWS: usize = 16;

/// The most ends of endpoints that are logged when a part is held back.
const MAX_LOGGED_ENDS: usize = 8;

/// What is told about what is held back or in doubt as soon as it changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ToldCauses {
    /// What is held back, but for requests that may be by chance.
    held: Vec<(Cause, Option<WorkspaceId>, bool)>,
    /// Parts in doubt, and requests that may be held back by chance.
    doubts: Vec<Cause>,
}

impl ToldCauses {
    /// Returns whether the same is held back, whatever is in doubt.
    pub(crate) fn same_held(&self, other: &Self) -> bool {
        self.held == other.held
    }
}

/// The log of crashes of one process, and its messages.
#[derive(Debug)]
pub(crate) struct Crashes {
    log: Mutex<CrashLog>,
    scheduler: Arc<Scheduler>,
    metrics: Arc<Metrics>,
    /// Notified when the VM that this one reports to has told something.
    told: Notify,
}

impl Crashes {
    pub(crate) fn new(scheduler: Arc<Scheduler>, metrics: Arc<Metrics>) -> Self {
        Self { log: Mutex::default(), scheduler, metrics, told: Notify::new() }
    }

    /// Returns whether a request may be sent, for the first time or again.
    pub(crate) fn check(&self, content: &RequestContent) -> SendCheck {
        self.lock().check(content)
    }

    /// Returns whether a new request may be sent; a request that could be a trial waits for the leader's
    /// word. `spares` says whether its service can lose an endpoint.
    pub(crate) async fn admit(
        &self,
        content: &RequestContent,
        spares: impl Fn() -> bool,
    ) -> SendCheck {
        let until = Instant::now() + TRIAL_TERM;
        let mut asked = false;
        loop {
            let told = self.told.notified();
            let check = self.check(content);
            let SendCheck::Held(held) = &check else { return check };
            if held.cause.is_request() && !spares() {
                return check;
            }
            let check = self.lock().admit(content, boot_now());
            if check == SendCheck::Trial {
                info!(kind = held.cause.kind(), cause:% = held.cause, digest:% = content.digest,
                    trials = held.trials + 1, workspace = content.workspace.as_str();
                    "a request is tried although it is held back");
            }
            let SendCheck::Held(held) = &check else { return check };
            if !self.lock().ask_trial(&held.cause, content.request, boot_now()) {
                return check;
            }
            if !asked {
                info!(kind = held.cause.kind(), cause:% = held.cause, trials = held.trials;
                    "the leader is asked whether a request may be tried");
                // The next report tells it.
                self.scheduler.shortage.notify_one();
                asked = true;
            }
            if tokio::time::timeout_at(until, told).await.is_err() {
                return check;
            }
        }
    }

    /// Returns whether it is known that an instance of an endpoint has ended.
    pub(crate) fn has_ended(&self, instance: &EndpointInstance) -> bool {
        self.lock().has_ended(instance)
    }

    /// Records that an endpoint ended `at` a time, before it was seen to answer a request.
    pub(crate) fn on_end(&self, instance: EndpointInstance, content: RequestContent, at: Duration) {
        let now = boot_now();
        let (endpoint, born) = instance.clone();
        let end = EndpointEnd { instance, at, suspects: vec![content], sound: Vec::new() };
        if self.apply("own", |log| log.on_end(end, now)) {
            info!(endpoint = endpoint.as_str(), born; "an endpoint has ended under requests");
            self.metrics.endpoint_ends.add(1, &[]);
            // The next report tells it.
            self.scheduler.shortage.notify_one();
        }
    }

    /// Records that a request is answered; the endpoint began to answer `ago`.
    pub(crate) fn on_sound(&self, content: &RequestContent, ago: Duration) {
        let now = boot_now();
        let began = now.saturating_sub(ago);
        self.apply("own", |log| log.on_sound(&content.workspace, &content.causes, began, now));
    }

    /// Sets whether this VM leads.
    pub(crate) fn set_leads(&self, leads: bool) {
        self.lock().set_leads(leads);
    }

    /// Forgets what is too old, and updates the metrics.
    pub(crate) fn prune(&self) {
        let now = boot_now();
        self.apply("own", |log| log.prune(now));
        let (_, _, held) = self.lock().sizes();
        self.metrics.held_parts.record(held as u64, &[]);
    }

    /// Adds to a report what is new since the number `told`, and returns the new number.
    ///
    /// `first` tells that it is the first report of a connection.
    pub(crate) fn report(&self, status: &mut Status, told: u64, first: bool) -> u64 {
        let now = boot_now();
        let log = self.lock();
        let (ends, told) = log.ends_after(told);
        status.ended = ends.iter().map(|end| end_message(end, now)).collect();
        status.sound_parts = sound_messages(&log.cleared(), now);
        for cause in log.asked_trials(now) {
            match cause {
                Cause::Part(part) => status.trial_asks.push(part.into()),
                Cause::Request(digest) => {
                    status.request_trial_asks.push(digest.as_bytes().to_vec());
                }
            }
        }
        if first {
            status.held_parts = held_messages(&log, now);
        }
        told
    }

    /// Applies what another VM reports.
    pub(crate) fn on_report(&self, status: &Status) {
        let now = boot_now();
        self.apply(&status.vm, |log| {
            for held in &status.held_parts {
                log.adopt(read_held(held, now), now);
            }
            for end in &status.ended {
                log.on_end(read_end(end, now), now);
            }
            for sound in &status.sound_parts {
                let (cause, began) = read_sound(sound, now);
                log.on_told_sound(&cause, began, now);
            }
        });
    }

    /// Adds to a message what this VM holds back.
    pub(crate) fn tell(&self, message: &mut Lead) {
        let (log, now) = (self.lock(), boot_now());
        message.tells_parts = true;
        message.held_parts = held_messages(&log, now);
        let doubts = log.doubts().into_iter().map(|(part, first)| wire::DoubtfulPart {
            part: part.to_string(),
            first_age: age(first, now),
        });
        message.doubts = doubts.collect();
    }

    /// Answers the trials that a VM which reports to this one asks for; `leads` says that this VM holds
    /// the lease now, and so may allow them.
    pub(crate) fn answer_asks(&self, status: &Status, leads: bool, reply: &mut Lead) {
        let (vm, now) = (VmId::new(&status.vm), boot_now());
        for cause in read_trials(&status.trial_asks, &status.request_trial_asks) {
            let mut log = self.lock();
            // The log may still lead although the lease has lapsed; it must not allow trials then.
            if leads == log.leads() && log.on_trial_ask(&cause, &vm, now) {
                info!(kind = cause.kind(), cause:%, vm = vm.as_str();
                    "a VM may try one request that is held back");
                push_trial(&cause, reply);
            } else if !leads {
                // The next report tells it.
                self.scheduler.shortage.notify_one();
            }
        }
    }

    /// Applies what the VM tells that this one reports to; returns the trials to pass on, and to whom.
    pub(crate) fn on_told(&self, message: &Lead) -> Vec<(VmId, Cause)> {
        let now = boot_now();
        if message.tells_parts {
            let held = message.held_parts.iter().map(|held| read_held(held, now)).collect();
            let doubts = message.doubts.iter();
            let doubts = doubts
                .map(|doubt| (PartId::new(&doubt.part).into(), time_of(doubt.first_age, now)));
            let doubts = doubts.collect();
            self.apply("told", |log| {
                log.on_told_doubts(doubts);
                log.on_told(held, now);
            });
        }
        let allowed = read_trials(&message.trials, &message.request_trials);
        let allowed = allowed.into_iter().filter_map(|cause| {
            let vm = self.lock().on_trial_allowed(&cause, now);
            vm.map(|vm| (vm, cause))
        });
        let passed_on = allowed.collect();
        self.told.notify_waiters();
        passed_on
    }

    /// Returns the parts that are held back, for the lease's row; `to_store` converts times to the
    /// store's clock.
    pub(crate) fn held_rows(&self, to_store: impl Fn(Duration) -> u64) -> Vec<HeldRow> {
        let mut held = self.lock().held();
        held.retain(|held| !is_passing(held));
        held.sort_by_key(|held| Reverse(held.last));
        let rows = held.into_iter().take(MAX_HELD_ROWS).map(|held| HeldRow {
            first: to_store(held.first),
            last: to_store(held.last),
            digest: match &held.cause {
                Cause::Part(_) => None,
                Cause::Request(digest) => Some(digest.to_string().into()),
            },
            part: match held.cause {
                Cause::Part(part) => part,
                Cause::Request(_) => PartId::default(),
            },
            workspace: held.workspace,
            ends: held.ends,
            trials: held.trials,
            weak: held.weak,
        });
        rows.collect()
    }

    /// Adopts the parts of the lease's row; `to_local` converts times from the store's clock.
    pub(crate) fn adopt_rows(&self, rows: &[HeldRow], to_local: impl Fn(u64) -> Duration) {
        if rows.is_empty() {
            return;
        }
        let now = boot_now();
        self.apply("lease row", |log| {
            for row in rows {
                let Some(cause) = read_cause_row(row) else {
                    warn!(digest = row.digest.as_deref().unwrap_or_default();
                        "the lease's row names a request whose digest cannot be read");
                    continue;
                };
                let held = HeldCause {
                    cause,
                    workspace: row.workspace.clone(),
                    first: to_local(row.first),
                    last: to_local(row.last),
                    ends: row.ends,
                    trials: row.trials,
                    weak: row.weak,
                };
                log.adopt(held, now);
            }
        });
    }

    /// Returns what is held back or in doubt, in a fixed order.
    pub(crate) fn told_causes(&self) -> ToldCauses {
        let log = self.lock();
        let (passing, lasting): (Vec<_>, Vec<_>) = log.held().into_iter().partition(is_passing);
        let held = lasting.into_iter().map(|held| (held.cause, held.workspace, held.weak));
        let doubts = log.doubts().into_iter().map(|(part, _)| part);
        let doubts = doubts.chain(passing.into_iter().map(|held| held.cause));
        let mut told = ToldCauses { held: held.collect(), doubts: doubts.collect() };
        told.held.sort();
        told.doubts.sort();
        told
    }

    /// Changes the log, and writes a line for each cause whose state has changed; `source` says where the
    /// change comes from.
    fn apply<T>(&self, source: &str, change: impl FnOnce(&mut CrashLog) -> T) -> T {
        let (result, changes, has_news) = {
            let mut log = self.lock();
            (change(&mut log), log.take_changes(), log.take_news())
        };
        if has_news {
            // The next report tells it.
            self.scheduler.shortage.notify_one();
        }
        let now = boot_now();
        for change in changes {
            match change {
                CauseChange::Suspected(cause, ends) => {
                    info!(part:% = cause, ends;
                        "endpoints have ended under requests with a part of their prompts");
                }
                CauseChange::Decided(evidence) => log_evidence(&evidence, now),
                CauseChange::Held(held) => {
                    let kind = held.cause.kind();
                    warn!(kind, cause:% = held.cause, source, ends = held.ends, trials = held.trials,
                        trials_left = held.trials_left(), weak = held.weak,
                        workspace = held.workspace.as_deref().unwrap_or("all"),
                        first_ms = age(held.first, now), last_ms = age(held.last, now);
                        "a cause of endpoints' ends is held back");
                }
                CauseChange::Released(held, why) => {
                    let kind = held.cause.kind();
                    info!(kind, cause:% = held.cause, source, ends = held.ends, trials = held.trials, why,
                        first_ms = age(held.first, now);
                        "a cause of endpoints' ends is no longer held back");
                }
            }
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, CrashLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes a line for each end that counts against a cause, and one for what they come to.
fn log_evidence(evidence: &CauseEvidence, now: Duration) {
    let (kind, cause) = (evidence.cause.kind(), &evidence.cause);
    for ((endpoint, born), at, suspects) in evidence.ends.iter().take(MAX_LOGGED_ENDS) {
        info!(kind, cause:%, endpoint = endpoint.as_str(), born, suspects, ago_ms = age(*at, now);
            "the end of an endpoint counts against a cause");
    }
    let answered_ms = evidence.sound_at.map_or(-1, |at| age(at, now) as i64);
    info!(kind, cause:%, ends = evidence.ends.len(), requests = evidence.requests,
        others = evidence.others, answered_ms; "the evidence against a cause suffices");
}

/// Returns how long ago a time was, in milliseconds.
fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

/// Returns the time that was some milliseconds ago.
fn time_of(age: u64, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age))
}

/// Returns whether a request is held back for a moment only, until a trial or an answer tells more.
fn is_passing(held: &HeldCause) -> bool {
    held.cause.is_request() && held.weak
}

fn part_and_digest(cause: &Cause) -> (String, Vec<u8>) {
    match cause {
        Cause::Part(part) => (part.to_string(), Vec::new()),
        Cause::Request(digest) => (String::new(), digest.as_bytes().to_vec()),
    }
}

/// Reads the cause of a message: a request if there is a digest, else a part.
fn read_cause(part: &str, digest: &[u8]) -> Cause {
    RequestDigest::from_bytes(digest).map_or_else(|| Cause::Part(part.into()), Cause::Request)
}

fn read_cause_row(row: &HeldRow) -> Option<Cause> {
    match &row.digest {
        Some(digest) => RequestDigest::parse(digest).map(Cause::Request),
        None => Some(Cause::Part(row.part.clone())),
    }
}

/// Adds to a message that its receiver may try one request.
pub(crate) fn push_trial(cause: &Cause, message: &mut Lead) {
    match cause {
        Cause::Part(part) => message.trials.push(part.to_string()),
        Cause::Request(digest) => message.request_trials.push(digest.as_bytes().to_vec()),
    }
}

fn read_trials(parts: &[String], digests: &[Vec<u8>]) -> Vec<Cause> {
    let parts = parts.iter().map(|part| Cause::Part(part.into()));
    let digests = digests.iter().filter_map(|digest| RequestDigest::from_bytes(digest));
    parts.chain(digests.map(Cause::Request)).collect()
}

fn sound_messages(sound: &[(Cause, Duration)], now: Duration) -> Vec<wire::SoundPart> {
    let message = |(cause, at): &(Cause, Duration)| {
        let (part, digest) = part_and_digest(cause);
        wire::SoundPart { part, digest, age: age(*at, now) }
    };
    sound.iter().map(message).collect()
}

fn read_sound(message: &wire::SoundPart, now: Duration) -> (Cause, Duration) {
    (read_cause(&message.part, &message.digest), time_of(message.age, now))
}

fn held_messages(log: &CrashLog, now: Duration) -> Vec<wire::HeldPart> {
    let held = log.held().into_iter().map(|held| {
        let (part, digest) = part_and_digest(&held.cause);
        wire::HeldPart {
            part,
            digest,
            workspace: held.workspace.unwrap_or_default().to_string(),
            first_age: age(held.first, now),
            last_age: age(held.last, now),
            ends: held.ends,
            trials: held.trials,
            weak: held.weak,
        }
    });
    held.collect()
}

fn read_held(message: &wire::HeldPart, now: Duration) -> HeldCause {
    let workspace = (!message.workspace.is_empty()).then(|| (&message.workspace).into());
    HeldCause {
        cause: read_cause(&message.part, &message.digest),
        workspace,
        first: time_of(message.first_age, now),
        last: time_of(message.last_age, now),
        ends: message.ends,
        trials: message.trials,
        weak: message.weak,
    }
}

fn end_message(end: &EndpointEnd, now: Duration) -> wire::EndpointEnd {
    let suspects = end.suspects.iter().map(|suspect| wire::Prompt {
        request: suspect.request,
        workspace: suspect.workspace.to_string(),
        parts: suspect.parts().map(ToString::to_string).collect(),
        digest: suspect.digest.as_bytes().to_vec(),
    });
    wire::EndpointEnd {
        endpoint: end.instance.0.to_string(),
        born: end.instance.1,
        age: age(end.at, now),
        suspects: suspects.collect(),
        sound: sound_messages(&end.sound, now),
    }
}

fn read_end(message: &wire::EndpointEnd, now: Duration) -> EndpointEnd {
    let suspects = message.suspects.iter().map(|suspect| {
        let digest = RequestDigest::from_bytes(&suspect.digest)
            // A VM of an older version does not tell it.
            .unwrap_or_else(|| RequestDigest::of_id(suspect.request));
        let parts = suspect.parts.iter().map(PartId::new).collect();
        RequestContent::new(suspect.request, (&suspect.workspace).into(), parts, digest)
    });
    EndpointEnd {
        instance: (message.endpoint.as_str().into(), message.born),
        at: time_of(message.age, now),
        suspects: suspects.collect(),
        sound: message.sound.iter().map(|sound| read_sound(sound, now)).collect(),
    }
}
