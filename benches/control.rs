//! Network traffic, processor time and memory of the control plane, for members of one failure
//! domain on loopback, when idle and while configurations change.
//!
//! Bytes are those of the loopback interface, including TCP and IP headers. Run it where nothing
//! else uses that interface:
//! `unshare -rn sh -c 'ip link set lo up; cargo bench --offline --bench control'`
//!
//! An argument selects the rows with that number of members; `bursts` measures bursts of changes
//! for several coalescing delays instead.

#[path = "../tests/support/real_fleet.rs"]
mod real_fleet;

use std::time::Duration;
use std::time::Instant;

use dragonflylead::coordination::control::ControlTiming;

use real_fleet::RealFleet;

/// Time for which an idle fleet is observed.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Time before that, in which connections are opened.
const WARM_UP: Duration = Duration::from_secs(10);

/// Number of configuration changes, published one after the other.
const CHANGES: u64 = 10;

/// Time between two changes: 15,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5_760);

/// Members of the fleet that receives bursts of changes.
const BURST_MEMBERS: usize = 50;
/// Number of bursts.
const BURSTS: u32 = 5;
/// Number of changes in a burst.
const CHANGES_PER_BURST: u32 = 10;
/// Time between two changes of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(300);

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Size of a memory page in KiB.
const PAGE_KIB: f64 = 4.0;

/// Resource usage of this process, and of the loopback interface, at one point in time.
#[derive(Clone, Copy)]
struct Usage {
    at: Instant,
    cpu_s: f64,
    loopback_bytes: f64,
    resident_kib: f64,
}

/// Returns the content of a file, empty if it cannot be read.
fn read_file(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Reads the current resource usage from `/proc`.
fn read_usage() -> Usage {
    let stat = read_file("/proc/self/stat");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .map(|f| f.parse::<f64>().unwrap())
        .sum();
    let dev = read_file("/proc/net/dev");
    let lo = dev.lines().find(|l| l.trim().starts_with("lo:")).unwrap();
    let bytes = lo.split_whitespace().nth(1).unwrap().parse().unwrap();
    let pages: f64 = read_file("/proc/self/statm")
        .split(' ')
        .nth(1)
        .unwrap()
        .parse()
        .unwrap();
    Usage {
        at: Instant::now(),
        cpu_s: ticks / TICKS_PER_S,
        loopback_bytes: bytes,
        resident_kib: pages * PAGE_KIB,
    }
}

/// Returns a policy of `rules` call rules. The timeout of the first is `first_timeout_ms`.
fn policy(rules: usize, first_timeout_ms: u64) -> String {
    let mut text = String::from("[calls]\n");
    for n in 0..rules {
        let ms = if n == 0 { first_timeout_ms } else { 100 };
        text.push_str(&format!(
            "rule-{n} = GET s{} /path/of/rule/{n}/* priority=normal idempotent=yes timeout={ms}ms retries=2  \
             # Farida K., housing desk, request {n}\n",
            n % 1_400
        ));
    }
    text
}

/// Prints a row of the table for a fleet of `members` with `rules` call rules.
async fn measure(members: usize, rules: usize) {
    let baseline = read_usage();
    let text = policy(rules, 1_000);
    let mut fleet = RealFleet::start(1, members, ControlTiming::default(), &text).await;
    fleet.wait_for_revision(1, |_| true).await;
    let start_s = baseline.at.elapsed().as_secs_f64();
    tokio::time::sleep(WARM_UP).await;
    let before = read_usage();
    tokio::time::sleep(IDLE_TIME).await;
    let idle = read_usage();
    let mut slowest = Duration::ZERO;
    let mut total = Duration::ZERO;
    for revision in 2..2 + CHANGES {
        let published = Instant::now();
        fleet.publish(revision, &policy(rules, 1_000 + revision));
        fleet.wait_for_revision(revision, |_| true).await;
        slowest = slowest.max(published.elapsed());
        total += published.elapsed();
        tokio::time::sleep(CHANGE_INTERVAL.saturating_sub(published.elapsed())).await;
    }
    let after = read_usage();
    let n = members as f64;
    let idle_s = (idle.at - before.at).as_secs_f64();
    let idle_bytes = (idle.loopback_bytes - before.loopback_bytes) / idle_s;
    let idle_cpu = (idle.cpu_s - before.cpu_s) / idle_s;
    let change_s = (after.at - idle.at).as_secs_f64();
    let change_bytes =
        (after.loopback_bytes - idle.loopback_bytes - idle_bytes * change_s) / CHANGES as f64;
    let change_cpu = (after.cpu_s - idle.cpu_s - idle_cpu * change_s) / CHANGES as f64;
    println!(
        "| {members} | {} | {start_s:.1} | {:.0} | {:.2} | {:.0} | {:.0} | {:.2} | {:.0} / {:.0} | {:.0} |",
        text.len() / 1024,
        idle_bytes / n,
        idle_cpu / n * 100.0,
        change_bytes / n,
        (after.loopback_bytes - idle.loopback_bytes) / change_s / n,
        change_cpu / n * 1_000.0,
        total.as_secs_f64() / CHANGES as f64 * 1_000.0,
        slowest.as_secs_f64() * 1_000.0,
        (after.resident_kib - baseline.resident_kib) / n,
    );
    fleet.members.clear();
}

/// Publishes bursts of changes to a fleet with a coalescing delay. Prints the mean traffic of a
/// burst and the longest time until its last change is in force everywhere, from [`BURST_INTERVAL`]
/// after the change was published.
async fn measure_bursts(coalesce: Duration) {
    let timing = ControlTiming {
        coalesce,
        ..ControlTiming::default()
    };
    let fleet = RealFleet::start(1, BURST_MEMBERS, timing, &policy(100, 1_000)).await;
    fleet.wait_for_revision(1, |_| true).await;
    tokio::time::sleep(WARM_UP).await;
    let before = read_usage();
    tokio::time::sleep(IDLE_TIME).await;
    let idle = read_usage();
    let mut revision = 1;
    let mut slowest = Duration::ZERO;
    for _ in 0..BURSTS {
        for _ in 0..CHANGES_PER_BURST {
            revision += 1;
            fleet.publish(revision, &policy(100, 1_000 + revision));
            tokio::time::sleep(BURST_INTERVAL).await;
        }
        let start = Instant::now();
        fleet.wait_for_revision(revision, |_| true).await;
        slowest = slowest.max(start.elapsed());
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let after = read_usage();
    let idle_rate =
        (idle.loopback_bytes - before.loopback_bytes) / (idle.at - before.at).as_secs_f64();
    let burst_s = (after.at - idle.at).as_secs_f64();
    let bytes =
        (after.loopback_bytes - idle.loopback_bytes - idle_rate * burst_s) / f64::from(BURSTS);
    println!(
        "| {} | {:.0} | {:.0} |",
        coalesce.as_millis(),
        bytes / BURST_MEMBERS as f64,
        slowest.as_secs_f64() * 1_000.0,
    );
}

/// Prints the table of bursts, for several coalescing delays.
fn print_bursts() {
    println!(
        "| coalescing delay, ms | B sent per node and burst | last change at all members, max ms |"
    );
    println!("|---|---|---|");
    for millis in [0, 200, 500, 1_000] {
        let runtime = runtime();
        runtime.block_on(measure_bursts(Duration::from_millis(millis)));
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
}

/// Returns a runtime with four worker threads.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap()
}

fn main() {
    if std::env::args().any(|a| a == "bursts") {
        return print_bursts();
    }
    println!(
        "| members | policy KiB | start s | idle: B/s sent per node | idle: CPU % of a core per node \
         | change: B sent per node | 15,000 changes a day: B/s sent per node | change: CPU ms per node \
         | change at all members, mean / max ms | resident KiB per node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let only_members = std::env::args().nth(1).and_then(|a| a.parse().ok());
    let rows = [
        (10, 100),
        (30, 100),
        (100, 100),
        (200, 100),
        (30, 7_000),
        (100, 7_000),
    ];
    for (members, rules) in rows {
        if only_members.is_some_and(|a: usize| a != members) {
            continue;
        }
        let runtime = runtime();
        runtime.block_on(measure(members, rules));
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
}
