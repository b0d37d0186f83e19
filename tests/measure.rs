//! Results of a measured run, computed from samples and runs with known outcomes.

use std::time::Duration;

use dragonflylead::measure::fleet::SERVICES;
use dragonflylead::measure::fleet::Scenario;
use dragonflylead::measure::fleet::ServiceRun;
use dragonflylead::measure::load::FAULT_TIME;
use dragonflylead::measure::load::RECOVERY_TIME;
use dragonflylead::measure::load::RequestKind;
use dragonflylead::measure::load::STEADY_TIME;
use dragonflylead::measure::load::Sample;
use dragonflylead::measure::load::operation;
use dragonflylead::measure::results::summarize;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(10);

/// Returns samples of requests 10 ms apart: a charge, then nine pages. Those first sent within
/// `failing` fail after two sends.
fn samples(failing: std::ops::Range<Duration>) -> Vec<Sample> {
    let count = (STEADY_TIME + FAULT_TIME + RECOVERY_TIME).as_millis() / INTERVAL.as_millis();
    let sample = |i: u32| {
        let sent = INTERVAL * i;
        let failed = failing.contains(&sent);
        Sample {
            kind: if i.is_multiple_of(10) {
                RequestKind::Charge
            } else {
                RequestKind::Page
            },
            sent,
            ended: sent,
            sends: 1 + u32::from(failed),
            completed: !failed,
        }
    };
    (0..count as u32).map(sample).collect()
}

/// Returns one run at each service for each send of each request.
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
fn results_of_failing_periods() {
    struct Case {
        failing: std::ops::Range<Duration>,
        goodput: f64,
        charge_success: f64,
        wasted_share: f64,
        recovery_time: Option<Duration>,
    }
    let end = STEADY_TIME + FAULT_TIME;
    let cases = [
        Case {
            failing: Duration::ZERO..Duration::ZERO,
            goodput: 0.5,
            charge_success: 1.0,
            wasted_share: 0.0,
            recovery_time: Some(Duration::ZERO),
        },
        Case {
            failing: STEADY_TIME..STEADY_TIME + FAULT_TIME / 2,
            goodput: 0.25,
            charge_success: 0.5,
            wasted_share: 1000.0 / 2700.0,
            recovery_time: Some(Duration::ZERO),
        },
        Case {
            failing: STEADY_TIME..end + Duration::from_secs(2),
            goodput: 0.0,
            charge_success: 0.0,
            wasted_share: 2400.0 / 3400.0,
            recovery_time: Some(Duration::from_secs(2)),
        },
        Case {
            failing: STEADY_TIME..end + RECOVERY_TIME,
            goodput: 0.0,
            charge_success: 0.0,
            wasted_share: 3600.0 / 4000.0,
            recovery_time: None,
        },
    ];
    for case in cases {
        let samples = samples(case.failing.clone());
        let r = summarize(Scenario::Surge, &samples, &runs(&samples));
        assert!((r.goodput - case.goodput).abs() < 1e-6, "{r:?}");
        assert!(
            (r.charge_success - case.charge_success).abs() < 1e-6,
            "{r:?}"
        );
        assert!((r.wasted_share - case.wasted_share).abs() < 1e-6, "{r:?}");
        assert_eq!(r.recovery_time, case.recovery_time, "{r:?}");
        assert_eq!(r.max_runs, 1);
    }
}

#[test]
fn charges_that_ran_twice_are_counted() {
    let samples = samples(Duration::ZERO..Duration::ZERO);
    let mut runs = runs(&samples);
    assert_eq!(summarize(Scenario::Surge, &samples, &runs).charged_twice, 0);
    let of_first_charge = |run: &&ServiceRun| run.operation == operation(0, 1);
    let repeated: Vec<ServiceRun> = runs.iter().filter(of_first_charge).cloned().collect();
    runs.extend(repeated);
    let r = summarize(Scenario::Surge, &samples, &runs);
    assert_eq!((r.charged_twice, r.max_runs), (1, 2));
    assert!(r.wasted_share > 0.0);
}
