//! Poison requests: suspicion, exclusive runs, quarantine, expiry and bounded memory.

use dragonflylead::Fingerprint;
use dragonflylead::Time;
use dragonflylead::coordination::poison::CrashReport;
use dragonflylead::coordination::poison::Isolation;
use dragonflylead::coordination::poison::MAX_SUSPECTS;
use dragonflylead::coordination::poison::QUARANTINE_TIME;
use dragonflylead::coordination::poison::SUSPICION_TTL;
use dragonflylead::coordination::poison::Suspects;
use dragonflylead::instance::InstanceName;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const SUSPECT: Fingerprint = Fingerprint([9; 16]);
const NOW: Time = Time::from_millis(1_000);

/// Returns the n-th of a series of distinct fingerprints.
fn fingerprint(n: u64) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&n.to_le_bytes());
    Fingerprint(bytes)
}

fn report(target: &str, crash: u64, alone: bool) -> CrashReport {
    CrashReport {
        fingerprint: SUSPECT,
        target: InstanceName::new(target),
        crash,
        alone,
    }
}

#[test]
fn crashes_lead_to_exclusive_runs_and_then_to_quarantine() {
    struct Case {
        name: &'static str,
        reports: Vec<CrashReport>,
        completed: bool,
        now: Time,
        want: Isolation,
    }
    let base = || Case {
        name: "no crash",
        reports: vec![],
        completed: false,
        now: NOW,
        want: Isolation::None,
    };
    let one_crash = || vec![report("sanidad-1", 1, false)];
    let two_targets = || vec![report("sanidad-1", 1, false), report("sanidad-2", 2, false)];
    let cases = [
        base(),
        Case {
            name: "one crash, alongside other requests",
            reports: one_crash(),
            want: Isolation::Exclusive,
            ..base()
        },
        Case {
            name: "one crash while alone, which may be the target's own fault",
            reports: vec![report("sanidad-1", 1, true)],
            want: Isolation::Exclusive,
            ..base()
        },
        Case {
            name: "the same report twice",
            reports: vec![report("sanidad-1", 1, true), report("sanidad-1", 1, true)],
            want: Isolation::Exclusive,
            ..base()
        },
        Case {
            name: "two crashes of one target, alongside other requests",
            reports: vec![report("sanidad-1", 1, false), report("sanidad-1", 2, false)],
            want: Isolation::Exclusive,
            ..base()
        },
        Case {
            name: "two crashes of one target, the second while alone",
            reports: vec![report("sanidad-1", 1, false), report("sanidad-1", 2, true)],
            want: Isolation::Quarantined,
            ..base()
        },
        Case {
            name: "crashes of two targets",
            reports: two_targets(),
            want: Isolation::Quarantined,
            ..base()
        },
        Case {
            name: "a suspect that ran to completion",
            reports: one_crash(),
            completed: true,
            want: Isolation::None,
            ..base()
        },
        Case {
            name: "a late response does not lift a quarantine",
            reports: two_targets(),
            completed: true,
            want: Isolation::Quarantined,
            ..base()
        },
        Case {
            name: "suspicion expires",
            reports: one_crash(),
            now: NOW.plus(SUSPICION_TTL),
            want: Isolation::None,
            ..base()
        },
        Case {
            name: "quarantine expires",
            reports: two_targets(),
            now: NOW.plus(QUARANTINE_TIME),
            want: Isolation::None,
            ..base()
        },
    ];
    for case in cases {
        let mut suspects = Suspects::new();
        for report in &case.reports {
            suspects.merge_report(NOW, report);
        }
        if case.completed {
            suspects.clear_suspicion(SUSPECT);
        }
        assert_eq!(
            suspects.isolation(case.now, SUSPECT),
            case.want,
            "{}",
            case.name
        );
        assert_eq!(
            suspects.isolation(case.now, fingerprint(1)),
            Isolation::None
        );
    }
}

#[test]
fn crash_reports_reach_the_same_state_on_other_nodes() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let mut first = Suspects::new();
    let mut second = Suspects::new();
    let running = [SUSPECT, fingerprint(1), fingerprint(2), SUSPECT];
    let reports = first.record_crash(NOW, &InstanceName::new("sanidad-1"), running, &mut rng);
    assert_eq!(reports.len(), 3);
    assert!(reports.iter().all(|report| !report.alone));
    for report in &reports {
        let text = serde_json::to_string(report).unwrap();
        second.merge_report(NOW, &serde_json::from_str(&text).unwrap());
    }
    assert_eq!(second.isolation(NOW, SUSPECT), Isolation::Exclusive);
    let reports = second.record_crash(NOW, &InstanceName::new("sanidad-2"), [SUSPECT], &mut rng);
    first.merge_report(NOW, &reports[0]);
    for node in [&mut first, &mut second] {
        assert_eq!(node.quarantined(), [SUSPECT]);
        assert_eq!(node.isolation(NOW, fingerprint(1)), Isolation::Exclusive);
    }
}

#[test]
fn suspects_are_bounded_and_quarantined_ones_evicted_last() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let mut suspects = Suspects::new();
    suspects.merge_report(NOW, &report("sanidad-1", 1, false));
    suspects.merge_report(NOW, &report("sanidad-2", 2, false));
    let many = (0..2 * MAX_SUSPECTS as u64).map(fingerprint);
    let later = NOW.plus(QUARANTINE_TIME / 2);
    suspects.record_crash(later, &InstanceName::new("sanidad-3"), many, &mut rng);
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert_eq!(suspects.isolation(later, SUSPECT), Isolation::Quarantined);
    suspects.isolation(later.plus(SUSPICION_TTL), SUSPECT);
    assert!(suspects.is_empty());
}
