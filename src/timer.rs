//! A timer service that parts subscribe to.
//!
//! The service does not sleep: its owner asks when the next subscription is due, waits by its own
//! means, and tells the service the time. In tests the time is virtual.

use std::time::Duration;

use crate::clock::Time;

/// Gap between two looks at the clock, beyond the expected one, that counts as a process pause.
pub const PAUSE_GAP: Duration = Duration::from_millis(500);

/// What a subscriber is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// The time of the tick.
    pub now: Time,
    /// Time by which the tick is late.
    pub late: Duration,
}

impl Tick {
    /// Returns whether the process was paused before this tick.
    pub fn after_pause(&self) -> bool {
        self.late >= PAUSE_GAP
    }
}

struct Subscription {
    due: Time,
    period: Duration,
    run: Box<dyn FnMut(Tick) + Send>,
}

/// Calls subscribers periodically.
#[derive(Default)]
pub struct TimerService {
    subscriptions: Vec<Subscription>,
}

impl TimerService {
    /// Builds a service without subscribers.
    pub fn new() -> TimerService {
        TimerService::default()
    }

    /// Subscribes `run` every `period`, first at `now` plus `period`.
    pub fn subscribe<F>(&mut self, now: Time, period: Duration, run: F)
    where
        F: FnMut(Tick) + Send + 'static,
    {
        let due = now.plus(period);
        self.subscriptions.push(Subscription {
            due,
            period,
            run: Box::new(run),
        });
    }

    /// Returns when the next subscription is due.
    pub fn next_due(&self) -> Option<Time> {
        self.subscriptions.iter().map(|s| s.due).min()
    }

    /// Runs every subscription that is due at `now`, in order of subscription.
    ///
    /// A subscription that missed several periods runs once.
    pub fn advance(&mut self, now: Time) {
        let due = self.subscriptions.iter_mut().filter(|s| s.due <= now);
        for subscription in due {
            let late = now.since(subscription.due);
            (subscription.run)(Tick { now, late });
            subscription.due = now.plus(subscription.period);
        }
    }
}
