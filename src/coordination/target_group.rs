//! What a node keeps of the instances of one service.

use std::time::Duration;

use crate::coordination::ejection::EjectionConfig;
use crate::coordination::ejection::most_ejected;
use crate::coordination::target::TargetState;
use crate::instance::InstanceName;

/// Weight of the latest answer in the usual latency of a service.
const USUAL_WEIGHT: f64 = 0.05;

/// Weight of the latest answer in the mean deviation from the usual latency.
const DEVIATION_WEIGHT: f64 = 0.1;

/// Mean deviations above the usual latency within which nearly all answers arrive.
const DEVIATIONS: f64 = 4.0;

/// The targets of one service, sorted by name.
#[derive(Debug, Default)]
pub struct Group {
    /// The targets.
    pub targets: Vec<TargetState>,
    /// Number of draws made in turn.
    pub turn: usize,
    usual_us: Option<f64>,
    deviation_us: f64,
}

impl Group {
    /// Returns the target of a name.
    pub fn find(&mut self, name: &InstanceName) -> Option<&mut TargetState> {
        let i = self
            .targets
            .binary_search_by(|t| t.instance.name.cmp(name))
            .ok()?;
        Some(&mut self.targets[i])
    }

    /// Returns the latency in microseconds that is usual for the service.
    pub fn usual_us(&self) -> Option<f64> {
        self.usual_us
    }

    /// Returns the time within which nearly all answers arrive, if any has; never less than twice
    /// the usual one.
    pub fn tail_latency(&self) -> Option<Duration> {
        let usual_us = self.usual_us?;
        let longest_us = usual_us + usual_us.max(DEVIATIONS * self.deviation_us);
        Some(Duration::from_micros(longest_us as u64))
    }

    /// Notes the latency of an answer.
    pub fn note_latency(&mut self, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let Some(usual) = &mut self.usual_us else {
            self.usual_us = Some(sample);
            self.deviation_us = sample / 2.0;
            return;
        };
        let off = sample - *usual;
        *usual += USUAL_WEIGHT * off;
        self.deviation_us += DEVIATION_WEIGHT * (off.abs() - self.deviation_us);
    }

    /// Takes over another list of targets, sorted by name.
    pub fn replaced(mut self, targets: Vec<TargetState>, cfg: &EjectionConfig) -> Group {
        self.targets = targets;
        self.enforce_share(cfg);
        self
    }

    fn ejected(&self) -> usize {
        let ejected = |t: &&TargetState| t.health.is_ejected();
        self.targets.iter().filter(ejected).count()
    }

    /// Returns whether one more target may be ejected.
    pub fn has_room(&self, cfg: &EjectionConfig) -> bool {
        self.ejected() < most_ejected(self.targets.len(), cfg)
    }

    /// Admits those whose ejection ends first until no more are ejected than may be.
    fn enforce_share(&mut self, cfg: &EjectionConfig) {
        let most = most_ejected(self.targets.len(), cfg);
        while self.ejected() > most {
            let first = self
                .targets
                .iter_mut()
                .filter(|t| t.health.is_ejected())
                .min_by_key(|t| t.health.ejected_until());
            let Some(first) = first else { return };
            first.health.admit();
        }
    }
}
