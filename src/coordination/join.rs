//! Request coalescing: copies of an idempotent request in progress at a node share one run.

use std::collections::BTreeMap;

use crate::call::RequestId;
use crate::coordination::queue::Ticket;
use crate::fingerprint::Fingerprint;

/// Maximum number of runs that can be joined.
pub const MAX_RUNS: usize = 8_192;

/// Maximum number of calls that share one run.
pub const MAX_CALLS_PER_RUN: usize = 64;

/// Key that two calls must have in common to share a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// Id of the user request.
    pub request: RequestId,
    /// Fingerprint of the request. The id alone does not prove that two requests are the same.
    pub fingerprint: Fingerprint,
}

/// Role of a call in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Join {
    /// The call runs, and other calls may share its run.
    Lead,
    /// The call waits for the run of this leader.
    Follow(Ticket),
    /// The call runs by itself, because a limit on runs or calls per run is reached.
    Alone,
}

/// State of a run after a call has stopped waiting for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// Other calls wait for the run, so it continues.
    Awaited,
    /// No call waits for the run of this leader any more.
    Abandoned(Ticket),
    /// The call was not part of the run.
    Absent,
}

/// A run in progress, and the calls that wait for its response.
#[derive(Debug)]
struct Run {
    leader: Ticket,
    waiting: Vec<Ticket>,
}

/// Table of runs in progress that can be joined.
#[derive(Debug, Default)]
pub struct Joins {
    runs: BTreeMap<RunKey, Run>,
}

impl Joins {
    /// Builds an empty table.
    pub fn new() -> Joins {
        Joins::default()
    }

    /// Adds `call` to the run of `key`, or makes it the leader of a new run.
    pub fn join(&mut self, key: RunKey, call: Ticket) -> Join {
        if self.runs.contains_key(&key) {
            return self.follow(key, call).map_or(Join::Alone, Join::Follow);
        }
        if self.runs.len() >= MAX_RUNS {
            return Join::Alone;
        }
        let waiting = vec![call];
        let leader = call;
        self.runs.insert(key, Run { leader, waiting });
        Join::Lead
    }

    /// Adds `call` to the run of `key` if there is one with capacity left. Returns the leader.
    pub fn follow(&mut self, key: RunKey, call: Ticket) -> Option<Ticket> {
        let run = self.runs.get_mut(&key)?;
        if run.waiting.len() >= MAX_CALLS_PER_RUN {
            return None;
        }
        run.waiting.push(call);
        Some(run.leader)
    }

    /// Ends the run of `leader`. Returns the calls that receive its response, including the leader.
    pub fn finish(&mut self, key: RunKey, leader: Ticket) -> Vec<Ticket> {
        let led = self.runs.get(&key).is_some_and(|run| run.leader == leader);
        if !led {
            return Vec::new();
        }
        self.runs.remove(&key).map_or(Vec::new(), |run| run.waiting)
    }

    /// Records that the caller of `call` no longer waits.
    ///
    /// The run of a leader continues as long as a follower waits for it.
    pub fn leave(&mut self, key: RunKey, call: Ticket) -> Leave {
        let Some(run) = self.runs.get_mut(&key) else {
            return Leave::Absent;
        };
        let before = run.waiting.len();
        run.waiting.retain(|waiting| *waiting != call);
        if run.waiting.len() == before {
            return Leave::Absent;
        }
        if !run.waiting.is_empty() {
            return Leave::Awaited;
        }
        let leader = run.leader;
        self.runs.remove(&key);
        Leave::Abandoned(leader)
    }

    /// Returns the number of runs that can be joined.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no run can be joined.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
