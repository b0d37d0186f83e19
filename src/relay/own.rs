//! Whether the own target may run something, and what its trouble means for others.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::poison::CrashReport;
use crate::error::NotRunKind;
use crate::instance::InstanceName;
use crate::relay::Decisions;
use crate::relay::Phase;
use crate::relay::Relay;

/// Time for which a target that refused a connection gets no further one.
const DOWN_FOR: Duration = Duration::from_millis(150);

/// Time between two looks at the own entry because of a hint.
const HINT_PERIOD: Duration = Duration::from_millis(400);

impl Relay {
    /// Returns whether the own target may run a request that is meant for `name`.
    ///
    /// # Errors
    ///
    /// If another instance is meant, the target is leaving, or it cannot be reached.
    pub fn check_target(&self, name: &InstanceName) -> Result<(), NotRunKind> {
        let view = self.view();
        if view.own_name() != Some(name) {
            return Err(NotRunKind::TargetUnreachable);
        }
        if self.phase() != Phase::Serving {
            // The node stops, which says nothing about its target.
            return Err(NotRunKind::NotReady);
        }
        if view.own_leaving || view.own_gone {
            return Err(NotRunKind::Draining);
        }
        let down = *self.target_down.lock().unwrap_or_else(|p| p.into_inner());
        match down.is_some_and(|until| self.now() < until) {
            true => Err(NotRunKind::TargetUnreachable),
            false => Ok(()),
        }
    }

    /// Notes that the own target could not be reached.
    pub fn target_down(&self, name: &InstanceName, refused: bool) {
        let now = self.now();
        let until = now.plus(DOWN_FOR);
        *self.target_down.lock().unwrap_or_else(|p| p.into_inner()) = Some(until);
        self.target.forget();
        log::warn!(target:% = name, refused = refused; "own target is unreachable");
        if refused {
            self.report_crash(name, now);
        }
    }

    /// Tells the other nodes which requests the own target was running when it crashed.
    fn report_crash(&self, name: &InstanceName, now: Time) {
        let reports = {
            let mut decisions = self.decisions();
            let Decisions {
                crashes,
                suspects,
                rng,
                ..
            } = &mut *decisions;
            suspects.record_crash(now, name, crashes.connection_refused(now), rng)
        };
        if reports.is_empty() {
            return;
        }
        log::warn!(target:% = name, suspects = reports.len(); "own target crashed");
        let own = self.cfg().peers;
        let peers: HashSet<SocketAddr> = self
            .view()
            .instances()
            .iter()
            .map(|i| i.peer)
            .filter(|p| *p != own)
            .collect();
        for peer in peers {
            reports
                .iter()
                .for_each(|report| self.links.tell(peer, report));
        }
    }

    /// Takes over the report of a crash at another target.
    pub fn take_crash(&self, report: &CrashReport) {
        log::info!(
            fingerprint:% = report.fingerprint, target:% = report.target, alone = report.alone;
            "request suspected of a crash"
        );
        let now = self.now();
        self.decisions().suspects.merge_report(now, report);
    }

    /// Notes an answer of the own target. One that closes the connection hints that the target is
    /// leaving, which the store is asked about at once, but not for each answer.
    pub fn note_answer(&self, closes: bool) {
        *self.target_down.lock().unwrap_or_else(|p| p.into_inner()) = None;
        if !closes || self.view().own_leaving || self.view().own_gone {
            return;
        }
        let now = self.now();
        let mut hinted = self.hinted.lock().unwrap_or_else(|p| p.into_inner());
        if hinted.is_none_or(|at| now.since(at) >= HINT_PERIOD) {
            *hinted = Some(now);
            self.own_changed.notify_waiters();
        }
    }
}
