//! Whole answers: none that breaks off is taken for whole, and none is cut off by a shutdown.

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

const HELD: usize = 2_000;
const STREAMED: usize = 4_000_000;

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

async fn look(fleet: &Fleet) -> reqwest::Result<reqwest::Response> {
    let entry = fleet.ingress_addresses("payments")[0];
    let url = format!("http://{entry}/prices/bins");
    reqwest::Client::new().get(url).send().await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_not_taken_for_whole() {
    struct Case {
        name: &'static str,
        answer_bytes: usize,
        truncate: bool,
        whole: bool,
    }
    let cases = [
        Case {
            name: "held, whole",
            answer_bytes: HELD,
            truncate: false,
            whole: true,
        },
        Case {
            name: "held, broken off",
            answer_bytes: HELD,
            truncate: true,
            whole: false,
        },
        Case {
            name: "streamed, whole",
            answer_bytes: STREAMED,
            truncate: false,
            whole: true,
        },
        Case {
            name: "streamed, broken off",
            answer_bytes: STREAMED,
            truncate: true,
            whole: false,
        },
    ];
    for case in cases {
        let fleet = fleet(Behaviour {
            answer_bytes: case.answer_bytes,
            truncate: case.truncate,
            ..Behaviour::default()
        })
        .await;
        let response = look(&fleet).await.unwrap();
        let completed = response.headers()[header::OUTCOME] == "completed";
        let body = response.bytes().await;
        let taken = body.ok().filter(|_| completed).map(|body| body.len());
        let want = case.whole.then_some(case.answer_bytes);
        assert_eq!(taken, want, "{}", case.name);
        fleet.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_lets_a_slow_answer_end() {
    for answer_bytes in [HELD, STREAMED] {
        let mut fleet = fleet(Behaviour {
            answer_bytes,
            stream_gap: Duration::from_millis(700),
            ..Behaviour::default()
        })
        .await;
        let entry = fleet.ingress_addresses("payments")[0];
        let answer = tokio::spawn(async move {
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
        let body = answer.await.unwrap().unwrap();
        assert_eq!(body.len(), answer_bytes);
        stopped.await.unwrap();
        assert!(node.gate.is_idle());
        member.target.stop().await;
    }
}
