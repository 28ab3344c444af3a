//! Response bodies, and refusals as HTTP responses.

use std::pin::Pin;
use std::task::{Context, Poll};

use bamboocourse_decide::{ErrorKind, Refusal};
use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::{Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use crate::process::running::RequestGuard;

/// The body of a response to a caller.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// How many frames of a streamed response are buffered for a slow caller.
const STREAM_BUFFER_FRAMES: usize = 8;

/// A frame of a response body, or the error that ends the body.
pub(crate) type BodyFrame = Result<Frame<Bytes>, std::io::Error>;

/// Returns a body that consists of `bytes`.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Returns a body and the sender of its frames; sending waits while the buffer is full.
pub(crate) fn channel_body() -> (mpsc::Sender<BodyFrame>, Body) {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_FRAMES);
    (sender, ChannelBody { receiver }.boxed())
}

struct ChannelBody {
    receiver: mpsc::Receiver<BodyFrame>,
}

impl HttpBody for ChannelBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        self.receiver.poll_recv(cx)
    }
}

/// Wraps a body so that its request counts as running until the body has been sent.
pub(crate) fn guarded_body(body: Body, guard: RequestGuard) -> Body {
    GuardedBody { body, _guard: guard }.boxed()
}

struct GuardedBody {
    body: Body,
    _guard: RequestGuard,
}

impl HttpBody for GuardedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a response with status 200 and a JSON body.
pub(crate) fn json_response(value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string()));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a refusal as the JSON object with the member `error` that client libraries read.
pub(crate) fn refusal_json(refusal: &Refusal) -> serde_json::Value {
    let error = refusal.kind.response();
    json!({"error": {
        "kind": error.name,
        "type": error.name,
        "message": refusal.detail,
        "ran": refusal.ran.as_str(),
        "retry": error.retry,
        "hint": error.hint,
    }})
}

/// Returns the response to a refused request.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = json_response(&refusal_json(refusal));
    let status = StatusCode::from_u16(refusal.kind.response().status);
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if matches!(refusal.kind, ErrorKind::BodyTooLarge | ErrorKind::RequestTimeout) {
        // The rest of the request body is not read, so the connection cannot carry another request.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
