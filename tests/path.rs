//! Tests the whole request path: caller, entry node, target, sub-call, second node, second target
//! and the response back to the caller.

use std::time::Duration;

use bytes::Bytes;
use dragonflylead::Outcome;
use dragonflylead::caller::CallRequest;
use dragonflylead::caller::Caller;
use dragonflylead::standin::fleet::DomainSpec;
use dragonflylead::standin::fleet::Fleet;
use dragonflylead::standin::fleet::FleetSpec;
use dragonflylead::standin::fleet::ServiceSpec;
use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::SubCall;
use http::HeaderMap;
use http::Method;

const POLICY: &str = "\
[calls]
scan = GET registry /animals/* priority=normal idempotent=yes timeout=5s retries=2 # vet desk
rights = GET pastures /rights/* priority=normal idempotent=yes timeout=5s retries=2 # vet desk

[services]
registry = slots=8 connections=64 # racks
pastures = slots=8 connections=64 # racks
";

fn spec(registry: Behaviour, pastures: Behaviour) -> FleetSpec {
    let call = SubCall {
        method: Method::GET,
        service: "pastures".to_owned(),
        path: "/rights/7?full=yes".to_owned(),
    };
    let registry = Behaviour {
        sub_calls: vec![("/animals".to_owned(), call)],
        ..registry
    };
    let domain = DomainSpec {
        name: "sur-1".to_owned(),
        region: "sur".to_owned(),
    };
    FleetSpec {
        policy: POLICY.to_owned(),
        domains: vec![domain],
        services: vec![
            ServiceSpec {
                name: "registry".to_owned(),
                instances: 2,
                behaviour: registry,
            },
            ServiceSpec {
                name: "pastures".to_owned(),
                instances: 2,
                behaviour: pastures,
            },
        ],
        seed: 1,
    }
}

fn scan(operation: &str) -> CallRequest<'static> {
    let mut headers = HeaderMap::new();
    headers.insert("x-op", operation.parse().unwrap());
    CallRequest {
        method: Method::GET,
        path: "/animals/42",
        headers,
        body: Bytes::new(),
        idempotent: true,
        timeout: Duration::from_secs(5),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reaches_both_targets_and_is_answered_completely() {
    let fleet = Fleet::start(&spec(Behaviour::default(), Behaviour::default()))
        .await
        .unwrap();
    let caller = Caller::new(&fleet.ingress_addresses("registry"), 1, 7).unwrap();
    let outcome = caller.call(&scan("op-1")).await;
    let Outcome::Completed(response) = outcome else {
        panic!("not completed: {outcome:?}");
    };
    assert_eq!(response.status, 200);
    let registry_runs: Vec<_> = fleet
        .members_of("registry")
        .flat_map(|m| m.target.runs())
        .collect();
    let pastures_runs: Vec<_> = fleet
        .members_of("pastures")
        .flat_map(|m| m.target.runs())
        .collect();
    assert_eq!(registry_runs.len(), 1);
    assert_eq!(pastures_runs.len(), 1);
    assert_eq!(
        registry_runs[0].response.as_deref(),
        std::str::from_utf8(&response.body).ok()
    );
    assert_eq!(pastures_runs[0].call, "GET /rights/7?full=yes");
    assert_eq!(pastures_runs[0].operation, "op-1");
    fleet.stop().await;
}
