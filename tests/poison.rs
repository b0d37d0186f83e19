//! Poison requests: suspicion, isolation, quarantine, decay, bounded memory.

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

const POISON: Fingerprint = Fingerprint([9; 16]);
const NOW: Time = Time::from_millis(1_000);

fn print(n: u64) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&n.to_le_bytes());
    Fingerprint(bytes)
}

fn report(target: &str, crash: u64, alone: bool) -> CrashReport {
    CrashReport {
        fingerprint: POISON,
        target: InstanceName::new(target),
        crash,
        alone,
    }
}

#[test]
fn crashes_lead_to_isolation_and_then_to_quarantine() {
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
    let one = || vec![report("sanidad-1", 1, false)];
    let two = || vec![report("sanidad-1", 1, false), report("sanidad-2", 2, false)];
    let cases = [
        base(),
        Case {
            name: "one crash among others",
            reports: one(),
            want: Isolation::Exclusive,
            ..base()
        },
        Case {
            name: "one crash alone may be the target's own",
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
            name: "two crashes of one target, among others",
            reports: vec![report("sanidad-1", 1, false), report("sanidad-1", 2, false)],
            want: Isolation::Exclusive,
            ..base()
        },
        Case {
            name: "two crashes of one target, the second alone",
            reports: vec![report("sanidad-1", 1, false), report("sanidad-1", 2, true)],
            want: Isolation::Quarantined,
            ..base()
        },
        Case {
            name: "two targets",
            reports: two(),
            want: Isolation::Quarantined,
            ..base()
        },
        Case {
            name: "a suspect that ran to its end",
            reports: one(),
            completed: true,
            want: Isolation::None,
            ..base()
        },
        Case {
            name: "a late answer does not end a quarantine",
            reports: two(),
            completed: true,
            want: Isolation::Quarantined,
            ..base()
        },
        Case {
            name: "suspicion lapses",
            reports: one(),
            now: NOW.plus(SUSPICION_TTL),
            want: Isolation::None,
            ..base()
        },
        Case {
            name: "quarantine ends",
            reports: two(),
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
            suspects.clear_suspicion(POISON);
        }
        assert_eq!(
            suspects.isolation(case.now, POISON),
            case.want,
            "{}",
            case.name
        );
        assert_eq!(suspects.isolation(case.now, print(1)), Isolation::None);
    }
}

#[test]
fn peers_learn_from_reports() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let mut here = Suspects::new();
    let mut there = Suspects::new();
    let running = [POISON, print(1), print(2), POISON];
    let reports = here.record_crash(NOW, &InstanceName::new("sanidad-1"), running, &mut rng);
    assert_eq!(reports.len(), 3);
    assert!(reports.iter().all(|report| !report.alone));
    for report in &reports {
        let text = serde_json::to_string(report).unwrap();
        there.merge_report(NOW, &serde_json::from_str(&text).unwrap());
    }
    assert_eq!(there.isolation(NOW, POISON), Isolation::Exclusive);
    let reports = there.record_crash(NOW, &InstanceName::new("sanidad-2"), [POISON], &mut rng);
    here.merge_report(NOW, &reports[0]);
    for node in [&mut here, &mut there] {
        assert_eq!(node.quarantined(), [POISON]);
        assert_eq!(node.isolation(NOW, print(1)), Isolation::Exclusive);
    }
}

#[test]
fn suspects_are_bounded_and_quarantines_outlive_suspicions() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let mut suspects = Suspects::new();
    suspects.merge_report(NOW, &report("sanidad-1", 1, false));
    suspects.merge_report(NOW, &report("sanidad-2", 2, false));
    let flood = (0..2 * MAX_SUSPECTS as u64).map(print);
    let later = NOW.plus(QUARANTINE_TIME / 2);
    suspects.record_crash(later, &InstanceName::new("sanidad-3"), flood, &mut rng);
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert_eq!(suspects.isolation(later, POISON), Isolation::Quarantined);
    suspects.isolation(later.plus(SUSPICION_TTL), POISON);
    assert!(suspects.is_empty());
}
