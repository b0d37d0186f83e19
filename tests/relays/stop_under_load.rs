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
