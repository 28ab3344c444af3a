//! The fleet's lease: reading its row, claiming, renewing, handing over and losing it.

use std::time::Duration;

use bamboocourse_decide::{
    CommitOutcome, FastMap, Fence, Floors, LastOrders, LeaseEvent, LeaseRow, Proposal, QuietPeriod,
    RelayAppointer, StoreEra, StorePosition, VmId,
};
use bytes::Bytes;
use log::{info, warn};

use super::orders::ENDPOINT_TIMEOUT;
use super::placement::EndpointPlacement;
use super::row::{LEADER_KEY, LeaderRow};
use super::tokens::TokenPools;
use super::{Coordinator, CoordinatorEvent, LeadMessage, Leadership};
use crate::edge::clock::boot_now;
use crate::edge::{StoreError, StoreRow, StoreRows, Table, WriteOutcome};
use crate::process::metrics::StoreCall;
use crate::process::roster::Position;
use crate::wire::{Body, Role, Wait};

/// How long a renewal of the lease lasts on the leader's clock.
pub(super) const LEASE_TERM: Duration = Duration::from_millis(2_600);
/// How much longer than the term a follower waits before it claims the lease.
pub(super) const CLAIM_MARGIN: Duration = Duration::from_millis(500);
/// How long the leader may be silent before followers read the lease's row.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often the row is read while the leader is silent.
pub(super) const READ_INTERVAL: Duration = Duration::from_millis(700);
/// How long after the whole system's first start VMs that are no seeds wait for one of them to claim
/// the lease.
const FIRST_READ_DELAY: Duration = Duration::from_millis(700);
/// The most that is added to [`READ_INTERVAL`] for a VM that is no relay.
const LONE_READ_JITTER: Duration = Duration::from_secs(1);
/// How much later a VM that did not restart recently reads the row after the leader resigned.
pub(super) const CLAIM_DELAY: Duration = Duration::from_millis(300);
/// How long after its start a VM counts as recently restarted: about as long as a rolling restart.
const RECENT_RESTART: Duration = Duration::from_secs(40);
/// How long after its last renewal a leader that cannot reach the store gives up the lease.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Added to the gap between orders of two leaders, for orders that are still on their way.
const ORDER_MARGIN: Duration = Duration::from_millis(400);
/// How long a read or write of the row may take; several attempts fit into the lease's term.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

impl Coordinator {
    /// Returns whether this VM restarted recently; the whole system's first start does not count.
    pub(super) fn recently_restarted(&self, now: Duration) -> bool {
        !self.handles.settings.first_start && now < self.started + RECENT_RESTART
    }

    /// Returns the time between two reads of the row while nobody tells of the leader.
    ///
    /// Only relays follow the lease closely; of the other VMs there may be hundreds.
    pub(super) fn read_interval(&self) -> Duration {
        match self.handles.roster.position() {
            Position::Relay => READ_INTERVAL,
            Position::Candidate | Position::Member if self.last_read.is_zero() => {
                // At the whole system's first start, the seeds claim the lease.
                let settings = &self.handles.settings;
                let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&settings.peer);
                if settings.first_start && !is_seed {
                    self.started + FIRST_READ_DELAY + self.handles.roster.jitter(FIRST_READ_DELAY)
                } else {
                    Duration::ZERO
                }
            }
            Position::Candidate | Position::Member => {
                READ_INTERVAL + self.handles.roster.jitter(LONE_READ_JITTER)
            }
        }
    }

    /// Starts a read of the lease's row; the result arrives as an event.
    pub(super) fn read_lease(&mut self, now: Duration) {
        self.last_read = now;
        self.store_busy = true;
        self.handles.metrics.count_store_call(StoreCall::LeaseRead);
        let (store, events) = (self.handles.store.clone(), self.handles.events.clone());
        tokio::spawn(async move {
            let result = match tokio::time::timeout(STORE_TIMEOUT, store.read(Table::Own)).await {
                Ok(result) => result,
                Err(_) => Err(StoreError::NotApplied("no answer in time".to_owned())),
            };
            // The receiver is gone only while the process shuts down.
            let _ = events.send(CoordinatorEvent::LeaseRead(result));
        });
    }

    pub(super) fn on_lease_read(&mut self, result: Result<StoreRows, StoreError>, now: Duration) {
        if let Ok(rows) = &result {
            self.on_era(rows.version.era, "a read of the lease's row", now);
        }
        self.store_busy = false;
        let rows = match result {
            Ok(rows) => rows,
            Err(error) => {
                self.handles.metrics.store_errors.add(1, &[]);
                warn!(error:%; "the lease's row cannot be read from the store");
                self.store_silent.get_or_insert(now);
                return;
            }
        };
        self.sync_clock(rows.now, now);
        self.row_era = rows.version.era;
        self.on_store_response(now);
        let row = rows.rows.iter().find(|row| row.key == LEADER_KEY);
        self.observe(row, now);
    }

    /// Records that the store has answered a call for the lease's row.
    fn on_store_response(&mut self, now: Duration) {
        if let Some(since) = self.store_silent.take() {
            let freshness = &self.handles.freshness;
            freshness.on_store_back();
            info!(failed_ms = now.saturating_sub(since).as_millis() as u64,
                leading = self.leadership.is_some(),
                config_ms = freshness.age_ms(Table::Operator),
                config_open_ms = freshness.open_ms(Table::Operator),
                list_ms = freshness.age_ms(Table::Endpoints),
                list_open_ms = freshness.open_ms(Table::Endpoints);
                "the store answers calls for the lease again");
        }
    }

    /// Sets the offset between the store's clock and this VM's boot clock.
    fn sync_clock(&mut self, store: Duration, now: Duration) {
        self.clock_offset = store.as_millis() as i64 - now.as_millis() as i64;
    }

    /// Converts a time of the store's clock, in milliseconds, to this VM's boot clock.
    ///
    /// The result is at most `latest`.
    fn to_local_time(&self, store: u64, latest: Duration) -> Duration {
        let millis = i64::try_from(store).unwrap_or(i64::MAX).saturating_sub(self.clock_offset);
        Duration::from_millis(millis.max(0) as u64).min(latest)
    }

    /// Acts on the lease's row in the store: claims or renews the lease, follows the leader that
    /// the row names, or stops leading.
    fn observe(&mut self, row: Option<&StoreRow>, now: Duration) {
        let read = row.and_then(|row| {
            let value = row.value.as_ref()?;
            match LeaderRow::decode(value) {
                Ok(decoded) => Some((row.version, decoded)),
                Err(error) => {
                    warn!(row:% = row.version, error:%; "the lease's row cannot be decoded");
                    None
                }
            }
        });
        if row.is_some() && read.is_none() {
            return;
        }
        if let Some((position, row)) = &read {
            self.restore_floors(*position, row, now);
            self.handles.roster.update(&row.roster);
            if row.lease.holder != self.handles.settings.vm || self.leadership.is_none() {
                let to_local = |at| self.to_local_time(at, now);
                self.handles.crashes.adopt_rows(&row.held, to_local);
            }
            let vm = self.handles.settings.vm.as_str();
            if row.floors.contains_key(vm) && !self.handles.settings.first_start {
                self.handles.roster.set_position(Position::Relay, "it holds a floor");
            }
        }
        let other = read.as_ref().filter(|(_, row)| row.lease.holder != self.handles.settings.vm);
        let leader = other.filter(|(_, row)| !row.lease.holder.is_empty()).map(|(_, row)| row.peer);
        self.handles.leader.send_if_modified(|known| {
            let changed = *known != leader;
            *known = leader;
            changed
        });
        self.row = read;
        let proposal = self.handle_row(now);
        self.stop_unless_held("another VM holds the lease", now);
        if let Some(proposal) = proposal {
            self.propose(proposal, now);
        }
    }

    /// Records an era of the store that this VM was told of. A leader that had not heard of it
    /// neither grants tokens nor gives orders until it has claimed the lease in that era.
    pub(super) fn on_era(&mut self, era: StoreEra, from: &'static str, now: Duration) {
        let former = self.lease.era();
        if era <= former {
            return;
        }
        self.lease.handle(LeaseEvent::EraChanged(era, now));
        let may_resume = self.lease.may_resume(now);
        let row = self.row.as_ref().map(|(position, _)| *position).unwrap_or_default();
        let leads = self.leadership.is_some();
        let fence = self.leadership.as_ref().map_or(0, |leadership| leadership.fence);
        info!(era, former, from, row:%, leads, fence, may_resume;
            "the lease counts as of a new era");
        self.stop_unless_held("the store has begun a new era after the term", now);
        if self.leadership.is_some() && !self.store_busy {
            self.read_lease(now);
        }
    }

    /// Drops the leader's state unless this VM holds the lease; keeps it if this VM led until the
    /// store's era changed and is about to claim the lease again.
    pub(super) fn stop_unless_held(&mut self, why: &'static str, now: Duration) {
        if self.lease.held(now).is_some() {
            return;
        }
        match &mut self.leadership {
            Some(leadership) if self.lease.may_resume(now) => {
                if leadership.paused.is_none() {
                    leadership.paused = Some(now);
                    leadership.token_pools.on_record_lost();
                }
            }
            _ => self.stop_leading(why),
        }
    }

    /// Handles the row as it was last read or written, and returns the row to propose, if any.
    fn handle_row(&mut self, now: Duration) -> Option<Proposal> {
        let (position, row) = match &self.row {
            Some((position, row)) => (*position, Some(row.lease.clone())),
            None => (StorePosition::new(self.row_era, 0), None),
        };
        self.lease.handle(LeaseEvent::Read(position, row, now))
    }

    /// Restores what this VM's former process had spent of its floors, as the row records it.
    fn restore_floors(&self, position: StorePosition, row: &LeaderRow, now: Duration) {
        let vm = self.handles.settings.vm.as_str();
        let (Some(weight), Some(past)) = (row.floors.get(vm), row.past.get(vm)) else { return };
        // This process reports to a leader only after its first read of the row, so what that row
        // records is of the former process.
        if !self.handles.settings.first_start {
            let at = self.to_local_time(past.at, now);
            let window = self.handles.settings.bounds.quota_window;
            let mut past = past.clone();
            if row.era != position.era {
                if !Floors::is_kept(at, window, now) {
                    info!(row:% = position, recorded = row.era,
                        age_ms = now.saturating_sub(at).as_millis() as u64;
                        "another VM may have got this VM's floors since the copy");
                    return;
                }
                past = past.from_copy();
            }
            self.handles.quotas.restore_floors(*weight, past, at);
        }
    }

    /// Writes the next renewal in place of the row that this VM wrote last.
    pub(super) fn renew(&mut self, now: Duration) {
        match self.handle_row(now) {
            Some(proposal) => self.propose(proposal, now),
            None => self.stop_leading("the lease is not this VM's"),
        }
    }

    /// Starts a write of the lease's row; the result arrives as an event.
    fn propose(&mut self, proposal: Proposal, now: Duration) {
        let former = self.row.as_ref().map(|(_, row)| row);
        let clock = (now.as_millis() as i64 + self.clock_offset).max(0) as u64;
        let offset = self.clock_offset;
        let to_store = |at: Duration| (at.as_millis() as i64 + offset).max(0) as u64;
        let past = match &self.leadership {
            Some(leadership) => leadership.token_pools.floor_histories(to_store),
            None => former.map_or_else(Default::default, |row| row.past.clone()),
        };
        let (noted, (pools, floors)) = match &mut self.leadership {
            Some(leadership) => (clock, leadership.token_pools.next_records(now)),
            None => former.map_or_else(Default::default, |row| {
                (row.noted, (row.pools.clone(), row.floors.clone()))
            }),
        };
        let peer = self.handles.settings.peer;
        let roster = match &self.leadership {
            Some(leadership) => leadership.relays.roster().clone(),
            None => former.map_or_else(Default::default, |row| row.roster.clone()),
        };
        let orderer = match (&self.leadership, former) {
            // A claim keeps the former orderer, as this VM has not issued orders under its fence.
            (None, Some(former)) => (former.orderer.clone(), former.orders_from),
            (None, None) => (VmId::default(), 0),
            (Some(leadership), _) => {
                let from = leadership.quiet_period.ends_at().as_millis() as i64 + self.clock_offset;
                (self.handles.settings.vm.clone(), from.max(0) as u64)
            }
        };
        let (orderer, orders_from) = orderer;
        let era = match (&self.leadership, former) {
            (Some(_), _) => proposal.position.era,
            // A claim copies the former leader's state.
            (None, Some(former)) => former.era,
            (None, None) if self.lease.is_first_start() => proposal.position.era,
            (None, None) => 0,
        };
        let held = match &self.leadership {
            Some(_) => self.handles.crashes.held_rows(to_store),
            None => former.map_or_else(Default::default, |row| row.held.clone()),
        };
        let row = LeaderRow {
            lease: proposal.row,
            peer,
            era,
            noted,
            pools,
            floors,
            past,
            orderer,
            orders_from,
            roster,
            held,
        };
        let value = match row.encode(self.handles.settings.bounds.row_limit) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                warn!(error:%; "the lease's row cannot be written");
                return;
            }
        };
        self.store_busy = true;
        if let Some(leadership) = &mut self.leadership {
            leadership.last_attempt = now;
        }
        self.handles.metrics.count_store_call(StoreCall::LeaseWrite);
        let (store, events) = (self.handles.store.clone(), self.handles.events.clone());
        tokio::spawn(async move {
            let writing = store.replace(LEADER_KEY, proposal.position, value);
            let result = match tokio::time::timeout(STORE_TIMEOUT, writing).await {
                Ok(result) => result,
                Err(_) => Err(StoreError::Unknown("no answer in time".to_owned())),
            };
            // The receiver is gone only while the process shuts down.
            let _ = events.send(CoordinatorEvent::LeaseWritten(Box::new(row), result));
        });
    }

    pub(super) fn on_lease_written(
        &mut self,
        row: LeaderRow,
        result: Result<WriteOutcome, StoreError>,
        now: Duration,
    ) {
        if let Ok(WriteOutcome::Applied(position, _)) = &result {
            self.on_era(position.era, "a write of the lease's row", now);
        }
        self.store_busy = false;
        let fence = row.lease.fence;
        match result {
            Ok(WriteOutcome::Applied(version, clock)) => {
                self.sync_clock(clock, now);
                self.row_era = version.era;
                self.on_store_response(now);
                let outcome = CommitOutcome::Committed(version);
                self.lease.handle(LeaseEvent::Settled(fence, outcome, now));
                self.on_row_recorded(version, row, now);
            }
            Ok(WriteOutcome::Conflict(current)) => {
                self.lease.handle(LeaseEvent::Settled(fence, CommitOutcome::Conflict, now));
                info!("another VM has written the lease's row");
                self.observe(current.as_ref(), now);
            }
            Err(error) => {
                self.handles.metrics.store_errors.add(1, &[]);
                warn!(error:%, leading = self.leadership.is_some();
                    "the lease's row was not written");
                self.store_silent.get_or_insert(now);
                self.lease.handle(LeaseEvent::Settled(fence, CommitOutcome::Unknown, now));
                if let Some(leadership) = &mut self.leadership {
                    leadership.write_failed = true;
                }
                let unreachable = matches!(error, StoreError::NotApplied(_));
                let is_overdue = |leadership: &Leadership| {
                    leadership.paused.is_none() && now >= leadership.last_renewal + RESIGN_TIMEOUT
                };
                if unreachable && self.leadership.as_ref().is_some_and(is_overdue) {
                    self.resign();
                    return;
                }
                // After an unknown outcome, the row is read back before the next attempt.
                if self.lease.held(now).is_none() || !matches!(error, StoreError::NotApplied(_)) {
                    self.read_lease(now);
                }
            }
        }
    }

    /// Records that the store holds a row that this VM wrote; starts to lead with the first such
    /// row.
    fn on_row_recorded(&mut self, version: StorePosition, row: LeaderRow, now: Duration) {
        let fence = row.lease.fence;
        if self.lease.held(now) != Some(fence) {
            self.row = Some((version, row));
            return;
        }
        match &mut self.leadership {
            Some(leadership) if leadership.fence == fence => {}
            Some(Leadership { paused: Some(since), fence: held, .. }) => {
                info!(fence, former = *held, row:% = version,
                    paused_ms = now.saturating_sub(*since).as_millis() as u64;
                    "this VM has claimed the lease again in the store's new era");
                *held = fence;
            }
            _ => {
                let former = self.row.as_ref().map(|(_, row)| row.clone());
                self.start_leading(fence, former, version.era, now);
            }
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.paused = None;
            leadership.write_failed = false;
            leadership.token_pools.on_recorded(&row.floors);
            leadership.last_renewal = now;
            leadership.row_version = version;
        }
        self.row = Some((version, row));
    }

    /// Starts to lead under a fence; `former` is the row that the claim replaced in an era.
    fn start_leading(
        &mut self,
        fence: Fence,
        former: Option<LeaderRow>,
        era: StoreEra,
        now: Duration,
    ) {
        // The store may have lost what a former leader recorded, and even its row.
        let is_copy = match &former {
            Some(row) => row.era != era,
            None => !self.lease.is_first_start(),
        };
        let settings = &self.handles.settings;
        let gap = settings.bounds.order_gap + ORDER_MARGIN;
        let last_orders = match &former {
            None if !is_copy => LastOrders::None,
            former => {
                let own = former.as_ref().filter(|row| row.orderer == settings.vm);
                let own = own.map(|row| self.to_local_time(row.orders_from, now + gap));
                let fence = former.as_ref().map(|row| row.lease.fence);
                let handover = self.handover.as_ref().filter(|handover| Some(handover.0) == fence);
                let handover = handover.map(|(_, handover, at)| (handover, *at));
                LastOrders::from_row(is_copy, own, handover)
            }
        };
        let quiet_period = QuietPeriod::after(last_orders, gap, ENDPOINT_TIMEOUT, now);
        let took_over = (is_copy || former.is_some()).then_some(now);
        let roster = former.as_ref().map(|row| row.roster.clone()).unwrap_or_default();
        let relays =
            RelayAppointer::new(fence, settings.vm.clone(), settings.domains, &roster, now);
        self.handles.roster.set_position(Position::Relay, "it leads");
        let (noted, pools, floors, past) = former
            .map_or_else(Default::default, |row| (row.noted, row.pools, row.floors, row.past));
        let recorded_at = self.to_local_time(noted, now);
        // No process has incarnation 0, so every VM's next report counts as that of a new process.
        let histories = past.into_iter().map(|(vm, history)| {
            let at = self.to_local_time(history.at, now);
            (vm, (0, at, history))
        });
        let histories = histories.collect();
        self.handles.metrics.leases.add(1, &[]);
        info!(fence, era, is_copy, orders_in_ms = quiet_period.ends_at().saturating_sub(now).as_millis() as u64;
            "this VM holds the fleet's lease");
        let leadership = Leadership {
            first_fence: fence,
            fence,
            paused: None,
            quiet_period,
            relays,
            members: FastMap::default(),
            token_pools: TokenPools::new(
                settings.bounds,
                pools,
                recorded_at,
                floors,
                histories,
                is_copy,
                now,
            ),
            placement: EndpointPlacement::new(settings.bounds, took_over),
            // The first renewal is due at once: pools grant tokens only after a record.
            last_attempt: Duration::ZERO,
            write_failed: false,
            last_renewal: now,
            row_version: StorePosition::START,
            config_version: 0,
            open_reports: 0,
        };
        self.leadership = Some(leadership);
        self.handles.leader.send_replace(None);
        self.apply_config(now);
    }

    /// Gives up the lease before it expires and tells the followers, so that one of them can claim
    /// the lease at once.
    fn resign(&mut self) {
        self.broadcast_resignation();
        self.lease.handle(LeaseEvent::Yield);
        self.stop_leading("the store cannot be reached");
    }

    /// Tells all followers that this VM gives up the lease, and how long the next leader must wait
    /// before it orders each endpoint.
    fn broadcast_resignation(&self) {
        let Some(leadership) = &self.leadership else { return };
        let handover = leadership.quiet_period.handover(boot_now());
        let waits = handover.endpoints.iter().map(|(endpoint, wait)| Wait {
            endpoint: endpoint.to_string(),
            left: wait.as_millis() as u32,
        });
        let message = LeadMessage {
            fence: leadership.fence,
            role: Role::Leader.into(),
            resigned: true,
            rest: handover.default_wait.as_millis() as u32,
            waits: waits.collect(),
            ..LeadMessage::default()
        };
        let relays = self.peers.values().filter(|peer| peer.is_relay());
        for peer in relays {
            // If the connection has ended, PeerDisconnected removes the peer.
            let _ = peer.sender.send(Body::Lead(message.clone()));
        }
    }

    /// Drops the leader's state, if this VM led.
    pub(super) fn stop_leading(&mut self, why: &'static str) {
        let Some(leadership) = self.leadership.take() else { return };
        warn!(fence = leadership.fence, why; "this VM no longer holds the fleet's lease");
        // Relays look for the new leader when their connection ends; members stay.
        self.peers.retain(|id, peer| *id == 0 || !peer.is_relay());
        self.last_read = Duration::ZERO;
    }

    /// Gives up the lease for good, so that another VM can take it at once.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
        self.broadcast_resignation();
        let leadership = self.leadership.take();
        // The release replaces the row's current version, so the lease must know that version.
        self.handle_row(boot_now());
        if let Some(proposal) = self.lease.handle(LeaseEvent::Release) {
            info!(fence = leadership.map_or(0, |leadership| leadership.fence);
                "this VM gives up the fleet's lease");
            let lease = LeaseRow { holder: VmId::default(), ..proposal.row };
            self.propose(Proposal { position: proposal.position, row: lease }, boot_now());
        }
        self.peers.retain(|id, peer| *id == 0 || !peer.is_relay());
    }
}
