//! Concurrency limit learned from latency.
//!
//! The limit starts at the published slots. When latency rises well above its long-window baseline
//! while the limit is in use, a trial lowers the limit: if latency falls with it, concurrency was
//! the cause and the lower limit stays; if not, the target is merely slower, so the limit is
//! restored and the baseline follows.

use std::time::Duration;

use crate::clock::Time;

/// Fewest calls in a window of measurement.
pub const WINDOW_CALLS: u32 = 32;

/// Fewest calls in the window of a trial that has lasted [`TRIAL_TIME`].
pub const TRIAL_CALLS: u32 = 8;

/// Time after which a trial is judged by fewer calls than a full window.
pub const TRIAL_TIME: Duration = Duration::from_millis(500);

/// Latency above this multiple of the baseline starts a trial.
pub const TOLERANCE: f64 = 1.6;

/// Factor by which a trial lowers the limit.
pub const SHRINK: f64 = 0.6;

/// The limit never falls below the slots divided by this number.
pub const FLOOR_DIVISOR: u32 = 8;

/// The limit grows by the slots divided by this number in each good window.
pub const GROWTH_DIVISOR: u32 = 16;

/// Share of the cut in the limit by which latency must fall for the cut to stay.
const CAUSAL_SHARE: f64 = 0.5;

/// Calls that end within this many latencies of a change do not yet show its effect.
const SETTLE_LATENCIES: f64 = 1.5;

/// Weight of a window in the baseline when latency is below it.
const BASELINE_FALL: f64 = 0.25;

/// Weight of a window in the baseline when latency is above it and the limit is not in use.
const BASELINE_RISE: f64 = 0.05;

/// Windows of high latency at the lowest limit after which the baseline follows.
const FLOOR_WINDOWS: u32 = 8;

#[derive(Debug, Default)]
struct Window {
    from: Time,
    calls: u32,
    saturated: u32,
    sum: f64,
}

#[derive(Debug)]
struct Trial {
    limit: u32,
    latency: f64,
}

/// Adaptive limit on calls in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    current: u32,
    adaptive: bool,
    baseline: Option<f64>,
    window: Window,
    trial: Option<Trial>,
    high_at_floor: u32,
}

impl ConcurrencyLimit {
    /// Builds a limit that starts at `slots`, and stays there unless it is `adaptive`.
    pub fn new(slots: u32, adaptive: bool) -> ConcurrencyLimit {
        let slots = slots.max(1);
        ConcurrencyLimit {
            slots,
            current: slots,
            adaptive,
            baseline: None,
            window: Window::default(),
            trial: None,
            high_at_floor: 0,
        }
    }

    /// Returns the number of calls that may be in flight.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns the lowest limit.
    pub fn floor(&self) -> u32 {
        (self.slots / FLOOR_DIVISOR).max(1)
    }

    /// Returns the long-window latency, once known.
    pub fn baseline(&self) -> Option<Duration> {
        self.baseline.map(|us| Duration::from_micros(us as u64))
    }

    /// Adopts a new number of published slots.
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

    /// Records a call that ended at `now`. `saturated` tells whether the limit was in use.
    pub fn observe(&mut self, latency: Duration, saturated: bool, now: Time) {
        if !self.adaptive || now < self.window.from {
            return;
        }
        self.window.calls += 1;
        self.window.saturated += u32::from(saturated);
        self.window.sum += latency.as_micros() as f64;
        if !self.is_window_full(now) {
            return;
        }
        let latency = self.window.sum / f64::from(self.window.calls);
        let saturated = self.window.saturated * 2 >= self.window.calls;
        self.restart_window(now);
        self.judge(latency, saturated, now);
    }

    fn is_window_full(&self, now: Time) -> bool {
        let calls = self.window.calls;
        let trial_is_due = self.trial.is_some()
            && calls >= TRIAL_CALLS
            && now.since(self.window.from) >= TRIAL_TIME;
        trial_is_due || calls >= WINDOW_CALLS.max(self.current)
    }

    fn judge(&mut self, latency: f64, saturated: bool, now: Time) {
        let baseline = *self.baseline.get_or_insert(latency);
        let high = latency > baseline * TOLERANCE;
        if let Some(trial) = self.trial.take() {
            return self.judge_trial(trial, latency, high, now);
        }
        if high && saturated {
            return self.start_trial(latency, now);
        }
        self.high_at_floor = 0;
        self.move_baseline(latency, saturated);
        if !high {
            self.grow();
        }
    }

    fn start_trial(&mut self, latency: f64, now: Time) {
        if self.current > self.floor() {
            let limit = self.current;
            self.trial = Some(Trial { limit, latency });
            self.shrink(latency, now);
            return;
        }
        self.high_at_floor += 1;
        if self.high_at_floor >= FLOOR_WINDOWS {
            self.high_at_floor = 0;
            self.baseline = Some(latency);
        }
    }

    fn judge_trial(&mut self, trial: Trial, latency: f64, high: bool, now: Time) {
        let cut = 1.0 - f64::from(self.current) / f64::from(trial.limit);
        let fall = 1.0 - latency / trial.latency;
        if fall < cut * CAUSAL_SHARE {
            self.current = trial.limit;
            self.baseline = Some(trial.latency.min(latency));
            self.settle(latency, now);
            return;
        }
        if high && self.current > self.floor() {
            self.trial = Some(trial);
            self.shrink(latency, now);
        }
    }

    fn shrink(&mut self, latency: f64, now: Time) {
        let lower = (f64::from(self.current) * SHRINK) as u32;
        self.current = lower.max(self.floor());
        self.settle(latency, now);
    }

    fn grow(&mut self) {
        let step = (self.slots / GROWTH_DIVISOR).max(1);
        self.current = (self.current + step).min(self.slots);
    }

    fn move_baseline(&mut self, latency: f64, saturated: bool) {
        let Some(baseline) = self.baseline.as_mut() else {
            return;
        };
        let weight = match (latency < *baseline, saturated) {
            (true, _) => BASELINE_FALL,
            (false, true) => 0.0,
            (false, false) => BASELINE_RISE,
        };
        *baseline += (latency - *baseline) * weight;
    }

    fn settle(&mut self, latency: f64, now: Time) {
        let span = Duration::from_micros((latency * SETTLE_LATENCIES) as u64);
        self.restart_window(now.plus(span));
    }

    fn restart_window(&mut self, from: Time) {
        self.window = Window {
            from,
            ..Window::default()
        };
    }
}
