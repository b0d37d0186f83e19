//! Distinguishes a crash of the target from a single broken connection.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;

/// Maximum time between a broken connection and a refused one that belong to the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(800);

/// Maximum number of broken connections that are remembered.
const MAX_BROKEN_CONNECTIONS: usize = 512;

/// Detects crashes of the target: its connections break before a response, and then it refuses
/// connections.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Time of each broken connection, and the request that was sent on it.
    broken: VecDeque<(Time, Fingerprint)>,
    /// Whether the node is about to check that the target accepts connections.
    probing: bool,
}

impl CrashDetector {
    /// Records that the target closed the connection of a request before answering.
    pub fn record_broken_connection(&mut self, fingerprint: Fingerprint, now: Time) {
        if self.broken.len() >= MAX_BROKEN_CONNECTIONS {
            self.broken.pop_front();
        }
        self.broken.push_back((now, fingerprint));
    }

    /// Returns whether a probe of the target is to be started. There is one at a time.
    pub fn start_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.probing, true)
    }

    /// Records that the probe has ended.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    /// Records that the target refuses connections. Returns the requests that it was running when
    /// it crashed; empty if the crash was recorded before.
    pub fn record_refused_connection(&mut self, now: Time) -> Vec<Fingerprint> {
        let broken = self.broken.drain(..);
        let recent = broken.filter(|(broken_at, _)| now.since(*broken_at) <= CRASH_WINDOW);
        recent.map(|(_, fingerprint)| fingerprint).collect()
    }
}
