//! The request path of a node between callers, nodes and a target that speak plain HTTP/1.1.
//!
//! A request is read from a caller ([`caller`]), placed ([`call`]), handed to the node beside the
//! chosen instance ([`link`], [`peer`]) and run at the target there ([`run`], [`target`]). What
//! the node knows of the fleet comes from the platform's store ([`store_sync`]).
//!
//! Locks are taken one at a time and never held across a wait.

pub mod answer;
mod belief;
pub mod call;
pub mod caller;
pub mod figures;
pub mod header_names;
pub mod intake;
pub mod lifecycle;
pub mod link;
mod offer;
mod open;
mod own;
pub mod pages;
pub mod peer;
mod report;
pub mod run;
pub mod socket;
mod store;
pub mod store_sync;
pub mod target;
pub mod view;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::clock::Time;
use crate::coordination::backpressure::DownstreamRatios;
use crate::coordination::crash_detector::CrashDetector;
use crate::coordination::fanout::FanoutEstimator;
use crate::coordination::link_budget::LinkConfig;
use crate::coordination::origin::RequestOrigins;
use crate::coordination::poison::Suspects;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::root_admission::RootAdmission;
use crate::coordination::route::TrafficSplit;
use crate::coordination::routing::LocalNode;
use crate::coordination::routing::Router;
use crate::coordination::routing::RoutingConfig;
use crate::instance::DomainName;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::protocol::frame::Frame;
use crate::protocol::store_query::TargetEntry;
use crate::relay::figures::Figures;
use crate::relay::header_names::HeaderNames;
use crate::relay::intake::Intake;
use crate::relay::link::Links;
use crate::relay::store_sync::StoreReader;
use crate::relay::store_sync::StoreState;
use crate::relay::target::TargetClient;
use crate::relay::view::View;

/// Bytes a second that one node may send to each other region. Distance keeps the use of the link
/// low; the budget is there for the link's sake alone.
const REGION_BYTES_PER_S: f64 = 200_000.0;

/// What a node is told when it starts, and again when its settings change.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Name of the node.
    pub name: InstanceName,
    /// Service of the target beside it.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address of the target.
    pub target: SocketAddr,
    /// Address at which callers and the target send their requests.
    pub outbound: SocketAddr,
    /// Address at which other nodes are served.
    pub peers: SocketAddr,
    /// Address of the readiness page.
    pub ready: SocketAddr,
    /// Path of the readiness page.
    pub ready_path: String,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Time for which a stopping node finishes what it runs.
    pub grace: Duration,
    /// Retries for each request of a service that the whole fleet may send.
    pub retry_ratio: f64,
    /// Window of that share.
    pub retry_window: Duration,
    /// Most bytes of bodies that are held at once.
    pub body_memory: usize,
}

/// The tables of the decisions.
#[derive(Debug)]
pub struct Decisions {
    /// Choice of an instance.
    pub router: Router,
    /// Split of routes among services.
    pub split: TrafficSplit,
    /// Retries that may be sent.
    pub spend: RetryBudget,
    /// Gates of the routes.
    pub gates: DownstreamRatios,
    /// Shares of the routes that enter.
    pub entry: RootAdmission,
    /// Origins of the requests for the own target.
    pub origins: RequestOrigins,
    /// Calls that the runs of the own target make.
    pub fanout: FanoutEstimator,
    /// Requests that may crash targets.
    pub suspects: Suspects,
    /// Crashes of the own target.
    pub crashes: CrashDetector,
    /// Source of random numbers.
    pub rng: ChaCha12Rng,
}

/// A node.
pub struct Relay {
    cfg: RwLock<Arc<RelayConfig>>,
    header_names: HeaderNames,
    clock: Clock,
    store: StoreReader,
    store_state: Mutex<StoreState>,
    view: RwLock<Arc<View>>,
    own_changed: Notify,
    decisions: Mutex<Decisions>,
    intake: Arc<Intake>,
    target: TargetClient,
    target_down: Mutex<Option<Time>>,
    hinted: Mutex<Option<Time>>,
    heard: Mutex<Vec<IpAddr>>,
    links: Arc<Links>,
    figures: Figures,
    phase: watch::Sender<Phase>,
    newer: Notify,
    incarnation: u64,
}

/// How far a node is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It takes no work for its target, and asks callers to go elsewhere.
    Leaving,
    /// It reads no further request.
    Closing,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

impl Relay {
    /// Builds a node that knows nothing of the fleet yet.
    pub fn new(
        cfg: RelayConfig,
        header_names: HeaderNames,
        store: StoreReader,
        seed: u64,
    ) -> Relay {
        let clock = Clock::system();
        let now = clock.now();
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let incarnation = rng.next_u64();
        let own_ip = cfg.peers.ip();
        let home = LocalNode {
            instance: cfg.name.clone(),
            domain: cfg.domain.clone(),
            region: cfg.region.clone(),
        };
        let decisions = Decisions {
            router: Router::new(home, routing(), now),
            split: TrafficSplit::new(rng.next_u64()),
            spend: RetryBudget::new(cfg.retry_ratio, cfg.retry_window),
            gates: DownstreamRatios::default(),
            entry: RootAdmission::default(),
            origins: RequestOrigins::default(),
            fanout: FanoutEstimator::default(),
            suspects: Suspects::new(),
            crashes: CrashDetector::default(),
            rng,
        };
        Relay {
            cfg: RwLock::new(Arc::new(cfg)),
            header_names,
            store,
            store_state: Mutex::default(),
            view: RwLock::default(),
            own_changed: Notify::new(),
            decisions: Mutex::new(decisions),
            intake: Arc::new(Intake::new(clock.clone())),
            target: TargetClient::new(header_names),
            target_down: Mutex::default(),
            hinted: Mutex::default(),
            heard: Mutex::default(),
            links: Arc::new(Links::new(own_ip, incarnation)),
            figures: Figures::new(),
            phase: watch::Sender::new(Phase::Serving),
            newer: Notify::new(),
            incarnation,
            clock,
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn cfg(&self) -> Arc<RelayConfig> {
        self.cfg.read().unwrap_or_else(|p| p.into_inner()).clone()
    }

    /// Takes over changed settings. Addresses that are served stay as they were.
    pub fn set_cfg(&self, cfg: RelayConfig) {
        let changed = *self.cfg() != cfg;
        log::info!(changed = changed, service:% = cfg.service; "settings read again");
        *self.cfg.write().unwrap_or_else(|p| p.into_inner()) = Arc::new(cfg);
    }

    /// Returns the names of the headers.
    pub fn header_names(&self) -> &HeaderNames {
        &self.header_names
    }

    /// Returns this life of the node.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns what is known of the fleet.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(|p| p.into_inner()).clone()
    }

    /// Returns the tables of the decisions, locked.
    pub fn decisions(&self) -> MutexGuard<'_, Decisions> {
        self.decisions.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Returns the slots of the own target.
    pub fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }

    /// Returns the connections to the own target.
    pub fn target(&self) -> &TargetClient {
        &self.target
    }

    /// Returns the address of the own target.
    pub fn target_address(&self) -> SocketAddr {
        self.cfg().target
    }

    /// Returns the connections to other nodes.
    pub fn links(&self) -> &Arc<Links> {
        &self.links
    }

    /// Returns what is counted.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Returns how far the node is on its way to its end.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a view of the phase that can be waited on.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on towards the end.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
        if phase == Phase::Leaving {
            self.links.tell_all(&Frame::Leaving);
        }
    }

    /// Returns whether requests are in progress here.
    pub fn is_busy(&self) -> bool {
        self.figures.in_progress() > 0 || self.intake.counts().0 > 0
    }

    /// Returns whether callers may send requests here.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        self.phase() == Phase::Serving && view.routes.is_some() && !view.targets.is_empty()
    }

    /// Returns the own target as it is listed.
    pub fn own_target(&self) -> Option<TargetEntry> {
        self.view().own.clone()
    }

    /// Waits until another target is listed at the own address, or the own one may be leaving.
    pub async fn own_changed(&self) {
        self.own_changed.notified().await;
    }

    /// Returns whether a configuration is known.
    pub fn has_routes(&self) -> bool {
        self.view().routes.is_some()
    }

    fn write_view(&self) -> std::sync::RwLockWriteGuard<'_, Arc<View>> {
        self.view.write().unwrap_or_else(|p| p.into_inner())
    }
}

fn routing() -> RoutingConfig {
    let link = LinkConfig {
        bytes_per_s: REGION_BYTES_PER_S,
        ..LinkConfig::default()
    };
    RoutingConfig {
        link,
        ..RoutingConfig::default()
    }
}
