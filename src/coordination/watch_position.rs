//! What a node's reads and watches of the platform's store prove about the newest state of an item:
//! the configuration, or the entry of the local target.
//!
//! A watch that ends without a change is no proof by itself: the store may not have delivered one.
//! It proves that nothing changed only if the store is still at the revision at which the watch
//! began. Otherwise the item has to be read.

use std::time::Duration;

/// Longest wait for a change in one call, before jitter.
pub const MAX_WATCH: Duration = Duration::from_secs(20);

/// Shortest wait for a change of the configuration in one call, before jitter.
const MIN_WATCH: Duration = Duration::from_secs(2);

/// Average time between two watch calls by any nodes of the fleet. A watch may stop delivering
/// without an error; then the node that calls next learns of the change, and the others learn of it
/// from that node.
const FLEET_WATCH_PERIOD: Duration = Duration::from_millis(250);

/// Share of the bound of a revocation that a watch of the configuration may take. The rest is for the
/// read after it and for the way of the proof to the other nodes.
const PROOF_SHARE: f64 = 0.4;

/// Returns the longest wait for a change of the configuration in one call, before jitter, if
/// `readers` nodes of the fleet watch it. A watch proves the configuration only at its end, which must
/// be well within `revocation_bound`, after which keys are refused without a newer proof.
pub fn max_config_watch(readers: usize, revocation_bound: Option<Duration>) -> Duration {
    let readers = u32::try_from(readers).unwrap_or(u32::MAX);
    let max_time = FLEET_WATCH_PERIOD.saturating_mul(readers);
    let max_time = max_time.clamp(MIN_WATCH, MAX_WATCH);
    revocation_bound.map_or(max_time, |bound| max_time.min(bound.mul_f64(PROOF_SHARE)))
}

/// Up to which revision of the store a node knows an item. Its states are told apart by a `V`, such as
/// the version of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition<V>(Option<Known<V>>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known<V> {
    revision: u64,
    /// Newest state at that revision, or nothing if the item did not exist.
    state: Option<V>,
}

impl<V> Default for WatchPosition<V> {
    fn default() -> WatchPosition<V> {
        WatchPosition(None)
    }
}

impl<V> WatchPosition<V>
where
    V: Copy,
{
    /// Returns the revision after which changes are to be watched, or nothing if the item has to be
    /// read.
    pub fn watch_after(&self) -> Option<u64> {
        self.0.map(|known| known.revision)
    }

    /// Forgets the position, so that the item is read next.
    pub fn reset(&mut self) {
        self.0 = None;
    }

    /// Records a read that returned `state`, or no item, at a revision of the store. Returns the
    /// state that is proved to be the newest one.
    pub fn record_read(&mut self, state: Option<V>, revision: u64) -> Option<V> {
        self.0 = Some(Known { revision, state });
        state
    }

    /// Records the end of a watch that returned a change to `state`, or none, when the store was at
    /// `revision`. Returns the state that is proved to be the newest one.
    pub fn record_watch(&mut self, state: Option<V>, revision: u64) -> Option<V> {
        if state.is_some() {
            return self.record_read(state, revision);
        }
        self.0 = self.0.filter(|known| known.revision == revision);
        self.0.and_then(|known| known.state)
    }
}
