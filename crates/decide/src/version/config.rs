//! A complete, checked configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{
    AdapterId, ByteSize, DomainId, EndpointId, ModelId, ServiceId, Tokens, WorkspaceId,
};
use crate::map::FastMap;
use crate::version::key::KeyHash;

/// The content of one published object: every service, workspace and limit.
///
/// Maps are ordered, so that equal configurations have equal bytes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// The adapters by name.
    pub adapters: BTreeMap<AdapterId, Adapter>,
    /// The endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The service-level objectives that the burn-rate report covers.
    pub objectives: Vec<Objective>,
    /// The limits of the platform's weight store; `None` for no limits.
    pub store: Option<StoreLimits>,
    /// The content hash of each service file, by file name, by which publishers find conflicts.
    pub files: BTreeMap<SmolStr, SmolStr>,
    /// The text of each service file, by file name.
    pub sources: BTreeMap<SmolStr, String>,
}

/// The kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines behind the completion routes.
    Models,
    /// A plain HTTP service behind `/services/NAME/`.
    Plain,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The kind.
    pub kind: ServiceKind,
    /// The workspaces that may call its keyed routes.
    pub workspaces: Vec<WorkspaceId>,
    /// The routes of a plain service.
    pub routes: Vec<Route>,
}

/// Who may call a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Any caller.
    Open,
    /// Callers with a key of a workspace that the service names.
    Keyed,
}

/// One route of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The path below `/services/NAME`; the route also covers every path below it.
    pub path: SmolStr,
    /// The method; `None` allows any.
    pub method: Option<SmolStr>,
    /// Who may call the route.
    pub access: Access,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

/// One model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The service that offers the model.
    pub service: ServiceId,
    /// The version of its weights.
    pub version: SmolStr,
    /// The memory of its weights, in bytes.
    pub memory: ByteSize,
    /// The least memory for its KV cache, in bytes.
    pub kv: ByteSize,
    /// The least number of prompt bytes per token.
    pub density: u64,
    /// The largest number of tokens of a prompt and its output together.
    pub context: Tokens,
}

impl Model {
    /// Returns the memory that one replica uses, in bytes.
    pub fn footprint(&self) -> ByteSize {
        self.memory + self.kv
    }
}

/// One adapter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// The model that it adapts.
    pub model: ModelId,
    /// Its memory, in bytes.
    pub memory: ByteSize,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The service whose requests it runs.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its address.
    pub address: SocketAddr,
    /// Its accelerator memory, in bytes; zero for plain services.
    pub memory: ByteSize,
    /// The number of its accelerators.
    pub accelerators: u32,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether its engine rejects orders with an old fencing number.
    pub fencing: bool,
    /// Whether operators are taking it out of service.
    pub leaving: bool,
}

/// The priority of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person waits for the response.
    Interactive,
    /// The request may be delayed.
    Batch,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The rate, in tokens per second over the whole fleet.
    pub rate: Tokens,
    /// The burst, in tokens over the whole fleet.
    pub burst: Tokens,
    /// The priority of its requests.
    pub priority: Priority,
    /// How long a failure domain that is isolated from the platform still accepts its keys; `None`
    /// for the fleet's default.
    pub grace: Option<Duration>,
    /// The hashes of its keys, by key id.
    pub keys: BTreeMap<SmolStr, KeyHash>,
}

/// One service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// The service that it covers.
    pub service: ServiceId,
    /// The workspace that it covers; `None` for all.
    pub workspace: Option<WorkspaceId>,
    /// The target for the time to the first token or byte.
    pub within: Duration,
    /// The fraction of requests that must meet the target, between 0 and 1.
    pub share: f64,
}

/// The limits of the platform's weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StoreLimits {
    /// Model loads started per second, over the whole fleet.
    pub rate: f64,
    /// The number of model loads at once, over the whole fleet.
    pub loads: u32,
    /// The number of adapter loads at once, over the whole fleet.
    pub adapters: u32,
}

/// A configuration with the indexes that request handling needs.
#[derive(Debug, Default)]
pub struct CompiledConfig {
    /// The configuration.
    pub config: Config,
    /// The workspace and the id of each key.
    keys: FastMap<KeyHash, (WorkspaceId, SmolStr)>,
}

impl CompiledConfig {
    /// Builds the indexes of a configuration.
    ///
    /// ```
    /// use bamboocourse_decide::{CompiledConfig, Config};
    /// assert!(CompiledConfig::new(Config::default()).key_owner("some key").is_none());
    /// ```
    pub fn new(config: Config) -> Self {
        let mut keys = FastMap::default();
        for (name, workspace) in &config.workspaces {
            for (id, hash) in &workspace.keys {
                keys.insert(*hash, (name.clone(), id.clone()));
            }
        }
        Self { config, keys }
    }

    /// Returns the workspace that a caller's key belongs to, and the key's id.
    ///
    /// `None` means that the key is unknown.
    pub fn key_owner(&self, key: &str) -> Option<(&WorkspaceId, &SmolStr)> {
        // The map is indexed by digest, so that lookup times reveal nothing about stored keys.
        self.keys.get(&KeyHash::of(key)).map(|(workspace, id)| (workspace, id))
    }

    /// Returns whether the configuration has a key with this hash.
    pub fn has_key(&self, hash: &KeyHash) -> bool {
        self.keys.contains_key(hash)
    }

    /// Returns the most specific route of a plain service that covers a path below the service;
    /// `None` if no route covers it.
    pub fn route(&self, service: &Service, path: &str) -> Option<Route> {
        let covering = service.routes.iter().filter(|route| covers(&route.path, path));
        covering.max_by_key(|route| route.path.len()).cloned()
    }
}

/// Returns whether a route's path is the given path or a parent of it.
fn covers(route: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(route) else { return false };
    rest.is_empty() || rest.starts_with(['/', '?']) || route.ends_with('/')
}

impl From<Config> for std::sync::Arc<CompiledConfig> {
    fn from(config: Config) -> Self {
        std::sync::Arc::new(CompiledConfig::new(config))
    }
}
