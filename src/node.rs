//! A node: its tables, ports and tasks.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::call::CallContext;
use crate::call::RequestId;
use crate::clock::Clock;
use crate::coordination::admission::Effect;
use crate::coordination::admission::TICK;
use crate::coordination::admission::Ticket;
use crate::coordination::dispatch::Attempt;
use crate::coordination::dispatch::Dispatcher;
use crate::coordination::dispatch::Plan;
use crate::coordination::dispatch::Step;
use crate::coordination::gate::Gate;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
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
use crate::transport::body::AnswerBody;
use crate::transport::egress::Egress;
use crate::transport::forward;
use crate::transport::forward::Answer;
use crate::transport::ingress;
use crate::transport::ingress::Ingress;
use crate::transport::platform::PlatformClient;
use crate::transport::reply::Notes;
use crate::transport::server::Server;

/// Time for which a watch of the platform is held open.
const WATCH: Duration = Duration::from_secs(20);

/// Wait after the platform failed to answer.
const PLATFORM_BACKOFF: Duration = Duration::from_millis(500);

/// An answer that is kept for a repeated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl KeptAnswer {
    /// Keeps a whole answer.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> KeptAnswer {
        KeptAnswer {
            status,
            headers: headers.clone(),
            body: body.clone(),
        }
    }

    /// Builds the answer that is sent again.
    pub fn to_answer(&self) -> Answer {
        Answer {
            status: self.status,
            headers: self.headers.clone(),
            body: AnswerBody::Held(self.body.clone()),
        }
    }

    /// Returns the size of the body, in bytes.
    pub fn bytes(&self) -> usize {
        self.body.len()
    }
}

struct Waiter {
    start: Option<oneshot::Sender<Result<(), NotRunKind>>>,
    stop: Option<oneshot::Sender<UnknownKind>>,
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
    policy: RwLock<Arc<Policy>>,
    waiters: Mutex<HashMap<Ticket, Waiter>>,
    rng: Mutex<ChaCha12Rng>,
    counter: AtomicU64,
    ports: RwLock<Ports>,
    ended: Notify,
    known: watch::Sender<usize>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ports {
    ingress: u16,
    egress: u16,
}

impl Node {
    fn new(settings: Settings, policy: Policy, seed: u64) -> io::Result<Node> {
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
            waiters: Mutex::default(),
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

    /// Expects a decision about a ticket: whether it starts, and later whether it must stop.
    pub fn expect(
        &self,
        ticket: Ticket,
    ) -> (
        oneshot::Receiver<Result<(), NotRunKind>>,
        oneshot::Receiver<UnknownKind>,
    ) {
        let (start_tx, start) = oneshot::channel();
        let (stop_tx, stop) = oneshot::channel();
        let waiter = Waiter {
            start: Some(start_tx),
            stop: Some(stop_tx),
        };
        self.lock_waiters().insert(ticket, waiter);
        (start, stop)
    }

    /// Forgets a ticket that was decided about at once.
    pub fn forget(&self, ticket: Ticket) {
        self.lock_waiters().remove(&ticket);
    }

    /// Carries out decisions.
    pub fn apply(&self, effects: &[Effect]) {
        let mut waiters = self.lock_waiters();
        for effect in effects {
            match *effect {
                Effect::Start(ticket) => tell_start(&mut waiters, ticket, Ok(())),
                Effect::Drop(ticket, kind) => tell_start(&mut waiters, ticket, Err(kind)),
                Effect::Preempt(ticket) => {
                    let stop = waiters.get_mut(&ticket).and_then(|w| w.stop.take());
                    if let Some(stop) = stop {
                        let _ = stop.send(UnknownKind::Preempted);
                    }
                }
            }
        }
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
        self.forget(ticket);
        self.apply(&effects);
        self.ended.notify_waiters();
        used
    }

    /// Ends a call that was not started.
    pub fn give_up(&self, ticket: Ticket) {
        self.gate.dropped(ticket);
        self.forget(ticket);
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

    fn tick(&self) {
        let mut effects = Vec::new();
        self.gate.tick(self.clock.now(), &mut effects);
        self.apply(&effects);
    }

    fn take_instances(&self, instances: &[Instance]) {
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

    fn lock_waiters(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, Waiter>> {
        self.waiters.lock().unwrap_or_else(|p| p.into_inner())
    }
}

fn tell_start(waiters: &mut HashMap<Ticket, Waiter>, ticket: Ticket, told: Result<(), NotRunKind>) {
    let start = waiters.get_mut(&ticket).and_then(|w| w.start.take());
    if let Some(start) = start {
        let _ = start.send(told);
    }
}

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
        let ingress = ingress::catch_all(Ingress(node.clone()));
        let ingress = Server::start(node.settings.ports.ingress, ingress).await?;
        let egress = ingress::catch_all(Egress(node.clone()));
        let egress = Server::start(node.settings.ports.egress, egress).await?;
        *node.ports.write().unwrap_or_else(|p| p.into_inner()) = Ports {
            ingress: ingress.address().port(),
            egress: egress.address().port(),
        };
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
