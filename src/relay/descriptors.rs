//! Division of a process's descriptors among its connections.

use rustix::process::Resource;
use rustix::process::getrlimit;

/// Descriptors that are left for files, listeners and the connections to the store.
const RESERVED: usize = 200;

/// Share of the other descriptors that callers may use, as a divisor.
const CALLER_PART: usize = 2;

/// Share of the other descriptors that connections of other nodes may use, as a divisor.
const PEER_PART: usize = 4;

/// Share of the other descriptors that connections to the local target may use, as a divisor. The
/// rest is for connections to other nodes.
const TARGET_PART: usize = 6;

/// Limit on the descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    limit: usize,
}

impl Descriptors {
    /// Builds the division of `limit` descriptors.
    pub fn new(limit: usize) -> Descriptors {
        Descriptors { limit }
    }

    /// Builds the division of the descriptors that this process may open, and of at most `limit` if
    /// there is one.
    pub fn of_process(limit: Option<usize>) -> Descriptors {
        let system = getrlimit(Resource::Nofile).current;
        let system = system.and_then(|n| usize::try_from(n).ok());
        let limits = [limit, system].into_iter().flatten();
        Descriptors::new(limits.min().unwrap_or(usize::MAX))
    }

    /// Returns the limit on the connections of callers.
    pub fn callers(self) -> usize {
        self.part(CALLER_PART)
    }

    /// Returns the limit on the connections that other nodes have opened.
    pub fn peers(self) -> usize {
        self.part(PEER_PART)
    }

    /// Returns the limit on the connections to the local target.
    pub fn target(self) -> usize {
        self.part(TARGET_PART)
    }

    /// Returns a share of what is not reserved. Every kind of connection gets at least one.
    fn part(self, divisor: usize) -> usize {
        (self.limit.saturating_sub(RESERVED) / divisor).max(1)
    }
}
