//! The HTTP client for targets and other nodes: responses that are not valid.

use bytes::Bytes;
use dragonflylead::error::Outcome;
use dragonflylead::transport::body::ResponseBody;
use dragonflylead::transport::http_client;
use dragonflylead::transport::http_client::HttpResponse;
use futures_util::TryStreamExt;

use crate::support::scripted_target::Reaction;
use crate::support::scripted_target::ScriptedTarget;

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
    struct Case {
        status: &'static str,
        completed: bool,
    }
    let cases = [
        ("000", false),
        ("099", false),
        ("101", false),
        ("200", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ]
    .map(|(status, completed)| Case { status, completed });
    for case in cases {
        for buffer_bytes in BUFFER_LIMITS {
            let head = format!("HTTP/1.1 {} X\r\n", case.status);
            let completed = is_completed(&head, buffer_bytes).await;
            assert_eq!(completed, case.completed, "status {}", case.status);
        }
    }
}
