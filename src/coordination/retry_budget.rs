//! Retry budget: limits the retries of this node to a share of its requests.
//!
//! The limit holds for the fleet as a whole without coordination. Each node's retries are limited
//! to a share of the requests that it sent itself, so for any distribution of traffic the total of
//! retries stays below the same share of the total of requests. A fixed slack, divided by the number
//! of nodes, lets nodes with few requests retry, whose share would otherwise be rounded down to none.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::instance::ServiceName;

/// Number of slices of the sliding window. Requests are counted in the present slice and those
/// before it, and so for at most the length of the window.
const SLICES: usize = 10;

/// Number of slices in which retries are counted. The first one may be covered in part, so that
/// there is one more: retries count for at least the length of the window.
const RETRY_SLICES: usize = SLICES + 1;

/// Part of the slack that the nodes use together. The rest covers nodes whose list is incomplete.
const USED_SLACK: f64 = 0.5;

/// Limits the retries to each service to a share of the requests in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    /// Retries of the whole fleet beyond `share`.
    fleet_slack: f64,
    /// Part of `fleet_slack` that this node uses.
    slack: f64,
    slice_duration: Duration,
    services: HashMap<ServiceName, Counts>,
}

/// Counts of one service, by slice of the window.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// Number of the newest slice since time zero.
    slice: u64,
    requests: [u32; SLICES],
    /// Retries and expected sub-calls of repeated runs.
    retries: [f64; RETRY_SLICES],
}

impl Counts {
    /// Starts the slices up to `slice`, which clears the counts that they replace.
    fn advance(&mut self, slice: u64) {
        let passed = slice.saturating_sub(self.slice).min(RETRY_SLICES as u64);
        self.slice = slice.max(self.slice);
        for started in (self.slice - passed + 1)..=self.slice {
            *at(&mut self.requests, started) = 0;
            *at(&mut self.retries, started) = 0.0;
        }
    }
}

/// Returns the count of a slice.
fn at<T>(counts: &mut [T], slice: u64) -> &mut T {
    let index = (slice % counts.len() as u64) as usize;
    &mut counts[index]
}

impl RetryBudget {
    /// Creates a budget of `share` retries per request over the last `window`. The nodes of the
    /// fleet share `fleet_slack` further retries to each service, once
    /// [`RetryBudget::set_nodes`] has given their number.
    pub fn new(share: f64, fleet_slack: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            share,
            fleet_slack,
            slack: 0.0,
            slice_duration: window / SLICES as u32,
            services: HashMap::new(),
        }
    }

    /// Sets the number of nodes that share the slack.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.slack = match nodes {
            0 => 0.0,
            nodes => self.fleet_slack * USED_SLACK / nodes as f64,
        };
    }

    /// Counts a request that is sent to a service for the first time.
    pub fn record_request(&mut self, service: &ServiceName, now: Time) {
        let counts = self.counts(service, now);
        *at(&mut counts.requests, counts.slice) += 1;
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, service: &ServiceName, now: Time) -> bool {
        let allowed = self.left(service, now) + self.slack >= 1.0;
        if allowed {
            self.record_repeated(service, 1.0, now);
        }
        allowed
    }

    /// Returns whether the budget has room for `calls` further calls on a service. The slack does
    /// not count: one retry may make many sub-calls, whose services have only their own slack.
    pub fn has_room(&mut self, service: &ServiceName, calls: f64, now: Time) -> bool {
        self.left(service, now) >= calls
    }

    /// Counts calls that are repeated whether or not the budget allows it.
    pub fn record_repeated(&mut self, service: &ServiceName, calls: f64, now: Time) {
        let counts = self.counts(service, now);
        *at(&mut counts.retries, counts.slice) += calls;
    }

    /// Returns the retries that are left of the share of the requests, without the slack.
    fn left(&mut self, service: &ServiceName, now: Time) -> f64 {
        let share = self.share;
        let counts = self.counts(service, now);
        let requests: u32 = counts.requests.iter().sum();
        let retries: f64 = counts.retries.iter().sum();
        f64::from(requests) * share - retries
    }

    /// Returns the counts of a service, with expired slices cleared.
    fn counts(&mut self, service: &ServiceName, now: Time) -> &mut Counts {
        let slice_us = self.slice_duration.as_micros().max(1) as u64;
        let slice = now.micros() / slice_us;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        let counts = self.services.entry(service.clone()).or_default();
        counts.advance(slice);
        counts
    }
}
