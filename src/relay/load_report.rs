//! Load of the local target, as reported in replies.

use std::sync::Arc;

use crate::coordination::backpressure::AdmissionRatio;
use crate::instance::ServiceName;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::RunRequest;
use crate::relay::Relay;

impl Relay {
    /// Returns the lowest admission ratio among the local target and the routes that it calls for
    /// `route`, and the slot time in milliseconds that one request takes where that ratio applies.
    pub fn lowest_ratio(&self, route: &str) -> (AdmissionRatio, f64) {
        let now = self.now();
        let local_ratio = self.admission_queue.admission_ratio();
        let coordination = self.coordination();
        let local_cost = coordination.fanout.run_time(route).as_secs_f64() * 1_000.0;
        let children = coordination.fanout.children(route);
        let sub_calls = children
            .iter()
            .filter(|child| !coordination.downstream_ratios.is_root(child));
        let downstream = sub_calls.map(|child| {
            let calls = coordination.fanout.calls_per_run(route, child);
            let cost = calls * coordination.downstream_ratios.cost_ms(child);
            (coordination.downstream_ratios.ratio(child, now), cost)
        });
        downstream.fold((local_ratio, local_cost), |lowest, other| {
            match other.0 < lowest.0 {
                true => other,
                false => lowest,
            }
        })
    }

    /// Counts the service at which a request for the local target began.
    pub fn record_origin(&self, req: &RunRequest) {
        let route: Arc<str> = Arc::from(req.route.as_str());
        let origin = ServiceName::new(&req.caller_service);
        let now = self.now();
        self.coordination().origins.record(&route, &origin, now);
    }

    /// Returns the expected time of a run at the local target, in milliseconds, or 0 if it does not
    /// state how long work takes.
    fn expected_run_ms(&self) -> u16 {
        let time = self.admission_queue.expected_run_time();
        time.map_or(0, |time| {
            u16::try_from(time.as_millis().max(1)).unwrap_or(u16::MAX)
        })
    }

    /// Returns the load report that goes with a reply to a request of `route`.
    pub fn load_report(&self, route: &str) -> LoadReport {
        let view = self.view();
        let service = view
            .local_target
            .as_ref()
            .map(|local| &local.instance.service);
        let is_root = service.is_some_and(|service| {
            self.coordination()
                .origins
                .is_root(route, service, view.services)
        });
        let (ratio, cost_ms) = self.lowest_ratio(route);
        let config = self.config_statement();
        LoadReport {
            percent: self.admission_queue.load_percent(),
            admission_ratio: ratio.to_byte(),
            cost_ms: cost_ms as u16,
            is_root,
            run_ms: self.expected_run_ms(),
            config_version: config.version,
            config_age: config.reported_age(),
        }
    }
}
