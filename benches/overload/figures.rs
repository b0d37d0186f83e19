//! The figures of a run.

use dragonflylead::Time;

use crate::scenario::BUCKET_MS;
use crate::scenario::CAUSE;
use crate::scenario::END;
use crate::scenario::SERVICE_MS;
use crate::scenario::Scenario;
use crate::scenario::between;
use crate::sim::Request;
use crate::sim::Sim;

pub(crate) struct Figures {
    pub(crate) goodput: f64,
    pub(crate) charges: f64,
    pub(crate) normal: f64,
    pub(crate) low: f64,
    pub(crate) wasted: f64,
    pub(crate) recovery_s: f64,
    pub(crate) sends: f64,
}

pub(crate) fn success<'a, I>(requests: I) -> f64
where
    I: Iterator<Item = &'a Request>,
{
    let (mut all, mut completed) = (0.0, 0.0);
    for request in requests {
        all += 1.0;
        completed += f64::from(u8::from(request.completed.is_some()));
    }
    match all == 0.0 {
        true => 1.0,
        false => completed / all,
    }
}

/// Time from the end of the cause until a second of arrivals succeeds as well as before it.
pub(crate) fn recovery(requests: &[Request]) -> f64 {
    let before = success(requests.iter().filter(|r| r.arrived < CAUSE.0));
    let from = CAUSE.1.micros() / 1_000;
    let to = END.micros() / 1_000 - 1_000;
    let start = (from..to).step_by(BUCKET_MS as usize).find(|start| {
        let span = (Time::from_millis(*start), Time::from_millis(*start + 1_000));
        success(requests.iter().filter(|r| between(r.arrived, span))) >= before * 0.99
    });
    start.map_or(f64::INFINITY, |start| (start - from) as f64 / 1e3)
}

pub(crate) fn figures(scenario: Scenario, sim: &Sim) -> Figures {
    let requests = &sim.requests;
    let capacity_ms = f64::from(scenario.servers) / (SERVICE_MS * scenario.service);
    let capacity = capacity_ms * CAUSE.1.since(CAUSE.0).as_millis() as f64;
    let during = || requests.iter().filter(|r| between(r.arrived, CAUSE));
    let completed = requests
        .iter()
        .filter(|r| r.completed.is_some_and(|at| between(at, CAUSE)));
    let slot_time = sim.useful + sim.wasted;
    Figures {
        goodput: completed.count() as f64 / capacity,
        charges: success(during().filter(|r| r.charge)),
        normal: success(during().filter(|r| !r.charge && r.normal)),
        low: success(during().filter(|r| !r.charge && !r.normal)),
        wasted: sim.wasted.as_secs_f64() / slot_time.as_secs_f64(),
        recovery_s: recovery(requests),
        sends: during().map(|r| f64::from(r.sends)).sum::<f64>() / during().count() as f64,
    }
}

pub(crate) fn mean(all: &[Figures], value: fn(&Figures) -> f64) -> f64 {
    all.iter().map(value).sum::<f64>() / all.len() as f64
}
