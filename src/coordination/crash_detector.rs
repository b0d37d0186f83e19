//! Tells a crash of the target from a single broken connection.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;

/// Time before a refused connection within which broken requests are part of the same crash.
const SAME_CRASH: Duration = Duration::from_millis(800);

/// Broken requests remembered, at most.
const MAX_BROKEN: usize = 512;

/// The requests whose connections the target broke lately.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broken: VecDeque<(Time, Fingerprint)>,
}

impl CrashDetector {
    /// Notes that the target broke the connection of a request before it answered.
    pub fn connection_broken(&mut self, fingerprint: Fingerprint, now: Time) {
        if self.broken.len() >= MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((now, fingerprint));
    }

    /// Notes that the target refuses connections. Returns the requests that it was running when it
    /// crashed, nothing if that crash was noted before.
    pub fn connection_refused(&mut self, now: Time) -> Vec<Fingerprint> {
        let broken = self.broken.drain(..);
        let recent = broken.filter(|(at, _)| now.since(*at) <= SAME_CRASH);
        recent.map(|(_, fingerprint)| fingerprint).collect()
    }
}
