//! Outlier ejection and slow start of instances.
//!
//! An instance that fails several calls in a row, or too large a share of its calls, is ejected for
//! a limited time. Then a single idempotent call probes it: a success readmits it with a slow
//! start, a failure ejects it for twice as long, up to a maximum. The share of a service's
//! instances that are ejected at the same time is bounded.

use std::time::Duration;

use crate::clock::Time;

/// Time without an ejection after which the backoff starts again at the base duration.
pub const BACKOFF_RESET: Duration = Duration::from_secs(300);

/// Settings of outlier ejection and slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionConfig {
    /// Whether instances are ejected.
    pub enabled: bool,
    /// Number of consecutive failures that eject an instance.
    pub consecutive_failures: u32,
    /// Share of failed calls that ejects an instance, from 0 to 1.
    pub failure_share: f64,
    /// Maximum share of a service's instances that may be ejected at once, from 0 to 1.
    pub max_ejected_share: f64,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub base_duration: Duration,
    /// Maximum duration of an ejection, before jitter.
    pub max_duration: Duration,
    /// Time over which a cold instance ramps up to its full share of calls; zero disables slow
    /// start.
    pub slow_start: Duration,
    /// Share of its full traffic that a cold instance starts with, from 0 to 1.
    pub slow_start_floor: f64,
}

impl Default for EjectionConfig {
    fn default() -> EjectionConfig {
        EjectionConfig {
            enabled: true,
            consecutive_failures: 5,
            failure_share: 0.8,
            max_ejected_share: 0.5,
            base_duration: Duration::from_secs(1),
            max_duration: Duration::from_secs(2),
            slow_start: Duration::from_secs(2),
            slow_start_floor: 0.1,
        }
    }
}

/// Whether an instance may receive a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The instance is not ejected.
    Available,
    /// The ejection is over; a single call probes whether the instance works again.
    Probe,
    /// The instance is ejected, or a probe is in flight.
    Unavailable,
}

/// Ejection and slow-start state of one instance.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    probing: bool,
    cold_since: Option<Time>,
}

impl Health {
    /// Creates the state of an instance that needs no slow start.
    pub fn warm() -> Health {
        Health::default()
    }

    /// Creates the state of an instance whose slow start begins at `now`.
    pub fn cold(now: Time) -> Health {
        Health {
            cold_since: Some(now),
            ..Health::default()
        }
    }

    /// Returns whether the instance is ejected and has not been readmitted.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the instance may receive a call. Only idempotent calls serve as probes.
    pub fn availability(&self, idempotent: bool, now: Time) -> Availability {
        match self.ejected_until {
            None => Availability::Available,
            Some(until) if now < until || self.probing || !idempotent => Availability::Unavailable,
            Some(_) => Availability::Probe,
        }
    }

    /// Records that an attempt was sent. While the instance is ejected, the attempt is its probe.
    pub fn record_attempt_start(&mut self) {
        self.probing = self.is_ejected();
    }

    /// Records the end of an attempt that gives no evidence of the health of the instance.
    pub fn record_inconclusive(&mut self) {
        self.probing = false;
    }

    /// Records a successful attempt. A successful probe readmits the instance.
    pub fn record_success(&mut self, now: Time) {
        self.consecutive_failures = 0;
        if !self.probing {
            return;
        }
        self.probing = false;
        self.ejected_until = None;
        self.cold_since = Some(now);
    }

    /// Ends the slow start: the instance reports its own pace.
    pub fn end_slow_start(&mut self) {
        self.cold_since = None;
    }

    /// Records a failed attempt and returns whether the instance should be ejected.
    ///
    /// `failure_share` is the recent share of failed calls, from 0 to 1.
    pub fn record_failure(&mut self, failure_share: f64, cfg: &EjectionConfig) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let was_probe = std::mem::take(&mut self.probing);
        if !cfg.enabled {
            return false;
        }
        if self.is_ejected() {
            return was_probe;
        }
        self.consecutive_failures >= cfg.consecutive_failures || failure_share >= cfg.failure_share
    }

    /// Ejects the instance. The duration is scaled by 0.75 to 1.25 as `jitter` goes from 0 to 1, so
    /// that several nodes do not probe at the same time.
    pub fn eject(&mut self, jitter: f64, now: Time, cfg: &EjectionConfig) {
        let backoff_expired = self
            .ejected_until
            .or(self.cold_since)
            .is_none_or(|t| now.since(t) >= BACKOFF_RESET);
        if backoff_expired {
            self.ejections = 0;
        }
        let doubled = cfg.base_duration * 2_u32.saturating_pow(self.ejections.min(16));
        let duration = doubled.min(cfg.max_duration).mul_f64(0.75 + 0.5 * jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now.plus(duration));
        self.consecutive_failures = 0;
    }

    /// Readmits the instance without a probe, because too many others are ejected.
    pub fn readmit(&mut self) {
        self.ejected_until = None;
        self.probing = false;
    }

    /// Returns when the ejection ends, or `None` if the instance is not ejected.
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns the share of its full traffic that the instance receives, 1 after its slow start.
    pub fn slow_start_share(&self, now: Time, cfg: &EjectionConfig) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        if cfg.slow_start.is_zero() {
            return 1.0;
        }
        let done = now.since(since).as_secs_f64() / cfg.slow_start.as_secs_f64();
        done.clamp(cfg.slow_start_floor, 1.0)
    }
}

/// Returns how many of `instances` instances may be ejected at once.
pub fn max_ejected(instances: usize, cfg: &EjectionConfig) -> usize {
    (instances as f64 * cfg.max_ejected_share).floor() as usize
}
