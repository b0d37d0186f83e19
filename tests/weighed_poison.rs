//! Counts for docs/design/poison.md: reports of crashes sent to all nodes of a service, against one
//! home per fingerprint. Run with `cargo test --test weighed_poison`.

use std::collections::BTreeMap;
use std::time::Duration;

use dragonflylead::Fingerprint;
use dragonflylead::Time;
use dragonflylead::coordination::poison::CrashReport;
use dragonflylead::coordination::poison::Isolation;
use dragonflylead::coordination::poison::Suspects;
use dragonflylead::instance::InstanceName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64;

const POISON: u64 = u64::MAX;
const SENDS: u32 = 100;
const BESIDE: u64 = 79;
const CRASHES_AFTER: Duration = Duration::from_millis(5);
const SAME_REGION: Duration = Duration::from_millis(1);
const OTHER_REGION: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
enum Way {
    /// Each node knows only its own crashes.
    Alone,
    /// A crash is reported to every node of the service.
    ToAll,
    /// A suspicion is kept by the node its fingerprint hashes to; every call asks there first.
    HomeAsked,
    /// As before, but the home tells every node once it quarantines, and no call asks.
    HomeTells,
}

enum Event {
    /// A copy of the poison request reaches a node.
    Arrive(u64),
    /// The target of a node crashes.
    Crash(u64),
    /// A report reaches a node.
    Report(u64, CrashReport),
    /// The home's quarantine reaches a node.
    Quarantine(u64),
}

struct Fleet {
    way: Way,
    split: bool,
    nodes: Vec<Suspects>,
    told: Vec<bool>,
    events: BTreeMap<(Time, u64), Event>,
    count: u64,
    rng: ChaCha12Rng,
    lost: u32,
    messages: u64,
    asked: u64,
}

fn print(n: u64) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&n.to_le_bytes());
    Fingerprint(bytes)
}

impl Fleet {
    fn new(way: Way, nodes: u64, split: bool) -> Fleet {
        Fleet {
            way,
            split,
            nodes: (0..nodes).map(|_| Suspects::new()).collect(),
            told: vec![false; nodes as usize],
            events: BTreeMap::new(),
            count: 0,
            rng: ChaCha12Rng::seed_from_u64(nodes),
            lost: 0,
            messages: 0,
            asked: 0,
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn home(&self, fingerprint: Fingerprint) -> u64 {
        xxh3_64(&fingerprint.0) % self.nodes.len() as u64
    }

    /// Time that a message takes, if it arrives. Even and odd nodes are in different regions.
    fn delay(&self, from: u64, to: u64) -> Option<Duration> {
        match (from == to, from % 2 == to % 2) {
            (true, _) => Some(Duration::ZERO),
            (_, true) => Some(SAME_REGION),
            _ if self.split => None,
            _ => Some(OTHER_REGION),
        }
    }

    fn send(&mut self, now: Time, from: u64, to: u64, event: Event) {
        self.messages += u64::from(from != to);
        if let Some(delay) = self.delay(from, to) {
            self.at(now.plus(delay), event);
        }
    }

    fn arrive(&mut self, now: Time, node: u64) {
        let home = self.home(print(POISON));
        let reached = self.delay(node, home);
        let (known_at, wait) = match (self.way, reached) {
            (Way::HomeAsked, Some(delay)) => (home, delay * 2),
            _ => (node, Duration::ZERO),
        };
        self.asked += 2 * u64::from(self.way == Way::HomeAsked && home != node);
        let verdict = self.nodes[known_at as usize].isolation(now, print(POISON));
        if verdict != Isolation::Quarantined && !self.told[node as usize] {
            self.at(now.plus(wait + CRASHES_AFTER), Event::Crash(node));
        }
    }

    fn crash(&mut self, now: Time, node: u64) {
        self.lost += 1;
        let name = InstanceName::new(&node.to_string());
        let suspect = self.nodes[node as usize].isolation(now, print(POISON)) != Isolation::None;
        let beside = if suspect { 0 } else { BESIDE };
        let running = (0..beside).map(|n| print(node << 32 | n));
        let running = running.chain([print(POISON)]);
        let reports = self.nodes[node as usize].record_crash(now, &name, running, &mut self.rng);
        match self.way {
            Way::Alone => {}
            Way::ToAll => self.report_to_all(now, node, reports),
            Way::HomeAsked | Way::HomeTells => self.report_to_homes(now, node, reports),
        }
    }

    /// All suspects of a crash travel in one message.
    fn report_to_all(&mut self, now: Time, from: u64, reports: Vec<CrashReport>) {
        for to in (0..self.nodes.len() as u64).filter(|to| *to != from) {
            self.messages += 1;
            let Some(delay) = self.delay(from, to) else {
                continue;
            };
            for report in &reports {
                self.at(now.plus(delay), Event::Report(to, report.clone()));
            }
        }
    }

    fn report_to_homes(&mut self, now: Time, from: u64, reports: Vec<CrashReport>) {
        let mut homes: BTreeMap<u64, Vec<CrashReport>> = BTreeMap::new();
        for report in reports {
            let home = self.home(report.fingerprint);
            homes.entry(home).or_default().push(report);
        }
        for (home, reports) in homes.into_iter().filter(|(home, _)| *home != from) {
            self.messages += 1;
            let Some(delay) = self.delay(from, home) else {
                continue;
            };
            for report in reports {
                self.at(now.plus(delay), Event::Report(home, report));
            }
        }
    }

    fn report(&mut self, now: Time, node: u64, report: &CrashReport) {
        let here = &mut self.nodes[node as usize];
        let before = here.isolation(now, report.fingerprint);
        here.merge_report(now, report);
        let after = here.isolation(now, report.fingerprint);
        let newly = before != after && after == Isolation::Quarantined;
        if self.way == Way::HomeTells && newly {
            for to in (0..self.nodes.len() as u64).filter(|to| *to != node) {
                self.send(now, node, to, Event::Quarantine(to));
            }
            self.told[node as usize] = true;
        }
    }

    fn run(&mut self, resend: Duration) {
        for n in 0..SENDS {
            let node = self.rng.random_range(0..self.nodes.len() as u64);
            self.at(Time::ZERO.plus(resend * n), Event::Arrive(node));
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrive(node) => self.arrive(now, node),
                Event::Crash(node) => self.crash(now, node),
                Event::Report(node, report) => self.report(now, node, &report),
                Event::Quarantine(node) => self.told[node as usize] = true,
            }
        }
    }
}

#[test]
fn targets_lost_and_messages_sent() {
    let mut table = format!(
        "{:<6} {:<6} {:>9} {:<10} {:>12} {:>9} {:>14}\n",
        "nodes", "split", "resend ms", "way", "targets lost", "messages", "asked for 100"
    );
    for (nodes, split) in [(4, false), (15, false), (15, true), (100, false)] {
        for resend in [5, 100, 1_000].map(Duration::from_millis) {
            for way in Way::iter() {
                let mut fleet = Fleet::new(way, nodes, split);
                fleet.run(resend);
                let Fleet {
                    lost,
                    messages,
                    asked,
                    ..
                } = fleet;
                let ms = resend.as_millis();
                let way = way.to_string();
                table += &format!(
                    "{nodes:<6} {split:<6} {ms:>9} {way:<10} {lost:>12} {messages:>9} {asked:>14}\n"
                );
            }
        }
    }
    insta::assert_snapshot!(table);
}
