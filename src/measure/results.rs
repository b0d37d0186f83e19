//! Results of a measured run, computed from the samples of the callers and the runs at the targets.

use std::collections::HashMap;
use std::time::Duration;

use crate::measure::fleet::BOTTLENECK;
use crate::measure::fleet::Scenario;
use crate::measure::fleet::ServiceRun;
use crate::measure::load::FAULT_TIME;
use crate::measure::load::RequestKind;
use crate::measure::load::STEADY_TIME;
use crate::measure::load::Sample;
use crate::measure::load::operation;

/// Window over which the success ratio is compared to decide whether the fleet has recovered.
const RECOVERY_WINDOW: Duration = Duration::from_secs(1);

/// Distance between the starts of two such windows.
const RECOVERY_STEP: Duration = Duration::from_millis(100);

/// Share of the success ratio before the fault that counts as recovered.
const RECOVERED_RATIO: f64 = 0.99;

/// Results of one run. Shares and success ratios are from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Requests completed during the fault, as a share of the capacity of the bottleneck then.
    pub goodput: f64,
    /// Success ratio of the charges first sent during the fault.
    pub charge_success: f64,
    /// Success ratio of the lookups first sent during the fault.
    pub lookup_success: f64,
    /// Success ratio of the pages first sent during the fault.
    pub page_success: f64,
    /// Share of the slot time that was spent on runs that did not contribute to a completed
    /// request.
    pub wasted_share: f64,
    /// Time from the end of the fault until the success ratio is that of before; `None` if it is
    /// not reached.
    pub recovery_time: Option<Duration>,
    /// Average number of sends of a request first sent during the fault.
    pub sends_per_request: f64,
    /// Maximum number of runs at the bottleneck for one send of a request.
    pub max_runs: usize,
    /// Number of charges that ran more than once at the bottleneck, over all of their sends.
    pub charged_twice: usize,
}

/// Computes the results of a run.
pub fn summarize(scenario: Scenario, samples: &[Sample], runs: &[ServiceRun]) -> Results {
    let fault = STEADY_TIME..STEADY_TIME + FAULT_TIME;
    let during: Vec<&Sample> = samples.iter().filter(|s| fault.contains(&s.sent)).collect();
    let completed = samples
        .iter()
        .filter(|s| s.completed && fault.contains(&s.ended));
    let success_of = |kind| success_ratio(during.iter().copied().filter(|s| s.kind == kind));
    let sends: u32 = during.iter().map(|s| s.sends).sum();
    let at_bottleneck = runs_at_bottleneck(runs);
    Results {
        goodput: completed.count() as f64 / (scenario.capacity() * FAULT_TIME.as_secs_f64()),
        charge_success: success_of(RequestKind::Charge),
        lookup_success: success_of(RequestKind::Lookup),
        page_success: success_of(RequestKind::Page),
        wasted_share: wasted_share(scenario, samples, runs),
        recovery_time: recovery_time(samples),
        sends_per_request: f64::from(sends) / during.len().max(1) as f64,
        max_runs: at_bottleneck.values().copied().max().unwrap_or(0),
        charged_twice: charged_twice(samples, &at_bottleneck),
    }
}

/// Returns the share of samples that completed, 1 without samples.
fn success_ratio<'a, I>(samples: I) -> f64
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

/// Returns the time from the end of the fault to the first window whose success ratio reaches
/// [`RECOVERED_RATIO`] of that before the fault.
fn recovery_time(samples: &[Sample]) -> Option<Duration> {
    let before = success_ratio(samples.iter().filter(|s| s.sent < STEADY_TIME));
    let end = STEADY_TIME + FAULT_TIME;
    let last = samples.last()?.sent;
    let steps = (0..).map(|i| RECOVERY_STEP * i);
    steps
        .take_while(|after| end + *after + RECOVERY_WINDOW <= last)
        .find(|after| {
            let window = end + *after..end + *after + RECOVERY_WINDOW;
            let within = samples.iter().filter(|s| window.contains(&s.sent));
            success_ratio(within) >= before * RECOVERED_RATIO
        })
}

/// Returns the share of slot time that was wasted. A run is useful if it is the first of its
/// operation at its service and belongs to the last send of a completed request.
fn wasted_share(scenario: Scenario, samples: &[Sample], runs: &[ServiceRun]) -> f64 {
    let by_operation = by_operation(samples);
    let mut seen: HashMap<(&str, &str), ()> = HashMap::new();
    let (mut total, mut wasted) = (0.0, 0.0);
    for run in runs {
        let Some((sample, last)) = by_operation.get(run.operation.as_str()) else {
            continue;
        };
        let in_fault = (STEADY_TIME..STEADY_TIME + FAULT_TIME).contains(&sample.sent);
        let time = scenario.service_time(&run.service, in_fault).as_secs_f64();
        let first = seen.insert((&run.service, &run.operation), ()).is_none();
        let useful = sample.completed && *last && first;
        total += time;
        wasted += if useful { 0.0 } else { time };
    }
    match total == 0.0 {
        true => 0.0,
        false => wasted / total,
    }
}

/// Maps the operation of each send to its request and to whether it was the last send of it.
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

/// Counts the runs of each operation at the bottleneck.
fn runs_at_bottleneck(runs: &[ServiceRun]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for run in runs.iter().filter(|run| run.service == BOTTLENECK) {
        *counts.entry(run.operation.as_str()).or_default() += 1;
    }
    counts
}

/// Counts the charges with more than one run at the bottleneck over all of their sends.
fn charged_twice(samples: &[Sample], at_bottleneck: &HashMap<&str, usize>) -> usize {
    let charges = samples
        .iter()
        .enumerate()
        .filter(|(_, s)| s.kind == RequestKind::Charge);
    charges
        .filter(|(index, s)| {
            let runs = (1..=s.sends).map(|send| operation(*index, send));
            let runs = runs.filter_map(|op| at_bottleneck.get(op.as_str()));
            runs.sum::<usize>() > 1
        })
        .count()
}
