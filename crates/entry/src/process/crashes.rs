//! Shares a VM's log of endpoint crashes between requests, the coordinator and the links to other VMs,
//! and writes a log line when a part of prompts is held back or let go.

use std::cmp::Reverse;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    CrashLog, EndpointEnd, EndpointInstance, HeldPart, PartChange, PartEvidence, PartId, Prompt,
    PromptCheck, RequestDigest, TRIAL_TERM, VmId, WorkspaceId,
};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::process::coordinator::row::HeldPartRow;
use crate::process::metrics::Metrics;
use crate::process::scheduler::Scheduler;
use crate::wire::{self, Lead, Status};

/// The most held parts that the lease's row keeps.
const MAX_HELD_ROWS: usize = 16;

/// The most ends of endpoints that are logged when a part is held back.
const MAX_LOGGED_ENDS: usize = 8;

/// What is told about parts of prompts as soon as it changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ToldParts {
    held: Vec<(PartId, Option<WorkspaceId>, bool)>,
    doubts: Vec<PartId>,
}

impl ToldParts {
    /// Returns whether the same parts are held back, whatever parts are in doubt.
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
    pub(crate) fn check(&self, prompt: &Prompt) -> PromptCheck {
        let check = self.lock().check(prompt, boot_now());
        if check == PromptCheck::Trial {
            info!(parts = prompt.parts.join(",").as_str(), workspace = prompt.workspace.as_str();
                "a request is tried although a part of its prompt is held back");
        }
        check
    }

    /// Returns whether a new request may be sent; a request that could be a trial waits for the leader's
    /// word.
    pub(crate) async fn admit(&self, prompt: &Prompt) -> PromptCheck {
        let until = Instant::now() + TRIAL_TERM;
        let mut asked = false;
        loop {
            let told = self.told.notified();
            let check = self.check(prompt);
            let PromptCheck::Held(held) = &check else { return check };
            if !self.lock().ask_trial(&held.part, prompt.request, boot_now()) {
                return check;
            }
            if !asked {
                info!(part = held.part.as_str(), trials = held.trials;
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
    pub(crate) fn on_end(&self, instance: EndpointInstance, prompt: Prompt, at: Duration) {
        let now = boot_now();
        let (endpoint, born) = instance.clone();
        let end = EndpointEnd { instance, at, suspects: vec![prompt], sound: Vec::new() };
        if self.apply(|log| log.on_end(end, now)) {
            info!(endpoint = endpoint.as_str(), born; "an endpoint has ended under requests");
            self.metrics.endpoint_ends.add(1, &[]);
            // The next report tells it.
            self.scheduler.shortage.notify_one();
        }
    }

    /// Records that a request is answered; the endpoint began to answer `ago`.
    pub(crate) fn on_sound(&self, workspace: &WorkspaceId, parts: &[PartId], ago: Duration) {
        if parts.is_empty() {
            return;
        }
        let now = boot_now();
        self.apply(|log| log.on_sound(workspace, parts, now.saturating_sub(ago), now));
    }

    /// Sets whether this VM leads.
    pub(crate) fn set_leads(&self, leads: bool) {
        self.lock().set_leads(leads);
    }

    /// Forgets what is too old, and updates the metrics.
    pub(crate) fn prune(&self) {
        let now = boot_now();
        self.apply(|log| log.prune(now));
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
        status.trial_asks = log.asked_trials(now).iter().map(ToString::to_string).collect();
        if first {
            status.held_parts = held_messages(&log, now);
        }
        told
    }

    /// Applies what another VM reports.
    pub(crate) fn on_report(&self, status: &Status) {
        let now = boot_now();
        self.apply(|log| {
            for held in &status.held_parts {
                log.adopt(read_held(held, now), now);
            }
            for end in &status.ended {
                log.on_end(read_end(end, now), now);
            }
            for sound in &status.sound_parts {
                let (part, began) = read_sound(sound, now);
                log.on_told_sound(&part, began, now);
            }
        });
    }

    /// Adds to a message which parts this VM holds back.
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
        for part in &status.trial_asks {
            let part = PartId::new(part);
            let mut log = self.lock();
            // The log may still lead although the lease has lapsed; it must not allow trials then.
            if leads == log.leads() && log.on_trial_ask(&part, &vm, now) {
                info!(part = part.as_str(), vm = vm.as_str(); "a VM may try one request with a part");
                reply.trials.push(part.to_string());
            } else if !leads {
                // The next report tells it.
                self.scheduler.shortage.notify_one();
            }
        }
    }

    /// Applies what the VM tells that this one reports to; returns the trials to pass on, and to whom.
    pub(crate) fn on_told(&self, message: &Lead) -> Vec<(VmId, PartId)> {
        let now = boot_now();
        if message.tells_parts {
            let held = message.held_parts.iter().map(|held| read_held(held, now)).collect();
            let doubts = message.doubts.iter();
            let doubts =
                doubts.map(|doubt| (PartId::new(&doubt.part), time_of(doubt.first_age, now)));
            let doubts = doubts.collect();
            self.apply(|log| {
                log.on_told_doubts(doubts);
                log.on_told(held, now);
            });
        }
        let parts = message.trials.iter().map(PartId::new);
        let allowed = parts.filter_map(|part| {
            let vm = self.lock().on_trial_allowed(&part, now);
            vm.map(|vm| (vm, part))
        });
        let passed_on = allowed.collect();
        self.told.notify_waiters();
        passed_on
    }

    /// Returns the parts that are held back, for the lease's row; `to_store` converts times to the
    /// store's clock.
    pub(crate) fn held_rows(&self, to_store: impl Fn(Duration) -> u64) -> Vec<HeldPartRow> {
        let mut held = self.lock().held();
        held.sort_by_key(|held| Reverse(held.last));
        let rows = held.into_iter().take(MAX_HELD_ROWS).map(|held| HeldPartRow {
            first: to_store(held.first),
            last: to_store(held.last),
            part: held.part,
            workspace: held.workspace,
            ends: held.ends,
            trials: held.trials,
            weak: held.weak,
        });
        rows.collect()
    }

    /// Adopts the parts of the lease's row; `to_local` converts times from the store's clock.
    pub(crate) fn adopt_rows(&self, rows: &[HeldPartRow], to_local: impl Fn(u64) -> Duration) {
        if rows.is_empty() {
            return;
        }
        let now = boot_now();
        self.apply(|log| {
            for row in rows {
                let held = HeldPart {
                    part: row.part.clone(),
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

    /// Returns the parts that are held back or in doubt, in a fixed order.
    pub(crate) fn told_parts(&self) -> ToldParts {
        let log = self.lock();
        let held = log.held().into_iter().map(|held| (held.part, held.workspace, held.weak));
        let doubts = log.doubts().into_iter().map(|(part, _)| part);
        let mut told = ToldParts { held: held.collect(), doubts: doubts.collect() };
        told.held.sort();
        told.doubts.sort();
        told
    }

    /// Changes the log, and writes a line for each part whose state has changed.
    fn apply<T>(&self, change: impl FnOnce(&mut CrashLog) -> T) -> T {
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
                PartChange::Suspected(part, ends) => {
                    info!(part = part.as_str(), ends;
                        "endpoints have ended under requests with a part of their prompts");
                }
                PartChange::Decided(evidence) => log_evidence(&evidence, now),
                PartChange::Held(held) => {
                    warn!(part = held.part.as_str(), ends = held.ends, trials = held.trials, weak = held.weak,
                        workspace = held.workspace.as_deref().unwrap_or("all"),
                        first_ms = now.saturating_sub(held.first).as_millis() as u64,
                        last_ms = now.saturating_sub(held.last).as_millis() as u64;
                        "a part of prompts is held back");
                }
                PartChange::Released(held, why) => {
                    info!(part = held.part.as_str(), ends = held.ends, trials = held.trials, why,
                        first_ms = now.saturating_sub(held.first).as_millis() as u64;
                        "a part of prompts is no longer held back");
                }
            }
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, CrashLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes a line for each end that counts against a part, and one for what they come to.
fn log_evidence(evidence: &PartEvidence, now: Duration) {
    let part = evidence.part.as_str();
    for ((endpoint, born), at, suspects) in evidence.ends.iter().take(MAX_LOGGED_ENDS) {
        info!(part, endpoint = endpoint.as_str(), born, suspects, ago_ms = age(*at, now);
            "the end of an endpoint counts against a part of prompts");
    }
    let answered_ms = evidence.sound_at.map_or(-1, |at| age(at, now) as i64);
    info!(part, ends = evidence.ends.len(), requests = evidence.requests, others = evidence.others,
        answered_ms; "the evidence against a part of prompts suffices");
}

/// Returns how long ago a time was, in milliseconds.
fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

/// Returns the time that was some milliseconds ago.
fn time_of(age: u64, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age))
}

fn sound_messages(sound: &[(PartId, Duration)], now: Duration) -> Vec<wire::SoundPart> {
    let message = |(part, at): &(PartId, Duration)| wire::SoundPart {
        part: part.to_string(),
        age: age(*at, now),
    };
    sound.iter().map(message).collect()
}

fn read_sound(message: &wire::SoundPart, now: Duration) -> (PartId, Duration) {
    (PartId::new(&message.part), time_of(message.age, now))
}

fn held_messages(log: &CrashLog, now: Duration) -> Vec<wire::HeldPart> {
    let held = log.held().into_iter().map(|held| wire::HeldPart {
        part: held.part.to_string(),
        workspace: held.workspace.unwrap_or_default().to_string(),
        first_age: age(held.first, now),
        last_age: age(held.last, now),
        ends: held.ends,
        trials: held.trials,
        weak: held.weak,
    });
    held.collect()
}

fn read_held(message: &wire::HeldPart, now: Duration) -> HeldPart {
    let workspace = (!message.workspace.is_empty()).then(|| (&message.workspace).into());
    HeldPart {
        part: PartId::new(&message.part),
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
        parts: suspect.parts.iter().map(ToString::to_string).collect(),
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
    let suspects = message.suspects.iter().map(|suspect| Prompt {
        request: suspect.request,
        workspace: (&suspect.workspace).into(),
        parts: suspect.parts.iter().map(PartId::new).collect(),
        digest: RequestDigest::from_bytes(&suspect.digest)
            // A VM of an older version does not tell it.
            .unwrap_or_else(|| RequestDigest::of_id(suspect.request)),
    });
    EndpointEnd {
        instance: (message.endpoint.as_str().into(), message.born),
        at: time_of(message.age, now),
        suspects: suspects.collect(),
        sound: message.sound.iter().map(|sound| read_sound(sound, now)).collect(),
    }
}
