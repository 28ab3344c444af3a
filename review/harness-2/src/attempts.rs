//! Rule BUDGET: on how many servers one attempt of a client runs, against its route's `max_attempts`.
//!
//! All servers fail a part of their requests with 500, and some break a few answers off.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bamboocourse_emulator::{Caller, Server, ServerFaults, ServerSpec, Store};
use serde_json::{Value, json};

use crate::Verdict;
use crate::fleet::{Fleet, Record, ZONES};

const VMS: usize = 7;
const SERVERS: usize = 6;
/// The route's `max_attempts`.
const MAX_ATTEMPTS: usize = 2;
/// The requests that may run on more servers than that.
const TOLERATED: usize = 3;
/// The part of the requests that each server fails, in percent.
const FAILED_PERCENT: u64 = 45;
/// The part of the answers that the second half of the servers breaks off, in percent.
const CUT_PERCENT: u64 = 5;
const EVENTS: u64 = 20;
/// How often the disruptions come, how long each lasts, and the pause after it.
const ROUNDS: usize = 5;
const TROUBLE_TIME: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_secs(8);
/// The clients of each machine; each sends its next request once it has its answer.
const CLIENTS: usize = 7;

fn config() -> Value {
    let model = json!({"name": "m1", "weights_mb": 72_700.0, "load_s": 1.2, "adapters": 0,
        "adapter_mb": 66.0, "warm_s": 0.47, "disk_s": 0.61});
    json!({"version": 3,
        "routes": [{"name": "stream", "hostname": "host.example", "prefix": "/stream/",
            "kind": "streaming", "timeout_ms": 12_000, "goal_ms": 400, "gap_goal_ms": 200,
            "priority": 1, "service": "models", "max_attempts": MAX_ATTEMPTS, "public": false,
            "session_affinity": true, "can_resume": true}],
        "tenants": [{"name": "desk", "api_keys": ["key-desk"], "priority": 1, "unit": "tokens",
            "plain_tokens": 200, "rate_per_s": 500_000, "burst": 500_000}],
        "services": [{"name": "models", "health_path": "/health", "max_conns": 230,
            "engine": {"slots": 48, "kv_tokens": 111_901, "models": [model],
                "weights_mb": 230_000.0, "adapter_slots": 8, "loads_per_s": 1.9}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000}})
}

/// What one client saw of one attempt.
struct Seen {
    id: String,
    sent: Instant,
    status: u16,
    events: usize,
    complete: bool,
}

async fn call(
    front: SocketAddr,
    next: Arc<AtomicU64>,
    seen: Arc<Mutex<Vec<Seen>>>,
    ends: Arc<AtomicBool>,
) {
    while !ends.load(Ordering::Relaxed) {
        let id = format!("{:016x}", 0x5eed_0000_0000 + next.fetch_add(1, Ordering::Relaxed));
        let prefix = format!("5c1e07a2:60,{id}:40");
        let headers = [
            ("Authorization", "Bearer key-desk"),
            ("X-Bamboocourse-Request-Id", id.as_str()),
            ("X-Bamboocourse-Deadline-Ms", "12000"),
            ("X-Bamboocourse-Model", "m1"),
            ("X-Bamboocourse-Token-Usage", "100,100"),
            ("X-Bamboocourse-Prompt-Prefix", prefix.as_str()),
        ];
        let sent = Instant::now();
        let answer = async {
            let mut caller = Caller::connect(front).await?;
            caller.request("POST /stream/x", &headers, "{}").await
        };
        let (status, events, complete) = match answer.await {
            Ok(answer) => (answer.status, answer.events().len(), answer.complete),
            Err(_) => (0, 0, false),
        };
        let mut seen = seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        seen.push(Seen { id, sent, status, events, complete });
    }
}

/// Draws each server's fault anew every two milliseconds, so that each request meets one by chance.
async fn disturb(servers: Vec<Server>, time: Duration, seed: u64) {
    let end = Instant::now() + time;
    let mut drawn: u64 = 0x9e37_79b9_7f4a_7c15 ^ seed;
    let mut percent = || {
        drawn ^= drawn << 13;
        drawn ^= drawn >> 7;
        drawn ^= drawn << 17;
        drawn % 100
    };
    while Instant::now() < end {
        for (index, server) in servers.iter().enumerate() {
            let fails = percent() < FAILED_PERCENT;
            let cuts = index >= SERVERS / 2 && percent() < CUT_PERCENT;
            server.set_faults(|faults| {
                faults.fail = fails;
                faults.cut_after = cuts.then_some(EVENTS / 2);
            });
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    for server in &servers {
        server.set_faults(|faults| *faults = ServerFaults::default());
    }
}

pub async fn run(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut record = Record::create(&folder.join("record.txt"))?;
    let work = std::env::var("WORK").map_or_else(|_| folder.to_owned(), Into::into);
    let store = Store::start().await?;
    store.write("op", "config", Some(&config()));
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let spec = ServerSpec {
            id: format!("i-model-{index}"),
            service: "models".to_owned(),
            zone: ZONES[index % 3].to_owned(),
            slots: 48,
            models: vec!["m1".to_owned()],
            max_models: 3,
            load_time: Duration::from_millis(1_200),
            work_time: Duration::from_millis(10),
            events: EVENTS,
            event_tokens: None,
        };
        servers.push(Server::start(spec, store.clone()).await?);
    }
    let mut fleet = Fleet::start(VMS, &store, &work)?;
    for vm in 0..VMS {
        if !fleet.wait_ready(vm).await {
            return Ok(Verdict::NotRun(format!("{} is not ready", fleet.vms[vm].name)));
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (next, seen) = (Arc::new(AtomicU64::new(1)), Arc::new(Mutex::new(Vec::new())));
    let ends = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for vm in fleet.vms.iter().cycle().take(VMS * CLIENTS) {
        callers.push(tokio::spawn(call(vm.front, next.clone(), seen.clone(), ends.clone())));
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for round in 0..ROUNDS {
        record.line(if trouble {
            "servers fail requests and break answers off"
        } else {
            "no disruption"
        });
        if trouble {
            disturb(servers.clone(), TROUBLE_TIME, round as u64).await;
        } else {
            tokio::time::sleep(TROUBLE_TIME).await;
        }
        record.line("the disruption is over");
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    ends.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    // By id, the servers at which it ran, and when.
    let mut runs: BTreeMap<String, Vec<(Instant, String)>> = BTreeMap::new();
    for server in &servers {
        for request in server.requests().into_iter().filter(|request| request.ran) {
            let id = request.id().unwrap_or_default().to_owned();
            runs.entry(id).or_default().push((request.arrived, server.spec.id.clone()));
        }
    }
    let seen = seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (mut over, mut whole) = (0, 0);
    for attempt in seen.iter() {
        let mut ran = runs.get(&attempt.id).cloned().unwrap_or_default();
        ran.sort();
        let at: BTreeSet<&String> = ran.iter().map(|(_, server)| server).collect();
        whole += usize::from(attempt.complete && attempt.events as u64 == EVENTS);
        let names: Vec<&str> = ran.iter().map(|(_, server)| server.as_str()).collect();
        let text = format!(
            "{} ran at {:?}; answered {} with {} events, complete: {}",
            attempt.id, names, attempt.status, attempt.events, attempt.complete
        );
        if at.len() > MAX_ATTEMPTS {
            over += 1;
            record.line(&format!("on {} servers: {text}", at.len()));
        } else {
            record.event(attempt.sent, &text);
        }
    }
    record.line(&format!(
        "{} attempts of clients, {whole} whole streams; {over} ran on more than {MAX_ATTEMPTS} servers",
        seen.len()
    ));
    for vm in fleet.ended() {
        record.line(&format!("{} has ended by itself", fleet.vms[vm].name));
    }
    Ok(if over > TOLERATED { Verdict::Broken } else { Verdict::Held })
}
