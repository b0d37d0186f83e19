//! Admission levels: which calls a service lets in, learned from its answers.
//!
//! Calls are ranked by priority and cohort. An instance under standing overload lowers its level
//! until its queue drops little, and raises it in growing steps once the overload has passed.

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

/// Shortest time between two changes of the level.
pub const MIN_LEVEL_WINDOW: Duration = Duration::from_millis(100);

/// Longest time between two changes of the level.
pub const MAX_LEVEL_WINDOW: Duration = Duration::from_millis(500);

/// Offered calls after which the level changes, if [`LEVEL_WINDOW`] has passed.
pub const WINDOW_CALLS: u64 = 32;

/// Share of the excess calls of a window that the level shuts out.
pub const LOWERING: f64 = 0.5;

/// Share of offered calls that the queue may drop without the level being lowered.
pub const DROP_TOLERANCE: f64 = 0.05;

/// Ranks by which the level rises after the first calm window; doubled after each further one.
pub const FIRST_RISE: u16 = 8;

/// Number of ranks.
const RANKS: u16 = COHORTS * 5;

/// Threshold of what is let in: calls of a higher priority, and up to `cohort` of this priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Level {
    /// Lowest priority that is let in.
    pub priority: Priority,
    /// Highest cohort of that priority that is let in.
    pub cohort: Cohort,
}

impl Level {
    /// Lets everything in.
    pub const OPEN: Level = Level {
        priority: Priority::Background,
        cohort: Cohort(COHORTS - 1),
    };

    /// Lets only critical calls in. No level is stricter: critical calls are shed by the queue
    /// alone.
    pub const CRITICAL_ONLY: Level = Level {
        priority: Priority::Critical,
        cohort: Cohort(COHORTS - 1),
    };

    /// Returns whether a call is let in.
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

    /// Returns the position of the level among all, where more is let in at a higher one.
    pub fn rank(self) -> u16 {
        rank(self.priority, self.cohort)
    }

    /// Returns the level at a position, within [`Level::CRITICAL_ONLY`] and [`Level::OPEN`].
    pub fn from_rank(rank: u16) -> Level {
        let rank = rank.clamp(COHORTS - 1, RANKS - 1);
        let priority = Priority::iter().nth(usize::from(rank / COHORTS));
        Level {
            priority: priority.unwrap_or(Priority::Background),
            cohort: Cohort(rank % COHORTS),
        }
    }
}

fn rank(priority: Priority, cohort: Cohort) -> u16 {
    priority as u16 * COHORTS + cohort.0.min(COHORTS - 1)
}

/// Why the text of a level was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LevelError {
    /// The text is not of the form `priority.cohort;load`.
    #[error("level is not of the form priority.cohort;load")]
    Malformed,
    /// No priority has this name.
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

/// What an answer says about the instance that gave it: the content of the header `dfl-level`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelReport {
    /// The stricter of the instance's own level and the worst of the services behind it.
    pub level: Level,
    /// Calls that run or wait, in percent of the concurrency limit.
    pub load_percent: u16,
}

impl LevelReport {
    /// Builds the report of an instance.
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

/// Moves the level of one instance.
#[derive(Debug)]
pub struct LevelController {
    rank: u16,
    rise: u16,
    window_start: Time,
    arrivals: Box<[u32]>,
    offered: u64,
    dropped: u64,
}

impl LevelController {
    /// Builds a control that lets everything in.
    pub fn new(now: Time) -> LevelController {
        LevelController {
            rank: RANKS - 1,
            rise: FIRST_RISE,
            window_start: now,
            arrivals: vec![0; usize::from(RANKS)].into_boxed_slice(),
            offered: 0,
            dropped: 0,
        }
    }

    /// Returns the level.
    pub fn level(&self) -> Level {
        Level::from_rank(self.rank)
    }

    /// Counts an arriving call. Returns whether the level lets it in.
    pub fn record_arrival(&mut self, priority: Priority, cohort: Cohort) -> bool {
        let rank = rank(priority, cohort);
        self.arrivals[usize::from(rank)] += 1;
        rank <= self.rank
    }

    /// Moves the level if a window ended by `now`. To be called at arrivals and ticks.
    pub fn update(&mut self, load: Load, now: Time) {
        let offered = load.offered.saturating_sub(self.offered);
        let length = now.since(self.window_start);
        let few = offered < WINDOW_CALLS && load.queued > 0;
        if length < MIN_LEVEL_WINDOW || (few && length < MAX_LEVEL_WINDOW) {
            return;
        }
        let dropped = load.dropped.saturating_sub(self.dropped);
        let tolerated = offered as f64 * DROP_TOLERANCE;
        if dropped == 0 && !load.overloaded {
            self.raise();
        } else {
            self.rise = FIRST_RISE;
        }
        if load.overloaded && dropped as f64 > tolerated {
            self.lower(((dropped as f64 - tolerated) * LOWERING) as u64);
        }
        self.offered = load.offered;
        self.dropped = load.dropped;
        self.arrivals.fill(0);
        self.window_start = now;
    }

    fn raise(&mut self) {
        self.rank = (self.rank + self.rise).min(RANKS - 1);
        self.rise = (self.rise * 2).min(RANKS);
    }

    /// Shuts out the ranks that `excess` of the last window's calls came from.
    fn lower(&mut self, excess: u64) {
        let mut shut = 0;
        while shut < excess && self.rank > Level::CRITICAL_ONLY.rank() {
            shut += u64::from(self.arrivals[usize::from(self.rank)]);
            self.rank -= 1;
        }
    }
}
