//! Connections between VMs: relays report to the leader, the other VMs to a relay of their domain.
//! Each report gets a reply.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bamboocourse_decide::{
    ConfigStamp, EndpointId, Handover, Incarnation, LimitNumber, Relay, Roster, StorePosition,
    TableSource, VmId,
};
use futures_util::{SinkExt, StreamExt};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::edge::budget::{ByteBudget, Reservation};
use crate::edge::clock::boot_now;
use crate::edge::{StoreRow, Table, socket};
use crate::process::active_fleet::ActiveFleet;
use crate::process::asks::{Asks, RELAY_RETRY_DELAY, grant_message, permit_needs};
use crate::process::coordinator::{CoordinatorEvent, PeerId};
use crate::process::crashes::Crashes;
use crate::process::domain_words::DomainWords;
use crate::process::endpoint_list::{EndpointList, ListEntry, ListUpdate};
use crate::process::freshness::Freshness;
use crate::process::metrics::Metrics;
use crate::process::quotas::{Quotas, TokensRefused};
use crate::process::roster::{Position, RosterView};
use crate::process::scheduler::Scheduler;
use crate::process::settings::EntrySettings;
use crate::wire::{self, Ask, Body, FrameCodec, Grant, Lead, Received, Role, Status};

/// How often a VM reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between reports during a shortage, so that one report covers many requests.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(12);
/// What each VM that reports to this one adds to [`MIN_REPORT_INTERVAL`], so that the leader gets
/// no more reports in a shortage of a large fleet.
const MEMBER_REPORT_INTERVAL: Duration = Duration::from_millis(3);
/// How long the other end may be silent before the connection to it is dropped.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The most messages of one connection that the coordinator has not handled yet; the connection is
/// not read meanwhile.
const MAX_OPEN_MESSAGES: usize = 8;
/// The most asks of one connection that wait for tokens; further ones are refused.
const MAX_OPEN_ASKS: usize = 1_024;
/// The most asks of one connection that are read within [`ASK_SLOT`]: ten times those of the busiest
/// member, so that asks without end leave the processor to requests.
const MAX_ASKS_PER_SLOT: u32 = 125;
/// See [`MAX_ASKS_PER_SLOT`].
const ASK_SLOT: Duration = Duration::from_millis(100);
/// How long a connected VM may send no whole report before its connection is closed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before the next attempt after a connection to the leader failed.
///
/// The pause is short because granted tokens cover less than a second of demand when a pool is
/// scarce, and because a VM may take the lease right after it replied that it does not hold the
/// lease.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// The parts of a VM that its reports are made from and that take in the leader's messages.
pub(crate) struct LeaderLink {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) life: Incarnation,
    pub(crate) active_fleet: Arc<ActiveFleet>,
    pub(crate) domain_words: Arc<DomainWords>,
    pub(crate) endpoint_list: Arc<EndpointList>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) crashes: Arc<Crashes>,
    pub(crate) events: mpsc::UnboundedSender<CoordinatorEvent>,
    pub(crate) budget: ByteBudget,
    pub(crate) roster: Arc<RosterView>,
    pub(crate) freshness: Arc<Freshness>,
    pub(crate) asks: Asks,
    /// The leader's address; `None` if this VM leads or the leader is unknown.
    pub(crate) leader: watch::Receiver<Option<SocketAddr>>,
    /// Where another relay or the leader itself has told this relay that the leader is.
    pub(crate) found: Option<SocketAddr>,
    /// Whether this VM's own coordinator was the last one that this relay asked for the leader.
    pub(crate) asked_own: bool,
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
            let members = self.scheduler.members() as u32;
            let interval = MIN_REPORT_INTERVAL + MEMBER_REPORT_INTERVAL * members;
            self.due = self.due.min(Instant::now() + interval);
        }
        tokio::time::sleep_until(self.due).await;
        self.urgent = false;
        self.due = Instant::now() + REPORT_INTERVAL;
    }
}

/// Bounds the messages of a connection and their memory until the coordinator has handled them.
#[derive(Debug)]
pub(crate) struct OpenMessage {
    _permit: Option<OwnedSemaphorePermit>,
    _memory: Option<Reservation>,
}

/// What connections of other VMs need of this VM.
#[derive(Clone)]
pub(crate) struct PeerServices {
    pub(crate) events: mpsc::UnboundedSender<CoordinatorEvent>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Accepts connections of other VMs until the process ends.
pub(crate) async fn accept(listener: TcpListener, services: PeerServices, budget: ByteBudget) {
    let ids = AtomicU64::new(1);
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let id = ids.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, from, id, services.clone(), budget.clone()));
            }
            Err(error) => {
                warn!(error:%; "a VM's connection was not accepted");
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Passes a VM's reports to the coordinator and the coordinator's messages to the VM, and answers
/// what the VM asks of a relay.
async fn serve(
    stream: TcpStream,
    from: SocketAddr,
    id: PeerId,
    services: PeerServices,
    budget: ByteBudget,
) {
    if let Err(error) = socket::set_options(&stream) {
        warn!(from:%, error:%; "a VM's connection cannot be used");
        return;
    }
    let (sender, mut messages) = mpsc::unbounded_channel();
    let answers = sender.downgrade();
    // The receiver is gone only while the process shuts down.
    let _ = services.events.send(CoordinatorEvent::PeerConnected(id, sender));
    let mut framed = Framed::new(stream, FrameCodec::new(budget));
    let open_messages = Arc::new(Semaphore::new(MAX_OPEN_MESSAGES));
    let open_asks = Arc::new(Semaphore::new(MAX_OPEN_ASKS));
    let mut heard = Instant::now();
    let mut pace = AskPace::new();
    loop {
        let reading = async {
            pace.wait().await;
            next_message(&mut framed, &open_messages).await
        };
        // Replies go out before more is read, so that they do not pile up.
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(heard + REPORT_TIMEOUT) => {
                info!(from:%; "a VM sends no reports");
                break;
            }
            message = messages.recv() => match message {
                Some(message) => {
                    if framed.send(message).await.is_err() {
                        break;
                    }
                }
                None => break,
            },
            (frame, permit) = reading => match frame {
                Some(Ok(Received { body: Body::Status(status), memory })) => {
                    heard = Instant::now();
                    let open = Some(OpenMessage { _permit: permit, _memory: memory });
                    let event = CoordinatorEvent::Status(id, Box::new(status), open);
                    let _ = services.events.send(event);
                }
                Some(Ok(Received { body: Body::Ask(ask), memory })) if ask.workspace.is_empty() => {
                    pace.on_ask();
                    let open = OpenMessage { _permit: permit, _memory: memory };
                    let event = CoordinatorEvent::PermitAsked(id, Box::new(ask), Some(open));
                    let _ = services.events.send(event);
                }
                Some(Ok(Received { body: Body::Ask(ask), .. })) => {
                    pace.on_ask();
                    if let Some(sender) = answers.upgrade() {
                        answer_ask(ask, sender, &open_asks, &services);
                    }
                }
                Some(Ok(Received { body: Body::Refund(refund), .. })) => {
                    services.quotas.refund_own(&refund.workspace, refund.pool);
                }
                Some(Ok(Received { body: Body::Lead(_) | Body::Grant(_), .. })) | None => break,
                Some(Err(error)) => {
                    info!(from:%, error:%; "a VM's connection has failed");
                    break;
                }
            },
        }
    }
    let _ = services.events.send(CoordinatorEvent::PeerDisconnected(id));
}

/// The asks of a connection that were read in the current slot of time.
struct AskPace {
    slot: Instant,
    asks: u32,
}

impl AskPace {
    fn new() -> Self {
        Self { slot: Instant::now(), asks: 0 }
    }

    /// Counts an ask that was read.
    fn on_ask(&mut self) {
        if self.slot.elapsed() >= ASK_SLOT {
            *self = Self::new();
        }
        self.asks += 1;
    }

    /// Waits until another message may be read; may be cancelled and called again.
    async fn wait(&self) {
        if self.asks >= MAX_ASKS_PER_SLOT {
            tokio::time::sleep_until(self.slot + ASK_SLOT).await;
        }
    }
}

/// Reads the next message once the coordinator has handled enough of the former ones; may be
/// cancelled and called again.
async fn next_message(
    framed: &mut Framed<TcpStream, FrameCodec>,
    open_messages: &Arc<Semaphore>,
) -> (Option<std::io::Result<Received>>, Option<OwnedSemaphorePermit>) {
    // The semaphore is never closed.
    let permit = open_messages.clone().acquire_owned().await.ok();
    (framed.next().await, permit)
}

/// Answers a member's ask, at once if the tokens are there or too many asks wait.
fn answer_ask(
    ask: Ask,
    sender: mpsc::UnboundedSender<Body>,
    open_asks: &Arc<Semaphore>,
    services: &PeerServices,
) {
    services.metrics.asks.add(1, &[]);
    let Ok(permit) = open_asks.clone().try_acquire_owned() else {
        let refused = TokensRefused::Unavailable(RELAY_RETRY_DELAY);
        // The receiver is gone if the connection has ended.
        let _ = sender.send(grant_message(ask.id, Err(refused), None));
        return;
    };
    let (quotas, scheduler) = (services.quotas.clone(), services.scheduler.clone());
    tokio::spawn(async move {
        let timeout = Duration::from_millis(u64::from(ask.timeout));
        let admitting = quotas.admit_for_member(&ask.workspace, ask.tokens, timeout);
        let result = tokio::select! {
            result = admitting => result,
            () = sender.closed() => return,
        };
        let permits = match permit_needs(&ask).filter(|_| result.is_ok()) {
            Some(needs) => {
                if scheduler.seek_permit(&needs) {
                    quotas.ask_permit(needs.clone()).await;
                }
                scheduler.pass_on_permit(needs)
            }
            None => None,
        };
        let _ = sender.send(grant_message(ask.id, result, permits));
        drop(permit);
    });
}

/// Where a VM reports next.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Target {
    /// To its own coordinator: it leads, or knows no other VM.
    Own,
    /// To another VM, as a relay, a member or a candidate.
    Other(SocketAddr, Position),
}

/// How a connection to another VM ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkEnd {
    /// The VM was never what this VM needs.
    Refused,
    /// The VM was, until the connection ended.
    Lost,
    /// This VM's own position has changed.
    Moved,
    /// This VM offers itself as a relay.
    Offers,
}

impl LeaderLink {
    /// Reports until the process ends, and looks for another VM to report to when one is lost.
    pub(crate) async fn run(mut self) {
        let (sender, mut messages) = mpsc::unbounded_channel();
        let _ = self.events.send(CoordinatorEvent::PeerConnected(0, sender));
        // The relays and seeds that did not answer since the last one that did.
        let mut tried: Vec<SocketAddr> = Vec::new();
        loop {
            match self.next_target(&mut tried) {
                Target::Own => self.report_own(&mut messages).await,
                Target::Other(address, position) => {
                    let end = self.report_to(address, position).await;
                    if self.roster.is_relay() {
                        // Only the leader answers a candidate.
                        let is_leader = position == Position::Candidate && end != LinkEnd::Refused;
                        self.found = is_leader.then_some(address);
                        if is_leader {
                            tried.clear();
                            continue;
                        }
                    }
                    match end {
                        LinkEnd::Moved | LinkEnd::Offers => {
                            tried.clear();
                            continue;
                        }
                        LinkEnd::Lost => tried.clear(),
                        LinkEnd::Refused => {}
                    }
                    tried.push(address);
                    if position == Position::Member || (end == LinkEnd::Lost && self.has_relay()) {
                        continue;
                    }
                    let is_lost = position != Position::Candidate
                        || !self.roster.is_relay()
                        || self.leader.borrow().is_some();
                    if is_lost {
                        let _ = self.events.send(CoordinatorEvent::LeaderLost);
                    }
                    // The lease's row soon names the new leader; if the leader stays the same, the
                    // connection is tried again.
                    let pause = match position {
                        Position::Relay if end == LinkEnd::Refused => RECONNECT_DELAY / 2,
                        Position::Relay => RECONNECT_DELAY,
                        Position::Candidate | Position::Member => {
                            RECONNECT_DELAY / 2 + self.roster.jitter(RECONNECT_DELAY)
                        }
                    };
                    let _ = tokio::time::timeout(pause, self.leader.changed()).await;
                }
            }
        }
    }

    /// Returns where this VM reports next. `tried` holds the addresses that did not answer.
    fn next_target(&mut self, tried: &mut Vec<SocketAddr>) -> Target {
        let leader = *self.leader.borrow_and_update();
        if self.roster.is_relay() {
            let Some(known) = self.found.or(leader) else { return self.next_choice(tried) };
            // The lease's row tells the leader, who may soon be back. A VM that cannot read the row
            // asks the other relays in between. It asks as a candidate: a report gives back tokens
            // that only the leader may take.
            if tried.last() == Some(&known) {
                let choices = self.roster.leader_choices();
                match choices.into_iter().find(|address| !tried.contains(address)) {
                    Some(other) => return Target::Other(other, Position::Candidate),
                    None => tried.clear(),
                }
            }
            return Target::Other(known, Position::Relay);
        }
        let relays = self.roster.choices();
        let leader = leader.or_else(|| self.roster.roster().leader_address());
        if let Some(leader) = leader
            && self.roster.is_short()
            && !tried.contains(&leader)
        {
            return Target::Other(leader, Position::Candidate);
        }
        let next = relays.iter().find(|relay| !tried.contains(&relay.peer));
        if let Some(relay) = next {
            return Target::Other(relay.peer, Position::Member);
        }
        tried.retain(|address| !relays.iter().any(|relay| relay.peer == *address));
        if let Some(leader) = leader {
            return Target::Other(leader, Position::Candidate);
        }
        let seeds = self.roster.seeds();
        match seeds.iter().find(|seed| !tried.contains(seed)) {
            Some(seed) => Target::Other(*seed, Position::Candidate),
            None => {
                tried.clear();
                Target::Own
            }
        }
    }

    /// Returns where a relay that knows no leader asks for it: at its own coordinator, which may lead
    /// by now, and at another relay in turn.
    fn next_choice(&mut self, tried: &mut Vec<SocketAddr>) -> Target {
        let choices = self.roster.leader_choices();
        let untried = choices.into_iter().find(|address| !tried.contains(address));
        if untried.is_none() {
            tried.clear();
        }
        match untried {
            Some(other) if self.asked_own => {
                self.asked_own = false;
                Target::Other(other, Position::Candidate)
            }
            _ => {
                self.asked_own = true;
                Target::Own
            }
        }
    }

    /// Returns whether this VM's domain has another VM that is a relay.
    fn has_relay(&self) -> bool {
        !self.roster.choices().is_empty()
    }

    /// Reports to this VM's own coordinator until another VM is known to report to.
    async fn report_own(&mut self, messages: &mut mpsc::UnboundedReceiver<Body>) {
        let mut timer = ReportTimer::new(self);
        let mut moved = self.roster.subscribe();
        loop {
            tokio::select! {
                changed = self.leader.changed() => {
                    if changed.is_err() || self.leader.borrow().is_some() {
                        return;
                    }
                }
                _ = moved.changed(), if !self.roster.is_relay() => {
                    if self.has_relay() {
                        return;
                    }
                }
                () = timer.wait() => {}
                request = self.asks.next(), if self.roster.is_relay() => {
                    if let Body::Ask(ask) = request {
                        let event = CoordinatorEvent::PermitAsked(0, Box::new(ask), None);
                        let _ = self.events.send(event);
                    }
                    continue;
                }
                message = messages.recv() => {
                    match message {
                        Some(Body::Lead(message)) => {
                            self.apply(&message);
                            // Others may know the leader.
                            let leads = message.role() == Role::Leader;
                            if !leads
                                && self.roster.is_relay()
                                && !self.roster.leader_choices().is_empty()
                            {
                                return;
                            }
                        }
                        Some(Body::Grant(grant)) => self.on_grant(&grant),
                        _ => {}
                    }
                    continue;
                }
            }
            let position = match self.roster.position() {
                Position::Relay => Position::Relay,
                Position::Candidate | Position::Member => Position::Candidate,
            };
            let mut status = self.status(ConfigStamp::MAX, position, true);
            status.heard = status.sent;
            // The coordinator shares this VM's limits.
            self.scheduler.report_limits(&mut status, LimitNumber::MAX);
            let _ = self.events.send(CoordinatorEvent::Status(0, Box::new(status), None));
            if position == Position::Candidate {
                // Without another VM, the seeds and the lease's row are tried again.
                let pause = RECONNECT_DELAY + self.roster.jitter(RECONNECT_DELAY);
                let _ = tokio::time::timeout(pause, moved.changed()).await;
                return;
            }
        }
    }

    /// Reports to another VM until it falls silent or is not what this VM needs.
    async fn report_to(&mut self, address: SocketAddr, position: Position) -> LinkEnd {
        let stream = match socket::connect(self.settings.local, address).await {
            Ok(stream) => stream,
            Err(error) => {
                info!(vm:% = address, position:?, error:%; "a VM to report to cannot be reached");
                return LinkEnd::Refused;
            }
        };
        info!(vm:% = address, position:?; "this VM reports to another one");
        let mut framed = Framed::new(stream, FrameCodec::new(self.budget.clone()));
        let open_messages = Arc::new(Semaphore::new(MAX_OPEN_MESSAGES));
        let mut timer = ReportTimer::new(self);
        let mut moved = self.roster.subscribe();
        let was_relay = self.roster.is_relay();
        let mut heard = Instant::now();
        let mut end = LinkEnd::Refused;
        // The other VM's configuration; the maximum, so that no row is sent, until the other VM has
        // told it.
        let mut known = ConfigStamp::MAX;
        // Which words on failure domains the other VM knows; `None` until it has told it.
        let mut known_domains = None;
        let mut full = true;
        // The number of the last end of an endpoint that the other VM was told.
        let mut told_ends = 0;
        // The number of the last change of a limit that the other VM was told.
        let mut told_limits = 0;
        self.scheduler.on_new_upper();
        // The leader's clock in its last reply, and this VM's clock when the reply arrived.
        let mut clock: Option<(u64, Duration)> = None;
        loop {
            tokio::select! {
                changed = self.leader.changed(), if position != Position::Member => {
                    if changed.is_err() || *self.leader.borrow() != Some(address) {
                        return end;
                    }
                    continue;
                }
                _ = moved.changed(), if !was_relay => {
                    if self.roster.is_relay() {
                        return LinkEnd::Moved;
                    }
                    continue;
                }
                request = self.asks.next(),
                    if end == LinkEnd::Lost && position != Position::Candidate =>
                {
                    // What is given back was granted by a relay, not by the leader.
                    if position == Position::Relay && matches!(request, Body::Refund(_)) {
                        continue;
                    }
                    if framed.send(request).await.is_err() {
                        return end;
                    }
                    continue;
                }
                (frame, permit) = next_message(&mut framed, &open_messages) => {
                    let (message, memory) = match frame {
                        Some(Ok(Received { body: Body::Lead(message), memory })) => (message, memory),
                        Some(Ok(Received { body: Body::Grant(grant), .. })) => {
                            heard = Instant::now();
                            self.on_grant(&grant);
                            continue;
                        }
                        Some(Ok(_)) | None => {
                            info!(vm:% = address, position:?; "the other VM has closed the connection");
                            return end;
                        }
                        Some(Err(error)) => {
                            info!(vm:% = address, position:?, error:%;
                                "the connection to another VM has failed");
                            return end;
                        }
                    };
                    heard = Instant::now();
                    if message.tells_config {
                        known = message.config_stamp();
                        known_domains = Some(message.domains_known);
                    }
                    self.apply(&message);
                    let open = OpenMessage { _permit: permit, _memory: memory };
                    // The receiver is gone only while the process shuts down.
                    let _ = self.events.send(CoordinatorEvent::LinkMessage(open));
                    // Also of a leader that this VM knows from others than the lease's row.
                    if message.role() == Role::Leader && message.sent > 0 {
                        self.on_tables_told(&message, TableSource::Leader);
                    }
                    if message.clock > 0 {
                        clock = Some((message.clock, boot_now()));
                    }
                    let wanted = match position {
                        Position::Member => Role::Relay,
                        Position::Relay | Position::Candidate => Role::Leader,
                    };
                    if message.role() != wanted || message.resigned {
                        info!(vm:% = address, position:?, role:? = message.role();
                            "the other VM is not the one to report to");
                        return end;
                    }
                    if position == Position::Candidate {
                        if message.appointed {
                            self.roster.set_position(Position::Relay, "the leader has appointed it");
                            return LinkEnd::Moved;
                        }
                        if self.has_relay() {
                            return LinkEnd::Lost;
                        }
                    } else if end == LinkEnd::Refused {
                        if position == Position::Member {
                            self.roster.set_position(Position::Member, "a relay serves it");
                        }
                        for ask in self.asks.repeat() {
                            if framed.send(ask).await.is_err() {
                                return LinkEnd::Lost;
                            }
                        }
                    }
                    end = LinkEnd::Lost;
                    continue;
                }
                () = timer.wait() => {}
            }
            if position == Position::Member && self.roster.offers_itself() {
                return LinkEnd::Offers;
            }
            if heard.elapsed() > LINK_TIMEOUT {
                info!(vm:% = address, position:?, silent_ms = heard.elapsed().as_millis() as u64;
                    "the other VM is silent");
                return end;
            }
            let mut status = self.status(known, position, full);
            (status.domains_known, status.domains) = self.domain_words.tell(known_domains);
            status.heard = clock.map_or(0, |(leader, at)| {
                leader + (boot_now().saturating_sub(at)).as_millis() as u64
            });
            told_limits = self.scheduler.report_limits(&mut status, told_limits);
            told_ends = self.crashes.report(&mut status, told_ends, full);
            full = false;
            if framed.send(Body::Status(status)).await.is_err() {
                return end;
            }
        }
    }

    /// Adds the permits of another VM's answer to an ask, and passes it to the request that asked.
    fn on_grant(&mut self, grant: &Grant) {
        if let (Some(permits), Some(asked)) = (&grant.permits, self.asks.asked(grant)) {
            self.scheduler.on_permits(std::slice::from_ref(permits), asked);
        }
        self.asks.on_grant(grant);
    }

    /// Returns this VM's report for a VM that has the configuration `known`.
    ///
    /// `full` adds what a new leader does not know yet.
    fn status(&self, known: ConfigStamp, position: Position, full: bool) -> Status {
        let mut status = Status {
            vm: self.settings.vm.to_string(),
            domain: self.settings.domain.to_string(),
            life: self.life,
            sent: boot_now().as_millis() as u64,
            peer: self.settings.peer.to_string(),
            roster: self.roster.version(),
            ..Status::default()
        };
        let stamp = self.active_fleet.stamp();
        status.set_config_stamp(stamp);
        if stamp > known {
            status.config_row = self.active_fleet.packed_row();
        }
        status.wants_config = stamp == ConfigStamp::NONE && self.roster.is_relay();
        status.set_listed_position(self.endpoint_list.version());
        status.set_position(match position {
            Position::Candidate => wire::Position::Candidate,
            Position::Member => wire::Position::Member,
            Position::Relay => wire::Position::ReportingRelay,
        });
        if position == Position::Candidate {
            return Status { capacity: self.settings.capacity, ..status };
        }
        let (demand, adapters) = self.scheduler.take_demand();
        let unreached = self.scheduler.take_unreachable();
        let leaving = self.scheduler.leaving();
        let status = Status { demand, adapters, unreached, leaving, ..status };
        if position == Position::Member {
            return status;
        }
        Status {
            members: self.scheduler.members() as u32,
            asked: self.quotas.asked_tokens(),
            spends: self.quotas.spend_reports(full),
            floors: self.quotas.floor_spends(),
            last: self.quotas.is_settled(),
            ..status
        }
    }

    /// Applies a message of the leader, of a relay, or of a VM that knows others.
    fn apply(&self, message: &Lead) {
        if let Some(roster) = &message.roster {
            self.roster.update(&read_roster(roster));
        }
        // Before the configuration, whose position says up to where the table is known.
        self.domain_words.on_told(&message.domains, "another VM");
        if !message.config_row.is_empty() {
            self.active_fleet.offer_packed(&message.config_row, message.config_stamp().row);
        }
        let listed = message.listed_position();
        if listed > StorePosition::START {
            let entries = message.rows.iter().map(|row| ListEntry {
                row: StoreRow {
                    key: row.key.as_str().into(),
                    value: (!row.removed).then(|| row.value.clone().into()),
                    version: StorePosition::new(row.era, row.version),
                },
                restored: row.restored,
            });
            let entries = entries.collect();
            let live = message.whole.then(|| message.live.iter().map(EndpointId::new).collect());
            self.endpoint_list.on_relayed(&ListUpdate {
                entries,
                version: listed,
                told: listed,
                live,
                vanished: message.vanished.iter().map(EndpointId::new).collect(),
            });
        }
        for (vm, cause) in self.crashes.on_told(message) {
            // The receiver is gone only while the process shuts down.
            let _ = self.events.send(CoordinatorEvent::TrialAllowed(vm, cause));
        }
        self.apply_limits(message);
        match message.role() {
            Role::None => {}
            Role::Relay => self.apply_relay(message),
            Role::Leader => self.apply_leader(message),
        }
    }

    /// Records until when a reply to this VM's report tells all changes of the store's tables.
    ///
    /// The reply was made after the report, so its sender's copy is as new as its age says at the time
    /// of the report, or newer.
    fn on_tables_told(&self, message: &Lead, source: TableSource) {
        if message.listed_position().era < self.endpoint_list.version().era {
            // The sender has not heard of the store's era yet.
            return;
        }
        let ages = [(Table::Operator, message.config_age), (Table::Endpoints, message.list_age)];
        for (table, age) in ages {
            let Some(age) = age else { continue };
            let at = Duration::from_millis(message.sent.saturating_sub(age));
            self.freshness.on_told(table, source, at);
            if table == Table::Endpoints && source == TableSource::Leader {
                self.endpoint_list.on_told(&self.freshness.age(table));
            }
        }
    }

    /// Applies the limits that endpoints name and the permits for this VM.
    fn apply_limits(&self, message: &Lead) {
        let from = match message.role() {
            Role::Leader => "the leader",
            Role::Relay => "a relay",
            Role::None => "another VM",
        };
        self.scheduler.on_limits(&message.limits, &[], from);
        let sent = Duration::from_millis(message.sent);
        if message.role() == Role::Leader && message.sent > 0 {
            self.scheduler.on_leader_reply(sent);
        }
        // Permits that this VM did not ask for now are passed on for requests that wait.
        let asked = if message.sent > 0 { sent } else { boot_now() };
        if self.scheduler.on_permits(&message.permits, asked) && self.roster.is_relay() {
            // The receiver is gone only while the process shuts down.
            let _ = self.events.send(CoordinatorEvent::PermitsCame);
        }
    }

    /// Applies what only a relay tells its members.
    fn apply_relay(&self, message: &Lead) {
        // The receiver is gone only while the process shuts down.
        let _ = self.events.send(CoordinatorEvent::RelayAlive);
        self.scheduler.on_leader_heard();
        if message.sent > 0 {
            self.on_tables_told(message, TableSource::Relay);
            self.quotas.set_share(0, message.vms as usize, message.funded);
        }
        self.scheduler.on_leader_state(&message.held);
    }

    /// Applies what only the leader tells.
    fn apply_leader(&self, message: &Lead) {
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
        } else if message.fence == 0 {
            // A candidate's reply carries no lease.
            CoordinatorEvent::RelayAlive
        } else {
            CoordinatorEvent::LeaderAlive(message.fence, message.renewed_position())
        });
        self.scheduler.on_leader_heard();
        if message.sent > 0 {
            let sent = Duration::from_millis(message.sent);
            self.quotas.set_share(message.floor, message.vms as usize, message.funded);
            if !message.past.is_empty() {
                let age = Duration::from_millis(message.past_age);
                self.quotas.on_former_spend(&message.past, message.past_whole, age);
            }
            self.quotas.on_ceilings(message.fence, &message.ceilings, sent);
        }
        if !message.held.is_empty() {
            let _ = self.events.send(CoordinatorEvent::News(message.held.clone()));
        }
        self.scheduler.on_leader_state(&message.held);
    }
}

/// Reads a roster; leaves out relays whose address cannot be read.
fn read_roster(roster: &wire::Roster) -> Roster {
    let relays = roster.relays.iter().filter_map(|relay| {
        let peer = relay.peer.parse().ok()?;
        Some(Relay { vm: VmId::new(&relay.vm), domain: (&relay.domain).into(), peer })
    });
    let target = roster.target as usize;
    let leader = VmId::new(&roster.leader);
    Roster { version: roster.version, relays: relays.collect(), target, leader }
}
