//! Accepts and serves callers' connections.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use http::header::{CONNECTION, HeaderValue};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edge::socket;
use crate::process::active_fleet::ActiveFleet;
use crate::process::drain::{self, Closed};
use crate::process::metrics::Metrics;
use crate::process::open_requests::LastRequest;
use crate::process::shutdown::{OpenCount, Phase, Shutdown};
use crate::request::{Body, Pipeline};

/// The largest header section until a configuration is known, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// How long a connection may stay idle until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The time from the start of a connection to its first request, which callers connect for.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// The pause after a connection could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);

/// The server for callers' connections.
#[derive(Clone)]
pub(crate) struct CallerServer {
    pub(crate) pipeline: Arc<Pipeline>,
    pub(crate) active_fleet: Arc<ActiveFleet>,
    pub(crate) shutdown: Shutdown,
    /// The connections that have carried a request and are not closed yet.
    pub(crate) connections: OpenCount,
    /// Those of them that only wait for their caller to close them.
    pub(crate) lingering: OpenCount,
    pub(crate) metrics: Arc<Metrics>,
}

/// What a connection carries; clones share it.
#[derive(Debug, Clone, Default)]
struct ConnectionState(Arc<StateInner>);

#[derive(Debug, Default)]
struct StateInner {
    /// Whether it has carried a request.
    used: AtomicBool,
    /// Whether it has a response whose head did not ask the caller to close it. Such a caller may have
    /// sent its next request by the end of the response.
    kept: AtomicBool,
    /// Whether a response has asked the caller to close it.
    closes: AtomicBool,
    /// When the last response that did not ask so ended.
    ended: Mutex<Option<Instant>>,
    changed: Notify,
    last: LastRequest,
}

impl ConnectionState {
    /// Records the beginning of a request; returns what ends its response when it is dropped.
    fn begin(&self) -> KeptGuard {
        self.0.used.store(true, Ordering::Relaxed);
        self.0.kept.store(true, Ordering::Relaxed);
        KeptGuard(self.clone())
    }

    /// Records that a response asks the caller to close the connection.
    fn ask_close(&self) {
        self.0.closes.store(true, Ordering::Relaxed);
    }

    /// Returns whether the caller may not have received all of the last response yet.
    fn may_lack_response(&self) -> bool {
        let ended = *self.0.ended.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.closes.load(Ordering::Relaxed)
            || self.0.kept.load(Ordering::Relaxed)
            || ended.is_some_and(|ended| ended.elapsed() < drain::LINGER_TIME)
    }

    fn is_used(&self) -> bool {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Waits until there is no response whose head did not ask the caller to close the connection.
    async fn released(&self) {
        while self.0.kept.load(Ordering::Relaxed) {
            self.0.changed.notified().await;
        }
    }
}

/// Ends a response when it is dropped.
struct KeptGuard(ConnectionState);

impl Drop for KeptGuard {
    fn drop(&mut self) {
        let StateInner { kept, changed, ended, .. } = &*self.0.0;
        *ended.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        kept.store(false, Ordering::Relaxed);
        changed.notify_one();
    }
}

impl CallerServer {
    /// Accepts connections until [`Phase::Closing`]: requests on later connections might not be
    /// finished before the process ends.
    pub(crate) async fn accept(self, listener: TcpListener) {
        let closing = self.shutdown.reached(Phase::Closing);
        tokio::pin!(closing);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = closing.as_mut() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve(stream));
                }
                Err(error) => {
                    // Most likely there are no free file descriptors; requests that end free some.
                    warn!(error:%; "a caller's connection was not accepted");
                    tokio::time::sleep(ACCEPT_DELAY).await;
                }
            }
        }
        // The requests of connections that wait to be accepted would get no answer at all.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    /// Serves the requests of one connection until it is closed.
    async fn serve(self, stream: TcpStream) {
        if let Err(error) = socket::set_options(&stream) {
            warn!(error:%; "a caller's connection cannot be used");
            return;
        }
        let limits = self.active_fleet.fleet().map(|fleet| fleet.limits);
        let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
        // The HTTP library has one timeout both for a header and for the wait for the next request.
        let idle_timeout = limits
            .map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout.max(limits.header_timeout));
        let (pipeline, shutdown) = (self.pipeline.clone(), self.shutdown.clone());
        let (connections, open) = (self.connections.clone(), Arc::new(OnceLock::new()));
        let (state, opened) = (ConnectionState::default(), Instant::now());
        let (own_state, own_open) = (state.clone(), open.clone());
        let service = service_fn(move |request| {
            // It counts as open until it has been closed.
            own_open.get_or_init(|| connections.enter());
            Box::pin(handle(pipeline.clone(), shutdown.clone(), own_state.clone(), request))
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let ended = tokio::select! {
            ended = &mut connection => Some(ended),
            () = self.may_close(&state, opened) => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        let parts = connection.into_parts();
        let lingering = open.get().map(|_| self.lingering.enter());
        let closed = drain::close(parts.io.into_inner(), state.may_lack_response()).await;
        self.log_close(&state, ended.err(), parts.read_buf.len(), closed);
        drop((lingering, open));
    }

    /// Waits until a connection may be closed by this VM.
    async fn may_close(&self, state: &ConnectionState, opened: Instant) {
        self.shutdown.reached(Phase::Closing).await;
        if !state.is_used() {
            let _open = self.connections.enter();
            tokio::time::sleep_until(opened + FIRST_REQUEST_TIME).await;
        }
        state.released().await;
    }

    /// Records how a connection was closed; `read` counts the bytes that were read and of which no request
    /// was made.
    fn log_close(
        &self,
        state: &ConnectionState,
        error: Option<hyper::Error>,
        read: usize,
        closed: Closed,
    ) {
        let Closed { by_caller, discarded } = closed;
        if read + discarded > 0 {
            self.metrics.count_closed_unread(if read > 0 { "read" } else { "arriving" });
        }
        if self.shutdown.phase() == Phase::Serving || !(state.is_used() || read + discarded > 0) {
            return;
        }
        let error = error.map(|error| format!("{error:?}")).unwrap_or_default();
        info!(id = state.0.last.id().as_str(), error = error.as_str(), by_caller, read, discarded,
            left_ms = self.shutdown.time_left().as_millis() as u64;
            "a caller's connection is closed while the VM leaves");
    }
}

/// Handles one request, and asks the caller to close the connection unless the process is serving.
async fn handle(
    pipeline: Arc<Pipeline>,
    shutdown: Shutdown,
    state: ConnectionState,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let guard = state.begin();
    let mut response = pipeline.handle(request, &state.0.last).await;
    if shutdown.phase() != Phase::Serving {
        state.ask_close();
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return Ok(response);
    }
    Ok(response.map(|body| {
        let guarded = body.map_frame(move |frame| {
            let _held = &guard;
            frame
        });
        guarded.boxed_unsync()
    }))
}
