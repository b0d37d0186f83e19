//! A timer service with periodic subscriptions.
//!
//! The service does not sleep: its owner asks when the next subscription is due, waits on its own,
//! and passes the current time to the service. Tests use virtual time.

use std::time::Duration;

use crate::clock::Time;

/// Minimum delay of a tick that counts as a process pause.
pub const PAUSE_GAP: Duration = Duration::from_millis(500);

/// A timer tick, passed to each subscriber that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// Current time.
    pub now: Time,
    /// Delay of the tick after its due time.
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

/// Calls its subscribers periodically.
#[derive(Default)]
pub struct TimerService {
    subscriptions: Vec<Subscription>,
}

impl TimerService {
    /// Creates a service without subscribers.
    pub fn new() -> TimerService {
        TimerService::default()
    }

    /// Schedules `run` every `period`, first at `now` plus `period`.
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

    /// Returns the time at which the next subscription is due, or `None` without subscriptions.
    pub fn next_due(&self) -> Option<Time> {
        self.subscriptions.iter().map(|s| s.due).min()
    }

    /// Runs each subscription that is due at `now` once, in the order of subscription, even if it
    /// missed several periods. Its next period starts at `now`.
    pub fn advance(&mut self, now: Time) {
        let due = self.subscriptions.iter_mut().filter(|s| s.due <= now);
        for subscription in due {
            let late = now.since(subscription.due);
            (subscription.run)(Tick { now, late });
            subscription.due = now.plus(subscription.period);
        }
    }
}
