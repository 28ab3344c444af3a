//! A fleet of VMs that report to a relay of their domain, and relays to the leader, without sockets, as
//! `bamboocourse-entry` does.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use bamboocourse_decide::{
    Cause, CrashLog, EndpointEnd, RequestContent, RequestDigest, SendCheck, TRIAL_TERM, VmId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The part that crashes endpoints.
pub(crate) const BAD: &str = "bad";
/// The time between two steps of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// The time between two reports of a VM.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long after an event a VM reports: this, and more for each VM that reports to it.
pub(crate) const URGENT_REPORT_DELAY: Duration = Duration::from_millis(12);
/// See `URGENT_REPORT_DELAY`.
pub(crate) const MEMBER_REPORT_DELAY: Duration = Duration::from_millis(3);
/// How long a report and its reply take together.
pub(crate) const ROUND_TRIP: Duration = Duration::from_millis(10);
/// The time between two searches of a VM for what time alone has changed.
pub(crate) const PRUNE_INTERVAL: Duration = Duration::from_millis(250);
/// How long the fleet is without a leader after the former one was killed.
pub(crate) const LEADER_GAP: Duration = Duration::from_millis(2_500);
/// How long a member looks for another relay after its relay was killed.
pub(crate) const RELAY_GAP: Duration = Duration::from_millis(1_600);
/// How often a relay that reaches no leader asks the other relay of its domain, as a rule.
pub(crate) const RELAY_ASK_INTERVAL: Duration = Duration::from_millis(1_500);

pub(crate) struct Vm {
    pub(crate) log: CrashLog,
    pub(crate) domain: usize,
    /// The VM that this one reports to, by index; `None` for the leader and while there is none.
    pub(crate) upper: Option<usize>,
    /// The last end of an endpoint that the upper VM was told; `None` before the first report.
    pub(crate) told: Option<u64>,
    pub(crate) next_report: Duration,
    /// Until when the VM looks for another one to report to.
    pub(crate) lost_until: Duration,
    pub(crate) alive: bool,
}

/// A request with the part, and the VM where it waits for the leader's word.
pub(crate) struct Waiting {
    pub(crate) vm: usize,
    pub(crate) request: RequestContent,
    pub(crate) until: Duration,
}

pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) waiting: Vec<Waiting>,
    /// When requests were tried.
    pub(crate) trials: Vec<Duration>,
    /// Whether requests that are tried are answered.
    pub(crate) answers: bool,
    pub(crate) domains: usize,
    pub(crate) leader: Option<usize>,
    /// When there will be a leader again.
    pub(crate) leads_from: Duration,
    /// A domain that is cut off from the others.
    pub(crate) cut: Option<usize>,
    pub(crate) now: Duration,
    pub(crate) next_prune: Duration,
    pub(crate) rng: StdRng,
}

impl Fleet {
    /// Builds a fleet; the first two VMs of a domain are its relays, and the first VM leads.
    pub(crate) fn new(size: usize, domains: usize, seed: u64) -> Self {
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
            next_prune: now,
            rng,
        };
        fleet.vms[0].log.set_leads(true);
        fleet.run(Duration::from_secs(1));
        fleet
    }

    pub(crate) fn is_relay(&self, vm: usize) -> bool {
        vm < self.domains * 2
    }

    pub(crate) fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.vms[a].domain, self.vms[b].domain);
        a == b || (self.cut != Some(a) && self.cut != Some(b))
    }

    /// Returns which VM one should report to now.
    pub(crate) fn upper(&self, vm: usize) -> Option<usize> {
        if self.is_relay(vm) {
            return self.leader.filter(|leader| *leader != vm && self.reaches(vm, *leader));
        }
        let relays = [vm % self.domains, vm % self.domains + self.domains];
        let preferred = usize::from(vm / self.domains % 2 == 1);
        [relays[preferred], relays[1 - preferred]].into_iter().find(|relay| self.vms[*relay].alive)
    }

    pub(crate) fn members(&self, vm: usize) -> u32 {
        self.vms.iter().filter(|other| other.upper == Some(vm) && other.alive).count() as u32
    }

    /// Lets a VM that has news report soon.
    pub(crate) fn hurry(&mut self, vm: usize) {
        let delay = URGENT_REPORT_DELAY + MEMBER_REPORT_DELAY * self.members(vm);
        let due = self.now + delay;
        self.vms[vm].next_report = self.vms[vm].next_report.min(due);
    }

    /// A VM sees an endpoint end under a request with the bad part.
    pub(crate) fn crash(&mut self, vm: usize, number: u64) {
        let parts = vec!["first".into(), BAD.into()];
        let workspace = format!("w{}", number % 2).as_str().into();
        let end = EndpointEnd {
            instance: (format!("e{number}").into(), 1),
            at: self.now,
            suspects: vec![RequestContent::new(
                number,
                workspace,
                parts,
                RequestDigest::of_id(number),
            )],
            sound: vec![("first".into(), self.now)],
        };
        self.end(vm, end);
    }

    /// A VM sees an endpoint end.
    pub(crate) fn end(&mut self, vm: usize, end: EndpointEnd) {
        let now = self.now;
        self.vms[vm].log.on_end(end, now);
        self.tell_members(vm);
        self.hurry(vm);
    }

    pub(crate) fn kill(&mut self, vm: usize) {
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

    /// Lets a VM report soon if the VM above waits for what it knows.
    pub(crate) fn pass_news(&mut self, vm: usize) {
        if self.vms[vm].log.take_news() {
            self.hurry(vm);
        }
    }

    /// A VM sees a request being answered since a time.
    pub(crate) fn answer(&mut self, vm: usize, request: &RequestContent, began: Duration) {
        let now = self.now;
        self.vms[vm].log.on_sound(&request.workspace, &request.causes, began, now);
        self.pass_news(vm);
    }

    /// Forgets what is old at all VMs, and tells what time alone has changed.
    pub(crate) fn prune(&mut self) {
        for vm in 0..self.vms.len() {
            let before = told_parts(&self.vms[vm].log);
            self.vms[vm].log.prune(self.now);
            if told_parts(&self.vms[vm].log) != before {
                self.tell_members(vm);
            }
        }
    }

    /// Tells the VMs that report to this one at once what it holds back.
    pub(crate) fn tell_members(&mut self, vm: usize) {
        let (held, doubts) = (self.vms[vm].log.held(), self.vms[vm].log.doubts());
        let now = self.now;
        for other in 0..self.vms.len() {
            if self.vms[other].upper == Some(vm) && self.vms[other].alive && self.reaches(vm, other)
            {
                let before = told_parts(&self.vms[other].log);
                self.vms[other].log.on_told_doubts(doubts.clone());
                self.vms[other].log.on_told(held.clone(), now);
                if told_parts(&self.vms[other].log) != before && self.is_relay(other) {
                    self.tell_members(other);
                }
                self.pass_news(other);
            }
        }
    }

    pub(crate) fn report(&mut self, vm: usize) {
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
        let before = told_parts(&self.vms[upper].log);
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
        let allowed: Vec<Cause> = allowed.collect();
        let (held, doubts) = (log.held(), log.doubts());
        let changed = told_parts(log) != before;
        is_new |= log.take_news();
        self.vms[vm].log.on_told_doubts(doubts);
        self.vms[vm].log.on_told(held, now);
        self.pass_news(vm);
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
    pub(crate) fn allow(&mut self, vm: usize, part: &Cause) {
        let now = self.now;
        if let Some(member) = self.vms[vm].log.on_trial_allowed(part, now) {
            let member = member.trim_start_matches("vm").parse().expect("a VM's number");
            self.allow(member, part);
        }
    }

    /// A request with the part comes to a VM.
    pub(crate) fn request(&mut self, vm: usize, number: u64) {
        let parts = vec!["first".into(), BAD.into()];
        let digest = RequestDigest::of_id(number);
        let request = RequestContent::new(number, "w5".into(), parts, digest);
        self.waiting.push(Waiting { vm, request, until: self.now + TRIAL_TERM });
        self.check_waiting();
    }

    /// Tries the requests that wait and may be tried, and refuses those that need not wait.
    pub(crate) fn check_waiting(&mut self) {
        let now = self.now;
        for Waiting { vm, request, until } in std::mem::take(&mut self.waiting) {
            let log = &mut self.vms[vm].log;
            match log.admit(&request, now) {
                SendCheck::Held(held) => {
                    let known = log.asked_trials(now).len();
                    if now < until && log.ask_trial(&held.cause, request.request, now) {
                        if log.asked_trials(now).len() > known {
                            self.hurry(vm);
                        }
                        self.waiting.push(Waiting { vm, request, until });
                    }
                }
                SendCheck::Trial => {
                    self.trials.push(now);
                    if self.answers {
                        log.on_sound(&request.workspace, &request.causes, now, now);
                    } else {
                        self.crash(vm, request.request);
                    }
                }
                SendCheck::Open | SendCheck::EndedEndpoints(_) => {}
            }
        }
    }

    /// A relay without a leader tells the other one of its domain all that it knows.
    pub(crate) fn tell_other_relay(&mut self, vm: usize) {
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

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self.now >= self.next_prune {
                self.next_prune = self.now + PRUNE_INTERVAL;
                self.prune();
            }
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
}

/// Returns what a VM tells others about parts as soon as it changes.
fn told_parts(log: &CrashLog) -> (Vec<Cause>, Vec<Cause>) {
    let mut held: Vec<Cause> = log.held().into_iter().map(|held| held.cause).collect();
    let mut doubts: Vec<Cause> = log.doubts().into_iter().map(|(part, _)| part).collect();
    held.sort();
    doubts.sort();
    (held, doubts)
}
