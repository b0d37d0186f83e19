//! The control plane of one node as a state machine: configuration, instance list and membership.
//!
//! The owner reports ticks, requests, replies and platform answers; each returns the actions that
//! follow. The daemon, the tests and the measurements drive the same code.

mod exchange;
mod message;
mod platform;
mod settings;
mod spread;
mod startup;

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::clock::Time;
use crate::coordination::config::ConfigState;
use crate::coordination::document::Applied;
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
pub use platform::WatchAnswer;
pub use settings::ConfigValidator;
pub use settings::ControlSettings;
pub use settings::ControlTiming;

use platform::WatchState;
use spread::Outbox;
use startup::Phase;

/// Time after which a node that ceased to be a reader gives up the lines it does not need.
const READER_LINGER: Duration = Duration::from_secs(60);

/// Services whose rules and instances a node holds at most, its own included.
pub const MAX_SERVICES: usize = 256;

/// The control plane of one node.
pub struct Control {
    me: Instance,
    incarnation: Incarnation,
    seeds: Vec<SocketAddr>,
    fleet_size: u64,
    timing: ControlTiming,
    validate: ConfigValidator,
    config: ConfigState,
    list: Document,
    services: BTreeSet<ServiceName>,
    logs: [DeltaLog; 2],
    outbox: [Option<Outbox>; 2],
    far_outbox: [Option<Outbox>; 2],
    watch_rank: Option<usize>,
    watcher_heard: Option<Time>,
    watches: [WatchState; 2],
    repair_until: [Time; 2],
    members: Members,
    readers: Vec<InstanceName>,
    ranked: u64,
    phase: Phase,
    draining: bool,
    changed: bool,
    confirmed: Option<Time>,
    last_tick: Option<Time>,
    next_exchange: Time,
    next_cross: Time,
    reader_until: Time,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("name", &self.me.name)
            .field("revision", &self.revision())
            .field("ready", &self.is_ready())
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Builds the control plane of a node that just started.
    pub fn new(settings: ControlSettings) -> Control {
        let mut services: BTreeSet<ServiceName> = settings.called_services.into_iter().collect();
        services.insert(settings.instance.service.clone());
        let mut wanted = BTreeSet::from([Section::Global]);
        wanted.extend(services.iter().cloned().map(Section::Service));
        let mut listed = wanted.clone();
        listed.insert(Section::Domain(settings.instance.domain.clone()));
        Control {
            me: settings.instance,
            incarnation: settings.incarnation,
            seeds: settings.seeds,
            fleet_size: settings.fleet_size,
            timing: settings.timing,
            validate: settings.validate,
            config: ConfigState::new(wanted),
            list: Document::new(listed),
            services,
            logs: Default::default(),
            outbox: [None, None],
            far_outbox: [None, None],
            watch_rank: None,
            watcher_heard: None,
            watches: Default::default(),
            repair_until: [Time::ZERO; 2],
            members: Members::default(),
            readers: Vec::new(),
            ranked: 0,
            phase: Phase::starting(),
            draining: false,
            changed: false,
            confirmed: None,
            last_tick: None,
            next_exchange: Time::ZERO,
            next_cross: Time::ZERO,
            reader_until: Time::ZERO,
        }
    }

    /// Returns who this node is to its peers.
    pub fn id(&self) -> PeerId {
        PeerId {
            name: self.me.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the instance beside which the node stands.
    pub fn instance(&self) -> &Instance {
        &self.me
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Returns whether the view is confirmed, unless the process was paused since the last event.
    pub fn is_ready(&self) -> bool {
        self.phase.is_ready()
    }

    /// Returns whether the node may act on its view at `now`.
    pub fn is_ready_at(&self, now: Time) -> bool {
        self.is_ready() && !self.was_paused(now)
    }

    /// Returns when the platform or a peer last answered about the configuration.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns what is known of other instances.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns what this node has and how it stands.
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            domain: self.me.domain.clone(),
            address: self.me.peer,
            config: self.config.document().stamp(),
            list: self.list.stamp(),
            ready: self.is_ready(),
            draining: self.draining,
            complete: self.is_complete(),
            watching: self.is_watching(),
        }
    }

    /// Returns whether the view changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Announces to peers that this node is leaving.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Notes what the data path observed of an instance.
    pub fn observe(&mut self, now: Time, peer: &PeerId, draining: bool) {
        self.members
            .heard(now, &peer.name, peer.incarnation, draining);
        self.changed = true;
    }

    /// Returns whether rules and instances of `service` are held.
    pub fn holds_service(&self, service: &ServiceName) -> bool {
        let section = Section::Service(service.clone());
        self.config.document().holds(&section) && self.list.holds(&section)
    }

    /// Returns whether rules and instances of `service` are needed.
    pub fn needs_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Adds a service whose rules and instances are needed from now on.
    ///
    /// Past [`MAX_SERVICES`] nothing is added: a target that makes up names must not fill the node.
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
            self.config.want(section.clone()),
            self.list.want(section.clone()),
        ];
        let mut actions = Vec::new();
        for (kind, fetch) in DocumentKind::BOTH.into_iter().zip(fetch) {
            if fetch {
                self.repair_until[kind as usize] = Time::ZERO;
                self.ask_repair(now, kind, None, rng, &mut actions);
            }
        }
        actions
    }

    /// Does what is due. The owner calls it every [`ControlTiming::tick`].
    pub fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let mut actions = Vec::new();
        self.notice_pause(now);
        self.last_tick = Some(now);
        if self.ranked != self.members.generation() {
            self.rank_readers();
        }
        self.linger_as_reader(now);
        self.start(now, rng, &mut actions);
        self.exchange_regularly(now, rng, &mut actions);
        self.repair_regularly(now, rng, &mut actions);
        self.send_outbox(now, &mut actions);
        self.send_far_outbox(now, &mut actions);
        self.watch(now, rng, &mut actions);
        actions
    }

    /// Returns whether the node reads the platform for its domain.
    pub fn is_reader(&self) -> bool {
        self.reader_rank().is_some()
    }

    fn reader_rank(&self) -> Option<usize> {
        self.readers.iter().position(|n| *n == self.me.name)
    }

    fn rank_readers(&mut self) {
        let mut names: BTreeSet<&InstanceName> = self.domain_peers().map(name).collect();
        if self.list.stamp().revision > Revision::default() {
            names.insert(&self.me.name);
        }
        let readers = reader::readers(names).into_iter().cloned().collect();
        self.readers = readers;
        self.ranked = self.members.generation();
    }

    /// Returns the other reachable members of the domain.
    fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .of_domain(&self.me.domain)
            .filter(|m| m.instance.name != self.me.name && m.is_reachable())
    }

    fn is_complete(&self) -> bool {
        self.config.document().is_complete() && self.list.is_complete()
    }

    fn linger_as_reader(&mut self, now: Time) {
        if self.is_reader() {
            self.reader_until = now.plus(READER_LINGER);
        }
        let holds_more = self.config.document().is_complete() || self.list.is_complete();
        if holds_more && now > self.reader_until {
            self.config.drop_unwanted();
            self.list.drop_unwanted();
            self.list_changed(now);
        }
    }

    fn document(&self, kind: DocumentKind) -> &Document {
        match kind {
            DocumentKind::Config => self.config.document(),
            DocumentKind::List => &self.list,
        }
    }

    fn apply(&mut self, now: Time, kind: DocumentKind, delta: &Delta) -> Applied {
        let applied = match kind {
            DocumentKind::Config => self.config.apply(delta),
            DocumentKind::List => self.list.apply(delta),
        };
        if applied == Applied::Done {
            self.logs[kind as usize].keep(delta);
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

    fn list_changed(&mut self, now: Time) {
        let parse = |l: &Line| serde_json::from_str::<Instance>(&l.text).ok();
        let listed = self.list.lines().filter_map(parse).collect();
        self.members.update(now, listed);
        self.rank_readers();
        let domains: BTreeSet<&DomainName> =
            self.members.iter().map(|m| &m.instance.domain).collect();
        let watch = reader::watch_domains(domains);
        self.watch_rank = watch.iter().position(|d| **d == self.me.domain);
        self.changed = true;
    }

    fn was_paused(&self, now: Time) -> bool {
        let gap = self.last_tick.map(|last| now.since(last));
        gap.is_some_and(|gap| gap > self.timing.tick + self.timing.pause_gap)
    }

    fn notice_pause(&mut self, now: Time) {
        if self.was_paused(now) {
            self.check_view();
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

/// Returns the line that stands for an instance in the instance list.
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
        text: serde_json::to_string(instance).expect("an instance is always representable"),
    }
}
