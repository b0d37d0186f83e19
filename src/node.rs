//! State of a node, shared by its ports.

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
use crate::transport::kept_response::KeptResponse;
use crate::transport::response::ResponseHeaders;
use crate::waiters::OpenLeases;
use crate::waiters::Waiters;

/// Maximum number of crash reports that wait to be sent. The oldest are dropped first.
const MAX_PENDING_CRASH_REPORTS: usize = 1_024;

/// Maximum wait for the rules and instances of a service that is called for the first time.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of slots of an instance whose service has no rule.
const DEFAULT_SLOTS: u32 = 16;

/// Retention time of the response to a redeemed token, as a multiple of the token's validity.
const RESPONSE_RETENTION_VALIDITIES: u32 = 2;

/// Configuration of the admission and routing decisions. Baselines of measurements switch some off.
#[derive(Clone, Debug)]
pub struct DecisionConfig {
    /// Decisions on calls that arrive at the ingress.
    pub gate: GateConfig,
    /// Decisions on calls that leave through the egress.
    pub dispatch: DispatchConfig,
    /// Whether the slots in the policy are ignored.
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

/// State of a node, shared by its ports and background tasks.
pub struct Node {
    /// Settings of the node.
    pub settings: Settings,
    /// Name of the instance.
    pub name: InstanceName,
    /// Service of the instance.
    pub service: ServiceName,
    /// Monotonic clock of the node.
    pub clock: Clock,
    /// Decides on calls that arrive at the ingress.
    pub gate: Gate<KeptResponse>,
    /// Decides on calls that leave through the egress.
    pub dispatcher: Dispatcher,
    /// HTTP client for requests to the target and to other nodes.
    pub client: reqwest::Client,
    keyring: Keyring,
    incarnation: Incarnation,
    fleet: Arc<SharedFleetView>,
    control: OnceLock<Arc<ControlPlane>>,
    /// Metrics and call history.
    pub telemetry: Telemetry,
    /// Handlers that wait for the admission of their call.
    pub waiters: Waiters,
    /// Sub-calls in progress.
    pub leases: OpenLeases,
    fixed_slots: bool,
    rng: Mutex<ChaCha12Rng>,
    /// Next ticket or attempt number.
    counter: AtomicU64,
    /// Time of the last tick, in microseconds of the clock.
    last_tick: AtomicU64,
    /// Number of process pauses detected since the start.
    pauses: AtomicU64,
    /// Whether the platform has listed this instance as live.
    listed_live: AtomicBool,
    /// Crash reports that wait to be sent.
    crash_reports: Mutex<Vec<CrashReport>>,
    ports: RwLock<LocalPorts>,
    /// Notified when a call has ended.
    pub call_ended: Notify,
}

/// Port numbers that the node has bound, 0 before.
#[derive(Clone, Copy, Debug, Default)]
struct LocalPorts {
    ingress: u16,
    egress: u16,
}

impl Node {
    /// Creates the node of an instance. `seed` determines its random choices.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be built.
    pub fn new(
        settings: Settings,
        decisions: DecisionConfig,
        incarnation: Incarnation,
        seed: u64,
    ) -> io::Result<Node> {
        let clock = Clock::system();
        let rng = ChaCha12Rng::seed_from_u64(seed);
        let service = settings.instance.service.clone();
        let local = LocalNode {
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
                KeptResponse::bytes,
                clock.now(),
            ),
            dispatcher: Dispatcher::new(local, decisions.dispatch, clock.now()),
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
            last_tick: AtomicU64::new(clock.now().micros()),
            pauses: AtomicU64::new(0),
            listed_live: AtomicBool::new(false),
            crash_reports: Mutex::default(),
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

    /// Returns the view of the fleet that the control plane publishes.
    pub fn fleet(&self) -> &Arc<SharedFleetView> {
        &self.fleet
    }

    /// Returns the control plane, once it has started.
    pub fn control(&self) -> Option<&Arc<ControlPlane>> {
        self.control.get()
    }

    /// Sets the control plane once it has started. Later calls have no effect.
    pub fn set_control(&self, control: ControlPlane) {
        let _ = self.control.set(Arc::new(control));
    }

    /// Returns whether the view of the fleet is confirmed, so that the node accepts calls.
    pub fn is_ready(&self) -> bool {
        self.control()
            .is_some_and(|control| control.active_revision().is_some())
    }

    /// Returns the number of process pauses detected since the start.
    pub fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Records a call that has ended in the metrics and the history.
    pub fn record_call(&self, end: &FinishedCall<'_>) {
        self.telemetry
            .record_call(end, &self.policy(), self.clock.now());
    }

    /// Requests the rules and instances of a service that is not known yet, and waits for them for
    /// at most `DISCOVERY_TIMEOUT`.
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

    /// Returns the signing keys shared by the fleet.
    pub fn keyring(&self) -> &Keyring {
        &self.keyring
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the port number of the ingress.
    pub fn ingress_port(&self) -> u16 {
        self.ports.read().unwrap_or_else(|p| p.into_inner()).ingress
    }

    /// Returns the port number of the egress.
    pub fn egress_port(&self) -> u16 {
        self.ports.read().unwrap_or_else(|p| p.into_inner()).egress
    }

    /// Sets the port numbers of the ingress and the egress once they are bound.
    pub fn set_ports(&self, ingress: u16, egress: u16) {
        let ports = LocalPorts { ingress, egress };
        *self.ports.write().unwrap_or_else(|p| p.into_inner()) = ports;
    }

    /// Returns a new ticket.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.counter.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns an unguessable request id.
    pub fn new_request_id(&self) -> RequestId {
        self.with_rng(RequestId::random)
    }

    /// Decides on a call that arrives, and notifies the handlers of other calls that are affected.
    pub fn arrive(&self, arrival: &mut Arrival<'_>) -> ArrivalDecision<KeptResponse> {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let decision = self.with_rng(|rng| self.gate.arrive(arrival, now, rng, &mut effects));
        self.waiters.apply(&effects);
        decision
    }

    /// Marks a call as running and returns the context id to pass to the target.
    pub fn begin(&self, ticket: Ticket) -> Option<ContextId> {
        self.with_rng(|rng| self.gate.begin(ticket, rng))
    }

    /// Ends a call with the outcome that its caller gets, and completes the calls that share its
    /// run. Returns the number of spare attempts that the call and its sub-calls used.
    pub fn finish(&self, ticket: Ticket, outcome: &Outcome<Option<KeptResponse>>) -> u32 {
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

    /// Cancels an attempt of another node whose caller no longer waits.
    pub fn cancel(&self, attempt: &AttemptId) {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let running = self.gate.cancel_attempt(attempt, now, &mut effects);
        self.waiters.apply(&effects);
        if let Some(ticket) = running {
            self.waiters.stop(ticket, UnknownKind::Cancelled);
        }
    }

    /// Records a crash of the target, and stores the reports for the other nodes of the service.
    pub fn record_target_crash(&self) {
        let domain = &self.settings.instance.domain;
        let now = self.clock.now();
        let reports = self.with_rng(|rng| self.gate.record_target_crash(domain, now, rng));
        let mut pending = self.crash_reports.lock().unwrap_or_else(|p| p.into_inner());
        pending.extend(reports);
        let excess = pending.len().saturating_sub(MAX_PENDING_CRASH_REPORTS);
        pending.drain(..excess);
    }

    /// Removes and returns the crash reports that were not sent to the other nodes yet.
    pub fn take_crash_reports(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.crash_reports.lock().unwrap_or_else(|p| p.into_inner()))
    }

    /// Returns the next step of an outgoing call.
    pub fn next_step(&self, plan: &mut Plan) -> Step {
        self.with_rng(|rng| self.dispatcher.step(plan, self.clock.now(), rng))
    }

    /// Returns a number that is unique among the attempts of this node.
    pub fn next_attempt_number(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the signed hop header of the attempt with the given number.
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

    /// Verifies a hop header and returns its content.
    ///
    /// # Errors
    ///
    /// If it is malformed, has a wrong signature, is addressed to another instance or has another
    /// version.
    pub fn verify_hop(&self, text: &str) -> Result<Hop, HopError> {
        let hop = self.keyring.verify(text)?;
        if hop.to != self.name {
            return Err(HopError::BadSignature);
        }
        Ok(hop)
    }

    /// Returns the metadata that this node adds to a response.
    pub fn response_headers(&self, used_attempts: Option<u32>) -> ResponseHeaders {
        ResponseHeaders {
            instance: self.name.to_string(),
            level: Some(self.gate.level_report().to_string()),
            used_attempts,
            ..ResponseHeaders::default()
        }
    }

    /// Mints an idempotency token for the caller's next call, to be sent with a response.
    ///
    /// Returns `None` if no further token can be minted now.
    pub fn mint(&self) -> Option<String> {
        let now = self.clock.now();
        let token = self.with_rng(|rng| self.gate.mint(now, rng)).ok()?;
        Some(token.to_string())
    }

    /// Performs the periodic work of the gate. Returns whether the process was paused since the
    /// previous tick.
    pub fn tick(&self) -> bool {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let previous = self.last_tick.swap(now.micros(), Ordering::Relaxed);
        let late = now.since(Time::from_micros(previous).plus(TICK_INTERVAL));
        self.gate
            .set_downstream_level(self.dispatcher.strictest_level(now));
        let pause = self.gate.tick(Tick { now, late }, &mut effects);
        self.waiters.apply(&effects);
        if let Some(pause) = pause {
            self.pauses.fetch_add(1, Ordering::Relaxed);
            log::warn!("process was paused for {:?}", pause.paused);
        }
        pause.is_some()
    }

    /// Applies a view of the fleet to the dispatcher, the gate and the link budgets.
    pub fn apply_fleet_view(&self, fleet: &FleetView) {
        let now = self.clock.now();
        let instances: Vec<Instance> = fleet
            .services()
            .flat_map(|service| fleet.instances(service.as_str()))
            .map(with_observed_state)
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
        self.update_own_state(&instances);
        self.apply_policy(fleet, &instances, now);
    }

    /// Applies the slots and link budgets of the policy in `fleet`.
    fn apply_policy(&self, fleet: &FleetView, instances: &[Instance], now: Time) {
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

    /// Returns the share of the budget of a link that this node may use.
    fn link_share(&self, link: &LinkRule, instances: &[Instance]) -> LinkConfig {
        let own = &self.settings.instance;
        let in_region = instances.iter().filter(|i| i.region == own.region);
        let domains: BTreeSet<&DomainName> = in_region.map(|i| &i.domain).collect();
        let in_domain = instances.iter().filter(|i| i.domain == own.domain).count();
        let fleet_size = self.settings.fleet_size.max(in_domain);
        let nodes = fleet_size / domains.len().max(1);
        LinkConfig {
            bytes_per_s: node_bytes_per_s(link.bytes_per_second as f64, domains.len(), nodes),
            reserved_share: link.reserved.as_f64(),
            ..LinkConfig::default()
        }
    }

    /// Starts to drain if the platform lists this instance as draining.
    ///
    /// The state is ignored until the instance has been listed as live, since it may belong to a
    /// predecessor with the same name.
    fn update_own_state(&self, instances: &[Instance]) {
        let own = instances.iter().find(|i| i.name == self.name);
        match own.map(|i| i.state) {
            Some(InstanceState::Live) => self.listed_live.store(true, Ordering::Relaxed),
            Some(InstanceState::Draining) if self.listed_live.load(Ordering::Relaxed) => {
                self.gate.drain();
            }
            _ => (),
        }
    }

    /// Calls `draw` with the random number generator of the node.
    fn with_rng<F, T>(&self, draw: F) -> T
    where
        F: FnOnce(&mut ChaCha12Rng) -> T,
    {
        draw(&mut self.rng.lock().unwrap_or_else(|p| p.into_inner()))
    }
}

/// Returns the listed instance, in state leaving if its node reported that it drains.
fn with_observed_state(known: &KnownInstance) -> Instance {
    let state = match known.draining {
        true => InstanceState::Draining,
        false => known.instance.state,
    };
    Instance {
        state,
        ..known.instance.clone()
    }
}

/// Returns the limits for idempotency tokens from the settings.
fn token_limits(settings: &Settings) -> TokenLimits {
    let limits = &settings.limits;
    TokenLimits {
        validity: limits.token_validity,
        response_retention: limits.token_validity * RESPONSE_RETENTION_VALIDITIES,
        max_kept_bytes: limits.token_memory as usize,
    }
}
