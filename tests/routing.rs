//! Tests the router: each mechanism has its intended effect on the choice of instances, and the
//! effect is absent when the mechanism is switched off.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::coordination::ejection::Availability;
use dragonflylead::coordination::ejection::EjectionConfig;
use dragonflylead::coordination::ejection::Health;
use dragonflylead::coordination::ejection::max_ejected;
use dragonflylead::coordination::link_budget::LinkBudget;
use dragonflylead::coordination::link_budget::LinkConfig;
use dragonflylead::coordination::link_budget::node_bytes_per_s;
use dragonflylead::coordination::routing::Choice;
use dragonflylead::coordination::routing::LocalNode;
use dragonflylead::coordination::routing::Pick;
use dragonflylead::coordination::routing::PickArgs;
use dragonflylead::coordination::routing::Router;
use dragonflylead::coordination::routing::RoutingConfig;
use dragonflylead::coordination::routing::Strategy;
use dragonflylead::coordination::subset::SubsetConfig;
use dragonflylead::coordination::target::AttemptOutcome;
use dragonflylead::coordination::target::Observation;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;
use dragonflylead::instance::ServiceName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CALLS: u32 = 2_000;
const GAP: Duration = Duration::from_millis(5);
const NEAR: [&str; 4] = ["near-0", "near-1", "near-2", "near-3"];
const MIXED: [&str; 3] = ["near-0", "beside-0", "far-0"];

/// Creates an instance whose location follows from the first part of its name.
fn instance(name: &str) -> Instance {
    let (domain, region) = match name.split('-').next() {
        Some("near") => ("d1", "r1"),
        Some("beside") => ("d2", "r1"),
        _ => ("d3", "r2"),
    };
    Instance {
        name: name.into(),
        service: "payments".into(),
        domain: domain.into(),
        region: region.into(),
        ingress: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        state: InstanceState::Live,
    }
}

fn instances(names: &[&str]) -> Vec<Instance> {
    names.iter().map(|n| instance(n)).collect()
}

fn router(names: &[&str], cfg: RoutingConfig) -> Router {
    let home = LocalNode {
        instance: "booking-1".into(),
        domain: "d1".into(),
        region: "r1".into(),
    };
    let mut router = Router::new(home, cfg, Time::ZERO);
    router.sync(&instances(names), Time::ZERO);
    router
}

fn choose(
    router: &mut Router,
    args: &PickArgs<'_>,
    now: Time,
    rng: &mut ChaCha8Rng,
) -> Option<Pick> {
    match router.choose(args, now, rng) {
        Choice::Send(pick) => Some(pick),
        Choice::Unavailable(_) => None,
    }
}

fn pick_args<'a>(service: &'a ServiceName, tried: &'a [InstanceName]) -> PickArgs<'a> {
    PickArgs {
        request_bytes: 0,
        service,
        priority: Priority::Normal,
        idempotent: true,
        cross_region: true,
        tried,
        untried_only: false,
    }
}

fn observation(outcome: AttemptOutcome, millis: u64, load: f64) -> Observation {
    Observation {
        load: Some(load),
        bytes: 4_096,
        ..Observation::new(outcome, Duration::from_millis(millis))
    }
}

/// Behaviour of a healthy instance.
fn healthy(_: &str) -> Observation {
    observation(AttemptOutcome::Succeeded, 10, 0.3)
}

/// Returns `observation` for instance near-0 and that of a healthy instance for all others.
fn near_0_is(name: &str, observation: Observation) -> Observation {
    if name == "near-0" {
        return observation;
    }
    healthy(name)
}

/// Sends calls at a fixed rate and returns the number of calls that each instance received.
fn run(
    router: &mut Router,
    tried: &[InstanceName],
    behave: fn(&str) -> Observation,
) -> BTreeMap<String, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let service = ServiceName::new("payments");
    let mut running: Vec<(Time, Pick)> = Vec::new();
    let mut counts = BTreeMap::new();
    for n in 0..CALLS {
        let now = Time::ZERO.plus(GAP * n);
        running.sort_by_key(|(end, _)| *end);
        let due = running.partition_point(|(end, _)| *end <= now);
        for (end, pick) in running.drain(..due) {
            router.record_attempt_end(&pick, &behave(pick.instance.name.as_str()), end);
        }
        let Some(pick) = choose(router, &pick_args(&service, tried), now, &mut rng) else {
            continue;
        };
        router.record_attempt_start(&pick, now);
        *counts.entry(pick.instance.name.to_string()).or_default() += 1;
        let latency = behave(pick.instance.name.as_str()).latency;
        running.push((now.plus(latency), pick));
    }
    counts
}

struct Case {
    name: &'static str,
    instances: &'static [&'static str],
    base: fn(&mut RoutingConfig),
    off: fn(&mut RoutingConfig),
    prepare: fn(&mut Router),
    tried: &'static [&'static str],
    behave: fn(&str) -> Observation,
    /// Selects the instances whose calls are counted.
    counted: fn(&str) -> bool,
    /// Range of the counted share of all calls with the mechanism on. With the mechanism off the
    /// share must be outside it.
    share: RangeInclusive<f64>,
}

const CASE: Case = Case {
    name: "",
    instances: &NEAR,
    base: |_| (),
    off: |_| (),
    prepare: |_| (),
    tried: &[],
    behave: healthy,
    counted: |name| name == "near-0",
    share: 0.0..=1.0,
};

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "the nearest instance is picked",
            instances: &MIXED,
            off: |cfg| cfg.ignore_distance = true,
            share: 1.0..=1.0,
            ..CASE
        },
        Case {
            name: "calls overflow from a busy instance to the next distance",
            instances: &MIXED,
            off: |cfg| cfg.score.load = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Succeeded, 10, 1.2)),
            counted: |name| name == "beside-0",
            share: 0.3..=0.99,
            ..CASE
        },
        Case {
            name: "a loaded instance receives fewer calls",
            off: |cfg| cfg.score.load = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Succeeded, 10, 0.85)),
            share: 0.0..=0.2,
            ..CASE
        },
        Case {
            name: "an instance that refuses calls receives fewer",
            off: |cfg| cfg.score.load = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Refused, 1, 0.0)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "an instance whose target is unreachable receives fewer calls",
            off: |cfg| cfg.score.failures = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::TargetUnavailable, 1, 0.0)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "a slow instance receives fewer calls",
            base: |cfg| cfg.score.in_flight = false,
            off: |cfg| cfg.score.latency = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Succeeded, 100, 0.3)),
            share: 0.0..=0.05,
            ..CASE
        },
        Case {
            name: "an instance that does not answer receives no further calls",
            off: |cfg| cfg.score.in_flight = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Succeeded, 1_000_000, 0.3)),
            share: 0.0..=0.02,
            ..CASE
        },
        Case {
            name: "fast failures attract no calls",
            base: |cfg| cfg.ejection.enabled = false,
            off: |cfg| cfg.score.failures = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Failed, 1, 0.0)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "a failing instance is ejected",
            base: |cfg| cfg.strategy = Strategy::Random,
            off: |cfg| cfg.ejection.enabled = false,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Failed, 1, 0.0)),
            share: 0.001..=0.02,
            ..CASE
        },
        Case {
            name: "two choices send fewer calls to a slow instance",
            off: |cfg| cfg.strategy = Strategy::Random,
            behave: |name| near_0_is(name, observation(AttemptOutcome::Succeeded, 100, 0.3)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "slow start limits the calls to a new instance",
            base: |cfg| cfg.ejection.slow_start = Duration::from_secs(1_000),
            off: |cfg| cfg.ejection.slow_start = Duration::ZERO,
            prepare: |router| {
                router.sync(&instances(&NEAR[1..]), Time::ZERO);
                router.sync(&instances(&NEAR), Time::ZERO);
            },
            share: 0.02..=0.1,
            ..CASE
        },
        Case {
            name: "an instance that reported draining is not picked, even if it is listed as live",
            off: |cfg| cfg.ignore_draining = true,
            prepare: |router| {
                let (service, name) = ("payments".into(), "near-0".into());
                router.update_status(&service, &name, Incarnation(1), true, Time::ZERO);
                router.sync(&instances(&NEAR), Time::ZERO);
            },
            share: 0.0..=0.0,
            ..CASE
        },
        Case {
            name: "a tried instance is not picked while untried ones remain",
            off: |cfg| cfg.allow_tried = true,
            tried: &["near-0"],
            share: 0.0..=0.0,
            ..CASE
        },
        Case {
            name: "reported health is used while there are no own observations",
            off: |cfg| cfg.score.reported_health = false,
            prepare: |router| {
                let (service, name) = ("payments".into(), "near-0".into());
                router.record_reported_health(&service, &name, false, Time::from_millis(100_000));
            },
            behave: |name| near_0_is(name, observation(AttemptOutcome::Cancelled, 10, 0.3)),
            share: 0.0..=0.05,
            ..CASE
        },
        Case {
            name: "own observations override reported health",
            base: |cfg| cfg.score.in_flight = false,
            off: |cfg| cfg.score.latency = false,
            prepare: |router| {
                let (service, name) = ("payments".into(), "near-0".into());
                router.record_reported_health(&service, &name, true, Time::ZERO);
            },
            behave: |name| near_0_is(name, observation(AttemptOutcome::Succeeded, 100, 0.3)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "other regions are used while the byte budget lasts",
            instances: &["far-0", "far-1"],
            base: |cfg| cfg.link.bytes_per_s = 4_096.0 * 10.0,
            off: |cfg| cfg.link.enabled = false,
            counted: |_| true,
            share: 0.05..=0.15,
            ..CASE
        },
    ]
}

#[test]
fn each_mechanism_has_its_effect_only_when_on() {
    for case in cases() {
        let share = |change: fn(&mut RoutingConfig)| {
            let mut cfg = RoutingConfig::default();
            (case.base)(&mut cfg);
            change(&mut cfg);
            let mut router = router(case.instances, cfg);
            (case.prepare)(&mut router);
            let tried: Vec<InstanceName> = case.tried.iter().map(|n| (*n).into()).collect();
            let counts = run(&mut router, &tried, case.behave);
            let counted = counts.iter().filter(|(name, _)| (case.counted)(name));
            f64::from(counted.map(|(_, n)| n).sum::<u32>()) / f64::from(CALLS)
        };
        let on = share(|_| ());
        assert!(case.share.contains(&on), "{}: share {on}", case.name);
        let off = share(case.off);
        assert!(
            !case.share.contains(&off),
            "{}: share {off} when off",
            case.name
        );
    }
}

#[test]
fn subset_bounds_the_targets() {
    struct Case {
        subset: SubsetConfig,
        want: usize,
    }
    let cases = [
        Case {
            subset: SubsetConfig::default(),
            want: 18,
        },
        Case {
            subset: SubsetConfig::ALL,
            want: 300,
        },
    ];
    let names: Vec<String> = (0..300)
        .map(|i| format!("{}-{i}", ["near", "beside", "far"][i % 3]))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for case in cases {
        let cfg = RoutingConfig {
            subset: case.subset,
            ..RoutingConfig::default()
        };
        let mut first = router(&names, cfg.clone());
        let again = router(&names, cfg);
        let members = |r: &Router| -> Vec<String> {
            let targets = r.targets(Time::ZERO);
            targets.map(|t| t.instance.name.to_string()).collect()
        };
        assert_eq!(members(&first).len(), case.want);
        assert_eq!(members(&first), members(&again));
        first.sync(&instances(&NEAR[..1]), Time::ZERO);
        assert_eq!(members(&first), ["near-0"]);
    }
}

#[test]
fn reason_why_no_instance_is_available() {
    struct Case {
        instances: &'static [&'static str],
        cross_region: bool,
        link_bytes_per_s: f64,
        want: NotRunKind,
    }
    let cases = [
        Case {
            instances: &[],
            cross_region: true,
            link_bytes_per_s: 1e6,
            want: NotRunKind::NoInstance,
        },
        Case {
            instances: &["far-0"],
            cross_region: false,
            link_bytes_per_s: 1e6,
            want: NotRunKind::NoInstance,
        },
        Case {
            instances: &["far-0"],
            cross_region: true,
            link_bytes_per_s: 0.0,
            want: NotRunKind::LinkBudget,
        },
    ];
    for case in cases {
        let mut cfg = RoutingConfig::default();
        cfg.link.bytes_per_s = case.link_bytes_per_s;
        let mut router = router(case.instances, cfg);
        let service = ServiceName::new("payments");
        let mut args = pick_args(&service, &[]);
        args.cross_region = case.cross_region;
        let got = router.choose(&args, Time::ZERO, &mut ChaCha8Rng::seed_from_u64(1));
        assert_eq!(got, Choice::Unavailable(case.want));
    }
}

#[test]
fn ejected_share_is_bounded() {
    struct Case {
        instances: usize,
        max_ejected_share: f64,
        want: usize,
    }
    let case = |instances, max_ejected_share, want| Case {
        instances,
        max_ejected_share,
        want,
    };
    let cases = [
        case(1, 0.5, 0),
        case(2, 0.5, 1),
        case(4, 0.5, 2),
        case(4, 0.25, 1),
        case(4, 1.0, 4),
    ];
    for case in cases {
        let mut cfg = RoutingConfig::default();
        cfg.ejection.max_ejected_share = case.max_ejected_share;
        assert_eq!(max_ejected(case.instances, &cfg.ejection), case.want);
        let mut router = router(&NEAR[..case.instances], cfg);
        let counts = run(&mut router, &[], |_| {
            observation(AttemptOutcome::Failed, 1, 0.0)
        });
        let now = Time::ZERO.plus(GAP * CALLS);
        let ejected = |r: &Router| r.targets(now).filter(|t| t.ejected).count();
        assert_eq!(ejected(&router), case.want);
        assert!(counts.values().sum::<u32>() > CALLS / 2);
        router.sync(&instances(&NEAR[..1]), now);
        assert!(
            ejected(&router)
                <= max_ejected(
                    1,
                    &EjectionConfig {
                        max_ejected_share: case.max_ejected_share,
                        ..EjectionConfig::default()
                    }
                )
        );
    }
}

#[test]
fn ejected_instances_are_probed_once_with_backoff() {
    let cfg = EjectionConfig {
        max_duration: Duration::from_secs(60),
        ..EjectionConfig::default()
    };
    let mut health = Health::warm();
    let mut now = Time::ZERO;
    let mut spans = Vec::new();
    for _ in 0..9 {
        health.eject(0.5, now, &cfg);
        assert_eq!(health.availability(true, now), Availability::Unavailable);
        let until = health.ejected_until().expect("the instance is ejected");
        spans.push(until.since(now).as_secs());
        now = until;
        assert_eq!(
            health.availability(false, now),
            Availability::Unavailable,
            "a non-idempotent call is no probe"
        );
        assert_eq!(health.availability(true, now), Availability::Probe);
        health.record_attempt_start();
        assert_eq!(
            health.availability(true, now),
            Availability::Unavailable,
            "one probe at a time"
        );
        assert!(health.record_failure(0.0, &cfg));
    }
    assert_eq!(spans, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    health.eject(0.5, now, &cfg);
    now = health.ejected_until().expect("the instance is ejected");
    health.record_attempt_start();
    health.record_success(now);
    assert_eq!(health.availability(false, now), Availability::Available);
    assert_eq!(health.slow_start_share(now, &cfg), cfg.slow_start_floor);
    assert_eq!(health.slow_start_share(now.plus(cfg.slow_start), &cfg), 1.0);
}

#[test]
fn draining_lasts_as_long_as_the_incarnation() {
    struct Case {
        reports: &'static [(u64, bool)],
        draining: bool,
    }
    let later = Time::from_millis(3_600_000);
    let cases = [
        Case {
            reports: &[(1, true), (1, false)],
            draining: true,
        },
        Case {
            reports: &[(1, true), (2, false)],
            draining: false,
        },
        Case {
            reports: &[(1, false), (2, false), (1, true)],
            draining: false,
        },
    ];
    for case in cases {
        let mut router = router(&NEAR[..1], RoutingConfig::default());
        let (service, name) = ("payments".into(), "near-0".into());
        for (incarnation, draining) in case.reports {
            let incarnation = Incarnation(*incarnation);
            router.update_status(&service, &name, incarnation, *draining, Time::ZERO);
        }
        let target = router
            .targets(later)
            .next()
            .expect("the router knows one target");
        assert_eq!(target.draining, case.draining, "{:?}", case.reports);
    }
    let mut router = router(&NEAR[..1], RoutingConfig::default());
    let mut list = instances(&NEAR[..1]);
    list[0].state = InstanceState::Draining;
    router.sync(&list, Time::ZERO);
    assert!(
        router.targets(later).all(|t| t.draining),
        "a listed state of leaving means draining"
    );
}

/// Guards against large requests that cost nothing on a link whose budget has no limit for them.
#[test]
fn a_link_budget_without_a_limit_on_bodies_counts_them_with_the_responses() {
    const BODY: u64 = 50_000;
    let cfg = LinkConfig {
        bytes_per_s: 100_000.0,
        ..LinkConfig::default()
    };
    let mut link = LinkBudget::new(&cfg, Time::ZERO);
    let mut sent = 0;
    while sent <= 1_000_000
        && let Some(charge) = link.quote(false, BODY, Time::ZERO)
    {
        link.charge(&charge, Time::ZERO);
        link.settle(&charge, 400, Time::ZERO);
        sent += BODY;
    }
    assert!(sent > 500_000, "{sent} bytes were sent");
    assert!(sent <= 700_000, "{sent} bytes were sent of 700,000");
}

#[test]
fn link_budget_limits_calls_and_bounds_debt() {
    let cfg = LinkConfig {
        bytes_per_s: 10_000.0,
        ..LinkConfig::default()
    };
    let mut link = LinkBudget::new(&cfg, Time::ZERO);
    let mut calls = 0;
    while let Some(charge) = link.quote(false, 0, Time::ZERO) {
        link.charge(&charge, Time::ZERO);
        calls += 1;
    }
    assert_eq!(calls, 17, "70,000 bytes at 4,096 per call");
    let critical = link
        .quote(true, 0, Time::ZERO)
        .expect("part of the budget is reserved");
    link.charge(&critical, Time::ZERO);
    link.settle(&critical, 10_000_000, Time::ZERO);
    assert_eq!(link.reserved_left(Time::ZERO), -90_000.0, "debt is bounded");
    assert!(link.uncharged() > 9_000_000.0);
    assert!(link.quote(true, 0, Time::ZERO).is_none());
    let later = Time::from_millis(400_000);
    let large = link
        .quote(true, 0, later)
        .expect("a full bucket suffices for any call");
    link.charge(&large, later);
    assert_eq!(link.reserved_left(later), 0.0);
    assert_eq!(link.left(later), 70_000.0);
    let halved = LinkConfig {
        bytes_per_s: 5_000.0,
        ..cfg
    };
    link.reconfigure(&halved, later);
    assert_eq!(link.left(later), 35_000.0);
    assert_eq!(link.reserved_left(later), 0.0, "the fill level is kept");
    assert_eq!(node_bytes_per_s(3_750_000.0, 4, 1_000), 937.5);
}
