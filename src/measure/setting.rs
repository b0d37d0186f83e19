//! The overload policies that are compared.

use clap::ValueEnum;
use strum::Display;
use strum::EnumIter;

use crate::coordination::admission::AdmissionConfig;
use crate::coordination::dispatch::DispatchConfig;
use crate::coordination::gate::GateConfig;
use crate::node::DecisionConfig;

/// Tries at each hop of the baselines, beyond the first.
const EXTRA_PER_HOP: u32 = 2;

/// An overload policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, ValueEnum)]
#[strum(serialize_all = "kebab-case")]
pub enum Setting {
    /// No limit, three tries at each hop.
    NoControl,
    /// The slots as a fixed limit, a queue in order of age, three tries at each hop.
    FixedLimit,
    /// Everything on.
    Full,
    /// Everything but admission levels.
    WithoutLevels,
    /// Everything but the order of the queue by priority and cohort.
    WithoutPriorityOrder,
    /// Everything but sojourn control.
    WithoutSojournControl,
    /// Everything but the adaptive limit.
    WithoutAdaptiveLimit,
    /// Everything but preemption.
    WithoutPreemption,
    /// Everything but runs shared by copies of a request.
    WithoutJoins,
    /// Everything but second attempts beside slow ones.
    WithoutSecondAttempt,
    /// Everything but the retry allowance of each target.
    WithoutAllowance,
}

impl Setting {
    /// Returns the decisions of a node with `slots` slots.
    pub fn decisions(self, slots: u32) -> DecisionConfig {
        let mut decisions = DecisionConfig {
            gate: GateConfig::full(slots),
            ..DecisionConfig::default()
        };
        let gate = &mut decisions.gate;
        let dispatch = &mut decisions.dispatch;
        match self {
            Setting::NoControl => return baseline(AdmissionConfig::none()),
            Setting::FixedLimit => return baseline(AdmissionConfig::fixed(slots)),
            Setting::Full => {}
            Setting::WithoutLevels => {
                gate.levels = false;
                dispatch.shed_early = false;
            }
            Setting::WithoutPriorityOrder => gate.admission.priority_order = false,
            Setting::WithoutSojournControl => gate.admission.sojourn_control = false,
            Setting::WithoutAdaptiveLimit => gate.admission.adaptive_limit = false,
            Setting::WithoutPreemption => gate.admission.preemption = false,
            Setting::WithoutJoins => gate.joins = false,
            Setting::WithoutSecondAttempt => dispatch.hedging = false,
            Setting::WithoutAllowance => dispatch.allowance = false,
        }
        decisions
    }
}

fn baseline(admission: AdmissionConfig) -> DecisionConfig {
    DecisionConfig {
        gate: GateConfig {
            admission,
            levels: false,
            joins: false,
            ..GateConfig::full(admission.slots)
        },
        dispatch: DispatchConfig {
            shed_early: false,
            hedging: false,
            allowance: false,
            extra_per_hop: Some(EXTRA_PER_HOP),
            ..DispatchConfig::default()
        },
        fixed_slots: true,
    }
}
