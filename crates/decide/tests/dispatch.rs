//! Tests of queueing and endpoint choice under overload and failures.

use std::time::Duration;

use bamboocourse_decide::{
    Dispatcher, EndpointInfo, FastSet, Load, ModelRef, Requirements, ResidentModels, SendOutcome,
    Shortage,
};

/// The time at which the tests start.
const NOW: Duration = Duration::from_secs(100);
/// The slots of each endpoint.
const SLOTS: u32 = 8;
/// The latency target of requests.
const LATENCY_TARGET: Duration = Duration::from_millis(400);

fn info() -> EndpointInfo {
    EndpointInfo {
        service: "models".into(),
        domain: "a".into(),
        slots: SLOTS,
        ready: true,
        instance: 1,
    }
}

fn dispatcher(names: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into());
    for name in names {
        let resident: ResidentModels = [("m".into(), FastSet::default())].into_iter().collect();
        dispatcher.upsert(&(*name).into(), info());
        dispatcher.set_resident(&(*name).into(), resident);
    }
    dispatcher
}

/// Creates a request that can meet its latency target until `deadline`.
fn request(deadline: Duration, urgency: u8) -> Requirements {
    Requirements {
        service: "models".into(),
        target: Some(ModelRef { model: "m".into(), adapter: None }),
        urgency,
        session: 0,
        target_deadline: deadline,
        tried: Vec::new(),
    }
}

fn report_load(dispatcher: &mut Dispatcher, name: &str, running: u32, waiting: u32) {
    dispatcher.on_load(&name.into(), Load { running, waiting }, NOW);
}

/// Defines a test with one full endpoint, "e1".
macro_rules! case {
    ($name:ident, |$dispatcher:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $dispatcher = dispatcher(&["e1"]);
            report_load(&mut $dispatcher, "e1", SLOTS, 2);
            $body
        }
    };
}

// Guards against sending waiting requests in order of arrival: requests that are already late
// would take the slots of requests that can still be on time.
case!(requests_that_can_meet_their_latency_target_go_first, |dispatcher| {
    dispatcher.enqueue(1, request(NOW - Duration::from_secs(1), 0));
    dispatcher.enqueue(2, request(NOW + Duration::from_secs(1), 2));
    assert!(dispatcher.dispatch_waiting(NOW).is_empty(), "the endpoint is full");
    report_load(&mut dispatcher, "e1", SLOTS - 1, 0);
    let dispatched: Vec<u64> =
        dispatcher.dispatch_waiting(NOW).into_iter().map(|(ticket, ..)| ticket).collect();
    assert_eq!(dispatched, [2], "the late request waits for an idle slot");
    report_load(&mut dispatcher, "e1", 2, 0);
    let dispatched: Vec<u64> =
        dispatcher.dispatch_waiting(NOW).into_iter().map(|(ticket, ..)| ticket).collect();
    assert_eq!(dispatched, [1]);
});

case!(more_urgent_requests_go_first, |dispatcher| {
    let deadline = NOW + Duration::from_secs(1);
    dispatcher.enqueue(1, request(deadline, 2));
    dispatcher.enqueue(2, request(deadline, 0));
    report_load(&mut dispatcher, "e1", SLOTS - 1, 0);
    let dispatched: Vec<u64> =
        dispatcher.dispatch_waiting(NOW).into_iter().map(|(ticket, ..)| ticket).collect();
    assert_eq!(dispatched, [2]);
});

// Guards against queues at the engines: two thirds of the requests that queued there missed their
// latency target.
case!(requests_do_not_queue_at_an_engine, |dispatcher| {
    report_load(&mut dispatcher, "e1", SLOTS, 0);
    assert_eq!(dispatcher.pick(&request(NOW + LATENCY_TARGET, 0), 1, NOW), Err(Shortage::Full));
    report_load(&mut dispatcher, "e1", SLOTS - 1, 0);
    assert!(dispatcher.pick(&request(NOW + LATENCY_TARGET, 0), 2, NOW).is_ok());
});

// Requests arrive for seconds at 1.5 times the rate that the endpoint can serve. In order of
// arrival, all of them would be served just too late.
case!(most_served_requests_meet_their_latency_target_under_overload, |dispatcher| {
    let step = Duration::from_millis(20);
    let (mut arrived, mut on_time, mut served) = (0, 0, 0);
    for tick in 0..500u32 {
        let now = NOW + step * tick;
        // Three requests arrive while two slots become free.
        for _ in 0..if tick % 2 == 0 { 2 } else { 1 } {
            arrived += 1;
            dispatcher.enqueue(arrived, request(now + LATENCY_TARGET, 0));
        }
        dispatcher.on_load(&"e1".into(), Load { running: SLOTS - 1, waiting: 0 }, now);
        for (_, name, needs) in dispatcher.dispatch_waiting(now) {
            served += 1;
            // The first event takes another quarter of the latency target.
            on_time += u32::from(now + LATENCY_TARGET / 4 <= needs.target_deadline);
            dispatcher.finish(&name, SendOutcome::Completed, now);
        }
    }
    assert!(served >= 490, "{served} of 500 free slots were used");
    assert!(on_time * 10 >= served * 9, "{on_time} of {served} met their latency target");
});

case!(a_cancelled_request_is_not_dispatched, |dispatcher| {
    dispatcher.enqueue(1, request(NOW + Duration::from_secs(1), 0));
    assert!(dispatcher.cancel(1, 0));
    report_load(&mut dispatcher, "e1", 0, 0);
    assert!(dispatcher.dispatch_waiting(NOW).is_empty());
});

case!(pick_returns_the_shortage, |dispatcher| {
    let deadline = NOW + Duration::from_secs(1);
    assert_eq!(dispatcher.pick(&request(deadline, 0), 1, NOW), Err(Shortage::Full));
    let mut other = request(deadline, 0);
    other.target = Some(ModelRef { model: "x".into(), adapter: None });
    assert_eq!(dispatcher.pick(&other, 1, NOW), Err(Shortage::NotResident));
    other.target = Some(ModelRef { model: "m".into(), adapter: Some("a1".into()) });
    assert_eq!(dispatcher.pick(&other, 1, NOW), Err(Shortage::NoAdapter));
    other.service = "none".into();
    assert_eq!(dispatcher.pick(&other, 1, NOW), Err(Shortage::NoEndpoint));
});

/// An endpoint that fails half of its requests gets few of them; if all endpoints are paused, one
/// is still picked.
#[test]
fn failing_endpoints_are_avoided_unless_all_fail() {
    let mut dispatcher = dispatcher(&["good", "grey"]);
    let mut grey = 0;
    for ticket in 0..200 {
        let now = NOW + Duration::from_millis(ticket * 20);
        let picked =
            dispatcher.pick(&request(now, 0), ticket, now).expect("an endpoint is always picked");
        let fails = picked == "grey" && ticket % 2 == 0;
        grey += u32::from(picked == "grey");
        let outcome = if fails { SendOutcome::Failed } else { SendOutcome::Completed };
        dispatcher.finish(&picked, outcome, now);
    }
    assert!(grey < 40, "{grey} of 200 went to the endpoint that fails half of them");
    for ticket in 200..260 {
        let now = NOW + Duration::from_millis(ticket * 20);
        let picked =
            dispatcher.pick(&request(now, 0), ticket, now).expect("an endpoint is always picked");
        dispatcher.finish(&picked, SendOutcome::Unreachable, now);
    }
}

/// Guards against refusals while an adapter is still loading: if an endpoint reports a resident
/// adapter missing, it is tried again shortly, and only a few times. Without these retries, one
/// request in forty was refused after 0.4 s, since nothing reports that the adapter has loaded.
#[test]
fn an_adapter_that_is_still_loading_is_waited_for() {
    let mut dispatcher = dispatcher(&["e1"]);
    let adapters: FastSet<_> = ["a1".into()].into_iter().collect();
    let resident: ResidentModels = [("m".into(), adapters)].into_iter().collect();
    dispatcher.set_resident(&"e1".into(), resident);
    let target = ModelRef { model: "m".into(), adapter: Some("a1".into()) };
    let mut needs = request(NOW + LATENCY_TARGET, 0);
    needs.target = Some(target.clone());
    let mut now = NOW;
    for _ in 0..3 {
        let name = dispatcher.pick(&needs, 1, now).expect("the adapter is listed as resident");
        dispatcher.finish(&name, SendOutcome::Neutral, now);
        let wait =
            dispatcher.on_missing(&name, &target, now).expect("the adapter may still be loading");
        assert!(wait < LATENCY_TARGET / 4, "{wait:?}");
        assert_eq!(dispatcher.pick(&needs, 1, now), Err(Shortage::NoAdapter));
        now += wait;
    }
    assert_eq!(dispatcher.on_missing(&"e1".into(), &target, now), None);
    assert_eq!(dispatcher.pick(&needs, 1, now), Err(Shortage::NoAdapter));
}

/// A restarted endpoint holds no models, and the load of its former process no longer counts.
#[test]
fn a_new_instance_of_an_endpoint_holds_no_models() {
    let mut dispatcher = dispatcher(&["e1"]);
    dispatcher.upsert(&"e1".into(), EndpointInfo { instance: 2, ..info() });
    assert_eq!(dispatcher.pick(&request(NOW, 0), 1, NOW), Err(Shortage::NotResident));
}

// An endpoint that leaves ends without a request being the cause.
#[test]
fn endpoint_leaves_by_its_entry_or_its_answers() {
    let mut dispatcher = dispatcher(&["e1", "e2", "e3"]);
    let instance = info().instance;
    dispatcher.upsert(&"e1".into(), EndpointInfo { ready: false, ..info() });
    dispatcher.on_leaving(&"e2".into(), instance, NOW);
    let leaving = |name: &str| dispatcher.is_leaving(&name.into(), instance);
    assert_eq!(["e1", "e2", "e3", "unknown"].map(leaving), [true, true, false, false]);
    assert!(!dispatcher.is_leaving(&"e1".into(), instance + 1), "it is another process");
}

// A request that was given its endpoint waits for a connection while the list changes (DRAIN).
#[test]
fn request_is_not_written_once_the_list_says_that_its_endpoint_leaves() {
    let mut dispatcher = dispatcher(&["e1", "e2", "e3"]);
    let may_write = |dispatcher: &mut Dispatcher, name: &str| {
        dispatcher.may_write(&name.into(), 1, &mut None, NOW)
    };
    for name in ["e1", "e2", "e3"] {
        assert!(may_write(&mut dispatcher, name));
    }
    dispatcher.upsert(&"e1".into(), EndpointInfo { ready: false, ..info() });
    dispatcher.upsert(&"e2".into(), EndpointInfo { instance: 2, ..info() });
    dispatcher.remove(&"e3".into());
    for name in ["e1", "e2", "e3"] {
        assert!(!may_write(&mut dispatcher, name), "{name}");
    }
}

// Endpoints of an emptied domain get nothing: no first send, no repeat, and nothing that was placed
// before but not written yet.
#[test]
fn emptied_domain_gets_nothing() {
    let mut dispatcher = dispatcher(&["e1"]);
    let other = EndpointInfo { domain: "b".into(), ..info() };
    dispatcher.upsert(&"e2".into(), other);
    let resident: ResidentModels = [("m".into(), FastSet::default())].into_iter().collect();
    dispatcher.set_resident(&"e2".into(), resident);
    dispatcher.set_emptied(["a".into()].into_iter().collect());
    assert!(!dispatcher.may_write(&"e1".into(), 1, &mut None, NOW));
    assert!(dispatcher.is_leaving(&"e1".into(), 1));
    for ticket in 0..SLOTS.into() {
        let picked = dispatcher.pick(&request(NOW + LATENCY_TARGET, 1), ticket, NOW);
        assert!(!matches!(picked, Ok(name) if name == "e1"));
    }
    let tried = Requirements { tried: vec!["e2".into()], ..request(NOW + LATENCY_TARGET, 1) };
    assert_eq!(dispatcher.pick(&tried, 90, NOW), Err(Shortage::Tried));
    dispatcher.set_emptied(["a".into(), "b".into()].into_iter().collect());
    assert_eq!(dispatcher.pick(&tried, 91, NOW), Err(Shortage::Emptied));
    dispatcher.set_emptied(FastSet::default());
    assert_eq!(dispatcher.pick(&tried, 92, NOW), Ok("e1".into()));
    assert!(dispatcher.may_write(&"e1".into(), 1, &mut None, NOW));
}

// What waits for an endpoint whose domain is emptied goes elsewhere.
#[test]
fn waiting_request_leaves_an_emptied_domain() {
    let mut dispatcher = dispatcher(&["e1"]);
    report_load(&mut dispatcher, "e1", SLOTS, 2);
    dispatcher.enqueue(1, request(NOW + LATENCY_TARGET, 1));
    dispatcher.set_emptied(["a".into()].into_iter().collect());
    report_load(&mut dispatcher, "e1", 0, 0);
    assert!(dispatcher.dispatch_waiting(NOW).is_empty());
    let other = EndpointInfo { domain: "b".into(), ..info() };
    dispatcher.upsert(&"e2".into(), other);
    let resident: ResidentModels = [("m".into(), FastSet::default())].into_iter().collect();
    dispatcher.set_resident(&"e2".into(), resident);
    let placed = dispatcher.dispatch_waiting(NOW);
    assert_eq!(placed.iter().map(|(_, name, _)| name.as_str()).collect::<Vec<_>>(), ["e2"]);
}
