//! Tests of the plain HTTP/1.1 request path, with real nodes on loopback.

mod support {
    pub(crate) mod header_names;
    pub(crate) mod plain_target;
    pub(crate) mod relay_fleet;
}

#[path = "relays/at_most_once.rs"]
mod at_most_once;
#[path = "relays/background.rs"]
mod background;
#[path = "relays/broken_responses.rs"]
mod broken_responses;
#[path = "relays/config_versions.rs"]
mod config_versions;
#[path = "relays/crashes.rs"]
mod crashes;
#[path = "relays/draining.rs"]
mod draining;
#[path = "relays/organisations.rs"]
mod organisations;
#[path = "relays/repeated_runs.rs"]
mod repeated_runs;
#[path = "relays/restart.rs"]
mod restart;
#[path = "relays/slow_readers.rs"]
mod slow_readers;
#[path = "relays/stop_under_load.rs"]
mod stop_under_load;
#[path = "relays/store_calls.rs"]
mod store_calls;
#[path = "relays/view.rs"]
mod view;

use std::time::Duration;

use crate::support::header_names::HEADER_NAMES;
use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::request;

#[tokio::test]
async fn a_request_runs_at_a_target_of_its_service_unchanged() {
    let fleet = RelayFleet::start(1, &["a", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    for (method, path, body) in [
        ("GET", "/b/x?y=z", &b""[..]),
        ("POST", "/b-once/x", b"body"),
    ] {
        let id = format!("id-{method}");
        let response = caller.call(method, path, &id, body).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body, body);
        assert_eq!(
            response.header(HEADER_NAMES.signature),
            Some(format!("s.{id}").as_str())
        );
        let runs = fleet.members[1].target.runs();
        let run = runs
            .iter()
            .find(|run| run.header(HEADER_NAMES.request_id) == id)
            .unwrap();
        assert_eq!(run.head.target, path);
        assert_eq!(run.head.method, method);
        assert_eq!(run.body, body);
        assert_eq!(run.header(HEADER_NAMES.caller_service), "a");
        assert_eq!(run.header(HEADER_NAMES.target_instance), "b-1");
        let deadline: u64 = run.header(HEADER_NAMES.deadline_ms).parse().unwrap();
        assert!(
            (3_000..=4_000).contains(&deadline),
            "expected the rest of the route's 4 s timeout, got {deadline} ms"
        );
    }
}

#[tokio::test]
async fn headers_that_nodes_set_are_replaced() {
    let fleet = RelayFleet::start(2, &["a"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    let text = "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Caller: forged\r\n\
                X-Target: forged\r\nX-Kept: yes\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n";
    caller.send(text.as_bytes()).await;
    assert_eq!(caller.next_response().await.unwrap().status, 200);
    let run = fleet.members[0].target.runs().remove(0);
    assert_eq!(run.header("X-Caller"), "a");
    assert_eq!(run.header("X-Target"), "a-0");
    assert_eq!(run.header("X-Kept"), "yes");
    assert_eq!(run.header("X-Hop"), "");
}

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let fleet = RelayFleet::start(3, &["a"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    let began = std::time::Instant::now();
    let texts = [
        request("GET", "/a/wait-400/", "1", b""),
        request("GET", "/a/wait-400/", "2", b""),
        request("GET", "/a/", "3", b""),
    ];
    caller.send(&texts.concat()).await;
    for id in ["1", "2", "3"] {
        let response = caller.next_response().await.unwrap();
        assert_eq!(response.header(HEADER_NAMES.request_id), Some(id));
    }
    assert!(
        began.elapsed() < Duration::from_millis(780),
        "{:?}",
        began.elapsed()
    );
}

#[tokio::test]
async fn invalid_responses_of_a_target_are_not_passed_on_as_success() {
    let fleet = RelayFleet::start(4, &["a"]).await;
    struct Case {
        path: &'static str,
        statuses: &'static [u16],
    }
    let cases = [
        Case {
            path: "/a-once/cut",
            statuses: &[502],
        },
        Case {
            path: "/a-once/silent",
            statuses: &[502],
        },
        Case {
            path: "/a-once/garbage",
            statuses: &[502],
        },
        Case {
            path: "/a-once/unsigned",
            statuses: &[502],
        },
        Case {
            path: "/a-once/lying-503",
            statuses: &[502],
        },
        Case {
            path: "/a-once/full",
            statuses: &[503],
        },
        Case {
            path: "/a-once/error",
            statuses: &[500],
        },
        Case {
            path: "/a-once/twice",
            statuses: &[200],
        },
        Case {
            path: "/a-once/late-other",
            statuses: &[200],
        },
        Case {
            path: "/a-once/unframed",
            statuses: &[200],
        },
        Case {
            path: "/a-once/chunked",
            statuses: &[200],
        },
        Case {
            path: "/unknown/",
            statuses: &[404],
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut caller = Caller::connect(fleet.members[0].outbound).await;
        let id = format!("id-{number}");
        let response = caller.call("POST", case.path, &id, b"body").await;
        assert!(
            case.statuses.contains(&response.status),
            "{}: {}",
            case.path,
            response.status
        );
        assert!(fleet.count(&id) <= 1, "{} ran more than once", case.path);
        if response.status == 200 {
            assert_eq!(response.body, b"body", "{}", case.path);
            assert_eq!(
                response.header(HEADER_NAMES.request_id),
                Some(id.as_str()),
                "{}",
                case.path
            );
        }
        if response.status == 503 {
            assert_eq!(
                fleet.count(&id),
                0,
                "{}: answered as not run, but ran",
                case.path
            );
            assert!(response.header("Retry-After").is_some());
        }
        // The next request must not get leftovers of this response from the target's connection.
        let next = caller.call("GET", "/a/", "next", b"").await;
        assert_eq!(
            next.header(HEADER_NAMES.request_id),
            Some("next"),
            "after {}",
            case.path
        );
    }
}

#[tokio::test]
async fn an_idempotent_request_is_sent_to_another_target_after_a_failure() {
    let fleet = RelayFleet::start(5, &["a", "b", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    let response = caller.call("GET", "/b/silent", "1", b"").await;
    assert_eq!(response.status, 502);
    assert_eq!(fleet.count("1"), 2, "the route allows two attempts");
    let response = caller.call("POST", "/b-once/silent", "2", b"").await;
    assert_eq!(response.status, 502);
    assert_eq!(fleet.count("2"), 1);
}

#[tokio::test]
async fn a_request_times_out_after_the_timeout_of_its_route() {
    let fleet = RelayFleet::start(11, &["a"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    let began = std::time::Instant::now();
    let response = caller.call("POST", "/a-once/wait-20000/", "1", b"").await;
    assert_eq!(response.status, 504);
    let took = began.elapsed();
    assert!(took >= Duration::from_secs(4), "{took:?}");
    assert!(took < Duration::from_millis(4_500), "{took:?}");
}

#[tokio::test]
async fn malformed_requests_are_answered_once_and_reach_no_target() {
    let fleet = RelayFleet::start(13, &["a"]).await;
    struct Case {
        text: &'static str,
        status: u16,
    }
    let cases = [
        Case {
            text: "POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nContent-Length: 5\r\n\
                   Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/ HTTP/1.1\r\n\
                   Host: h.example\r\nX-Id: 2\r\n\r\n",
            status: 400,
        },
        Case {
            text: "GET /a/ HTTP/1.1\nHost: h.example\nX-Id: 1\n\r\n\r\n",
            status: 400,
        },
        Case {
            text: "GET /a/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
            status: 400,
        },
    ];
    for case in cases {
        let mut caller = Caller::connect(fleet.members[0].outbound).await;
        caller.send(case.text.as_bytes()).await;
        let response = caller.next_response().await.unwrap();
        assert_eq!(response.status, case.status, "{:?}", case.text);
    }
    assert!(fleet.members[0].target.runs().is_empty());
}

#[tokio::test]
async fn requests_go_to_the_other_target_after_a_crash() {
    let fleet = RelayFleet::start(14, &["a", "b", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    fleet.members[1].target.crash();
    for at in 0..8 {
        let response = caller.call("POST", "/b-once/", &at.to_string(), b"").await;
        assert_eq!(response.status, 200, "request {at}");
    }
    fleet.members[2].target.crash();
    let response = caller.call("POST", "/b-once/", "9", b"").await;
    assert_eq!(response.status, 503);
    assert!(
        fleet
            .members
            .iter()
            .all(|member| !member.name.as_str().is_empty())
    );
}

#[tokio::test]
async fn silent_connections_to_the_target_fail_at_most_one_request() {
    let fleet = RelayFleet::start(35, &["a"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    for id in ["one", "two", "three"] {
        caller.send(&request("GET", "/a/wait-50/x", id, b"")).await;
    }
    for _ in 0..3 {
        assert_eq!(caller.next_response().await.unwrap().status, 200);
    }
    fleet.members[0].target.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(50)).await;
    // The request must time out while the other idle connections are still young enough for reuse.
    let lost = request("GET", "/a/x", "lost", b"");
    let lost = String::from_utf8(lost).unwrap().replace("5000", "1200");
    caller.send(lost.as_bytes()).await;
    let lost = caller.next_response().await.unwrap();
    assert_eq!(
        lost.status, 504,
        "the request on the silent connection must time out"
    );
    let next = caller.call("GET", "/a/x", "next", b"").await;
    assert_eq!(
        next.status, 200,
        "the other idle connections must not be reused"
    );
}
