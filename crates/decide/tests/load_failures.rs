//! Tests of the pauses of loads during which endpoints end.
//!
//! They guard against a model that crashes one endpoint after the other, and against models that are
//! not loaded although nothing is wrong with them.

use std::time::Duration;

use bamboocourse_decide::{LoadFailures, LoadedItem};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn model(name: &str) -> LoadedItem {
    (name.into(), None)
}

/// Records that an instance of an endpoint ended while it loaded `m`.
fn end(failures: &mut LoadFailures, instance: u64, at: u64) -> Option<Duration> {
    failures.on_end(model("m"), ("e1".into(), instance), seconds(at))
}

#[test]
fn model_is_not_loaded_after_three_endpoints_ended_with_it() {
    let mut failures = LoadFailures::default();
    assert_eq!(end(&mut failures, 1, 1), None);
    assert_eq!(end(&mut failures, 1, 1), None, "it is the same one");
    assert_eq!(end(&mut failures, 2, 5), None);
    assert!(!failures.is_paused(&model("m"), 0, seconds(5)));
    assert_eq!(end(&mut failures, 3, 9), Some(seconds(30)));
    assert!(failures.is_paused(&model("m"), 0, seconds(38)));
    assert!(!failures.is_paused(&model("other"), 0, seconds(38)));
    assert!(!failures.is_paused(&model("m"), 0, seconds(39)));
}

#[test]
fn endpoints_that_end_within_an_hour_cost_few_more() {
    let mut failures = LoadFailures::default();
    let mut crashes = Vec::new();
    for second in 0..3_600 {
        failures.prune(seconds(second));
        if !failures.is_paused(&model("m"), 0, seconds(second)) {
            end(&mut failures, second, second);
            crashes.push(second);
        }
    }
    assert_eq!(crashes, [0, 1, 2, 32, 152, 632, 2_552]);
}

// A whole rack is lost while its endpoints load the same model.
#[test]
fn loss_of_many_endpoints_at_once_pauses_no_load() {
    let mut failures = LoadFailures::default();
    for instance in 0..30 {
        assert_eq!(end(&mut failures, instance, 1), None);
    }
    assert!(!failures.is_paused(&model("m"), 0, seconds(2)));
}

// Several copies are ordered at once as a rule.
#[test]
fn doubtful_model_is_loaded_by_one_endpoint_at_a_time() {
    let mut failures = LoadFailures::default();
    assert!(!failures.is_paused(&model("m"), 4, seconds(1)));
    end(&mut failures, 1, 1);
    assert!(failures.is_paused(&model("m"), 1, seconds(2)));
    assert!(!failures.is_paused(&model("m"), 0, seconds(2)));
}

// Endpoints end for other reasons, too, and in numbers while many models are loaded.
#[test]
fn model_that_some_endpoint_has_loaded_is_cleared() {
    let mut failures = LoadFailures::default();
    for instance in 1..30 {
        assert_eq!(end(&mut failures, instance, instance), None);
        if instance % 2 == 0 {
            failures.on_loaded(&model("m"));
        }
    }
    assert!(!failures.is_paused(&model("m"), 0, seconds(30)));
    failures.prune(seconds(200));
    assert!(failures.is_empty());
}
