//! One offer of a request to an instance, as the decisions see it.

use crate::clock::Time;
use crate::coordination::backpressure::AdmissionRatio;
use crate::coordination::backpressure::BackpressureReport;
use crate::coordination::route::Route;
use crate::coordination::routing::Pick;
use crate::coordination::target::AttemptOutcome;
use crate::coordination::target::Observation;
use crate::error::NotRunKind;
use crate::instance::ServiceName;
use crate::protocol::frame::RunOutcome;
use crate::relay::Relay;
use crate::relay::link::Reply;

/// Tells the router how an offer ended, also if nobody waits for it any more.
pub(super) struct OfferWatch<'a> {
    relay: &'a Relay,
    route: &'a Route,
    service: &'a ServiceName,
    pick: &'a Pick,
    since: Time,
    ended: bool,
}

impl<'a> OfferWatch<'a> {
    /// Watches an offer that begins.
    pub(super) fn new(
        relay: &'a Relay,
        route: &'a Route,
        service: &'a ServiceName,
        pick: &'a Pick,
        since: Time,
    ) -> OfferWatch<'a> {
        OfferWatch {
            relay,
            route,
            service,
            pick,
            since,
            ended: false,
        }
    }

    /// Notes how the offer ended.
    pub(super) fn ended(&mut self, reply: &Reply) {
        self.ended = true;
        let now = self.relay.now();
        let verdict = match &reply.outcome {
            RunOutcome::Answered { status, .. } if *status >= 500 => AttemptOutcome::Failed,
            RunOutcome::Answered { .. } => AttemptOutcome::Succeeded,
            RunOutcome::NotRun {
                kind: NotRunKind::TargetUnreachable | NotRunKind::TargetRefused,
                ..
            } => AttemptOutcome::TargetUnavailable,
            RunOutcome::NotRun { .. } => AttemptOutcome::Refused,
            RunOutcome::Unknown(_) => AttemptOutcome::Failed,
        };
        let draining = matches!(
            &reply.outcome,
            RunOutcome::NotRun {
                kind: NotRunKind::Draining,
                ..
            }
        );
        let bytes = match &reply.outcome {
            RunOutcome::Answered { body, .. } => body.len() as u64,
            _ => 0,
        };
        let seen = Observation {
            load: reply.load.map(|load| f64::from(load.percent) / 100.0),
            draining,
            bytes,
            ..Observation::of(verdict, now.since(self.since))
        };
        if let Some(load) = reply.load {
            self.relay.hear_version(load.version);
        }
        let mut decisions = self.relay.decisions();
        decisions.router.attempt_ended(self.pick, &seen, now);
        if !matches!(reply.outcome, RunOutcome::NotRun { .. }) {
            decisions.split.record_run(self.route, self.service, now);
        }
        if let Some(load) = reply.load {
            let report = BackpressureReport {
                ratio: AdmissionRatio::from_byte(load.admission_ratio),
                cost_ms: f64::from(load.cost_ms),
                is_root: load.is_root,
            };
            let route = &self.route.name;
            decisions.gates.record_report(route, report, now);
        }
    }
}

impl Drop for OfferWatch<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.relay.now();
        let seen = Observation::of(AttemptOutcome::Cancelled, now.since(self.since));
        let mut decisions = self.relay.decisions();
        decisions.router.attempt_ended(self.pick, &seen, now);
    }
}
