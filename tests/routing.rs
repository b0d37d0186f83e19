//! Routing: what each mechanism does to the choice, and that the choice is worse without it.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::coordination::ejection::Access;
use dragonflylead::coordination::ejection::EjectionConfig;
use dragonflylead::coordination::ejection::Health;
use dragonflylead::coordination::ejection::most_ejected;
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

/// Builds an instance whose place is the first part of its name.
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
    want: &PickArgs<'_>,
    now: Time,
    rng: &mut ChaCha8Rng,
) -> Option<Pick> {
    match router.choose(want, now, rng) {
        Choice::Send(pick) => Some(pick),
        Choice::Unavailable(_) => None,
    }
}

fn want<'a>(service: &'a ServiceName, tried: &'a [InstanceName]) -> PickArgs<'a> {
    PickArgs {
        service,
        priority: Priority::Normal,
        idempotent: true,
        cross_region: true,
        tried,
        untried_only: false,
    }
}

fn answer(verdict: AttemptOutcome, millis: u64, load: f64) -> Observation {
    Observation {
        load: Some(load),
        bytes: 4_096,
        ..Observation::of(verdict, Duration::from_millis(millis))
    }
}

fn works(_: &str) -> Observation {
    answer(AttemptOutcome::Succeeded, 10, 0.3)
}

fn near_0_is(name: &str, special: Observation) -> Observation {
    if name == "near-0" {
        return special;
    }
    works(name)
}

/// Sends calls at a fixed rate and counts those that each instance got.
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
            router.attempt_ended(&pick, &behave(pick.instance.name.as_str()), end);
        }
        let Some(pick) = choose(router, &want(&service, tried), now, &mut rng) else {
            continue;
        };
        router.attempt_sent(&pick, now);
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
    /// Calls to these instances are counted.
    counted: fn(&str) -> bool,
    /// Share of all calls with the mechanism on, and outside it with the mechanism off.
    share: RangeInclusive<f64>,
}

const CASE: Case = Case {
    name: "",
    instances: &NEAR,
    base: |_| (),
    off: |_| (),
    prepare: |_| (),
    tried: &[],
    behave: works,
    counted: |name| name == "near-0",
    share: 0.0..=1.0,
};

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "the nearest instance is chosen",
            instances: &MIXED,
            off: |cfg| cfg.ignore_distance = true,
            share: 1.0..=1.0,
            ..CASE
        },
        Case {
            name: "a busy instance is relieved by the next place",
            instances: &MIXED,
            off: |cfg| cfg.score.load = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Succeeded, 10, 1.2)),
            counted: |name| name == "beside-0",
            share: 0.3..=0.99,
            ..CASE
        },
        Case {
            name: "a loaded instance gets less",
            off: |cfg| cfg.score.load = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Succeeded, 10, 0.85)),
            share: 0.0..=0.2,
            ..CASE
        },
        Case {
            name: "an instance that refuses gets less",
            off: |cfg| cfg.score.load = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Refused, 1, 0.0)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "an instance whose target cannot be reached gets less",
            off: |cfg| cfg.score.failures = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::TargetUnavailable, 1, 0.0)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "a slow instance gets less",
            base: |cfg| cfg.score.in_flight = false,
            off: |cfg| cfg.score.latency = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Succeeded, 100, 0.3)),
            share: 0.0..=0.05,
            ..CASE
        },
        Case {
            name: "an instance that does not answer gets no more",
            off: |cfg| cfg.score.in_flight = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Succeeded, 1_000_000, 0.3)),
            share: 0.0..=0.02,
            ..CASE
        },
        Case {
            name: "fast failures attract no calls",
            base: |cfg| cfg.ejection.enabled = false,
            off: |cfg| cfg.score.failures = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Failed, 1, 0.0)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "a failing instance is ejected",
            base: |cfg| cfg.strategy = Strategy::Random,
            off: |cfg| cfg.ejection.enabled = false,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Failed, 1, 0.0)),
            share: 0.001..=0.02,
            ..CASE
        },
        Case {
            name: "two choices relieve a slow instance",
            off: |cfg| cfg.strategy = Strategy::Random,
            behave: |name| near_0_is(name, answer(AttemptOutcome::Succeeded, 100, 0.3)),
            share: 0.0..=0.1,
            ..CASE
        },
        Case {
            name: "a cold instance ramps up",
            base: |cfg| cfg.ejection.ramp = Duration::from_secs(1_000),
            off: |cfg| cfg.ejection.ramp = Duration::ZERO,
            prepare: |router| {
                router.sync(&instances(&NEAR[1..]), Time::ZERO);
                router.sync(&instances(&NEAR), Time::ZERO);
            },
            share: 0.02..=0.1,
            ..CASE
        },
        Case {
            name: "an instance that said it is leaving is not chosen, whatever the list says",
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
            name: "an instance that was tried is not chosen while others remain",
            off: |cfg| cfg.repeat_tried = true,
            tried: &["near-0"],
            share: 0.0..=0.0,
            ..CASE
        },
        Case {
            name: "reported health is heeded while nothing else is known",
            off: |cfg| cfg.score.hint = false,
            prepare: |router| {
                let (service, name) = ("payments".into(), "near-0".into());
                router.report_health(&service, &name, false, Time::from_millis(100_000));
            },
            behave: |name| near_0_is(name, answer(AttemptOutcome::Cancelled, 10, 0.3)),
            share: 0.0..=0.05,
            ..CASE
        },
        Case {
            name: "observation overrides reported health",
            base: |cfg| cfg.score.in_flight = false,
            off: |cfg| cfg.score.latency = false,
            prepare: |router| {
                let (service, name) = ("payments".into(), "near-0".into());
                router.report_health(&service, &name, true, Time::ZERO);
            },
            behave: |name| near_0_is(name, answer(AttemptOutcome::Succeeded, 100, 0.3)),
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
fn mechanisms() {
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
        assert!(case.share.contains(&on), "{}: {on}", case.name);
        let off = share(case.off);
        assert!(!case.share.contains(&off), "{} when off: {off}", case.name);
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
fn nothing_to_choose() {
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
        let mut want = want(&service, &[]);
        want.cross_region = case.cross_region;
        let got = router.choose(&want, Time::ZERO, &mut ChaCha8Rng::seed_from_u64(1));
        assert_eq!(got, Choice::Unavailable(case.want));
    }
}

#[test]
fn ejection_keeps_its_share() {
    struct Case {
        instances: usize,
        max_share: f64,
        want: usize,
    }
    let case = |instances, max_share, want| Case {
        instances,
        max_share,
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
        cfg.ejection.max_share = case.max_share;
        assert_eq!(most_ejected(case.instances, &cfg.ejection), case.want);
        let mut router = router(&NEAR[..case.instances], cfg);
        let counts = run(&mut router, &[], |_| answer(AttemptOutcome::Failed, 1, 0.0));
        let now = Time::ZERO.plus(GAP * CALLS);
        let ejected = |r: &Router| r.targets(now).filter(|t| t.ejected).count();
        assert_eq!(ejected(&router), case.want);
        assert!(counts.values().sum::<u32>() > CALLS / 2);
        router.sync(&instances(&NEAR[..1]), now);
        assert!(
            ejected(&router)
                <= most_ejected(
                    1,
                    &EjectionConfig {
                        max_share: case.max_share,
                        ..EjectionConfig::default()
                    }
                )
        );
    }
}

#[test]
fn ejected_instances_are_probed_once_with_backoff() {
    let cfg = EjectionConfig {
        longest: Duration::from_secs(60),
        ..EjectionConfig::default()
    };
    let mut health = Health::warm();
    let mut now = Time::ZERO;
    let mut spans = Vec::new();
    for _ in 0..9 {
        health.eject(0.5, now, &cfg);
        assert_eq!(health.access(true, now), Access::Closed);
        let until = health.ejected_until().expect("it was ejected");
        spans.push(until.since(now).as_secs());
        now = until;
        assert_eq!(
            health.access(false, now),
            Access::Closed,
            "a charge is no probe"
        );
        assert_eq!(health.access(true, now), Access::Probe);
        health.sent();
        assert_eq!(
            health.access(true, now),
            Access::Closed,
            "one probe at a time"
        );
        assert!(health.failed(0.0, &cfg));
    }
    assert_eq!(spans, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    health.eject(0.5, now, &cfg);
    now = health.ejected_until().expect("it was ejected");
    health.sent();
    health.succeeded(now);
    assert_eq!(health.access(false, now), Access::Open);
    assert_eq!(health.ramp(now, &cfg), cfg.ramp_floor);
    assert_eq!(health.ramp(now.plus(cfg.ramp), &cfg), 1.0);
}

#[test]
fn draining_lasts_as_long_as_the_incarnation() {
    struct Case {
        told: &'static [(u64, bool)],
        draining: bool,
    }
    let later = Time::from_millis(3_600_000);
    let cases = [
        Case {
            told: &[(1, true), (1, false)],
            draining: true,
        },
        Case {
            told: &[(1, true), (2, false)],
            draining: false,
        },
        Case {
            told: &[(1, false), (2, false), (1, true)],
            draining: false,
        },
    ];
    for case in cases {
        let mut router = router(&NEAR[..1], RoutingConfig::default());
        let (service, name) = ("payments".into(), "near-0".into());
        for (incarnation, draining) in case.told {
            let incarnation = Incarnation(*incarnation);
            router.update_status(&service, &name, incarnation, *draining, Time::ZERO);
        }
        let target = router.targets(later).next().expect("one is known");
        assert_eq!(target.draining, case.draining, "{:?}", case.told);
    }
    let mut router = router(&NEAR[..1], RoutingConfig::default());
    let mut list = instances(&NEAR[..1]);
    list[0].state = InstanceState::Leaving;
    router.sync(&list, Time::ZERO);
    assert!(
        router.targets(later).all(|t| t.draining),
        "the list says so"
    );
}

#[test]
fn link_budget() {
    let cfg = LinkConfig {
        bytes_per_s: 10_000.0,
        ..LinkConfig::default()
    };
    let mut link = LinkBudget::new(&cfg, Time::ZERO);
    let mut calls = 0;
    while let Some(charge) = link.quote(false, Time::ZERO) {
        link.charge(&charge, Time::ZERO);
        calls += 1;
    }
    assert_eq!(calls, 17, "70,000 bytes at 4,096 a call");
    let critical = link.quote(true, Time::ZERO).expect("a part is reserved");
    link.charge(&critical, Time::ZERO);
    link.settle(&critical, 10_000_000, Time::ZERO);
    assert_eq!(link.reserved_left(Time::ZERO), -90_000.0, "debt is bounded");
    assert!(link.forgiven() > 9_000_000.0);
    assert!(link.quote(true, Time::ZERO).is_none());
    let later = Time::from_millis(400_000);
    let large = link.quote(true, later).expect("a full bucket is enough");
    link.charge(&large, later);
    assert_eq!(link.reserved_left(later), 0.0);
    assert_eq!(link.left(later), 70_000.0);
    let halved = LinkConfig {
        bytes_per_s: 5_000.0,
        ..cfg
    };
    link.reconfigure(&halved, later);
    assert_eq!(link.left(later), 35_000.0);
    assert_eq!(link.reserved_left(later), 0.0, "what was spent stays spent");
    assert_eq!(node_bytes_per_s(3_750_000.0, 4, 1_000), 937.5);
}
