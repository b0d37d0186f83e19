//! What several tests of running nodes share.

#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use dragonflylead::caller::CallRequest;
use dragonflylead::lifecycle::RunningNode;
use dragonflylead::lifecycle::StartOptions;
use dragonflylead::settings::Ports;
use dragonflylead::settings::Settings;
use dragonflylead::standin::fleet::DomainSpec;
use dragonflylead::standin::fleet::FleetSpec;
use dragonflylead::standin::fleet::ServiceSpec;
use dragonflylead::standin::target::Behaviour;
use http::HeaderMap;
use http::Method;

/// Longest time that a test waits for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A fleet in one failure domain.
pub(crate) fn single_domain_fleet(
    policy: &str,
    services: &[(&str, usize, Behaviour)],
) -> FleetSpec {
    let services = services
        .iter()
        .map(|(name, instances, behaviour)| ServiceSpec {
            name: (*name).to_owned(),
            instances: *instances,
            behaviour: behaviour.clone(),
        })
        .collect();
    let domain = DomainSpec {
        name: "sur-1".to_owned(),
        region: "sur".to_owned(),
    };
    FleetSpec {
        policy: policy.to_owned(),
        domains: vec![domain],
        services,
        seed: 1,
    }
}

/// An idempotent request.
pub(crate) fn lookup(path: &'static str, operation: &str) -> CallRequest<'static> {
    request(Method::GET, path, operation, true)
}

/// A non-idempotent request.
pub(crate) fn charge(path: &'static str, operation: &str) -> CallRequest<'static> {
    request(Method::POST, path, operation, false)
}

fn request(
    method: Method,
    path: &'static str,
    operation: &str,
    idempotent: bool,
) -> CallRequest<'static> {
    let mut headers = HeaderMap::new();
    headers.insert("x-op", operation.parse().unwrap());
    CallRequest {
        method,
        path,
        headers,
        body: Bytes::new(),
        idempotent,
        timeout: Duration::from_secs(10),
    }
}

/// Starts another node with the settings of one that runs, on ports of its own.
pub(crate) async fn restart(mut settings: Settings, seed: u64) -> RunningNode {
    let any = ([127, 0, 0, 1], 0).into();
    settings.ports = Ports {
        ingress: any,
        egress: any,
        peer: any,
        operator: any,
    };
    RunningNode::start(settings, StartOptions::new(seed))
        .await
        .unwrap()
}
