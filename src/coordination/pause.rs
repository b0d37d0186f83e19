//! Detection of process pauses, and restrictions on a node until it has revalidated its view.
//!
//! After a pause the view of a node is stale: targets may have left, and callers may have given up
//! on its calls. The node sends no new work to a peer until it completes an exchange with it that
//! began after the wake-up. It mints no tokens until each peer that it was using has answered or
//! is given up.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::instance::InstanceName;
use crate::timer::PAUSE_GAP;
use crate::timer::Tick;

/// Maximum interval between the ticks passed to the guard.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Time after a wake-up at which revalidation ends even if peers did not answer.
pub const REVALIDATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after its last use for which a peer counts as in use.
pub const PEER_USE_WINDOW: Duration = Duration::from_secs(60);

/// Maximum number of peers that are tracked.
pub const MAX_PEERS: usize = 1_024;

/// The end of a process pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WakeUp {
    /// Time of the wake-up.
    pub now: Time,
    /// Estimated duration of the pause, from the gap before the wake-up.
    pub paused: Duration,
}

/// A peer that the node uses.
#[derive(Clone, Copy, Debug)]
struct TrackedPeer {
    last_used: Time,
    fresh: bool,
}

/// Detects process pauses and tracks which peers were revalidated since the last one.
#[derive(Debug, Default)]
pub struct PauseGuard {
    last_check: Option<Time>,
    woke_at: Option<Time>,
    peers: BTreeMap<InstanceName, TrackedPeer>,
}

impl PauseGuard {
    /// Builds a guard without peers and before any pause.
    pub fn new() -> PauseGuard {
        PauseGuard::default()
    }

    /// Processes a timer tick. Returns the wake-up if the process was paused before it.
    ///
    /// After a wake-up the owner must drop the calls whose callers gave up and exchange a message
    /// with each peer in [`PauseGuard::stale_peers`].
    pub fn tick(&mut self, tick: Tick) -> Option<WakeUp> {
        let gap = self.since_last_check(tick.now).unwrap_or(tick.late);
        self.last_check = Some(tick.now);
        if tick.after_pause() && gap >= PAUSE_GAP {
            return Some(self.begin_revalidation(tick.now, gap));
        }
        let woke = self.woke_at?;
        if tick.now.since(woke) >= REVALIDATION_TIMEOUT {
            self.woke_at = None;
        }
        self.end_revalidation_if_fresh();
        None
    }

    /// Checks for a pause before a decision, because a worker may run before the first tick after a
    /// pause. Returns the wake-up if the process was paused since the last tick or check.
    pub fn detect_pause(&mut self, now: Time) -> Option<WakeUp> {
        let gap = self.since_last_check(now)?;
        self.last_check = Some(now);
        if gap < TICK_PERIOD + PAUSE_GAP {
            return None;
        }
        Some(self.begin_revalidation(now, gap))
    }

    /// Records that work is sent to `peer` or requested from it. A peer not used before is fresh
    /// unless the node is still revalidating.
    pub fn record_use(&mut self, now: Time, peer: &InstanceName) {
        let fresh = self.woke_at.is_none();
        if let Some(known) = self.peers.get_mut(peer) {
            known.last_used = now;
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            self.evict_oldest();
        }
        self.peers.insert(
            peer.clone(),
            TrackedPeer {
                last_used: now,
                fresh,
            },
        );
    }

    /// Records a completed exchange with `peer` that this node began at `began`.
    ///
    /// An exchange that began before the wake-up is ignored: its reply may predate the pause.
    pub fn record_exchange(&mut self, now: Time, peer: &InstanceName, began: Time) {
        if self.woke_at.is_some_and(|woke| began < woke) {
            return;
        }
        self.record_use(now, peer);
        if let Some(known) = self.peers.get_mut(peer) {
            known.fresh = true;
        }
        self.end_revalidation_if_fresh();
    }

    /// Removes a peer that has left the fleet.
    pub fn remove_peer(&mut self, peer: &InstanceName) {
        self.peers.remove(peer);
        self.end_revalidation_if_fresh();
    }

    /// Returns whether new work may be sent to `peer`.
    pub fn may_send(&self, peer: &InstanceName) -> bool {
        let known = self.peers.get(peer);
        known.map_or(self.woke_at.is_none(), |peer| peer.fresh)
    }

    /// Returns whether tokens may be minted.
    pub fn may_mint(&self) -> bool {
        self.woke_at.is_none()
    }

    /// Returns whether the node is still revalidating its view after a pause.
    pub fn is_revalidating(&self) -> bool {
        self.woke_at.is_some()
    }

    /// Returns the peers without a completed exchange since the last pause.
    pub fn stale_peers(&self) -> impl Iterator<Item = &InstanceName> {
        self.peers
            .iter()
            .filter(|(_, peer)| !peer.fresh)
            .map(|(name, _)| name)
    }

    fn since_last_check(&self, now: Time) -> Option<Duration> {
        self.last_check.map(|last| now.since(last))
    }

    fn begin_revalidation(&mut self, now: Time, paused: Duration) -> WakeUp {
        self.woke_at = Some(now);
        let recent = paused.saturating_add(PEER_USE_WINDOW);
        self.peers
            .retain(|_, peer| now.since(peer.last_used) < recent);
        self.peers.values_mut().for_each(|peer| peer.fresh = false);
        WakeUp { now, paused }
    }

    /// Ends revalidation once every peer is fresh.
    fn end_revalidation_if_fresh(&mut self) {
        if self.stale_peers().next().is_none() {
            self.woke_at = None;
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .peers
            .iter()
            .min_by_key(|(name, peer)| (peer.last_used, *name));
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.peers.remove(&oldest);
        }
    }
}
