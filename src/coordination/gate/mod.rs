//! Ingress decisions: what happens to a call that arrives at an instance.
//!
//! The gate tracks a call from [`Gate::arrive`] until [`Gate::finish`], which must be called
//! exactly once for each call, with the outcome that the caller receives. Until then the call's
//! token is in progress.

mod arrive;
mod leveled_admission;
mod run_result;

use rand::CryptoRng;

use crate::call::RequestId;
use crate::clock::Time;
use crate::coordination::active_calls::ActiveCalls;
use crate::coordination::active_calls::Stage;
use crate::coordination::admission::Effect;
use crate::coordination::admission::Load;
use crate::coordination::admission::Ticket;
use crate::coordination::attempts::AttemptId;
use crate::coordination::gate::leveled_admission::LeveledAdmission;
use crate::coordination::gate::run_result::is_leader_specific;
use crate::coordination::gate::run_result::run_result;
use crate::coordination::gate::run_result::unknown_after_run;
use crate::coordination::level::Level;
use crate::coordination::level::LevelReport;
use crate::coordination::pause::PauseGuard;
use crate::coordination::pause::WakeUp;
use crate::coordination::poison::CrashReport;
use crate::coordination::poison::Suspects;
use crate::coordination::token::Token;
use crate::coordination::token::Tokens;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::fingerprint::Fingerprint;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::InstanceName;
use crate::state::LockRank;
use crate::state::OrderedMutex;
use crate::state::calls::ContextId;
use crate::state::calls::EndedCall;
use crate::state::calls::SubCall;
use crate::timer::Tick;

pub use crate::coordination::arrival::Arrival;
pub use crate::coordination::arrival::ArrivalDecision;
pub use crate::coordination::arrival::ChildCall;
pub use crate::coordination::arrival::FinishedCall;
pub use crate::coordination::arrival::Refusal;
pub use crate::coordination::arrival::Source;
pub use crate::coordination::gate::leveled_admission::GateConfig;

/// Sizes of the tables of a gate, for status and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Calls that have arrived and not ended.
    pub active_calls: usize,
    /// Remembered idempotency tokens.
    pub tokens: usize,
    /// Total size of the responses kept for replay, in bytes.
    pub kept_bytes: usize,
    /// Requests suspected of crashing targets, including quarantined ones.
    pub suspects: usize,
    /// Quarantined requests.
    pub quarantined: usize,
}

/// Ingress decisions of one incarnation of an instance. `A` is the type of a response kept for
/// replay.
pub struct Gate<A> {
    pause: OrderedMutex<PauseGuard>,
    active_calls: OrderedMutex<ActiveCalls>,
    tokens: OrderedMutex<Tokens<A>>,
    suspects: OrderedMutex<Suspects>,
    admission: OrderedMutex<LeveledAdmission>,
    joins_enabled: bool,
    draining: std::sync::atomic::AtomicBool,
    instance: InstanceName,
    response_size: fn(&A) -> usize,
}

impl<A> Gate<A>
where
    A: Clone,
{
    /// Builds the gate of an instance. `response_size` returns the size of a kept response in
    /// bytes.
    pub fn new(
        instance: &InstanceName,
        incarnation: Incarnation,
        cfg: GateConfig,
        response_size: fn(&A) -> usize,
        now: Time,
    ) -> Gate<A> {
        let tokens = Tokens::new(instance, incarnation, cfg.tokens);
        Gate {
            pause: OrderedMutex::new(LockRank::Fleet, PauseGuard::new()),
            active_calls: OrderedMutex::new(LockRank::Calls, ActiveCalls::default()),
            tokens: OrderedMutex::new(LockRank::Tokens, tokens),
            suspects: OrderedMutex::new(LockRank::Suspects, Suspects::new()),
            admission: OrderedMutex::new(LockRank::Admission, LeveledAdmission::new(cfg, now)),
            joins_enabled: cfg.joins,
            draining: false.into(),
            instance: instance.clone(),
            response_size,
        }
    }

    /// Starts the run of a call. Returns the context id to send to its target, or `None` if the
    /// call is unknown or cannot be registered as running.
    pub fn begin<R>(&self, ticket: Ticket, rng: &mut R) -> Option<ContextId>
    where
        R: CryptoRng,
    {
        let mut calls = self.active_calls.lock();
        let call = calls.by_ticket.get(&ticket)?;
        let (context, deadline) = (call.context.clone(), call.deadline);
        let id = calls.contexts.begin(context, deadline, rng).ok()?;
        calls.by_ticket.get_mut(&ticket)?.stage = Stage::Running(id);
        Some(id)
    }

    /// Ends a call with the outcome that its caller receives.
    ///
    /// The response is `None` if it is too large to be kept. If the run of an idempotent call ended
    /// for a reason that concerns only that call, the followers that still have time share a new
    /// run.
    pub fn finish(
        &self,
        ticket: Ticket,
        outcome: &Outcome<Option<A>>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> FinishedCall {
        let mut calls = self.active_calls.lock();
        let Some(call) = calls.by_ticket.remove(&ticket) else {
            return FinishedCall::default();
        };
        let ended = match call.stage {
            Stage::Running(id) => calls.contexts.end(now, id).unwrap_or_default(),
            _ => EndedCall::default(),
        };
        let mut followers = calls.leave_run(ticket, &call);
        if let Some(token) = &call.token {
            self.complete_token(token, outcome, now);
        }
        if matches!(outcome, Outcome::Completed(_)) && call.is_running() {
            self.suspects
                .lock()
                .record_unharmed_run(now, call.fingerprint);
        }
        let mut admission = self.admission.lock();
        let controller = admission.controller();
        controller.finish(ticket, run_result(outcome), now, effects);
        controller.withdraw(ticket, now, effects);
        if call.context.idempotent && is_leader_specific(outcome) {
            for job in calls.restart_run(&mut followers, unknown_after_run(outcome), now) {
                controller.offer(job, now, effects);
            }
        }
        FinishedCall {
            used_attempts: ended.used_attempts,
            open_leases: ended.open,
            followers,
        }
    }

    /// Returns the error for the caller of a call that was dropped, or abandoned by its handler.
    ///
    /// A call that joined a run, now or before it was offered by itself, may have been executed by
    /// that run, so the error is of unknown outcome.
    pub fn drop_error(&self, ticket: Ticket, kind: NotRunKind) -> ErrorKind {
        let calls = self.active_calls.lock();
        match calls.by_ticket.get(&ticket) {
            Some(call) if call.stage == Stage::Following => UnknownKind::Deadline.into(),
            Some(call) => call.earlier_run.map_or(kind.into(), ErrorKind::from),
            None => kind.into(),
        }
    }

    /// Cancels the calls of a request whose caller no longer waits.
    ///
    /// Queued calls are dropped. Returns the running calls to stop, whose outcome is then unknown.
    /// A running non-idempotent call continues, because its response is kept for its token.
    pub fn cancel(&self, request: RequestId, now: Time, effects: &mut Vec<Effect>) -> Vec<Ticket> {
        let calls = self.active_calls.lock();
        let tickets = calls.calls_of_request(request).into_iter();
        tickets
            .filter(|ticket| self.cancel_call(&calls, *ticket, now, effects))
            .collect()
    }

    /// Cancels the call that arrived as an attempt of another node. Returns its ticket if it must
    /// be stopped.
    pub fn cancel_attempt(
        &self,
        attempt: &AttemptId,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> Option<Ticket> {
        let calls = self.active_calls.lock();
        let ticket = calls.call_of_attempt(attempt)?;
        let stop = self.cancel_call(&calls, ticket, now, effects);
        stop.then_some(ticket)
    }

    /// Leases spare attempts to a sub-call of the running call with context `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if no such call is running, it may not lease more, or the chain is too
    /// deep.
    pub fn lease(
        &self,
        id: ContextId,
        sub_call: &SubCall,
        now: Time,
    ) -> Result<ChildCall, NotRunKind> {
        let lease = self.active_calls.lock().contexts.lease(now, id, sub_call)?;
        Ok(ChildCall {
            lease: Some(lease.id),
            context: lease.context,
        })
    }

    /// Returns the leased attempts that a sub-call did not use, according to its complete response.
    pub fn return_unused(&self, child: &ChildCall, unused: u32) {
        if let Some(lease) = child.lease {
            self.active_calls
                .lock()
                .contexts
                .return_unused(lease, unused);
        }
    }

    /// Mints an idempotency token for a later call.
    ///
    /// # Errors
    ///
    /// `Draining`, `NotReady` after a process pause, or `TokensExhausted`.
    pub fn mint<R>(&self, now: Time, rng: &mut R) -> Result<Token, NotRunKind>
    where
        R: CryptoRng,
    {
        if self.is_draining() {
            return Err(NotRunKind::Draining);
        }
        if !self.pause.lock().may_mint() {
            return Err(NotRunKind::NotReady);
        }
        self.tokens.lock().mint(now, rng)
    }

    /// Records a crash of the target, which is in `domain`. Returns the reports to send to the other
    /// nodes of the service.
    pub fn record_target_crash<R>(
        &self,
        domain: &DomainName,
        now: Time,
        rng: &mut R,
    ) -> Vec<CrashReport>
    where
        R: CryptoRng,
    {
        let running = self.active_calls.lock().mark_crashed();
        let mut suspects = self.suspects.lock();
        suspects.record_crash(now, &self.instance, domain, running, rng)
    }

    /// Merges a crash report of another node.
    pub fn merge_crash_report(&self, now: Time, report: &CrashReport) {
        self.suspects.lock().merge_report(now, report);
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        self.suspects.lock().quarantined()
    }

    /// Checks for a process pause before a decision is taken. Returns the wake-up if the process
    /// was paused. See [`PauseGuard::detect_pause`].
    pub fn detect_pause(&self, now: Time) -> Option<WakeUp> {
        self.pause.lock().detect_pause(now)
    }

    /// Calls `run` with the guard that tracks which peers were revalidated after a pause.
    pub fn with_pause<F, T>(&self, run: F) -> T
    where
        F: FnOnce(&mut PauseGuard) -> T,
    {
        run(&mut self.pause.lock())
    }

    /// Runs the periodic work. Returns the wake-up if the process was paused before the tick.
    pub fn tick(&self, tick: Tick, effects: &mut Vec<Effect>) -> Option<WakeUp> {
        let wake_up = self.pause.lock().tick(tick);
        self.admission.lock().tick(tick.now, effects);
        wake_up
    }

    /// Changes the number of slots that the instance publishes.
    pub fn set_slots(&self, slots: u32, now: Time, effects: &mut Vec<Effect>) {
        let mut admission = self.admission.lock();
        admission.controller().set_slots(slots, now, effects);
    }

    /// Refuses new calls for the rest of this incarnation.
    pub fn drain(&self) {
        self.draining
            .store(true, std::sync::atomic::Ordering::SeqCst);
    }

    /// Returns whether new calls are refused because the instance is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Returns whether no call is in progress.
    pub fn is_idle(&self) -> bool {
        self.active_calls.lock().by_ticket.is_empty()
    }

    /// Sets the strictest level of the downstream services, which calls from outside the fleet must
    /// pass too.
    pub fn set_downstream_level(&self, level: Level) {
        self.admission.lock().set_downstream_level(level);
    }

    /// Returns the admission level and load that are reported with each response.
    pub fn level_report(&self) -> LevelReport {
        self.admission.lock().report()
    }

    /// Returns the load of the admission controller.
    pub fn load(&self) -> Load {
        self.admission.lock().controller().load()
    }

    /// Returns the sizes of the tables, for status and metrics.
    pub fn counts(&self) -> GateCounts {
        let active_calls = self.active_calls.lock().by_ticket.len();
        let tokens = self.tokens.lock();
        let suspects = self.suspects.lock();
        GateCounts {
            active_calls,
            tokens: tokens.len(),
            kept_bytes: tokens.kept_bytes(),
            suspects: suspects.len(),
            quarantined: suspects.quarantined().len(),
        }
    }

    /// Cancels one call. Returns whether its run must be stopped.
    fn cancel_call(
        &self,
        calls: &ActiveCalls,
        ticket: Ticket,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(call) = calls.by_ticket.get(&ticket) else {
            return false;
        };
        if call.is_running() || call.stage == Stage::Following {
            return call.context.idempotent;
        }
        let mut admission = self.admission.lock();
        if admission.controller().withdraw(ticket, now, effects) {
            effects.push(Effect::Drop(ticket, NotRunKind::Withdrawn));
        }
        false
    }

    /// Records the outcome of a call for its token.
    fn complete_token(&self, token: &Token, outcome: &Outcome<Option<A>>, now: Time) {
        let mut tokens = self.tokens.lock();
        match outcome {
            Outcome::Completed(Some(response)) => {
                tokens.complete(now, token, response.clone(), (self.response_size)(response));
            }
            Outcome::Completed(None) => tokens.complete_unkept(now, token),
            Outcome::NotRun(_) => tokens.burn(now, token),
            Outcome::Unknown(kind) => tokens.complete_unknown(now, token, *kind),
        }
    }
}
