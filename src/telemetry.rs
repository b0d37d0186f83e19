//! What a node counts: metrics, and the history that the report on service-level burn reads.

use std::sync::Arc;

use crate::clock::Time;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::metrics::FinishedCall;
use crate::metrics::Metrics;
use crate::metrics::Side;
use crate::policy::Policy;
use crate::state::LockRank;
use crate::state::OrderedMutex;
use crate::state::history::History;
use crate::state::history::Series;
use crate::status::Objective;

/// The counts of one node.
#[derive(Debug)]
pub struct Telemetry {
    /// Metrics.
    pub metrics: Arc<Metrics>,
    history: OrderedMutex<History>,
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry::new()
    }
}

impl Telemetry {
    /// Builds counts that are all zero.
    pub fn new() -> Telemetry {
        Telemetry {
            metrics: Arc::new(Metrics::new()),
            history: OrderedMutex::new(LockRank::History, History::new()),
        }
    }

    /// Counts a call that ended.
    ///
    /// Single attempts that arrive at a target are not part of the history, since their caller may
    /// have been served by another; nor are calls that failed by a fault of their own.
    pub fn record_call(&self, end: &FinishedCall<'_>, policy: &Policy, now: Time) {
        self.metrics.record_call(end);
        if end.side == Side::Ingress || end.error.is_some_and(is_callers_own) {
            return;
        }
        let rule = policy.slo(end.service.as_str(), end.priority);
        let in_time = rule.is_none_or(|rule| end.took <= rule.latency);
        let mut history = self.history.lock();
        history.count(end.service, end.priority, end.error, in_time, now);
    }

    /// Returns the history of each service and priority.
    pub fn history(&self, now: Time) -> Vec<Series> {
        self.history.lock().series(now)
    }
}

/// Returns the objectives of the services and priorities in `history`.
pub fn objectives(policy: &Policy, history: &[Series]) -> Vec<Objective> {
    history
        .iter()
        .filter_map(|series| policy.slo(series.service.as_str(), series.priority))
        .map(|rule| Objective {
            service: rule.service.clone(),
            priority: rule.priority,
            share: rule.objective.as_f64(),
            latency_ms: rule.latency.as_millis() as u64,
        })
        .collect()
}

/// Returns whether a call failed by a fault of its own, or for want of a token that it was given.
fn is_callers_own(error: ErrorKind) -> bool {
    let ErrorKind::NotRun(kind) = error else {
        return error == ErrorKind::Unknown(UnknownKind::Cancelled);
    };
    matches!(
        kind,
        NotRunKind::TokenRequired
            | NotRunKind::TokenBurned
            | NotRunKind::RequestMismatch
            | NotRunKind::ParentEnded
            | NotRunKind::ContextUnknown
            | NotRunKind::HopRejected
            | NotRunKind::TooDeep
            | NotRunKind::NoSuchService
            | NotRunKind::BadRequest
            | NotRunKind::HeadersTooLarge
            | NotRunKind::BodyTooLarge
            | NotRunKind::Withdrawn
    )
}
