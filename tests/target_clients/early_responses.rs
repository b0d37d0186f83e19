//! Responses that a target sends before it has read the request, and whose connection it ends or
//! resets.

use dragonflylead::memory::Body;
use dragonflylead::memory::MemoryBudget;
use dragonflylead::relay::target_client::TargetClient;
use dragonflylead::relay::target_client::TargetOutcome;

use crate::BODY_MEMORY;
use crate::LONG_BODY;
use crate::MAX_IDLE;
use crate::framed_response;
use crate::outcome_name;
use crate::support::header_names::HEADER_NAMES;
use crate::support::scripted_target::Reaction;
use crate::support::scripted_target::ScriptedTarget;
use crate::target_request;

/// An early response, and how the target ends the connection.
struct Case {
    name: &'static str,
    react: fn(Vec<u8>) -> Reaction,
    framing: &'static str,
    /// Bytes of the response that are not sent.
    missing: usize,
    outcome: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "reset at once in a body without a length",
        react: Reaction::SendThenReset,
        framing: "\r\nbody",
        missing: 2,
        outcome: "lost",
    },
    Case {
        name: "reset in a body without a length",
        react: Reaction::SendThenResetLater,
        framing: "\r\nbody",
        missing: 2,
        outcome: "lost",
    },
    Case {
        name: "reset after a body without a length, before the end of the connection",
        react: Reaction::SendThenResetLater,
        framing: "\r\nbody",
        missing: 0,
        outcome: "lost",
    },
    Case {
        name: "reset in a body with a length",
        react: Reaction::SendThenResetLater,
        framing: "Content-Length: 4\r\n\r\nbody",
        missing: 2,
        outcome: "lost",
    },
    Case {
        name: "reset in a chunked body",
        react: Reaction::SendThenResetLater,
        framing: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        missing: 5,
        outcome: "lost",
    },
    Case {
        name: "reset in the head",
        react: Reaction::SendThenResetLater,
        framing: "\r\nbody",
        missing: 6,
        outcome: "lost",
    },
    Case {
        name: "reset after a body with a length",
        react: Reaction::SendThenResetLater,
        framing: "Content-Length: 4\r\n\r\nbody",
        missing: 0,
        outcome: "answered 200",
    },
    Case {
        name: "end of a body without a length, while the request is not read",
        react: Reaction::SendThenEnd,
        framing: "\r\nbody",
        missing: 0,
        outcome: "answered 200",
    },
    Case {
        name: "reset after the end of a body without a length",
        react: Reaction::SendThenEndAndReset,
        framing: "\r\nbody",
        missing: 0,
        outcome: "answered 200",
    },
];

/// Guards against a part of a response that is taken for all of it. The target answers without a
/// length while the request is still being written, and resets the connection. The write meets the
/// reset, and the next read sees a plain end of the connection.
#[tokio::test]
async fn a_response_that_is_reset_during_a_long_request_is_not_taken_for_a_whole_one() {
    for case in CASES {
        for body_len in [0, LONG_BODY] {
            let mut sent = framed_response("200", case.framing);
            sent.truncate(sent.len() - case.missing);
            let target = ScriptedTarget::start(move |_| (case.react)(sent.clone())).await;
            let client = TargetClient::new(HEADER_NAMES, MemoryBudget::new(BODY_MEMORY), MAX_IDLE);
            let mut req = target_request("1", false);
            req.body = Body::from(vec![b'x'; body_len]);
            let outcome = client.run(target.address, &req).await;
            assert_eq!(
                outcome_name(&outcome),
                case.outcome,
                "{}, request of {body_len} bytes",
                case.name
            );
            if let TargetOutcome::Answered(response) = outcome {
                assert_eq!(response.body.to_vec(), b"body", "{}", case.name);
            }
        }
    }
}
