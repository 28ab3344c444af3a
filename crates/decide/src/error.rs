//! All kinds of refusals, and the HTTP response of each kind.

use std::fmt;
use std::time::Duration;

/// Returns whether an HTTP status ends a request: RFC 9110 knows none beyond 599, and 101 answers an
/// upgrade, which is never asked for.
///
/// ```
/// use bamboocourse_decide::is_final_status;
/// assert!(is_final_status(200) && is_final_status(599));
/// assert!(!is_final_status(0) && !is_final_status(101) && !is_final_status(600));
/// ```
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// Whether the request behind a refusal may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// Nothing was sent to any endpoint.
    NotRun,
    /// The request was sent to an endpoint, and nothing shows that it did not run.
    Unknown,
}

impl RunStatus {
    /// Returns the value used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            RunStatus::NotRun => "no",
            RunStatus::Unknown => "unknown",
        }
    }
}

/// The kind of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request's body or headers cannot be read.
    BadRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The header section is larger than the limit.
    HeaderTooLarge,
    /// The request did not arrive in time.
    RequestTimeout,
    /// A keyed route was called without a key.
    KeyMissing,
    /// The key is not known, or has been withdrawn.
    KeyRefused,
    /// The key was withdrawn while its stream was running.
    KeyWithdrawn,
    /// The key's workspace may not use this route or model.
    NotAllowed,
    /// No route has this path.
    RouteUnknown,
    /// The route does not take this method.
    MethodRefused,
    /// No service offers this model.
    ModelUnknown,
    /// The request asks for more tokens than the workspace's burst.
    LargerThanBurst,
    /// The workspace has used up its rate and burst.
    RateExceeded,
    /// Every endpoint that could run the request is full.
    Overloaded,
    /// No endpoint is reachable for the request.
    NoEndpoint,
    /// The configuration is too old for keyed routes.
    ConfigStale,
    /// The VM has no configuration yet, or is shutting down.
    NotReady,
    /// The request needs the platform's table service, which cannot be reached.
    StoreUnavailable,
    /// A request with the same idempotency key is running.
    InProgress,
    /// A request with the same idempotency key was sent before, with an unknown outcome.
    OutcomeUnknown,
    /// The same idempotency key was used for a different request.
    KeyReused,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
    /// The endpoint's response belongs to another request.
    ResponseMismatch,
    /// The endpoint's response ended before its end marker.
    ResponseTruncated,
    /// The endpoint did not respond in time.
    EndpointTimeout,
    /// No batch job has this id.
    JobUnknown,
    /// Requests with a part of the prompt have crashed endpoints.
    PromptHeld,
    /// Endpoints have crashed under requests with a part of the prompt, which may be by chance.
    PromptSuspected,
    /// Attempts of the request have crashed endpoints.
    RequestHeld,
    /// Endpoints have crashed under attempts of the request, which may be by chance.
    RequestSuspected,
}

/// What a caller receives for a kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The value of the response's `kind` member.
    pub name: &'static str,
    /// The HTTP status code.
    pub status: u16,
    /// Whether sending the same request again may succeed.
    pub retry: bool,
    /// What the caller can do.
    pub hint: &'static str,
}

const fn response(
    name: &'static str,
    status: u16,
    retry: bool,
    hint: &'static str,
) -> ErrorResponse {
    ErrorResponse { name, status, retry, hint }
}

impl ErrorKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [ErrorKind; 30] = [
        ErrorKind::BadRequest,
        ErrorKind::BodyTooLarge,
        ErrorKind::HeaderTooLarge,
        ErrorKind::RequestTimeout,
        ErrorKind::KeyMissing,
        ErrorKind::KeyRefused,
        ErrorKind::KeyWithdrawn,
        ErrorKind::NotAllowed,
        ErrorKind::RouteUnknown,
        ErrorKind::MethodRefused,
        ErrorKind::ModelUnknown,
        ErrorKind::LargerThanBurst,
        ErrorKind::RateExceeded,
        ErrorKind::Overloaded,
        ErrorKind::NoEndpoint,
        ErrorKind::ConfigStale,
        ErrorKind::NotReady,
        ErrorKind::StoreUnavailable,
        ErrorKind::InProgress,
        ErrorKind::OutcomeUnknown,
        ErrorKind::KeyReused,
        ErrorKind::EndpointFailed,
        ErrorKind::ResponseMismatch,
        ErrorKind::ResponseTruncated,
        ErrorKind::EndpointTimeout,
        ErrorKind::JobUnknown,
        ErrorKind::PromptHeld,
        ErrorKind::PromptSuspected,
        ErrorKind::RequestHeld,
        ErrorKind::RequestSuspected,
    ];

    /// Returns whether requests are refused for good because endpoints have crashed under them.
    pub fn is_held(self) -> bool {
        matches!(self, ErrorKind::PromptHeld | ErrorKind::RequestHeld)
    }

    /// Returns the response of this kind.
    ///
    /// ```
    /// use bamboocourse_decide::ErrorKind;
    /// assert_eq!(ErrorKind::RateExceeded.response().status, 429);
    /// ```
    pub fn response(self) -> ErrorResponse {
        match self {
            ErrorKind::BadRequest => response("bad_request", 400, false, "correct the request"),
            ErrorKind::BodyTooLarge => {
                response("body_too_large", 413, false, "send a smaller body")
            }
            ErrorKind::HeaderTooLarge => {
                response("header_too_large", 431, false, "send fewer headers")
            }
            ErrorKind::RequestTimeout => {
                response("request_timeout", 408, true, "send the body faster")
            }
            ErrorKind::KeyMissing => {
                response("key_missing", 401, false, "send `Authorization: Bearer KEY`")
            }
            ErrorKind::KeyRefused => {
                response("key_refused", 401, false, "ask an operator for a key")
            }
            ErrorKind::KeyWithdrawn => {
                response("key_withdrawn", 401, false, "ask an operator for a key")
            }
            ErrorKind::NotAllowed => {
                response("not_allowed", 403, false, "ask the service's operators for access")
            }
            ErrorKind::RouteUnknown => response("route_unknown", 404, false, "check the path"),
            ErrorKind::MethodRefused => response("method_refused", 405, false, "check the method"),
            ErrorKind::ModelUnknown => response("model_unknown", 404, false, "see GET /v1/models"),
            ErrorKind::LargerThanBurst => {
                response("larger_than_burst", 413, false, "lower max_tokens or shorten the prompt")
            }
            ErrorKind::RateExceeded => response("rate_exceeded", 429, true, "wait for Retry-After"),
            ErrorKind::Overloaded => response("overloaded", 503, true, "wait for Retry-After"),
            ErrorKind::NoEndpoint => response("no_endpoint", 503, true, "wait for Retry-After"),
            ErrorKind::ConfigStale => {
                response("config_stale", 503, true, "this domain is cut off; try another")
            }
            ErrorKind::NotReady => response("not_ready", 503, true, "try another VM"),
            ErrorKind::StoreUnavailable => {
                response("store_unavailable", 503, true, "wait for Retry-After")
            }
            ErrorKind::InProgress => {
                response("in_progress", 409, true, "ask again with the same key")
            }
            ErrorKind::OutcomeUnknown => {
                response("outcome_unknown", 409, false, "check by hand whether it took effect")
            }
            ErrorKind::KeyReused => response("key_reused", 422, false, "use a new Idempotency-Key"),
            ErrorKind::EndpointFailed => response("endpoint_failed", 502, false, "see `ran`"),
            ErrorKind::ResponseMismatch => response("answer_mismatch", 502, false, "see `ran`"),
            ErrorKind::ResponseTruncated => response("answer_truncated", 502, false, "see `ran`"),
            ErrorKind::EndpointTimeout => response("endpoint_timeout", 504, false, "see `ran`"),
            ErrorKind::JobUnknown => response("job_unknown", 404, false, "check the job's id"),
            ErrorKind::PromptHeld => {
                response("prompt_held", 400, false, "leave out the part that crashes endpoints")
            }
            ErrorKind::PromptSuspected => {
                response("prompt_suspected", 503, true, "wait for Retry-After")
            }
            ErrorKind::RequestHeld => {
                response("request_held", 400, false, "do not send this request again")
            }
            ErrorKind::RequestSuspected => {
                response("request_suspected", 503, true, "wait for Retry-After")
            }
        }
    }
}

/// A refusal of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The kind, which decides the status.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub ran: RunStatus,
    /// How long the caller should wait before a retry; `None` if no time can be given.
    pub retry_after: Option<Duration>,
    /// What was wrong, in one line.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that was not sent to any endpoint.
    ///
    /// ```
    /// use bamboocourse_decide::{ErrorKind, Refusal, RunStatus};
    /// let refusal = Refusal::not_run(ErrorKind::KeyMissing, "no key");
    /// assert_eq!(refusal.ran, RunStatus::NotRun);
    /// ```
    pub fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, ran: RunStatus::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates a refusal of a request that may have run.
    ///
    /// ```
    /// use bamboocourse_decide::{ErrorKind, Refusal, RunStatus};
    /// let refusal = Refusal::unknown(ErrorKind::EndpointFailed, "connection reset");
    /// assert_eq!(refusal.ran, RunStatus::Unknown);
    /// ```
    pub fn unknown(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, ran: RunStatus::Unknown, retry_after: None, detail: detail.into() }
    }

    /// Sets how long the caller should wait before a retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (ran: {}): {}", self.kind.response().name, self.ran.as_str(), self.detail)
    }
}

impl std::error::Error for Refusal {}
