//! Simulation of many control planes in memory and virtual time, with a platform that can fail.

#![allow(dead_code)]
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use dragonflylead::Policy;
use dragonflylead::Time;
use dragonflylead::coordination::control::Action;
use dragonflylead::coordination::control::Contact;
use dragonflylead::coordination::control::Control;
use dragonflylead::coordination::control::ControlSettings;
use dragonflylead::coordination::control::ControlTiming;
use dragonflylead::coordination::control::DocumentKind;
use dragonflylead::coordination::control::PeerId;
use dragonflylead::coordination::control::PlatformResponse;
use dragonflylead::coordination::control::Reply;
use dragonflylead::coordination::control::Request;
use dragonflylead::coordination::control::Watch;
use dragonflylead::coordination::document::Revision;
use dragonflylead::instance::DomainName;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;

/// Default latency of a message.
const LATENCY: Duration = Duration::from_millis(1);

/// Timeout of a request to a peer.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// State of the platform as seen by a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum PlatformState {
    #[default]
    Up,
    Down,
    /// The platform serves this old revision and text of the configuration.
    Stale(u64, String),
    /// Every other call to the platform fails.
    Flapping,
}

/// An event that is due at a member.
#[derive(Debug)]
enum Event {
    Tick,
    Request(usize, PeerId, Request, u32, u64),
    Reply(Contact, Request, PeerId, Reply),
    Failed(Contact, Request, u32),
    Watch(Watch),
    WatchTimeout(Watch),
}

/// An event for one incarnation of a member.
struct Scheduled {
    to: usize,
    incarnation: u64,
    event: Event,
}

/// A member of the fleet; `control` is `None` while it is stopped.
pub(crate) struct Member {
    pub(crate) instance: Instance,
    pub(crate) control: Option<Control>,
    pub(crate) incarnation: u64,
    pub(crate) paused: bool,
    deferred: Vec<Scheduled>,
}

/// Number of messages sent to peers, by kind, and of calls to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) exchanges: u64,
    pub(crate) pushes: u64,
    pub(crate) repairs: u64,
    pub(crate) platform: u64,
}

/// Returns whether messages from the first instance reach the second.
pub(crate) type Reachability = Box<dyn Fn(&Instance, &Instance) -> bool>;

/// All members, the platform and the queue of events.
pub(crate) struct VirtualFleet {
    pub(crate) now: Time,
    pub(crate) members: Vec<Member>,
    pub(crate) config: (u64, String),
    pub(crate) list: (u64, Vec<Instance>),
    pub(crate) platform: Box<dyn Fn(&Instance) -> PlatformState>,
    pub(crate) reachable: Reachability,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
    pub(crate) check_revisions: bool,
    pub(crate) timing: ControlTiming,
    pub(crate) latency: Duration,
    queue: BTreeMap<(Time, u64), Scheduled>,
    pending_watches: Vec<(usize, u64, Watch)>,
    addresses: BTreeMap<SocketAddr, usize>,
    sequence: u64,
    rng: ChaCha12Rng,
    established_revisions: BTreeMap<DomainName, Revision>,
}

pub(crate) fn instance(domain: usize, n: usize) -> Instance {
    let at = domain * 2_000 + n;
    let ip = format!("127.{}.{}.{}", 1 + domain, n / 250, 1 + n % 250);
    Instance {
        name: format!("d{domain}-{n}").as_str().into(),
        service: format!("s{}", at % 8).as_str().into(),
        domain: format!("domain-{domain}").as_str().into(),
        region: format!("region-{}", domain / 2).as_str().into(),
        ingress: format!("{ip}:7100").parse().unwrap(),
        peer: format!("{ip}:7102").parse().unwrap(),
        state: InstanceState::Live,
    }
}

/// Returns a policy with a rule for each of eight services; `millis` is the timeout of the first.
pub(crate) fn policy(millis: u64) -> String {
    let mut text = String::from("[calls]\n");
    for n in 0..8 {
        let ms = if n == 0 { millis } else { 100 };
        text.push_str(&format!(
            "r{n} = GET s{n} /* priority=low idempotent=yes timeout={ms}ms  # ops\n"
        ));
    }
    text
}

impl VirtualFleet {
    /// Starts `each` members in each of `domains` failure domains.
    pub(crate) fn new(domains: usize, each: usize, seed: u64) -> VirtualFleet {
        let instances: Vec<Instance> = (0..domains)
            .flat_map(|d| (0..each).map(move |n| instance(d, n)))
            .collect();
        let mut fleet = VirtualFleet {
            now: Time::ZERO,
            members: Vec::new(),
            config: (1, policy(100)),
            list: (1, instances.clone()),
            platform: Box::new(|_| PlatformState::Up),
            reachable: Box::new(|_, _| true),
            counts: Counts::default(),
            violations: Vec::new(),
            check_revisions: true,
            timing: ControlTiming::default(),
            latency: LATENCY,
            queue: BTreeMap::new(),
            pending_watches: Vec::new(),
            addresses: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha12Rng::seed_from_u64(seed),
            established_revisions: BTreeMap::new(),
        };
        for instance in instances {
            fleet.addresses.insert(instance.peer, fleet.members.len());
            fleet.members.push(Member {
                instance,
                control: None,
                incarnation: 0,
                paused: false,
                deferred: Vec::new(),
            });
        }
        (0..fleet.members.len()).for_each(|at| fleet.start(at));
        fleet
    }

    /// Starts or restarts a member as a new incarnation.
    pub(crate) fn start(&mut self, at: usize) {
        let size = self.members.len() as u64;
        let member = &mut self.members[at];
        member.incarnation += 1;
        member.deferred.clear();
        member.paused = false;
        let incarnation = member.incarnation;
        member.control = Some(Control::new(ControlSettings {
            instance: member.instance.clone(),
            incarnation: Incarnation(incarnation),
            called_services: vec!["s0".into()],
            seeds: Vec::new(),
            fleet_size: size,
            timing: self.timing,
            validate: Box::new(|text| Policy::parse(text).map(drop).map_err(|e| e.to_string())),
        }));
        let stagger = Duration::from_micros(200 * at as u64);
        self.schedule(at, incarnation, stagger, Event::Tick);
    }

    pub(crate) fn stop(&mut self, at: usize) {
        self.members[at].control = None;
        self.members[at].incarnation += 1;
    }

    /// Pauses the process of a member; its events are deferred until it resumes.
    pub(crate) fn pause(&mut self, at: usize) {
        self.members[at].paused = true;
    }

    pub(crate) fn resume(&mut self, at: usize) {
        self.members[at].paused = false;
        for deferred in std::mem::take(&mut self.members[at].deferred) {
            self.schedule(
                deferred.to,
                deferred.incarnation,
                Duration::ZERO,
                deferred.event,
            );
        }
    }

    pub(crate) fn publish(&mut self, revision: u64, text: String) {
        self.config = (revision, text);
        self.wake_watches();
    }

    pub(crate) fn publish_list(&mut self, instances: Vec<Instance>) {
        self.list = (self.list.0 + 1, instances);
        self.wake_watches();
    }

    /// Lets the platform answer all open watches.
    fn wake_watches(&mut self) {
        for (to, incarnation, watch) in std::mem::take(&mut self.pending_watches) {
            self.schedule(to, incarnation, Duration::ZERO, Event::Watch(watch));
        }
    }

    fn schedule(&mut self, to: usize, incarnation: u64, after: Duration, event: Event) {
        self.sequence += 1;
        let due = (self.now.plus(after), self.sequence);
        self.queue.insert(
            due,
            Scheduled {
                to,
                incarnation,
                event,
            },
        );
    }

    /// Runs until `done` returns true or `limit` has passed. Returns whether `done` was reached.
    pub(crate) fn run<F>(&mut self, limit: Duration, done: F) -> bool
    where
        F: Fn(&VirtualFleet) -> bool,
    {
        let end = self.now.plus(limit);
        while !done(self) {
            let Some(entry) = self.queue.first_entry() else {
                return false;
            };
            if entry.key().0 > end {
                self.now = end;
                return false;
            }
            let ((due, _), scheduled) = entry.remove_entry();
            self.now = due;
            self.process(scheduled);
        }
        true
    }

    /// Runs for a virtual duration.
    pub(crate) fn run_for(&mut self, span: Duration) {
        self.run(span, |_| false);
    }

    /// Returns whether all running members are ready and act on `revision`.
    pub(crate) fn all_act_on(&self, revision: u64) -> bool {
        let mut running = self.members.iter().filter_map(|m| m.control.as_ref());
        running.all(|c| c.is_ready() && c.revision() == Revision(revision))
    }

    /// Processes an event, unless its incarnation is gone or its member is paused.
    fn process(&mut self, scheduled: Scheduled) {
        let Scheduled {
            to,
            incarnation,
            event,
        } = scheduled;
        if self.members[to].incarnation != incarnation {
            return;
        }
        if self.members[to].paused {
            self.members[to].deferred.push(Scheduled {
                to,
                incarnation,
                event,
            });
            return;
        }
        let Some(mut control) = self.members[to].control.take() else {
            return;
        };
        let before = (control.is_ready_at(self.now), control.revision());
        let actions = self.handle(to, incarnation, &mut control, event);
        let after = (control.is_ready_at(self.now), control.revision());
        self.members[to].control = Some(control);
        for action in actions {
            self.perform(to, incarnation, action);
        }
        if self.check_revisions && before != after {
            self.check_acting_revisions(to);
        }
    }

    fn handle(
        &mut self,
        to: usize,
        incarnation: u64,
        c: &mut Control,
        event: Event,
    ) -> Vec<Action> {
        let now = self.now;
        match event {
            Event::Tick => {
                self.schedule(to, incarnation, self.timing.tick, Event::Tick);
                c.tick(now, &mut self.rng)
            }
            Event::Request(from, peer, request, tries, sender_incarnation) => {
                let (reply, actions) = c.handle_request(now, &peer, request.clone(), &mut self.rng);
                let contact = Contact {
                    name: Some(c.id().name),
                    address: c.instance().peer,
                };
                let delivered = (self.reachable)(c.instance(), &self.members[from].instance);
                let event = if delivered {
                    Event::Reply(contact, request, c.id(), reply)
                } else {
                    Event::Failed(contact, request, tries)
                };
                self.schedule(from, sender_incarnation, self.latency, event);
                actions
            }
            Event::Reply(contact, request, peer, reply) => {
                c.handle_reply(now, &contact, &request, &peer, reply, &mut self.rng)
            }
            Event::Failed(contact, request, tries) => {
                c.handle_failure(now, &contact, request, tries, &mut self.rng)
            }
            Event::Watch(watch) => self.respond_to_watch(to, incarnation, c, watch),
            Event::WatchTimeout(watch) => {
                let count = self.pending_watches.len();
                self.pending_watches
                    .retain(|(at, l, w)| (*at, *l, w.kind) != (to, incarnation, watch.kind));
                match count == self.pending_watches.len() {
                    true => Vec::new(),
                    false => respond_unchanged(c, now, watch.kind, None),
                }
            }
        }
    }

    /// Answers a call to the platform at once, or keeps it open until its timeout.
    fn respond_to_watch(
        &mut self,
        to: usize,
        incarnation: u64,
        c: &mut Control,
        watch: Watch,
    ) -> Vec<Action> {
        let now = self.now;
        let fault = (self.platform)(c.instance());
        self.counts.platform += 1;
        let fails = match fault {
            PlatformState::Down => true,
            PlatformState::Flapping => self.counts.platform.is_multiple_of(2),
            _ => false,
        };
        if fails {
            return match watch.kind {
                DocumentKind::Config => c.handle_config_response(now, PlatformResponse::Failed),
                DocumentKind::List => {
                    c.handle_list_response(now, PlatformResponse::Failed);
                    Vec::new()
                }
            };
        }
        let (revision, text) = match fault {
            PlatformState::Stale(revision, text) => (revision, text),
            _ => self.config.clone(),
        };
        match watch.kind {
            DocumentKind::Config if revision > watch.after => {
                c.handle_config_response(now, PlatformResponse::Newer(Revision(revision), &text))
            }
            DocumentKind::List if self.list.0 > watch.after => {
                c.handle_list_response(
                    now,
                    PlatformResponse::Newer(Revision(self.list.0), &self.list.1),
                );
                Vec::new()
            }
            kind if watch.wait.is_zero() => respond_unchanged(c, now, kind, None),
            _ => {
                self.pending_watches.push((to, incarnation, watch));
                self.schedule(to, incarnation, watch.wait, Event::WatchTimeout(watch));
                Vec::new()
            }
        }
    }

    fn perform(&mut self, from: usize, incarnation: u64, action: Action) {
        match action {
            Action::Send { to, request, tries } => self.send(from, incarnation, to, request, tries),
            Action::Watch(watch) => {
                self.schedule(from, incarnation, watch.delay, Event::Watch(watch))
            }
            Action::Rejected(_) | Action::Superseded(_) => (),
        }
    }

    fn send(&mut self, from: usize, incarnation: u64, to: Contact, request: Request, tries: u32) {
        let count = match &request {
            Request::Exchange(_) => &mut self.counts.exchanges,
            Request::Push(_) => &mut self.counts.pushes,
            Request::Repair { .. } => &mut self.counts.repairs,
        };
        *count += 1;
        let at = self.addresses[&to.address];
        let sender = &self.members[from];
        let member = &self.members[at];
        let unreachable = !(self.reachable)(&sender.instance, &member.instance);
        let paused = member.paused;
        let stopped = member.control.is_none() && !paused;
        if unreachable || paused {
            let failed = Event::Failed(to.clone(), request.clone(), tries);
            self.schedule(from, incarnation, TIMEOUT, failed);
        }
        if unreachable {
            return;
        }
        if stopped {
            self.schedule(
                from,
                incarnation,
                self.latency,
                Event::Failed(to, request, tries),
            );
            return;
        }
        let peer = self.members[from].peer(incarnation);
        let target_incarnation = self.members[at].incarnation;
        let reply_incarnation = if self.members[at].paused {
            0
        } else {
            incarnation
        };
        let event = Event::Request(from, peer, request, tries, reply_incarnation);
        self.schedule(at, target_incarnation, self.latency, event);
    }

    /// Checks the invariant that once all ready members of a domain act on a revision, none of them
    /// acts on an older one. Records violations.
    fn check_acting_revisions(&mut self, changed: usize) {
        let domain = self.members[changed].instance.domain.clone();
        let acting: Vec<(String, Revision)> = self
            .members
            .iter()
            .filter(|m| m.instance.domain == domain && !m.paused)
            .filter_map(|m| m.control.as_ref())
            .filter(|c| c.is_ready_at(self.now))
            .map(|c| (c.id().name.to_string(), c.revision()))
            .collect();
        let established = self.established_revisions.entry(domain).or_default();
        for (name, revision) in &acting {
            if revision < established {
                let text = format!("{name} acts on {revision:?} after {established:?}");
                self.violations.push(text);
            }
        }
        let lowest = acting.iter().map(|(_, r)| *r).min();
        *established = (*established).max(lowest.unwrap_or_default());
    }

    /// Returns the indices of a domain's members.
    pub(crate) fn domain(&self, domain: usize) -> BTreeSet<usize> {
        let name = format!("domain-{domain}");
        let here = |(_, m): &(usize, &Member)| m.instance.domain.as_str() == name;
        let members = self.members.iter().enumerate();
        members.filter(here).map(|(at, _)| at).collect()
    }
}

impl Member {
    fn peer(&self, incarnation: u64) -> PeerId {
        PeerId {
            name: self.instance.name.clone(),
            incarnation: Incarnation(incarnation),
        }
    }
}

/// Tells a control plane that the platform has no later revision.
fn respond_unchanged(c: &mut Control, now: Time, kind: DocumentKind, _: Option<()>) -> Vec<Action> {
    match kind {
        DocumentKind::Config => c.handle_config_response(now, PlatformResponse::Unchanged),
        DocumentKind::List => {
            c.handle_list_response(now, PlatformResponse::Unchanged);
            Vec::new()
        }
    }
}
