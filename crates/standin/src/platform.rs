//! A stand-in for the platform: its table service, object store and list of VMs.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::network::Network;
use crate::server::{HandlerResponse, full_body, json_response, read_body, serve};

/// The faults of the platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Whether every request gets status 503.
    pub down: bool,
    /// How long every request is delayed before the platform handles it.
    pub delay: Duration,
    /// The share of commits whose response is lost after they took effect, from 0 to 1.
    pub lost_responses: f64,
}

/// The platform on loopback; dropping it stops it.
pub struct Platform {
    /// The address that the platform listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// The parts of the platform that its request handlers share.
struct Shared {
    network: Network,
    state: Mutex<State>,
}

struct State {
    faults: PlatformFaults,
    rng: ChaCha8Rng,
    /// The revision of the last commit that was applied.
    revision: u64,
    rows: BTreeMap<String, Row>,
    /// The stored objects, by request path.
    objects: HashMap<String, bytes::Bytes>,
    vms: BTreeMap<String, VmRow>,
    reads: u64,
    writes: u64,
}

/// A row of the table, as responses show it.
#[derive(Clone, Serialize)]
struct Row {
    key: String,
    value: String,
    revision: u64,
}

/// A listed VM, as responses show it.
#[derive(Clone, Serialize)]
struct VmRow {
    vm: String,
    domain: String,
    peer: SocketAddr,
    leaving: bool,
}

/// A transaction: the writes apply if every check holds.
#[derive(Deserialize)]
struct Commit {
    checks: Vec<Check>,
    writes: Vec<Write>,
}

/// Requires a row to be at a revision; 0 means that the row is missing.
#[derive(Deserialize)]
struct Check {
    key: String,
    revision: u64,
}

/// Sets a row, or deletes the row if there is no value.
#[derive(Deserialize)]
struct Write {
    key: String,
    value: Option<String>,
}

impl Platform {
    /// Starts a platform on a free port; fails if the platform cannot listen.
    pub async fn start(network: Network, seed: u64) -> std::io::Result<Self> {
        let state = State {
            faults: PlatformFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            revision: 0,
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            vms: BTreeMap::new(),
            reads: 0,
            writes: 0,
        };
        let shared = Arc::new(Shared { network, state: Mutex::new(state) });
        let handler = shared.clone();
        let (address, task) = serve(Network::address(0, 1), move |peer, request| {
            let shared = handler.clone();
            Box::pin(async move { shared.handle(peer, request).await })
        })
        .await?;
        Ok(Self { address, shared, task })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
    }

    /// Adds a VM to the list of VMs.
    pub fn add_vm(&self, vm: &str, domain: &str, peer: SocketAddr) {
        let row = VmRow { vm: vm.into(), domain: domain.into(), peer, leaving: false };
        self.shared.lock().vms.insert(vm.into(), row);
    }

    /// Marks a listed VM as leaving.
    pub fn mark_leaving(&self, vm: &str) {
        if let Some(row) = self.shared.lock().vms.get_mut(vm) {
            row.leaving = true;
        }
    }

    /// Removes a VM from the list of VMs.
    pub fn remove_vm(&self, vm: &str) {
        self.shared.lock().vms.remove(vm);
    }

    /// Returns the key and value of every row whose key starts with a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.shared.lock();
        let rows = state.rows.values().filter(|row| row.key.starts_with(prefix));
        rows.map(|row| (row.key.clone(), row.value.clone())).collect()
    }

    /// Returns the numbers of reads and of writes that the platform has handled.
    pub fn request_counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.reads, state.writes)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> HandlerResponse {
        let faults = self.lock().faults.clone();
        tokio::time::sleep(faults.delay).await;
        if !self.network.can_reach(peer, Network::address(0, 1)) {
            return None;
        }
        if faults.down {
            return json_response(503, &json!({"error": "the platform is down"}));
        }
        let path = request.uri().path().to_string();
        let query = request.uri().query().unwrap_or_default().to_string();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::GET, "/table/rows") => self.list_rows(&query),
            (Method::POST, "/table/commit") => self.commit(read_body(request).await?),
            (Method::GET, "/vms") => self.list_vms(peer).await,
            (Method::GET, path) if path.starts_with("/objects/") => self.read_object(path),
            (Method::PUT, path) if path.starts_with("/objects/") => {
                let path = path.to_string();
                self.write_object(path, read_body(request).await?)
            }
            _ => json_response(404, &json!({"error": "no such path"})),
        }
    }

    /// Returns the rows whose key starts with the `prefix` of the query.
    fn list_rows(&self, query: &str) -> HandlerResponse {
        let prefix = query.strip_prefix("prefix=").unwrap_or_default();
        let mut state = self.lock();
        state.reads += 1;
        let range = state.rows.range(prefix.to_string()..);
        let rows: Vec<&Row> =
            range.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row).collect();
        json_response(200, &json!({"rows": rows}))
    }

    /// Applies a transaction; the response is lost with the probability `lost_responses`.
    fn commit(&self, body: bytes::Bytes) -> HandlerResponse {
        let Ok(commit) = serde_json::from_slice::<Commit>(&body) else {
            return json_response(400, &json!({"error": "cannot read the commit"}));
        };
        let mut state = self.lock();
        state.writes += 1;
        let committed = commit.checks.iter().all(|check| {
            state.rows.get(&check.key).map_or(0, |row| row.revision) == check.revision
        });
        if committed {
            state.revision += 1;
            let revision = state.revision;
            for write in commit.writes {
                match write.value {
                    Some(value) => {
                        let row = Row { key: write.key.clone(), value, revision };
                        state.rows.insert(write.key, row);
                    }
                    None => {
                        state.rows.remove(&write.key);
                    }
                }
            }
        }
        let loss = state.faults.lost_responses;
        if state.rng.random_bool(loss) {
            return None;
        }
        json_response(200, &json!({"committed": committed, "revision": state.revision}))
    }

    /// Returns the listed VMs, with the peer addresses at which the sender of the request reaches
    /// them.
    async fn list_vms(&self, peer: SocketAddr) -> HandlerResponse {
        let mut rows: Vec<VmRow> = {
            let mut state = self.lock();
            state.reads += 1;
            state.vms.values().cloned().collect()
        };
        for row in &mut rows {
            row.peer = self.network.reachable_address(peer, row.peer).await;
        }
        json_response(200, &json!({"vms": rows}))
    }

    fn read_object(&self, path: &str) -> HandlerResponse {
        let mut state = self.lock();
        state.reads += 1;
        match state.objects.get(path) {
            Some(bytes) => Some(hyper::Response::new(full_body(bytes.clone()))),
            None => json_response(404, &json!({"error": "no such object"})),
        }
    }

    fn write_object(&self, path: String, bytes: bytes::Bytes) -> HandlerResponse {
        let mut state = self.lock();
        state.writes += 1;
        state.objects.insert(path, bytes);
        json_response(200, &json!({"stored": true}))
    }
}
