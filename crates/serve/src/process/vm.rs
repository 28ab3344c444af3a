//! The process of one entry VM: the state that its tasks share, its start and its shutdown.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bamboocourse_decide::{
    ActiveConfig, CompiledConfig, Fence, Incarnation, Members, VersionId, WorkspaceId,
};
use log::info;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::connection::{caller, peer};
use crate::edge::Platform;
use crate::edge::platform::HttpPlatform;
use crate::edge::pool::Pool;
use crate::process::decisions::{Decisions, unix_millis};
use crate::process::metrics::Metrics;
use crate::process::peers::{self, Peers};
use crate::process::report::BurnCounter;
use crate::process::routers::{self, Routers};
use crate::process::running::RunningRequests;
use crate::process::settings::Settings;
use crate::process::token_limits::{TICK_INTERVAL, TokenLimits};
use crate::process::{gossip, leader, shares};
use crate::request::batch;
use crate::version::follow;
use crate::wire::Hello;

/// How long a draining VM waits until its shares are returned.
const RETURN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a draining VM still accepts connections, so that the load balancer sees that it is not
/// ready.
const UNREADY_DELAY: Duration = Duration::from_secs(1);

/// The state that the tasks of one VM share.
pub(crate) struct AppState {
    pub(crate) settings: Settings,
    /// The incarnation of this process: when it started, in milliseconds since the Unix epoch.
    pub(crate) life: Incarnation,
    /// When the process started; points in time that are given as a `Duration` count from here.
    pub(crate) start: Instant,
    pub(crate) platform: Box<dyn Platform>,
    pub(crate) pool: Pool,
    pub(crate) limits: TokenLimits,
    pub(crate) routers: Routers,
    pub(crate) peers: Peers,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: Decisions,
    pub(crate) burn: BurnCounter,
    pub(crate) running: RunningRequests,
    /// Notified when the VM drains and has returned all shares.
    pub(crate) shares_returned: Notify,
    /// Announces the version of each new active configuration.
    pub(crate) versions: watch::Sender<VersionId>,
    /// The number of the next gossip exchange.
    pub(crate) next_nonce: AtomicU64,
    draining: AtomicBool,
    /// The fencing number and the end of the domain's lease; `None` if this VM does not hold it.
    lease_term: Mutex<Option<(Fence, Duration)>>,
    active_config: Mutex<ActiveConfig>,
    members: Mutex<Members>,
    /// The gossip exchanges that wait for a reply: number and start, oldest first.
    exchanges: Mutex<VecDeque<(u64, Duration)>>,
}

impl std::fmt::Debug for AppState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("vm", &self.settings.vm).finish_non_exhaustive()
    }
}

impl AppState {
    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn active_config(&self) -> MutexGuard<'_, ActiveConfig> {
        self.active_config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn config(&self) -> Option<Arc<CompiledConfig>> {
        self.active_config().config().cloned()
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn exchanges(&self) -> MutexGuard<'_, VecDeque<(u64, Duration)>> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the gossip exchange with a number and returns when it was started.
    pub(crate) fn take_exchange(&self, nonce: u64) -> Option<Duration> {
        let mut exchanges = self.exchanges();
        let index = exchanges.iter().position(|(other, _)| *other == nonce)?;
        exchanges.remove(index).map(|(_, start)| start)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the fencing number of the lease while this VM leads its domain.
    pub(crate) fn leading_fence(&self) -> Option<Fence> {
        let term = *self.lease_term.lock().unwrap_or_else(PoisonError::into_inner);
        term.filter(|(_, until)| self.now() < *until).map(|(fence, _)| fence)
    }

    /// Sets the fencing number and the end of the lease; `None` if this VM does not hold it.
    pub(crate) fn set_lease_term(&self, term: Option<(Fence, Duration)>) {
        *self.lease_term.lock().unwrap_or_else(PoisonError::into_inner) = term;
    }

    /// Returns why the VM accepts no requests, or `None` if it accepts them.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if self.is_draining() {
            return Some("the VM is leaving");
        }
        if self.active_config().version() == 0 {
            return Some("no configuration is in force yet");
        }
        None
    }

    /// Returns whether a workspace's keys may be accepted: its grace period has not passed since
    /// the head was last confirmed.
    pub(crate) fn is_config_fresh(&self, config: &CompiledConfig, workspace: &WorkspaceId) -> bool {
        let grace = config.config.workspaces.get(workspace).and_then(|workspace| workspace.grace);
        let grace = grace.unwrap_or(self.settings.grace).max(MIN_GRACE);
        self.active_config().is_fresh(self.now(), grace)
    }

    /// Applies a new configuration to the limits and the routers.
    pub(crate) fn apply_config(&self, config: &CompiledConfig) {
        self.limits.apply_config(config, self.now());
        self.routers.apply_config(config);
    }
}

/// The shortest grace period, which leaves time for two reads of the head.
const MIN_GRACE: Duration = Duration::from_secs(3);

/// A running entry VM.
#[derive(Debug)]
pub struct EntryVm {
    shared: Arc<AppState>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    stop: watch::Sender<bool>,
    tasks: tokio::task::JoinSet<()>,
}

impl EntryVm {
    /// Binds the VM's addresses and starts its tasks on the current runtime.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the metrics cannot be registered.
    pub async fn start(settings: Settings) -> std::io::Result<Self> {
        let listen = TcpListener::bind(settings.listen).await?;
        let operator = TcpListener::bind(settings.operator).await?;
        let peer_listener = TcpListener::bind(settings.peer).await?;
        let addresses = (listen.local_addr()?, operator.local_addr()?, peer_listener.local_addr()?);
        let shared = Arc::new(new_state(settings, addresses.2)?);
        let (stop, stopped) = watch::channel(false);
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(caller::accept(
            shared.clone(),
            listen,
            caller::ListenerKind::Caller,
            stopped.clone(),
        ));
        tasks.spawn(caller::accept(
            shared.clone(),
            operator,
            caller::ListenerKind::Operator,
            stopped,
        ));
        tasks.spawn(peer::accept(shared.clone(), peer_listener));
        tasks.spawn(peers::follow_list(shared.clone()));
        tasks.spawn(follow::follow(shared.clone()));
        tasks.spawn(gossip::run(shared.clone()));
        tasks.spawn(shares::run(shared.clone()));
        tasks.spawn(leader::run(shared.clone()));
        tasks.spawn(routers::follow_engines(shared.clone()));
        tasks.spawn(batch::run_jobs(shared.clone()));
        tasks.spawn(tick_limits(shared.clone()));
        info!(vm = shared.settings.vm.as_str(), domain = shared.settings.domain.as_str(),
            listen:% = addresses.0, operator:% = addresses.1, peer:% = addresses.2; "started");
        Ok(Self {
            shared,
            listen: addresses.0,
            operator: addresses.1,
            peer: addresses.2,
            stop,
            tasks,
        })
    }

    /// Returns the version of the active configuration, or 0 if there is none yet.
    pub fn version(&self) -> VersionId {
        self.shared.active_config().version()
    }

    /// Takes the VM out of service: it reports that it is not ready, finishes the running requests
    /// and returns its shares, for which it waits a limited time.
    pub async fn drain(mut self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.shared.members().describe(|member| member.leaving = true);
        info!(vm = self.shared.settings.vm.as_str(), running = self.shared.running.count();
            "leaving");
        tokio::time::sleep(UNREADY_DELAY).await;
        self.stop.send_replace(true);
        self.shared.running.wait_idle().await;
        let returned = self.shared.shares_returned.notified();
        let _ = tokio::time::timeout(RETURN_TIMEOUT, returned).await;
        self.tasks.shutdown().await;
        info!(vm = self.shared.settings.vm.as_str(); "left");
    }
}

fn new_state(settings: Settings, peer: SocketAddr) -> std::io::Result<AppState> {
    let life = unix_millis();
    let metrics = Metrics::new().map_err(std::io::Error::other)?;
    let hello = Hello {
        vm: settings.vm.to_string(),
        domain: settings.domain.to_string(),
        life,
        address: peer.to_string(),
    };
    Ok(AppState {
        life,
        start: Instant::now(),
        platform: Box::new(HttpPlatform::new(settings.platform, settings.local)),
        pool: Pool::new(settings.local),
        limits: TokenLimits::new(life),
        routers: Routers::new(settings.domain.clone()),
        peers: Peers::new(hello, settings.local, metrics.peer_bytes.clone()),
        decisions: Decisions::default(),
        burn: BurnCounter::default(),
        running: RunningRequests::default(),
        shares_returned: Notify::new(),
        versions: watch::Sender::new(0),
        next_nonce: AtomicU64::new(1),
        draining: AtomicBool::new(false),
        lease_term: Mutex::new(None),
        active_config: Mutex::default(),
        members: Mutex::new(Members::new(SmolStr::clone(&settings.vm), life, Duration::ZERO)),
        exchanges: Mutex::default(),
        metrics,
        settings,
    })
}

async fn tick_limits(shared: Arc<AppState>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.limits.tick(&shared);
    }
}
