//! Holding of requests while no instance is available.
//!
//! It handles the moments after many nodes or targets restarted at once: for some hundred
//! milliseconds the list shows instances that are gone, and connections are refused. A caller that
//! is refused then returns while the fleet is still starting, and has no further try. A request that
//! was not run is therefore held and tried again, as long as its response can still be in time.

use std::time::Duration;

use crate::error::NotRunKind;

/// Pause before a held request is tried again.
pub const HOLD_PAUSE: Duration = Duration::from_millis(100);

/// Share of the latency objective for which a request is held. The rest is left for its run.
const HOLD_SHARE: f64 = 0.5;

/// Share of the caller's timeout for which a request waits for the first configuration.
const ROUTES_SHARE: f64 = 0.1;

/// Returns whether a request that was not run for the reason `kind` is tried again, `held_for`
/// after its arrival.
///
/// Only the lack of an instance is a reason to hold. Where instances refuse because of their load,
/// the request would add to it.
pub fn may_hold(kind: NotRunKind, held_for: Duration, objective: Duration) -> bool {
    let unavailable = matches!(
        kind,
        NotRunKind::TargetUnreachable | NotRunKind::NotReady | NotRunKind::NoInstance
    );
    unavailable && held_for + HOLD_PAUSE <= objective.mul_f64(HOLD_SHARE)
}

/// Returns how long a request waits for the first configuration of a starting node.
pub fn max_wait_for_routes(caller_timeout: Duration) -> Duration {
    caller_timeout.mul_f64(ROUTES_SHARE)
}
