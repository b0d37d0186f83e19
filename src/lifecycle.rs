//! A node that runs: its ports and tasks, and how it starts and stops.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::Rng;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;

use crate::coordination::admission::TICK_INTERVAL;
use crate::coordination::attempts::AttemptId;
use crate::coordination::control::ControlSettings;
use crate::coordination::control::ControlTiming;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceState;
use crate::node::DecisionConfig;
use crate::node::Node;
use crate::policy::Policy;
use crate::protocol::peer::PeerRequest;
use crate::settings::Settings;
use crate::state::fleet::FleetView;
use crate::status::collect;
use crate::transport::attempt;
use crate::transport::control::AddressFilter;
use crate::transport::control::ControlPlane;
use crate::transport::control::ControlPlaneSettings;
use crate::transport::control::DataPathHandlers;
use crate::transport::egress::Egress;
use crate::transport::ingress::Ingress;
use crate::transport::operator::OperatorPort;
use crate::transport::server;
use crate::transport::server::Server;

/// Time between two looks for crash reports that are to be sent.
const REPORTS_PERIOD: Duration = Duration::from_millis(100);

/// How a node is started.
pub struct StartOptions {
    /// Seed of every random choice.
    pub seed: u64,
    /// This life of the node, above those before it.
    pub incarnation: Incarnation,
    /// Which decisions are on.
    pub decisions: DecisionConfig,
    /// Spans between regular control actions.
    pub timing: ControlTiming,
    /// Which peer addresses can be reached. Tests cut networks with it.
    pub address_filter: AddressFilter,
}

impl StartOptions {
    /// Everything on, with random choices from `seed`.
    pub fn new(seed: u64) -> StartOptions {
        StartOptions {
            seed,
            incarnation: Incarnation(seed),
            decisions: DecisionConfig::default(),
            timing: ControlTiming::default(),
            address_filter: Box::new(|_| true),
        }
    }
}

/// A node that serves its ports.
pub struct RunningNode {
    node: Arc<Node>,
    ingress: Server,
    egress: Server,
    operator: Server,
    peer: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningNode {
    /// Starts a node. It refuses calls until it has a confirmed view of the fleet.
    ///
    /// # Errors
    ///
    /// If a port cannot be served.
    pub async fn start(settings: Settings, options: StartOptions) -> io::Result<RunningNode> {
        let listener = TcpListener::bind(settings.ports.peer)?;
        let peer = listener.local_addr()?;
        let node = Node::new(
            settings,
            options.decisions.clone(),
            options.incarnation,
            options.seed,
        )?;
        let node = Arc::new(node);
        let ports = &node.settings.ports;
        let ingress = server::catch_all(Ingress(node.clone()));
        let ingress = Server::start(ports.ingress, ingress).await?;
        let egress = server::catch_all(Egress(node.clone()));
        let egress = Server::start(ports.egress, egress).await?;
        node.set_ports(ingress.address().port(), egress.address().port());
        let operator = operator_port(&node).serve(ports.operator).await?;
        start_control(&node, listener, ingress.address(), options)?;
        let tasks = vec![
            tokio::spawn(follow_fleet(node.clone())),
            tokio::spawn(send_reports(node.clone())),
            tokio::spawn(tick(node.clone())),
        ];
        Ok(RunningNode {
            node,
            ingress,
            egress,
            operator,
            peer,
            tasks,
        })
    }

    /// Returns the address of the ingress port.
    pub fn ingress(&self) -> SocketAddr {
        self.ingress.address()
    }

    /// Returns the address of the egress port.
    pub fn egress(&self) -> SocketAddr {
        self.egress.address()
    }

    /// Returns the tables of the node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the address of the peer port.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address of the operator port.
    pub fn operator(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Returns the instance as the platform would list it.
    pub fn instance(&self) -> Instance {
        listed(&self.node, self.ingress(), self.peer)
    }

    /// Waits until the node may act on its view of the fleet.
    pub async fn ready(&self) {
        if let Some(control) = self.node.control() {
            control.wait_until_ready().await;
        }
    }

    /// Waits until the node knows each of `instances`.
    pub async fn wait_for_instances(&self, instances: &[Instance]) {
        let Some(control) = self.node.control() else {
            return;
        };
        for instance in instances {
            let service = &instance.service;
            control.add_service(service, Duration::ZERO).await;
            let known = |fleet: &FleetView| {
                let known = fleet.instance(service.as_str(), &instance.name);
                known.is_some_and(|known| known.instance == *instance)
            };
            control.wait_until(known).await;
        }
        self.node.apply_fleet_view(&self.node.fleet().snapshot());
    }

    /// Refuses new calls, waits for those in progress, then stops.
    pub async fn stop(self) {
        self.node.gate.drain();
        if let Some(control) = self.node.control() {
            control.drain();
        }
        loop {
            let ended = self.node.call_ended.notified();
            if self.node.gate.is_idle() {
                break;
            }
            ended.await;
        }
        tokio::join!(
            self.ingress.stop(),
            self.egress.stop(),
            self.operator.stop()
        );
        if let Some(control) = self.node.control() {
            control.stop();
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Runs a node until the process is told to terminate, and stops it gracefully.
///
/// # Errors
///
/// If the node cannot start, or requests are still in progress when the drain grace ends.
pub async fn run(settings: Settings) -> io::Result<()> {
    let grace = settings.drain_grace;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let options = StartOptions {
        incarnation: Incarnation(unix_micros()),
        ..StartOptions::new(rand::rng().next_u64())
    };
    let starting = RunningNode::start(settings, options);
    let running = tokio::select! {
        running = starting => running?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    log::info!(
        ingress:% = running.ingress(),
        egress:% = running.egress(),
        peer:% = running.peer(),
        operator:% = running.operator();
        "listening"
    );
    let announce = async {
        running.ready().await;
        log::info!("ready");
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = announce => (),
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    log::info!("draining");
    tokio::time::timeout(grace, running.stop())
        .await
        .map_err(|_| io::Error::other(format!("requests in progress after {grace:?}")))?;
    log::info!("stopped");
    Ok(())
}

/// Microseconds since the Unix epoch; a node that starts later has a higher incarnation.
fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

fn operator_port(node: &Arc<Node>) -> OperatorPort {
    let shown = node.clone();
    OperatorPort::new(node.telemetry.metrics.clone(), move || {
        collect::node_status(&shown)
    })
}

fn listed(node: &Node, ingress: SocketAddr, peer: SocketAddr) -> Instance {
    let own = &node.settings.instance;
    Instance {
        name: own.name.clone(),
        service: own.service.clone(),
        domain: own.domain.clone(),
        region: own.region.clone(),
        ingress,
        peer,
        state: InstanceState::Live,
    }
}

fn start_control(
    node: &Arc<Node>,
    listener: TcpListener,
    ingress: SocketAddr,
    options: StartOptions,
) -> io::Result<()> {
    let instance = listed(node, ingress, listener.local_addr()?);
    let control = ControlSettings {
        instance,
        incarnation: node.incarnation(),
        called_services: Vec::new(),
        seeds: node.settings.peers.clone(),
        fleet_size: node.settings.fleet_size as u64,
        timing: options.timing,
        validate: Box::new(|text| Policy::parse(text).map(drop).map_err(|e| e.to_string())),
    };
    let control = ControlPlane::start(ControlPlaneSettings {
        control,
        listener,
        platform: node.settings.platform.clone(),
        keys: node.keyring().clone(),
        clock: node.clock.clone(),
        seed: options.seed,
        fleet: node.fleet().clone(),
        handlers: peer_handlers(node),
        address_filter: options.address_filter,
    })?;
    node.set_control(control);
    Ok(())
}

/// Handlers hold the node weakly, since the node owns the control plane that calls them.
fn peer_handlers(node: &Arc<Node>) -> DataPathHandlers {
    let for_crash = Arc::downgrade(node);
    let for_cancel = Arc::downgrade(node);
    DataPathHandlers {
        crash: Box::new(move |_, report| {
            if let Some(node) = for_crash.upgrade() {
                node.gate.merge_crash_report(node.clock.now(), &report);
            }
        }),
        cancel: Box::new(move |from, number| {
            if let Some(node) = for_cancel.upgrade() {
                node.cancel(&AttemptId {
                    from: from.name.clone(),
                    incarnation: from.incarnation,
                    number,
                });
            }
        }),
        ..DataPathHandlers::default()
    }
}

/// Takes over each view of the fleet that the control plane publishes.
async fn follow_fleet(node: Arc<Node>) {
    let Some(control) = node.control().cloned() else {
        return;
    };
    let mut taken = node.fleet().snapshot();
    node.apply_fleet_view(&taken);
    loop {
        let last = taken.revision();
        taken = control.wait_for_change(&taken).await;
        node.apply_fleet_view(&taken);
        if taken.revision() != last {
            log::info!(revision = taken.revision(); "configuration in force");
        }
    }
}

/// Sends reports of crashes to the other nodes of the service.
async fn send_reports(node: Arc<Node>) {
    let Some(control) = node.control().cloned() else {
        return;
    };
    let mut interval = tokio::time::interval(REPORTS_PERIOD);
    loop {
        interval.tick().await;
        let reports = node.take_crash_reports();
        let fleet = node.fleet().snapshot();
        let others = fleet.instances(node.service.as_str()).iter();
        for known in others.filter(|known| known.instance.name != node.name) {
            for report in &reports {
                let request = PeerRequest::Crash(report.clone());
                let name = Some(&known.instance.name);
                let sent = control
                    .client()
                    .send_request(name, known.instance.peer, request)
                    .await;
                if let Err(e) = sent {
                    log::warn!("crash report to {}: {e}", known.instance.name);
                }
            }
        }
    }
}

async fn tick(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        if node.tick() {
            tokio::spawn(attempt::revalidate_peers(node.clone()));
        }
    }
}
