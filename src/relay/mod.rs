//! The request path of a node between callers, nodes and a target that speak plain HTTP/1.1.
//!
//! A request is read from a caller ([`caller`]), placed ([`call`]), handed to the node beside the
//! chosen instance ([`link`], [`peer`]) and run at the target there ([`run`], [`target`]). What
//! the node knows of the fleet comes from the platform's store ([`feed`]).
//!
//! Locks are taken one at a time and never held across a wait.

pub mod call;
pub mod caller;
pub mod dialect;
pub mod feed;
pub mod figures;
pub mod intake;
pub mod link;
pub mod pages;
pub mod peer;
pub mod run;
pub mod service;
pub mod socket;
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
use crate::coordination::crash::CrashWatch;
use crate::coordination::entry::Entry;
use crate::coordination::fanout::Fanout;
use crate::coordination::link::LinkConfig;
use crate::coordination::origin::Origins;
use crate::coordination::poison::CrashReport;
use crate::coordination::poison::Suspects;
use crate::coordination::pressure::Gate;
use crate::coordination::pressure::Gates;
use crate::coordination::route::RouteTable;
use crate::coordination::route::Split;
use crate::coordination::routing::Home;
use crate::coordination::routing::Router;
use crate::coordination::routing::RoutingConfig;
use crate::coordination::spend::RetrySpend;
use crate::error::NotRunKind;
use crate::instance::DomainName;
use crate::instance::InstanceName;
use crate::instance::InstanceState;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::protocol::frame::Frame;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::RunRequest;
use crate::protocol::reading::Listed;
use crate::protocol::reading::Query;
use crate::protocol::reading::Reading;
use crate::protocol::reading::TargetNews;
use crate::relay::dialect::Dialect;
use crate::relay::feed::StoreError;
use crate::relay::feed::StoreReader;
use crate::relay::feed::StoreState;
use crate::relay::figures::Figures;
use crate::relay::intake::Intake;
use crate::relay::link::Links;
use crate::relay::target::TargetClient;
use crate::relay::view::View;

/// Time for which a target that refused a connection gets no further one.
const DOWN_FOR: Duration = Duration::from_millis(150);

/// Time between two looks at the own entry because of a hint.
const HINT_PERIOD: Duration = Duration::from_millis(400);

/// Connected nodes that are remembered, at most.
const MAX_HEARD: usize = 32;

/// Time after the store came back within which a missing entry does not mean that a target left.
const STORE_SETTLES: Duration = Duration::from_millis(2_500);

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
    pub retry_share: f64,
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
    pub split: Split,
    /// Retries that may be sent.
    pub spend: RetrySpend,
    /// Gates of the routes.
    pub gates: Gates,
    /// Shares of the routes that enter.
    pub entry: Entry,
    /// Origins of the requests for the own target.
    pub origins: Origins,
    /// Calls that the runs of the own target make.
    pub fanout: Fanout,
    /// Requests that may crash targets.
    pub suspects: Suspects,
    /// Crashes of the own target.
    pub crashes: CrashWatch,
    /// Source of random numbers.
    pub rng: ChaCha12Rng,
}

/// A node.
pub struct Relay {
    cfg: RwLock<Arc<RelayConfig>>,
    dialect: Dialect,
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
    pub fn new(cfg: RelayConfig, dialect: Dialect, store: StoreReader, seed: u64) -> Relay {
        let clock = Clock::system();
        let now = clock.now();
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let incarnation = rng.next_u64();
        let own_ip = cfg.peers.ip();
        let home = Home {
            instance: cfg.name.clone(),
            domain: cfg.domain.clone(),
            region: cfg.region.clone(),
        };
        let decisions = Decisions {
            router: Router::new(home, routing(), now),
            split: Split::new(rng.next_u64()),
            spend: RetrySpend::new(cfg.retry_share, cfg.retry_window),
            gates: Gates::default(),
            entry: Entry::default(),
            origins: Origins::default(),
            fanout: Fanout::default(),
            suspects: Suspects::new(),
            crashes: CrashWatch::default(),
            rng,
        };
        Relay {
            cfg: RwLock::new(Arc::new(cfg)),
            dialect,
            store,
            store_state: Mutex::default(),
            view: RwLock::default(),
            own_changed: Notify::new(),
            decisions: Mutex::new(decisions),
            intake: Arc::new(Intake::new(clock.clone())),
            target: TargetClient::new(dialect),
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
    pub fn dialect(&self) -> &Dialect {
        &self.dialect
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
    pub fn own_target(&self) -> Option<Listed> {
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

    /// Returns whether the store answers this node.
    pub fn store_state(&self) -> MutexGuard<'_, StoreState> {
        self.store_state.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Reads the store.
    ///
    /// # Errors
    ///
    /// If the store does not answer this node.
    pub async fn read_store(&self, query: Query) -> Result<Reading, StoreError> {
        let began = self.now();
        let result = self.store.read(query.clone()).await;
        log::debug!(
            query:? = query, took_ms = self.now().since(began).as_millis() as u64,
            revision = result.as_ref().map_or(0, |r| r.revision),
            error:? = result.as_ref().err();
            "store read"
        );
        self.figures.store_call(result.is_ok());
        let worked = matches!(result, Ok(_) | Err(StoreError::Compacted));
        let news = self.store_state().note(worked, self.now());
        match &result {
            Ok(_) if news => log::info!("store answers again"),
            Err(e) if news => log::warn!(error:% = e; "store does not answer"),
            _ => (),
        }
        result
    }

    /// Reads the store for another node, or tells it what this node knows if the store does not
    /// answer here either.
    pub async fn read_store_for_other(&self, query: Query) -> Option<Reading> {
        match self.read_store(query.clone()).await {
            Ok(reading) => Some(reading),
            Err(StoreError::Compacted) => None,
            Err(_) => self.view().answer(&query),
        }
    }

    /// Notes that a node at `ip` is connected, which is how a node that cannot read the list finds
    /// others.
    pub fn heard_from(&self, ip: IpAddr) {
        let mut heard = self.heard.lock().unwrap_or_else(|p| p.into_inner());
        heard.retain(|known| *known != ip);
        if heard.len() >= MAX_HEARD {
            heard.remove(0);
        }
        heard.push(ip);
    }

    /// Returns the other nodes that are listed, and those that are connected if none is.
    fn known_peers(&self) -> Vec<(bool, SocketAddr)> {
        let cfg = self.cfg();
        let view = self.view();
        let listed = view.targets.iter().map(|t| &t.instance);
        let others = listed.filter(|instance| instance.peer.ip() != cfg.peers.ip());
        let peers: Vec<(bool, SocketAddr)> =
            others.map(|i| (i.region != cfg.region, i.peer)).collect();
        if !peers.is_empty() {
            return peers;
        }
        let heard = self.heard.lock().unwrap_or_else(|p| p.into_inner());
        let port = cfg.peers.port();
        heard
            .iter()
            .map(|ip| (false, SocketAddr::new(*ip, port)))
            .collect()
    }

    /// Returns the addresses of up to `most` other nodes, those of the own region first.
    pub fn some_peers(&self, most: usize) -> Vec<SocketAddr> {
        let known = self.known_peers();
        let mut decisions = self.decisions();
        let mut drawn: Vec<(bool, u64, SocketAddr)> = known
            .into_iter()
            .map(|(far, peer)| (far, decisions.rng.next_u64(), peer))
            .collect();
        drawn.sort_unstable();
        drawn
            .into_iter()
            .map(|(_, _, peer)| peer)
            .take(most)
            .collect()
    }

    /// Takes over a configuration, unless a newer one is in force.
    pub fn take_routes(&self, table: RouteTable, revision: u64) {
        let mut view = self.write_view();
        let current = view.routes.as_ref().map_or(0, |t| t.version);
        let newer = view.routes.is_none() || table.version > current;
        if newer {
            let next = View {
                routes: Some(Arc::new(table)),
                ..View::clone(&view)
            };
            *view = Arc::new(next);
        }
        let table = view.routes.clone();
        drop(view);
        let Some(table) = table.filter(|_| newer) else {
            return;
        };
        log::info!(
            version = table.version, before = current, revision = revision,
            routes = table.routes().count();
            "configuration in force"
        );
        self.links.tell_all(&Frame::Version(table.version));
        for route in table.routes() {
            log::debug!(version = table.version, route:? = route; "route in force");
        }
        let mut decisions = self.decisions();
        decisions.split.keep(&table);
        let known: std::collections::HashSet<&str> = table.routes().map(|r| &*r.name).collect();
        decisions.gates.retain(|name| known.contains(name));
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.view().routes.as_ref().map_or(0, |table| table.version)
    }

    /// Notes the version that another node has in force.
    pub fn hear_version(&self, version: u64) {
        if version > self.version() {
            self.newer.notify_one();
        }
    }

    /// Waits until another node was heard to have a newer configuration.
    pub async fn newer_version(&self) {
        self.newer.notified().await;
    }

    /// Takes over the list of targets.
    pub fn take_targets(&self, list: Vec<Listed>, revision: u64) {
        let cfg = self.cfg();
        let now = self.now();
        let shaky = self.store_state().is_shaky(STORE_SETTLES, now);
        let (instances, own_is_new, leaves) = {
            let mut view = self.write_view();
            let before = view.clone();
            let mut next = View::clone(&before);
            next.merge(list, cfg.target, shaky, now);
            let own_is_new = !next.has_same_own(&before);
            let leaves = next.own_leaving && !before.own_leaving;
            let changed = next.targets != before.targets || own_is_new || leaves;
            *view = Arc::new(next);
            if !changed {
                return;
            }
            (view.instances(), own_is_new, leaves)
        };
        log::info!(revision = revision, targets = instances.len(); "list of targets changed");
        self.decisions().router.sync(&instances, now);
        if leaves {
            log::info!(revision = revision; "own target is leaving, by the list");
        }
        if own_is_new {
            self.meet_own();
        }
    }

    /// Takes over news about the own target. Returns false if they may be the store's own trouble,
    /// so that they must be read again.
    pub fn take_own(&self, name: &InstanceName, news: TargetNews, revision: u64) -> bool {
        let (leaving, gone) = match &news {
            TargetNews::Same => return true,
            TargetNews::Listed(own) => (own.instance.state == InstanceState::Leaving, false),
            TargetNews::Gone if self.may_have_lost_entries() => return false,
            TargetNews::Gone => (false, true),
        };
        let mut view = self.write_view();
        let changes = (leaving && !view.own_leaving) || gone != view.own_gone;
        if !changes || view.own_name() != Some(name) {
            return true;
        }
        let next = View {
            own_leaving: view.own_leaving || leaving,
            own_gone: gone,
            ..View::clone(&view)
        };
        *view = Arc::new(next);
        drop(view);
        log::info!(
            target:% = name, revision = revision, leaving = leaving, gone = gone;
            "own target is leaving or back"
        );
        true
    }

    /// Returns whether a missing entry may be missing only because the store was away. Once the
    /// list has been read again and is about whole, it is not.
    fn may_have_lost_entries(&self) -> bool {
        let state = self.store_state();
        if !state.is_shaky(STORE_SETTLES, self.now()) {
            return false;
        }
        let view = self.view();
        let read_since = state.recovered().is_some_and(|at| view.listed_at > at);
        !read_since || view.is_list_short()
    }

    /// Notes the start of another target at the own address.
    fn meet_own(&self) {
        let own = self.own_target();
        self.target.forget();
        if let Some(own) = &own {
            self.intake.set_slots(own.slots);
            log::info!(
                target:% = own.instance.name, slots = own.slots, born = own.born;
                "own target is listed"
            );
        }
        self.own_changed.notify_waiters();
    }

    /// Returns whether the own target may run a request that is meant for `name`.
    ///
    /// # Errors
    ///
    /// If another instance is meant, the target is leaving, or it cannot be reached.
    pub fn check_target(&self, name: &InstanceName) -> Result<(), NotRunKind> {
        let view = self.view();
        if view.own_name() != Some(name) {
            return Err(NotRunKind::TargetUnreachable);
        }
        if self.phase() != Phase::Serving {
            // The node stops, which says nothing about its target.
            return Err(NotRunKind::NotReady);
        }
        if view.own_leaving || view.own_gone {
            return Err(NotRunKind::Draining);
        }
        let down = *self.target_down.lock().unwrap_or_else(|p| p.into_inner());
        match down.is_some_and(|until| self.now() < until) {
            true => Err(NotRunKind::TargetUnreachable),
            false => Ok(()),
        }
    }

    /// Notes that the own target could not be reached.
    pub fn target_down(&self, name: &InstanceName, refused: bool) {
        let now = self.now();
        let until = now.plus(DOWN_FOR);
        *self.target_down.lock().unwrap_or_else(|p| p.into_inner()) = Some(until);
        self.target.forget();
        log::warn!(target:% = name, refused = refused; "own target is unreachable");
        if refused {
            self.report_crash(name, now);
        }
    }

    /// Tells the other nodes which requests the own target was running when it crashed.
    fn report_crash(&self, name: &InstanceName, now: Time) {
        let reports = {
            let mut decisions = self.decisions();
            let Decisions {
                crashes,
                suspects,
                rng,
                ..
            } = &mut *decisions;
            suspects.crash(now, name, crashes.refused(now), rng)
        };
        if reports.is_empty() {
            return;
        }
        log::warn!(target:% = name, suspects = reports.len(); "own target crashed");
        let own = self.cfg().peers;
        let peers: std::collections::HashSet<SocketAddr> = self
            .view()
            .instances()
            .iter()
            .map(|i| i.peer)
            .filter(|p| *p != own)
            .collect();
        for peer in peers {
            reports
                .iter()
                .for_each(|report| self.links.tell(peer, report));
        }
    }

    /// Takes over the report of a crash at another target.
    pub fn take_crash(&self, report: &CrashReport) {
        log::info!(
            fingerprint:% = report.fingerprint, target:% = report.target, alone = report.alone;
            "request suspected of a crash"
        );
        let now = self.now();
        self.decisions().suspects.report(now, report);
    }

    /// Notes an answer of the own target. One that closes the connection hints that the target is
    /// leaving, which the store is asked about at once, but not for each answer.
    pub fn note_answer(&self, closes: bool) {
        *self.target_down.lock().unwrap_or_else(|p| p.into_inner()) = None;
        if !closes || self.view().own_leaving || self.view().own_gone {
            return;
        }
        let now = self.now();
        let mut hinted = self.hinted.lock().unwrap_or_else(|p| p.into_inner());
        if hinted.is_none_or(|at| now.since(at) >= HINT_PERIOD) {
            *hinted = Some(now);
            self.own_changed.notify_waiters();
        }
    }

    /// Returns the strictest gate on the way of a route from the own target on, and the slot time
    /// in milliseconds that one request takes there.
    pub fn gate_of(&self, route: &str) -> (Gate, f64) {
        let now = self.now();
        let own = self.intake.gate();
        let decisions = self.decisions();
        let own_cost = decisions.fanout.run_time(route).as_secs_f64() * 1_000.0;
        let behind = decisions.fanout.children(route);
        let calls = behind
            .iter()
            .filter(|child| !decisions.gates.is_root(child));
        let gates = calls.map(|child| {
            let calls = decisions.fanout.calls_per_run(route, child);
            let cost = calls * decisions.gates.cost_ms(child);
            (decisions.gates.gate(child, now), cost)
        });
        gates.fold((own, own_cost), |strictest, gate| {
            match gate.0 < strictest.0 {
                true => gate,
                false => strictest,
            }
        })
    }

    /// Notes where a request for the own target began.
    pub fn note_origin(&self, req: &RunRequest) {
        let route: Arc<str> = Arc::from(req.route.as_str());
        let origin = ServiceName::new(&req.caller_service);
        let now = self.now();
        self.decisions().origins.note(&route, &origin, now);
    }

    /// Returns what a reply to a request of `route` says of the own target.
    pub fn load_report(&self, route: &str) -> LoadReport {
        let view = self.view();
        let own = view.own.as_ref().map(|own| &own.instance.service);
        let root =
            own.is_some_and(|own| self.decisions().origins.is_root(route, own, view.services));
        let (gate, cost_ms) = self.gate_of(route);
        LoadReport {
            percent: self.intake.percent(),
            gate: gate.to_byte(),
            cost_ms: cost_ms as u16,
            root,
            version: self.version(),
        }
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
