//! Points in time as the decisions see them, and the clocks that produce them.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// A point in time, in microseconds since an origin that only this process knows.
///
/// Values of different processes must not be compared; between processes only durations travel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);

    /// Builds a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Builds a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the span from `earlier` to this time, zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns this time moved forward by `span`.
    pub const fn plus(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_micros() as u64))
    }
}

/// A source of time. Cloning shares the source.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Time + Send + Sync>,
}

impl Clock {
    /// A monotonic clock that starts at its creation.
    pub fn system() -> Clock {
        let origin = Instant::now();
        let read = move || Time::from_micros(origin.elapsed().as_micros() as u64);
        Clock {
            read: Arc::new(read),
        }
    }

    /// A clock that moves only when the returned hand is moved.
    pub fn manual() -> (Clock, ManualHand) {
        let micros = Arc::new(AtomicU64::new(0));
        let hand = ManualHand {
            micros: micros.clone(),
        };
        let read = move || Time::from_micros(micros.load(Ordering::SeqCst));
        (
            Clock {
                read: Arc::new(read),
            },
            hand,
        )
    }

    /// Reads the clock.
    pub fn now(&self) -> Time {
        (self.read)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}

/// Moves a manual clock.
#[derive(Clone, Debug)]
pub struct ManualHand {
    micros: Arc<AtomicU64>,
}

impl ManualHand {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Duration) {
        self.micros
            .fetch_add(span.as_micros() as u64, Ordering::SeqCst);
    }
}
