//! State of the local target: whether it may run a request, and its crashes.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::pace::TargetLoad;
use crate::error::NotRunKind;
use crate::fingerprint::Fingerprint;
use crate::http1::head;
use crate::instance::InstanceName;
use crate::relay::Phase;
use crate::relay::Relay;
use crate::relay::target_client::TargetResponse;

/// Time after a failed connection to the local target during which no other is attempted.
const UNREACHABLE_FOR: Duration = Duration::from_millis(150);

/// Time after a broken connection to the local target at which the node checks whether the target
/// accepts connections.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(50);

/// Time after an answer of another instance during which no request is sent to the local target
/// under its old name.
const MISDIRECTED_FOR: Duration = Duration::from_millis(1_000);

/// Time for which the list is read more often after the local target was restarted.
const MAX_OUTDATED: Duration = Duration::from_millis(3_000);

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
        if view.local_removed && self.is_list_outdated() {
            // The entry of the restarted target has another name and is about to be listed.
            return Err(NotRunKind::TargetUnreachable);
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

    /// Returns the name of the local target if it has taken the place of the instance `name` of
    /// `service`, whose restart the sender has not learned of yet.
    pub fn replacement_of(&self, name: &InstanceName, service: &str) -> Option<InstanceName> {
        let local = self.local_target()?.instance;
        let replaced = local.name != *name && local.service.as_str() == service;
        replaced.then_some(local.name)
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

    /// Lets requests be sent to the local target at once. If it could not be reached before, it has
    /// come back and starts at a low pace.
    pub fn clear_unreachable(&self) {
        let before = self
            .unreachable_until
            .lock()
            .unwrap_or_else(|p| p.into_inner())
            .take();
        if before.is_some() {
            self.admission_queue.record_target_start();
        }
    }

    /// Records what the local target states about its load.
    pub(super) fn record_target_load(&self, response: &TargetResponse) {
        let text = head::find_header(&response.headers, self.header_names.load);
        if let Some(load) = text.and_then(TargetLoad::parse) {
            self.admission_queue.record_target_load(&load);
        }
    }

    /// Records that the local target answered as another instance than the listed one: it has been
    /// restarted, and the list is behind. The list is read again until it shows the new instance.
    pub fn record_target_misdirected(&self, name: &InstanceName) {
        let now = self.now();
        let until = now.plus(MISDIRECTED_FOR);
        *self
            .unreachable_until
            .lock()
            .unwrap_or_else(|p| p.into_inner()) = Some(until);
        *self.misdirected.lock().unwrap_or_else(|p| p.into_inner()) = Some((name.clone(), now));
        log::info!(target:% = name; "local target has been restarted as another instance");
        self.list_outdated.notify_one();
    }

    /// Returns whether the list has not shown the present local target yet, for at most
    /// `MAX_OUTDATED`.
    pub fn is_list_outdated(&self) -> bool {
        let misdirected = self.misdirected.lock().unwrap_or_else(|p| p.into_inner());
        misdirected.as_ref().is_some_and(|(name, at)| {
            self.view().local_name() == Some(name) && self.now().since(*at) < MAX_OUTDATED
        })
    }

    /// Waits until the local target answers as another instance than the listed one.
    pub async fn wait_for_outdated_list(&self) {
        self.list_outdated.notified().await;
    }

    /// Records that a connection to the local target broke before it answered the request with this
    /// fingerprint. Shortly after, the node checks whether the target still accepts connections: if
    /// not, it crashed. Without other requests, nothing else would show that.
    pub fn record_broken_connection(
        self: &Arc<Relay>,
        name: &InstanceName,
        fingerprint: Fingerprint,
    ) {
        // A target that leaves exits as planned, even if it breaks off requests.
        let leaving = self.is_leaving();
        let now = self.now();
        let mut coordination = self.coordination();
        let detector = &mut coordination.crash_detector;
        detector.record_broken_connection(fingerprint, now);
        if !leaving && detector.start_probe() {
            tokio::spawn(probe_target(self.clone(), name.clone()));
        }
    }

    fn is_leaving(&self) -> bool {
        let view = self.view();
        view.local_draining || view.local_removed
    }

    /// Records a response of the local target. If it closes the connection, the target may be
    /// draining: its entry is read again, at most once per `DRAINING_HINT_PERIOD`.
    pub fn record_target_response(&self, closes: bool) {
        self.clear_unreachable();
        if !closes || self.is_leaving() {
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

/// Checks whether the local target crashed, once its port has had time to close.
async fn probe_target(relay: Arc<Relay>, name: InstanceName) {
    tokio::time::sleep(CRASH_PROBE_DELAY).await;
    let probed = relay.target_client.probe(relay.target_address()).await;
    relay.coordination().crash_detector.end_probe();
    match probed {
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            relay.record_target_unreachable(&name, true);
        }
        Err(e) => log::debug!(target:% = name, error:% = e; "local target accepts no connection"),
        Ok(()) => (),
    }
}
