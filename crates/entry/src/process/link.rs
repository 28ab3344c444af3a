//! Connections between VMs: every VM reports to the leader, which replies to each report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bamboocourse_decide::{EndpointId, Handover, Incarnation};
use futures_util::{SinkExt, StreamExt};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::edge::budget::ByteBudget;
use crate::edge::clock::boot_now;
use crate::edge::{StoreRow, StoreRows, StoreVersion, socket};
use crate::process::active_fleet::ActiveFleet;
use crate::process::coordinator::{CoordinatorEvent, PeerId};
use crate::process::endpoint_list::{EndpointList, ListUpdate};
use crate::process::quotas::Quotas;
use crate::process::scheduler::Scheduler;
use crate::process::settings::EntrySettings;
use crate::wire::{Body, FrameCodec, Lead, Status};

/// How often a VM reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between reports during a shortage, so that one report covers many requests.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(12);
/// How long the leader may be silent before the connection to it is dropped.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long a connected VM may send no whole report before its connection is closed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before the next attempt after a connection failed.
///
/// The pause is short because granted tokens cover less than a second of demand when a pool is
/// scarce, and because a VM may take the lease right after it replied that it does not hold the
/// lease.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// The parts of a VM that its reports are made from and that take in the leader's messages.
#[derive(Clone)]
pub(crate) struct LeaderLink {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) life: Incarnation,
    pub(crate) active_fleet: Arc<ActiveFleet>,
    pub(crate) endpoint_list: Arc<EndpointList>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) events: mpsc::UnboundedSender<CoordinatorEvent>,
    pub(crate) budget: ByteBudget,
    /// The leader's address; `None` if this VM leads or the leader is unknown.
    pub(crate) leader: watch::Receiver<Option<SocketAddr>>,
}

/// Says when the next report is due: at intervals, or soon after a shortage.
struct ReportTimer {
    quotas: Arc<Quotas>,
    scheduler: Arc<Scheduler>,
    due: Instant,
    /// Whether a shortage has moved the next report forward.
    urgent: bool,
}

impl ReportTimer {
    fn new(link: &LeaderLink) -> Self {
        let (quotas, scheduler) = (link.quotas.clone(), link.scheduler.clone());
        Self { quotas, scheduler, due: Instant::now(), urgent: false }
    }

    /// Waits until the next report is due; may be cancelled and called again.
    async fn wait(&mut self) {
        while !self.urgent {
            tokio::select! {
                () = tokio::time::sleep_until(self.due) => break,
                () = self.quotas.shortage.notified() => {}
                () = self.scheduler.shortage.notified() => {}
            }
            // Further shortages within this time go into the same report.
            self.urgent = true;
            self.due = self.due.min(Instant::now() + MIN_REPORT_INTERVAL);
        }
        tokio::time::sleep_until(self.due).await;
        self.urgent = false;
        self.due = Instant::now() + REPORT_INTERVAL;
    }
}

/// Accepts connections of other VMs until the process ends.
pub(crate) async fn accept(
    listener: TcpListener,
    events: mpsc::UnboundedSender<CoordinatorEvent>,
    budget: ByteBudget,
) {
    let ids = AtomicU64::new(1);
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let id = ids.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, from, id, events.clone(), budget.clone()));
            }
            Err(error) => {
                warn!(error:%; "a VM's connection was not accepted");
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Passes a VM's reports to the coordinator and the coordinator's messages to the VM.
async fn serve(
    stream: TcpStream,
    from: SocketAddr,
    id: PeerId,
    events: mpsc::UnboundedSender<CoordinatorEvent>,
    budget: ByteBudget,
) {
    if let Err(error) = socket::set_options(&stream) {
        warn!(from:%, error:%; "a VM's connection cannot be used");
        return;
    }
    let (sender, mut messages) = mpsc::unbounded_channel();
    // The receiver is gone only while the process shuts down.
    let _ = events.send(CoordinatorEvent::PeerConnected(id, sender));
    let mut framed = Framed::new(stream, FrameCodec::new(budget));
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(Body::Status(status))) => {
                    heard = Instant::now();
                    let _ = events.send(CoordinatorEvent::Status(id, status));
                }
                Some(Ok(Body::Lead(_))) | None => break,
                Some(Err(error)) => {
                    info!(from:%, error:%; "a VM's connection has failed");
                    break;
                }
            },
            () = tokio::time::sleep_until(heard + REPORT_TIMEOUT) => {
                info!(from:%; "a VM sends no reports");
                break;
            }
            message = messages.recv() => match message {
                Some(message) => {
                    if framed.send(Body::Lead(message)).await.is_err() {
                        break;
                    }
                }
                None => break,
            },
        }
    }
    let _ = events.send(CoordinatorEvent::PeerDisconnected(id));
}

impl LeaderLink {
    /// Reports to the leader, which may be this VM, until the process ends.
    pub(crate) async fn run(mut self) {
        let (sender, mut messages) = mpsc::unbounded_channel();
        let _ = self.events.send(CoordinatorEvent::PeerConnected(0, sender));
        loop {
            let leader = *self.leader.borrow_and_update();
            match leader {
                None => self.report_own(&mut messages).await,
                Some(address) => {
                    self.report_to(address).await;
                    let _ = self.events.send(CoordinatorEvent::LeaderLost);
                    // The lease's row soon names the new leader; if the leader stays the same, the
                    // connection is tried again.
                    let _ = tokio::time::timeout(RECONNECT_DELAY, self.leader.changed()).await;
                }
            }
        }
    }

    /// Reports to this VM's own coordinator until another VM is known to lead.
    async fn report_own(&mut self, messages: &mut mpsc::UnboundedReceiver<Lead>) {
        let mut timer = ReportTimer::new(self);
        loop {
            tokio::select! {
                changed = self.leader.changed() => {
                    if changed.is_err() || self.leader.borrow().is_some() {
                        return;
                    }
                }
                () = timer.wait() => {}
                message = messages.recv() => {
                    if let Some(message) = message {
                        self.apply(&message);
                    }
                    continue;
                }
            }
            let mut status = self.status(StoreVersion::MAX, true);
            status.heard = status.sent;
            let _ = self.events.send(CoordinatorEvent::Status(0, status));
        }
    }

    /// Reports to another VM until it falls silent, does not lead, or another leader is known.
    async fn report_to(&mut self, address: SocketAddr) {
        let stream = match socket::connect(self.settings.local, address).await {
            Ok(stream) => stream,
            Err(error) => {
                info!(leader:% = address, error:%; "the leader cannot be reached");
                return;
            }
        };
        info!(leader:% = address; "this VM reports to the leader");
        let mut framed = Framed::new(stream, FrameCodec::new(self.budget.clone()));
        let mut timer = ReportTimer::new(self);
        let mut heard = Instant::now();
        // The version of the leader's config row; the maximum, so that no row is sent, until the
        // leader has sent the version.
        let mut known = StoreVersion::MAX;
        let mut full = true;
        // The leader's clock in its last reply, and this VM's clock when the reply arrived.
        let mut clock: Option<(u64, Duration)> = None;
        loop {
            tokio::select! {
                changed = self.leader.changed() => {
                    if changed.is_err() || *self.leader.borrow() != Some(address) {
                        return;
                    }
                    continue;
                }
                frame = framed.next() => {
                    match frame {
                        Some(Ok(Body::Lead(message))) => {
                            heard = Instant::now();
                            known = if message.config > 0 { message.config } else { known };
                            self.apply(&message);
                            if message.clock > 0 {
                                clock = Some((message.clock, boot_now()));
                            }
                            if message.fence == 0 || message.resigned {
                                info!(leader:% = address; "that VM does not hold the lease");
                                return;
                            }
                        }
                        Some(Ok(Body::Status(_))) | None => {
                            info!(leader:% = address; "the leader has closed the connection");
                            return;
                        }
                        Some(Err(error)) => {
                            info!(leader:% = address, error:%;
                                "the connection to the leader has failed");
                            return;
                        }
                    }
                    continue;
                }
                () = timer.wait() => {}
            }
            if heard.elapsed() > LINK_TIMEOUT {
                info!(leader:% = address, silent_ms = heard.elapsed().as_millis() as u64;
                    "the leader is silent");
                return;
            }
            let mut status = self.status(known, full);
            status.heard = clock.map_or(0, |(leader, at)| {
                leader + (boot_now().saturating_sub(at)).as_millis() as u64
            });
            full = false;
            if framed.send(Body::Status(status)).await.is_err() {
                return;
            }
        }
    }

    /// Returns this VM's report for a leader that has the config row of version `known`.
    ///
    /// `full` adds what a new leader does not know yet.
    fn status(&self, known: StoreVersion, full: bool) -> Status {
        let (demand, adapters) = self.scheduler.take_demand();
        let row = self.active_fleet.row().filter(|row| row.version > known);
        Status {
            vm: self.settings.vm.to_string(),
            domain: self.settings.domain.to_string(),
            life: self.life,
            sent: boot_now().as_millis() as u64,
            config: self.active_fleet.row_version(),
            config_row: row.and_then(|row| row.value).unwrap_or_default().to_vec(),
            demand,
            adapters,
            asked: self.quotas.asked_tokens(),
            spends: self.quotas.spend_reports(full),
            unreached: self.scheduler.take_unreachable(),
            floors: self.quotas.floor_spends(),
            last: self.quotas.is_settled(),
            heard: 0,
            listed: self.endpoint_list.version(),
        }
    }

    /// Applies a message of the leader.
    fn apply(&self, message: &Lead) {
        if !message.config_row.is_empty() {
            let row = StoreRow {
                key: "config".into(),
                value: Some(message.config_row.clone().into()),
                version: message.config,
            };
            self.active_fleet.offer(&row, "another VM");
        }
        if !message.rows.is_empty() || message.whole {
            let rows = message.rows.iter().map(|row| StoreRow {
                key: row.key.as_str().into(),
                value: (!row.removed).then(|| row.value.clone().into()),
                version: row.version,
            });
            let rows = rows.collect();
            let changes = StoreRows { rows, version: message.listed, ..StoreRows::default() };
            let live = message.whole.then(|| message.live.iter().map(EndpointId::new).collect());
            self.endpoint_list.on_relayed(&ListUpdate { changes, live });
        }
        if message.fence == 0 {
            return;
        }
        // The receiver is gone only while the process shuts down.
        let _ = self.events.send(if message.resigned {
            let waits = message.waits.iter().map(|wait| {
                (EndpointId::new(&wait.endpoint), Duration::from_millis(u64::from(wait.left)))
            });
            let default_wait = Duration::from_millis(u64::from(message.rest));
            CoordinatorEvent::LeaderResigned(
                message.fence,
                Handover { default_wait, endpoints: waits.collect() },
            )
        } else {
            CoordinatorEvent::LeaderAlive(message.fence, message.renewed)
        });
        if message.sent > 0 {
            if self.leader.borrow().is_some() {
                self.endpoint_list.on_relay();
            }
            let sent = Duration::from_millis(message.sent);
            self.quotas.set_share(message.floor, message.vms as usize, message.funded);
            if !message.past.is_empty() {
                let age = Duration::from_millis(message.past_age);
                self.quotas.on_former_spend(&message.past, message.past_whole, age);
            }
            self.quotas.on_ceilings(message.fence, &message.ceilings, sent);
        }
        self.scheduler.on_leader_state(&message.held);
    }
}
