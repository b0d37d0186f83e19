//! Nodes as separate processes: a call that passes through two nodes, and a graceful shutdown.

mod common;
#[path = "common/process.rs"]
mod process;

use std::time::Duration;

use dragonflylead::Outcome;
use dragonflylead::caller::Caller;
use dragonflylead::protocol::header;
use dragonflylead::standin::platform::PlatformStandin;
use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::SubCall;
use dragonflylead::standin::target::TargetStandin;
use http::Method;
use process::NodeProcess;

const POLICY: &str = "\
[calls]
scan = GET registry /* priority=normal idempotent=yes timeout=20s retries=2 # vet desk
rights = GET pastures /* priority=normal idempotent=yes timeout=20s retries=2 # vet desk

[services]
registry = slots=8 connections=64 # racks
pastures = slots=8 connections=64 # racks
";

/// Timeout of one request. A call that is admitted before the node drains does not end, since its
/// target withholds the response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

#[tokio::test(flavor = "multi_thread")]
async fn a_call_passes_two_processes_and_shutdown_waits_for_calls_in_progress() {
    let dir = tempfile::tempdir().unwrap();
    let platform = PlatformStandin::start().await.unwrap();
    platform.set_config(1, POLICY);
    let rights = SubCall {
        method: Method::GET,
        service: "pastures".to_owned(),
        path: "/rights/7".to_owned(),
    };
    let large_responses = Behaviour {
        response_bytes: 600_000,
        sub_calls: vec![("/animals".to_owned(), rights)],
        ..Behaviour::default()
    };
    let registry_target = TargetStandin::start("registry-1", large_responses)
        .await
        .unwrap();
    let pastures_target = TargetStandin::start("pastures-1", Behaviour::default())
        .await
        .unwrap();
    let mut registry = NodeProcess::start(
        dir.path(),
        "registry-1",
        registry_target.address(),
        platform.url(),
    );
    let pastures = NodeProcess::start(
        dir.path(),
        "pastures-1",
        pastures_target.address(),
        platform.url(),
    );
    registry_target.set_egress(registry.egress);
    platform.set_instances(vec![
        registry.instance("registry-1"),
        pastures.instance("pastures-1"),
    ]);

    let caller = Caller::new(&[registry.ingress], 0, 3).unwrap();
    let first_response_bytes = tokio::time::timeout(common::WAIT_TIMEOUT, async {
        loop {
            if let Outcome::Completed(response) =
                caller.call(&common::lookup("/animals/1", "a")).await
                && response.status == 200
            {
                break response.body.len();
            }
        }
    });
    assert_eq!(first_response_bytes.await.unwrap(), 600_000);
    assert!(!pastures_target.runs().is_empty());

    let url = format!("http://{}/animals/2", registry.ingress);
    let client = reqwest::Client::new();
    registry_target.update_behaviour(|behaviour| {
        behaviour.withhold = true;
        behaviour.service_time = Duration::ZERO;
    });
    let in_progress = client.get(&url).send().await.unwrap();
    assert_eq!(in_progress.headers()[header::OUTCOME], "completed");
    registry.terminate();
    let refusal_kind = tokio::time::timeout(common::WAIT_TIMEOUT, async {
        loop {
            let Ok(response) = client.get(&url).timeout(REQUEST_TIMEOUT).send().await else {
                continue;
            };
            if response.headers()[header::OUTCOME] == "not-run" {
                break response.headers()[header::ERROR]
                    .to_str()
                    .unwrap()
                    .to_owned();
            }
        }
    });
    assert_eq!(refusal_kind.await.unwrap(), "draining");
    registry_target.release_withheld();
    assert_eq!(in_progress.bytes().await.unwrap().len(), 600_000);
    assert!(registry.child.wait().unwrap().success());
}
