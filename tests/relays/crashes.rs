//! Requests that crash the targets that run them, and broken connections that are no crash.

use std::time::Duration;

use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;
use tokio::time::sleep;

use crate::support::plain_target::PlainTarget;
use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;

/// Time in which a crash would be detected.
const DETECTION_TIME: Duration = Duration::from_millis(500);

/// Returns the number of requests that a node suspects of crashing targets.
fn suspects(fleet: &RelayFleet, at: usize) -> usize {
    let relay = fleet.members[at].node.relay();
    relay.coordination().suspects.len()
}

fn quarantined(fleet: &RelayFleet, at: usize) -> usize {
    let relay = fleet.members[at].node.relay();
    relay.coordination().suspects.quarantined().len()
}

/// Guards against a request that crashes one target after the other because no other request shows
/// that the crashed ones refuse connections.
#[tokio::test]
async fn a_request_that_crashes_targets_is_recognised_without_other_traffic() {
    let mut fleet = RelayFleet::start(60, &["a", "b", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    let response = caller.call("GET", "/b/crash", "1", b"").await;
    assert_eq!(response.status, 502);
    assert_eq!(fleet.count("1"), 2, "the route allows two attempts");
    fleet
        .wait_until(|fleet| (0..3).all(|at| quarantined(fleet, at) == 1))
        .await;
    for at in [1, 2] {
        let name = format!("b-{at}-again");
        let address = fleet.members[at].target.address;
        fleet.members[at].target = PlainTarget::start_again(address, &name).await;
        fleet
            .store
            .change(|targets| targets[at].instance.name = InstanceName::new(&name));
    }
    fleet
        .wait_until(|fleet| {
            let mut members = fleet.members.iter().skip(1);
            members.all(|member| {
                let local = member.node.relay().local_target();
                local.is_some_and(|local| local.instance.name.as_str().ends_with("again"))
            })
        })
        .await;
    let response = caller.call("GET", "/b/crash", "2", b"").await;
    assert_eq!((response.status, fleet.count("2")), (503, 0));
    let response = caller.call("GET", "/b/x", "3", b"").await;
    assert_eq!(response.status, 200, "other requests must run");
}

struct Case {
    name: &'static str,
    path: &'static str,
    state: InstanceState,
}

/// Guards against suspicion of requests whose connections broke for another reason.
#[tokio::test]
async fn a_broken_connection_without_a_crash_raises_no_suspicion() {
    let cases = [
        Case {
            name: "connection closed by a target that lives",
            path: "/a-once/silent",
            state: InstanceState::Live,
        },
        Case {
            name: "target that leaves and exits",
            path: "/a-once/wait-1500/crash",
            state: InstanceState::Draining,
        },
    ];
    for (at, case) in cases.iter().enumerate() {
        let fleet = RelayFleet::start(61 + at as u8, &["a"]).await;
        let relay = fleet.members[0].node.relay();
        let mut caller = Caller::connect(fleet.members[0].outbound).await;
        let response = async { caller.call("POST", case.path, "1", b"").await.status };
        let state_change = async {
            fleet.wait_until(|fleet| fleet.count("1") == 1).await;
            fleet
                .store
                .change(|targets| targets[0].instance.state = case.state);
            let draining = case.state == InstanceState::Draining;
            fleet
                .wait_until(|_| relay.view().local_draining == draining)
                .await;
        };
        let (status, ()) = tokio::join!(response, state_change);
        assert_eq!(status, 502, "{}", case.name);
        sleep(DETECTION_TIME).await;
        assert_eq!(suspects(&fleet, 0), 0, "{}", case.name);
    }
}

/// Guards against requests that are held between attempts and reach more targets than their route
/// allows: one target refuses them, the other one has crashed.
#[tokio::test]
async fn attempts_before_a_request_is_held_count() {
    let fleet = RelayFleet::start(94, &["a", "b", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    // The retry budget grows with the requests.
    for number in 0..60 {
        let id = format!("before-{number}");
        assert_eq!(caller.call("GET", "/b/x", &id, b"").await.status, 200);
    }
    fleet.members[2].target.crash();
    for number in 0..8 {
        let before = fleet.members[1].target.refused();
        let response = caller
            .call("GET", "/b/full", &number.to_string(), b"")
            .await;
        assert_eq!(response.status, 503);
        let arrivals = fleet.members[1].target.refused() - before;
        assert!(arrivals <= 2, "request {number} arrived {arrivals} times");
    }
}
