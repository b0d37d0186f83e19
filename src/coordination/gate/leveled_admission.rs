//! Admission controller and admission level of one instance.

use crate::call::CallContext;
use crate::clock::Time;
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::admission::AdmissionController;
use crate::coordination::admission::Effect;
use crate::coordination::level::Level;
use crate::coordination::level::LevelController;
use crate::coordination::level::LevelReport;
use crate::coordination::token::TokenLimits;

/// Configuration of the ingress decisions. Mechanisms can be disabled for comparison runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// Slots, queue and mechanisms of the admission controller.
    pub admission: AdmissionConfig,
    /// Whether calls outside the admission level are shed before they are queued.
    pub levels: bool,
    /// Whether copies of an idempotent request share one run.
    pub joins: bool,
    /// Bounds on tokens and kept responses.
    pub tokens: TokenLimits,
}

impl GateConfig {
    /// Returns the configuration with all mechanisms enabled and default token limits.
    pub fn full(slots: u32) -> GateConfig {
        GateConfig {
            admission: AdmissionConfig::full(slots),
            levels: true,
            joins: true,
            tokens: TokenLimits::default(),
        }
    }
}

/// Admission controller together with the level that sheds calls before they reach it.
#[derive(Debug)]
pub(super) struct LeveledAdmission {
    controller: AdmissionController,
    level_controller: LevelController,
    downstream_level: Level,
    levels_enabled: bool,
}

impl LeveledAdmission {
    /// Builds the admission control of an instance.
    pub(super) fn new(cfg: GateConfig, now: Time) -> LeveledAdmission {
        LeveledAdmission {
            controller: AdmissionController::with_config(cfg.admission, now),
            level_controller: LevelController::new(now),
            downstream_level: Level::OPEN,
            levels_enabled: cfg.levels,
        }
    }

    /// Returns the admission controller.
    pub(super) fn controller(&mut self) -> &mut AdmissionController {
        &mut self.controller
    }

    /// Counts an arriving call and returns whether the admission level admits it. A call that
    /// arrives `from_outside` must also be admitted by the level of the downstream services.
    pub(super) fn admits(&mut self, cx: &CallContext, from_outside: bool, now: Time) -> bool {
        if !self.levels_enabled {
            return true;
        }
        self.level_controller.update(self.controller.load(), now);
        if from_outside && !self.downstream_level.admits(cx.priority, cx.cohort()) {
            return false;
        }
        self.level_controller
            .record_arrival(cx.priority, cx.cohort())
    }

    /// Runs the periodic work of the admission controller and adjusts the level.
    pub(super) fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.controller.tick(now, effects);
        self.level_controller.update(self.controller.load(), now);
    }

    /// Sets the strictest level of the downstream services.
    pub(super) fn set_downstream_level(&mut self, level: Level) {
        self.downstream_level = level;
    }

    /// Returns the level and load that the instance reports in its responses.
    pub(super) fn report(&self) -> LevelReport {
        let level = match self.levels_enabled {
            true => self
                .level_controller
                .level()
                .stricter(self.downstream_level),
            false => Level::OPEN,
        };
        LevelReport::new(level, self.controller.load())
    }
}
