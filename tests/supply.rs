//! How long a node relies on others that read the store for it, without a network.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::coordination::supply;
use dragonflylead::coordination::supply::MAX_SUPPLY_AGE;
use dragonflylead::coordination::supply::Supply;

struct Case {
    name: &'static str,
    /// Time for which the reader held its reply, and the age that it then stated.
    held: Duration,
    age: Duration,
    /// Time after the question until which the node relies on the reader.
    relies_for: Duration,
}

const CASES: &[Case] = &[
    Case {
        name: "just read",
        held: Duration::ZERO,
        age: Duration::ZERO,
        relies_for: MAX_SUPPLY_AGE,
    },
    Case {
        name: "read before the question",
        held: Duration::ZERO,
        age: Duration::from_millis(900),
        relies_for: Duration::from_millis(500),
    },
    Case {
        name: "read while the reply was held",
        held: Duration::from_millis(500),
        age: Duration::from_millis(100),
        relies_for: Duration::from_millis(1_800),
    },
    Case {
        name: "read too long ago",
        held: Duration::from_millis(500),
        age: Duration::from_millis(2_500),
        relies_for: Duration::ZERO,
    },
];

#[test]
fn a_node_relies_on_a_reader_from_the_last_answer_of_the_store() {
    let asked = Time::from_millis(10_000);
    for case in CASES {
        let mut supply = Supply::default();
        supply.record(supply::answered_at(asked, case.held, case.age));
        assert_eq!(
            supply.remaining(asked),
            case.relies_for,
            "a list that was {}",
            case.name
        );
    }
}

#[test]
fn an_older_statement_does_not_shorten_the_supply() {
    let now = Time::from_millis(10_000);
    let mut supply = Supply::default();
    assert!(supply.record(now));
    assert!(!supply.record(Time::from_millis(9_000)));
    assert!(supply.is_valid(now.plus(MAX_SUPPLY_AGE - Duration::from_millis(1))));
    assert!(!supply.is_valid(now.plus(MAX_SUPPLY_AGE)));
    assert_eq!(supply.end(), Some(now));
    assert!(!supply.is_valid(now));
}
