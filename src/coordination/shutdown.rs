//! Decides which requests a stopping node still takes, and when it exits.
//!
//! Callers learn only after some time that a node is stopping, and the target beside it may still
//! make sub-calls. So the node takes requests at first. Later it takes only those that end
//! before it exits: a request that is cut off at the exit may have run, and its caller does not
//! learn the outcome.

use std::time::Duration;

/// Time after the start of a stop for which all requests are taken, until callers use other nodes.
pub const MIN_ACCEPT_TIME: Duration = Duration::from_millis(2_600);

/// End of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Time before the exit at which the node stops to read requests.
const READ_RESERVE: Duration = Duration::from_millis(1_500);

/// Time before the exit at which the remaining requests are answered, for the responses to be
/// written.
pub const FINAL_WRITE_TIME: Duration = Duration::from_millis(100);

/// Times of a planned stop, counted from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When the node reads no further request.
    pub last_read: Duration,
    /// When requests that are still in progress are answered without waiting for their runs.
    pub last_wait: Duration,
    /// When the node exits, even if requests are in progress.
    pub exit: Duration,
}

impl ShutdownPlan {
    /// Plans a stop for a node that is killed `grace` after its start.
    pub fn new(grace: Duration) -> ShutdownPlan {
        let exit = grace.saturating_sub(EXIT_RESERVE);
        ShutdownPlan {
            last_read: exit.saturating_sub(READ_RESERVE),
            last_wait: exit.saturating_sub(FINAL_WRITE_TIME),
            exit,
        }
    }

    /// Returns whether a request that arrives `elapsed` after the start of the stop is taken.
    /// `time_limit` is the time until its deadline.
    pub fn may_take(&self, elapsed: Duration, time_limit: Duration) -> bool {
        elapsed < MIN_ACCEPT_TIME || elapsed + time_limit <= self.last_wait
    }
}
