//! Per-service state of the router: the targets and the latency of their responses.

use std::time::Duration;

use crate::coordination::ejection::EjectionConfig;
use crate::coordination::ejection::max_ejected;
use crate::coordination::target::TargetState;
use crate::instance::InstanceName;

/// Weight of the newest response in the mean latency of a service.
const MEAN_WEIGHT: f64 = 0.05;

/// Weight of the newest response in the mean deviation from the mean latency.
const DEVIATION_WEIGHT: f64 = 0.1;

/// Number of mean deviations between the mean and the tail latency. Nearly all responses arrive
/// within it.
const TAIL_DEVIATIONS: f64 = 4.0;

/// The targets of one service, sorted by name.
#[derive(Debug, Default)]
pub struct TargetGroup {
    /// The targets, sorted by name.
    pub targets: Vec<TargetState>,
    /// Number of round-robin picks so far.
    pub round_robin_count: usize,
    mean_latency_us: Option<f64>,
    mean_deviation_us: f64,
}

impl TargetGroup {
    /// Returns the target with this name.
    pub fn find(&mut self, name: &InstanceName) -> Option<&mut TargetState> {
        let i = self
            .targets
            .binary_search_by(|t| t.instance.name.cmp(name))
            .ok()?;
        Some(&mut self.targets[i])
    }

    /// Returns the mean latency of the service in microseconds, or `None` before its first
    /// response.
    pub fn mean_latency_us(&self) -> Option<f64> {
        self.mean_latency_us
    }

    /// Returns the time within which nearly all responses arrive, at least twice the mean latency,
    /// or `None` before the first response.
    pub fn tail_latency(&self) -> Option<Duration> {
        let mean_latency_us = self.mean_latency_us?;
        let tail_us =
            mean_latency_us + mean_latency_us.max(TAIL_DEVIATIONS * self.mean_deviation_us);
        Some(Duration::from_micros(tail_us as u64))
    }

    /// Adds the latency of a response to the moving averages.
    pub fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let Some(mean) = &mut self.mean_latency_us else {
            self.mean_latency_us = Some(sample);
            self.mean_deviation_us = sample / 2.0;
            return;
        };
        let deviation = sample - *mean;
        *mean += MEAN_WEIGHT * deviation;
        self.mean_deviation_us += DEVIATION_WEIGHT * (deviation.abs() - self.mean_deviation_us);
    }

    /// Replaces the targets with a list sorted by name, and readmits targets if more are ejected
    /// than allowed.
    pub fn with_targets(mut self, targets: Vec<TargetState>, cfg: &EjectionConfig) -> TargetGroup {
        self.targets = targets;
        self.enforce_max_ejected(cfg);
        self
    }

    fn ejected_count(&self) -> usize {
        let ejected = |t: &&TargetState| t.health.is_ejected();
        self.targets.iter().filter(ejected).count()
    }

    /// Returns whether one more target may be ejected.
    pub fn can_eject(&self, cfg: &EjectionConfig) -> bool {
        self.ejected_count() < max_ejected(self.targets.len(), cfg)
    }

    /// Readmits the targets whose ejection ends first until no more are ejected than allowed.
    fn enforce_max_ejected(&mut self, cfg: &EjectionConfig) {
        let max = max_ejected(self.targets.len(), cfg);
        while self.ejected_count() > max {
            let first = self
                .targets
                .iter_mut()
                .filter(|t| t.health.is_ejected())
                .min_by_key(|t| t.health.ejected_until());
            let Some(first) = first else { return };
            first.health.readmit();
        }
    }
}
