//! The overload policies that are compared: two baselines, the complete mechanism, and variants of
//! it that each leave out one part.

use clap::ValueEnum;
use strum::Display;
use strum::EnumIter;

use crate::coordination::admission::AdmissionConfig;
use crate::coordination::dispatch::DispatchConfig;
use crate::coordination::gate::GateConfig;
use crate::node::DecisionConfig;

/// Retries that the baselines allow at each hop.
const BASELINE_RETRIES_PER_HOP: u32 = 2;

/// An overload policy of the `--policy` option.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, ValueEnum)]
#[strum(serialize_all = "kebab-case")]
pub enum OverloadPolicy {
    /// No concurrency limit and three attempts at each hop.
    NoControl,
    /// The slots as a fixed concurrency limit, a FIFO queue and three attempts at each hop.
    FixedLimit,
    /// All mechanisms on.
    Full,
    /// All but admission levels.
    WithoutLevels,
    /// All but ordering the queue by priority and cohort.
    WithoutPriorityOrder,
    /// All but sojourn-time control of the queue.
    WithoutSojournControl,
    /// All but the adaptive concurrency limit.
    WithoutAdaptiveLimit,
    /// All but preemption.
    WithoutPreemption,
    /// All but joins: copies of a request do not share a run.
    WithoutJoins,
    /// All but hedging: no second attempt beside a slow one.
    WithoutSecondAttempt,
    /// All but the retry allowance of each target.
    WithoutAllowance,
}

impl OverloadPolicy {
    /// Returns the decision settings of a node with `slots` slots.
    pub fn decisions(self, slots: u32) -> DecisionConfig {
        let mut decisions = DecisionConfig {
            gate: GateConfig::full(slots),
            ..DecisionConfig::default()
        };
        let gate = &mut decisions.gate;
        let dispatch = &mut decisions.dispatch;
        match self {
            OverloadPolicy::NoControl => return baseline(AdmissionConfig::none()),
            OverloadPolicy::FixedLimit => return baseline(AdmissionConfig::fixed(slots)),
            OverloadPolicy::Full => {}
            OverloadPolicy::WithoutLevels => {
                gate.levels = false;
                dispatch.shed_early = false;
            }
            OverloadPolicy::WithoutPriorityOrder => gate.admission.priority_order = false,
            OverloadPolicy::WithoutSojournControl => gate.admission.sojourn_control = false,
            OverloadPolicy::WithoutAdaptiveLimit => gate.admission.adaptive_limit = false,
            OverloadPolicy::WithoutPreemption => gate.admission.preemption = false,
            OverloadPolicy::WithoutJoins => gate.joins = false,
            OverloadPolicy::WithoutSecondAttempt => dispatch.hedging = false,
            OverloadPolicy::WithoutAllowance => dispatch.allowance = false,
        }
        decisions
    }
}

/// Returns a policy that has only the given admission settings and retries at each hop.
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
            extra_per_hop: Some(BASELINE_RETRIES_PER_HOP),
            ..DispatchConfig::default()
        },
        fixed_slots: true,
    }
}
