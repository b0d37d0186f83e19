//! The HTTP client for targets and other nodes: responses that are not valid, and responses that end
//! early.

use bytes::Bytes;
use dragonflylead::error::Outcome;
use dragonflylead::transport::body::ResponseBody;
use dragonflylead::transport::http_client;
use dragonflylead::transport::http_client::HttpResponse;
use futures_util::TryStreamExt;

use crate::FINAL_STATUSES;
use crate::INVALID_HEADER_LINES;
use crate::INVALID_STATUSES;
use crate::LONG_BODY;
use crate::support::scripted_target::Reaction;
use crate::support::scripted_target::ScriptedTarget;

/// Number of parts in which a long body is sent.
const PARTS: usize = 64;

/// Limits up to which responses are buffered, in bytes. With 0, their bodies are streamed.
const BUFFER_LIMITS: [usize; 2] = [0, 1 << 16];

/// Returns the body of a response that was received to its end.
async fn complete_body(outcome: Outcome<HttpResponse>) -> Option<Bytes> {
    let Outcome::Completed(response) = outcome else {
        return None;
    };
    match response.body {
        ResponseBody::Buffered(body) => Some(body),
        ResponseBody::Streamed(stream) => {
            let parts: Vec<Bytes> = stream.try_collect().await.ok()?;
            Some(Bytes::from(parts.concat()))
        }
    }
}

/// Sends a long request in parts and returns the body of the complete response, if there is one.
async fn send_long_request(target: &ScriptedTarget, buffer_bytes: usize) -> Option<Bytes> {
    let part = Bytes::from(vec![b'x'; LONG_BODY / PARTS]);
    let parts = std::iter::repeat_n(part, PARTS).map(Ok::<Bytes, std::io::Error>);
    let body = reqwest::Body::wrap_stream(futures_util::stream::iter(parts));
    let client = http_client::build().unwrap();
    let req = client
        .post(format!("http://{}/", target.address))
        .body(body);
    complete_body(http_client::send(req, buffer_bytes).await).await
}

/// Returns whether a response with `head`, a status line and headers, is completed.
async fn is_completed(head: &str, buffer_bytes: usize) -> bool {
    let response = format!("{head}Content-Length: 4\r\n\r\nbody").into_bytes();
    let target = ScriptedTarget::start(move |_| Reaction::SendThenClose(response.clone())).await;
    let client = http_client::build().unwrap();
    let req = client.get(format!("http://{}/", target.address));
    let outcome = http_client::send(req, buffer_bytes).await;
    complete_body(outcome).await.is_some()
}

/// Guards against statuses that HTTP does not define, and against interim ones.
#[tokio::test]
async fn a_response_with_an_invalid_status_is_not_completed() {
    for buffer_bytes in BUFFER_LIMITS {
        for status in INVALID_STATUSES.into_iter().chain(["101"]) {
            let head = format!("HTTP/1.1 {status} X\r\n");
            assert!(!is_completed(&head, buffer_bytes).await, "{status}");
        }
        for status in FINAL_STATUSES {
            let head = format!("HTTP/1.1 {status} X\r\n");
            assert!(is_completed(&head, buffer_bytes).await, "{status}");
        }
    }
}

/// Guards against headers whose name is not valid, which parsers skip, cut or repair in different
/// ways.
#[tokio::test]
async fn a_response_with_an_invalid_header_name_is_not_completed() {
    for line in INVALID_HEADER_LINES {
        for buffer_bytes in BUFFER_LIMITS {
            let head = format!("HTTP/1.1 200 OK\r\n{line}");
            assert!(!is_completed(&head, buffer_bytes).await, "{line:?}");
        }
    }
}

/// Guards against a part of a response that is taken for all of it, because the write of a long
/// request has met the reset of the connection.
#[tokio::test]
async fn a_response_that_is_reset_during_a_long_request_does_not_look_complete() {
    struct Case {
        name: &'static str,
        react: fn(Vec<u8>) -> Reaction,
        response: &'static str,
        complete: bool,
    }
    let cases = [
        Case {
            name: "reset at once in a body without a length",
            react: Reaction::SendThenReset,
            response: "HTTP/1.1 200 OK\r\n\r\nbo",
            complete: false,
        },
        Case {
            name: "reset in a body without a length",
            react: Reaction::SendThenResetLater,
            response: "HTTP/1.1 200 OK\r\n\r\nbo",
            complete: false,
        },
        Case {
            name: "reset in a body with a length",
            react: Reaction::SendThenResetLater,
            response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
            complete: false,
        },
        Case {
            name: "reset in a chunked body",
            react: Reaction::SendThenResetLater,
            response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
            complete: false,
        },
        Case {
            name: "reset after a body with a length",
            react: Reaction::SendThenResetLater,
            response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            complete: true,
        },
    ];
    for case in cases {
        for buffer_bytes in BUFFER_LIMITS {
            let target =
                ScriptedTarget::start(move |_| (case.react)(case.response.as_bytes().to_vec()))
                    .await;
            let body = send_long_request(&target, buffer_bytes).await;
            let expected = case.complete.then(|| Bytes::from_static(b"body"));
            assert_eq!(
                body, expected,
                "{}, {buffer_bytes} bytes buffered",
                case.name
            );
        }
    }
}
