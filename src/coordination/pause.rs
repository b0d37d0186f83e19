//! Detection of process pauses, and what a node may do until its views are fresh again.
//!
//! A node that was paused holds old views: targets may have left, and its calls may have been given
//! up. It sends no new work to a peer before an exchange with it that began after the wake-up, and
//! mints no tokens before it has heard from, or given up on, each peer that it was using.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::instance::InstanceName;
use crate::timer::PAUSE_GAP;
use crate::timer::Tick;

/// Longest period of the ticks that feed the guard.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Time after a wake-up at which peers that did not answer are given up.
pub const REVALIDATE_WITHIN: Duration = Duration::from_secs(5);

/// Time without use after which a peer is no longer counted as used.
pub const USED_WITHIN: Duration = Duration::from_secs(60);

/// Peers in use that are remembered at most.
pub const MAX_PEERS: usize = 1_024;

/// The process was paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WakeUp {
    /// Time of the wake-up.
    pub now: Time,
    /// Time for which the process was paused, at least.
    pub paused: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    used: Time,
    fresh: bool,
}

/// Notices pauses and tracks which views are fresh.
#[derive(Debug, Default)]
pub struct PauseGuard {
    seen: Option<Time>,
    woke: Option<Time>,
    peers: BTreeMap<InstanceName, Peer>,
}

impl PauseGuard {
    /// Builds a guard that has seen no pause.
    pub fn new() -> PauseGuard {
        PauseGuard::default()
    }

    /// Takes a timer tick. Returns the wake-up if the process was paused before it.
    ///
    /// After a wake-up the owner drops the calls that nobody awaits any more and exchanges a
    /// message with each peer in [`PauseGuard::stale_peers`].
    pub fn tick(&mut self, tick: Tick) -> Option<WakeUp> {
        let gap = self.gap(tick.now).unwrap_or(tick.late);
        self.seen = Some(tick.now);
        if tick.after_pause() && gap >= PAUSE_GAP {
            return Some(self.wake(tick.now, gap));
        }
        let woke = self.woke?;
        if tick.now.since(woke) >= REVALIDATE_WITHIN {
            self.woke = None;
        }
        self.settle();
        None
    }

    /// Looks at the time between ticks, before a decision: a worker may run before the first tick
    /// after a pause. Returns the wake-up if the process was paused since the last look.
    pub fn check(&mut self, now: Time) -> Option<WakeUp> {
        let gap = self.gap(now)?;
        self.seen = Some(now);
        if gap < TICK_PERIOD + PAUSE_GAP {
            return None;
        }
        Some(self.wake(now, gap))
    }

    /// Notes that work is sent to `peer` or asked of it. A peer not used before is fresh unless the
    /// node is still checking its views.
    pub fn record_use(&mut self, now: Time, peer: &InstanceName) {
        let fresh = self.woke.is_none();
        if let Some(known) = self.peers.get_mut(peer) {
            known.used = now;
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            self.drop_oldest();
        }
        self.peers.insert(peer.clone(), Peer { used: now, fresh });
    }

    /// Notes an exchange with `peer` that this node began at `began`.
    ///
    /// An exchange that began before the wake-up proves nothing about the time since.
    pub fn record_exchange(&mut self, now: Time, peer: &InstanceName, began: Time) {
        if self.woke.is_some_and(|woke| began < woke) {
            return;
        }
        self.record_use(now, peer);
        if let Some(known) = self.peers.get_mut(peer) {
            known.fresh = true;
        }
        self.settle();
    }

    /// Gives up on a peer that is gone.
    pub fn remove_peer(&mut self, peer: &InstanceName) {
        self.peers.remove(peer);
        self.settle();
    }

    /// Returns whether new work may be sent to `peer`.
    pub fn may_send(&self, peer: &InstanceName) -> bool {
        let known = self.peers.get(peer);
        known.map_or(self.woke.is_none(), |peer| peer.fresh)
    }

    /// Returns whether tokens may be minted.
    pub fn may_mint(&self) -> bool {
        self.woke.is_none()
    }

    /// Returns whether the node is still checking its views after a pause.
    pub fn is_revalidating(&self) -> bool {
        self.woke.is_some()
    }

    /// Returns the peers used before the pause with which no exchange was made since.
    pub fn stale_peers(&self) -> impl Iterator<Item = &InstanceName> {
        self.peers
            .iter()
            .filter(|(_, peer)| !peer.fresh)
            .map(|(name, _)| name)
    }

    fn gap(&self, now: Time) -> Option<Duration> {
        self.seen.map(|seen| now.since(seen))
    }

    fn wake(&mut self, now: Time, paused: Duration) -> WakeUp {
        self.woke = Some(now);
        let recent = paused.saturating_add(USED_WITHIN);
        self.peers.retain(|_, peer| now.since(peer.used) < recent);
        self.peers.values_mut().for_each(|peer| peer.fresh = false);
        WakeUp { now, paused }
    }

    /// Ends the check of the views once every peer is fresh.
    fn settle(&mut self) {
        if self.stale_peers().next().is_none() {
            self.woke = None;
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .peers
            .iter()
            .min_by_key(|(name, peer)| (peer.used, *name));
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.peers.remove(&oldest);
        }
    }
}
