//! What control costs: members in one failure domain on loopback, at rest and with changes.
//!
//! Bytes are those of the loopback interface, headers of TCP and IP included. Run it where nothing
//! else uses that interface:
//! `unshare -rn sh -c 'ip link set lo up; cargo bench --offline --bench control'`

#[path = "../tests/support/real_fleet.rs"]
mod real_fleet;

use std::time::Duration;
use std::time::Instant;

use dragonflylead::coordination::control::ControlTiming;

use real_fleet::RealFleet;

/// Span over which a fleet at rest is observed.
const REST: Duration = Duration::from_secs(20);

/// Span before that, in which connections are made.
const WARM_UP: Duration = Duration::from_secs(10);

/// Changes that are published one after the other.
const CHANGES: u64 = 10;

/// Time between two changes, as at 15,000 a day.
const BETWEEN: Duration = Duration::from_millis(5_760);

/// Members, bursts, and changes of a burst with the time between them.
const BURST_MEMBERS: usize = 50;
const BURSTS: u32 = 5;
const BURST: u32 = 10;
const BURST_GAP: Duration = Duration::from_millis(300);

/// Clock ticks of /proc/self/stat in a second.
const TICKS: f64 = 100.0;

/// Size of a memory page in KiB.
const PAGE_KIB: f64 = 4.0;

#[derive(Clone, Copy)]
struct Reading {
    at: Instant,
    cpu: f64,
    bytes: f64,
    resident: f64,
}

fn file(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

fn read() -> Reading {
    let stat = file("/proc/self/stat");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .map(|f| f.parse::<f64>().unwrap())
        .sum();
    let dev = file("/proc/net/dev");
    let lo = dev.lines().find(|l| l.trim().starts_with("lo:")).unwrap();
    let bytes = lo.split_whitespace().nth(1).unwrap().parse().unwrap();
    let pages: f64 = file("/proc/self/statm")
        .split(' ')
        .nth(1)
        .unwrap()
        .parse()
        .unwrap();
    Reading {
        at: Instant::now(),
        cpu: ticks / TICKS,
        bytes,
        resident: pages * PAGE_KIB,
    }
}

/// Builds a policy of `lines` call rules, in which one timeout varies.
fn policy(lines: usize, millis: u64) -> String {
    let mut text = String::from("[calls]\n");
    for n in 0..lines {
        let ms = if n == 0 { millis } else { 100 };
        text.push_str(&format!(
            "rule-{n} = GET s{} /path/of/rule/{n}/* priority=normal idempotent=yes timeout={ms}ms retries=2  \
             # Farida K., housing desk, request {n}\n",
            n % 1_400
        ));
    }
    text
}

async fn measure(members: usize, lines: usize) {
    let empty = read();
    let text = policy(lines, 1_000);
    let mut fleet = RealFleet::start(1, members, ControlTiming::default(), &text).await;
    fleet.wait_for_revision(1, |_| true).await;
    let start = empty.at.elapsed().as_secs_f64();
    tokio::time::sleep(WARM_UP).await;
    let before = read();
    tokio::time::sleep(REST).await;
    let rest = read();
    let mut slowest = Duration::ZERO;
    let mut total = Duration::ZERO;
    for change in 2..2 + CHANGES {
        let from = Instant::now();
        fleet.publish(change, &policy(lines, 1_000 + change));
        fleet.wait_for_revision(change, |_| true).await;
        slowest = slowest.max(from.elapsed());
        total += from.elapsed();
        tokio::time::sleep(BETWEEN.saturating_sub(from.elapsed())).await;
    }
    let after = read();
    let n = members as f64;
    let rest_span = (rest.at - before.at).as_secs_f64();
    let rest_bytes = (rest.bytes - before.bytes) / rest_span;
    let rest_cpu = (rest.cpu - before.cpu) / rest_span;
    let span = (after.at - rest.at).as_secs_f64();
    let change_bytes = (after.bytes - rest.bytes - rest_bytes * span) / CHANGES as f64;
    let change_cpu = (after.cpu - rest.cpu - rest_cpu * span) / CHANGES as f64;
    println!(
        "| {members} | {} | {start:.1} | {:.0} | {:.2} | {:.0} | {:.0} | {:.2} | {:.0} / {:.0} | {:.0} |",
        text.len() / 1024,
        rest_bytes / n,
        rest_cpu / n * 100.0,
        change_bytes / n,
        (after.bytes - rest.bytes) / span / n,
        change_cpu / n * 1_000.0,
        total.as_secs_f64() / CHANGES as f64 * 1_000.0,
        slowest.as_secs_f64() * 1_000.0,
        (after.resident - empty.resident) / n,
    );
    fleet.members.clear();
}

/// Publishes bursts of changes and prints what each burst costs.
async fn burst(coalesce: Duration) {
    let timing = ControlTiming {
        coalesce,
        ..ControlTiming::default()
    };
    let fleet = RealFleet::start(1, BURST_MEMBERS, timing, &policy(100, 1_000)).await;
    fleet.wait_for_revision(1, |_| true).await;
    tokio::time::sleep(WARM_UP).await;
    let before = read();
    tokio::time::sleep(REST).await;
    let rest = read();
    let mut revision = 1;
    let mut slowest = Duration::ZERO;
    for _ in 0..BURSTS {
        for _ in 0..BURST {
            revision += 1;
            fleet.publish(revision, &policy(100, 1_000 + revision));
            tokio::time::sleep(BURST_GAP).await;
        }
        let from = Instant::now();
        fleet.wait_for_revision(revision, |_| true).await;
        slowest = slowest.max(from.elapsed());
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let after = read();
    let rate = (rest.bytes - before.bytes) / (rest.at - before.at).as_secs_f64();
    let span = (after.at - rest.at).as_secs_f64();
    let bytes = (after.bytes - rest.bytes - rate * span) / f64::from(BURSTS);
    println!(
        "| {} | {:.0} | {:.0} |",
        coalesce.as_millis(),
        bytes / BURST_MEMBERS as f64,
        slowest.as_secs_f64() * 1_000.0,
    );
}

fn bursts() {
    println!("| gathered for ms | B sent a node and burst | last change to all, most ms |");
    println!("|---|---|---|");
    for millis in [0, 200, 500, 1_000] {
        let runtime = runtime();
        runtime.block_on(burst(Duration::from_millis(millis)));
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap()
}

fn main() {
    if std::env::args().any(|a| a == "bursts") {
        return bursts();
    }
    println!(
        "| members | text KiB | start s | rest: B/s sent a node | rest: CPU % of a core a node \
         | change: B sent a node | 15,000 changes a day: B/s sent a node | change: CPU ms a node \
         | to all, mean / most ms | KiB resident a node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let arg = std::env::args().nth(1).and_then(|a| a.parse().ok());
    let rows = [
        (10, 100),
        (30, 100),
        (100, 100),
        (200, 100),
        (30, 7_000),
        (100, 7_000),
    ];
    for (members, lines) in rows {
        if arg.is_some_and(|a: usize| a != members) {
            continue;
        }
        let runtime = runtime();
        runtime.block_on(measure(members, lines));
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
}
