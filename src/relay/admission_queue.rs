//! Admission to the slots of the local target: running and queued requests, and the load that is
//! reported to senders.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::clock::Time;
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::admission::AdmissionController;
use crate::coordination::admission::Effect;
use crate::coordination::admission::Job;
use crate::coordination::admission::RunResult;
use crate::coordination::admission::TICK_INTERVAL;
use crate::coordination::admission::Ticket;
use crate::coordination::backpressure::AdmissionRatio;
use crate::coordination::backpressure::RatioController;
use crate::coordination::backpressure::SlotUsage;
use crate::coordination::pace::Pace;
use crate::coordination::pace::TargetLoad;
use crate::error::NotRunKind;

/// Share of the listed slots that is used, because targets slow down when they are nearly full.
const USED_SLOT_SHARE: f64 = 0.93;

/// Weight of the latest run in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.02;

/// Queue length per slot. A sub-call that is refused wastes the run that made it.
const QUEUE_PER_SLOT: u32 = 4;

/// Slots that are assumed of a target that is not listed yet.
const DEFAULT_SLOTS: u32 = 8;

/// Properties of a request on which its admission depends.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Priority.
    pub priority: crate::call::Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time after which the sender no longer waits for the response.
    pub deadline: Time,
    /// Whether no other request may run at the same time.
    pub exclusive: bool,
}

/// Queue of requests for the slots of the local target.
#[derive(Debug)]
pub struct AdmissionQueue {
    clock: Clock,
    state: Mutex<State>,
    job_queued: Notify,
}

#[derive(Debug)]
struct State {
    admission: AdmissionController,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), NotRunKind>>>,
    running: HashMap<Ticket, Time>,
    mean_run_time: Duration,
    /// Slots that the list gives for the target, less those that are not used.
    slots: u32,
    pace: Pace,
    ratio_controller: RatioController,
    next_ticket: u64,
}

impl State {
    fn apply(&mut self, effects: Vec<Effect>, now: Time) {
        for effect in effects {
            match effect {
                Effect::Start(ticket) => self.notify(ticket, Ok(()), now),
                Effect::Drop(ticket, kind) => self.notify(ticket, Err(kind), now),
                Effect::Preempt(_) => (),
            }
        }
        let load = self.admission.load();
        let slots = SlotUsage {
            limit: load.limit,
            run_time: self.mean_run_time,
        };
        self.ratio_controller.update(slots, now);
    }

    /// Adapts the limit on running requests to the pace of the target.
    fn update_limit(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let limit = self.pace.limit(self.slots);
        self.admission.set_slots(limit, now, effects);
    }

    /// Removes a run, and adds it to the average run time unless it was cancelled.
    fn record_run(&mut self, permit: &Permit, now: Time) {
        let Some(started_at) = self.running.remove(&permit.ticket) else {
            return;
        };
        if permit.result == RunResult::Cancelled {
            return;
        }
        let took = now.since(started_at);
        if permit.result == RunResult::Ok {
            self.pace.record_run(took, self.slots, now);
        }
        self.mean_run_time = match self.mean_run_time.is_zero() {
            true => took,
            false => {
                self.mean_run_time.mul_f64(1.0 - RUN_TIME_WEIGHT) + took.mul_f64(RUN_TIME_WEIGHT)
            }
        };
    }

    fn notify(&mut self, ticket: Ticket, result: Result<(), NotRunKind>, now: Time) {
        if result.is_ok() {
            self.running.insert(ticket, now);
        }
        if let Some(tx) = self.waiters.remove(&ticket) {
            // If the caller has gone, dropping the permit releases the slot.
            let _ = tx.send(result);
        }
    }
}

impl AdmissionQueue {
    /// Builds the queue of a target that is not listed yet.
    pub fn new(clock: Clock) -> AdmissionQueue {
        let now = clock.now();
        let state = State {
            admission: AdmissionController::with_config(admission_config(DEFAULT_SLOTS), now),
            waiters: HashMap::new(),
            running: HashMap::new(),
            mean_run_time: Duration::ZERO,
            slots: DEFAULT_SLOTS,
            pace: Pace::default(),
            ratio_controller: RatioController::new(now),
            next_ticket: 0,
        };
        AdmissionQueue {
            clock,
            state: Mutex::new(state),
            job_queued: Notify::new(),
        }
    }

    /// Sets the number of slots that the list gives for the target.
    pub fn set_slots(&self, slots: u32) {
        let used = (f64::from(slots) * USED_SLOT_SHARE).floor().max(1.0) as u32;
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut state = self.lock();
        state.slots = used;
        state.update_limit(now, &mut effects);
        state.apply(effects, now);
    }

    /// Records what the target stated in a response.
    pub fn record_target_load(&self, load: &TargetLoad) {
        let now = self.clock.now();
        self.lock().pace.record_load(load, now);
    }

    /// Records that the target has just started or come back.
    pub fn record_target_start(&self) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut state = self.lock();
        state.pace.record_start();
        state.update_limit(now, &mut effects);
        state.apply(effects, now);
    }

    /// Returns the expected time of a run that begins now, if the target states how long work takes.
    pub fn expected_run_time(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.lock().pace.run_time(now)
    }

    /// Waits for a slot. Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// If the queue is full, or the deadline passes first.
    pub async fn admit(
        self: &Arc<AdmissionQueue>,
        request: AdmissionRequest,
    ) -> Result<Permit, NotRunKind> {
        let (mut permit, rx) = self.enqueue(request);
        match rx.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(kind)) => {
                permit.rejected = true;
                Err(kind)
            }
            Err(_) => Err(NotRunKind::Withdrawn),
        }
    }

    fn enqueue(
        self: &Arc<AdmissionQueue>,
        request: AdmissionRequest,
    ) -> (Permit, oneshot::Receiver<Result<(), NotRunKind>>) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        state.next_ticket += 1;
        let ticket = Ticket(state.next_ticket);
        state.waiters.insert(ticket, tx);
        let queued = state.admission.load().queued;
        state.ratio_controller.record_arrival(queued);
        let job = Job {
            ticket,
            priority: request.priority,
            cohort: crate::call::Cohort(0),
            idempotent: request.idempotent,
            deadline: request.deadline,
            exclusive: request.exclusive,
        };
        state.admission.offer(job, now, &mut effects);
        state.apply(effects, now);
        if state.admission.load().queued > 0 {
            self.job_queued.notify_one();
        }
        let permit = Permit {
            admission_queue: self.clone(),
            ticket,
            rejected: false,
            result: RunResult::Cancelled,
        };
        (permit, rx)
    }

    /// Periodically drops the queued requests that cannot run in time. Never returns.
    pub async fn drop_late_requests(self: Arc<AdmissionQueue>) {
        loop {
            self.job_queued.notified().await;
            while self.queue_len() > 0 {
                tokio::time::sleep(TICK_INTERVAL).await;
                let now = self.clock.now();
                let mut effects = Vec::new();
                let mut state = self.lock();
                state.admission.tick(now, &mut effects);
                state.apply(effects, now);
            }
        }
    }

    /// Returns the load: running and queued requests, in percent of the limit on running ones.
    pub fn load_percent(&self) -> u16 {
        let load = self.lock().admission.load();
        let total = u64::from(load.in_flight) + u64::from(load.queued);
        u16::try_from(total * 100 / u64::from(load.limit.max(1))).unwrap_or(u16::MAX)
    }

    /// Returns the numbers of running and queued requests, and the limit on running ones.
    pub fn counts(&self) -> (u32, u32, u32) {
        let load = self.lock().admission.load();
        (load.in_flight, load.queued, load.limit)
    }

    /// Returns the admission ratio of the target: the share of its present load that it can take.
    pub fn admission_ratio(&self) -> AdmissionRatio {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply(Vec::new(), now);
        state.ratio_controller.ratio()
    }

    fn queue_len(&self) -> u32 {
        self.lock().admission.load().queued
    }

    fn release(&self, permit: &Permit) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut state = self.lock();
        state.waiters.remove(&permit.ticket);
        state.record_run(permit, now);
        state.update_limit(now, &mut effects);
        if !permit.rejected && !state.admission.withdraw(permit.ticket, now, &mut effects) {
            state
                .admission
                .finish(permit.ticket, permit.result, now, &mut effects);
        }
        state.apply(effects, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// A slot of the target, or a place in its queue. Dropping it releases either.
#[derive(Debug)]
pub struct Permit {
    admission_queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    rejected: bool,
    result: RunResult,
}

impl Permit {
    /// Sets the result of the run. A run without a result counts as cancelled.
    pub fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let admission_queue = self.admission_queue.clone();
        admission_queue.release(self);
    }
}

fn admission_config(slots: u32) -> AdmissionConfig {
    AdmissionConfig {
        queue_capacity: slots * QUEUE_PER_SLOT,
        adaptive_limit: false,
        preemption: false,
        ..AdmissionConfig::full(slots)
    }
}
