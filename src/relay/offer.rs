//! Reports the outcome of offering a request to an instance to the coordination state.

use crate::clock::Time;
use crate::coordination::backpressure::AdmissionRatio;
use crate::coordination::backpressure::BackpressureReport;
use crate::coordination::route::Route;
use crate::coordination::routing::Pick;
use crate::coordination::target::AttemptOutcome;
use crate::coordination::target::Observation;
use crate::error::NotRunKind;
use crate::instance::ServiceName;
use crate::protocol::frame::Ended;
use crate::relay::Relay;
use crate::relay::peer_client::Reply;

/// Tells the router how an offer ended. An offer that is dropped without a reply counts as
/// abandoned.
pub(super) struct OfferGuard<'a> {
    relay: &'a Relay,
    route: &'a Route,
    service: &'a ServiceName,
    pick: &'a Pick,
    since: Time,
    reported: bool,
}

impl<'a> OfferGuard<'a> {
    /// Builds the guard of an offer that is made at `since`.
    pub(super) fn new(
        relay: &'a Relay,
        route: &'a Route,
        service: &'a ServiceName,
        pick: &'a Pick,
        since: Time,
    ) -> OfferGuard<'a> {
        OfferGuard {
            relay,
            route,
            service,
            pick,
            since,
            reported: false,
        }
    }

    /// Reports the reply to the router, the split of the route and its gate.
    pub(super) fn report(&mut self, reply: &Reply) {
        self.reported = true;
        let now = self.relay.now();
        let verdict = match &reply.ended {
            Ended::Answered { status, .. } if *status >= 500 => AttemptOutcome::Failed,
            Ended::Answered { .. } => AttemptOutcome::Succeeded,
            Ended::NotRun {
                kind: NotRunKind::TargetUnreachable | NotRunKind::TargetRefused,
                ..
            } => AttemptOutcome::TargetUnavailable,
            Ended::NotRun { .. } => AttemptOutcome::Refused,
            Ended::Unknown(_) => AttemptOutcome::Failed,
        };
        let draining = matches!(
            &reply.ended,
            Ended::NotRun {
                kind: NotRunKind::Draining,
                ..
            }
        );
        let bytes = match &reply.ended {
            Ended::Answered { body, .. } => body.len() as u64,
            _ => 0,
        };
        let observation = Observation {
            load: reply.load.map(|load| f64::from(load.percent) / 100.0),
            draining,
            bytes,
            ..Observation::of(verdict, now.since(self.since))
        };
        if let Some(load) = reply.load {
            self.relay.note_peer_version(load.version);
        }
        let mut coordination = self.relay.coordination();
        coordination
            .router
            .attempt_ended(self.pick, &observation, now);
        if !matches!(reply.ended, Ended::NotRun { .. }) {
            coordination.split.record_run(self.route, self.service, now);
        }
        if let Some(load) = reply.load {
            let report = BackpressureReport {
                ratio: AdmissionRatio::from_byte(load.gate),
                cost_ms: f64::from(load.cost_ms),
                is_root: load.root,
            };
            let route = &self.route.name;
            coordination.gates.record_report(route, report, now);
        }
    }
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let now = self.relay.now();
        let observation = Observation::of(AttemptOutcome::Cancelled, now.since(self.since));
        let mut coordination = self.relay.coordination();
        coordination
            .router
            .attempt_ended(self.pick, &observation, now);
    }
}
