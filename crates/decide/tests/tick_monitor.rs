//! How late a process runs, as its ticks tell.

use std::time::Duration;

use bamboocourse_decide::TickMonitor;

const INTERVAL: Duration = Duration::from_millis(250);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ticked(times: &[u64]) -> TickMonitor {
    let mut ticks = TickMonitor::new(INTERVAL);
    times.iter().for_each(|time| ticks.tick(ms(*time)));
    ticks
}

#[test]
fn signal_on_time_was_sent_just_now() {
    let ticks = ticked(&[1_000, 1_250, 1_502]);
    assert_eq!(ticks.earliest(ms(1_700)), ms(1_700));
    assert_eq!(ticks.worst(ms(1_700)), Duration::ZERO);
}

// The grace period counted from when the signal was handled, and not from when it was sent.
#[test]
fn signal_after_a_pause_may_have_been_sent_at_its_start() {
    assert_eq!(ticked(&[1_000, 1_250]).earliest(ms(2_200)), ms(1_250));
    // The tick was played before the signal was handled.
    assert_eq!(ticked(&[1_000, 1_250, 2_200]).earliest(ms(2_201)), ms(1_250));
    assert_eq!(ticked(&[1_000, 1_250, 2_200]).earliest(ms(2_400)), ms(2_400));
}

#[test]
fn delays_are_forgotten() {
    let ticks = ticked(&[1_000, 1_900, 2_150]);
    assert_eq!(ticks.worst(ms(1_901)), Duration::ZERO);
    assert_eq!(ticks.worst(ms(2_200)), ms(650));
    assert_eq!(ticks.worst(ms(12_000)), Duration::ZERO);
}

#[test]
fn process_without_ticks_is_on_time() {
    assert_eq!(TickMonitor::new(INTERVAL).earliest(ms(5_000)), ms(5_000));
}
