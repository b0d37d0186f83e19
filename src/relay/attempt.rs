//! Reports how attempts ended to the coordination state. An attempt is one sending of a request to
//! one instance.

use std::time::Duration;

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
use crate::relay::peer_client::Reply;

/// Tells the router how an attempt ended. An attempt that is dropped without a reply counts as
/// cancelled.
pub(super) struct AttemptGuard<'a> {
    relay: &'a Relay,
    route: &'a Route,
    service: &'a ServiceName,
    pick: &'a Pick,
    started_at: Time,
    /// Start of the attempt on the boot clock.
    asked: Time,
    reported: bool,
}

impl<'a> AttemptGuard<'a> {
    /// Builds the guard of an attempt that starts at `started_at`.
    pub(super) fn new(
        relay: &'a Relay,
        route: &'a Route,
        service: &'a ServiceName,
        pick: &'a Pick,
        started_at: Time,
    ) -> AttemptGuard<'a> {
        AttemptGuard {
            relay,
            route,
            service,
            pick,
            started_at,
            asked: relay.boot_now(),
            reported: false,
        }
    }

    /// Reports the reply to the router, the traffic split and the downstream admission ratios.
    pub(super) fn report(&mut self, reply: &Reply) {
        self.reported = true;
        let now = self.relay.now();
        let outcome = match &reply.outcome {
            RunOutcome::Completed { status, .. } if *status >= 500 => AttemptOutcome::Failed,
            RunOutcome::Completed { .. } => AttemptOutcome::Succeeded,
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
            RunOutcome::Completed { body, .. } => body.len() as u64,
            _ => 0,
        };
        let observation = Observation {
            load: reply.load.map(|load| f64::from(load.percent) / 100.0),
            run_time: reported_run_time(reply),
            draining,
            bytes,
            ..Observation::new(outcome, now.since(self.started_at))
        };
        if let Some(load) = reply.load {
            self.relay
                .handle_peer_version(load.config_version, self.pick.instance.peer);
            self.relay.record_reported_proof(&load, self.asked);
        }
        let mut coordination = self.relay.coordination();
        coordination
            .router
            .record_attempt_end(self.pick, &observation, now);
        if !matches!(reply.outcome, RunOutcome::NotRun { .. }) {
            coordination.split.record_run(self.route, self.service, now);
        }
        if let Some(load) = reply.load {
            let report = BackpressureReport {
                ratio: AdmissionRatio::from_byte(load.admission_ratio),
                cost_ms: f64::from(load.cost_ms),
                is_root: load.is_root,
            };
            let route = &self.route.name;
            coordination
                .downstream_ratios
                .record_report(route, report, now);
        }
    }
}

/// Returns the expected time of a run that a reply reports.
fn reported_run_time(reply: &Reply) -> Option<Duration> {
    let ms = reply.load.map_or(0, |load| load.run_ms);
    (ms > 0).then(|| Duration::from_millis(u64::from(ms)))
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let now = self.relay.now();
        let observation = Observation::new(AttemptOutcome::Cancelled, now.since(self.started_at));
        let mut coordination = self.relay.coordination();
        coordination
            .router
            .record_attempt_end(self.pick, &observation, now);
    }
}
