//! Many users come at once, each with a long body, and VMs exceed their memory.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bamboocourse_emulator::{ConfigSpec, RouteSpec, Store, config_json};
use tokio::task::JoinSet;

use crate::Verdict;
use crate::fleet::{Fleet, Record};
use crate::http::Connection;
use crate::servers::{Runs, Server};

/// `limits.memory_mb` of the example of settings and of the site's machines.
const MEMORY_MB: u64 = 260;
/// `max_body_bytes` of the configuration.
const MAX_BODY: usize = 4_194_304;
/// The body of a request: a photo and notes.
const BODY: usize = 4_000_000;
const VMS: usize = 3;
/// Drafts a second for each VM: of 72.1 and 10 a second, a machine of 8 gets 10.
const DRAFTS_PER_S: f64 = 10.0;
/// How long a server takes for a draft: 56 events.
const DRAFT_TIME: Duration = Duration::from_millis(4_000);
/// The clients for each VM that book one pickup after the other on a connection that they keep.
const BOOKERS: usize = 5;
const BOOK_TIME: Duration = Duration::from_millis(60);
/// `burst`: class quote-overnight, x = 2.4, for_s = 4.5.
const BURST: f64 = 2.4;
const BURST_TIME: f64 = 4.5;
/// When the bursts begin, in seconds from the start of traffic.
const BURSTS: [f64; 3] = [10.0, 32.0, 54.0];
const LENGTH: f64 = 66.0;

#[derive(Default)]
struct Counts {
    drafts: AtomicU32,
    served: AtomicU32,
    refused: AtomicU32,
    failed: AtomicU32,
    bookings: AtomicU32,
    booked: AtomicU32,
    /// Bookings on kept connections, run by a server, whose connection was closed without an answer.
    lost: AtomicU32,
}

pub async fn play(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start().await?;
    // The pages know no eras of the store.
    store.set_faults(|faults| faults.no_era = true);
    let routes = vec![
        RouteSpec {
            timeout_ms: 12_000,
            resumable: false,
            max_attempts: 1,
            ..RouteSpec::new("/draft/", "models", "streaming")
        },
        RouteSpec {
            timeout_ms: 1_500,
            goal_ms: 300,
            max_attempts: 1,
            ..RouteSpec::new("/book/", "plain", "non_idempotent")
        },
    ];
    let config = ConfigSpec {
        version: 1,
        routes,
        models: vec!["m0".to_owned()],
        tenants: vec![("shop".to_owned(), "key-shop".to_owned(), 0)],
        max_body: MAX_BODY,
    };
    store.write("op", "config", Some(&config_json(&config)));
    let runs: Runs = Arc::new(Mutex::new(HashMap::new()));
    let zones = ["zone-a", "zone-b", "zone-c"];
    for index in 0..9 {
        let server = Server {
            id: format!("i-model-{index}"),
            service: "models",
            zone: zones[index % 3],
            slots: 48,
            models: vec!["m0".to_owned()],
            work: DRAFT_TIME / 56,
            events: 56,
            runs: runs.clone(),
            running: Arc::default(),
        };
        server.start(&store).await?;
    }
    for index in 0..3 {
        let server = Server {
            id: format!("i-plain-{index}"),
            service: "plain",
            zone: zones[index],
            slots: 6,
            models: Vec::new(),
            work: BOOK_TIME,
            events: 0,
            runs: runs.clone(),
            running: Arc::default(),
        };
        server.start(&store).await?;
    }
    let mut fleet = Fleet::start(VMS, store.address, MEMORY_MB)?;
    fleet.wait_ready().await?;
    record.line(&format!("{VMS} VMs are ready; trouble: {trouble}"));
    let counts = Arc::new(Counts::default());
    let ids = Arc::new(AtomicU64::new(1));
    let start = Instant::now();
    let mut clients = JoinSet::new();
    for vm in &fleet.vms {
        let (front, name) = (vm.front, vm.name.clone());
        for _ in 0..BOOKERS {
            let (counts, ids, runs) = (counts.clone(), ids.clone(), runs.clone());
            let (record, name) = (record.clone(), name.clone());
            clients.spawn(async move {
                book(front, &name, start, &counts, &ids, &runs, &record).await;
            });
        }
        let (counts, ids, record) = (counts.clone(), ids.clone(), record.clone());
        clients.spawn(async move {
            let body = Arc::new(vec![b'x'; BODY]);
            let mut drafts = JoinSet::new();
            while start.elapsed().as_secs_f64() < LENGTH {
                let at = start.elapsed().as_secs_f64();
                let in_burst =
                    BURSTS.iter().any(|begin| (*begin..begin + BURST_TIME).contains(&at));
                let rate = DRAFTS_PER_S * if trouble && in_burst { BURST } else { 1.0 };
                tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
                let id = format!("{:016x}", ids.fetch_add(1, Ordering::Relaxed));
                let (body, counts) = (body.clone(), counts.clone());
                let (record, name) = (record.clone(), name.clone());
                drafts
                    .spawn(async move { draft(front, &name, &id, &body, &counts, &record).await });
                while drafts.try_join_next().is_some() {}
            }
            while drafts.join_next().await.is_some() {}
        });
    }
    for begin in BURSTS.iter().filter(|_| trouble) {
        record.line(&format!(
            "planned: a burst of drafts, x = {BURST} from {begin} s to {} s of traffic",
            begin + BURST_TIME
        ));
    }
    fleet.watch(Duration::from_secs_f64(LENGTH + 8.0), record).await?;
    clients.shutdown().await;
    let get = |count: &AtomicU32| count.load(Ordering::Relaxed);
    record.line(&format!(
        "drafts: {} sent, {} served, {} refused, {} failed",
        get(&counts.drafts),
        get(&counts.served),
        get(&counts.refused),
        get(&counts.failed)
    ));
    let lost = get(&counts.lost);
    record.line(&format!(
        "bookings: {} sent, {} answered with 200, {lost} run by a server and closed without an \
         answer on a kept connection (LOST allows 3)",
        get(&counts.bookings),
        get(&counts.booked)
    ));
    let mut often = 0;
    for vm in &fleet.vms {
        record.line(&format!(
            "{}: most memory {} MB, {} ends over the memory, {} other ends by itself",
            vm.name, vm.peak_mb, vm.over_memory, vm.own_ends
        ));
        often += u32::from(vm.over_memory + vm.own_ends >= 3);
    }
    record.line(&format!(
        "machines on which processes ended by themselves three times: {often} (Fault from 2 on)"
    ));
    if get(&counts.served) == 0 || get(&counts.booked) == 0 {
        return Err("no request was served".into());
    }
    Ok(lost <= 3 && often < 2)
}

/// Returns how often servers have run a request.
fn runs_of(runs: &Runs, id: &str) -> u32 {
    runs.lock().map_or(0, |runs| runs.get(id).copied().unwrap_or(0))
}

/// Books pickups, one after the other.
async fn book(
    front: SocketAddr,
    vm: &str,
    start: Instant,
    counts: &Counts,
    ids: &AtomicU64,
    runs: &Runs,
    record: &Record,
) {
    let mut kept: Option<Connection> = None;
    while start.elapsed().as_secs_f64() < LENGTH {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match Connection::open(front).await {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        let id = format!("{:016x}", ids.fetch_add(1, Ordering::Relaxed));
        let headers = [
            ("X-Bamboocourse-Request-Id", id.as_str()),
            ("X-Bamboocourse-Deadline-Ms", "1500"),
            ("Authorization", "Bearer key-shop"),
        ];
        counts.bookings.fetch_add(1, Ordering::Relaxed);
        let asking = async {
            connection.send("POST /book/pickup", &headers, b"a pickup").await?;
            connection.receive().await
        };
        match tokio::time::timeout(Duration::from_millis(1_500), asking).await {
            Ok(Ok(response)) => {
                let ran = runs_of(runs, &id);
                record.line(&format!(
                    "booking {id} at {vm}: {}, runs at servers: {ran}",
                    response.status
                ));
                if response.status == 200 {
                    counts.booked.fetch_add(1, Ordering::Relaxed);
                }
                if response.header("connection").is_none() {
                    kept = Some(connection);
                }
            }
            Ok(Err(error)) => {
                let ran = runs_of(runs, &id);
                let (is_kept, begun) = (connection.responses > 0, connection.begun);
                record.line(&format!(
                    "booking {id} at {vm}: connection closed ({error}); kept: {is_kept}, answer \
                     begun: {begun}, runs at servers: {ran}"
                ));
                if is_kept && !begun && ran > 0 {
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                }
            }
            Err(_) => record.line(&format!("booking {id} at {vm}: no answer in its time")),
        }
    }
}

/// Sends a draft with a long body and reads its stream.
async fn draft(
    front: SocketAddr,
    vm: &str,
    id: &str,
    body: &[u8],
    counts: &Counts,
    record: &Record,
) {
    let tokens = "715,280";
    let parts = format!("5c1e07a2:172,{id}:543");
    let headers = [
        ("X-Bamboocourse-Request-Id", id),
        ("X-Bamboocourse-Deadline-Ms", "12000"),
        ("X-Bamboocourse-Model", "m0"),
        ("X-Bamboocourse-Token-Usage", tokens),
        ("X-Bamboocourse-Prompt-Prefix", &parts),
        ("Authorization", "Bearer key-shop"),
    ];
    counts.drafts.fetch_add(1, Ordering::Relaxed);
    let asking = async {
        let mut connection = Connection::open(front).await?;
        connection.send("POST /draft/quote", &headers, body).await?;
        connection.receive().await
    };
    match tokio::time::timeout(Duration::from_secs(12), asking).await {
        Ok(Ok(response)) if response.status == 200 => {
            counts.served.fetch_add(1, Ordering::Relaxed);
            let events = String::from_utf8_lossy(&response.body).matches("id: ").count();
            record.line(&format!(
                "draft {id} at {vm}: 200, {events} events, {} bytes sent",
                body.len()
            ));
        }
        Ok(Ok(response)) => {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("draft {id} at {vm}: {}", response.status));
        }
        Ok(Err(error)) => {
            counts.failed.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("draft {id} at {vm}: {error}"));
        }
        Err(_) => {
            counts.failed.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("draft {id} at {vm}: no complete answer in its time"));
        }
    }
}
