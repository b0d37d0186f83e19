//! Runs the control plane of a node: its peer port, its platform watches and its ticks.

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
use crate::coordination::control::Reply;
use crate::coordination::control::Request;
use crate::coordination::control::Watch;
use crate::coordination::control::WatchAnswer;
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

/// Decides whether a message may be sent to an address. Tests cut networks with it.
pub type AddressFilter = Box<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// What the peer port does with messages that are not about configuration or membership.
pub struct DataPathHandlers {
    /// Crash reports.
    pub crash: CrashHandler,
    /// Cancellations.
    pub cancel: CancelHandler,
    /// Idempotency tokens.
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

/// What a control plane needs.
pub struct ControlPlaneSettings {
    /// What the decisions are told.
    pub control: ControlSettings,
    /// Where the peer port is served.
    pub listener: TcpListener,
    /// Base URL of the platform.
    pub platform: String,
    /// Keys that the fleet shares.
    pub keys: Keyring,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed of every random choice.
    pub seed: u64,
    /// Where the view is published.
    pub fleet: Arc<SharedFleetView>,
    /// Other messages.
    pub handlers: DataPathHandlers,
    /// Which addresses can be reached.
    pub address_filter: AddressFilter,
}

struct Core {
    control: Control,
    rng: ChaCha12Rng,
    policy: Option<(String, Arc<Policy>)>,
}

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

/// A running control plane. It stops when it is dropped.
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
    /// Serves the peer port and starts to learn configuration and instances.
    ///
    /// Called inside a tokio runtime.
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

    /// Returns the address that the peer port is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the client that speaks for this node.
    pub fn client(&self) -> &Arc<PeerClient> {
        &self.shared.client
    }

    /// Returns the bytes of control messages since the start.
    pub fn traffic(&self) -> TrafficStatus {
        let client = self.shared.client.traffic().total();
        let server = self.server.traffic().total();
        let platform = self.shared.platform.traffic().total();
        client.plus(server).plus(platform)
    }

    /// Returns what the node has and how it stands.
    pub fn status(&self) -> PeerStatus {
        self.shared.core.lock().control.status()
    }

    /// Returns the highest revision seen, if it was rejected.
    pub fn rejected_revision(&self) -> Option<Revision> {
        let core = self.shared.core.lock();
        let rejection = core.control.config().rejection();
        rejection.map(|rejection| rejection.revision)
    }

    /// Returns when the platform or a peer last confirmed the configuration.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.shared.core.lock().control.confirmed_at()
    }

    /// Returns the revision that the node acts on, nothing while it may not act.
    pub fn active_revision(&self) -> Option<Revision> {
        let core = self.shared.core.lock();
        let acts = core.control.is_ready_at(self.shared.clock.now());
        acts.then(|| core.control.revision())
    }

    /// Waits until the node acts on a view.
    pub async fn wait_until_ready(&self) {
        self.wait_until(|fleet| fleet.is_ready()).await;
    }

    /// Waits until the published view fulfils a condition.
    pub async fn wait_until<F>(&self, done: F)
    where
        F: Fn(&FleetView) -> bool,
    {
        loop {
            let published = self.shared.published.notified();
            if done(&self.shared.fleet.snapshot()) {
                return;
            }
            published.await;
        }
    }

    /// Waits until another view than `last` is published, and returns it.
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

    /// Stops its tasks.
    pub fn stop(&self) {
        self.shared.stopped.cancel();
    }

    /// Adds a service that the target calls from now on, and waits until its rules and instances
    /// are held, at most `wait`. Returns whether they are.
    pub async fn add_service(&self, service: &ServiceName, wait: Duration) -> bool {
        let now = self.shared.clock.now();
        let actions = {
            let core = &mut *self.shared.core.lock();
            core.control.add_service(now, service, &mut core.rng)
        };
        self.shared.perform(actions);
        let known = async {
            loop {
                let published = self.shared.published.notified();
                if self.shared.core.lock().control.holds_service(service) {
                    return;
                }
                published.await;
            }
        };
        tokio::time::timeout(wait, known).await.is_ok()
    }

    /// Announces to peers that this node is draining.
    pub fn drain(&self) {
        self.shared.core.lock().control.drain();
    }

    /// Notes what the data path observed of an instance.
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

fn handlers(shared: Arc<Shared>, others: DataPathHandlers) -> PeerHandlers {
    let take = move |from: &PeerId, request| {
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
        control: Box::new(take),
        crash: others.crash,
        cancel: others.cancel,
        mint: others.mint,
    }
}

impl Shared {
    fn spawn<F>(self: Arc<Shared>, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stopped = self.stopped.clone();
        tokio::spawn(stopped.run_until_cancelled_owned(work));
    }

    async fn tick_forever(self: Arc<Shared>) {
        let mut interval = tokio::time::interval(self.tick);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.event(|core, now| core.control.tick(now, &mut core.rng));
        }
    }

    /// Lets the decisions take an event, and performs what follows.
    fn event<F>(self: &Arc<Shared>, take: F)
    where
        F: FnOnce(&mut Core, Time) -> Vec<Action>,
    {
        let now = self.clock.now();
        let actions = take(&mut self.core.lock(), now);
        self.perform(actions);
    }

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
                    log::warn!("revision {revision} rejected: {}", rejection.reason);
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

    async fn send(self: Arc<Shared>, to: Contact, request: Request, tries: u32) {
        match self.ask(&to, request.clone()).await {
            Ok((from, reply)) => self.event(|core, now| {
                let control = &mut core.control;
                control.handle_reply(now, &to, &request, &from, reply, &mut core.rng)
            }),
            Err(e) => {
                log::debug!("peer {}: {e}", to.address);
                self.event(|core, now| {
                    core.control
                        .handle_failure(now, &to, request, tries, &mut core.rng)
                });
            }
        }
    }

    async fn ask(&self, to: &Contact, request: Request) -> Result<(PeerId, Reply), PeerError> {
        if !(self.address_filter)(to.address) {
            return Err(PeerError::Unreachable);
        }
        let request = PeerRequest::Control(request);
        let asked = self
            .client
            .send_request(to.name.as_ref(), to.address, request);
        match asked.await? {
            (from, PeerReply::Control(reply)) => Ok((from, reply)),
            _ => Err(PeerError::UnexpectedReply),
        }
    }

    async fn watch(self: Arc<Shared>, watch: Watch) {
        tokio::time::sleep(watch.delay).await;
        match watch.kind {
            DocumentKind::Config => {
                let answer = self.platform.config(watch.after, watch.wait).await;
                self.event(|core, now| {
                    let answer = match &answer {
                        Ok(Some(d)) => WatchAnswer::Newer(Revision(d.revision), d.text.as_str()),
                        Ok(None) => WatchAnswer::Unchanged,
                        Err(e) => failed(e),
                    };
                    core.control.handle_config_answer(now, answer)
                });
            }
            DocumentKind::List => {
                let answer = self.platform.instances(watch.after, watch.wait).await;
                self.event(|core, now| {
                    let answer = match &answer {
                        Ok(Some(d)) => {
                            WatchAnswer::Newer(Revision(d.version), d.instances.as_slice())
                        }
                        Ok(None) => WatchAnswer::Unchanged,
                        Err(e) => failed(e),
                    };
                    core.control.handle_list_answer(now, answer);
                    Vec::new()
                });
            }
        }
    }

    /// Publishes the view if it changed.
    fn publish(&self) {
        let fleet = {
            let core = &mut *self.core.lock();
            if !core.control.take_changed() {
                return;
            }
            core.fleet()
        };
        self.fleet.publish(fleet);
        self.published.notify_waiters();
    }
}

fn failed<D>(e: &crate::transport::platform::PlatformError) -> WatchAnswer<D> {
    log::warn!("{e}");
    WatchAnswer::Failed
}

impl Core {
    fn fleet(&mut self) -> FleetView {
        let revision = self.control.revision().0;
        let ready = self.control.is_ready();
        let policy = self.policy();
        let wanted = self.control.members().iter().filter(|m| {
            let service = &m.instance.service;
            self.control.needs_service(service)
        });
        let known = wanted.map(|m| KnownInstance {
            instance: m.instance.clone(),
            incarnation: m.incarnation,
            draining: m.draining,
        });
        FleetView::new(revision, ready, policy, known)
    }

    fn policy(&mut self) -> Arc<Policy> {
        let text = self.control.config().text().unwrap_or_default();
        if let Some((known, policy)) = &self.policy
            && *known == text
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
                log::error!("the part of the policy that this node holds is invalid: {e}");
                let last = self.policy.as_ref();
                last.map(|(_, policy)| policy.clone()).unwrap_or_default()
            }
        }
    }
}
