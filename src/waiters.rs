//! Handlers that wait for a decision about their call.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::oneshot;

use crate::coordination::admission::Effect;
use crate::coordination::admission::Ticket;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::state::calls::LeaseId;
use crate::transport::kept_answer::KeptAnswer;

/// What a handler is told about its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run it now.
    Start,
    /// It is not run here.
    Drop(NotRunKind),
    /// It ended as the run that it shares.
    Shared(Outcome<KeptAnswer>),
}

struct Waiter {
    start: Option<oneshot::Sender<AdmissionDecision>>,
    stop: Option<oneshot::Sender<UnknownKind>>,
}

/// What a handler waits for.
#[derive(Debug)]
pub struct CallSignals {
    /// What becomes of the call.
    pub start: oneshot::Receiver<AdmissionDecision>,
    /// Whether the call must stop after it has started.
    pub stop: oneshot::Receiver<UnknownKind>,
}

/// Handlers that wait, by ticket.
#[derive(Default)]
pub struct Waiters {
    table: Mutex<HashMap<Ticket, Waiter>>,
}

impl Waiters {
    /// Expects a decision about a ticket.
    pub fn register(&self, ticket: Ticket) -> CallSignals {
        let (start_tx, start) = oneshot::channel();
        let (stop_tx, stop) = oneshot::channel();
        let waiter = Waiter {
            start: Some(start_tx),
            stop: Some(stop_tx),
        };
        self.lock().insert(ticket, waiter);
        CallSignals { start, stop }
    }

    /// Forgets a ticket.
    pub fn remove(&self, ticket: Ticket) {
        self.lock().remove(&ticket);
    }

    /// Tells handlers what was decided.
    pub fn apply(&self, effects: &[Effect]) {
        let mut waiters = self.lock();
        for effect in effects {
            match *effect {
                Effect::Start(ticket) => tell(&mut waiters, ticket, AdmissionDecision::Start),
                Effect::Drop(ticket, kind) => {
                    tell(&mut waiters, ticket, AdmissionDecision::Drop(kind))
                }
                Effect::Preempt(ticket) => {
                    tell_stop(&mut waiters, ticket, UnknownKind::Preempted);
                }
            }
        }
    }

    /// Tells handlers how the run that they share ended.
    pub fn complete_followers(&self, sharing: &[Ticket], outcome: &Outcome<Option<KeptAnswer>>) {
        let mut waiters = self.lock();
        for ticket in sharing {
            let told = AdmissionDecision::Shared(shared(outcome));
            tell(&mut waiters, *ticket, told);
        }
    }

    /// Tells the handler of a ticket to stop.
    pub fn stop(&self, ticket: Ticket, kind: UnknownKind) {
        tell_stop(&mut self.lock(), ticket, kind);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Ticket, Waiter>> {
        self.table.lock().unwrap_or_else(|p| p.into_inner())
    }
}

fn shared(outcome: &Outcome<Option<KeptAnswer>>) -> Outcome<KeptAnswer> {
    match outcome {
        Outcome::Completed(Some(kept)) => Outcome::Completed(kept.clone()),
        Outcome::Completed(None) => Outcome::Unknown(UnknownKind::AnswerNotKept),
        Outcome::NotRun(kind) => Outcome::NotRun(*kind),
        Outcome::Unknown(kind) => Outcome::Unknown(*kind),
    }
}

fn tell(waiters: &mut HashMap<Ticket, Waiter>, ticket: Ticket, told: AdmissionDecision) {
    let start = waiters.get_mut(&ticket).and_then(|w| w.start.take());
    if let Some(start) = start {
        let _ = start.send(told);
    }
}

fn tell_stop(waiters: &mut HashMap<Ticket, Waiter>, ticket: Ticket, kind: UnknownKind) {
    let stop = waiters.get_mut(&ticket).and_then(|w| w.stop.take());
    if let Some(stop) = stop {
        let _ = stop.send(kind);
    }
}

/// Sub-calls in progress, which stop when the call that made them has ended.
#[derive(Default)]
pub struct OpenLeases {
    table: Mutex<HashMap<LeaseId, oneshot::Sender<()>>>,
}

impl OpenLeases {
    /// Enters a sub-call. The receiver is told when to stop.
    pub fn register(&self, lease: LeaseId) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.lock().insert(lease, tx);
        rx
    }

    /// Takes out a sub-call that has ended.
    pub fn remove(&self, lease: LeaseId) {
        self.lock().remove(&lease);
    }

    /// Stops sub-calls.
    pub fn stop(&self, leases: &[LeaseId]) {
        let mut table = self.lock();
        for stop in leases.iter().filter_map(|lease| table.remove(lease)) {
            let _ = stop.send(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<LeaseId, oneshot::Sender<()>>> {
        self.table.lock().unwrap_or_else(|p| p.into_inner())
    }
}
