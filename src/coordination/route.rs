//! Routes: which service a request goes to, and how it is to be treated.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call::Priority;
use crate::clock::Time;
use crate::instance::ServiceName;

/// Requests, counted from the start, over which a split comes back to where it began.
const SPLIT_PERIOD: u64 = 1 << 20;

/// One of the services that a route's requests are split among.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other parts.
    pub weight: u32,
}

/// How requests of one host and path prefix are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in its table.
    pub name: Arc<str>,
    /// Host, in lower case.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to its caller.
    pub objective: Duration,
    /// Importance; 0 is the highest.
    pub rank: u8,
    /// Targets that one request may be sent to, at most.
    pub max_attempts: u32,
    /// Services that the requests are split among.
    #[serde(rename = "parts")]
    pub weighted_services: Vec<WeightedService>,
}

/// Returns the priority in the admission queue of a request of `rank`, 0 being the highest rank.
/// The first priority is left to sub-calls, whose roots have already run.
pub fn queue_priority(rank: u8) -> Priority {
    match rank {
        0 => Priority::High,
        1 => Priority::Normal,
        2 => Priority::Low,
        _ => Priority::Background,
    }
}

/// What a caller may send, as the operator set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that the head of a request may take.
    pub head_time: Duration,
    /// Longest time that a connection stays idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// A configuration: its routes and limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// What a caller may send.
    pub limits: CallerLimits,
    routes: Vec<Arc<Route>>,
    #[serde(skip)]
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Builds a table.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> RouteTable {
        let routes = routes.into_iter().map(Arc::new).collect();
        let table = RouteTable {
            version,
            limits,
            routes,
            by_host: HashMap::new(),
        };
        table.with_index()
    }

    /// Returns the table with its index, which does not travel with it.
    pub fn with_index(mut self) -> RouteTable {
        self.by_host.clear();
        for (at, route) in self.routes.iter().enumerate() {
            self.by_host.entry(route.host.clone()).or_default().push(at);
        }
        for places in self.by_host.values_mut() {
            places.sort_by_key(|&at| std::cmp::Reverse(self.routes[at].prefix.len()));
        }
        self
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let places = self.by_host.get(host)?;
        places
            .iter()
            .map(|&at| &self.routes[at])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

/// Excess of a part's share of the requests that were run, above its weight's, from which on its
/// requests are refused.
const MAX_EXCESS: f64 = 0.08;

/// Requests beyond that excess that are let through, so that small numbers say nothing.
const EXCESS_SLACK: f64 = 0.8;

/// Time after which the requests that were run weigh half.
const RUN_HALF_LIFE: Duration = Duration::from_secs(6);

/// Requests of a route that were run, by part.
#[derive(Debug, Default)]
struct Runs {
    parts: HashMap<ServiceName, f64>,
    halved: Time,
}

/// Splits the requests of each route among its parts.
///
/// While one part turns requests away, the others are held to their shares: what does not fit one
/// part is refused there, and does not tip the split.
///
/// A stride that is irrational to the total keeps the share of every part close to its weight in
/// any run of requests, and nodes that start at different points do not move in step.
#[derive(Debug)]
pub struct TrafficSplit {
    start: u64,
    counts: HashMap<Arc<str>, u64>,
    runs: HashMap<Arc<str>, Runs>,
}

impl TrafficSplit {
    /// Builds a split that begins at an arbitrary point.
    pub fn new(start: u64) -> TrafficSplit {
        TrafficSplit {
            start: start % SPLIT_PERIOD,
            counts: HashMap::new(),
            runs: HashMap::new(),
        }
    }

    /// Forgets routes that are gone.
    pub fn retain_routes(&mut self, table: &RouteTable) {
        let names: std::collections::HashSet<&str> =
            table.routes().map(|route| route.name.as_ref()).collect();
        self.counts.retain(|name, _| names.contains(name.as_ref()));
        self.runs.clear();
    }

    /// Counts a request of `route` that was run by a part.
    pub fn record_run(&mut self, route: &Route, part: &ServiceName, now: Time) {
        if route.weighted_services.len() < 2 {
            return;
        }
        let runs = self.runs.entry(route.name.clone()).or_default();
        if now.since(runs.halved) >= RUN_HALF_LIFE {
            runs.halved = now;
            runs.parts.values_mut().for_each(|count| *count /= 2.0);
        }
        *runs.parts.entry(part.clone()).or_default() += 1.0;
    }

    /// Returns whether a part may run another request of `route` without exceeding its share.
    pub fn may_run(&self, route: &Route, part: &ServiceName) -> bool {
        let Some(runs) = self.runs.get(&route.name) else {
            return true;
        };
        let total: u32 = route.weighted_services.iter().map(|p| p.weight).sum();
        let own = route.weighted_services.iter().find(|p| p.service == *part);
        let weight = own.map_or(0.0, |p| f64::from(p.weight)) / f64::from(total.max(1));
        let all: f64 = runs.parts.values().sum();
        let run = runs.parts.get(part).copied().unwrap_or_default();
        run <= (weight + MAX_EXCESS) * all + EXCESS_SLACK
    }

    /// Returns the service that the next request of `route` goes to.
    pub fn next(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.weighted_services.as_slice() {
            return Some(only.service.clone());
        }
        let count = self.counts.entry(route.name.clone()).or_default();
        *count = (*count + 1) % SPLIT_PERIOD;
        let total: u64 = route
            .weighted_services
            .iter()
            .map(|p| u64::from(p.weight))
            .sum();
        let golden = 0.618_033_988_749_894_9;
        let mut at = ((self.start + *count) as f64 * golden).fract() * total as f64;
        for part in &route.weighted_services {
            at -= f64::from(part.weight);
            if at < 0.0 {
                return Some(part.service.clone());
            }
        }
        route.weighted_services.last().map(|p| p.service.clone())
    }
}
