//! How fast error budgets are spent.

use serde::Serialize;
use strum::Display;

use crate::state::history::Counts;
use crate::state::history::Window;
use crate::state::history::WindowCounts;

/// Fewest bad calls in the long window that raise an alarm.
pub const MIN_BAD: u64 = 5;

/// How soon somebody has to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Urgency {
    /// Nobody has to.
    None,
    /// Today.
    Soon,
    /// Now.
    Now,
}

/// A rate of burn that calls for action if it is reached in a long and a short window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnRule {
    /// Window that shows that it matters.
    pub long: Window,
    /// Window that shows that it still goes on.
    pub short: Window,
    /// Rate of burn, 1 for just what the objective allows.
    pub rate: f64,
    /// How soon somebody has to act.
    pub urgency: Urgency,
}

/// The rules, the most urgent first. The rates are those of an error budget of 30 days.
pub const BURN_RULES: [BurnRule; 4] = [
    BurnRule {
        long: Window::Hour,
        short: Window::FiveMinutes,
        rate: 14.4,
        urgency: Urgency::Now,
    },
    BurnRule {
        long: Window::SixHours,
        short: Window::HalfHour,
        rate: 6.0,
        urgency: Urgency::Now,
    },
    BurnRule {
        long: Window::Day,
        short: Window::TwoHours,
        rate: 3.0,
        urgency: Urgency::Soon,
    },
    BurnRule {
        long: Window::ThreeDays,
        short: Window::SixHours,
        rate: 1.0,
        urgency: Urgency::Soon,
    },
];

/// Returns the rate of burn for an objective, the share of calls that must be good.
pub fn rate(counts: &Counts, objective: f64) -> f64 {
    if counts.calls == 0 {
        return 0.0;
    }
    let bad = counts.bad() as f64 / counts.calls as f64;
    let allowed = (1.0 - objective).max(1e-6);
    (bad / allowed * 100.0).round() / 100.0
}

/// Returns the most urgent rule that is met.
pub fn alarm(windows: &[WindowCounts], objective: f64) -> Option<BurnRule> {
    let counts = |window| {
        let found = windows.iter().find(|w| w.window == window);
        found.map_or_else(Counts::default, |w| w.counts)
    };
    BURN_RULES.into_iter().find(|rule| {
        let long = counts(rule.long);
        long.bad() >= MIN_BAD
            && rate(&long, objective) >= rule.rate
            && rate(&counts(rule.short), objective) >= rule.rate
    })
}
