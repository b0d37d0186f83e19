//! Requests that ran unharmed a short while ago, as evidence that they crash no targets.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;

/// Time around a crash in which an unharmed run of a request at any target speaks for the request.
pub const EVIDENCE_SPAN: Duration = Duration::from_millis(2_000);

/// Maximum number of remembered requests.
pub const MAX_RECENT_RUNS: usize = 4_096;

/// The last unharmed run of a request.
#[derive(Clone, Copy, Debug)]
struct RecentRun {
    ended: Time,
    /// When the other nodes were last told of the request.
    told: Option<Time>,
}

/// Requests that ran unharmed within [`EVIDENCE_SPAN`], here or at another node.
#[derive(Debug, Default)]
pub(super) struct RecentRuns {
    runs: HashMap<Fingerprint, RecentRun>,
    order: VecDeque<(Time, Fingerprint)>,
}

impl RecentRuns {
    /// Records an unharmed run that ended at `now`. `told` is set if another node told of it.
    pub(super) fn record(&mut self, fingerprint: Fingerprint, told: bool, now: Time) {
        self.remove_expired(now);
        if self.order.len() >= MAX_RECENT_RUNS {
            self.remove_first();
        }
        self.order.push_back((now, fingerprint));
        let run = self.runs.entry(fingerprint).or_insert(RecentRun {
            ended: now,
            told: None,
        });
        run.ended = now;
        if told {
            run.told = Some(now);
        }
    }

    /// Returns whether the request ran unharmed within [`EVIDENCE_SPAN`] before `now`.
    pub(super) fn contains(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let run = self.runs.get(&fingerprint);
        run.is_some_and(|run| now.since(run.ended) < EVIDENCE_SPAN)
    }

    /// Returns whether the other nodes are still to be told of the request, and takes them as told.
    /// What they were told counts for [`EVIDENCE_SPAN`].
    pub(super) fn take_untold(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(run) = self.runs.get_mut(&fingerprint) else {
            return false;
        };
        let untold = run.told.is_none_or(|at| now.since(at) >= EVIDENCE_SPAN);
        if untold {
            run.told = Some(now);
        }
        untold
    }

    fn remove_expired(&mut self, now: Time) {
        let expired = |at: Time| now.since(at) >= EVIDENCE_SPAN;
        while self.order.front().is_some_and(|(at, _)| expired(*at)) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        if self
            .runs
            .get(&fingerprint)
            .is_some_and(|run| run.ended == at)
        {
            self.runs.remove(&fingerprint);
        }
    }
}
