//! Accounts for the sub-calls of repeated runs of the local target.
//!
//! The sub-calls enter at this node, which therefore has the budget that they draw on.

use std::sync::Arc;

use crate::call::Repetition;
use crate::clock::Time;
use crate::error::NotRunKind;
use crate::instance::ServiceName;
use crate::protocol::frame::RunRequest;
use crate::relay::CoordinationState;
use crate::relay::Relay;

/// Factor on the average number of sub-calls: some are attributed to other running requests, so
/// that the average is too low.
const CALL_MARGIN: f64 = 1.25;

/// Sub-calls that a run is expected to make on one route.
struct ExpectedCalls {
    route: Arc<str>,
    calls: f64,
    /// Services of the route, with their shares of its calls.
    services: Vec<(ServiceName, f64)>,
}

impl Relay {
    /// Counts the expected sub-calls of a repeated run against the retry budgets of the called
    /// services. Other runs are not affected.
    ///
    /// # Errors
    ///
    /// `Shed` if the run is a retry and the budget of a called service has no room for them.
    pub(super) fn start_repeated_run(&self, req: &RunRequest, now: Time) -> Result<(), NotRunKind> {
        if req.repetition == Repetition::None {
            return Ok(());
        }
        let expected = self.expected_calls(&req.route);
        let mut coordination = self.coordination();
        let CoordinationState {
            retry_budget,
            repeated_calls,
            ..
        } = &mut *coordination;
        let calls_by_service = || {
            let routes = expected.iter();
            routes.flat_map(|e| e.services.iter().map(|(s, share)| (s, e.calls * share)))
        };
        let full = calls_by_service().find(|(s, calls)| !retry_budget.has_room(s, *calls, now));
        if let (Some((service, calls)), Repetition::Retry) = (full, req.repetition) {
            log::info!(
                request:% = req.id, service:% = service, calls = calls;
                "retry refused, the budget has no room for its sub-calls"
            );
            return Err(NotRunKind::Shed);
        }
        for (service, calls) in calls_by_service() {
            retry_budget.record_repeated(service, calls, now);
        }
        for e in &expected {
            repeated_calls.announce(&e.route, e.calls, now);
        }
        Ok(())
    }

    /// Returns the sub-calls that a run of `route` is expected to make.
    fn expected_calls(&self, route: &str) -> Vec<ExpectedCalls> {
        let Some(table) = self.view().routes.clone() else {
            return Vec::new();
        };
        let coordination = self.coordination();
        let children = coordination.fanout.children(route).into_iter();
        let sub_calls = children.filter(|child| !coordination.downstream_ratios.is_root(child));
        let expected = sub_calls.filter_map(|child| {
            let called = table.routes().find(|called| called.name == child)?;
            Some(ExpectedCalls {
                calls: coordination.fanout.calls_per_run(route, &child) * CALL_MARGIN,
                services: called.service_shares(),
                route: child,
            })
        });
        expected.collect()
    }
}
