//! What follows when an endpoint breaks off a request, or has ended under others like it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bamboocourse_decide::{
    Cause, ErrorKind, HeldCause, Refusal, RequestContent, SOUND_STREAM_TIME, SendCheck, ServiceId,
};
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

/// The leave to send a request once although it is held back, to learn whether it is sound.
#[derive(Debug, Clone)]
pub(crate) struct TrialPass(Arc<AtomicBool>);

impl TrialPass {
    fn none() -> Self {
        Self(Arc::new(AtomicBool::new(false)))
    }

    fn one() -> Self {
        Self(Arc::new(AtomicBool::new(true)))
    }

    fn is_left(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Takes the leave as the request is written to an endpoint.
    pub(super) fn use_up(&self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// When a request may be sent again that is held back by thin evidence and not tried any more.
const THIN_RETRY_AFTER: Duration = Duration::from_secs(60);

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
        let parts = job.request.parts.join(",");
        info!(id = job.request.id.as_str(), endpoint = slot.name.as_str(), born = slot.instance,
            progress = progress.name(), streaming_ms = streaming.as_millis() as u64,
            filled_percent = (slot.utilization * 100.0) as u64,
            digest:% = job.content.digest, workspace = job.content.workspace.as_str(),
            parts = parts.as_str(); "an endpoint broke a request off");
        self.metrics.broken_off.add(1, &[]);
        // An endpoint that leaves is expected to end.
        if slot.is_leaving() || streaming >= SOUND_STREAM_TIME {
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
                let (crashes, content) = (self.crashes.clone(), job.content.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(END_CHECK_DELAY).await;
                    if crashes.has_ended(&instance) || pool.is_refused(address).await {
                        crashes.on_end(instance, content, ended_at);
                    }
                });
                return;
            }
            // Neither accepted nor refused: the link may be cut.
            Err(_) => return,
        }
        self.crashes.on_end(instance, job.content.clone(), ended_at);
    }

    /// Records that an endpoint has answered a request with a body that ends with its connection, which
    /// an endpoint that ends leaves, too.
    pub(super) fn check_unframed(&self, job: &Job, slot: &EndpointSlot, began: Instant) {
        let (ended_at, address) = (boot_now(), slot.address);
        let instance = (slot.name.clone(), slot.instance);
        let (crashes, content, pool) =
            (self.crashes.clone(), job.content.clone(), self.pool.clone());
        tokio::spawn(async move {
            tokio::time::sleep(END_CHECK_DELAY).await;
            let check = tokio::time::timeout(END_CHECK_TIMEOUT, pool.is_refused(address)).await;
            match check {
                Ok(true) => crashes.on_end(instance, content, ended_at),
                Ok(false) if !crashes.has_ended(&instance) => {
                    crashes.on_sound(&content, began.elapsed());
                }
                // The endpoint is back already, or the link may be cut.
                Ok(false) | Err(_) => {}
            }
        });
    }

    /// Records that an endpoint has answered a request, from `began` on.
    pub(super) fn on_answered(&self, job: &Job, began: Instant) {
        self.crashes.on_sound(&job.content, began.elapsed());
    }

    /// Refuses a new request if it or a part of its prompt is held back; returns whether it is sent once
    /// as a trial.
    pub(super) async fn check_content(
        &self,
        content: &RequestContent,
        service: &ServiceId,
    ) -> Result<TrialPass, Refusal> {
        match self.crashes.admit(content, || self.scheduler.has_spare(service)).await {
            SendCheck::Open | SendCheck::EndedEndpoints(_) => Ok(TrialPass::none()),
            SendCheck::Trial => Ok(TrialPass::one()),
            SendCheck::Held(held) => {
                self.metrics.held_requests.add(1, &[]);
                Err(held_refusal(&held))
            }
        }
    }

    /// Returns the refusal of a request that must not be sent now; `runs` counts the sends that may
    /// have run.
    pub(super) fn check_send(&self, job: &Job, runs: u32) -> Option<Refusal> {
        if job.trial.is_left() {
            return None;
        }
        let refusal = match self.crashes.check(&job.content) {
            SendCheck::Open | SendCheck::Trial => return None,
            SendCheck::Held(held) => held_refusal(&held),
            SendCheck::EndedEndpoints(ends) => {
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
            ErrorKind::PromptSuspected | ErrorKind::RequestSuspected => ErrorKind::EndpointFailed,
            kind => kind,
        };
        Some(Refusal::unknown(kind, refusal.detail))
    }
}

/// Returns the refusal of a request that is held back: for good where the evidence is conclusive, else
/// until the next request that is tried has shown whether it is sound.
fn held_refusal(held: &HeldCause) -> Refusal {
    let (final_kind, passing_kind) = match held.cause {
        Cause::Part(_) => (ErrorKind::PromptHeld, ErrorKind::PromptSuspected),
        Cause::Request(_) => (ErrorKind::RequestHeld, ErrorKind::RequestSuspected),
    };
    let wait = held.recheck_after(boot_now());
    // A request that nothing else will clear is not refused for good by thin evidence.
    let is_thin = held.cause.is_request() && held.weak;
    match wait.or(is_thin.then_some(THIN_RETRY_AFTER)) {
        None => Refusal::not_run(final_kind, held_detail(held)),
        Some(wait) => Refusal::not_run(passing_kind, held_detail(held)).retry_after(wait),
    }
}

/// Says what is held back, and why.
fn held_detail(held: &HeldCause) -> String {
    let last = boot_now().saturating_sub(held.last);
    let what = match &held.cause {
        Cause::Part(part) => format!("requests with the part {part} of the prompt"),
        Cause::Request(digest) => format!("attempts of the request {digest}"),
    };
    let (ends, seconds) = (held.ends, last.as_secs());
    format!("{ends} endpoints have ended under {what}, the last one {seconds} s ago")
}
