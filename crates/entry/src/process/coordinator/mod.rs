//! The fleet's coordinator: competes for the fleet's lease and, while it holds the lease, orders
//! models onto endpoints and grants tokens to the VMs.
//!
//! Every VM runs this task, and the VM that holds the lease is the leader. A follower only checks
//! that the leader is alive. When the leader falls silent, a follower reads the lease's row and
//! claims the lease once it has expired.

mod lease;
mod news;
mod orders;
mod placement;
pub(crate) mod row;
mod tokens;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    Cause, ConfigStamp, DomainId, EndpointId, FastMap, Fence, Handover, Incarnation, Lease,
    LeaseEvent, LeaseTerms, LimitNumber, OrderReply, PermitRole, QuietPeriod, Relay,
    RelayAppointer, Roster, StoreEra, StorePosition, VmId,
};
use log::info;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::edge::pool::Pool;
use crate::edge::{Protocol, Store, StoreError, StoreRows, Table, WriteOutcome};
use crate::process::active_fleet::ActiveFleet;
use crate::process::asks::{permit_grant, permit_needs};
use crate::process::crashes::{Crashes, ToldCauses, push_trial};
use crate::process::domain_words::DomainWords;
use crate::process::endpoint_list::{EndpointList, ListEntry, ListUpdate};
use crate::process::freshness::Freshness;
use crate::process::link::OpenMessage;
use crate::process::metrics::Metrics;
use crate::process::quotas::Quotas;
use crate::process::roster::RosterView;
use crate::process::scheduler::Scheduler;
use crate::process::settings::EntrySettings;
use crate::wire::{
    Ask, Body, EndpointLimit, Held, Lead as LeadMessage, ListRow, Position, Role, Status,
};

use self::lease::{CLAIM_DELAY, CLAIM_MARGIN, LEADER_TIMEOUT, LEASE_TERM, READ_INTERVAL};
use self::news::{NewsLog, NewsNumber};
use self::orders::MIN_ORDER_TERM;
use self::placement::{EndpointPlacement, IssuedOrder, ReportReply};
use self::row::LeaderRow;
use self::tokens::TokenPools;

/// How often the leader renews its lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// The time between renewals while a token ceiling cannot rise before the next record, and after a
/// renewal that failed.
const URGENT_RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// How often the task checks its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The leader plans orders for at most one part in this many of the time, so that planning for many
/// endpoints leaves it time for the relays.
const PLAN_TIME_DIVISOR: u32 = 16;
/// The longest time between two plans while something has changed.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// The least time between two messages that tell only what is in doubt, or held back for a moment: while many endpoints
/// end, that changes with each report.
const DOUBT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a relay's count of its members holds.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(8);
/// How long after a report that lacks a model or an adapter a member is told changes at once.
const WAITING_TIME: Duration = Duration::from_secs(1);

/// The number of a connection from another VM; 0 stands for this VM's own reports.
pub(crate) type PeerId = u64;

/// An event that the coordinator handles.
pub(crate) enum CoordinatorEvent {
    /// A VM sent its report; the guard is dropped once the report is handled.
    Status(PeerId, Box<Status>, Option<OpenMessage>),
    /// A relay asks the leader for a permit; the guard is dropped once it is answered.
    PermitAsked(PeerId, Box<Ask>, Option<OpenMessage>),
    /// A VM connected; messages to the VM go through the sender.
    PeerConnected(PeerId, mpsc::UnboundedSender<Body>),
    /// A VM's connection ended.
    PeerDisconnected(PeerId),
    /// The leader told this VM, a relay, what endpoints hold.
    News(Vec<Held>),
    /// This VM, a relay, got permits for endpoints that name limits.
    PermitsCame,
    /// A VM that reports to this relay may try one request with a part of prompts.
    TrialAllowed(VmId, Cause),
    /// A relay answered this VM's report.
    RelayAlive,
    /// The events of a message of the leader or a relay precede this one.
    LinkMessage(OpenMessage),
    /// The feed of the list of endpoints has ended: the store is away, for a moment or longer.
    StoreLost,
    /// The list of endpoints can be followed again.
    StoreBack,
    /// An endpoint's entry in the list of endpoints changed.
    EndpointChanged(EndpointId),
    /// The leader sent a message, with the version of the lease's row that it wrote last.
    LeaderAlive(Fence, StorePosition),
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
    /// The report of an endpoint that was requested at a time has come, or will not come.
    EndpointReported(EndpointId, Duration, ReportReply),
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
    pub(crate) domain_words: Arc<DomainWords>,
    pub(crate) endpoint_list: Arc<EndpointList>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) crashes: Arc<Crashes>,
    pub(crate) roster: Arc<RosterView>,
    pub(crate) freshness: Arc<Freshness>,
    pub(crate) metrics: Arc<Metrics>,
    /// The address where the leader accepts VMs; `None` if this VM leads or the leader is unknown.
    pub(crate) leader: watch::Sender<Option<SocketAddr>>,
    pub(crate) events: mpsc::UnboundedSender<CoordinatorEvent>,
}

impl Handles {
    /// Says in a reply how old this VM's copies of the store's tables are.
    fn set_ages(&self, reply: &mut LeadMessage) {
        reply.config_age = self.freshness.age_ms(Table::Operator);
        reply.list_age = self.freshness.age_ms(Table::Endpoints);
    }
}

/// The state of the coordinator's task.
pub(crate) struct Coordinator {
    handles: Handles,
    lease: Lease,
    /// The lease's row as last read or written, with its version.
    row: Option<(StorePosition, LeaderRow)>,
    /// The era in which the lease's row was last read or written, or found absent.
    row_era: StoreEra,
    /// The store's clock minus this VM's boot clock at the store's last response, in milliseconds.
    clock_offset: i64,
    /// When the leader's last message arrived; zero once the leader resigned or was lost.
    leader_heard: Duration,
    /// When the last read of the lease's row began.
    last_read: Duration,
    /// Whether a read or write of the lease's row is in progress.
    store_busy: bool,
    /// When the first of the reads and writes of the lease's row failed that have failed since the last
    /// one that was answered.
    store_silent: Option<Duration>,
    leaving: bool,
    /// Whether members may rely on this relay, as it last told them.
    told_current: Option<bool>,
    peers: FastMap<PeerId, Peer>,
    /// What endpoints hold, as this VM decided or was told.
    news: NewsLog,
    /// When the next plan may be made, and whether one is due.
    next_plan: Instant,
    plan_due: bool,
    /// The held parts of prompts that the VMs that report to this one were last told.
    told_causes: ToldCauses,
    /// When they were told.
    told_causes_at: Duration,
    /// Present while this VM holds the lease.
    leadership: Option<Leadership>,
    /// The fence and handover of the last leader that resigned, and when its message arrived.
    handover: Option<(Fence, Handover, Duration)>,
    started: Duration,
}

impl Leadership {
    /// Returns how many VMs report to this one or to a relay that does.
    fn active_vms(&mut self, now: Duration) -> u32 {
        self.members.retain(|_, (at, _)| now < *at + MEMBERS_TIMEOUT);
        self.members.values().map(|(_, members)| members + 1).sum::<u32>().max(1)
    }

    /// Returns the time between two renewals.
    fn renew_interval(&self) -> Duration {
        if self.write_failed || self.token_pools.wants_record() {
            URGENT_RENEW_INTERVAL
        } else {
            RENEW_INTERVAL
        }
    }
}

/// A connected VM.
struct Peer {
    sender: mpsc::UnboundedSender<Body>,
    /// The VM's name, by its last report; empty before the first.
    vm: VmId,
    /// What the VM is to this one, by its last report; `None` before the first.
    position: Option<Position>,
    /// The last change of what endpoints hold that the VM was told.
    told: NewsNumber,
    /// The configuration and the position of the list that the VM knows or was sent.
    config: ConfigStamp,
    listed: StorePosition,
    /// The last change of an endpoint's limit that the VM was told.
    limits: LimitNumber,
    /// Until when the VM is told changes at once, as its callers lack a model or an adapter.
    waits_until: Duration,
}

impl Peer {
    /// Returns whether the VM reports to this one as the leader.
    fn is_relay(&self) -> bool {
        self.position != Some(Position::Member)
    }
}

/// The state that exists only while this VM holds the lease.
struct Leadership {
    fence: Fence,
    /// The fencing number before all changes of the store's era.
    first_fence: Fence,
    /// Since when the store has a new era in which this VM has not claimed the lease yet.
    paused: Option<Duration>,
    quiet_period: QuietPeriod,
    relays: RelayAppointer,
    /// For each relay, when it last reported and how many VMs reported to it.
    members: FastMap<VmId, (Duration, u32)>,
    token_pools: TokenPools,
    placement: EndpointPlacement,
    /// When the last write of the lease's row began.
    last_attempt: Duration,
    /// Whether the last write of the lease's row failed.
    write_failed: bool,
    /// When the last successful write of the lease's row was confirmed.
    last_renewal: Duration,
    /// The version of the lease's row that this VM wrote last.
    row_version: StorePosition,
    /// The version of the configuration that was applied last; 0 before the first.
    config_version: u64,
    /// How many reports of endpoints are being read.
    open_reports: usize,
}

impl Coordinator {
    pub(crate) fn new(handles: Handles, life: Incarnation) -> Self {
        let terms = LeaseTerms { term: LEASE_TERM, margin: CLAIM_MARGIN };
        let mut lease = Lease::with_terms(handles.settings.vm.clone(), life, terms);
        let first_start = handles.settings.first_start;
        lease.handle(if first_start { LeaseEvent::FirstStart } else { LeaseEvent::Restarted });
        Self {
            handles,
            lease,
            row: None,
            row_era: 0,
            clock_offset: 0,
            leader_heard: Duration::ZERO,
            last_read: Duration::ZERO,
            store_busy: false,
            store_silent: None,
            leaving: false,
            told_current: None,
            peers: FastMap::default(),
            news: NewsLog::default(),
            next_plan: Instant::now(),
            plan_due: false,
            told_causes: ToldCauses::default(),
            told_causes_at: Duration::ZERO,
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
                () = tokio::time::sleep_until(self.next_plan), if self.plan_due => {
                    self.plan_orders(boot_now());
                }
            }
            self.broadcast_changes();
            self.tell_causes();
            self.tell_limits();
        }
    }

    /// Says what this VM is for the permits for endpoints that name limits.
    fn set_permit_role(&self) {
        let part = self.handles.roster.rank();
        let role = if self.leadership.is_some() {
            PermitRole::Leader(part.relays)
        } else if self.handles.roster.is_relay() {
            PermitRole::Relay(part)
        } else {
            PermitRole::Member
        };
        self.handles.scheduler.set_permit_role(role);
    }

    fn on_event(&mut self, event: CoordinatorEvent) {
        let now = boot_now();
        self.on_era(self.handles.store.era(), "the store", now);
        match event {
            CoordinatorEvent::Status(peer, status, _open) => self.on_status(peer, &status, now),
            CoordinatorEvent::PeerConnected(peer, sender) => {
                let waits_until = Duration::ZERO;
                let told = 0;
                let (config, listed) = (ConfigStamp::NONE, StorePosition::START);
                let (vm, limits) = (VmId::default(), 0);
                let position = None;
                let peer_state =
                    Peer { sender, vm, position, told, config, listed, limits, waits_until };
                self.peers.insert(peer, peer_state);
            }
            CoordinatorEvent::PeerDisconnected(peer) => {
                self.peers.remove(&peer);
            }
            CoordinatorEvent::News(held) => {
                if self.leadership.is_none() {
                    for held in held {
                        self.news.record(held, now);
                    }
                    self.tell_waiting_members(now);
                }
            }
            CoordinatorEvent::PermitsCame => self.pass_on_permits(),
            CoordinatorEvent::PermitAsked(peer, ask, _open) => {
                self.answer_relay_ask(peer, &ask, now)
            }
            CoordinatorEvent::TrialAllowed(vm, cause) => self.pass_on_trial(&vm, &cause),
            CoordinatorEvent::RelayAlive => self.leader_heard = now,
            CoordinatorEvent::LinkMessage(open) => drop(open),
            CoordinatorEvent::StoreLost => {
                // The store may be back in a new era, which the leader must not learn late.
                if let Some(leadership) = &mut self.leadership {
                    leadership.last_attempt = Duration::ZERO;
                }
            }
            // Without a leader, the lease's row is read with the next tick.
            CoordinatorEvent::StoreBack => self.last_read = Duration::ZERO,
            CoordinatorEvent::EndpointChanged(name) => self.on_endpoint_changed(&name, now),
            CoordinatorEvent::LeaderAlive(fence, position) => {
                self.on_era(position.era, "the leader", now);
                if self.row.as_ref().is_none_or(|(_, row)| fence >= row.lease.fence) {
                    self.leader_heard = now;
                    self.lease.handle(LeaseEvent::Renewed(fence, position, now));
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
                    && (leadership.first_fence..=leadership.fence).contains(&fence)
                {
                    leadership.quiet_period.end_order(&order.planned.endpoint, now);
                    leadership.placement.on_reply(&order, reply, now);
                }
                self.plan_orders(now);
            }
            CoordinatorEvent::EndpointReported(name, requested, reply) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.open_reports = leadership.open_reports.saturating_sub(1);
                    leadership.placement.on_report(&name, requested, reply, now);
                }
                self.request_reports(now);
                self.plan_orders(now);
            }
            CoordinatorEvent::Leave => self.leave(),
        }
    }

    fn on_tick(&mut self) {
        let now = boot_now();
        self.handles.crashes.set_leads(self.leadership.is_some());
        self.set_permit_role();
        self.pass_on_permits();
        self.lease.handle(LeaseEvent::Tick(now));
        self.on_era(self.handles.store.era(), "the store", now);
        if let Some(leadership) = &mut self.leadership {
            leadership.relays.refresh(now);
            self.handles.roster.update(leadership.relays.roster());
        }
        self.stop_unless_held("the lease has lapsed", now);
        self.apply_config(now);
        self.request_reports(now);
        self.plan_orders(now);
        if self.store_busy {
            return;
        }
        match &self.leadership {
            Some(leadership) if leadership.paused.is_some() => self.read_lease(now),
            Some(leadership) if now >= leadership.last_attempt + leadership.renew_interval() => {
                self.renew(now)
            }
            Some(_) => {}
            None if now >= self.leader_heard + LEADER_TIMEOUT
                && (now >= self.last_read + self.read_interval() || self.may_claim_alone(now)) =>
            {
                self.read_lease(now)
            }
            None => {}
        }
    }

    /// Returns whether this VM may claim the lease since its last read of the row, and knows no relay that
    /// would: VMs that are no relays read the row rarely.
    fn may_claim_alone(&self, now: Duration) -> bool {
        let is_due = |at: Duration| self.last_read < at && at <= now;
        self.lease.claimable_at().is_some_and(is_due)
            && self.handles.roster.roster().relays.is_empty()
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
        if listed.is_none() {
            self.news.remove(name);
        }
        leadership.placement.on_listed(name, listed, &fleet, now);
        self.plan_orders(now);
    }

    /// Applies a VM's report and replies to it.
    ///
    /// A VM that is not what the report asks for replies with the roster alone, so that the sender
    /// looks elsewhere.
    fn on_status(&mut self, peer: PeerId, status: &Status, now: Duration) {
        let position = status.position();
        let era = status.config_stamp().row.era.max(status.listed_position().era);
        self.on_era(era, "a report", now);
        // Before the configuration, whose position says up to where the table is known.
        self.handles.domain_words.on_told(&status.domains, &status.vm);
        if !status.config_row.is_empty() {
            self.handles.active_fleet.offer_packed(&status.config_row, status.config_stamp().row);
            self.apply_config(now);
        }
        if let Some(known) = self.peers.get_mut(&peer) {
            known.position = Some(position);
            known.vm = VmId::new(&status.vm);
        }
        self.handles.scheduler.on_limits(&status.limits, &status.raises, &status.vm);
        if position == Position::Candidate {
            // Relays that reach no leader learn from each other which endpoints ended.
            self.handles.crashes.on_report(status);
        }
        let reply = match position {
            Position::Member if self.serves_members() => self.answer_member(peer, status, now),
            Position::Candidate if self.leadership.is_some() => self.answer_candidate(status, now),
            Position::ReportingRelay => self.answer_relay(peer, status, now),
            Position::Candidate if status.wants_config => self.config_update(peer, status),
            Position::Member | Position::Candidate => LeadMessage::default(),
        };
        let roster = self.handles.roster.roster();
        let roster = (status.roster < roster.version).then(|| roster_message(&roster));
        let limits = self.limits_for(peer);
        self.send(peer, LeadMessage { roster, limits, ..reply });
        let missing = status.demand.iter().any(|item| item.waiting > 0)
            || status.adapters.iter().any(|item| item.missing);
        if missing && self.leadership.is_some() {
            self.plan_orders(now);
        }
    }

    /// Answers a relay that asks for a permit.
    fn answer_relay_ask(&self, peer: PeerId, ask: &Ask, now: Duration) {
        let Some(known) = self.peers.get(&peer) else { return };
        let is_relay = known.position == Some(Position::ReportingRelay);
        let needs = permit_needs(ask).filter(|_| is_relay && self.leads_now(now));
        let permits = needs.and_then(|needs| self.handles.scheduler.issue_permit(&known.vm, needs));
        // The receiver is gone if the connection has ended.
        let _ = known.sender.send(permit_grant(ask, permits));
    }

    /// Returns whether VMs of this domain may report to this one.
    fn serves_members(&self) -> bool {
        self.handles.roster.is_relay() && !self.leaving
    }

    /// Returns whether this VM leads and its lease has not lapsed.
    fn leads_now(&self, now: Duration) -> bool {
        self.leadership.is_some() && self.lease.term().is_some_and(|(_, until)| now < until)
    }

    /// Answers a VM that reports to this relay.
    fn answer_member(&mut self, peer: PeerId, status: &Status, now: Duration) -> LeadMessage {
        let lacks = self.handles.scheduler.on_member(status);
        self.handles.crashes.on_report(status);
        let mut reply = self.store_updates(peer, status);
        reply.role = Role::Relay.into();
        reply.sent = status.sent;
        reply.vms = self.handles.quotas.vms() as u32;
        reply.funded = self.handles.quotas.can_grant();
        self.handles.set_ages(&mut reply);
        self.log_current(&reply);
        self.handles.crashes.answer_asks(status, self.leads_now(now), &mut reply);
        self.handles.crashes.tell(&mut reply);
        reply.permits = self.handles.scheduler.on_member_wants(status);
        if let Some(known) = self.peers.get_mut(&peer) {
            if lacks {
                known.waits_until = now + WAITING_TIME;
            }
            reply.held = self.news.after(known.told, now);
            known.told = self.news.last();
        }
        reply
    }

    /// Logs whether members may rely on this relay for what is new in the store, if that has changed.
    fn log_current(&mut self, reply: &LeadMessage) {
        let limit = self.handles.settings.bounds.feed.member.as_millis() as u64;
        let is_current = |age: Option<u64>| age.is_some_and(|age| age < limit);
        let current = is_current(reply.config_age) && is_current(reply.list_age);
        if self.told_current.replace(current) != Some(current) {
            info!(current, config_ms = reply.config_age, list_ms = reply.list_age,
                leading = self.leadership.is_some();
                "whether members may rely on this relay has changed");
        }
    }

    /// Answers a VM that looks for a relay; it may become one itself.
    fn answer_candidate(&mut self, status: &Status, now: Duration) -> LeadMessage {
        let Some(leadership) = &mut self.leadership else { return LeadMessage::default() };
        let Some(relay) = reporting_vm(status) else { return LeadMessage::default() };
        let appointed = leadership.relays.on_candidate(relay, status.capacity, now);
        if appointed {
            info!(vm = status.vm.as_str(), domain = status.domain.as_str(),
                capacity = status.capacity; "a VM becomes a relay");
        }
        self.handles.roster.update(leadership.relays.roster());
        LeadMessage { role: Role::Leader.into(), appointed, ..LeadMessage::default() }
    }

    /// Answers a relay, as the leader; a VM that does not lead replies with fence 0.
    fn answer_relay(&mut self, peer: PeerId, status: &Status, now: Duration) -> LeadMessage {
        let mut reply = self.store_updates(peer, status);
        // A leader that was stopped may not know yet that another one issues permits.
        let in_term = self.leads_now(now);
        let Some(leadership) = &mut self.leadership else { return reply };
        let vm = VmId::new(&status.vm);
        if let Some(relay) = reporting_vm(status) {
            leadership.relays.on_relay(relay, now);
            self.handles.roster.update(leadership.relays.roster());
        }
        leadership.members.insert(vm.clone(), (now, status.members));
        self.handles.set_ages(&mut reply);
        reply.role = Role::Leader.into();
        reply.fence = leadership.fence;
        reply.sent = status.sent;
        reply.clock = now.as_millis() as u64;
        reply.set_renewed_position(leadership.row_version);
        reply.funded = leadership.config_version > 0 && leadership.token_pools.can_grant();
        reply.ceilings = leadership.token_pools.on_report(status, now);
        if let Some(former) = leadership.token_pools.on_floor_report(status, now) {
            reply.past = former.spent;
            reply.past_whole = former.is_final;
            reply.past_age = former.age.as_millis() as u64;
        }
        reply.floor = leadership.token_pools.floor_weight(&status.vm);
        reply.vms = leadership.active_vms(now);
        self.handles.scheduler.on_told_leaving(status);
        self.handles.crashes.on_report(status);
        if in_term {
            reply.permits = self.handles.scheduler.issue_permits(status);
            self.handles.crashes.answer_asks(status, true, &mut reply);
        }
        self.handles.crashes.tell(&mut reply);
        leadership.placement.on_unreachable(&status.unreached, now);
        leadership.placement.on_demand(&vm, status.demand.clone(), &status.adapters, now);
        if let Some(known) = self.peers.get_mut(&peer) {
            reply.held = self.news.after(known.told, now);
            known.told = self.news.last();
        }
        reply
    }

    /// Returns a message with the configuration, unless a VM knows it or was sent it on this
    /// connection.
    fn config_update(&mut self, id: PeerId, status: &Status) -> LeadMessage {
        let mut update = LeadMessage { tells_config: true, ..LeadMessage::default() };
        let stamp = self.handles.active_fleet.stamp();
        update.set_config_stamp(stamp);
        (update.domains_known, update.domains) =
            self.handles.domain_words.tell(Some(status.domains_known));
        let Some(peer) = self.peers.get_mut(&id) else { return update };
        peer.config = peer.config.max(status.config_stamp());
        if peer.config < stamp {
            update.config_row = self.handles.active_fleet.packed_row();
            peer.config = stamp;
        }
        update
    }

    /// Returns a message with the configuration and the endpoint rows that a VM does not know yet
    /// and was not sent on this connection.
    fn store_updates(&mut self, id: PeerId, status: &Status) -> LeadMessage {
        let mut updates = self.config_update(id, status);
        let Some(peer) = self.peers.get_mut(&id) else { return updates };
        peer.listed = peer.listed.max(status.listed_position());
        let listed = peer.listed;
        let ListUpdate { entries, version, told, live, vanished } =
            self.handles.endpoint_list.changes_after(listed);
        peer.listed = listed.max(version);
        updates.set_listed_position(told);
        updates.whole = live.is_some();
        updates.live = live.into_iter().flatten().map(Into::into).collect();
        updates.vanished = vanished.into_iter().map(Into::into).collect();
        if listed < version || !entries.is_empty() {
            let rows = entries.into_iter().map(|ListEntry { row, restored }| ListRow {
                key: row.key.to_string(),
                version: row.version.version,
                era: row.version.era,
                restored,
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
            let _ = peer.sender.send(Body::Lead(message));
        }
    }

    /// Tells all relays, and the members that wait for it, what has changed at endpoints.
    fn broadcast_changes(&mut self) {
        let now = boot_now();
        let Some(leadership) = &mut self.leadership else { return };
        let fence = leadership.fence;
        let mut changed = false;
        for held in leadership.placement.take_changes(now) {
            changed |= self.news.record(held, now);
        }
        if !changed {
            return;
        }
        for peer in self.peers.values_mut() {
            // A relay that has not reported yet is told all with the reply to its first report.
            if peer.position == Some(Position::ReportingRelay) && peer.told > 0 {
                let held = self.news.after(peer.told, now);
                peer.told = self.news.last();
                let role = Role::Leader.into();
                let message = LeadMessage { fence, role, held, ..LeadMessage::default() };
                // If the connection has ended, PeerDisconnected removes the peer.
                let _ = peer.sender.send(Body::Lead(message));
            }
        }
        self.tell_waiting_members(now);
    }

    /// Tells the VMs that report to this one what is held back or in doubt, if that has changed.
    fn tell_causes(&mut self) {
        let causes = self.handles.crashes.told_causes();
        let is_early = boot_now() < self.told_causes_at + DOUBT_INTERVAL;
        if causes == self.told_causes || (is_early && causes.same_held(&self.told_causes)) {
            return;
        }
        self.told_causes = causes;
        self.told_causes_at = boot_now();
        let fence = self.leadership.as_ref().map(|leadership| leadership.fence);
        for peer in self.peers.values() {
            let (role, fence) = match (peer.position, fence) {
                (Some(Position::Member), _) => (Role::Relay, 0),
                (Some(Position::ReportingRelay), Some(fence)) => (Role::Leader, fence),
                _ => continue,
            };
            let mut message = LeadMessage { fence, role: role.into(), ..LeadMessage::default() };
            self.handles.crashes.tell(&mut message);
            // If the connection has ended, PeerDisconnected removes the peer.
            let _ = peer.sender.send(Body::Lead(message));
        }
    }

    /// Returns the limits that a VM was not told yet on its connection.
    fn limits_for(&mut self, peer: PeerId) -> Vec<EndpointLimit> {
        let Some(peer) = self.peers.get_mut(&peer) else { return Vec::new() };
        let limits = self.handles.scheduler.limits_after(peer.limits);
        peer.limits = self.handles.scheduler.last_limit();
        limits
    }

    /// Tells the VMs that report to this one which limits of endpoints have changed.
    fn tell_limits(&mut self) {
        let last = self.handles.scheduler.last_limit();
        let fence = self.leadership.as_ref().map(|leadership| leadership.fence);
        let outdated = self.peers.iter().filter(|(_, peer)| peer.limits < last);
        let outdated: Vec<_> = outdated.map(|(id, peer)| (*id, peer.position)).collect();
        for (id, position) in outdated {
            let (role, fence) = match (position, fence) {
                (Some(Position::Member), _) => (Role::Relay, 0),
                (Some(Position::ReportingRelay), Some(fence)) => (Role::Leader, fence),
                _ => continue,
            };
            let limits = self.limits_for(id);
            let role = role.into();
            self.send(id, LeadMessage { fence, role, limits, ..LeadMessage::default() });
        }
    }

    /// Passes on this relay's permits to the requests of its members that wait.
    fn pass_on_permits(&self) {
        for peer in self.peers.values().filter(|peer| peer.position == Some(Position::Member)) {
            let permits = self.handles.scheduler.pass_on_permits(&peer.vm);
            if !permits.is_empty() {
                let role = Role::Relay.into();
                let message = LeadMessage { role, permits, ..LeadMessage::default() };
                // If the connection has ended, the permits lapse.
                let _ = peer.sender.send(Body::Lead(message));
            }
        }
    }

    /// Tells a member that it may try one request that is held back.
    fn pass_on_trial(&self, vm: &VmId, cause: &Cause) {
        let member = |peer: &&Peer| peer.position == Some(Position::Member) && peer.vm == *vm;
        if let Some(peer) = self.peers.values().find(member) {
            let mut message = LeadMessage { role: Role::Relay.into(), ..LeadMessage::default() };
            push_trial(cause, &mut message);
            // If the connection has ended, the trial is lost.
            let _ = peer.sender.send(Body::Lead(message));
        }
    }

    /// Tells the members whose callers lack a model or an adapter what has changed at endpoints; the
    /// others learn of it with the reply to their next report.
    fn tell_waiting_members(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            let waits = peer.position == Some(Position::Member) && now < peer.waits_until;
            if !waits || peer.told == self.news.last() {
                continue;
            }
            let held = self.news.after(peer.told, now);
            peer.told = self.news.last();
            let role = Role::Relay.into();
            // If the connection has ended, PeerDisconnected removes the peer.
            let _ = peer.sender.send(Body::Lead(LeadMessage { role, held, ..Default::default() }));
        }
    }

    /// Plans orders and sends them, if this VM may issue orders now; plans later if the last plan
    /// was made shortly before.
    fn plan_orders(&mut self, now: Duration) {
        let began = Instant::now();
        self.plan_due = began < self.next_plan;
        if self.plan_due {
            return;
        }
        self.plan_and_send(now);
        let pause = (began.elapsed() * PLAN_TIME_DIVISOR).min(MAX_PLAN_INTERVAL);
        self.next_plan = Instant::now() + pause;
    }

    fn plan_and_send(&mut self, now: Duration) {
        let Some((_, until)) = self.lease.term() else { return };
        let (Some(leadership), Some(fleet)) =
            (&mut self.leadership, self.handles.active_fleet.fleet())
        else {
            return;
        };
        let may_order = !self.leaving && now + MIN_ORDER_TERM < until;
        let quiet_period = may_order.then_some(&leadership.quiet_period);
        let scheduler = &self.handles.scheduler;
        let orders = leadership.placement.plan(&fleet, quiet_period, scheduler, now);
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

/// Returns the VM that sent a report, as a relay; `None` if the report does not say where it accepts
/// other VMs.
fn reporting_vm(status: &Status) -> Option<Relay> {
    let peer = status.peer.parse().ok()?;
    Some(Relay { vm: VmId::new(&status.vm), domain: DomainId::new(&status.domain), peer })
}

/// Returns the message of a roster.
fn roster_message(roster: &Roster) -> crate::wire::Roster {
    let relays = roster.relays.iter().map(|relay| crate::wire::Relay {
        vm: relay.vm.to_string(),
        domain: relay.domain.to_string(),
        peer: relay.peer.to_string(),
    });
    let (version, target) = (roster.version, roster.target as u32);
    let leader = roster.leader.to_string();
    crate::wire::Roster { version, relays: relays.collect(), target, leader }
}
