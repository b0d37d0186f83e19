//! Admission controller of one instance: concurrency slots, priority queue and preemption.
//!
//! Every offered call ends in exactly one [`Effect::Start`] or [`Effect::Drop`], unless it is
//! withdrawn first. Memory is bounded by the number of slots and the queue capacity.

use std::time::Duration;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::concurrency_limit::ConcurrencyLimit;
use crate::coordination::queue::Queue;
use crate::coordination::queue::QueuedCall;
use crate::coordination::queue::ServiceOrder;
use crate::coordination::slots::OccupiedSlot;
use crate::coordination::slots::Slots;
use crate::error::NotRunKind;

pub use crate::coordination::admission_config::AdmissionConfig;
pub use crate::coordination::queue::Job;
pub use crate::coordination::queue::Ticket;

/// Maximum interval between two calls of [`AdmissionController::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which the queue must be non-empty without a break until the instance counts as
/// overloaded.
pub const STANDING_QUEUE_TIME: Duration = Duration::from_millis(100);

/// Weight of a latency sample above the service time estimate in the moving average.
const ESTIMATE_RISE_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a latency sample below the service time estimate in the moving average.
const ESTIMATE_FALL_WEIGHT: f64 = 1.0 / 4.0;

/// A non-idempotent call is urgent once its remaining time is less than this multiple of the
/// estimated service time, plus [`PREEMPTION_DELAY`].
const URGENT_SERVICE_TIMES: u32 = 6;

/// Time that a preempted call takes to leave its slot.
const PREEMPTION_DELAY: Duration = Duration::from_millis(200);

/// Number of [`Priority`] values.
const PRIORITY_COUNT: usize = 5;

/// Action that the user of [`AdmissionController`] must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start the call; it occupies a slot until [`AdmissionController::finish`].
    Start(Ticket),
    /// Answer the caller that the call was not run, with this error kind.
    Drop(Ticket, NotRunKind),
    /// Cancel the running call. Its slot is free once [`AdmissionController::finish`] is called for
    /// it.
    Preempt(Ticket),
}

/// Result of a started call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target returned a complete response.
    Ok,
    /// The target or the connection to it failed.
    Failed,
    /// The call was cancelled by its caller, its deadline or a preemption.
    Cancelled,
}

/// Current load of an instance and its counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls running now.
    pub in_flight: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
    /// Whether the queue has been non-empty for at least [`STANDING_QUEUE_TIME`].
    pub overloaded: bool,
    /// Calls offered since the start.
    pub offered: u64,
    /// Calls dropped since the start.
    pub dropped: u64,
}

/// Decides which of the calls offered to an instance start, wait or are dropped.
#[derive(Debug)]
pub struct AdmissionController {
    cfg: AdmissionConfig,
    limit: ConcurrencyLimit,
    queue: Queue,
    slots: Slots,
    queue_nonempty_since: Option<Time>,
    standing_queue: bool,
    service_times: [f64; PRIORITY_COUNT],
    next_probe: Time,
    offered: u64,
    dropped: u64,
}

impl AdmissionController {
    /// Builds an admission controller for `slots` slots with all mechanisms enabled.
    pub fn new(slots: u32, now: Time) -> AdmissionController {
        AdmissionController::with_config(AdmissionConfig::full(slots), now)
    }

    /// Builds an admission controller whose enabled mechanisms are given by `cfg`.
    pub fn with_config(cfg: AdmissionConfig, now: Time) -> AdmissionController {
        AdmissionController {
            cfg,
            limit: ConcurrencyLimit::new(cfg.slots, cfg.adaptive_limit),
            queue: Queue::new(cfg.priority_order),
            slots: Slots::new(now),
            queue_nonempty_since: None,
            standing_queue: false,
            service_times: [0.0; PRIORITY_COUNT],
            next_probe: now,
            offered: 0,
            dropped: 0,
        }
    }

    /// Changes the number of slots that the instance publishes.
    ///
    /// Resets the concurrency limit and the queue capacity, then starts or drops calls accordingly.
    pub fn set_slots(&mut self, slots: u32, now: Time, out: &mut Vec<Effect>) {
        if slots == self.cfg.slots {
            return;
        }
        let full = AdmissionConfig::full(slots);
        self.cfg.slots = slots;
        self.cfg.queue_capacity = full.queue_capacity;
        self.limit.set_slots(slots, now);
        self.fill_slots(now, out);
        self.shed_excess(now, out);
    }

    /// Offers a call for execution. A ticket that is already queued or running is ignored.
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
        self.fill_slots(now, out);
        self.shed_excess(now, out);
        if urgent {
            self.preempt_for_urgent(now, out);
        }
    }

    /// Records the result of a started call, frees its slot and starts waiting calls.
    pub fn finish(&mut self, ticket: Ticket, result: RunResult, now: Time, out: &mut Vec<Effect>) {
        let saturated = self.slots.in_flight() >= self.limit.current();
        let Some(slot) = self.slots.release(ticket, now) else {
            return;
        };
        let latency = now.since(slot.started);
        if result == RunResult::Ok {
            self.record_latency(&slot, latency, saturated, now);
        }
        self.fill_slots(now, out);
    }

    /// Removes a call from the queue without an effect for it. Returns whether it was queued.
    pub fn withdraw(&mut self, ticket: Ticket, now: Time, out: &mut Vec<Effect>) -> bool {
        let withdrawn = self.queue.remove(ticket).is_some();
        if withdrawn {
            self.fill_slots(now, out);
        }
        withdrawn
    }

    /// Drops queued calls that cannot meet their deadline and preempts for urgent calls.
    ///
    /// Must be called at least every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.fill_slots(now, out);
        let late: Vec<Ticket> = self
            .queue
            .iter()
            .filter(|queued| self.will_miss_deadline(queued, now))
            .map(|queued| queued.job.ticket)
            .collect();
        for ticket in late {
            self.queue.remove(ticket);
            self.drop_call(ticket, NotRunKind::DeadlineInQueue, out);
        }
        self.fill_slots(now, out);
        self.preempt_for_urgent(now, out);
    }

    /// Returns the load as of the last call that changed the state.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.slots.in_flight(),
            limit: self.limit.current(),
            queued: self.queue.len() as u32,
            overloaded: self.standing_queue,
            offered: self.offered,
            dropped: self.dropped,
        }
    }

    /// Returns the estimated service time of calls of `priority`; zero before the first sample.
    pub fn service_time(&self, priority: Priority) -> Duration {
        Duration::from_micros(self.service_times[priority as usize] as u64)
    }

    fn order(&self) -> ServiceOrder {
        match self.standing_queue && self.cfg.sojourn_control {
            true => ServiceOrder::NewestFirst,
            false => ServiceOrder::OldestFirst,
        }
    }

    /// Starts queued calls while slots are free, and drops those that would miss their deadline.
    fn fill_slots(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.update_standing_queue(now);
        while let Some((ticket, late)) = self.next_call(now) {
            let Some(queued_call) = self.queue.remove(ticket) else {
                break;
            };
            if late && !self.try_probe(&queued_call, now) {
                self.drop_call(ticket, NotRunKind::DeadlineInQueue, out);
                continue;
            }
            self.slots.occupy(&queued_call.job, now);
            out.push(Effect::Start(ticket));
        }
        self.update_standing_queue(now);
    }

    /// Returns the next call to start, if a slot is free, and whether it would miss its deadline.
    fn next_call(&self, now: Time) -> Option<(Ticket, bool)> {
        if self.slots.is_exclusive() || self.slots.in_flight() >= self.limit.current() {
            return None;
        }
        let skip_exclusive = self.slots.is_shared_turn(now) && self.queue.has_non_exclusive();
        let queued_call = self.queue.next_to_serve(self.order(), skip_exclusive)?;
        let late = self.will_miss_deadline(queued_call, now);
        if queued_call.job.exclusive && self.slots.in_flight() > 0 && !late {
            return None;
        }
        Some((queued_call.job.ticket, late))
    }

    /// Emits a drop and counts it.
    fn drop_call(&mut self, ticket: Ticket, kind: NotRunKind, out: &mut Vec<Effect>) {
        self.dropped += 1;
        out.push(Effect::Drop(ticket, kind));
    }

    /// Drops queued calls above the queue capacity.
    ///
    /// Each pending preemption raises the capacity by one, since its slot is about to become free.
    fn shed_excess(&mut self, now: Time, out: &mut Vec<Effect>) {
        while self.queue.len() as u32 > self.cfg.queue_capacity + self.slots.preempting() {
            let Some(last) = self.queue.next_to_drop(self.order()) else {
                return;
            };
            let job = last.job.clone();
            if !job.idempotent && self.preempt_below(job.priority, out) {
                continue;
            }
            self.queue.remove(job.ticket);
            self.drop_call(job.ticket, NotRunKind::Overloaded, out);
        }
        self.update_standing_queue(now);
    }

    /// Preempts running calls for urgent calls, which would miss their deadline in the queue.
    fn preempt_for_urgent(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.cfg.preemption || self.slots.in_flight() == 0 {
            return;
        }
        let urgent: Vec<(Priority, bool)> = self
            .queue
            .iter()
            .filter(|queued| self.is_urgent(&queued.job, queued.queued_at, now))
            .map(|queued| (queued.job.priority, queued.job.exclusive))
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

    /// Preempts the newest idempotent call of the lowest priority below `priority`.
    ///
    /// Returns whether there was one.
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

    /// Returns whether the call cannot finish before its deadline.
    ///
    /// Without sojourn control or standing overload, only an expired deadline counts.
    fn will_miss_deadline(&self, queued_call: &QueuedCall, now: Time) -> bool {
        let remaining = queued_call.job.deadline.since(now);
        if remaining.is_zero() {
            return true;
        }
        let checked = self.cfg.sojourn_control && self.standing_queue;
        checked && remaining < self.service_time(queued_call.job.priority)
    }

    /// Returns whether a non-idempotent call would miss its deadline if it waited much longer.
    ///
    /// The margin for the preemption is at most half of the time that the call had at arrival, so
    /// that a call with a short deadline waits for a free slot before it takes another call's.
    fn is_urgent(&self, job: &Job, queued_at: Time, now: Time) -> bool {
        let preemption = PREEMPTION_DELAY.min(job.deadline.since(queued_at) / 2);
        let margin = self.service_time(job.priority) * URGENT_SERVICE_TIMES + preemption;
        !job.idempotent && job.deadline.since(now) < margin
    }

    /// Returns whether the call runs as a probe although it is estimated to be late.
    ///
    /// Probes let a service time estimate that is too high correct itself. At most one idempotent
    /// call per estimated service time is chosen.
    fn try_probe(&mut self, queued_call: &QueuedCall, now: Time) -> bool {
        let job = &queued_call.job;
        let expired = job.deadline <= now;
        if expired || job.exclusive || !job.idempotent || now < self.next_probe {
            return false;
        }
        self.next_probe = now.plus(self.service_time(job.priority));
        true
    }

    /// Updates the service time estimate and the concurrency limit with the latency of a call.
    fn record_latency(
        &mut self,
        slot: &OccupiedSlot,
        latency: Duration,
        saturated: bool,
        now: Time,
    ) {
        let sample = latency.as_micros() as f64;
        let estimate = &mut self.service_times[slot.priority as usize];
        let weight = match (*estimate == 0.0, sample < *estimate) {
            (true, _) => 1.0,
            (_, true) => ESTIMATE_FALL_WEIGHT,
            (_, false) => ESTIMATE_RISE_WEIGHT,
        };
        *estimate += (sample - *estimate) * weight;
        self.limit.observe(latency, saturated, now);
    }

    /// Updates how long the queue has been non-empty.
    fn update_standing_queue(&mut self, now: Time) {
        if self.queue.is_empty() {
            self.queue_nonempty_since = None;
            self.standing_queue = false;
            return;
        }
        let since = *self.queue_nonempty_since.get_or_insert(now);
        self.standing_queue = now.since(since) >= STANDING_QUEUE_TIME;
    }
}
