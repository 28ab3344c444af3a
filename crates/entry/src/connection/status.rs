//! Serves readiness checks and metrics on their own listeners.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::edge::socket;
use crate::process::active_fleet::ActiveFleet;
use crate::process::metrics::Metrics;
use crate::process::quotas::Quotas;
use crate::process::scheduler::Scheduler;
use crate::process::shutdown::{Phase, Shutdown};

/// How long a VM without a leader's grant of tokens stays unready after its start.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a status listener serves.
#[derive(Clone)]
pub(crate) enum StatusPage {
    /// Whether the VM accepts new connections.
    Ready(Arc<Readiness>),
    /// The metrics.
    Metrics(Arc<Metrics>),
}

/// The parts of the process that readiness depends on.
pub(crate) struct Readiness {
    pub(crate) path: &'static str,
    pub(crate) active_fleet: Arc<ActiveFleet>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) started: Instant,
    pub(crate) shutdown: Shutdown,
}

impl Readiness {
    /// Returns the status for a readiness check: 200 if the VM accepts new connections, 503 if not,
    /// and 404 for another path.
    fn status(&self, path: &str) -> StatusCode {
        if path != self.path {
            return StatusCode::NOT_FOUND;
        }
        let serving = self.shutdown.phase() == Phase::Serving;
        // The leader grants tokens; without a leader, the VM serves what its floor allows.
        let can_spend = self.quotas.can_grant() || self.started.elapsed() > GRANT_TIMEOUT;
        if serving
            && can_spend
            && self.active_fleet.fleet().is_some()
            && self.scheduler.ready_endpoints() > 0
        {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Serves a page on a listener until the process ends.
pub(crate) async fn accept(listener: TcpListener, page: StatusPage) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(error:%; "a connection for readiness or metrics was not accepted");
                tokio::time::sleep(socket::CONNECT_TIMEOUT).await;
                continue;
            }
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle(page.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client of a failed connection retries.
            let _ = connection.await;
        });
    }
}

async fn handle(
    page: StatusPage,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    match page {
        StatusPage::Ready(readiness) => {
            *response.status_mut() = readiness.status(request.uri().path())
        }
        StatusPage::Metrics(metrics) => *response.body_mut() = Full::from(metrics.text()),
    }
    Ok(response)
}
