//! Joins of duplicate lookups: same id and same request, leaders that leave, bounded memory.

use dragonflylead::Fingerprint;
use dragonflylead::RequestId;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::join::Join;
use dragonflylead::coordination::join::Joins;
use dragonflylead::coordination::join::Leave;
use dragonflylead::coordination::join::MAX_CALLS_PER_RUN;
use dragonflylead::coordination::join::MAX_RUNS;
use dragonflylead::coordination::join::RunKey;

const FIRST: Ticket = Ticket(1);
const SECOND: Ticket = Ticket(2);
const THIRD: Ticket = Ticket(3);

fn key(request: u128, body: u8) -> RunKey {
    RunKey {
        request: RequestId(request),
        fingerprint: Fingerprint([body; 16]),
    }
}

#[test]
fn only_the_same_request_is_joined() {
    struct Case {
        name: &'static str,
        key: RunKey,
        want: Join,
    }
    let cases = [
        Case {
            name: "same",
            key: key(1, 1),
            want: Join::Follow(FIRST),
        },
        Case {
            name: "same id, other body",
            key: key(1, 2),
            want: Join::Lead,
        },
        Case {
            name: "same body, other id",
            key: key(2, 1),
            want: Join::Lead,
        },
    ];
    for case in cases {
        let mut joins = Joins::new();
        assert_eq!(joins.join(key(1, 1), FIRST), Join::Lead);
        assert_eq!(joins.join(case.key, SECOND), case.want, "{}", case.name);
    }
}

#[test]
fn a_run_goes_on_while_someone_waits() {
    struct Case {
        name: &'static str,
        leave: &'static [(Ticket, Leave)],
        finished: &'static [Ticket],
    }
    let cases = [
        Case {
            name: "all wait",
            leave: &[],
            finished: &[FIRST, SECOND],
        },
        Case {
            name: "the leader's caller left",
            leave: &[(FIRST, Leave::Awaited)],
            finished: &[SECOND],
        },
        Case {
            name: "left twice",
            leave: &[(FIRST, Leave::Awaited), (FIRST, Leave::Absent)],
            finished: &[SECOND],
        },
        Case {
            name: "a stranger left",
            leave: &[(THIRD, Leave::Absent)],
            finished: &[FIRST, SECOND],
        },
        Case {
            name: "all left",
            leave: &[(FIRST, Leave::Awaited), (SECOND, Leave::Abandoned(FIRST))],
            finished: &[],
        },
    ];
    for case in cases {
        let mut joins = Joins::new();
        joins.join(key(1, 1), FIRST);
        joins.join(key(1, 1), SECOND);
        for (call, want) in case.leave {
            assert_eq!(joins.leave(key(1, 1), *call), *want, "{}", case.name);
        }
        assert_eq!(joins.finish(key(1, 1), SECOND), [], "{}", case.name);
        let finished = joins.finish(key(1, 1), FIRST);
        assert_eq!(finished, case.finished, "{}", case.name);
        assert!(joins.is_empty());
        assert_eq!(joins.join(key(1, 1), THIRD), Join::Lead, "{}", case.name);
    }
}

#[test]
fn joins_are_bounded() {
    let mut joins = Joins::new();
    let all: Vec<Join> = (0..=MAX_CALLS_PER_RUN as u64)
        .map(|n| joins.join(key(0, 1), Ticket(n)))
        .collect();
    assert_eq!(all[0], Join::Lead);
    assert_eq!(all[MAX_CALLS_PER_RUN - 1], Join::Follow(Ticket(0)));
    assert_eq!(all[MAX_CALLS_PER_RUN], Join::Alone);
    for n in 1..MAX_RUNS as u128 {
        assert_eq!(joins.join(key(n, 1), FIRST), Join::Lead);
    }
    assert_eq!(joins.join(key(MAX_RUNS as u128, 1), FIRST), Join::Alone);
    assert_eq!(joins.join(key(1, 1), SECOND), Join::Follow(FIRST));
    assert_eq!(joins.len(), MAX_RUNS);
}
