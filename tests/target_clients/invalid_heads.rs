//! Responses whose head is not valid HTTP.

use dragonflylead::memory::MemoryBudget;
use dragonflylead::relay::target_client::TargetClient;

use crate::BODY_MEMORY;
use crate::FINAL_STATUSES;
use crate::FRAMINGS;
use crate::INVALID_HEADER_LINES;
use crate::INVALID_STATUSES;
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
    for framing in FRAMINGS {
        for status in INVALID_STATUSES {
            let outcome = outcome_of(framed_response(status, framing)).await;
            assert_eq!(outcome, "lost", "{status} {framing:?}");
        }
        for status in FINAL_STATUSES {
            let outcome = outcome_of(framed_response(status, framing)).await;
            assert_eq!(outcome, format!("answered {status}"), "{framing:?}");
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
    for line in INVALID_HEADER_LINES {
        for framing in FRAMINGS {
            let outcome = outcome_of(framed_response("200", &format!("{line}{framing}"))).await;
            assert_eq!(outcome, "lost", "{line:?} {framing:?}");
        }
    }
}

/// Guards against a check of statuses that also rejects interim responses.
#[tokio::test]
async fn interim_responses_before_the_response_are_skipped() {
    let interim = ["100 Continue", "102 Processing", "103 Early Hints"];
    for framing in FRAMINGS {
        let mut sent = Vec::new();
        for status in interim {
            sent.extend_from_slice(format!("HTTP/1.1 {status}\r\nX-A: 1\r\n\r\n").as_bytes());
            let whole = [&sent[..], &framed_response("200", framing)].concat();
            assert_eq!(
                outcome_of(whole).await,
                "answered 200",
                "{status} {framing:?}"
            );
        }
    }
}
