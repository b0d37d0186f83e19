//! Points in time as the decision logic uses them, and the clocks that produce them.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// A point in time, in microseconds since an origin that is local to the process.
///
/// Values of different processes must not be compared; processes exchange only durations.
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

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that is `duration` after this one, saturating at the maximum.
    pub const fn plus(self, duration: Duration) -> Time {
        let micros = duration.as_micros();
        match micros < u64::MAX as u128 {
            true => Time(self.0.saturating_add(micros as u64)),
            false => Time(u64::MAX),
        }
    }

    /// Returns the time that is `duration` before this one, saturating at the origin.
    pub const fn minus(self, duration: Duration) -> Time {
        let micros = duration.as_micros();
        match micros < self.0 as u128 {
            true => Time(self.0 - micros as u64),
            false => Time::ZERO,
        }
    }
}

/// A source of time. Cloning shares the source.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Time + Send + Sync>,
}

impl Clock {
    /// Creates a monotonic clock whose origin is the time of its creation.
    pub fn system() -> Clock {
        let origin = Instant::now();
        let read = move || Time::from_micros(origin.elapsed().as_micros() as u64);
        Clock {
            read: Arc::new(read),
        }
    }

    /// Creates a clock that also counts the time for which the machine is suspended, unlike
    /// [`Clock::system`].
    pub fn boot() -> Clock {
        let read = || {
            let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
            let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
            let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
            Time::from_micros(seconds * 1_000_000 + nanos / 1_000)
        };
        Clock {
            read: Arc::new(read),
        }
    }

    /// Creates a clock that starts at the origin and advances only through the returned handle.
    pub fn manual() -> (Clock, ManualClockHandle) {
        let micros = Arc::new(AtomicU64::new(0));
        let handle = ManualClockHandle {
            micros: micros.clone(),
        };
        let read = move || Time::from_micros(micros.load(Ordering::SeqCst));
        (
            Clock {
                read: Arc::new(read),
            },
            handle,
        )
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        (self.read)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}

/// Advances a manual clock.
#[derive(Clone, Debug)]
pub struct ManualClockHandle {
    micros: Arc<AtomicU64>,
}

impl ManualClockHandle {
    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Duration) {
        self.micros
            .fetch_add(duration.as_micros() as u64, Ordering::SeqCst);
    }
}
