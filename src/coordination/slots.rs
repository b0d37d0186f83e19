//! The calls that run at an instance.

use std::collections::BTreeMap;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::queue::Job;
use crate::coordination::queue::Ticket;

/// After an exclusive call, others have the slots for this multiple of its duration.
const SHARED_TURN: u32 = 4;

/// A running call.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Priority of the root of the request.
    pub priority: Priority,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the call runs alone.
    pub exclusive: bool,
    /// When the call started.
    pub started: Time,
    /// Whether the call was told to give up its slot.
    pub preempted: bool,
}

/// Table of running calls. It is bounded by the concurrency limit.
#[derive(Debug)]
pub struct Slots {
    running: BTreeMap<Ticket, Running>,
    preempting: u32,
    exclusive: bool,
    shared_until: Time,
}

impl Slots {
    /// Builds an empty table.
    pub fn new(now: Time) -> Slots {
        Slots {
            running: BTreeMap::new(),
            preempting: 0,
            exclusive: false,
            shared_until: now,
        }
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of running calls that were told to give up their slot.
    pub fn preempting(&self) -> u32 {
        self.preempting
    }

    /// Returns whether a call runs alone.
    pub fn is_exclusive(&self) -> bool {
        self.exclusive
    }

    /// Returns whether exclusive calls must let others go first.
    pub fn is_shared_turn(&self, now: Time) -> bool {
        now < self.shared_until
    }

    /// Returns whether a call runs.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    /// Records that a call starts.
    pub fn take(&mut self, job: &Job, now: Time) {
        let run = Running {
            priority: job.priority,
            idempotent: job.idempotent,
            exclusive: job.exclusive,
            started: now,
            preempted: false,
        };
        self.exclusive |= job.exclusive;
        self.running.insert(job.ticket, run);
    }

    /// Records that a call ended.
    pub fn release(&mut self, ticket: Ticket, now: Time) -> Option<Running> {
        let run = self.running.remove(&ticket)?;
        self.preempting -= u32::from(run.preempted);
        if run.exclusive {
            self.exclusive = false;
            self.shared_until = now.plus(now.since(run.started) * SHARED_TURN);
        }
        Some(run)
    }

    /// Marks the least important idempotent call below `priority`, the newest of several.
    pub fn preempt_below(&mut self, priority: Priority) -> Option<Ticket> {
        let (ticket, run) = self
            .running
            .iter_mut()
            .filter(|(_, r)| r.idempotent && !r.preempted && r.priority > priority)
            .max_by_key(|(ticket, r)| (r.priority, r.started, **ticket))?;
        run.preempted = true;
        self.preempting += 1;
        Some(*ticket)
    }
}
