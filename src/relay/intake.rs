//! Slots of the own target: who runs now, who waits, and what senders are told about it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::clock::Time;
use crate::coordination::admission::Admission;
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::admission::Effect;
use crate::coordination::admission::Job;
use crate::coordination::admission::RunResult;
use crate::coordination::admission::TICK_INTERVAL;
use crate::coordination::admission::Ticket;
use crate::coordination::backpressure::AdmissionRatio;
use crate::coordination::backpressure::RatioController;
use crate::coordination::backpressure::SlotUsage;
use crate::error::NotRunKind;

/// Share of the published slots that is used, because targets slow down when they are nearly full.
const USED_SLOTS: f64 = 0.93;

/// Weight of the latest run in the mean time of a run.
const RUN_WEIGHT: f64 = 0.02;

/// Waiting requests for each slot. A sub-call that is turned away wastes the run that made it.
const QUEUE_PER_SLOT: u32 = 4;

/// Slots of a target that is not listed yet.
const FIRST_SLOTS: u32 = 8;

/// What a request needs of the target.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Importance.
    pub priority: crate::call::Priority,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time after which nobody waits for the answer.
    pub deadline: Time,
}

/// The slots of the own target.
#[derive(Debug)]
pub struct Intake {
    clock: Clock,
    state: Mutex<State>,
    queued: Notify,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), NotRunKind>>>,
    running: HashMap<Ticket, Time>,
    run: Duration,
    gate: RatioController,
    next: u64,
}

impl State {
    fn apply(&mut self, effects: Vec<Effect>, now: Time) {
        for effect in effects {
            match effect {
                Effect::Start(ticket) => self.tell(ticket, Ok(()), now),
                Effect::Drop(ticket, kind) => self.tell(ticket, Err(kind), now),
                Effect::Preempt(_) => (),
            }
        }
        let load = self.admission.load();
        let slots = SlotUsage {
            limit: load.limit,
            run: self.run,
        };
        self.gate.update(slots, now);
    }

    /// Learns the mean time of a run from one that came to its end.
    fn note_run(&mut self, permit: &Permit, now: Time) {
        let Some(began) = self.running.remove(&permit.ticket) else {
            return;
        };
        if permit.ending == RunResult::Cancelled {
            return;
        }
        let took = now.since(began);
        self.run = match self.run.is_zero() {
            true => took,
            false => self.run.mul_f64(1.0 - RUN_WEIGHT) + took.mul_f64(RUN_WEIGHT),
        };
    }

    fn tell(&mut self, ticket: Ticket, verdict: Result<(), NotRunKind>, now: Time) {
        if verdict.is_ok() {
            self.running.insert(ticket, now);
        }
        if let Some(tx) = self.waiters.remove(&ticket) {
            // A request whose caller has left gives the slot back when its permit is dropped.
            let _ = tx.send(verdict);
        }
    }
}

impl Intake {
    /// Builds the slots of a target that is not listed yet.
    pub fn new(clock: Clock) -> Intake {
        let now = clock.now();
        let state = State {
            admission: Admission::with_config(config(FIRST_SLOTS), now),
            waiters: HashMap::new(),
            running: HashMap::new(),
            run: Duration::ZERO,
            gate: RatioController::new(now),
            next: 0,
        };
        Intake {
            clock,
            state: Mutex::new(state),
            queued: Notify::new(),
        }
    }

    /// Adopts the published slots of the target.
    pub fn set_slots(&self, slots: u32) {
        let used = (f64::from(slots) * USED_SLOTS).floor().max(1.0) as u32;
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut state = self.lock();
        state.admission.set_slots(used, now, &mut effects);
        state.apply(effects, now);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// If there is no room, or the deadline passes first.
    pub async fn admit(self: &Arc<Intake>, ask: Ask) -> Result<Permit, NotRunKind> {
        let (mut permit, rx) = self.offer(ask);
        match rx.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(kind)) => {
                permit.told = true;
                Err(kind)
            }
            Err(_) => Err(NotRunKind::Withdrawn),
        }
    }

    fn offer(self: &Arc<Intake>, ask: Ask) -> (Permit, oneshot::Receiver<Result<(), NotRunKind>>) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        state.next += 1;
        let ticket = Ticket(state.next);
        state.waiters.insert(ticket, tx);
        let queued = state.admission.load().queued;
        state.gate.record_arrival(queued);
        let job = Job {
            ticket,
            priority: ask.priority,
            cohort: crate::call::Cohort(0),
            idempotent: ask.idempotent,
            deadline: ask.deadline,
            exclusive: false,
        };
        state.admission.offer(job, now, &mut effects);
        state.apply(effects, now);
        if state.admission.load().queued > 0 {
            self.queued.notify_one();
        }
        let permit = Permit {
            intake: self.clone(),
            ticket,
            told: false,
            ending: RunResult::Cancelled,
        };
        (permit, rx)
    }

    /// Drops what waits in vain, for as long as the process runs.
    pub async fn tick(self: Arc<Intake>) {
        loop {
            self.queued.notified().await;
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

    /// Returns the requests that run or wait, in percent of those that may run at once.
    pub fn percent(&self) -> u16 {
        let load = self.lock().admission.load();
        let held = u64::from(load.in_flight) + u64::from(load.queued);
        u16::try_from(held * 100 / u64::from(load.limit.max(1))).unwrap_or(u16::MAX)
    }

    /// Returns the requests that run, those that wait, and those that may run at once.
    pub fn counts(&self) -> (u32, u32, u32) {
        let load = self.lock().admission.load();
        (load.in_flight, load.queued, load.limit)
    }

    /// Returns the gate of the target.
    pub fn gate(&self) -> AdmissionRatio {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply(Vec::new(), now);
        state.gate.ratio()
    }

    fn queue_len(&self) -> u32 {
        self.lock().admission.load().queued
    }

    fn end(&self, permit: &Permit) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut state = self.lock();
        state.waiters.remove(&permit.ticket);
        state.note_run(permit, now);
        if !permit.told && !state.admission.withdraw(permit.ticket, now, &mut effects) {
            state
                .admission
                .finish(permit.ticket, permit.ending, now, &mut effects);
        }
        state.apply(effects, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// A slot of the target, or a place in its queue. Dropping it gives it back.
#[derive(Debug)]
pub struct Permit {
    intake: Arc<Intake>,
    ticket: Ticket,
    told: bool,
    ending: RunResult,
}

impl Permit {
    /// Notes how the run ended, before the slot is given back.
    pub fn ended(&mut self, ending: RunResult) {
        self.ending = ending;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let intake = self.intake.clone();
        intake.end(self);
    }
}

fn config(slots: u32) -> AdmissionConfig {
    AdmissionConfig {
        queue_capacity: slots * QUEUE_PER_SLOT,
        adaptive_limit: false,
        preemption: false,
        ..AdmissionConfig::full(slots)
    }
}
