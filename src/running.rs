//! A node that runs: its ports and tasks, and how it starts and stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;

use crate::coordination::admission::TICK;
use crate::node::Node;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::transport::egress::Egress;
use crate::transport::ingress::Ingress;
use crate::transport::platform::PlatformClient;
use crate::transport::server;
use crate::transport::server::Server;

/// Time for which a watch of the platform is held open.
const WATCH: Duration = Duration::from_secs(20);

/// Wait after the platform failed to answer.
const PLATFORM_BACKOFF: Duration = Duration::from_millis(500);

/// A node that serves its ports.
pub struct RunningNode {
    node: Arc<Node>,
    ingress: Server,
    egress: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningNode {
    /// Starts a node: reads the platform, then serves.
    pub async fn start(settings: Settings, seed: u64) -> io::Result<RunningNode> {
        let platform = PlatformClient::new(&settings.platform);
        let config = platform.config(0, WATCH).await.map_err(io::Error::other)?;
        let text = config.map(|c| c.text).unwrap_or_default();
        let policy = Policy::parse(&text).map_err(io::Error::other)?;
        let node = Arc::new(Node::new(settings, policy, seed)?);
        let ingress = server::catch_all(Ingress(node.clone()));
        let ingress = Server::start(node.settings.ports.ingress, ingress).await?;
        let egress = server::catch_all(Egress(node.clone()));
        let egress = Server::start(node.settings.ports.egress, egress).await?;
        node.set_ports(ingress.address().port(), egress.address().port());
        let tasks = vec![
            tokio::spawn(watch_instances(node.clone(), platform)),
            tokio::spawn(tick(node.clone())),
        ];
        Ok(RunningNode {
            node,
            ingress,
            egress,
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
        self.node.settings.ports.peer
    }

    /// Waits until the node knows `count` instances.
    pub async fn knows_instances(&self, count: usize) {
        let mut known = self.node.known.subscribe();
        let _ = known.wait_for(|known| *known == count).await;
    }

    /// Refuses new calls, waits for those in progress, then stops.
    pub async fn stop(self) {
        self.node.gate.drain();
        loop {
            let ended = self.node.ended.notified();
            if self.node.gate.is_idle() {
                break;
            }
            ended.await;
        }
        self.ingress.stop().await;
        self.egress.stop().await;
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
    let starting = RunningNode::start(settings, rand::rng().next_u64());
    let running = tokio::select! {
        running = starting => running?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    log::info!(
        ingress:% = running.ingress(),
        egress:% = running.egress(),
        peer:% = running.peer();
        "serving"
    );
    tokio::select! {
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

async fn watch_instances(node: Arc<Node>, platform: PlatformClient) {
    let mut version = 0;
    loop {
        match platform.instances(version, WATCH).await {
            Ok(Some(document)) => {
                version = document.version;
                node.take_instances(&document.instances);
            }
            Ok(None) => (),
            Err(e) => {
                log::warn!("instance list: {e}");
                tokio::time::sleep(PLATFORM_BACKOFF).await;
            }
        }
    }
}

async fn tick(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        node.tick();
    }
}
