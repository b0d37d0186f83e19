//! How much load an instance can take, and what senders know of it.
//!
//! The load that this answers is a surge of roots whose calls end in a small service deep down.
//! A call that is turned away there wastes the whole run above it. So the instance states a gate,
//! the share of its present load that it can take; answers carry it up one hop at a time, and the
//! first node admits roots by it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;

/// Time between two moves of a gate.
pub const GATE_PERIOD: Duration = Duration::from_millis(100);

/// Mean wait for a slot above which the gate closes. Senders place on instances that have room, so
/// that a queue means that the others near by are full too.
const WAIT_TARGET_S: f64 = 0.015;

/// Time in which a queue should be worked off.
const BACKLOG_SPAN_S: f64 = 0.2;

/// Part of the way to the wanted gate that one move closes it.
const CLOSE_GAIN: f64 = 0.3;

/// Part by which one move opens a gate at most.
const OPEN_GAIN: f64 = 0.05;

/// Least gate, so that there is always news.
const LEAST_GATE: f64 = 0.03;

/// Weight of the latest period in the rate of arrivals.
const RATE_WEIGHT: f64 = 0.4;

/// Weight of a new report against what was known.
const REPORT_WEIGHT: f64 = 0.25;

/// Time without a report after which a known gate opens step by step.
const REPORT_KEPT: Duration = Duration::from_millis(600);

/// Share of the load that may enter.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct AdmissionRatio(f64);

impl AdmissionRatio {
    /// Everything enters.
    pub const ALL: AdmissionRatio = AdmissionRatio(1.0);

    /// Nothing enters.
    pub const NONE: AdmissionRatio = AdmissionRatio(0.0);

    /// Returns the stricter of two gates.
    pub fn min(self, other: AdmissionRatio) -> AdmissionRatio {
        AdmissionRatio(self.0.min(other.0))
    }

    /// Returns the share, from 0 to 1.
    pub fn share(self) -> f64 {
        self.0
    }

    /// Returns whether everything enters.
    pub fn admits_all(self) -> bool {
        self.0 >= 1.0
    }

    /// Returns the gate as one byte.
    pub fn to_byte(self) -> u8 {
        (self.0 * 255.0).round() as u8
    }

    /// Returns the gate of a byte.
    pub fn from_byte(byte: u8) -> AdmissionRatio {
        AdmissionRatio(f64::from(byte) / 255.0)
    }
}

/// Slots of an instance at one moment.
#[derive(Clone, Copy, Debug)]
pub struct SlotUsage {
    /// Requests that may run at once.
    pub limit: u32,
    /// Mean time of a run.
    pub run: Duration,
}

/// Moves the gate of one instance by the load that is offered to it.
#[derive(Debug)]
pub struct RatioController {
    gate: f64,
    began: Time,
    arrived: u32,
    queued: u64,
    rate: Option<f64>,
}

impl RatioController {
    /// Builds an open gate.
    pub fn new(now: Time) -> RatioController {
        RatioController {
            gate: 1.0,
            began: now,
            arrived: 0,
            queued: 0,
            rate: None,
        }
    }

    /// Returns the gate.
    pub fn ratio(&self) -> AdmissionRatio {
        AdmissionRatio(self.gate)
    }

    /// Counts a request that was offered while `queued` others waited.
    pub fn record_arrival(&mut self, queued: u32) {
        self.arrived += 1;
        self.queued += u64::from(queued);
    }

    /// Moves the gate if it is time.
    pub fn update(&mut self, slots: SlotUsage, now: Time) {
        let passed = now.since(self.began);
        if passed < GATE_PERIOD {
            return;
        }
        let run = slots.run.as_secs_f64();
        let limit = f64::from(slots.limit.max(1));
        let offered = self.rate(passed) * run / limit;
        let queued = self.queued as f64 / f64::from(self.arrived.max(1));
        let wait_s = queued * run / limit;
        self.began = now;
        self.arrived = 0;
        self.queued = 0;
        let step = match wait_s > WAIT_TARGET_S {
            true => {
                let pressure = offered.max(1.0) * (1.0 + wait_s / BACKLOG_SPAN_S);
                (1.0 / pressure - 1.0) * CLOSE_GAIN
            }
            false => OPEN_GAIN,
        };
        self.gate = (self.gate * (1.0 + step)).clamp(LEAST_GATE, 1.0);
    }

    fn rate(&mut self, passed: Duration) -> f64 {
        let latest = f64::from(self.arrived) / passed.as_secs_f64();
        let known = self.rate.unwrap_or(latest);
        let rate = known + (latest - known) * RATE_WEIGHT;
        self.rate = Some(rate);
        rate
    }
}

/// What an answer says of the way of its route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackpressureReport {
    /// The strictest gate on the way.
    pub ratio: AdmissionRatio,
    /// Slot time that one request takes at that gate, in milliseconds.
    pub cost_ms: f64,
    /// Whether the requests of the route are roots.
    pub is_root: bool,
}

/// The gates that answers have reported, for each route.
#[derive(Debug, Default)]
pub struct DownstreamRatios {
    routes: HashMap<Arc<str>, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    gate: f64,
    cost_ms: f64,
    root: bool,
    reported: Time,
}

impl DownstreamRatios {
    /// Merges what an answer to a request of `route` reported.
    pub fn record_report(&mut self, route: &Arc<str>, report: BackpressureReport, now: Time) {
        let first = Known {
            gate: 1.0,
            cost_ms: report.cost_ms,
            root: report.is_root,
            reported: now,
        };
        let known = self.routes.entry(route.clone()).or_insert(first);
        let gate = known.opened(now);
        known.gate = gate + (report.ratio.0 - gate) * REPORT_WEIGHT;
        known.cost_ms += (report.cost_ms - known.cost_ms) * REPORT_WEIGHT;
        known.root = report.is_root;
        known.reported = now;
    }

    /// Notes that a request of `route` found no instance that would run it.
    pub fn record_rejection(&mut self, route: &str, now: Time) {
        if let Some(known) = self.routes.get_mut(route) {
            let gate = known.opened(now);
            known.gate = gate + (LEAST_GATE - gate).min(0.0) * REPORT_WEIGHT;
            known.reported = now;
        }
    }

    /// Returns whether the requests of a route are roots, as far as is known.
    pub fn is_root(&self, route: &str) -> bool {
        self.routes.get(route).is_some_and(|known| known.root)
    }

    /// Returns the gate of a route. Without news it opens step by step.
    pub fn ratio(&self, route: &str, now: Time) -> AdmissionRatio {
        let known = self.routes.get(route);
        AdmissionRatio(known.map_or(1.0, |known| known.opened(now)))
    }

    /// Returns the slot time that a request of a route takes at its gate, in milliseconds.
    pub fn cost_ms(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(0.0, |known| known.cost_ms)
    }

    /// Forgets routes for which `keep` is false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|name, _| keep(name));
    }
}

impl Known {
    fn opened(&self, now: Time) -> f64 {
        let silent = now.since(self.reported).saturating_sub(REPORT_KEPT);
        let steps = silent.as_secs_f64() / GATE_PERIOD.as_secs_f64();
        let gate = self.gate + steps * OPEN_GAIN;
        // Averages come close to an open gate but do not reach it.
        match gate > 0.99 {
            true => 1.0,
            false => gate,
        }
    }
}
