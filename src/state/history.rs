//! Bounded history of how calls ended, by service and priority.
//!
//! Nodes keep nothing on disk: the history begins when the node starts. It is kept by minute for an
//! hour and by ten minutes for three days.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoEnumIterator;
use strum::VariantNames;

use crate::call::Priority;
use crate::clock::Time;
use crate::error::ErrorKind;
use crate::instance::ServiceName;

/// Most pairs of service and priority; calls of further ones are not counted.
pub const MAX_SERIES: usize = 256;

/// Buckets of a minute that are kept.
pub const MINUTE_BUCKETS: usize = 60;

/// Buckets of ten minutes that are kept.
pub const TEN_MINUTES: usize = 432;

const MINUTE: Duration = Duration::from_secs(60);
const TEN: Duration = Duration::from_secs(600);

/// Calls of a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All that ended.
    pub calls: u64,
    /// Those that completed in the time of their objective.
    pub good: u64,
    /// Those that were not run.
    pub not_run: u64,
    /// Those of which it is not known whether they were run.
    pub unknown: u64,
}

impl Counts {
    /// Adds another span.
    pub fn add(&mut self, other: &Counts) {
        self.calls += other.calls;
        self.good += other.good;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
    }

    /// Returns the calls that were not good.
    pub fn bad(&self) -> u64 {
        self.calls.saturating_sub(self.good)
    }
}

/// A span of time up to now.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    VariantNames,
)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[serde(rename = "30m")]
    #[strum(serialize = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    #[strum(serialize = "1h")]
    Hour,
    /// Two hours.
    #[serde(rename = "2h")]
    #[strum(serialize = "2h")]
    TwoHours,
    /// Six hours.
    #[serde(rename = "6h")]
    #[strum(serialize = "6h")]
    SixHours,
    /// One day.
    #[serde(rename = "1d")]
    #[strum(serialize = "1d")]
    Day,
    /// Three days.
    #[serde(rename = "3d")]
    #[strum(serialize = "3d")]
    ThreeDays,
}

impl Window {
    /// Returns the length of the window.
    pub const fn span(self) -> Duration {
        Duration::from_secs(match self {
            Window::FiveMinutes => 300,
            Window::HalfHour => 1_800,
            Window::Hour => 3_600,
            Window::TwoHours => 7_200,
            Window::SixHours => 21_600,
            Window::Day => 86_400,
            Window::ThreeDays => 259_200,
        })
    }
}

/// Calls of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// Its calls.
    pub counts: Counts,
}

/// Calls of one service at one priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Service that was called.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Calls of each window.
    pub windows: Vec<WindowCounts>,
    /// Calls of each of the last [`MINUTE_BUCKETS`] minutes, oldest first.
    pub minutes: Vec<Counts>,
}

/// Buckets of one width, the oldest overwritten by the newest.
#[derive(Clone, Debug)]
struct Ring {
    width: Duration,
    newest: u64,
    buckets: Box<[Counts]>,
}

impl Ring {
    fn new(width: Duration, len: usize) -> Ring {
        Ring {
            width,
            newest: 0,
            buckets: vec![Counts::default(); len].into_boxed_slice(),
        }
    }

    fn slot(&self, now: Time) -> u64 {
        now.micros() / self.width.as_micros() as u64
    }

    fn index(&self, slot: u64) -> usize {
        (slot % self.buckets.len() as u64) as usize
    }

    fn add(&mut self, counts: &Counts, now: Time) {
        let slot = self.slot(now);
        let oldest = slot.saturating_sub(self.buckets.len() as u64 - 1);
        for passed in oldest.max(self.newest + 1)..=slot {
            self.buckets[self.index(passed)] = Counts::default();
        }
        self.newest = self.newest.max(slot);
        let i = self.index(slot);
        self.buckets[i].add(counts);
    }

    /// Returns the last `count` buckets, oldest first.
    fn last(&self, count: u64, now: Time) -> impl Iterator<Item = Counts> {
        let slot = self.slot(now);
        let kept = self.newest.saturating_sub(self.buckets.len() as u64 - 1)..=self.newest;
        let first = (slot + 1).saturating_sub(count);
        let missing = count - (slot + 1 - first);
        let none = std::iter::repeat_n(Counts::default(), missing as usize);
        none.chain((first..=slot).map(move |s| match kept.contains(&s) {
            true => self.buckets[self.index(s)],
            false => Counts::default(),
        }))
    }
}

#[derive(Clone, Debug)]
struct Rings {
    minutes: Ring,
    tens: Ring,
}

impl Rings {
    fn new() -> Rings {
        Rings {
            minutes: Ring::new(MINUTE, MINUTE_BUCKETS),
            tens: Ring::new(TEN, TEN_MINUTES),
        }
    }

    fn sum(&self, window: Window, now: Time) -> Counts {
        let ring = match window.span() <= MINUTE * MINUTE_BUCKETS as u32 {
            true => &self.minutes,
            false => &self.tens,
        };
        let count = window.span().as_secs() / ring.width.as_secs();
        let mut sum = Counts::default();
        ring.last(count, now).for_each(|counts| sum.add(&counts));
        sum
    }
}

/// How calls ended since the node started.
#[derive(Clone, Debug, Default)]
pub struct History {
    services: BTreeMap<ServiceName, BTreeMap<Priority, Rings>>,
    series: usize,
}

impl History {
    /// Builds an empty history.
    pub fn new() -> History {
        History::default()
    }

    /// Counts a call that ended; `error` is `None` if it completed.
    ///
    /// `good` says whether it completed in the time of its objective.
    pub fn count(
        &mut self,
        service: &ServiceName,
        priority: Priority,
        error: Option<ErrorKind>,
        good: bool,
        now: Time,
    ) {
        let counts = Counts {
            calls: 1,
            good: u64::from(good && error.is_none()),
            not_run: u64::from(matches!(error, Some(ErrorKind::NotRun(_)))),
            unknown: u64::from(matches!(error, Some(ErrorKind::Unknown(_)))),
        };
        if let Some(rings) = self.rings(service, priority) {
            rings.minutes.add(&counts, now);
            rings.tens.add(&counts, now);
        }
    }

    /// Returns all series, sorted by service and priority.
    pub fn series(&self, now: Time) -> Vec<Series> {
        let all = self
            .services
            .iter()
            .flat_map(|(service, by)| by.iter().map(move |(p, rings)| (service, *p, rings)));
        all.map(|(service, priority, rings)| Series {
            service: service.clone(),
            priority,
            windows: Window::iter()
                .map(|window| WindowCounts {
                    window,
                    counts: rings.sum(window, now),
                })
                .collect(),
            minutes: rings.minutes.last(MINUTE_BUCKETS as u64, now).collect(),
        })
        .collect()
    }

    fn rings(&mut self, service: &ServiceName, priority: Priority) -> Option<&mut Rings> {
        let known = self
            .services
            .get(service)
            .is_some_and(|by| by.contains_key(&priority));
        if !known {
            if self.series >= MAX_SERIES {
                return None;
            }
            self.series += 1;
            let by = self.services.entry(service.clone()).or_default();
            by.insert(priority, Rings::new());
        }
        self.services.get_mut(service)?.get_mut(&priority)
    }
}
