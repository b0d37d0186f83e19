//! Which calls the runs of a route make.
//!
//! Nothing on a call names the run that made it. Each call is shared out among the runs in
//! progress, in proportion to how often a run of each route is believed to call, and the beliefs
//! are the shares summed up. Moments at which few routes run tell them apart.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;

/// Time after which what was counted weighs half.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Runs that a route needs before it is said to make calls.
const MIN_RUNS: f64 = 4.0;

/// Calls a run below which a route is said to make none.
const MIN_CALLS: f64 = 0.3;

/// Share of the highest rate of calls among all routes below which a route is said to make none:
/// its runs were merely in progress while those of another called.
const MIN_RATE_SHARE: f64 = 0.2;

/// Calls that a run makes in a second, as long as nothing is known of its route.
const FIRST_BELIEF: f64 = 5.0;

/// Seconds of runs for which the first belief counts.
const FIRST_WEIGHT_S: f64 = 0.05;

/// Calls a run of each route of the own target, by the route of the call.
#[derive(Debug, Default)]
pub struct FanoutEstimator {
    parents: HashMap<Arc<str>, Parent>,
    counted: Time,
    halved: Time,
}

#[derive(Debug, Default)]
struct Parent {
    running: u32,
    runs: f64,
    /// Seconds of all runs, those in progress included.
    run_s: f64,
    calls: HashMap<Arc<str>, f64>,
}

impl Parent {
    /// Calls on `child` that one run makes in a second.
    fn rate(&self, child: &str) -> f64 {
        let calls = self.calls.get(child).copied().unwrap_or_default();
        (calls + FIRST_BELIEF * FIRST_WEIGHT_S) / (self.run_s + FIRST_WEIGHT_S)
    }
}

impl FanoutEstimator {
    /// Notes that a run of `route` began at the own target.
    pub fn run_started(&mut self, route: &Arc<str>, now: Time) {
        self.pass(now);
        let parent = self.parents.entry(route.clone()).or_default();
        parent.running += 1;
        parent.runs += 1.0;
    }

    /// Notes that a run of `route` ended.
    pub fn run_ended(&mut self, route: &str, now: Time) {
        self.pass(now);
        if let Some(parent) = self.parents.get_mut(route) {
            parent.running = parent.running.saturating_sub(1);
        }
    }

    /// Shares out a call of the own target on `child` among the runs in progress.
    pub fn call_sent(&mut self, child: &Arc<str>, now: Time) {
        self.pass(now);
        let weight = |p: &Parent| f64::from(p.running) * p.rate(child);
        let total: f64 = self.parents.values().map(weight).sum();
        if total <= 0.0 {
            return;
        }
        for parent in self.parents.values_mut() {
            let share = weight(parent) / total;
            if share > 0.0 {
                *parent.calls.entry(child.clone()).or_default() += share;
            }
        }
    }

    /// Returns the routes that a run of `route` calls.
    pub fn children(&self, route: &str) -> Vec<Arc<str>> {
        let Some(parent) = self.parents.get(route) else {
            return Vec::new();
        };
        if parent.runs < MIN_RUNS {
            return Vec::new();
        }
        let made = parent.calls.iter().filter(|(child, calls)| {
            let likely = parent.rate(child) >= self.highest_rate(child) * MIN_RATE_SHARE;
            likely && **calls / parent.runs >= MIN_CALLS
        });
        made.map(|(child, _)| child.clone()).collect()
    }

    fn highest_rate(&self, child: &str) -> f64 {
        let rates = self.parents.values().map(|parent| parent.rate(child));
        rates.fold(0.0, f64::max)
    }

    /// Returns the mean time of a run of `route`, zero if none was seen.
    pub fn run_time(&self, route: &str) -> Duration {
        let parent = self.parents.get(route);
        parent.map_or(Duration::ZERO, |p| {
            Duration::from_secs_f64(p.run_s / p.runs.max(1.0))
        })
    }

    /// Returns the calls on `child` that a run of `route` is believed to make.
    pub fn calls_per_run(&self, route: &str, child: &str) -> f64 {
        let Some(parent) = self.parents.get(route) else {
            return 0.0;
        };
        parent.calls.get(child).copied().unwrap_or_default() / parent.runs.max(1.0)
    }

    /// Counts the time that the runs in progress have lasted since the last event.
    fn pass(&mut self, now: Time) {
        let passed = now.since(self.counted).as_secs_f64();
        self.counted = now;
        for parent in self.parents.values_mut() {
            parent.run_s += passed * f64::from(parent.running);
        }
        self.age(now);
    }

    fn age(&mut self, now: Time) {
        if now.since(self.halved) < HALF_LIFE {
            return;
        }
        self.halved = now;
        for parent in self.parents.values_mut() {
            parent.runs /= 2.0;
            parent.run_s /= 2.0;
            parent.calls.values_mut().for_each(|calls| *calls /= 2.0);
        }
        self.parents.retain(|_, p| p.running > 0 || p.runs > 0.1);
    }
}
