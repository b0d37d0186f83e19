//! A fleet of real nodes with recording targets and a platform stand-in, all in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dragonflylead::instance::DomainName;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::RegionName;
use dragonflylead::instance::ServiceName;
use dragonflylead::lifecycle::RunningNode;
use dragonflylead::lifecycle::StartOptions;
use dragonflylead::settings::FleetKeys;
use dragonflylead::settings::Identity;
use dragonflylead::settings::Ports;
use dragonflylead::settings::Settings;
use dragonflylead::standin::platform::PlatformStandin;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::task::JoinHandle;

use crate::checker::Bounds;
use crate::checker::Event;
use crate::checker::EventKind;
use crate::checker::InstanceIncarnation;
use crate::checker::Violation;
use crate::checker::check;
use crate::client::Client;
use crate::client::EntryNode;
use crate::client::UserRequest;
use crate::lossy_proxy::LossyProxy;
use crate::recorder::Recorder;
use crate::target::Behaviour;
use crate::target::Target;

/// Maximum time after the start of draining at which an instance still starts a run. The calls that
/// it had queued start within this time.
pub(crate) const MAX_START_AFTER_DRAIN: Duration = Duration::from_secs(1);

/// Time before its deadline within which a queued charge preempts a lookup, including a margin.
const PREEMPTION_WINDOW: Duration = Duration::from_millis(200);

/// Interval between two checks for a stall of the process.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of a check above which the process counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Maximum time for nodes without waiting callers to stop. Longer than every timeout in the
/// policies.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// The instances of one service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: String,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Behaviour of the target of each instance.
    pub(crate) behaviour: Behaviour,
}

/// An instance with its target and its node.
pub(crate) struct Member {
    pub(crate) instance: Instance,
    pub(crate) target: Target,
    pub(crate) node: RunningNode,
}

/// A running fleet and the recorder of its events.
pub(crate) struct RecordedFleet {
    pub(crate) members: Vec<Member>,
    pub(crate) recorder: Arc<Recorder>,
    platform: PlatformStandin,
    stall_task: JoinHandle<()>,
    /// Proxies in front of the ingress ports; empty if the network is not lossy.
    proxies: Vec<LossyProxy>,
}

impl RecordedFleet {
    /// Starts all targets and nodes, and waits until every node knows every instance.
    pub(crate) async fn start(policy: &str, services: &[Service], seed: u64) -> RecordedFleet {
        RecordedFleet::start_with(policy, services, seed, false).await
    }

    /// Starts a fleet in which responses to callers and between nodes get lost.
    pub(crate) async fn start_lossy(
        policy: &str,
        services: &[Service],
        seed: u64,
    ) -> RecordedFleet {
        RecordedFleet::start_with(policy, services, seed, true).await
    }

    async fn start_with(
        policy: &str,
        services: &[Service],
        seed: u64,
        lossy: bool,
    ) -> RecordedFleet {
        let platform = PlatformStandin::start().await.unwrap();
        platform.set_config(1, policy);
        let recorder = Arc::new(Recorder::new());
        let mut fleet = RecordedFleet {
            members: Vec::new(),
            stall_task: tokio::spawn(record_stalls(recorder.clone())),
            recorder,
            platform,
            proxies: Vec::new(),
        };
        for service in services {
            for index in 0..service.instances {
                fleet.add_member(service, index, seed).await;
            }
        }
        if lossy {
            fleet.add_proxies(seed).await;
        }
        let instances: Vec<Instance> = fleet.members.iter().map(|m| m.instance.clone()).collect();
        fleet.platform.set_instances(instances.clone());
        for member in &fleet.members {
            member.node.ready().await;
            member.node.wait_for_instances(&instances).await;
        }
        fleet
    }

    /// Puts a lossy proxy in front of the ingress port of each member.
    async fn add_proxies(&mut self, seed: u64) {
        for (number, member) in self.members.iter_mut().enumerate() {
            let seed = seed.wrapping_add(number as u64);
            let proxy = LossyProxy::start(member.instance.ingress, seed).await;
            member.instance.ingress = proxy.address();
            self.proxies.push(proxy);
        }
    }

    /// Starts the target and the node of one instance.
    async fn add_member(&mut self, service: &Service, index: usize, seed: u64) {
        let name = format!("{}-{index}", service.name);
        let at = InstanceIncarnation {
            instance: name.clone(),
            incarnation: 1,
        };
        let behaviour = service.behaviour.clone();
        let recorder = self.recorder.clone();
        let target = Target::start(at, &service.name, seed, behaviour, recorder)
            .await
            .unwrap();
        let identity = Identity {
            name: InstanceName::new(&name),
            service: ServiceName::new(&service.name),
            domain: DomainName::new("sur-1"),
            region: RegionName::new("sur"),
        };
        let settings = settings(&identity, self.platform.url(), target.address());
        let number = self.members.len() as u64;
        let options = StartOptions::new(seed.wrapping_add(number));
        let node = RunningNode::start(settings, options).await.unwrap();
        target.set_egress(node.egress());
        let instance = node.instance();
        self.members.push(Member {
            instance,
            target,
            node,
        });
    }

    /// Returns a client that uses the nodes of a service as entry nodes.
    pub(crate) fn client(&self, service: &str) -> Client {
        let of_service = self
            .members
            .iter()
            .filter(|m| m.instance.service.as_str() == service);
        let entries = of_service.map(|m| EntryNode {
            instance: m.instance.name.to_string(),
            address: m.instance.ingress,
        });
        Client::new(entries.collect(), self.recorder.clone())
    }

    /// Starts to drain the member with this index.
    pub(crate) fn drain(&self, index: usize) {
        let member = &self.members[index];
        let at = member.target.incarnation();
        member.node.node().gate.drain();
        self.recorder.record(EventKind::Draining { at });
    }

    /// Stops all nodes and targets, and returns the recorded events.
    ///
    /// Panics if a node does not stop in time, because it then still holds a call.
    pub(crate) async fn stop(self) -> Vec<Event> {
        self.stall_task.abort();
        let (nodes, targets): (Vec<_>, Vec<_>) =
            self.members.into_iter().map(|m| (m.node, m.target)).unzip();
        let stopping = futures_util::future::join_all(nodes.into_iter().map(RunningNode::stop));
        let stopped = tokio::time::timeout(STOP_TIMEOUT, stopping).await;
        assert!(
            stopped.is_ok(),
            "a node did not stop within {STOP_TIMEOUT:?}: it holds a call without a waiting caller"
        );
        futures_util::future::join_all(targets.into_iter().map(Target::stop)).await;
        self.recorder.events()
    }
}

/// Records the intervals in which the process did not run.
async fn record_stalls(recorder: Arc<Recorder>) {
    loop {
        let since = recorder.elapsed();
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        if recorder.elapsed() > since + STALL_CHECK_INTERVAL + STALL_THRESHOLD {
            recorder.record(EventKind::Stalled { since });
        }
    }
}

/// Sends all requests with at most `concurrency` of them in progress.
pub(crate) async fn send_all(client: &Client, requests: &[UserRequest], concurrency: usize) {
    stream::iter(requests)
        .for_each_concurrent(concurrency, |req| async {
            client.send_request(req).await;
        })
        .await;
}

/// Asserts that a history violates no promise, given the spare attempts of each request. `name`
/// identifies the test case in the message.
pub(crate) fn assert_no_violations(events: &[Event], spare_attempts: u32, name: &str) {
    let bounds = Bounds {
        spare_attempts,
        max_start_after_drain: MAX_START_AFTER_DRAIN,
        preemption_window: PREEMPTION_WINDOW,
    };
    let violations: Vec<Violation> = check(events, &bounds);
    assert!(
        violations.is_empty(),
        "{name}: {} violations, the first of them: {:?}",
        violations.len(),
        &violations[..violations.len().min(8)]
    );
}

/// Builds the settings of a node with free ports.
fn settings(identity: &Identity, platform: &str, target: SocketAddr) -> Settings {
    let keys = FleetKeys {
        current: "a key for recorded runs".to_owned(),
        previous: None,
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::with_defaults(identity.clone(), platform, keys);
    settings.target = target;
    settings.ports = Ports {
        ingress: any,
        egress: any,
        peer: any,
        operator: any,
    };
    settings
}
