//! Pace of one target, learned from how it answers: how long a request takes there now, and how many
//! requests it should run.
//!
//! It answers two loads. Targets share their machines with others, so that the speed of each changes
//! many times a second: senders learn the expected time of a request from the node beside the
//! target, which sees all of its answers, and not from their own few. And a target that has just
//! started or come back is neither flooded nor left idle: it gets a part of its slots, and one more
//! for each answer that takes no longer than usual, so that the number doubles within the time of
//! one request. It applies to targets that state how long work takes now.

use std::time::Duration;

use crate::clock::Time;

/// Share of its slots that a target gets after its start.
const START_SHARE: f64 = 0.25;

/// Weight of a run in the average time of a run.
const RUN_WEIGHT: f64 = 0.05;

/// Weight of a run that takes unusually long while the target gets only a part of its slots: it says
/// little about what is usual.
const SLOW_START_WEIGHT: f64 = 0.005;

/// Multiple of the average time up to which an answer counts as usual.
const USUAL_FACTOR: f64 = 3.0;

/// Part of a slot below which a difference does not count.
const ROUNDING: f64 = 1e-6;

/// Time for which a stated speed is used.
const SPEED_TTL: Duration = Duration::from_millis(2_000);

/// Smallest and greatest stated time of work that is believed, in percent of the usual one.
const WORK_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=1_000.0;

/// What a target states about itself in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time, if it states that.
    pub work_percent: Option<f64>,
}

impl TargetLoad {
    /// Parses the value of the load header: numbers separated by commas. Returns nothing if it is
    /// malformed; a time of work that is out of range counts as not stated.
    pub fn parse(text: &str) -> Option<TargetLoad> {
        let mut numbers = text.split(',').map(str::trim);
        let mut next = || numbers.next()?.parse().ok();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let work_percent = numbers.next().and_then(|text| text.parse().ok());
        Some(TargetLoad {
            running,
            waiting,
            slots,
            work_percent: work_percent.filter(|percent| WORK_PERCENT.contains(percent)),
        })
    }
}

/// Pace of one target.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Average time of a run at the usual speed, in milliseconds.
    run_ms: Option<f64>,
    /// Last stated time of work, in percent of the usual one, and when it was stated.
    work: Option<(f64, Time)>,
    /// Share of the slots that the target gets.
    share: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            run_ms: None,
            work: None,
            share: 1.0,
        }
    }
}

impl Pace {
    /// Records what the target stated.
    pub fn record_load(&mut self, load: &TargetLoad, now: Time) {
        if let Some(percent) = load.work_percent {
            self.work = Some((percent, now));
        }
    }

    /// Records an answer that took `took` at a target with `slots` slots.
    pub fn record_run(&mut self, took: Duration, slots: u32, now: Time) {
        let Some(percent) = self.percent(now) else {
            return;
        };
        let usual_ms = took.as_secs_f64() * 1_000.0 * 100.0 / percent;
        let average = self.run_ms.unwrap_or(usual_ms);
        let as_usual = usual_ms <= average * USUAL_FACTOR;
        let weight = match as_usual || self.share >= 1.0 {
            true => RUN_WEIGHT,
            false => SLOW_START_WEIGHT,
        };
        if as_usual {
            self.share = (self.share + 1.0 / f64::from(slots.max(1))).min(1.0);
        }
        self.run_ms = Some(average + (usual_ms - average) * weight);
    }

    /// Records that the target has just started or come back.
    pub fn record_start(&mut self) {
        if self.work.is_some() {
            self.share = START_SHARE;
        }
    }

    /// Returns how many of `slots` slots the target gets.
    pub fn limit(&self, slots: u32) -> u32 {
        // The sum of the steps is not exact.
        let limit = f64::from(slots) * self.share - ROUNDING;
        (limit.ceil() as u32).max(1)
    }

    /// Returns the expected time of a run that begins now, if the target states how long work takes.
    pub fn run_time(&self, now: Time) -> Option<Duration> {
        let ms = self.run_ms? * self.percent(now)? / 100.0;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    fn percent(&self, now: Time) -> Option<f64> {
        let (percent, at) = self.work?;
        (now.since(at) < SPEED_TTL).then_some(percent)
    }
}
