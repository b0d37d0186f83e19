//! Admission of one instance together with its admission level.

use crate::call::CallContext;
use crate::clock::Time;
use crate::coordination::admission::Admission;
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::admission::Effect;
use crate::coordination::level::Level;
use crate::coordination::level::LevelController;
use crate::coordination::level::LevelReport;
use crate::coordination::token::TokenLimits;

/// Parts of the ingress decisions that can be switched off for a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// Admission.
    pub admission: AdmissionConfig,
    /// Whether calls below the admission level are shed before they are queued.
    pub levels: bool,
    /// Whether copies of an idempotent request share a run.
    pub joins: bool,
    /// Bounds on tokens and kept answers.
    pub tokens: TokenLimits,
}

impl GateConfig {
    /// Everything on.
    pub fn full(slots: u32) -> GateConfig {
        GateConfig {
            admission: AdmissionConfig::full(slots),
            levels: true,
            joins: true,
            tokens: TokenLimits::default(),
        }
    }
}

/// Slots, queue and level.
#[derive(Debug)]
pub(super) struct Intake {
    admission: Admission,
    control: LevelController,
    behind: Level,
    levels: bool,
}

impl Intake {
    /// Builds the intake of an instance.
    pub(super) fn new(cfg: GateConfig, now: Time) -> Intake {
        Intake {
            admission: Admission::with_config(cfg.admission, now),
            control: LevelController::new(now),
            behind: Level::OPEN,
            levels: cfg.levels,
        }
    }

    /// Returns slots and queue.
    pub(super) fn admission(&mut self) -> &mut Admission {
        &mut self.admission
    }

    /// Returns whether the level lets a call in. A call that `entered` here is also measured
    /// against the level of the services behind this one.
    pub(super) fn lets_in(&mut self, cx: &CallContext, entered: bool, now: Time) -> bool {
        if !self.levels {
            return true;
        }
        self.control.update(self.admission.load(), now);
        if entered && !self.behind.admits(cx.priority, cx.cohort()) {
            return false;
        }
        self.control.record_arrival(cx.priority, cx.cohort())
    }

    /// Runs what is due.
    pub(super) fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.admission.tick(now, effects);
        self.control.update(self.admission.load(), now);
    }

    /// Takes note of the level of the services behind this one.
    pub(super) fn set_behind(&mut self, behind: Level) {
        self.behind = behind;
    }

    /// Returns what answers say of this instance.
    pub(super) fn report(&self) -> LevelReport {
        let level = match self.levels {
            true => self.control.level().stricter(self.behind),
            false => Level::OPEN,
        };
        LevelReport::new(level, self.admission.load())
    }
}
