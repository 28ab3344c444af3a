//! A stand-in for a model engine: runs requests concurrently, streams, caches prompt prefixes and
//! carries out orders to load and unload models.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

use crate::network::Network;
use crate::server::{HandlerResponse, header_value, json_response, read_body, serve};

/// The number of frames of a stream that are buffered when the connection is slow.
const MAX_BUFFERED_FRAMES: usize = 4;

/// The size and speed of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The accelerator memory, in bytes.
    pub memory: u64,
    /// The number of requests that run at the same time.
    pub slots: usize,
    /// The time to process one prompt token that is not cached.
    pub prefill_time: Duration,
    /// The time between output tokens.
    pub token_interval: Duration,
    /// Whether the engine refuses orders whose fencing number is lower than one it has seen.
    pub fencing: bool,
}

/// The faults of an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Whether every request gets a closed connection instead of a response.
    pub down: bool,
    /// The number of tokens after which every stream breaks off.
    pub break_after: Option<u64>,
    /// Whether the engine refuses to resume a stream that broke off, as if its state were lost.
    pub forget_streams: bool,
    /// Whether responses carry the id of another request.
    pub wrong_id: bool,
    /// The share of orders that are lost before they take effect, from 0 to 1.
    pub lose_orders: f64,
    /// The share of orders whose reply is lost after they took effect, from 0 to 1.
    pub lose_replies: f64,
    /// The age of the load that the engine reports.
    pub report_lag: Duration,
}

/// The platform's store of model weights, shared by all engines.
pub struct WeightStore {
    slots: Semaphore,
    load_time: Duration,
}

impl WeightStore {
    /// Makes a store that serves `slots` loads at the same time, each of which takes `load_time`.
    pub fn new(slots: usize, load_time: Duration) -> Arc<Self> {
        Arc::new(Self { slots: Semaphore::new(slots), load_time })
    }

    /// Waits for a slot and then for the time of a load.
    async fn fetch(&self) {
        let _slot = self.slots.acquire().await;
        tokio::time::sleep(self.load_time).await;
    }
}

/// An engine on loopback; dropping it stops it.
pub struct Engine {
    /// The address that the engine listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// The parts of an engine that its request handlers share.
struct Shared {
    spec: EngineSpec,
    network: Network,
    store: Arc<WeightStore>,
    slots: Semaphore,
    state: Mutex<State>,
}

struct State {
    faults: EngineFaults,
    rng: ChaCha8Rng,
    /// The memory of each resident model or adapter, in bytes.
    resident: BTreeMap<String, u64>,
    /// The highest fencing number seen in an order.
    fence: u64,
    /// The fencing number and number of every order that was carried out.
    completed_orders: BTreeSet<(u64, u64)>,
    overcommit_count: u64,
    running: usize,
    waiting: usize,
    /// When the load was sampled, with the numbers of running and waiting requests.
    load_samples: VecDeque<(Instant, usize, usize)>,
    /// The hashes of the cached prompt blocks, oldest first.
    cached_blocks: VecDeque<u64>,
    /// The hashes of all blocks that were ever cached, in order.
    cache_events: Vec<u64>,
    /// How often each completion request was started, by request id.
    started_requests: HashMap<String, u64>,
    cancelled_streams: u64,
    generated_tokens: u64,
    /// The headers of completion requests, as `name: value`.
    headers: Vec<String>,
}

/// The body of a completion request.
#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    continue_from: u64,
}

/// The body of an order.
#[derive(Deserialize)]
struct Order {
    fence: u64,
    number: u64,
    action: String,
    item: String,
    #[serde(default)]
    memory: u64,
}

/// Returns the text that every engine generates for a prompt, for tokens `from..to`.
pub fn expected_text(model: &str, prompt: &str, from: u64, to: u64) -> String {
    let seed = model.bytes().chain(prompt.bytes());
    let seed = seed.fold(17u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
    (from..to).map(|index| format!("w{:x} ", seed.wrapping_add(index) % 4096)).collect()
}

impl Engine {
    /// Starts an engine without resident models; fails if the engine cannot listen on the address.
    pub async fn start(
        network: Network,
        address: SocketAddr,
        spec: EngineSpec,
        store: Arc<WeightStore>,
        seed: u64,
    ) -> std::io::Result<Self> {
        let state = State {
            faults: EngineFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            resident: BTreeMap::new(),
            fence: 0,
            completed_orders: BTreeSet::new(),
            overcommit_count: 0,
            running: 0,
            waiting: 0,
            load_samples: VecDeque::new(),
            cached_blocks: VecDeque::new(),
            cache_events: Vec::new(),
            started_requests: HashMap::new(),
            cancelled_streams: 0,
            generated_tokens: 0,
            headers: Vec::new(),
        };
        let slots = Semaphore::new(spec.slots);
        let shared = Arc::new(Shared { spec, network, store, slots, state: Mutex::new(state) });
        let handler = shared.clone();
        let (address, task) = serve(address, move |peer, request| {
            let shared = handler.clone();
            Box::pin(async move { handle(shared, peer, request).await })
        })
        .await?;
        Ok(Self { address, shared, task })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Makes models or adapters resident without an order; the numbers are their memory in bytes.
    pub fn preload(&self, items: impl IntoIterator<Item = (String, u64)>) {
        self.shared.lock().resident.extend(items);
    }

    /// Returns the names of the resident models and adapters.
    pub fn resident_items(&self) -> Vec<String> {
        self.shared.lock().resident.keys().cloned().collect()
    }

    /// Returns the number of loads after which the resident items exceeded the memory.
    pub fn overcommit_count(&self) -> u64 {
        self.shared.lock().overcommit_count
    }

    /// Returns the number of tokens generated for all requests.
    pub fn generated_tokens(&self) -> u64 {
        self.shared.lock().generated_tokens
    }

    /// Returns the number of streams that ended because the client closed the connection.
    pub fn cancelled_streams(&self) -> u64 {
        self.shared.lock().cancelled_streams
    }

    /// Returns the number of different completion requests, by id, that were started.
    pub fn started_requests(&self) -> usize {
        self.shared.lock().started_requests.len()
    }

    /// Returns every header of a completion request, as `name: value`, that contains a text.
    pub fn headers_containing(&self, text: &str) -> Vec<String> {
        let state = self.shared.lock();
        state.headers.iter().filter(|header| header.contains(text)).cloned().collect()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Reports the load of `report_lag` ago, from the samples that earlier reports took.
    fn report_load(&self) -> HandlerResponse {
        let mut state = self.lock();
        let now = Instant::now();
        let current = (now, state.running, state.waiting);
        state.load_samples.push_back(current);
        let lag = state.faults.report_lag;
        while state.load_samples.len() > 1 && now.duration_since(state.load_samples[1].0) >= lag {
            state.load_samples.pop_front();
        }
        let (sampled_at, running, waiting) = state.load_samples[0];
        let age = now.duration_since(sampled_at).as_millis() as u64;
        json_response(200, &json!({"running": running, "waiting": waiting, "age_ms": age}))
    }

    /// Reports the highest fencing number, the resident items and the completed orders.
    fn report_state(&self) -> HandlerResponse {
        let state = self.lock();
        let orders: Vec<_> =
            state.completed_orders.iter().map(|(f, n)| json!({"fence": f, "number": n})).collect();
        json_response(
            200,
            &json!({"fence": state.fence, "resident": state.resident, "done": orders}),
        )
    }

    /// Reports the cache events that follow the first `after` of them, a number from the query, and
    /// the number to use in the next request.
    fn report_cache_events(&self, query: &str) -> HandlerResponse {
        let after: usize = query.strip_prefix("after=").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        let next = state.cache_events.len();
        let from = after.min(next);
        let events: Vec<u64> = state.cache_events[from..].to_vec();
        // The feed of a real engine loses events now and then.
        let kept: Vec<u64> = events.into_iter().filter(|_| state.rng.random_bool(0.98)).collect();
        json_response(200, &json!({"next": next, "blocks": kept}))
    }

    /// Carries out an order, unless the faults lose the order before it takes effect; they may also
    /// lose the reply after that.
    async fn handle_order(&self, body: Bytes) -> HandlerResponse {
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return json_response(400, &json!({"error": "cannot read the order"}));
        };
        let (order_lost, reply_lost) = {
            let mut state = self.lock();
            let (order_loss, reply_loss) = (state.faults.lose_orders, state.faults.lose_replies);
            (state.rng.random_bool(order_loss), state.rng.random_bool(reply_loss))
        };
        if order_lost {
            return None;
        }
        if let Some(refusal) = self.check_fence(&order) {
            return refusal;
        }
        if order.action == "fence" {
            return json_response(200, &json!({"done": true}));
        }
        // Only the weights of a model come from the weight store; adapters and unloads take 6 ms.
        if order.action == "load" && !order.item.contains('/') {
            self.store.fetch().await;
        } else {
            tokio::time::sleep(Duration::from_millis(6)).await;
        }
        // An order with a higher fencing number may have arrived in the meantime.
        if let Some(refusal) = self.check_fence(&order) {
            return refusal;
        }
        let mut state = self.lock();
        state.completed_orders.insert((order.fence, order.number));
        match order.action.as_str() {
            "load" => {
                state.resident.insert(order.item, order.memory);
                if state.resident.values().sum::<u64>() > self.spec.memory {
                    state.overcommit_count += 1;
                }
            }
            "unload" => {
                state.resident.remove(&order.item);
            }
            _ => {}
        }
        if reply_lost {
            return None;
        }
        json_response(200, &json!({"done": true}))
    }

    /// Returns a refusal if the order's fencing number is old, and records the number otherwise.
    fn check_fence(&self, order: &Order) -> Option<HandlerResponse> {
        let mut state = self.lock();
        if self.spec.fencing && order.fence < state.fence {
            return Some(json_response(
                409,
                &json!({"error": "old fencing number", "fence": state.fence}),
            ));
        }
        state.fence = state.fence.max(order.fence);
        None
    }

    /// Adds a prompt's blocks to the cache; returns how many of them were cached before.
    fn cache_prompt(&self, prompt: &str) -> usize {
        let mut state = self.lock();
        let mut hits = 0;
        for block in block_hashes(prompt) {
            if state.cached_blocks.contains(&block) {
                hits += 1;
                continue;
            }
            state.cached_blocks.push_back(block);
            state.cache_events.push(block);
            if state.cached_blocks.len() > 4096 {
                state.cached_blocks.pop_front();
            }
        }
        hits
    }
}

/// Returns a hash for each full block of 256 bytes; the hash covers the prompt up to the end of the
/// block.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = 0u64;
    let blocks = prompt.as_bytes().chunks_exact(256);
    blocks
        .map(|block| {
            hash =
                block.iter().fold(hash, |h, b| h.wrapping_mul(1_099_511_628_211) ^ u64::from(*b));
            hash
        })
        .collect()
}

async fn handle(
    shared: Arc<Shared>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> HandlerResponse {
    let target: Option<SocketAddr> =
        header_value(&request, "host").and_then(|host| host.parse().ok());
    if target.is_some_and(|target| !shared.network.can_reach(peer, target))
        || shared.lock().faults.down
    {
        return None;
    }
    let path = request.uri().path().to_string();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/load") => shared.report_load(),
        (Method::GET, "/state") => shared.report_state(),
        (Method::GET, "/cache") => shared.report_cache_events(request.uri().query().unwrap_or("")),
        (Method::POST, "/orders") => {
            let body = read_body(request).await?;
            // A task of its own, so that the order is carried out even if its sender disconnects.
            let task = tokio::spawn(async move { shared.handle_order(body).await });
            task.await.ok().flatten()
        }
        (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            complete(shared, request, path.ends_with("chat/completions")).await
        }
        _ => json_response(404, &json!({"error": "no such path"})),
    }
}

async fn complete(shared: Arc<Shared>, request: Request<Incoming>, chat: bool) -> HandlerResponse {
    let id = header_value(&request, "x-request-id").unwrap_or_default();
    let resume: Option<u64> =
        header_value(&request, "x-resume-offset").and_then(|n| n.parse().ok());
    for (name, value) in request.headers() {
        let header = format!("{name}: {}", value.to_str().unwrap_or(""));
        let mut state = shared.lock();
        if state.headers.len() < 100_000 {
            state.headers.push(header);
        }
    }
    let body = read_body(request).await?;
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return json_response(400, &json!({"error": "cannot read the request"}));
    };
    if !shared.lock().resident.keys().any(|item| serves_model(item, &completion.model)) {
        return json_response(404, &json!({"error": {"message": "model is not resident"}}));
    }
    if resume.is_some() {
        let state = shared.lock();
        if state.faults.forget_streams || !state.started_requests.contains_key(&id) {
            return json_response(410, &json!({"error": "stream is gone"}));
        }
    }
    *shared.lock().started_requests.entry(id.clone()).or_default() += 1;
    let prompt = prompt_text(&completion, chat);
    let faults = shared.lock().faults.clone();
    let response_id = if faults.wrong_id { "crossed".to_string() } else { id };
    let (sender, receiver) =
        mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(MAX_BUFFERED_FRAMES);
    let job = Job {
        model: completion.model.clone(),
        prompt,
        from: resume.unwrap_or(completion.continue_from),
        total: completion.max_tokens.unwrap_or(16),
        chat,
        id: response_id.clone(),
        faults,
    };
    if completion.stream {
        tokio::spawn(generate_stream(shared, job, sender));
        let stream = ReceiverStream(receiver);
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(stream)));
        let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
        response.headers_mut().insert("x-request-id", response_id.parse().ok()?);
        return Some(response);
    }
    generate_whole(shared, job).await
}

/// Returns whether a resident item serves requests for `model`, which may also be an adapter.
///
/// An item is named after its model up to `@`, or after its adapter from the last `/` on.
fn serves_model(item: &str, model: &str) -> bool {
    item.split('@').next() == Some(model) || item.rsplit('/').next() == Some(model)
}

/// Returns the prompt, or for a chat the contents of its messages, one a line.
fn prompt_text(request: &CompletionRequest, chat: bool) -> String {
    if !chat {
        return request.prompt.clone();
    }
    let contents = request.messages.iter().filter_map(|message| message["content"].as_str());
    contents.collect::<Vec<_>>().join("\n")
}

/// A completion to generate.
struct Job {
    model: String,
    prompt: String,
    /// The index of the first token to generate: above 0 for a completion that is resumed or
    /// continued.
    from: u64,
    /// The number of output tokens, including those before `from`.
    total: u64,
    chat: bool,
    /// The id that the response carries.
    id: String,
    faults: EngineFaults,
}

impl Job {
    fn usage(&self) -> serde_json::Value {
        let prompt = self.prompt.len().div_ceil(4) as u64;
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.total,
            "total_tokens": prompt + self.total
        })
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// Counts a request as waiting until it is dropped.
struct WaitingGuard(Arc<Shared>);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Processes the prompt tokens that are not cached; a token is 4 bytes, so a block has 64.
async fn prefill(shared: &Arc<Shared>, job: &Job) {
    let cached = shared.cache_prompt(&job.prompt) * 64;
    let tokens = job.prompt.len().div_ceil(4).saturating_sub(cached);
    tokio::time::sleep(shared.spec.prefill_time * tokens as u32).await;
}

/// Generates a completion as a stream of events, one for each token, until the client disconnects.
async fn generate_stream(
    shared: Arc<Shared>,
    job: Job,
    sender: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
) {
    shared.lock().waiting += 1;
    let waiting = WaitingGuard(shared.clone());
    let Ok(_slot) = shared.slots.acquire().await else { return };
    drop(waiting);
    shared.lock().running += 1;
    let _running = RunningGuard(shared.clone());
    prefill(&shared, &job).await;
    for index in job.from..job.total {
        if job.faults.break_after.is_some_and(|limit| index >= job.from + limit) {
            let error = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
            let _ = sender.send(Err(error)).await;
            return;
        }
        if !shared.spec.token_interval.is_zero() {
            tokio::time::sleep(shared.spec.token_interval).await;
        }
        let text = expected_text(&job.model, &job.prompt, index, index + 1);
        let choice = if job.chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let event = json!({"id": job.id, "model": job.model, "choices": [choice]});
        if sender.send(Ok(Frame::data(Bytes::from(format!("data: {event}\n\n"))))).await.is_err() {
            shared.lock().cancelled_streams += 1;
            return;
        }
        shared.lock().generated_tokens += 1;
    }
    let event = json!({"id": job.id, "choices": [], "usage": job.usage()});
    let last = format!("data: {event}\n\ndata: [DONE]\n\n");
    let _ = sender.send(Ok(Frame::data(Bytes::from(last)))).await;
}

/// Generates a completion as one JSON response.
async fn generate_whole(shared: Arc<Shared>, job: Job) -> HandlerResponse {
    shared.lock().waiting += 1;
    let waiting = WaitingGuard(shared.clone());
    let Ok(_slot) = shared.slots.acquire().await else { return None };
    drop(waiting);
    shared.lock().running += 1;
    let _running = RunningGuard(shared.clone());
    prefill(&shared, &job).await;
    tokio::time::sleep(shared.spec.token_interval * job.total.saturating_sub(job.from) as u32)
        .await;
    shared.lock().generated_tokens += job.total.saturating_sub(job.from);
    let text = expected_text(&job.model, &job.prompt, job.from, job.total);
    let choice = if job.chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "text": text})
    };
    let value =
        json!({"id": job.id, "model": job.model, "choices": [choice], "usage": job.usage()});
    let mut response = json_response(200, &value)?;
    response.headers_mut().insert("x-request-id", job.id.parse().ok()?);
    Some(response)
}

/// A channel's receiver as a stream of body frames.
struct ReceiverStream(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl futures_core::Stream for ReceiverStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(context)
    }
}
