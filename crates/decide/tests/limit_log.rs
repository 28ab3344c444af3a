//! Which limit of an endpoint is in force when answers cross, lack it or differ between VMs.

use std::time::Duration;

use bamboocourse_decide::{
    EndpointInstance, LimitLog, LimitStatement, NamedLimit, PermitRole, RaiseEvidence, Rate,
    RelayPart, RequestLimits,
};
use proptest::prelude::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn endpoint() -> EndpointInstance {
    ("e1".into(), 7)
}

/// Applies answers, each with the limit, the time of its request and that of its arrival in
/// seconds, and returns the limit in force.
fn after(answers: &[(Option<Rate>, u64, u64)]) -> Option<Rate> {
    let mut log = LimitLog::default();
    for (rate, sent, seen) in answers {
        let named = rate.map(NamedLimit::PerSecond);
        log.on_answer(&endpoint(), named, ms(*sent * 1_000), ms(*seen * 1_000), true);
    }
    log.rate(&endpoint())
}

macro_rules! cases {
    ($($name:ident: $answers:expr => $rate:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(after(&$answers), $rate);
        })*
    };
}

cases! {
    answers_without_a_limit_name_none: [(None, 0, 1)] => None;
    lower_limit_is_in_force_at_once: [(Some(5.0), 0, 1), (Some(2.0), 0, 2)] => Some(2.0);
    one_answer_without_the_limit_does_not_end_it: [(Some(2.0), 0, 1), (None, 2, 3)] => Some(2.0);
    three_answers_without_the_limit_end_it:
        [(Some(2.0), 0, 1), (None, 2, 3), (None, 3, 4), (None, 4, 5)] => None;
    limit_that_is_named_again_in_between_stays:
        [(Some(2.0), 0, 1), (None, 2, 3), (None, 3, 4), (Some(2.0), 4, 5), (None, 6, 7)] => Some(2.0);
    answers_to_requests_sent_before_the_limit_was_seen_do_not_end_it:
        [(Some(2.0), 0, 10), (None, 1, 11), (None, 2, 12), (None, 10, 13)] => Some(2.0);
    higher_limit_is_the_lowest_of_three_answers:
        [(Some(2.0), 0, 1), (Some(6.0), 2, 3), (Some(5.0), 3, 4), (None, 4, 5)] => Some(5.0);
    ended_limit_comes_again_at_once:
        [(Some(2.0), 0, 1), (None, 2, 3), (None, 3, 4), (None, 4, 5), (Some(3.0), 6, 7)] => Some(3.0);
    negative_limit_takes_nothing: [(Some(-4.0), 0, 1)] => Some(0.0);
    limit_that_is_no_number_is_a_low_one: [(Some(Rate::NAN), 0, 1)] => Some(1.0);
    limit_without_bound_is_a_very_high_one: [(Some(Rate::INFINITY), 0, 1)] => Some(1e6);
}

#[test]
fn unreadable_limit_leaves_the_known_one_in_force() {
    let mut log = LimitLog::default();
    log.on_answer(&endpoint(), Some(NamedLimit::PerSecond(7.0)), ms(0), ms(1), true);
    log.on_answer(&endpoint(), Some(NamedLimit::Unreadable), ms(2), ms(3), true);
    assert_eq!(log.rate(&endpoint()), Some(7.0));
}

/// Returns the limits in force at two VMs, of which each tells the other what it holds.
fn after_telling(one: LimitStatement, other: LimitStatement) -> [Option<Rate>; 2] {
    let mut logs = [LimitLog::default(), LimitLog::default()];
    logs[0].on_told(&endpoint(), one);
    logs[1].on_told(&endpoint(), other);
    for _ in 0..2 {
        for (from, to) in [(0, 1), (1, 0)] {
            for (instance, statement) in logs[from].after(0) {
                logs[to].on_told(&instance, statement);
            }
        }
    }
    logs.map(|log| log.rate(&endpoint()))
}

#[test]
fn two_vms_that_hold_two_limits_agree_on_the_lower_one() {
    let low = LimitStatement { rate: Some(2.0), sent: ms(0), seen: ms(1_000) };
    let high = LimitStatement { rate: Some(9.0), sent: ms(900), seen: ms(2_000) };
    assert_eq!(after_telling(low, high), [Some(2.0); 2]);
    assert_eq!(after_telling(high, low), [Some(2.0); 2]);
}

#[test]
fn raise_that_was_seen_after_the_lower_limit_reaches_all_vms() {
    let low = LimitStatement { rate: Some(2.0), sent: ms(0), seen: ms(1_000) };
    let high = LimitStatement { rate: Some(9.0), sent: ms(1_400), seen: ms(2_000) };
    assert_eq!(after_telling(low, high), [Some(9.0); 2]);
    assert_eq!(after_telling(high, low), [Some(9.0); 2]);
}

// A VM that was out of touch still holds the limit.
#[test]
fn end_of_a_limit_reaches_a_vm_that_sent_nothing() {
    let mut log = LimitLog::default();
    log.on_told(&endpoint(), LimitStatement { rate: Some(2.0), sent: ms(0), seen: ms(1_000) });
    let ended = LimitStatement { rate: None, sent: ms(5_000), seen: ms(5_100) };
    assert!(log.on_told(&endpoint(), ended).is_some());
    assert_eq!(log.rate(&endpoint()), None);
}

#[test]
fn new_process_of_an_endpoint_has_no_limit() {
    let mut log = LimitLog::default();
    log.on_answer(&endpoint(), Some(NamedLimit::PerSecond(2.0)), ms(0), ms(1), true);
    assert_eq!(log.rate(&("e1".into(), 8)), None);
}

proptest! {
    // A VM may be told any number; it counts with those that an endpoint can mean.
    #[test]
    fn odd_limits_told_by_other_vms_end_no_vm(
        told in prop::option::of(any::<f64>()),
        raised in prop::option::of(any::<f64>()),
        sent in any::<u64>(),
        seen in any::<u64>(),
        answers in any::<u32>(),
    ) {
        let now = ms(20_000);
        for rate in [told, Some(f64::NAN), Some(f64::INFINITY), Some(-1.0), Some(f64::MIN_POSITIVE)] {
            let mut limits = RequestLimits::default();
            limits.set_role(PermitRole::Relay(RelayPart { relays: 3, rank: 1 }), Duration::ZERO);
            let statement = LimitStatement { rate, sent: ms(sent), seen: ms(seen) };
            limits.on_limits(&[(endpoint(), statement)], &[], now);
            let evidence = RaiseEvidence { rate: raised, sent: ms(sent), answers };
            limits.on_limits(&[], &[(endpoint(), evidence), (endpoint(), evidence)], now);
            if let Some(rate) = limits.rate(&endpoint()) {
                prop_assert!((0.0..=1e6).contains(&rate), "{rate}");
            }
            limits.waiting_time([endpoint()].iter(), u32::MAX, now);
            limits.seek(&endpoint(), now);
            limits.refresh(now + ms(5_000));
            limits.report(0, &Default::default(), now);
            let named = Some(NamedLimit::PerSecond(3.0));
            limits.on_answer(&endpoint(), named, now, now);
        }
    }
}
