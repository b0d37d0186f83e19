//! Burn rates of error budgets, and the multi-window alarm rules on them.

use serde::Serialize;
use strum::Display;

use crate::state::history::Counts;
use crate::state::history::Window;
use crate::state::history::WindowCounts;

/// Minimum number of bad calls in the long window for a rule to fire.
pub const MIN_BAD_CALLS: u64 = 5;

/// How soon an operator has to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Urgency {
    /// No action is needed.
    None,
    /// Within the day.
    Soon,
    /// Immediately.
    Now,
}

/// A burn rate that calls for action when both a long and a short window reach it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnRateRule {
    /// Window over which a significant part of the budget is spent.
    pub long: Window,
    /// Window that shows whether the burn continues, so that the alarm ends soon after it.
    pub short: Window,
    /// Minimum burn rate; 1 spends exactly the budget that the objective allows.
    pub rate: f64,
    /// Urgency when the rule fires.
    pub urgency: Urgency,
}

/// Alarm rules, the most urgent first. The rates assume an error budget of 30 days.
pub const BURN_RATE_RULES: [BurnRateRule; 4] = [
    BurnRateRule {
        long: Window::Hour,
        short: Window::FiveMinutes,
        rate: 14.4,
        urgency: Urgency::Now,
    },
    BurnRateRule {
        long: Window::SixHours,
        short: Window::HalfHour,
        rate: 6.0,
        urgency: Urgency::Now,
    },
    BurnRateRule {
        long: Window::Day,
        short: Window::TwoHours,
        rate: 3.0,
        urgency: Urgency::Soon,
    },
    BurnRateRule {
        long: Window::ThreeDays,
        short: Window::SixHours,
        rate: 1.0,
        urgency: Urgency::Soon,
    },
];

/// Returns the burn rate, rounded to two decimals: the share of bad calls divided by the share that
/// the objective allows. `objective` is the share of calls that must be good. 0 without calls.
pub fn burn_rate(counts: &Counts, objective: f64) -> f64 {
    if counts.calls == 0 {
        return 0.0;
    }
    let bad = counts.bad() as f64 / counts.calls as f64;
    let allowed = (1.0 - objective).max(1e-6);
    (bad / allowed * 100.0).round() / 100.0
}

/// Returns the most urgent rule that fires.
pub fn firing_rule(windows: &[WindowCounts], objective: f64) -> Option<BurnRateRule> {
    let counts = |window| {
        let found = windows.iter().find(|w| w.window == window);
        found.map_or_else(Counts::default, |w| w.counts)
    };
    BURN_RATE_RULES.into_iter().find(|rule| {
        let long = counts(rule.long);
        long.bad() >= MIN_BAD_CALLS
            && burn_rate(&long, objective) >= rule.rate
            && burn_rate(&counts(rule.short), objective) >= rule.rate
    })
}
