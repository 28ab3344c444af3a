//! Streamed responses: forwarded event by event, and resumed after the last token received if the
//! engine's stream breaks off.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{ErrorKind, Refusal};
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, header};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::sync::mpsc;

use crate::process::token_limits::TokenGuard;
use crate::process::vm::AppState;
use crate::request::caller::{Caller, is_key_valid};
use crate::request::completion::{
    Completion, OpenResponse, mismatch_refusal, open_response, record_first_token, resume_response,
};
use crate::request::response::{Body, BodyFrame, channel_body, refusal_json};

/// The largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// How many times an interrupted stream is resumed before it ends with an error.
const MAX_RESUMES: u32 = 3;
/// How often the key of a running stream is checked while no event and no new configuration
/// arrives.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns a streamed response and spawns the task that relays the engine's events to it.
pub(crate) fn respond(
    shared: &Arc<AppState>,
    caller: Caller,
    completion: Completion,
    token_guard: TokenGuard,
    opened: OpenResponse,
    arrived: Duration,
) -> Response<Body> {
    let (sender, body) = channel_body();
    let relay = Relay {
        shared: shared.clone(),
        caller,
        completion,
        token_guard,
        sender,
        received: 0,
        arrived,
        first_token: None,
        has_usage: false,
    };
    let request_guard = shared.running.start();
    tokio::spawn(async move {
        relay.run(opened).await;
        drop(request_guard);
    });
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    let cache_control = HeaderValue::from_static("no-cache");
    response.headers_mut().insert(header::CACHE_CONTROL, cache_control);
    response
}

/// Relays the events of one request from engines to the caller.
struct Relay {
    shared: Arc<AppState>,
    caller: Caller,
    completion: Completion,
    token_guard: TokenGuard,
    sender: mpsc::Sender<BodyFrame>,
    /// Tokens received so far.
    received: u64,
    /// When the request arrived.
    arrived: Duration,
    /// When the first token was received.
    first_token: Option<Duration>,
    /// Whether the engine has reported its token usage, which precedes the end marker.
    has_usage: bool,
}

/// Why relaying one response of an engine ended.
enum RelayEnd {
    /// The end marker was received.
    Complete,
    /// The caller has disconnected.
    CallerGone,
    /// The engine's response broke off or fell silent.
    Broken,
    /// The stream must end with an error.
    Refused(Refusal),
}

/// The members of an event that the relay reads.
#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
    #[serde(default)]
    choices: Vec<IgnoredAny>,
    usage: Option<Usage>,
}

/// The token usage that an engine reports.
#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl Relay {
    /// Relays the stream to its end, resuming it when it breaks off: first at the same endpoint,
    /// then at another.
    async fn run(mut self, mut opened: OpenResponse) {
        let mut failed = Vec::new();
        for _ in 0..=MAX_RESUMES {
            let end = self.forward(&mut opened).await;
            match end {
                RelayEnd::Complete | RelayEnd::CallerGone => return,
                RelayEnd::Refused(refusal) => return self.fail(&refusal).await,
                RelayEnd::Broken => {}
            }
            self.shared.metrics.resumes.add(1, &[]);
            let why = format!("the stream broke off after {} tokens", self.received);
            self.shared.decisions.record(&self.completion.id, "resumed", why);
            let resumed =
                resume_response(&self.shared, &self.completion, &opened.routed, self.received)
                    .await;
            if let Some(response) = resumed {
                opened.response = response;
                continue;
            }
            failed.push(opened.routed.endpoint.clone());
            let deadline = self.shared.now() + self.shared.settings.queue_wait;
            let next =
                open_response(&self.shared, &self.completion, &mut failed, self.received, deadline)
                    .await;
            match next {
                Ok(next) => opened = next,
                Err(refusal) => {
                    let refusal = Refusal::unknown(ErrorKind::ResponseTruncated, refusal.detail);
                    return self.fail(&refusal).await;
                }
            }
        }
        let refusal =
            Refusal::unknown(ErrorKind::ResponseTruncated, "the stream kept breaking off");
        self.fail(&refusal).await;
    }

    /// Forwards the events of one response until it ends, the caller disconnects or the caller's key
    /// is withdrawn.
    async fn forward(&mut self, opened: &mut OpenResponse) -> RelayEnd {
        let mut versions = self.shared.versions.subscribe();
        let mut buffer = BytesMut::new();
        let wait = self.shared.settings.endpoint_wait;
        let mut last_frame = self.shared.now();
        loop {
            let body: &mut Incoming = opened.response.body_mut();
            let frame = tokio::select! {
                frame = body.frame() => frame,
                _ = self.sender.closed() => return RelayEnd::CallerGone,
                _ = versions.changed() => {
                    if let Some(refusal) = self.key_refusal() {
                        return RelayEnd::Refused(refusal);
                    }
                    continue;
                }
                _ = tokio::time::sleep(KEY_CHECK_INTERVAL) => {
                    if let Some(refusal) = self.key_refusal() {
                        return RelayEnd::Refused(refusal);
                    }
                    if self.shared.now() - last_frame > wait {
                        return RelayEnd::Broken;
                    }
                    continue;
                }
            };
            last_frame = self.shared.now();
            let Some(Ok(frame)) = frame else { return RelayEnd::Broken };
            let Ok(data) = frame.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(event) = next_event(&mut buffer) {
                match self.handle_event(event, opened).await {
                    None => {}
                    Some(end) => return end,
                }
            }
            if buffer.len() > MAX_EVENT_BYTES {
                let detail = "the endpoint sent an event without end";
                return RelayEnd::Refused(Refusal::unknown(ErrorKind::EndpointFailed, detail));
            }
        }
    }

    /// Checks, counts and forwards one event; returns why the relay ends, if it does.
    async fn handle_event(&mut self, event: Bytes, opened: &mut OpenResponse) -> Option<RelayEnd> {
        let data = event.strip_prefix(b"data:").map(|data| data.trim_ascii());
        if data == Some(b"[DONE]") {
            if !self.has_usage {
                return Some(RelayEnd::Broken);
            }
            self.record_times(opened);
            let delivered = self.send(event).await;
            return Some(if delivered { RelayEnd::Complete } else { RelayEnd::CallerGone });
        }
        if let Some(data) = data {
            let Ok(parsed) = serde_json::from_slice::<Event<'_>>(data) else {
                let detail = "the endpoint sent an event that is not JSON";
                return Some(RelayEnd::Refused(Refusal::unknown(
                    ErrorKind::EndpointFailed,
                    detail,
                )));
            };
            if parsed.id != self.completion.id {
                return Some(RelayEnd::Refused(mismatch_refusal()));
            }
            self.count_tokens(&parsed);
        }
        if self.send(event).await { None } else { Some(RelayEnd::CallerGone) }
    }

    /// Counts the tokens of an event, and corrects the count by the usage that the engine reports.
    fn count_tokens(&mut self, event: &Event<'_>) {
        if !event.choices.is_empty() {
            if self.received == 0 {
                let now = self.shared.now();
                self.first_token = Some(now);
                record_first_token(&self.shared, &self.completion, now - self.arrived);
            }
            self.received += 1;
            self.token_guard.set_used(self.completion.prompt_tokens + self.received);
        }
        if let Some(usage) = &event.usage {
            self.has_usage = true;
            self.token_guard.set_used(usage.total_tokens);
        }
    }

    /// Reports the times of the response to the router.
    fn record_times(&self, opened: &mut OpenResponse) {
        let total = self.shared.now() - opened.sent_at;
        // If another engine continued the stream, the first token came before `sent_at`; the time to
        // the first token is then 0, as it says nothing about the time for the prompt.
        let first =
            self.first_token.map_or(Duration::ZERO, |first| first.saturating_sub(opened.sent_at));
        opened.routed.set_times(first, total);
    }

    /// Sends an event to the caller; false if the caller has disconnected.
    async fn send(&self, event: Bytes) -> bool {
        self.sender.send(Ok(Frame::data(event))).await.is_ok()
    }

    /// Returns the refusal that ends the stream if the caller's key is no longer valid.
    fn key_refusal(&self) -> Option<Refusal> {
        if is_key_valid(&self.shared, &self.caller) {
            return None;
        }
        let detail = format!("key `{}` is no longer in force", self.caller.key_id);
        Some(Refusal::unknown(ErrorKind::KeyWithdrawn, detail))
    }

    /// Ends the stream with an error event and without an end marker.
    async fn fail(&self, refusal: &Refusal) {
        self.shared.metrics.count_refusal(refusal.kind, &self.completion.workspace);
        self.shared.decisions.record(&self.completion.id, "stream ended", refusal.to_string());
        let event = format!("data: {}\n\n", refusal_json(refusal));
        let _ = self.send(Bytes::from(event)).await;
    }
}

/// Removes the next complete event, with the blank line after it, from the buffer.
fn next_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some(buffer.split_to(end + 2).freeze())
}
