//! The figures of a run.

use std::collections::HashMap;
use std::time::Duration;

use crate::measure::load::BEFORE;
use crate::measure::load::CAUSE;
use crate::measure::load::Kind;
use crate::measure::load::Sample;
use crate::measure::load::operation;
use crate::measure::world::BOTTLENECK;
use crate::measure::world::Scenario;
use crate::measure::world::ServiceRun;

/// Span over which success is judged for the time to recover.
const RECOVERY_SPAN: Duration = Duration::from_secs(1);

/// Step between two spans.
const RECOVERY_STEP: Duration = Duration::from_millis(100);

/// Share of the earlier success that counts as recovered.
const RECOVERED: f64 = 0.99;

/// The figures of one run. Shares are between 0 and 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests completed while the cause lasted, as a share of what the bottleneck can do.
    pub goodput: f64,
    /// Charges of that time that succeeded.
    pub charges: f64,
    /// Lookups of that time that succeeded.
    pub lookups: f64,
    /// Pages of that time that succeeded.
    pub pages: f64,
    /// Slot time spent on calls that did not become a part of a completed request.
    pub wasted: f64,
    /// Time from the end of the cause until requests succeed as before, if they do.
    pub recovery: Option<Duration>,
    /// Sends for each request of that time.
    pub sends: f64,
    /// Most runs at the bottleneck for one send of a request.
    pub most_runs: usize,
    /// Charges that ran more than once at the bottleneck for one send.
    pub charged_twice: usize,
}

/// Returns the figures of a run.
pub fn figures(scenario: Scenario, samples: &[Sample], runs: &[ServiceRun]) -> Figures {
    let cause = BEFORE..BEFORE + CAUSE;
    let during: Vec<&Sample> = samples.iter().filter(|s| cause.contains(&s.sent)).collect();
    let completed = samples
        .iter()
        .filter(|s| s.completed && cause.contains(&s.ended));
    let kind = |kind| success(during.iter().copied().filter(|s| s.kind == kind));
    let sends: u32 = during.iter().map(|s| s.sends).sum();
    let at_bottleneck = runs_at_bottleneck(runs);
    Figures {
        goodput: completed.count() as f64 / (scenario.capacity() * CAUSE.as_secs_f64()),
        charges: kind(Kind::Charge),
        lookups: kind(Kind::Lookup),
        pages: kind(Kind::Page),
        wasted: wasted(scenario, samples, runs),
        recovery: recovery(samples),
        sends: f64::from(sends) / during.len().max(1) as f64,
        most_runs: at_bottleneck.values().copied().max().unwrap_or(0),
        charged_twice: charged_twice(samples, &at_bottleneck),
    }
}

fn success<'a, I>(samples: I) -> f64
where
    I: Iterator<Item = &'a Sample>,
{
    let (all, completed) = samples.fold((0, 0), |(all, completed), s| {
        (all + 1, completed + usize::from(s.completed))
    });
    match all {
        0 => 1.0,
        _ => completed as f64 / all as f64,
    }
}

fn recovery(samples: &[Sample]) -> Option<Duration> {
    let before = success(samples.iter().filter(|s| s.sent < BEFORE));
    let end = BEFORE + CAUSE;
    let last = samples.last()?.sent;
    let steps = (0..).map(|i| RECOVERY_STEP * i);
    steps
        .take_while(|after| end + *after + RECOVERY_SPAN <= last)
        .find(|after| {
            let span = end + *after..end + *after + RECOVERY_SPAN;
            let within = samples.iter().filter(|s| span.contains(&s.sent));
            success(within) >= before * RECOVERED
        })
}

fn wasted(scenario: Scenario, samples: &[Sample], runs: &[ServiceRun]) -> f64 {
    let by_operation = by_operation(samples);
    let mut used: HashMap<(&str, &str), ()> = HashMap::new();
    let (mut all, mut lost) = (0.0, 0.0);
    for run in runs {
        let Some((sample, last)) = by_operation.get(run.operation.as_str()) else {
            continue;
        };
        let in_cause = (BEFORE..BEFORE + CAUSE).contains(&sample.sent);
        let time = scenario.service_time(&run.service, in_cause).as_secs_f64();
        let first = used.insert((&run.service, &run.operation), ()).is_none();
        let useful = sample.completed && *last && first;
        all += time;
        lost += if useful { 0.0 } else { time };
    }
    match all == 0.0 {
        true => 0.0,
        false => lost / all,
    }
}

/// Maps each operation to its request, and to whether it was the last send.
fn by_operation(samples: &[Sample]) -> HashMap<String, (&Sample, bool)> {
    let mut operations = HashMap::new();
    for (index, sample) in samples.iter().enumerate() {
        for send in 1..=sample.sends {
            let last = send == sample.sends;
            operations.insert(operation(index, send), (sample, last));
        }
    }
    operations
}

fn runs_at_bottleneck(runs: &[ServiceRun]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for run in runs.iter().filter(|run| run.service == BOTTLENECK) {
        *counts.entry(run.operation.as_str()).or_default() += 1;
    }
    counts
}

fn charged_twice(samples: &[Sample], at_bottleneck: &HashMap<&str, usize>) -> usize {
    let charges = samples
        .iter()
        .enumerate()
        .filter(|(_, s)| s.kind == Kind::Charge);
    charges
        .filter(|(index, s)| {
            let runs = (1..=s.sends).map(|send| operation(*index, send));
            let runs = runs.filter_map(|op| at_bottleneck.get(op.as_str()));
            runs.sum::<usize>() > 1
        })
        .count()
}
