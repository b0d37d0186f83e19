//! Versions of the configuration that other nodes were seen to apply.

use std::net::SocketAddr;

use crate::clock::Time;
use crate::relay::Relay;

/// The newest version of the configuration that another node was seen to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenVersion {
    /// The version.
    pub version: u64,
    /// Node that applied it first, as far as this node knows.
    pub peer: SocketAddr,
    /// When this node learnt of it.
    pub seen_at: Time,
}

impl Relay {
    /// Handles the configuration version of the node at `peer`. A newer one wakes
    /// [`Relay::wait_for_newer_version`].
    pub fn handle_peer_version(&self, version: u64, peer: SocketAddr) {
        let in_force = self.config_version();
        if version <= in_force {
            return;
        }
        let mut seen = self.seen_version.lock().unwrap_or_else(|p| p.into_inner());
        if seen.is_none_or(|seen| version > seen.version) {
            log::info!(
                version = version, in_force = in_force, peer:% = peer;
                "another node applies a newer configuration"
            );
            *seen = Some(SeenVersion {
                version,
                peer,
                seen_at: self.now(),
            });
        }
        drop(seen);
        self.newer_version_seen.notify_one();
    }

    /// Waits until another node reports a newer configuration.
    pub async fn wait_for_newer_version(&self) {
        self.newer_version_seen.notified().await;
    }

    /// Returns the newest version that another node was seen to apply, as long as it is newer than
    /// the configuration in force.
    pub fn missing_version(&self) -> Option<SeenVersion> {
        let seen = *self.seen_version.lock().unwrap_or_else(|p| p.into_inner());
        seen.filter(|seen| seen.version > self.config_version())
    }

    /// Returns the time for which this node has known of `version` or a newer one, in milliseconds,
    /// or nothing if no other node has reported it.
    pub(super) fn known_for_ms(&self, version: u64) -> Option<u64> {
        let seen = *self.seen_version.lock().unwrap_or_else(|p| p.into_inner());
        let seen = seen.filter(|seen| seen.version >= version)?;
        u64::try_from(self.now().since(seen.seen_at).as_millis()).ok()
    }
}
