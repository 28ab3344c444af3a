//! The configuration of a fleet as the platform's operators write it.

use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::{AdapterId, ModelId, ServiceId, Tokens, VersionId, WorkspaceId};
use crate::map::{FastMap, FastSet, hash_of};

/// Whether a route's requests may be sent again, and whether their responses are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The response is a stream of events that must not be started twice.
    Stream,
    /// The response is a stream of events that another endpoint can resume.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::Resumable)
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }
}

/// A route from a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetRoute {
    /// Its name.
    pub name: SmolStr,
    /// The host that callers name in the `Host` header.
    pub host: SmolStr,
    /// The beginning of the path, slashes included.
    pub prefix: SmolStr,
    /// The services with their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// The longest time that a caller waits for a response.
    pub timeout: Duration,
    /// The target for the time to the response, or to a stream's first event.
    pub latency_target: Duration,
    /// The target for the longest pause between events; zero for routes without events.
    pub event_gap: Duration,
    /// The largest number of endpoints that one request is sent to.
    pub attempts: u32,
    /// The urgency of its requests; 0 is the most urgent.
    pub urgency: u8,
    /// Whether requests need no key.
    pub public: bool,
}

impl FleetRoute {
    /// Picks the service for a request by its id, in proportion to the weights.
    ///
    /// Returns `None` if no service of the route has a weight above 0.
    pub fn pick_service(&self, request: &str) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = hash_of(request).rotate_left(17) % total;
        for (service, weight) in &self.targets {
            if point < u64::from(*weight) {
                return Some(service);
            }
            point -= u64::from(*weight);
        }
        None
    }
}

/// A model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetModel {
    /// The size of its weights, in MB.
    pub memory: f64,
    /// How long a load from the weight store takes.
    pub load_time: Duration,
    /// How long a load from an endpoint's disk takes.
    pub disk_time: Duration,
    /// Its adapters.
    pub adapters: FastSet<AdapterId>,
    /// The size of each adapter, in MB.
    pub adapter_memory: f64,
}

/// What the endpoints of a service can hold.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetEngine {
    /// The number of requests that one endpoint runs at once.
    pub slots: u32,
    /// The memory for weights and adapters on one endpoint, in MB.
    pub memory: f64,
    /// The largest number of adapters on one endpoint.
    pub adapters: u32,
    /// The loads per second that the weight store allows.
    pub load_rate: f64,
    /// The models.
    pub models: FastMap<ModelId, FleetModel>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetService {
    /// What its endpoints can hold; `None` for plain services.
    pub engine: Option<FleetEngine>,
    /// How many requests a second an endpoint takes while it is cold; `None` if none is ever cold.
    pub cold_rate: Option<f64>,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetWorkspace {
    /// Its name.
    pub name: WorkspaceId,
    /// The urgency of its requests, 0 for the most urgent; `None` for that of the route.
    pub urgency: Option<u8>,
    /// The rate, in tokens per second; 0 for no limit.
    pub rate: f64,
    /// The burst, in tokens on top of the rate.
    pub burst: f64,
    /// The cost of a request that gives no token count, in tokens.
    pub default_cost: Tokens,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time to receive a header section.
    pub header_timeout: Duration,
    /// The longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// The version number.
    pub version: VersionId,
    /// The routes of each host, longest prefix first.
    pub hosts: FastMap<SmolStr, Vec<FleetRoute>>,
    /// The services.
    pub services: FastMap<ServiceId, FleetService>,
    /// The workspaces.
    pub workspaces: Vec<FleetWorkspace>,
    /// The workspace of each key, as an index into `workspaces`.
    pub keys: FastMap<SmolStr, usize>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Finds the route for a host and a path; `None` if there is none.
    pub fn route(&self, host: &str, path: &str) -> Option<&FleetRoute> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds the workspace that a key belongs to; `None` for an unknown key.
    pub fn workspace(&self, key: &str) -> Option<&FleetWorkspace> {
        self.keys.get(key).and_then(|index| self.workspaces.get(*index))
    }
}
