//! Requests to plain services, forwarded to an endpoint and retried only where that is safe.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    Access, CompiledConfig, EndpointId, ErrorKind, Priority, Refusal, Route, RouteQuery, ServiceId,
    ServiceKind, StoredResponse, WorkspaceId, idempotency_row_key,
};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::edge::pool::{SendError, read_body};
use crate::process::routers::{RoutedRequest, RoutingWaiter};
use crate::process::vm::AppState;
use crate::request::RequestError;
use crate::request::caller::{self, KEY_HEADERS};
use crate::request::completion::{mismatch_refusal, read_caller_body};
use crate::request::idempotency::{self, Permit, Record};
use crate::request::response::{Body, full_body};

/// The name under which requests to open routes, which need no key, are counted.
const PUBLIC_WORKSPACE: &str = "open";
/// The header with the idempotency key of a request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How many endpoints a request is sent to before it is refused.
const MAX_ATTEMPTS: usize = 3;
/// The largest response that can be stored for retries with the same idempotency key. The caller of
/// a request with a larger one gets a refusal that says the outcome is unknown.
const MAX_STORED_BYTES: usize = 256 << 10;
/// Headers that concern one connection and are not forwarded.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::HOST,
];

/// A request to a plain service that has been read and checked.
#[derive(Clone)]
struct ServiceRequest {
    id: String,
    service: ServiceId,
    method: Method,
    /// The path below the service, with the query.
    uri: String,
    headers: HeaderMap,
    body: Bytes,
    /// Whether the request may run more than once.
    retryable: bool,
    workspace: WorkspaceId,
}

/// Handles a request to a plain service.
pub(crate) async fn handle(
    shared: &Arc<AppState>,
    config: &CompiledConfig,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, RequestError> {
    let (parts, body) = request.into_parts();
    let (name, route, uri) = find_route(config, &parts)?;
    let workspace = match route.access {
        Access::Open => WorkspaceId::from(PUBLIC_WORKSPACE),
        Access::Keyed => {
            let caller = caller::identify(shared, config, &parts.headers)?;
            check_access(config, &name, &caller.workspace)
                .map_err(RequestError::in_workspace(&caller.workspace))?;
            caller.workspace
        }
    };
    let to_error = RequestError::in_workspace(&workspace);
    let key = idempotency_key(&parts.headers).map_err(&to_error)?;
    let body = read_caller_body(shared, body).await.map_err(&to_error)?;
    shared.metrics.count_request(&workspace, &name);
    let request = ServiceRequest {
        id: id.to_string(),
        service: name,
        retryable: route.idempotent || parts.method.is_safe(),
        method: parts.method,
        uri,
        headers: forwarded_headers(&parts.headers),
        body,
        workspace: workspace.clone(),
    };
    let result = match key {
        Some(key) if !request.retryable => request.run_once(shared, &key).await,
        _ => request.forward(shared).await,
    };
    result.map_err(&to_error)
}

/// Finds the service and route of a request, and the URI to send to the endpoint.
fn find_route(
    config: &CompiledConfig,
    parts: &Parts,
) -> Result<(ServiceId, Route, String), Refusal> {
    let path = parts.uri.path();
    let unknown = || Refusal::not_run(ErrorKind::RouteUnknown, format!("no route for {path}"));
    let rest = path.strip_prefix("/services/").ok_or_else(unknown)?;
    let (name, subpath) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let found = config.config.services.get_key_value(name);
    let (name, service) = found.ok_or_else(unknown)?;
    if service.kind != ServiceKind::Plain {
        return Err(unknown());
    }
    let subpath = if subpath.is_empty() { "/" } else { subpath };
    if subpath.split('/').any(|segment| matches!(segment, "." | "..")) || subpath.contains('%') {
        let detail = "the path may not hold `.`, `..` or `%` segments";
        return Err(Refusal::not_run(ErrorKind::BadRequest, detail));
    }
    let route = config.route(service, subpath).ok_or_else(unknown)?;
    if route.method.as_ref().is_some_and(|method| method != parts.method.as_str()) {
        let detail = format!("this route does not take {}", parts.method);
        return Err(Refusal::not_run(ErrorKind::MethodRefused, detail));
    }
    let uri = match parts.uri.query() {
        Some(query) => format!("{subpath}?{query}"),
        None => subpath.to_string(),
    };
    Ok((name.clone(), route, uri))
}

/// Refuses a workspace that may not use the service.
fn check_access(
    config: &CompiledConfig,
    name: &ServiceId,
    workspace: &WorkspaceId,
) -> Result<(), Refusal> {
    let service = config.config.services.get(name);
    if service.is_some_and(|service| service.workspaces.contains(workspace)) {
        return Ok(());
    }
    let detail = format!("workspace `{workspace}` may not call service `{name}`");
    Err(Refusal::not_run(ErrorKind::NotAllowed, detail))
}

/// Returns the idempotency key of a request, if it has one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let text = value.to_str().ok().filter(|text| !text.is_empty() && text.len() <= 255);
    let Some(text) = text else {
        let detail = "Idempotency-Key must be 1 to 255 printable characters";
        return Err(Refusal::not_run(ErrorKind::BadRequest, detail));
    };
    Ok(Some(text.to_string()))
}

/// Returns the headers to forward: without those of the connection, callers' keys and request ids.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in HOP_HEADERS {
        forwarded.remove(name);
    }
    for name in KEY_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove("x-request-id");
    forwarded
}

/// The response of an endpoint of which the head has arrived.
struct OpenResponse {
    routed: RoutedRequest,
    response: Response<Incoming>,
    sent_at: Duration,
}

impl ServiceRequest {
    /// Forwards the request, and the response as it arrives. After a failure another endpoint is
    /// tried only if the request is retryable or was not sent.
    async fn forward(&self, shared: &Arc<AppState>) -> Result<Response<Body>, Refusal> {
        let opened = self.send(shared).await?;
        let (head, body) = opened.response.into_parts();
        let mut routed = opened.routed;
        let elapsed = shared.now() - opened.sent_at;
        routed.set_times(elapsed, elapsed);
        // The closure owns `routed`, so the endpoint counts as busy until the body has been sent.
        let body = body.map_err(std::io::Error::other).map_frame(move |frame| {
            let _ = &routed;
            frame
        });
        let mut response = Response::new(body.boxed());
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded_headers(&head.headers);
        Ok(response)
    }

    /// Sends the request to an endpoint, and after a failure to others if the request is retryable
    /// or was not sent.
    ///
    /// # Errors
    /// The refusal says that the outcome is unknown if any endpoint may have received the request.
    async fn send(&self, shared: &Arc<AppState>) -> Result<OpenResponse, Refusal> {
        let removed = || Refusal::not_run(ErrorKind::NoEndpoint, "the service has gone");
        let service = shared.routers.service(&self.service).ok_or_else(removed)?;
        let deadline = shared.now() + shared.settings.queue_wait;
        let (workspace, priority) = (&self.workspace, Priority::Interactive);
        let waiter = RoutingWaiter { workspace, priority, cost: 1, deadline };
        let mut failed: Vec<EndpointId> = Vec::new();
        let mut uncertain = false;
        for _ in 0..MAX_ATTEMPTS {
            let query = RouteQuery { items: &[], prompt: 0, blocks: &[], exclude: &failed };
            let routed = match service.pick(shared, &query, &waiter).await {
                Ok(routed) => routed,
                Err(refusal) if uncertain => {
                    return Err(Refusal::unknown(refusal.kind, refusal.detail));
                }
                Err(refusal) => return Err(refusal),
            };
            let sent_at = shared.now();
            let request = self.build_request(routed.address)?;
            let wait = shared.settings.endpoint_wait;
            let sending = tokio::time::timeout(wait, shared.pool.send(routed.address, request));
            let (kind, why, reached) = match sending.await {
                Ok(Ok(response)) => {
                    self.check_id(&response)?;
                    return Ok(OpenResponse { routed, response, sent_at });
                }
                Ok(Err(SendError::NotSent(why))) => (ErrorKind::NoEndpoint, why, false),
                Ok(Err(SendError::Unknown(why))) => (ErrorKind::EndpointFailed, why, true),
                Err(_) => (ErrorKind::EndpointTimeout, "no answer in time".to_string(), true),
            };
            uncertain |= reached;
            let may_retry = service.on_failure(&routed.endpoint, shared.now());
            shared.decisions.record(&self.id, format!("left {}", routed.endpoint), &why);
            failed.push(routed.endpoint.clone());
            if (reached && !self.retryable) || !may_retry {
                let refusal = if uncertain {
                    Refusal::unknown(kind, why)
                } else {
                    Refusal::not_run(kind, why)
                };
                return Err(refusal.retry_after(Duration::from_secs(1)));
            }
            shared.metrics.retries.add(1, &[]);
        }
        let detail = "every endpoint that was tried failed";
        Err(if uncertain {
            Refusal::unknown(ErrorKind::EndpointFailed, detail)
        } else {
            Refusal::not_run(ErrorKind::NoEndpoint, detail)
        })
    }

    /// Builds the request to an endpoint.
    fn build_request(
        &self,
        address: std::net::SocketAddr,
    ) -> Result<Request<Full<Bytes>>, Refusal> {
        let mut request = Request::new(Full::new(self.body.clone()));
        let bad_request = |detail: String| Refusal::not_run(ErrorKind::BadRequest, detail);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.parse().map_err(|_| bad_request("bad path".to_string()))?;
        *request.headers_mut() = self.headers.clone();
        let host = HeaderValue::from_str(&address.to_string());
        let id = HeaderValue::from_str(&self.id);
        for (name, value) in [("host", host), ("x-request-id", id)] {
            let value = value.map_err(|error| bad_request(error.to_string()))?;
            request.headers_mut().insert(name, value);
        }
        Ok(request)
    }

    /// Checks the request id of a response, if the service returns one.
    fn check_id(&self, response: &Response<Incoming>) -> Result<(), Refusal> {
        match response.headers().get("x-request-id") {
            Some(id) if id.as_bytes() != self.id.as_bytes() => Err(mismatch_refusal()),
            _ => Ok(()),
        }
    }

    /// Runs the request at most once for its idempotency key.
    ///
    /// # Errors
    /// Refuses the request if its record cannot be written, or as [`Self::send`] does.
    async fn run_once(&self, shared: &Arc<AppState>, key: &str) -> Result<Response<Body>, Refusal> {
        let row = idempotency_row_key(&self.workspace, &self.service, key);
        let mut content = format!("{} {}\n", self.method, self.uri).into_bytes();
        content.extend_from_slice(&self.body);
        let record = match idempotency::begin(shared, row, &content).await? {
            Permit::Replay(response) => return replay(response),
            Permit::Send(record) => record,
        };
        // A separate task finishes the request and records the response even if the caller
        // disconnects.
        let (request, shared) = (self.clone(), shared.clone());
        let guard = shared.running.start();
        let task = tokio::spawn(async move {
            let result = request.run_recorded(&shared, record).await;
            drop(guard);
            result
        });
        task.await.unwrap_or_else(|error| {
            Err(Refusal::unknown(ErrorKind::EndpointFailed, error.to_string()))
        })
    }

    /// Sends a recorded request and completes the record, or releases it if the request did not run.
    async fn run_recorded(
        &self,
        shared: &Arc<AppState>,
        record: Record,
    ) -> Result<Response<Body>, Refusal> {
        let opened = match self.send(shared).await {
            Ok(opened) => opened,
            Err(refusal) => {
                if refusal.ran == bamboocourse_decide::RunStatus::NotRun {
                    record.release(shared).await;
                }
                return Err(refusal);
            }
        };
        let (head, body) = opened.response.into_parts();
        let wait = shared.settings.endpoint_wait;
        let bytes = read_body(body, MAX_STORED_BYTES, wait).await.map_err(|error| {
            let detail = format!("the answer could not be read whole: {error:?}");
            Refusal::unknown(ErrorKind::ResponseTruncated, detail)
        })?;
        let content_type =
            head.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let stored = StoredResponse {
            status: head.status.as_u16(),
            kind: content_type.unwrap_or("application/octet-stream").into(),
            body: hex::encode(&bytes),
        };
        record.complete(shared, stored);
        let mut response = Response::new(full_body(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded_headers(&head.headers);
        Ok(response)
    }
}

/// Returns a stored response, marked with the header `idempotent-replay`.
fn replay(stored: StoredResponse) -> Result<Response<Body>, Refusal> {
    let bytes = hex::decode(&stored.body).map_err(|_| idempotency::unreadable_record())?;
    let status = StatusCode::from_u16(stored.status);
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status.map_err(|_| idempotency::unreadable_record())?;
    if let Ok(content_type) = HeaderValue::from_str(&stored.kind) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response.headers_mut().insert("idempotent-replay", HeaderValue::from_static("true"));
    Ok(response)
}
