//! Figures of a measurement, from samples and runs with known results.

use std::time::Duration;

use dragonflylead::measure::figures::figures;
use dragonflylead::measure::load::AFTER;
use dragonflylead::measure::load::BEFORE;
use dragonflylead::measure::load::CAUSE;
use dragonflylead::measure::load::Kind;
use dragonflylead::measure::load::Sample;
use dragonflylead::measure::load::operation;
use dragonflylead::measure::world::SERVICES;
use dragonflylead::measure::world::Scenario;
use dragonflylead::measure::world::ServiceRun;

const GAP: Duration = Duration::from_millis(10);

/// A request each 10 ms, of which those sent in `fails` fail after two sends.
fn samples(fails: std::ops::Range<Duration>) -> Vec<Sample> {
    let count = (BEFORE + CAUSE + AFTER).as_millis() / GAP.as_millis();
    let sample = |i: u32| {
        let sent = GAP * i;
        let failed = fails.contains(&sent);
        Sample {
            kind: if i.is_multiple_of(10) {
                Kind::Charge
            } else {
                Kind::Page
            },
            sent,
            ended: sent,
            sends: 1 + u32::from(failed),
            completed: !failed,
        }
    };
    (0..count as u32).map(sample).collect()
}

fn runs(samples: &[Sample]) -> Vec<ServiceRun> {
    let operations = samples
        .iter()
        .enumerate()
        .flat_map(|(i, s)| (1..=s.sends).map(move |send| operation(i, send)));
    let run = |operation: String| {
        let at = |service: &&str| ServiceRun {
            service: (*service).to_owned(),
            operation: operation.clone(),
        };
        SERVICES.iter().map(at).collect::<Vec<_>>()
    };
    operations.flat_map(run).collect()
}

#[test]
fn figures_follow_from_what_became_of_requests() {
    struct Case {
        fails: std::ops::Range<Duration>,
        goodput: f64,
        charges: f64,
        wasted: f64,
        recovery: Option<Duration>,
    }
    let end = BEFORE + CAUSE;
    let cases = [
        Case {
            fails: Duration::ZERO..Duration::ZERO,
            goodput: 0.5,
            charges: 1.0,
            wasted: 0.0,
            recovery: Some(Duration::ZERO),
        },
        Case {
            fails: BEFORE..BEFORE + CAUSE / 2,
            goodput: 0.25,
            charges: 0.5,
            wasted: 1000.0 / 2700.0,
            recovery: Some(Duration::ZERO),
        },
        Case {
            fails: BEFORE..end + Duration::from_secs(2),
            goodput: 0.0,
            charges: 0.0,
            wasted: 2400.0 / 3400.0,
            recovery: Some(Duration::from_secs(2)),
        },
        Case {
            fails: BEFORE..end + AFTER,
            goodput: 0.0,
            charges: 0.0,
            wasted: 3600.0 / 4000.0,
            recovery: None,
        },
    ];
    for case in cases {
        let samples = samples(case.fails.clone());
        let f = figures(Scenario::Surge, &samples, &runs(&samples));
        assert!((f.goodput - case.goodput).abs() < 1e-6, "{f:?}");
        assert!((f.charges - case.charges).abs() < 1e-6, "{f:?}");
        assert!((f.wasted - case.wasted).abs() < 1e-6, "{f:?}");
        assert_eq!(f.recovery, case.recovery, "{f:?}");
        assert_eq!(f.most_runs, 1);
    }
}

#[test]
fn a_charge_that_ran_twice_is_counted() {
    let samples = samples(Duration::ZERO..Duration::ZERO);
    let mut runs = runs(&samples);
    assert_eq!(figures(Scenario::Surge, &samples, &runs).charged_twice, 0);
    let again = |run: &&ServiceRun| run.operation == operation(0, 1);
    let again: Vec<ServiceRun> = runs.iter().filter(again).cloned().collect();
    runs.extend(again);
    let f = figures(Scenario::Surge, &samples, &runs);
    assert_eq!((f.charged_twice, f.most_runs), (1, 2));
    assert!(f.wasted > 0.0);
}
