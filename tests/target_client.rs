//! Responses of a faulty target: invalid ones, parts, copies of earlier ones, and bytes that never
//! end.

mod support {
    pub(crate) mod header_names;
    pub(crate) mod scripted_target;
}

#[path = "target_clients/early_responses.rs"]
mod early_responses;
#[path = "target_clients/http_client.rs"]
mod http_client;
#[path = "target_clients/invalid_heads.rs"]
mod invalid_heads;

use std::sync::Arc;
use std::time::Duration;

use dragonflylead::memory::Body;
use dragonflylead::memory::MemoryBudget;
use dragonflylead::relay::target_client::TargetClient;
use dragonflylead::relay::target_client::TargetOutcome;
use dragonflylead::relay::target_client::TargetRequest;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::support::header_names::HEADER_NAMES;
use crate::support::scripted_target::Reaction;
use crate::support::scripted_target::ScriptedTarget;

/// Limit on the buffered bytes of bodies in these tests.
const BODY_MEMORY: usize = 1 << 20;

/// Limit on the idle connections of a client.
const MAX_IDLE: usize = 128;

/// Time in which a request must have an outcome.
const OUTCOME_LIMIT: Duration = Duration::from_secs(10);

/// Bytes that may wait in the socket buffers of one connection.
const SOCKET_BUFFERS: usize = 16 << 20;

fn target_request(id: &str, idempotent: bool) -> TargetRequest {
    TargetRequest {
        id: id.to_owned(),
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        host: "h.example".to_owned(),
        headers: vec![(HEADER_NAMES.request_id.to_owned(), id.as_bytes().to_vec())],
        body: Body::default(),
        idempotent,
    }
}

/// Returns a short name of an outcome: the status of a response, or how the request ended.
fn outcome_name(outcome: &TargetOutcome) -> String {
    match outcome {
        TargetOutcome::Answered(response) => format!("answered {}", response.status),
        TargetOutcome::Refused(response) => format!("refused {}", response.status),
        TargetOutcome::Unsent(_) => "unsent".to_owned(),
        TargetOutcome::Lost { .. } => "lost".to_owned(),
    }
}

fn response(status: u16, id: Option<&str>, refused: bool) -> Vec<u8> {
    let echoed = id.map_or(String::new(), |id| {
        format!("{}: {id}\r\n", HEADER_NAMES.request_id)
    });
    let refused = match refused {
        true => format!("{}: 1\r\n", HEADER_NAMES.not_run),
        false => String::new(),
    };
    let signed = format!("{}: s\r\n", HEADER_NAMES.signature);
    let head = format!("HTTP/1.1 {status} X\r\n{echoed}{refused}{signed}");
    format!("{head}Content-Length: 2\r\n\r\nok").into_bytes()
}

/// How a response with a body of four bytes states where the body ends.
const FRAMINGS: [&str; 3] = [
    "Content-Length: 4\r\n\r\nbody",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "\r\nbody",
];

/// Returns a response to the request `1`, with `status` as the text of its status code.
fn framed_response(status: &str, framing: &str) -> Vec<u8> {
    let id = format!("{}: 1\r\n", HEADER_NAMES.request_id);
    let signed = format!("{}: s\r\n", HEADER_NAMES.signature);
    format!("HTTP/1.1 {status} X\r\n{id}{signed}{framing}").into_bytes()
}

/// Status codes that HTTP does not define.
const INVALID_STATUSES: [&str; 5] = ["000", "001", "099", "600", "999"];

/// Status codes of final responses.
const FINAL_STATUSES: [&str; 3] = ["200", "404", "599"];

/// Header lines whose name is not valid.
const INVALID_HEADER_LINES: [&str; 16] = [
    "X Y: 1\r\n",
    "X-Y : 1\r\n",
    " X-Y: 1\r\n",
    "\tX-Y: 1\r\n",
    "X\tY: 1\r\n",
    "X\x00Y: 1\r\n",
    "X\x1fY: 1\r\n",
    "X\x7fY: 1\r\n",
    "X\rY: 1\r\n",
    "X\nY: 1\r\n",
    ": 1\r\n",
    "X-Y\r\n",
    "Content-Length : 2\r\n",
    "\x0bContent-Length: 2\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Content-Encoding : gzip\r\n",
];

/// What the target sends for the second request of a connection, before or instead of its response.
struct CopyCase {
    name: &'static str,
    copy: fn() -> Vec<u8>,
    outcome: &'static str,
}

const COPY_CASES: &[CopyCase] = &[
    CopyCase {
        name: "nothing",
        copy: Vec::new,
        outcome: "answered 200",
    },
    CopyCase {
        name: "second copy of the first response",
        copy: || response(200, Some("first"), false),
        outcome: "answered 200",
    },
    CopyCase {
        name: "refusal of the first request",
        copy: || response(503, Some("first"), true),
        outcome: "answered 200",
    },
    CopyCase {
        name: "refusal without an id",
        copy: || response(503, None, true),
        outcome: "lost",
    },
    CopyCase {
        name: "misdirected without an id",
        copy: || response(421, None, false),
        outcome: "lost",
    },
    CopyCase {
        name: "failure without an id",
        copy: || response(500, None, false),
        outcome: "lost",
    },
    CopyCase {
        name: "second copy, then a refusal without an id",
        copy: || {
            [
                response(200, Some("first"), false),
                response(503, None, true),
            ]
            .concat()
        },
        outcome: "lost",
    },
];

/// A late copy must not be taken for the response to the next request on the connection. A refusal
/// would be the worst: the request would be sent again although it runs.
#[tokio::test]
async fn a_late_copy_is_not_the_response_to_the_next_request() {
    for case in COPY_CASES {
        let target = ScriptedTarget::start(move |number| match number {
            0 => Reaction::Send(response(200, Some("first"), false)),
            _ => Reaction::Send([(case.copy)(), response(200, Some("second"), false)].concat()),
        })
        .await;
        let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
        let first = client
            .run(target.address, &target_request("first", false))
            .await;
        assert_eq!(outcome_name(&first), "answered 200");
        let second = client
            .run(target.address, &target_request("second", false))
            .await;
        assert_eq!(outcome_name(&second), case.outcome, "{}", case.name);
        assert_eq!(target.connections(), 1, "the connection must be reused");
    }
}

/// Guards against a refusal that a target writes once more after the same request was sent to it again.
/// The request would be reported as not run, or sent to another target, although it runs.
#[tokio::test]
async fn a_second_copy_of_a_refusal_does_not_answer_the_same_request_sent_again() {
    let refusal = || response(503, Some("1"), true);
    let target = ScriptedTarget::start(move |number| match number {
        0 => Reaction::SendThenLater(refusal(), refusal()),
        _ => Reaction::Send(response(200, Some("1"), false)),
    })
    .await;
    let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
    for expected in ["refused 503", "answered 200"] {
        let outcome = client
            .run(target.address, &target_request("1", false))
            .await;
        assert_eq!(outcome_name(&outcome), expected);
    }
}

/// Refusals must not cost a new connection each: other requests use the same one.
#[tokio::test]
async fn a_connection_is_reused_after_refusals_of_other_requests() {
    let target = ScriptedTarget::start(|number| {
        Reaction::Send(response(503, Some(&number.to_string()), true))
    })
    .await;
    let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
    for number in 0..20 {
        let req = target_request(&number.to_string(), false);
        let outcome = client.run(target.address, &req).await;
        assert_eq!(outcome_name(&outcome), "refused 503");
    }
    assert_eq!(target.connections(), 1);
}

/// A response that is cut off anywhere must not be taken for a whole one.
#[tokio::test]
async fn a_response_that_is_cut_off_anywhere_is_lost() {
    for framing in FRAMINGS {
        let whole = framed_response("200", framing);
        // A response without a length is whole wherever its connection ends.
        let first_whole = match framing.starts_with("\r\n") {
            true => whole.len() - "body".len(),
            false => whole.len(),
        };
        let sent = whole.clone();
        let target =
            ScriptedTarget::start(move |len| Reaction::SendThenClose(sent[..len].to_vec())).await;
        let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
        for len in 0..=whole.len() {
            let outcome = client
                .run(target.address, &target_request("1", false))
                .await;
            let expected = match len < first_whole {
                true => "lost",
                false => "answered 200",
            };
            assert_eq!(
                outcome_name(&outcome),
                expected,
                "{len} bytes of {framing:?}"
            );
        }
    }
}

/// A refusal on a new connection can only belong to its first request.
#[tokio::test]
async fn a_refusal_without_an_id_counts_on_a_new_connection() {
    let target = ScriptedTarget::start(|_| Reaction::Send(response(503, None, true))).await;
    let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
    let outcome = client
        .run(target.address, &target_request("first", false))
        .await;
    assert_eq!(outcome_name(&outcome), "refused 503");
}

/// Bytes that arrive while no request is waiting make the connection unusable, whole or in part.
#[tokio::test]
async fn a_connection_with_unexpected_bytes_is_not_used_again() {
    for extra in [&b"H"[..], &response(200, Some("first"), false), b"\r\n"] {
        let extra = extra.to_vec();
        let target = ScriptedTarget::start(move |number| match number {
            0 => Reaction::SendThenLater(response(200, Some("first"), false), extra.clone()),
            _ => Reaction::Send(response(200, Some("second"), false)),
        })
        .await;
        let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
        client
            .run(target.address, &target_request("first", false))
            .await;
        target.wait_for_later_bytes().await;
        let second = client
            .run(target.address, &target_request("second", false))
            .await;
        assert_eq!(outcome_name(&second), "answered 200");
        assert_eq!(target.connections(), 2);
    }
}

/// A response that never ends: its beginning, and what follows again and again.
struct EndlessCase {
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
}

const ENDLESS_CASES: &[EndlessCase] = &[
    EndlessCase {
        name: "head",
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "X-More: 0123456789\r\n",
    },
    EndlessCase {
        name: "status line",
        start: "HTTP/1.1 200 ",
        repeated: "OK OK OK OK OK OK OK",
    },
    EndlessCase {
        name: "other protocol",
        start: "",
        repeated: "\x01\x02\x03\x04\x05\x06\x07",
    },
    EndlessCase {
        name: "body until the end of the connection",
        start: "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Signature: s\r\n\r\n",
        repeated: "0123456789abcdef",
    },
    EndlessCase {
        name: "body with a length",
        start: "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Signature: s\r\nContent-Length: 999999999999\r\n\r\n",
        repeated: "0123456789abcdef",
    },
    EndlessCase {
        name: "chunks",
        start: "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeated: "4\r\nabcd\r\n",
    },
    EndlessCase {
        name: "chunk extensions",
        start: "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeated: "1;x=0123456789012345678901234567890123456789012345678901234567890123456789\r\na\r\n",
    },
    EndlessCase {
        name: "trailers",
        start: "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        repeated: "X-More: 0123456789\r\n",
    },
    EndlessCase {
        name: "interim responses",
        start: "",
        repeated: "HTTP/1.1 102 Processing\r\n\r\n",
    },
    EndlessCase {
        name: "responses to another request",
        start: "",
        repeated: "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n",
    },
];

/// The client must stop reading, close the connection and release the memory.
#[tokio::test]
async fn a_response_without_end_is_cut_off() {
    for case in ENDLESS_CASES {
        let target = ScriptedTarget::start(|_| {
            Reaction::SendEndlessly(case.start.as_bytes(), case.repeated.as_bytes())
        })
        .await;
        let memory = MemoryBudget::new(BODY_MEMORY);
        let client = TargetClient::new(HEADER_NAMES, memory.clone(), MAX_IDLE);
        let request = target_request("first", true);
        let run = client.run(target.address, &request);
        let outcome = timeout(OUTCOME_LIMIT, run).await;
        let outcome = outcome.unwrap_or_else(|_| panic!("{}: read without end", case.name));
        assert_eq!(outcome_name(&outcome), "lost", "{}", case.name);
        target.wait_until_closed().await;
        assert!(
            target.sent() < SOCKET_BUFFERS,
            "{}: {} bytes",
            case.name,
            target.sent()
        );
        assert_eq!(memory.used(), 0, "{}", case.name);
    }
}

/// Bodies that stop midway hold their memory until the deadline. Together they must stay within the
/// limit, although each one is below the limit of one body.
#[tokio::test]
async fn stalled_bodies_share_one_limit() {
    const BODY_BYTES: usize = BODY_MEMORY / 5;
    let target = ScriptedTarget::start(|_| {
        let head =
            "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Signature: s\r\nContent-Length: 262144\r\n\r\n";
        Reaction::SendThenStall([head.as_bytes(), &[b'x'; BODY_BYTES]].concat())
    })
    .await;
    let memory = MemoryBudget::new(BODY_MEMORY);
    let client = Arc::new(TargetClient::new(HEADER_NAMES, memory.clone(), MAX_IDLE));
    let mut runs = JoinSet::new();
    for _ in 0..16 {
        let client = client.clone();
        let address = target.address;
        runs.spawn(async move { client.run(address, &target_request("first", true)).await });
    }
    let mut lost = 0;
    while lost < 16 - BODY_MEMORY / BODY_BYTES {
        let outcome = timeout(OUTCOME_LIMIT, runs.join_next()).await;
        let outcome = outcome.expect("too many bodies are held").unwrap().unwrap();
        assert_eq!(outcome_name(&outcome), "lost");
        assert!(
            memory.used() <= BODY_MEMORY,
            "{} bytes are held",
            memory.used()
        );
        lost += 1;
    }
    runs.shutdown().await;
    assert_eq!(memory.used(), 0);
}

/// Time for which a target does not read, longer than a short request may stay unacknowledged.
const READ_PAUSE: Duration = Duration::from_millis(4_000);

/// Length of a body that does not fit into the buffers of a connection, in bytes.
const LONG_BODY: usize = 12 << 20;

/// Guards against connections to the target that are aborted in the middle of a long request,
/// because the target reads slowly. The request may have run then.
#[tokio::test]
async fn a_target_that_reads_slowly_gets_the_whole_request() {
    let target = ScriptedTarget::start(|_| {
        let answer = response(200, Some("1"), false);
        Reaction::ReadLater(READ_PAUSE, LONG_BODY, answer)
    })
    .await;
    let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
    let mut req = target_request("1", false);
    req.body = Body::from(vec![b'x'; LONG_BODY]);
    let outcome = client.run(target.address, &req).await;
    assert_eq!(outcome_name(&outcome), "answered 200");
}
