//! Tests of the appointment of relays while hundreds of VMs start, lose their relay or restart at
//! the same moment. All VMs, the leader and the network are simulated without sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bamboocourse_decide::{Relay, RelayAppointer, Roster, VmId, hash_of};
use proptest::prelude::*;

/// The time between two steps of the simulation, in milliseconds.
const STEP: u64 = 50;
/// The time between two reports of a VM, in milliseconds.
const REPORT_INTERVAL: u64 = 250;
/// How long a connected VM waits for an answer before it looks for another relay, in milliseconds.
const LINK_TIMEOUT: u64 = 1_300;

/// Where a VM reports.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Place {
    /// At the leader, without a place yet.
    Candidate,
    /// At the leader, as a relay.
    Relay,
    /// At a relay.
    Member(VmId),
}

#[derive(Debug, Clone)]
struct Vm {
    relay: Relay,
    capacity: u64,
    place: Place,
    roster: Roster,
    /// When its process runs again; zero if it runs.
    down_until: u64,
    next_report: u64,
    /// When its last report was answered.
    answered: u64,
    /// The relays that did not answer since the last one that did.
    tried: Vec<VmId>,
    /// Whether the leader has not appointed it since it last lost its relay.
    refused: bool,
    /// Since when its domain lacks a relay.
    short_since: Option<u64>,
}

/// How long a domain lacks a relay before its VMs offer themselves, in milliseconds.
const OFFER_DELAY: u64 = 10_000;
/// How long a VM may take to find a relay, in milliseconds.
const SEARCH_TIME: u64 = 1_500;

struct Fleet {
    now: u64,
    vms: BTreeMap<VmId, Vm>,
    leader: RelayAppointer,
    /// The messages that reached the leader.
    leader_messages: usize,
    domains: usize,
}

impl Fleet {
    fn new(size: usize, domains: usize) -> Self {
        let vm = |index: usize| {
            let name = VmId::new(format!("vm-{index}"));
            let peer: SocketAddr = ([127, 0, 0, 1], 1 + index as u16).into();
            let domain = format!("d{}", index % domains).into();
            let start = hash_of(&name) % 300;
            let vm = Vm {
                relay: Relay { vm: name.clone(), domain, peer },
                capacity: 100 + hash_of(&(&name, 1)) % 4,
                place: Place::Candidate,
                roster: Roster::default(),
                down_until: start,
                next_report: start,
                answered: start,
                tried: Vec::new(),
                refused: false,
                short_since: None,
            };
            (name, vm)
        };
        let leader =
            RelayAppointer::new(1, "vm-0".into(), domains, &Roster::default(), Duration::ZERO);
        Self { now: 0, vms: (0..size).map(vm).collect(), leader, leader_messages: 0, domains }
    }

    /// Kills VMs, which restart after `down` ms and know the last roster that the store has.
    fn kill(&mut self, names: &[VmId], down: u64) {
        let roster = self.leader.roster().clone();
        for name in names {
            let Some(vm) = self.vms.get_mut(name) else { continue };
            let start = self.now + down + hash_of(&(name, self.now)) % 300;
            (vm.down_until, vm.next_report, vm.answered) = (start, start, start);
            vm.roster = roster.clone();
            vm.tried.clear();
            (vm.refused, vm.short_since) = (false, None);
            let was_relay = roster.relays.iter().any(|relay| relay.vm == *name);
            vm.place = if was_relay { Place::Relay } else { Place::Candidate };
            vm.choose();
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            let names: Vec<VmId> = self.vms.keys().cloned().collect();
            for name in names {
                self.step(&name);
            }
        }
    }

    fn is_up(&self, name: &VmId) -> bool {
        self.vms.get(name).is_some_and(|vm| self.now >= vm.down_until)
    }

    fn step(&mut self, name: &VmId) {
        let mut vm = self.vms[name].clone();
        if self.now < vm.next_report {
            return;
        }
        vm.next_report = self.now + REPORT_INTERVAL;
        let now = Duration::from_millis(self.now);
        match vm.place.clone() {
            Place::Relay => {
                self.leader_messages += 1;
                self.leader.on_relay(vm.relay.clone(), now);
                vm.answered = self.now;
                vm.roster.update(self.leader.roster());
            }
            Place::Candidate => {
                self.leader_messages += 1;
                let appointed = self.leader.on_candidate(vm.relay.clone(), vm.capacity, now);
                vm.answered = self.now;
                vm.roster.update(self.leader.roster());
                vm.tried.clear();
                if appointed {
                    vm.place = Place::Relay;
                } else {
                    vm.refused = true;
                    vm.choose();
                }
            }
            Place::Member(relay) => {
                let is_relay = self.vms[&relay].place == Place::Relay;
                if self.is_up(&relay) && is_relay {
                    vm.answered = self.now;
                    vm.roster.update(&self.vms[&relay].roster);
                    vm.tried.clear();
                    vm.offer(self.now);
                } else if !self.is_up(&relay) || !is_relay || self.now > vm.answered + LINK_TIMEOUT
                {
                    vm.tried.push(relay);
                    vm.refused = false;
                    vm.choose();
                }
            }
        }
        self.vms.insert(name.clone(), vm);
    }

    /// Returns the VMs whose relay does not run, among those that have run for a time in ms.
    fn unserved_after(&self, time: u64) -> Vec<&VmId> {
        let served = |vm: &Vm| match &vm.place {
            Place::Relay => true,
            Place::Candidate => false,
            Place::Member(relay) => self.is_up(relay) && self.vms[relay].place == Place::Relay,
        };
        let running = self.vms.values().filter(|vm| self.now >= vm.down_until + time);
        running.filter(|vm| !served(vm)).map(|vm| &vm.relay.vm).collect()
    }

    /// Returns the VMs without a relay; a VM that has just started is still looking.
    fn unserved(&self) -> Vec<&VmId> {
        self.unserved_after(SEARCH_TIME)
    }

    fn relays(&self, domain: &str) -> Vec<VmId> {
        let relays = self.vms.values().filter(|vm| vm.place == Place::Relay);
        let own = relays.filter(|vm| vm.relay.domain == domain);
        own.map(|vm| vm.relay.vm.clone()).collect()
    }

    fn assert_served(&self, what: &str) {
        assert!(self.unserved().is_empty(), "{what}: {:?}", self.unserved());
        for domain in 0..self.domains {
            let count = self.relays(&format!("d{domain}")).len();
            assert!(count >= 1, "{what}: d{domain} has no relay");
        }
    }
}

impl Vm {
    /// Chooses the next relay to try, or the leader.
    fn choose(&mut self) {
        if self.place == Place::Relay {
            return;
        }
        let choices = self.roster.choices(&self.relay.domain, &self.relay.vm);
        let next = choices.iter().find(|relay| !self.tried.contains(&relay.vm));
        let offers = self.roster.is_short(&self.relay.domain) && !self.refused;
        self.place = match next {
            Some(relay) if !offers => Place::Member(relay.vm.clone()),
            _ => Place::Candidate,
        };
    }

    /// Goes to the leader if the domain has lacked a relay for long.
    fn offer(&mut self, now: u64) {
        if !self.roster.is_short(&self.relay.domain) {
            self.short_since = None;
            return;
        }
        let since = *self.short_since.get_or_insert(now);
        let jitter = hash_of(&(&self.relay.vm, since)) % OFFER_DELAY;
        if now >= since + OFFER_DELAY + jitter {
            (self.refused, self.short_since) = (false, None);
            self.choose();
        }
    }
}

/// Starts a fleet and checks that every VM has a relay within a second and a half.
fn started(size: usize, domains: usize) -> Fleet {
    let mut fleet = Fleet::new(size, domains);
    fleet.run(300 + SEARCH_TIME);
    fleet.assert_served("after the start");
    fleet
}

macro_rules! sizes {
    ($($name:ident: $size:expr, $domains:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (size, domains) = ($size, $domains);
                let mut fleet = started(size, domains);
                let relays: usize =
                    (0..domains).map(|domain| fleet.relays(&format!("d{domain}")).len()).sum();
                assert!(relays <= 2 * domains.max(8), "{relays} relays");
                // Once all have a place, only relays speak to the leader.
                let before = fleet.leader_messages;
                fleet.run(1_000);
                let messages = fleet.leader_messages - before;
                assert!(messages <= relays * 5, "{messages} messages a second");
            }
        )*
    };
}

sizes! {
    eight_vms: 8, 3;
    thirty_vms: 30, 5;
    seventy_nine_vms: 79, 3;
    three_hundred_vms: 295, 5;
}

/// In a small fleet every VM is a relay.
#[test]
fn all_vms_of_a_small_fleet_are_relays() {
    let fleet = started(8, 3);
    assert!(fleet.vms.values().all(|vm| vm.place == Place::Relay));
}

/// The leader hears at most two messages of each VM that starts.
#[test]
fn a_start_of_300_makes_few_messages() {
    let fleet = started(295, 5);
    assert!(fleet.leader_messages <= 295 * 3, "{}", fleet.leader_messages);
}

#[test]
fn relays_are_the_larger_vms() {
    let fleet = started(295, 5);
    for vm in fleet.vms.values().filter(|vm| vm.place == Place::Relay) {
        assert_eq!(vm.capacity, 103, "{}", vm.relay.vm);
    }
}

#[test]
fn vms_share_the_relays_of_their_domain() {
    let fleet = started(295, 5);
    let mut members: BTreeMap<&VmId, usize> = BTreeMap::new();
    for vm in fleet.vms.values() {
        if let Place::Member(relay) = &vm.place {
            *members.entry(relay).or_default() += 1;
        }
    }
    let most = members.values().max().expect("some VMs are members");
    assert!(*most <= 40, "{most} VMs at one relay");
}

/// A relay that does not come back is replaced, and few VMs offer themselves for its place.
#[test]
fn a_lost_relay_is_replaced() {
    let mut fleet = started(295, 5);
    let relays = fleet.relays("d1");
    fleet.kill(&relays[..1], 600_000);
    let before = fleet.leader_messages;
    fleet.run(30_000);
    fleet.assert_served("after the loss of a relay for good");
    let running = fleet.relays("d1").iter().filter(|name| fleet.is_up(name)).count();
    assert_eq!(running, relays.len());
    let messages = fleet.leader_messages - before;
    assert!(messages <= 15 * 30 * 5, "{messages}");
}

/// A VM that joins a small fleet becomes a relay, too.
#[test]
fn a_vm_that_joins_a_small_fleet_is_a_relay() {
    let mut fleet = Fleet::new(8, 3);
    let late = VmId::new("vm-7");
    fleet.kill(std::slice::from_ref(&late), 5_000);
    fleet.run(9_000);
    assert_eq!(fleet.vms[&late].place, Place::Relay);
}

/// A relay's VMs go to another one of its domain, without a word to the leader.
#[test]
fn loss_of_a_relay_is_made_up_for_within_its_domain() {
    let mut fleet = started(295, 5);
    let lost = fleet.relays("d1").remove(0);
    let before = fleet.leader_messages;
    fleet.kill(&[lost], 60_000);
    fleet.run(1_000);
    fleet.assert_served("after the loss of a relay");
    assert!(fleet.leader_messages - before <= 15 * 5, "{}", fleet.leader_messages - before);
}

#[test]
fn loss_of_all_relays_of_a_domain_is_made_up_for() {
    let mut fleet = started(295, 5);
    let lost = fleet.relays("d1");
    let before = fleet.leader_messages;
    fleet.kill(&lost, 60_000);
    fleet.run(3_000);
    fleet.assert_served("after the loss of all relays of a domain");
    let messages = fleet.leader_messages - before;
    assert!(messages <= 15 * 13 + 60 * 12, "{messages}");
}

#[test]
fn a_kill_of_all_vms_is_over_a_second_after_the_restart() {
    let mut fleet = started(295, 5);
    let all: Vec<VmId> = fleet.vms.keys().cloned().collect();
    fleet.kill(&all, 500);
    let former = fleet.leader.roster().clone();
    let now = Duration::from_millis(fleet.now);
    fleet.leader = RelayAppointer::new(2, "vm-1".into(), 5, &former, now);
    fleet.run(500 + 300 + 700);
    let unserved = fleet.unserved_after(600);
    assert!(unserved.is_empty(), "{unserved:?}");
    let relays: usize = (0..5).map(|domain| fleet.relays(&format!("d{domain}")).len()).sum();
    assert!(relays <= 15, "{relays} relays");
}

#[test]
fn a_new_leader_keeps_the_relays() {
    let mut fleet = started(295, 5);
    let before: Vec<Vec<VmId>> = (0..5).map(|domain| fleet.relays(&format!("d{domain}"))).collect();
    let now = Duration::from_millis(fleet.now);
    fleet.leader = RelayAppointer::new(2, "vm-1".into(), 5, &Roster::default(), now);
    fleet.run(2_000);
    fleet.assert_served("after a change of leader");
    let after: Vec<Vec<VmId>> = (0..5).map(|domain| fleet.relays(&format!("d{domain}"))).collect();
    assert_eq!(before, after);
}

/// Rolling restarts of all VMs leave every VM that runs with a relay, and few relays in all.
#[test]
fn rolling_restarts_do_not_pile_up_relays() {
    let mut fleet = started(295, 5);
    let all: Vec<VmId> = fleet.vms.keys().cloned().collect();
    for batch in all.chunks(12) {
        fleet.kill(batch, 700);
        fleet.run(1_000);
    }
    fleet.run(2_000);
    fleet.assert_served("after rolling restarts");
    let relays: usize = (0..5).map(|domain| fleet.relays(&format!("d{domain}")).len()).sum();
    assert!(relays <= 20, "{relays} relays");
}

#[derive(Debug, Clone)]
enum Trouble {
    /// Kills a share of all VMs, in percent, for a time in ms.
    Kill(u64, u64),
    /// Kills all relays of a domain for a time in ms.
    KillRelays(usize, u64),
    /// Another VM leads, which knows the roster or not.
    NewLeader(bool),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (1..100u64, 200..4_000u64).prop_map(|(share, down)| Trouble::Kill(share, down)),
        (0..5usize, 200..20_000u64).prop_map(|(domain, down)| Trouble::KillRelays(domain, down)),
        any::<bool>().prop_map(Trouble::NewLeader),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..Default::default() })]

    /// After any series of troubles, each VM that runs has a relay three seconds later, and the
    /// version of the roster only grows.
    #[test]
    fn every_vm_finds_a_relay_again(
        troubles in prop::collection::vec((trouble(), 50..3_000u64), 1..6),
        size in prop::sample::select(vec![8usize, 33, 79, 150]),
    ) {
        let mut fleet = Fleet::new(size, 5);
        fleet.run(1_500);
        let mut fence = 1;
        for (trouble, pause) in troubles {
            let version = fleet.leader.roster().version;
            match trouble {
                Trouble::Kill(share, down) => {
                    let picked = |name: &&VmId| hash_of(&(name, fence, down)) % 100 < share;
                    let names: Vec<VmId> = fleet.vms.keys().filter(picked).cloned().collect();
                    fleet.kill(&names, down);
                }
                Trouble::KillRelays(domain, down) => {
                    let names = fleet.relays(&format!("d{domain}"));
                    fleet.kill(&names, down);
                }
                Trouble::NewLeader(knows) => {
                    fence += 1;
                    let former =
                        if knows { fleet.leader.roster().clone() } else { Roster::default() };
                    let now = Duration::from_millis(fleet.now);
                    fleet.leader = RelayAppointer::new(fence, "vm-2".into(), 5, &former, now);
                }
            }
            fleet.run(pause);
            prop_assert!(fleet.leader.roster().version >= version);
        }
        fleet.run(3_000);
        prop_assert!(fleet.unserved().is_empty(), "{:?}", fleet.unserved());
    }
}
