//! Retry policy: which errors allow a retry, how many retries a service may receive, and which
//! requests are already retries of the caller.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::call::RequestId;
use crate::clock::Time;
use crate::error::ErrorKind;
use crate::fingerprint::Fingerprint;
use crate::instance::ServiceName;

/// Retries allowed per thousand successful calls of a service.
pub const RETRIES_PER_THOUSAND: u64 = 100;

/// Allowance, in retries, of a service that was not called before.
pub const INITIAL_RETRIES: u64 = 10;

/// Maximum allowance of a service, in retries.
pub const MAX_RETRIES: u64 = 100;

/// Maximum number of services with an allowance.
pub const MAX_SERVICES: usize = 2_048;

/// Time for which a request id is remembered at the node where it entered.
pub const REQUEST_ID_TTL: Duration = Duration::from_secs(60);

/// Maximum number of request ids remembered.
pub const MAX_REQUEST_IDS: usize = 32_768;

/// Allowance of one retry; allowances are counted in thousandths.
const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Returns whether the error `kind` allows another attempt of the call.
///
/// A non-idempotent call may be attempted again only if it was certainly not run.
pub fn is_retryable(idempotent: bool, kind: ErrorKind) -> bool {
    let safe_to_repeat = idempotent || matches!(kind, ErrorKind::NotRun(_));
    safe_to_repeat && kind.try_other()
}

/// Retries that each service may receive, earned as a share of its successful calls.
///
/// A failing service earns nothing, so it receives no more retries than its allowance at that time.
/// The relay limits retries by the number of requests instead; see
/// [`RetryBudget`](crate::coordination::retry_budget::RetryBudget).
#[derive(Debug, Default)]
pub struct RetryAllowance {
    /// Allowance of each service in thousandths of a retry.
    services: BTreeMap<ServiceName, u64>,
}

impl RetryAllowance {
    /// Creates a table in which every service has the initial allowance.
    pub fn new() -> RetryAllowance {
        RetryAllowance::default()
    }

    /// Credits a successful call to `service`.
    pub fn record_success(&mut self, service: &ServiceName) {
        if let Some(allowance) = self.entry(service) {
            *allowance =
                (*allowance + RETRIES_PER_THOUSAND).min(MAX_RETRIES * THOUSANDTHS_PER_RETRY);
        }
    }

    /// Takes one retry from the allowance of `service` and returns whether there was one.
    pub fn take(&mut self, service: &ServiceName) -> bool {
        let Some(allowance) = self.entry(service) else {
            return false;
        };
        let Some(rest) = allowance.checked_sub(THOUSANDTHS_PER_RETRY) else {
            return false;
        };
        *allowance = rest;
        true
    }

    /// Returns the allowance of `service` in whole retries.
    pub fn left(&self, service: &ServiceName) -> u64 {
        let allowance = self.services.get(service);
        allowance.map_or(INITIAL_RETRIES, |thousandths| {
            thousandths / THOUSANDTHS_PER_RETRY
        })
    }

    fn entry(&mut self, service: &ServiceName) -> Option<&mut u64> {
        let known = self.services.contains_key(service);
        if !known && self.services.len() >= MAX_SERVICES {
            return None;
        }
        let allowance = self.services.entry(service.clone());
        Some(allowance.or_insert(INITIAL_RETRIES * THOUSANDTHS_PER_RETRY))
    }
}

/// Result of comparing a request id with those seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdMatch {
    /// The id is new.
    New,
    /// The same request was seen before.
    Duplicate,
    /// The id was seen before with a different request.
    Mismatch,
}

/// Request ids that callers gave, remembered at the node where the requests entered.
#[derive(Debug, Default)]
pub struct SeenRequests {
    seen: BTreeMap<RequestId, Fingerprint>,
    order: VecDeque<(Time, RequestId)>,
}

impl SeenRequests {
    /// Creates an empty table.
    pub fn new() -> SeenRequests {
        SeenRequests::default()
    }

    /// Records a request with an id given by its caller, and returns whether the id was seen
    /// before.
    pub fn record(
        &mut self,
        now: Time,
        request: RequestId,
        fingerprint: Fingerprint,
    ) -> RequestIdMatch {
        self.evict(now);
        match self.seen.get(&request) {
            Some(known) if *known == fingerprint => return RequestIdMatch::Duplicate,
            Some(_) => return RequestIdMatch::Mismatch,
            None => {}
        }
        self.seen.insert(request, fingerprint);
        self.order.push_back((now, request));
        RequestIdMatch::New
    }

    /// Returns the number of remembered ids.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn evict(&mut self, now: Time) {
        while let Some(&(recorded_at, request)) = self.order.front() {
            if self.order.len() < MAX_REQUEST_IDS && now.since(recorded_at) < REQUEST_ID_TTL {
                return;
            }
            self.order.pop_front();
            self.seen.remove(&request);
        }
    }
}

/// Returns the spare attempts of an entering request whose rule allows `retries` retries.
///
/// A request that its caller sends again gets none, because the caller is already retrying.
pub fn entry_spare_attempts(retries: u32, caller_attempt: u32, id_match: RequestIdMatch) -> u32 {
    if caller_attempt > 0 || id_match != RequestIdMatch::New {
        return 0;
    }
    retries
}
