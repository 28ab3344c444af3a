//! How soon all VMs of a fleet hold back a part that crashes endpoints, without sockets: VMs report to
//! a relay of their domain, relays to the leader, as `bamboocourse-entry` does.

use std::time::Duration;

use bamboocourse_decide::{CrashLog, EndpointEnd, PartId, Prompt, PromptCheck, TRIAL_TERM, VmId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The part that crashes endpoints.
const BAD: &str = "bad";
/// The time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// The time between two reports of a VM.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long after an event a VM reports: this, and more for each VM that reports to it.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(12);
/// See `URGENT_REPORT_DELAY`.
const MEMBER_REPORT_DELAY: Duration = Duration::from_millis(3);
/// How long a report and its reply take together.
const ROUND_TRIP: Duration = Duration::from_millis(10);
/// How long the fleet is without a leader after the former one was killed.
const LEADER_GAP: Duration = Duration::from_millis(2_500);
/// How long a member looks for another relay after its relay was killed.
const RELAY_GAP: Duration = Duration::from_millis(1_600);
/// How often a relay that reaches no leader asks the other relay of its domain, as a rule.
const RELAY_ASK_INTERVAL: Duration = Duration::from_millis(1_500);
/// The target: how soon all VMs in touch act after the last of the crashes that suffice.
const TARGET: Duration = Duration::from_secs(1);
/// The time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(150);

struct Vm {
    log: CrashLog,
    domain: usize,
    /// The VM that this one reports to, by index; `None` for the leader and while there is none.
    upper: Option<usize>,
    /// The last end of an endpoint that the upper VM was told; `None` before the first report.
    told: Option<u64>,
    next_report: Duration,
    /// Until when the VM looks for another one to report to.
    lost_until: Duration,
    alive: bool,
}

/// A request with the part, and the VM where it waits for the leader's word.
struct Waiting {
    vm: usize,
    request: Prompt,
    until: Duration,
}

struct Fleet {
    vms: Vec<Vm>,
    waiting: Vec<Waiting>,
    /// When requests were tried.
    trials: Vec<Duration>,
    /// Whether requests that are tried are answered.
    answers: bool,
    domains: usize,
    leader: Option<usize>,
    /// When there will be a leader again.
    leads_from: Duration,
    /// A domain that is cut off from the others.
    cut: Option<usize>,
    now: Duration,
    rng: StdRng,
}

impl Fleet {
    /// Builds a fleet; the first two VMs of a domain are its relays, and the first VM leads.
    fn new(size: usize, domains: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let vms = (0..size).map(|index| Vm {
            log: CrashLog::default(),
            domain: index % domains,
            upper: None,
            told: None,
            next_report: Duration::from_millis(rng.random_range(0..250)),
            lost_until: Duration::ZERO,
            alive: true,
        });
        let vms: Vec<Vm> = vms.collect();
        let now = Duration::from_secs(10);
        let mut fleet = Self {
            vms,
            waiting: Vec::new(),
            trials: Vec::new(),
            answers: true,
            domains,
            leader: Some(0),
            leads_from: now,
            cut: None,
            now,
            rng,
        };
        fleet.vms[0].log.set_leads(true);
        fleet.run(Duration::from_secs(1));
        fleet
    }

    fn is_relay(&self, vm: usize) -> bool {
        vm < self.domains * 2
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.vms[a].domain, self.vms[b].domain);
        a == b || (self.cut != Some(a) && self.cut != Some(b))
    }

    /// Returns which VM one should report to now.
    fn upper(&self, vm: usize) -> Option<usize> {
        if self.is_relay(vm) {
            return self.leader.filter(|leader| *leader != vm && self.reaches(vm, *leader));
        }
        let relays = [vm % self.domains, vm % self.domains + self.domains];
        let preferred = usize::from(vm / self.domains % 2 == 1);
        [relays[preferred], relays[1 - preferred]].into_iter().find(|relay| self.vms[*relay].alive)
    }

    fn members(&self, vm: usize) -> u32 {
        self.vms.iter().filter(|other| other.upper == Some(vm) && other.alive).count() as u32
    }

    /// Lets a VM that has news report soon.
    fn hurry(&mut self, vm: usize) {
        let delay = URGENT_REPORT_DELAY + MEMBER_REPORT_DELAY * self.members(vm);
        let due = self.now + delay;
        self.vms[vm].next_report = self.vms[vm].next_report.min(due);
    }

    /// A VM sees an endpoint end under a request with the bad part.
    fn crash(&mut self, vm: usize, number: u64) {
        let parts = vec!["first".into(), BAD.into()];
        let workspace = format!("w{}", number % 2).as_str().into();
        let end = EndpointEnd {
            instance: (format!("e{number}").into(), 1),
            at: self.now,
            suspects: vec![Prompt { request: number, workspace, parts }],
            sound: vec![("first".into(), self.now)],
        };
        let now = self.now;
        self.vms[vm].log.on_end(end, now);
        self.tell_members(vm);
        self.hurry(vm);
    }

    fn kill(&mut self, vm: usize) {
        self.vms[vm].alive = false;
        self.vms[vm].log = CrashLog::default();
        if self.leader == Some(vm) {
            self.leader = None;
            self.leads_from = self.now + LEADER_GAP;
        }
        for other in &mut self.vms {
            if other.upper == Some(vm) {
                (other.upper, other.told) = (None, None);
                other.lost_until = self.now + RELAY_GAP;
            }
        }
    }

    /// Tells the VMs that report to this one at once what it holds back.
    fn tell_members(&mut self, vm: usize) {
        let held = self.vms[vm].log.held();
        let now = self.now;
        for other in 0..self.vms.len() {
            if self.vms[other].upper == Some(vm) && self.vms[other].alive && self.reaches(vm, other)
            {
                let before = self.vms[other].log.held().len();
                self.vms[other].log.on_told(held.clone(), now);
                if self.vms[other].log.held().len() != before && self.is_relay(other) {
                    self.tell_members(other);
                }
            }
        }
    }

    fn report(&mut self, vm: usize) {
        let upper = self.upper(vm);
        if upper != self.vms[vm].upper {
            (self.vms[vm].upper, self.vms[vm].told) = (upper, None);
        }
        let now = self.now;
        let Some(upper) = upper.filter(|upper| self.vms[*upper].alive) else {
            if self.is_relay(vm) && self.leader != Some(vm) {
                self.vms[vm].next_report = now + RELAY_ASK_INTERVAL;
                self.tell_other_relay(vm);
            }
            return;
        };
        let (ends, told) = self.vms[vm].log.ends_after(self.vms[vm].told.unwrap_or_default());
        let adopted =
            if self.vms[vm].told.is_none() { self.vms[vm].log.held() } else { Vec::new() };
        let cleared = self.vms[vm].log.cleared();
        self.vms[vm].told = Some(told);
        let before = self.vms[upper].log.held();
        let log = &mut self.vms[upper].log;
        let mut is_new = false;
        for held in adopted {
            log.adopt(held, now);
        }
        for end in ends {
            is_new |= log.on_end(end, now);
        }
        for (part, began) in cleared {
            log.on_told_sound(&part, began, now);
        }
        let asked = self.vms[vm].log.asked_trials(now);
        let name: VmId = format!("vm{vm}").into();
        let log = &mut self.vms[upper].log;
        is_new |= !asked.is_empty();
        let allowed = asked.into_iter().filter(|part| log.on_trial_ask(part, &name, now));
        let allowed: Vec<PartId> = allowed.collect();
        let held = log.held();
        let changed = held.len() != before.len();
        self.vms[vm].log.on_told(held, now);
        for part in allowed {
            self.allow(vm, &part);
        }
        if changed {
            self.tell_members(upper);
        }
        if is_new && self.is_relay(upper) {
            self.hurry(upper);
        }
    }

    /// A VM is told that it may try one request; it passes that on to the one that asked it.
    fn allow(&mut self, vm: usize, part: &PartId) {
        let now = self.now;
        if let Some(member) = self.vms[vm].log.on_trial_allowed(part, now) {
            let member = member.trim_start_matches("vm").parse().expect("a VM's number");
            self.allow(member, part);
        }
    }

    /// A request with the part comes to a VM.
    fn request(&mut self, vm: usize, number: u64) {
        let parts = vec!["first".into(), BAD.into()];
        let request = Prompt { request: number, workspace: "w5".into(), parts };
        self.waiting.push(Waiting { vm, request, until: self.now + TRIAL_TERM });
        self.check_waiting();
    }

    /// Tries the requests that wait and may be tried, and refuses those that need not wait.
    fn check_waiting(&mut self) {
        let now = self.now;
        for Waiting { vm, request, until } in std::mem::take(&mut self.waiting) {
            let log = &mut self.vms[vm].log;
            match log.check(&request, now) {
                PromptCheck::Held(held) => {
                    let known = log.asked_trials(now).len();
                    if now < until && log.ask_trial(&held.part, request.request, now) {
                        if log.asked_trials(now).len() > known {
                            self.hurry(vm);
                        }
                        self.waiting.push(Waiting { vm, request, until });
                    }
                }
                PromptCheck::Trial => {
                    self.trials.push(now);
                    if self.answers {
                        log.on_sound(&request.workspace, &request.parts, now, now);
                    } else {
                        self.crash(vm, request.request);
                    }
                }
                PromptCheck::Open | PromptCheck::EndedEndpoints(_) => {}
            }
        }
    }

    /// A relay without a leader tells the other one of its domain all that it knows.
    fn tell_other_relay(&mut self, vm: usize) {
        let other = (vm + self.domains) % (self.domains * 2);
        if !self.vms[other].alive {
            return;
        }
        let now = self.now;
        let (ends, _) = self.vms[vm].log.ends_after(0);
        for held in self.vms[vm].log.held() {
            self.vms[other].log.adopt(held, now);
        }
        for end in ends {
            self.vms[other].log.on_end(end, now);
        }
        self.tell_members(other);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self.leader.is_none() && self.now >= self.leads_from {
                let next = (0..self.domains * 2).find(|vm| self.vms[*vm].alive);
                self.leader = next;
                if let Some(next) = next {
                    self.vms[next].log.set_leads(true);
                    (self.vms[next].upper, self.vms[next].told) = (None, None);
                }
            }
            for vm in 0..self.vms.len() {
                let due = self.vms[vm].next_report + ROUND_TRIP;
                if !self.vms[vm].alive || self.now < due || self.now < self.vms[vm].lost_until {
                    continue;
                }
                self.vms[vm].next_report = self.now + REPORT_INTERVAL;
                self.report(vm);
            }
            self.check_waiting();
        }
    }

    /// Returns whether a VM sends no requests with the bad part.
    fn holds(&mut self, vm: usize) -> bool {
        let request = Prompt { request: 999, workspace: "w5".into(), parts: vec![BAD.into()] };
        matches!(self.vms[vm].log.check(&request, self.now), PromptCheck::Held(_))
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
                fleet.run(Duration::from_millis(50));
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
