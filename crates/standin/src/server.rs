//! The HTTP server loop shared by the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The body of a response.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;
/// A handler's response, or `None` to close the connection without a response.
pub(crate) type HandlerResponse = Option<Response<Body>>;
/// The future that a handler returns.
pub(crate) type ResponseFuture = Pin<Box<dyn Future<Output = HandlerResponse> + Send>>;

/// The error that makes hyper close a connection without a response.
#[derive(Debug)]
struct ConnectionDropped;

impl std::fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection dropped by a fault")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Serves requests with `handler` on a loopback address until the returned task is aborted.
///
/// The handler gets the address of the peer and the request. Returns the address that the server
/// listens on, or an error if it cannot listen there.
pub(crate) async fn serve<F>(
    address: SocketAddr,
    handler: F,
) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    F: Fn(SocketAddr, Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let local = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        // Aborting the task drops this set, which closes every connection, as the death of a
        // process does.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let response = handler(peer, request);
                async move { response.await.ok_or(ConnectionDropped) }
            });
            connections.spawn(async move {
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok((local, task))
}

/// Makes a body from its complete bytes.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Makes a JSON response with a status.
pub(crate) fn json_response(status: u16, value: &serde_json::Value) -> HandlerResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    Some(response)
}

/// Reads a request's body; `None` if the connection breaks first.
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(|body| body.to_bytes())
}

/// Returns the value of a header, unless it is missing or not visible ASCII.
pub(crate) fn header_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}
