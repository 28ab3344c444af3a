//! How long an endpoint is cold when its entries come late, again, or before the configuration.

use std::time::Duration;

use bamboocourse_decide::{
    ColdChange, ColdEnd, EndpointInstance, NamedLimit, PermitRole, Rate, RelayPart, RequestLimits,
};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn endpoint() -> EndpointInstance {
    ("e1".into(), 7)
}

/// Returns the limits of a VM that knows what a cold endpoint takes.
fn limits() -> RequestLimits {
    let mut limits = RequestLimits::default();
    limits.set_cold_rates([("chat".into(), 11.0)].into_iter().collect());
    limits
}

fn listed(limits: &mut RequestLimits, left: u64, now: u64) -> Option<ColdChange> {
    limits.on_cold(&endpoint(), &"chat".into(), ms(left), ms(now))
}

fn rate(limits: &mut RequestLimits, now: u64) -> Option<Rate> {
    limits.refresh(ms(now));
    limits.rate(&endpoint())
}

#[test]
fn cold_span_ends_by_itself() {
    let mut limits = limits();
    assert_eq!(listed(&mut limits, 3_000, 1_000), Some(ColdChange::Began));
    assert_eq!(rate(&mut limits, 3_999), Some(11.0));
    assert_eq!(rate(&mut limits, 4_000), None);
    assert!(limits.is_empty());
}

#[test]
fn newest_entry_counts() {
    let mut limits = limits();
    listed(&mut limits, 3_000, 1_000);
    // A heartbeat with less time left changes nothing much; a higher time is a new span.
    assert_eq!(listed(&mut limits, 2_000, 2_000), None);
    assert_eq!(listed(&mut limits, 3_000, 2_500), Some(ColdChange::Began));
    assert_eq!(rate(&mut limits, 5_400), Some(11.0));
    assert_eq!(listed(&mut limits, 0, 5_400), Some(ColdChange::Ended));
    assert_eq!(rate(&mut limits, 5_400), None);
    assert_eq!(listed(&mut limits, 0, 6_000), None);
}

#[test]
fn rate_counts_once_the_configuration_is_there() {
    let mut limits = RequestLimits::default();
    listed(&mut limits, 3_000, 1_000);
    assert_eq!(rate(&mut limits, 1_500), None);
    limits.set_cold_rates([("chat".into(), 4.0)].into_iter().collect());
    assert_eq!(rate(&mut limits, 1_500), Some(4.0));
}

#[test]
fn lower_of_named_limit_and_cold_rate_counts() {
    let mut limits = limits();
    limits.on_answer(&endpoint(), Some(NamedLimit::PerSecond(3.0)), ms(0), ms(0));
    listed(&mut limits, 3_000, 1_000);
    assert_eq!(rate(&mut limits, 2_000), Some(3.0));
    assert_eq!(limits.limited().collect::<Vec<_>>(), [(&endpoint(), 3.0)]);
    assert_eq!(rate(&mut limits, 9_000), Some(3.0));
}

#[test]
fn answers_do_not_end_a_cold_span() {
    let mut limits = limits();
    listed(&mut limits, 3_000, 1_000);
    for step in 0..10 {
        limits.on_answer(&endpoint(), None, ms(1_500 + step * 100), ms(1_550 + step * 100));
    }
    assert_eq!(rate(&mut limits, 3_000), Some(11.0));
}

#[test]
fn requests_in_a_cold_span_are_counted() {
    let mut limits = limits();
    listed(&mut limits, 3_000, 1_000);
    limits.on_used(&endpoint());
    limits.on_used(&endpoint());
    assert!(limits.take_cold_ends().is_empty());
    limits.refresh(ms(4_000));
    limits.on_used(&endpoint());
    let ended = ColdEnd { instance: endpoint(), sent: 2 };
    assert_eq!(limits.take_cold_ends(), [ended]);
}

// The term of a lost leader passes before a relay issues its own part.
#[test]
fn relay_without_a_leader_issues_its_part_of_a_cold_rate() {
    let mut limits = limits();
    let part = RelayPart { relays: 2, rank: 0 };
    limits.set_role(PermitRole::Relay(part), ms(0));
    listed(&mut limits, 10_000, 0);
    let mut got = 0;
    for step in 0..100 {
        let now = ms(step * 100);
        limits.refresh(now);
        while limits.take(&endpoint(), now).is_some() {
            got += 1;
        }
        assert!(step > 14 || got == 0, "{got} before 1.5 s");
    }
    assert!((42..=47).contains(&got), "{got} of 46 in 8.4 s");
}
