//! The pipeline that handles one caller's request.
//!
//! 1. Reads the head, finds the route and the workspace, and reads the body.
//! 2. Admits the workspace's tokens, or refuses the request and says when to retry.
//! 3. Acquires a slot on an endpoint, and waits for one as long as the caller still has time.
//! 4. Sends the request, and retries a failed send on another endpoint if the route's retry policy
//!    allows it.
//! 5. Forwards the response, either in one piece or as a stream of events.

mod grace;
mod loss;
mod relay;
mod send;
mod slot;
mod trace;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bamboocourse_decide::{
    Arrivals, ErrorKind, FleetConfig, FleetRoute, FleetWorkspace, Refusal, RequestContent,
    RequestDigest, Requirements, RunEnd, RunTimes, SendOutcome, ServiceId, Shortage, WorkspaceId,
    hash_of,
};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edge::blocks::{self, CollectError, Excess};
use crate::edge::budget::{ByteBudget, Reservation};
use crate::edge::clock::boot_now;
use crate::edge::pool::Pool;
use crate::edge::timeout::{CATCH_UP_TIME, timeout_at};
use crate::edge::{CallerRequest, Protocol, model_name};
use crate::process::active_fleet::ActiveFleet;
use crate::process::crashes::Crashes;
use crate::process::freshness::Freshness;
use crate::process::metrics::Metrics;
use crate::process::open_requests::{LastRequest, OpenRequests, Stage};
use crate::process::quotas::{Quotas, TokenGrant, TokensRefused};
use crate::process::scheduler::{EndpointSlot, Scheduler};
use crate::process::shutdown::{Phase, Shutdown};

use self::loss::{Progress, TrialPass};
use self::relay::Relay;
use self::send::{EndpointResponse, SendResult};
use self::trace::Trace;

/// The body of a response to a caller; an error in it closes the caller's connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// How long before its own deadline a caller gets its final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// The largest response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The number of sends that endpoints rejected without running them, after which a request is
/// refused.
const MAX_REJECTIONS: u32 = 3;
/// The longest wait for the tokens of a workspace.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// The fraction of a latency target reserved for the endpoint's time to first byte, as a divisor:
/// with nearly all slots of an engine taken, half of the requests get their first event within
/// 108 ms.
const FIRST_BYTES_DIVISOR: u32 = 4;
/// When a caller may retry if there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The shortest time after which the caller of a stream is expected to disconnect if no further
/// event has arrived.
const MIN_DISCONNECT_TIME: Duration = Duration::from_secs(2);

/// The parts of the process that requests use.
pub(crate) struct Pipeline {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) active_fleet: Arc<ActiveFleet>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) crashes: Arc<Crashes>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) freshness: Arc<Freshness>,
    /// How long requests ran that have ended.
    pub(crate) run_times: Mutex<RunTimes>,
    /// The requests whose response is not complete yet.
    pub(crate) open: OpenRequests,
    pub(crate) shutdown: Shutdown,
    /// The memory for the bodies of open requests.
    pub(crate) caller_budget: ByteBudget,
}

/// A request that has been read and whose tokens have been admitted.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) request: CallerRequest,
    pub(crate) body: Bytes,
    /// The memory of the body, which is free again once the request is not open any more.
    _memory: Arc<Reservation>,
    pub(crate) route: FleetRoute,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) content: RequestContent,
    /// Whether it may be sent once although it is held back.
    pub(crate) trial: TrialPass,
    pub(crate) urgency: u8,
    /// When the caller must have its final response.
    pub(crate) deadline: Instant,
    /// Until when, on the boot clock, a response can still meet the route's latency target.
    pub(crate) target_deadline: Duration,
    /// When the caller is expected to disconnect if no further part of the response has arrived.
    pub(crate) disconnects_at: Instant,
    /// Since when the caller has a part of the response; `None` while it has none.
    pub(crate) streams_since: Option<Instant>,
}

impl Job {
    /// Returns what the request needs of an endpoint.
    fn requirements(&self) -> Requirements {
        Requirements {
            service: self.service.clone(),
            target: self.request.target.clone(),
            urgency: self.urgency,
            session: self.request.session,
            target_deadline: self.target_deadline,
            tried: Vec::new(),
        }
    }

    /// Returns whether the request may be sent again after one more send that may have run; `runs`
    /// counts the earlier ones.
    fn can_retry(&self, runs: u32) -> bool {
        self.route.retry_policy.is_retryable() && runs + 1 < self.route.attempts
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The response for a caller, or the refusal to write instead.
type HandleResult = Result<Response<Body>, Refusal>;

impl Pipeline {
    /// Handles a caller's request and returns the response.
    ///
    /// `last` names the request in the log lines of its connection.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        last: &LastRequest,
    ) -> Response<Body> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let open = self.open.enter(arrived);
        let mut trace = Trace::new(&self, open, arrived);
        let request = match self.protocol.read_request(&head) {
            Ok(request) => request,
            Err(refusal) => return self.refuse(None, &refusal, trace),
        };
        trace.set_request(&request);
        last.set(request.id.clone());
        let id = request.id.clone();
        let open = trace.open_request();
        let served = {
            let serving = self.serve(request, body, arrived, &mut trace);
            tokio::pin!(serving);
            tokio::select! {
                // A request that is read when the process ends must not be sent and cut at once.
                biased;
                () = self.shutdown.reached(Phase::Answering) => match open.stage() {
                    // What its endpoint has answered by now is passed on.
                    Stage::Sent => tokio::time::timeout(CATCH_UP_TIME, serving).await.ok(),
                    _ => None,
                },
                result = serving.as_mut() => Some(result),
            }
        };
        match served.unwrap_or_else(|| Err(trace.shutdown_refusal())) {
            Ok(response) => {
                // The relay of a stream has taken the record and logs it after the last event.
                trace.discard();
                response
            }
            Err(refusal) => self.refuse(Some(&id), &refusal, trace),
        }
    }

    fn refuse(&self, id: Option<&str>, refusal: &Refusal, trace: Trace) -> Response<Body> {
        trace.end_refused(refusal);
        self.protocol.write_refusal(id, refusal).map(full_body)
    }

    /// Admits a request and sends it to endpoints.
    async fn serve(
        self: &Arc<Self>,
        request: CallerRequest,
        body: Incoming,
        arrived: Instant,
        trace: &mut Trace,
    ) -> HandleResult {
        let (job, admission) = self.admit(request, body, arrived, trace).await?;
        self.run(job, admission, trace).await
    }

    /// Finds the route and the workspace, reads the body and admits the tokens.
    async fn admit(
        &self,
        request: CallerRequest,
        body: Incoming,
        arrived: Instant,
        trace: &mut Trace,
    ) -> Result<(Job, Option<(WorkspaceId, TokenGrant)>), Refusal> {
        let Some(fleet) = self.active_fleet.fleet() else {
            let refusal = Refusal::not_run(ErrorKind::NotReady, "no configuration is known yet");
            return Err(refusal.retry_after(DEFAULT_RETRY_AFTER));
        };
        let path = request.uri.path();
        let Some(route) = fleet.route(&request.host, path) else {
            let detail =
                format!("no route of version {} for {}{path}", fleet.version, request.host);
            return Err(Refusal::not_run(ErrorKind::RouteUnknown, detail));
        };
        trace.set_route(route, fleet.version);
        let workspace = find_workspace(&fleet, route, &request)?;
        let Some(service) = route.pick_service(&request.id) else {
            let refusal = Refusal::not_run(ErrorKind::NoEndpoint, "the route has no service");
            return Err(refusal.retry_after(DEFAULT_RETRY_AFTER));
        };
        check_model(&fleet, service, &request)?;
        let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + timeout.saturating_sub(RESPONSE_MARGIN);
        let disconnects_at = if route.retry_policy.is_streaming() {
            arrived + disconnect_time(route)
        } else {
            deadline
        };
        let too_late = || self.check_first_grace(route, &request, deadline);
        // Such a caller sends the body only once it is asked to.
        if request.awaits_continue
            && let Some(refusal) = too_late()
        {
            return Err(refusal);
        }
        let limit = fleet.limits.body_bytes;
        let (body, memory) = self.read_caller_body(body, limit, deadline).await?;
        trace.begin(Stage::Admission);
        if let Some(refusal) = too_late() {
            return Err(refusal);
        }
        let urgency = workspace.and_then(|workspace| workspace.urgency).unwrap_or(route.urgency);
        let workspace_name = workspace.map(|workspace| workspace.name.clone()).unwrap_or_default();
        let digest = request_digest(&workspace_name, &request, &body);
        let content = RequestContent::new(
            hash_of(&request.id),
            workspace_name,
            request.parts.clone(),
            digest,
        );
        let trial = self.check_content(&content, service).await?;
        let permit = self.scheduler.has_limits().then(|| (service.clone(), request.target.clone()));
        let admission = match workspace {
            Some(workspace) if workspace.rate > 0.0 => {
                let tokens = request
                    .tokens
                    .map_or(workspace.default_cost, |(prompt, output)| prompt + output);
                let timeout = TOKEN_TIMEOUT.min(route.latency_target / 2);
                let needs = permit.clone();
                let admission = self.quotas.admit(&workspace.name, tokens, needs, timeout).await;
                let admission = admission.map_err(|refused| match refused {
                    TokensRefused::Exhausted(after) => {
                        let detail =
                            format!("{tokens} tokens are beyond {}'s limit", workspace.name);
                        Refusal::not_run(ErrorKind::RateExceeded, detail).retry_after(after)
                    }
                    TokensRefused::Unavailable(after) => {
                        let detail = format!("nobody can grant tokens of {}", workspace.name);
                        Refusal::not_run(ErrorKind::NotReady, detail).retry_after(after)
                    }
                })?;
                Some((workspace.name.clone(), admission))
            }
            _ => None,
        };
        if let Some(needs) = permit
            && self.quotas.is_relay()
            && self.scheduler.seek_permit(&needs)
        {
            self.quotas.ask_permit(needs).await;
        }
        let job = Job {
            body,
            _memory: Arc::new(memory),
            route: route.clone(),
            service: service.clone(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            content,
            trial,
            urgency,
            deadline,
            target_deadline: boot_now()
                + (route.latency_target - route.latency_target / FIRST_BYTES_DIVISOR)
                    .saturating_sub(arrived.elapsed()),
            disconnects_at: disconnects_at.min(deadline),
            streams_since: None,
            request,
        };
        trace.set_job(&job);
        Ok((job, admission))
    }

    /// Reads the body of a request, and reserves its memory for as long as the request is open.
    async fn read_caller_body(
        &self,
        body: Incoming,
        limit: usize,
        deadline: Instant,
    ) -> Result<(Bytes, Reservation), Refusal> {
        let reading = blocks::collect(body, limit, &self.caller_budget, Excess::Discarded);
        let Ok(read) = tokio::time::timeout_at(deadline, reading).await else {
            let detail = "the body came too slowly";
            return Err(Refusal::not_run(ErrorKind::RequestTimeout, detail));
        };
        read.map_err(|error| match error {
            CollectError::TooLarge => {
                let detail = format!("the limit is {limit} bytes");
                Refusal::not_run(ErrorKind::BodyTooLarge, detail)
            }
            CollectError::NoMemory => {
                self.metrics.count_unavailable("memory");
                let detail = "the bodies of open requests take all memory that they may take";
                Refusal::not_run(ErrorKind::Overloaded, detail).retry_after(DEFAULT_RETRY_AFTER)
            }
            CollectError::Broken(error) => {
                let detail = format!("the body cannot be read: {error}");
                Refusal::not_run(ErrorKind::BadRequest, detail)
            }
        })
    }

    /// Sends a request to endpoints until one responds or no further send is allowed.
    async fn run(
        self: &Arc<Self>,
        job: Job,
        admission: Option<(WorkspaceId, TokenGrant)>,
        trace: &mut Trace,
    ) -> HandleResult {
        let mut needs = job.requirements();
        let mut rejections = 0;
        let mut runs = 0;
        let mut is_counted = false;
        let mut arrivals = Arrivals::default();
        // The refusal of the last send that an endpoint may have run. A later refusal must not
        // replace this one, or the caller would be told that the request was not run.
        let mut failure: Option<Refusal> = None;
        loop {
            // The prompt may have been held back since the request was admitted or last sent.
            let refusal = self.check_send(&job, runs).or_else(|| self.check_grace(&job));
            let acquired = match refusal {
                Some(refusal) => Err(refusal),
                None => self.acquire_slot(&job, &needs, trace).await,
            };
            let slot = match acquired {
                Ok(slot) => slot,
                Err(refusal) if refusal.kind.is_held() && runs > 0 => {
                    return Err(refusal);
                }
                Err(refusal) => {
                    if rejections + runs == 0
                        && let Some((workspace, admission)) = admission
                    {
                        self.quotas.refund(&workspace, admission);
                    }
                    return Err(failure.unwrap_or(refusal));
                }
            };
            if !is_counted {
                self.quotas.on_request(&job.service);
                is_counted = true;
            }
            if arrivals.needs_retry() {
                if !self.quotas.take_retry(&job.service) {
                    let detail = "the budget for repeats is used up";
                    let refusal = Refusal::not_run(ErrorKind::Overloaded, detail)
                        .retry_after(DEFAULT_RETRY_AFTER);
                    return Err(failure.unwrap_or(refusal));
                }
                arrivals.on_retry();
                self.metrics.retries.add(1, &[]);
            }
            needs.tried.push(slot.name.clone());
            trace.record_send(&slot.name, slot.utilization);
            let (last_event, written) = (job.request.last_event, Notify::new());
            let result = self.send(&job, slot, last_event, runs, &written, trace).await;
            if matches!(result, SendResult::NotYet(_) | SendResult::Withheld) {
                needs.tried.pop();
            }
            arrivals.on_send(result.may_have_arrived());
            let can_retry = job.can_retry(runs);
            match result {
                SendResult::Response(response) => {
                    match self.forward(&job, *response, runs, trace).await {
                        Ok(response) => return Ok(response),
                        Err(refusal) => {
                            runs += 1;
                            if !can_retry {
                                return Err(refusal);
                            }
                            failure = Some(refusal);
                        }
                    }
                }
                SendResult::NotRun(refusal)
                | SendResult::NotSent(refusal)
                | SendResult::NotYet(refusal) => {
                    rejections += 1;
                    if rejections >= MAX_REJECTIONS {
                        let refusal = match self.scheduler.shortage(&needs) {
                            Some(Shortage::Quiet(_)) => self.quiet_refusal(&needs),
                            _ => refusal,
                        };
                        return Err(failure.unwrap_or(refusal));
                    }
                }
                SendResult::Withheld => {}
                SendResult::Unknown(refusal) => {
                    runs += 1;
                    if !can_retry {
                        return Err(refusal);
                    }
                    failure = Some(refusal);
                }
            }
        }
    }

    /// Forwards an endpoint's response; `runs` counts the earlier sends that may have run.
    ///
    /// Fails if the response is incomplete, or is a server error and the request can be retried.
    async fn forward(
        self: &Arc<Self>,
        job: &Job,
        response: EndpointResponse,
        runs: u32,
        trace: &mut Trace,
    ) -> HandleResult {
        let status = response.head.status;
        if status.is_success() && job.route.retry_policy.is_streaming() {
            let headers = self.protocol.forwarded_headers(&response.head.headers);
            let relay = Relay::new(self.clone(), job.clone(), response, trace.take());
            return Ok(build_response(status, headers, relay.into_body()));
        }
        let EndpointResponse { head, body, connection, idle, mut slot, run, began } = response;
        let until = self.hang_deadline(job, runs);
        let reading = timeout_at(until, connection.read_body(body, MAX_RESPONSE_BYTES));
        let bytes = match reading.await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                slot.set_outcome(SendOutcome::Failed);
                self.on_broken_off(job, &slot, Progress::Begun).await;
                let detail = format!("{} broke its answer off ({error:?})", slot.name);
                trace.note("answer broken off");
                return Err(Refusal::unknown(ErrorKind::ResponseTruncated, detail));
            }
            Err(_) => {
                slot.set_outcome(SendOutcome::Failed);
                return Err(timeout_refusal(&slot));
            }
        };
        if let Some(idle) = idle {
            connection.keep(idle);
        }
        if status.is_server_error() {
            slot.set_outcome(SendOutcome::Failed);
            if job.can_retry(runs) {
                trace.note("endpoint failed");
                let detail = format!("{} answered {status}", slot.name);
                return Err(Refusal::unknown(ErrorKind::EndpointFailed, detail));
            }
        } else {
            slot.set_outcome(SendOutcome::Completed);
            if status.is_success() {
                if is_framed(&head.headers) {
                    self.on_answered(job, began);
                } else {
                    self.check_unframed(job, &slot, began);
                }
                run.finish(RunEnd::Whole);
            }
        }
        trace.end_complete(status);
        let headers = self.protocol.forwarded_headers(&head.headers);
        Ok(build_response(status, headers, full_body(bytes)))
    }
}

/// Builds the refusal for a request whose endpoint did not respond in time.
fn timeout_refusal(slot: &EndpointSlot) -> Refusal {
    let detail = format!("{} did not answer in time", slot.name);
    Refusal::unknown(ErrorKind::EndpointTimeout, detail)
}

/// Returns the time after which the caller of a stream is expected to disconnect if no further event
/// has arrived.
fn disconnect_time(route: &FleetRoute) -> Duration {
    MIN_DISCONNECT_TIME.max(route.latency_target * 4).max(route.event_gap * 8)
}

/// Finds the workspace of the caller's key; `None` if the route needs no key.
fn find_workspace<'a>(
    fleet: &'a FleetConfig,
    route: &FleetRoute,
    request: &CallerRequest,
) -> Result<Option<&'a FleetWorkspace>, Refusal> {
    if route.public || fleet.workspaces.is_empty() {
        return Ok(None);
    }
    let Some(key) = &request.key else {
        return Err(Refusal::not_run(ErrorKind::KeyMissing, "the route needs a key"));
    };
    match fleet.workspace(key) {
        Some(workspace) => Ok(Some(workspace)),
        None => {
            let detail = format!("no such key in version {}", fleet.version);
            Err(Refusal::not_run(ErrorKind::KeyRefused, detail))
        }
    }
}

/// Checks that a service has the model and the adapter that a request names.
fn check_model(
    fleet: &FleetConfig,
    service: &ServiceId,
    request: &CallerRequest,
) -> Result<(), Refusal> {
    let Some(target) = &request.target else { return Ok(()) };
    let service = fleet.services.get(service);
    let Some(engine) = service.and_then(|service| service.engine.as_ref()) else { return Ok(()) };
    let unknown = |what: &str| {
        let detail =
            format!("version {} has no {what} {}", fleet.version, model_name(Some(target)));
        Err(Refusal::not_run(ErrorKind::ModelUnknown, detail))
    };
    match (engine.models.get(&target.model), &target.adapter) {
        (None, _) => unknown("model"),
        (Some(model), Some(adapter)) if !model.adapters.contains(adapter) => unknown("adapter"),
        (Some(_), _) => Ok(()),
    }
}

/// Returns the digest of what a request asks for: other attempts of its caller have the same one, whatever
/// their ids and deadlines are.
fn request_digest(workspace: &str, request: &CallerRequest, body: &Bytes) -> RequestDigest {
    let target = request.uri.path_and_query().map_or("", |target| target.as_str());
    let (model, session) = (model_name(request.target.as_ref()), request.session.to_string());
    // The prompt may be given by reference, so that only its parts tell two requests apart.
    let prompt = request.parts.iter().map(SmolStr::as_str).chain([session.as_str()]);
    let fields: Vec<&str> =
        [request.host.as_str(), target, &model].into_iter().chain(prompt).collect();
    RequestDigest::new(workspace, request.method.as_str(), &fields, body)
}

/// Returns whether a body with these headers has a length or chunks, which tell that it is complete.
fn is_framed(headers: &HeaderMap) -> bool {
    [TRANSFER_ENCODING, CONTENT_LENGTH].iter().any(|name| headers.contains_key(name))
}

fn build_response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds a body from bytes that are already complete.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
