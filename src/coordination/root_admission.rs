//! Which roots enter when the services behind them cannot take all.
//!
//! The load that this answers is a standing overload of a service that several routes share. The
//! node that reads the roots knows how many of each route arrive and what one costs at the gate, so
//! it can grant the load that the gate lets in: the more important ranks first, and a small part of
//! each lesser one, so that nobody is left with nothing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::backpressure::DownstreamRatios;
use crate::fingerprint::Fingerprint;

/// Time between two computations of the shares.
const PERIOD: Duration = Duration::from_millis(100);

/// Weight of the latest period in the rate of a route.
const RATE_WEIGHT: f64 = 0.2;

/// Share of each rank's demand that is granted before the more important ranks get the rest, as a
/// share of what the gate lets in.
const LEAST_SHARE: f64 = 0.2;

/// Factor on the chance of a caller that was refused before and has come back as it was told.
const RETURN_FAVOUR: f64 = 4.0;

/// Refused callers that are remembered, at most.
const MAX_REFUSED: usize = 4_096;

/// Time for which a refused caller is remembered.
const REFUSED_KEPT: Duration = Duration::from_secs(6);

#[derive(Debug)]
struct Demand {
    rank: u8,
    arrived: u32,
    per_s: f64,
    share: f64,
}

/// Shares of the routes whose requests this node reads.
#[derive(Debug, Default)]
pub struct RootAdmission {
    routes: HashMap<Arc<str>, Demand>,
    computed: Time,
    refused: HashMap<Fingerprint, Time>,
}

impl RootAdmission {
    /// Counts a root and returns the share of its route that enters.
    pub fn record_arrival(
        &mut self,
        route: &Arc<str>,
        rank: u8,
        gates: &DownstreamRatios,
        now: Time,
    ) -> f64 {
        let new = Demand {
            rank,
            arrived: 0,
            per_s: 0.0,
            share: 1.0,
        };
        let demand = self.routes.entry(route.clone()).or_insert(new);
        demand.rank = rank;
        demand.arrived += 1;
        if now.since(self.computed) >= PERIOD {
            self.compute(gates, now);
        }
        self.routes.get(route).map_or(1.0, |demand| demand.share)
    }

    /// Returns whether a root of a route with this share enters. `luck` is uniform in 0..1.
    pub fn admit(&mut self, request: Fingerprint, share: f64, luck: f64, now: Time) -> bool {
        let returned = self.refused.remove(&request);
        let returned = returned.is_some_and(|at| now.since(at) < REFUSED_KEPT);
        let favour = match returned {
            true => RETURN_FAVOUR,
            false => 1.0,
        };
        let admitted = share >= 1.0 || luck < share * favour;
        if !admitted {
            self.remember(request, now);
        }
        admitted
    }

    fn remember(&mut self, request: Fingerprint, now: Time) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused.retain(|_, at| now.since(*at) < REFUSED_KEPT);
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(request, now);
        }
    }

    fn compute(&mut self, gates: &DownstreamRatios, now: Time) {
        let passed = now.since(self.computed).as_secs_f64();
        self.computed = now;
        for demand in self.routes.values_mut() {
            let latest = f64::from(demand.arrived) / passed;
            demand.per_s += (latest - demand.per_s) * RATE_WEIGHT;
            demand.arrived = 0;
        }
        self.routes.retain(|_, demand| demand.per_s > 0.01);
        let mut granted = 0.0;
        let mut ranks: BTreeMap<u8, f64> = BTreeMap::new();
        for (name, demand) in &self.routes {
            let gate = gates.ratio(name, now);
            if !gate.admits_all() {
                let load = demand.per_s * gates.cost_ms(name);
                granted += load * gate.share();
                *ranks.entry(demand.rank).or_default() += load;
            }
        }
        let shares = divide(granted, &ranks);
        for (name, demand) in &mut self.routes {
            demand.share = match gates.ratio(name, now).admits_all() {
                true => 1.0,
                false => shares.get(&demand.rank).copied().unwrap_or(1.0),
            };
        }
    }
}

/// Divides a granted load among the demands of the ranks. Returns the share of each demand.
fn divide(granted: f64, demands: &BTreeMap<u8, f64>) -> BTreeMap<u8, f64> {
    let total: f64 = demands.values().sum();
    if total <= 0.0 {
        return BTreeMap::new();
    }
    let least = LEAST_SHARE * (granted / total).min(1.0);
    let mut left = granted - least * total;
    let shares = demands.iter().map(|(rank, demand)| {
        let more = (demand * (1.0 - least)).min(left).max(0.0);
        left -= more;
        (*rank, least + more / demand.max(f64::MIN_POSITIVE))
    });
    shares.collect()
}
