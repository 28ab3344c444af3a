//! The lease of a leader, kept as a row of the platform's table.
//!
//! The leader counts its term from before it sent each renewal. A challenger counts from the time
//! it last saw the row change, and waits longer than the term, so the clocks of two VMs are
//! never compared.
//!
//! The store may come back as an older copy, which starts a new era and gives out versions again.
//! - A leader that learns of a new era leads again only once it has claimed the lease in that era.
//! - A commit counts only in the era of the row that it replaces: in a later era another row may
//!   have that row's version.
//! - Each row names the era in which it was proposed. If that is not the era of its position, a
//!   later leader may be missing from the copy, or the row may have replaced a later leader's. Then
//!   only the VM that led until now may claim the lease at once; all others wait.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use statig::Outcome;
use statig::Outcome::{Handled, Transition};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use statig::state_machine;

use crate::ids::{Fence, Incarnation, VmId};
use crate::process::limits::shares::CommitOutcome;
use crate::process::store_position::{StoreEra, StorePosition};

/// How long a renewal lasts on the leader's clock.
pub const LEASE_TERM: Duration = Duration::from_secs(10);

/// How much longer than the term a challenger waits.
pub const LEASE_MARGIN: Duration = Duration::from_secs(3);

/// Time between two renewals by the leader.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// The number of a fencing number's low bits, which come from the version of a row; the bits above
/// them are the era's.
const FENCE_VERSION_BITS: u32 = 40;
/// The largest era that goes into fencing numbers, which endpoints read as JSON numbers: they stay
/// below 2^53.
const MAX_FENCE_ERA: StoreEra = (1 << 13) - 1;

/// The durations that govern a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a renewal lasts on the leader's clock.
    pub term: Duration,
    /// How much longer than the term a challenger waits.
    pub margin: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self { term: LEASE_TERM, margin: LEASE_MARGIN }
    }
}

/// The row of a lease in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The VM that holds the lease; empty if it was released.
    pub holder: VmId,
    /// The process instance of that VM.
    pub life: Incarnation,
    /// The fencing number, which grows with every change of leader.
    pub fence: Fence,
    /// The number of renewals and new claims since the first claim.
    pub renewals: u64,
    /// The era of the row that this row was to replace.
    #[serde(default)]
    pub era: StoreEra,
}

/// An event for a [`Lease`].
#[derive(Debug, Clone)]
pub enum LeaseEvent {
    /// The row was read at a time, at its position, whose version is 0 if the row was absent. A
    /// leader proposes a renewal in response.
    Read(StorePosition, Option<LeaseRow>, Duration),
    /// The commit of a row proposed under a fencing number has an outcome, at a time.
    Settled(Fence, CommitOutcome<StorePosition>, Duration),
    /// No leader can have existed before this VM's first read, so that the lease may be claimed at
    /// once if the row is absent, whatever the era.
    FirstStart,
    /// A leader may have existed before this VM's first read, so that an absent row may have been lost,
    /// also if the store does not say its era.
    Restarted,
    /// Another VM or another answer of the store told of an era, at a time.
    EraChanged(StoreEra, Duration),
    /// Time has passed; the argument is the present time.
    Tick(Duration),
    /// The leader announced a renewal of the row: its fencing number, the row's new position, and
    /// the time at which this VM received the announcement.
    Renewed(Fence, StorePosition, Duration),
    /// The leader announced that it gave up the lease that it held under a fencing number.
    Resigned(Fence),
    /// This VM gives up the lease, but may claim it again.
    Yield,
    /// This VM gives up the lease for good.
    Release,
}

impl LeaseEvent {
    /// Returns the era that the event tells of, and the time of the event.
    fn era(&self) -> Option<(StoreEra, Duration)> {
        match self {
            Self::Read(position, _, now)
            | Self::Settled(_, CommitOutcome::Committed(position), now)
            | Self::Renewed(_, position, now) => Some((position.era, *now)),
            Self::EraChanged(era, now) => Some((*era, *now)),
            Self::Settled(..)
            | Self::FirstStart
            | Self::Restarted
            | Self::Tick(_)
            | Self::Resigned(_)
            | Self::Yield
            | Self::Release => None,
        }
    }
}

/// A row to commit, provided that the stored row is still at a given position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The position that the stored row must have; its version is 0 if the row must be absent.
    pub position: StorePosition,
    /// The new row.
    pub row: LeaseRow,
}

/// One VM's view of a lease, as a state machine.
pub struct Lease {
    machine: StateMachine<LeaseMachine>,
}

impl Lease {
    /// Creates a lease with the default terms that this VM does not hold.
    ///
    /// ```
    /// use bamboocourse_decide::Lease;
    /// use std::time::Duration;
    /// let lease = Lease::new("vm-1".into(), 1);
    /// assert_eq!(lease.held(Duration::ZERO), None);
    /// ```
    pub fn new(vm: VmId, life: Incarnation) -> Self {
        Self::with_terms(vm, life, LeaseTerms::default())
    }

    /// Creates a lease with other terms that this VM does not hold.
    pub fn with_terms(vm: VmId, life: Incarnation, terms: LeaseTerms) -> Self {
        let machine = LeaseMachine {
            vm,
            life,
            terms,
            era: None,
            first_start: false,
            restarted: false,
            seen: None,
            until: Duration::ZERO,
            former_until: Duration::ZERO,
            sent: None,
            resigned: 0,
            heard: 0,
        };
        Self { machine: machine.state_machine() }
    }

    /// Handles an event and returns the row to propose, if any.
    ///
    /// An event of an era before the last known one is ignored.
    pub fn handle(&mut self, event: LeaseEvent) -> Option<Proposal> {
        let mut proposal = None;
        if let Some((era, now)) = event.era() {
            if self.machine.inner().era.is_some_and(|known| era < known) {
                return None;
            }
            let changed = LeaseEvent::EraChanged(era, now);
            self.machine.handle_with_context(&changed, &mut proposal);
        }
        self.machine.handle_with_context(&event, &mut proposal);
        proposal
    }

    /// Returns the fencing number if this VM holds the lease.
    pub fn held(&self, now: Duration) -> Option<Fence> {
        self.term().filter(|(_, until)| now < *until).map(|(fence, _)| fence)
    }

    /// Returns the fencing number under which this VM leads, and when its term ends.
    ///
    /// The term may have ended already if no event came since.
    pub fn term(&self) -> Option<(Fence, Duration)> {
        match self.machine.state() {
            State::Leading { fence } => Some((*fence, self.machine.inner().until)),
            _ => None,
        }
    }

    /// Returns when this VM may claim the lease unless the row changes: the term of whoever may hold it
    /// has ended by then. `None` before the first read, and while this VM leads.
    ///
    /// ```
    /// use bamboocourse_decide::{LEASE_MARGIN, LEASE_TERM, Lease, LeaseEvent, StorePosition};
    /// use std::time::Duration;
    /// let mut lease = Lease::new("vm-1".into(), 1);
    /// assert_eq!(lease.claimable_at(), None);
    /// let now = Duration::from_secs(5);
    /// lease.handle(LeaseEvent::Read(StorePosition::new(2, 0), None, now));
    /// assert_eq!(lease.claimable_at(), Some(now + LEASE_TERM + LEASE_MARGIN));
    /// ```
    pub fn claimable_at(&self) -> Option<Duration> {
        let machine = self.machine.inner();
        let is_following = matches!(self.machine.state(), State::Following {});
        let seen = machine.seen.as_ref().filter(|_| is_following)?;
        Some(seen.changed + machine.terms.term + machine.terms.margin)
    }

    /// Returns whether this VM led until the era changed and may claim the lease at once, as no
    /// other VM can have led since.
    pub fn may_resume(&self, now: Duration) -> bool {
        matches!(self.machine.state(), State::Following {})
            && now < self.machine.inner().former_until
    }

    /// Returns whether no leader can have existed before this VM's first read, nor has the store
    /// lost a row since.
    pub fn is_first_start(&self) -> bool {
        self.machine.inner().first_start
    }

    /// Returns the last era that this VM knows of; 0 before the first.
    pub fn era(&self) -> StoreEra {
        self.machine.inner().era.unwrap_or_default()
    }

    /// Returns the row as this VM last saw it; `None` before the first read of an existing row.
    pub fn seen(&self) -> Option<&LeaseRow> {
        self.machine.inner().seen.as_ref().and_then(|seen| seen.row.as_ref())
    }
}

/// What a VM knows about a lease, whatever the state of the state machine.
pub(crate) struct LeaseMachine {
    vm: VmId,
    life: Incarnation,
    terms: LeaseTerms,
    /// The last known era.
    era: Option<StoreEra>,
    /// Whether no leader can have existed before this VM's first read.
    first_start: bool,
    /// Whether one may have, in whatever era.
    restarted: bool,
    /// What was read last in this era.
    seen: Option<Seen>,
    /// When the term of the last renewal ends.
    until: Duration,
    /// When the term ends under which this VM led until the era changed; zero if another VM may
    /// have led since.
    former_until: Duration,
    /// The proposal that has no outcome yet.
    sent: Option<Sent>,
    /// The largest fencing number whose leader is known to have given up the lease.
    resigned: Fence,
    /// The largest fencing number of a leader that this VM has heard of; 0 if it has heard of none.
    heard: Fence,
}

/// The row as it was last seen.
struct Seen {
    position: StorePosition,
    /// `None` if the row was absent.
    row: Option<LeaseRow>,
    /// When the row was last seen to have changed, or its leader announced a renewal.
    changed: Duration,
}

impl Seen {
    /// Returns the row if it was proposed in the era of its position, so that it tells who led last.
    fn current_row(&self) -> Option<&LeaseRow> {
        self.row.as_ref().filter(|row| row.era == self.position.era)
    }

    /// Returns the fencing number of a claim that replaces the row.
    ///
    /// At most one commit replaces the row at a position, so no two leaders get the same number.
    fn next_fence(&self) -> Fence {
        let StorePosition { era, version } = self.position;
        let number = (era.min(MAX_FENCE_ERA) << FENCE_VERSION_BITS) + version + 1;
        self.row.as_ref().map_or(number, |row| number.max(row.fence + 1))
    }
}

/// A proposal that was sent.
struct Sent {
    at: Duration,
    fence: Fence,
}

/// The row to propose after an event.
type NextProposal = Option<Proposal>;

#[state_machine(initial = "State::following()")]
impl LeaseMachine {
    #[state]
    fn following(&mut self, context: &mut NextProposal, event: &LeaseEvent) -> Outcome<State> {
        match event {
            LeaseEvent::Read(position, row, now) => {
                self.observe(*position, row, *now);
                if let Some(fence) = self.claim(*now) {
                    *context = self.propose(fence, *now);
                }
                Handled
            }
            LeaseEvent::Settled(proposed, outcome, _) => match self.settle(*proposed, *outcome) {
                Some(fence) => {
                    self.former_until = Duration::ZERO;
                    Transition(State::leading(fence))
                }
                None => Handled,
            },
            LeaseEvent::EraChanged(era, _) => {
                self.enter_era(*era);
                Handled
            }
            LeaseEvent::Renewed(fence, position, now) => {
                self.heard = self.heard.max(*fence);
                self.on_renewed(*fence, *position, *now);
                Handled
            }
            LeaseEvent::Resigned(fence) => {
                self.resigned = self.resigned.max(*fence);
                self.heard = self.heard.max(*fence);
                Handled
            }
            LeaseEvent::Yield => {
                self.former_until = Duration::ZERO;
                Handled
            }
            LeaseEvent::FirstStart => {
                self.first_start = true;
                Handled
            }
            LeaseEvent::Restarted => {
                self.restarted = true;
                Handled
            }
            LeaseEvent::Tick(_) => Handled,
            LeaseEvent::Release => Transition(State::released()),
        }
    }

    #[state]
    fn leading(
        &mut self,
        fence: &mut Fence,
        context: &mut NextProposal,
        event: &LeaseEvent,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Read(position, row, now) => {
                self.observe(*position, row, *now);
                if *now >= self.until {
                    return Transition(State::following());
                }
                if self.is_own(*fence) {
                    *context = self.propose(*fence, *now);
                    return Handled;
                }
                if self.seen.as_ref().is_some_and(|seen| seen.current_row().is_none()) {
                    // A write from before the era has replaced this VM's row.
                    self.former_until = self.until;
                    if let Some(fence) = self.claim(*now) {
                        *context = self.propose(fence, *now);
                    }
                }
                Transition(State::following())
            }
            LeaseEvent::Settled(proposed, outcome, _) => {
                self.settle(*proposed, *outcome);
                Handled
            }
            LeaseEvent::EraChanged(era, _) => {
                if !self.enter_era(*era) {
                    return Handled;
                }
                self.former_until = self.until;
                Transition(State::following())
            }
            LeaseEvent::Tick(now) if *now >= self.until => Transition(State::following()),
            LeaseEvent::FirstStart
            | LeaseEvent::Restarted
            | LeaseEvent::Tick(_)
            | LeaseEvent::Renewed(..)
            | LeaseEvent::Resigned(_) => Handled,
            LeaseEvent::Yield => {
                self.resigned = self.resigned.max(*fence);
                self.sent = None;
                Transition(State::following())
            }
            LeaseEvent::Release => {
                *context = self.vacate();
                Transition(State::released())
            }
        }
    }

    #[state]
    fn released(&mut self, event: &LeaseEvent) -> Outcome<State> {
        // A VM that released the lease is leaving and never claims it again.
        if let LeaseEvent::EraChanged(era, _) = event {
            self.enter_era(*era);
        }
        Handled
    }
}

impl LeaseMachine {
    /// Records the last known era; returns whether it is another one.
    fn enter_era(&mut self, era: StoreEra) -> bool {
        match self.era.replace(era) {
            None => false,
            Some(former) if former == era => false,
            Some(_) => {
                // What was read or sent before is no longer about this era's rows.
                self.seen = None;
                self.sent = None;
                self.first_start = false;
                true
            }
        }
    }

    /// Records the row that was read, and when its position changed.
    fn observe(&mut self, position: StorePosition, row: &Option<LeaseRow>, now: Duration) {
        self.heard = row.as_ref().map_or(self.heard, |row| self.heard.max(row.fence));
        if self.seen.as_ref().is_none_or(|seen| seen.position != position) {
            self.seen = Some(Seen { position, row: row.clone(), changed: now });
        }
        let is_other = |row: &LeaseRow| row.holder != self.vm || row.life != self.life;
        if self.seen.as_ref().and_then(Seen::current_row).is_some_and(is_other) {
            self.former_until = Duration::ZERO;
        }
    }

    /// Records a renewal that the leader announced, so that a challenger keeps waiting without
    /// reading the row.
    fn on_renewed(&mut self, fence: Fence, position: StorePosition, now: Duration) {
        let Some(seen) = &mut self.seen else { return };
        let is_same = seen.current_row().is_some_and(|row| row.fence == fence);
        if is_same && seen.position < position {
            seen.position = position;
            seen.changed = now;
        }
    }

    /// Returns the fencing number to claim the lease with, if this VM may claim it.
    fn claim(&self, now: Duration) -> Option<Fence> {
        let seen = self.seen.as_ref()?;
        let expired = now >= seen.changed + self.terms.term + self.terms.margin;
        let Some(row) = seen.current_row() else {
            // Without a row, there was no leader unless the store has lost the row.
            let unused = seen.row.is_none()
                && self.heard == 0
                && (self.first_start || (seen.position.era == 0 && !self.restarted));
            let resumes = now < self.former_until;
            return (unused || resumes || expired).then(|| self.next_fence(seen));
        };
        if row.fence <= self.resigned {
            return Some(self.next_fence(seen));
        }
        if row.holder == self.vm && row.life == self.life {
            // The outcome of an earlier claim was lost, but the row shows that it was committed.
            return Some(row.fence);
        }
        let vacant = row.holder.is_empty();
        let restarted = row.holder == self.vm && row.life < self.life;
        (vacant || restarted || expired).then(|| self.next_fence(seen))
    }

    /// Returns the fencing number of a claim, above all that this VM has heard of: a store that has
    /// lost the row may not say so.
    fn next_fence(&self, seen: &Seen) -> Fence {
        seen.next_fence().max(self.heard.saturating_add(1))
    }

    /// Returns whether the row names this process instance as the leader under a fencing number.
    fn is_own(&self, fence: Fence) -> bool {
        let own =
            |row: &LeaseRow| row.holder == self.vm && row.life == self.life && row.fence == fence;
        self.seen.as_ref().and_then(Seen::current_row).is_some_and(own)
    }

    /// Returns a row that claims or renews the lease, and records that it was sent.
    fn propose(&mut self, fence: Fence, now: Duration) -> NextProposal {
        let seen = self.seen.as_ref()?;
        self.sent = Some(Sent { at: now, fence });
        let position = seen.position;
        let renewals = seen.row.as_ref().map_or(0, |row| row.renewals + 1);
        let (holder, life, era) = (self.vm.clone(), self.life, position.era);
        Some(Proposal { position, row: LeaseRow { holder, life, fence, renewals, era } })
    }

    /// Applies the outcome of a proposal; returns the fencing number if the lease is now held.
    fn settle(&mut self, proposed: Fence, outcome: CommitOutcome<StorePosition>) -> Option<Fence> {
        // An outcome from before the lease was given up does not apply to a later proposal.
        let sent = self.sent.take_if(|sent| sent.fence == proposed)?;
        let CommitOutcome::Committed(_) = outcome else { return None };
        self.until = sent.at + self.terms.term;
        Some(sent.fence)
    }

    /// Returns a row that names no leader, so that another VM can claim the lease at once.
    fn vacate(&self) -> NextProposal {
        let seen = self.seen.as_ref()?;
        let row = LeaseRow { holder: VmId::default(), life: 0, ..seen.row.clone()? };
        Some(Proposal { position: seen.position, row })
    }
}
