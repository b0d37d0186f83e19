//! Backpressure: the share of its load that an instance admits, and its propagation to callers.
//!
//! It handles a surge of root requests whose calls end in a small service deep in the call graph. A
//! call rejected there wastes all the work done above it. Therefore each instance computes an
//! admission ratio, the share of the offered load that it can handle. Responses propagate it
//! upstream one hop at a time, and the entry node admits root requests accordingly.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;

/// Time between two updates of an admission ratio.
pub const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// Target of the mean wait for a slot, in seconds; the ratio decreases above it. Callers send to
/// instances with free slots, so a queue means that the instances near it are full too.
const WAIT_TARGET_S: f64 = 0.015;

/// Time in which a queue should drain, in seconds.
const QUEUE_DRAIN_S: f64 = 0.2;

/// Share of the distance to the target ratio that one update covers when the ratio decreases.
const DECREASE_GAIN: f64 = 0.3;

/// Increase of the ratio in one update: relative to the current ratio at the instance itself,
/// absolute for a route without recent reports.
const INCREASE_GAIN: f64 = 0.05;

/// Minimum ratio. Some requests must get through, because their responses report the current ratio.
const MIN_RATIO: f64 = 0.03;

/// Weight of the newest period in the moving average of the arrival rate.
const RATE_WEIGHT: f64 = 0.4;

/// Weight of a new report in the moving averages of a route.
const REPORT_WEIGHT: f64 = 0.25;

/// Time without a report after which the ratio of a route increases step by step.
const REPORT_TTL: Duration = Duration::from_millis(600);

/// Share of the offered load that is admitted, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct AdmissionRatio(f64);

impl AdmissionRatio {
    /// All load is admitted.
    pub const ALL: AdmissionRatio = AdmissionRatio(1.0);

    /// No load is admitted.
    pub const NONE: AdmissionRatio = AdmissionRatio(0.0);

    /// Returns the lower of two ratios.
    pub fn min(self, other: AdmissionRatio) -> AdmissionRatio {
        AdmissionRatio(self.0.min(other.0))
    }

    /// Returns the ratio as a number from 0 to 1.
    pub fn share(self) -> f64 {
        self.0
    }

    /// Returns whether all load is admitted.
    pub fn admits_all(self) -> bool {
        self.0 >= 1.0
    }

    /// Encodes the ratio as one byte, in 255ths.
    pub fn to_byte(self) -> u8 {
        (self.0 * 255.0).round() as u8
    }

    /// Decodes a ratio from one byte.
    pub fn from_byte(byte: u8) -> AdmissionRatio {
        AdmissionRatio(f64::from(byte) / 255.0)
    }
}

/// Slots of an instance and how long requests occupy them.
#[derive(Clone, Copy, Debug)]
pub struct SlotUsage {
    /// Maximum number of requests that run concurrently.
    pub limit: u32,
    /// Mean time that a request occupies a slot.
    pub run_time: Duration,
}

/// Adjusts the admission ratio of one instance to the load that is offered to it.
#[derive(Debug)]
pub struct RatioController {
    ratio: f64,
    period_start: Time,
    arrivals: u32,
    /// Sum of the queue lengths that the arrivals of this period found.
    queued_sum: u64,
    /// Moving average of the arrivals per second.
    rate: Option<f64>,
}

impl RatioController {
    /// Creates a controller that admits all load.
    pub fn new(now: Time) -> RatioController {
        RatioController {
            ratio: 1.0,
            period_start: now,
            arrivals: 0,
            queued_sum: 0,
            rate: None,
        }
    }

    /// Returns the current ratio.
    pub fn ratio(&self) -> AdmissionRatio {
        AdmissionRatio(self.ratio)
    }

    /// Counts a request that arrived while `queued` others were waiting.
    pub fn record_arrival(&mut self, queued: u32) {
        self.arrivals += 1;
        self.queued_sum += u64::from(queued);
    }

    /// Updates the ratio if [`UPDATE_PERIOD`] has passed since the last update.
    pub fn update(&mut self, slots: SlotUsage, now: Time) {
        let passed = now.since(self.period_start);
        if passed < UPDATE_PERIOD {
            return;
        }
        let run_s = slots.run_time.as_secs_f64();
        let limit = f64::from(slots.limit.max(1));
        let utilization = self.update_rate(passed) * run_s / limit;
        let mean_queued = self.queued_sum as f64 / f64::from(self.arrivals.max(1));
        let wait_s = mean_queued * run_s / limit;
        self.period_start = now;
        self.arrivals = 0;
        self.queued_sum = 0;
        let step = match wait_s > WAIT_TARGET_S {
            true => {
                let overload = utilization.max(1.0) * (1.0 + wait_s / QUEUE_DRAIN_S);
                (1.0 / overload - 1.0) * DECREASE_GAIN
            }
            false => INCREASE_GAIN,
        };
        self.ratio = (self.ratio * (1.0 + step)).clamp(MIN_RATIO, 1.0);
    }

    /// Adds the current period to the moving average of the arrival rate and returns it, in
    /// requests per second.
    fn update_rate(&mut self, passed: Duration) -> f64 {
        let latest = f64::from(self.arrivals) / passed.as_secs_f64();
        let average = self.rate.unwrap_or(latest);
        let rate = average + (latest - average) * RATE_WEIGHT;
        self.rate = Some(rate);
        rate
    }
}

/// Backpressure of a route, as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackpressureReport {
    /// Lowest admission ratio on the call path of the route.
    pub ratio: AdmissionRatio,
    /// Slot time that one request takes at the service with that ratio, in milliseconds.
    pub cost_ms: f64,
    /// Whether the requests of the route are roots.
    pub is_root: bool,
}

/// Backpressure by route, as reported in responses.
#[derive(Debug, Default)]
pub struct DownstreamRatios {
    routes: HashMap<Arc<str>, RouteBackpressure>,
}

/// Moving averages of the reports of one route.
#[derive(Clone, Copy, Debug)]
struct RouteBackpressure {
    ratio: f64,
    cost_ms: f64,
    is_root: bool,
    reported_at: Time,
}

impl DownstreamRatios {
    /// Merges the report in a response to a request of `route`.
    pub fn record_report(&mut self, route: &Arc<str>, report: BackpressureReport, now: Time) {
        let first = RouteBackpressure {
            ratio: 1.0,
            cost_ms: report.cost_ms,
            is_root: report.is_root,
            reported_at: now,
        };
        let averages = self.routes.entry(route.clone()).or_insert(first);
        let ratio = averages.ratio_at(now);
        averages.ratio = ratio + (report.ratio.0 - ratio) * REPORT_WEIGHT;
        averages.cost_ms += (report.cost_ms - averages.cost_ms) * REPORT_WEIGHT;
        averages.is_root = report.is_root;
        averages.reported_at = now;
    }

    /// Records that no instance would run a request of `route`, which lowers its ratio.
    pub fn record_rejection(&mut self, route: &str, now: Time) {
        if let Some(averages) = self.routes.get_mut(route) {
            let ratio = averages.ratio_at(now);
            averages.ratio = ratio + (MIN_RATIO - ratio).min(0.0) * REPORT_WEIGHT;
            averages.reported_at = now;
        }
    }

    /// Returns whether the requests of a route were last reported to be root requests.
    pub fn is_root(&self, route: &str) -> bool {
        self.routes
            .get(route)
            .is_some_and(|averages| averages.is_root)
    }

    /// Returns the admission ratio of a route. Without new reports it increases step by step.
    pub fn ratio(&self, route: &str, now: Time) -> AdmissionRatio {
        let averages = self.routes.get(route);
        AdmissionRatio(averages.map_or(1.0, |averages| averages.ratio_at(now)))
    }

    /// Returns the slot time in milliseconds that a request of the route takes at the service with
    /// the lowest admission ratio, or 0 if the route is unknown.
    pub fn cost_ms(&self, route: &str) -> f64 {
        self.routes
            .get(route)
            .map_or(0.0, |averages| averages.cost_ms)
    }

    /// Removes the routes for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|name, _| keep(name));
    }
}

impl RouteBackpressure {
    /// Returns the ratio, increased by the time since the last report.
    fn ratio_at(&self, now: Time) -> f64 {
        let overdue = now.since(self.reported_at).saturating_sub(REPORT_TTL);
        let steps = overdue.as_secs_f64() / UPDATE_PERIOD.as_secs_f64();
        let ratio = self.ratio + steps * INCREASE_GAIN;
        // The moving average approaches 1 but never reaches it.
        match ratio > 0.99 {
            true => 1.0,
            false => ratio,
        }
    }
}
