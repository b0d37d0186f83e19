//! Demonstration of a load surge on a small fleet of booking services on loopback.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::time::Duration;

use http::Method;

use crate::call::DEFAULT_SPARE_ATTEMPTS;
use crate::call::Priority;
use crate::error::ErrorKind;
use crate::load_generator;
use crate::load_generator::Phase;
use crate::load_generator::Sample;
use crate::load_generator::Stream;
use crate::standin::fleet::DomainSpec;
use crate::standin::fleet::Fleet;
use crate::standin::fleet::FleetSpec;
use crate::standin::fleet::ServiceSpec;
use crate::standin::target::Behaviour;
use crate::standin::target::SubCall;

/// Duration of the phase before the surge.
const NORMAL_DURATION: Duration = Duration::from_secs(4);

/// Duration of the surge.
const SURGE_DURATION: Duration = Duration::from_secs(5);

/// Duration of the phase after the surge.
const RECOVERY_DURATION: Duration = Duration::from_secs(5);

/// Lookups per second before and after the surge.
const LOOKUPS_PER_S: f64 = 80.0;

/// Lookups per second during the surge.
const SURGE_LOOKUPS_PER_S: f64 = 480.0;

/// Requests for route sheets per second.
const SHEETS_PER_S: f64 = 40.0;

/// Charges per second.
const CHARGES_PER_S: f64 = 20.0;

/// Number of times that an impatient caller resends a lookup.
const IMPATIENT_RESENDS: u32 = 3;

/// Time that a caller waits for a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);

/// Time that a caller waits for a charge.
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a request occupies a slot of a target.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Length of the intervals whose success rates determine the recovery time.
const RECOVERY_BUCKET: Duration = Duration::from_millis(250);

/// Minimum share of successful requests of a recovered bucket, in percent.
const RECOVERED_PERCENT: usize = 99;

const SEED: u64 = 2026;

/// Policy of the demonstration fleet.
pub const POLICY: &str = "\
[calls]
charge       = POST booking  /charge   priority=critical idempotent=no  timeout=2s    # Farida K., refunds of November
charge-inner = POST payments /charge   priority=critical idempotent=no  timeout=2s    # Farida K., refunds of November
sheet        = GET  routing  /sheets/* priority=normal   idempotent=yes timeout=800ms retries=2 # franchise desk
schedule     = GET  booking  /slots/*  priority=low      idempotent=yes timeout=800ms retries=2 # housing desk
route        = GET  routing  /routes/* priority=low      idempotent=yes timeout=800ms retries=2 # housing desk
crew         = GET  dispatch /crews/*  priority=low      idempotent=yes timeout=800ms retries=2 # crew desk

[services]
booking  = slots=8 connections=560 # rack list
payments = slots=8 connections=560 # rack list
routing  = slots=8 connections=560 # rack list
dispatch = slots=2 connections=160 # rack list
";

/// Outcomes of the requests of one priority in one phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PhaseSummary {
    /// Number of user requests.
    pub offered: usize,
    /// Requests that got a complete response with a status below 500.
    pub whole: usize,
    /// Requests that were certainly not run.
    pub not_run: usize,
    /// Requests that may have run, or were answered with a status of 500 or above.
    pub unknown: usize,
    /// 99th percentile of the latency of complete responses.
    pub p99: Duration,
}

/// Results of the demonstration.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// Outcomes by phase name and priority.
    pub rows: Vec<(&'static str, Priority, PhaseSummary)>,
    /// Maximum number of runs at one service beyond one for each send of a request.
    pub extra_runs: u32,
    /// Charges that ran more than once.
    pub repeated_charges: usize,
    /// Charges reported as not run that ran.
    pub false_not_run: usize,
    /// Complete responses that no target gave for that request.
    pub mismatched_responses: usize,
    /// Charges that did not get a complete response.
    pub failed_charges: usize,
    /// Time from the end of the surge to recovery, or `None` if the fleet did not recover.
    pub recovery: Option<Duration>,
}

impl DemoReport {
    /// Returns whether all guarantees held.
    pub fn passed(&self) -> bool {
        self.repeated_charges == 0
            && self.false_not_run == 0
            && self.mismatched_responses == 0
            && self.extra_runs <= DEFAULT_SPARE_ATTEMPTS
            && self.recovery.is_some()
    }
}

/// Runs the demonstration and writes its results. Returns whether all guarantees held.
///
/// # Errors
///
/// If a port cannot be bound or `out` cannot be written.
pub async fn run<O>(out: &mut O) -> io::Result<bool>
where
    O: Write,
{
    writeln!(
        out,
        "starting 4 services of 4 instances in 4 failure domains on loopback"
    )?;
    let fleet = Fleet::start(&spec()).await?;
    let phases = phases(&fleet);
    let (samples, announced) =
        tokio::join!(load_generator::run(&phases, SEED), announce_phases(out));
    announced?;
    let samples = samples?;
    let report = evaluate(&fleet, &samples);
    write_report(&report, out)?;
    fleet.stop().await;
    Ok(report.passed())
}

/// Writes a line at the start of each phase.
async fn announce_phases<O>(out: &mut O) -> io::Result<()>
where
    O: Write,
{
    let durations = [
        ("normal load", NORMAL_DURATION),
        ("surge of impatient callers that resend", SURGE_DURATION),
        ("normal load again", RECOVERY_DURATION),
    ];
    for (name, duration) in durations {
        writeln!(out, "{name} for {} s ...", duration.as_secs())?;
        out.flush()?;
        tokio::time::sleep(duration).await;
    }
    Ok(())
}

fn spec() -> FleetSpec {
    let domain = |name: &str, region: &str| DomainSpec {
        name: name.to_owned(),
        region: region.to_owned(),
    };
    let get = |service: &str, path: &str| SubCall {
        method: Method::GET,
        service: service.to_owned(),
        path: path.to_owned(),
    };
    let charge = SubCall {
        method: Method::POST,
        ..get("payments", "/charge")
    };
    let on = |prefix: &str, call: SubCall| (prefix.to_owned(), call);
    let service = |name: &str, slots: usize, sub_calls: Vec<(String, SubCall)>| ServiceSpec {
        name: name.to_owned(),
        instances: 4,
        behaviour: Behaviour {
            slots,
            service_time: SERVICE_TIME,
            sub_calls,
            ..Behaviour::default()
        },
    };
    FleetSpec {
        policy: POLICY.to_owned(),
        domains: vec![
            domain("punjab-1", "punjab"),
            domain("punjab-2", "punjab"),
            domain("sindh-1", "sindh"),
            domain("sindh-2", "sindh"),
        ],
        services: vec![
            service(
                "booking",
                8,
                vec![
                    on("/slots", get("routing", "/routes/4")),
                    on("/charge", charge),
                ],
            ),
            service("payments", 8, Vec::new()),
            service("routing", 8, vec![on("/", get("dispatch", "/crews/2"))]),
            service("dispatch", 2, Vec::new()),
        ],
        seed: SEED,
    }
}

fn phases(fleet: &Fleet) -> Vec<Phase> {
    let lookups = |rate: f64, resends: u32| Stream {
        method: Method::GET,
        path: "/slots/7".to_owned(),
        priority: Priority::Low,
        idempotent: true,
        rate,
        timeout: LOOKUP_TIMEOUT,
        resends,
        entries: fleet.ingress_addresses("booking"),
    };
    let sheets = Stream {
        path: "/sheets/12".to_owned(),
        priority: Priority::Normal,
        entries: fleet.ingress_addresses("routing"),
        ..lookups(SHEETS_PER_S, 0)
    };
    let charges = Stream {
        method: Method::POST,
        path: "/charge".to_owned(),
        priority: Priority::Critical,
        idempotent: false,
        timeout: CHARGE_TIMEOUT,
        ..lookups(CHARGES_PER_S, 0)
    };
    let phase = |duration: Duration, lookups: Stream| Phase {
        duration,
        streams: vec![charges.clone(), sheets.clone(), lookups],
    };
    vec![
        phase(NORMAL_DURATION, lookups(LOOKUPS_PER_S, 0)),
        phase(
            SURGE_DURATION,
            lookups(SURGE_LOOKUPS_PER_S, IMPATIENT_RESENDS),
        ),
        phase(RECOVERY_DURATION, lookups(LOOKUPS_PER_S, 0)),
    ]
}

fn evaluate(fleet: &Fleet, samples: &[Sample]) -> DemoReport {
    let ends = [
        ("normal", NORMAL_DURATION),
        ("surge", NORMAL_DURATION + SURGE_DURATION),
        (
            "recovery",
            NORMAL_DURATION + SURGE_DURATION + RECOVERY_DURATION,
        ),
    ];
    let mut rows = Vec::new();
    let mut begin = Duration::ZERO;
    for (name, end) in ends {
        for priority in [Priority::Critical, Priority::Normal, Priority::Low] {
            let of_phase = samples.iter().filter(|s| s.priority == priority);
            let of_phase = of_phase.filter(|s| s.sent_at >= begin && s.sent_at < end);
            rows.push((name, priority, summarize(&of_phase.collect::<Vec<_>>())));
        }
        begin = end;
    }
    let runs = collect_runs(fleet);
    let charges = || samples.iter().filter(|s| !s.idempotent);
    let charge_runs = |s: &Sample| runs.count("payments", &s.operation);
    let reported_not_run = |s: &Sample| matches!(s.result, Err(ErrorKind::NotRun(_)));
    DemoReport {
        rows,
        extra_runs: runs.max_extra(samples),
        repeated_charges: charges().filter(|s| charge_runs(s) > 1).count(),
        false_not_run: charges()
            .filter(|s| reported_not_run(s) && charge_runs(s) > 0)
            .count(),
        mismatched_responses: samples.iter().filter(|s| !runs.is_own_response(s)).count(),
        failed_charges: charges().filter(|s| !s.is_success()).count(),
        recovery: recovery_time(samples),
    }
}

fn summarize(samples: &[&Sample]) -> PhaseSummary {
    let mut latencies: Vec<Duration> = samples
        .iter()
        .filter(|s| s.is_success())
        .map(|s| s.latency)
        .collect();
    latencies.sort_unstable();
    let not_run = |s: &&&Sample| matches!(s.result, Err(ErrorKind::NotRun(_)));
    let not_run = samples.iter().filter(not_run).count();
    PhaseSummary {
        offered: samples.len(),
        whole: latencies.len(),
        not_run,
        unknown: samples.len() - latencies.len() - not_run,
        p99: latencies
            .get(latencies.len() * 99 / 100)
            .copied()
            .unwrap_or_default(),
    }
}

/// Runs and responses recorded by the targets.
struct TargetRuns {
    /// Number of runs by service and operation.
    counts: BTreeMap<(String, String), u32>,
    responses: BTreeSet<String>,
}

fn collect_runs(fleet: &Fleet) -> TargetRuns {
    let mut counts = BTreeMap::new();
    let mut responses = BTreeSet::new();
    for member in &fleet.members {
        for run in member.target.runs() {
            let service = member.instance.service.to_string();
            *counts.entry((service, run.operation)).or_default() += 1;
            responses.extend(run.response);
        }
    }
    TargetRuns { counts, responses }
}

impl TargetRuns {
    fn count(&self, service: &str, operation: &str) -> u32 {
        let key = (service.to_owned(), operation.to_owned());
        self.counts.get(&key).copied().unwrap_or_default()
    }

    /// Returns the maximum number of runs at one service beyond one for each send of a request.
    fn max_extra(&self, samples: &[Sample]) -> u32 {
        let sends: BTreeMap<&str, u32> = samples
            .iter()
            .map(|s| (s.operation.as_str(), s.sends))
            .collect();
        let extra = self.counts.iter().map(|((_, operation), count)| {
            let sends = sends.get(operation.as_str()).copied().unwrap_or(1);
            count.saturating_sub(sends)
        });
        extra.max().unwrap_or_default()
    }

    /// Returns whether a successful response is one that a target gave for this request.
    ///
    /// Samples without a successful response pass.
    fn is_own_response(&self, sample: &Sample) -> bool {
        if !sample.is_success() {
            return true;
        }
        let Ok(body) = &sample.result else {
            return true;
        };
        let text = String::from_utf8_lossy(body);
        let named = text.split(' ').any(|word| word == sample.operation);
        named && self.responses.contains(text.as_ref())
    }
}

/// Returns the time from the end of the surge to the end of the last bucket that does not count as
/// recovered, or `None` if that is the last bucket of the run.
fn recovery_time(samples: &[Sample]) -> Option<Duration> {
    let end = NORMAL_DURATION + SURGE_DURATION;
    let buckets = (RECOVERY_DURATION.as_millis() / RECOVERY_BUCKET.as_millis()) as usize;
    let recovered = |bucket: usize| {
        let begin = end + RECOVERY_BUCKET * bucket as u32;
        let inside = |s: &&Sample| s.sent_at >= begin && s.sent_at < begin + RECOVERY_BUCKET;
        let offered = samples.iter().filter(inside).count();
        let successes = samples
            .iter()
            .filter(inside)
            .filter(|s| s.is_success())
            .count();
        successes * 100 >= offered * RECOVERED_PERCENT
    };
    let last_failed = (0..buckets).rev().find(|bucket| !recovered(*bucket));
    match last_failed {
        None => Some(Duration::ZERO),
        Some(bucket) if bucket + 1 < buckets => Some(RECOVERY_BUCKET * (bucket as u32 + 1)),
        Some(_) => None,
    }
}

fn write_report<O>(report: &DemoReport, out: &mut O) -> io::Result<()>
where
    O: Write,
{
    writeln!(
        out,
        "\n{:<9} {:<9} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "phase", "priority", "offered", "whole", "not run", "unknown", "p99"
    )?;
    for (phase, priority, row) in &report.rows {
        writeln!(
            out,
            "{phase:<9} {:<9} {:>8} {:>8} {:>8} {:>8} {:>6} ms",
            priority.to_string(),
            row.offered,
            row.whole,
            row.not_run,
            row.unknown,
            row.p99.as_millis()
        )?;
    }
    let recovery = report
        .recovery
        .map_or("not before the end of the run".to_owned(), |time| {
            format!("{} ms after the surge", time.as_millis())
        });
    writeln!(
        out,
        "\nextra runs of one request at one service, at most: {}",
        report.extra_runs
    )?;
    writeln!(
        out,
        "charges that ran twice:       {}",
        report.repeated_charges
    )?;
    writeln!(
        out,
        "charges not completed:        {}",
        report.failed_charges
    )?;
    writeln!(
        out,
        "reported as not run, but ran: {}",
        report.false_not_run
    )?;
    writeln!(
        out,
        "responses of another request: {}",
        report.mismatched_responses
    )?;
    writeln!(out, "recovered:                    {recovery}")?;
    let verdict = if report.passed() {
        "all guarantees held"
    } else {
        "A GUARANTEE WAS VIOLATED"
    };
    writeln!(out, "{verdict}")
}
