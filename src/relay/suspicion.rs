//! Suspicion of requests: crashes of the local target, unharmed runs and trials, here and at the other
//! nodes of the service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::clock::Time;
use crate::coordination::poison;
use crate::coordination::poison::CrashReport;
use crate::coordination::poison::Isolation;
use crate::error::NotRunKind;
use crate::fingerprint::Fingerprint;
use crate::instance::InstanceName;
use crate::protocol::frame::Frame;
use crate::relay::CoordinationState;
use crate::relay::Relay;
use crate::relay::target_client::TargetOutcome;

/// Longest delay, for each node of the service, before a node tells the others of an unharmed run.
/// Most of them have then heard of it from another node.
const TELL_DELAY_PER_NODE: Duration = Duration::from_millis(2);

/// Longest delay before a node tells the others of an unharmed run.
const MAX_TELL_DELAY: Duration = Duration::from_millis(400);

/// Trial of a quarantined request. Dropped without a run, it does not count.
pub(super) struct Trial {
    relay: Arc<Relay>,
    fingerprint: Fingerprint,
    ran: bool,
}

impl Trial {
    /// Records how the run ended, or nothing if its deadline passed.
    pub(super) fn record_run(&mut self, outcome: Option<&TargetOutcome>) {
        let not_run = matches!(
            outcome,
            Some(TargetOutcome::Refused(_) | TargetOutcome::Unsent(_))
        );
        self.ran = !not_run;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.ran {
            let now = self.relay.now();
            let mut coordination = self.relay.coordination();
            coordination.suspects.withdraw_trial(now, self.fingerprint);
        }
    }
}

impl Relay {
    /// Checks that a request is not quarantined, or begins its trial if one is due at this node.
    ///
    /// # Errors
    ///
    /// If the request is quarantined and no trial is due.
    pub(super) fn check_suspicion(
        self: &Arc<Relay>,
        fingerprint: Fingerprint,
    ) -> Result<Option<Trial>, NotRunKind> {
        let now = self.now();
        let isolation = self.coordination().suspects.isolation(now, fingerprint);
        if isolation != Isolation::Quarantined {
            return Ok(None);
        }
        let rank = self.trial_rank(fingerprint);
        let due = self
            .coordination()
            .suspects
            .start_trial(now, fingerprint, rank);
        if !due {
            return Err(NotRunKind::Quarantined);
        }
        log::info!(fingerprint:% = fingerprint, rank = rank; "trial of a quarantined request");
        self.tell_service(&Frame::Trial(fingerprint));
        Ok(Some(Trial {
            relay: self.clone(),
            fingerprint,
            ran: false,
        }))
    }

    /// Records that the local target ran a request unharmed. If it was suspected, the other nodes are
    /// told.
    pub(super) fn record_unharmed_run(self: &Arc<Relay>, fingerprint: Fingerprint) {
        let now = self.now();
        let suspected = self
            .coordination()
            .suspects
            .record_unharmed_run(now, fingerprint);
        if suspected {
            log::info!(fingerprint:% = fingerprint; "suspected request ran unharmed");
            self.tell_unharmed(fingerprint);
        }
    }

    /// Records that a request ran unharmed at another node.
    pub(super) fn record_unharmed_elsewhere(&self, fingerprint: Fingerprint) {
        let now = self.now();
        let lifted = self
            .coordination()
            .suspects
            .merge_unharmed_run(now, fingerprint);
        if lifted {
            log::info!(fingerprint:% = fingerprint; "quarantine lifted, the request ran unharmed at another node");
        }
    }

    /// Records that another node begins a trial of a quarantined request.
    pub(super) fn record_trial_elsewhere(&self, fingerprint: Fingerprint) {
        let now = self.now();
        self.coordination().suspects.record_trial(now, fingerprint);
    }

    /// Records a crash of another target that another node reported.
    pub(super) fn record_crash_report(self: &Arc<Relay>, report: &CrashReport) {
        let now = self.now();
        let unharmed = self.coordination().suspects.merge_report(now, report);
        log::info!(
            fingerprint:% = report.fingerprint, target:% = report.target, alone = report.alone, unharmed = unharmed;
            "request suspected of crashing a target"
        );
        if unharmed {
            self.tell_unharmed(report.fingerprint);
        }
    }

    /// Tells the other nodes which requests the local target was running when it crashed.
    pub(super) fn report_crash(&self, name: &InstanceName, now: Time) {
        let cfg = self.cfg();
        let reports = {
            let mut coordination = self.coordination();
            let CoordinationState {
                crash_detector,
                suspects,
                rng,
                ..
            } = &mut *coordination;
            let running = crash_detector.record_refused_connection(now);
            suspects.record_crash(now, name, &cfg.domain, running, rng)
        };
        if reports.is_empty() {
            return;
        }
        log::warn!(target:% = name, suspects = reports.len(); "local target crashed");
        let nodes = self.view().nodes.clone();
        for peer in nodes.iter().map(|i| i.peer).filter(|p| *p != cfg.peers) {
            for report in &reports {
                self.peer_client.send(peer, Frame::Crash(report.clone()));
            }
        }
    }

    /// Tells the nodes of the service that a request ran unharmed, after a random delay and unless
    /// another node told of it meanwhile.
    fn tell_unharmed(self: &Arc<Relay>, fingerprint: Fingerprint) {
        let nodes = u32::try_from(self.service_peers().len()).unwrap_or(u32::MAX);
        let max_delay = TELL_DELAY_PER_NODE
            .saturating_mul(nodes)
            .min(MAX_TELL_DELAY);
        let delay = max_delay.mul_f64(self.coordination().rng.random_range(0.0..1.0));
        let relay = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let now = relay.now();
            let untold = relay
                .coordination()
                .suspects
                .take_untold_run(now, fingerprint);
            if untold {
                relay.tell_service(&Frame::Unharmed(fingerprint));
            }
        });
    }

    fn tell_service(&self, frame: &Frame) {
        for peer in self.service_peers() {
            self.peer_client.send(peer, frame.clone());
        }
    }

    /// Returns the position of this node in the order in which the nodes of the service may try a
    /// quarantined request.
    fn trial_rank(&self, fingerprint: Fingerprint) -> usize {
        poison::trial_rank(fingerprint, self.cfg().peers, self.service_peers())
    }

    /// Returns the addresses of the other nodes whose targets are of the same service and live.
    fn service_peers(&self) -> Vec<SocketAddr> {
        let cfg = self.cfg();
        let nodes = self.view().nodes.clone();
        let of_service = nodes.live().filter(|i| i.service == cfg.service);
        let peers = of_service.map(|i| i.peer);
        peers.filter(|peer| *peer != cfg.peers).collect()
    }
}
