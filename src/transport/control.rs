//! Runs the control plane of a node: its peer port, its platform watches and its timer.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::clock::Time;
use crate::coordination::control::Action;
use crate::coordination::control::Contact;
use crate::coordination::control::Control;
use crate::coordination::control::ControlSettings;
use crate::coordination::control::DocumentKind;
use crate::coordination::control::PeerId;
use crate::coordination::control::PeerStatus;
use crate::coordination::control::PlatformResponse;
use crate::coordination::control::Reply;
use crate::coordination::control::Request;
use crate::coordination::control::Watch;
use crate::coordination::document::Revision;
use crate::instance::ServiceName;
use crate::policy::Policy;
use crate::protocol::hop::Keyring;
use crate::protocol::peer::PeerReply;
use crate::protocol::peer::PeerRequest;
use crate::state::LockRank;
use crate::state::OrderedMutex;
use crate::state::fleet::FleetView;
use crate::state::fleet::KnownInstance;
use crate::state::fleet::SharedFleetView;
use crate::status::TrafficStatus;
use crate::transport::peer::CancelHandler;
use crate::transport::peer::CrashHandler;
use crate::transport::peer::MintHandler;
use crate::transport::peer::PeerClient;
use crate::transport::peer::PeerError;
use crate::transport::peer::PeerHandlers;
use crate::transport::peer::PeerServer;
use crate::transport::platform::PlatformClient;

/// Returns whether a request may be sent to an address. Tests simulate network partitions with it.
pub type AddressFilter = Box<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Handlers for the peer requests that concern calls rather than configuration or membership. The
/// default ones do nothing.
pub struct DataPathHandlers {
    /// Handles crash reports.
    pub crash: CrashHandler,
    /// Handles cancellations of attempts.
    pub cancel: CancelHandler,
    /// Handles requests for idempotency tokens.
    pub mint: MintHandler,
}

impl Default for DataPathHandlers {
    fn default() -> DataPathHandlers {
        DataPathHandlers {
            crash: Box::new(|_, _| ()),
            cancel: Box::new(|_, _| ()),
            mint: Box::new(|_, _| Vec::new()),
        }
    }
}

/// Settings of a control plane.
pub struct ControlPlaneSettings {
    /// Settings of the control decisions.
    pub control: ControlSettings,
    /// Listener of the peer port.
    pub listener: TcpListener,
    /// Base URL of the platform.
    pub platform: String,
    /// Keys that sign and verify the messages of the fleet.
    pub keys: Keyring,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed of every random choice.
    pub seed: u64,
    /// Destination of the published views.
    pub fleet: Arc<SharedFleetView>,
    /// Handlers of the other peer requests.
    pub handlers: DataPathHandlers,
    /// Addresses to which requests may be sent.
    pub address_filter: AddressFilter,
}

/// The decisions with their inputs, guarded by one lock.
struct Core {
    control: Control,
    rng: ChaCha12Rng,
    policy: Option<(String, Arc<Policy>)>,
}

/// State shared by the tasks and the peer port.
struct Shared {
    core: OrderedMutex<Core>,
    clock: Clock,
    client: Arc<PeerClient>,
    platform: PlatformClient,
    fleet: Arc<SharedFleetView>,
    address_filter: AddressFilter,
    stopped: CancellationToken,
    published: Notify,
    tick: Duration,
}

/// A running control plane. Dropping it stops its tasks and its port.
pub struct ControlPlane {
    shared: Arc<Shared>,
    server: PeerServer,
}

impl fmt::Debug for ControlPlane {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlPlane")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl ControlPlane {
    /// Starts the peer port and the tasks that obtain the configuration and the instance list.
    /// Called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used.
    pub fn start(settings: ControlPlaneSettings) -> io::Result<ControlPlane> {
        let tick = settings.control.timing.tick;
        let control = Control::new(settings.control);
        let me = control.id();
        let shared = Arc::new(Shared {
            core: OrderedMutex::new(
                LockRank::Control,
                Core {
                    control,
                    rng: ChaCha12Rng::seed_from_u64(settings.seed),
                    policy: None,
                },
            ),
            clock: settings.clock,
            client: Arc::new(PeerClient::new(me.clone(), settings.keys.clone())),
            platform: PlatformClient::new(&settings.platform),
            fleet: settings.fleet,
            address_filter: settings.address_filter,
            stopped: CancellationToken::new(),
            published: Notify::new(),
            tick,
        });
        let handlers = handlers(shared.clone(), settings.handlers);
        let server = PeerServer::start(settings.listener, me, settings.keys, handlers)?;
        shared.clone().spawn(shared.clone().tick_forever());
        Ok(ControlPlane { shared, server })
    }

    /// Returns the address that the peer port listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the client that sends peer requests of this node.
    pub fn client(&self) -> &Arc<PeerClient> {
        &self.shared.client
    }

    /// Returns the bytes of control messages since the start: peer requests and replies in both
    /// roles, and requests to the platform.
    pub fn traffic(&self) -> TrafficStatus {
        let client = self.shared.client.traffic().total();
        let server = self.server.traffic().total();
        let platform = self.shared.platform.traffic().total();
        client.plus(server).plus(platform)
    }

    /// Returns the status that this node sends to peers: the documents it has and its state.
    pub fn status(&self) -> PeerStatus {
        self.shared.core.lock().control.status()
    }

    /// Returns the highest configuration revision seen, if it was rejected as invalid.
    pub fn rejected_revision(&self) -> Option<Revision> {
        let core = self.shared.core.lock();
        let rejection = core.control.config().rejection();
        rejection.map(|rejection| rejection.revision)
    }

    /// Returns the time at which the platform or a peer last confirmed the configuration.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.shared.core.lock().control.confirmed_at()
    }

    /// Returns the revision of the configuration in force, or `None` while the node is not ready.
    pub fn active_revision(&self) -> Option<Revision> {
        let core = self.shared.core.lock();
        let acts = core.control.is_ready_at(self.shared.clock.now());
        acts.then(|| core.control.revision())
    }

    /// Waits until the node is ready to act on its view of the fleet.
    pub async fn wait_until_ready(&self) {
        self.wait_until(|fleet| fleet.is_ready()).await;
    }

    /// Waits until the published view satisfies `condition`.
    pub async fn wait_until<F>(&self, condition: F)
    where
        F: Fn(&FleetView) -> bool,
    {
        loop {
            let published = self.shared.published.notified();
            if condition(&self.shared.fleet.snapshot()) {
                return;
            }
            published.await;
        }
    }

    /// Waits until a view other than `last` is published, and returns it.
    pub async fn wait_for_change(&self, last: &Arc<FleetView>) -> Arc<FleetView> {
        loop {
            let published = self.shared.published.notified();
            let current = self.shared.fleet.snapshot();
            if !Arc::ptr_eq(&current, last) {
                return current;
            }
            published.await;
        }
    }

    /// Stops the tasks; the peer port stops when the control plane is dropped.
    pub fn stop(&self) {
        self.shared.stopped.cancel();
    }

    /// Adds a service that the target calls and waits up to `wait` for its rules and instances.
    /// Returns whether the node has them.
    pub async fn add_service(&self, service: &ServiceName, wait: Duration) -> bool {
        let now = self.shared.clock.now();
        let actions = {
            let core = &mut *self.shared.core.lock();
            core.control.add_service(now, service, &mut core.rng)
        };
        self.shared.perform(actions);
        let complete = async {
            loop {
                let published = self.shared.published.notified();
                if self.shared.core.lock().control.holds_service(service) {
                    return;
                }
                published.await;
            }
        };
        tokio::time::timeout(wait, complete).await.is_ok()
    }

    /// Announces to peers that this node is draining.
    pub fn drain(&self) {
        self.shared.core.lock().control.drain();
    }

    /// Records the incarnation of an instance and whether it is draining, as the data path observed
    /// them.
    pub fn observe(&self, peer: &PeerId, draining: bool) {
        let now = self.shared.clock.now();
        self.shared.core.lock().control.observe(now, peer, draining);
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.shared.stopped.cancel();
    }
}

/// Combines the handler of the control plane with those of the data path.
fn handlers(shared: Arc<Shared>, others: DataPathHandlers) -> PeerHandlers {
    let handle = move |from: &PeerId, request| {
        let now = shared.clock.now();
        let (reply, actions) = {
            let core = &mut *shared.core.lock();
            core.control
                .handle_request(now, from, request, &mut core.rng)
        };
        shared.perform(actions);
        reply
    };
    PeerHandlers {
        control: Box::new(handle),
        crash: others.crash,
        cancel: others.cancel,
        mint: others.mint,
    }
}

impl Shared {
    /// Spawns a task that ends when the control plane stops.
    fn spawn<F>(self: Arc<Shared>, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stopped = self.stopped.clone();
        tokio::spawn(stopped.run_until_cancelled_owned(work));
    }

    /// Runs the periodic work of the control plane.
    async fn tick_forever(self: Arc<Shared>) {
        let mut interval = tokio::time::interval(self.tick);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.handle_event(|core, now| core.control.tick(now, &mut core.rng));
        }
    }

    /// Passes an event to the decisions with `handle` and performs the resulting actions.
    fn handle_event<F>(self: &Arc<Shared>, handle: F)
    where
        F: FnOnce(&mut Core, Time) -> Vec<Action>,
    {
        let now = self.clock.now();
        let actions = handle(&mut self.core.lock(), now);
        self.perform(actions);
    }

    /// Performs actions of the decisions, then publishes the view if it changed.
    fn perform(self: &Arc<Shared>, actions: Vec<Action>) {
        for action in actions {
            let shared = self.clone();
            match action {
                Action::Send { to, request, tries } => {
                    self.clone().spawn(shared.send(to, request, tries));
                }
                Action::Watch(watch) => self.clone().spawn(shared.watch(watch)),
                Action::Rejected(rejection) => {
                    let revision = rejection.revision.0;
                    log::warn!(
                        "configuration revision {revision} rejected: {}",
                        rejection.reason
                    );
                }
                Action::Superseded(by) => {
                    log::error!(
                        "{by} knows a later incarnation of this instance; is the clock behind?"
                    );
                }
            }
        }
        self.publish();
    }

    /// Sends a request to a peer and passes the reply or the failure to the decisions.
    async fn send(self: Arc<Shared>, to: Contact, request: Request, tries: u32) {
        match self.exchange(&to, request.clone()).await {
            Ok((from, reply)) => self.handle_event(|core, now| {
                let control = &mut core.control;
                control.handle_reply(now, &to, &request, &from, reply, &mut core.rng)
            }),
            Err(e) => {
                log::debug!("request to peer {} failed: {e}", to.address);
                self.handle_event(|core, now| {
                    core.control
                        .handle_failure(now, &to, request, tries, &mut core.rng)
                });
            }
        }
    }

    /// Sends a control request to a peer. Returns the sender and the body of its reply.
    async fn exchange(&self, to: &Contact, request: Request) -> Result<(PeerId, Reply), PeerError> {
        if !(self.address_filter)(to.address) {
            return Err(PeerError::Unreachable);
        }
        let request = PeerRequest::Control(request);
        let exchange = self
            .client
            .send_request(to.name.as_ref(), to.address, request);
        match exchange.await? {
            (from, PeerReply::Control(reply)) => Ok((from, reply)),
            _ => Err(PeerError::UnexpectedReply),
        }
    }

    /// Sends one long poll to the platform and passes the response to the decisions.
    async fn watch(self: Arc<Shared>, watch: Watch) {
        tokio::time::sleep(watch.delay).await;
        match watch.kind {
            DocumentKind::Config => {
                let response = self.platform.config(watch.after, watch.wait).await;
                self.handle_event(|core, now| {
                    let response = match &response {
                        Ok(Some(d)) => {
                            PlatformResponse::Newer(Revision(d.revision), d.text.as_str())
                        }
                        Ok(None) => PlatformResponse::Unchanged,
                        Err(e) => failed(e),
                    };
                    core.control.handle_config_response(now, response)
                });
            }
            DocumentKind::List => {
                let response = self.platform.instances(watch.after, watch.wait).await;
                self.handle_event(|core, now| {
                    let response = match &response {
                        Ok(Some(d)) => {
                            PlatformResponse::Newer(Revision(d.version), d.instances.as_slice())
                        }
                        Ok(None) => PlatformResponse::Unchanged,
                        Err(e) => failed(e),
                    };
                    core.control.handle_list_response(now, response);
                    Vec::new()
                });
            }
        }
    }

    /// Publishes the view if it has changed since it was last published.
    fn publish(&self) {
        let fleet = {
            let core = &mut *self.core.lock();
            if !core.control.take_changed() {
                return;
            }
            core.build_view()
        };
        self.fleet.publish(fleet);
        self.published.notify_waiters();
    }
}

/// Logs the error of a watch and returns [`PlatformResponse::Failed`].
fn failed<D>(e: &crate::transport::platform::PlatformError) -> PlatformResponse<D> {
    log::warn!("cannot watch the platform: {e}");
    PlatformResponse::Failed
}

impl Core {
    /// Builds the view of the fleet, with the instances of the services that the node needs.
    fn build_view(&mut self) -> FleetView {
        let revision = self.control.revision().0;
        let ready = self.control.is_ready();
        let policy = self.policy();
        let needed = self.control.members().iter().filter(|m| {
            let service = &m.instance.service;
            self.control.needs_service(service)
        });
        let known = needed.map(|m| KnownInstance {
            instance: m.instance.clone(),
            incarnation: m.incarnation,
            draining: m.draining,
        });
        FleetView::new(revision, ready, policy, known)
    }

    /// Returns the policy, parsed again only if its text has changed. Falls back to the last valid
    /// policy.
    fn policy(&mut self) -> Arc<Policy> {
        let text = self.control.config().text().unwrap_or_default();
        if let Some((parsed, policy)) = &self.policy
            && *parsed == text
        {
            return policy.clone();
        }
        match Policy::parse(&text) {
            Ok(policy) => {
                let policy = Arc::new(policy);
                self.policy = Some((text, policy.clone()));
                policy
            }
            Err(e) => {
                log::error!("this node's part of the policy is invalid: {e}");
                let last = self.policy.as_ref();
                last.map(|(_, policy)| policy.clone()).unwrap_or_default()
            }
        }
    }
}
