//! Admission control of an instance: order of service, queue capacity, preemption, exclusive calls
//! and the adaptive concurrency limit.

#[path = "support/admission.rs"]
mod support;

use std::time::Duration;

use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::coordination::admission::AdmissionConfig;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::RunResult;
use dragonflylead::coordination::admission::STANDING_QUEUE_TIME;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::concurrency_limit::ConcurrencyLimit;

use crate::support::Harness;
use crate::support::MS;
use crate::support::job;

fn lookup(ticket: u64) -> Job {
    job(ticket, Priority::Low, true)
}

fn charge(ticket: u64) -> Job {
    job(ticket, Priority::Critical, false)
}

#[test]
fn waiting_calls_start_in_order() {
    struct Case {
        name: &'static str,
        cfg: AdmissionConfig,
        delay: Duration,
        want: [u64; 4],
    }
    let full = AdmissionConfig::full(1);
    let cases = [
        Case {
            name: "priority, then age",
            cfg: full,
            delay: MS,
            want: [0, 3, 1, 2],
        },
        Case {
            name: "newest first under standing overload",
            cfg: full,
            delay: STANDING_QUEUE_TIME,
            want: [0, 3, 2, 1],
        },
        Case {
            name: "sojourn control off",
            cfg: AdmissionConfig {
                sojourn_control: false,
                ..full
            },
            delay: STANDING_QUEUE_TIME,
            want: [0, 3, 1, 2],
        },
        Case {
            name: "priority order off",
            cfg: AdmissionConfig {
                priority_order: false,
                ..full
            },
            delay: MS,
            want: [0, 1, 2, 3],
        },
    ];
    for case in cases {
        let mut harness = Harness::new(case.cfg);
        harness.offer([lookup(0), lookup(1), lookup(2), charge(3)]);
        harness.advance(case.delay);
        for index in 0..4 {
            let running = harness.started()[index];
            harness.finish(running, RunResult::Failed);
        }
        assert_eq!(harness.started(), case.want, "{}", case.name);
    }
}

#[test]
fn a_full_instance_drops_the_least_important_call() {
    use Effect::Drop;
    use Effect::Preempt;
    use NotRunKind::Overloaded;
    struct Case {
        name: &'static str,
        preemption: bool,
        running: Job,
        waiting: Job,
        offered: Job,
        want: Effect,
    }
    let normal = |t| job(t, Priority::Normal, true);
    let cases = [
        Case {
            name: "a queued lookup is dropped for a charge",
            preemption: true,
            running: lookup(0),
            waiting: lookup(1),
            offered: charge(2),
            want: Drop(Ticket(1), Overloaded),
        },
        Case {
            name: "a running lookup is preempted for a charge if only charges are queued",
            preemption: true,
            running: lookup(0),
            waiting: charge(1),
            offered: charge(2),
            want: Preempt(Ticket(0)),
        },
        Case {
            name: "preemption off",
            preemption: false,
            running: lookup(0),
            waiting: charge(1),
            offered: charge(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "a running charge is not preempted",
            preemption: true,
            running: charge(0),
            waiting: charge(1),
            offered: charge(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "an idempotent call preempts nothing",
            preemption: true,
            running: lookup(0),
            waiting: normal(1),
            offered: normal(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "a call of equal priority is not preempted",
            preemption: true,
            running: normal(0),
            waiting: job(1, Priority::Normal, false),
            offered: job(2, Priority::Normal, false),
            want: Drop(Ticket(2), Overloaded),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(AdmissionConfig {
            queue_capacity: 1,
            preemption: case.preemption,
            ..AdmissionConfig::full(1)
        });
        harness.offer([case.running, case.waiting, case.offered]);
        assert_eq!(harness.effects[1..], [case.want], "{}", case.name);
        harness.offer([]);
        if case.want == Preempt(Ticket(0)) {
            harness.finish(0, RunResult::Cancelled);
            harness.finish(1, RunResult::Ok);
            assert_eq!(
                harness.started(),
                [0, 1, 2],
                "both charges run after the preemption"
            );
        }
    }
}

#[test]
fn an_urgent_charge_preempts_a_lookup_before_its_deadline() {
    for preemption in [true, false] {
        let mut harness = Harness::new(AdmissionConfig {
            preemption,
            ..AdmissionConfig::full(1)
        });
        let mut urgent = charge(1);
        urgent.deadline = harness.now.plus(200 * MS);
        harness.offer([lookup(0), urgent]);
        for _ in 0..25 {
            harness.advance(10 * MS);
            if harness.effects.last() == Some(&Effect::Preempt(Ticket(0))) {
                harness.finish(0, RunResult::Cancelled);
            }
        }
        let want = match preemption {
            true => Effect::Start(Ticket(1)),
            false => Effect::Drop(Ticket(1), NotRunKind::DeadlineInQueue),
        };
        assert_eq!(harness.effects.last(), Some(&want));
    }
}

#[test]
fn calls_that_cannot_meet_their_deadline_are_dropped_before_they_run() {
    for sojourn_control in [true, false] {
        let mut harness = Harness::new(AdmissionConfig {
            sojourn_control,
            ..AdmissionConfig::full(1)
        });
        harness.offer([lookup(0)]);
        harness.advance(100 * MS);
        harness.finish(0, RunResult::Ok);
        let mut late = lookup(2);
        late.deadline = harness.now.plus(STANDING_QUEUE_TIME + 50 * MS);
        harness.offer([lookup(1), late, lookup(3)]);
        harness.advance(STANDING_QUEUE_TIME);
        let dropped = Effect::Drop(Ticket(2), NotRunKind::DeadlineInQueue);
        assert_eq!(harness.effects.contains(&dropped), sojourn_control);
    }
}

#[test]
fn exclusive_calls_run_alone_and_alternate_with_others() {
    let exclusive = |t| Job {
        exclusive: true,
        ..lookup(t)
    };
    let mut harness = Harness::new(AdmissionConfig::full(4));
    harness.offer([lookup(0), lookup(1), exclusive(2), exclusive(3), lookup(4)]);
    assert_eq!(harness.started(), [0, 1]);
    harness.finish(0, RunResult::Ok);
    assert_eq!(harness.started(), [0, 1]);
    harness.finish(1, RunResult::Ok);
    assert_eq!(harness.started(), [0, 1, 2]);
    harness.offer([lookup(5)]);
    harness.advance(20 * MS);
    harness.finish(2, RunResult::Ok);
    assert_eq!(
        harness.started(),
        [0, 1, 2, 4, 5],
        "the second exclusive call runs after the queued lookups"
    );
    harness.finish(4, RunResult::Ok);
    harness.finish(5, RunResult::Ok);
    assert_eq!(harness.started(), [0, 1, 2, 4, 5, 3]);
}

/// Feeds `calls` saturated calls to a limit of 64 slots and returns the limit after each.
///
/// The first 256 calls take 10 ms. After that, `latency` gives the milliseconds per call for the
/// current limit.
fn limit_history(adaptive: bool, latency: fn(f64) -> f64, calls: u32) -> Vec<u32> {
    let mut limit = ConcurrencyLimit::new(64, adaptive);
    let mut now = Time::ZERO;
    let mut seen = Vec::new();
    for call in 0..calls {
        let healthy = call < 256;
        let ms = match healthy {
            true => 10.0,
            false => latency(f64::from(limit.current())),
        };
        let latency = Duration::from_secs_f64(ms / 1e3);
        now = now.plus(latency / limit.current());
        limit.observe(latency, true, now);
        seen.push(limit.current());
    }
    seen
}

#[test]
fn the_limit_shrinks_under_overload_but_not_for_a_slow_target() {
    struct Case {
        name: &'static str,
        adaptive: bool,
        latency: fn(f64) -> f64,
        want: std::ops::RangeInclusive<u32>,
    }
    // The overloaded target has an effective capacity of 16 concurrent calls; the slow one takes
    // 50 ms per call at any concurrency.
    let cases = [
        Case {
            name: "overloaded",
            adaptive: true,
            latency: |n| 10.0 * (n / 16.0).max(1.0),
            want: 12..=36,
        },
        Case {
            name: "overloaded, fixed limit",
            adaptive: false,
            latency: |n| 10.0 * (n / 16.0).max(1.0),
            want: 64..=64,
        },
        Case {
            name: "constantly slow",
            adaptive: true,
            latency: |_| 50.0,
            want: 64..=64,
        },
    ];
    for case in cases {
        let seen = limit_history(case.adaptive, case.latency, 8_000);
        let last = &seen[6_000..];
        let (low, high) = (last.iter().min().unwrap(), last.iter().max().unwrap());
        assert!(
            case.want.contains(low) && case.want.contains(high),
            "{}: {low} to {high}",
            case.name
        );
        assert!(seen.iter().all(|l| (8..=64).contains(l)), "{}", case.name);
    }
}
