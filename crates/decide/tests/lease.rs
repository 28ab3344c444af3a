//! Tests of the lease of a leader.
//!
//! They guard against two VMs holding the lease at once and against a fencing number that falls,
//! which lost replies of the table, pauses, restarts, late commits and a store that comes back as an
//! older copy could cause.

use std::time::Duration;

use bamboocourse_decide::{
    CommitOutcome, FastMap, LEASE_TERM, Lease, LeaseEvent, LeaseRow, Proposal, StorePosition,
};
use proptest::prelude::*;

/// Number of VMs that compete for the lease.
const VMS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// A VM reads the row and sends the proposal that its lease returns.
    Read(usize),
    /// A proposal in flight reaches the table; its outcome reaches the VM if `heard`.
    Commit { which: usize, heard: bool },
    /// A VM gets no outcome of a proposal in flight, which may still reach the table.
    Unknown(usize),
    /// A VM's lease checks the time.
    Tick(usize),
    /// A VM restarts.
    Restart(usize),
    /// A VM gives up the lease for good.
    Release(usize),
    /// A leader gives up the lease for now and announces this to some of the other VMs.
    Yield(usize, [bool; VMS]),
    /// A leader announces its last renewal to another VM.
    Announce(usize, usize),
    /// The store comes back as the copy from before a number of writes; the next write gets a
    /// version that was given out before.
    Restore(usize),
    /// A VM learns from another one of the last era that this one knows.
    TellEra(usize, usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..VMS).prop_map(Step::Read),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(which, heard)| Step::Commit { which, heard }),
        1 => any::<usize>().prop_map(Step::Unknown),
        2 => (0..VMS).prop_map(Step::Tick),
        1 => (0..VMS).prop_map(Step::Restart),
        1 => (0..VMS).prop_map(Step::Release),
        2 => (0..VMS, any::<[bool; VMS]>()).prop_map(|(vm, told)| Step::Yield(vm, told)),
        3 => (0..VMS, 0..VMS).prop_map(|(vm, other)| Step::Announce(vm, other)),
        2 => (0..4usize).prop_map(Step::Restore),
        2 => (0..VMS, 0..VMS).prop_map(|(vm, other)| Step::TellEra(vm, other)),
        5 => (100..9_000u64).prop_map(Step::Wait),
    ]
}

/// A table with the row of the lease, and the VMs that compete for the lease.
struct Simulation {
    now: Duration,
    leases: Vec<Lease>,
    /// The incarnation of each VM's process.
    lives: [u64; VMS],
    /// The position of the last write, and the row.
    position: StorePosition,
    row: Option<LeaseRow>,
    /// The versions and rows of this era and of the copies that it started from.
    history: Vec<(u64, Option<LeaseRow>)>,
    /// Proposals in flight, with the VM that sent each and its incarnation.
    in_flight: Vec<(usize, u64, Proposal)>,
    /// The fencing number and position of each VM's last proposal that it knows to be committed.
    written: [Option<(u64, StorePosition)>; VMS],
    /// The VM and its incarnation that held the lease under each fencing number.
    holders: FastMap<u64, (usize, u64)>,
    /// The number of steps after which a VM held the lease.
    held: usize,
}

impl Simulation {
    fn new() -> Self {
        let leases = (0..VMS).map(|vm| Lease::new(format!("vm-{vm}").into(), 1)).collect();
        Self {
            now: Duration::from_secs(100),
            leases,
            lives: [1; VMS],
            position: StorePosition::START,
            row: None,
            history: vec![(0, None)],
            in_flight: Vec::new(),
            written: [None; VMS],
            holders: FastMap::default(),
            held: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Read(vm) => {
                let event = LeaseEvent::Read(self.position, self.row.clone(), self.now);
                self.handle(vm, event);
            }
            Step::Commit { which, heard } => self.commit(which, heard),
            Step::Unknown(which) if !self.in_flight.is_empty() => {
                let (vm, life, proposal) = &self.in_flight[which % self.in_flight.len()];
                let (vm, life, fence) = (*vm, *life, proposal.row.fence);
                self.settle(vm, life, fence, CommitOutcome::Unknown);
            }
            Step::Unknown(_) => {}
            Step::Tick(vm) => self.handle(vm, LeaseEvent::Tick(self.now)),
            Step::Restart(vm) => {
                self.lives[vm] += 1;
                self.leases[vm] = Lease::new(format!("vm-{vm}").into(), self.lives[vm]);
            }
            Step::Release(vm) => self.handle(vm, LeaseEvent::Release),
            Step::Yield(vm, told) => {
                let Some(fence) = self.leases[vm].held(self.now) else { return };
                self.handle(vm, LeaseEvent::Yield);
                for other in (0..VMS).filter(|other| told[*other] && *other != vm) {
                    self.handle(other, LeaseEvent::Resigned(fence));
                }
            }
            Step::Announce(vm, other) => {
                let held = self.leases[vm].held(self.now);
                let Some((fence, position)) = self.written[vm] else { return };
                if held == Some(fence) && vm != other {
                    self.handle(other, LeaseEvent::Renewed(fence, position, self.now));
                }
            }
            Step::Restore(lost) => {
                self.history.truncate(self.history.len().saturating_sub(lost).max(1));
                let (version, row) = self.history.last().cloned().unwrap_or_default();
                self.row = row;
                self.position = StorePosition::new(self.position.era + 1, version);
            }
            Step::TellEra(vm, other) => {
                let era = self.leases[vm].era();
                self.handle(other, LeaseEvent::EraChanged(era, self.now));
            }
            Step::Wait(millis) => self.now += Duration::from_millis(millis),
        }
    }

    fn handle(&mut self, vm: usize, event: LeaseEvent) {
        if let Some(proposal) = self.leases[vm].handle(event) {
            self.in_flight.push((vm, self.lives[vm], proposal));
        }
    }

    fn commit(&mut self, which: usize, heard: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let (vm, life, proposal) = self.in_flight.swap_remove(which % self.in_flight.len());
        let fence = proposal.row.fence;
        // The store compares the version alone, so a write from before a restore may still apply.
        let outcome = if self.position.version == proposal.position.version {
            self.position.version += 1;
            self.history.push((self.position.version, Some(proposal.row.clone())));
            self.row = Some(proposal.row);
            CommitOutcome::Committed(self.position)
        } else {
            CommitOutcome::Conflict
        };
        if heard && outcome != CommitOutcome::Conflict && self.lives[vm] == life {
            self.written[vm] = Some((fence, self.position));
        }
        self.settle(vm, life, fence, if heard { outcome } else { CommitOutcome::Unknown });
    }

    fn settle(&mut self, vm: usize, life: u64, fence: u64, outcome: CommitOutcome<StorePosition>) {
        if self.lives[vm] == life {
            self.leases[vm].handle(LeaseEvent::Settled(fence, outcome, self.now));
        }
    }

    /// Returns whether another VM has held the lease under the fencing number of one that holds it
    /// now.
    fn is_fence_shared(&mut self) -> bool {
        let mut shared = false;
        for (vm, lease) in self.leases.iter().enumerate() {
            if let Some(fence) = lease.held(self.now) {
                let holder = (vm, self.lives[vm]);
                shared |= *self.holders.entry(fence).or_insert(holder) != holder;
            }
        }
        shared
    }

    /// Returns the fencing numbers under which VMs hold the lease.
    fn held_fences(&self) -> Vec<u64> {
        self.leases.iter().filter_map(|lease| lease.held(self.now)).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn at_most_one_vm_holds_the_lease_and_fences_never_fall(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut simulation = Simulation::new();
        let mut highest = 0;
        for step in &steps {
            simulation.apply(step);
            let held_fences = simulation.held_fences();
            prop_assert!(held_fences.len() <= 1, "{held_fences:?} hold the lease after {step:?}");
            prop_assert!(!simulation.is_fence_shared(), "{held_fences:?} after {step:?}");
            if let Some(fence) = held_fences.first() {
                prop_assert!(*fence >= highest, "{fence} after {highest}");
                highest = *fence;
                simulation.held += 1;
            }
        }
    }
}

/// Guards against a lease that stays unused until it expires although its leader has announced that
/// it gave up the lease. The next leader claims it under a higher fencing number.
#[test]
fn resigned_lease_is_claimed_at_once() {
    let mut simulation = Simulation::new();
    simulation.apply(&Step::Read(0));
    simulation.apply(&Step::Commit { which: 0, heard: true });
    simulation.apply(&Step::Read(1));
    simulation.apply(&Step::Yield(0, [true; VMS]));
    assert_eq!(simulation.held_fences(), []);
    simulation.apply(&Step::Read(1));
    simulation.apply(&Step::Commit { which: 0, heard: true });
    assert_eq!(simulation.held_fences(), [2]);
}

/// Guards against a lease that no VM claims after its leader has failed, or that a VM claims under
/// the old fencing number or before the lease has expired.
#[test]
fn expired_lease_is_claimed_under_a_higher_fence() {
    let mut simulation = Simulation::new();
    simulation.apply(&Step::Read(0));
    simulation.apply(&Step::Commit { which: 0, heard: true });
    assert_eq!(simulation.held_fences(), [1]);
    simulation.apply(&Step::Read(1));
    assert!(simulation.in_flight.is_empty(), "a lease in force is not challenged");
    simulation.apply(&Step::Wait(13_000));
    simulation.apply(&Step::Read(1));
    simulation.apply(&Step::Commit { which: 0, heard: true });
    assert_eq!(simulation.held_fences(), [2]);
}

/// Makes a VM read the row and commits what it proposes, if anything, before what was sent earlier.
fn claim(simulation: &mut Simulation, vm: usize) {
    let sent = simulation.in_flight.len();
    simulation.apply(&Step::Read(vm));
    if simulation.in_flight.len() > sent {
        simulation.apply(&Step::Commit { which: sent, heard: true });
    }
}

/// Guards against a leader that goes on under the old era, and against seconds without a leader
/// after the store has come back: the leader claims the lease at once, under a higher number.
#[test]
fn leader_claims_again_at_once_in_a_new_era() {
    let mut simulation = Simulation::new();
    claim(&mut simulation, 0);
    claim(&mut simulation, 0);
    claim(&mut simulation, 0);
    simulation.apply(&Step::Restore(1));
    simulation.apply(&Step::Read(1));
    simulation.apply(&Step::TellEra(1, 0));
    assert_eq!(simulation.held_fences(), [], "the lease is not claimed in the new era yet");
    assert!(simulation.leases[0].may_resume(simulation.now));
    claim(&mut simulation, 0);
    let fence = (1 << 40) + 3;
    assert_eq!(simulation.held_fences(), [fence]);
    simulation.apply(&Step::Read(1));
    assert!(simulation.in_flight.is_empty(), "the new claim is in force");
}

/// Guards against a vacant row of the copy that is claimed at once, although another VM has claimed
/// the lease after the copy was made.
#[test]
fn vacant_row_of_a_copy_is_not_claimed_at_once() {
    let mut simulation = Simulation::new();
    claim(&mut simulation, 0);
    simulation.apply(&Step::Read(0));
    simulation.in_flight.clear();
    simulation.apply(&Step::Release(0));
    simulation.apply(&Step::Commit { which: 0, heard: true });
    claim(&mut simulation, 1);
    assert_eq!(simulation.held_fences().len(), 1);
    simulation.apply(&Step::Restore(1));
    claim(&mut simulation, 2);
    assert_eq!(simulation.held_fences().len(), 1, "VM 1 still leads");
}

/// Guards against a renewal from before the restore that is applied after it, in place of a row that
/// got the same version: it makes no leader, and the leader that it replaced takes the lease back.
#[test]
fn late_write_of_a_former_era_makes_no_leader() {
    let mut simulation = Simulation::new();
    claim(&mut simulation, 0);
    claim(&mut simulation, 0);
    // Two renewals are on their way to version 2; the first one is applied.
    simulation.apply(&Step::Read(0));
    simulation.apply(&Step::Read(0));
    simulation.apply(&Step::Commit { which: 0, heard: false });
    simulation.apply(&Step::Restore(2));
    simulation.apply(&Step::Wait(LEASE_TERM.as_millis() as u64));
    simulation.apply(&Step::Read(1));
    simulation.apply(&Step::Wait(13_000));
    claim(&mut simulation, 1);
    let held = simulation.held_fences();
    assert_eq!((held.len(), simulation.position.version), (1, 2));
    simulation.apply(&Step::Commit { which: 0, heard: true });
    assert_eq!(simulation.position.version, 3, "the late renewal is applied");
    assert_eq!(simulation.held_fences(), held);
    claim(&mut simulation, 1);
    assert!(simulation.held_fences() > held, "VM 1 goes on under a new number");
}

/// Guards against a VM that takes an absent row for a fleet without a leader, although the store has
/// come back as a copy from before the first claim.
#[test]
fn absent_row_of_a_copy_is_not_claimed_at_once() {
    let mut simulation = Simulation::new();
    claim(&mut simulation, 0);
    simulation.apply(&Step::Restore(1));
    assert_eq!(simulation.row, None);
    claim(&mut simulation, 1);
    assert_eq!(simulation.held_fences(), [1], "VM 0 still leads");
}

/// Guards against a first start that waits for the term of a leader that cannot exist, in a store
/// that had been restored before.
#[test]
fn first_start_claims_an_absent_row_in_any_era() {
    let mut simulation = Simulation::new();
    simulation.position.era = 4;
    simulation.apply(&Step::Read(1));
    assert!(simulation.in_flight.is_empty());
    simulation.handle(0, LeaseEvent::FirstStart);
    claim(&mut simulation, 0);
    assert_eq!(simulation.held_fences(), [(4 << 40) + 1]);
}

// A leaving VM logged each event as the news of an era, as its lease never learned of one.
#[test]
fn released_lease_learns_of_a_new_era_once() {
    let mut lease = Lease::new("vm-1".into(), 1);
    lease.handle(LeaseEvent::EraChanged(1, Duration::ZERO));
    lease.handle(LeaseEvent::Release);
    lease.handle(LeaseEvent::EraChanged(2, Duration::ZERO));
    assert_eq!(lease.era(), 2);
}

// A store that has lost the row may fail to say that it has begun a new era.
#[test]
fn absent_row_is_not_claimed_as_unused_after_a_leader_was_heard() {
    let at = |millis| Duration::from_millis(millis);
    let mut lease = Lease::new("vm-1".into(), 1);
    lease.handle(LeaseEvent::FirstStart);
    let leader = LeaseRow { holder: "vm-0".into(), life: 1, fence: 8, renewals: 0, era: 0 };
    let written = StorePosition::new(0, 8);
    assert!(lease.handle(LeaseEvent::Read(written, Some(leader), at(0))).is_none());
    lease.handle(LeaseEvent::Renewed(8, StorePosition::new(0, 9), at(100)));
    let absent = StorePosition::new(0, 0);
    assert!(lease.handle(LeaseEvent::Read(absent, None, at(200))).is_none());
    let expired = at(200) + LEASE_TERM * 2;
    let claim = lease.handle(LeaseEvent::Read(absent, None, expired)).expect("a claim");
    assert!(claim.row.fence > 8, "{claim:?}");
}

// A VM that starts again while the store neither has the row nor says its era may follow a leader that
// it has not heard of (soak --seed 9047: an order under fence 1 after a higher one).
#[test]
fn absent_row_is_not_claimed_as_unused_after_a_restart() {
    let at = |millis| Duration::from_millis(millis);
    let absent = StorePosition::new(0, 0);
    let mut lease = Lease::new("vm-1".into(), 2);
    lease.handle(LeaseEvent::Restarted);
    assert!(lease.handle(LeaseEvent::Read(absent, None, at(100))).is_none());
    let expired = at(100) + LEASE_TERM * 2;
    assert!(lease.handle(LeaseEvent::Read(absent, None, expired)).is_some());
}
