//! Bounded history of call outcomes, by service and priority.
//!
//! Nodes store nothing on disk: the history begins when the node starts. It has buckets of one
//! minute for an hour and buckets of ten minutes for three days.

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

/// Maximum number of series, each for a service and a priority. Calls of others are not counted.
pub const MAX_SERIES: usize = 256;

/// Number of buckets of one minute.
pub const MINUTE_BUCKETS: usize = 60;

/// Number of buckets of ten minutes.
pub const TEN_MINUTE_BUCKETS: usize = 432;

const MINUTE: Duration = Duration::from_secs(60);
const TEN_MINUTES: Duration = Duration::from_secs(600);

/// Number of calls in a time interval, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that ended.
    pub calls: u64,
    /// Calls that completed within the latency of their objective.
    pub good: u64,
    /// Calls that were not run.
    pub not_run: u64,
    /// Calls that may or may not have run.
    pub unknown: u64,
}

impl Counts {
    /// Adds the counts of another interval.
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

/// A time window that ends now.
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

/// Call counts of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// Call counts of the window.
    pub counts: Counts,
}

/// History of the calls of one service at one priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Service that was called.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Call counts of each window.
    pub windows: Vec<WindowCounts>,
    /// Call counts of each of the last [`MINUTE_BUCKETS`] minutes, oldest first.
    pub minutes: Vec<Counts>,
}

/// Ring buffer of buckets of equal width, in which the newest bucket overwrites the oldest.
#[derive(Clone, Debug)]
struct BucketRing {
    width: Duration,
    newest: u64,
    buckets: Box<[Counts]>,
}

impl BucketRing {
    fn new(width: Duration, len: usize) -> BucketRing {
        BucketRing {
            width,
            newest: 0,
            buckets: vec![Counts::default(); len].into_boxed_slice(),
        }
    }

    /// Returns the number of the bucket that contains `now`, counted from the origin of the clock.
    fn bucket_number(&self, now: Time) -> u64 {
        now.micros() / self.width.as_micros() as u64
    }

    /// Returns the index of a bucket in the ring buffer.
    fn index(&self, number: u64) -> usize {
        (number % self.buckets.len() as u64) as usize
    }

    /// Adds counts to the current bucket, after clearing the buckets since the last call.
    fn add(&mut self, counts: &Counts, now: Time) {
        let number = self.bucket_number(now);
        let oldest = number.saturating_sub(self.buckets.len() as u64 - 1);
        for passed in oldest.max(self.newest + 1)..=number {
            self.buckets[self.index(passed)] = Counts::default();
        }
        self.newest = self.newest.max(number);
        let i = self.index(number);
        self.buckets[i].add(counts);
    }

    /// Returns the last `count` buckets, oldest first. Buckets without calls are empty.
    fn last(&self, count: u64, now: Time) -> impl Iterator<Item = Counts> {
        let number = self.bucket_number(now);
        let kept = self.newest.saturating_sub(self.buckets.len() as u64 - 1)..=self.newest;
        let first = (number + 1).saturating_sub(count);
        let missing = count - (number + 1 - first);
        let none = std::iter::repeat_n(Counts::default(), missing as usize);
        none.chain((first..=number).map(move |s| match kept.contains(&s) {
            true => self.buckets[self.index(s)],
            false => Counts::default(),
        }))
    }
}

/// Buckets of one series at both resolutions.
#[derive(Clone, Debug)]
struct SeriesBuckets {
    minutes: BucketRing,
    ten_minutes: BucketRing,
}

impl SeriesBuckets {
    fn new() -> SeriesBuckets {
        SeriesBuckets {
            minutes: BucketRing::new(MINUTE, MINUTE_BUCKETS),
            ten_minutes: BucketRing::new(TEN_MINUTES, TEN_MINUTE_BUCKETS),
        }
    }

    /// Returns the counts of a window, by minutes if it fits and by ten minutes otherwise.
    fn sum(&self, window: Window, now: Time) -> Counts {
        let ring = match window.span() <= MINUTE * MINUTE_BUCKETS as u32 {
            true => &self.minutes,
            false => &self.ten_minutes,
        };
        let count = window.span().as_secs() / ring.width.as_secs();
        let mut sum = Counts::default();
        ring.last(count, now).for_each(|counts| sum.add(&counts));
        sum
    }
}

/// History of call outcomes since the node started.
#[derive(Clone, Debug, Default)]
pub struct History {
    services: BTreeMap<ServiceName, BTreeMap<Priority, SeriesBuckets>>,
    series_count: usize,
}

impl History {
    /// Builds an empty history.
    pub fn new() -> History {
        History::default()
    }

    /// Counts a call that ended; `error` is `None` if it completed.
    ///
    /// `good` tells whether it completed within the latency of its objective.
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
        if let Some(buckets) = self.series_buckets(service, priority) {
            buckets.minutes.add(&counts, now);
            buckets.ten_minutes.add(&counts, now);
        }
    }

    /// Returns all series as of `now`, ordered by service and priority.
    pub fn series(&self, now: Time) -> Vec<Series> {
        let all = self
            .services
            .iter()
            .flat_map(|(service, by)| by.iter().map(move |(p, buckets)| (service, *p, buckets)));
        all.map(|(service, priority, buckets)| Series {
            service: service.clone(),
            priority,
            windows: Window::iter()
                .map(|window| WindowCounts {
                    window,
                    counts: buckets.sum(window, now),
                })
                .collect(),
            minutes: buckets.minutes.last(MINUTE_BUCKETS as u64, now).collect(),
        })
        .collect()
    }

    /// Returns the buckets of a series, added if it is new, or `None` beyond [`MAX_SERIES`].
    fn series_buckets(
        &mut self,
        service: &ServiceName,
        priority: Priority,
    ) -> Option<&mut SeriesBuckets> {
        let exists = self
            .services
            .get(service)
            .is_some_and(|by| by.contains_key(&priority));
        if !exists {
            if self.series_count >= MAX_SERIES {
                return None;
            }
            self.series_count += 1;
            let by = self.services.entry(service.clone()).or_default();
            by.insert(priority, SeriesBuckets::new());
        }
        self.services.get_mut(service)?.get_mut(&priority)
    }
}
