//! Which calls the runs of a route make.
//!
//! Nothing on a call names the run that made it. Each call is shared out among the runs in
//! progress, in proportion to how many calls a run of each route is believed to make, and the
//! beliefs are the shares summed up. Moments at which few routes run tell them apart.

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

/// Belief about a route of which nothing is known, in calls a run.
const FIRST_BELIEF: f64 = 0.5;

/// Runs for which the first belief counts.
const FIRST_WEIGHT: f64 = 2.0;

/// Calls a run of each route of the own target, by the route of the call.
#[derive(Debug, Default)]
pub struct Fanout {
    parents: HashMap<Arc<str>, Parent>,
    halved: Time,
}

#[derive(Debug, Default)]
struct Parent {
    running: u32,
    runs: f64,
    calls: HashMap<Arc<str>, f64>,
}

impl Parent {
    fn per_run(&self, child: &str) -> f64 {
        let calls = self.calls.get(child).copied().unwrap_or_default();
        (calls + FIRST_BELIEF * FIRST_WEIGHT) / (self.runs + FIRST_WEIGHT)
    }
}

impl Fanout {
    /// Notes that a run of `route` began at the own target.
    pub fn began(&mut self, route: &Arc<str>) {
        let parent = self.parents.entry(route.clone()).or_default();
        parent.running += 1;
        parent.runs += 1.0;
    }

    /// Notes that a run of `route` ended.
    pub fn ended(&mut self, route: &str) {
        if let Some(parent) = self.parents.get_mut(route) {
            parent.running = parent.running.saturating_sub(1);
        }
    }

    /// Shares out a call of the own target on `child` among the runs in progress.
    pub fn called(&mut self, child: &Arc<str>, now: Time) {
        self.age(now);
        let weight = |p: &Parent| f64::from(p.running) * p.per_run(child);
        let total: f64 = self.parents.values().map(weight).sum();
        if total <= 0.0 {
            return;
        }
        for parent in self.parents.values_mut() {
            let share = f64::from(parent.running) * parent.per_run(child) / total;
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
        let made = parent
            .calls
            .iter()
            .filter(|(_, calls)| **calls / parent.runs >= MIN_CALLS);
        made.map(|(child, _)| child.clone()).collect()
    }

    /// Returns the calls on `child` that a run of `route` is believed to make.
    pub fn calls_per_run(&self, route: &str, child: &str) -> f64 {
        let Some(parent) = self.parents.get(route) else {
            return 0.0;
        };
        parent.calls.get(child).copied().unwrap_or_default() / parent.runs.max(1.0)
    }

    fn age(&mut self, now: Time) {
        if now.since(self.halved) < HALF_LIFE {
            return;
        }
        self.halved = now;
        for parent in self.parents.values_mut() {
            parent.runs /= 2.0;
            parent.calls.values_mut().for_each(|calls| *calls /= 2.0);
        }
        self.parents.retain(|_, p| p.running > 0 || p.runs > 0.1);
    }
}
