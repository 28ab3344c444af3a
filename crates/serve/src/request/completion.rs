//! Handles completion requests: parses them, admits them against the workspace's token limit,
//! routes them to an engine and responds with one JSON body or a stream.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    BlockHash, CompiledConfig, EndpointId, ErrorKind, ModelId, Priority, Refusal, RouteQuery,
    ServiceId, Tokens, WorkspaceId, block_hashes,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Map, Value, json};
use smol_str::SmolStr;

use crate::edge::pool::{ReadError, SendError, read_body};
use crate::process::leader::{adapter_item, model_item};
use crate::process::routers::{RoutedRequest, RoutingWaiter, ServiceRouter};
use crate::process::token_limits::TokenGuard;
use crate::process::vm::AppState;
use crate::request::caller::{self, Caller};
use crate::request::response::{Body, full_body};
use crate::request::{RequestError, batch, stream};

/// The output limit of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: Tokens = 256;
/// The tokens that the chat template adds to each message.
const MESSAGE_OVERHEAD_TOKENS: Tokens = 8;
/// The largest body of an engine's response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How many endpoints a request is sent to before it is refused.
const MAX_ATTEMPTS: usize = 3;

/// A completion request that has been parsed and checked.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub(crate) id: String,
    /// The path of the request, which selects plain or chat completion.
    pub(crate) path: String,
    pub(crate) body: Map<String, Value>,
    pub(crate) service: ServiceId,
    pub(crate) model: ModelId,
    /// What the endpoint must hold: the model, and the adapter if the request names one.
    pub(crate) items: Vec<SmolStr>,
    /// Hashes of the prompt's blocks, by which the router finds endpoints with a cached prefix.
    pub(crate) blocks: Vec<BlockHash>,
    /// The estimated length of the prompt.
    pub(crate) prompt_tokens: Tokens,
    /// The most tokens that the engine may generate.
    pub(crate) max_output: Tokens,
    pub(crate) streaming: bool,
    pub(crate) workspace: WorkspaceId,
    pub(crate) priority: Priority,
}

/// Returns the models and adapters that a workspace may use, as a list of the OpenAI API.
pub(crate) fn list_models(config: &CompiledConfig, workspace: &WorkspaceId) -> Value {
    let allowed = |service: &ServiceId| {
        let service = config.config.services.get(service);
        service.is_some_and(|service| service.workspaces.contains(workspace))
    };
    let models = config.config.models.iter().filter(|(_, model)| allowed(&model.service));
    let models = models.map(|(name, _)| name.clone());
    let adapters = config.config.adapters.iter().filter(|(_, adapter)| {
        config.config.models.get(&adapter.model).is_some_and(|model| allowed(&model.service))
    });
    let names = models.chain(adapters.map(|(name, _)| name.clone()));
    let data: Vec<Value> =
        names.map(|name| json!({"id": name, "object": "model", "owned_by": "fleet"})).collect();
    json!({"object": "list", "data": data})
}

/// Handles a completion request: runs it, or stores it as a job if the caller prefers that.
pub(crate) async fn handle(
    shared: &Arc<AppState>,
    config: &CompiledConfig,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, RequestError> {
    let arrived = shared.now();
    let caller = caller::identify(shared, config, request.headers())?;
    let to_error = RequestError::in_workspace(&caller.workspace);
    let (parts, body) = request.into_parts();
    let bytes = read_caller_body(shared, body).await.map_err(&to_error)?;
    let path = parts.uri.path();
    let completion = parse(config, &caller.workspace, path, &bytes, id).map_err(&to_error)?;
    if wants_async(&parts.headers) {
        return batch::accept(shared, &completion).await.map_err(&to_error);
    }
    shared.metrics.count_request(&caller.workspace, &completion.service);
    let result = run(shared, &caller, completion.clone(), arrived).await;
    if let Err(refusal) = &result {
        count_failure(shared, config, &completion, refusal);
    }
    result.map_err(&to_error)
}

/// Counts a failed request against its service-level objectives, unless its status is below 500
/// and so the caller is at fault.
fn count_failure(
    shared: &AppState,
    config: &CompiledConfig,
    completion: &Completion,
    refusal: &Refusal,
) {
    if refusal.kind.response().status < 500 {
        return;
    }
    let (service, workspace) = (&completion.service, &completion.workspace);
    shared.burn.count(&config.config, service, workspace, None, shared.now());
}

/// Reads the body of a caller's request.
///
/// # Errors
/// Refuses a body that is larger than the body limit, takes too long or ends early.
pub(crate) async fn read_caller_body(shared: &AppState, body: Incoming) -> Result<Bytes, Refusal> {
    let (limit, wait) = (shared.settings.body_limit, shared.settings.header_wait);
    read_body(body, limit, wait).await.map_err(|error| match error {
        ReadError::TooLarge => {
            Refusal::not_run(ErrorKind::BodyTooLarge, format!("the limit is {limit} bytes"))
        }
        ReadError::TimedOut => {
            Refusal::not_run(ErrorKind::RequestTimeout, "the body came too slowly")
        }
        ReadError::Broken => Refusal::not_run(ErrorKind::BadRequest, "the body ended too early"),
    })
}

/// Parses a completion request and finds its model.
///
/// # Errors
/// Refuses a body that is malformed or exceeds the context of the model, and a model that is
/// unknown or not open to the workspace.
pub(crate) fn parse(
    config: &CompiledConfig,
    workspace: &WorkspaceId,
    path: &str,
    bytes: &[u8],
    id: &str,
) -> Result<Completion, Refusal> {
    let bad_request = |detail: String| Refusal::not_run(ErrorKind::BadRequest, detail);
    let body: Map<String, Value> = serde_json::from_slice(bytes)
        .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
    let chat = path.ends_with("/chat/completions");
    let name = body.get("model").and_then(Value::as_str);
    let name = name.ok_or_else(|| bad_request("`model` must be a string".into()))?;
    let (model_name, items) = find_model(config, name)?;
    let model = &config.config.models[&model_name];
    let service = &config.config.services[&model.service];
    if !service.workspaces.contains(workspace) {
        let detail = format!("workspace `{workspace}` may not use model `{name}`");
        return Err(Refusal::not_run(ErrorKind::NotAllowed, detail));
    }
    let (text, messages) = read_prompt(&body, chat).map_err(bad_request)?;
    let max_output = match body.get("max_tokens").or_else(|| body.get("max_completion_tokens")) {
        None | Some(Value::Null) => DEFAULT_OUTPUT_TOKENS,
        Some(value) => value
            .as_u64()
            .filter(|tokens| *tokens > 0)
            .ok_or_else(|| bad_request("`max_tokens` must be a whole number above 0".into()))?,
    };
    if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(bad_request("`n` must be 1; send one request for each answer".into()));
    }
    let prompt_tokens =
        (text.len() as u64).div_ceil(model.density) + messages * MESSAGE_OVERHEAD_TOKENS;
    if prompt_tokens.saturating_add(max_output) > model.context {
        let detail = format!("prompt and output exceed the context of {} tokens", model.context);
        return Err(bad_request(detail));
    }
    let settings = config.config.workspaces.get(workspace);
    Ok(Completion {
        id: id.to_string(),
        path: path.to_string(),
        service: model.service.clone(),
        model: model_name,
        items,
        blocks: block_hashes(text.as_bytes()),
        prompt_tokens,
        max_output,
        streaming: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
        workspace: workspace.clone(),
        priority: settings.map_or(Priority::Batch, |workspace| workspace.priority),
        body,
    })
}

/// Returns the model of a name, which may be that of an adapter, and the items that an endpoint
/// must hold.
fn find_model(config: &CompiledConfig, name: &str) -> Result<(ModelId, Vec<SmolStr>), Refusal> {
    if let Some((key, model)) = config.config.models.get_key_value(name) {
        return Ok((key.clone(), vec![model_item(key, &model.version)]));
    }
    let adapter = config.config.adapters.get(name);
    let found = adapter.and_then(|adapter| {
        let model = config.config.models.get(&adapter.model)?;
        let items =
            vec![model_item(&adapter.model, &model.version), adapter_item(&adapter.model, name)];
        Some((adapter.model.clone(), items))
    });
    found.ok_or_else(|| Refusal::not_run(ErrorKind::ModelUnknown, format!("no model `{name}`")))
}

/// Returns the text of the prompt and the number of chat messages, 0 for a plain completion.
fn read_prompt(body: &Map<String, Value>, chat: bool) -> Result<(String, u64), String> {
    if !chat {
        let text = body.get("prompt").and_then(Value::as_str);
        return text.map(|text| (text.to_string(), 0)).ok_or("`prompt` must be a string".into());
    }
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or("`messages` must be a list with at least one message")?;
    let mut text = String::new();
    for message in messages {
        let content = message.get("content").and_then(Value::as_str);
        text.push_str(content.ok_or("every message needs `content` as a string")?);
        text.push('\n');
    }
    Ok((text, messages.len() as u64))
}

/// Returns whether the caller prefers a job (`Prefer: respond-async`).
fn wants_async(headers: &HeaderMap) -> bool {
    let prefer = headers.get_all("prefer").iter().filter_map(|value| value.to_str().ok());
    prefer.flat_map(|value| value.split(',')).any(|part| part.trim() == "respond-async")
}

/// Admits a parsed request, routes it and returns the response.
async fn run(
    shared: &Arc<AppState>,
    caller: &Caller,
    completion: Completion,
    arrived: Duration,
) -> Result<Response<Body>, Refusal> {
    let guard = admit(shared, &completion, shared.settings.queue_wait).await?;
    if !caller::is_key_valid(shared, caller) {
        return Err(Refusal::not_run(ErrorKind::KeyRefused, "the key was withdrawn"));
    }
    shared.routers.count_request(&completion.model, shared.now());
    let deadline = shared.now() + shared.settings.queue_wait;
    if completion.streaming {
        let opened = open_response(shared, &completion, &mut Vec::new(), 0, deadline).await?;
        return Ok(stream::respond(shared, caller.clone(), completion, guard, opened, arrived));
    }
    let bytes = fetch_complete(shared, &completion, guard, deadline, arrived).await?;
    let mut response = Response::new(full_body(bytes));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// Reserves the tokens that a request may use at most, waiting up to `wait` for them.
///
/// # Errors
/// Refuses a request that exceeds the burst of its workspace, or that gets no tokens in time.
pub(crate) async fn admit(
    shared: &Arc<AppState>,
    completion: &Completion,
    wait: Duration,
) -> Result<TokenGuard, Refusal> {
    let cost = completion.prompt_tokens + completion.max_output;
    let workspace = &completion.workspace;
    let config = shared.config();
    let settings = config.as_ref().and_then(|config| config.config.workspaces.get(workspace));
    let burst = settings.map_or(0, |workspace| workspace.burst);
    if cost > burst {
        let detail = format!("the request may use {cost} tokens; the burst is {burst}");
        return Err(Refusal::not_run(ErrorKind::LargerThanBurst, detail));
    }
    shared.limits.admit(shared, workspace, cost, wait).await.map_err(|retry_after| {
        let detail = format!("workspace `{workspace}` has used up its rate and burst");
        Refusal::not_run(ErrorKind::RateExceeded, detail).retry_after(retry_after)
    })
}

/// An engine's response of which the head has arrived.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) routed: RoutedRequest,
    pub(crate) response: Response<Incoming>,
    pub(crate) sent_at: Duration,
}

/// Sends a request to the best endpoint, and after a failure to others that have not failed.
///
/// `failed` holds the endpoints to avoid and gets those that fail here. `offset` is the number of
/// tokens already received from an endpoint that has failed; the next endpoint continues after
/// them.
///
/// # Errors
/// Refuses the request if no endpoint is available before `deadline`, the response belongs to
/// another request, or `MAX_ATTEMPTS` or the retry budget is used up.
pub(crate) async fn open_response(
    shared: &Arc<AppState>,
    completion: &Completion,
    failed: &mut Vec<EndpointId>,
    offset: u64,
    deadline: Duration,
) -> Result<OpenResponse, Refusal> {
    let service = service_router(shared, completion)?;
    let waiter = RoutingWaiter {
        workspace: &completion.workspace,
        priority: completion.priority,
        cost: completion.prompt_tokens + completion.max_output,
        deadline,
    };
    for _ in 0..MAX_ATTEMPTS {
        let query = RouteQuery {
            items: &completion.items,
            prompt: completion.prompt_tokens,
            blocks: &completion.blocks,
            exclude: failed,
        };
        let routed = service.pick(shared, &query, &waiter).await?;
        let sent_at = shared.now();
        let request = engine_request(completion, routed.address, offset, None)?;
        let wait = shared.settings.endpoint_wait;
        let sending = tokio::time::timeout(wait, shared.pool.send(routed.address, request));
        let reason = match sending.await {
            Ok(Ok(response)) if response.status() == StatusCode::OK => {
                check_id(&response, completion)?;
                return Ok(OpenResponse { routed, response, sent_at });
            }
            Ok(Ok(response)) => format!("it answered with status {}", response.status()),
            Ok(Err(SendError::NotSent(why) | SendError::Unknown(why))) => why,
            Err(_) => "it did not answer in time".to_string(),
        };
        shared.decisions.record(&completion.id, format!("left {}", routed.endpoint), &reason);
        failed.push(routed.endpoint.clone());
        // Generating text again costs time but has no side effects, so every failure may be
        // retried.
        if !service.on_failure(&routed.endpoint, shared.now()) {
            break;
        }
        shared.metrics.retries.add(1, &[]);
    }
    let detail = "every endpoint that was tried failed";
    Err(Refusal::unknown(ErrorKind::EndpointFailed, detail).retry_after(Duration::from_secs(1)))
}

/// Requests the rest of an interrupted stream from the same endpoint, from token `offset` on.
pub(crate) async fn resume_response(
    shared: &AppState,
    completion: &Completion,
    routed: &RoutedRequest,
    offset: u64,
) -> Option<Response<Incoming>> {
    let request = engine_request(completion, routed.address, 0, Some(offset)).ok()?;
    let wait = shared.settings.endpoint_wait;
    let sending = tokio::time::timeout(wait, shared.pool.send(routed.address, request));
    let response = sending.await.ok()?.ok()?;
    (response.status() == StatusCode::OK && check_id(&response, completion).is_ok())
        .then_some(response)
}

/// Returns the router of the request's service, which a new configuration may have removed.
fn service_router(
    shared: &AppState,
    completion: &Completion,
) -> Result<Arc<ServiceRouter>, Refusal> {
    let service = shared.routers.service(&completion.service);
    service.ok_or_else(|| Refusal::not_run(ErrorKind::NoEndpoint, "the service has gone"))
}

/// Builds the request to an engine: the caller's body without the members that identify the user.
///
/// `continue_from` makes another engine continue after that many tokens; `resume_from` makes the
/// same engine send its stream again from that token on.
fn engine_request(
    completion: &Completion,
    address: std::net::SocketAddr,
    continue_from: u64,
    resume_from: Option<u64>,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let mut body = completion.body.clone();
    body.insert("max_tokens".into(), json!(completion.max_output));
    body.remove("max_completion_tokens");
    body.remove("user");
    if continue_from > 0 {
        body.insert("continue_from".into(), json!(continue_from));
    }
    let priority = match completion.priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    };
    let mut request = Request::post(&completion.path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("x-request-id", &completion.id)
        .header("x-priority", priority);
    if let Some(offset) = resume_from {
        request = request.header("x-resume-offset", offset);
    }
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    request
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|error| Refusal::not_run(ErrorKind::BadRequest, error.to_string()))
}

/// Checks that a response belongs to this request. Any other response is dropped with its body
/// unread, which closes the connection.
fn check_id(response: &Response<Incoming>, completion: &Completion) -> Result<(), Refusal> {
    let response_id = response.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    if response_id == Some(completion.id.as_str()) {
        return Ok(());
    }
    Err(mismatch_refusal())
}

/// Returns the refusal of a request whose response carries the id of another request.
pub(crate) fn mismatch_refusal() -> Refusal {
    let detail = "the endpoint answered with another request's id";
    Refusal::unknown(ErrorKind::ResponseMismatch, detail)
}

/// Sends a request and reads the complete response; another endpoint is tried if it ends early.
///
/// # Errors
/// Refuses the request as [`open_response`] does, and if the response is too large, incomplete or
/// belongs to another request.
pub(crate) async fn fetch_complete(
    shared: &Arc<AppState>,
    completion: &Completion,
    mut guard: TokenGuard,
    deadline: Duration,
    arrived: Duration,
) -> Result<Bytes, Refusal> {
    let mut failed = Vec::new();
    let mut opened = open_response(shared, completion, &mut failed, 0, deadline).await?;
    let wait = shared.settings.endpoint_wait;
    let bytes = loop {
        match read_body(opened.response.into_body(), MAX_RESPONSE_BYTES, wait).await {
            Ok(bytes) => break bytes,
            Err(ReadError::TooLarge) => {
                let detail = "the answer is larger than this VM passes on";
                return Err(Refusal::unknown(ErrorKind::EndpointFailed, detail));
            }
            Err(ReadError::Broken | ReadError::TimedOut) => {}
        }
        failed.push(opened.routed.endpoint.clone());
        if failed.len() >= MAX_ATTEMPTS
            || !service_router(shared, completion)?
                .on_failure(&opened.routed.endpoint, shared.now())
        {
            let detail = "the answer ended too early";
            return Err(Refusal::unknown(ErrorKind::ResponseTruncated, detail));
        }
        drop(opened.routed);
        opened = open_response(shared, completion, &mut failed, 0, deadline).await?;
    };
    let value: Value = serde_json::from_slice(&bytes).map_err(|_| {
        Refusal::unknown(ErrorKind::ResponseTruncated, "the answer is not whole JSON")
    })?;
    if value.get("id").and_then(Value::as_str) != Some(completion.id.as_str()) {
        return Err(mismatch_refusal());
    }
    let now = shared.now();
    guard.set_used(used_tokens(&value).unwrap_or(completion.prompt_tokens + completion.max_output));
    let total = now - opened.sent_at;
    // The first token of a response that is not streamed is not observed: only the total time is
    // known to the router.
    opened.routed.set_times(Duration::ZERO, total);
    record_first_token(shared, completion, now - arrived);
    Ok(bytes)
}

/// Returns the number of tokens that an engine reports for a request; `None` if it reports none.
pub(crate) fn used_tokens(value: &Value) -> Option<Tokens> {
    value.get("usage")?.get("total_tokens")?.as_u64()
}

/// Records the time to the first token in the metrics and the service-level objectives.
pub(crate) fn record_first_token(shared: &AppState, completion: &Completion, first: Duration) {
    shared.metrics.record_first_token(&completion.service, first.as_secs_f64());
    let Some(config) = shared.config() else { return };
    let (service, workspace) = (&completion.service, &completion.workspace);
    shared.burn.count(&config.config, service, workspace, Some(first), shared.now());
}
