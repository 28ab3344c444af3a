//! Jobs: completion requests that are stored before they are acknowledged and run later by any VM.
//!
//! A job is one row of the platform's table. A VM claims a job by writing its id and a higher
//! fencing number into the row, and renews the claim while the job runs. The result is written in a
//! transaction that checks the revision of the row and so fails if another VM has claimed the job.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    ErrorKind, FastMap, Fence, Priority, Refusal, Revision, VmId, WorkspaceId, content_hash,
};
use bytes::Bytes;
use http::{HeaderValue, header};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::edge::{Commit, PlatformError, Row};
use crate::process::shares::encode_json;
use crate::process::vm::AppState;
use crate::request::completion::{self, Completion};
use crate::request::response::{Body, full_body, json_response, refusal_json};
use crate::version::publishing::{decode_json, read_row};

/// The prefix of the keys of open jobs.
const OPEN_PREFIX: &str = "jobs/open/";
/// The prefix of the keys of finished jobs.
const DONE_PREFIX: &str = "jobs/done/";
/// The shortest time between two scans of the open jobs.
const MIN_SCAN_INTERVAL: Duration = Duration::from_secs(2);
/// VMs scan less often the more there are: the interval is at least this for each listed VM.
const SCAN_INTERVAL_PER_VM: Duration = Duration::from_millis(50);
/// How long a row must stay unchanged until another VM may claim its job.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two renewals of a claim.
const CLAIM_RENEW_INTERVAL: Duration = Duration::from_secs(8);
/// How long a job waits for tokens, and then for an endpoint, until it is released.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(20);
/// How many jobs a VM runs at the same time.
const MAX_CONCURRENT_JOBS: usize = 4;

/// The row of an open job. `holder` is the VM that runs the job, or empty; `fence` grows with each
/// claim and `renewals` with each renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct JobRow {
    workspace: WorkspaceId,
    path: String,
    body: Value,
    holder: VmId,
    fence: Fence,
    renewals: u64,
}

/// The row of a finished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct DoneRow {
    workspace: WorkspaceId,
    /// The name of the object that holds the response.
    object: String,
}

/// Stores a request as a job and acknowledges it with status 202 and the URL of the job.
///
/// # Errors
/// Refuses the request if the job cannot be stored.
pub(crate) async fn accept(
    shared: &Arc<AppState>,
    completion: &Completion,
) -> Result<Response<Body>, Refusal> {
    let mut body = completion.body.clone();
    body.remove("stream");
    let job = JobRow {
        workspace: completion.workspace.clone(),
        path: completion.path.clone(),
        body: Value::Object(body),
        holder: VmId::default(),
        fence: 0,
        renewals: 0,
    };
    let name = format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
    let key = format!("{OPEN_PREFIX}{name}");
    let commit = Commit::default().replace(&key, 0, encode_json(&job));
    let durable = match shared.platform.commit(commit).await {
        Ok(reply) => reply.committed,
        Err(error) if error.is_uncertain() => {
            shared.platform.rows(&key).await.is_ok_and(|rows| !rows.is_empty())
        }
        Err(_) => false,
    };
    if !durable {
        let detail = "the request could not be made durable; nothing was promised";
        let refusal = Refusal::not_run(ErrorKind::StoreUnavailable, detail);
        return Err(refusal.retry_after(Duration::from_secs(5)));
    }
    let url = format!("/v1/jobs/{name}");
    let mut response = json_response(&json!({"id": name, "status": "queued", "url": url}));
    *response.status_mut() = StatusCode::ACCEPTED;
    if let Ok(value) = HeaderValue::from_str(&url) {
        response.headers_mut().insert(header::LOCATION, value);
    }
    let preference = HeaderValue::from_static("respond-async");
    response.headers_mut().insert("preference-applied", preference);
    Ok(response)
}

/// Returns the response to a query for a job: its result, or its status while it is open.
///
/// # Errors
/// Refuses an unknown job, a job of another workspace, and any query while the platform cannot be
/// reached.
pub(crate) async fn job_response(
    shared: &Arc<AppState>,
    workspace: &WorkspaceId,
    name: &str,
) -> Result<Response<Body>, Refusal> {
    let unknown = || Refusal::not_run(ErrorKind::JobUnknown, format!("no job `{name}`"));
    let unavailable = |error: PlatformError| {
        Refusal::not_run(ErrorKind::StoreUnavailable, error.to_string())
            .retry_after(Duration::from_secs(5))
    };
    if name.is_empty() || !name.chars().all(|c| c.is_ascii_hexdigit()) {
        return Err(unknown());
    }
    let platform = shared.platform.as_ref();
    let done = read_row::<DoneRow>(platform, &format!("{DONE_PREFIX}{name}")).await;
    if let Some((_, row)) = done.map_err(unavailable)? {
        if row.workspace != *workspace {
            return Err(unknown());
        }
        let bytes = shared.platform.fetch(&row.object).await.map_err(unavailable)?;
        let mut response = Response::new(full_body(bytes.unwrap_or_default()));
        let content_type = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        return Ok(response);
    }
    let open = read_row::<JobRow>(platform, &format!("{OPEN_PREFIX}{name}")).await;
    let (_, job) = open.map_err(unavailable)?.ok_or_else(unknown)?;
    if job.workspace != *workspace {
        return Err(unknown());
    }
    let status = if job.holder.is_empty() { "queued" } else { "running" };
    let mut response = json_response(&json!({"id": name, "status": status}));
    *response.status_mut() = StatusCode::ACCEPTED;
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("2"));
    Ok(response)
}

/// Scans for unclaimed jobs, claims them and runs them, until the process ends.
pub(crate) async fn run_jobs(shared: Arc<AppState>) {
    // The revision of each open row, and when this VM first saw it.
    let mut revisions: FastMap<String, (Revision, Duration)> = FastMap::default();
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_JOBS));
    loop {
        let vms = shared.peers.listed().len() as u32;
        tokio::time::sleep((SCAN_INTERVAL_PER_VM * vms).max(MIN_SCAN_INTERVAL)).await;
        if shared.unready_reason().is_some() {
            continue;
        }
        let Ok(rows) = shared.platform.rows(OPEN_PREFIX).await else { continue };
        let now = shared.now();
        revisions.retain(|key, _| rows.iter().any(|row| row.key == *key));
        for row in rows {
            let Ok(job) = decode_json::<JobRow>(&row.value) else { continue };
            let entry = revisions.entry(row.key.clone()).or_insert((row.revision, now));
            if entry.0 != row.revision {
                *entry = (row.revision, now);
            }
            let claimable = job.holder.is_empty() || now >= entry.1 + CLAIM_TIMEOUT;
            let Some(permit) = claimable.then(|| slots.clone().try_acquire_owned().ok()).flatten()
            else {
                continue;
            };
            let Some(claim) = claim_job(&shared, row, job).await else { continue };
            let shared = shared.clone();
            let guard = shared.running.start();
            tokio::spawn(async move {
                run_claimed(&shared, claim).await;
                drop((permit, guard));
            });
        }
    }
}

/// A job that this VM has claimed, with the revision of its row.
struct Claim {
    key: String,
    revision: Revision,
    job: JobRow,
}

/// Claims a job; `None` if another VM was faster or the table cannot be reached.
async fn claim_job(shared: &AppState, row: Row, mut job: JobRow) -> Option<Claim> {
    job.holder = shared.settings.vm.clone();
    job.fence += 1;
    let commit = Commit::default().replace(&row.key, row.revision, encode_json(&job));
    let reply = shared.platform.commit(commit).await.ok()?;
    reply.committed.then_some(Claim { key: row.key, revision: reply.revision, job })
}

/// Runs a claimed job and renews the claim in the meantime.
async fn run_claimed(shared: &Arc<AppState>, mut claim: Claim) {
    let computation = compute(shared, &claim);
    tokio::pin!(computation);
    let response = loop {
        tokio::select! {
            response = &mut computation => break response,
            _ = tokio::time::sleep(CLAIM_RENEW_INTERVAL) => {}
        }
        let mut job = claim.job.clone();
        job.renewals += 1;
        let commit = Commit::default().replace(&claim.key, claim.revision, encode_json(&job));
        match shared.platform.commit(commit).await {
            Ok(reply) if reply.committed => {
                claim.revision = reply.revision;
                claim.job.renewals = job.renewals;
            }
            // Another VM has claimed the job, or the table cannot be reached. The computation goes
            // on: the commit of its result fails if the claim is lost.
            Ok(_) | Err(_) => {}
        }
    };
    match response {
        Some(bytes) => finish(shared, &claim, bytes).await,
        None => release(shared, &claim).await,
    }
}

/// Computes the response of a job; `None` means that the job must be run again later.
fn compute(
    shared: &Arc<AppState>,
    claim: &Claim,
) -> impl Future<Output = Option<Bytes>> + Send + 'static {
    let (shared, job) = (shared.clone(), claim.job.clone());
    async move {
        let config = shared.config()?;
        let id = format!("{:016x}", rand::random::<u64>());
        let bytes = serde_json::to_vec(&job.body).ok()?;
        let parsed = completion::parse(&config, &job.workspace, &job.path, &bytes, &id);
        let completion = match parsed {
            Ok(completion) => Completion { priority: Priority::Batch, ..completion },
            // The request was valid when it was accepted; the configuration has changed since.
            Err(refusal) => return Some(refusal_json(&refusal).to_string().into()),
        };
        let guard = match completion::admit(&shared, &completion, TOKEN_TIMEOUT).await {
            Ok(guard) => guard,
            Err(refusal) if refusal.kind == ErrorKind::LargerThanBurst => {
                return Some(refusal_json(&refusal).to_string().into());
            }
            Err(_) => return None,
        };
        shared.routers.count_request(&completion.model, shared.now());
        let now = shared.now();
        completion::fetch_complete(&shared, &completion, guard, now + TOKEN_TIMEOUT, now).await.ok()
    }
}

/// Stores the response of a job, and replaces the open row by the finished one.
async fn finish(shared: &AppState, claim: &Claim, bytes: Bytes) {
    let object = format!("job-{}", content_hash(&bytes));
    let name = claim.key.trim_start_matches(OPEN_PREFIX);
    let done = DoneRow { workspace: claim.job.workspace.clone(), object: object.clone() };
    for _ in 0..3 {
        let stored = shared.platform.store(&object, bytes.clone()).await.is_ok();
        let commit = Commit::default().replace(&claim.key, claim.revision, None).replace(
            &format!("{DONE_PREFIX}{name}"),
            0,
            encode_json(&done),
        );
        // A commit whose revision check fails is not retried either: another VM has claimed the
        // job, or an earlier commit was applied.
        if stored && shared.platform.commit(commit).await.is_ok() {
            return;
        }
        tokio::time::sleep(CLAIM_RENEW_INTERVAL).await;
    }
}

/// Gives up the claim, so that any VM may run the job.
async fn release(shared: &AppState, claim: &Claim) {
    let job = JobRow { holder: VmId::default(), ..claim.job.clone() };
    let commit = Commit::default().replace(&claim.key, claim.revision, encode_json(&job));
    let _ = shared.platform.commit(commit).await;
}
