//! Requests that arrive while targets and nodes have just been restarted.

use std::time::Duration;

use dragonflylead::coordination::hold;
use dragonflylead::error::NotRunKind;
use dragonflylead::instance::InstanceName;
use tokio::time::sleep;

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;

/// Time after which the list shows a restarted target.
const LIST_DELAY: Duration = Duration::from_millis(250);

/// All targets of a service have restarted as other instances, as after a loss of power, and the
/// list shows them a moment later. Requests that can still be answered in time must not be refused.
#[tokio::test]
async fn requests_wait_until_the_list_shows_restarted_targets() {
    let fleet = RelayFleet::start(44, &["a", "a", "b"]).await;
    for member in &fleet.members[..2] {
        member.target.rename(&format!("{}-restarted", member.name));
    }
    // The first request at each target finds out.
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    caller.call("GET", "/a/x", "first", b"").await;
    let listed = async {
        sleep(LIST_DELAY).await;
        fleet.store.change(|targets| {
            for target in targets.iter_mut().take(2) {
                let name = format!("{}-restarted", target.instance.name);
                target.instance.name = InstanceName::new(&name);
                target.start_time_ms += 1;
            }
        });
    };
    let called = async {
        let mut statuses = Vec::new();
        for at in 0..3 {
            let mut caller = Caller::connect(fleet.members[at].outbound).await;
            let response = caller.call("POST", "/a-once/x", &at.to_string(), b"").await;
            statuses.push(response.status);
        }
        statuses
    };
    let ((), statuses) = tokio::join!(listed, called);
    assert_eq!(statuses, [200, 200, 200]);
}

/// A refusal, how long the request has been held, and whether it is held on.
struct HoldCase {
    kind: NotRunKind,
    held_ms: u64,
    is_held: bool,
}

#[test]
fn only_requests_without_an_available_instance_are_held() {
    let cases = [
        HoldCase {
            kind: NotRunKind::TargetUnreachable,
            held_ms: 0,
            is_held: true,
        },
        HoldCase {
            kind: NotRunKind::NoInstance,
            held_ms: 300,
            is_held: true,
        },
        HoldCase {
            kind: NotRunKind::NotReady,
            held_ms: 450,
            is_held: false,
        },
        HoldCase {
            kind: NotRunKind::Overloaded,
            held_ms: 0,
            is_held: false,
        },
        HoldCase {
            kind: NotRunKind::TargetRefused,
            held_ms: 0,
            is_held: false,
        },
    ];
    let objective = Duration::from_secs(1);
    for case in cases {
        let held_for = Duration::from_millis(case.held_ms);
        let is_held = hold::may_hold(case.kind, held_for, objective);
        assert_eq!(is_held, case.is_held, "{} after {held_for:?}", case.kind);
    }
}
