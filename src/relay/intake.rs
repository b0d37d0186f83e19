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
use crate::coordination::admission::Ending;
use crate::coordination::admission::Job;
use crate::coordination::admission::TICK;
use crate::coordination::admission::Ticket;
use crate::coordination::pressure::Gate;
use crate::coordination::pressure::GateControl;
use crate::error::NotRunKind;

/// Share of the published slots that is used, because targets slow down when they are nearly full.
const USED_SLOTS: f64 = 0.93;

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
    since: HashMap<Ticket, Time>,
    gate: GateControl,
    waited: Duration,
    started: u32,
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
        let oldest = self
            .since
            .values()
            .min()
            .map_or(Duration::ZERO, |at| now.since(*at));
        let mean = match self.started {
            0 => oldest,
            started => self.waited / started,
        };
        if self.gate.observe(mean, now) {
            self.waited = Duration::ZERO;
            self.started = 0;
        }
    }

    fn tell(&mut self, ticket: Ticket, verdict: Result<(), NotRunKind>, now: Time) {
        if let Some(since) = self.since.remove(&ticket) {
            self.waited += now.since(since);
            self.started += 1;
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
            since: HashMap::new(),
            gate: GateControl::new(now),
            waited: Duration::ZERO,
            started: 0,
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
            Ok(Ok(())) => {
                permit.started = true;
                Ok(permit)
            }
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
        state.since.insert(ticket, now);
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
            started: false,
            told: false,
            ending: Ending::Cancelled,
        };
        (permit, rx)
    }

    /// Drops what waits in vain, for as long as the process runs.
    pub async fn tick(self: Arc<Intake>) {
        loop {
            self.queued.notified().await;
            while self.queue_len() > 0 {
                tokio::time::sleep(TICK).await;
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
    pub fn gate(&self) -> Gate {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply(Vec::new(), now);
        state.gate.gate()
    }

    fn queue_len(&self) -> u32 {
        self.lock().admission.load().queued
    }

    fn end(&self, permit: &Permit) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut state = self.lock();
        state.waiters.remove(&permit.ticket);
        state.since.remove(&permit.ticket);
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
    started: bool,
    told: bool,
    ending: Ending,
}

impl Permit {
    /// Notes how the run ended, before the slot is given back.
    pub fn ended(&mut self, ending: Ending) {
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
        adaptive_limit: false,
        preemption: false,
        ..AdmissionConfig::full(slots)
    }
}
