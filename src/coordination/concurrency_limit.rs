//! Adaptive concurrency limit that responds to latency.
//!
//! The limit starts at the number of published slots. When latency rises well above its long-term
//! baseline while the limit is in use, a trial lowers the limit. If latency falls with it,
//! concurrency was the cause and the lower limit stays. Otherwise the target itself has become
//! slower, so the limit is restored and the baseline is raised.

use std::time::Duration;

use crate::clock::Time;

/// Minimum number of calls in a measurement window.
pub const MIN_WINDOW_CALLS: u32 = 32;

/// Minimum number of calls in the window of a trial that has lasted [`MIN_TRIAL_TIME`].
pub const MIN_TRIAL_CALLS: u32 = 8;

/// Time after which a trial may be evaluated with fewer calls than a full window.
pub const MIN_TRIAL_TIME: Duration = Duration::from_millis(500);

/// A trial starts when latency exceeds the baseline by this factor.
pub const LATENCY_TOLERANCE: f64 = 1.6;

/// Factor by which a trial multiplies the limit.
pub const TRIAL_SHRINK_FACTOR: f64 = 0.6;

/// The limit never falls below the number of slots divided by this number.
pub const FLOOR_DIVISOR: u32 = 8;

/// In each window without high latency, the limit grows by the slots divided by this number.
pub const GROWTH_DIVISOR: u32 = 16;

/// A lower limit is kept if latency falls by at least this share of the relative cut in the limit.
const MIN_CAUSAL_SHARE: f64 = 0.5;

/// After a change of the limit, calls that end within this many latencies are ignored, because
/// they do not show its effect yet.
const SETTLE_LATENCIES: f64 = 1.5;

/// Weight of a window in the baseline when its latency is below the baseline.
const BASELINE_FALL_WEIGHT: f64 = 0.25;

/// Weight of a window in the baseline when its latency is above the baseline and the limit is not
/// in use.
const BASELINE_RISE_WEIGHT: f64 = 0.05;

/// Number of consecutive windows with high latency at the lowest limit after which the baseline
/// is set to that latency.
const MAX_HIGH_WINDOWS_AT_FLOOR: u32 = 8;

/// Measurements since `start`.
#[derive(Debug, Default)]
struct Window {
    start: Time,
    calls: u32,
    saturated_calls: u32,
    latency_sum_us: f64,
}

/// A lowered limit under evaluation, and the limit and mean latency in µs before it.
#[derive(Debug)]
struct Trial {
    original_limit: u32,
    original_latency: f64,
}

/// Adaptive limit on the number of calls in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    current: u32,
    adaptive: bool,
    baseline: Option<f64>,
    window: Window,
    trial: Option<Trial>,
    high_windows_at_floor: u32,
}

impl ConcurrencyLimit {
    /// Builds a limit that starts at `slots` and changes only if `adaptive`.
    pub fn new(slots: u32, adaptive: bool) -> ConcurrencyLimit {
        let slots = slots.max(1);
        ConcurrencyLimit {
            slots,
            current: slots,
            adaptive,
            baseline: None,
            window: Window::default(),
            trial: None,
            high_windows_at_floor: 0,
        }
    }

    /// Returns the maximum number of calls in flight.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns the lowest value that the limit can take.
    pub fn floor(&self) -> u32 {
        (self.slots / FLOOR_DIVISOR).max(1)
    }

    /// Returns the long-term latency, or `None` before the first full window.
    pub fn baseline(&self) -> Option<Duration> {
        self.baseline.map(|us| Duration::from_micros(us as u64))
    }

    /// Sets the number of published slots, and the limit to it. Restarts the measurement.
    pub fn set_slots(&mut self, slots: u32, now: Time) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.current = slots;
        self.trial = None;
        self.restart_window(now);
    }

    /// Records the latency of a call that ended at `now`. `saturated` tells whether the limit was
    /// in use.
    pub fn observe(&mut self, latency: Duration, saturated: bool, now: Time) {
        if !self.adaptive || now < self.window.start {
            return;
        }
        self.window.calls += 1;
        self.window.saturated_calls += u32::from(saturated);
        self.window.latency_sum_us += latency.as_micros() as f64;
        if !self.is_window_full(now) {
            return;
        }
        let latency = self.window.latency_sum_us / f64::from(self.window.calls);
        let saturated = self.window.saturated_calls * 2 >= self.window.calls;
        self.restart_window(now);
        self.evaluate_window(latency, saturated, now);
    }

    /// Returns whether the window holds enough calls to be evaluated.
    fn is_window_full(&self, now: Time) -> bool {
        let calls = self.window.calls;
        let trial_is_due = self.trial.is_some()
            && calls >= MIN_TRIAL_CALLS
            && now.since(self.window.start) >= MIN_TRIAL_TIME;
        trial_is_due || calls >= MIN_WINDOW_CALLS.max(self.current)
    }

    /// Evaluates a window's mean latency in µs and starts or ends a trial, or moves the baseline.
    fn evaluate_window(&mut self, latency: f64, saturated: bool, now: Time) {
        let baseline = *self.baseline.get_or_insert(latency);
        let high = latency > baseline * LATENCY_TOLERANCE;
        if let Some(trial) = self.trial.take() {
            return self.evaluate_trial(trial, latency, high, now);
        }
        if high && saturated {
            return self.start_trial(latency, now);
        }
        self.high_windows_at_floor = 0;
        self.move_baseline(latency, saturated);
        if !high {
            self.grow();
        }
    }

    /// Lowers the limit for a trial. At the lowest limit, counts the window instead.
    fn start_trial(&mut self, latency: f64, now: Time) {
        if self.current > self.floor() {
            let original_limit = self.current;
            self.trial = Some(Trial {
                original_limit,
                original_latency: latency,
            });
            self.shrink(latency, now);
            return;
        }
        self.high_windows_at_floor += 1;
        if self.high_windows_at_floor >= MAX_HIGH_WINDOWS_AT_FLOOR {
            self.high_windows_at_floor = 0;
            self.baseline = Some(latency);
        }
    }

    /// Keeps, lowers further or restores the limit, depending on how far latency fell.
    fn evaluate_trial(&mut self, trial: Trial, latency: f64, high: bool, now: Time) {
        let cut = 1.0 - f64::from(self.current) / f64::from(trial.original_limit);
        let reduction = 1.0 - latency / trial.original_latency;
        if reduction < cut * MIN_CAUSAL_SHARE {
            self.current = trial.original_limit;
            self.baseline = Some(trial.original_latency.min(latency));
            self.settle(latency, now);
            return;
        }
        if high && self.current > self.floor() {
            self.trial = Some(trial);
            self.shrink(latency, now);
        }
    }

    fn shrink(&mut self, latency: f64, now: Time) {
        let lower = (f64::from(self.current) * TRIAL_SHRINK_FACTOR) as u32;
        self.current = lower.max(self.floor());
        self.settle(latency, now);
    }

    /// Raises the limit by one step, up to the number of slots.
    fn grow(&mut self) {
        let step = (self.slots / GROWTH_DIVISOR).max(1);
        self.current = (self.current + step).min(self.slots);
    }

    /// Moves the baseline towards a window's latency.
    fn move_baseline(&mut self, latency: f64, saturated: bool) {
        let Some(baseline) = self.baseline.as_mut() else {
            return;
        };
        let weight = match (latency < *baseline, saturated) {
            (true, _) => BASELINE_FALL_WEIGHT,
            (false, true) => 0.0,
            (false, false) => BASELINE_RISE_WEIGHT,
        };
        *baseline += (latency - *baseline) * weight;
    }

    /// Restarts measurement once the effect of a change of the limit can be seen.
    fn settle(&mut self, latency: f64, now: Time) {
        let span = Duration::from_micros((latency * SETTLE_LATENCIES) as u64);
        self.restart_window(now.plus(span));
    }

    fn restart_window(&mut self, start: Time) {
        self.window = Window {
            start,
            ..Window::default()
        };
    }
}
