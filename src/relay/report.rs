//! What replies say of the own target.

use std::sync::Arc;

use crate::coordination::backpressure::AdmissionRatio;
use crate::instance::ServiceName;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::RunRequest;
use crate::relay::Relay;

impl Relay {
    /// Returns the strictest gate on the way of a route from the own target on, and the slot time
    /// in milliseconds that one request takes there.
    pub fn gate_of(&self, route: &str) -> (AdmissionRatio, f64) {
        let now = self.now();
        let own = self.intake.gate();
        let decisions = self.decisions();
        let own_cost = decisions.fanout.run_time(route).as_secs_f64() * 1_000.0;
        let behind = decisions.fanout.children(route);
        let calls = behind
            .iter()
            .filter(|child| !decisions.gates.is_root(child));
        let gates = calls.map(|child| {
            let calls = decisions.fanout.calls_per_run(route, child);
            let cost = calls * decisions.gates.cost_ms(child);
            (decisions.gates.ratio(child, now), cost)
        });
        gates.fold((own, own_cost), |strictest, gate| {
            match gate.0 < strictest.0 {
                true => gate,
                false => strictest,
            }
        })
    }

    /// Notes where a request for the own target began.
    pub fn note_origin(&self, req: &RunRequest) {
        let route: Arc<str> = Arc::from(req.route.as_str());
        let origin = ServiceName::new(&req.caller_service);
        let now = self.now();
        self.decisions().origins.record(&route, &origin, now);
    }

    /// Returns what a reply to a request of `route` says of the own target.
    pub fn load_report(&self, route: &str) -> LoadReport {
        let view = self.view();
        let own = view.own.as_ref().map(|own| &own.instance.service);
        let root =
            own.is_some_and(|own| self.decisions().origins.is_root(route, own, view.services));
        let (gate, cost_ms) = self.gate_of(route);
        LoadReport {
            percent: self.intake.percent(),
            admission_ratio: gate.to_byte(),
            cost_ms: cost_ms as u16,
            is_root: root,
            version: self.version(),
        }
    }
}
