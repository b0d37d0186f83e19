//! Load of the local target, as reported in replies.

use std::sync::Arc;

use crate::coordination::backpressure::AdmissionRatio;
use crate::instance::ServiceName;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::RunRequest;
use crate::relay::Relay;

impl Relay {
    /// Returns the strictest gate among the local target and the routes that it calls for `route`,
    /// and the slot time in milliseconds that one request takes at that gate.
    pub fn gate_of(&self, route: &str) -> (AdmissionRatio, f64) {
        let now = self.now();
        let local_gate = self.admission_queue.gate();
        let coordination = self.coordination();
        let local_cost = coordination.fanout.run_time(route).as_secs_f64() * 1_000.0;
        let children = coordination.fanout.children(route);
        let sub_calls = children
            .iter()
            .filter(|child| !coordination.gates.is_root(child));
        let gates = sub_calls.map(|child| {
            let calls = coordination.fanout.calls_per_run(route, child);
            let cost = calls * coordination.gates.cost_ms(child);
            (coordination.gates.ratio(child, now), cost)
        });
        gates.fold((local_gate, local_cost), |strictest, gate| {
            match gate.0 < strictest.0 {
                true => gate,
                false => strictest,
            }
        })
    }

    /// Counts the service at which a request for the local target began.
    pub fn note_origin(&self, req: &RunRequest) {
        let route: Arc<str> = Arc::from(req.route.as_str());
        let origin = ServiceName::new(&req.caller_service);
        let now = self.now();
        self.coordination().origins.record(&route, &origin, now);
    }

    /// Returns the load report that goes with a reply to a request of `route`.
    pub fn load_report(&self, route: &str) -> LoadReport {
        let view = self.view();
        let service = view
            .local_target
            .as_ref()
            .map(|local| &local.instance.service);
        let root = service.is_some_and(|service| {
            self.coordination()
                .origins
                .is_root(route, service, view.services)
        });
        let (gate, cost_ms) = self.gate_of(route);
        LoadReport {
            percent: self.admission_queue.percent(),
            gate: gate.to_byte(),
            cost_ms: cost_ms as u16,
            root,
            version: self.version(),
        }
    }
}
