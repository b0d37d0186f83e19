//! Admission levels: which calls a service admits, derived from its load.
//!
//! Calls are ranked by priority and cohort, and the level is the highest rank that is admitted. An
//! instance under standing overload lowers its level until its queue drops few calls, and raises
//! it in increasing steps once the overload has passed.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::call::COHORTS;
use crate::call::Cohort;
use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::admission::Load;

pub use crate::coordination::level_view::LevelView;

/// Minimum time between two changes of the level.
pub const MIN_LEVEL_WINDOW: Duration = Duration::from_millis(100);

/// Maximum time between two evaluations of the level while calls are queued.
pub const MAX_LEVEL_WINDOW: Duration = Duration::from_millis(500);

/// A window with queued calls but fewer offered calls than this lasts [`MAX_LEVEL_WINDOW`].
pub const MIN_WINDOW_CALLS: u64 = 32;

/// Share of a window's excess calls that a lower level excludes.
pub const LOWERING_SHARE: f64 = 0.5;

/// Share of the offered calls that the queue may drop without the level being lowered.
pub const DROP_TOLERANCE: f64 = 0.05;

/// Ranks by which the level rises after the first window without drops or overload. The step
/// doubles with each further such window.
pub const INITIAL_RISE: u16 = 8;

/// Number of ranks: one for each cohort of each priority.
const RANK_COUNT: u16 = COHORTS * 5;

/// Admission threshold: every higher priority, and the cohorts up to `cohort` of `priority`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Level {
    /// Lowest admitted priority.
    pub priority: Priority,
    /// Highest admitted cohort of that priority.
    pub cohort: Cohort,
}

impl Level {
    /// Admits every call.
    pub const OPEN: Level = Level {
        priority: Priority::Background,
        cohort: Cohort(COHORTS - 1),
    };

    /// Admits only critical calls. No level is stricter, so critical calls are dropped only by the
    /// queue.
    pub const CRITICAL_ONLY: Level = Level {
        priority: Priority::Critical,
        cohort: Cohort(COHORTS - 1),
    };

    /// Returns whether a call of this priority and cohort is admitted.
    pub fn admits(self, priority: Priority, cohort: Cohort) -> bool {
        rank(priority, cohort) <= self.rank()
    }

    /// Returns the stricter of two levels.
    pub fn stricter(self, other: Level) -> Level {
        match self.rank() <= other.rank() {
            true => self,
            false => other,
        }
    }

    /// Returns the rank of the level. A higher rank admits more calls.
    pub fn rank(self) -> u16 {
        rank(self.priority, self.cohort)
    }

    /// Returns the level of a rank, clamped between [`Level::CRITICAL_ONLY`] and [`Level::OPEN`].
    pub fn from_rank(rank: u16) -> Level {
        let rank = rank.clamp(COHORTS - 1, RANK_COUNT - 1);
        let priority = Priority::iter().nth(usize::from(rank / COHORTS));
        Level {
            priority: priority.unwrap_or(Priority::Background),
            cohort: Cohort(rank % COHORTS),
        }
    }
}

/// Returns the rank of a call. Lower ranks are more important.
fn rank(priority: Priority, cohort: Cohort) -> u16 {
    priority as u16 * COHORTS + cohort.0.min(COHORTS - 1)
}

/// Why a text is not a valid level or level report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LevelError {
    /// The text does not have the form `priority.cohort;load`.
    #[error("level does not have the form priority.cohort;load")]
    Malformed,
    /// The priority is unknown.
    #[error("level names an unknown priority")]
    Priority,
    /// The cohort is not a number below [`COHORTS`].
    #[error("level names a cohort of {COHORTS} or more")]
    Cohort,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.cohort.0)
    }
}

impl FromStr for Level {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Level, LevelError> {
        let (priority, cohort) = text.split_once('.').ok_or(LevelError::Malformed)?;
        let priority = priority.parse().map_err(|_| LevelError::Priority)?;
        let cohort: u16 = cohort.parse().map_err(|_| LevelError::Cohort)?;
        if cohort >= COHORTS {
            return Err(LevelError::Cohort);
        }
        let cohort = Cohort(cohort);
        Ok(Level { priority, cohort })
    }
}

/// Level and load of an instance, sent with each of its responses in the header `dfl-level`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelReport {
    /// The instance's own level or the strictest level of its downstream services, whichever is
    /// stricter.
    pub level: Level,
    /// Running and queued calls, in percent of the concurrency limit.
    pub load_percent: u16,
}

impl LevelReport {
    /// Builds the report of an instance with this level and load.
    pub fn new(level: Level, load: Load) -> LevelReport {
        let calls = u64::from(load.in_flight) + u64::from(load.queued);
        let percent = calls * 100 / u64::from(load.limit.max(1));
        LevelReport {
            level,
            load_percent: u16::try_from(percent).unwrap_or(u16::MAX),
        }
    }
}

impl fmt::Display for LevelReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{}", self.level, self.load_percent)
    }
}

impl FromStr for LevelReport {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<LevelReport, LevelError> {
        let (level, load) = text.split_once(';').ok_or(LevelError::Malformed)?;
        Ok(LevelReport {
            level: level.parse()?,
            load_percent: load.parse().map_err(|_| LevelError::Malformed)?,
        })
    }
}

/// Adjusts the admission level of one instance to its load.
#[derive(Debug)]
pub struct LevelController {
    rank: u16,
    rise: u16,
    window_start: Time,
    arrivals_by_rank: Box<[u32]>,
    offered_before: u64,
    dropped_before: u64,
}

impl LevelController {
    /// Builds a controller that admits every call.
    pub fn new(now: Time) -> LevelController {
        LevelController {
            rank: RANK_COUNT - 1,
            rise: INITIAL_RISE,
            window_start: now,
            arrivals_by_rank: vec![0; usize::from(RANK_COUNT)].into_boxed_slice(),
            offered_before: 0,
            dropped_before: 0,
        }
    }

    /// Returns the current level.
    pub fn level(&self) -> Level {
        Level::from_rank(self.rank)
    }

    /// Counts an arriving call and returns whether the level admits it.
    pub fn record_arrival(&mut self, priority: Priority, cohort: Cohort) -> bool {
        let rank = rank(priority, cohort);
        self.arrivals_by_rank[usize::from(rank)] += 1;
        rank <= self.rank
    }

    /// Adjusts the level if a window has ended by `now`. Must be called at arrivals and ticks.
    pub fn update(&mut self, load: Load, now: Time) {
        let offered = load.offered.saturating_sub(self.offered_before);
        let elapsed = now.since(self.window_start);
        let few_calls = offered < MIN_WINDOW_CALLS && load.queued > 0;
        if elapsed < MIN_LEVEL_WINDOW || (few_calls && elapsed < MAX_LEVEL_WINDOW) {
            return;
        }
        let dropped = load.dropped.saturating_sub(self.dropped_before);
        let tolerated = offered as f64 * DROP_TOLERANCE;
        if dropped == 0 && !load.overloaded {
            self.raise();
        } else {
            self.rise = INITIAL_RISE;
        }
        if load.overloaded && dropped as f64 > tolerated {
            self.lower(((dropped as f64 - tolerated) * LOWERING_SHARE) as u64);
        }
        self.offered_before = load.offered;
        self.dropped_before = load.dropped;
        self.arrivals_by_rank.fill(0);
        self.window_start = now;
    }

    /// Raises the level by the current step and doubles the step.
    fn raise(&mut self) {
        self.rank = (self.rank + self.rise).min(RANK_COUNT - 1);
        self.rise = (self.rise * 2).min(RANK_COUNT);
    }

    /// Lowers the level until it excludes ranks that had `excess` arrivals in the last window.
    fn lower(&mut self, excess: u64) {
        let mut excluded = 0;
        while excluded < excess && self.rank > Level::CRITICAL_ONLY.rank() {
            excluded += u64::from(self.arrivals_by_rank[usize::from(self.rank)]);
            self.rank -= 1;
        }
    }
}
