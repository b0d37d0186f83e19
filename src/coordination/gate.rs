//! Ingress decisions: what happens to a call that arrives at an instance.

use std::collections::HashMap;

use rand::CryptoRng;

use crate::call::CallContext;
use crate::call::MAX_DEPTH;
use crate::call::RequestId;
use crate::clock::Time;
use crate::coordination::admission::Admission;
use crate::coordination::admission::Effect;
use crate::coordination::admission::Ending;
use crate::coordination::admission::Job;
use crate::coordination::admission::Load;
use crate::coordination::admission::Ticket;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::state::Rank;
use crate::state::Table;

/// A call that arrives at an instance.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Identifies the call at this node.
    pub ticket: Ticket,
    /// Context of the call.
    pub context: &'a CallContext,
    /// Idempotency token that came with it.
    pub token: Option<&'a str>,
    /// Whether its caller sent it before.
    pub resent: bool,
}

/// What becomes of a call that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrived<A> {
    /// One [`Effect::Start`] or [`Effect::Drop`] will follow.
    Offered,
    /// It shares the run of another call.
    Joined(Ticket),
    /// It is answered by the answer that was kept.
    Replayed(A),
    /// It is refused.
    Refused(Refusal),
}

/// A refusal, and a fresh idempotency token where one helps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Token to send the call again with.
    pub token: Option<String>,
}

/// A sub-call of a running call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Child {
    /// The call that it belongs to, if any.
    pub parent: Option<Ticket>,
    /// Its context, with a lease of the parent's spare attempts.
    pub context: CallContext,
}

struct Run {
    context: CallContext,
    context_id: Option<u128>,
    deadline: Time,
    used: u32,
}

struct Calls {
    runs: HashMap<Ticket, Run>,
    by_context: HashMap<u128, Ticket>,
}

/// The ingress decisions of one instance.
pub struct Gate<A> {
    calls: Table<Calls>,
    admission: Table<Admission>,
    draining: std::sync::atomic::AtomicBool,
    kept: std::marker::PhantomData<fn() -> A>,
}

impl<A> Gate<A> {
    /// Builds the decisions of an instance with `slots` slots.
    pub fn new(slots: u32, now: Time) -> Gate<A> {
        let calls = Calls {
            runs: HashMap::new(),
            by_context: HashMap::new(),
        };
        Gate {
            calls: Table::new(Rank::Calls, calls),
            admission: Table::new(Rank::Admission, Admission::new(slots, now)),
            draining: false.into(),
            kept: std::marker::PhantomData,
        }
    }

    /// Decides about a call that arrives.
    pub fn arrive(
        &self,
        arrival: &Arrival<'_>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> Arrived<A> {
        let refused = |kind: NotRunKind| {
            Arrived::Refused(Refusal {
                kind: kind.into(),
                token: None,
            })
        };
        if self.is_draining() {
            return refused(NotRunKind::Draining);
        }
        let cx = arrival.context;
        if cx.depth > MAX_DEPTH {
            return refused(NotRunKind::TooDeep);
        }
        let deadline = now.plus(cx.remaining);
        let run = Run {
            context: cx.clone(),
            context_id: None,
            deadline,
            used: 0,
        };
        self.calls.lock().runs.insert(arrival.ticket, run);
        let job = Job {
            ticket: arrival.ticket,
            priority: cx.priority,
            cohort: cx.cohort(),
            idempotent: cx.idempotent,
            deadline,
            exclusive: false,
        };
        self.admission.lock().offer(job, now, effects);
        Arrived::Offered
    }

    /// Begins the run of a call. Returns the context id that its target gets.
    pub fn begin<R>(&self, ticket: Ticket, rng: &mut R) -> Option<u128>
    where
        R: CryptoRng,
    {
        let id = u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64());
        let mut calls = self.calls.lock();
        calls.runs.get_mut(&ticket)?.context_id = Some(id);
        calls.by_context.insert(id, ticket);
        Some(id)
    }

    /// Ends a call that was started. Returns the spare attempts that it and its sub-calls used.
    pub fn finish(
        &self,
        ticket: Ticket,
        outcome: &Outcome<Option<A>>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> u32 {
        let used = self.forget(ticket);
        let ending = match outcome {
            Outcome::Completed(_) => Ending::Ok,
            Outcome::NotRun(_) => Ending::Failed,
            Outcome::Unknown(_) => Ending::Failed,
        };
        self.admission.lock().finish(ticket, ending, now, effects);
        used
    }

    /// Ends a call that was dropped before it started.
    pub fn dropped(&self, ticket: Ticket) {
        self.forget(ticket);
    }

    /// Takes a lease for a sub-call of the running call that `context_id` names.
    ///
    /// # Errors
    ///
    /// If no such call is running.
    pub fn lease(
        &self,
        context_id: u128,
        idempotent: bool,
        timeout: std::time::Duration,
        now: Time,
    ) -> Result<Child, NotRunKind> {
        let mut calls = self.calls.lock();
        let ticket = *calls
            .by_context
            .get(&context_id)
            .ok_or(NotRunKind::ParentEnded)?;
        let run = calls.runs.get_mut(&ticket).ok_or(NotRunKind::ParentEnded)?;
        let spare = (run.context.spare - run.used).div_ceil(2);
        run.used += spare;
        let context = CallContext {
            idempotent,
            remaining: run.deadline.since(now).min(timeout),
            spare,
            depth: run.context.depth + 1,
            moved: false,
            ..run.context.clone()
        };
        Ok(Child {
            parent: Some(ticket),
            context,
        })
    }

    /// Gives back what a sub-call's whole answer shows as unused.
    pub fn give_back(&self, child: &Child, unused: u32) {
        let Some(parent) = child.parent else {
            return;
        };
        if let Some(run) = self.calls.lock().runs.get_mut(&parent) {
            run.used -= unused.min(run.used);
        }
    }

    /// Returns the calls that belong to a request.
    pub fn calls_of(&self, request: RequestId) -> Vec<Ticket> {
        let calls = self.calls.lock();
        let of_request = calls
            .runs
            .iter()
            .filter(|(_, run)| run.context.request == request);
        of_request.map(|(ticket, _)| *ticket).collect()
    }

    /// Runs what is due.
    pub fn tick(&self, now: Time, effects: &mut Vec<Effect>) {
        self.admission.lock().tick(now, effects);
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.draining
            .store(true, std::sync::atomic::Ordering::SeqCst);
    }

    /// Returns whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Returns whether no call is held.
    pub fn is_idle(&self) -> bool {
        self.calls.lock().runs.is_empty()
    }

    /// Returns the load.
    pub fn load(&self) -> Load {
        self.admission.lock().load()
    }

    fn forget(&self, ticket: Ticket) -> u32 {
        let mut calls = self.calls.lock();
        let Some(run) = calls.runs.remove(&ticket) else {
            return 0;
        };
        if let Some(id) = run.context_id {
            calls.by_context.remove(&id);
        }
        run.used
    }
}
