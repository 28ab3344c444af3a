//! Rule ONE: which machines give the orders to one server, and how soon after each other.
//!
//! The store turns away the leader for a while, and then the next one from the moment of its claim.

use std::net::IpAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bamboocourse_emulator::{Caller, Server, ServerSpec, Store};
use serde_json::{Value, json};

use crate::Verdict;
use crate::fleet::{Fleet, Record, ZONES};

/// `bounds.lease_ms` of the settings.
const LEASE: Duration = Duration::from_millis(3_000);
/// How long the store turns a machine away.
const TURNED_AWAY: Duration = Duration::from_millis(2_500);
const VMS: usize = 7;
const KEY: &str = "key-desk";
const ADAPTERS: u64 = 12;

fn config() -> Value {
    let models: Vec<Value> = ["m1", "m2"]
        .iter()
        .map(|name| {
            json!({"name": name, "weights_mb": 72_700.0, "load_s": 1.2, "adapters": ADAPTERS,
                "adapter_mb": 66.0, "warm_s": 0.47, "disk_s": 0.61})
        })
        .collect();
    json!({"version": 3,
        "routes": [{"name": "stream", "hostname": "host.example", "prefix": "/stream/",
            "kind": "streaming", "timeout_ms": 4000, "goal_ms": 400, "gap_goal_ms": 200,
            "priority": 1, "service": "models", "max_attempts": 2, "public": false,
            "session_affinity": true, "can_resume": true}],
        "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1, "unit": "tokens",
            "plain_tokens": 200, "rate_per_s": 500_000, "burst": 500_000}],
        "services": [{"name": "models", "health_path": "/health", "max_conns": 230,
            "engine": {"slots": 32, "kv_tokens": 83_504, "models": models,
                "weights_mb": 230_000.0, "adapter_slots": 5, "loads_per_s": 2.5}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000}})
}

/// Sends short streams to a VM, one after another, each for the next adapter.
async fn call(front: std::net::SocketAddr, next: Arc<AtomicU64>, counts: Arc<[AtomicU64; 2]>,
    seen: Arc<Mutex<Vec<(Instant, String)>>>, ends: Arc<AtomicBool>) {
    while !ends.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number:08x}");
        let model = format!("m1/a{}", 1 + number % ADAPTERS);
        let prefix = format!("5c1e07a2:60,{number:08x}:40");
        let headers = [("Authorization", "Bearer key-desk"), ("X-Bamboocourse-Request-Id", &id),
            ("X-Bamboocourse-Deadline-Ms", "4000"), ("X-Bamboocourse-Model", &model),
            ("X-Bamboocourse-Token-Usage", "100,8"), ("X-Bamboocourse-Prompt-Prefix", &prefix)];
        let sent = Instant::now();
        let answer = async {
            let mut caller = Caller::connect(front).await?;
            caller.request("POST /stream/x", &headers, "{}").await
        };
        let answer = answer.await;
        let ok = matches!(&answer, Ok(answer) if answer.status == 200 && answer.complete);
        let status = answer.map_or(0, |answer| answer.status);
        let text = format!("{id} for {model} sent to {front}: {status}, complete: {ok}");
        seen.lock().unwrap_or_else(PoisonError::into_inner).push((sent, text));
        counts[usize::from(!ok)].fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the VMs that the lease's row names as the leader and as the one that gave the last orders.
fn lead(store: &Store, fleet: &Fleet) -> (Option<usize>, Option<usize>) {
    let Some(row) = store.read("bamboocourse", "lead") else { return (None, None) };
    let vm = |value: &Value| value.as_str().and_then(|name| fleet.by_name(name));
    (vm(&row["lease"]["holder"]), vm(&row["orderer"]))
}

/// Waits until another VM than `not` leads, and returns it.
async fn wait_leader(store: &Store, fleet: &Fleet, not: Option<usize>, time: Duration)
    -> Option<usize> {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if let (Some(leader), _) = lead(store, fleet)
            && Some(leader) != not
        {
            return Some(leader);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    None
}

/// Turns a machine away at the store with 503 for [`TURNED_AWAY`].
fn turn_away(store: &Store, machine: IpAddr) {
    store.set_faults(|faults| faults.blocked_machines.push(machine));
    let store = store.clone();
    tokio::spawn(async move {
        tokio::time::sleep(TURNED_AWAY).await;
        store.set_faults(|faults| faults.blocked_machines.retain(|other| *other != machine));
    });
}

pub async fn run(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut record = Record::create(&folder.join("record.txt"))?;
    let work = std::env::var("WORK").map_or_else(|_| folder.to_owned(), Into::into);
    let store = Store::start().await?;
    store.write("op", "config", Some(&config()));
    let mut servers = Vec::new();
    for index in 0..3 {
        let spec = ServerSpec {
            id: format!("i-model-{index}"),
            service: "models".to_owned(),
            zone: ZONES[index].to_owned(),
            slots: 32,
            models: vec![if index == 0 { "m1" } else { "m2" }.to_owned()],
            max_models: 3,
            load_time: Duration::from_millis(1_200),
            work_time: Duration::from_millis(20),
            events: 5,
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
    let (next, counts) = (Arc::new(AtomicU64::new(1)), Arc::new([const { AtomicU64::new(0) }; 2]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let ends = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for vm in &fleet.vms {
        callers.push(tokio::spawn(call(vm.front, next.clone(), counts.clone(), seen.clone(),
            ends.clone())));
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let Some(first) = wait_leader(&store, &fleet, None, Duration::from_secs(5)).await else {
        return Ok(Verdict::NotRun("no VM leads".to_owned()));
    };
    record.line(&format!("{} leads", fleet.vms[first].name));
    let again = (first + 1) % VMS;
    let took = fleet.restart(again).await?;
    record.line(&format!("{} was stopped by SIGTERM, ended after {} ms and started again",
        fleet.vms[again].name, took.as_millis()));
    if !fleet.wait_ready(again).await {
        return Ok(Verdict::NotRun(format!("{} is not ready", fleet.vms[again].name)));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut leader = first;
    for step in 0..3 {
        if !trouble {
            tokio::time::sleep(Duration::from_secs(6)).await;
            continue;
        }
        record.line(&format!("the store turns {} away", fleet.vms[leader].name));
        turn_away(&store, fleet.vms[leader].ip);
        let former = leader;
        let Some(next) = wait_leader(&store, &fleet, Some(former), Duration::from_secs(10)).await
        else {
            return Ok(Verdict::NotRun("no other VM leads".to_owned()));
        };
        leader = next;
        record.line(&format!("{} has claimed the lease", fleet.vms[leader].name));
        // The second time, the next leader is turned away at once, too.
        if step != 1 {
            tokio::time::sleep(Duration::from_secs(6)).await;
            if let (Some(now), _) = lead(&store, &fleet) {
                leader = now;
            }
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    ends.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    record.line(&format!("{} streams were answered, {} were not",
        counts[0].load(Ordering::Relaxed), counts[1].load(Ordering::Relaxed)));
    for (at, text) in seen.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        record.event(*at, text);
    }
    let mut broken = false;
    for server in &servers {
        let mut last: Option<(IpAddr, Instant)> = None;
        let orders = server.arrivals().into_iter().filter(|a| a.target == "/bamboocourse/order");
        let (mut count, mut changes) = (0, 0);
        for order in orders {
            count += 1;
            let name = |ip| fleet.by_ip(ip).map_or("?", |vm| fleet.vms[vm].name.as_str());
            if let Some((vm, at)) = last
                && vm != order.vm
            {
                let gap = order.at.saturating_duration_since(at);
                changes += 1;
                let is_early = gap < LEASE;
                broken |= is_early;
                record.line(&format!("{}: an order of {} came {} ms after one of {}{}",
                    server.spec.id, name(order.vm), gap.as_millis(), name(vm),
                    if is_early { ": less than lease_ms" } else { "" }));
            }
            record.event(order.at, &format!("{} gets an order of {}", server.spec.id, name(order.vm)));
            last = Some((order.vm, order.at));
        }
        record.line(&format!("{}: {count} orders, {changes} changes of the machine",
            server.spec.id));
    }
    for vm in fleet.ended() {
        record.line(&format!("{} has ended by itself", fleet.vms[vm].name));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
