//! Outlier ejection and slow start of instances.
//!
//! An instance that fails several calls in a row is ejected for a while. When the time is over a
//! single idempotent call probes it: a success admits it again, with a ramp, and a failure ejects
//! it for twice as long. Of one service at most a stated share is ejected at any time.

use std::time::Duration;

use crate::clock::Time;

/// Span without an ejection after which earlier ones do not count any more.
pub const BACKOFF_RESET: Duration = Duration::from_secs(300);

/// Settings of outlier ejection and slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionConfig {
    /// Whether instances are ejected.
    pub enabled: bool,
    /// Failures in a row that eject an instance.
    pub consecutive_failures: u32,
    /// Share of failed calls that ejects an instance, from 0 to 1.
    pub failure_share: f64,
    /// Largest share of a service's instances that may be ejected, from 0 to 1.
    pub max_ejected_share: f64,
    /// Span of a first ejection.
    pub base_span: Duration,
    /// Longest span of an ejection.
    pub max_span: Duration,
    /// Span over which a cold instance ramps up, zero for no slow start.
    pub slow_start: Duration,
    /// Share of the usual calls at the beginning of the ramp, from 0 to 1.
    pub slow_start_floor: f64,
}

impl Default for EjectionConfig {
    fn default() -> EjectionConfig {
        EjectionConfig {
            enabled: true,
            consecutive_failures: 5,
            failure_share: 0.8,
            max_ejected_share: 0.5,
            base_span: Duration::from_secs(1),
            max_span: Duration::from_secs(2),
            slow_start: Duration::from_secs(2),
            slow_start_floor: 0.1,
        }
    }
}

/// Whether an instance may be given a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// As any other.
    Available,
    /// A single call, to see whether it works again.
    Probe,
    /// Not now.
    Unavailable,
}

/// Observed health of one instance.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    probing: bool,
    cold_since: Option<Time>,
}

impl Health {
    /// Builds the health of an instance that is known to be warm.
    pub fn warm() -> Health {
        Health::default()
    }

    /// Builds the health of an instance that started at `now`.
    pub fn cold(now: Time) -> Health {
        Health {
            cold_since: Some(now),
            ..Health::default()
        }
    }

    /// Returns whether the instance is ejected and was not admitted again.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the instance may be given a call.
    pub fn availability(&self, idempotent: bool, now: Time) -> Availability {
        match self.ejected_until {
            None => Availability::Available,
            Some(until) if now < until || self.probing || !idempotent => Availability::Unavailable,
            Some(_) => Availability::Probe,
        }
    }

    /// Notes that a call is sent.
    pub fn attempt_sent(&mut self) {
        self.probing = self.is_ejected();
    }

    /// Notes that a call ended without telling anything about the instance.
    pub fn attempt_inconclusive(&mut self) {
        self.probing = false;
    }

    /// Notes that the instance answered as it should.
    pub fn attempt_succeeded(&mut self, now: Time) {
        self.consecutive_failures = 0;
        if !self.probing {
            return;
        }
        self.probing = false;
        self.ejected_until = None;
        self.cold_since = Some(now);
    }

    /// Notes a failure and returns whether the instance ought to be ejected.
    ///
    /// `share` is the share of failed calls of late.
    pub fn attempt_failed(&mut self, share: f64, cfg: &EjectionConfig) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let probed = std::mem::take(&mut self.probing);
        if !cfg.enabled {
            return false;
        }
        if self.is_ejected() {
            return probed;
        }
        self.consecutive_failures >= cfg.consecutive_failures || share >= cfg.failure_share
    }

    /// Ejects the instance. `jitter` from 0 to 1 spreads the probes of several nodes.
    pub fn eject(&mut self, jitter: f64, now: Time, cfg: &EjectionConfig) {
        let backoff_expired = self
            .ejected_until
            .or(self.cold_since)
            .is_none_or(|t| now.since(t) >= BACKOFF_RESET);
        if backoff_expired {
            self.ejections = 0;
        }
        let doubled = cfg.base_span * 2_u32.saturating_pow(self.ejections.min(16));
        let span = doubled.min(cfg.max_span).mul_f64(0.75 + 0.5 * jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now.plus(span));
        self.consecutive_failures = 0;
    }

    /// Admits the instance again before a probe, since too many others are ejected.
    pub fn readmit(&mut self) {
        self.ejected_until = None;
        self.probing = false;
    }

    /// Returns the end of the ejection.
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns the share of the usual calls that the instance gets, 1 when it is warm.
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

/// Returns how many of `instances` may be ejected at once.
pub fn max_ejected(instances: usize, cfg: &EjectionConfig) -> usize {
    (instances as f64 * cfg.max_ejected_share).floor() as usize
}
