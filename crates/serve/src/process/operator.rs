//! The HTTP paths for operators: health, metrics, status, decisions and the burn report.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::process::vm::AppState;
use crate::request::response::{Body, full_body};

/// The most decisions in one response.
const MAX_LISTED_DECISIONS: usize = 200;

/// Handles one request of an operator.
pub(crate) fn handle(shared: &Arc<AppState>, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n".into());
    }
    match request.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n".into()),
        "/readyz" => readyz(shared),
        "/metrics" => text_response(StatusCode::OK, shared.metrics.text()),
        "/status" => json_response(&status(shared)),
        "/decisions" => {
            let subject = request.uri().query().and_then(|query| query.strip_prefix("about="));
            json_response(
                &json!({"decisions": shared.decisions.about(subject, MAX_LISTED_DECISIONS)}),
            )
        }
        "/report" => {
            let config = shared.config();
            let config = config.as_ref().map(|compiled| &compiled.config);
            let report = config.map(|config| shared.burn.report(config, shared.now()));
            json_response(&serde_json::to_value(report.unwrap_or_default()).unwrap_or_default())
        }
        _ => text_response(
            StatusCode::NOT_FOUND,
            "see /status, /decisions, /report, /metrics\n".into(),
        ),
    }
}

fn readyz(shared: &AppState) -> Response<Body> {
    match shared.unready_reason() {
        None => text_response(StatusCode::OK, "ready\n".into()),
        Some(why) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {why}\n")),
    }
}

fn status(shared: &AppState) -> serde_json::Value {
    let now = shared.now();
    let (version, age) = {
        let active = shared.active_config();
        (active.version(), active.age(now))
    };
    let members: Vec<_> = {
        let members = shared.members();
        let rows = members.alive(now).map(
            |member| json!({"vm": member.vm, "version": member.version, "leaving": member.leaving}),
        );
        rows.collect()
    };
    let placement: serde_json::Map<String, serde_json::Value> = placement(shared);
    json!({
        "vm": shared.settings.vm,
        "domain": shared.settings.domain,
        "ready": shared.unready_reason().is_none(),
        "draining": shared.is_draining(),
        "running": shared.running.count(),
        "version": version,
        "confirmed_seconds_ago": age.map(|age| age.as_secs_f64()),
        "leads_with_fence": shared.leading_fence(),
        "members": members,
        "limits": shared.limits.status(now),
        "models": placement,
    })
}

/// Returns the endpoints on which each model is resident.
fn placement(shared: &AppState) -> serde_json::Map<String, serde_json::Value> {
    let mut rows = serde_json::Map::new();
    let Some(config) = shared.config() else { return rows };
    for (name, model) in &config.config.models {
        let Some(router) = shared.routers.service(&model.service) else { continue };
        let item = crate::process::leader::model_item(name, &model.version);
        rows.insert(name.to_string(), json!(router.holders(&item)));
    }
    rows
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

fn json_response(value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string()));
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}
