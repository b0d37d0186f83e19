//! Control planes of many members in memory and in virtual time, with a platform that can fail.

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
use dragonflylead::coordination::control::Reply;
use dragonflylead::coordination::control::Request;
use dragonflylead::coordination::control::Watch;
use dragonflylead::coordination::control::WatchAnswer;
use dragonflylead::coordination::document::Revision;
use dragonflylead::instance::DomainName;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;

/// Time that a message takes, unless a test changes it.
const LATENCY: Duration = Duration::from_millis(1);

/// Time after which an unanswered request fails.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// How the platform behaves towards a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Platform {
    #[default]
    Up,
    Down,
    Stale(u64, String),
    Flapping,
}

#[derive(Debug)]
enum Event {
    Tick,
    Request(usize, PeerId, Request, u32, u64),
    Reply(Contact, Request, PeerId, Reply),
    Failed(Contact, Request, u32),
    Watch(Watch),
    WatchEnds(Watch),
}

struct Scheduled {
    to: usize,
    life: u64,
    event: Event,
}

/// One member.
pub(crate) struct Member {
    pub(crate) instance: Instance,
    pub(crate) control: Option<Control>,
    pub(crate) life: u64,
    pub(crate) paused: bool,
    held: Vec<Scheduled>,
}

/// Counts of what was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) exchanges: u64,
    pub(crate) pushes: u64,
    pub(crate) repairs: u64,
    pub(crate) platform: u64,
}

/// Whether messages pass from one instance to another.
pub(crate) type Passes = Box<dyn Fn(&Instance, &Instance) -> bool>;

/// All members, the platform, and the events that are due.
pub(crate) struct VirtualFleet {
    pub(crate) now: Time,
    pub(crate) members: Vec<Member>,
    pub(crate) config: (u64, String),
    pub(crate) list: (u64, Vec<Instance>),
    pub(crate) platform: Box<dyn Fn(&Instance) -> Platform>,
    pub(crate) passes: Passes,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
    pub(crate) check: bool,
    pub(crate) timing: ControlTiming,
    pub(crate) latency: Duration,
    queue: BTreeMap<(Time, u64), Scheduled>,
    waiting: Vec<(usize, u64, Watch)>,
    addresses: BTreeMap<SocketAddr, usize>,
    sequence: u64,
    rng: ChaCha12Rng,
    established: BTreeMap<DomainName, Revision>,
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

/// Builds a policy with a rule for each of eight services, in which one timeout varies.
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
    pub(crate) fn new(domains: usize, each: usize, seed: u64) -> VirtualFleet {
        let instances: Vec<Instance> = (0..domains)
            .flat_map(|d| (0..each).map(move |n| instance(d, n)))
            .collect();
        let mut fleet = VirtualFleet {
            now: Time::ZERO,
            members: Vec::new(),
            config: (1, policy(100)),
            list: (1, instances.clone()),
            platform: Box::new(|_| Platform::Up),
            passes: Box::new(|_, _| true),
            counts: Counts::default(),
            violations: Vec::new(),
            check: true,
            timing: ControlTiming::default(),
            latency: LATENCY,
            queue: BTreeMap::new(),
            waiting: Vec::new(),
            addresses: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha12Rng::seed_from_u64(seed),
            established: BTreeMap::new(),
        };
        for instance in instances {
            fleet.addresses.insert(instance.peer, fleet.members.len());
            fleet.members.push(Member {
                instance,
                control: None,
                life: 0,
                paused: false,
                held: Vec::new(),
            });
        }
        (0..fleet.members.len()).for_each(|at| fleet.start(at));
        fleet
    }

    /// Starts a member, or starts it anew.
    pub(crate) fn start(&mut self, at: usize) {
        let size = self.members.len() as u64;
        let member = &mut self.members[at];
        member.life += 1;
        member.held.clear();
        member.paused = false;
        let life = member.life;
        member.control = Some(Control::new(ControlSettings {
            instance: member.instance.clone(),
            incarnation: Incarnation(life),
            called_services: vec!["s0".into()],
            seeds: Vec::new(),
            fleet_size: size,
            timing: self.timing,
            validate: Box::new(|text| Policy::parse(text).map(drop).map_err(|e| e.to_string())),
        }));
        let stagger = Duration::from_micros(200 * at as u64);
        self.schedule(at, life, stagger, Event::Tick);
    }

    pub(crate) fn stop(&mut self, at: usize) {
        self.members[at].control = None;
        self.members[at].life += 1;
    }

    pub(crate) fn pause(&mut self, at: usize) {
        self.members[at].paused = true;
    }

    pub(crate) fn resume(&mut self, at: usize) {
        self.members[at].paused = false;
        for held in std::mem::take(&mut self.members[at].held) {
            self.schedule(held.to, held.life, Duration::ZERO, held.event);
        }
    }

    pub(crate) fn publish(&mut self, revision: u64, text: String) {
        self.config = (revision, text);
        self.wake();
    }

    pub(crate) fn publish_list(&mut self, instances: Vec<Instance>) {
        self.list = (self.list.0 + 1, instances);
        self.wake();
    }

    fn wake(&mut self) {
        for (to, life, watch) in std::mem::take(&mut self.waiting) {
            self.schedule(to, life, Duration::ZERO, Event::Watch(watch));
        }
    }

    fn schedule(&mut self, to: usize, life: u64, after: Duration, event: Event) {
        self.sequence += 1;
        let due = (self.now.plus(after), self.sequence);
        self.queue.insert(due, Scheduled { to, life, event });
    }

    /// Runs until `done` or until `limit` has passed. Returns whether it was done.
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
            self.take(scheduled);
        }
        true
    }

    /// Runs for a span.
    pub(crate) fn run_for(&mut self, span: Duration) {
        self.run(span, |_| false);
    }

    /// Returns whether all running members of the domains act on `revision`.
    pub(crate) fn all_act_on(&self, revision: u64) -> bool {
        let mut running = self.members.iter().filter_map(|m| m.control.as_ref());
        running.all(|c| c.is_ready() && c.revision() == Revision(revision))
    }

    fn take(&mut self, scheduled: Scheduled) {
        let Scheduled { to, life, event } = scheduled;
        if self.members[to].life != life {
            return;
        }
        if self.members[to].paused {
            self.members[to].held.push(Scheduled { to, life, event });
            return;
        }
        let Some(mut control) = self.members[to].control.take() else {
            return;
        };
        let before = (control.is_ready_at(self.now), control.revision());
        let actions = self.handle(to, life, &mut control, event);
        let after = (control.is_ready_at(self.now), control.revision());
        self.members[to].control = Some(control);
        for action in actions {
            self.act(to, life, action);
        }
        if self.check && before != after {
            self.check(to);
        }
    }

    fn handle(&mut self, to: usize, life: u64, c: &mut Control, event: Event) -> Vec<Action> {
        let now = self.now;
        match event {
            Event::Tick => {
                self.schedule(to, life, self.timing.tick, Event::Tick);
                c.tick(now, &mut self.rng)
            }
            Event::Request(from, peer, request, tries, from_life) => {
                let (reply, actions) = c.handle_request(now, &peer, request.clone(), &mut self.rng);
                let contact = Contact {
                    name: Some(c.id().name),
                    address: c.instance().peer,
                };
                let passes = (self.passes)(c.instance(), &self.members[from].instance);
                let event = if passes {
                    Event::Reply(contact, request, c.id(), reply)
                } else {
                    Event::Failed(contact, request, tries)
                };
                self.schedule(from, from_life, self.latency, event);
                actions
            }
            Event::Reply(contact, request, peer, reply) => {
                c.handle_reply(now, &contact, &request, &peer, reply, &mut self.rng)
            }
            Event::Failed(contact, request, tries) => {
                c.handle_failure(now, &contact, request, tries, &mut self.rng)
            }
            Event::Watch(watch) => self.answer(to, life, c, watch),
            Event::WatchEnds(watch) => {
                let waiting = self.waiting.len();
                self.waiting
                    .retain(|(at, l, w)| (*at, *l, w.kind) != (to, life, watch.kind));
                match waiting == self.waiting.len() {
                    true => Vec::new(),
                    false => answered(c, now, watch.kind, None),
                }
            }
        }
    }

    fn answer(&mut self, to: usize, life: u64, c: &mut Control, watch: Watch) -> Vec<Action> {
        let now = self.now;
        let fault = (self.platform)(c.instance());
        self.counts.platform += 1;
        let fails = match fault {
            Platform::Down => true,
            Platform::Flapping => self.counts.platform.is_multiple_of(2),
            _ => false,
        };
        if fails {
            return match watch.kind {
                DocumentKind::Config => c.handle_config_answer(now, WatchAnswer::Failed),
                DocumentKind::List => {
                    c.handle_list_answer(now, WatchAnswer::Failed);
                    Vec::new()
                }
            };
        }
        let (revision, text) = match fault {
            Platform::Stale(revision, text) => (revision, text),
            _ => self.config.clone(),
        };
        match watch.kind {
            DocumentKind::Config if revision > watch.after => {
                c.handle_config_answer(now, WatchAnswer::Newer(Revision(revision), &text))
            }
            DocumentKind::List if self.list.0 > watch.after => {
                c.handle_list_answer(now, WatchAnswer::Newer(Revision(self.list.0), &self.list.1));
                Vec::new()
            }
            kind if watch.wait.is_zero() => answered(c, now, kind, None),
            _ => {
                self.waiting.push((to, life, watch));
                self.schedule(to, life, watch.wait, Event::WatchEnds(watch));
                Vec::new()
            }
        }
    }

    fn act(&mut self, from: usize, life: u64, action: Action) {
        match action {
            Action::Send { to, request, tries } => self.send(from, life, to, request, tries),
            Action::Watch(watch) => self.schedule(from, life, watch.delay, Event::Watch(watch)),
            Action::Rejected(_) | Action::Superseded(_) => (),
        }
    }

    fn send(&mut self, from: usize, life: u64, to: Contact, request: Request, tries: u32) {
        let count = match &request {
            Request::Exchange(_) => &mut self.counts.exchanges,
            Request::Push(_) => &mut self.counts.pushes,
            Request::Repair { .. } => &mut self.counts.repairs,
        };
        *count += 1;
        let at = self.addresses[&to.address];
        let sender = &self.members[from];
        let member = &self.members[at];
        let cut = !(self.passes)(&sender.instance, &member.instance);
        let paused = member.paused;
        let stopped = member.control.is_none() && !paused;
        if cut || paused {
            let failed = Event::Failed(to.clone(), request.clone(), tries);
            self.schedule(from, life, TIMEOUT, failed);
        }
        if cut {
            return;
        }
        if stopped {
            self.schedule(from, life, self.latency, Event::Failed(to, request, tries));
            return;
        }
        let peer = self.members[from].peer(life);
        let life_there = self.members[at].life;
        let back = if self.members[at].paused { 0 } else { life };
        let event = Event::Request(from, peer, request, tries, back);
        self.schedule(at, life_there, self.latency, event);
    }

    /// Once every acting member of a domain acts on a revision, none may act on an older one.
    fn check(&mut self, changed: usize) {
        let domain = self.members[changed].instance.domain.clone();
        let acting: Vec<(String, Revision)> = self
            .members
            .iter()
            .filter(|m| m.instance.domain == domain && !m.paused)
            .filter_map(|m| m.control.as_ref())
            .filter(|c| c.is_ready_at(self.now))
            .map(|c| (c.id().name.to_string(), c.revision()))
            .collect();
        let established = self.established.entry(domain).or_default();
        for (name, revision) in &acting {
            if revision < established {
                let text = format!("{name} acts on {revision:?} after {established:?}");
                self.violations.push(text);
            }
        }
        let least = acting.iter().map(|(_, r)| *r).min();
        *established = (*established).max(least.unwrap_or_default());
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
    fn peer(&self, life: u64) -> PeerId {
        PeerId {
            name: self.instance.name.clone(),
            incarnation: Incarnation(life),
        }
    }
}

fn answered(c: &mut Control, now: Time, kind: DocumentKind, _: Option<()>) -> Vec<Action> {
    match kind {
        DocumentKind::Config => c.handle_config_answer(now, WatchAnswer::Unchanged),
        DocumentKind::List => {
            c.handle_list_answer(now, WatchAnswer::Unchanged);
            Vec::new()
        }
    }
}
