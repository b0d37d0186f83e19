//! Attempts of other nodes: each runs once, out of order too, in bounded memory.

use dragonflylead::coordination::attempts::AttemptId;
use dragonflylead::coordination::attempts::MAX_ATTEMPTS_PER_SENDER;
use dragonflylead::coordination::attempts::MAX_SEEN_ATTEMPTS;
use dragonflylead::coordination::attempts::MAX_SENDERS;
use dragonflylead::coordination::attempts::SeenAttempts;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;

fn attempt(from: &str, incarnation: u64, number: u64) -> AttemptId {
    AttemptId {
        from: InstanceName::new(from),
        incarnation: Incarnation(incarnation),
        number,
    }
}

#[test]
fn an_attempt_is_new_once() {
    struct Case {
        name: &'static str,
        before: Vec<AttemptId>,
        attempt: AttemptId,
        new: bool,
    }
    let many = 10..10 + MAX_ATTEMPTS_PER_SENDER as u64 + 1;
    let cases = [
        Case {
            name: "first",
            before: vec![],
            attempt: attempt("a", 1, 0),
            new: true,
        },
        Case {
            name: "copy",
            before: vec![attempt("a", 1, 0)],
            attempt: attempt("a", 1, 0),
            new: false,
        },
        Case {
            name: "overtaken by a later one",
            before: vec![attempt("a", 1, 9)],
            attempt: attempt("a", 1, 3),
            new: true,
        },
        Case {
            name: "same number of another node",
            before: vec![attempt("a", 1, 3)],
            attempt: attempt("b", 1, 3),
            new: true,
        },
        Case {
            name: "same number of another incarnation",
            before: vec![attempt("a", 1, 3)],
            attempt: attempt("a", 2, 3),
            new: true,
        },
        Case {
            name: "copy of one that is no longer remembered singly",
            before: many.clone().map(|n| attempt("a", 1, n)).collect(),
            attempt: attempt("a", 1, 10),
            new: false,
        },
        Case {
            name: "older than all that are remembered",
            before: many.map(|n| attempt("a", 1, n)).collect(),
            attempt: attempt("a", 1, 2),
            new: false,
        },
    ];
    for case in cases {
        let mut seen = SeenAttempts::new();
        for before in &case.before {
            assert!(seen.record(before), "{}", case.name);
        }
        assert_eq!(seen.record(&case.attempt), case.new, "{}", case.name);
    }
}

#[test]
fn memory_is_bounded_and_copies_stay_refused() {
    let mut seen = SeenAttempts::new();
    let senders = MAX_SEEN_ATTEMPTS / MAX_ATTEMPTS_PER_SENDER + 10;
    for sender in 0..senders {
        for number in 0..MAX_ATTEMPTS_PER_SENDER as u64 {
            assert!(seen.record(&attempt(&sender.to_string(), 1, number)));
        }
    }
    assert!(seen.len() <= MAX_SEEN_ATTEMPTS);
    assert_eq!(seen.senders(), senders);
    for sender in 0..senders {
        for number in [0, MAX_ATTEMPTS_PER_SENDER as u64 - 1] {
            assert!(!seen.record(&attempt(&sender.to_string(), 1, number)));
        }
    }
    for sender in 0..2 * MAX_SENDERS {
        seen.record(&attempt(&format!("other-{sender}"), 1, 0));
    }
    assert_eq!(seen.senders(), MAX_SENDERS);
    assert!(seen.len() <= MAX_SEEN_ATTEMPTS);
}
