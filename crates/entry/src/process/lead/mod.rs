//! The fleet's lease, and what its holder does: it gives orders to endpoints and grants tokens.
//!
//! Every VM runs this task. While another VM holds the lease it only watches that the holder is
//! heard of; when it is not, the lease's row is read, and taken over when it has lapsed.

mod places;
mod row;
mod tokens;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    EndpointId, FastMap, Fence, Incarnation, Lease, LeaseEvent, LeaseRow, Outcome, Proposal, Reply,
    Report, Terms, VmId,
};
use bytes::Bytes;
use log::{info, warn};
use tokio::sync::{mpsc, watch};

use crate::edge::clock::boot_now;
use crate::edge::pool::{Pool, read_all};
use crate::edge::{
    OrderHead, Protocol, Store, StoreError, StoreRow, StoreRows, StoreVersion, Table, Written,
};
use crate::process::board::Board;
use crate::process::listing::Listing;
use crate::process::metrics::Metrics;
use crate::process::settings::EntrySettings;
use crate::wire::{Held, Lead as LeadMessage, ListRow, Status};

use self::places::{Due, Places};
use self::row::{LEAD_KEY, LeadRow};
use self::tokens::Accounts;

/// How long a renewal of the lease lasts.
const TERM: Duration = Duration::from_millis(2_600);
/// How much longer a challenger waits.
const MARGIN: Duration = Duration::from_millis(500);
/// How often the lease is renewed.
const RENEW: Duration = Duration::from_millis(800);
/// The least time between renewals when a ceiling is held back until the next record.
const RENEW_SOON: Duration = Duration::from_millis(250);
/// How long after its last renewal a holder that cannot reach the store gives the lease up.
const RESIGN: Duration = Duration::from_millis(1_400);
/// How long the holder may be silent before its row is read.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How often the row is read while the holder is silent.
const LOOK: Duration = Duration::from_millis(700);
/// How long a call for the lease's row may take: several fit into its term.
const CALL_WAIT: Duration = Duration::from_millis(600);
/// How often the task looks at its clocks.
const TICK: Duration = Duration::from_millis(200);
/// What is added to the time between two givers of orders, for orders under way.
const ORDER_MARGIN: Duration = Duration::from_millis(400);
/// How long an endpoint may take to answer an order or a question.
const ANSWER_WAIT: Duration = Duration::from_millis(700);
/// The time left of the lease below which no order is sent.
const ORDER_LEAST: Duration = Duration::from_millis(200);
/// How often all that is held is told anew.
const TELL_ALL: Duration = Duration::from_secs(12);
/// The largest report of an endpoint, in bytes.
const REPORT_MOST: usize = 1 << 20;

/// A number for a connection to another VM; 0 is this VM itself.
pub(crate) type PeerId = u64;

/// What the task learns.
pub(crate) enum Event {
    /// A VM reports.
    Status(PeerId, Status),
    /// A VM's connection was accepted.
    Joined(PeerId, mpsc::UnboundedSender<LeadMessage>),
    /// A VM's connection has ended.
    Left(PeerId),
    /// An endpoint's listing has changed.
    Listed(EndpointId),
    /// The holder of the lease was heard of, and which version of its row it wrote last.
    Heard(Fence, StoreVersion),
    /// The holder has given the lease up.
    Resigned(Fence),
    /// The connection to the holder of the lease has ended.
    Lost,
    /// The row of the lease was read.
    Read(Result<StoreRows, StoreError>),
    /// A proposed row of the lease got an outcome.
    Wrote(Box<LeadRow>, Result<Written, StoreError>),
    /// An order got its answer.
    Replied(EndpointId, Reply),
    /// An endpoint reported, or did not.
    Reported(EndpointId, Option<Report>),
    /// The process is leaving.
    Leave,
}

/// What this task needs of the process.
pub(crate) struct Handles {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) pool: Pool,
    pub(crate) board: Arc<Board>,
    pub(crate) listing: Arc<Listing>,
    pub(crate) metrics: Arc<Metrics>,
    /// Where the holder of the lease listens.
    pub(crate) leader: watch::Sender<Option<SocketAddr>>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
}

/// The task's state.
pub(crate) struct Lead {
    handles: Handles,
    lease: Lease,
    /// The row as it was last read or written.
    row: Option<(StoreVersion, LeadRow)>,
    /// The store's clock less this VM's, in milliseconds, as of the store's last answer.
    offset: i64,
    heard: Duration,
    looked: Duration,
    calling: bool,
    leaving: bool,
    peers: FastMap<PeerId, Peer>,
    held: Option<Holding>,
}

impl Holding {
    /// Returns the time between two renewals.
    fn pause(&self) -> Duration {
        if self.accounts.wants_record() { RENEW_SOON } else { RENEW }
    }
}

struct Peer {
    sender: mpsc::UnboundedSender<LeadMessage>,
    told: Duration,
}

/// What exists while this VM holds the lease.
struct Holding {
    fence: Fence,
    orders_from: Duration,
    accounts: Accounts,
    places: Places,
    /// When a renewal was last tried, and when one last succeeded.
    tried: Duration,
    renewed: Duration,
    /// The version of the lease's row that was written last.
    row: StoreVersion,
    version: u64,
}

impl Lead {
    pub(crate) fn new(handles: Handles, life: Incarnation) -> Self {
        let terms = Terms { term: TERM, margin: MARGIN };
        let lease = Lease::with_terms(handles.settings.vm.clone(), life, terms);
        Self {
            handles,
            lease,
            row: None,
            offset: 0,
            heard: Duration::ZERO,
            looked: Duration::ZERO,
            calling: false,
            leaving: false,
            peers: FastMap::default(),
            held: None,
        }
    }

    /// Runs for as long as the process lives.
    pub(crate) async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
            }
            self.tell_changes();
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = boot_now();
        match event {
            Event::Status(peer, status) => self.on_status(peer, status, now),
            Event::Joined(peer, sender) => {
                self.peers.insert(peer, Peer { sender, told: Duration::ZERO });
            }
            Event::Left(peer) => {
                self.peers.remove(&peer);
            }
            Event::Listed(name) => self.on_listed(&name, now),
            Event::Heard(fence, version) => {
                if self.row.as_ref().is_none_or(|(_, row)| fence >= row.lease.fence) {
                    self.heard = now;
                    self.lease.handle(LeaseEvent::Renewed(fence, version, now));
                }
            }
            Event::Resigned(fence) => {
                info!(fence; "the lease's holder has given it up");
                self.lease.handle(LeaseEvent::Resigned(fence));
                self.heard = Duration::ZERO;
                self.looked = Duration::ZERO;
            }
            Event::Lost => {
                self.heard = Duration::ZERO;
                self.looked = Duration::ZERO;
            }
            Event::Read(result) => self.on_read(result, now),
            Event::Wrote(row, result) => self.on_wrote(*row, result, now),
            Event::Replied(name, reply) => {
                if let Some(held) = &mut self.held {
                    held.places.on_reply(&name, reply, now);
                }
                self.plan(now);
            }
            Event::Reported(name, report) => {
                if let Some(held) = &mut self.held {
                    held.places.on_report(&name, report, now);
                }
                self.plan(now);
            }
            Event::Leave => self.leave(),
        }
    }

    fn on_tick(&mut self) {
        let now = boot_now();
        self.lease.handle(LeaseEvent::Tick(now));
        if self.lease.held(now).is_none() {
            self.lose("the lease has lapsed");
        }
        self.ask_endpoints(now);
        self.plan(now);
        if self.calling {
            return;
        }
        match &self.held {
            Some(held) if now >= held.tried + held.pause() => self.renew(now),
            Some(_) => {}
            None if now >= self.heard + SILENCE && now >= self.looked + LOOK => self.look(now),
            None => {}
        }
    }

    /// Reads the lease's row.
    fn look(&mut self, now: Duration) {
        self.looked = now;
        self.calling = true;
        self.handles.metrics.store_calls.add(1, &[]);
        let (store, events) = (self.handles.store.clone(), self.handles.events.clone());
        tokio::spawn(async move {
            let result = match tokio::time::timeout(CALL_WAIT, store.read(Table::Own)).await {
                Ok(result) => result,
                Err(_) => Err(StoreError::NotDone("no answer in time".to_owned())),
            };
            // Only a process that is ending has no receiver.
            let _ = events.send(Event::Read(result));
        });
    }

    fn on_read(&mut self, result: Result<StoreRows, StoreError>, now: Duration) {
        self.calling = false;
        let rows = match result {
            Ok(rows) => rows,
            Err(error) => {
                self.handles.metrics.store_errors.add(1, &[]);
                warn!(error:%; "the lease cannot be read");
                return;
            }
        };
        self.set_clock(rows.now, now);
        let row = rows.rows.iter().find(|row| row.key == LEAD_KEY);
        self.observe(row, now);
    }

    fn set_clock(&mut self, store: Duration, now: Duration) {
        self.offset = store.as_millis() as i64 - now.as_millis() as i64;
    }

    /// Returns this VM's clock at a time of the store's, in milliseconds; never later than now.
    fn local_time(&self, store: u64, now: Duration) -> Duration {
        let millis = store as i64 - self.offset;
        Duration::from_millis(millis.max(0) as u64).min(now)
    }

    /// Takes in the lease's row as it is in the store.
    fn observe(&mut self, row: Option<&StoreRow>, now: Duration) {
        let read = row.and_then(|row| {
            let value = row.value.as_ref()?;
            match serde_json::from_slice::<LeadRow>(value) {
                Ok(lead) => Some((row.version, lead)),
                Err(error) => {
                    warn!(row = row.version, error:%; "the lease's row cannot be read");
                    None
                }
            }
        });
        if row.is_some() && read.is_none() {
            return;
        }
        let other = read.as_ref().filter(|(_, row)| row.lease.holder != self.handles.settings.vm);
        let leader = other.filter(|(_, row)| !row.lease.holder.is_empty()).map(|(_, row)| row.peer);
        self.handles.leader.send_if_modified(|known| {
            let changed = *known != leader;
            *known = leader;
            changed
        });
        self.row = read.clone();
        let seen = read.map(|(version, row)| (version, row.lease));
        if let Some(proposal) = self.lease.handle(LeaseEvent::Read(seen, now)) {
            self.propose(proposal, now);
        }
        if self.lease.held(now).is_none() {
            self.lose("another VM holds the lease");
        }
    }

    /// Proposes the next renewal; the row is as this VM wrote it last.
    fn renew(&mut self, now: Duration) {
        let seen = self.row.as_ref().map(|(version, row)| (*version, row.lease.clone()));
        match self.lease.handle(LeaseEvent::Read(seen, now)) {
            Some(proposal) => self.propose(proposal, now),
            None => self.lose("the lease is not this VM's"),
        }
    }

    fn propose(&mut self, proposal: Proposal, now: Duration) {
        let former = self.row.as_ref().map(|(_, row)| row);
        let clock = (now.as_millis() as i64 + self.offset).max(0) as u64;
        let offset = self.offset;
        let to_store = |at: Duration| (at.as_millis() as i64 + offset).max(0) as u64;
        let past = match &self.held {
            Some(held) => held.accounts.past(to_store),
            None => former.map_or_else(Default::default, |row| row.past.clone()),
        };
        let (noted, (pools, floors)) = match &mut self.held {
            Some(held) => (clock, held.accounts.next(now)),
            None => former.map_or_else(Default::default, |row| {
                (row.noted, (row.pools.clone(), row.floors.clone()))
            }),
        };
        let peer = self.handles.settings.peer;
        let orderer = match (&self.held, former) {
            // Whoever only claims the lease has given no orders under it.
            (None, Some(former)) => (former.orderer.clone(), former.orders_from),
            (None, None) => (VmId::default(), 0),
            (Some(held), _) => {
                let from = held.orders_from.as_millis() as i64 + self.offset;
                (self.handles.settings.vm.clone(), from.max(0) as u64)
            }
        };
        let (orderer, orders_from) = orderer;
        let row =
            LeadRow { lease: proposal.row, peer, noted, pools, floors, past, orderer, orders_from };
        let value = match serde_json::to_vec(&row) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                warn!(error:%; "the lease's row cannot be written");
                return;
            }
        };
        self.calling = true;
        if let Some(held) = &mut self.held {
            held.tried = now;
        }
        self.handles.metrics.store_calls.add(1, &[]);
        let (store, events) = (self.handles.store.clone(), self.handles.events.clone());
        tokio::spawn(async move {
            let writing = store.replace(LEAD_KEY, proposal.revision, value);
            let result = match tokio::time::timeout(CALL_WAIT, writing).await {
                Ok(result) => result,
                Err(_) => Err(StoreError::Perhaps("no answer in time".to_owned())),
            };
            // Only a process that is ending has no receiver.
            let _ = events.send(Event::Wrote(Box::new(row), result));
        });
    }

    fn on_wrote(&mut self, row: LeadRow, result: Result<Written, StoreError>, now: Duration) {
        self.calling = false;
        match result {
            Ok(Written::Done(version, clock)) => {
                self.set_clock(clock, now);
                self.lease.handle(LeaseEvent::Settled(Outcome::Committed(version), now));
                self.on_recorded(version, row, now);
            }
            Ok(Written::Differs(now_row)) => {
                self.lease.handle(LeaseEvent::Settled(Outcome::Conflict, now));
                info!("another VM has written the lease's row");
                self.observe(now_row.as_ref(), now);
            }
            Err(error) => {
                self.handles.metrics.store_errors.add(1, &[]);
                warn!(error:%, leading = self.held.is_some(); "the lease's row was not written");
                self.lease.handle(LeaseEvent::Settled(Outcome::Unknown, now));
                let unreachable = matches!(error, StoreError::NotDone(_));
                if unreachable
                    && self.held.as_ref().is_some_and(|held| now >= held.renewed + RESIGN)
                {
                    self.resign();
                    return;
                }
                // Whether it was written is read back before the next attempt.
                if self.lease.held(now).is_none() || !matches!(error, StoreError::NotDone(_)) {
                    self.look(now);
                }
            }
        }
    }

    /// Notes that a row of this VM is in the store.
    fn on_recorded(&mut self, version: u64, row: LeadRow, now: Duration) {
        let fence = row.lease.fence;
        if self.lease.held(now) != Some(fence) {
            self.row = Some((version, row));
            return;
        }
        if self.held.as_ref().is_none_or(|held| held.fence != fence) {
            let before = self.row.as_ref().map(|(_, row)| row.clone());
            self.take_over(fence, before, now);
        }
        if let Some(held) = &mut self.held {
            held.accounts.on_recorded(&row.floors);
            held.renewed = now;
            held.row = version;
        }
        self.row = Some((version, row));
    }

    fn take_over(&mut self, fence: Fence, before: Option<LeadRow>, now: Duration) {
        let settings = &self.handles.settings;
        let gap = settings.bounds.lease + ORDER_MARGIN;
        let orders_from = match &before {
            // Without a former row there is no former giver of orders.
            None => now,
            // This machine gave the last orders itself; its former wait holds on.
            Some(row) if row.orderer == settings.vm => {
                now.max(self.local_time(row.orders_from, now + gap))
            }
            Some(_) => now + gap,
        };
        let taken = before.as_ref().map(|_| now);
        let (noted, pools, floors, past) = before
            .map_or_else(Default::default, |row| (row.noted, row.pools, row.floors, row.past));
        let noted = self.local_time(noted, now);
        // No process has the life 0: whoever reports next is told of its former one.
        let past = past.into_iter().map(|(vm, past)| {
            let at = self.local_time(past.at, now);
            (vm, (0, at, past))
        });
        let past = past.collect();
        self.handles.metrics.leases.add(1, &[]);
        info!(fence, orders_in_ms = (orders_from - now).as_millis() as u64;
            "this VM holds the fleet's lease");
        let held = Holding {
            fence,
            orders_from,
            accounts: Accounts::new(settings.bounds, pools, noted, floors, past, now),
            places: Places::new(settings.bounds, taken),
            // What pools may give is recorded at once.
            tried: Duration::ZERO,
            renewed: now,
            row: 0,
            version: 0,
        };
        held.places.log_start();
        self.held = Some(held);
        self.handles.leader.send_replace(None);
        self.apply(now);
    }

    /// Gives up the lease while the others can still be told, so that one of them takes it soon.
    fn resign(&mut self) {
        self.tell_resigned();
        self.lease.handle(LeaseEvent::Yield);
        self.lose("the store cannot be reached");
    }

    fn tell_resigned(&self) {
        let Some(held) = &self.held else { return };
        let message = LeadMessage { fence: held.fence, resigned: true, ..LeadMessage::default() };
        for peer in self.peers.values() {
            // A connection that has ended says so by an event of its own.
            let _ = peer.sender.send(message.clone());
        }
    }

    fn lose(&mut self, why: &'static str) {
        let Some(held) = self.held.take() else { return };
        warn!(fence = held.fence, why; "this VM no longer holds the fleet's lease");
        // Followers look for the new holder when their connection ends.
        self.peers.retain(|id, _| *id == 0);
        self.looked = Duration::ZERO;
    }

    /// Puts the configuration and the list where they are used.
    fn apply(&mut self, now: Duration) {
        let (Some(held), Some(fleet)) = (&mut self.held, self.handles.board.fleet()) else {
            return;
        };
        if held.version == fleet.version {
            return;
        }
        held.version = fleet.version;
        held.accounts.apply(&fleet, now);
        for (name, listed) in self.handles.listing.endpoints() {
            held.places.on_listed(&name, Some(listed), &fleet, now);
        }
    }

    fn on_listed(&mut self, name: &EndpointId, now: Duration) {
        let (Some(held), Some(fleet)) = (&mut self.held, self.handles.board.fleet()) else {
            return;
        };
        let listed = self.handles.listing.endpoint(name);
        held.places.on_listed(name, listed, &fleet, now);
        self.plan(now);
    }

    fn on_status(&mut self, peer: PeerId, status: Status, now: Duration) {
        if !status.config_row.is_empty() {
            let row = StoreRow {
                key: "config".into(),
                value: Some(status.config_row.clone().into()),
                version: status.config,
            };
            self.handles.board.offer(&row, "another VM");
        }
        self.apply(now);
        let mut answer = self.news_for(&status);
        let Some(held) = &mut self.held else {
            self.send(peer, answer);
            return;
        };
        answer.fence = held.fence;
        answer.sent = status.sent;
        answer.renewed = held.row;
        answer.funded = held.version > 0 && held.accounts.funded();
        answer.ceilings = held.accounts.on_status(&status, now);
        if let Some((past, age)) = held.accounts.on_floors(&status, now) {
            answer.past = past;
            answer.past_age = age.as_millis() as u64;
        }
        answer.floor = held.accounts.floor(&status.vm);
        answer.vms = held.accounts.vms(now) as u32;
        let vm = VmId::new(&status.vm);
        held.places.on_unreached(&status.unreached, now);
        let missing = held.places.on_demand(&vm, status.demand, &status.adapters, now);
        if let Some(known) = self.peers.get_mut(&peer)
            && now >= known.told + TELL_ALL
        {
            known.told = now;
            answer.held = held.places.all(now);
        }
        self.send(peer, answer);
        if missing {
            self.plan(now);
        }
    }

    /// Returns what a VM does not know yet of the store.
    fn news_for(&self, status: &Status) -> LeadMessage {
        let mut news =
            LeadMessage { config: self.handles.board.row_version(), ..Default::default() };
        if status.config < news.config
            && let Some(row) = self.handles.board.row()
        {
            news.config_row = row.value.unwrap_or_default().to_vec();
        }
        let list = self.handles.listing.after(status.listed);
        news.listed = list.version;
        if status.listed < list.version {
            let rows = list.rows.into_iter().map(|row| ListRow {
                key: row.key.to_string(),
                version: row.version,
                removed: row.value.is_none(),
                value: row.value.unwrap_or_default().to_vec(),
            });
            news.rows = rows.collect();
        }
        news
    }

    fn send(&self, peer: PeerId, message: LeadMessage) {
        if let Some(peer) = self.peers.get(&peer) {
            // A connection that has ended says so by an event of its own.
            let _ = peer.sender.send(message);
        }
    }

    fn tell_changes(&mut self) {
        let Some(held) = &mut self.held else { return };
        let changes: Vec<Held> = held.places.changes(boot_now());
        if changes.is_empty() {
            return;
        }
        let message = LeadMessage { fence: held.fence, held: changes, ..Default::default() };
        for peer in self.peers.values() {
            // A connection that has ended says so by an event of its own.
            let _ = peer.sender.send(message.clone());
        }
    }

    /// Gives the orders that are planned, if this VM may give orders now.
    fn plan(&mut self, now: Duration) {
        let Some((_, until)) = self.lease.term() else { return };
        let (Some(held), Some(fleet)) = (&mut self.held, self.handles.board.fleet()) else {
            return;
        };
        let may_order = !self.leaving && now >= held.orders_from && now + ORDER_LEAST < until;
        let orders = held.places.plan(&fleet, may_order, now);
        let fence = held.fence;
        self.tell_changes();
        for order in orders {
            self.order(order, fence, until);
        }
    }

    fn order(&self, due: Due, fence: Fence, until: Duration) {
        let Some(held) = &self.held else { return };
        let Some(listed) = held.places.listed(&due.planned.endpoint) else { return };
        let address = listed.address;
        let (pool, protocol) = (self.handles.pool.clone(), self.handles.protocol.clone());
        let (events, metrics) = (self.handles.events.clone(), self.handles.metrics.clone());
        let holder = self.handles.settings.vm.clone();
        tokio::spawn(async move {
            let name = due.planned.endpoint.clone();
            let command = &due.planned.command;
            let head =
                OrderHead { endpoint: &name, command, number: due.number, holder: &holder, fence };
            // The lease is checked right before the order leaves.
            let reply = if boot_now() + ORDER_LEAST >= until {
                Reply::NotSent
            } else {
                let sent = pool.send(address, protocol.write_order(&head));
                match tokio::time::timeout(ANSWER_WAIT, sent).await {
                    Ok(Ok((response, lent))) => {
                        let (head, body) = response.into_parts();
                        if read_all(body, REPORT_MOST).await.is_ok() {
                            lent.keep(None);
                        }
                        protocol.read_reply(&head)
                    }
                    Ok(Err(crate::edge::pool::SendError::NotSent(_))) => Reply::NotSent,
                    Ok(Err(_)) | Err(_) => Reply::Lost,
                }
            };
            metrics.orders.add(1, &[]);
            info!(endpoint = name.as_str(), command:?, number = due.number, fence,
                why = due.planned.why.as_str(), reply:?; "an order was given");
            // Only a process that is ending has no receiver.
            let _ = events.send(Event::Replied(name, reply));
        });
    }

    /// Asks the endpoints whose report is needed.
    fn ask_endpoints(&mut self, now: Duration) {
        let Some(held) = &mut self.held else { return };
        for name in held.places.questions(now) {
            let Some(listed) = held.places.listed(&name) else { continue };
            let address = listed.address;
            let (pool, protocol) = (self.handles.pool.clone(), self.handles.protocol.clone());
            let events = self.handles.events.clone();
            tokio::spawn(async move {
                let report = ask(&pool, &*protocol, &name, address).await;
                if let Err(why) = &report {
                    info!(endpoint = name.as_str(), why:%; "an endpoint did not report");
                }
                // Only a process that is ending has no receiver.
                let _ = events.send(Event::Reported(name, report.ok()));
            });
        }
    }

    /// Gives the lease up, so that another VM can take it at once.
    fn leave(&mut self) {
        self.leaving = true;
        self.tell_resigned();
        let held = self.held.take();
        // The row is replaced as it was written last.
        let seen = self.row.as_ref().map(|(version, row)| (*version, row.lease.clone()));
        self.lease.handle(LeaseEvent::Read(seen, boot_now()));
        if let Some(proposal) = self.lease.handle(LeaseEvent::Release) {
            info!(fence = held.map_or(0, |held| held.fence); "this VM gives the fleet's lease up");
            let lease = LeaseRow { holder: VmId::default(), ..proposal.row };
            self.propose(Proposal { revision: proposal.revision, row: lease }, boot_now());
        }
        self.peers.retain(|id, _| *id == 0);
    }
}

async fn ask(
    pool: &Pool,
    protocol: &dyn Protocol,
    name: &EndpointId,
    address: SocketAddr,
) -> Result<Report, String> {
    let asking = async {
        let question = protocol.write_question(name);
        let (response, lent) =
            pool.send(address, question).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = read_all(response.into_body(), REPORT_MOST)
            .await
            .map_err(|error| format!("{error:?}"))?;
        lent.keep(None);
        if status != 200 {
            return Err(format!("status {status}"));
        }
        protocol.read_report(&body)
    };
    tokio::time::timeout(ANSWER_WAIT, asking).await.map_err(|_| "no answer".to_string())?
}
