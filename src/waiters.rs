//! Channels by which the gate's decisions reach the handlers that wait for them.

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
use crate::transport::kept_response::KeptResponse;

/// Decision on a call that its handler waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run the call now.
    Start,
    /// The call is not run at this instance.
    Drop(NotRunKind),
    /// The run that the call shares has ended with this outcome.
    Shared(Outcome<KeptResponse>),
}

struct Waiter {
    start: Option<oneshot::Sender<AdmissionDecision>>,
    stop: Option<oneshot::Sender<UnknownKind>>,
}

/// Signals that the handler of a call waits for.
#[derive(Debug)]
pub struct CallSignals {
    /// Decision on the call.
    pub start: oneshot::Receiver<AdmissionDecision>,
    /// Request to stop the call, with the reason.
    pub stop: oneshot::Receiver<UnknownKind>,
}

/// Handlers that wait for a decision on their call, by ticket.
#[derive(Default)]
pub struct Waiters {
    table: Mutex<HashMap<Ticket, Waiter>>,
}

impl Waiters {
    /// Registers the handler of a call and returns its signals.
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

    /// Removes the handler of a call.
    pub fn remove(&self, ticket: Ticket) {
        self.lock().remove(&ticket);
    }

    /// Sends each effect to the handler of its call.
    pub fn apply(&self, effects: &[Effect]) {
        let mut waiters = self.lock();
        for effect in effects {
            match *effect {
                Effect::Start(ticket) => {
                    send_decision(&mut waiters, ticket, AdmissionDecision::Start)
                }
                Effect::Drop(ticket, kind) => {
                    send_decision(&mut waiters, ticket, AdmissionDecision::Drop(kind))
                }
                Effect::Preempt(ticket) => {
                    send_stop(&mut waiters, ticket, UnknownKind::Preempted);
                }
            }
        }
    }

    /// Sends the outcome of a run to the handlers of the calls that share it.
    ///
    /// A response that was not kept is reported as [`UnknownKind::AnswerNotKept`].
    pub fn complete_followers(
        &self,
        followers: &[Ticket],
        outcome: &Outcome<Option<KeptResponse>>,
    ) {
        let mut waiters = self.lock();
        for ticket in followers {
            let decision = AdmissionDecision::Shared(shared_outcome(outcome));
            send_decision(&mut waiters, *ticket, decision);
        }
    }

    /// Requests the handler of a call to stop it, for the reason `kind`.
    pub fn stop(&self, ticket: Ticket, kind: UnknownKind) {
        send_stop(&mut self.lock(), ticket, kind);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Ticket, Waiter>> {
        self.table.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// Returns the outcome of a shared run for a call that did not start it.
fn shared_outcome(outcome: &Outcome<Option<KeptResponse>>) -> Outcome<KeptResponse> {
    match outcome {
        Outcome::Completed(Some(kept)) => Outcome::Completed(kept.clone()),
        Outcome::Completed(None) => Outcome::Unknown(UnknownKind::AnswerNotKept),
        Outcome::NotRun(kind) => Outcome::NotRun(*kind),
        Outcome::Unknown(kind) => Outcome::Unknown(*kind),
    }
}

/// Sends the decision on a call to its handler, unless one was sent before.
fn send_decision(
    waiters: &mut HashMap<Ticket, Waiter>,
    ticket: Ticket,
    decision: AdmissionDecision,
) {
    let start = waiters.get_mut(&ticket).and_then(|w| w.start.take());
    if let Some(start) = start {
        let _ = start.send(decision);
    }
}

/// Requests a handler to stop its call, unless that was requested before.
fn send_stop(waiters: &mut HashMap<Ticket, Waiter>, ticket: Ticket, kind: UnknownKind) {
    let stop = waiters.get_mut(&ticket).and_then(|w| w.stop.take());
    if let Some(stop) = stop {
        let _ = stop.send(kind);
    }
}

/// Sub-calls in progress, which are stopped when their parent call has ended.
#[derive(Default)]
pub struct OpenLeases {
    table: Mutex<HashMap<LeaseId, oneshot::Sender<()>>>,
}

impl OpenLeases {
    /// Registers a sub-call. The receiver completes when the sub-call must stop.
    pub fn register(&self, lease: LeaseId) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.lock().insert(lease, tx);
        rx
    }

    /// Removes a sub-call that has ended.
    pub fn remove(&self, lease: LeaseId) {
        self.lock().remove(&lease);
    }

    /// Stops the given sub-calls.
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
