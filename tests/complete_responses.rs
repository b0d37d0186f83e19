//! Completeness of responses: a truncated response never looks complete to the caller, and a
//! graceful shutdown waits for responses in progress.

use std::time::Duration;

use dragonflylead::protocol::header;
use dragonflylead::standin::fleet::DomainSpec;
use dragonflylead::standin::fleet::Fleet;
use dragonflylead::standin::fleet::FleetSpec;
use dragonflylead::standin::fleet::ServiceSpec;
use dragonflylead::standin::target::Behaviour;

const POLICY: &str = "\
[calls]
price = GET payments /prices/* priority=normal idempotent=yes timeout=20s retries=0 # price desk

[services]
payments = slots=8 connections=64 # racks
";

/// Size of a response that the node buffers, in bytes.
const BUFFERED_BYTES: usize = 2_000;

/// Size of a response that the node streams, in bytes.
const STREAMED_BYTES: usize = 4_000_000;

/// Starts a fleet of one instance whose target has the given behaviour.
async fn fleet(behaviour: Behaviour) -> Fleet {
    let spec = FleetSpec {
        policy: POLICY.to_owned(),
        domains: vec![DomainSpec {
            name: "sindh-1".to_owned(),
            region: "sindh".to_owned(),
        }],
        services: vec![ServiceSpec {
            name: "payments".to_owned(),
            instances: 1,
            behaviour,
        }],
        seed: 4,
    };
    Fleet::start(&spec).await.unwrap()
}

/// Requests a price and returns the response, whose body may still be arriving.
async fn get_price(fleet: &Fleet) -> reqwest::Result<reqwest::Response> {
    let entry = fleet.ingress_addresses("payments")[0];
    let url = format!("http://{entry}/prices/bins");
    reqwest::Client::new().get(url).send().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_does_not_look_complete() {
    struct Case {
        name: &'static str,
        response_bytes: usize,
        truncate: bool,
        /// Whether the caller must receive the complete response.
        complete: bool,
    }
    let cases = [
        Case {
            name: "buffered, complete",
            response_bytes: BUFFERED_BYTES,
            truncate: false,
            complete: true,
        },
        Case {
            name: "buffered, truncated",
            response_bytes: BUFFERED_BYTES,
            truncate: true,
            complete: false,
        },
        Case {
            name: "streamed, complete",
            response_bytes: STREAMED_BYTES,
            truncate: false,
            complete: true,
        },
        Case {
            name: "streamed, truncated",
            response_bytes: STREAMED_BYTES,
            truncate: true,
            complete: false,
        },
    ];
    for case in cases {
        let fleet = fleet(Behaviour {
            response_bytes: case.response_bytes,
            truncate: case.truncate,
            ..Behaviour::default()
        })
        .await;
        let response = get_price(&fleet).await.unwrap();
        let completed = response.headers()[header::OUTCOME] == "completed";
        let body = response.bytes().await;
        let received = body.ok().filter(|_| completed).map(|body| body.len());
        let expected = case.complete.then_some(case.response_bytes);
        assert_eq!(
            received, expected,
            "size of the complete response: {}",
            case.name
        );
        fleet.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_for_a_slow_response() {
    for response_bytes in [BUFFERED_BYTES, STREAMED_BYTES] {
        let mut fleet = fleet(Behaviour {
            response_bytes,
            stream_gap: Duration::from_millis(700),
            ..Behaviour::default()
        })
        .await;
        let entry = fleet.ingress_addresses("payments")[0];
        let response = tokio::spawn(async move {
            let url = format!("http://{entry}/prices/bins");
            let response = reqwest::Client::new().get(url).send().await.unwrap();
            response.bytes().await
        });
        let member = fleet.members.remove(0);
        while member.target.runs().is_empty() {
            tokio::task::yield_now().await;
        }
        let node = member.node.node().clone();
        let stopped = tokio::spawn(member.node.stop());
        let body = response.await.unwrap().unwrap();
        assert_eq!(body.len(), response_bytes);
        stopped.await.unwrap();
        assert!(node.gate.is_idle());
        member.target.stop().await;
    }
}
