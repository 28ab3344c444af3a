//! Acquires an endpoint's slot for a request, or refuses the request and says when to retry.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{ErrorKind, Refusal, Requirements, Shortage};
use tokio::time::Instant;

use super::trace::Trace;
use super::{DEFAULT_RETRY_AFTER, Job, Pipeline};
use crate::edge::clock::boot_now;
use crate::process::scheduler::EndpointSlot;
use crate::process::shutdown::Phase;

/// How long the leader has to announce to a relay that it loads a missing model.
const LOAD_NOTICE_TIMEOUT: Duration = Duration::from_millis(40);
/// The same for a VM that reports to a relay.
const MEMBER_LOAD_NOTICE_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest wait for an adapter, which loads within milliseconds once it is ordered.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest wait for a service that has no ready endpoint.
const NO_ENDPOINT_TIMEOUT: Duration = Duration::from_millis(100);
/// Added to the time that a load is expected to take.
const LOAD_MARGIN: Duration = Duration::from_millis(250);
/// The part of the time until the caller disconnects that may be spent waiting, in percent.
const MAX_WAIT_PERCENT: u32 = 50;

impl Pipeline {
    /// Acquires a slot; if none is free, waits for one while the caller still has time.
    pub(super) async fn acquire_slot(
        self: &Arc<Self>,
        job: &Job,
        needs: &Requirements,
        trace: &mut Trace,
    ) -> Result<EndpointSlot, Refusal> {
        let started = Instant::now();
        let shortage = match self.scheduler.try_acquire(needs) {
            Ok(slot) => return Ok(slot),
            Err(shortage) => shortage,
        };
        let max_wait =
            job.disconnects_at.saturating_duration_since(started) * MAX_WAIT_PERCENT / 100;
        let left = self.time_to_send(job).unwrap_or(max_wait);
        trace.note_shortage(shortage);
        trace.begin_wait();
        let (timeout, retry_after) = match shortage {
            Shortage::NotResident => return self.wait_for_load(job, needs, max_wait, trace).await,
            Shortage::Full => (max_wait, DEFAULT_RETRY_AFTER),
            Shortage::NoAdapter => (max_wait.min(ADAPTER_TIMEOUT), DEFAULT_RETRY_AFTER),
            Shortage::NoEndpoint | Shortage::Leaving => {
                (max_wait.min(NO_ENDPOINT_TIMEOUT), DEFAULT_RETRY_AFTER * 2)
            }
            Shortage::Tried => (Duration::ZERO, DEFAULT_RETRY_AFTER),
            Shortage::Emptied => return Err(self.emptied_refusal()),
            Shortage::Quiet(until) | Shortage::Limited(until)
                if until.saturating_sub(boot_now()) < max_wait.min(left) =>
            {
                (max_wait, DEFAULT_RETRY_AFTER)
            }
            Shortage::Quiet(_) => return Err(self.quiet_refusal(needs)),
            Shortage::Limited(_) => return Err(self.limited_refusal(needs)),
        };
        if !timeout.is_zero()
            && let Some(slot) = self.wait_for_slot(job, needs, timeout).await
        {
            trace.end_wait();
            return Ok(slot);
        }
        trace.end_wait();
        if let Some(refusal) = self.check_grace(job) {
            return Err(refusal);
        }
        match self.scheduler.shortage(needs) {
            Some(Shortage::Quiet(until)) => {
                trace.note_shortage(Shortage::Quiet(until));
                return Err(self.quiet_refusal(needs));
            }
            Some(Shortage::Limited(until)) => {
                trace.note_shortage(Shortage::Limited(until));
                return Err(self.limited_refusal(needs));
            }
            Some(Shortage::Emptied) => {
                trace.note_shortage(Shortage::Emptied);
                return Err(self.emptied_refusal());
            }
            _ => {}
        }
        if shortage == Shortage::Leaving {
            self.metrics.count_unavailable("leaving");
        }
        let kind = match shortage {
            Shortage::Full | Shortage::NoAdapter | Shortage::Quiet(_) | Shortage::Limited(_) => {
                ErrorKind::Overloaded
            }
            Shortage::NoEndpoint
            | Shortage::Leaving
            | Shortage::Emptied
            | Shortage::NotResident
            | Shortage::Tried => ErrorKind::NoEndpoint,
        };
        Err(Refusal::not_run(kind, format!("no place: {shortage:?}")).retry_after(retry_after))
    }

    /// Waits for a slot, but no longer than the request may still be passed on.
    async fn wait_for_slot(
        self: &Arc<Self>,
        job: &Job,
        needs: &Requirements,
        timeout: Duration,
    ) -> Option<EndpointSlot> {
        tokio::select! {
            slot = self.scheduler.acquire(needs, timeout) => slot,
            () = self.too_late(job) => None,
        }
    }

    /// Builds the refusal of a request whose endpoints are all in failure domains that are emptied.
    fn emptied_refusal(&self) -> Refusal {
        self.metrics.count_unavailable("emptied");
        let detail =
            "all endpoints are in failure domains that the operator has emptied".to_owned();
        Refusal::not_run(ErrorKind::NoEndpoint, detail).retry_after(DEFAULT_RETRY_AFTER * 2)
    }

    /// Builds the refusal of a request whose remaining endpoints have all been sent as many requests as
    /// the limits allow that they name.
    fn limited_refusal(&self, needs: &Requirements) -> Refusal {
        self.metrics.count_unavailable("limited");
        let wait = match self.scheduler.shortage(needs) {
            Some(Shortage::Limited(until)) => until.saturating_sub(boot_now()),
            _ => DEFAULT_RETRY_AFTER,
        };
        let detail = format!(
            "the endpoints left take no more than they say ({}); one may take a request in {} ms",
            self.scheduler.describe_limits(needs),
            wait.as_millis()
        );
        Refusal::not_run(ErrorKind::Overloaded, detail).retry_after(wait)
    }

    /// Builds the refusal of a request whose remaining endpoints all want quiet.
    ///
    /// The caller's next request may also go to the endpoints that this one was sent to.
    pub(super) fn quiet_refusal(&self, needs: &Requirements) -> Refusal {
        self.metrics.count_unavailable("quiet");
        let next = Requirements { tried: Vec::new(), ..needs.clone() };
        let wait = match self.scheduler.shortage(&next) {
            Some(Shortage::Quiet(until)) => until.saturating_sub(boot_now()),
            _ => DEFAULT_RETRY_AFTER,
        };
        let detail =
            format!("the endpoints left want quiet; one may be asked in {} ms", wait.as_millis());
        Refusal::not_run(ErrorKind::Overloaded, detail).retry_after(wait)
    }

    /// Waits for an endpoint to load a missing model and acquires a slot there.
    ///
    /// Refuses the request if the load is expected to take longer than `max_wait`, or than a leaving
    /// process lets requests wait.
    async fn wait_for_load(
        self: &Arc<Self>,
        job: &Job,
        needs: &Requirements,
        max_wait: Duration,
        trace: &mut Trace,
    ) -> Result<EndpointSlot, Refusal> {
        let started = Instant::now();
        let notice =
            if self.quotas.is_relay() { LOAD_NOTICE_TIMEOUT } else { MEMBER_LOAD_NOTICE_TIMEOUT };
        if let Some(slot) = self.wait_for_slot(job, needs, notice.min(max_wait)).await {
            trace.end_wait();
            return Ok(slot);
        }
        let load_time = self.estimate_load(job);
        let max_wait = max_wait.saturating_sub(started.elapsed());
        if load_time <= max_wait
            && let Some(slot) = self.wait_until_loaded(job, needs, max_wait).await
        {
            trace.end_wait();
            return Ok(slot);
        }
        trace.end_wait();
        if self.scheduler.shortage(needs) == Some(Shortage::Emptied) {
            trace.note_shortage(Shortage::Emptied);
            return Err(self.emptied_refusal());
        }
        if let Some(left) = self.time_to_send(job)
            && left < load_time
        {
            return Err(self.grace_refusal(&job.route, &job.request));
        }
        let detail = format!("no endpoint holds the model; due in {} ms", load_time.as_millis());
        Err(Refusal::not_run(ErrorKind::NoEndpoint, detail)
            .retry_after(load_time.max(DEFAULT_RETRY_AFTER)))
    }

    /// Waits for a slot; stops when the process begins to leave, unless the load is expected to be
    /// done while requests may still wait.
    async fn wait_until_loaded(
        self: &Arc<Self>,
        job: &Job,
        needs: &Requirements,
        max_wait: Duration,
    ) -> Option<EndpointSlot> {
        let waiting = self.wait_for_slot(job, needs, max_wait);
        tokio::pin!(waiting);
        tokio::select! {
            slot = waiting.as_mut() => return slot,
            () = self.shutdown.reached(Phase::Leaving) => {}
        }
        let left = self.time_to_send(job).unwrap_or(max_wait);
        if self.estimate_load(job) <= left { waiting.await } else { None }
    }

    /// Estimates the time from now until an endpoint has loaded a missing model.
    fn estimate_load(&self, job: &Job) -> Duration {
        let Some(target) = &job.request.target else { return DEFAULT_RETRY_AFTER };
        if let Some(remaining) = self.scheduler.time_until_loaded(&target.model) {
            return remaining + LOAD_MARGIN;
        }
        let fleet = self.active_fleet.fleet();
        let service = fleet.as_ref().and_then(|fleet| fleet.services.get(&job.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let spec = engine.and_then(|engine| engine.models.get(&target.model));
        spec.map_or(DEFAULT_RETRY_AFTER, |spec| spec.load_time + LOAD_MARGIN)
    }
}
