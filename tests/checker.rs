//! Tests that the history checker finds the violated promise in each invalid history and accepts
//! valid ones.

#[path = "history/checker.rs"]
mod checker;

use std::time::Duration;

use checker::Bounds;
use checker::CallId;
use checker::CallOutcome;
use checker::Event;
use checker::EventKind;
use checker::InstanceIncarnation;
use checker::Violation;
use checker::check;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::UnknownKind;

/// Events of a case are one millisecond apart.
const BOUNDS: Bounds = Bounds {
    spare_attempts: 2,
    max_start_after_drain: Duration::from_millis(3),
    preemption_window: Duration::from_millis(2),
};

const CHARGE: CallId = CallId {
    request: 1,
    number: 0,
};
const LOOKUP: CallId = CallId {
    request: 2,
    number: 0,
};
const SUB_CALL: CallId = CallId {
    request: 2,
    number: 7,
};

/// Returns the first incarnation of an instance.
fn incarnation_of(instance: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: instance.to_owned(),
        incarnation: 1,
    }
}

/// Event: the charge is sent.
fn send_charge() -> EventKind {
    EventKind::Sent {
        call: CHARGE,
        priority: Priority::Critical,
        idempotent: false,
    }
}

/// Event: a lookup is sent.
fn send_lookup(call: CallId) -> EventKind {
    EventKind::Sent {
        call,
        priority: Priority::Low,
        idempotent: true,
    }
}

/// Event: instance `a` starts a run.
fn started(run: u64, call: CallId) -> EventKind {
    let at = incarnation_of("a");
    EventKind::Started { run, call, at }
}

/// Event: the process stalled since `since`, in milliseconds.
fn stalled(since: u64) -> EventKind {
    let since = Duration::from_millis(since);
    EventKind::Stalled { since }
}

/// Event: a run ends with a response whose hash is 100 times its number.
fn finished(run: u64) -> EventKind {
    let body_hash = run * 100;
    EventKind::Finished { run, body_hash }
}

/// Event: instance `a` reports the outcome of a call.
fn reported(call: CallId, outcome: CallOutcome) -> EventKind {
    let reported_by = Some("a".to_owned());
    EventKind::OutcomeReported {
        call,
        outcome,
        reported_by,
    }
}

/// A history and the violations that the checker must find in it.
struct Case {
    name: &'static str,
    events: Vec<EventKind>,
    violations: Vec<Violation>,
}

fn cases() -> Vec<Case> {
    use CallOutcome::Completed;
    use CallOutcome::NotRun;
    use CallOutcome::Unknown;
    let overloaded = NotRun(NotRunKind::Overloaded);
    let lost = Unknown(UnknownKind::ConnectionLost);
    vec![
        Case {
            name: "a charge and a retried lookup with a sub-call",
            events: vec![
                send_charge(),
                send_lookup(LOOKUP),
                started(1, CHARGE),
                started(2, LOOKUP),
                send_lookup(SUB_CALL),
                started(3, SUB_CALL),
                started(4, SUB_CALL),
                finished(4),
                reported(SUB_CALL, Completed(400)),
                finished(2),
                finished(1),
                reported(LOOKUP, Completed(200)),
                reported(CHARGE, Completed(100)),
            ],
            violations: vec![],
        },
        Case {
            name: "attempts within the budget, one refused by a target",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                EventKind::Refused { call: LOOKUP },
                started(2, LOOKUP),
                reported(LOOKUP, lost),
            ],
            violations: vec![],
        },
        Case {
            name: "one attempt more than the budget, spread over the call chain",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                started(2, LOOKUP),
                send_lookup(SUB_CALL),
                started(3, SUB_CALL),
                EventKind::Refused { call: SUB_CALL },
                started(4, SUB_CALL),
                reported(SUB_CALL, lost),
                reported(LOOKUP, lost),
            ],
            violations: vec![Violation::TooManyAttempts {
                request: 2,
                extra: 3,
            }],
        },
        Case {
            name: "resends by the caller do not count as extra attempts",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                send_lookup(LOOKUP),
                started(2, LOOKUP),
                send_lookup(LOOKUP),
                started(3, LOOKUP),
                finished(3),
                reported(LOOKUP, Completed(300)),
            ],
            violations: vec![],
        },
        Case {
            name: "a charge that runs once for each time it is sent",
            events: vec![
                send_charge(),
                started(1, CHARGE),
                send_charge(),
                started(2, CHARGE),
                finished(2),
                reported(CHARGE, Completed(200)),
            ],
            violations: vec![Violation::RanTwice {
                call: CHARGE,
                runs: 2,
            }],
        },
        Case {
            name: "reported as not run although it ran before",
            events: vec![
                send_charge(),
                started(1, CHARGE),
                reported(CHARGE, overloaded),
            ],
            violations: vec![Violation::RanAlthoughNotRun { call: CHARGE }],
        },
        Case {
            name: "reported as not run although a delayed copy ran later",
            events: vec![
                send_charge(),
                reported(CHARGE, overloaded),
                started(1, CHARGE),
            ],
            violations: vec![Violation::RanAlthoughNotRun { call: CHARGE }],
        },
        Case {
            name: "reported as not run, sent again and run",
            events: vec![
                send_charge(),
                reported(CHARGE, overloaded),
                send_charge(),
                started(1, CHARGE),
                finished(1),
                reported(CHARGE, Completed(100)),
            ],
            violations: vec![],
        },
        Case {
            name: "a response that no target produced",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                finished(1),
                reported(LOOKUP, Completed(101)),
            ],
            violations: vec![Violation::ResponseNotProduced { call: LOOKUP }],
        },
        Case {
            name: "the response to another request",
            events: vec![
                send_charge(),
                send_lookup(LOOKUP),
                started(1, CHARGE),
                started(2, LOOKUP),
                finished(1),
                finished(2),
                reported(LOOKUP, Completed(100)),
                reported(CHARGE, Completed(100)),
            ],
            violations: vec![Violation::ResponseNotProduced { call: LOOKUP }],
        },
        Case {
            name: "a response reported before it was produced",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                reported(LOOKUP, Completed(100)),
                finished(1),
            ],
            violations: vec![Violation::ResponseNotProduced { call: LOOKUP }],
        },
        Case {
            name: "a draining instance starts one run at the last permitted time and one after it",
            events: vec![
                send_lookup(LOOKUP),
                send_lookup(SUB_CALL),
                EventKind::Draining {
                    at: incarnation_of("a"),
                },
                EventKind::Draining {
                    at: incarnation_of("a"),
                },
                reported(LOOKUP, lost),
                started(1, LOOKUP),
                started(2, SUB_CALL),
            ],
            violations: vec![Violation::StartedWhileDraining {
                run: 2,
                at: incarnation_of("a"),
            }],
        },
        Case {
            name: "a charge dropped while a lookup runs to its end",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                send_charge(),
                reported(CHARGE, overloaded),
                finished(1),
                reported(LOOKUP, Completed(100)),
            ],
            violations: vec![Violation::DroppedBeforeLookup {
                call: CHARGE,
                lookup: LOOKUP,
            }],
        },
        Case {
            name: "a charge dropped while a lookup runs, after a stall that ended too early",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                send_charge(),
                stalled(2),
                send_lookup(SUB_CALL),
                started(2, SUB_CALL),
                reported(CHARGE, overloaded),
                finished(1),
                reported(LOOKUP, Completed(100)),
            ],
            violations: vec![Violation::DroppedBeforeLookup {
                call: CHARGE,
                lookup: LOOKUP,
            }],
        },
        Case {
            name: "a charge dropped while a lookup runs and the process stalls",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                send_charge(),
                stalled(2),
                reported(CHARGE, overloaded),
                finished(1),
                reported(LOOKUP, Completed(100)),
            ],
            violations: vec![],
        },
        Case {
            name: "a charge dropped although the lookup was preempted for another",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                send_charge(),
                reported(LOOKUP, Unknown(UnknownKind::Preempted)),
                reported(CHARGE, overloaded),
                finished(1),
            ],
            violations: vec![],
        },
        Case {
            name: "a charge refused by a draining instance while a lookup runs",
            events: vec![
                send_lookup(LOOKUP),
                started(1, LOOKUP),
                send_charge(),
                reported(CHARGE, NotRun(NotRunKind::Draining)),
                finished(1),
                reported(LOOKUP, Completed(100)),
            ],
            violations: vec![],
        },
        Case {
            name: "a run of a call that was never sent",
            events: vec![started(1, LOOKUP)],
            violations: vec![Violation::Malformed {
                reason: "an event refers to a call that was not sent",
            }],
        },
        Case {
            name: "a run that finishes without a start",
            events: vec![finished(1)],
            violations: vec![Violation::Malformed {
                reason: "a run finished that was not running",
            }],
        },
        Case {
            name: "a run that starts twice",
            events: vec![send_lookup(LOOKUP), started(1, LOOKUP), started(1, LOOKUP)],
            violations: vec![Violation::Malformed {
                reason: "a run started twice",
            }],
        },
    ]
}

#[test]
fn each_history_has_the_expected_violations() {
    for case in cases() {
        let timed = case.events.into_iter().enumerate().map(|(i, kind)| Event {
            time: Duration::from_millis(i as u64),
            kind,
        });
        let events: Vec<Event> = timed.collect();
        assert_eq!(check(&events, &BOUNDS), case.violations, "{}", case.name);
    }
}

#[test]
fn call_ids_round_trip_through_text() {
    assert_eq!(SUB_CALL.to_string().parse(), Ok(SUB_CALL));
    assert!("7".parse::<CallId>().is_err());
}
