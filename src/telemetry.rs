//! Metrics of a node, and the call history from which reports compute the error budget burn.

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

/// Metrics and call history of a node.
#[derive(Debug)]
pub struct Telemetry {
    /// Metrics for Prometheus.
    pub metrics: Arc<Metrics>,
    history: OrderedMutex<History>,
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry::new()
    }
}

impl Telemetry {
    /// Creates metrics and a history without calls.
    pub fn new() -> Telemetry {
        Telemetry {
            metrics: Arc::new(Metrics::new()),
            history: OrderedMutex::new(LockRank::History, History::new()),
        }
    }

    /// Records a call that has ended.
    ///
    /// The history does not include calls at the ingress, since a failed attempt may have succeeded
    /// at another instance, and calls that failed because of an error of their caller.
    pub fn record_call(&self, end: &FinishedCall<'_>, policy: &Policy, now: Time) {
        self.metrics.record_call(end);
        if end.side == Side::Ingress || end.error.is_some_and(is_caller_error) {
            return;
        }
        let rule = policy.slo(end.service.as_str(), end.priority);
        let in_time = rule.is_none_or(|rule| end.took <= rule.latency);
        let mut history = self.history.lock();
        history.count(end.service, end.priority, end.error, in_time, now);
    }

    /// Returns the history of each service and priority at `now`.
    pub fn history(&self, now: Time) -> Vec<Series> {
        self.history.lock().series(now)
    }
}

/// Returns the objectives in `policy` for the services and priorities in `history`.
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

/// Returns whether a call failed because of an error of its caller, or was answered with a new token
/// to be resent with.
fn is_caller_error(error: ErrorKind) -> bool {
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
