//! Admission of root requests while a downstream service is overloaded.
//!
//! It handles a sustained overload of a service that several routes share. The node at which root
//! requests enter knows the arrival rate of each route and the slot time that one request costs at
//! the overloaded service. It divides the load that the service admits among the priorities
//! of the routes: higher priorities come first, but each keeps a small share, so that none is
//! starved.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::backpressure::DownstreamRatios;
use crate::fingerprint::Fingerprint;

/// Time between two computations of the shares.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// Weight of the newest period in the moving average of a route's arrival rate.
const RATE_WEIGHT: f64 = 0.2;

/// Part of the admitted load that is divided among all priorities in proportion to their demand,
/// before the rest goes to the higher priorities first.
const MIN_SHARE: f64 = 0.2;

/// Factor on the admission probability of a refused request that its caller sends again after the
/// suggested delay.
const RETRY_FACTOR: f64 = 4.0;

/// Maximum number of refused requests remembered.
const MAX_REFUSED: usize = 4_096;

/// Time for which a refused request is remembered.
const REFUSED_TTL: Duration = Duration::from_secs(6);

/// Demand of one route at one priority and the share of it that is admitted.
#[derive(Debug)]
struct Demand {
    /// Arrivals in the current period.
    arrivals: u32,
    /// Moving average of the arrivals per second.
    per_s: f64,
    /// Share of the requests to admit, from 0 to 1.
    share: f64,
}

/// Admission state of the routes whose root requests enter at this node.
#[derive(Debug, Default)]
pub struct RootAdmission {
    routes: HashMap<(Arc<str>, u8), Demand>,
    updated_at: Time,
    /// Refused requests and when they were refused.
    refused: HashMap<Fingerprint, Time>,
}

impl RootAdmission {
    /// Counts a root request and returns the share of its route's requests to admit.
    pub fn record_arrival(
        &mut self,
        route: &Arc<str>,
        priority: u8,
        downstream: &DownstreamRatios,
        now: Time,
    ) -> f64 {
        let new = Demand {
            arrivals: 0,
            per_s: 0.0,
            share: 1.0,
        };
        let key = (route.clone(), priority);
        let demand = self.routes.entry(key.clone()).or_insert(new);
        demand.arrivals += 1;
        if now.since(self.updated_at) >= UPDATE_PERIOD {
            self.update_shares(downstream, now);
        }
        self.routes.get(&key).map_or(1.0, |demand| demand.share)
    }

    /// Returns the share of the root requests of a route that is admitted at a priority.
    pub fn share(&self, route: &Arc<str>, priority: u8) -> f64 {
        let demand = self.routes.get(&(route.clone(), priority));
        demand.map_or(1.0, |demand| demand.share)
    }

    /// Decides whether to admit a root request of a route with this share, and remembers it if not.
    /// `random` is uniformly distributed in 0..1.
    pub fn admit(&mut self, request: Fingerprint, share: f64, random: f64, now: Time) -> bool {
        let refused_at = self.refused.remove(&request);
        let is_retry = refused_at.is_some_and(|at| now.since(at) < REFUSED_TTL);
        let factor = match is_retry {
            true => RETRY_FACTOR,
            false => 1.0,
        };
        let admitted = share >= 1.0 || random < share * factor;
        if !admitted {
            self.record_refusal(request, now);
        }
        admitted
    }

    fn record_refusal(&mut self, request: Fingerprint, now: Time) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused.retain(|_, at| now.since(*at) < REFUSED_TTL);
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(request, now);
        }
    }

    fn update_shares(&mut self, downstream: &DownstreamRatios, now: Time) {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        for demand in self.routes.values_mut() {
            let latest = f64::from(demand.arrivals) / passed;
            demand.per_s += (latest - demand.per_s) * RATE_WEIGHT;
            demand.arrivals = 0;
        }
        self.routes.retain(|_, demand| demand.per_s > 0.01);
        let mut admitted = 0.0;
        let mut demands: BTreeMap<u8, f64> = BTreeMap::new();
        for ((name, priority), demand) in &self.routes {
            let ratio = downstream.ratio(name, now);
            if !ratio.admits_all() {
                let load = demand.per_s * downstream.cost_ms(name);
                admitted += load * ratio.share();
                *demands.entry(*priority).or_default() += load;
            }
        }
        let shares = divide(admitted, &demands);
        for ((name, priority), demand) in &mut self.routes {
            demand.share = match downstream.ratio(name, now).admits_all() {
                true => 1.0,
                false => shares.get(priority).copied().unwrap_or(1.0),
            };
        }
    }
}

/// Divides an admitted load among the priorities, given the demand of each in the same unit.
/// Returns the share of each demand that is admitted.
fn divide(admitted: f64, demands: &BTreeMap<u8, f64>) -> BTreeMap<u8, f64> {
    let total: f64 = demands.values().sum();
    if total <= 0.0 {
        return BTreeMap::new();
    }
    let min_share = MIN_SHARE * (admitted / total).min(1.0);
    let mut left = admitted - min_share * total;
    let shares = demands.iter().map(|(priority, demand)| {
        let extra = (demand * (1.0 - min_share)).min(left).max(0.0);
        left -= extra;
        (*priority, min_share + extra / demand.max(f64::MIN_POSITIVE))
    });
    shares.collect()
}
