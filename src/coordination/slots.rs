//! Table of the calls that occupy the slots of an instance.

use std::collections::BTreeMap;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::queue::Job;
use crate::coordination::queue::Ticket;

/// After an exclusive call, other calls have the slots for this multiple of its duration.
const SHARED_TURN_FACTOR: u32 = 4;

/// A slot in use by a running call.
#[derive(Clone, Copy, Debug)]
pub struct OccupiedSlot {
    /// Priority of the user request that the call belongs to.
    pub priority: Priority,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the call runs with no other call on its target.
    pub exclusive: bool,
    /// Time at which the call started.
    pub started: Time,
    /// Whether the call is being preempted.
    pub preempted: bool,
}

/// Running calls by ticket, bounded by the concurrency limit.
#[derive(Debug)]
pub struct Slots {
    running: BTreeMap<Ticket, OccupiedSlot>,
    preempting: u32,
    exclusive_running: bool,
    shared_turn_until: Time,
}

impl Slots {
    /// Builds an empty table.
    pub fn new(now: Time) -> Slots {
        Slots {
            running: BTreeMap::new(),
            preempting: 0,
            exclusive_running: false,
            shared_turn_until: now,
        }
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of running calls that are being preempted.
    pub fn preempting(&self) -> u32 {
        self.preempting
    }

    /// Returns whether an exclusive call is running.
    pub fn is_exclusive(&self) -> bool {
        self.exclusive_running
    }

    /// Returns whether other calls go before exclusive calls at `now`.
    ///
    /// This holds for a while after each exclusive call, so that they do not monopolize the slots.
    pub fn is_shared_turn(&self, now: Time) -> bool {
        now < self.shared_turn_until
    }

    /// Returns whether the call is running.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    /// Records the start of a call.
    pub fn occupy(&mut self, job: &Job, now: Time) {
        let slot = OccupiedSlot {
            priority: job.priority,
            idempotent: job.idempotent,
            exclusive: job.exclusive,
            started: now,
            preempted: false,
        };
        self.exclusive_running |= job.exclusive;
        self.running.insert(job.ticket, slot);
    }

    /// Records the end of a call and returns it, if it was running.
    pub fn release(&mut self, ticket: Ticket, now: Time) -> Option<OccupiedSlot> {
        let slot = self.running.remove(&ticket)?;
        self.preempting -= u32::from(slot.preempted);
        if slot.exclusive {
            self.exclusive_running = false;
            self.shared_turn_until = now.plus(now.since(slot.started) * SHARED_TURN_FACTOR);
        }
        Some(slot)
    }

    /// Marks the newest idempotent call of the lowest priority below `priority` as preempted.
    ///
    /// Returns its ticket, or `None` if no running call qualifies.
    pub fn preempt_below(&mut self, priority: Priority) -> Option<Ticket> {
        let (ticket, slot) = self
            .running
            .iter_mut()
            .filter(|(_, s)| s.idempotent && !s.preempted && s.priority > priority)
            .max_by_key(|(ticket, s)| (s.priority, s.started, **ticket))?;
        slot.preempted = true;
        self.preempting += 1;
        Some(*ticket)
    }
}
