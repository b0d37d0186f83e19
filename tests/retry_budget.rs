//! The retry budgets of all nodes together, in simulated fleets.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::coordination::retry_budget::RetryBudget;
use dragonflylead::instance::ServiceName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const SHARE: f64 = 0.2;
const FLEET_SLACK: f64 = 100.0;
const WINDOW_MS: u64 = 10_000;
const LENGTH_MS: u64 = 40_000;

/// A fleet whose nodes retry whenever their budget allows it.
struct Fleet {
    name: &'static str,
    nodes: usize,
    /// Number of nodes that each node knows of.
    known_nodes: usize,
    requests_per_s: u64,
    /// Share of the requests that enter at one node, which changes every 4 s.
    skew: f64,
    /// Times in milliseconds from which it retries for [`BURST_MS`], as often as it may. If there
    /// are none, each request is retried once.
    bursts: &'static [u64],
    /// Retries that the fleet must be able to send in all, as a share of its requests.
    min_retry_share: f64,
}

const FLEETS: &[Fleet] = &[
    Fleet {
        name: "16 nodes",
        nodes: 16,
        known_nodes: 16,
        requests_per_s: 400,
        skew: 0.6,
        bursts: &[],
        min_retry_share: 0.18,
    },
    Fleet {
        name: "98 nodes",
        nodes: 98,
        known_nodes: 98,
        requests_per_s: 400,
        skew: 0.3,
        bursts: &[],
        min_retry_share: 0.18,
    },
    Fleet {
        name: "98 nodes with few requests each",
        nodes: 98,
        known_nodes: 98,
        requests_per_s: 40,
        skew: 0.0,
        bursts: &[],
        min_retry_share: 0.18,
    },
    Fleet {
        name: "98 nodes that know of 60",
        nodes: 98,
        known_nodes: 60,
        requests_per_s: 40,
        skew: 0.3,
        bursts: &[],
        min_retry_share: 0.18,
    },
    Fleet {
        name: "1,000 nodes",
        nodes: 1_000,
        known_nodes: 1_000,
        requests_per_s: 2_000,
        skew: 0.3,
        bursts: &[],
        min_retry_share: 0.17,
    },
    Fleet {
        name: "16 nodes, two bursts in less than a window",
        nodes: 16,
        known_nodes: 16,
        requests_per_s: 400,
        skew: 0.3,
        bursts: &[10_900, 20_000],
        min_retry_share: 0.05,
    },
];

/// Length of a burst of retries, in milliseconds.
const BURST_MS: u64 = 100;

/// Retries that are tried for each request of a burst.
const TRIES_IN_BURST: usize = 40;

impl Fleet {
    /// Returns how often a request that arrives at `ms` is retried if the budget allows it.
    fn tries(&self, ms: u64) -> usize {
        let in_burst = |start: &u64| (*start..start + BURST_MS).contains(&ms);
        match self.bursts {
            [] => 1,
            bursts if bursts.iter().any(in_burst) => TRIES_IN_BURST,
            _ => 0,
        }
    }
}

/// Simulates a fleet. Returns the times of its requests and of its retries, in milliseconds.
fn simulate(fleet: &Fleet) -> (Vec<u64>, Vec<u64>) {
    let service = ServiceName::new("s");
    let mut rng = ChaCha12Rng::seed_from_u64(11);
    let new_budget = || {
        let mut budget = RetryBudget::new(SHARE, FLEET_SLACK, Duration::from_millis(WINDOW_MS));
        budget.set_nodes(fleet.known_nodes);
        budget
    };
    let mut nodes: Vec<RetryBudget> = (0..fleet.nodes).map(|_| new_budget()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in 0..LENGTH_MS {
        let now = Time::from_millis(ms);
        let arrivals = (ms + 1) * fleet.requests_per_s / 1_000 - ms * fleet.requests_per_s / 1_000;
        for _ in 0..arrivals {
            let node = match rng.random_bool(fleet.skew) {
                true => (ms / 4_000) as usize % nodes.len(),
                false => rng.random_range(0..nodes.len()),
            };
            nodes[node].record_request(&service, now);
            requests.push(ms);
            for _ in 0..fleet.tries(ms) {
                if nodes[node].take(&service, now) {
                    retries.push(ms);
                }
            }
        }
        if ms % 5_000 == 0 {
            let restarted = rng.random_range(0..nodes.len());
            nodes[restarted] = new_budget();
        }
    }
    (requests, retries)
}

fn count(times: &[u64], from: u64, to: u64) -> f64 {
    let end = times.partition_point(|ms| *ms < to);
    let start = times.partition_point(|ms| *ms < from);
    (end - start) as f64
}

/// In each window, the retries of all nodes stay below the share of the requests in it, in the
/// window before it or in the one half a window before it, plus the slack.
#[test]
fn the_retries_of_a_fleet_stay_below_its_budget() {
    for fleet in FLEETS {
        let (requests, retries) = simulate(fleet);
        for start in (WINDOW_MS..LENGTH_MS - WINDOW_MS).step_by(100) {
            let counted = |from: u64| count(&requests, from, from + WINDOW_MS);
            let most = counted(start)
                .max(counted(start - WINDOW_MS))
                .max(counted(start - WINDOW_MS / 2));
            let retried = count(&retries, start, start + WINDOW_MS);
            assert!(
                retried <= most * SHARE + FLEET_SLACK,
                "{}, from {start} ms: {retried} retries, {most} requests",
                fleet.name
            );
        }
        let share = retries.len() as f64 / requests.len() as f64;
        assert!(
            share >= fleet.min_retry_share,
            "{}: only {share:.3} retries a request",
            fleet.name
        );
    }
}
