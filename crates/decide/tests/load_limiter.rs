//! Tests of the limit of loads from the weight store while orders are slow, lost or refused.
//!
//! They guard against a window with more loads than allowed, which happened where orders took
//! different times on their way (csml-piazzale-grown trouble-1, seed 363552097319).

use std::time::Duration;

use bamboocourse_decide::{LoadLimiter, LoadOutcome};
use proptest::prelude::*;

/// The length of a window.
const WINDOW: Duration = Duration::from_secs(5);
/// The rate of the weight store, in loads per second.
const RATE: f64 = 16.0;
/// The factor that the bound of a window applies to the rate.
const EXCESS: f64 = 1.1;
/// The loads that a window allows.
const MAX_LOADS: usize = 91;
/// How long an order without a reply may take to be carried out.
const MAX_LATENESS: Duration = Duration::from_secs(13);

fn limiter() -> LoadLimiter {
    let mut limiter = LoadLimiter::new(WINDOW, EXCESS);
    limiter.set_rate(RATE);
    limiter
}

/// What becomes of one order.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// The load begins this long after the order, and the reply arrives this long after that.
    Begun(u64, u64),
    /// The order is refused, and the reply arrives after this time.
    Refused(u64),
    /// No reply arrives; the load begins this long after the order, in milliseconds.
    Lost(u64),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => (0..400u64, 0..300u64).prop_map(|(way, back)| Fate::Begun(way, back)),
        1 => (0..400u64).prop_map(Fate::Refused),
        1 => (0..12_000u64).prop_map(Fate::Lost),
    ]
}

/// The time after which an order counts as lost, in milliseconds.
const REPLY_TIMEOUT: u64 = 700;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() })]

    /// A leader that always wants to load keeps every window within the bound, whatever becomes of
    /// its orders.
    #[test]
    fn no_window_begins_more_loads_than_allowed(fates in prop::collection::vec(fate(), 400)) {
        let mut limiter = limiter();
        let mut begins: Vec<u64> = Vec::new();
        let mut replies: Vec<(u64, LoadOutcome)> = Vec::new();
        let mut fates = fates.into_iter().cycle();
        for now in (0..30_000u64).step_by(20) {
            let at = Duration::from_millis(now);
            let (due, open): (Vec<_>, Vec<_>) =
                replies.into_iter().partition(|(due, _)| *due <= now);
            replies = open;
            for (_, outcome) in due {
                limiter.settle(outcome, at);
            }
            while limiter.take(at) {
                match fates.next().expect("the fates repeat") {
                    Fate::Begun(way, back) => {
                        begins.push(now + way);
                        replies.push((now + way + back, LoadOutcome::Begun));
                    }
                    Fate::Refused(after) => replies.push((now + after, LoadOutcome::NotBegun)),
                    Fate::Lost(way) => {
                        begins.push(now + way);
                        let until = at + Duration::from_millis(REPLY_TIMEOUT) + MAX_LATENESS;
                        replies.push((now + REPLY_TIMEOUT, LoadOutcome::UnknownUntil(until)));
                    }
                }
            }
        }
        begins.sort_unstable();
        let window = WINDOW.as_millis() as u64;
        for (index, first) in begins.iter().enumerate() {
            let inside = begins[index..].iter().take_while(|at| **at < first + window).count();
            prop_assert!(inside <= MAX_LOADS, "{inside} loads from {first} ms on");
        }
    }
}

/// Guards against loads that a window allows going unused: of orders that are carried out at once,
/// each window takes nearly all that the store allows.
#[test]
fn prompt_loads_use_the_rate() {
    let mut limiter = limiter();
    let mut begun = 0;
    for now in (0..20_000u64).step_by(20) {
        let at = Duration::from_millis(now);
        while limiter.take(at) {
            limiter.settle(LoadOutcome::Begun, at);
            begun += 1;
        }
    }
    assert!(begun as f64 >= 20.0 * RATE * 0.95, "{begun} loads in 20 s");
}

#[test]
fn refused_loads_leave_their_room_at_once() {
    let mut limiter = limiter();
    let now = Duration::from_secs(60);
    for _ in 0..3 * MAX_LOADS {
        assert!(limiter.take(now));
        limiter.settle(LoadOutcome::NotBegun, now);
    }
}
