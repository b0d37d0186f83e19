//! Cancellation of a call and its sub-calls. Idempotent sub-calls are stopped at every hop, because
//! no caller waits for their responses; non-idempotent ones run to their end.

use std::time::Duration;

use dragonflylead::RequestId;
use dragonflylead::UnknownKind;
use dragonflylead::coordination::routing::Router;
use dragonflylead::protocol::header;
use dragonflylead::standin::fleet::DomainSpec;
use dragonflylead::standin::fleet::Fleet;
use dragonflylead::standin::fleet::FleetSpec;
use dragonflylead::standin::fleet::Member;
use dragonflylead::standin::fleet::ServiceSpec;
use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::SubCall;
use http::Method;

const POLICY: &str = "\
[calls]
scan = GET registry /animals/* priority=normal idempotent=yes timeout=30s retries=2 # vet desk
rights = GET pastures /rights/* priority=normal idempotent=yes timeout=30s retries=2 # vet desk
move = POST pastures /moves priority=critical idempotent=no timeout=30s # shearing fair

[services]
registry = slots=8 connections=64 # racks
pastures = slots=8 connections=64 # racks
";

/// Service time of the slow target, long enough for a cancellation to arrive during its run.
const SLOW_SERVICE_TIME: Duration = Duration::from_secs(3);

/// Starts a fleet in which each call of `registry` makes the given sub-call to a slow `pastures`.
async fn fleet(sub_call: (Method, &str)) -> Fleet {
    let call = SubCall {
        method: sub_call.0,
        service: "pastures".to_owned(),
        path: sub_call.1.to_owned(),
    };
    let spec = FleetSpec {
        policy: POLICY.to_owned(),
        domains: vec![DomainSpec {
            name: "sur-1".to_owned(),
            region: "sur".to_owned(),
        }],
        services: vec![
            ServiceSpec {
                name: "registry".to_owned(),
                instances: 1,
                behaviour: Behaviour {
                    sub_calls: vec![("/animals".to_owned(), call)],
                    ..Behaviour::default()
                },
            },
            ServiceSpec {
                name: "pastures".to_owned(),
                instances: 1,
                behaviour: Behaviour {
                    service_time: SLOW_SERVICE_TIME,
                    ..Behaviour::default()
                },
            },
        ],
        seed: 9,
    };
    Fleet::start(&spec).await.unwrap()
}

/// Polls `condition` until it holds.
async fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// Returns whether no call is in progress at the node.
fn is_idle(member: &Member) -> bool {
    member.node.node().gate.is_idle()
}

/// Returns the number of attempts that the node's router counts as in flight.
fn sub_calls_in_flight(member: &Member) -> u32 {
    let node = member.node.node();
    let now = node.clock.now();
    let targets = |router: &Router| router.targets(now).map(|t| t.in_flight).sum();
    node.dispatcher.with_state(|router, _| targets(router))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_request_stops_its_idempotent_sub_calls() {
    struct Case {
        name: &'static str,
        sub_call: (Method, &'static str),
        /// Whether the target has answered the sub-call once its node is idle.
        runs_to_end: bool,
    }
    let cases = [
        Case {
            name: "idempotent sub-call",
            sub_call: (Method::GET, "/rights/7"),
            runs_to_end: false,
        },
        Case {
            name: "non-idempotent sub-call",
            sub_call: (Method::POST, "/moves"),
            runs_to_end: true,
        },
    ];
    for case in cases {
        let fleet = fleet(case.sub_call).await;
        let entry = fleet.ingress_addresses("registry")[0];
        let request = tokio::spawn(async move {
            let req = reqwest::Client::new().get(format!("http://{entry}/animals/42"));
            let response = req.header(header::REQUEST_ID, "scan-42").send().await;
            response.unwrap().headers()[header::ERROR].clone()
        });
        let registry = fleet.members_of("registry").next().unwrap();
        let pastures = fleet.members_of("pastures").next().unwrap();
        wait_until(|| !pastures.target.runs().is_empty()).await;
        let node = registry.node.node();
        let id = RequestId::from_text("scan-42");
        let stop = node.gate.cancel(id, node.clock.now(), &mut Vec::new());
        assert_eq!(stop.len(), 1, "calls to stop: {}", case.name);
        node.waiters.stop(stop[0], UnknownKind::Cancelled);
        assert_eq!(
            request.await.unwrap(),
            "cancelled",
            "error kind: {}",
            case.name
        );
        wait_until(|| is_idle(registry) && is_idle(pastures)).await;
        wait_until(|| sub_calls_in_flight(registry) == 0).await;
        let answered = pastures.target.runs()[0].response.is_some();
        assert_eq!(
            answered, case.runs_to_end,
            "answered by the target: {}",
            case.name
        );
        fleet.stop().await;
    }
}
