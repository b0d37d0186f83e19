//! Attributes sub-calls to repeated runs.
//!
//! A run that is repeated makes its sub-calls again, which adds to the load of the called services
//! as retries do. A sub-call does not identify the run that made it. So each repeated run announces
//! as many calls on each route as its requests make on average, and the next calls on that route
//! are taken for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;

/// Time after the last announcement in which the announced calls are made. Runs are shorter.
const MAX_CALL_DELAY: Duration = Duration::from_secs(5);

/// Calls that are announced on one route and have not been made.
#[derive(Debug, Default)]
struct Announced {
    calls: f64,
    expires: Time,
}

/// Announced calls of the repeated runs of the local target, by called route.
#[derive(Debug, Default)]
pub struct RepeatedCalls {
    routes: HashMap<Arc<str>, Announced>,
}

impl RepeatedCalls {
    /// Announces that a repeated run makes `calls` calls on `route`.
    pub fn announce(&mut self, route: &Arc<str>, calls: f64, now: Time) {
        self.routes.retain(|_, announced| now < announced.expires);
        let announced = self.routes.entry(route.clone()).or_default();
        announced.calls += calls;
        announced.expires = now.plus(MAX_CALL_DELAY);
    }

    /// Returns whether a call on `route` is taken for one of a repeated run.
    pub fn take(&mut self, route: &str, now: Time) -> bool {
        let Some(announced) = self.routes.get_mut(route) else {
            return false;
        };
        if announced.calls < 1.0 || now >= announced.expires {
            return false;
        }
        announced.calls -= 1.0;
        true
    }
}
