//! Tells the requests of callers from the calls that targets make.
//!
//! Both enter at the node beside a target, and nothing on them says which they are. But callers
//! stand beside every target, and a service calls only the services behind it, never itself. So a
//! route whose requests come also from the service that serves it, and from several others, is one
//! that callers use: its requests are roots, and only roots are refused for the sake of the
//! services behind.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::instance::ServiceName;

/// Time after which what was counted weighs half.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Requests of a route that are needed for a verdict.
const MIN_REQUESTS: f64 = 12.0;

/// Share of a route's requests below which an origin is not counted.
const MIN_SHARE: f64 = 0.02;

/// Services from which the requests of a root come, at least.
const MIN_ORIGINS: usize = 3;

/// Where the requests of each route of the own target came from.
#[derive(Debug, Default)]
pub struct RequestOrigins {
    routes: HashMap<Arc<str>, HashMap<ServiceName, f64>>,
    halved: Time,
}

impl RequestOrigins {
    /// Counts a request that began beside a target of `origin`.
    pub fn record(&mut self, route: &Arc<str>, origin: &ServiceName, now: Time) {
        self.age(now);
        let counts = self.routes.entry(route.clone()).or_default();
        match counts.get_mut(origin) {
            Some(count) => *count += 1.0,
            None => drop(counts.insert(origin.clone(), 1.0)),
        }
    }

    /// Returns whether the requests of a route are roots. `own` serves the route, and `services`
    /// is the number of services in the fleet.
    pub fn is_root(&self, route: &str, own: &ServiceName, services: usize) -> bool {
        let Some(counts) = self.routes.get(route) else {
            return false;
        };
        let total: f64 = counts.values().sum();
        let counted = |count: &f64| *count >= total * MIN_SHARE;
        let from_own = counts.get(own).is_some_and(counted);
        let origins = counts.values().filter(|count| counted(count)).count();
        total >= MIN_REQUESTS && from_own && origins >= MIN_ORIGINS.min(services)
    }

    fn age(&mut self, now: Time) {
        if now.since(self.halved) < HALF_LIFE {
            return;
        }
        self.halved = now;
        for counts in self.routes.values_mut() {
            counts.values_mut().for_each(|count| *count /= 2.0);
            counts.retain(|_, count| *count > 0.1);
        }
        self.routes.retain(|_, counts| !counts.is_empty());
    }
}
