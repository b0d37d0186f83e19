//! Delays for the `Retry-After` of refused requests.
//!
//! The delays are random, so that refused callers do not all return at the same time and cause a
//! surge.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Minimum delay after a refusal.
const MIN_DELAY: Duration = Duration::from_millis(150);

/// Delay after a refusal by an instance that is not ready yet.
const NOT_READY_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay as a share of the time left until the caller's deadline.
const MAX_SHARE_OF_REMAINING: f64 = 0.3;

/// Returns the delay after which a refused caller should retry.
///
/// `remaining` is the time left until the caller's deadline. `admitted_share` is the share of
/// requests of the same kind that is admitted now; the lower it is, the wider the delays are
/// spread.
pub fn after_refusal<R>(remaining: Duration, admitted_share: f64, rng: &mut R) -> Duration
where
    R: Rng,
{
    let max_delay = remaining.mul_f64(MAX_SHARE_OF_REMAINING);
    let spread = max_delay.mul_f64(1.0 - admitted_share.clamp(0.0, 0.9));
    let delay = MIN_DELAY + spread.mul_f64(rng.random_range(0.0..1.0));
    delay.min(max_delay)
}

/// Returns the delay after which a caller should retry at a node that is not ready.
pub fn not_ready(remaining: Duration) -> Duration {
    NOT_READY_DELAY.min(remaining.mul_f64(MAX_SHARE_OF_REMAINING))
}

/// Returns a delay from half of `max_delay` up to all of it, so that callers that were refused
/// together do not return together.
pub fn spread<R>(max_delay: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    max_delay.mul_f64(rng.random_range(0.5..=1.0))
}
