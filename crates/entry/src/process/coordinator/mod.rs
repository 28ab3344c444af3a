//! The fleet's coordinator: competes for the fleet's lease and, while it holds the lease, orders
//! models onto endpoints and grants tokens to the VMs.
//!
//! Every VM runs this task, and the VM that holds the lease is the leader. A follower only checks
//! that the leader is alive. When the leader falls silent, a follower reads the lease's row and
//! claims the lease once it has expired.

mod lease;
mod orders;
mod placement;
pub(crate) mod row;
mod tokens;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    EndpointId, EndpointReport, FastMap, Fence, Handover, Incarnation, Lease, LeaseEvent,
    LeaseTerms, OrderReply, QuietPeriod, VmId,
};
use log::info;
use tokio::sync::{mpsc, watch};

use crate::edge::clock::boot_now;
use crate::edge::pool::Pool;
use crate::edge::{Protocol, Store, StoreError, StoreRow, StoreRows, StoreVersion, WriteOutcome};
use crate::process::active_fleet::ActiveFleet;
use crate::process::endpoint_list::{EndpointList, ListUpdate};
use crate::process::metrics::Metrics;
use crate::process::quotas::Quotas;
use crate::process::settings::EntrySettings;
use crate::wire::{Held, Lead as LeadMessage, ListRow, Status};

use self::lease::{CLAIM_DELAY, CLAIM_MARGIN, LEADER_TIMEOUT, LEASE_TERM, READ_INTERVAL};
use self::orders::MIN_ORDER_TERM;
use self::placement::{EndpointPlacement, IssuedOrder};
use self::row::LeaderRow;
use self::tokens::TokenPools;

/// How often the leader renews its lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// The time between renewals while a token ceiling cannot rise before the next record.
const URGENT_RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// How often the task checks its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// How often a VM is sent the state of all endpoints instead of the changes alone.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(12);

/// The number of a connection from another VM; 0 stands for this VM's own reports.
pub(crate) type PeerId = u64;

/// An event that the coordinator handles.
pub(crate) enum CoordinatorEvent {
    /// A VM sent its report.
    Status(PeerId, Status),
    /// A VM connected; messages to the VM go through the sender.
    PeerConnected(PeerId, mpsc::UnboundedSender<LeadMessage>),
    /// A VM's connection ended.
    PeerDisconnected(PeerId),
    /// An endpoint's entry in the list of endpoints changed.
    EndpointChanged(EndpointId),
    /// The leader sent a message, with the version of the lease's row that it wrote last.
    LeaderAlive(Fence, StoreVersion),
    /// The leader gave up the lease; the next leader must keep to the handover's waits.
    LeaderResigned(Fence, Handover),
    /// The connection to the leader ended.
    LeaderLost,
    /// A read of the lease's row finished.
    LeaseRead(Result<StoreRows, StoreError>),
    /// A write of the lease's row finished.
    LeaseWritten(Box<LeaderRow>, Result<WriteOutcome, StoreError>),
    /// An endpoint replied to an order that was sent under a fence, or the order failed.
    OrderReplied(Fence, Box<IssuedOrder>, OrderReply),
    /// An endpoint sent its report; `None` means that the endpoint did not report in time.
    EndpointReported(EndpointId, Option<EndpointReport>),
    /// The process leaves service.
    Leave,
}

/// The parts of the process that the coordinator uses.
pub(crate) struct Handles {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) pool: Pool,
    pub(crate) active_fleet: Arc<ActiveFleet>,
    pub(crate) endpoint_list: Arc<EndpointList>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) metrics: Arc<Metrics>,
    /// The address where the leader accepts VMs; `None` if this VM leads or the leader is unknown.
    pub(crate) leader: watch::Sender<Option<SocketAddr>>,
    pub(crate) events: mpsc::UnboundedSender<CoordinatorEvent>,
}

/// The state of the coordinator's task.
pub(crate) struct Coordinator {
    handles: Handles,
    lease: Lease,
    /// The lease's row as last read or written, with its version.
    row: Option<(StoreVersion, LeaderRow)>,
    /// The store's clock minus this VM's boot clock at the store's last response, in milliseconds.
    clock_offset: i64,
    /// When the leader's last message arrived; zero once the leader resigned or was lost.
    leader_heard: Duration,
    /// When the last read of the lease's row began.
    last_read: Duration,
    /// Whether a read or write of the lease's row is in progress.
    store_busy: bool,
    leaving: bool,
    peers: FastMap<PeerId, Peer>,
    /// Present while this VM holds the lease.
    leadership: Option<Leadership>,
    /// The fence and handover of the last leader that resigned, and when its message arrived.
    handover: Option<(Fence, Handover, Duration)>,
    started: Duration,
}

impl Leadership {
    /// Returns the time between two renewals.
    fn renew_interval(&self) -> Duration {
        if self.token_pools.wants_record() { URGENT_RENEW_INTERVAL } else { RENEW_INTERVAL }
    }
}

/// A connected VM.
struct Peer {
    sender: mpsc::UnboundedSender<LeadMessage>,
    /// When the VM was last sent the state of all endpoints.
    last_full: Duration,
}

/// The state that exists only while this VM holds the lease.
struct Leadership {
    fence: Fence,
    quiet_period: QuietPeriod,
    token_pools: TokenPools,
    placement: EndpointPlacement,
    /// When the last write of the lease's row began.
    last_attempt: Duration,
    /// When the last successful write of the lease's row was confirmed.
    last_renewal: Duration,
    /// The version of the lease's row that this VM wrote last.
    row_version: StoreVersion,
    /// The version of the configuration that was applied last; 0 before the first.
    config_version: u64,
}

impl Coordinator {
    pub(crate) fn new(handles: Handles, life: Incarnation) -> Self {
        let terms = LeaseTerms { term: LEASE_TERM, margin: CLAIM_MARGIN };
        let lease = Lease::with_terms(handles.settings.vm.clone(), life, terms);
        Self {
            handles,
            lease,
            row: None,
            clock_offset: 0,
            leader_heard: Duration::ZERO,
            last_read: Duration::ZERO,
            store_busy: false,
            leaving: false,
            peers: FastMap::default(),
            leadership: None,
            handover: None,
            started: boot_now(),
        }
    }

    /// Handles events until all senders are dropped.
    pub(crate) async fn run(mut self, mut events: mpsc::UnboundedReceiver<CoordinatorEvent>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
            }
            self.broadcast_changes();
        }
    }

    fn on_event(&mut self, event: CoordinatorEvent) {
        let now = boot_now();
        match event {
            CoordinatorEvent::Status(peer, status) => self.on_status(peer, status, now),
            CoordinatorEvent::PeerConnected(peer, sender) => {
                self.peers.insert(peer, Peer { sender, last_full: Duration::ZERO });
            }
            CoordinatorEvent::PeerDisconnected(peer) => {
                self.peers.remove(&peer);
            }
            CoordinatorEvent::EndpointChanged(name) => self.on_endpoint_changed(&name, now),
            CoordinatorEvent::LeaderAlive(fence, version) => {
                if self.row.as_ref().is_none_or(|(_, row)| fence >= row.lease.fence) {
                    self.leader_heard = now;
                    self.lease.handle(LeaseEvent::Renewed(fence, version, now));
                }
            }
            CoordinatorEvent::LeaderResigned(fence, handover) => {
                info!(fence, rest_ms = handover.default_wait.as_millis() as u64,
                    waits = handover.endpoints.len(); "the leader has given up the lease");
                self.handover = Some((fence, handover, now));
                self.lease.handle(LeaseEvent::Resigned(fence));
                self.leader_heard = Duration::ZERO;
                // In a rolling restart, a VM that has already restarted is unlikely to leave next,
                // so it reads the row at once and the others only after CLAIM_DELAY.
                let wait = if self.recently_restarted(now) {
                    READ_INTERVAL
                } else {
                    READ_INTERVAL - CLAIM_DELAY
                };
                self.last_read = now.saturating_sub(wait);
            }
            CoordinatorEvent::LeaderLost => {
                self.leader_heard = Duration::ZERO;
                self.last_read =
                    self.last_read.min(now.saturating_sub(READ_INTERVAL - CLAIM_DELAY));
            }
            CoordinatorEvent::LeaseRead(result) => self.on_lease_read(result, now),
            CoordinatorEvent::LeaseWritten(row, result) => self.on_lease_written(*row, result, now),
            CoordinatorEvent::OrderReplied(fence, order, reply) => {
                if let Some(leadership) = &mut self.leadership
                    && leadership.fence == fence
                {
                    leadership.quiet_period.end_order(&order.planned.endpoint, now);
                    leadership.placement.on_reply(&order, reply, now);
                }
                self.plan_orders(now);
            }
            CoordinatorEvent::EndpointReported(name, report) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.placement.on_report(&name, report, now);
                }
                self.plan_orders(now);
            }
            CoordinatorEvent::Leave => self.leave(),
        }
    }

    fn on_tick(&mut self) {
        let now = boot_now();
        self.lease.handle(LeaseEvent::Tick(now));
        if self.lease.held(now).is_none() {
            self.stop_leading("the lease has lapsed");
        }
        self.request_reports(now);
        self.plan_orders(now);
        if self.store_busy {
            return;
        }
        match &self.leadership {
            Some(leadership) if now >= leadership.last_attempt + leadership.renew_interval() => {
                self.renew(now)
            }
            Some(_) => {}
            None if now >= self.leader_heard + LEADER_TIMEOUT
                && now >= self.last_read + READ_INTERVAL =>
            {
                self.read_lease(now)
            }
            None => {}
        }
    }

    /// Applies a new configuration and the listed endpoints to the leader's state.
    fn apply_config(&mut self, now: Duration) {
        let (Some(leadership), Some(fleet)) =
            (&mut self.leadership, self.handles.active_fleet.fleet())
        else {
            return;
        };
        if leadership.config_version == fleet.version {
            return;
        }
        leadership.config_version = fleet.version;
        leadership.token_pools.apply_config(&fleet, now);
        for (name, listed) in self.handles.endpoint_list.endpoints() {
            leadership.placement.on_listed(&name, Some(listed), &fleet, now);
        }
    }

    fn on_endpoint_changed(&mut self, name: &EndpointId, now: Duration) {
        let (Some(leadership), Some(fleet)) =
            (&mut self.leadership, self.handles.active_fleet.fleet())
        else {
            return;
        };
        let listed = self.handles.endpoint_list.endpoint(name);
        leadership.placement.on_listed(name, listed, &fleet, now);
        self.plan_orders(now);
    }

    /// Applies a VM's report and replies to it.
    ///
    /// A follower replies with fence 0, which tells the VM to look for the leader elsewhere.
    fn on_status(&mut self, peer: PeerId, status: Status, now: Duration) {
        if !status.config_row.is_empty() {
            let row = StoreRow {
                key: "config".into(),
                value: Some(status.config_row.clone().into()),
                version: status.config,
            };
            self.handles.active_fleet.offer(&row, "another VM");
        }
        self.apply_config(now);
        let mut reply = self.store_updates(&status);
        let Some(leadership) = &mut self.leadership else {
            self.send(peer, reply);
            return;
        };
        reply.fence = leadership.fence;
        reply.sent = status.sent;
        reply.clock = now.as_millis() as u64;
        reply.renewed = leadership.row_version;
        reply.funded = leadership.config_version > 0 && leadership.token_pools.can_grant();
        reply.ceilings = leadership.token_pools.on_report(&status, now);
        if let Some(former) = leadership.token_pools.on_floor_report(&status, now) {
            reply.past = former.spent;
            reply.past_whole = former.is_final;
            reply.past_age = former.age.as_millis() as u64;
        }
        reply.floor = leadership.token_pools.floor_weight(&status.vm);
        reply.vms = leadership.token_pools.active_vms(now) as u32;
        let vm = VmId::new(&status.vm);
        leadership.placement.on_unreachable(&status.unreached, now);
        let missing = leadership.placement.on_demand(&vm, status.demand, &status.adapters, now);
        if let Some(known) = self.peers.get_mut(&peer)
            && now >= known.last_full + FULL_UPDATE_INTERVAL
        {
            known.last_full = now;
            reply.held = leadership.placement.all_held(now);
        }
        self.send(peer, reply);
        if missing {
            self.plan_orders(now);
        }
    }

    /// Returns a message with the configuration and the endpoint rows that a VM does not know yet.
    fn store_updates(&self, status: &Status) -> LeadMessage {
        let mut updates =
            LeadMessage { config: self.handles.active_fleet.row_version(), ..Default::default() };
        if status.config < updates.config
            && let Some(row) = self.handles.active_fleet.row()
        {
            updates.config_row = row.value.unwrap_or_default().to_vec();
        }
        let ListUpdate { changes, live } = self.handles.endpoint_list.changes_after(status.listed);
        updates.listed = changes.version;
        updates.whole = live.is_some();
        updates.live = live.into_iter().flatten().map(Into::into).collect();
        if status.listed < changes.version {
            let rows = changes.rows.into_iter().map(|row| ListRow {
                key: row.key.to_string(),
                version: row.version,
                removed: row.value.is_none(),
                value: row.value.unwrap_or_default().to_vec(),
            });
            updates.rows = rows.collect();
        }
        updates
    }

    fn send(&self, peer: PeerId, message: LeadMessage) {
        if let Some(peer) = self.peers.get(&peer) {
            // If the connection has ended, PeerDisconnected removes the peer.
            let _ = peer.sender.send(message);
        }
    }

    /// Sends all VMs the state of the endpoints that have changed.
    fn broadcast_changes(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        let changes: Vec<Held> = leadership.placement.take_changes(boot_now());
        if changes.is_empty() {
            return;
        }
        let message = LeadMessage { fence: leadership.fence, held: changes, ..Default::default() };
        for peer in self.peers.values() {
            // If the connection has ended, PeerDisconnected removes the peer.
            let _ = peer.sender.send(message.clone());
        }
    }

    /// Plans orders and sends them, if this VM may issue orders now.
    fn plan_orders(&mut self, now: Duration) {
        let Some((_, until)) = self.lease.term() else { return };
        let (Some(leadership), Some(fleet)) =
            (&mut self.leadership, self.handles.active_fleet.fleet())
        else {
            return;
        };
        let may_order = !self.leaving && now + MIN_ORDER_TERM < until;
        let orders =
            leadership.placement.plan(&fleet, may_order.then_some(&leadership.quiet_period), now);
        for order in &orders {
            leadership.quiet_period.begin_order(&order.planned.endpoint);
        }
        let fence = leadership.fence;
        self.broadcast_changes();
        for order in orders {
            self.send_order(order, fence, until);
        }
    }
}
