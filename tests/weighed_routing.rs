//! Simulations behind the tables of docs/design/routing.md: strategies, subset sizes and ejection
//! shares. Run with `cargo test --test weighed_routing`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::fmt::Write as _;
use std::time::Duration;

use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::coordination::routing::Choice;
use dragonflylead::coordination::routing::Distance;
use dragonflylead::coordination::routing::LocalNode;
use dragonflylead::coordination::routing::Pick;
use dragonflylead::coordination::routing::PickArgs;
use dragonflylead::coordination::routing::Router;
use dragonflylead::coordination::routing::RoutingConfig;
use dragonflylead::coordination::routing::Strategy;
use dragonflylead::coordination::score::ScoreConfig;
use dragonflylead::coordination::subset::SubsetConfig;
use dragonflylead::coordination::target::AttemptOutcome;
use dragonflylead::coordination::target::Observation;
use dragonflylead::instance::DomainName;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;
use dragonflylead::instance::RegionName;
use dragonflylead::instance::ServiceName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 16;
const SLOTS: usize = 8;
const SERVICE_US: f64 = 10_000.0;
const CALLS: u64 = 15_000;

fn instance(i: usize, domain: usize, region: usize) -> Instance {
    Instance {
        name: InstanceName::new(&format!("payments-{i}")),
        service: "payments".into(),
        domain: format!("d{domain}").as_str().into(),
        region: format!("r{region}").as_str().into(),
        ingress: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        state: InstanceState::Live,
    }
}

fn router(sender: usize, cfg: &RoutingConfig, instances: &[Instance]) -> Router {
    let home = LocalNode {
        instance: InstanceName::new(&format!("sender-{sender}")),
        domain: "d0".into(),
        region: "r0".into(),
    };
    let mut router = Router::new(home, cfg.clone(), Time::ZERO);
    router.sync(instances, Time::ZERO);
    router
}

/// Simulates one target with a fixed number of slots and a short FIFO queue.
#[derive(Default)]
struct Server {
    /// When each used slot becomes free, in microseconds.
    free_at: BinaryHeap<Reverse<u64>>,
    /// When each running or queued call ends, in microseconds.
    ends: BinaryHeap<Reverse<u64>>,
}

impl Server {
    /// Accepts a call that arrives at `now` and runs for `work` microseconds. Returns when it ends,
    /// or `None` if the queue is full.
    fn accept(&mut self, now: u64, work: u64) -> Option<u64> {
        if self.load(now) >= 2.0 {
            return None;
        }
        let slot = match self.free_at.len() < SLOTS {
            true => now,
            false => self.free_at.pop().map_or(now, |Reverse(free)| free),
        };
        let end = slot.max(now) + work;
        self.free_at.push(Reverse(end));
        self.ends.push(Reverse(end));
        Some(end)
    }

    /// Returns the number of running and queued calls, as a multiple of the slots.
    fn load(&mut self, now: u64) -> f64 {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
        self.ends.len() as f64 / SLOTS as f64
    }
}

/// Simulates many senders that call a set of targets, one of which may be slow.
struct Fleet {
    routers: Vec<Router>,
    servers: BTreeMap<InstanceName, Server>,
    /// Factor on the run time of calls at the slow target.
    slow: f64,
    /// Pending responses: time in microseconds, id of the call, index of its sender.
    responses: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Attempts in flight by id of the call: when they were sent, and where.
    sent: BTreeMap<u64, (u64, Pick)>,
    /// Latencies of answered attempts, in microseconds.
    latencies: Vec<u64>,
    refused: u64,
    dropped: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(cfg: &RoutingConfig, senders: usize, slow: f64) -> Fleet {
        let instances: Vec<Instance> = (0..TARGETS).map(|i| instance(i, 0, 0)).collect();
        Fleet {
            routers: (0..senders).map(|s| router(s, cfg, &instances)).collect(),
            servers: BTreeMap::new(),
            slow,
            responses: BinaryHeap::new(),
            sent: BTreeMap::new(),
            latencies: Vec::new(),
            refused: 0,
            dropped: 0,
            rng: ChaCha8Rng::seed_from_u64(11),
        }
    }

    /// Delivers the responses that are due at `now`.
    fn deliver_responses(&mut self, now: u64) {
        while let Some(Reverse((end, id, sender))) = self.responses.peek().copied() {
            if end > now {
                return;
            }
            self.responses.pop();
            let (sent, pick) = self.sent.remove(&id).unwrap();
            self.record_attempt_end(sender, &pick, AttemptOutcome::Succeeded, end - sent, end);
            self.latencies.push(end - sent);
        }
    }

    fn record_attempt_end(
        &mut self,
        sender: usize,
        pick: &Pick,
        outcome: AttemptOutcome,
        took: u64,
        now: u64,
    ) {
        let load = self.servers.get_mut(&pick.instance.name).unwrap().load(now);
        let observation = Observation {
            load: Some(load),
            ..Observation::new(outcome, Duration::from_micros(took))
        };
        self.routers[sender].record_attempt_end(pick, &observation, Time::from_micros(now));
    }

    /// Makes a call with up to three attempts.
    fn call(&mut self, id: u64, now: u64) {
        let sender = self.rng.random_range(0..self.routers.len());
        let mut tried = Vec::new();
        while tried.len() < 3 {
            let time = Time::from_micros(now);
            let router = &mut self.routers[sender];
            let pick = choose(router, &tried, time, &mut self.rng).unwrap();
            router.record_attempt_start(&pick, time);
            let is_slow = pick.instance.name.as_str() == "payments-0";
            let factor = if is_slow { self.slow } else { 1.0 };
            let work = -(1.0 - self.rng.random::<f64>()).ln() * SERVICE_US * factor;
            let server = self.servers.entry(pick.instance.name.clone()).or_default();
            if let Some(end) = server.accept(now, work as u64) {
                self.responses.push(Reverse((end, id, sender)));
                self.sent.insert(id, (now, pick));
                return;
            }
            self.refused += 1;
            self.record_attempt_end(sender, &pick, AttemptOutcome::Refused, 0, now);
            tried.push(pick.instance.name);
        }
        self.dropped += 1;
    }

    /// Offers `load`, a share of the capacity of all targets, and returns one row of results.
    fn run(mut self, load: f64) -> String {
        let capacity = SLOTS as f64 * (TARGETS as f64 - 1.0 + 1.0 / self.slow) / SERVICE_US;
        let mut now = 0.0;
        for id in 0..CALLS {
            now += -(1.0 - self.rng.random::<f64>()).ln() / (capacity * load);
            self.deliver_responses(now as u64);
            self.call(id, now as u64);
        }
        self.latencies.sort_unstable();
        let [p50, p99] = [0.5, 0.99]
            .map(|q| self.latencies[(self.latencies.len() as f64 * q) as usize] as f64 / 1_000.0);
        let [refused, dropped] =
            [self.refused, self.dropped].map(|n| n as f64 * 100.0 / CALLS as f64);
        format!("{p50:.1} | {p99:.1} | {refused:.2}% | {dropped:.2}%")
    }
}

fn choose(
    router: &mut Router,
    tried: &[InstanceName],
    now: Time,
    rng: &mut ChaCha8Rng,
) -> Option<Pick> {
    let want = PickArgs {
        request_bytes: 0,
        service: &ServiceName::new("payments"),
        priority: Priority::Normal,
        idempotent: true,
        cross_region: true,
        tried,
        untried_only: false,
    };
    match router.choose(&want, now, rng) {
        Choice::Send(pick) => Some(pick),
        Choice::Unavailable(_) => None,
    }
}

struct Variant {
    name: &'static str,
    strategy: Strategy,
    score: ScoreConfig,
}

fn strategies_to_compare() -> Vec<Variant> {
    let none = ScoreConfig {
        in_flight: false,
        load: false,
        latency: false,
        failures: false,
        reported_health: false,
    };
    let variant = |name, strategy, score| Variant {
        name,
        strategy,
        score,
    };
    let in_flight = ScoreConfig {
        in_flight: true,
        ..none
    };
    let load = ScoreConfig {
        load: true,
        ..in_flight
    };
    let latency = ScoreConfig {
        latency: true,
        ..in_flight
    };
    vec![
        variant("random", Strategy::Random, none),
        variant("round robin", Strategy::RoundRobin, none),
        variant("two choices, in flight", Strategy::TwoChoices, in_flight),
        variant(
            "two choices, in flight and load",
            Strategy::TwoChoices,
            load,
        ),
        variant(
            "two choices, in flight and latency",
            Strategy::TwoChoices,
            latency,
        ),
        variant(
            "two choices, all",
            Strategy::TwoChoices,
            ScoreConfig::default(),
        ),
    ]
}

#[test]
fn strategies() {
    let mut table = String::new();
    for (senders, load, slow) in [
        (20, 0.9, 1.0),
        (400, 0.9, 1.0),
        (20, 0.8, 5.0),
        (400, 0.8, 5.0),
    ] {
        for variant in strategies_to_compare() {
            let cfg = RoutingConfig {
                strategy: variant.strategy,
                score: variant.score,
                subset: SubsetConfig::ALL,
                ..RoutingConfig::default()
            };
            let row = Fleet::new(&cfg, senders, slow).run(load);
            let name = variant.name;
            let _ = writeln!(table, "| {senders} | {load} | {slow} x | {name} | {row} |");
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn subsets() {
    let mut table = String::new();
    for size in [4, 8, 12, 18, 100] {
        for (targets, senders) in [(15, 300), (15, 3_000), (100, 7_000)] {
            let subset = SubsetConfig {
                domain: size,
                ..SubsetConfig::default()
            };
            let instances: Vec<Instance> = (0..targets).map(|i| instance(i, 0, 0)).collect();
            let placed: Vec<(Distance, &Instance)> =
                instances.iter().map(|i| (Distance::Domain, i)).collect();
            let mut senders_of: BTreeMap<&InstanceName, usize> = BTreeMap::new();
            for sender in 0..senders {
                let own = InstanceName::new(&format!("sender-{sender}"));
                for (_, member) in subset.select(&own, &placed) {
                    *senders_of.entry(&member.name).or_default() += 1;
                }
            }
            let most = senders_of.values().max().unwrap();
            let least = senders_of.values().min().unwrap();
            let mean = senders_of.values().sum::<usize>() / targets;
            let _ = writeln!(
                table,
                "| {size} | {targets} | {senders} | {least} | {mean} | {most} |"
            );
        }
    }
    insta::assert_snapshot!(table);
}

/// Returns the share of successful calls of one sender with ten targets over 60 s. The first
/// `failing` targets fail each call with probability `failure`.
fn success_share(max_ejected_share: f64, failing: usize, failure: f64) -> f64 {
    let mut cfg = RoutingConfig {
        subset: SubsetConfig::ALL,
        ..RoutingConfig::default()
    };
    cfg.ejection.max_ejected_share = max_ejected_share;
    let instances: Vec<Instance> = (0..10).map(|i| instance(i, 0, 0)).collect();
    let mut router = router(0, &cfg, &instances);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let bad: Vec<InstanceName> = instances[..failing]
        .iter()
        .map(|i| i.name.clone())
        .collect();
    let mut good = 0;
    for n in 0..3_000 {
        let now = Time::from_millis(n * 20);
        let pick = choose(&mut router, &[], now, &mut rng).unwrap();
        router.record_attempt_start(&pick, now);
        let fails = bad.contains(&pick.instance.name) && rng.random_bool(failure);
        let outcome = match fails {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Succeeded,
        };
        good += u32::from(!fails);
        let observation = Observation::new(outcome, Duration::from_millis(10));
        router.record_attempt_end(&pick, &observation, now);
    }
    f64::from(good) / 3_000.0
}

#[test]
fn ejection_shares() {
    let mut table = String::new();
    for max_ejected_share in [0.0, 0.1, 0.3, 0.5, 1.0] {
        let cases = [(1, 1.0), (5, 1.0), (5, 0.5), (10, 0.3)];
        let shares = cases.map(|(failing, failure)| {
            let share = success_share(max_ejected_share, failing, failure);
            format!("{:.1}%", share * 100.0)
        });
        let _ = writeln!(table, "| {max_ejected_share:.1} | {} |", shares.join(" | "));
    }
    insta::assert_snapshot!(table);
}

#[test]
fn an_overloaded_near_instance_does_not_make_another_region_overloaded() {
    let near = listed("near", "d", "r");
    let far = listed("far", "e", "s");
    let home = LocalNode {
        instance: InstanceName::new("own"),
        domain: near.domain.clone(),
        region: near.region.clone(),
    };
    let now = Time::from_millis(10);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::new(home, RoutingConfig::default(), now);
    router.sync(&[near.clone(), far.clone()], now);
    let want = |cross_region| PickArgs {
        request_bytes: 0,
        service: &near.service,
        priority: Priority::Critical,
        idempotent: true,
        cross_region,
        tried: &[],
        untried_only: true,
    };
    let Choice::Send(pick) = router.choose(&want(false), now, &mut rng) else {
        panic!("the near instance is picked");
    };
    assert!(!router.is_overloaded(&pick, 1.25, now));
    router.record_attempt_start(&pick, now);
    let observation = Observation {
        load: Some(3.0),
        ..Observation::new(AttemptOutcome::Succeeded, Duration::from_millis(5))
    };
    router.record_attempt_end(&pick, &observation, now);
    assert!(router.is_overloaded(&pick, 1.25, now));
    let Choice::Send(pick) = router.choose(&want(true), now, &mut rng) else {
        panic!("the far instance is picked");
    };
    assert_eq!(pick.instance.name, far.name);
    assert!(!router.is_overloaded(&pick, 1.25, now));
}

fn listed(name: &str, domain: &str, region: &str) -> Instance {
    Instance {
        name: InstanceName::new(name),
        service: ServiceName::new("s"),
        domain: DomainName::new(domain),
        region: RegionName::new(region),
        ingress: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        state: InstanceState::Live,
    }
}
