//! Estimates which routes the requests of each route call, and how often.
//!
//! A sub-call does not identify the request that made it. Each sub-call is therefore attributed to
//! all running requests, in proportion to the estimated call rate of their routes, and the
//! estimates are the sums of these shares. Times at which only a few routes have running requests
//! separate the routes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;

/// Half-life of all counts.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Minimum number of runs of a route before it is considered to make calls.
const MIN_RUNS: f64 = 4.0;

/// Minimum number of calls per run; a route with fewer is considered to make none.
const MIN_CALLS_PER_RUN: f64 = 0.3;

/// Minimum call rate of a route, as a share of the highest rate among all routes. A route with a
/// lower rate is considered to make no calls: its requests were only running while those of another
/// route made calls.
const MIN_RATE_SHARE: f64 = 0.2;

/// Prior estimate of the calls that a run makes per second.
const PRIOR_CALLS_PER_S: f64 = 5.0;

/// Weight of the prior estimate, in seconds of run time.
const PRIOR_WEIGHT_S: f64 = 0.05;

/// Estimates the calls per run for each route of the local target, by called route.
#[derive(Debug, Default)]
pub struct FanoutEstimator {
    parents: HashMap<Arc<str>, Parent>,
    /// Time up to which run time is counted.
    counted_until: Time,
    halved_at: Time,
}

/// Counts of one calling route. All but `running` decay.
#[derive(Debug, Default)]
struct Parent {
    /// Requests running now.
    running: u32,
    /// Requests that started.
    runs: f64,
    /// Total run time in seconds, including requests still running.
    run_s: f64,
    /// Estimated calls, by called route.
    calls: HashMap<Arc<str>, f64>,
}

impl Parent {
    /// Returns the estimated calls on `child` that one run makes per second.
    fn rate(&self, child: &str) -> f64 {
        let calls = self.calls.get(child).copied().unwrap_or_default();
        (calls + PRIOR_CALLS_PER_S * PRIOR_WEIGHT_S) / (self.run_s + PRIOR_WEIGHT_S)
    }
}

impl FanoutEstimator {
    /// Records that the local target started to run a request of `route`.
    pub fn record_run_start(&mut self, route: &Arc<str>, now: Time) {
        self.advance(now);
        let parent = self.parents.entry(route.clone()).or_default();
        parent.running += 1;
        parent.runs += 1.0;
    }

    /// Records that a run of `route` ended.
    pub fn record_run_end(&mut self, route: &str, now: Time) {
        self.advance(now);
        if let Some(parent) = self.parents.get_mut(route) {
            parent.running = parent.running.saturating_sub(1);
        }
    }

    /// Attributes a call of the local target on `child` to the running requests.
    pub fn record_call(&mut self, child: &Arc<str>, now: Time) {
        self.advance(now);
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

    /// Returns the routes that the requests of `route` are estimated to call.
    pub fn children(&self, route: &str) -> Vec<Arc<str>> {
        let Some(parent) = self.parents.get(route) else {
            return Vec::new();
        };
        if parent.runs < MIN_RUNS {
            return Vec::new();
        }
        let made = parent.calls.iter().filter(|(child, calls)| {
            let likely = parent.rate(child) >= self.highest_rate(child) * MIN_RATE_SHARE;
            likely && **calls / parent.runs >= MIN_CALLS_PER_RUN
        });
        made.map(|(child, _)| child.clone()).collect()
    }

    fn highest_rate(&self, child: &str) -> f64 {
        let rates = self.parents.values().map(|parent| parent.rate(child));
        rates.fold(0.0, f64::max)
    }

    /// Returns the mean run time of a request of `route`, or zero if none has run.
    pub fn run_time(&self, route: &str) -> Duration {
        let parent = self.parents.get(route);
        parent.map_or(Duration::ZERO, |p| {
            Duration::from_secs_f64(p.run_s / p.runs.max(1.0))
        })
    }

    /// Returns the estimated number of calls on `child` per run of `route`.
    pub fn calls_per_run(&self, route: &str, child: &str) -> f64 {
        let Some(parent) = self.parents.get(route) else {
            return 0.0;
        };
        parent.calls.get(child).copied().unwrap_or_default() / parent.runs.max(1.0)
    }

    /// Adds the time since the last event to the run time of all running requests.
    fn advance(&mut self, now: Time) {
        let passed = now.since(self.counted_until).as_secs_f64();
        self.counted_until = now;
        for parent in self.parents.values_mut() {
            parent.run_s += passed * f64::from(parent.running);
        }
        self.decay(now);
    }

    /// Halves all counts once per half-life.
    fn decay(&mut self, now: Time) {
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        for parent in self.parents.values_mut() {
            parent.runs /= 2.0;
            parent.run_s /= 2.0;
            parent.calls.values_mut().for_each(|calls| *calls /= 2.0);
        }
        self.parents.retain(|_, p| p.running > 0 || p.runs > 0.1);
    }
}
