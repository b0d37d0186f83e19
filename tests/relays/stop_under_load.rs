//! Requests that arrive around the planned stop of a node.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::Member;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::request;

/// Callers that send requests one after the other, each over connections of its own.
const CALLERS: usize = 40;

/// Requests that a caller sends on one connection at once.
const PIPELINED: usize = 3;

/// Time for which callers send before the node is told to stop.
const BEFORE_STOP: Duration = Duration::from_millis(300);

/// Counts of the requests of one caller.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    answered: usize,
    unread: usize,
}

/// Sends requests until the node accepts no connection. `runs` returns how often a request ran.
async fn send_until_refused<F>(outbound: SocketAddr, number: usize, runs: F) -> Counts
where
    F: Fn(&str) -> usize,
{
    let mut counts = Counts::default();
    for round in 0.. {
        let Ok(stream) = TcpStream::connect(outbound).await else {
            return counts;
        };
        let mut caller = Caller::new(stream);
        let ids: Vec<String> = (0..PIPELINED)
            .map(|at| format!("{number}-{round}-{at}"))
            .collect();
        for id in &ids {
            let bytes = request("POST", "/a-once/wait-15/x", id, b"body");
            if caller.try_send(&bytes).await.is_err() {
                break;
            }
        }
        for id in &ids {
            match caller.next_response().await {
                Some(response) => {
                    assert!([200, 503].contains(&response.status), "{id}: {response:?}");
                    let expected = usize::from(response.status == 200);
                    assert_eq!(runs(id), expected, "{id}: status {}", response.status);
                    counts.answered += 1;
                }
                None => {
                    assert_eq!(runs(id), 0, "{id} ran and was cut off");
                    counts.unread += 1;
                }
            }
        }
    }
    counts
}

/// A planned stop must not cut off a request that was read: each one is answered, or its connection
/// closes before it was passed on to a target, so that its caller may send it again.
#[tokio::test]
async fn a_planned_stop_cuts_off_no_request_that_was_read() {
    let mut fleet = RelayFleet::start(45, &["a", "a"]).await;
    let Member {
        node,
        target,
        outbound,
        ..
    } = fleet.members.remove(0);
    let runs = |id: &str| target.count(id) + fleet.count(id);
    let callers = (0..CALLERS).map(|number| send_until_refused(outbound, number, runs));
    let stopped = async {
        sleep(BEFORE_STOP).await;
        node.stop().await;
    };
    let (counts, ()) = tokio::join!(futures_util::future::join_all(callers), stopped);
    let answered: usize = counts.iter().map(|counts| counts.answered).sum();
    let unread: usize = counts.iter().map(|counts| counts.unread).sum();
    assert!(answered > 500, "{answered} answered, {unread} unread");
    assert!(
        TcpStream::connect(outbound).await.is_err(),
        "the node still accepts connections"
    );
}

/// A request that is sent to a node after it was told to stop.
struct LateCase {
    name: &'static str,
    /// Time between the start of the stop and the request.
    at: Duration,
    method: &'static str,
    path: &'static str,
    deadline_ms: u32,
    status: u16,
    runs: usize,
}

/// The node has a grace period of 6 s and exits after 5.5 s.
const LATE_CASES: &[LateCase] = &[
    LateCase {
        name: "soon after the start",
        at: Duration::from_millis(1_500),
        method: "POST",
        path: "/b-once/wait-1500/1",
        deadline_ms: 5_000,
        status: 200,
        runs: 1,
    },
    LateCase {
        name: "soon after the start, and runs longer than the node",
        at: Duration::from_millis(2_000),
        method: "POST",
        path: "/b-once/wait-3900/2",
        deadline_ms: 5_000,
        status: 502,
        runs: 1,
    },
    LateCase {
        name: "charge that may outlast the node",
        at: Duration::from_millis(3_200),
        method: "POST",
        path: "/b-once/wait-2600/3",
        deadline_ms: 5_000,
        status: 503,
        runs: 0,
    },
    LateCase {
        name: "lookup that may outlast the node",
        at: Duration::from_millis(3_200),
        method: "GET",
        path: "/b/wait-2600/4",
        deadline_ms: 5_000,
        status: 503,
        runs: 0,
    },
    LateCase {
        name: "charge that ends before the node",
        at: Duration::from_millis(3_200),
        method: "POST",
        path: "/b-once/wait-300/5",
        deadline_ms: 1_500,
        status: 200,
        runs: 1,
    },
];

/// Guards against requests that a stopping node takes late and cuts off at its exit, among them
/// charges that run. The target beside the node is at work, so that the node still accepts.
#[tokio::test]
async fn a_stopping_node_takes_no_request_that_may_outlast_it() {
    let mut fleet = RelayFleet::start(46, &["a", "b"]).await;
    let stopping = fleet.members.remove(0);
    let outbound = stopping.outbound;
    let mut busy = Caller::connect(outbound).await;
    busy.send(&request("GET", "/a/wait-3900/x", "busy", b""))
        .await;
    while stopping.target.count("busy") == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let late = LATE_CASES.iter().map(|case| async move {
        sleep(case.at).await;
        let bytes = request(case.method, case.path, case.name, b"");
        let text = String::from_utf8(bytes).unwrap();
        let text = text.replace("5000", &case.deadline_ms.to_string());
        let mut caller = Caller::connect(outbound).await;
        caller.send(text.as_bytes()).await;
        caller.next_response().await
    });
    let late = futures_util::future::join_all(late);
    let (responses, ()) = tokio::join!(late, stopping.node.stop());
    for (case, response) in LATE_CASES.iter().zip(responses) {
        let status = response.map(|response| response.status);
        assert_eq!(status, Some(case.status), "{}", case.name);
        assert_eq!(fleet.count(case.name), case.runs, "{}", case.name);
    }
}

/// Size of a response that does not fit into the buffers of a connection, in bytes.
const LONG_BODY: usize = 12 << 20;

/// Guards against an exit in the middle of a response: a request is in progress until its caller
/// has been sent the last byte.
#[tokio::test]
async fn a_planned_stop_waits_for_a_caller_that_reads_slowly() {
    let mut fleet = RelayFleet::start(47, &["a", "b"]).await;
    fleet.allow_bodies_up_to(LONG_BODY, &["a", "b"]).await;
    let stopping = fleet.members.remove(0);
    let mut caller = Caller::connect(stopping.outbound).await;
    let body = vec![b'x'; LONG_BODY];
    caller.send(&request("POST", "/b-once/x", "1", &body)).await;
    fleet.wait_until(|fleet| fleet.count("1") == 1).await;
    let read = async {
        sleep(Duration::from_millis(3_500)).await;
        let response = caller.next_response().await;
        response.expect("the response was cut off").body.len()
    };
    let stopped = async {
        let started_at = std::time::Instant::now();
        stopping.node.stop().await;
        started_at.elapsed()
    };
    let (len, took) = tokio::join!(read, stopped);
    assert_eq!(len, LONG_BODY);
    assert!(
        took >= Duration::from_millis(3_500),
        "the node exited after {took:?}, before the response was read"
    );
}
