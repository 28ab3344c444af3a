//! What follows when an endpoint breaks off a request, or has ended under others like it.

use std::time::Duration;

use bamboocourse_decide::{ErrorKind, HeldPart, Prompt, PromptCheck, Refusal, SOUND_STREAM_TIME};
use log::info;
use tokio::time::Instant;

use super::{Job, Pipeline};
use crate::edge::clock::boot_now;
use crate::process::scheduler::EndpointSlot;

/// How long a request waits for the test whether an endpoint that broke it off has ended; within one
/// region, a connection is refused within some milliseconds.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// When the test is repeated if the endpoint still accepts connections: while a process ends, its
/// listener may close after its connections.
const END_CHECK_DELAY: Duration = Duration::from_millis(50);

/// How far a request was at an endpoint that broke it off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No part of a response had arrived.
    Sent,
    /// The head of the response had arrived, but no whole event.
    Begun,
    /// Whole events had arrived, the first one at this time.
    Streaming(Instant),
}

impl Progress {
    fn name(self) -> &'static str {
        match self {
            Progress::Sent => "sent",
            Progress::Begun => "begun",
            Progress::Streaming(_) => "streaming",
        }
    }
}

impl Pipeline {
    /// Records that an endpoint broke a request off.
    ///
    /// If the endpoint's process has ended before it was seen to answer the request, the request may
    /// have ended it.
    pub(super) async fn on_broken_off(&self, job: &Job, slot: &EndpointSlot, progress: Progress) {
        let ended_at = boot_now();
        let streaming = match progress {
            Progress::Streaming(first) => first.elapsed(),
            Progress::Sent | Progress::Begun => Duration::ZERO,
        };
        info!(id = job.request.id.as_str(), endpoint = slot.name.as_str(), born = slot.instance,
            progress = progress.name(), streaming_ms = streaming.as_millis() as u64,
            filled_percent = (slot.utilization * 100.0) as u64,
            digest:% = job.prompt.digest, workspace = job.prompt.workspace.as_str(),
            parts = job.prompt.parts.join(",").as_str(); "an endpoint broke a request off");
        self.metrics.broken_off.add(1, &[]);
        // Such a request is not sent again, and has no part that others share.
        let is_single = job.prompt.parts.is_empty() && !job.route.retry_policy.is_retryable();
        // An endpoint that leaves is expected to end.
        if is_single || slot.is_leaving() || streaming >= SOUND_STREAM_TIME {
            return;
        }
        let instance = (slot.name.clone(), slot.instance);
        let pool = self.pool.clone();
        let address = slot.address;
        let check = tokio::time::timeout(END_CHECK_TIMEOUT, pool.is_refused(address));
        match check.await {
            _ if self.crashes.has_ended(&instance) => {}
            Ok(true) => {}
            Ok(false) => {
                let (crashes, prompt) = (self.crashes.clone(), job.prompt.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(END_CHECK_DELAY).await;
                    if crashes.has_ended(&instance) || pool.is_refused(address).await {
                        crashes.on_end(instance, prompt, ended_at);
                    }
                });
                return;
            }
            // Neither accepted nor refused: the link may be cut.
            Err(_) => return,
        }
        self.crashes.on_end(instance, job.prompt.clone(), ended_at);
    }

    /// Records that an endpoint has answered a request, from `began` on.
    pub(super) fn on_answered(&self, job: &Job, began: Instant) {
        self.crashes.on_sound(&job.prompt.workspace, &job.prompt.parts, began.elapsed());
    }

    /// Refuses a new request if a part of its prompt is held back; returns whether it is sent as a
    /// trial.
    pub(super) async fn check_prompt(&self, prompt: &Prompt) -> Result<bool, Refusal> {
        match self.crashes.admit(prompt).await {
            PromptCheck::Open | PromptCheck::EndedEndpoints(_) => Ok(false),
            PromptCheck::Trial => Ok(true),
            PromptCheck::Held(held) => {
                self.metrics.held_requests.add(1, &[]);
                Err(held_refusal(&held))
            }
        }
    }

    /// Returns the refusal of a request that must not be sent now; `runs` counts the sends that may
    /// have run.
    pub(super) fn check_send(&self, job: &Job, runs: u32) -> Option<Refusal> {
        if job.is_trial && runs == 0 {
            return None;
        }
        let refusal = match self.crashes.check(&job.prompt) {
            PromptCheck::Open | PromptCheck::Trial => return None,
            PromptCheck::Held(held) => held_refusal(&held),
            PromptCheck::EndedEndpoints(ends) => {
                let detail = format!("{ends} endpoints have ended under the request");
                Refusal::not_run(ErrorKind::EndpointFailed, detail)
            }
        };
        self.metrics.held_requests.add(1, &[]);
        if runs == 0 {
            return Some(refusal);
        }
        // A request that may have run is not told to come back as if it had not.
        let kind = match refusal.kind {
            ErrorKind::PromptSuspected => ErrorKind::EndpointFailed,
            kind => kind,
        };
        Some(Refusal::unknown(kind, refusal.detail))
    }
}

/// Returns the refusal of a request with a part that is held back: for good where the evidence is
/// conclusive, else until the next request that is tried has shown whether the part is sound.
fn held_refusal(held: &HeldPart) -> Refusal {
    match held.recheck_after(boot_now()) {
        None => Refusal::not_run(ErrorKind::PromptHeld, held_detail(held)),
        Some(wait) => {
            Refusal::not_run(ErrorKind::PromptSuspected, held_detail(held)).retry_after(wait)
        }
    }
}

/// Says which part of a prompt is held back, and why.
fn held_detail(held: &HeldPart) -> String {
    let last = boot_now().saturating_sub(held.last);
    format!(
        "{} endpoints have ended under requests with the part {} of the prompt, the last one {} s ago",
        held.ends,
        held.part,
        last.as_secs()
    )
}
