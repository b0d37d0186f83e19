//! Admission at an instance: order, bounds, preemption, exclusive calls, the adaptive limit.

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

use crate::support::Bench;
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
        wait: Duration,
        want: [u64; 4],
    }
    let full = AdmissionConfig::full(1);
    let cases = [
        Case {
            name: "priority, then age",
            cfg: full,
            wait: MS,
            want: [0, 3, 1, 2],
        },
        Case {
            name: "newest first under standing overload",
            cfg: full,
            wait: STANDING_QUEUE_TIME,
            want: [0, 3, 2, 1],
        },
        Case {
            name: "sojourn control off",
            cfg: AdmissionConfig {
                sojourn_control: false,
                ..full
            },
            wait: STANDING_QUEUE_TIME,
            want: [0, 3, 1, 2],
        },
        Case {
            name: "priority order off",
            cfg: AdmissionConfig {
                priority_order: false,
                ..full
            },
            wait: MS,
            want: [0, 1, 2, 3],
        },
    ];
    for case in cases {
        let mut bench = Bench::new(case.cfg);
        bench.offer([lookup(0), lookup(1), lookup(2), charge(3)]);
        bench.pass(case.wait);
        for done in 0..4 {
            let running = bench.started()[done];
            bench.finish(running, RunResult::Failed);
        }
        assert_eq!(bench.started(), case.want, "{}", case.name);
    }
}

#[test]
fn the_least_important_call_leaves_a_full_instance() {
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
            name: "a waiting lookup leaves for a charge",
            preemption: true,
            running: lookup(0),
            waiting: lookup(1),
            offered: charge(2),
            want: Drop(Ticket(1), Overloaded),
        },
        Case {
            name: "a running lookup leaves for a charge when only charges wait",
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
            name: "nothing is preempted for an idempotent call",
            preemption: true,
            running: lookup(0),
            waiting: normal(1),
            offered: normal(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "equal priority is not preempted",
            preemption: true,
            running: normal(0),
            waiting: job(1, Priority::Normal, false),
            offered: job(2, Priority::Normal, false),
            want: Drop(Ticket(2), Overloaded),
        },
    ];
    for case in cases {
        let mut bench = Bench::new(AdmissionConfig {
            queue_capacity: 1,
            preemption: case.preemption,
            ..AdmissionConfig::full(1)
        });
        bench.offer([case.running, case.waiting, case.offered]);
        assert_eq!(bench.effects[1..], [case.want], "{}", case.name);
        bench.offer([]);
        if case.want == Preempt(Ticket(0)) {
            bench.finish(0, RunResult::Cancelled);
            bench.finish(1, RunResult::Ok);
            assert_eq!(bench.started(), [0, 1, 2], "both charges keep their places");
        }
    }
}

#[test]
fn a_charge_starts_before_its_deadline_on_an_instance_full_of_lookups() {
    for preemption in [true, false] {
        let mut bench = Bench::new(AdmissionConfig {
            preemption,
            ..AdmissionConfig::full(1)
        });
        let mut urgent = charge(1);
        urgent.deadline = bench.now.plus(200 * MS);
        bench.offer([lookup(0), urgent]);
        for _ in 0..25 {
            bench.pass(10 * MS);
            if bench.effects.last() == Some(&Effect::Preempt(Ticket(0))) {
                bench.finish(0, RunResult::Cancelled);
            }
        }
        let want = match preemption {
            true => Effect::Start(Ticket(1)),
            false => Effect::Drop(Ticket(1), NotRunKind::DeadlineInQueue),
        };
        assert_eq!(bench.effects.last(), Some(&want));
    }
}

#[test]
fn calls_that_cannot_meet_their_deadline_are_dropped_before_they_run() {
    for sojourn_control in [true, false] {
        let mut bench = Bench::new(AdmissionConfig {
            sojourn_control,
            ..AdmissionConfig::full(1)
        });
        bench.offer([lookup(0)]);
        bench.pass(100 * MS);
        bench.finish(0, RunResult::Ok);
        let mut late = lookup(2);
        late.deadline = bench.now.plus(STANDING_QUEUE_TIME + 50 * MS);
        bench.offer([lookup(1), late, lookup(3)]);
        bench.pass(STANDING_QUEUE_TIME);
        let dropped = Effect::Drop(Ticket(2), NotRunKind::DeadlineInQueue);
        assert_eq!(bench.effects.contains(&dropped), sojourn_control);
    }
}

#[test]
fn an_exclusive_call_runs_alone_and_others_get_their_turn() {
    let alone = |t| Job {
        exclusive: true,
        ..lookup(t)
    };
    let mut bench = Bench::new(AdmissionConfig::full(4));
    bench.offer([lookup(0), lookup(1), alone(2), alone(3), lookup(4)]);
    assert_eq!(bench.started(), [0, 1]);
    bench.finish(0, RunResult::Ok);
    assert_eq!(bench.started(), [0, 1]);
    bench.finish(1, RunResult::Ok);
    assert_eq!(bench.started(), [0, 1, 2]);
    bench.offer([lookup(5)]);
    bench.pass(20 * MS);
    bench.finish(2, RunResult::Ok);
    assert_eq!(
        bench.started(),
        [0, 1, 2, 4, 5],
        "the second waits its turn"
    );
    bench.finish(4, RunResult::Ok);
    bench.finish(5, RunResult::Ok);
    assert_eq!(bench.started(), [0, 1, 2, 4, 5, 3]);
}

/// Runs `windows` of saturated calls against a target and returns the limit in each.
fn limits(adaptive: bool, latency: fn(f64) -> f64, calls: u32) -> Vec<u32> {
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
fn the_limit_follows_overload_and_not_slowness() {
    struct Case {
        name: &'static str,
        adaptive: bool,
        latency: fn(f64) -> f64,
        want: std::ops::RangeInclusive<u32>,
    }
    // A target of 16 effective slots queues the rest, a slow one takes 50 ms for each call.
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
            name: "steadily slow",
            adaptive: true,
            latency: |_| 50.0,
            want: 64..=64,
        },
    ];
    for case in cases {
        let seen = limits(case.adaptive, case.latency, 8_000);
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
