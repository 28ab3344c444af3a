//! Replays a request that ends each endpoint that runs it, in fleets without sockets: its attempts come at
//! random VMs with ids of their own, among requests that no two are alike and one that comes often.
//!
//! They guard against a request that is sent again and again although endpoints ended under it (incident
//! of issue 57, BUDGET), and against sound requests that are refused because they were there.
//! `CRASH_DRAWS=20 cargo test --release --test crash_requests -- --nocapture` prints the table.

mod common;

use std::time::Duration;

use bamboocourse_decide::{
    EndpointEnd, HeldCause, RequestContent, RequestDigest, SendCheck, TRIAL_TERM,
};
use rand::RngExt;

use common::{Fleet, LEADER_GAP, STEP};

/// The draws of each case, unless `CRASH_DRAWS` says how many.
const DRAWS: u64 = 3;
/// How long VMs may take to act on the third end.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The endpoints that a request may end before that time begins.
const FREE_ENDS: usize = 3;
/// How many attempts may be sent after it.
const MAX_LATE_SENDS: usize = 3;
/// How long a play lasts; two trials of a request at fault are due within it.
const PLAY_TIME: Duration = Duration::from_secs(80);
/// The time between two attempts of the request at fault.
const BAD_INTERVAL: Duration = Duration::from_millis(200);
/// How long an endpoint is away that has ended, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 1_500..3_500;
/// How often a request is sent by one attempt, and how often its caller tries.
const MAX_SENDS: u32 = 2;
const MAX_ATTEMPTS: u32 = 3;
/// The most of the sound requests that may be refused for a moment because endpoints ended under them, in
/// a thousand.
const MAX_HELD_PERMILLE: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Bad,
    Popular,
    Other,
}

#[derive(Clone)]
struct Attempt {
    vm: usize,
    content: RequestContent,
    kind: Kind,
    number: u32,
    sends: u32,
}

struct Open {
    attempt: Attempt,
    began: Duration,
    ends: Duration,
}

#[derive(Default)]
struct Endpoint {
    instance: u64,
    back: Duration,
    open: Vec<Open>,
}

/// What happens to the fleet beside the request at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The leader is killed as the second endpoint has ended.
    LeaderKilled,
    /// All VMs are killed five seconds after the first end.
    AllKilled,
    /// One domain is cut off for eight seconds.
    Cut,
    /// No request is at fault, and all endpoints end twice for reasons of their own, three seconds apart.
    OwnEnds,
}

struct Play {
    fleet: Fleet,
    endpoints: Vec<Endpoint>,
    rate: f64,
    due: f64,
    next_id: u64,
    waiting: Vec<(Attempt, Duration)>,
    /// Attempts of callers who come again at a time.
    returning: Vec<(Duration, Attempt)>,
    bad_sends: Vec<(Duration, usize)>,
    bad_ends: Vec<Duration>,
    sound: usize,
    held: usize,
    refused: usize,
}

fn digest(kind: Kind, number: u64) -> RequestDigest {
    match kind {
        Kind::Bad => RequestDigest::new("w", "GET", &["h", "/bad"], b""),
        Kind::Popular => RequestDigest::new("w", "GET", &["h", "/"], b""),
        Kind::Other => RequestDigest::new("w", "GET", &["h", &number.to_string()], b""),
    }
}

impl Play {
    fn new(vms: usize, domains: usize, endpoints: usize, seed: u64) -> Self {
        Self {
            fleet: Fleet::new(vms, domains, seed),
            endpoints: (0..endpoints).map(|_| Endpoint::default()).collect(),
            rate: 25.0 * endpoints as f64,
            due: 0.0,
            next_id: 0,
            waiting: Vec::new(),
            returning: Vec::new(),
            bad_sends: Vec::new(),
            bad_ends: Vec::new(),
            sound: 0,
            held: 0,
            refused: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.fleet.rng.random_range(0..below)
    }

    fn draw_vm(&mut self) -> usize {
        loop {
            let vm = self.draw(self.fleet.vms.len() as u64) as usize;
            if self.fleet.vms[vm].alive {
                return vm;
            }
        }
    }

    fn come(&mut self, kind: Kind) {
        self.next_id += 1;
        let digest = digest(kind, self.next_id);
        let content = RequestContent::new(self.next_id, "w".into(), Vec::new(), digest);
        let vm = self.draw_vm();
        self.sound += usize::from(kind != Kind::Bad);
        self.admit(Attempt { vm, content, kind, number: 1, sends: 0 });
    }

    /// A caller tries again, with another id and at another VM.
    fn come_again(&mut self, mut attempt: Attempt) {
        self.next_id += 1;
        (attempt.vm, attempt.content.request) = (self.draw_vm(), self.next_id);
        (attempt.number, attempt.sends) = (attempt.number + 1, 0);
        self.admit(attempt);
    }

    fn up(&self) -> Vec<usize> {
        let now = self.fleet.now;
        (0..self.endpoints.len()).filter(|at| self.endpoints[*at].back <= now).collect()
    }

    fn admit(&mut self, attempt: Attempt) {
        let until = self.fleet.now + TRIAL_TERM;
        self.waiting.push((attempt, until));
        self.check_waiting();
    }

    fn check_waiting(&mut self) {
        let now = self.fleet.now;
        for (attempt, until) in std::mem::take(&mut self.waiting) {
            let has_spare = self.up().len() > 1;
            let log = &mut self.fleet.vms[attempt.vm].log;
            let mut check = log.check(&attempt.content);
            if has_spare && matches!(check, SendCheck::Held(_)) {
                check = log.admit(&attempt.content, now);
            }
            match check {
                SendCheck::Held(held) => {
                    let known = log.asked_trials(now).len();
                    let waits = has_spare
                        && now < until
                        && log.ask_trial(&held.cause, attempt.content.request, now);
                    if !waits {
                        self.on_held(attempt, &held);
                        continue;
                    }
                    if log.asked_trials(now).len() > known {
                        self.fleet.hurry(attempt.vm);
                    }
                    self.waiting.push((attempt, until));
                }
                SendCheck::Trial => self.send(Attempt { sends: MAX_SENDS - 1, ..attempt }),
                SendCheck::Open => self.send(attempt),
                SendCheck::EndedEndpoints(_) => self.lose(attempt),
            }
        }
    }

    fn on_held(&mut self, attempt: Attempt, held: &HeldCause) {
        if attempt.kind != Kind::Bad {
            // Without an endpoint nothing could be served.
            self.held += usize::from(!self.up().is_empty());
            self.refused += usize::from(held.recheck_after(self.fleet.now).is_none());
        }
        self.lose(attempt);
    }

    /// An attempt is not served; its caller may come again.
    fn lose(&mut self, attempt: Attempt) {
        let now = self.fleet.now;
        if attempt.kind != Kind::Bad && attempt.number < MAX_ATTEMPTS {
            let at = now + Duration::from_millis(100 + self.draw(400));
            self.returning.push((at, attempt));
        }
    }

    fn send(&mut self, attempt: Attempt) {
        let (now, up) = (self.fleet.now, self.up());
        if up.is_empty() {
            return self.lose(attempt);
        }
        if attempt.kind == Kind::Bad {
            self.bad_sends.push((now, attempt.vm));
        }
        let at = up[self.draw(up.len() as u64) as usize];
        let began = now + Duration::from_millis(self.draw(20));
        let ends = began + Duration::from_millis(20 + self.draw(60));
        let attempt = Attempt { sends: attempt.sends + 1, ..attempt };
        self.endpoints[at].open.push(Open { attempt, began, ends });
    }

    /// An endpoint ends; the VMs that sent it requests notice soon, and send them on.
    fn end(&mut self, at: usize) {
        let now = self.fleet.now;
        let downtime = Duration::from_millis(self.fleet.rng.random_range(DOWNTIME_MS));
        let endpoint = &mut self.endpoints[at];
        (endpoint.back, endpoint.instance) = (now + downtime, endpoint.instance + 1);
        let instance = (format!("e{at}").into(), endpoint.instance);
        for open in std::mem::take(&mut endpoint.open) {
            let attempt = open.attempt;
            if !self.fleet.vms[attempt.vm].alive {
                continue;
            }
            let at = now + Duration::from_millis(self.draw(10));
            let (instance, suspects) = (instance.clone(), vec![attempt.content.clone()]);
            self.fleet.end(attempt.vm, EndpointEnd { instance, at, suspects, sound: vec![] });
            let may_send =
                self.fleet.vms[attempt.vm].log.check(&attempt.content) == SendCheck::Open;
            if attempt.sends < MAX_SENDS && may_send {
                self.send(attempt);
            } else {
                self.lose(attempt);
            }
        }
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        let now = self.fleet.now;
        self.due += self.rate * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let kind = if self.draw(10) == 0 { Kind::Popular } else { Kind::Other };
            self.come(kind);
        }
        let (due, later) =
            std::mem::take(&mut self.returning).into_iter().partition(|(at, _)| *at <= now);
        self.returning = later;
        let due: Vec<(Duration, Attempt)> = due;
        due.into_iter().for_each(|(_, attempt)| self.come_again(attempt));
        self.check_waiting();
        for at in 0..self.endpoints.len() {
            let open = &self.endpoints[at].open;
            if open.iter().any(|open| open.attempt.kind == Kind::Bad && open.ends <= now) {
                self.bad_ends.push(now);
                self.end(at);
                continue;
            }
            let (done, open): (Vec<Open>, Vec<Open>) = std::mem::take(&mut self.endpoints[at].open)
                .into_iter()
                .partition(|open| open.ends <= now);
            self.endpoints[at].open = open;
            for Open { attempt, began, .. } in done {
                if self.fleet.vms[attempt.vm].alive {
                    self.fleet.answer(attempt.vm, &attempt.content, began);
                }
            }
        }
    }

    /// All VMs end; the store's row has what the leader refuses for good.
    fn kill_all(&mut self) {
        let leader = self.fleet.leader.unwrap_or_default();
        let rows: Vec<HeldCause> =
            self.fleet.vms[leader].log.held().into_iter().filter(|held| !held.weak).collect();
        for vm in 0..self.fleet.vms.len() {
            self.fleet.kill(vm);
            self.fleet.vms[vm].alive = true;
        }
        (self.fleet.leader, self.fleet.leads_from) = (None, self.fleet.now + LEADER_GAP);
        for endpoint in &mut self.endpoints {
            endpoint.open.clear();
        }
        // A VM reads the row as it starts.
        for vm in 0..self.fleet.vms.len() {
            for held in &rows {
                self.fleet.vms[vm].log.adopt(held.clone(), self.fleet.now);
            }
        }
    }

    fn run(&mut self, trouble: Trouble) {
        let warm_until = self.fleet.now + Duration::from_secs(2);
        while self.fleet.now < warm_until {
            self.step();
        }
        let began = self.fleet.now;
        let (mut next_bad, mut is_done) = (began, false);
        while self.fleet.now < began + PLAY_TIME {
            let now = self.fleet.now;
            if trouble != Trouble::OwnEnds && next_bad <= now {
                next_bad = now + BAD_INTERVAL;
                self.come(Kind::Bad);
            }
            match trouble {
                Trouble::LeaderKilled if !is_done && self.bad_ends.len() >= 2 => {
                    is_done = true;
                    self.fleet.kill(0);
                }
                Trouble::AllKilled if !is_done && now >= began + Duration::from_secs(5) => {
                    is_done = true;
                    self.kill_all();
                }
                Trouble::Cut => {
                    self.fleet.cut = (now < began + Duration::from_secs(8)).then_some(1);
                }
                Trouble::OwnEnds => {
                    let second = now >= began + Duration::from_secs(4);
                    if (now == began) || (second && !is_done) {
                        is_done = second;
                        (0..self.endpoints.len()).for_each(|at| self.end(at));
                    }
                }
                _ => {}
            }
            self.step();
        }
    }

    /// Returns how many attempts of the request at fault were sent too late, by VMs in touch.
    fn late(&self, trouble: Trouble) -> usize {
        let Some(third) = self.bad_ends.get(FREE_ENDS - 1) else { return 0 };
        let late = self.bad_sends.iter().filter(|(at, vm)| {
            let is_cut = trouble == Trouble::Cut && self.fleet.vms[*vm].domain == 1;
            *at > *third + CONTACT_TIME && !is_cut
        });
        late.count()
    }
}

fn draws() -> u64 {
    std::env::var("CRASH_DRAWS").ok().and_then(|draws| draws.parse().ok()).unwrap_or(DRAWS)
}

/// Plays a trouble at all sizes, and checks both sides: what is at fault is sent three times late at most, and
/// the others are served.
fn check(trouble: Trouble) {
    let mut wrong = Vec::new();
    for (vms, domains) in [(8, 3), (79, 3), (295, 5)] {
        for endpoints in [3, 60] {
            let plays = std::thread::scope(|scope| {
                let tasks: Vec<_> = (0..draws())
                    .map(|seed| {
                        scope.spawn(move || {
                            let mut play = Play::new(vms, domains, endpoints, seed);
                            play.run(trouble);
                            play
                        })
                    })
                    .collect();
                tasks.into_iter().map(|task| task.join().expect("it ends")).collect::<Vec<Play>>()
            });
            let most = |value: &dyn Fn(&Play) -> usize| plays.iter().map(value).max().unwrap_or(0);
            let (late, ends) =
                (most(&|play| play.late(trouble)), most(&|play| play.bad_ends.len()));
            let held = most(&|play| play.held * 1_000 / play.sound);
            let refused = most(&|play| play.refused);
            println!(
                "{trouble:?}, {vms} VMs, {endpoints} endpoints: at most {ends} ends, {late} late, {held} of \
                 1,000 sound attempts held back, {refused} refused for good"
            );
            let is_bad = late > MAX_LATE_SENDS || held > MAX_HELD_PERMILLE || refused > 0;
            if is_bad {
                wrong.push(format!(
                    "{vms} VMs, {endpoints} endpoints: {late} late, {held} held, {refused} refused"
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{trouble:?}: {wrong:#?}");
}

macro_rules! request_case {
    ($name:ident, $trouble:expr) => {
        #[test]
        fn $name() {
            check($trouble);
        }
    };
}

request_case!(request_that_ends_its_endpoints_is_sent_nowhere, Trouble::None);
request_case!(request_is_sent_nowhere_although_the_leader_is_killed, Trouble::LeaderKilled);
request_case!(request_is_sent_nowhere_after_a_kill_of_all, Trouble::AllKilled);
request_case!(request_is_sent_nowhere_by_domains_that_learn_apart, Trouble::Cut);
request_case!(no_request_is_refused_as_all_endpoints_end_twice, Trouble::OwnEnds);
