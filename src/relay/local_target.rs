//! State of the local target: whether it may run a request, and its crashes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::poison::CrashReport;
use crate::error::NotRunKind;
use crate::instance::InstanceName;
use crate::relay::CoordinationState;
use crate::relay::Phase;
use crate::relay::Relay;

/// Time after a failed connection to the local target during which no other is attempted.
const UNREACHABLE_FOR: Duration = Duration::from_millis(150);

/// Shortest time between two reads of the local target's entry that are triggered by a response
/// that closes the connection.
const DRAINING_HINT_PERIOD: Duration = Duration::from_millis(400);

impl Relay {
    /// Checks that the local target may run a request addressed to instance `name`.
    ///
    /// # Errors
    ///
    /// If the local target is another instance, is draining or unreachable, or the node is
    /// stopping.
    pub fn check_target(&self, name: &InstanceName) -> Result<(), NotRunKind> {
        let view = self.view();
        if view.local_name() != Some(name) {
            return Err(NotRunKind::TargetUnreachable);
        }
        if self.phase() != Phase::Serving {
            // The node is stopping, not its target, so that `Draining` would be wrong.
            return Err(NotRunKind::NotReady);
        }
        if view.local_draining || view.local_removed {
            return Err(NotRunKind::Draining);
        }
        let unreachable_until = *self
            .unreachable_until
            .lock()
            .unwrap_or_else(|p| p.into_inner());
        match unreachable_until.is_some_and(|until| self.now() < until) {
            true => Err(NotRunKind::TargetUnreachable),
            false => Ok(()),
        }
    }

    /// Records that no connection to the local target could be made. If it was `refused`, the
    /// target crashed, and the requests that it was running are reported to the other nodes.
    pub fn record_target_unreachable(&self, name: &InstanceName, refused: bool) {
        let now = self.now();
        let until = now.plus(UNREACHABLE_FOR);
        *self
            .unreachable_until
            .lock()
            .unwrap_or_else(|p| p.into_inner()) = Some(until);
        self.target_client.clear_idle();
        log::warn!(target:% = name, refused = refused; "local target is unreachable");
        if refused {
            self.report_crash(name, now);
        }
    }

    /// Tells the other nodes which requests the local target was running when it crashed.
    fn report_crash(&self, name: &InstanceName, now: Time) {
        let reports = {
            let mut coordination = self.coordination();
            let CoordinationState {
                crash_detector,
                suspects,
                rng,
                ..
            } = &mut *coordination;
            suspects.record_crash(
                now,
                name,
                crash_detector.record_refused_connection(now),
                rng,
            )
        };
        if reports.is_empty() {
            return;
        }
        log::warn!(target:% = name, suspects = reports.len(); "local target crashed");
        let local_address = self.cfg().peers;
        let peers: HashSet<SocketAddr> = self
            .view()
            .instances()
            .iter()
            .map(|i| i.peer)
            .filter(|p| *p != local_address)
            .collect();
        for peer in peers {
            reports
                .iter()
                .for_each(|report| self.peer_client.send_crash_report(peer, report));
        }
    }

    /// Records a crash of another target that another node reported.
    pub fn record_crash_report(&self, report: &CrashReport) {
        log::info!(
            fingerprint:% = report.fingerprint, target:% = report.target, alone = report.alone;
            "request suspected of crashing a target"
        );
        let now = self.now();
        self.coordination().suspects.merge_report(now, report);
    }

    /// Records a response of the local target. If it closes the connection, the target may be
    /// draining: its entry is read again, at most once per `DRAINING_HINT_PERIOD`.
    pub fn record_target_response(&self, closes: bool) {
        *self
            .unreachable_until
            .lock()
            .unwrap_or_else(|p| p.into_inner()) = None;
        if !closes || self.view().local_draining || self.view().local_removed {
            return;
        }
        let now = self.now();
        let mut last_draining_hint = self
            .last_draining_hint
            .lock()
            .unwrap_or_else(|p| p.into_inner());
        if last_draining_hint.is_none_or(|at| now.since(at) >= DRAINING_HINT_PERIOD) {
            *last_draining_hint = Some(now);
            self.local_target_changed.notify_waiters();
        }
    }
}
