//! Decisions of a stopping node.

use std::time::Duration;

use dragonflylead::coordination::shutdown::ShutdownPlan;

/// A request that arrives at a stopping node.
struct Case {
    name: &'static str,
    grace_ms: u64,
    elapsed_ms: u64,
    time_limit_ms: u64,
    taken: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "early, with a long limit",
        grace_ms: 6_000,
        elapsed_ms: 2_500,
        time_limit_ms: 6_000,
        taken: true,
    },
    Case {
        name: "late, and may outlast the node",
        grace_ms: 6_000,
        elapsed_ms: 3_200,
        time_limit_ms: 5_000,
        taken: false,
    },
    Case {
        name: "late, and ends with the last wait",
        grace_ms: 6_000,
        elapsed_ms: 3_200,
        time_limit_ms: 2_200,
        taken: true,
    },
    Case {
        name: "late, and ends just after the last wait",
        grace_ms: 6_000,
        elapsed_ms: 3_200,
        time_limit_ms: 2_201,
        taken: false,
    },
    Case {
        name: "the same with a longer grace period",
        grace_ms: 10_000,
        elapsed_ms: 3_200,
        time_limit_ms: 5_000,
        taken: true,
    },
    Case {
        name: "no grace period",
        grace_ms: 0,
        elapsed_ms: 2_600,
        time_limit_ms: 1,
        taken: false,
    },
];

/// Guards against requests that are passed on although the node exits before they can end.
#[test]
fn late_requests_are_taken_only_if_they_end_before_the_exit() {
    for case in CASES {
        let plan = ShutdownPlan::new(Duration::from_millis(case.grace_ms));
        let elapsed = Duration::from_millis(case.elapsed_ms);
        let time_limit = Duration::from_millis(case.time_limit_ms);
        assert_eq!(
            plan.may_take(elapsed, time_limit),
            case.taken,
            "{}",
            case.name
        );
    }
}
