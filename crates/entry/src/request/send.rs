//! Sends a request to one endpoint and checks the head of the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bamboocourse_decide::{ErrorKind, Refusal, RunEnd, SendOutcome};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::grace::Run;
use super::loss::Progress;
use super::trace::Trace;
use super::{DEFAULT_RETRY_AFTER, Job, Pipeline, timeout_refusal};
use crate::edge::EndpointRequest;
use crate::edge::clock::boot_now;
use crate::edge::pool::{PooledConnection, SendError};
use crate::edge::timeout::timeout_at;
use crate::process::scheduler::EndpointSlot;

/// How long a response may take before the request is sent to another endpoint, in tenths of the
/// route's latency target.
const HANG_TIMEOUT_TENTHS: u32 = 25;
/// The shortest wait for a response before the request is sent to another endpoint.
const MIN_HANG_TIMEOUT: Duration = Duration::from_millis(450);

/// An endpoint's response whose head has been checked.
pub(super) struct EndpointResponse {
    pub(super) head: http::response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: PooledConnection,
    /// `None` if the connection closes after the response; otherwise how long the endpoint keeps
    /// the connection idle, if the endpoint says so.
    pub(super) idle: Option<Option<Duration>>,
    pub(super) slot: EndpointSlot,
    /// The request's run.
    pub(super) run: Run,
    /// When the head arrived.
    pub(super) began: Instant,
}

/// The result of one send.
pub(super) enum SendResult {
    /// The endpoint responded and has run the request.
    Response(Box<EndpointResponse>),
    /// The endpoint has certainly not run the request.
    NotRun(Refusal),
    /// No endpoint received any of the request.
    NotSent(Refusal),
    /// The endpoint has certainly not run the request and may be sent it again later: it is still
    /// loading the model or adapter, or wants quiet for a time.
    NotYet(Refusal),
    /// Nothing was written, as the endpoint was found to leave, to want quiet or to take no more requests
    /// for now since it was picked.
    Withheld,
    /// The endpoint may have run the request.
    Unknown(Refusal),
}

/// Records that a request was written to an endpoint, also if its caller leaves before the answer.
struct WriteGuard<'a> {
    slot: &'a EndpointSlot,
    /// Whether the request is being written or was written.
    begun: AtomicBool,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        if self.begun.load(Ordering::Relaxed) {
            self.slot.on_written();
        }
    }
}

impl SendResult {
    /// Returns whether an endpoint may have received the request.
    pub(super) fn may_have_arrived(&self) -> bool {
        !matches!(self, SendResult::NotSent(_) | SendResult::Withheld)
    }
}

impl Pipeline {
    /// Sends a request and reads the head of the response.
    ///
    /// A stream continues after `last_event`. `runs` counts the earlier sends that may have run. `written` is
    /// notified when the request is being written.
    pub(super) async fn send(
        self: &Arc<Self>,
        job: &Job,
        mut slot: EndpointSlot,
        last_event: Option<u64>,
        runs: u32,
        written: &Notify,
        trace: &mut Trace,
    ) -> SendResult {
        let endpoint_request = EndpointRequest {
            endpoint: &slot.name,
            workspace: job.workspace.as_ref(),
            remaining: job.remaining(),
            urgency: job.request.target.as_ref().map(|_| job.urgency),
            last_event,
        };
        let request = self
            .protocol
            .write_request(&job.request, &endpoint_request)
            .body(Full::new(job.body.clone()));
        let request = match request {
            Ok(request) => request,
            Err(error) => {
                let detail = format!("the request cannot be passed on: {error}");
                return SendResult::NotRun(Refusal::not_run(ErrorKind::BadRequest, detail));
            }
        };
        let write = WriteGuard { slot: &slot, begun: AtomicBool::new(false) };
        // An answer to another request may have come since the endpoint was picked.
        let may_send = || {
            let may_write =
                self.check_send(job, runs).is_none() && !self.is_too_late(job) && slot.may_write();
            write.begun.store(may_write, Ordering::Relaxed);
            if may_write {
                job.trial.use_up();
                written.notify_one();
            }
            may_write
        };
        let began = boot_now();
        let run = self.begin_run(job, last_event);
        self.log_late_send(job, trace);
        let result = {
            let sending = self.pool.send_if(slot.address, request, may_send);
            tokio::pin!(sending);
            let mut until = self.hang_deadline(job, runs);
            loop {
                let result = timeout_at(until, sending.as_mut()).await;
                // Keeps waiting for a busy endpoint, as the others are hardly less busy, and if no other one
                // may be asked any more.
                let keeps_waiting = || slot.is_busy() || self.is_too_late(job);
                if result.is_err() && until < job.deadline && keeps_waiting() {
                    until = self.hang_deadline(job, runs);
                    continue;
                }
                break result;
            }
        };
        if matches!(result, Ok(Err(SendError::NotSent(_) | SendError::Withheld))) {
            write.begun.store(false, Ordering::Relaxed);
        }
        drop(write);
        let (response, connection) = match result {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(why))) => {
                trace.note("not sent");
                run.finish(RunEnd::NotRun);
                slot.set_outcome(SendOutcome::Unreachable);
                let detail = format!("{} cannot be reached: {why}", slot.name);
                return SendResult::NotSent(
                    Refusal::not_run(ErrorKind::NoEndpoint, detail)
                        .retry_after(DEFAULT_RETRY_AFTER),
                );
            }
            Ok(Err(SendError::Withheld)) => {
                trace.cancel_send("withheld");
                run.finish(RunEnd::NotRun);
                self.metrics.withheld.add(1, &[]);
                return SendResult::Withheld;
            }
            Ok(Err(SendError::Unknown(why))) => {
                trace.note("connection lost");
                self.on_broken_off(job, &slot, Progress::Sent).await;
                slot.set_outcome(SendOutcome::Failed);
                let detail = format!("{} broke off: {why}", slot.name);
                return SendResult::Unknown(Refusal::unknown(ErrorKind::EndpointFailed, detail));
            }
            Err(_) => {
                trace.note("no answer");
                slot.set_outcome(SendOutcome::Failed);
                return SendResult::Unknown(timeout_refusal(&slot));
            }
        };
        self.check_response(job, (response, connection), slot, (began, run), trace).await
    }

    /// Checks that a response belongs to this request, is not a rejection and carries a seal.
    async fn check_response(
        &self,
        job: &Job,
        (response, connection): (http::Response<Incoming>, PooledConnection),
        mut slot: EndpointSlot,
        (sent, run): (Duration, Run),
        trace: &mut Trace,
    ) -> SendResult {
        let (head, body) = response.into_parts();
        let parsed = self.protocol.read_response(&head);
        if let Some(load) = parsed.load {
            slot.on_load(load);
        }
        // A 421 may come from another endpoint that has the address now.
        let is_other = match &parsed.id {
            Some(id) => *id != job.request.id,
            // Nothing says that it is not the rest of an earlier response.
            None => parsed.not_run && connection.is_reused(),
        };
        let sent = (!is_other).then_some(sent);
        let wants_quiet = head.status != 421 && slot.on_head(&parsed, sent, &job.request.id);
        if is_other {
            trace.note("another request's answer");
            slot.set_outcome(SendOutcome::Failed);
            let detail = format!("{} answered another request", slot.name);
            return SendResult::Unknown(Refusal::unknown(ErrorKind::ResponseMismatch, detail));
        }
        let idle = (!parsed.closes).then_some(parsed.idle_timeout);
        if parsed.not_run {
            run.finish(RunEnd::NotRun);
            // The connection is closed: an endpoint that writes the refusal once more would have it taken
            // for the answer to the next request, which may be this one again.
            drop((body, connection));
            // 421: the endpoint lacks the model or adapter, or is not the expected endpoint.
            let missing = head.status == 421;
            let detail = format!("{} answered {} and did not run it", slot.name, head.status);
            let refusal =
                Refusal::not_run(ErrorKind::Overloaded, detail).retry_after(DEFAULT_RETRY_AFTER);
            if wants_quiet {
                trace.note("endpoint wants quiet");
                return SendResult::NotYet(refusal);
            }
            trace.note(if missing { "endpoint lacks it" } else { "endpoint is full" });
            slot.set_outcome(if missing { SendOutcome::Neutral } else { SendOutcome::Rejected });
            let target = job.request.target.as_ref().filter(|_| missing);
            if target.is_some_and(|target| slot.on_missing(target)) {
                return SendResult::NotYet(refusal);
            }
            return SendResult::NotRun(refusal);
        }
        if parsed.id.is_none() || !parsed.sealed {
            trace.note("answer without a seal");
            slot.set_outcome(SendOutcome::Failed);
            let detail = format!("{} answered {} without its seal", slot.name, head.status);
            return SendResult::Unknown(Refusal::unknown(ErrorKind::EndpointFailed, detail));
        }
        trace.record_first_byte();
        let began = Instant::now();
        let response = EndpointResponse { head, body, connection, idle, slot, run, began };
        SendResult::Response(Box::new(response))
    }

    /// Returns until when to wait for a response, or for its body, before the request is sent to
    /// another endpoint.
    ///
    /// This is the request's deadline if the request cannot be sent again, also because the process leaves.
    pub(super) fn hang_deadline(&self, job: &Job, runs: u32) -> Instant {
        let timeout = (job.route.latency_target * HANG_TIMEOUT_TENTHS / 10).max(MIN_HANG_TIMEOUT);
        let until = Instant::now() + timeout;
        let is_last = !job.can_retry(runs) || self.is_too_late_at(job, until);
        if is_last { job.deadline } else { until.min(job.deadline) }
    }
}
