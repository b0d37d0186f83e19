//! Demonstration of a surge on loopback: the booking services in small, with and without load.

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

/// Length of the phase before the surge.
const NORMAL: Duration = Duration::from_secs(4);

/// Length of the surge.
const SURGE: Duration = Duration::from_secs(5);

/// Length of the phase after the surge.
const RECOVERY: Duration = Duration::from_secs(5);

/// Lookups a second in the normal phases.
const LOOKUPS_PER_S: f64 = 80.0;

/// Lookups a second during the surge.
const SURGE_LOOKUPS_PER_S: f64 = 480.0;

/// Route sheets a second.
const SHEETS_PER_S: f64 = 40.0;

/// Charges a second.
const CHARGES_PER_S: f64 = 20.0;

/// Times that an impatient caller sends a lookup again.
const IMPATIENT_RESENDS: u32 = 3;

/// Time for which a caller waits for a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a caller waits for a charge.
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a request occupies a slot of a target.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Bucket in which recovery is looked for.
const BUCKET: Duration = Duration::from_millis(250);

/// Share of requests that must be answered for a bucket to count as recovered, in percent.
const RECOVERED_PERCENT: usize = 99;

const SEED: u64 = 2026;

/// The policy that the demonstration runs under.
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

/// What became of the requests of one priority.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// User requests.
    pub offered: usize,
    /// Whole answers.
    pub whole: usize,
    /// Certainly not run.
    pub not_run: usize,
    /// Not known whether run, or answered with an error.
    pub unknown: usize,
    /// 99th percentile of the time to a whole answer.
    pub p99: Duration,
}

/// What the demonstration saw.
#[derive(Clone, Debug)]
pub struct Findings {
    /// Phase name, priority and what became of its requests.
    pub rows: Vec<(&'static str, Priority, Row)>,
    /// Runs beyond the first that one send of a request caused at one service, at most.
    pub extra_runs: u32,
    /// Charges that ran more than once.
    pub charges_twice: usize,
    /// Charges told not-run that ran.
    pub false_not_run: usize,
    /// Whole answers that no target gave for that request.
    pub foreign_answers: usize,
    /// Charges that did not get a whole answer.
    pub charges_failed: usize,
    /// Time from the end of the surge to recovery, nothing if it did not recover.
    pub recovery: Option<Duration>,
}

impl Findings {
    /// Returns whether the promises held.
    pub fn held(&self) -> bool {
        self.charges_twice == 0
            && self.false_not_run == 0
            && self.foreign_answers == 0
            && self.extra_runs <= DEFAULT_SPARE_ATTEMPTS
            && self.recovery.is_some()
    }
}

/// Runs the demonstration and writes what it saw. Returns whether the promises held.
///
/// # Errors
///
/// If a port cannot be served or `out` cannot be written.
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
    let (samples, told) = tokio::join!(load_generator::run(&phases, SEED), tell_phases(out));
    told?;
    let samples = samples?;
    let findings = examine(&fleet, &samples);
    write_findings(&findings, out)?;
    fleet.stop().await;
    Ok(findings.held())
}

/// Writes a line when a phase begins.
async fn tell_phases<O>(out: &mut O) -> io::Result<()>
where
    O: Write,
{
    let spans = [
        ("normal load", NORMAL),
        ("surge of impatient callers", SURGE),
        ("normal load again", RECOVERY),
    ];
    for (name, span) in spans {
        writeln!(out, "{name} for {} s ...", span.as_secs())?;
        out.flush()?;
        tokio::time::sleep(span).await;
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
    let phase = |span: Duration, lookups: Stream| Phase {
        span,
        streams: vec![charges.clone(), sheets.clone(), lookups],
    };
    vec![
        phase(NORMAL, lookups(LOOKUPS_PER_S, 0)),
        phase(SURGE, lookups(SURGE_LOOKUPS_PER_S, IMPATIENT_RESENDS)),
        phase(RECOVERY, lookups(LOOKUPS_PER_S, 0)),
    ]
}

fn examine(fleet: &Fleet, samples: &[Sample]) -> Findings {
    let ends = [
        ("normal", NORMAL),
        ("surge", NORMAL + SURGE),
        ("recovery", NORMAL + SURGE + RECOVERY),
    ];
    let mut rows = Vec::new();
    let mut begin = Duration::ZERO;
    for (name, end) in ends {
        for priority in [Priority::Critical, Priority::Normal, Priority::Low] {
            let of_phase = samples.iter().filter(|s| s.priority == priority);
            let of_phase = of_phase.filter(|s| s.offered >= begin && s.offered < end);
            rows.push((name, priority, row(&of_phase.collect::<Vec<_>>())));
        }
        begin = end;
    }
    let runs = runs(fleet);
    let charges = || samples.iter().filter(|s| !s.idempotent);
    let charged = |s: &Sample| runs.count("payments", &s.operation);
    let told_not_run = |s: &Sample| matches!(s.result, Err(ErrorKind::NotRun(_)));
    Findings {
        rows,
        extra_runs: runs.extra(samples),
        charges_twice: charges().filter(|s| charged(s) > 1).count(),
        false_not_run: charges()
            .filter(|s| told_not_run(s) && charged(s) > 0)
            .count(),
        foreign_answers: samples.iter().filter(|s| !runs.answered(s)).count(),
        charges_failed: charges().filter(|s| !s.is_good()).count(),
        recovery: recovery(samples),
    }
}

fn row(samples: &[&Sample]) -> Row {
    let mut took: Vec<Duration> = samples
        .iter()
        .filter(|s| s.is_good())
        .map(|s| s.took)
        .collect();
    took.sort_unstable();
    let not_run = |s: &&&Sample| matches!(s.result, Err(ErrorKind::NotRun(_)));
    let not_run = samples.iter().filter(not_run).count();
    Row {
        offered: samples.len(),
        whole: took.len(),
        not_run,
        unknown: samples.len() - took.len() - not_run,
        p99: took.get(took.len() * 99 / 100).copied().unwrap_or_default(),
    }
}

/// What the targets ran.
struct Runs {
    counts: BTreeMap<(String, String), u32>,
    answers: BTreeSet<String>,
}

fn runs(fleet: &Fleet) -> Runs {
    let mut counts = BTreeMap::new();
    let mut answers = BTreeSet::new();
    for member in &fleet.members {
        for run in member.target.runs() {
            let service = member.instance.service.to_string();
            *counts.entry((service, run.operation)).or_default() += 1;
            answers.extend(run.answer);
        }
    }
    Runs { counts, answers }
}

impl Runs {
    fn count(&self, service: &str, operation: &str) -> u32 {
        let key = (service.to_owned(), operation.to_owned());
        self.counts.get(&key).copied().unwrap_or_default()
    }

    /// Returns the most runs at one service beyond one for each send of the request.
    fn extra(&self, samples: &[Sample]) -> u32 {
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

    /// Returns whether a whole answer is one that a target gave for this request.
    fn answered(&self, sample: &Sample) -> bool {
        if !sample.is_good() {
            return true;
        }
        let Ok(body) = &sample.result else {
            return true;
        };
        let text = String::from_utf8_lossy(body);
        let named = text.split(' ').any(|word| word == sample.operation);
        named && self.answers.contains(text.as_ref())
    }
}

/// Returns the time from the end of the surge after which nearly all requests are answered.
fn recovery(samples: &[Sample]) -> Option<Duration> {
    let end = NORMAL + SURGE;
    let buckets = (RECOVERY.as_millis() / BUCKET.as_millis()) as usize;
    let recovered = |bucket: usize| {
        let begin = end + BUCKET * bucket as u32;
        let inside = |s: &&Sample| s.offered >= begin && s.offered < begin + BUCKET;
        let offered = samples.iter().filter(inside).count();
        let good = samples
            .iter()
            .filter(inside)
            .filter(|s| s.is_good())
            .count();
        good * 100 >= offered * RECOVERED_PERCENT
    };
    let last_bad = (0..buckets).rev().find(|bucket| !recovered(*bucket));
    match last_bad {
        None => Some(Duration::ZERO),
        Some(bucket) if bucket + 1 < buckets => Some(BUCKET * (bucket as u32 + 1)),
        Some(_) => None,
    }
}

fn write_findings<O>(findings: &Findings, out: &mut O) -> io::Result<()>
where
    O: Write,
{
    writeln!(
        out,
        "\n{:<9} {:<9} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "phase", "priority", "offered", "whole", "not run", "unknown", "p99"
    )?;
    for (phase, priority, row) in &findings.rows {
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
    let recovery = findings
        .recovery
        .map_or("not within the run".to_owned(), |time| {
            format!("{} ms after the surge", time.as_millis())
        });
    writeln!(
        out,
        "\nextra runs of one request at one service, at most: {}",
        findings.extra_runs
    )?;
    writeln!(
        out,
        "charges that ran twice:       {}",
        findings.charges_twice
    )?;
    writeln!(
        out,
        "charges without whole answer: {}",
        findings.charges_failed
    )?;
    writeln!(
        out,
        "told not run, but run:        {}",
        findings.false_not_run
    )?;
    writeln!(
        out,
        "answers of another request:   {}",
        findings.foreign_answers
    )?;
    writeln!(out, "recovered:                    {recovery}")?;
    let verdict = if findings.held() {
        "the promises held"
    } else {
        "A PROMISE WAS BROKEN"
    };
    writeln!(out, "{verdict}")
}
