//! A node: its tables and what its ports share.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::call::CallContext;
use crate::call::RequestId;
use crate::clock::Clock;
use crate::coordination::admission::Ticket;
use crate::coordination::dispatch::Attempt;
use crate::coordination::dispatch::Dispatcher;
use crate::coordination::dispatch::Plan;
use crate::coordination::dispatch::Step;
use crate::coordination::gate::Gate;
use crate::error::Outcome;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::ServiceName;
use crate::policy::Policy;
use crate::protocol::hop::HOP_VERSION;
use crate::protocol::hop::Hop;
use crate::protocol::hop::HopError;
use crate::protocol::hop::Keyring;
use crate::settings::Settings;
use crate::transport::forward;
use crate::transport::kept::KeptAnswer;
use crate::transport::reply::Notes;
use crate::waiters::Waiters;

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
    policy: RwLock<Arc<Policy>>,
    /// Handlers that wait for a decision.
    pub waiters: Waiters,
    rng: Mutex<ChaCha12Rng>,
    counter: AtomicU64,
    ports: RwLock<ServedPorts>,
    /// Told when a call has ended.
    pub ended: Notify,
    /// Number of instances in the list that is in use.
    pub known: watch::Sender<usize>,
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
    pub fn new(settings: Settings, policy: Policy, seed: u64) -> io::Result<Node> {
        let clock = Clock::system();
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let service = settings.instance.service.clone();
        let slots = policy
            .services
            .iter()
            .find(|s| s.service == service)
            .map_or(16, |s| s.slots);
        Ok(Node {
            name: settings.instance.name.clone(),
            service,
            gate: Gate::new(slots, clock.now()),
            dispatcher: Dispatcher::new(),
            client: forward::client()?,
            keyring: Keyring::new(&settings.keys.current, settings.keys.previous.as_deref()),
            incarnation: Incarnation(rng.next_u64()),
            policy: RwLock::new(Arc::new(policy)),
            waiters: Waiters::default(),
            rng: Mutex::new(rng),
            counter: AtomicU64::new(0),
            ports: RwLock::default(),
            ended: Notify::new(),
            known: watch::Sender::new(0),
            clock,
            settings,
        })
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> Arc<Policy> {
        self.policy
            .read()
            .unwrap_or_else(|p| p.into_inner())
            .clone()
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
        self.with_rng(|rng| {
            RequestId(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
        })
    }

    /// Begins the run of a call and returns the context header for its target.
    pub fn begin(&self, ticket: Ticket) -> String {
        let id = self.with_rng(|rng| self.gate.begin(ticket, rng));
        format!("{:032x}", id.unwrap_or_default())
    }

    /// Ends a call that ran. Returns the spare attempts that it and its sub-calls used.
    pub fn finish(&self, ticket: Ticket, outcome: &Outcome<Option<KeptAnswer>>) -> u32 {
        let mut effects = Vec::new();
        let used = self
            .gate
            .finish(ticket, outcome, self.clock.now(), &mut effects);
        self.waiters.forget(ticket);
        self.waiters.apply(&effects);
        self.ended.notify_waiters();
        used
    }

    /// Ends a call that was not started.
    pub fn give_up(&self, ticket: Ticket) {
        self.gate.dropped(ticket);
        self.waiters.forget(ticket);
        self.ended.notify_waiters();
    }

    /// Decides the next step of a call that this node sends.
    pub fn next_step(&self, plan: &mut Plan) -> Step {
        self.with_rng(|rng| self.dispatcher.step(plan, self.clock.now(), rng))
    }

    /// Signs the hop header of an attempt.
    pub fn sign_hop(&self, attempt: &Attempt) -> String {
        self.keyring.sign(&Hop {
            version: HOP_VERSION,
            from: self.name.clone(),
            to: attempt.to.name.clone(),
            incarnation: self.incarnation,
            attempt: self.counter.fetch_add(1, Ordering::Relaxed),
            context: attempt.context.clone(),
        })
    }

    /// Checks a hop header and returns the context that it carries.
    ///
    /// # Errors
    ///
    /// If it is malformed, forged, meant for another instance or of another version.
    pub fn accept_hop(&self, text: &str) -> Result<CallContext, HopError> {
        let hop = self.keyring.verify(text)?;
        if hop.to != self.name {
            return Err(HopError::Forged);
        }
        Ok(hop.context)
    }

    /// Returns what this node adds to an answer.
    pub fn notes(&self, spent: Option<u32>) -> Notes {
        Notes {
            instance: self.name.to_string(),
            spent,
            ..Notes::default()
        }
    }

    /// Runs what is due.
    pub fn tick(&self) {
        let mut effects = Vec::new();
        self.gate.tick(self.clock.now(), &mut effects);
        self.waiters.apply(&effects);
    }

    /// Takes over the published instances.
    pub fn take_instances(&self, instances: &[Instance]) {
        let mut by_service: HashMap<&ServiceName, Vec<Instance>> = HashMap::new();
        for instance in instances {
            by_service
                .entry(&instance.service)
                .or_default()
                .push(instance.clone());
        }
        for (service, instances) in by_service {
            self.dispatcher.sync(service, &instances, self.clock.now());
        }
        self.known.send_replace(instances.len());
    }

    fn with_rng<F, T>(&self, draw: F) -> T
    where
        F: FnOnce(&mut ChaCha12Rng) -> T,
    {
        draw(&mut self.rng.lock().unwrap_or_else(|p| p.into_inner()))
    }
}
