//! A node: its tables and what its ports share.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;

use crate::call::RequestId;
use crate::clock::Clock;
use crate::clock::Time;
use crate::coordination::admission::TICK_INTERVAL;
use crate::coordination::admission::Ticket;
use crate::coordination::attempts::AttemptId;
use crate::coordination::dispatch::Attempt;
use crate::coordination::dispatch::DispatchConfig;
use crate::coordination::dispatch::Dispatcher;
use crate::coordination::dispatch::Plan;
use crate::coordination::dispatch::Step;
use crate::coordination::gate::Arrival;
use crate::coordination::gate::ArrivalDecision;
use crate::coordination::gate::Gate;
use crate::coordination::gate::GateConfig;
use crate::coordination::link_budget::LinkConfig;
use crate::coordination::link_budget::node_bytes_per_s;
use crate::coordination::poison::CrashReport;
use crate::coordination::routing::LocalNode;
use crate::coordination::token::TokenLimits;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::InstanceState;
use crate::instance::ServiceName;
use crate::metrics::FinishedCall;
use crate::policy::LinkRule;
use crate::policy::Policy;
use crate::protocol::hop::HOP_VERSION;
use crate::protocol::hop::Hop;
use crate::protocol::hop::HopError;
use crate::protocol::hop::Keyring;
use crate::settings::Settings;
use crate::state::calls::ContextId;
use crate::state::fleet::FleetView;
use crate::state::fleet::KnownInstance;
use crate::state::fleet::SharedFleetView;
use crate::telemetry::Telemetry;
use crate::timer::Tick;
use crate::transport::control::ControlPlane;
use crate::transport::http_client;
use crate::transport::kept_answer::KeptAnswer;
use crate::transport::response::ResponseHeaders;
use crate::waiters::OpenLeases;
use crate::waiters::Waiters;

/// Reports of crashes that wait to be sent, at most.
const MAX_PENDING_REPORTS: usize = 1_024;

/// Longest wait for the rules and instances of a service that is called for the first time.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots of an instance whose service has no rule.
const DEFAULT_SLOTS: u32 = 16;

/// Time for which the answer of a spent token is kept, as a multiple of its validity.
const KEPT_FOR_VALIDITIES: u32 = 2;

/// Which decisions are on. Baselines switch some off.
#[derive(Clone, Debug)]
pub struct DecisionConfig {
    /// Ingress.
    pub gate: GateConfig,
    /// Egress.
    pub dispatch: DispatchConfig,
    /// Whether the slots of the policy are ignored.
    pub fixed_slots: bool,
}

impl Default for DecisionConfig {
    fn default() -> DecisionConfig {
        DecisionConfig {
            gate: GateConfig::full(DEFAULT_SLOTS),
            dispatch: DispatchConfig::default(),
            fixed_slots: false,
        }
    }
}

/// The tables of a node and what its ports share.
pub struct Node {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Name of the instance.
    pub name: InstanceName,
    /// Service of the instance.
    pub service: ServiceName,
    /// Clock of the process.
    pub clock: Clock,
    /// Ingress decisions.
    pub gate: Gate<KeptAnswer>,
    /// Egress decisions.
    pub dispatcher: Dispatcher,
    /// HTTP client for the target and other nodes.
    pub client: reqwest::Client,
    keyring: Keyring,
    incarnation: Incarnation,
    fleet: Arc<SharedFleetView>,
    control: OnceLock<Arc<ControlPlane>>,
    /// What is counted.
    pub telemetry: Telemetry,
    /// Handlers that wait for a decision.
    pub waiters: Waiters,
    /// Sub-calls in progress.
    pub leases: OpenLeases,
    fixed_slots: bool,
    rng: Mutex<ChaCha12Rng>,
    counter: AtomicU64,
    ticked: AtomicU64,
    pauses: AtomicU64,
    seen_live: AtomicBool,
    reports: Mutex<Vec<CrashReport>>,
    ports: RwLock<ServedPorts>,
    /// Told when a call has ended.
    pub call_ended: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServedPorts {
    ingress: u16,
    egress: u16,
}

impl Node {
    /// Builds the node of an instance.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be set up.
    pub fn new(
        settings: Settings,
        decisions: DecisionConfig,
        incarnation: Incarnation,
        seed: u64,
    ) -> io::Result<Node> {
        let clock = Clock::system();
        let rng = ChaCha12Rng::seed_from_u64(seed);
        let service = settings.instance.service.clone();
        let home = LocalNode {
            instance: settings.instance.name.clone(),
            domain: settings.instance.domain.clone(),
            region: settings.instance.region.clone(),
        };
        Ok(Node {
            name: settings.instance.name.clone(),
            service,
            gate: Gate::new(
                &settings.instance.name,
                incarnation,
                GateConfig {
                    tokens: token_limits(&settings),
                    ..decisions.gate
                },
                KeptAnswer::bytes,
                clock.now(),
            ),
            dispatcher: Dispatcher::new(home, decisions.dispatch, clock.now()),
            client: http_client::build()?,
            keyring: Keyring::new(&settings.keys.current, settings.keys.previous.as_deref()),
            incarnation,
            fleet: Arc::default(),
            control: OnceLock::new(),
            telemetry: Telemetry::new(),
            fixed_slots: decisions.fixed_slots,
            waiters: Waiters::default(),
            leases: OpenLeases::default(),
            rng: Mutex::new(rng),
            counter: AtomicU64::new(0),
            ticked: AtomicU64::new(clock.now().micros()),
            pauses: AtomicU64::new(0),
            seen_live: AtomicBool::new(false),
            reports: Mutex::default(),
            ports: RwLock::default(),
            call_ended: Notify::new(),
            clock,
            settings,
        })
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> Arc<Policy> {
        self.fleet.snapshot().policy().clone()
    }

    /// Returns where the control plane publishes its view.
    pub fn fleet(&self) -> &Arc<SharedFleetView> {
        &self.fleet
    }

    /// Returns the control plane, once it has started.
    pub fn control(&self) -> Option<&Arc<ControlPlane>> {
        self.control.get()
    }

    /// Takes over the control plane that has started.
    pub fn set_control(&self, control: ControlPlane) {
        let _ = self.control.set(Arc::new(control));
    }

    /// Returns whether the node may act on its view of the fleet.
    pub fn is_ready(&self) -> bool {
        self.control()
            .is_some_and(|control| control.active_revision().is_some())
    }

    /// Returns the process pauses that were noticed.
    pub fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Counts a call that ended.
    pub fn record_call(&self, end: &FinishedCall<'_>) {
        self.telemetry
            .record_call(end, &self.policy(), self.clock.now());
    }

    /// Learns the rules and instances of a service that is called for the first time.
    pub async fn discover_service(&self, service: &ServiceName) {
        let known = |fleet: &FleetView| !fleet.instances(service.as_str()).is_empty();
        if known(&self.fleet.snapshot()) {
            return;
        }
        let Some(control) = self.control() else {
            return;
        };
        if control.add_service(service, DISCOVERY_TIMEOUT).await {
            self.apply_fleet_view(&self.fleet.snapshot());
        }
    }

    /// Returns the keys that the fleet shares.
    pub fn keyring(&self) -> &Keyring {
        &self.keyring
    }

    /// Returns this life of the node.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the port that the ingress is served on.
    pub fn ingress_port(&self) -> u16 {
        self.ports.read().unwrap_or_else(|p| p.into_inner()).ingress
    }

    /// Returns the port that the egress is served on.
    pub fn egress_port(&self) -> u16 {
        self.ports.read().unwrap_or_else(|p| p.into_inner()).egress
    }

    /// Takes note of the ports that are served.
    pub fn set_ports(&self, ingress: u16, egress: u16) {
        let ports = ServedPorts { ingress, egress };
        *self.ports.write().unwrap_or_else(|p| p.into_inner()) = ports;
    }

    /// Returns a ticket that was not used before.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.counter.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns an unguessable request id.
    pub fn new_request_id(&self) -> RequestId {
        self.with_rng(RequestId::random)
    }

    /// Decides about a call that arrives.
    pub fn arrive(&self, arrival: &mut Arrival<'_>) -> ArrivalDecision<KeptAnswer> {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let arrived = self.with_rng(|rng| self.gate.arrive(arrival, now, rng, &mut effects));
        self.waiters.apply(&effects);
        arrived
    }

    /// Begins the run of a call and returns the context header for its target.
    pub fn begin(&self, ticket: Ticket) -> Option<ContextId> {
        self.with_rng(|rng| self.gate.begin(ticket, rng))
    }

    /// Ends a call with the outcome that its caller is told, and tells those that share it.
    /// Returns the spare attempts that it and its sub-calls used.
    pub fn finish(&self, ticket: Ticket, outcome: &Outcome<Option<KeptAnswer>>) -> u32 {
        let mut effects = Vec::new();
        let finished = self
            .gate
            .finish(ticket, outcome, self.clock.now(), &mut effects);
        self.waiters.remove(ticket);
        self.waiters.apply(&effects);
        self.waiters
            .complete_followers(&finished.followers, outcome);
        self.leases.stop(&finished.open_leases);
        self.call_ended.notify_waiters();
        finished.used_attempts
    }

    /// Cancels the attempt of another node that nobody waits for any more.
    pub fn cancel(&self, attempt: &AttemptId) {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let stop = self.gate.cancel_attempt(attempt, now, &mut effects);
        self.waiters.apply(&effects);
        if let Some(ticket) = stop {
            self.waiters.stop(ticket, UnknownKind::Cancelled);
        }
    }

    /// Notes that the target crashed, and keeps the reports for the other nodes of the service.
    pub fn record_target_crash(&self) {
        let reports = self.with_rng(|rng| self.gate.record_target_crash(self.clock.now(), rng));
        let mut pending = self.reports.lock().unwrap_or_else(|p| p.into_inner());
        pending.extend(reports);
        let excess = pending.len().saturating_sub(MAX_PENDING_REPORTS);
        pending.drain(..excess);
    }

    /// Takes the reports of crashes that the other nodes of the service were not sent yet.
    pub fn take_crash_reports(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.reports.lock().unwrap_or_else(|p| p.into_inner()))
    }

    /// Decides the next step of a call that this node sends.
    pub fn next_step(&self, plan: &mut Plan) -> Step {
        self.with_rng(|rng| self.dispatcher.step(plan, self.clock.now(), rng))
    }

    /// Returns a number that no other attempt of this node has.
    pub fn next_attempt_number(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Signs the hop header of an attempt that has the given number.
    pub fn sign_hop(&self, attempt: &Attempt, number: u64) -> String {
        self.keyring.sign(&Hop {
            version: HOP_VERSION,
            from: self.name.clone(),
            to: attempt.instance().name.clone(),
            incarnation: self.incarnation,
            attempt: number,
            context: attempt.context.clone(),
        })
    }

    /// Checks a hop header and returns what it carries.
    ///
    /// # Errors
    ///
    /// If it is malformed, forged, meant for another instance or of another version.
    pub fn verify_hop(&self, text: &str) -> Result<Hop, HopError> {
        let hop = self.keyring.verify(text)?;
        if hop.to != self.name {
            return Err(HopError::BadSignature);
        }
        Ok(hop)
    }

    /// Returns what this node adds to an answer.
    pub fn response_headers(&self, spent: Option<u32>) -> ResponseHeaders {
        ResponseHeaders {
            instance: self.name.to_string(),
            level: Some(self.gate.level_report().to_string()),
            spent,
            ..ResponseHeaders::default()
        }
    }

    /// Mints an idempotency token that goes with an answer, for the caller's next call.
    pub fn mint(&self) -> Option<String> {
        let now = self.clock.now();
        let token = self.with_rng(|rng| self.gate.mint(now, rng)).ok()?;
        Some(token.to_string())
    }

    /// Runs what is due. Returns whether the process was paused before.
    pub fn tick(&self) -> bool {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let before = self.ticked.swap(now.micros(), Ordering::Relaxed);
        let late = now.since(Time::from_micros(before).plus(TICK_INTERVAL));
        self.gate
            .set_downstream_level(self.dispatcher.strictest_level(now));
        let woke = self.gate.tick(Tick { now, late }, &mut effects);
        self.waiters.apply(&effects);
        if let Some(woke) = woke {
            self.pauses.fetch_add(1, Ordering::Relaxed);
            log::warn!("the process was paused for {:?}", woke.paused);
        }
        woke.is_some()
    }

    /// Takes over a view of the fleet.
    pub fn apply_fleet_view(&self, fleet: &FleetView) {
        let now = self.clock.now();
        let instances: Vec<Instance> = fleet
            .services()
            .flat_map(|service| fleet.instances(service.as_str()))
            .map(as_listed)
            .collect();
        self.dispatcher.sync(&instances, now);
        let known = fleet.services().flat_map(|s| fleet.instances(s.as_str()));
        for KnownInstance {
            instance,
            incarnation,
            draining,
        } in known
        {
            if let Some(incarnation) = *incarnation {
                let (service, name) = (&instance.service, &instance.name);
                self.dispatcher
                    .update_status(service, name, incarnation, *draining, now);
            }
        }
        self.learn_own_state(&instances);
        self.take_policy(fleet, &instances, now);
    }

    fn take_policy(&self, fleet: &FleetView, instances: &[Instance], now: Time) {
        let policy = fleet.policy();
        let rule = policy.services.iter().find(|s| s.service == self.service);
        if let Some(rule) = rule.filter(|_| !self.fixed_slots) {
            let mut effects = Vec::new();
            self.gate.set_slots(rule.slots, now, &mut effects);
            self.waiters.apply(&effects);
        }
        let region = &self.settings.instance.region;
        for link in &policy.links {
            let other = match (link.from == *region, link.to == *region) {
                (true, false) => &link.to,
                (false, true) => &link.from,
                _ => continue,
            };
            self.dispatcher
                .set_link_budget(other, self.link_share(link, instances), now);
        }
    }

    /// Returns this node's share of the budget of a link.
    fn link_share(&self, link: &LinkRule, instances: &[Instance]) -> LinkConfig {
        let own = &self.settings.instance;
        let in_region = instances.iter().filter(|i| i.region == own.region);
        let domains: BTreeSet<&DomainName> = in_region.map(|i| &i.domain).collect();
        let in_domain = instances.iter().filter(|i| i.domain == own.domain).count();
        let known = self.settings.fleet_size.max(in_domain);
        let nodes = known / domains.len().max(1);
        LinkConfig {
            bytes_per_s: node_bytes_per_s(link.bytes_per_second as f64, domains.len(), nodes),
            reserved_share: link.reserved.as_f64(),
            ..LinkConfig::default()
        }
    }

    /// Starts to drain when the list says that this instance is draining.
    ///
    /// A list that never named it as live may still speak of its predecessor of the same name.
    fn learn_own_state(&self, instances: &[Instance]) {
        let own = instances.iter().find(|i| i.name == self.name);
        match own.map(|i| i.state) {
            Some(InstanceState::Live) => self.seen_live.store(true, Ordering::Relaxed),
            Some(InstanceState::Draining) if self.seen_live.load(Ordering::Relaxed) => {
                self.gate.drain();
            }
            _ => (),
        }
    }

    fn with_rng<F, T>(&self, draw: F) -> T
    where
        F: FnOnce(&mut ChaCha12Rng) -> T,
    {
        draw(&mut self.rng.lock().unwrap_or_else(|p| p.into_inner()))
    }
}

/// Returns an instance with what was heard of it beside the list.
fn as_listed(known: &KnownInstance) -> Instance {
    let state = match known.draining {
        true => InstanceState::Draining,
        false => known.instance.state,
    };
    Instance {
        state,
        ..known.instance.clone()
    }
}

fn token_limits(settings: &Settings) -> TokenLimits {
    let limits = &settings.limits;
    TokenLimits {
        validity: limits.token_validity,
        answer_retention: limits.token_validity * KEPT_FOR_VALIDITIES,
        max_kept_bytes: limits.token_memory as usize,
    }
}
