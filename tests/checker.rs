//! The history checker rejects histories that break a promise, each for its own reason.

#[path = "history/checker.rs"]
mod checker;

use std::time::Duration;

use checker::Answer;
use checker::Bounds;
use checker::CallId;
use checker::Event;
use checker::Life;
use checker::Violation;
use checker::What;
use checker::check;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::UnknownKind;

const BOUNDS: Bounds = Bounds {
    spare_attempts: 2,
    drain: Duration::from_millis(3),
    preempt: Duration::from_millis(2),
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

fn life(instance: &str) -> Life {
    Life {
        instance: instance.to_owned(),
        incarnation: 1,
    }
}

fn charge() -> What {
    What::Sent {
        call: CHARGE,
        priority: Priority::Critical,
        idempotent: false,
    }
}

fn lookup(call: CallId) -> What {
    What::Sent {
        call,
        priority: Priority::Low,
        idempotent: true,
    }
}

fn started(run: u64, call: CallId) -> What {
    let at = life("a");
    What::Started { run, call, at }
}

fn stalled(since: u64) -> What {
    let since = Duration::from_millis(since);
    What::Stalled { since }
}

fn finished(run: u64) -> What {
    let body = run * 100;
    What::Finished { run, body }
}

fn told(call: CallId, answer: Answer) -> What {
    let by = Some("a".to_owned());
    What::Told { call, answer, by }
}

/// A history and the promises that it breaks.
struct Case {
    name: &'static str,
    events: Vec<What>,
    broken: Vec<Violation>,
}

fn cases() -> Vec<Case> {
    use Answer::Completed;
    use Answer::NotRun;
    use Answer::Unknown;
    let overloaded = NotRun(NotRunKind::Overloaded);
    let lost = Unknown(UnknownKind::ConnectionLost);
    vec![
        Case {
            name: "a charge and a retried lookup with a sub-call",
            events: vec![
                charge(),
                lookup(LOOKUP),
                started(1, CHARGE),
                started(2, LOOKUP),
                lookup(SUB_CALL),
                started(3, SUB_CALL),
                started(4, SUB_CALL),
                finished(4),
                told(SUB_CALL, Completed(400)),
                finished(2),
                finished(1),
                told(LOOKUP, Completed(200)),
                told(CHARGE, Completed(100)),
            ],
            broken: vec![],
        },
        Case {
            name: "attempts within the budget, one refused by a target",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                What::Refused { call: LOOKUP },
                started(2, LOOKUP),
                told(LOOKUP, lost),
            ],
            broken: vec![],
        },
        Case {
            name: "one attempt too many, spread over the chain",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                started(2, LOOKUP),
                lookup(SUB_CALL),
                started(3, SUB_CALL),
                What::Refused { call: SUB_CALL },
                started(4, SUB_CALL),
                told(SUB_CALL, lost),
                told(LOOKUP, lost),
            ],
            broken: vec![Violation::TooManyAttempts {
                request: 2,
                extra: 3,
            }],
        },
        Case {
            name: "a caller that sends again pays for its own attempts only",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                lookup(LOOKUP),
                started(2, LOOKUP),
                lookup(LOOKUP),
                started(3, LOOKUP),
                finished(3),
                told(LOOKUP, Completed(300)),
            ],
            broken: vec![],
        },
        Case {
            name: "a charge that runs for each time it is sent",
            events: vec![
                charge(),
                started(1, CHARGE),
                charge(),
                started(2, CHARGE),
                finished(2),
                told(CHARGE, Completed(200)),
            ],
            broken: vec![Violation::RanTwice {
                call: CHARGE,
                runs: 2,
            }],
        },
        Case {
            name: "not run, although it ran before",
            events: vec![charge(), started(1, CHARGE), told(CHARGE, overloaded)],
            broken: vec![Violation::RanAlthoughNotRun { call: CHARGE }],
        },
        Case {
            name: "not run, although a delayed copy ran later",
            events: vec![charge(), told(CHARGE, overloaded), started(1, CHARGE)],
            broken: vec![Violation::RanAlthoughNotRun { call: CHARGE }],
        },
        Case {
            name: "not run, sent again, run",
            events: vec![
                charge(),
                told(CHARGE, overloaded),
                charge(),
                started(1, CHARGE),
                finished(1),
                told(CHARGE, Completed(100)),
            ],
            broken: vec![],
        },
        Case {
            name: "an answer that no target produced",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                finished(1),
                told(LOOKUP, Completed(101)),
            ],
            broken: vec![Violation::AnswerNotProduced { call: LOOKUP }],
        },
        Case {
            name: "the answer to another request",
            events: vec![
                charge(),
                lookup(LOOKUP),
                started(1, CHARGE),
                started(2, LOOKUP),
                finished(1),
                finished(2),
                told(LOOKUP, Completed(100)),
                told(CHARGE, Completed(100)),
            ],
            broken: vec![Violation::AnswerNotProduced { call: LOOKUP }],
        },
        Case {
            name: "an answer before it was produced",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                told(LOOKUP, Completed(100)),
                finished(1),
            ],
            broken: vec![Violation::AnswerNotProduced { call: LOOKUP }],
        },
        Case {
            name: "the last start that a leaving instance may make, and one after it",
            events: vec![
                lookup(LOOKUP),
                lookup(SUB_CALL),
                What::Draining { at: life("a") },
                What::Draining { at: life("a") },
                told(LOOKUP, lost),
                started(1, LOOKUP),
                started(2, SUB_CALL),
            ],
            broken: vec![Violation::StartedWhileLeaving {
                run: 2,
                at: life("a"),
            }],
        },
        Case {
            name: "a charge dropped while a lookup runs on",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                charge(),
                told(CHARGE, overloaded),
                finished(1),
                told(LOOKUP, Completed(100)),
            ],
            broken: vec![Violation::DroppedBeforeLookup {
                call: CHARGE,
                lookup: LOOKUP,
            }],
        },
        Case {
            name: "a charge dropped beside a lookup, after a stall too early to matter",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                charge(),
                stalled(2),
                lookup(SUB_CALL),
                started(2, SUB_CALL),
                told(CHARGE, overloaded),
                finished(1),
                told(LOOKUP, Completed(100)),
            ],
            broken: vec![Violation::DroppedBeforeLookup {
                call: CHARGE,
                lookup: LOOKUP,
            }],
        },
        Case {
            name: "a charge dropped beside a lookup while the process stalled",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                charge(),
                stalled(2),
                told(CHARGE, overloaded),
                finished(1),
                told(LOOKUP, Completed(100)),
            ],
            broken: vec![],
        },
        Case {
            name: "a charge dropped although the lookup was preempted for another",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                charge(),
                told(LOOKUP, Unknown(UnknownKind::Preempted)),
                told(CHARGE, overloaded),
                finished(1),
            ],
            broken: vec![],
        },
        Case {
            name: "a charge refused by a leaving instance beside a lookup",
            events: vec![
                lookup(LOOKUP),
                started(1, LOOKUP),
                charge(),
                told(CHARGE, NotRun(NotRunKind::Draining)),
                finished(1),
                told(LOOKUP, Completed(100)),
            ],
            broken: vec![],
        },
        Case {
            name: "a run of a call that nobody sent",
            events: vec![started(1, LOOKUP)],
            broken: vec![Violation::Malformed {
                reason: "a call that was not sent",
            }],
        },
        Case {
            name: "an end without a start",
            events: vec![finished(1)],
            broken: vec![Violation::Malformed {
                reason: "a run finished that was not running",
            }],
        },
        Case {
            name: "a run that starts twice",
            events: vec![lookup(LOOKUP), started(1, LOOKUP), started(1, LOOKUP)],
            broken: vec![Violation::Malformed {
                reason: "a run started twice",
            }],
        },
    ]
}

#[test]
fn histories_are_judged_by_the_promises() {
    for case in cases() {
        let timed = case.events.into_iter().enumerate().map(|(i, what)| Event {
            time: Duration::from_millis(i as u64),
            what,
        });
        let events: Vec<Event> = timed.collect();
        assert_eq!(check(&events, &BOUNDS), case.broken, "{}", case.name);
    }
}

#[test]
fn call_ids_are_read_back_from_text() {
    assert_eq!(SUB_CALL.to_string().parse(), Ok(SUB_CALL));
    assert!("7".parse::<CallId>().is_err());
}
