//! Outlier ejection and slow start of instances.
//!
//! An instance that fails several calls in a row is ejected for a while. When the time is over a
//! single idempotent call probes it: a success admits it again, with a ramp, and a failure ejects
//! it for twice as long. Of one service at most a stated share is ejected at any time.

use std::time::Duration;

use crate::clock::Time;

/// Span without an ejection after which earlier ones do not count any more.
pub const FORGET_EJECTIONS: Duration = Duration::from_secs(300);

/// Settings of outlier ejection and slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionConfig {
    /// Whether instances are ejected.
    pub enabled: bool,
    /// Failures in a row that eject an instance.
    pub failures: u32,
    /// Share of failed calls that ejects an instance, from 0 to 1.
    pub failure_share: f64,
    /// Largest share of a service's instances that may be ejected, from 0 to 1.
    pub max_share: f64,
    /// Span of a first ejection.
    pub first: Duration,
    /// Longest span of an ejection.
    pub longest: Duration,
    /// Span over which a cold instance ramps up, zero for no slow start.
    pub ramp: Duration,
    /// Share of the usual calls at the beginning of the ramp, from 0 to 1.
    pub ramp_floor: f64,
}

impl Default for EjectionConfig {
    fn default() -> EjectionConfig {
        EjectionConfig {
            enabled: true,
            failures: 5,
            failure_share: 0.8,
            max_share: 0.5,
            first: Duration::from_secs(1),
            longest: Duration::from_secs(2),
            ramp: Duration::from_secs(2),
            ramp_floor: 0.1,
        }
    }
}

/// Whether an instance may be given a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// As any other.
    Open,
    /// A single call, to see whether it works again.
    Probe,
    /// Not now.
    Closed,
}

/// Observed health of one instance.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
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
    pub fn access(&self, idempotent: bool, now: Time) -> Access {
        match self.ejected_until {
            None => Access::Open,
            Some(until) if now < until || self.probing || !idempotent => Access::Closed,
            Some(_) => Access::Probe,
        }
    }

    /// Notes that a call is sent.
    pub fn sent(&mut self) {
        self.probing = self.is_ejected();
    }

    /// Notes that a call ended without telling anything about the instance.
    pub fn abandoned(&mut self) {
        self.probing = false;
    }

    /// Notes that the instance answered as it should.
    pub fn succeeded(&mut self, now: Time) {
        self.failures = 0;
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
    pub fn failed(&mut self, share: f64, cfg: &EjectionConfig) -> bool {
        self.failures = self.failures.saturating_add(1);
        let probed = std::mem::take(&mut self.probing);
        if !cfg.enabled {
            return false;
        }
        if self.is_ejected() {
            return probed;
        }
        self.failures >= cfg.failures || share >= cfg.failure_share
    }

    /// Ejects the instance. `jitter` from 0 to 1 spreads the probes of several nodes.
    pub fn eject(&mut self, jitter: f64, now: Time, cfg: &EjectionConfig) {
        let long_ago = self
            .ejected_until
            .or(self.cold_since)
            .is_none_or(|t| now.since(t) >= FORGET_EJECTIONS);
        if long_ago {
            self.ejections = 0;
        }
        let doubled = cfg.first * 2_u32.saturating_pow(self.ejections.min(16));
        let span = doubled.min(cfg.longest).mul_f64(0.75 + 0.5 * jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now.plus(span));
        self.failures = 0;
    }

    /// Admits the instance again before a probe, since too many others are ejected.
    pub fn admit(&mut self) {
        self.ejected_until = None;
        self.probing = false;
    }

    /// Returns the end of the ejection.
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns the share of the usual calls that the instance gets, 1 when it is warm.
    pub fn ramp(&self, now: Time, cfg: &EjectionConfig) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        if cfg.ramp.is_zero() {
            return 1.0;
        }
        let done = now.since(since).as_secs_f64() / cfg.ramp.as_secs_f64();
        done.clamp(cfg.ramp_floor, 1.0)
    }
}

/// Returns how many of `instances` may be ejected at once.
pub fn most_ejected(instances: usize, cfg: &EjectionConfig) -> usize {
    (instances as f64 * cfg.max_share).floor() as usize
}
