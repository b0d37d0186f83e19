//! Guards against a second run of a non-idempotent request after a fault of its target. Faults of
//! the connections between nodes are covered by the soak.

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;

/// A fault of the target that runs a charge, while another target of its service is free.
struct Case {
    path: &'static str,
    status: u16,
    runs: usize,
}

const CASES: &[Case] = &[
    Case {
        path: "/a-once/silent",
        status: 502,
        runs: 1,
    },
    Case {
        path: "/a-once/cut",
        status: 502,
        runs: 1,
    },
    Case {
        path: "/a-once/garbage",
        status: 502,
        runs: 1,
    },
    Case {
        path: "/a-once/unsigned",
        status: 502,
        runs: 1,
    },
    Case {
        path: "/a-once/lying-503",
        status: 502,
        runs: 1,
    },
    Case {
        path: "/a-once/full",
        status: 503,
        runs: 0,
    },
];

#[tokio::test]
async fn a_charge_that_may_have_run_goes_to_no_other_target() {
    let fleet = RelayFleet::start(41, &["a", "a", "b"]).await;
    let mut caller = Caller::connect(fleet.members[2].outbound).await;
    for case in CASES {
        let response = caller.call("POST", case.path, case.path, b"body").await;
        let runs = fleet.count(case.path);
        assert_eq!(
            (response.status, runs),
            (case.status, case.runs),
            "{}",
            case.path
        );
    }
}
