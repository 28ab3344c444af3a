//! An endpoint of a plain service that counts how often each request body was run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::network::Network;
use crate::server::{HandlerResponse, header_value, json_response, read_body, serve};

/// The faults of a plain endpoint.
#[derive(Debug, Clone, Default)]
pub struct PlainFaults {
    /// How long a request runs before it takes effect.
    pub delay: Duration,
    /// Whether the connection is closed without a response after a request took effect.
    pub lose_response: bool,
    /// Whether the response carries the id of another request.
    pub wrong_id: bool,
}

/// An endpoint of a plain service on loopback; dropping it stops it.
pub struct PlainEndpoint {
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// The parts of an endpoint that its request handlers share.
#[derive(Default)]
struct Shared {
    network: Network,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    faults: PlainFaults,
    /// How often each request body was run.
    runs: HashMap<String, u32>,
    /// The headers of all requests that were run, as `name: value`.
    headers: Vec<String>,
}

impl PlainEndpoint {
    /// Starts an endpoint on an address; fails if the endpoint cannot listen there.
    pub async fn start(network: Network, address: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared { network, state: Mutex::default() });
        let handler = shared.clone();
        let (address, task) = serve(address, move |peer, request| {
            let shared = handler.clone();
            Box::pin(async move { shared.handle(peer, request).await })
        })
        .await?;
        Ok(Self { address, shared, task })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns how often a request with this body was run.
    pub fn runs(&self, body: &str) -> u32 {
        self.shared.lock().runs.get(body).copied().unwrap_or(0)
    }

    /// Returns the number of runs of the body that was run most often.
    pub fn max_runs(&self) -> u32 {
        self.shared.lock().runs.values().copied().max().unwrap_or(0)
    }

    /// Returns every header of the requests that were run, as `name: value`, that contains a text.
    pub fn headers_containing(&self, text: &str) -> Vec<String> {
        let state = self.shared.lock();
        state.headers.iter().filter(|header| header.contains(text)).cloned().collect()
    }
}

impl Drop for PlainEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> HandlerResponse {
        if !self.network.can_reach(peer, self.target_address(&request)) {
            return None;
        }
        let id = header_value(&request, "x-request-id").unwrap_or_default();
        let path = request.uri().path().to_string();
        let headers = request.headers().iter();
        let headers: Vec<String> = headers
            .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("")))
            .collect();
        let body = String::from_utf8_lossy(&read_body(request).await?).into_owned();
        let faults = self.lock().faults.clone();
        tokio::time::sleep(faults.delay).await;
        let runs = {
            let mut state = self.lock();
            state.headers.extend(headers);
            let runs = state.runs.entry(body.clone()).or_default();
            *runs += 1;
            *runs
        };
        if faults.lose_response {
            return None;
        }
        let response_id = if faults.wrong_id { "another-request".to_string() } else { id };
        let mut response = json_response(200, &json!({"path": path, "echo": body, "runs": runs}))?;
        if let Ok(value) = response_id.parse() {
            response.headers_mut().insert("x-request-id", value);
        }
        Some(response)
    }

    /// Returns the address in the `host` header, or one in domain 0 if there is none.
    fn target_address(&self, request: &Request<Incoming>) -> SocketAddr {
        let host = header_value(request, "host").and_then(|host| host.parse().ok());
        host.unwrap_or_else(|| Network::address(0, 1))
    }
}
