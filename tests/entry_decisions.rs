//! Tests the decisions about entering requests: routes, traffic splits, retry budgets, backpressure,
//! root admission, fan-out, request origins, `Retry-After` delays and crash detection.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::coordination::backpressure::AdmissionRatio;
use dragonflylead::coordination::backpressure::BackpressureReport;
use dragonflylead::coordination::backpressure::DownstreamRatios;
use dragonflylead::coordination::backpressure::RatioController;
use dragonflylead::coordination::backpressure::SlotUsage;
use dragonflylead::coordination::crash_detector::CrashDetector;
use dragonflylead::coordination::fanout::FanoutEstimator;
use dragonflylead::coordination::origin::RequestOrigins;
use dragonflylead::coordination::retry_after;
use dragonflylead::coordination::retry_budget::RetryBudget;
use dragonflylead::coordination::root_admission::RootAdmission;
use dragonflylead::coordination::route::CallerLimits;
use dragonflylead::coordination::route::Route;
use dragonflylead::coordination::route::RouteTable;
use dragonflylead::coordination::route::TrafficSplit;
use dragonflylead::coordination::route::WeightedService;
use dragonflylead::fingerprint::Fingerprint;
use dragonflylead::instance::ServiceName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

fn route(name: &str, host: &str, prefix: &str, parts: &[(&str, u32)]) -> Route {
    let parts = parts.iter().map(|(service, weight)| WeightedService {
        service: ServiceName::new(service),
        weight: *weight,
    });
    Route {
        name: Arc::from(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 1,
        public: false,
        max_attempts: 2,
        weighted_services: parts.collect(),
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let table = RouteTable::new(
        1,
        CallerLimits::default(),
        vec![
            route("short", "a", "/x/", &[("s", 1)]),
            route("long", "a", "/x/y/", &[("s", 1)]),
            route("other", "b", "/", &[("s", 1)]),
        ],
    );
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<&'static str>,
    }
    let cases = [
        Case {
            host: "a",
            path: "/x/1",
            found: Some("short"),
        },
        Case {
            host: "a",
            path: "/x/y/1",
            found: Some("long"),
        },
        Case {
            host: "a",
            path: "/x/y",
            found: Some("short"),
        },
        Case {
            host: "a",
            path: "/z/",
            found: None,
        },
        Case {
            host: "b",
            path: "/x/1",
            found: Some("other"),
        },
        Case {
            host: "c",
            path: "/x/1",
            found: None,
        },
    ];
    for case in cases {
        let found = table.find(case.host, case.path).map(|r| r.name.to_string());
        assert_eq!(found.as_deref(), case.found, "{}{}", case.host, case.path);
    }
}

#[test]
fn a_split_keeps_its_weights_over_any_sequence_of_requests() {
    struct Case {
        weights: &'static [(&'static str, u32)],
        requests: usize,
        tolerance: f64,
    }
    let cases = [
        Case {
            weights: &[("a", 90), ("b", 10)],
            requests: 200,
            tolerance: 0.02,
        },
        Case {
            weights: &[("a", 1), ("b", 1), ("c", 2)],
            requests: 200,
            tolerance: 0.02,
        },
        Case {
            weights: &[("a", 99), ("b", 1)],
            requests: 1_000,
            tolerance: 0.005,
        },
    ];
    for case in cases {
        let route_to_split = route("r", "h", "/", case.weights);
        let total: u32 = case.weights.iter().map(|(_, weight)| weight).sum();
        for start in [0, 7, 123_456_789] {
            let mut split = TrafficSplit::new(start);
            (0..start % 50).for_each(|_| drop(split.next(&route_to_split)));
            let mut counts: HashMap<String, usize> = HashMap::new();
            for _ in 0..case.requests {
                let service = split.next(&route_to_split).unwrap();
                *counts.entry(service.to_string()).or_default() += 1;
            }
            for (service, weight) in case.weights {
                let share =
                    counts.get(*service).copied().unwrap_or_default() as f64 / case.requests as f64;
                let expected = f64::from(*weight) / f64::from(total);
                assert!(
                    (share - expected).abs() <= case.tolerance,
                    "{service}: {share}, expected {expected}"
                );
            }
        }
    }
}

#[test]
fn retries_of_all_nodes_stay_below_the_budget() {
    // Traffic moves between nodes, as when callers change zones or nodes restart.
    let service = ServiceName::new("s");
    let mut nodes: Vec<RetryBudget> = (0..16)
        .map(|_| RetryBudget::new(0.1, 0.0, Duration::from_secs(10)))
        .collect();
    let mut rng = ChaCha12Rng::seed_from_u64(7);
    let mut sends: Vec<(u64, bool)> = Vec::new();
    for ms in (0..60_000).step_by(5) {
        let busy = (ms / 4_000) as usize % nodes.len();
        let node = match rng.random_range(0..3) {
            0 => rng.random_range(0..nodes.len()),
            _ => busy,
        };
        if ms % 20_000 == 0 {
            nodes[node] = RetryBudget::new(0.1, 0.0, Duration::from_secs(10));
        }
        nodes[node].record_request(&service, at(ms));
        sends.push((ms, false));
        if nodes[node].take(&service, at(ms)) {
            sends.push((ms, true));
        }
    }
    let retries = sends.iter().filter(|(_, is_retry)| *is_retry).count();
    assert!(retries > 300, "the budget allows retries: {retries}");
    for start in (0..50_000).step_by(500) {
        let within = |ms: u64, from: u64, to: u64| ms >= from && ms < to;
        let retried = sends
            .iter()
            .filter(|(ms, is_retry)| *is_retry && within(*ms, start, start + 10_000))
            .count() as f64;
        let requests = sends
            .iter()
            .filter(|(ms, is_retry)| {
                !*is_retry && within(*ms, start.saturating_sub(10_000), start + 10_000)
            })
            .count() as f64;
        assert!(
            retried <= requests * 0.1,
            "from {start} ms: {retried} retries, {requests} requests"
        );
    }
}

#[test]
fn a_node_without_recent_requests_sends_no_retries() {
    let mut budget = RetryBudget::new(0.2, 0.0, Duration::from_secs(10));
    let service = ServiceName::new("s");
    assert!(!budget.take(&service, at(1)));
    (0..5).for_each(|_| budget.record_request(&service, at(2)));
    assert!(budget.take(&service, at(3)));
    assert!(!budget.take(&service, at(4)));
    assert!(
        !budget.take(&service, at(12_000)),
        "requests before the window allow no retries"
    );
}

#[test]
fn a_service_that_refuses_requests_does_not_distort_the_split() {
    // One service runs only a fifth of its requests, the other has capacity for all.
    let route_to_split = route("r", "h", "/", &[("short", 75), ("free", 25)]);
    let mut split = TrafficSplit::new(5);
    let mut ran = HashMap::new();
    for at_ms in 0..4_000 {
        let service = split.next(&route_to_split).unwrap();
        let refused = service.as_str() == "short" && at_ms % 5 != 0;
        if !split.may_run(&route_to_split, &service) || refused {
            continue;
        }
        split.record_run(&route_to_split, &service, at(at_ms * 5));
        *ran.entry(service.to_string()).or_insert(0_u32) += 1;
    }
    let free = f64::from(ran["free"]) / f64::from(ran["free"] + ran["short"]);
    assert!(free < 0.25 + 0.2, "share of the free service: {free}");
    assert!(ran["free"] > 100, "{ran:?}");
}

/// Offers a constant load for some seconds and returns the admission ratio at the end.
fn ratio_under_load(per_s: u32, queued: u32, seconds: u64) -> f64 {
    let slots = SlotUsage {
        limit: 32,
        run_time: Duration::from_millis(48),
    };
    let mut control = RatioController::new(at(0));
    for step in 1..=seconds * 10 {
        (0..per_s / 10).for_each(|_| control.record_arrival(queued));
        control.update(slots, at(step * 100));
    }
    control.ratio().share()
}

#[test]
fn the_admission_ratio_follows_the_wait_for_slots() {
    struct Case {
        name: &'static str,
        per_s: u32,
        queued: u32,
        ratio: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case {
            name: "free slots",
            per_s: 300,
            queued: 0,
            ratio: 1.0..=1.0,
        },
        Case {
            name: "busy, but short waits",
            per_s: 700,
            queued: 5,
            ratio: 1.0..=1.0,
        },
        Case {
            name: "twice the capacity",
            per_s: 1_340,
            queued: 100,
            ratio: 0.0..=0.1,
        },
    ];
    for case in cases {
        let ratio = ratio_under_load(case.per_s, case.queued, 3);
        assert!(case.ratio.contains(&ratio), "{}: {ratio}", case.name);
    }
}

fn report(ratio: u8, cost_ms: f64) -> BackpressureReport {
    BackpressureReport {
        ratio: AdmissionRatio::from_byte(ratio),
        cost_ms,
        is_root: true,
    }
}

#[test]
fn a_reported_ratio_increases_without_further_reports() {
    let mut downstream = DownstreamRatios::default();
    let name: Arc<str> = Arc::from("r");
    (0..40).for_each(|ms| downstream.record_report(&name, report(0, 50.0), at(ms)));
    assert!(downstream.ratio("r", at(40)).share() < 0.1);
    assert!(downstream.is_root("r"));
    assert!(downstream.ratio("r", at(20_000)).admits_all());
    assert!(downstream.ratio("unknown", at(0)).admits_all());
}

#[test]
fn admitted_load_goes_to_the_higher_priorities_first() {
    // Routes of three priorities call the same service, which admits half of their load.
    struct Case {
        priority: u8,
        per_s: u64,
        cost_ms: f64,
        share: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case {
            priority: 0,
            per_s: 20,
            cost_ms: 200.0,
            share: 0.95..=1.0,
        },
        Case {
            priority: 1,
            per_s: 20,
            cost_ms: 50.0,
            share: 0.95..=1.0,
        },
        Case {
            priority: 2,
            per_s: 40,
            cost_ms: 200.0,
            share: 0.1..=0.4,
        },
    ];
    let mut downstream = DownstreamRatios::default();
    let mut admission = RootAdmission::default();
    let names: Vec<Arc<str>> = (0..3)
        .map(|priority| Arc::from(format!("r{priority}")))
        .collect();
    let mut shares = [1.0; 3];
    for ms in 0..10_000 {
        for (case, name) in cases.iter().zip(&names) {
            if ms % (1_000 / case.per_s) == 0 {
                downstream.record_report(name, report(128, case.cost_ms), at(ms));
                shares[usize::from(case.priority)] =
                    admission.record_arrival(name, case.priority, &downstream, at(ms));
            }
        }
    }
    for case in cases {
        let share = shares[usize::from(case.priority)];
        assert!(
            case.share.contains(&share),
            "priority {}: {share}",
            case.priority
        );
    }
}

#[test]
fn retries_of_refused_requests_are_preferred_to_new_requests() {
    let mut admission = RootAdmission::default();
    let request = Fingerprint([1; 16]);
    assert!(
        !admission.admit(request, 0.2, 0.5, at(0)),
        "a new request with an unfavourable draw"
    );
    assert!(
        admission.admit(request, 0.2, 0.5, at(500)),
        "the same request, sent again"
    );
    assert!(!admission.admit(Fingerprint([2; 16]), 0.2, 0.5, at(500)));
    assert!(
        !admission.admit(request, 0.2, 0.5, at(9_000)),
        "no longer remembered"
    );
}

#[test]
fn fanout_is_estimated_for_each_route_of_a_service() {
    // Requests of two routes run concurrently; only those of one route make calls, four each.
    let mut fanout = FanoutEstimator::default();
    let calling: Arc<str> = Arc::from("calling");
    let plain: Arc<str> = Arc::from("plain");
    let child: Arc<str> = Arc::from("child");
    let mut rng = ChaCha12Rng::seed_from_u64(3);
    let mut events: Vec<(u64, u8, Arc<str>)> = Vec::new();
    for _ in 0..800 {
        let start = rng.random_range(0..20_000);
        events.push((start, 0, calling.clone()));
        (1..=4).for_each(|k| events.push((start + k * 20, 1, child.clone())));
        events.push((start + 110, 2, calling.clone()));
    }
    for _ in 0..300 {
        let start = rng.random_range(0..20_000);
        events.push((start, 0, plain.clone()));
        events.push((start + 220, 2, plain.clone()));
    }
    events.sort();
    for (ms, what, name) in events {
        match what {
            0 => fanout.record_run_start(&name, at(ms)),
            1 => fanout.record_call(&name, at(ms)),
            _ => fanout.record_run_end(&name, at(ms)),
        }
    }
    assert_eq!(fanout.children("calling"), vec![child.clone()]);
    assert_eq!(fanout.children("plain"), Vec::<Arc<str>>::new());
    let calls = fanout.calls_per_run("calling", "child");
    assert!((3.0..5.0).contains(&calls), "{calls} calls per run");
}

#[test]
fn root_requests_are_recognized_by_their_origins() {
    struct Case {
        name: &'static str,
        origins: &'static [(&'static str, u32)],
        root: bool,
    }
    let cases = [
        Case {
            name: "callers beside every target",
            origins: &[("local_service", 20), ("b", 20), ("c", 20), ("d", 20)],
            root: true,
        },
        Case {
            name: "one service calls",
            origins: &[("b", 80)],
            root: false,
        },
        Case {
            name: "two services call",
            origins: &[("b", 40), ("c", 40)],
            root: false,
        },
        Case {
            name: "three services call, but not the local one",
            origins: &[("b", 40), ("c", 40), ("d", 40)],
            root: false,
        },
        Case {
            name: "too few requests",
            origins: &[("local_service", 2), ("b", 2), ("c", 2)],
            root: false,
        },
    ];
    let local_service = ServiceName::new("local_service");
    for case in cases {
        let mut origins = RequestOrigins::default();
        let name: Arc<str> = Arc::from("r");
        for (origin, count) in case.origins {
            let origin = ServiceName::new(origin);
            (0..*count).for_each(|_| origins.record(&name, &origin, at(1)));
        }
        assert_eq!(
            origins.is_root("r", &local_service, 4),
            case.root,
            "{}",
            case.name
        );
    }
}

#[test]
fn retry_delays_are_bounded_by_the_time_left() {
    struct Case {
        remaining_ms: u64,
        admitted_share: f64,
        max_ms: u64,
    }
    let cases = [
        Case {
            remaining_ms: 5_000,
            admitted_share: 0.0,
            max_ms: 1_500,
        },
        Case {
            remaining_ms: 5_000,
            admitted_share: 0.9,
            max_ms: 350,
        },
        Case {
            remaining_ms: 300,
            admitted_share: 0.0,
            max_ms: 90,
        },
    ];
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    for case in cases {
        let remaining = Duration::from_millis(case.remaining_ms);
        let delays: Vec<u64> = (0..500)
            .map(|_| {
                retry_after::after_refusal(remaining, case.admitted_share, &mut rng).as_millis()
                    as u64
            })
            .collect();
        let max = delays.iter().max().copied().unwrap_or_default();
        assert!(max <= case.max_ms, "{max} ms, at most {} ms", case.max_ms);
        assert!(delays.iter().all(|delay| *delay <= case.remaining_ms / 3));
    }
}

#[test]
fn broken_connections_count_as_a_crash_only_after_a_refused_one() {
    let first = Fingerprint([1; 16]);
    let second = Fingerprint([2; 16]);
    let mut detector = CrashDetector::default();
    detector.record_broken_connection(first, at(0));
    detector.record_broken_connection(second, at(2_000));
    assert_eq!(
        detector.record_refused_connection(at(2_100)),
        vec![second],
        "the first was broken too long before"
    );
    assert!(
        detector.record_refused_connection(at(2_200)).is_empty(),
        "a crash is reported once"
    );
}
