//! Responses of a target that break the protocol or break off. No caller may get them.

use crate::support::header_names::HEADER_NAMES;
use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::ReceivedResponse;
use crate::support::relay_fleet::RelayFleet;

/// Size of a request that does not fit into the buffers of a connection, in bytes.
const LONG_BODY: usize = 12 << 20;

/// Routes to the target beside the node and to one beside another node, which may run a request
/// again and which may not.
const ROUTES: [&str; 4] = ["a", "a-once", "b", "b-once"];

/// Asserts that the node reports a failure of its own instead of the response of the target.
fn assert_unknown(response: &ReceivedResponse, path: &str) {
    assert_eq!(response.status, 502, "{path}");
    assert_eq!(response.header(HEADER_NAMES.signature), None, "{path}");
}

/// Guards against responses that are no HTTP and reach callers, with a status, headers or a body that
/// the target's service has not given.
#[tokio::test]
async fn a_response_with_an_invalid_head_reaches_no_caller() {
    let fleet = RelayFleet::start(86, &["a", "b"]).await;
    let faults = [
        "status-000",
        "status-099",
        "status-600",
        "status-999",
        "name-with-blank",
        "name-with-control",
        "length-after-blank",
    ];
    for route in ROUTES {
        for fault in faults {
            let path = format!("/{route}/{fault}");
            let mut caller = Caller::connect(fleet.members[0].outbound).await;
            let response = caller.call("POST", &path, &path, b"body").await;
            assert_unknown(&response, &path);
            assert!(fleet.count(&path) >= 1, "{path} did not reach a target");
        }
    }
}

/// Guards against a part of a response that reaches a caller as all of it. The target answers an
/// upload before it has read it, without a length, and resets the connection.
#[tokio::test]
async fn a_response_that_is_reset_during_an_upload_reaches_no_caller() {
    let fleet = RelayFleet::start(87, &["a", "b"]).await;
    fleet.allow_bodies_up_to(LONG_BODY, &["a", "b"]).await;
    for route in ROUTES {
        let path = format!("/{route}/reset-early");
        let mut caller = Caller::connect(fleet.members[0].outbound).await;
        let response = caller
            .call("POST", &path, &path, &vec![b'x'; LONG_BODY])
            .await;
        assert_unknown(&response, &path);
    }
}
