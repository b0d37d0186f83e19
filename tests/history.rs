//! Concurrent calls through real nodes with faulty targets. Records the history of each test and
//! checks it for violations of the promises.

#[path = "history/checker.rs"]
mod checker;
#[path = "history/client.rs"]
mod client;
#[path = "history/fleet.rs"]
mod fleet;
#[path = "history/lossy_proxy.rs"]
mod lossy_proxy;
#[path = "history/recorder.rs"]
mod recorder;
#[path = "history/target.rs"]
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

use checker::CallOutcome;
use checker::Event;
use checker::EventKind;
use client::UserRequest;
use dragonflylead::Priority;
use dragonflylead::UnknownKind;
use fleet::MAX_START_AFTER_DRAIN;
use fleet::RecordedFleet;
use fleet::Service;
use fleet::assert_no_violations;
use fleet::send_all;
use http::Method;
use target::Behaviour;
use target::Faults;
use target::SubCall;

/// Spare attempts that the policies in this file give each request.
const SPARE_ATTEMPTS: u32 = 2;

/// All faults, frequent enough that each occurs within a few dozen requests.
const FAULTS: Faults = Faults {
    refuse: 100,
    crash: 60,
    truncate: 60,
    slow: 60,
};

/// Slots of each instance.
const SLOTS: u32 = 16;

/// Returns a policy for the services `s1` to `s<depth>` with lookups at `/get` and charges at
/// `/charge`.
fn policy(depth: usize) -> String {
    let calls = (1..=depth).map(|s| {
        format!(
            "get{s} = GET s{s} /get* priority=low idempotent=yes timeout=5s \
             retries={SPARE_ATTEMPTS} # test\n\
             charge{s} = POST s{s} /charge* priority=critical idempotent=no timeout=5s # test\n"
        )
    });
    let slots = (1..=depth).map(|s| format!("s{s} = slots={SLOTS} connections=1000 # test\n"));
    let (calls, slots): (String, String) = (calls.collect(), slots.collect());
    format!("[calls]\n{calls}[services]\n{slots}")
}

/// Returns a sub-call that looks something up in service `s<service>`.
fn lookup(service: usize) -> SubCall {
    SubCall {
        method: Method::GET,
        service: format!("s{service}"),
        path: "/get".to_owned(),
        priority: Priority::Low,
        idempotent: true,
    }
}

/// Returns a non-idempotent sub-call of service `s<service>`.
fn charge(service: usize) -> SubCall {
    SubCall {
        method: Method::POST,
        path: "/charge".to_owned(),
        priority: Priority::Critical,
        idempotent: false,
        ..lookup(service)
    }
}

/// Returns a chain of services, each of which calls the next one `fan_out` times in each run.
fn chain(depth: usize, fan_out: usize, faults: Faults) -> Vec<Service> {
    let service = |s: usize| Service {
        name: format!("s{s}"),
        instances: 2,
        behaviour: Behaviour {
            service_time: Duration::from_millis(2),
            charge_time: Duration::from_millis(2),
            slow_time: Duration::from_millis(40),
            faults,
            sub_calls: if s < depth {
                vec![lookup(s + 1); fan_out]
            } else {
                vec![]
            },
            response_bytes: 100 * s,
        },
    };
    (1..=depth).map(service).collect()
}

/// Returns lookups that are sent once.
fn lookups(numbers: std::ops::Range<u32>) -> Vec<UserRequest> {
    let request = |number| UserRequest {
        number,
        method: Method::GET,
        path: "/get".to_owned(),
        priority: Priority::Low,
        idempotent: true,
        timeout: Duration::from_secs(5),
        resends: 0,
        resend_after: Duration::from_secs(60),
    };
    numbers.map(request).collect()
}

/// Returns charges that may be sent again.
fn charges(numbers: std::ops::Range<u32>) -> Vec<UserRequest> {
    let charge = |lookup: UserRequest| UserRequest {
        method: Method::POST,
        path: "/charge".to_owned(),
        priority: Priority::Critical,
        idempotent: false,
        resends: 3,
        ..lookup
    };
    lookups(numbers).into_iter().map(charge).collect()
}

/// Event counts, from which a test asserts that the faults it is about occurred.
#[derive(Debug, Default)]
struct EventCounts {
    /// Outcomes reported as completed.
    completed: usize,
    /// Outcomes reported as not run.
    not_run: usize,
    /// Outcomes reported as unknown.
    unknown: usize,
    /// Outcomes reported as unknown because of a preemption.
    preempted: usize,
    /// Attempts that a target refused.
    refused: usize,
    /// Runs that started but did not finish.
    unfinished: usize,
    /// Calls with more than one attempt.
    retried: usize,
}

fn count_events(events: &[Event]) -> EventCounts {
    let mut counts = EventCounts::default();
    let mut attempts: BTreeMap<_, usize> = BTreeMap::new();
    for event in events {
        match &event.kind {
            EventKind::OutcomeReported {
                outcome: CallOutcome::Completed(_),
                ..
            } => counts.completed += 1,
            EventKind::OutcomeReported {
                outcome: CallOutcome::NotRun(_),
                ..
            } => counts.not_run += 1,
            EventKind::OutcomeReported {
                outcome: CallOutcome::Unknown(kind),
                ..
            } => {
                counts.unknown += 1;
                counts.preempted += usize::from(*kind == UnknownKind::Preempted);
            }
            EventKind::Started { call, .. } => {
                counts.unfinished += 1;
                *attempts.entry(*call).or_default() += 1;
            }
            EventKind::Refused { call } => {
                counts.refused += 1;
                *attempts.entry(*call).or_default() += 1;
            }
            EventKind::Finished { .. } => counts.unfinished -= 1,
            EventKind::Sent { .. } | EventKind::Draining { .. } | EventKind::Stalled { .. } => {}
        }
    }
    counts.retried = attempts.values().filter(|n| **n > 1).count();
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faulty_call_chains_of_any_depth_violate_no_promise() {
    for depth in [1, 2, 3, 5, 8] {
        let fleet = RecordedFleet::start(&policy(depth), &chain(depth, 1, FAULTS), 11).await;
        send_all(&fleet.client("s1"), &lookups(0..80), 16).await;
        let events = fleet.stop().await;
        let counts = count_events(&events);
        assert_no_violations(&events, SPARE_ATTEMPTS, &format!("depth {depth}"));
        assert!(counts.completed > 0 && counts.refused > 0, "{counts:?}");
        assert!(counts.unfinished > 0, "{counts:?}");
        assert!(depth == 1 || counts.retried > 0, "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fan_out_and_resends_stay_within_the_retry_budget() {
    let fleet = RecordedFleet::start(&policy(3), &chain(3, 3, FAULTS), 12).await;
    let resending = lookups(0..60).into_iter().map(|req| UserRequest {
        resends: 3,
        resend_after: Duration::from_millis(15),
        ..req
    });
    let requests: Vec<UserRequest> = resending.collect();
    send_all(&fleet.client("s1"), &requests, 12).await;
    let events = fleet.stop().await;
    let counts = count_events(&events);
    assert_no_violations(&events, SPARE_ATTEMPTS, "fan-out 3");
    assert!(counts.completed > 0 && counts.retried > 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn charges_run_at_most_once_and_outcomes_are_reported_correctly() {
    let mut services = chain(2, 1, FAULTS);
    services[0].behaviour.sub_calls = vec![charge(2), lookup(2)];
    let fleet = RecordedFleet::start(&policy(2), &services, 13).await;
    let resending = charges(0..120).into_iter().map(|req| UserRequest {
        resend_after: Duration::from_millis(8 + u64::from(req.number % 40)),
        ..req
    });
    let requests: Vec<UserRequest> = resending.collect();
    send_all(&fleet.client("s1"), &requests, 24).await;
    let events = fleet.stop().await;
    let counts = count_events(&events);
    assert_no_violations(&events, SPARE_ATTEMPTS, "charges");
    assert!(counts.completed > 0 && counts.unfinished > 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_responses_arrive_complete_or_not_at_all() {
    let mut services = chain(2, 1, FAULTS);
    for service in &mut services {
        service.behaviour.response_bytes = 700_000;
    }
    let fleet = RecordedFleet::start(&policy(2), &services, 14).await;
    send_all(&fleet.client("s1"), &lookups(0..60), 8).await;
    let events = fleet.stop().await;
    let counts = count_events(&events);
    assert_no_violations(&events, SPARE_ATTEMPTS, "large responses");
    assert!(counts.completed > 0 && counts.unknown > 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_lost_between_nodes_violate_no_promise() {
    let faults = Faults {
        slow: 100,
        ..Faults::default()
    };
    let mut services = chain(4, 2, faults);
    services[1].behaviour.sub_calls.push(charge(3));
    let fleet = RecordedFleet::start_lossy(&policy(4), &services, 17).await;
    let client = fleet.client("s1");
    let resending = lookups(0..120).into_iter().map(|req| UserRequest {
        resends: 2,
        resend_after: Duration::from_millis(30),
        ..req
    });
    let requests: Vec<UserRequest> = resending.collect();
    let charges = charges(200..260);
    tokio::join!(
        send_all(&client, &requests, 12),
        send_all(&client, &charges, 6)
    );
    let events = fleet.stop().await;
    let counts = count_events(&events);
    assert_no_violations(&events, SPARE_ATTEMPTS, "lossy network");
    assert!(
        counts.completed > 0 && counts.unknown > 0 && counts.retried > 0,
        "{counts:?}"
    );
}

/// Lookups occupy all slots for longer than the timeout of a charge, so a charge runs only if it
/// preempts a lookup.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn charges_are_dropped_only_after_lookups() {
    let mut services = chain(1, 1, Faults::default());
    services[0].instances = 1;
    services[0].behaviour.service_time = Duration::from_millis(1500);
    let fleet = RecordedFleet::start(&policy(1), &services, 15).await;
    let client = fleet.client("s1");
    let urgent = charges(2000..2080).into_iter().map(|req| UserRequest {
        timeout: Duration::from_millis(500),
        resends: 0,
        ..req
    });
    let urgent: Vec<UserRequest> = urgent.collect();
    let flood = lookups(0..200);
    let charges_when_full = async {
        while count_started_runs(&fleet) < SLOTS as usize {
            tokio::task::yield_now().await;
        }
        send_all(&client, &urgent, 4).await;
    };
    tokio::join!(send_all(&client, &flood, 60), charges_when_full);
    let events = fleet.stop().await;
    let counts = count_events(&events);
    assert_no_violations(&events, SPARE_ATTEMPTS, "surge");
    assert!(counts.completed > 0 && counts.preempted > 0, "{counts:?}");
}

/// Returns the number of runs that targets have started.
fn count_started_runs(fleet: &RecordedFleet) -> usize {
    let events = fleet.recorder.events();
    let started = |event: &&Event| matches!(event.kind, EventKind::Started { .. });
    events.iter().filter(started).count()
}

/// Calls continue for twice the time within which a draining instance may still start a run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn draining_instance_starts_no_new_runs_and_finishes_its_own() {
    let mut services = chain(2, 1, Faults::default());
    services[1].instances = 3;
    let fleet = RecordedFleet::start(&policy(2), &services, 16).await;
    let client = fleet.client("s1");
    send_all(&client, &lookups(0..40), 8).await;
    let drain_start = fleet.recorder.elapsed();
    fleet.drain(fleet.members.len() - 1);
    let mut next = 40;
    while fleet.recorder.elapsed() < drain_start + 2 * MAX_START_AFTER_DRAIN {
        send_all(&client, &lookups(next..next + 40), 16).await;
        next += 40;
    }
    let events = fleet.stop().await;
    let counts = count_events(&events);
    assert_no_violations(&events, SPARE_ATTEMPTS, "draining");
    assert_eq!(counts.unfinished, 0, "{counts:?}");
}
