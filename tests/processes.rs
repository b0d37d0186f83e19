//! Nodes as separate processes: a call through two of them, and a graceful shutdown.

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

/// Time for one try; a call that is admitted while the node does not drain yet has no end.
const TRY: Duration = Duration::from_millis(200);

#[tokio::test(flavor = "multi_thread")]
async fn a_call_passes_two_processes_and_shutdown_cuts_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let platform = PlatformStandin::start().await.unwrap();
    platform.set_config(1, POLICY);
    let rights = SubCall {
        method: Method::GET,
        service: "pastures".to_owned(),
        path: "/rights/7".to_owned(),
    };
    let slow = Behaviour {
        answer_bytes: 600_000,
        sub_calls: vec![("/animals".to_owned(), rights)],
        ..Behaviour::default()
    };
    let first = TargetStandin::start("registry-1", slow).await.unwrap();
    let second = TargetStandin::start("pastures-1", Behaviour::default())
        .await
        .unwrap();
    let mut registry =
        NodeProcess::start(dir.path(), "registry-1", first.address(), platform.url());
    let pastures = NodeProcess::start(dir.path(), "pastures-1", second.address(), platform.url());
    first.set_egress(registry.egress);
    platform.set_instances(vec![
        registry.instance("registry-1"),
        pastures.instance("pastures-1"),
    ]);

    let caller = Caller::new(&[registry.ingress], 0, 3).unwrap();
    let whole = tokio::time::timeout(common::WAIT_TIMEOUT, async {
        loop {
            if let Outcome::Completed(answer) =
                caller.call(&common::lookup("/animals/1", "a")).await
                && answer.status == 200
            {
                break answer.body.len();
            }
        }
    });
    assert_eq!(whole.await.unwrap(), 600_000);
    assert!(!second.runs().is_empty());

    let url = format!("http://{}/animals/2", registry.ingress);
    let client = reqwest::Client::new();
    first.update_behaviour(|behaviour| {
        behaviour.withhold = true;
        behaviour.service_time = Duration::ZERO;
    });
    let in_progress = client.get(&url).send().await.unwrap();
    assert_eq!(in_progress.headers()[header::OUTCOME], "completed");
    registry.terminate();
    let refused = tokio::time::timeout(common::WAIT_TIMEOUT, async {
        loop {
            let Ok(answer) = client.get(&url).timeout(TRY).send().await else {
                continue;
            };
            if answer.headers()[header::OUTCOME] == "not-run" {
                break answer.headers()[header::ERROR].to_str().unwrap().to_owned();
            }
        }
    });
    assert_eq!(refused.await.unwrap(), "draining");
    first.release_withheld();
    assert_eq!(in_progress.bytes().await.unwrap().len(), 600_000);
    assert!(registry.child.wait().unwrap().success());
}
