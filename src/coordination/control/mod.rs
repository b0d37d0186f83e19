//! State machine of a node's control plane: configuration, instance list and membership.
//!
//! The owner passes in ticks, requests, replies and platform responses. Each returns the actions
//! that the owner has to perform. The daemon, the tests and the benchmarks run the same state
//! machine.

mod exchange;
mod message;
mod platform;
mod push;
mod settings;
mod startup;

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::clock::Time;
use crate::coordination::config::ConfigState;
use crate::coordination::document::ApplyOutcome;
use crate::coordination::document::Delta;
use crate::coordination::document::Document;
use crate::coordination::document::Line;
use crate::coordination::document::LineKey;
use crate::coordination::document::Revision;
use crate::coordination::document::Section;
use crate::coordination::gossip::DeltaLog;
use crate::coordination::members::Member;
use crate::coordination::members::Members;
use crate::coordination::reader;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::ServiceName;

pub use message::Action;
pub use message::Contact;
pub use message::DocumentKind;
pub use message::ExchangeReply;
pub use message::PeerId;
pub use message::PeerStatus;
pub use message::Push;
pub use message::Reply;
pub use message::Request;
pub use message::Watch;
pub use platform::PlatformResponse;
pub use settings::ConfigValidator;
pub use settings::ControlSettings;
pub use settings::ControlTiming;

use platform::WatchState;
use push::PendingPush;
use startup::StartupState;

/// Time for which a node that is no longer a reader keeps the lines that it does not need.
const FORMER_READER_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of services whose rules and instances a node holds, including its own.
pub const MAX_SERVICES: usize = 256;

/// State of the control plane of one node.
///
/// Arrays of two are indexed by [`DocumentKind`].
pub struct Control {
    instance: Instance,
    incarnation: Incarnation,
    seeds: Vec<SocketAddr>,
    /// Number of instances in the fleet.
    fleet_size: u64,
    timing: ControlTiming,
    validate: ConfigValidator,
    config: ConfigState,
    list: Document,
    /// Services whose rules and instances this node needs.
    services: BTreeSet<ServiceName>,
    delta_logs: [DeltaLog; 2],
    /// Deltas to push to the local domain.
    domain_outbox: [Option<PendingPush>; 2],
    /// Deltas to push to the first reader of each other domain.
    cross_domain_outbox: [Option<PendingPush>; 2],
    /// Rank of the local domain among the watching domains, `None` if it is not one of them.
    watch_domain_rank: Option<usize>,
    /// Time of the last status of another node that watches the platform.
    watcher_last_seen: Option<Time>,
    watches: [WatchState; 2],
    /// Time at which an open repair request counts as unanswered, so that another may be sent.
    repair_deadline: [Time; 2],
    members: Members,
    /// Readers of the local domain, ordered by rank.
    domain_readers: Vec<InstanceName>,
    /// [`Members::generation`] at which the readers were selected.
    readers_generation: u64,
    startup: StartupState,
    draining: bool,
    /// Whether the view changed since the last [`Control::take_changed`].
    changed: bool,
    last_confirmed: Option<Time>,
    last_tick: Option<Time>,
    next_exchange: Time,
    next_cross_domain_exchange: Time,
    /// Time until which unneeded lines are kept.
    retain_until: Time,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("name", &self.instance.name)
            .field("revision", &self.revision())
            .field("ready", &self.is_ready())
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Builds the state of a node that has just started. It is not ready.
    pub fn new(settings: ControlSettings) -> Control {
        let mut services: BTreeSet<ServiceName> = settings.called_services.into_iter().collect();
        services.insert(settings.instance.service.clone());
        let mut needed = BTreeSet::from([Section::Global]);
        needed.extend(services.iter().cloned().map(Section::Service));
        let mut listed = needed.clone();
        listed.insert(Section::Domain(settings.instance.domain.clone()));
        Control {
            instance: settings.instance,
            incarnation: settings.incarnation,
            seeds: settings.seeds,
            fleet_size: settings.fleet_size,
            timing: settings.timing,
            validate: settings.validate,
            config: ConfigState::new(needed),
            list: Document::new(listed),
            services,
            delta_logs: Default::default(),
            domain_outbox: [None, None],
            cross_domain_outbox: [None, None],
            watch_domain_rank: None,
            watcher_last_seen: None,
            watches: Default::default(),
            repair_deadline: [Time::ZERO; 2],
            members: Members::default(),
            domain_readers: Vec::new(),
            readers_generation: 0,
            startup: StartupState::new(),
            draining: false,
            changed: false,
            last_confirmed: None,
            last_tick: None,
            next_exchange: Time::ZERO,
            next_cross_domain_exchange: Time::ZERO,
            retain_until: Time::ZERO,
        }
    }

    /// Returns the name and incarnation that this node sends to its peers.
    pub fn id(&self) -> PeerId {
        PeerId {
            name: self.instance.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the instance that the node serves.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Returns the configuration revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Returns whether the view was confirmed. Use [`Control::is_ready_at`] to also exclude a
    /// process pause since the last event.
    pub fn is_ready(&self) -> bool {
        self.startup.is_ready()
    }

    /// Returns whether the node may act on its view at `now`.
    pub fn is_ready_at(&self, now: Time) -> bool {
        self.is_ready() && !self.was_paused(now)
    }

    /// Returns when the platform or a peer last answered about the configuration, `None` if neither
    /// has since the start.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.last_confirmed
    }

    /// Returns the state of the configuration.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns the known instances of the fleet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the status that this node sends to its peers.
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            domain: self.instance.domain.clone(),
            address: self.instance.peer,
            config: self.config.document().stamp(),
            list: self.list.stamp(),
            ready: self.is_ready(),
            draining: self.draining,
            complete: self.is_complete(),
            watching: self.is_watching(),
        }
    }

    /// Returns whether the view changed since the previous call of this function.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Marks this node as draining in the status that it sends to its peers.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Records the incarnation of an instance and whether it is draining, as the data path observed
    /// them.
    pub fn observe(&mut self, now: Time, peer: &PeerId, draining: bool) {
        self.members
            .record_contact(now, &peer.name, peer.incarnation, draining);
        self.changed = true;
    }

    /// Returns whether this node holds all rules and instances of `service`.
    pub fn holds_service(&self, service: &ServiceName) -> bool {
        let section = Section::Service(service.clone());
        self.config.document().holds(&section) && self.list.holds(&section)
    }

    /// Returns whether this node needs the rules and instances of `service`.
    pub fn needs_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Adds a service whose rules and instances this node needs, and requests what is missing.
    ///
    /// Nothing is added beyond [`MAX_SERVICES`], so that a target that calls made-up service names
    /// cannot exhaust the memory of the node.
    pub fn add_service<R>(&mut self, now: Time, service: &ServiceName, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        if self.services.len() >= MAX_SERVICES && !self.services.contains(service) {
            return Vec::new();
        }
        self.services.insert(service.clone());
        self.changed = true;
        let section = Section::Service(service.clone());
        let fetch = [
            self.config.add_section(section.clone()),
            self.list.add_section(section.clone()),
        ];
        let mut actions = Vec::new();
        for (kind, fetch) in DocumentKind::BOTH.into_iter().zip(fetch) {
            if fetch {
                self.repair_deadline[kind as usize] = Time::ZERO;
                self.request_repair(now, kind, None, rng, &mut actions);
            }
        }
        actions
    }

    /// Runs the periodic work that is due. The owner calls it every [`ControlTiming::tick`].
    pub fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let mut actions = Vec::new();
        self.handle_pause(now);
        self.last_tick = Some(now);
        if self.readers_generation != self.members.generation() {
            self.select_readers();
        }
        self.drop_lines_of_former_reader(now);
        self.advance_startup(now, rng, &mut actions);
        self.exchange_periodically(now, rng, &mut actions);
        self.repair_periodically(now, rng, &mut actions);
        self.flush_domain_outbox(now, &mut actions);
        self.flush_cross_domain_outbox(now, &mut actions);
        self.start_watches(now, rng, &mut actions);
        actions
    }

    /// Returns whether this node is one of the readers of its domain.
    pub fn is_reader(&self) -> bool {
        self.reader_rank().is_some()
    }

    /// Returns the rank of this node among the readers of its domain, `None` if it is not a reader.
    fn reader_rank(&self) -> Option<usize> {
        self.domain_readers
            .iter()
            .position(|n| *n == self.instance.name)
    }

    /// Selects the readers of the domain among its reachable members.
    fn select_readers(&mut self) {
        let mut names: BTreeSet<&InstanceName> = self.domain_peers().map(name).collect();
        if self.list.stamp().revision > Revision::default() {
            names.insert(&self.instance.name);
        }
        let readers = reader::readers(names).into_iter().cloned().collect();
        self.domain_readers = readers;
        self.readers_generation = self.members.generation();
    }

    /// Returns the other reachable members of the domain.
    fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .of_domain(&self.instance.domain)
            .filter(|m| m.instance.name != self.instance.name && m.is_reachable())
    }

    /// Returns whether all lines of both documents are held.
    fn is_complete(&self) -> bool {
        self.config.document().is_complete() && self.list.is_complete()
    }

    /// Drops the unneeded lines once this node has not been a reader for
    /// [`FORMER_READER_RETENTION`].
    fn drop_lines_of_former_reader(&mut self, now: Time) {
        if self.is_reader() {
            self.retain_until = now.plus(FORMER_READER_RETENTION);
        }
        let holds_more = self.config.document().is_complete() || self.list.is_complete();
        if holds_more && now > self.retain_until {
            self.config.drop_unneeded();
            self.list.drop_unneeded();
            self.list_changed(now);
        }
    }

    fn document(&self, kind: DocumentKind) -> &Document {
        match kind {
            DocumentKind::Config => self.config.document(),
            DocumentKind::List => &self.list,
        }
    }

    /// Applies a delta of a peer and logs it if it changed the document.
    fn apply(&mut self, now: Time, kind: DocumentKind, delta: &Delta) -> ApplyOutcome {
        let applied = match kind {
            DocumentKind::Config => self.config.apply(delta),
            DocumentKind::List => self.list.apply(delta),
        };
        if applied == ApplyOutcome::Applied {
            self.delta_logs[kind as usize].record(delta);
            self.document_changed(now, kind);
        }
        applied
    }

    fn document_changed(&mut self, now: Time, kind: DocumentKind) {
        self.changed = true;
        if kind == DocumentKind::List {
            self.list_changed(now);
        }
    }

    /// Updates the members, the readers and the rank of the local domain from the instance list.
    fn list_changed(&mut self, now: Time) {
        let parse = |l: &Line| serde_json::from_str::<Instance>(&l.text).ok();
        let listed = self.list.lines().filter_map(parse).collect();
        self.members.update(now, listed);
        self.select_readers();
        let domains: BTreeSet<&DomainName> =
            self.members.iter().map(|m| &m.instance.domain).collect();
        let watch = reader::watch_domains(domains);
        self.watch_domain_rank = watch.iter().position(|d| **d == self.instance.domain);
        self.changed = true;
    }

    /// Returns whether the process was paused since the last tick.
    fn was_paused(&self, now: Time) -> bool {
        let gap = self.last_tick.map(|last| now.since(last));
        gap.is_some_and(|gap| gap > self.timing.tick + self.timing.pause_gap)
    }

    /// Starts revalidating the view if the process was paused since the last tick.
    fn handle_pause(&mut self, now: Time) {
        if self.was_paused(now) {
            self.begin_revalidation();
            self.last_tick = Some(now);
        }
    }
}

fn name(member: &Member) -> &InstanceName {
    &member.instance.name
}

fn contact(member: &Member) -> Contact {
    Contact {
        name: Some(member.instance.name.clone()),
        address: member.instance.peer,
    }
}

/// Returns the line of an instance in the instance list.
fn instance_line(instance: &Instance) -> Line {
    Line {
        key: LineKey {
            group: "instances".to_owned(),
            name: instance.name.as_str().to_owned(),
        },
        index: 0,
        sections: vec![
            Section::Service(instance.service.clone()),
            Section::Domain(instance.domain.clone()),
        ],
        text: serde_json::to_string(instance).expect("an instance always serializes to JSON"),
    }
}
