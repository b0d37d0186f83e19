//! Results of a simulated run.

use dragonflylead::Time;

use crate::scenario::END;
use crate::scenario::FAULT;
use crate::scenario::RECOVERY_STEP_MS;
use crate::scenario::SERVICE_MS;
use crate::scenario::Scenario;
use crate::scenario::is_within;
use crate::sim::Request;
use crate::sim::Sim;

/// Results of one run. Shares and success ratios are from 0 to 1.
pub(crate) struct Results {
    /// Requests completed during the fault, as a share of the capacity of the servers then.
    pub(crate) goodput: f64,
    /// Success ratio of the charges that arrived during the fault.
    pub(crate) charge_success: f64,
    /// Success ratio of the lookups of normal priority that arrived during the fault.
    pub(crate) normal_success: f64,
    /// Success ratio of the lookups of low priority that arrived during the fault.
    pub(crate) low_success: f64,
    /// Share of the slot time that was spent on runs that were cancelled.
    pub(crate) wasted_share: f64,
    /// Time from the end of the fault to recovery, in seconds; infinite without recovery.
    pub(crate) recovery_s: f64,
    /// Average number of sends of the requests that arrived during the fault.
    pub(crate) sends_per_request: f64,
}

/// Returns the share of requests that completed, 1 without requests.
pub(crate) fn success_ratio<'a, I>(requests: I) -> f64
where
    I: Iterator<Item = &'a Request>,
{
    let (mut total, mut completed) = (0.0, 0.0);
    for request in requests {
        total += 1.0;
        completed += f64::from(u8::from(request.completed.is_some()));
    }
    match total == 0.0 {
        true => 1.0,
        false => completed / total,
    }
}

/// Returns the seconds from the end of the fault to the first second of arrivals whose success
/// ratio is at least 99% of that before the fault.
pub(crate) fn recovery_s(requests: &[Request]) -> f64 {
    let before = success_ratio(requests.iter().filter(|r| r.arrived < FAULT.0));
    let from = FAULT.1.micros() / 1_000;
    let to = END.micros() / 1_000 - 1_000;
    let start = (from..to).step_by(RECOVERY_STEP_MS as usize).find(|start| {
        let window = (Time::from_millis(*start), Time::from_millis(*start + 1_000));
        success_ratio(requests.iter().filter(|r| is_within(r.arrived, window))) >= before * 0.99
    });
    start.map_or(f64::INFINITY, |start| (start - from) as f64 / 1e3)
}

/// Computes the results of a run.
pub(crate) fn summarize(scenario: Scenario, sim: &Sim) -> Results {
    let requests = &sim.requests;
    let capacity_ms = f64::from(scenario.servers) / (SERVICE_MS * scenario.service_time_factor);
    let capacity = capacity_ms * FAULT.1.since(FAULT.0).as_millis() as f64;
    let during = || requests.iter().filter(|r| is_within(r.arrived, FAULT));
    let completed = requests
        .iter()
        .filter(|r| r.completed.is_some_and(|at| is_within(at, FAULT)));
    let slot_time = sim.useful + sim.wasted;
    Results {
        goodput: completed.count() as f64 / capacity,
        charge_success: success_ratio(during().filter(|r| r.is_charge)),
        normal_success: success_ratio(during().filter(|r| !r.is_charge && r.is_normal)),
        low_success: success_ratio(during().filter(|r| !r.is_charge && !r.is_normal)),
        wasted_share: sim.wasted.as_secs_f64() / slot_time.as_secs_f64(),
        recovery_s: recovery_s(requests),
        sends_per_request: during().map(|r| f64::from(r.sends)).sum::<f64>()
            / during().count() as f64,
    }
}

/// Returns the mean of one value over the runs of all seeds.
pub(crate) fn mean(runs: &[Results], value: fn(&Results) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / runs.len() as f64
}
