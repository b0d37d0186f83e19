//! The share of retries that this node may send.
//!
//! The bound holds for the sum over all nodes without a message between them: each node spends
//! only a share of the requests that it sent itself, so that whatever the traffic does, the sum of
//! the retries stays below that share of the sum of the requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::instance::ServiceName;

/// Slices of the window.
const SLICES: usize = 10;

/// Retries of each service, as a share of its requests over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    slice: Duration,
    services: HashMap<ServiceName, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    at: u64,
    first: [u32; SLICES],
    again: [u32; SLICES],
}

impl RetryBudget {
    /// Builds a budget of `share` retries for each request, over `window`.
    pub fn new(share: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            share,
            slice: window / SLICES as u32,
            services: HashMap::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, service: &ServiceName, now: Time) {
        let (counts, at) = self.counts(service, now);
        counts.first[at] += 1;
    }

    /// Takes one retry, if the budget has one.
    pub fn take(&mut self, service: &ServiceName, now: Time) -> bool {
        let share = self.share;
        let (counts, at) = self.counts(service, now);
        let first: u32 = counts.first.iter().sum();
        let again: u32 = counts.again.iter().sum();
        let allowed = f64::from(again + 1) <= f64::from(first) * share;
        if allowed {
            counts.again[at] += 1;
        }
        allowed
    }

    fn counts(&mut self, service: &ServiceName, now: Time) -> (&mut Counts, usize) {
        let slice = self.slice.as_micros().max(1) as u64;
        let at = now.micros() / slice;
        if !self.services.contains_key(service) {
            let counts = Counts {
                at,
                ..Counts::default()
            };
            self.services.insert(service.clone(), counts);
        }
        let counts = self.services.entry(service.clone()).or_default();
        let passed = at.saturating_sub(counts.at).min(SLICES as u64);
        for step in 1..=passed {
            let old = ((at - passed + step) % SLICES as u64) as usize;
            counts.first[old] = 0;
            counts.again[old] = 0;
        }
        counts.at = at.max(counts.at);
        let place = (counts.at % SLICES as u64) as usize;
        (counts, place)
    }
}
