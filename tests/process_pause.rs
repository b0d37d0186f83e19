//! A node process that is paused while the fleet changes, and resumes with a stale view.

mod common;
#[path = "common/process.rs"]
mod process;

use std::time::Duration;

use dragonflylead::Outcome;
use dragonflylead::caller::Caller;
use dragonflylead::standin::platform::PlatformStandin;
use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::SubCall;
use dragonflylead::standin::target::TargetStandin;
use dragonflylead::timer::PAUSE_GAP;
use http::Method;
use process::NodeProcess;
use rustix::process::Signal;

const POLICY: &str = "\
[calls]
scan = GET registry /* priority=normal idempotent=yes timeout=20s retries=2 # vet desk
rights = GET pastures /* priority=normal idempotent=yes timeout=20s retries=2 # vet desk

[services]
registry = slots=8 connections=64 # racks
pastures = slots=8 connections=64 # racks
";

/// Duration for which the process is stopped.
const PAUSE: Duration = PAUSE_GAP.saturating_mul(3);

/// Sends lookups until one completes with status 200.
async fn wait_until_completed(caller: &Caller, operation: &str) {
    let completed = async {
        loop {
            let outcome = caller.call(&common::lookup("/animals/1", operation)).await;
            if matches!(outcome, Outcome::Completed(response) if response.status == 200) {
                break;
            }
        }
    };
    tokio::time::timeout(common::WAIT_TIMEOUT, completed)
        .await
        .unwrap();
}

/// Returns the number of process pauses in the status of a node.
async fn detected_pauses(node: &NodeProcess) -> u64 {
    let url = format!("http://{}/status", node.operator);
    let status = reqwest::get(url).await.unwrap().bytes().await.unwrap();
    let status: serde_json::Value = serde_json::from_slice(&status).unwrap();
    status["pauses"].as_u64().unwrap()
}

async fn start_pastures() -> TargetStandin {
    TargetStandin::start("pastures", Behaviour::default())
        .await
        .unwrap()
}

/// A registry node is stopped while the only instance that its target calls is replaced. After it
/// resumes, its sub-calls must go to the new instance only.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_does_not_call_a_removed_instance() {
    let dir = tempfile::tempdir().unwrap();
    let platform = PlatformStandin::start().await.unwrap();
    platform.set_config(1, POLICY);
    let rights = SubCall {
        method: Method::GET,
        service: "pastures".to_owned(),
        path: "/rights/7".to_owned(),
    };
    let behaviour = Behaviour {
        sub_calls: vec![("/animals".to_owned(), rights)],
        ..Behaviour::default()
    };
    let target = TargetStandin::start("registry", behaviour).await.unwrap();
    let (before, after) = (start_pastures().await, start_pastures().await);
    let start = |name: &str, target| NodeProcess::start(dir.path(), name, target, platform.url());
    let registry = start("registry-1", target.address());
    let mut old_instance = start("pastures-1", before.address());
    target.set_egress(registry.egress);
    platform.set_instances(vec![
        registry.instance("registry-1"),
        old_instance.instance("pastures-1"),
    ]);
    let caller = Caller::new(&[registry.ingress], 0, 3).unwrap();
    wait_until_completed(&caller, "before").await;
    assert_eq!(before.run_counts()["before"], 1);

    registry.signal(Signal::STOP);
    let new_instance = start("pastures-2", after.address());
    old_instance.terminate();
    assert!(old_instance.child.wait().unwrap().success());
    platform.set_instances(vec![
        registry.instance("registry-1"),
        new_instance.instance("pastures-2"),
    ]);
    tokio::time::sleep(PAUSE).await;
    registry.signal(Signal::CONT);

    wait_until_completed(&caller, "after").await;
    assert!(after.run_counts()["after"] >= 1);
    assert!(!before.run_counts().contains_key("after"));
    assert!(detected_pauses(&registry).await >= 1);
}
