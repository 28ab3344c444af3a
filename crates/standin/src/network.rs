//! Simulated reachability between failure domains and the platform.
//!
//! Domain N uses the loopback network `127.0.N.0/24`; the platform is host 1 of domain 0. Processes
//! bind their outgoing connections to their own address, so a stand-in can tell a caller's domain
//! from the peer address. Connections between VMs of different domains pass through a relay, which
//! closes them when one of the two domains is isolated.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The reachability between domains; clones share their state.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Mutex<Inner>>,
    /// Counts changes of reachability and wakes the relays.
    changes: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    isolated: HashSet<u8>,
    /// The address of each relay, by the connecting domain and the target.
    relays: HashMap<(u8, SocketAddr), SocketAddr>,
}

impl Default for Network {
    fn default() -> Self {
        Self { inner: Arc::default(), changes: watch::Sender::new(0) }
    }
}

impl Network {
    /// Returns the address of a host in a domain, with port 0 so that the system picks a free one.
    pub fn address(domain: u8, host: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, domain, host)), 0)
    }

    /// Isolates a domain from the other domains and from the platform.
    pub fn isolate(&self, domain: u8) {
        self.lock().isolated.insert(domain);
        self.changes.send_modify(|n| *n += 1);
    }

    /// Ends the isolation of a domain.
    pub fn heal(&self, domain: u8) {
        self.lock().isolated.remove(&domain);
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns whether two addresses can reach each other.
    pub fn can_reach(&self, a: SocketAddr, b: SocketAddr) -> bool {
        let (a, b) = (domain_of(a), domain_of(b));
        let inner = self.lock();
        a == b || (!inner.isolated.contains(&a) && !inner.isolated.contains(&b))
    }

    /// Returns the address at which a host in `from`'s domain reaches `target`.
    ///
    /// This is `target` itself within one domain, or if no relay can listen, and otherwise the
    /// address of a relay, which is started on first use.
    pub(crate) async fn reachable_address(
        &self,
        from: SocketAddr,
        target: SocketAddr,
    ) -> SocketAddr {
        let domain = domain_of(from);
        if domain == domain_of(target) {
            return target;
        }
        if let Some(relay) = self.lock().relays.get(&(domain, target)) {
            return *relay;
        }
        let Ok(listener) = TcpListener::bind(Self::address(domain, 254)).await else {
            return target;
        };
        let Ok(local) = listener.local_addr() else { return target };
        self.lock().relays.insert((domain, target), local);
        tokio::spawn(run_relay(self.clone(), listener, target));
        local
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Forwards connections to `target` for as long as the two domains can reach each other.
async fn run_relay(network: Network, listener: TcpListener, target: SocketAddr) {
    let Ok(local) = listener.local_addr() else { return };
    loop {
        let Ok((mut inbound, _)) = listener.accept().await else { continue };
        if !network.can_reach(local, target) {
            continue;
        }
        let network = network.clone();
        tokio::spawn(async move {
            let Ok(mut outbound) = TcpStream::connect(target).await else { return };
            let mut changes = network.changes.subscribe();
            let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
            tokio::pin!(copy);
            loop {
                tokio::select! {
                    _ = &mut copy => return,
                    _ = changes.changed() => {
                        if !network.can_reach(local, target) {
                            return;
                        }
                    }
                }
            }
        });
    }
}

/// Returns the domain of an address: the third octet of an IPv4 address, 0 for IPv6.
fn domain_of(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}
