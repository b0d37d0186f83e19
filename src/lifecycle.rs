//! Startup and graceful shutdown of a node: its ports and background tasks.

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

/// Time between two checks for crash reports to send.
const CRASH_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Options for the start of a node that are not part of its settings.
pub struct StartOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Incarnation of the node, higher than those of its predecessors.
    pub incarnation: Incarnation,
    /// Configuration of the admission and routing decisions.
    pub decisions: DecisionConfig,
    /// Intervals of the periodic work of the control plane.
    pub timing: ControlTiming,
    /// Decides which peer addresses can be reached, so that tests can simulate network partitions.
    pub address_filter: AddressFilter,
}

impl StartOptions {
    /// Returns the default options with the given seed, which is also the incarnation.
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

/// A running node with its ports and background tasks.
pub struct RunningNode {
    node: Arc<Node>,
    ingress: Server,
    egress: Server,
    operator: Server,
    peer: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningNode {
    /// Starts a node. It refuses calls until its view of the fleet is confirmed.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound, or an HTTP client cannot be built.
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
            tokio::spawn(apply_fleet_views(node.clone())),
            tokio::spawn(send_crash_reports(node.clone())),
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

    /// Returns the state of the node.
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

    /// Returns the instance of the node, as the platform would list it.
    pub fn instance(&self) -> Instance {
        listed_instance(&self.node, self.ingress(), self.peer)
    }

    /// Waits until the node's view of the fleet is confirmed, so that it accepts calls.
    pub async fn ready(&self) {
        if let Some(control) = self.node.control() {
            control.wait_until_ready().await;
        }
    }

    /// Waits until the node's view of the fleet contains each of `instances`.
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

    /// Shuts the node down gracefully: refuses new calls, waits until those in progress have ended,
    /// then stops the ports and tasks.
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

/// Runs a node until the process receives SIGTERM or SIGINT, and shuts it down gracefully.
///
/// # Errors
///
/// If the node cannot start, or calls are still in progress at the end of the drain grace period.
pub async fn run(settings: Settings) -> io::Result<()> {
    let grace = settings.drain_grace;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let options = StartOptions {
        incarnation: Incarnation(unix_micros()),
        ..StartOptions::new(rand::rng().next_u64())
    };
    let startup = RunningNode::start(settings, options);
    let running = tokio::select! {
        running = startup => running?,
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
    let log_ready = async {
        running.ready().await;
        log::info!("node is ready");
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = log_ready => (),
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    log::info!("node is draining");
    tokio::time::timeout(grace, running.stop())
        .await
        .map_err(|_| io::Error::other(format!("calls still in progress after {grace:?}")))?;
    log::info!("node stopped");
    Ok(())
}

/// Returns the microseconds since the Unix epoch, used as the incarnation: a process that starts
/// later has a higher one.
fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_micros() as u64)
}

/// Builds the operator port, which serves the metrics and the status of the node.
fn operator_port(node: &Arc<Node>) -> OperatorPort {
    let status_node = node.clone();
    OperatorPort::new(node.telemetry.metrics.clone(), move || {
        collect::node_status(&status_node)
    })
}

/// Returns the instance of a node, as the platform would list it.
fn listed_instance(node: &Node, ingress: SocketAddr, peer: SocketAddr) -> Instance {
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

/// Starts the control plane, which serves the peer port.
fn start_control(
    node: &Arc<Node>,
    listener: TcpListener,
    ingress: SocketAddr,
    options: StartOptions,
) -> io::Result<()> {
    let instance = listed_instance(node, ingress, listener.local_addr()?);
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

/// Returns the handlers of crash reports and cancellations from peers.
///
/// They hold weak references to the node, since the node owns the control plane that calls them.
fn peer_handlers(node: &Arc<Node>) -> DataPathHandlers {
    let crash_node = Arc::downgrade(node);
    let cancel_node = Arc::downgrade(node);
    DataPathHandlers {
        crash: Box::new(move |_, report| {
            if let Some(node) = crash_node.upgrade() {
                node.gate.merge_crash_report(node.clock.now(), &report);
            }
        }),
        cancel: Box::new(move |from, number| {
            if let Some(node) = cancel_node.upgrade() {
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

/// Applies each view of the fleet that the control plane publishes.
async fn apply_fleet_views(node: Arc<Node>) {
    let Some(control) = node.control().cloned() else {
        return;
    };
    let mut view = node.fleet().snapshot();
    node.apply_fleet_view(&view);
    loop {
        let last = view.revision();
        view = control.wait_for_change(&view).await;
        node.apply_fleet_view(&view);
        if view.revision() != last {
            log::info!(revision = view.revision(); "configuration in force");
        }
    }
}

/// Sends crash reports to the other nodes of the service. Failed sends are not repeated.
async fn send_crash_reports(node: Arc<Node>) {
    let Some(control) = node.control().cloned() else {
        return;
    };
    let mut interval = tokio::time::interval(CRASH_REPORT_INTERVAL);
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
                    log::warn!("cannot send crash report to {}: {e}", known.instance.name);
                }
            }
        }
    }
}

/// Calls [`Node::tick`] periodically, and checks the view of the fleet after a process pause.
async fn tick(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        if node.tick() {
            tokio::spawn(attempt::revalidate_peers(node.clone()));
        }
    }
}
