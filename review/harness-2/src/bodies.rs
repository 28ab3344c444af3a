//! Rule Fault: the memory of entry VMs while many callers send long bodies at once, each at the pace of its
//! own link. The platform kills a process that exceeds `memory_mb`, and starts it again.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bamboocourse_emulator::{Caller, Server, ServerSpec, Store};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::Verdict;
use crate::fleet::{Fleet, Record, ZONES};

const VMS: usize = 3;
/// `limits.memory_mb` of the settings, 260, in bytes, read in favour of the program.
const MEMORY_BYTES: u64 = 260 << 20;
/// The length of a body; `max_body_bytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
const PIECE_BYTES: usize = 50_000;
/// The drafts that a machine gets in a second, and by how much more in a burst.
const DRAFTS_PER_S: f64 = 10.0;
const BURST_X: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_millis(3_000);
const BURSTS: usize = 3;
const PAUSE: Duration = Duration::from_secs(14);
/// How long a caller takes to send its body: 11 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_secs(3);
const EVENTS: u64 = 56;
/// The clients of each machine that book, and how long each waits after an answer.
const BOOKERS: usize = 4;
const BOOKING_PAUSE: Duration = Duration::from_millis(300);
/// Ends of processes by themselves on a machine, and machines with so many, that break the rule.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

fn config() -> Value {
    let model = json!({"name": "m1", "weights_mb": 72_700.0, "load_s": 1.2, "adapters": 0,
        "adapter_mb": 66.0, "warm_s": 0.47, "disk_s": 0.61});
    json!({"version": 3,
        "routes": [{"name": "draft", "hostname": "host.example", "prefix": "/draft/",
            "kind": "streaming", "timeout_ms": 15_000, "goal_ms": 2_500, "gap_goal_ms": 200,
            "priority": 1, "service": "models", "max_attempts": 1, "public": false,
            "session_affinity": true, "can_resume": false},
            {"name": "book", "hostname": "host.example", "prefix": "/book/",
            "kind": "non_idempotent", "timeout_ms": 1_500, "goal_ms": 300, "priority": 2,
            "service": "desk", "max_attempts": 1, "public": false, "session_affinity": false,
            "can_resume": false}],
        "tenants": [{"name": "desk", "api_keys": ["key-desk"], "priority": 1, "unit": "tokens",
            "plain_tokens": 200, "rate_per_s": 900_000, "burst": 900_000}],
        "services": [{"name": "models", "health_path": "/health", "max_conns": 300,
            "engine": {"slots": 48, "kv_tokens": 111_901, "models": [model],
                "weights_mb": 230_000.0, "adapter_slots": 8, "loads_per_s": 1.9}},
            {"name": "desk", "health_path": "/health", "max_conns": 110}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000}})
}

/// What callers saw.
#[derive(Default)]
struct Seen {
    drafts: Vec<(Instant, String)>,
    /// The ids of bookings that ended with a closed connection.
    closed: Vec<String>,
    bookings: u64,
}

async fn draft(front: SocketAddr, id: String, body: &'static [u8], seen: Arc<Mutex<Seen>>) {
    let sent = Instant::now();
    let answer = async {
        let mut stream = TcpStream::connect(front).await?;
        let head = format!(
            "POST /draft/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: {BODY_BYTES}\r\n\
             X-Bamboocourse-Request-Id: {id}\r\nX-Bamboocourse-Deadline-Ms: 15000\r\n\
             Authorization: Bearer key-desk\r\nX-Bamboocourse-Model: m1\r\n\
             X-Bamboocourse-Token-Usage: 715,280\r\n\
             X-Bamboocourse-Prompt-Prefix: 5c1e07a2:172,{id}:543\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        let pieces = body.chunks(PIECE_BYTES);
        let pace = UPLOAD_TIME / pieces.len() as u32;
        let began = tokio::time::Instant::now();
        for (number, piece) in pieces.enumerate() {
            tokio::time::sleep_until(began + pace * number as u32).await;
            stream.write_all(piece).await?;
        }
        let mut text = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            let count = tokio::io::AsyncReadExt::read(&mut stream, &mut buffer).await?;
            text.extend_from_slice(&buffer[..count]);
            let is_refused = text.len() > 12 && !text.starts_with(b"HTTP/1.1 200");
            if count == 0 || is_refused || text.ends_with(b"\r\n0\r\n\r\n") {
                return Ok::<_, std::io::Error>(text);
            }
        }
    };
    let result = match answer.await {
        Ok(text) => {
            let whole = text.ends_with(b"\r\n0\r\n\r\n");
            let text = String::from_utf8_lossy(&text).into_owned();
            let status = text.split(' ').nth(1).unwrap_or("nothing").to_owned();
            if status == "200" && !whole { "cut".to_owned() } else { status }
        }
        Err(error) => error.kind().to_string(),
    };
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    seen.drafts.push((sent, format!("draft {id} to {front}: {result}")));
}

/// Books again and again on one kept connection.
async fn book(
    front: SocketAddr,
    next: Arc<AtomicU64>,
    seen: Arc<Mutex<Seen>>,
    ends: Arc<AtomicBool>,
) {
    let mut kept: Option<Caller> = None;
    while !ends.load(Ordering::Relaxed) {
        let id = format!("b{:08x}", next.fetch_add(1, Ordering::Relaxed));
        let headers = [
            ("Authorization", "Bearer key-desk"),
            ("X-Bamboocourse-Request-Id", &*id),
            ("X-Bamboocourse-Deadline-Ms", "1500"),
        ];
        let mut caller = match kept.take() {
            Some(caller) => caller,
            None => match Caller::connect(front).await {
                Ok(caller) => caller,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            },
        };
        let answer = caller.request("POST /book/x", &headers, "{}").await;
        {
            let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.bookings += 1;
            match answer {
                Ok(_) => kept = Some(caller),
                Err(_) => seen.closed.push(id),
            }
        }
        tokio::time::sleep(BOOKING_PAUSE).await;
    }
}

/// Returns the resident memory of a process in bytes; 0 if it has ended.
fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

pub async fn run(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut record = Record::create(&folder.join("record.txt"))?;
    let work = std::env::var("WORK").map_or_else(|_| folder.to_owned(), Into::into);
    let store = Store::start().await?;
    store.write("op", "config", Some(&config()));
    let mut servers = Vec::new();
    for index in 0..9 {
        let (service, model) = if index < 6 { ("models", Some("m1")) } else { ("desk", None) };
        let zone = ZONES[index % 3];
        let spec = ServerSpec {
            id: format!("i-{service}-{index}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: if index < 6 { 48 } else { 6 },
            models: model.map(str::to_owned).into_iter().collect(),
            max_models: 3,
            load_time: Duration::from_millis(1_200),
            work_time: Duration::from_millis(if index < 6 { 70 } else { 60 }),
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
    let body: &'static [u8] = Box::leak(vec![b'x'; BODY_BYTES].into_boxed_slice());
    let (next, ends) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicBool::new(false)));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut callers = Vec::new();
    for vm in fleet.vms.iter().cycle().take(VMS * BOOKERS) {
        callers.push(tokio::spawn(book(vm.front, next.clone(), seen.clone(), ends.clone())));
    }
    let (mut peaks, mut ended) = ([0u64; VMS], [0u32; VMS]);
    let mut drafts = Vec::new();
    for round in 0..=BURSTS {
        let rate = match (round, trouble) {
            (0, _) | (_, false) => DRAFTS_PER_S,
            _ => DRAFTS_PER_S * BURST_X,
        };
        record.line(&format!(
            "{rate} drafts a second to each machine for {} ms",
            BURST_TIME.as_millis()
        ));
        let began = Instant::now();
        let (mut sent, mut most) = (0, 0);
        while began.elapsed() < BURST_TIME + PAUSE {
            let due = (began.elapsed().min(BURST_TIME).as_secs_f64() * rate) as usize;
            while sent < due {
                sent += 1;
                for vm in &fleet.vms {
                    let id = format!("{:016x}", 0xd000_0000 + next.fetch_add(1, Ordering::Relaxed));
                    drafts.push(tokio::spawn(draft(vm.front, id, body, seen.clone())));
                }
            }
            for vm in 0..VMS {
                let Some(pid) = fleet.pid(vm) else { continue };
                let bytes = resident(pid);
                peaks[vm] = peaks[vm].max(bytes);
                most = most.max(bytes);
                if bytes > MEMORY_BYTES {
                    record.line(&format!(
                        "{} has {} MB and is killed",
                        fleet.vms[vm].name,
                        bytes / 1_000_000
                    ));
                    ended[vm] += 1;
                    fleet.kill(vm)?;
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    fleet.spawn(vm)?;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        record.line(&format!(
            "the most memory of a process so far in this round: {} MB",
            most / 1_000_000
        ));
    }
    ends.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for caller in callers.into_iter().chain(drafts) {
        caller.abort();
    }
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for (at, text) in &seen.drafts {
        record.event(*at, text);
        *counts.entry(text.rsplit(": ").next().unwrap_or_default().to_owned()).or_default() += 1;
    }
    let requests = servers.iter().flat_map(Server::requests).filter(|request| request.ran);
    let ran: HashSet<String> =
        requests.filter_map(|request| request.id().map(str::to_owned)).collect();
    let lost: Vec<&String> = seen.closed.iter().filter(|id| ran.contains(*id)).collect();
    record.line(&format!("drafts by how they ended: {counts:?}"));
    record.line(&format!(
        "{} bookings; {} ran and ended with a closed connection: {lost:?}",
        seen.bookings,
        lost.len()
    ));
    for vm in 0..VMS {
        record.line(&format!(
            "{}: at most {} MB, killed {} times",
            fleet.vms[vm].name,
            peaks[vm] / 1_000_000,
            ended[vm]
        ));
    }
    let machines = ended.iter().filter(|ends| **ends >= ENDS).count();
    Ok(if machines >= MACHINES || lost.len() > 3 { Verdict::Broken } else { Verdict::Held })
}
