//! The request path of a node between callers, nodes and a target that speak plain HTTP/1.1.
//!
//! A request is read from a caller ([`caller_server`]), which may be closed if it holds too much
//! (`caller_table`). Its sender is identified (`identity`) and its quota checked (`quota`). It is
//! routed to an instance ([`call`]), forwarded to the node beside that instance ([`peer_client`],
//! [`peer_server`]) and run at the target there ([`run`], [`target_client`]). The node learns about
//! the fleet from the platform's store ([`store_sync`]) or from the nodes of its failure domain that
//! read it ([`reader_sync`]).
//!
//! Locks are not nested, except that the view is read under the locks of the store health and of
//! the misdirected target, and the proof of the configuration under that of the view. No lock is
//! held across an `await`.

pub mod admission_queue;
mod attempt;
pub mod background;
pub mod call;
pub mod caller_server;
mod caller_table;
pub mod config_source;
pub mod descriptors;
mod freshness;
pub mod header_names;
mod identity;
mod idle_connections;
pub mod incoming_body;
mod incoming_reply;
pub mod lifecycle;
mod load_report;
mod local_target;
pub mod metrics;
mod outgoing_bodies;
pub mod pages;
pub mod peer_client;
mod peer_connection;
pub mod peer_server;
pub mod peer_versions;
mod peer_writer;
pub mod preview;
mod quota;
pub mod reader_sync;
pub mod region_links;
mod repeated_run;
mod request_writer;
pub mod response;
mod response_writer;
pub mod run;
pub mod socket;
mod store;
pub mod store_health;
pub mod store_sync;
pub mod store_view;
mod suspicion;
pub mod target_client;
mod view_update;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::clock::Time;
use crate::coordination::backpressure::DownstreamRatios;
use crate::coordination::crash_detector::CrashDetector;
use crate::coordination::fanout::FanoutEstimator;
use crate::coordination::nodes::Nodes;
use crate::coordination::organisations::freshness::Freshness;
use crate::coordination::organisations::quota::QuotaTerms;
use crate::coordination::origin::RequestOrigins;
use crate::coordination::poison::Suspects;
use crate::coordination::repeated_calls::RepeatedCalls;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::root_admission::RootAdmission;
use crate::coordination::route::TrafficSplit;
use crate::coordination::routing::LocalNode;
use crate::coordination::routing::Router;
use crate::coordination::routing::RoutingConfig;
use crate::coordination::shutdown::ShutdownPlan;
use crate::coordination::supply::Supply;
use crate::instance::DomainName;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::memory::MemoryBudget;
use crate::protocol::frame::Frame;
use crate::protocol::store_query::TargetEntry;
use crate::relay::admission_queue::AdmissionQueue;
use crate::relay::caller_table::CallerTable;
use crate::relay::descriptors::Descriptors;
use crate::relay::header_names::HeaderNames;
use crate::relay::metrics::RelayMetrics;
use crate::relay::peer_client::PeerClient;
use crate::relay::peer_server::MAX_STORE_READS;
use crate::relay::peer_versions::SeenVersion;
use crate::relay::store_health::StoreHealth;
use crate::relay::store_sync::StoreReader;
use crate::relay::store_view::StoreView;
use crate::relay::target_client::TargetClient;

/// Settings of a node, read at its start and again whenever they change.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Name of the node.
    pub name: InstanceName,
    /// Service of the local target.
    pub service: ServiceName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Region of the node.
    pub region: RegionName,
    /// Address at which the local target listens.
    pub target: SocketAddr,
    /// Listen address for requests of callers and sub-calls of the local target.
    pub outbound: SocketAddr,
    /// Listen address for other nodes.
    pub peers: SocketAddr,
    /// Listen address of the readiness page.
    pub ready: SocketAddr,
    /// Path of the readiness page.
    pub ready_path: String,
    /// Listen address of the metrics page.
    pub metrics: SocketAddr,
    /// Time that a stopping node has to finish the requests in progress.
    pub grace: Duration,
    /// Retries that the fleet may send per request of a service.
    pub retry_ratio: f64,
    /// Retries that the fleet may send to a service beyond `retry_ratio`.
    pub retry_slack: f64,
    /// Sliding window over which `retry_ratio` is measured.
    pub retry_window: Duration,
    /// Time after the withdrawal of a key during which requests may still run with it. Without it,
    /// that is not bounded.
    pub revocation_bound: Option<Duration>,
    /// How far the fleet may exceed the quotas of organisations.
    pub quota_terms: QuotaTerms,
    /// Whether the whole fleet starts for the first time, so that no node can have held a quota before
    /// this one. Read at the start only.
    pub first_start: bool,
    /// Limit on the memory for messages, in bytes. A change takes effect at a restart.
    pub message_memory: usize,
    /// Descriptors of the process, divided among its connections.
    pub descriptors: Descriptors,
}

/// State of the routing, admission and retry algorithms, guarded by one lock.
#[derive(Debug)]
pub struct CoordinationState {
    /// Chooses an instance for each request.
    pub router: Router,
    /// Divides the requests of a route among its services by weight.
    pub split: TrafficSplit,
    /// Retry budget of each service.
    pub retry_budget: RetryBudget,
    /// Admission ratio of each route, as reported by replies.
    pub downstream_ratios: DownstreamRatios,
    /// Share of the root requests of each route that is admitted.
    pub root_admission: RootAdmission,
    /// Services at which the requests for the local target began.
    pub origins: RequestOrigins,
    /// Estimated sub-calls per run of the local target.
    pub fanout: FanoutEstimator,
    /// Sub-calls that repeated runs of the local target are expected to make.
    pub repeated_calls: RepeatedCalls,
    /// Requests suspected of crashing targets.
    pub suspects: Suspects,
    /// Detects crashes of the local target.
    pub crash_detector: CrashDetector,
    /// Random number generator, seeded at the start.
    pub rng: ChaCha12Rng,
}

impl CoordinationState {
    /// Divides the budgets that the nodes of the fleet share.
    fn divide_budgets(&mut self, region: &RegionName, nodes: &Nodes, now: Time) {
        region_links::set_budgets(&mut self.router, region, nodes, now);
        self.retry_budget.set_nodes(nodes.len());
    }
}

/// A node: its settings, its view of the store and its connections, shared by all tasks.
pub struct Relay {
    cfg: RwLock<Arc<RelayConfig>>,
    header_names: HeaderNames,
    clock: Clock,
    boot_clock: Clock,
    /// Proof that the configuration is recent.
    freshness: Mutex<Freshness>,
    quotas: quota::Quotas,
    store: StoreReader,
    store_health: Mutex<StoreHealth>,
    /// Permits for reads of the store for other nodes.
    store_reads: Semaphore,
    view: RwLock<Arc<StoreView>>,
    local_target_changed: Notify,
    coordination: Mutex<CoordinationState>,
    admission_queue: Arc<AdmissionQueue>,
    target_client: TargetClient,
    memory: MemoryBudget,
    callers: CallerTable,
    unreachable_until: Mutex<Option<Time>>,
    /// Name by which the local target was addressed when it answered as another instance, and when.
    misdirected: Mutex<Option<(InstanceName, Time)>>,
    /// Notified when the list does not show the present local target.
    list_outdated: Notify,
    last_draining_hint: Mutex<Option<Time>>,
    connected_peers: Mutex<Vec<IpAddr>>,
    peer_client: Arc<PeerClient>,
    metrics: RelayMetrics,
    phase: watch::Sender<Phase>,
    /// When the node began to stop.
    stopping_since: OnceLock<Time>,
    newer_version_seen: Notify,
    /// Notified when a version that another node applies was not delivered in time.
    version_missed: Notify,
    seen_version: Mutex<Option<SeenVersion>>,
    /// Notified when the view or the health of the store changes.
    view_changed: Notify,
    /// What this node has from the readers that it follows.
    supply: Mutex<Supply>,
    incarnation: u64,
}

/// Stage of the shutdown of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node serves requests.
    Serving,
    /// The node takes no new work for its target, closes connections of callers once they are idle
    /// and notifies the other nodes, which then send elsewhere.
    Stopping,
    /// The node reads no further request and finishes those in progress.
    Closing,
    /// The node is about to exit and answers the requests in progress without waiting for them.
    Exiting,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

impl Relay {
    /// Builds a node with an empty view of the store. `seed` starts its random number generator.
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
        let local_ip = cfg.peers.ip();
        let target_connections = cfg.descriptors.target();
        let memory = MemoryBudget::new(cfg.message_memory);
        let quotas = quota::Quotas::new(cfg.first_start);
        let local_node = LocalNode {
            instance: cfg.name.clone(),
            domain: cfg.domain.clone(),
            region: cfg.region.clone(),
        };
        let coordination = CoordinationState {
            router: Router::new(local_node, routing_config(), now),
            split: TrafficSplit::new(rng.next_u64()),
            retry_budget: RetryBudget::new(cfg.retry_ratio, cfg.retry_slack, cfg.retry_window),
            downstream_ratios: DownstreamRatios::default(),
            root_admission: RootAdmission::default(),
            origins: RequestOrigins::default(),
            fanout: FanoutEstimator::default(),
            repeated_calls: RepeatedCalls::default(),
            suspects: Suspects::new(),
            crash_detector: CrashDetector::default(),
            rng,
        };
        Relay {
            cfg: RwLock::new(Arc::new(cfg)),
            header_names,
            store,
            store_health: Mutex::default(),
            store_reads: Semaphore::new(MAX_STORE_READS),
            view: RwLock::default(),
            local_target_changed: Notify::new(),
            coordination: Mutex::new(coordination),
            admission_queue: Arc::new(AdmissionQueue::new(clock.clone())),
            target_client: TargetClient::new(header_names, memory.clone(), target_connections),
            callers: CallerTable::default(),
            unreachable_until: Mutex::default(),
            misdirected: Mutex::default(),
            list_outdated: Notify::new(),
            last_draining_hint: Mutex::default(),
            connected_peers: Mutex::default(),
            peer_client: Arc::new(PeerClient::new(local_ip, incarnation, memory.clone())),
            memory,
            metrics: RelayMetrics::new(),
            phase: watch::Sender::new(Phase::Serving),
            stopping_since: OnceLock::new(),
            newer_version_seen: Notify::new(),
            version_missed: Notify::new(),
            seen_version: Mutex::default(),
            view_changed: Notify::new(),
            supply: Mutex::default(),
            incarnation,
            clock,
            boot_clock: Clock::boot(),
            freshness: Mutex::default(),
            quotas,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn cfg(&self) -> Arc<RelayConfig> {
        self.cfg.read().unwrap_or_else(|p| p.into_inner()).clone()
    }

    /// Replaces the settings. The listen addresses in use stay as they are until a restart.
    pub fn set_cfg(&self, cfg: RelayConfig) {
        let changed = *self.cfg() != cfg;
        log::info!(changed = changed, service:% = cfg.service; "settings reloaded");
        *self.cfg.write().unwrap_or_else(|p| p.into_inner()) = Arc::new(cfg);
    }

    /// Returns the names of the headers that nodes, callers and targets exchange.
    pub fn header_names(&self) -> &HeaderNames {
        &self.header_names
    }

    /// Returns the incarnation: a random number that identifies this run of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the current view of the store.
    pub fn view(&self) -> Arc<StoreView> {
        self.view.read().unwrap_or_else(|p| p.into_inner()).clone()
    }

    /// Locks and returns the state of the coordination algorithms.
    pub fn coordination(&self) -> MutexGuard<'_, CoordinationState> {
        self.coordination.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Returns the queue for the slots of the local target.
    pub fn admission_queue(&self) -> &Arc<AdmissionQueue> {
        &self.admission_queue
    }

    /// Returns the HTTP client of the local target.
    pub fn target_client(&self) -> &TargetClient {
        &self.target_client
    }

    /// Returns the budget of the memory for messages.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    fn callers(&self) -> &CallerTable {
        &self.callers
    }

    /// Returns the number of open connections of callers.
    pub fn open_callers(&self) -> usize {
        self.callers.len()
    }

    /// Returns the address of the local target.
    pub fn target_address(&self) -> SocketAddr {
        self.cfg().target
    }

    /// Returns the client for other nodes.
    pub fn peer_client(&self) -> &Arc<PeerClient> {
        &self.peer_client
    }

    /// Returns the Prometheus metrics.
    pub fn metrics(&self) -> &RelayMetrics {
        &self.metrics
    }

    /// Returns the current shutdown phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is notified when the phase changes.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters a phase. Stopping is announced to all connected nodes.
    pub fn set_phase(&self, phase: Phase) {
        if phase != Phase::Serving {
            self.stopping_since.get_or_init(|| self.now());
        }
        self.phase.send_replace(phase);
        if phase == Phase::Stopping {
            self.peer_client.broadcast(&Frame::Stopping);
        }
    }

    /// Returns whether a request that arrives now is taken. `time_limit` is the time until its
    /// deadline. A stopping node refuses requests that may not end before it exits.
    pub fn may_take_request(&self, time_limit: Duration) -> bool {
        let Some(since) = self.stopping_since.get() else {
            return true;
        };
        let plan = ShutdownPlan::new(self.cfg().grace);
        plan.may_take(self.now().since(*since), time_limit)
    }

    /// Waits until the node is about to exit.
    pub async fn wait_for_exit(&self) {
        let mut phases = self.phase.subscribe();
        // The sender is a field of `self`, so that the wait cannot fail.
        let _ = phases.wait_for(|phase| *phase == Phase::Exiting).await;
    }

    /// Returns whether requests of callers are in progress, up to the last byte of their responses,
    /// or the local target runs any.
    pub fn is_busy(&self) -> bool {
        self.metrics.in_progress() > 0 || self.admission_queue.counts().0 > 0
    }

    /// Returns whether the node serves and has a configuration and a non-empty list of targets.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        self.phase() == Phase::Serving && view.routes.is_some() && !view.targets.is_empty()
    }

    /// Returns the listed entry of the local target, if there is one.
    pub fn local_target(&self) -> Option<TargetEntry> {
        self.view().local_target.clone()
    }

    /// Waits until another target is listed at the local address, or there is a sign that the local
    /// target is draining.
    pub async fn wait_for_local_target_change(&self) {
        self.local_target_changed.notified().await;
    }

    /// Returns whether a configuration has been received.
    pub fn has_routes(&self) -> bool {
        self.view().routes.is_some()
    }

    fn write_view(&self) -> std::sync::RwLockWriteGuard<'_, Arc<StoreView>> {
        self.view.write().unwrap_or_else(|p| p.into_inner())
    }
}

fn routing_config() -> RoutingConfig {
    RoutingConfig {
        link: region_links::link_config(1),
        ..RoutingConfig::default()
    }
}
