//! Distinguishes root requests from sub-calls by the services beside which they enter.
//!
//! Both enter at the node beside a target, and the request itself does not show which it is. But
//! callers are located beside every target, while a service calls only the services behind it and
//! never itself. Therefore, if requests of a route enter beside the service that serves the route
//! and beside several others, they are root requests. Only root requests are refused to protect
//! downstream services.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::instance::ServiceName;

/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Minimum number of requests of a route before they can be classified as root requests.
const MIN_REQUESTS: f64 = 12.0;

/// Minimum share of a route's requests that an origin must have to be counted.
const MIN_SHARE: f64 = 0.02;

/// Minimum number of origins of root requests.
const MIN_ORIGINS: usize = 3;

/// Request counts for each route of the local target, by the service beside which they entered.
#[derive(Debug, Default)]
pub struct RequestOrigins {
    routes: HashMap<Arc<str>, HashMap<ServiceName, f64>>,
    halved_at: Time,
}

impl RequestOrigins {
    /// Counts a request that entered at a node beside a target of `origin`.
    pub fn record(&mut self, route: &Arc<str>, origin: &ServiceName, now: Time) {
        self.decay(now);
        let counts = self.routes.entry(route.clone()).or_default();
        match counts.get_mut(origin) {
            Some(count) => *count += 1.0,
            None => drop(counts.insert(origin.clone(), 1.0)),
        }
    }

    /// Returns whether the requests of a route are root requests. `local_service` is the
    /// service that serves the route, and `services` is the number of services in the fleet.
    pub fn is_root(&self, route: &str, local_service: &ServiceName, services: usize) -> bool {
        let Some(counts) = self.routes.get(route) else {
            return false;
        };
        let total: f64 = counts.values().sum();
        let counted = |count: &f64| *count >= total * MIN_SHARE;
        let from_local_service = counts.get(local_service).is_some_and(counted);
        let origins = counts.values().filter(|count| counted(count)).count();
        total >= MIN_REQUESTS && from_local_service && origins >= MIN_ORIGINS.min(services)
    }

    /// Halves all counts once per half-life and removes those that are nearly zero.
    fn decay(&mut self, now: Time) {
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        for counts in self.routes.values_mut() {
            counts.values_mut().for_each(|count| *count /= 2.0);
            counts.retain(|_, count| *count > 0.1);
        }
        self.routes.retain(|_, counts| !counts.is_empty());
    }
}
