//! How much of the limit that an endpoint names reaches it from a whole fleet, without sockets: members
//! report to a relay of their domain and ask it for each request, relays report to the leader, as
//! `bamboocourse-entry` does. What counts is what arrives at the endpoint.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bamboocourse_decide::{
    EndpointInstance, FastMap, IssuedPermits, LimitNumber, LimitReport, LimitStatement, NamedLimit,
    Permit, PermitRole, RelayPart, RequestLimits, VmId, Want,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The time between two reports of a VM.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long after a request begins to wait a VM reports: this, and more for each of its members.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(12);
/// See `URGENT_REPORT_DELAY`.
const MEMBER_REPORT_DELAY: Duration = Duration::from_millis(3);
/// How often a VM looks for permits that are due to it.
const TICK: Duration = Duration::from_millis(200);
/// How long a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long the endpoint takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// How long VMs may take from the first answer with a limit until all of them keep to it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The span in which arrivals are counted; half as much again as the limit allows may arrive in it, and
/// [`FREE_REQUESTS`].
const SPAN: Duration = Duration::from_secs(4);
/// See [`SPAN`].
const FREE_REQUESTS: f64 = 5.0;
/// How long after its first answer with a limit a new process's requests count.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// The part of the limit that arrives at least while callers ask for more.
const MIN_USE: f64 = 0.8;
/// How long the fleet has no leader after one was lost.
const LEADER_GAP: Duration = Duration::from_millis(3_500);
/// How long a leader that was replaced goes on issuing to relays that have not heard of the new one.
const OVERLAP: Duration = Duration::from_millis(600);

/// What a message holds, or what a VM does.
enum Event {
    /// A caller's request comes to some VM.
    Request,
    /// A member's ask for a request comes to its relay, with the time at which it was asked.
    Ask(usize, usize, Number, Duration),
    /// A relay's ask for a request of a VM comes to the leader, and the leader's answer to it.
    AskLeader {
        leader: usize,
        relay: usize,
        vm: usize,
        number: Number,
        asked: [Duration; 2],
    },
    LeaderGrant {
        relay: usize,
        vm: usize,
        number: Number,
        permit: Option<IssuedPermits>,
        asked: [Duration; 2],
    },
    /// The relay's answer comes back.
    Grant(usize, Number, Option<IssuedPermits>, Duration),
    Report(usize),
    ReportArrives {
        from: usize,
        to: usize,
        report: LimitReport,
        told: LimitNumber,
        sent: Duration,
    },
    Reply {
        to: usize,
        from: usize,
        limits: Limits,
        permits: Vec<IssuedPermits>,
        sent: Duration,
    },
    Tick(usize),
    /// A request arrives at an endpoint, from a VM that sent it at a time.
    Arrival(usize, Number, Duration),
    Answer(usize, Number, Option<NamedLimit>, Duration),
    NewLeader(usize),
    /// A third of the relays, with their members, is cut off from the others, or back.
    Cut(bool),
    /// The process of some VM is replaced.
    Restart,
    /// A VM hears that the first endpoint is cold, and for how long.
    Cold(usize, Duration),
}

type Limits = Vec<(EndpointInstance, LimitStatement)>;
/// The number of an endpoint, from 0.
type Number = u64;

struct Vm {
    limits: RequestLimits,
    upper: Option<usize>,
    /// The last change that the upper VM was told, and the last one that each lower VM was told.
    told: LimitNumber,
    told_lower: FastMap<usize, LimitNumber>,
    /// The requests that wait for permits, and until when.
    queue: Vec<(Number, Duration)>,
    next_report: Duration,
    members: u32,
    life: u32,
    /// When this process first got an answer with a limit of each endpoint.
    named: FastMap<Number, Duration>,
}

/// What happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Trouble {
    /// The part of all reports and replies that are lost, in percent.
    loss: u32,
    /// The longest way of a message between VMs.
    delay: Duration,
    /// When the leader is lost, and whether it goes on issuing for a while.
    leader_lost: Option<(Duration, bool)>,
    /// When a part of the fleet is cut off, which can still reach the endpoint, and for how long.
    cut: Option<(Duration, Duration)>,
    /// How often a VM restarts.
    restarts: Option<Duration>,
}

/// How long an endpoint is cold, and how VMs hear of it.
#[derive(Debug, Clone, Copy)]
struct ColdSpan {
    rate: f64,
    until: Duration,
    /// The longest time after which a VM hears of it.
    word: Duration,
}

struct Fleet {
    vms: Vec<Vm>,
    relays: usize,
    leader: Option<usize>,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    pending: Vec<Option<Event>>,
    now: Duration,
    /// The endpoints, each of which is asked for as often as the others.
    endpoints: Number,
    /// The limit that all of them name.
    limit: Option<f64>,
    /// Whether other endpoints can serve what this one cannot take.
    has_others: bool,
    interval: f64,
    trouble: Trouble,
    arrivals: Vec<(Number, Duration)>,
    /// When each endpoint first got a request that it answers with its limit.
    first_named: FastMap<Number, Duration>,
    /// A cold endpoint, which VMs know of from its entry on.
    cold: Option<ColdSpan>,
    /// Until when a VM that does not lead any more goes on as the leader.
    former: Option<(usize, Duration)>,
    rng: StdRng,
}

fn instance(number: Number) -> EndpointInstance {
    (format!("e{number}").into(), 7)
}

/// Returns the endpoint of a fleet that has one.
fn endpoint() -> EndpointInstance {
    instance(0)
}

fn name(vm: usize) -> VmId {
    VmId::new(format!("vm-{vm}"))
}

impl Fleet {
    fn new(size: usize, rate: f64, has_others: bool, trouble: Trouble, seed: u64) -> Self {
        let relays = if size <= 12 { size } else { 15 };
        let mut fleet = Self {
            vms: Vec::new(),
            relays,
            leader: Some(0),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            now: Duration::from_secs(10),
            endpoints: 1,
            limit: None,
            has_others,
            interval: 1.0 / rate,
            trouble,
            arrivals: Vec::new(),
            first_named: FastMap::default(),
            cold: None,
            former: None,
            rng: StdRng::seed_from_u64(seed),
        };
        for vm in 0..size {
            let members = (size - relays) / relays;
            let members = if vm < relays { members as u32 } else { 0 };
            let upper = Some(if vm < relays { 0 } else { vm % relays });
            fleet.vms.push(fleet.process(vm, upper, members, 0));
            let (report, tick) = (fleet.rng.random_range(0..250), fleet.rng.random_range(0..200));
            fleet.vms[vm].next_report = fleet.now + Duration::from_millis(report);
            fleet.after(Duration::from_millis(report), Event::Report(vm));
            fleet.after(Duration::from_millis(tick), Event::Tick(vm));
        }
        fleet.after(Duration::ZERO, Event::Request);
        if let Some((at, _)) = trouble.leader_lost {
            fleet.after(at, Event::NewLeader(0));
        }
        if let Some((at, time)) = trouble.cut {
            fleet.after(at, Event::Cut(true));
            fleet.after(at + time, Event::Cut(false));
        }
        if let Some(pause) = trouble.restarts {
            fleet.after(pause, Event::Restart);
        }
        fleet
    }

    fn process(&self, vm: usize, upper: Option<usize>, members: u32, life: u32) -> Vm {
        let mut limits = RequestLimits::default();
        limits.set_role(self.role(vm), self.now);
        Vm {
            limits,
            upper,
            told: 0,
            told_lower: FastMap::default(),
            queue: Vec::new(),
            next_report: self.now,
            members,
            life,
            named: FastMap::default(),
        }
    }

    fn role(&self, vm: usize) -> PermitRole {
        let relays = self.relays as u32;
        if self.leader == Some(vm) || self.former.is_some_and(|(former, _)| former == vm) {
            PermitRole::Leader(relays)
        } else if vm < self.relays {
            PermitRole::Relay(RelayPart { relays, rank: vm as u32 })
        } else {
            PermitRole::Member
        }
    }

    fn after(&mut self, time: Duration, event: Event) {
        let key = self.pending.len();
        self.events.push(Reverse((self.now + time, key as u64, key)));
        self.pending.push(Some(event));
    }

    fn way(&mut self) -> Duration {
        let longest = self.trouble.delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(500..2_500.max(longest)))
    }

    /// Sends a report or a reply. It may be lost with its connection; on the next one, all is told
    /// again.
    fn message(&mut self, event: Event) {
        if self.rng.random_range(0..100) >= self.trouble.loss {
            let way = self.way();
            self.after(way, event);
            return;
        }
        let (lower, upper) = match event {
            Event::ReportArrives { from, to, .. } => (from, to),
            Event::Reply { to, from, .. } => (to, from),
            _ => return,
        };
        self.vms[lower].told = 0;
        self.vms[upper].told_lower.remove(&lower);
    }

    /// Runs for some time.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, key))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.pending[key].take() {
                self.on_event(event);
            }
        }
        self.now = end;
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Request => {
                let vm = self.rng.random_range(0..self.vms.len());
                let share: f64 = self.rng.random_range(0.0001..1.0);
                let pause = Duration::from_secs_f64(-share.ln() * self.interval);
                self.after(pause, Event::Request);
                let number = match self.endpoints {
                    1 => 0,
                    endpoints => self.rng.random_range(0..endpoints),
                };
                match self.vms[vm].upper.filter(|_| vm >= self.relays) {
                    Some(relay) => {
                        let way = self.way();
                        self.after(way, Event::Ask(relay, vm, number, now));
                    }
                    None => self.seek(vm, vm, number, now),
                }
            }
            Event::Ask(relay, vm, number, asked) => self.seek(relay, vm, number, asked),
            Event::AskLeader { leader, relay, vm, number, asked } => {
                let permit =
                    self.vms[leader].limits.issue_one(&name(relay), &instance(number), now);
                let way = self.way();
                self.after(way, Event::LeaderGrant { relay, vm, number, permit, asked });
            }
            Event::LeaderGrant { relay, vm, number, permit, asked: [asked, asked_leader] } => {
                let permits: Vec<_> = permit.into_iter().collect();
                self.vms[relay].limits.on_permits(&permits, asked_leader, now);
                self.grant(relay, vm, number, asked);
            }
            Event::Grant(vm, number, permit, asked) => {
                let permits: Vec<_> = permit.into_iter().collect();
                self.vms[vm].limits.on_permits(&permits, asked, now);
                self.start(vm, number);
            }
            Event::Report(vm) => {
                if self.vms[vm].next_report > now {
                    return;
                }
                self.report(vm);
                self.vms[vm].next_report = now + REPORT_INTERVAL;
                self.after(REPORT_INTERVAL, Event::Report(vm));
            }
            Event::ReportArrives { from, to, report, told, sent } => {
                self.on_report(from, to, &report, told, sent);
            }
            Event::Reply { to, from, limits, permits, sent } => {
                let vm = &mut self.vms[to];
                vm.limits.on_limits(&limits, &[], now);
                if to < self.relays && self.leader == Some(from) {
                    vm.limits.on_leader(sent);
                }
                vm.limits.on_permits(&permits, sent, now);
                self.send_waiting(to);
                if to < self.relays {
                    self.pass_on(to);
                }
            }
            Event::Tick(vm) => {
                if self.former.is_some_and(|(former, until)| former == vm && now >= until) {
                    self.former = None;
                    let role = self.role(vm);
                    self.vms[vm].limits.set_role(role, now);
                    self.vms[vm].upper = self.leader;
                }
                self.vms[vm].limits.refresh(now);
                self.send_waiting(vm);
                if vm < self.relays {
                    self.pass_on(vm);
                }
                self.after(TICK, Event::Tick(vm));
            }
            Event::Arrival(vm, number, sent) => {
                if self.limit.is_some() {
                    self.first_named.entry(number).or_insert(now);
                }
                // A new process does not know the limit at first, which counts from when it does.
                let Vm { life, named, .. } = &self.vms[vm];
                if *life == 0
                    || self.cold.is_some()
                    || named.get(&number).is_some_and(|named| now >= *named + TOLD_DELAY)
                {
                    self.arrivals.push((number, now));
                }
                let way = self.way();
                let named = self.limit.map(NamedLimit::PerSecond);
                self.after(ANSWER_TIME + way, Event::Answer(vm, number, named, sent));
            }
            Event::Answer(vm, number, named, sent) => {
                if named.is_some() {
                    self.vms[vm].named.entry(number).or_insert(now);
                }
                let change = self.vms[vm].limits.on_answer(&instance(number), named, sent, now);
                if change.is_some() {
                    self.hurry(vm);
                    self.tell(vm);
                }
            }
            Event::NewLeader(0) => {
                let old = self.leader.take().unwrap_or_default();
                let lives = self.trouble.leader_lost.is_some_and(|(_, lives)| lives);
                if lives {
                    self.former = Some((old, now + LEADER_GAP + OVERLAP));
                } else {
                    self.restart(old);
                    for vm in 0..self.relays {
                        self.vms[vm].upper = None;
                    }
                }
                self.after(LEADER_GAP, Event::NewLeader(1));
            }
            Event::NewLeader(new) => {
                self.leader = Some(new);
                for vm in 0..self.relays {
                    // Some relays hear of the new leader later.
                    let stays = self.former.is_some_and(|(former, _)| former == vm || vm % 3 == 0);
                    if !stays || vm == new {
                        self.vms[vm].upper = Some(new);
                        self.vms[vm].told = 0;
                        self.vms[vm].limits.on_new_upper();
                    }
                    let role = self.role(vm);
                    self.vms[vm].limits.set_role(role, now);
                }
            }
            Event::Cut(is_cut) => {
                for vm in (1..self.relays).step_by(3) {
                    self.vms[vm].upper = if is_cut { None } else { self.leader };
                    self.vms[vm].told = 0;
                    self.vms[vm].limits.on_new_upper();
                }
            }
            Event::Cold(vm, left) => {
                let rate = self.cold.map_or(0.0, |cold| cold.rate);
                let limits = &mut self.vms[vm].limits;
                limits.set_cold_rates([("chat".into(), rate)].into_iter().collect());
                limits.on_cold(&endpoint(), &"chat".into(), left, now);
                self.vms[vm].named.insert(0, now);
            }
            Event::Restart => {
                let vm = self.rng.random_range(0..self.vms.len());
                if self.leader != Some(vm) {
                    self.restart(vm);
                }
                if let Some(pause) = self.trouble.restarts {
                    self.after(pause, Event::Restart);
                }
            }
        }
    }

    /// Looks for a permit for a request of a VM at its relay, which asks the leader if few others do.
    fn seek(&mut self, relay: usize, vm: usize, number: Number, asked: Duration) {
        let now = self.now;
        let limits = &mut self.vms[relay].limits;
        limits.refresh(now);
        let asks = limits.seek(&instance(number), now)
            && !limits.is_open(&instance(number), now)
            && limits.take_ask(now);
        match self.vms[relay].upper.filter(|_| asks) {
            Some(leader) => {
                let way = self.way();
                let asked = [asked, now];
                self.after(way, Event::AskLeader { leader, relay, vm, number, asked });
            }
            None => self.grant(relay, vm, number, asked),
        }
    }

    /// Passes on a permit for a request of a VM, if its relay has one.
    fn grant(&mut self, relay: usize, vm: usize, number: Number, asked: Duration) {
        if relay == vm {
            self.start(vm, number);
            return;
        }
        let permit = self.vms[relay].limits.pass_on_one(&instance(number), self.now);
        let way = self.way();
        self.after(way, Event::Grant(vm, number, permit, asked));
    }

    /// Replaces a VM's process by a new one that knows nothing.
    fn restart(&mut self, vm: usize) {
        let Vm { upper, members, life, next_report, .. } = self.vms[vm];
        self.vms[vm] = self.process(vm, upper, members, life + 1);
        self.vms[vm].next_report = next_report;
        self.tell_cold(vm);
        for other in &mut self.vms {
            other.told_lower.remove(&vm);
            if other.upper == Some(vm) {
                other.told = 0;
            }
        }
    }

    /// Lets a VM hear of the cold endpoint, some time from now, how long it is still cold.
    fn tell_cold(&mut self, vm: usize) {
        let Some(ColdSpan { until, word, .. }) = self.cold else { return };
        if until.is_zero() {
            return;
        }
        let left = until.saturating_sub(self.now);
        let delay = self.rng.random_range(500..1_000 + word.as_micros() as u64);
        self.after(Duration::from_micros(delay), Event::Cold(vm, left));
    }

    /// Starts the endpoint, which is cold; VMs know neither of them until they hear of it.
    fn start_cold(&mut self, rate: f64, time: Duration, word: Duration) {
        self.cold = Some(ColdSpan { rate, until: self.now + time, word });
        for vm in 0..self.vms.len() {
            self.tell_cold(vm);
        }
    }

    fn hurry(&mut self, vm: usize) {
        let delay = URGENT_REPORT_DELAY + MEMBER_REPORT_DELAY * self.vms[vm].members;
        let due = self.now + delay;
        if due < self.vms[vm].next_report {
            self.vms[vm].next_report = due;
            self.after(delay, Event::Report(vm));
        }
    }

    fn report(&mut self, vm: usize) {
        let now = self.now;
        let Some(to) = self.vms[vm].upper else { return };
        let mut waiting: FastMap<EndpointInstance, u32> = FastMap::default();
        for (number, _) in &self.vms[vm].queue {
            *waiting.entry(instance(*number)).or_default() += 1;
        }
        let sender = &mut self.vms[vm];
        let told = sender.limits.last();
        let report = sender.limits.report(sender.told, &waiting, now);
        sender.told = told;
        self.message(Event::ReportArrives { from: vm, to, report, told, sent: now });
    }

    fn on_report(
        &mut self,
        from: usize,
        to: usize,
        report: &LimitReport,
        _told: LimitNumber,
        sent: Duration,
    ) {
        let now = self.now;
        let vm = &mut self.vms[to];
        let changed = !vm.limits.on_limits(&report.limits, &report.raises, now).is_empty();
        vm.limits.refresh(now);
        let permits = if from < self.relays {
            vm.limits.issue(&name(from), &report.wants, now)
        } else {
            vm.limits.on_member(&name(from), &report.wants, now)
        };
        let is_waiting = report.wants.iter().any(|(_, want)| want.waiting > 0);
        let told = vm.told_lower.get(&from).copied().unwrap_or_default();
        let limits = vm.limits.after(told);
        let last = vm.limits.last();
        vm.told_lower.insert(from, last);
        self.message(Event::Reply { to: from, from: to, limits, permits, sent });
        if from >= self.relays && is_waiting {
            self.hurry(to);
        }
        if changed {
            self.hurry(to);
            self.tell(to);
        }
    }

    /// Tells the VMs that report to one at once which limits have changed.
    fn tell(&mut self, vm: usize) {
        for lower in 0..self.vms.len() {
            let reports_here = self.vms[lower].upper == Some(vm) && lower != vm;
            let Some(told) = self.vms[vm].told_lower.get(&lower).copied() else { continue };
            let limits = self.vms[vm].limits.after(told);
            if !reports_here || limits.is_empty() {
                continue;
            }
            let last = self.vms[vm].limits.last();
            self.vms[vm].told_lower.insert(lower, last);
            let sent = Duration::ZERO;
            self.message(Event::Reply { to: lower, from: vm, limits, permits: Vec::new(), sent });
        }
    }

    /// Passes on a relay's permits to the waiting requests of its members.
    fn pass_on(&mut self, relay: usize) {
        for member in self.relays..self.vms.len() {
            if self.vms[member].upper != Some(relay) {
                continue;
            }
            let permits = self.vms[relay].limits.pass_on(&name(member), self.now);
            if !permits.is_empty() {
                // Permits that were not asked for now are valid from when they were passed on.
                let sent = self.now;
                let limits = Vec::new();
                self.message(Event::Reply { to: member, from: relay, limits, permits, sent });
            }
        }
        // What the relay was told goes on to its members.
        self.tell(relay);
    }

    /// Sends a request, lets it wait for a permit, or sends it elsewhere.
    fn start(&mut self, vm: usize, number: Number) {
        let (now, endpoint) = (self.now, instance(number));
        if self.cold.is_some() && !self.vms[vm].named.contains_key(&number) {
            return;
        }
        self.vms[vm].limits.refresh(now);
        if self.vms[vm].limits.rate(&endpoint).is_none() {
            self.send(vm, number, None);
        } else if let Some(permit) = self.vms[vm].limits.take(&endpoint, now) {
            self.send(vm, number, Some(permit));
        } else if self.has_others {
            self.vms[vm].limits.on_passed(&endpoint);
        } else {
            self.vms[vm].queue.push((number, now + MAX_WAIT));
            self.hurry(vm);
        }
    }

    fn send_waiting(&mut self, vm: usize) {
        let now = self.now;
        let mut queue = std::mem::take(&mut self.vms[vm].queue);
        queue.retain(|(_, until)| now < *until);
        // The last ones first.
        while let Some((number, until)) = queue.pop() {
            let limits = &mut self.vms[vm].limits;
            let is_limited = limits.rate(&instance(number)).is_some();
            let permit = limits.take(&instance(number), now);
            if is_limited && permit.is_none() {
                self.vms[vm].queue.insert(0, (number, until));
            } else {
                self.send(vm, number, permit);
            }
        }
    }

    fn send(&mut self, vm: usize, number: Number, permit: Option<Permit>) {
        if let Some(permit) = permit {
            assert!(permit.is_valid(self.now));
            self.vms[vm].limits.on_used(&instance(number));
        }
        let way = self.way();
        self.after(way, Event::Arrival(vm, number, self.now));
    }

    /// Returns when requests arrived at an endpoint from a time on.
    fn arrivals_at(&self, number: Number, from: Duration) -> Vec<Duration> {
        let arrivals = self.arrivals.iter().filter(|(to, at)| *to == number && *at >= from);
        arrivals.map(|(_, at)| *at).collect()
    }

    /// Returns the most arrivals at one endpoint in a span from a time on.
    fn most_in_span(&self, from: Duration) -> usize {
        self.most_within(from, SPAN)
    }

    /// Returns the most arrivals at one endpoint in any `span` from a time on.
    fn most_within(&self, from: Duration, span: Duration) -> usize {
        let most = |number: Number| {
            let arrivals = self.arrivals_at(number, from);
            let in_span = |(index, start): (usize, &Duration)| {
                arrivals[index..].iter().take_while(|at| **at < *start + span).count()
            };
            arrivals.iter().enumerate().map(in_span).max().unwrap_or(0)
        };
        (0..self.endpoints).map(most).max().unwrap_or(0)
    }

    /// Returns how many requests a second arrived from a time on, at the endpoint that got least.
    fn rate_since(&self, from: Duration) -> f64 {
        let counts = (0..self.endpoints).map(|number| self.arrivals_at(number, from).len());
        counts.min().unwrap_or(0) as f64 / (self.now - from).as_secs_f64()
    }
}

/// Lets the endpoint name a limit, and returns the fleet once it has been watched for some time, and
/// from when all VMs must keep to the limit.
fn play(
    size: usize,
    limit: f64,
    demand: f64,
    has_others: bool,
    trouble: Trouble,
    seed: u64,
) -> (Fleet, Duration) {
    let mut fleet = Fleet::new(size, demand, has_others, trouble, seed);
    fleet.run(Duration::from_secs(2));
    fleet.limit = Some(limit);
    let first = fleet.now;
    fleet.run(CONTACT_TIME);
    let watched = Duration::from_secs_f64((40.0 / limit.max(0.1)).clamp(20.0, 200.0));
    fleet.run(watched);
    (fleet, first + CONTACT_TIME)
}

/// Checks how much of a limit arrives while nothing else happens.
fn check_use(size: usize, limit: f64, demand: f64, has_others: bool) {
    let trouble = Trouble { delay: Duration::from_millis(3), ..Trouble::default() };
    let (fleet, from) = play(size, limit, demand, has_others, trouble, 7);
    let (rate, most) = (fleet.rate_since(from), fleet.most_in_span(from));
    println!(
        "{size} VMs, limit {limit}, demand {demand}, others {has_others}: {rate:.2} a second, {most} in 4 s"
    );
    assert!(rate <= limit.max(0.1) * 1.02 + 0.1, "{rate} a second of {limit}");
    let allowed = limit * SPAN.as_secs_f64() * 1.5 + FREE_REQUESTS;
    assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
    assert!(rate >= limit * MIN_USE, "{rate} a second of {limit}");
}

macro_rules! use_cases {
    ($($name:ident: $size:expr, $limit:expr, $demand:expr, $others:expr;)*) => {
        $(#[test]
        fn $name() {
            check_use($size, $limit, $demand, $others);
        })*
    };
}

use_cases! {
    seven_vms_use_a_limit_of_40: 7, 40.0, 120.0, true;
    seven_vms_use_a_limit_of_3: 7, 3.3, 10.0, true;
    seven_vms_use_a_limit_of_one_in_five_seconds: 7, 0.2, 10.0, true;
    seven_vms_ask_a_limit_of_0_rarely: 7, 0.0, 10.0, true;
    requests_without_another_endpoint_use_a_limit_of_3: 7, 3.3, 10.0, false;
    middle_fleet_uses_a_limit_of_40: 79, 40.0, 120.0, true;
    middle_fleet_uses_a_limit_of_3: 79, 3.3, 10.0, true;
    middle_fleet_uses_a_limit_of_one_in_five_seconds: 79, 0.2, 10.0, true;
    requests_of_a_middle_fleet_without_another_endpoint_use_a_limit_of_3: 79, 3.3, 10.0, false;
    large_fleet_uses_a_limit_of_40: 295, 40.0, 120.0, true;
    large_fleet_uses_a_limit_of_3: 295, 3.3, 10.0, true;
    large_fleet_uses_a_limit_of_one_in_five_seconds: 295, 0.2, 10.0, true;
    large_fleet_asks_a_limit_of_0_rarely: 295, 0.0, 10.0, true;
    requests_of_a_large_fleet_without_another_endpoint_use_a_limit_of_3: 295, 3.3, 10.0, false;
    requests_of_a_large_fleet_without_another_endpoint_use_a_limit_of_one_in_five_seconds:
        295, 0.2, 10.0, false;
}

/// Returns after how long a fleet of that size sends as before once the limit has ended.
fn time_until_ended(size: usize, limit: f64) -> Duration {
    let trouble = Trouble { delay: Duration::from_millis(3), ..Trouble::default() };
    let (mut fleet, _) = play(size, limit, 10.0, true, trouble, 3);
    fleet.limit = None;
    let ended = fleet.now;
    while fleet.vms.iter().any(|vm| vm.limits.rate(&endpoint()).is_some()) {
        assert!(fleet.now < ended + Duration::from_secs(120), "the limit is still in force");
        fleet.run(Duration::from_millis(20));
    }
    fleet.now - ended
}

#[test]
fn fleet_learns_that_a_limit_has_ended() {
    for size in [8, 79, 295] {
        for limit in [40.0, 3.3, 0.2, 0.0] {
            let time = time_until_ended(size, limit);
            println!("{size} VMs, limit {limit}: all know its end after {time:?}");
            let requests = Duration::from_secs_f64(8.0 / limit.max(0.1));
            assert!(time < requests + CONTACT_TIME, "{size}, {limit}: {time:?}");
        }
    }
}

#[test]
fn fleet_learns_of_a_limit_within_the_contact_time() {
    for size in [8, 79, 295] {
        let trouble = Trouble { delay: Duration::from_millis(3), ..Trouble::default() };
        let mut fleet = Fleet::new(size, 10.0, true, trouble, 5);
        fleet.run(Duration::from_secs(2));
        fleet.limit = Some(3.3);
        let seen = fleet.arrivals.len();
        while fleet.arrivals.len() == seen {
            fleet.run(Duration::from_millis(5));
        }
        let first = fleet.now;
        while fleet.vms.iter().any(|vm| vm.limits.rate(&endpoint()).is_none()) {
            assert!(fleet.now < first + CONTACT_TIME, "some VM does not know of the limit");
            fleet.run(Duration::from_millis(5));
        }
        println!("{size} VMs: all know the limit after {:?}", fleet.now - first);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn no_more_than_the_limit_arrives_in_trouble(
        size in prop::sample::select(vec![1usize, 3, 7, 12, 30, 79]),
        limit in prop::sample::select(vec![40.0, 12.0, 3.3, 1.0, 0.5, 0.2, 0.0]),
        has_others: bool,
        loss in 0u32..30,
        delay in 3u64..300,
        lost_at in prop::option::of((1u64..20, any::<bool>())),
        cut in prop::option::of((1u64..20, 1u64..15)),
        restarts in prop::option::of(300u64..3_000),
        is_thin: bool,
        seed: u64,
    ) {
        let trouble = Trouble {
            loss,
            delay: Duration::from_millis(delay),
            leader_lost: lost_at.filter(|_| size > 1).map(|(at, lives)| (Duration::from_secs(at), lives)),
            cut: cut.map(|(at, time)| (Duration::from_secs(at), Duration::from_secs(time))),
            restarts: restarts.map(Duration::from_millis),
        };
        let demand = if is_thin { limit * 1.5 + 0.5 } else { limit * 3.0 + 10.0 };
        let (fleet, from) = play(size, limit, demand, has_others, trouble, seed);
        let most = fleet.most_in_span(from);
        let allowed = limit * SPAN.as_secs_f64() * 1.5 + FREE_REQUESTS;
        prop_assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
    }
}

// A leader that asks an endpoint for its report again and again leaves most of the limit to requests.
#[test]
fn orders_of_the_leader_do_not_use_up_a_limit() {
    let (leader, vm) = (PermitRole::Leader(1), name(0));
    let mut limits = RequestLimits::default();
    limits.set_role(leader, Duration::ZERO);
    let named = Some(NamedLimit::PerSecond(2.0));
    limits.on_answer(&endpoint(), named, Duration::ZERO, Duration::ZERO);
    let (mut own, mut issued) = (0, 0);
    for step in 1..=400 {
        let now = Duration::from_millis(step * 50);
        own += u32::from(limits.take_ahead(&endpoint(), now));
        let used = Want { passed: 1, ..Want::default() };
        for permits in limits.issue(&vm, &[(endpoint(), used)], now) {
            issued += permits.count;
            let used = Want { used: permits.count, ..Want::default() };
            limits.issue(&vm, &[(endpoint(), used)], now);
        }
    }
    assert!((8..=12).contains(&own), "{own} orders in 20 s");
    assert!((24..=32).contains(&issued), "{issued} requests in 20 s beside {own} orders");
}

/// Lets many endpoints name the same limit in the same moment, and checks that all VMs soon know that, and
/// how much of each limit arrives.
fn check_many(size: usize, endpoints: Number, limit: f64) {
    let trouble = Trouble { delay: Duration::from_millis(3), ..Trouble::default() };
    let demand = 3.0 * limit * endpoints as f64;
    let mut fleet = Fleet::new(size, demand, true, trouble, 11);
    fleet.endpoints = endpoints;
    fleet.run(Duration::from_secs(2));
    fleet.limit = Some(limit);
    // How long after each endpoint first named its limit all VMs know that.
    let mut told: FastMap<Number, Duration> = FastMap::default();
    while told.len() < endpoints as usize {
        fleet.run(Duration::from_millis(20));
        for (number, named) in &fleet.first_named {
            let knows = |vm: &Vm| vm.limits.rate(&instance(*number)).is_some();
            if !told.contains_key(number) && fleet.vms.iter().all(knows) {
                told.insert(*number, fleet.now - *named);
            }
        }
        assert!(fleet.now < Duration::from_secs(60), "not all limits are known");
    }
    let told = told.values().max().copied().unwrap_or_default();
    fleet.run(CONTACT_TIME);
    let from = fleet.now;
    fleet.run(Duration::from_secs(40));
    let (rate, most) = (fleet.rate_since(from), fleet.most_in_span(from));
    println!(
        "{size} VMs, {endpoints} limits of {limit}: all known after {told:?}, \
         at least {rate:.2} a second, at most {most} in 4 s"
    );
    assert!(told < CONTACT_TIME, "some VM knows a limit only after {told:?}");
    let allowed = limit * SPAN.as_secs_f64() * 1.5 + FREE_REQUESTS;
    assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
    assert!(rate >= limit * MIN_USE, "{rate} a second of {limit}");
}

macro_rules! many_limits {
    ($($name:ident: $size:expr, $endpoints:expr, $limit:expr;)*) => {
        $(#[test]
        fn $name() {
            check_many($size, $endpoints, $limit);
        })*
    };
}

many_limits! {
    small_fleet_uses_limits_named_in_the_same_second: 8, 9, 3.3;
    middle_fleet_uses_limits_named_in_the_same_second: 79, 40, 3.3;
    large_fleet_uses_limits_named_in_the_same_second: 295, 100, 3.3;
    small_fleet_uses_small_limits: 8, 9, 0.5;
    middle_fleet_uses_limits_that_are_small_for_its_relays: 79, 40, 0.5;
    large_fleet_uses_limits_that_are_small_for_its_relays: 295, 100, 0.5;
}

/// How long a cold endpoint is watched.
const COLD_TIME: Duration = Duration::from_secs(8);
/// How long after the start of a cold endpoint its use counts.
const COLD_START: Duration = Duration::from_secs(1);
/// The span in which arrivals at a cold endpoint are counted.
const COLD_SPAN: Duration = Duration::from_secs(1);

/// Starts a cold endpoint in a fleet; returns how many requests a second it gets while callers ask for more,
/// and the most in one second. VMs hear of it within `word`.
fn play_cold(
    size: usize,
    rate: f64,
    demand: f64,
    has_others: bool,
    word: Duration,
    trouble: Trouble,
    seed: u64,
) -> (f64, usize) {
    let mut fleet = Fleet::new(size, demand, has_others, trouble, seed);
    // Before the start, nothing can be sent.
    fleet.cold = Some(ColdSpan { rate, until: Duration::ZERO, word });
    fleet.run(Duration::from_secs(2));
    fleet.start_cold(rate, COLD_TIME, word);
    let start = fleet.now;
    fleet.run(COLD_TIME);
    let end = fleet.now;
    let from = start + COLD_START;
    let used = fleet.arrivals_at(0, from).len() as f64 / (end - from).as_secs_f64();
    (used, fleet.most_within(start, COLD_SPAN))
}

/// Returns the most requests that a cold endpoint may get in one second.
fn cold_bound(rate: f64) -> f64 {
    rate * 1.5 + FREE_REQUESTS
}

fn check_cold(size: usize, rate: f64, has_others: bool, word: u64) {
    let trouble = Trouble { delay: Duration::from_millis(3), ..Trouble::default() };
    let word = Duration::from_millis(word);
    let demand = rate * 3.0 + 10.0;
    let (used, most) = play_cold(size, rate, demand, has_others, word, trouble, 13);
    println!("{size} VMs, {rate} a second, others {has_others}, word {word:?}: {used:.2}, {most}");
    assert!(most as f64 <= cold_bound(rate), "{most} in a second, {} allowed", cold_bound(rate));
    assert!(used >= rate * MIN_USE, "{used} a second of {rate}");
}

macro_rules! cold_cases {
    ($($name:ident: $size:expr, $rate:expr, $others:expr, $word:expr;)*) => {
        $(#[test]
        fn $name() {
            check_cold($size, $rate, $others, $word);
        })*
    };
}

cold_cases! {
    small_fleet_uses_a_cold_endpoint: 8, 11.0, true, 20;
    middle_fleet_uses_a_cold_endpoint: 58, 11.0, true, 20;
    large_fleet_uses_a_cold_endpoint: 295, 11.0, true, 20;
    small_fleet_uses_a_cold_endpoint_without_another: 8, 11.0, false, 20;
    middle_fleet_uses_a_cold_endpoint_without_another: 58, 11.0, false, 20;
    large_fleet_uses_a_cold_endpoint_without_another: 295, 11.0, false, 20;
    small_fleet_uses_a_slow_cold_endpoint: 8, 3.0, true, 20;
    middle_fleet_uses_a_slow_cold_endpoint: 58, 3.0, true, 20;
    large_fleet_uses_a_slow_cold_endpoint: 295, 3.0, true, 20;
    middle_fleet_uses_a_cold_endpoint_after_late_word: 58, 11.0, true, 800;
    large_fleet_uses_a_cold_endpoint_after_late_word: 295, 11.0, true, 800;
    middle_fleet_uses_a_fast_cold_endpoint: 58, 40.0, true, 20;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn no_more_than_a_cold_endpoint_takes_arrives_in_trouble(
        size in prop::sample::select(vec![1usize, 3, 8, 12, 30, 58]),
        rate in prop::sample::select(vec![40.0, 11.0, 3.0, 1.0]),
        has_others: bool,
        loss in 0u32..30,
        delay in 3u64..300,
        word in 1u64..2_000,
        lost_at in prop::option::of((1u64..8, any::<bool>())),
        cut in prop::option::of((1u64..8, 1u64..8)),
        restarts in prop::option::of(300u64..3_000),
        seed: u64,
    ) {
        let trouble = Trouble {
            loss,
            delay: Duration::from_millis(delay),
            leader_lost: lost_at.filter(|_| size > 1).map(|(at, lives)| (Duration::from_secs(at), lives)),
            cut: cut.map(|(at, time)| (Duration::from_secs(at), Duration::from_secs(time))),
            restarts: restarts.map(Duration::from_millis),
        };
        let word = Duration::from_millis(word);
        let (_, most) = play_cold(size, rate, rate * 3.0 + 10.0, has_others, word, trouble, seed);
        prop_assert!(most as f64 <= cold_bound(rate), "{most} in a second, {} allowed", cold_bound(rate));
    }
}
