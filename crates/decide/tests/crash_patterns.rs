//! Replays how endpoints end for reasons of their own, and how a part of prompts ends them, in fleets
//! without sockets.
//!
//! They guard against sound parts that are held back because endpoints ended while most requests had
//! them (review/2, DENIED), and against parts at fault that are not held back for that (BUDGET, LOST).
//! `CRASH_DRAWS=1000 CRASH_VMS=8 cargo test --release --test crash_patterns -- --nocapture` prints the
//! table of a fleet's size.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use bamboocourse_decide::{Cause, EndpointEnd, PartId, RequestContent, RequestDigest, SendCheck};
use rand::RngExt;

use common::{BAD, Fleet, STEP};

/// The draws of each pattern, unless `CRASH_DRAWS` says how many.
const DRAWS: u64 = 4;
/// How long after its first event a stream counts as answered.
const SOUND_TIME: Duration = Duration::from_millis(300);
/// How long a VM takes to notice the end of an endpoint.
const MAX_NOTICE_DELAY: u64 = 30;
/// How many requests with a part at fault may be sent later than `CONTACT_TIME` after the fifth end.
const MAX_LATE_REQUESTS: usize = 3;
/// How long VMs may take to act on the fifth end.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The endpoints that a part may end before that time begins.
const FREE_ENDS: usize = 5;
/// How long a play lasts from its first end on.
const PLAY_TIME: Duration = Duration::from_secs(9);
/// How often a request is sent at most.
const MAX_SENDS: u32 = 3;

/// The VMs, domains, endpoints and requests a second of a fleet.
const FLEETS: [(usize, usize, usize, f64); 3] =
    [(8, 3, 18, 120.0), (79, 3, 60, 400.0), (295, 5, 209, 1_000.0)];

/// When endpoints end for reasons of their own.
#[derive(Debug, Clone, Copy)]
enum Pattern {
    /// All at one moment.
    Moment,
    /// Spread over this time, in milliseconds.
    Wave(u64),
    /// One after the other, with this time between, in milliseconds.
    Turns(u64),
    /// None does.
    Never,
}

/// What of the sound parts is known before the first end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    Nothing,
    Half,
    All,
}

/// A request that an endpoint has, and the VM that sent it.
struct Open {
    vm: usize,
    prompt: RequestContent,
    began: Duration,
    ends: Duration,
    sends: u32,
    is_sound: bool,
}

/// An endpoint; it has ended if `back` is later than the present.
#[derive(Default)]
struct Endpoint {
    instance: u64,
    back: Duration,
    open: Vec<Open>,
}

/// A play of one fleet.
struct Play {
    fleet: Fleet,
    endpoints: Vec<Endpoint>,
    rate: f64,
    /// How many of 1,000 requests have the part that is looked at.
    permille: u32,
    /// Whether that part ends endpoints.
    is_bad: bool,
    /// When endpoints ended under the part at fault.
    bad_ends: Vec<Duration>,
    /// When requests with the part at fault reached endpoints.
    bad_sends: Vec<Duration>,
    sound: usize,
    refused: usize,
    held: BTreeSet<Cause>,
    /// The part at fault, and the requests that have it.
    bad: BTreeSet<Cause>,
    next_request: u64,
    due: f64,
}

impl Play {
    fn new(size: usize, permille: u32, is_bad: bool, seed: u64) -> Self {
        let (vms, domains, endpoints, rate) = FLEETS[size];
        Self {
            fleet: Fleet::new(vms, domains, seed),
            endpoints: (0..endpoints).map(|_| Endpoint::default()).collect(),
            rate,
            permille,
            is_bad,
            bad_ends: Vec::new(),
            bad_sends: Vec::new(),
            sound: 0,
            refused: 0,
            held: BTreeSet::new(),
            bad: if is_bad { BTreeSet::from([BAD.into()]) } else { BTreeSet::new() },
            next_request: 0,
            due: 0.0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.fleet.rng.random_range(0..below)
    }

    /// A new request comes to a VM: one of three routes, one of 40 workloads, perhaps the part.
    fn request(&mut self, may_be_bad: bool) {
        let vm = self.draw(self.fleet.vms.len() as u64) as usize;
        let (route, rare) = (self.draw(3), self.draw(40));
        let mut parts = vec![format!("route{route}"), format!("work{}", rare * rare / 40)];
        let has_part = self.draw(1_000) < u64::from(self.permille) && may_be_bad;
        if has_part {
            parts.push(BAD.to_owned());
        }
        self.next_request += 1;
        let workspace = format!("w{}", self.draw(5));
        let prompt = RequestContent::new(
            self.next_request,
            workspace.as_str().into(),
            parts.iter().map(PartId::new).collect(),
            RequestDigest::of_id(self.next_request),
        );
        self.sound += usize::from(!(has_part && self.is_bad));
        if has_part && self.is_bad {
            self.bad.insert(Cause::Request(prompt.digest));
        }
        self.send(vm, prompt, 1);
    }

    fn send(&mut self, vm: usize, prompt: RequestContent, sends: u32) {
        let now = self.fleet.now;
        let is_bad = self.is_bad && prompt.parts().any(|part| *part == BAD);
        let check = self.fleet.vms[vm].log.admit(&prompt, now);
        if let SendCheck::Held(held) = check {
            if !is_bad {
                self.refused += 1;
                if !held.cause.is_request() || !held.weak {
                    self.held.insert(held.cause.clone());
                }
            }
            return;
        }
        if matches!(check, SendCheck::EndedEndpoints(_)) {
            return;
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|at| self.endpoints[*at].back <= now).collect();
        if up.is_empty() {
            return;
        }
        if is_bad {
            self.bad_sends.push(now);
        }
        // Fewer endpoints answer later.
        let crowd = self.endpoints.len() as u64 / up.len() as u64;
        let at = up[self.draw(up.len() as u64) as usize];
        let began = now + Duration::from_millis(20 + self.draw(50 * crowd.min(6)));
        let ends = began + Duration::from_millis(100 + self.draw(900));
        self.endpoints[at].open.push(Open { vm, prompt, began, ends, sends, is_sound: false });
    }

    /// An endpoint ends; those that sent it requests notice soon, and send them on.
    fn end(&mut self, at: usize) {
        let now = self.fleet.now;
        let back = now + Duration::from_millis(2_000 + self.draw(3_000));
        let endpoint = &mut self.endpoints[at];
        (endpoint.back, endpoint.instance) = (back, endpoint.instance + 1);
        let instance = (format!("e{at}").into(), endpoint.instance);
        for open in std::mem::take(&mut endpoint.open) {
            if now < open.began + SOUND_TIME {
                let seen = now + Duration::from_millis(self.draw(MAX_NOTICE_DELAY));
                let suspects = vec![open.prompt.clone()];
                let end =
                    EndpointEnd { instance: instance.clone(), at: seen, suspects, sound: vec![] };
                self.fleet.end(open.vm, end);
            }
            if open.sends < MAX_SENDS {
                self.send(open.vm, open.prompt, open.sends + 1);
            }
        }
    }

    fn step(&mut self, may_be_bad: bool) {
        self.fleet.run(STEP);
        let now = self.fleet.now;
        self.due += self.rate * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.request(may_be_bad);
        }
        for at in 0..self.endpoints.len() {
            let has_bad = self.is_bad
                && self.endpoints[at]
                    .open
                    .iter()
                    .any(|open| open.began <= now && open.prompt.parts().any(|part| *part == BAD));
            if has_bad {
                self.bad_ends.push(now);
                self.end(at);
                continue;
            }
            let mut open = std::mem::take(&mut self.endpoints[at].open);
            for request in &mut open {
                if !request.is_sound && (request.began + SOUND_TIME <= now || request.ends <= now) {
                    request.is_sound = true;
                    self.fleet.answer(request.vm, &request.prompt, request.began);
                }
            }
            open.retain(|request| now < request.ends);
            self.endpoints[at].open = open;
        }
        for vm in &self.fleet.vms {
            // A request that lost two endpoints may be held back until it is tried.
            let held = vm.log.held().into_iter();
            let held = held.filter(|held| !held.cause.is_request() || !held.weak);
            let held = held.map(|held| held.cause);
            self.held.extend(held.filter(|cause| !self.bad.contains(cause)));
        }
    }

    /// Plays requests until some of the parts are known.
    fn warm_up(&mut self, known: Known) {
        match known {
            Known::Nothing => {
                let until = self.fleet.now + Duration::from_millis(self.draw(300));
                while self.fleet.now < until {
                    self.step(true);
                }
            }
            Known::Half | Known::All => {
                let until = self.fleet.now + Duration::from_millis(1_500);
                while self.fleet.now < until {
                    // Half: the part that is looked at is new to the fleet.
                    self.step(known == Known::All && !self.is_bad);
                }
            }
        }
    }

    /// Plays a pattern of ends of a share of the endpoints.
    fn run(&mut self, pattern: Pattern, share: f64) {
        let count = ((self.endpoints.len() as f64 * share).ceil() as usize).max(1);
        let mut order: Vec<usize> = (0..self.endpoints.len()).collect();
        for index in 0..order.len() {
            let other = self.draw(order.len() as u64) as usize;
            order.swap(index, other);
        }
        let began = self.fleet.now;
        let mut ends: Vec<(Duration, usize)> = Vec::new();
        for (number, at) in order.into_iter().take(count).enumerate() {
            let after = match pattern {
                Pattern::Moment => self.draw(20),
                Pattern::Wave(ms) => self.draw(ms),
                Pattern::Turns(ms) => ms * number as u64,
                Pattern::Never => continue,
            };
            ends.push((began + Duration::from_millis(after), at));
        }
        ends.sort();
        ends.reverse();
        while self.fleet.now < began + PLAY_TIME {
            while ends.last().is_some_and(|(due, _)| *due <= self.fleet.now) {
                if let Some((_, at)) = ends.pop()
                    && self.endpoints[at].back <= self.fleet.now
                {
                    self.end(at);
                }
            }
            self.step(true);
        }
    }

    /// Returns how many requests with the part at fault were sent after the time in which VMs act.
    fn late(&self) -> usize {
        let Some(fifth) = self.bad_ends.get(FREE_ENDS - 1) else { return 0 };
        self.bad_sends.iter().filter(|at| **at > *fifth + CONTACT_TIME).count()
    }
}

/// Returns the fleets that are played, with their indices: all, or those of `CRASH_VMS` VMs.
fn fleets() -> impl Iterator<Item = (usize, usize)> {
    let only = std::env::var("CRASH_VMS").ok().and_then(|vms| vms.parse().ok());
    let fleets = FLEETS.into_iter().map(|(vms, ..)| vms).enumerate();
    fleets.filter(move |(_, vms)| only.is_none_or(|only: usize| only == *vms))
}

fn draws() -> u64 {
    let draws = std::env::var("CRASH_DRAWS").ok().and_then(|draws| draws.parse().ok());
    draws.unwrap_or(DRAWS)
}

/// Plays draws of a pattern on all processors.
fn play_draws<T: Send>(play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64).min(4);
    std::thread::scope(|scope| {
        let play = &play;
        let tasks: Vec<_> = (0..threads)
            .map(|first| {
                let seeds = (first..draws()).step_by(threads as usize);
                scope.spawn(move || seeds.map(play).collect::<Vec<T>>())
            })
            .collect();
        tasks.into_iter().flat_map(|task| task.join().expect("the plays end")).collect()
    })
}

/// Checks that no sound part is held back while endpoints end for reasons of their own.
fn check_sound_parts(name: &str, pattern: Pattern) {
    let mut wrong = Vec::new();
    for (size, vms) in fleets() {
        for share in [0.05, 0.25, 0.5, 1.0] {
            for permille in [10, 100, 1_000] {
                for known in [Known::Nothing, Known::Half, Known::All] {
                    let draws = play_draws(|seed| {
                        let mut play = Play::new(size, permille, false, seed);
                        play.warm_up(known);
                        play.run(pattern, share);
                        (seed, play.held, play.refused, play.sound)
                    });
                    let held: Vec<_> =
                        draws.iter().filter(|(_, held, ..)| !held.is_empty()).collect();
                    let refused: usize = draws.iter().map(|(_, _, refused, _)| refused).sum();
                    println!(
                        "{name}: {vms} VMs, {share} of the endpoints, part in {permille} of 1,000, \
                         {known:?} known: held back in {} of {}, {refused} refused",
                        held.len(),
                        draws.len(),
                    );
                    if let Some((seed, parts, ..)) = held.first() {
                        wrong.push(format!("{vms} {share} {permille} {known:?} {seed}: {parts:?}"));
                    }
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{name}: {wrong:#?}");
}

macro_rules! sound_case {
    ($name:ident, $pattern:expr) => {
        #[test]
        fn $name() {
            check_sound_parts(stringify!($name), $pattern);
        }
    };
}

sound_case!(no_sound_part_is_held_back_after_ends_at_one_moment, Pattern::Moment);
sound_case!(no_sound_part_is_held_back_after_a_short_wave_of_ends, Pattern::Wave(200));
sound_case!(no_sound_part_is_held_back_after_a_wave_of_a_second, Pattern::Wave(1_000));
sound_case!(no_sound_part_is_held_back_after_a_long_wave_of_ends, Pattern::Wave(5_000));
sound_case!(no_sound_part_is_held_back_after_ends_one_after_another, Pattern::Turns(400));

/// Checks that a part that ends endpoints is held back in time, and no other part is.
fn check_bad_part(name: &str, pattern: Pattern, share: f64) {
    let mut wrong = Vec::new();
    for (size, vms) in fleets() {
        for permille in [10, 50, 200] {
            for known in [Known::Nothing, Known::All] {
                let draws = play_draws(|seed| {
                    let mut play = Play::new(size, permille, true, seed);
                    play.warm_up(known);
                    play.run(pattern, share);
                    (seed, play.late(), play.bad_ends.len(), play.held, play.refused, play.sound)
                });
                let late = draws.iter().map(|draw| draw.1).max().unwrap_or_default();
                let ends = draws.iter().map(|draw| draw.2).max().unwrap_or_default();
                let refused: usize = draws.iter().map(|draw| draw.4).sum();
                let sound: usize = draws.iter().map(|draw| draw.5).sum();
                println!(
                    "{name}: {vms} VMs, part in {permille} of 1,000, {known:?} known: at most {late} \
                     late, {ends} ends, {refused} of {sound} sound requests refused"
                );
                for (seed, late, ends, held, ..) in draws {
                    if late > MAX_LATE_REQUESTS || !held.is_empty() {
                        wrong.push(format!(
                            "{vms} {permille} {known:?} {seed}: {late} late, {ends} ends, {held:?}"
                        ));
                    }
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{name}: {wrong:#?}");
}

#[test]
fn part_at_fault_is_held_back_in_time() {
    check_bad_part("at fault", Pattern::Never, 0.0);
}

#[test]
fn part_at_fault_is_held_back_in_time_beside_other_ends() {
    check_bad_part("at fault beside ends", Pattern::Turns(400), 1.0);
}
