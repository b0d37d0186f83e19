//! Estimated cost of sending a call to an instance, based on observed load, latency and failures.

use std::time::Duration;

use crate::clock::Time;

/// Weight of the newest sample in the moving averages of latency and failure share.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of a reported load.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Time for which a reported time of a run is used.
const RUN_TIME_TTL: Duration = Duration::from_millis(1_500);

/// Half-life of the failure share while no call is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Time for which reported health is taken into account.
const REPORTED_HEALTH_TTL: Duration = Duration::from_secs(30);

/// Minimum load assumed of an instance that refused a call because it is overloaded. A load of 1
/// means that all slots are taken.
const REFUSED_LOAD: f64 = 1.5;

/// Load at which an instance counts as busy, so that calls go to more distant instances.
const BUSY_LOAD: f64 = 0.9;

/// Relative increase of the cost at a load of 1.
const LOAD_FACTOR: f64 = 2.0;

/// Relative increase of the cost at a failure share of 1.
const FAILURE_FACTOR: f64 = 20.0;

/// Multiplier of the cost of an instance that is reported unhealthy.
const REPORTED_UNHEALTHY_FACTOR: f64 = 4.0;

/// Latency in microseconds assumed of an instance before any response of its service.
const DEFAULT_LATENCY_US: f64 = 10_000.0;

/// Selects the observations that the cost is computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScoreConfig {
    /// Number of this node's attempts in flight.
    pub in_flight: bool,
    /// Load reported in responses.
    pub load: bool,
    /// Latency of responses.
    pub latency: bool,
    /// Share of failed attempts. If off, a failure counts as a response with the same latency.
    pub failures: bool,
    /// Health reported by other sources.
    pub reported_health: bool,
}

impl Default for ScoreConfig {
    fn default() -> ScoreConfig {
        ScoreConfig {
            in_flight: true,
            load: true,
            latency: true,
            failures: true,
            reported_health: true,
        }
    }
}

/// A value that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingValue {
    value: f64,
    updated_at: Time,
}

impl DecayingValue {
    fn value_at(&self, now: Time, half_life: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-age).exp2()
    }
}

/// Observations of one instance, and the cost that follows from them.
#[derive(Clone, Debug, Default)]
pub struct Score {
    in_flight: u32,
    latency_us: Option<f64>,
    /// Last reported time of a run in microseconds, and when it was reported.
    run_time: Option<(f64, Time)>,
    load: DecayingValue,
    failures: DecayingValue,
    last_success: Option<Time>,
    reported_unhealthy: Option<Time>,
}

impl Score {
    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the moving average of the latency in microseconds, or `None` before the first
    /// sample.
    pub fn latency_us(&self) -> Option<f64> {
        self.latency_us
    }

    /// Returns the last reported load, decayed with its age.
    pub fn load(&self, now: Time) -> f64 {
        self.load.value_at(now, LOAD_HALF_LIFE)
    }

    /// Returns the moving average of the share of failed attempts, from 0 to 1, decayed with its
    /// age.
    pub fn failure_share(&self, now: Time) -> f64 {
        self.failures.value_at(now, FAILURE_HALF_LIFE)
    }

    /// Returns whether the instance reported that nearly all of its slots are taken.
    pub fn is_busy(&self, now: Time, cfg: &ScoreConfig) -> bool {
        cfg.load && self.load(now) >= BUSY_LOAD
    }

    /// Records that an attempt was sent.
    pub fn record_attempt_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt ended, with any outcome.
    pub fn record_attempt_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Resets all observations except the number of attempts in flight.
    pub fn reset_observations(&mut self) {
        *self = Score {
            in_flight: self.in_flight,
            ..Score::default()
        };
    }

    /// Records a load reported in a response. A load that is not finite counts as 0.
    pub fn record_load(&mut self, load: f64, now: Time) {
        let value = if load.is_finite() { load.max(0.0) } else { 0.0 };
        self.load = DecayingValue {
            value,
            updated_at: now,
        };
    }

    /// Records the time of a run that the node beside the target expects.
    pub fn record_run_time(&mut self, time: Duration, now: Time) {
        self.run_time = Some((time.as_micros() as f64, now));
    }

    /// Returns the expected time of a request, if there was any report or response.
    pub fn expected_time(&self, now: Time) -> Option<Duration> {
        let time = self.reported_run_time(now).or(self.latency_us)?;
        Some(Duration::from_micros(time as u64))
    }

    /// Returns the last reported time of a run in microseconds, while it is recent.
    fn reported_run_time(&self, now: Time) -> Option<f64> {
        let (time, at) = self.run_time?;
        (now.since(at) < RUN_TIME_TTL).then_some(time)
    }

    /// Records that the instance refused a call because it is overloaded or draining.
    pub fn record_refusal(&mut self, now: Time) {
        let value = REFUSED_LOAD.max(self.load(now));
        self.load = DecayingValue {
            value,
            updated_at: now,
        };
    }

    /// Records a successful attempt that took `latency`.
    pub fn record_success(&mut self, latency: Duration, now: Time) {
        self.last_success = Some(now);
        self.add_latency_sample(latency.as_micros() as f64);
        self.add_failure_sample(0.0, now);
    }

    /// Records a failed attempt that took `latency`. It does not lower the average latency, unless
    /// failures are left out of the cost.
    pub fn record_failure(&mut self, latency: Duration, now: Time, cfg: &ScoreConfig) {
        let sample = latency.as_micros() as f64;
        if !cfg.failures {
            self.add_latency_sample(sample);
            return;
        }
        if self.latency_us.is_some_and(|average| sample > average) {
            self.add_latency_sample(sample);
        }
        self.add_failure_sample(1.0, now);
    }

    /// Records health reported by another source.
    pub fn record_reported_health(&mut self, healthy: bool, now: Time) {
        self.reported_unhealthy = (!healthy).then_some(now);
    }

    /// Returns the cost of one more call: the latency in microseconds, multiplied by factors for
    /// calls in flight, load, failures and reported health.
    ///
    /// `default_latency_us` is the latency assumed of an instance without latency samples.
    pub fn cost(&self, default_latency_us: Option<f64>, now: Time, cfg: &ScoreConfig) -> f64 {
        let mut cost = 1.0;
        if cfg.latency {
            cost *= self
                .reported_run_time(now)
                .or(self.latency_us)
                .or(default_latency_us)
                .unwrap_or(DEFAULT_LATENCY_US);
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
        if cfg.reported_health && self.is_reported_unhealthy(now) {
            cost *= REPORTED_UNHEALTHY_FACTOR;
        }
        cost
    }

    /// Returns whether the instance was recently reported unhealthy and no attempt has succeeded
    /// since.
    fn is_reported_unhealthy(&self, now: Time) -> bool {
        let Some(reported) = self.reported_unhealthy else {
            return false;
        };
        let overridden = self.last_success.is_some_and(|success| success >= reported);
        !overridden && now.since(reported) < REPORTED_HEALTH_TTL
    }

    fn add_latency_sample(&mut self, sample: f64) {
        let average = self.latency_us.unwrap_or(sample);
        self.latency_us = Some((average + SAMPLE_WEIGHT * (sample - average)).max(1.0));
    }

    fn add_failure_sample(&mut self, sample: f64, now: Time) {
        let average = self.failure_share(now);
        let value = average + SAMPLE_WEIGHT * (sample - average);
        self.failures = DecayingValue {
            value,
            updated_at: now,
        };
    }
}
