//! Handles callers' requests: completions, jobs and requests to plain services.

pub(crate) mod batch;
pub(crate) mod caller;
pub(crate) mod completion;
pub(crate) mod idempotency;
pub(crate) mod plain;
pub(crate) mod response;
pub(crate) mod stream;

use std::sync::Arc;

use bamboocourse_decide::{ErrorKind, Refusal};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::process::vm::AppState;
use crate::request::response::{Body, json_response, refusal_response};

/// Handles one request of a caller and returns the response, which carries the request's id.
///
/// The request counts as running until the body of the response has been sent.
pub(crate) async fn handle(shared: &Arc<AppState>, request: Request<Incoming>) -> Response<Body> {
    let guard = shared.running.start();
    let id = format!("{:016x}", rand::random::<u64>());
    let outcome = route(shared, request, &id).await;
    let mut response = match outcome {
        Ok(response) => response,
        Err(error) => {
            let RequestError { refusal, workspace } = error;
            shared.metrics.count_refusal(refusal.kind, &workspace);
            shared.decisions.record(&id, "refused", format!("{workspace}: {refusal}"));
            refusal_response(&refusal)
        }
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    response.map(|body| response::guarded_body(body, guard))
}

/// A refused request; `workspace` is empty if the caller is not known.
#[derive(Debug)]
pub(crate) struct RequestError {
    pub(crate) refusal: Refusal,
    pub(crate) workspace: String,
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, workspace: String::new() }
    }
}

impl RequestError {
    /// Returns a function that adds the workspace to a refusal.
    pub(crate) fn in_workspace(workspace: &str) -> impl Fn(Refusal) -> RequestError {
        move |refusal| RequestError { refusal, workspace: workspace.to_string() }
    }
}

/// Passes a request to the handler of its path.
async fn route(
    shared: &Arc<AppState>,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, RequestError> {
    if let Some(why) = shared.unready_reason() {
        return Err(Refusal::not_run(ErrorKind::NotReady, why).into());
    }
    let config = shared.config();
    let config = config.ok_or_else(|| Refusal::not_run(ErrorKind::NotReady, "no configuration"))?;
    let path = request.uri().path().to_string();
    match path.as_str() {
        "/v1/models" => {
            require_method(&request, &Method::GET)?;
            let caller = caller::identify(shared, &config, request.headers())?;
            Ok(json_response(&completion::list_models(&config, &caller.workspace)))
        }
        "/v1/completions" | "/v1/chat/completions" => {
            require_method(&request, &Method::POST)?;
            completion::handle(shared, &config, request, id).await
        }
        path if path.starts_with("/v1/jobs/") => {
            require_method(&request, &Method::GET)?;
            let caller = caller::identify(shared, &config, request.headers())?;
            let name = path.trim_start_matches("/v1/jobs/");
            let response = batch::job_response(shared, &caller.workspace, name).await;
            response.map_err(RequestError::in_workspace(&caller.workspace))
        }
        path if path.starts_with("/services/") => plain::handle(shared, &config, request, id).await,
        _ => Err(Refusal::not_run(ErrorKind::RouteUnknown, format!("no route for {path}")).into()),
    }
}

fn require_method(request: &Request<Incoming>, method: &Method) -> Result<(), Refusal> {
    if request.method() == method {
        return Ok(());
    }
    let detail = format!("this path takes {method}");
    Err(Refusal::not_run(ErrorKind::MethodRefused, detail))
}
