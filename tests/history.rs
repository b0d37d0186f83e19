//! Concurrent runs of real nodes beside faulty targets, checked against the promises.

#[path = "history/checker.rs"]
mod checker;
#[path = "history/client.rs"]
mod client;
#[path = "history/link.rs"]
mod link;
#[path = "history/recorder.rs"]
mod recorder;
#[path = "history/target.rs"]
mod target;
#[path = "history/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use checker::Answer;
use checker::Event;
use checker::What;
use client::UserRequest;
use dragonflylead::Priority;
use dragonflylead::UnknownKind;
use http::Method;
use target::Behaviour;
use target::Faults;
use target::SubCall;
use world::DRAIN;
use world::Service;
use world::World;
use world::assert_kept;
use world::send_all;

/// Spare attempts that the policies of this file give each request.
const SPARE: u32 = 2;

/// Every way to fail, often enough to meet each in a run of a few dozen requests.
const FAULTS: Faults = Faults {
    refuse: 100,
    crash: 60,
    truncate: 60,
    slow: 60,
};

const SLOTS: u32 = 16;

/// A policy of the services `s1` to `s<depth>`: lookups under `/get`, charges under `/charge`.
fn policy(depth: usize) -> String {
    let calls = (1..=depth).map(|s| {
        format!(
            "get{s} = GET s{s} /get* priority=low idempotent=yes timeout=5s retries={SPARE} # test\n\
             charge{s} = POST s{s} /charge* priority=critical idempotent=no timeout=5s # test\n"
        )
    });
    let slots = (1..=depth).map(|s| format!("s{s} = slots={SLOTS} connections=1000 # test\n"));
    let (calls, slots): (String, String) = (calls.collect(), slots.collect());
    format!("[calls]\n{calls}[services]\n{slots}")
}

fn lookup(service: usize) -> SubCall {
    SubCall {
        method: Method::GET,
        service: format!("s{service}"),
        path: "/get".to_owned(),
        priority: Priority::Low,
        idempotent: true,
    }
}

fn charge(service: usize) -> SubCall {
    SubCall {
        method: Method::POST,
        path: "/charge".to_owned(),
        priority: Priority::Critical,
        idempotent: false,
        ..lookup(service)
    }
}

/// A chain of services, each of which calls the next `fan_out` times.
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
            answer_bytes: 100 * s,
        },
    };
    (1..=depth).map(service).collect()
}

fn lookups(numbers: std::ops::Range<u32>) -> Vec<UserRequest> {
    let request = |number| UserRequest {
        number,
        method: Method::GET,
        path: "/get".to_owned(),
        priority: Priority::Low,
        idempotent: true,
        timeout: Duration::from_secs(5),
        resends: 0,
        impatience: Duration::from_secs(60),
    };
    numbers.map(request).collect()
}

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

/// Number of events of each kind, to see that a run met what it is for.
#[derive(Debug, Default)]
struct Seen {
    completed: usize,
    not_run: usize,
    unknown: usize,
    preempted: usize,
    refused: usize,
    unfinished: usize,
    retried: usize,
}

fn seen(events: &[Event]) -> Seen {
    let mut seen = Seen::default();
    let mut attempts: BTreeMap<_, usize> = BTreeMap::new();
    for event in events {
        match &event.what {
            What::Told {
                answer: Answer::Completed(_),
                ..
            } => seen.completed += 1,
            What::Told {
                answer: Answer::NotRun(_),
                ..
            } => seen.not_run += 1,
            What::Told {
                answer: Answer::Unknown(kind),
                ..
            } => {
                seen.unknown += 1;
                seen.preempted += usize::from(*kind == UnknownKind::Preempted);
            }
            What::Started { call, .. } => {
                seen.unfinished += 1;
                *attempts.entry(*call).or_default() += 1;
            }
            What::Refused { call } => {
                seen.refused += 1;
                *attempts.entry(*call).or_default() += 1;
            }
            What::Finished { .. } => seen.unfinished -= 1,
            What::Sent { .. } | What::Draining { .. } => {}
        }
    }
    seen.retried = attempts.values().filter(|n| **n > 1).count();
    seen
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faulty_chains_of_any_depth_keep_every_promise() {
    for depth in [1, 2, 3, 5, 8] {
        let world = World::start(&policy(depth), &chain(depth, 1, FAULTS), 11).await;
        send_all(&world.client("s1"), &lookups(0..80), 16).await;
        let events = world.stop().await;
        let seen = seen(&events);
        assert_kept(&events, SPARE, &format!("depth {depth}"));
        assert!(seen.completed > 0 && seen.refused > 0, "{seen:?}");
        assert!(seen.unfinished > 0, "{seen:?}");
        assert!(depth == 1 || seen.retried > 0, "{seen:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fan_out_and_callers_that_send_again_stay_within_the_budget() {
    let world = World::start(&policy(3), &chain(3, 3, FAULTS), 12).await;
    let impatient = lookups(0..60).into_iter().map(|req| UserRequest {
        resends: 3,
        impatience: Duration::from_millis(15),
        ..req
    });
    let requests: Vec<UserRequest> = impatient.collect();
    send_all(&world.client("s1"), &requests, 12).await;
    let events = world.stop().await;
    let seen = seen(&events);
    assert_kept(&events, SPARE, "fan-out 3");
    assert!(seen.completed > 0 && seen.retried > 0, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn charges_run_at_most_once_and_are_told_truly() {
    let mut services = chain(2, 1, FAULTS);
    services[0].behaviour.sub_calls = vec![charge(2), lookup(2)];
    let world = World::start(&policy(2), &services, 13).await;
    let impatient = charges(0..120).into_iter().map(|req| UserRequest {
        impatience: Duration::from_millis(8 + u64::from(req.number % 40)),
        ..req
    });
    let requests: Vec<UserRequest> = impatient.collect();
    send_all(&world.client("s1"), &requests, 24).await;
    let events = world.stop().await;
    let seen = seen(&events);
    assert_kept(&events, SPARE, "charges");
    assert!(seen.completed > 0 && seen.unfinished > 0, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_answers_arrive_whole_or_not_at_all() {
    let mut services = chain(2, 1, FAULTS);
    for service in &mut services {
        service.behaviour.answer_bytes = 700_000;
    }
    let world = World::start(&policy(2), &services, 14).await;
    send_all(&world.client("s1"), &lookups(0..60), 8).await;
    let events = world.stop().await;
    let seen = seen(&events);
    assert_kept(&events, SPARE, "large answers");
    assert!(seen.completed > 0 && seen.unknown > 0, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_lost_between_nodes_break_no_promise() {
    let faults = Faults {
        slow: 100,
        ..Faults::default()
    };
    let mut services = chain(4, 2, faults);
    services[1].behaviour.sub_calls.push(charge(3));
    let world = World::start_lossy(&policy(4), &services, 17).await;
    let client = world.client("s1");
    let impatient = lookups(0..120).into_iter().map(|req| UserRequest {
        resends: 2,
        impatience: Duration::from_millis(30),
        ..req
    });
    let requests: Vec<UserRequest> = impatient.collect();
    let charges = charges(200..260);
    tokio::join!(
        send_all(&client, &requests, 12),
        send_all(&client, &charges, 6)
    );
    let events = world.stop().await;
    let seen = seen(&events);
    assert_kept(&events, SPARE, "lossy links");
    assert!(
        seen.completed > 0 && seen.unknown > 0 && seen.retried > 0,
        "{seen:?}"
    );
}

/// Lookups hold every slot for longer than a charge waits: it runs in place of one, or not at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn charges_are_dropped_only_after_lookups() {
    let mut services = chain(1, 1, Faults::default());
    services[0].instances = 1;
    services[0].behaviour.service_time = Duration::from_millis(1500);
    let world = World::start(&policy(1), &services, 15).await;
    let client = world.client("s1");
    let hurried = charges(2000..2080).into_iter().map(|req| UserRequest {
        timeout: Duration::from_millis(500),
        resends: 0,
        ..req
    });
    let hurried: Vec<UserRequest> = hurried.collect();
    let flood = lookups(0..200);
    let full = async {
        while runs(&world) < SLOTS as usize {
            tokio::task::yield_now().await;
        }
        send_all(&client, &hurried, 4).await;
    };
    tokio::join!(send_all(&client, &flood, 60), full);
    let events = world.stop().await;
    let seen = seen(&events);
    assert_kept(&events, SPARE, "surge");
    assert!(seen.completed > 0 && seen.preempted > 0, "{seen:?}");
}

fn runs(world: &World) -> usize {
    let events = world.recorder.events();
    let started = |event: &&Event| matches!(event.what, What::Started { .. });
    events.iter().filter(started).count()
}

/// Calls go on for twice the time within which a leaving instance may still start something.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_instance_gets_no_work_and_loses_none() {
    let mut services = chain(2, 1, Faults::default());
    services[1].instances = 3;
    let world = World::start(&policy(2), &services, 16).await;
    let client = world.client("s1");
    send_all(&client, &lookups(0..40), 8).await;
    let left = world.recorder.time();
    world.drain(world.members.len() - 1);
    let mut next = 40;
    while world.recorder.time() < left + 2 * DRAIN {
        send_all(&client, &lookups(next..next + 40), 16).await;
        next += 40;
    }
    let events = world.stop().await;
    let seen = seen(&events);
    assert_kept(&events, SPARE, "leaving");
    assert_eq!(seen.unfinished, 0, "{seen:?}");
}
