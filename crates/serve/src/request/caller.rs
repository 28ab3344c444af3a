//! Identifies callers by the API key of their request.

use std::sync::Arc;

use bamboocourse_decide::{CompiledConfig, ErrorKind, KeyHash, Refusal, WorkspaceId};
use http::{HeaderMap, header};
use smol_str::SmolStr;

use crate::process::vm::AppState;
use crate::request::RequestError;

/// Headers that may hold a caller's key; they are not forwarded to endpoints.
pub(crate) const KEY_HEADERS: [&str; 4] =
    ["authorization", "x-api-key", "api-key", "proxy-authorization"];

/// A caller whose key is valid in the active configuration.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) workspace: WorkspaceId,
    pub(crate) key: KeyHash,
    pub(crate) key_id: SmolStr,
}

/// Identifies the caller by the key in the headers of a request.
///
/// # Errors
/// Refuses a request without a key, with a key that the configuration does not have, or while
/// the configuration is stale for the workspace of the key.
pub(crate) fn identify(
    shared: &Arc<AppState>,
    config: &CompiledConfig,
    headers: &HeaderMap,
) -> Result<Caller, RequestError> {
    let Some(key) = read_key(headers) else {
        return Err(Refusal::not_run(ErrorKind::KeyMissing, "this route needs a key").into());
    };
    let Some((workspace, id)) = config.key_owner(key) else {
        return Err(Refusal::not_run(ErrorKind::KeyRefused, "the key is not in force").into());
    };
    if !shared.is_config_fresh(config, workspace) {
        let detail = "this VM has had no news of the configuration for too long";
        return Err(RequestError::in_workspace(workspace)(Refusal::not_run(
            ErrorKind::ConfigStale,
            detail,
        )));
    }
    Ok(Caller { workspace: workspace.clone(), key: KeyHash::of(key), key_id: id.clone() })
}

/// Returns whether the caller's key is still in the configuration of this VM, and the configuration
/// is fresh enough for the caller's workspace.
pub(crate) fn is_key_valid(shared: &AppState, caller: &Caller) -> bool {
    let Some(config) = shared.config() else { return false };
    config.has_key(&caller.key) && shared.is_config_fresh(&config, &caller.workspace)
}

/// Returns the key from a bearer token, or else from the `x-api-key` header.
fn read_key(headers: &HeaderMap) -> Option<&str> {
    let bearer = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer = bearer.and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    bearer.or_else(|| headers.get("x-api-key").and_then(|value| value.to_str().ok()))
}
