//! Nodes as separate processes: a call through two of them, and a graceful shutdown.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use dragonflylead::Outcome;
use dragonflylead::caller::Caller;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;
use dragonflylead::protocol::header;
use dragonflylead::standin::platform::PlatformStandin;
use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::SubCall;
use dragonflylead::standin::target::TargetStandin;
use http::Method;
use rustix::process::Pid;
use rustix::process::Signal;

const POLICY: &str = "\
[calls]
scan = GET registry /* priority=normal idempotent=yes timeout=20s retries=2 # vet desk
rights = GET pastures /* priority=normal idempotent=yes timeout=20s retries=2 # vet desk

[services]
registry = slots=8 connections=64 # racks
pastures = slots=8 connections=64 # racks
";

/// A node that runs as a process; it is killed when a test ends early.
struct NodeProcess {
    child: Child,
    ingress: SocketAddr,
    egress: SocketAddr,
    peer: SocketAddr,
}

impl NodeProcess {
    fn start(dir: &Path, name: &str, target: SocketAddr, platform: &str) -> NodeProcess {
        let service = name.split('-').next().unwrap();
        let file = dir.join(format!("{name}.ini"));
        let text = format!(
            "[instance]\nname={name}\nservice={service}\ndomain=sur-1\nregion=sur\n\
             [ports]\ningress=127.0.0.1:0\negress=127.0.0.1:0\npeer=127.0.0.1:0\n\
             operator=127.0.0.1:0\n[target]\naddress={target}\n[platform]\nurl={platform}\n\
             [fleet]\nkey=a key of sixteen characters or more\n"
        );
        std::fs::write(&file, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_dragonflylead-node"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut lines = log.lines().map(|line| line.unwrap());
        let line = lines
            .find(|line| line.contains("\"listening\""))
            .expect("the node serves");
        std::thread::spawn(move || lines.for_each(drop));
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        let port = |key: &str| line[key].as_str().unwrap().parse().unwrap();
        NodeProcess {
            child,
            ingress: port("ingress"),
            egress: port("egress"),
            peer: port("peer"),
        }
    }

    fn instance(&self, name: &str) -> Instance {
        Instance {
            name: name.into(),
            service: name.split('-').next().unwrap().into(),
            domain: "sur-1".into(),
            region: "sur".into(),
            ingress: self.ingress,
            peer: self.peer,
            state: InstanceState::Live,
        }
    }

    fn terminate(&self) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, Signal::TERM).unwrap();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

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
        stream_gap: Duration::from_secs(2),
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
    let whole = tokio::time::timeout(common::PATIENCE, async {
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
    let in_progress = client.get(&url).send().await.unwrap();
    assert_eq!(in_progress.headers()[header::OUTCOME], "completed");
    registry.terminate();
    let refused = tokio::time::timeout(common::PATIENCE, async {
        loop {
            let answer = client.get(&url).send().await.unwrap();
            if answer.headers()[header::OUTCOME] == "not-run" {
                break answer.headers()[header::ERROR].to_str().unwrap().to_owned();
            }
        }
    });
    assert_eq!(refused.await.unwrap(), "draining");
    assert_eq!(in_progress.bytes().await.unwrap().len(), 600_000);
    assert!(registry.child.wait().unwrap().success());
}
