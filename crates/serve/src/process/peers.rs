//! Connections to other VMs: one outgoing connection to each, opened when there is a message to
//! send.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bamboocourse_decide::{DomainId, FastMap, VmId};
use futures_util::SinkExt;
use opentelemetry::metrics::Counter;
use prost::Message;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio_util::codec::FramedWrite;

use crate::edge::VmListing;
use crate::edge::pool::connect;
use crate::process::shares::START_DELAY;
use crate::process::vm::AppState;
use crate::wire::{Body, FrameCodec, Hello};

/// The number of messages that may wait for one connection.
const MAX_QUEUED_MESSAGES: usize = 256;
/// How long a connection without messages stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest time between two reads of the platform's list of VMs.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// The list is read less often the longer it is: the interval is at least this for each VM in it.
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(100);

/// The VMs in the platform's list, and the connections to them.
#[derive(Debug)]
pub(crate) struct Peers {
    /// The first message on every connection.
    hello: Hello,
    local: Option<IpAddr>,
    listed: RwLock<Arc<BTreeMap<VmId, VmListing>>>,
    /// When the last read of the list that succeeded began, as a time since the process started.
    read_at: Mutex<Option<Duration>>,
    links: Arc<Mutex<FastMap<VmId, mpsc::Sender<Body>>>>,
    bytes: Counter<u64>,
}

impl Peers {
    pub(crate) fn new(hello: Hello, local: Option<IpAddr>, bytes: Counter<u64>) -> Self {
        Self {
            hello,
            local,
            listed: RwLock::default(),
            read_at: Mutex::default(),
            links: Arc::default(),
            bytes,
        }
    }

    /// Returns the platform's list as it was last read, including this VM.
    pub(crate) fn listed(&self) -> Arc<BTreeMap<VmId, VmListing>> {
        self.listed.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the list was read [`START_DELAY`] after the start or later, so that VMs that
    /// started at the same time are in it.
    pub(crate) fn is_list_settled(&self) -> bool {
        let read_at = *self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.is_some_and(|at| at >= START_DELAY)
    }

    /// Returns the listed VMs that are not leaving, by domain.
    pub(crate) fn domains(&self) -> BTreeMap<DomainId, Vec<VmId>> {
        let mut domains: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
        for listing in self.listed().values().filter(|listing| !listing.leaving) {
            domains.entry(listing.domain.clone()).or_default().push(listing.vm.clone());
        }
        domains
    }

    /// Sends a message to a VM in the list; a message that cannot be sent is dropped.
    pub(crate) fn send(&self, vm: &VmId, body: Body) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let mut body = body;
        if let Some(link) = links.get(vm) {
            match link.try_send(body) {
                Ok(()) | Err(TrySendError::Full(_)) => return,
                Err(TrySendError::Closed(unsent)) => body = unsent,
            }
        }
        let Some(address) = self.listed().get(vm).map(|listing| listing.peer) else { return };
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let _ = sender.try_send(body);
        links.insert(vm.clone(), sender);
        let hello = self.hello.clone();
        tokio::spawn(run_link(address, self.local, hello, receiver, self.bytes.clone()));
    }

    /// Adds a VM that has connected to this one, unless it is in the list.
    ///
    /// A VM that starts while the platform is unreachable can thus reply to its peers.
    pub(crate) fn add_connected(&self, hello: &Hello) {
        let Ok(peer) = hello.address.parse() else { return };
        let vm = VmId::from(hello.vm.as_str());
        let mut listed = self.listed.write().unwrap_or_else(PoisonError::into_inner);
        if listed.contains_key(&vm) {
            return;
        }
        let domain = hello.domain.as_str().into();
        let listing = VmListing { vm: vm.clone(), domain, peer, leaving: false };
        Arc::make_mut(&mut listed).insert(vm, listing);
    }

    /// Replaces the list by one whose read began at `read_at`.
    fn set_listed(&self, vms: Vec<VmListing>, read_at: Duration) {
        let listed = vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect();
        *self.listed.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(listed);
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(read_at);
    }
}

/// Reads the platform's list periodically; if a read fails, the last list stays.
pub(crate) async fn follow_list(shared: Arc<AppState>) {
    loop {
        let read_at = shared.now();
        if let Ok(vms) = shared.platform.vms().await {
            shared.peers.set_listed(vms, read_at);
        }
        let interval = LIST_INTERVAL_PER_VM * shared.peers.listed().len() as u32;
        let interval = interval.max(MIN_LIST_INTERVAL);
        let until_settled = START_DELAY.saturating_sub(shared.now());
        let wait = if until_settled.is_zero() { interval } else { interval.min(until_settled) };
        tokio::time::sleep(wait).await;
    }
}

/// Connects to a VM and sends it messages until the connection fails or has been idle.
async fn run_link(
    address: SocketAddr,
    local: Option<IpAddr>,
    hello: Hello,
    mut receiver: mpsc::Receiver<Body>,
    bytes: Counter<u64>,
) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(local, address));
    let Ok(Ok(stream)) = connecting.await else { return };
    let mut sink = FramedWrite::new(stream, FrameCodec::default());
    if sink.send(Body::Hello(hello)).await.is_err() {
        return;
    }
    // The peer sends nothing on this connection, so it becomes readable only when it is closed.
    let mut probe = [0u8; 1];
    loop {
        tokio::select! {
            next = tokio::time::timeout(IDLE_TIMEOUT, receiver.recv()) => {
                let Ok(Some(body)) = next else { return };
                let size = crate::wire::Frame { body: Some(body.clone()) }.encoded_len();
                // Each frame has a length field of 4 bytes.
                bytes.add(size as u64 + 4, &[]);
                if sink.send(body).await.is_err() {
                    return;
                }
            }
            _ = wait_closed(&sink, &mut probe) => return,
        }
    }
}

/// Waits until the connection is closed or becomes readable.
async fn wait_closed(sink: &FramedWrite<tokio::net::TcpStream, FrameCodec>, probe: &mut [u8]) {
    let _ = sink.get_ref().peek(probe).await;
}
