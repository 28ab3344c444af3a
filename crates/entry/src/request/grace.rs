//! Which requests a leaving VM still passes on: those that are expected to end before it does.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    ErrorKind, FleetRoute, Refusal, RunEnd, RunEstimate, RunId, RunSize, RunTimes, ShutdownSchedule,
};
use log::info;
use tokio::time::Instant;

use super::trace::Trace;
use super::{Job, Pipeline};
use crate::edge::CallerRequest;
use crate::process::shutdown::Phase;

/// When the caller of a request that a leaving VM refuses may retry: other VMs can take it at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request at an endpoint, whose run time is learned from; it counts as broken off when this is dropped.
pub(super) struct Run {
    pipeline: Arc<Pipeline>,
    /// `None` for the rest of a stream, which says little of whole ones.
    id: Option<RunId>,
    sent: Instant,
}

impl Run {
    /// Records how the request ended.
    pub(super) fn finish(mut self, end: RunEnd) {
        self.record(end);
    }

    fn record(&mut self, end: RunEnd) {
        if let Some(id) = self.id.take() {
            self.pipeline.run_times().end(&id, self.sent.elapsed(), end);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.record(RunEnd::BrokenOff);
    }
}

impl Pipeline {
    fn run_times(&self) -> MutexGuard<'_, RunTimes> {
        self.run_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request is sent now; `last_event` is the last event that its caller has.
    pub(super) fn begin_run(self: &Arc<Self>, job: &Job, last_event: Option<u64>) -> Run {
        let id = last_event.is_none().then(|| {
            let model = job.request.target.as_ref().map(|target| &target.model);
            self.run_times().begin(&job.route.name, model, run_size(&job.request))
        });
        Run { pipeline: self.clone(), id, sent: Instant::now() }
    }

    /// Returns how long a request is expected to run; `None` if that is not known.
    fn estimate_run(&self, route: &FleetRoute, request: &CallerRequest) -> Option<RunEstimate> {
        let model = request.target.as_ref().map(|target| &target.model);
        self.run_times().estimate(&route.name, model, run_size(request))
    }

    /// Returns until when a new request may be passed on; `None` if the process is not leaving.
    fn latest_first_send(
        &self,
        route: &FleetRoute,
        request: &CallerRequest,
        deadline: Instant,
    ) -> Option<Instant> {
        self.shutdown.latest(deadline, |schedule: &ShutdownSchedule, deadline| {
            schedule.latest_send(deadline, self.estimate_run(route, request))
        })
    }

    /// Returns until when a request, or the rest of its stream, may be passed on; `None` if the process is
    /// not leaving.
    fn latest_send(&self, job: &Job) -> Option<Instant> {
        let Some(since) = job.streams_since else {
            return self.latest_first_send(&job.route, &job.request, job.deadline);
        };
        self.shutdown.latest(job.deadline, |schedule, deadline| {
            let estimate = self.estimate_run(&job.route, &job.request);
            schedule.latest_resume(deadline, estimate, since.elapsed())
        })
    }

    /// Returns for how long a request may still wait for an endpoint; `None` if the process is not leaving.
    pub(super) fn time_to_send(&self, job: &Job) -> Option<Duration> {
        let latest = self.latest_send(job)?;
        Some(latest.saturating_duration_since(Instant::now()))
    }

    /// Returns whether the process may end before a request does that is passed on now.
    pub(super) fn is_too_late(&self, job: &Job) -> bool {
        self.is_too_late_at(job, Instant::now())
    }

    /// The same for a request that is passed on at a time.
    pub(super) fn is_too_late_at(&self, job: &Job, at: Instant) -> bool {
        self.latest_send(job).is_some_and(|latest| latest < at)
    }

    /// Returns the refusal of a request that may outlast the process if it is passed on now.
    pub(super) fn check_grace(&self, job: &Job) -> Option<Refusal> {
        self.is_too_late(job).then(|| self.grace_refusal(&job.route, &job.request))
    }

    /// The same for a request that has not been admitted.
    pub(super) fn check_first_grace(
        &self,
        route: &FleetRoute,
        request: &CallerRequest,
        deadline: Instant,
    ) -> Option<Refusal> {
        let latest = self.latest_first_send(route, request, deadline)?;
        (latest < Instant::now()).then(|| self.grace_refusal(route, request))
    }

    /// Returns the refusal of a request that may outlast the process, and counts it.
    pub(super) fn grace_refusal(&self, route: &FleetRoute, request: &CallerRequest) -> Refusal {
        self.metrics.count_unavailable("shutdown");
        let upper = match self.estimate_run(route, request) {
            Some(RunEstimate { longest: Some(longest), .. }) => {
                format!("{} ms", longest.as_millis())
            }
            Some(estimate) => format!("{} ms or more", estimate.likely.as_millis()),
            None => "an unknown time".to_owned(),
        };
        let left = self.shutdown.time_left().as_millis();
        let detail =
            format!("the VM is shutting down; the request may take {upper}, {left} ms are left");
        Refusal::not_run(ErrorKind::NotReady, detail).retry_after(LEAVING_RETRY_AFTER)
    }

    /// Waits until the process is leaving and a request may no longer be passed on.
    pub(super) async fn too_late(&self, job: &Job) {
        self.shutdown.reached(Phase::Leaving).await;
        while let Some(left) = self.time_to_send(job).filter(|left| !left.is_zero()) {
            tokio::time::sleep(left).await;
        }
    }

    /// Writes a line for a request that is passed on while the process leaves, and records what is
    /// expected of it.
    pub(super) fn log_late_send(&self, job: &Job, trace: &mut Trace) {
        let Some(left) = self.time_to_send(job) else { return };
        let estimate = self.estimate_run(&job.route, &job.request);
        trace.set_expected(estimate);
        let ms = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
        info!(id = job.request.id.as_str(), likely_ms = ms(estimate.map(|e| e.likely)),
            upper_ms = ms(estimate.and_then(|e| e.upper)),
            longest_ms = ms(estimate.and_then(|e| e.longest)),
            runs = estimate.map_or(0, |e| e.runs), spare_ms = left.as_millis() as u64,
            left_ms = self.shutdown.time_left().as_millis() as u64;
            "a request is passed on while the VM leaves");
    }
}

/// Returns what a request says of the length of its answer.
fn run_size(request: &CallerRequest) -> RunSize {
    let most = request.tokens.map(|(_, output)| output);
    match (request.expected, most) {
        (Some(expected), Some(most)) => RunSize::About(expected.min(most)),
        (Some(expected), None) => RunSize::About(expected),
        (None, Some(most)) => RunSize::AtMost(most),
        (None, None) => RunSize::Unknown,
    }
}
