//! Versions of the configuration that other nodes were seen to apply, and how a node gets them there.
//!
//! Each reply and request of a node states the version that it applies, and a node that applies a new
//! one tells the nodes that it is connected to. A node that the store or its reader leaves without a
//! version asks the node that has it, and reads the store at the same time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::Time;
use crate::protocol::sync::KnownState;
use crate::relay::Relay;
use crate::relay::config_source::ConfigSource;
use crate::relay::reader_sync::REPLY_TIMEOUT;

/// Time that the store or a reader has to deliver a version that another node already applies, and
/// least time between two attempts to get it elsewhere.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

/// Attempts to get a version before it is given up, until a node reports it again.
const MAX_ATTEMPTS: u32 = 20;

/// The newest version of the configuration that another node was seen to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenVersion {
    /// The version.
    pub version: u64,
    /// Node that was the last to report it.
    pub peer: SocketAddr,
    /// When this node learnt of it.
    pub seen_at: Time,
}

impl Relay {
    /// Handles the configuration version of the node at `peer`. A newer one wakes
    /// [`follow_peer_versions`].
    pub fn handle_peer_version(&self, version: u64, peer: SocketAddr) {
        let in_force = self.config_version();
        if version <= in_force {
            return;
        }
        let mut seen = self.seen_version();
        match &mut *seen {
            Some(seen) if version < seen.version => return,
            Some(seen) if version == seen.version => seen.peer = peer,
            _ => {
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
        }
        drop(seen);
        self.newer_version_seen.notify_one();
    }

    /// Returns the newest version that another node was seen to apply, as long as it is newer than
    /// the configuration in force.
    pub fn missing_version(&self) -> Option<SeenVersion> {
        self.seen_at_least(self.config_version().saturating_add(1))
    }

    /// Waits until another node applies a newer configuration that was not delivered in time.
    pub(super) async fn wait_for_missed_version(&self) {
        self.version_missed.notified().await;
    }

    /// Returns the time for which this node has known of `version` or a newer one, in milliseconds,
    /// or nothing if no other node has reported it.
    pub(super) fn known_for_ms(&self, version: u64) -> Option<u64> {
        let seen = self.seen_at_least(version)?;
        u64::try_from(self.now().since(seen.seen_at).as_millis()).ok()
    }

    /// Returns the newest version that another node was seen to apply, if it is at least `min`.
    fn seen_at_least(&self, min: u64) -> Option<SeenVersion> {
        let seen = *self.seen_version();
        seen.filter(|seen| seen.version >= min)
    }

    /// Asks the node at `peer` for its configuration, if that is newer, and applies it.
    async fn fetch_routes(&self, peer: SocketAddr) {
        let known = KnownState {
            config_version: self.config_version(),
            list_revision: u64::MAX,
        };
        let asked = self.boot_now();
        let reply = self.peer_client().sync(peer, known, REPLY_TIMEOUT).await;
        if let Some(mut reply) = reply {
            self.apply_sync_config(&mut reply, asked, ConfigSource::OtherNode);
        }
    }

    fn seen_version(&self) -> std::sync::MutexGuard<'_, Option<SeenVersion>> {
        self.seen_version.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// Gets each newer configuration that another node applies, if it is not delivered within
/// [`DELIVERY_TIME`]. Never returns.
pub async fn follow_peer_versions(relay: Arc<Relay>) {
    loop {
        relay.newer_version_seen.notified().await;
        let mut attempts = 0;
        while relay.missing_version().is_some() && attempts < MAX_ATTEMPTS {
            let in_force = relay.config_version();
            sleep(DELIVERY_TIME).await;
            let Some(missing) = relay.missing_version() else {
                break;
            };
            if relay.config_version() != in_force {
                continue;
            }
            attempts += 1;
            relay.version_missed.notify_waiters();
            relay.fetch_routes(missing.peer).await;
        }
        if let Some(missing) = relay.missing_version() {
            log::warn!(version = missing.version, peer:% = missing.peer; "configuration of another node could not be got");
        }
    }
}
