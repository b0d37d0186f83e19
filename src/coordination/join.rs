//! Joins of the same idempotent request while it is in progress at a node.

use std::collections::BTreeMap;

use crate::call::RequestId;
use crate::coordination::queue::Ticket;
use crate::fingerprint::Fingerprint;

/// Runs that can be joined at once at most.
pub const MAX_RUNS: usize = 8_192;

/// Calls that share one run at most.
pub const MAX_CALLS_PER_RUN: usize = 64;

/// What two calls must have in common to share a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// The user request.
    pub request: RequestId,
    /// What it asks for. An id alone proves nothing.
    pub fingerprint: Fingerprint,
}

/// How a call takes part in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Join {
    /// The call runs, and others may share its run.
    Lead,
    /// The call waits for the run of this other call.
    Follow(Ticket),
    /// The call runs by itself, as no more can be shared.
    Alone,
}

/// What becomes of a run when a call stops waiting for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// Others wait for the run, it goes on.
    Awaited,
    /// Nobody waits for the run of this call any more.
    Abandoned(Ticket),
    /// The call took part in no run.
    Absent,
}

#[derive(Debug)]
struct Run {
    leader: Ticket,
    waiting: Vec<Ticket>,
}

/// Runs in progress that can be joined.
#[derive(Debug, Default)]
pub struct Joins {
    runs: BTreeMap<RunKey, Run>,
}

impl Joins {
    /// Builds an empty table.
    pub fn new() -> Joins {
        Joins::default()
    }

    /// Enters `call` into the run of `key`, or makes it the leader of a new one.
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

    /// Enters `call` into the run of `key` if there is one with room. Returns the leader.
    pub fn follow(&mut self, key: RunKey, call: Ticket) -> Option<Ticket> {
        let run = self.runs.get_mut(&key)?;
        if run.waiting.len() >= MAX_CALLS_PER_RUN {
            return None;
        }
        run.waiting.push(call);
        Some(run.leader)
    }

    /// Ends the run that `leader` leads, and returns the calls that get its answer, leader included.
    pub fn finish(&mut self, key: RunKey, leader: Ticket) -> Vec<Ticket> {
        let led = self.runs.get(&key).is_some_and(|run| run.leader == leader);
        if !led {
            return Vec::new();
        }
        self.runs.remove(&key).map_or(Vec::new(), |run| run.waiting)
    }

    /// Notes that the caller of `call` stopped waiting.
    ///
    /// The run of a leader goes on as long as a follower waits for it.
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
