//! Cost of sending a call to an instance, from what was observed of it.

use std::time::Duration;

use crate::clock::Time;

/// Weight of the latest answer in the observed latency and the share of failures.
const WEIGHT: f64 = 0.2;

/// Span in which a reported load halves.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Span in which the share of failures halves when no call is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Span for which reported health counts.
const HINT_SPAN: Duration = Duration::from_secs(30);

/// Load of an instance that refused a call for lack of room.
const REFUSED_LOAD: f64 = 1.5;

/// Load from which calls are sent farther away.
const BUSY_LOAD: f64 = 0.9;

/// Factor of the cost of a load of 1.
const LOAD_FACTOR: f64 = 2.0;

/// Factor of the cost when each call fails.
const FAILURE_FACTOR: f64 = 20.0;

/// Factor of the cost of an instance that is reported unhealthy.
const HINT_FACTOR: f64 = 4.0;

/// Latency in microseconds assumed of an instance while none of its service is known.
const FIRST_LATENCY_US: f64 = 10_000.0;

/// Which observations enter the cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScoreConfig {
    /// Calls of this node that are not answered yet.
    pub in_flight: bool,
    /// Load told in answers.
    pub load: bool,
    /// Latency of answers.
    pub latency: bool,
    /// Failures; without it a failure counts as an answer of its latency.
    pub failures: bool,
    /// Reported health.
    pub hint: bool,
}

impl Default for ScoreConfig {
    fn default() -> ScoreConfig {
        ScoreConfig {
            in_flight: true,
            load: true,
            latency: true,
            failures: true,
            hint: true,
        }
    }
}

/// A number that halves in a fixed span.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    value: f64,
    set: Time,
}

impl Fading {
    fn at(&self, now: Time, half_life: Duration) -> f64 {
        let age = now.since(self.set).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-age).exp2()
    }
}

/// What was observed of one instance.
#[derive(Clone, Debug, Default)]
pub struct Score {
    in_flight: u32,
    latency_us: Option<f64>,
    load: Fading,
    failures: Fading,
    worked: Option<Time>,
    unhealthy: Option<Time>,
}

impl Score {
    /// Returns the calls that are not answered yet.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the observed latency in microseconds.
    pub fn latency_us(&self) -> Option<f64> {
        self.latency_us
    }

    /// Returns the load told last, decayed.
    pub fn load(&self, now: Time) -> f64 {
        self.load.at(now, LOAD_HALF_LIFE)
    }

    /// Returns the share of failed calls, decayed.
    pub fn failure_share(&self, now: Time) -> f64 {
        self.failures.at(now, FAILURE_HALF_LIFE)
    }

    /// Returns whether the instance has no room to speak of.
    pub fn is_busy(&self, now: Time, cfg: &ScoreConfig) -> bool {
        cfg.load && self.load(now) >= BUSY_LOAD
    }

    /// Notes that a call is sent.
    pub fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// Notes that a call ended, in whatever way.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Forgets everything but the calls that are not answered yet.
    pub fn forget(&mut self) {
        *self = Score {
            in_flight: self.in_flight,
            ..Score::default()
        };
    }

    /// Notes a load told in an answer.
    pub fn loaded(&mut self, load: f64, now: Time) {
        let value = if load.is_finite() { load.max(0.0) } else { 0.0 };
        self.load = Fading { value, set: now };
    }

    /// Notes that the instance refused a call for lack of room.
    pub fn refused(&mut self, now: Time) {
        let value = REFUSED_LOAD.max(self.load(now));
        self.load = Fading { value, set: now };
    }

    /// Notes an answer after `latency`.
    pub fn succeeded(&mut self, latency: Duration, now: Time) {
        self.worked = Some(now);
        self.add_latency(latency.as_micros() as f64);
        self.add_failure(0.0, now);
    }

    /// Notes a failure after `latency`. It never makes the instance look faster.
    pub fn failed(&mut self, latency: Duration, now: Time, cfg: &ScoreConfig) {
        let sample = latency.as_micros() as f64;
        if !cfg.failures {
            self.add_latency(sample);
            return;
        }
        if self.latency_us.is_some_and(|known| sample > known) {
            self.add_latency(sample);
        }
        self.add_failure(1.0, now);
    }

    /// Notes reported health.
    pub fn reported(&mut self, healthy: bool, now: Time) {
        self.unhealthy = (!healthy).then_some(now);
    }

    /// Returns the cost of one more call, in microseconds weighted by load and failures.
    ///
    /// `usual_us` is the latency assumed of an instance that was never called.
    pub fn cost(&self, usual_us: Option<f64>, now: Time, cfg: &ScoreConfig) -> f64 {
        let mut cost = 1.0;
        if cfg.latency {
            cost *= self.latency_us.or(usual_us).unwrap_or(FIRST_LATENCY_US);
        }
        if cfg.in_flight {
            cost *= f64::from(self.in_flight) + 1.0;
        }
        if cfg.load {
            cost *= 1.0 + LOAD_FACTOR * self.load(now);
        }
        if cfg.failures {
            cost *= 1.0 + FAILURE_FACTOR * self.failure_share(now);
        }
        if cfg.hint && self.is_suspect(now) {
            cost *= HINT_FACTOR;
        }
        cost
    }

    /// Returns whether reported health speaks against the instance and no call since has worked.
    fn is_suspect(&self, now: Time) -> bool {
        let Some(reported) = self.unhealthy else {
            return false;
        };
        let disproved = self.worked.is_some_and(|worked| worked >= reported);
        !disproved && now.since(reported) < HINT_SPAN
    }

    fn add_latency(&mut self, sample: f64) {
        let known = self.latency_us.unwrap_or(sample);
        self.latency_us = Some((known + WEIGHT * (sample - known)).max(1.0));
    }

    fn add_failure(&mut self, sample: f64, now: Time) {
        let known = self.failure_share(now);
        let value = known + WEIGHT * (sample - known);
        self.failures = Fading { value, set: now };
    }
}
