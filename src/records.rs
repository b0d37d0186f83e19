//! What a node counts: metrics, and the history that the report on service-level burn reads.

use std::sync::Arc;

use crate::clock::Time;
use crate::metrics::CallEnd;
use crate::metrics::Metrics;
use crate::metrics::Side;
use crate::policy::Policy;
use crate::state::Rank;
use crate::state::Table;
use crate::state::history::History;
use crate::state::history::Series;
use crate::status::Objective;

/// The counts of one node.
#[derive(Debug)]
pub struct Records {
    /// Metrics.
    pub metrics: Arc<Metrics>,
    history: Table<History>,
}

impl Default for Records {
    fn default() -> Records {
        Records::new()
    }
}

impl Records {
    /// Builds counts that are all zero.
    pub fn new() -> Records {
        Records {
            metrics: Arc::new(Metrics::new()),
            history: Table::new(Rank::History, History::new()),
        }
    }

    /// Counts a call that ended.
    ///
    /// Single attempts that arrive at a target are not part of the history: their caller may have
    /// been served by another.
    pub fn ended(&self, end: &CallEnd<'_>, policy: &Policy, now: Time) {
        self.metrics.ended(end);
        if end.side == Side::Ingress {
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
