//! How soon all VMs of a fleet hold back a part that crashes endpoints, without sockets: VMs report to
//! a relay of their domain, relays to the leader, as `bamboocourse-entry` does.

mod common;

use std::time::Duration;

use bamboocourse_decide::{RequestContent, RequestDigest, SendCheck, TRIAL_TERM};
use rand::RngExt;

use common::{BAD, Fleet, LEADER_GAP, RELAY_ASK_INTERVAL, RELAY_GAP, STEP, Vm};

/// The target: how soon all VMs in touch act after the last of the crashes that suffice.
const TARGET: Duration = Duration::from_secs(1);
/// The time between two crashes, so that three of them suffice.
const CRASH_INTERVAL: Duration = Duration::from_millis(300);

impl Fleet {
    /// Returns whether a VM sends no requests with the bad part.
    fn holds(&mut self, vm: usize) -> bool {
        let digest = RequestDigest::of_id(999);
        let request = RequestContent::new(999, "w5".into(), vec![BAD.into()], digest);
        matches!(self.vms[vm].log.admit(&request, self.now), SendCheck::Held(_))
    }

    /// Returns how long it takes until all VMs that `counts` hold the part back.
    fn time_until_held(&mut self, counts: impl Fn(&Vm) -> bool) -> Duration {
        let began = self.now;
        loop {
            let open = (0..self.vms.len()).find(|vm| {
                let counted = self.vms[*vm].alive && counts(&self.vms[*vm]);
                counted && !self.holds(*vm)
            });
            if open.is_none() {
                return self.now - began;
            }
            assert!(self.now < began + Duration::from_secs(20), "VM {open:?} holds nothing back");
            self.run(STEP);
        }
    }

    /// Crashes endpoints at random VMs of these domains.
    fn crash_some(&mut self, count: u64, from: u64, in_domain: impl Fn(usize) -> bool) {
        for number in from..from + count {
            let vm = loop {
                let vm = self.rng.random_range(0..self.vms.len());
                if self.vms[vm].alive && in_domain(self.vms[vm].domain) {
                    break vm;
                }
            };
            self.run(CRASH_INTERVAL);
            self.crash(vm, number);
        }
    }
}

/// The fleets' sizes, with their domains.
const SIZES: [(usize, usize); 3] = [(8, 3), (79, 3), (295, 5)];
const SEEDS: u64 = 20;

/// Plays each size with some seeds and prints the longest time.
fn play(name: &str, bound: Duration, play: impl Fn(&mut Fleet) -> Duration) {
    for (size, domains) in SIZES {
        let times = (0..SEEDS).map(|seed| play(&mut Fleet::new(size, domains, seed)));
        let longest = times.max().expect("some seeds");
        println!("{name}, {size} VMs: {longest:?}");
        assert!(longest <= bound, "{name}, {size} VMs: {longest:?}");
    }
}

#[test]
fn all_vms_act_soon_after_the_crashes() {
    play("quiet", TARGET, |fleet| {
        fleet.crash_some(3, 0, |_| true);
        fleet.time_until_held(|_| true)
    });
}

// What the killed VM alone has seen is lost with it.
#[test]
fn all_vms_act_although_the_leader_is_killed() {
    play("leader killed", TARGET + LEADER_GAP, |fleet| {
        fleet.crash_some(4, 0, |_| true);
        fleet.kill(0);
        fleet.crash_some(1, 4, |_| true);
        fleet.time_until_held(|_| true)
    });
}

#[test]
fn all_vms_act_although_a_relay_is_killed() {
    play("relay killed", TARGET + RELAY_GAP, |fleet| {
        fleet.crash_some(4, 0, |_| true);
        let relay = fleet.domains + 1;
        fleet.kill(relay);
        fleet.crash_some(1, 4, |_| true);
        fleet.time_until_held(|_| true)
    });
}

#[test]
fn vm_that_starts_learns_with_its_first_report() {
    play("start", TARGET, |fleet| {
        fleet.crash_some(3, 0, |_| true);
        fleet.run(TARGET);
        let last = fleet.vms.len() - 1;
        fleet.kill(last);
        fleet.run(TARGET);
        (fleet.vms[last].alive, fleet.vms[last].next_report) = (true, fleet.now);
        fleet.time_until_held(|_| true)
    });
}

#[test]
fn domain_that_is_cut_off_acts_alone_and_agrees_afterwards() {
    play("domain cut off", TARGET + RELAY_ASK_INTERVAL, |fleet| {
        fleet.cut = Some(1);
        fleet.run(TARGET);
        fleet.crash_some(3, 0, |domain| domain == 1);
        let inside = fleet.time_until_held(|vm| vm.domain == 1);
        assert!((0..fleet.vms.len()).all(|vm| fleet.vms[vm].domain == 1 || !fleet.holds(vm)));
        fleet.cut = None;
        inside.max(fleet.time_until_held(|_| true))
    });
}

// The leader lets it go as an answered request is reported; then all do.
#[test]
fn all_vms_let_a_part_go_that_was_held_back_wrongly() {
    play("let go", TARGET, |fleet| {
        fleet.crash_some(3, 0, |_| true);
        fleet.run(TARGET);
        let (now, vm) = (fleet.now, fleet.vms.len() - 1);
        fleet.vms[vm].log.on_sound(&"w".into(), &[BAD.into()], now, now);
        let began = fleet.now;
        while (0..fleet.vms.len()).any(|vm| fleet.holds(vm)) {
            assert!(fleet.now < began + Duration::from_secs(20), "it is still held back");
            fleet.run(STEP);
        }
        fleet.now - began
    });
}

/// The time between two requests with the part in the whole fleet.
const REQUEST_INTERVALS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_secs(1), Duration::from_secs(60)];
/// From the last crash until a first request may be tried.
const TRIAL_DELAY: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Sends requests with the part to random VMs, at intervals, until all VMs have let it go; returns
    /// how long that takes.
    fn request_until_let_go(&mut self, interval: Duration) -> Duration {
        let began = self.now;
        for number in 10_000.. {
            let vm = self.rng.random_range(0..self.vms.len());
            self.request(vm, number);
            let next = self.now + interval;
            while self.now < next {
                if self.vms.iter().all(|vm| vm.log.held().is_empty()) {
                    return self.now - began;
                }
                self.run(STEP);
            }
            assert!(self.now < began + Duration::from_secs(300), "it is still held back");
        }
        unreachable!("there are always more requests")
    }
}

// Only the leader knows which request is the first; at 295 VMs, its own callers send one in 295.
#[test]
fn part_that_is_held_back_wrongly_is_let_go_wherever_requests_with_it_come() {
    for interval in REQUEST_INTERVALS {
        let bound = TRIAL_DELAY + interval + TRIAL_TERM + TARGET;
        play(&format!("trial, a request each {interval:?}"), bound, |fleet| {
            for number in 0..3 {
                fleet.crash(number as usize % 3, number);
                fleet.run(CRASH_INTERVAL);
            }
            fleet.run(TARGET / 2);
            let time = fleet.request_until_let_go(interval);
            assert_eq!(fleet.trials.len(), 1, "{:?}", fleet.trials);
            time
        });
    }
}

// Requests with the bad part come to all VMs at the same moment.
#[test]
fn one_request_is_tried_at_a_time_in_the_whole_fleet() {
    for (size, domains) in SIZES {
        for seed in 0..SEEDS {
            let mut fleet = Fleet::new(size, domains, seed);
            fleet.answers = false;
            fleet.crash_some(3, 0, |_| true);
            let mut number = 10_000;
            for _ in 0..80 {
                for vm in 0..size {
                    fleet.request(vm, number);
                    number += 1;
                }
                fleet.run(Duration::from_millis(250));
            }
            let gaps: Vec<Duration> = fleet.trials.windows(2).map(|two| two[1] - two[0]).collect();
            assert!(!fleet.trials.is_empty() && fleet.trials.len() <= 3, "{:?}", fleet.trials);
            assert!(gaps.iter().all(|gap| *gap >= TARGET), "{gaps:?}");
        }
    }
}
