//! Added latency of the hop between two nodes over a direct call, with CPU and memory per node.
//!
//! Run with `cargo bench --bench hop`. Nodes are processes; caller and target share this process.

#[path = "../tests/common/process.rs"]
mod process;

use std::fs;
use std::io;
use std::time::Duration;

use dragonflylead::standin::platform::PlatformStandin;
use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::TargetStandin;
use hdrhistogram::Histogram;
use process::NodeProcess;
use tokio::task::JoinSet;
use tokio::time::Instant;

const POLICY: &str = "\
[calls]
any = GET registry /* priority=normal idempotent=yes timeout=2s retries=2 # bench

[services]
entry    = slots=128 connections=900 # bench
registry = slots=128 connections=900 # bench
";

/// Calls a second; the first is the load that each node is designed for.
const RATES: [u32; 3] = [50, 500, 2_000];

/// Length of one measurement.
const SPAN: Duration = Duration::from_secs(5);

/// Rounds of direct and hopped calls for each rate.
const ROUNDS: usize = 3;

/// Bound on the time added to a call for 99 in 100, in microseconds.
const TARGET_ADDED_P99_US: u64 = 1_600;

/// Bound on the memory of a node, in MiB.
const TARGET_MEMORY_MIB: f64 = 64.0;

/// Clock ticks a second in which the kernel counts processor time.
const TICKS_PER_S: f64 = 100.0;

fn main() -> io::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(measure())
}

async fn measure() -> io::Result<()> {
    let dir = tempfile::tempdir()?;
    let platform = PlatformStandin::start().await?;
    platform.set_config(1, POLICY);
    let quick = Behaviour {
        slots: 1_024,
        service_time: Duration::ZERO,
        ..Behaviour::default()
    };
    let target = TargetStandin::start("registry-1", quick).await?;
    let entry = NodeProcess::start(dir.path(), "entry-1", target.address(), platform.url());
    let ingress = NodeProcess::start(dir.path(), "registry-1", target.address(), platform.url());
    platform.set_instances(vec![
        entry.instance("entry-1"),
        ingress.instance("registry-1"),
    ]);
    let direct = format!("http://{}/echo", target.address());
    let hopped = format!("http://{}/registry/echo", entry.egress);
    wait_until_served(&hopped).await?;
    println!(
        "| calls/s | direct p50 / p99 us | hop p50 / p99 us | added p50 / p99 us | CPU per call us, egress / ingress | memory MiB, egress / ingress |"
    );
    println!("|---|---|---|---|---|---|");
    for rate in RATES {
        measure_rate(rate, &direct, &hopped, &entry, &ingress).await?;
    }
    for mut node in [entry, ingress] {
        node.terminate();
        node.child.wait()?;
    }
    println!();
    println!(
        "target: added p99 <= {TARGET_ADDED_P99_US} us at {} calls/s, memory <= {TARGET_MEMORY_MIB} MiB",
        RATES[0]
    );
    Ok(())
}

async fn measure_rate(
    rate: u32,
    direct: &str,
    hopped: &str,
    entry: &NodeProcess,
    ingress: &NodeProcess,
) -> io::Result<()> {
    let mut without = histogram();
    let mut with = histogram();
    let before = [cpu(entry)?, cpu(ingress)?];
    for _ in 0..ROUNDS {
        without
            .add(load(direct, rate).await?)
            .map_err(io::Error::other)?;
        with.add(load(hopped, rate).await?)
            .map_err(io::Error::other)?;
    }
    let calls = with.len() as f64;
    let per_call = |node: &NodeProcess, before: f64| -> io::Result<f64> {
        Ok((cpu(node)? - before) * 1e6 / calls)
    };
    let (q50, q99) = (
        |h: &Histogram<u64>| h.value_at_quantile(0.5),
        |h: &Histogram<u64>| h.value_at_quantile(0.99),
    );
    println!(
        "| {rate} | {} / {} | {} / {} | {} / {} | {:.0} / {:.0} | {:.1} / {:.1} |",
        q50(&without),
        q99(&without),
        q50(&with),
        q99(&with),
        q50(&with).saturating_sub(q50(&without)),
        q99(&with).saturating_sub(q99(&without)),
        per_call(entry, before[0])?,
        per_call(ingress, before[1])?,
        memory_mib(entry)?,
        memory_mib(ingress)?,
    );
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}

async fn wait_until_served(url: &str) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        let answer = reqwest::get(url).await.map_err(io::Error::other)?;
        if answer.status().is_success() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(io::Error::other("the nodes did not serve in time"))
}

/// Sends calls at a steady rate and returns their latencies in microseconds.
async fn load(url: &str, rate: u32) -> io::Result<Histogram<u64>> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .map_err(io::Error::other)?;
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let gap = Duration::from_secs(1) / rate;
    for number in 0..(SPAN.as_secs() as u32 * rate) {
        tokio::time::sleep_until(start + gap * number).await;
        let req = client.get(url);
        calls.spawn(async move {
            let sent = Instant::now();
            let answer = req.send().await?.error_for_status()?;
            answer.bytes().await?;
            Ok::<Duration, reqwest::Error>(sent.elapsed())
        });
    }
    let mut latencies = histogram();
    while let Some(call) = calls.join_next().await {
        let took = call.map_err(io::Error::other)?.map_err(io::Error::other)?;
        latencies
            .record(took.as_micros() as u64)
            .map_err(io::Error::other)?;
    }
    Ok(latencies)
}

/// Returns the processor time that a node has used, in seconds.
fn cpu(node: &NodeProcess) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", node.child.id()))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_S)
}

/// Returns the memory that a node holds, in MiB.
fn memory_mib(node: &NodeProcess) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{}/status", node.child.id()))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    Ok(kib.unwrap_or_default() / 1_024.0)
}
