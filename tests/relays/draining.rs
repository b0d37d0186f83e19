//! Callers that disconnect, draining targets and nodes that stop.

use std::time::Duration;

use dragonflylead::instance::InstanceState;
use dragonflylead::relay::Phase;
use tokio::io::AsyncReadExt;

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::request;

/// Sends a request with the id `1` from a caller that disconnects once the request runs.
async fn disconnect_while_running(fleet: &RelayFleet, method: &str, path: &str) {
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    caller.send(&request(method, path, "1", b"")).await;
    fleet.wait_until(|fleet| fleet.count("1") == 1).await;
}

#[tokio::test]
async fn an_idempotent_run_is_aborted_when_its_caller_disconnects() {
    let fleet = RelayFleet::start(6, &["a", "b"]).await;
    disconnect_while_running(&fleet, "GET", "/b/wait-10000/").await;
    fleet
        .wait_until(|fleet| {
            fleet.members[1]
                .target
                .runs()
                .iter()
                .all(|run| run.abandoned)
        })
        .await;
}

/// A caller that leaves while its node reads no request from it.
struct LeaveCase {
    name: &'static str,
    path: &'static str,
    /// Requests that are sent at once.
    requests: usize,
    /// Whether they say that the connection is to be closed.
    last: bool,
    /// Phase of the node when the caller leaves.
    phase: Phase,
}

const LEAVE_CASES: &[LeaveCase] = &[
    LeaveCase {
        name: "last request",
        path: "/b/wait-10000/",
        requests: 1,
        last: true,
        phase: Phase::Serving,
    },
    LeaveCase {
        name: "last request, at the local target",
        path: "/a/wait-10000/",
        requests: 1,
        last: true,
        phase: Phase::Serving,
    },
    LeaveCase {
        name: "more requests than run at once",
        path: "/b/wait-10000/",
        requests: 34,
        last: false,
        phase: Phase::Serving,
    },
    LeaveCase {
        name: "stopping node",
        path: "/b/wait-10000/",
        requests: 1,
        last: false,
        phase: Phase::Stopping,
    },
    LeaveCase {
        name: "node that reads no request",
        path: "/b/wait-10000/",
        requests: 1,
        last: false,
        phase: Phase::Closing,
    },
];

/// Guards against runs that go on for a caller that has left, and requests that are still passed on
/// for it: a node that reads no request does not see the end of the connection.
#[tokio::test]
async fn a_caller_that_leaves_is_noticed_while_no_request_is_read() {
    for (at, case) in LEAVE_CASES.iter().enumerate() {
        let fleet = RelayFleet::start(50 + at as u8, &["a", "b"]).await;
        let relay = fleet.members[0].node.relay();
        let mut caller = Caller::connect(fleet.members[0].outbound).await;
        let close = match case.last {
            true => "Connection: close\r\n\r\n",
            false => "\r\n",
        };
        for number in 0..case.requests {
            let bytes = request("GET", case.path, &number.to_string(), b"");
            let text = String::from_utf8(bytes).unwrap();
            let text = text.replace("\r\n\r\n", &format!("\r\n{close}"));
            caller.send(text.as_bytes()).await;
        }
        let runs = |fleet: &RelayFleet| {
            let targets = fleet.members.iter().map(|member| member.target.runs());
            targets.flatten().collect::<Vec<_>>()
        };
        fleet.wait_until(|fleet| !runs(fleet).is_empty()).await;
        relay.set_phase(case.phase);
        // The slots of the target are taken by then, and the other requests wait.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let before = runs(&fleet).len();
        drop(caller);
        let all_abandoned = fleet.wait_until(|fleet| runs(fleet).iter().all(|run| run.abandoned));
        tokio::time::timeout(Duration::from_secs(2), all_abandoned)
            .await
            .unwrap_or_else(|_| panic!("{}: runs go on", case.name));
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            runs(&fleet).len(),
            before,
            "{}: requests ran later",
            case.name
        );
    }
}

#[tokio::test]
async fn a_non_idempotent_run_continues_without_its_caller() {
    let fleet = RelayFleet::start(7, &["a", "b"]).await;
    disconnect_while_running(&fleet, "POST", "/b-once/wait-300/").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(
        fleet.members[1]
            .target
            .runs()
            .iter()
            .all(|run| !run.abandoned)
    );
}

#[tokio::test]
async fn a_draining_target_gets_no_requests_even_from_nodes_with_a_stale_list() {
    let fleet = RelayFleet::start(8, &["a", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    assert_eq!(caller.call("GET", "/b/", "1", b"").await.status, 200);
    // Only the node beside the target learns that the target is draining.
    fleet
        .store
        .refuse_node(fleet.members[0].node.relay().cfg().name.as_str());
    fleet
        .store
        .change(|targets| targets[1].instance.state = InstanceState::Draining);
    fleet
        .wait_until(|fleet| fleet.members[1].node.relay().view().local_draining)
        .await;
    let response = caller.call("GET", "/b/", "2", b"").await;
    assert_eq!(response.status, 503);
    assert_eq!(fleet.count("2"), 0);
    // An older list must not reset the state.
    fleet
        .store
        .change(|targets| targets[1].instance.state = InstanceState::Live);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(fleet.members[1].node.relay().view().local_draining);
}

#[tokio::test]
async fn a_stopping_node_answers_pending_requests_and_closes_idle_connections() {
    let fleet = RelayFleet::start(12, &["a", "b"]).await;
    let mut busy = Caller::connect(fleet.members[0].outbound).await;
    let mut idle = Caller::connect(fleet.members[0].outbound).await;
    assert_eq!(idle.call("GET", "/b/", "1", b"").await.status, 200);
    let pipelined = [
        request("GET", "/b/wait-600/", "2", b""),
        request("GET", "/b/wait-100/", "3", b""),
    ];
    busy.send(&pipelined.concat()).await;
    fleet.wait_until(|fleet| fleet.count("3") == 1).await;
    fleet.members[0].node.relay().set_phase(Phase::Stopping);
    assert!(!fleet.members[0].node.relay().is_ready());
    let first = busy.next_response().await.unwrap();
    assert_eq!((first.status, first.header("Connection")), (200, None));
    let last = busy.next_response().await.unwrap();
    assert_eq!(
        (last.status, last.header("Connection")),
        (200, Some("close"))
    );
    let mut rest = [0; 1];
    assert_eq!(
        idle.stream.read(&mut rest).await.unwrap(),
        0,
        "the idle connection must be closed without a reset"
    );
}

#[tokio::test]
async fn a_stopping_node_does_not_mark_its_target_as_draining() {
    let mut fleet = RelayFleet::start(15, &["a", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    assert_eq!(caller.call("GET", "/b/", "1", b"").await.status, 200);
    fleet.members[1].node.relay().set_phase(Phase::Stopping);
    assert_eq!(caller.call("GET", "/b/", "2", b"").await.status, 503);
    assert_eq!(fleet.count("2"), 0);
    fleet.restart(1).await;
    let mut last = 0;
    for at in 3..60 {
        last = caller.call("GET", "/b/", &at.to_string(), b"").await.status;
        if last == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        last, 200,
        "the target must serve again within 3 s of the restart of its node"
    );
}
