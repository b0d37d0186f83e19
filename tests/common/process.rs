//! Starts nodes as separate processes.

#![allow(dead_code)]

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;
use rustix::process::Pid;
use rustix::process::Signal;

/// A node that runs as a separate process. It is killed when dropped, in case a test fails.
pub(crate) struct NodeProcess {
    pub(crate) child: Child,
    pub(crate) ingress: SocketAddr,
    pub(crate) egress: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
}

impl NodeProcess {
    /// Starts a node and waits until it logs the addresses of its ports.
    pub(crate) fn start(dir: &Path, name: &str, target: SocketAddr, platform: &str) -> NodeProcess {
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
            .expect("the node exited without logging its addresses");
        std::thread::spawn(move || lines.for_each(drop));
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = |key: &str| line[key].as_str().unwrap().parse().unwrap();
        NodeProcess {
            child,
            ingress: address("ingress"),
            egress: address("egress"),
            peer: address("peer"),
            operator: address("operator"),
        }
    }

    /// Returns the instance of the node, as the platform would list it.
    pub(crate) fn instance(&self, name: &str) -> Instance {
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

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).unwrap();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
