//! Connections of callers and operators.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::process::operator;
use crate::process::vm::AppState;
use crate::request;
use crate::request::response::Body;

/// The largest header section of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// How long to wait after a connection could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);

/// Whose connections a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Callers, who send requests.
    Caller,
    /// Operators, who read the VM's state.
    Operator,
}

/// Accepts connections until the process stops; then each open connection finishes its request.
pub(crate) async fn accept(
    shared: Arc<AppState>,
    listener: TcpListener,
    kind: ListenerKind,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(serve(shared.clone(), stream, kind, stopped.clone()));
                }
                // The process probably has no file descriptors left; requests that end free some.
                Err(_) => tokio::time::sleep(ACCEPT_DELAY).await,
            },
            _ = stopped.changed() => return,
        }
    }
}

/// Serves one connection until it is closed, or until its request has ended after the process
/// stops.
async fn serve(
    shared: Arc<AppState>,
    stream: TcpStream,
    kind: ListenerKind,
    mut stopped: watch::Receiver<bool>,
) {
    let header_timeout = shared.settings.header_wait;
    let service = service_fn(move |request| handle(shared.clone(), kind, request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        _ = connection.as_mut() => true,
        _ = stopped.changed() => false,
    };
    if !ended {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn handle(
    shared: Arc<AppState>,
    kind: ListenerKind,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    Ok(match kind {
        ListenerKind::Caller => request::handle(&shared, request).await,
        ListenerKind::Operator => operator::handle(&shared, &request),
    })
}
