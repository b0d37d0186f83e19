//! When a caller that was refused is told to come back.
//!
//! The load that this answers is the surge that refused callers make when they return together.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Earliest return after a refusal.
const SOONEST: Duration = Duration::from_millis(150);

/// Earliest return to an instance that is merely not ready yet.
const NOT_READY: Duration = Duration::from_millis(300);

/// Share of the time left that a caller may be asked to wait.
const SHARE_OF_REMAINING: f64 = 0.3;

/// Returns the time after which a refused caller is to come back.
///
/// `entering` is the share of the requests like its own that enter now; the fewer, the wider the
/// returns are spread over the time that the caller has left.
pub fn after_refusal<R>(remaining: Duration, entering: f64, rng: &mut R) -> Duration
where
    R: Rng,
{
    let longest = remaining.mul_f64(SHARE_OF_REMAINING);
    let spread = longest.mul_f64(1.0 - entering.clamp(0.0, 0.9));
    let wait = SOONEST + spread.mul_f64(rng.random_range(0.0..1.0));
    wait.min(longest)
}

/// Returns the time after which a caller is to come back to a node that is not ready.
pub fn not_ready(remaining: Duration) -> Duration {
    NOT_READY.min(remaining.mul_f64(SHARE_OF_REMAINING))
}
