//! Routes: the service that a request goes to, its limits, and traffic splitting.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::organisations::Directory;
use crate::instance::ServiceName;

/// Number of priorities of routes that are told apart within an organisation's priority.
const ROUTE_PRIORITIES: u8 = 3;

/// Number of requests after which the sequence of a traffic split repeats.
const SPLIT_PERIOD: u64 = 1 << 20;

/// One of the services among which the requests of a route are split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Settings for the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in its table.
    pub name: Arc<str>,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time in which a caller receives a response.
    pub timeout: Duration,
    /// Latency objective: a response within this time has its full value for the caller.
    pub objective: Duration,
    /// Priority as configured; 0 is the highest. [`queue_priority`] maps it to a [`Priority`].
    #[serde(rename = "rank")] // serialized name
    pub priority: u8,
    /// Whether requests need no key although there are organisations.
    pub public: bool,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Services among which the requests are split.
    #[serde(rename = "parts")] // serialized name
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// Returns the services of the route with their shares of its requests.
    pub fn service_shares(&self) -> Vec<(ServiceName, f64)> {
        let total: u32 = self.weighted_services.iter().map(|s| s.weight).sum();
        let share = |weight: u32| f64::from(weight) / f64::from(total.max(1));
        let services = self.weighted_services.iter();
        services
            .map(|s| (s.service.clone(), share(s.weight)))
            .collect()
    }
}

/// Returns the priority of a request, of which 0 is the highest: that of its organisation takes
/// precedence over that of its route, which orders the requests of organisations of one priority.
/// Those of the highest organisations are all equal.
pub fn request_priority(organisation: Option<u8>, route: u8) -> u8 {
    match organisation {
        None => route,
        Some(0) => 0,
        Some(level) => {
            let above = (level - 1).saturating_mul(ROUTE_PRIORITIES);
            above.saturating_add(1 + route.min(ROUTE_PRIORITIES - 1))
        }
    }
}

/// Converts the priority of a route, of which 0 is the highest, to the priority of its root
/// requests in the admission queue.
///
/// [`Priority::Critical`] is reserved for sub-calls, because their root requests are already
/// running.
pub fn queue_priority(route_priority: u8) -> Priority {
    match route_priority {
        0 => Priority::High,
        1 => Priority::Normal,
        2 => Priority::Low,
        _ => Priority::Background,
    }
}

/// Limits on the requests and connections of callers, set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    #[serde(rename = "head_bytes")] // serialized name
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(rename = "body_bytes")] // serialized name
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head. It also limits the
    /// wait for the next bytes of the body.
    #[serde(rename = "head_time")] // serialized name
    pub head_timeout: Duration,
    /// Time without a request after which an idle connection is closed.
    #[serde(rename = "idle")] // serialized name
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is loaded.
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routes and caller limits of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// The organisations, if requests need keys.
    pub directory: Option<Directory>,
    routes: Vec<Arc<Route>>,
    /// The services that the configuration names, by itself or in a route.
    services: BTreeSet<ServiceName>,
    /// Indexes into `routes` by host, longest prefix first.
    #[serde(skip)]
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Creates a table and its index.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> RouteTable {
        let routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let weighted = routes.iter().flat_map(|route| &route.weighted_services);
        let services = weighted.map(|weighted| weighted.service.clone()).collect();
        let table = RouteTable {
            version,
            limits,
            directory: None,
            routes,
            services,
            by_host: HashMap::new(),
        };
        table.with_index()
    }

    /// Returns the table with organisations, whose keys requests need.
    pub fn with_directory(mut self, directory: Directory) -> RouteTable {
        self.directory = Some(directory);
        self
    }

    /// Returns the table with services that are named besides those in its routes.
    pub fn with_services<I>(mut self, services: I) -> RouteTable
    where
        I: IntoIterator<Item = ServiceName>,
    {
        self.services.extend(services);
        self
    }

    /// Returns whether the configuration names a service.
    pub fn names(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Rebuilds the index, which is not serialized.
    pub fn with_index(mut self) -> RouteTable {
        self.directory = self.directory.map(Directory::with_index);
        self.by_host.clear();
        for (i, route) in self.routes.iter().enumerate() {
            self.by_host.entry(route.host.clone()).or_default().push(i);
        }
        for indexes in self.by_host.values_mut() {
            indexes.sort_by_key(|&i| std::cmp::Reverse(self.routes[i].prefix.len()));
        }
        self
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.by_host.get(host)?;
        indexes
            .iter()
            .map(|&i| &self.routes[i])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

/// Maximum excess of a service's share of the executed requests over the share of its weight.
/// Above it, its requests are refused.
const MAX_EXCESS: f64 = 0.08;

/// Number of requests that are admitted beyond the maximum excess, so that small counts do not
/// cause refusals.
const EXCESS_SLACK: f64 = 0.8;

/// Half-life of the counts of executed requests.
const RUN_HALF_LIFE: Duration = Duration::from_secs(6);

/// Executed requests of a route, by service, with exponential decay.
#[derive(Debug, Default)]
struct Runs {
    services: HashMap<ServiceName, f64>,
    halved_at: Time,
}

/// Splits the requests of each route among its services by weight.
///
/// While one service refuses requests, the others are held to their shares: requests that the
/// service refuses fail, because sending them to the other services would distort the split.
///
/// Requests are assigned by a golden-ratio sequence, whose stride is irrational relative to the
/// total weight. In any sequence of consecutive requests the share of each service is close to its
/// weight. Nodes that start at different points do not choose the same service at the same time.
#[derive(Debug)]
pub struct TrafficSplit {
    start: u64,
    /// Assigned requests by route, modulo [`SPLIT_PERIOD`].
    counts: HashMap<Arc<str>, u64>,
    runs: HashMap<Arc<str>, Runs>,
}

impl TrafficSplit {
    /// Creates a split whose sequence starts at `start`, which should differ between nodes.
    pub fn new(start: u64) -> TrafficSplit {
        TrafficSplit {
            start: start % SPLIT_PERIOD,
            counts: HashMap::new(),
            runs: HashMap::new(),
        }
    }

    /// Removes the state of routes that are not in `table` and resets all counts of executed
    /// requests.
    pub fn retain_routes(&mut self, table: &RouteTable) {
        let names: std::collections::HashSet<&str> =
            table.routes().map(|route| route.name.as_ref()).collect();
        self.counts.retain(|name, _| names.contains(name.as_ref()));
        self.runs.clear();
    }

    /// Counts a request of `route` that `service` executed.
    pub fn record_run(&mut self, route: &Route, service: &ServiceName, now: Time) {
        if route.weighted_services.len() < 2 {
            return;
        }
        let runs = self.runs.entry(route.name.clone()).or_default();
        if now.since(runs.halved_at) >= RUN_HALF_LIFE {
            runs.halved_at = now;
            runs.services.values_mut().for_each(|count| *count /= 2.0);
        }
        *runs.services.entry(service.clone()).or_default() += 1.0;
    }

    /// Returns whether `service` may run another request of `route` without exceeding its share.
    pub fn may_run(&self, route: &Route, service: &ServiceName) -> bool {
        let Some(runs) = self.runs.get(&route.name) else {
            return true;
        };
        let total: u32 = route.weighted_services.iter().map(|p| p.weight).sum();
        let weighted = route
            .weighted_services
            .iter()
            .find(|p| p.service == *service);
        let weight = weighted.map_or(0.0, |p| f64::from(p.weight)) / f64::from(total.max(1));
        let executed: f64 = runs.services.values().sum();
        let executed_by_service = runs.services.get(service).copied().unwrap_or_default();
        executed_by_service <= (weight + MAX_EXCESS) * executed + EXCESS_SLACK
    }

    /// Returns the service that the next request of `route` goes to, or `None` if the route has no
    /// services.
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
        let golden_ratio = 0.618_033_988_749_894_9;
        let mut position = ((self.start + *count) as f64 * golden_ratio).fract() * total as f64;
        for weighted in &route.weighted_services {
            position -= f64::from(weighted.weight);
            if position < 0.0 {
                return Some(weighted.service.clone());
            }
        }
        route.weighted_services.last().map(|p| p.service.clone())
    }
}
