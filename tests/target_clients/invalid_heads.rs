//! Responses whose head is not valid HTTP.

use dragonflylead::memory::MemoryBudget;
use dragonflylead::relay::target_client::TargetClient;

use crate::BODY_MEMORY;
use crate::FRAMINGS;
use crate::MAX_IDLE;
use crate::framed_response;
use crate::outcome_name;
use crate::support::header_names::HEADER_NAMES;
use crate::support::scripted_target::Reaction;
use crate::support::scripted_target::ScriptedTarget;
use crate::target_request;

/// Returns the name of the outcome of a request to which the target responds with `response`.
async fn outcome_of(response: Vec<u8>) -> String {
    let target = ScriptedTarget::start(move |_| Reaction::SendThenClose(response.clone())).await;
    let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
    let req = target_request("1", false);
    outcome_name(&client.run(target.address, &req).await)
}

/// Guards against statuses that HTTP does not define, which a caller can take neither for a success
/// nor for a failure.
#[tokio::test]
async fn a_response_with_an_invalid_status_is_lost() {
    struct Case {
        status: &'static str,
        outcome: &'static str,
    }
    let cases = [
        ("000", "lost"),
        ("001", "lost"),
        ("099", "lost"),
        ("200", "answered 200"),
        ("404", "answered 404"),
        ("599", "answered 599"),
        ("600", "lost"),
        ("999", "lost"),
    ]
    .map(|(status, outcome)| Case { status, outcome });
    for framing in FRAMINGS {
        for case in &cases {
            let outcome = outcome_of(framed_response(case.status, framing)).await;
            assert_eq!(outcome, case.outcome, "{} {framing:?}", case.status);
        }
    }
}

/// Guards against a refusal that is believed although its status is not valid.
#[tokio::test]
async fn a_refusal_with_an_invalid_status_is_lost() {
    let framing = format!("{}: 1\r\nContent-Length: 0\r\n\r\n", HEADER_NAMES.not_run);
    let outcome = outcome_of(framed_response("000", &framing)).await;
    assert_eq!(outcome, "lost");
}

/// Guards against headers whose name is not valid, which parsers skip, cut or repair in different
/// ways. If such a header gives the length, the caller gets another body than the target sent.
#[tokio::test]
async fn a_response_with_an_invalid_header_name_is_lost() {
    let lines = [
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
    for line in lines {
        for framing in FRAMINGS {
            let outcome = outcome_of(framed_response("200", &format!("{line}{framing}"))).await;
            assert_eq!(outcome, "lost", "{line:?} {framing:?}");
        }
    }
}
