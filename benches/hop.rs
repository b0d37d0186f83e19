//! Latency that the hop through two nodes adds to a direct call, and processor time and memory of
//! each node.
//!
//! Run with `cargo bench --bench hop`. Each node is a process of its own; caller and target share
//! this one.

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

/// Policy of the two nodes.
const POLICY: &str = "\
[calls]
any = GET registry /* priority=normal idempotent=yes timeout=2s retries=2 # bench

[services]
entry    = slots=128 connections=900 # bench
registry = slots=128 connections=900 # bench
";

/// Calls per second; the first is the design load of a node.
const RATES: [u32; 3] = [50, 500, 2_000];

/// Duration of the load in one round.
const ROUND_TIME: Duration = Duration::from_secs(5);

/// Rounds for each rate; a round makes direct calls, then calls through the nodes.
const ROUNDS: usize = 3;

/// Objective for the added latency that 99 of 100 calls stay within (p99), in microseconds.
const OBJECTIVE_ADDED_P99_US: u64 = 1_600;

/// Objective for the resident memory of a node, in MiB.
const OBJECTIVE_MEMORY_MIB: f64 = 64.0;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

fn main() -> io::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(measure())
}

/// Starts the nodes and prints the table.
async fn measure() -> io::Result<()> {
    let dir = tempfile::tempdir()?;
    let platform = PlatformStandin::start().await?;
    platform.set_config(1, POLICY);
    let fast = Behaviour {
        slots: 1_024,
        service_time: Duration::ZERO,
        ..Behaviour::default()
    };
    let target = TargetStandin::start("registry-1", fast).await?;
    let entry = NodeProcess::start(dir.path(), "entry-1", target.address(), platform.url());
    let ingress = NodeProcess::start(dir.path(), "registry-1", target.address(), platform.url());
    platform.set_instances(vec![
        entry.instance("entry-1"),
        ingress.instance("registry-1"),
    ]);
    let direct = format!("http://{}/echo", target.address());
    let via_nodes = format!("http://{}/registry/echo", entry.egress);
    wait_until_served(&via_nodes).await?;
    println!(
        "| calls/s | direct p50 / p99 us | hop p50 / p99 us | added p50 / p99 us | CPU per call us, egress / ingress | memory MiB, egress / ingress |"
    );
    println!("|---|---|---|---|---|---|");
    for rate in RATES {
        measure_rate(rate, &direct, &via_nodes, &entry, &ingress).await?;
    }
    for mut node in [entry, ingress] {
        node.terminate();
        node.child.wait()?;
    }
    println!();
    println!(
        "objective: added p99 <= {OBJECTIVE_ADDED_P99_US} us at {} calls/s, memory <= {OBJECTIVE_MEMORY_MIB} MiB",
        RATES[0]
    );
    Ok(())
}

/// Measures one rate and prints its row.
async fn measure_rate(
    rate: u32,
    direct: &str,
    via_nodes: &str,
    entry: &NodeProcess,
    ingress: &NodeProcess,
) -> io::Result<()> {
    let mut direct_latencies = histogram();
    let mut node_latencies = histogram();
    let before = [cpu(entry)?, cpu(ingress)?];
    for _ in 0..ROUNDS {
        direct_latencies
            .add(load(direct, rate).await?)
            .map_err(io::Error::other)?;
        node_latencies
            .add(load(via_nodes, rate).await?)
            .map_err(io::Error::other)?;
    }
    let calls = node_latencies.len() as f64;
    let per_call = |node: &NodeProcess, before: f64| -> io::Result<f64> {
        Ok((cpu(node)? - before) * 1e6 / calls)
    };
    let (p50, p99) = (
        |h: &Histogram<u64>| h.value_at_quantile(0.5),
        |h: &Histogram<u64>| h.value_at_quantile(0.99),
    );
    println!(
        "| {rate} | {} / {} | {} / {} | {} / {} | {:.0} / {:.0} | {:.1} / {:.1} |",
        p50(&direct_latencies),
        p99(&direct_latencies),
        p50(&node_latencies),
        p99(&node_latencies),
        p50(&node_latencies).saturating_sub(p50(&direct_latencies)),
        p99(&node_latencies).saturating_sub(p99(&direct_latencies)),
        per_call(entry, before[0])?,
        per_call(ingress, before[1])?,
        memory_mib(entry)?,
        memory_mib(ingress)?,
    );
    Ok(())
}

/// Returns a histogram of latencies with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}

/// Waits up to 30 s until a call through the nodes succeeds.
async fn wait_until_served(url: &str) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        let response = reqwest::get(url).await.map_err(io::Error::other)?;
        if response.status().is_success() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(io::Error::other(
        "the nodes did not serve a call within 30 s",
    ))
}

/// Sends calls at a constant rate and returns their latencies in microseconds. An unsuccessful
/// response is an error.
async fn load(url: &str, rate: u32) -> io::Result<Histogram<u64>> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .map_err(io::Error::other)?;
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let interval = Duration::from_secs(1) / rate;
    for number in 0..(ROUND_TIME.as_secs() as u32 * rate) {
        tokio::time::sleep_until(start + interval * number).await;
        let req = client.get(url);
        calls.spawn(async move {
            let sent = Instant::now();
            let response = req.send().await?.error_for_status()?;
            response.bytes().await?;
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
    let fields_after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields_after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_S)
}

/// Returns the resident memory of a node, in MiB.
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
