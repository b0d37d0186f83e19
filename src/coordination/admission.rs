//! Admission: slots, the priority queue and preemption.
//!
//! Each offered call gets exactly one [`Effect::Start`] or [`Effect::Drop`], unless it is
//! withdrawn. Memory is bounded by the slots and the queue length.

use std::time::Duration;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::concurrency_limit::ConcurrencyLimit;
use crate::coordination::queue::Order;
use crate::coordination::queue::Queue;
use crate::coordination::queue::Waiting;
use crate::coordination::slots::Running;
use crate::coordination::slots::Slots;
use crate::error::NotRunKind;

pub use crate::coordination::admission_config::AdmissionConfig;
pub use crate::coordination::queue::Job;
pub use crate::coordination::queue::Ticket;

/// Longest interval between two calls of [`Admission::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which calls must have been waiting without a break until overload counts as standing.
pub const STANDING_QUEUE_TIME: Duration = Duration::from_millis(100);

/// Weight of a latency above the estimate of the service time.
const ESTIMATE_RISE: f64 = 1.0 / 16.0;

/// Weight of a latency below the estimate of the service time.
const ESTIMATE_FALL: f64 = 1.0 / 4.0;

/// A non-idempotent call is urgent when less than this multiple of the service time remains.
const URGENT_ESTIMATES: u32 = 6;

/// Time until a preempted call has left its slot, added to the urgency of a non-idempotent call.
const PREEMPT_MARGIN: Duration = Duration::from_millis(200);

/// Number of priorities.
const PRIORITIES: usize = 5;

/// What is to be done about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Run the call now.
    Start(Ticket),
    /// Tell the caller that the call was not run.
    Drop(Ticket, NotRunKind),
    /// Cancel the running call; its slot is free once [`Admission::finish`] is called for it.
    Preempt(Ticket),
}

/// How a started call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// With a whole answer.
    Ok,
    /// With an error of the target or the connection.
    Failed,
    /// Cancelled by its caller, its deadline or a preemption.
    Cancelled,
}

/// Load of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that run.
    pub in_flight: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Whether calls have been waiting without a break for [`STANDING_QUEUE_TIME`] or longer.
    pub overloaded: bool,
    /// Calls offered since the start.
    pub offered: u64,
    /// Calls dropped since the start.
    pub dropped: u64,
}

/// Decides which calls run at one instance.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    limit: ConcurrencyLimit,
    queue: Queue,
    slots: Slots,
    waiting_since: Option<Time>,
    standing: bool,
    estimates: [f64; PRIORITIES],
    next_probe: Time,
    offered: u64,
    dropped: u64,
}

impl Admission {
    /// Builds the admission of an instance with everything on.
    pub fn new(slots: u32, now: Time) -> Admission {
        Admission::with_config(AdmissionConfig::full(slots), now)
    }

    /// Builds the admission of an instance with some parts switched off.
    pub fn with_config(cfg: AdmissionConfig, now: Time) -> Admission {
        Admission {
            cfg,
            limit: ConcurrencyLimit::new(cfg.slots, cfg.adaptive_limit),
            queue: Queue::new(cfg.priority_order),
            slots: Slots::new(now),
            waiting_since: None,
            standing: false,
            estimates: [0.0; PRIORITIES],
            next_probe: now,
            offered: 0,
            dropped: 0,
        }
    }

    /// Adopts a new number of published slots.
    pub fn set_slots(&mut self, slots: u32, now: Time, out: &mut Vec<Effect>) {
        if slots == self.cfg.slots {
            return;
        }
        let full = AdmissionConfig::full(slots);
        self.cfg.slots = slots;
        self.cfg.queue_capacity = full.queue_capacity;
        self.limit.set_slots(slots, now);
        self.fill(now, out);
        self.shed_excess(now, out);
    }

    /// Offers a call. A ticket that is already known is ignored.
    pub fn offer(&mut self, job: Job, now: Time, out: &mut Vec<Effect>) {
        if self.queue.contains(job.ticket) || self.slots.contains(job.ticket) {
            return;
        }
        self.offered += 1;
        if job.deadline <= now {
            return self.drop_call(job.ticket, NotRunKind::DeadlineInQueue, out);
        }
        let urgent = self.is_urgent(&job, now, now);
        self.queue.push(job, now);
        self.fill(now, out);
        self.shed_excess(now, out);
        if urgent {
            self.preempt_for_urgent(now, out);
        }
    }

    /// Records that a started call ended, and starts the next ones.
    pub fn finish(&mut self, ticket: Ticket, result: RunResult, now: Time, out: &mut Vec<Effect>) {
        let saturated = self.slots.in_flight() >= self.limit.current();
        let Some(run) = self.slots.release(ticket, now) else {
            return;
        };
        let latency = now.since(run.started);
        if result == RunResult::Ok {
            self.learn(&run, latency, saturated, now);
        }
        self.fill(now, out);
    }

    /// Takes a call out of the queue. Returns whether it was waiting.
    pub fn withdraw(&mut self, ticket: Ticket, now: Time, out: &mut Vec<Effect>) -> bool {
        let withdrawn = self.queue.remove(ticket).is_some();
        if withdrawn {
            self.fill(now, out);
        }
        withdrawn
    }

    /// Drops what can no longer meet its deadline and preempts for urgent calls.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.fill(now, out);
        let hopeless: Vec<Ticket> = self
            .queue
            .iter()
            .filter(|w| self.is_hopeless(w, now))
            .map(|w| w.job.ticket)
            .collect();
        for ticket in hopeless {
            self.queue.remove(ticket);
            self.drop_call(ticket, NotRunKind::DeadlineInQueue, out);
        }
        self.fill(now, out);
        self.preempt_for_urgent(now, out);
    }

    /// Returns the load as of the last call of another function.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.slots.in_flight(),
            limit: self.limit.current(),
            queued: self.queue.len() as u32,
            overloaded: self.standing,
            offered: self.offered,
            dropped: self.dropped,
        }
    }

    /// Returns the estimated service time of calls of a priority.
    pub fn service_time(&self, priority: Priority) -> Duration {
        Duration::from_micros(self.estimates[priority as usize] as u64)
    }

    fn order(&self) -> Order {
        match self.standing && self.cfg.sojourn_control {
            true => Order::NewestFirst,
            false => Order::OldestFirst,
        }
    }

    /// Starts waiting calls while there are free slots.
    fn fill(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.note_standing(now);
        while let Some((ticket, hopeless)) = self.next(now) {
            let Some(waiting) = self.queue.remove(ticket) else {
                break;
            };
            if hopeless && !self.is_probe(&waiting, now) {
                self.drop_call(ticket, NotRunKind::DeadlineInQueue, out);
                continue;
            }
            self.slots.take(&waiting.job, now);
            out.push(Effect::Start(ticket));
        }
        self.note_standing(now);
    }

    /// Returns the call to start now, and whether it can no longer meet its deadline.
    fn next(&self, now: Time) -> Option<(Ticket, bool)> {
        if self.slots.is_exclusive() || self.slots.in_flight() >= self.limit.current() {
            return None;
        }
        let shared_only = self.slots.is_shared_turn(now) && self.queue.has_shared();
        let waiting = self.queue.first(self.order(), shared_only)?;
        let hopeless = self.is_hopeless(waiting, now);
        if waiting.job.exclusive && self.slots.in_flight() > 0 && !hopeless {
            return None;
        }
        Some((waiting.job.ticket, hopeless))
    }

    fn drop_call(&mut self, ticket: Ticket, kind: NotRunKind, out: &mut Vec<Effect>) {
        self.dropped += 1;
        out.push(Effect::Drop(ticket, kind));
    }

    /// Brings the queue back to its bound. Each pending preemption keeps one place more.
    fn shed_excess(&mut self, now: Time, out: &mut Vec<Effect>) {
        while self.queue.len() as u32 > self.cfg.queue_capacity + self.slots.preempting() {
            let Some(last) = self.queue.last(self.order()) else {
                return;
            };
            let job = last.job.clone();
            if !job.idempotent && self.preempt_below(job.priority, out) {
                continue;
            }
            self.queue.remove(job.ticket);
            self.drop_call(job.ticket, NotRunKind::Overloaded, out);
        }
        self.note_standing(now);
    }

    /// Frees slots for non-idempotent calls that would miss their deadline by waiting.
    fn preempt_for_urgent(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.cfg.preemption || self.slots.in_flight() == 0 {
            return;
        }
        let urgent: Vec<(Priority, bool)> = self
            .queue
            .iter()
            .filter(|w| self.is_urgent(&w.job, w.since, now))
            .map(|w| (w.job.priority, w.job.exclusive))
            .collect();
        let mut pending = self.slots.preempting();
        for (priority, exclusive) in urgent {
            if exclusive {
                while self.preempt_below(priority, out) {}
                continue;
            }
            if pending > 0 {
                pending -= 1;
                continue;
            }
            self.preempt_below(priority, out);
        }
    }

    /// Preempts the least important idempotent call below `priority`, the newest first.
    fn preempt_below(&mut self, priority: Priority, out: &mut Vec<Effect>) -> bool {
        if !self.cfg.preemption {
            return false;
        }
        let Some(ticket) = self.slots.preempt_below(priority) else {
            return false;
        };
        out.push(Effect::Preempt(ticket));
        true
    }

    /// Returns whether a call would be run in vain.
    fn is_hopeless(&self, waiting: &Waiting, now: Time) -> bool {
        let remaining = waiting.job.deadline.since(now);
        if remaining.is_zero() {
            return true;
        }
        let judged = self.cfg.sojourn_control && self.standing;
        judged && remaining < self.service_time(waiting.job.priority)
    }

    /// Returns whether a non-idempotent call would miss its deadline by waiting much longer.
    ///
    /// One that came with little time waits for half of it before it takes the slot of another.
    fn is_urgent(&self, job: &Job, since: Time, now: Time) -> bool {
        let leaving = PREEMPT_MARGIN.min(job.deadline.since(since) / 2);
        let margin = self.service_time(job.priority) * URGENT_ESTIMATES + leaving;
        !job.idempotent && job.deadline.since(now) < margin
    }

    /// Lets an idempotent call run against the estimate once in a while, so that the estimate
    /// can be corrected.
    fn is_probe(&mut self, waiting: &Waiting, now: Time) -> bool {
        let job = &waiting.job;
        let expired = job.deadline <= now;
        if expired || job.exclusive || !job.idempotent || now < self.next_probe {
            return false;
        }
        self.next_probe = now.plus(self.service_time(job.priority));
        true
    }

    fn learn(&mut self, run: &Running, latency: Duration, saturated: bool, now: Time) {
        let sample = latency.as_micros() as f64;
        let estimate = &mut self.estimates[run.priority as usize];
        let weight = match (*estimate == 0.0, sample < *estimate) {
            (true, _) => 1.0,
            (_, true) => ESTIMATE_FALL,
            (_, false) => ESTIMATE_RISE,
        };
        *estimate += (sample - *estimate) * weight;
        self.limit.observe(latency, saturated, now);
    }

    fn note_standing(&mut self, now: Time) {
        if self.queue.is_empty() {
            self.waiting_since = None;
            self.standing = false;
            return;
        }
        let since = *self.waiting_since.get_or_insert(now);
        self.standing = now.since(since) >= STANDING_QUEUE_TIME;
    }
}
