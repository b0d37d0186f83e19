//! Retry budgets: when an attempt may follow another, and how many a service sees.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::call::RequestId;
use crate::clock::Time;
use crate::error::ErrorKind;
use crate::fingerprint::Fingerprint;
use crate::instance::ServiceName;

/// Retries allowed for each thousand successes of a service.
pub const RETRIES_PER_THOUSAND: u64 = 100;

/// Retries that a service which was never called may see.
pub const INITIAL_RETRIES: u64 = 10;

/// Retries that a service can save up.
pub const MAX_RETRIES: u64 = 100;

/// Services with an allowance at most.
pub const MAX_SERVICES: usize = 2_048;

/// Time for which a request id is remembered at the node where it entered.
pub const REQUEST_KEPT: Duration = Duration::from_secs(60);

/// Request ids remembered at most.
pub const MAX_REQUESTS: usize = 32_768;

const MILLI: u64 = 1_000;

/// Returns whether another attempt may follow one that ended with `kind`.
///
/// A non-idempotent call may be attempted again only after a definite "not run".
pub fn may_follow(idempotent: bool, kind: ErrorKind) -> bool {
    let harmless = idempotent || matches!(kind, ErrorKind::NotRun(_));
    harmless && kind.try_other()
}

/// Retries that each service may see, as a share of its successes.
///
/// A service that fails earns nothing, so its allowance runs out and it sees no more retries than
/// what it saved up.
#[derive(Debug, Default)]
pub struct RetryAllowance {
    services: BTreeMap<ServiceName, u64>,
}

impl RetryAllowance {
    /// Builds a table in which every service has its initial allowance.
    pub fn new() -> RetryAllowance {
        RetryAllowance::default()
    }

    /// Credits the success of a call to `service`.
    pub fn success(&mut self, service: &ServiceName) {
        if let Some(saved) = self.entry(service) {
            *saved = (*saved + RETRIES_PER_THOUSAND).min(MAX_RETRIES * MILLI);
        }
    }

    /// Takes one retry from the allowance of `service`, if there is one left.
    pub fn take(&mut self, service: &ServiceName) -> bool {
        let Some(saved) = self.entry(service) else {
            return false;
        };
        let Some(rest) = saved.checked_sub(MILLI) else {
            return false;
        };
        *saved = rest;
        true
    }

    /// Returns the whole retries that `service` may see now.
    pub fn left(&self, service: &ServiceName) -> u64 {
        let saved = self.services.get(service);
        saved.map_or(INITIAL_RETRIES, |milli| milli / MILLI)
    }

    fn entry(&mut self, service: &ServiceName) -> Option<&mut u64> {
        let known = self.services.contains_key(service);
        if !known && self.services.len() >= MAX_SERVICES {
            return None;
        }
        let saved = self.services.entry(service.clone());
        Some(saved.or_insert(INITIAL_RETRIES * MILLI))
    }
}

/// How a request id compares with those seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdMatch {
    /// The id was not seen before.
    New,
    /// The same request was seen before.
    Duplicate,
    /// The id was seen with another request.
    Mismatch,
}

/// Request ids seen at the node where requests enter.
#[derive(Debug, Default)]
pub struct SeenRequests {
    seen: BTreeMap<RequestId, Fingerprint>,
    order: VecDeque<(Time, RequestId)>,
}

impl SeenRequests {
    /// Builds an empty table.
    pub fn new() -> SeenRequests {
        SeenRequests::default()
    }

    /// Notes a request that enters with an id that its caller gave.
    pub fn record(
        &mut self,
        now: Time,
        request: RequestId,
        fingerprint: Fingerprint,
    ) -> RequestIdMatch {
        self.forget(now);
        match self.seen.get(&request) {
            Some(known) if *known == fingerprint => return RequestIdMatch::Duplicate,
            Some(_) => return RequestIdMatch::Mismatch,
            None => {}
        }
        self.seen.insert(request, fingerprint);
        self.order.push_back((now, request));
        RequestIdMatch::New
    }

    /// Returns the number of ids remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn forget(&mut self, now: Time) {
        while let Some(&(noted, request)) = self.order.front() {
            if self.order.len() < MAX_REQUESTS && now.since(noted) < REQUEST_KEPT {
                return;
            }
            self.order.pop_front();
            self.seen.remove(&request);
        }
    }
}

/// Returns the spare attempts of a request that enters, where its rule allows `retries`.
///
/// A request that its caller sends again gets none: the caller is already retrying.
pub fn entry_spare_attempts(retries: u32, caller_attempt: u32, sighting: RequestIdMatch) -> u32 {
    if caller_attempt > 0 || sighting != RequestIdMatch::New {
        return 0;
    }
    retries
}
