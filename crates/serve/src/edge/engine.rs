//! The control interface of a model engine: load, state, cache events and orders.
//!
//! Reads return `None` unless the engine sends a valid response in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bamboocourse_decide::{
    BlockHash, EngineState, Fence, Item, Load, OpenOrder, Order, OrderNumber,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::edge::pool::{Pool, SendError, read_body};

/// How long a read of a load, a state or cache events may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an order may take until the engine replies.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest body of an engine's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The engine carried the order out.
    Done,
    /// The engine rejected the order because it has accepted a higher fencing number.
    Fenced,
    /// No usable reply came, so the engine may have carried the order out.
    Unknown,
}

#[derive(Deserialize)]
struct LoadBody {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Deserialize)]
struct StateBody {
    fence: Fence,
    resident: BTreeMap<Item, u64>,
    done: Vec<OrderNumber>,
}

#[derive(Deserialize)]
struct CacheBody {
    next: u64,
    blocks: Vec<BlockHash>,
}

/// Reads an engine's load and the age of that report.
pub(crate) async fn read_load(pool: &Pool, address: SocketAddr) -> Option<(Load, Duration)> {
    let body: LoadBody = fetch_json(pool, address, "/load").await?;
    let load = Load { running: body.running, waiting: body.waiting };
    Some((load, Duration::from_millis(body.age_ms)))
}

/// Reads an engine's fencing number, its resident items and the orders that it has carried out.
pub(crate) async fn read_state(pool: &Pool, address: SocketAddr) -> Option<EngineState> {
    let body: StateBody = fetch_json(pool, address, "/state").await?;
    Some(EngineState { fence: body.fence, resident: body.resident, done: body.done })
}

/// Reads an engine's cache events since the last read, whose number is passed as `after`; 0 reads
/// all events.
///
/// Returns the number to pass next time, and the blocks that were cached.
pub(crate) async fn read_cache_events(
    pool: &Pool,
    address: SocketAddr,
    after: u64,
) -> Option<(u64, Vec<BlockHash>)> {
    let body: CacheBody = fetch_json(pool, address, &format!("/cache?after={after}")).await?;
    Some((body.next, body.blocks))
}

/// Sends an order and waits for the reply.
pub(crate) async fn send_order(pool: &Pool, address: SocketAddr, open: &OpenOrder) -> OrderOutcome {
    let action = match open.order {
        Order::Load => "load",
        Order::Unload => "unload",
    };
    post_order(pool, address, open.number, action, &open.item, open.memory).await
}

/// Makes an engine reject all orders with a lower fencing number.
pub(crate) async fn send_fence(pool: &Pool, address: SocketAddr, fence: Fence) -> OrderOutcome {
    let number = OrderNumber { fence, number: 0 };
    post_order(pool, address, number, "fence", "", 0).await
}

async fn post_order(
    pool: &Pool,
    address: SocketAddr,
    number: OrderNumber,
    action: &str,
    item: &str,
    memory: u64,
) -> OrderOutcome {
    let body = json!({
        "fence": number.fence,
        "number": number.number,
        "action": action,
        "item": item,
        "memory": memory
    });
    let body = Bytes::from(body.to_string());
    match exchange(pool, address, Method::POST, "/orders", body, ORDER_TIMEOUT).await {
        Some((200, _)) => OrderOutcome::Done,
        Some((409, _)) => OrderOutcome::Fenced,
        _ => OrderOutcome::Unknown,
    }
}

async fn fetch_json<T: DeserializeOwned>(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let (status, body) =
        exchange(pool, address, Method::GET, path, Bytes::new(), POLL_TIMEOUT).await?;
    if status != 200 {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Option<(u16, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(body))
        .ok()?;
    let sending = async {
        let response = pool.send(address, request).await?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, timeout).await;
        let body = body.map_err(|error| SendError::Unknown(format!("{error:?}")))?;
        Ok::<_, SendError>((status, body))
    };
    tokio::time::timeout(timeout, sending).await.ok()?.ok()
}
