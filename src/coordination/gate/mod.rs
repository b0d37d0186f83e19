//! Ingress decisions: what happens to a call that arrives at an instance.
//!
//! The gate holds a call from [`Gate::arrive`] until [`Gate::finish`]; whoever hands it a call ends
//! it exactly once, with the outcome that the caller is told. Until then its token is in progress.

mod arrive;
mod intake;
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
use crate::coordination::gate::intake::Intake;
use crate::coordination::gate::run_result::is_own_end;
use crate::coordination::gate::run_result::lost;
use crate::coordination::gate::run_result::run_result;
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
pub use crate::coordination::arrival::Finished;
pub use crate::coordination::arrival::Refusal;
pub use crate::coordination::arrival::Source;
pub use crate::coordination::gate::intake::GateConfig;

/// How much a gate holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Calls between arrival and end.
    pub active_calls: usize,
    /// Idempotency tokens.
    pub tokens: usize,
    /// Bytes of the answers kept for replay.
    pub kept_bytes: usize,
    /// Requests suspected of crashing targets, the quarantined ones included.
    pub suspects: usize,
    /// Requests quarantined.
    pub quarantined: usize,
}

/// The ingress decisions of one incarnation of an instance. `A` is an answer kept for replay.
pub struct Gate<A> {
    pause: OrderedMutex<PauseGuard>,
    held: OrderedMutex<ActiveCalls>,
    tokens: OrderedMutex<Tokens<A>>,
    suspects: OrderedMutex<Suspects>,
    intake: OrderedMutex<Intake>,
    joins: bool,
    draining: std::sync::atomic::AtomicBool,
    instance: InstanceName,
    size: fn(&A) -> usize,
}

impl<A> Gate<A>
where
    A: Clone,
{
    /// Builds the decisions of an instance. `size` gives the bytes that keeping an answer takes.
    pub fn new(
        instance: &InstanceName,
        incarnation: Incarnation,
        cfg: GateConfig,
        size: fn(&A) -> usize,
        now: Time,
    ) -> Gate<A> {
        let tokens = Tokens::new(instance, incarnation, cfg.tokens);
        Gate {
            pause: OrderedMutex::new(LockRank::Fleet, PauseGuard::new()),
            held: OrderedMutex::new(LockRank::Calls, ActiveCalls::default()),
            tokens: OrderedMutex::new(LockRank::Tokens, tokens),
            suspects: OrderedMutex::new(LockRank::Suspects, Suspects::new()),
            intake: OrderedMutex::new(LockRank::Admission, Intake::new(cfg, now)),
            joins: cfg.joins,
            draining: false.into(),
            instance: instance.clone(),
            size,
        }
    }

    /// Begins the run of a call. Returns the context id that its target gets.
    pub fn begin<R>(&self, ticket: Ticket, rng: &mut R) -> Option<ContextId>
    where
        R: CryptoRng,
    {
        let mut held = self.held.lock();
        let call = held.by_ticket.get(&ticket)?;
        let (context, deadline) = (call.context.clone(), call.deadline);
        let id = held.calls.begin(context, deadline, rng).ok()?;
        held.by_ticket.get_mut(&ticket)?.stage = Stage::Running(id);
        Some(id)
    }

    /// Ends a call with the outcome that its caller is told.
    ///
    /// The answer is `None` if it is too large to be kept. Idempotent calls that shared a run which
    /// gave no answer for them, but still have time, share a new one.
    pub fn finish(
        &self,
        ticket: Ticket,
        outcome: &Outcome<Option<A>>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> Finished {
        let mut held = self.held.lock();
        let Some(call) = held.by_ticket.remove(&ticket) else {
            return Finished::default();
        };
        let ended = match call.stage {
            Stage::Running(id) => held.calls.end(now, id).unwrap_or_default(),
            _ => EndedCall::default(),
        };
        let mut sharing = held.followers(ticket, &call);
        if let Some(token) = &call.token {
            self.end_token(token, outcome, now);
        }
        if matches!(outcome, Outcome::Completed(_)) && call.is_running() {
            self.suspects.lock().clear_suspicion(call.fingerprint);
        }
        let mut intake = self.intake.lock();
        let admission = intake.admission();
        admission.finish(ticket, run_result(outcome), now, effects);
        admission.withdraw(ticket, now, effects);
        if call.context.idempotent && is_own_end(outcome) {
            for job in held.lead_again(&mut sharing, lost(outcome), now) {
                admission.offer(job, now, effects);
            }
        }
        Finished {
            spent_attempts: ended.spent,
            open_leases: ended.open,
            followers: sharing,
        }
    }

    /// Returns what the caller of a call is told that is dropped, or given up by its handler.
    ///
    /// A call that shares a run, or did before it was offered by itself, may have been run by it.
    pub fn drop_error(&self, ticket: Ticket, kind: NotRunKind) -> ErrorKind {
        let held = self.held.lock();
        match held.by_ticket.get(&ticket) {
            Some(call) if call.stage == Stage::Following => UnknownKind::Deadline.into(),
            Some(call) => call.shared.map_or(kind.into(), ErrorKind::from),
            None => kind.into(),
        }
    }

    /// Cancels the calls of a request whose caller stopped waiting.
    ///
    /// Queued ones are dropped. Returns those to be stopped, which end as unknown. A running
    /// non-idempotent call goes on, as its answer is kept for its token.
    pub fn cancel(&self, request: RequestId, now: Time, effects: &mut Vec<Effect>) -> Vec<Ticket> {
        let held = self.held.lock();
        let tickets = held.of_request(request).into_iter();
        tickets
            .filter(|ticket| self.cancel_call(&held, *ticket, now, effects))
            .collect()
    }

    /// Cancels the call that came as an attempt of another node. Returns it if it is to be stopped.
    pub fn cancel_attempt(
        &self,
        attempt: &AttemptId,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> Option<Ticket> {
        let held = self.held.lock();
        let ticket = held.of_attempt(attempt)?;
        let stop = self.cancel_call(&held, ticket, now, effects);
        stop.then_some(ticket)
    }

    /// Takes a lease for a sub-call of the running call that `id` names.
    ///
    /// # Errors
    ///
    /// If no such call is running, or the chain is too deep.
    pub fn lease(
        &self,
        id: ContextId,
        sub_call: &SubCall,
        now: Time,
    ) -> Result<ChildCall, NotRunKind> {
        let lease = self.held.lock().calls.lease(now, id, sub_call)?;
        Ok(ChildCall {
            lease: Some(lease.id),
            context: lease.context,
        })
    }

    /// Gives back what a sub-call's whole answer shows as unused.
    pub fn give_back(&self, child: &ChildCall, unused: u32) {
        if let Some(lease) = child.lease {
            self.held.lock().calls.return_unused(lease, unused);
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

    /// Notes that the target crashed. Returns the reports for the other nodes of the service.
    pub fn record_target_crash<R>(&self, now: Time, rng: &mut R) -> Vec<CrashReport>
    where
        R: CryptoRng,
    {
        let running = self.held.lock().crash();
        let mut suspects = self.suspects.lock();
        suspects.record_crash(now, &self.instance, running, rng)
    }

    /// Takes in another node's report of a crash.
    pub fn merge_crash_report(&self, now: Time, report: &CrashReport) {
        self.suspects.lock().merge_report(now, report);
    }

    /// Returns the requests that are quarantined.
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        self.suspects.lock().quarantined()
    }

    /// Looks for a process pause, before a decision. Returns the wake-up if there was one.
    pub fn detect_pause(&self, now: Time) -> Option<WakeUp> {
        self.pause.lock().check(now)
    }

    /// Runs a function on the guard that tracks which views are fresh after a pause.
    pub fn with_pause<F, T>(&self, run: F) -> T
    where
        F: FnOnce(&mut PauseGuard) -> T,
    {
        run(&mut self.pause.lock())
    }

    /// Runs what is due. Returns the wake-up if the process was paused before.
    pub fn tick(&self, tick: Tick, effects: &mut Vec<Effect>) -> Option<WakeUp> {
        let woke = self.pause.lock().tick(tick);
        self.intake.lock().tick(tick.now, effects);
        woke
    }

    /// Adopts a new number of published slots.
    pub fn set_slots(&self, slots: u32, now: Time, effects: &mut Vec<Effect>) {
        let mut intake = self.intake.lock();
        intake.admission().set_slots(slots, now, effects);
    }

    /// Takes no new work from now on, for the rest of this incarnation.
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
        self.held.lock().by_ticket.is_empty()
    }

    /// Takes note of the strictest level of the services that calls from outside lead to.
    pub fn set_downstream_level(&self, behind: Level) {
        self.intake.lock().set_behind(behind);
    }

    /// Returns the level and the load that go with each answer.
    pub fn level(&self) -> LevelReport {
        self.intake.lock().report()
    }

    /// Returns the load.
    pub fn load(&self) -> Load {
        self.intake.lock().admission().load()
    }

    /// Returns how much is held, for status and metrics.
    pub fn counts(&self) -> GateCounts {
        let held = self.held.lock().by_ticket.len();
        let tokens = self.tokens.lock();
        let suspects = self.suspects.lock();
        GateCounts {
            active_calls: held,
            tokens: tokens.len(),
            kept_bytes: tokens.kept_bytes(),
            suspects: suspects.len(),
            quarantined: suspects.quarantined().len(),
        }
    }

    fn cancel_call(
        &self,
        held: &ActiveCalls,
        ticket: Ticket,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(call) = held.by_ticket.get(&ticket) else {
            return false;
        };
        if call.is_running() || call.stage == Stage::Following {
            return call.context.idempotent;
        }
        let mut intake = self.intake.lock();
        if intake.admission().withdraw(ticket, now, effects) {
            effects.push(Effect::Drop(ticket, NotRunKind::Withdrawn));
        }
        false
    }

    fn end_token(&self, token: &Token, outcome: &Outcome<Option<A>>, now: Time) {
        let mut tokens = self.tokens.lock();
        match outcome {
            Outcome::Completed(Some(answer)) => {
                tokens.complete(now, token, answer.clone(), (self.size)(answer));
            }
            Outcome::Completed(None) => tokens.complete_without_answer(now, token),
            Outcome::NotRun(_) => tokens.burn(now, token),
            Outcome::Unknown(kind) => tokens.complete_unknown(now, token, *kind),
        }
    }
}
