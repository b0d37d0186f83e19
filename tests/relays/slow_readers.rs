//! Callers that read their responses slowly.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpSocket;
use tokio::time::sleep;

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::request;

/// Time for which a caller does not read, shorter than its deadline of 5 s.
const PAUSE: Duration = Duration::from_millis(4_000);

/// Size of the receive buffer of a caller, in bytes.
const RECEIVE_BUFFER: u32 = 4_096;

/// Size of a response that does not fit into the buffers of a connection, in bytes.
const LONG_BODY: usize = 12 << 20;

async fn connect_with_small_buffer(address: SocketAddr) -> Caller {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    Caller::new(socket.connect(address).await.unwrap())
}

struct Case {
    name: &'static str,
    body: usize,
    /// Requests on the connection, which are all sent at once.
    requests: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "response in the send buffer of the node",
        body: 30_000,
        requests: 1,
    },
    Case {
        name: "response larger than all buffers",
        body: LONG_BODY,
        requests: 1,
    },
    Case {
        name: "pipelined requests",
        body: 30_000,
        requests: 3,
    },
];

/// Guards against connections that are reset while a caller does not read: the system cannot tell
/// such a caller from one that is gone.
#[tokio::test]
async fn a_caller_that_reads_slowly_gets_its_whole_response() {
    let fleet = RelayFleet::start(48, &["a", "b"]).await;
    fleet.allow_bodies_up_to(LONG_BODY, &["a", "b"]).await;
    let callers = CASES.iter().map(|case| async {
        let mut caller = connect_with_small_buffer(fleet.members[0].outbound).await;
        let first = caller.call("GET", "/b/x", "first", b"").await;
        assert_eq!(first.status, 200);
        let body = vec![b'x'; case.body];
        for at in 0..case.requests {
            let id = format!("{}-{at}", case.name);
            caller.send(&request("GET", "/b/x", &id, &body)).await;
        }
        sleep(PAUSE).await;
        for at in 0..case.requests {
            let response = caller.next_response().await;
            let len = response.map(|response| response.body.len());
            assert_eq!(len, Some(case.body), "{}, response {at}", case.name);
        }
    });
    futures_util::future::join_all(callers).await;
}

/// Length of a response that fits into the send buffer of the node but not into the receive buffer
/// of the caller, in bytes.
const MEDIUM_BODY: usize = 300_000;

/// Guards against responses that are lost because the node closes the connection while the caller
/// has not read the last one, and resets it for what the caller sends afterwards.
#[tokio::test]
async fn a_last_response_is_read_after_the_caller_has_sent_more() {
    struct Case {
        name: &'static str,
        closes: bool,
        stops: bool,
    }
    let cases = [
        Case {
            name: "the caller announced its last request",
            closes: true,
            stops: false,
        },
        Case {
            name: "the node stops",
            closes: false,
            stops: true,
        },
    ];
    for (at, case) in cases.iter().enumerate() {
        let mut fleet = RelayFleet::start(80 + at as u8, &["a", "b"]).await;
        fleet.allow_bodies_up_to(LONG_BODY, &["a", "b"]).await;
        let mut caller = connect_with_small_buffer(fleet.members[0].outbound).await;
        let mut first = request("GET", "/b/wait-300/x", "last", &vec![b'x'; MEDIUM_BODY]);
        if case.closes {
            let head_end = first.windows(2).position(|w| w == b"\r\n").unwrap() + 2;
            first.splice(head_end..head_end, *b"Connection: close\r\n");
        }
        caller.send(&first).await;
        fleet.wait_until(|fleet| fleet.count("last") == 1).await;
        let stopping = case.stops.then(|| {
            let node = fleet.members.remove(0).node;
            tokio::spawn(node.stop())
        });
        // The response has been written and the connection shut down by then.
        sleep(PAUSE / 2).await;
        let sent = caller.try_send(&request("GET", "/b/x", "more", b"")).await;
        assert!(sent.is_ok(), "{}: connection was reset", case.name);
        sleep(PAUSE / 4).await;
        let response = caller.next_response().await;
        let len = response.map(|response| response.body.len());
        assert_eq!(len, Some(MEDIUM_BODY), "{}", case.name);
        if let Some(stopping) = stopping {
            stopping.await.unwrap();
        }
    }
}

/// Sizes of responses, receive buffers of callers, in bytes, and times for which they do not read.
const BODIES: [usize; 4] = [1, 3_000, 36_000, 300_000];
const BUFFERS: [u32; 4] = [1_024, 4_096, 16_384, 65_536];
const PAUSES_MS: [u64; 3] = [200, 2_000, 4_700];

/// Guards against clocks of the node or the system that run out before the caller's deadline.
#[tokio::test]
async fn callers_of_all_kinds_may_pause() {
    let fleet = RelayFleet::start(79, &["a", "b"]).await;
    fleet.allow_bodies_up_to(LONG_BODY, &["a", "b"]).await;
    for body in BODIES {
        let mut callers = Vec::new();
        for buffer in BUFFERS {
            for pause in PAUSES_MS {
                let address = fleet.members[0].outbound;
                callers.push(async move {
                    let name = format!("{body} bytes, buffer of {buffer}, pause of {pause} ms");
                    let socket = TcpSocket::new_v4().unwrap();
                    socket.set_recv_buffer_size(buffer).unwrap();
                    let mut caller = Caller::new(socket.connect(address).await.unwrap());
                    for path in ["/a/x", "/b/x"] {
                        let id = format!("{name} {path}");
                        let sent = request("GET", path, &id, &vec![b'x'; body]);
                        caller.send(&sent).await;
                    }
                    sleep(Duration::from_millis(pause)).await;
                    for _ in 0..2 {
                        let response = caller.next_response().await;
                        let read = response.map(|r| (r.status, r.body.len()));
                        assert_eq!(read, Some((200, body)), "{name}");
                    }
                });
            }
        }
        futures_util::future::join_all(callers).await;
    }
}

/// Guards against slots that are held by the requests behind a response that is not read.
#[tokio::test]
async fn requests_behind_an_unread_response_release_their_slots() {
    let fleet = RelayFleet::start(49, &["a"]).await;
    fleet.allow_bodies_up_to(LONG_BODY, &["a"]).await;
    let mut caller = connect_with_small_buffer(fleet.members[0].outbound).await;
    let long = request("GET", "/a/x", "long", &vec![b'x'; LONG_BODY]);
    caller.send(&long).await;
    fleet.wait_until(|fleet| fleet.count("long") == 1).await;
    // The long response is being written from here on.
    sleep(Duration::from_millis(300)).await;
    caller
        .send(&request("GET", "/a/wait-200/x", "behind", b""))
        .await;
    fleet.wait_until(|fleet| fleet.count("behind") == 1).await;
    fleet
        .wait_until(|fleet| {
            let relay = fleet.members[0].node.relay();
            relay.admission_queue().counts().0 == 0
        })
        .await;
    let len = caller.next_response().await.unwrap().body.len();
    assert_eq!(len, LONG_BODY);
    assert_eq!(caller.next_response().await.unwrap().status, 200);
}
