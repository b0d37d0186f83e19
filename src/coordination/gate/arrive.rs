//! Handling of a call from its arrival until it is offered to admission control.

use rand::CryptoRng;

use crate::call::MAX_DEPTH;
use crate::call::RequestId;
use crate::clock::Time;
use crate::coordination::active_calls::ActiveCall;
use crate::coordination::active_calls::ActiveCalls;
use crate::coordination::active_calls::Stage;
use crate::coordination::admission::Effect;
use crate::coordination::gate::Arrival;
use crate::coordination::gate::ArrivalDecision;
use crate::coordination::gate::Gate;
use crate::coordination::gate::Refusal;
use crate::coordination::gate::Source;
use crate::coordination::join::Join;
use crate::coordination::join::RunKey;
use crate::coordination::poison::Isolation;
use crate::coordination::retries::RequestIdMatch;
use crate::coordination::token::Redemption;
use crate::coordination::token::Token;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint::Fingerprint;

impl<A> Gate<A>
where
    A: Clone,
{
    /// Decides on an arriving call: it is offered to admission control, joined to another call's
    /// run, answered with a kept response, or refused.
    pub fn arrive<R>(
        &self,
        arrival: &mut Arrival<'_>,
        now: Time,
        rng: &mut R,
        effects: &mut Vec<Effect>,
    ) -> ArrivalDecision<A>
    where
        R: CryptoRng,
    {
        let may_mint = self.with_pause(|pause| {
            pause.detect_pause(now);
            pause.may_mint()
        });
        let may_mint = may_mint && arrival.ready;
        let mut calls = self.active_calls.lock();
        if let Err(kind) = precheck(&mut calls, arrival) {
            return ArrivalDecision::Refused(kind.into());
        }
        let token = match self.redeem_token(&mut calls, arrival, now) {
            Ok(token) => token,
            Err(ArrivalDecision::Refused(refusal)) if needs_token(refusal.kind) => {
                drop(calls);
                return ArrivalDecision::Refused(self.with_new_token(refusal, may_mint, now, rng));
            }
            Err(decision) => return decision,
        };
        let exclusive_or_refusal = self.check_limits(&mut calls, arrival, now);
        self.register(
            &mut calls,
            arrival,
            token,
            exclusive_or_refusal,
            now,
            effects,
        )
    }

    /// Redeems the token of a non-idempotent call. Returns the token to complete with the call, or
    /// the decision if the call must not run.
    fn redeem_token(
        &self,
        calls: &mut ActiveCalls,
        arrival: &Arrival<'_>,
        now: Time,
    ) -> Result<Option<Token>, ArrivalDecision<A>> {
        if arrival.context.idempotent {
            return Ok(None);
        }
        let refused = |kind: ErrorKind| ArrivalDecision::Refused(kind.into());
        let Some(text) = arrival.token else {
            return match arrival.source {
                Source::Node(_) => Ok(None),
                Source::Caller { .. } => Err(refused(NotRunKind::TokenRequired.into())),
            };
        };
        let token: Token = text
            .parse()
            .map_err(|_| refused(NotRunKind::BadRequest.into()))?;
        let redemption = self.tokens.lock().redeem(now, &token, arrival.fingerprint);
        match redemption {
            Redemption::Run => Ok(Some(token)),
            Redemption::Replay(response) => Err(ArrivalDecision::Replayed(response)),
            Redemption::Refused(kind) => Err(refused(kind)),
            Redemption::InProgress => {
                let key = token_run_key(&token, arrival.fingerprint);
                let Some(leader) = calls.joins.follow(key, arrival.ticket) else {
                    return Err(refused(UnknownKind::InProgress.into()));
                };
                let call = new_call(arrival, Stage::Following, None, Some(key), now);
                calls.by_ticket.insert(arrival.ticket, call);
                Err(ArrivalDecision::Joined(leader))
            }
        }
    }

    /// Adds a new token to a refusal that calls for one, or refuses because none can be minted.
    fn with_new_token<R>(&self, refusal: Refusal, may_mint: bool, now: Time, rng: &mut R) -> Refusal
    where
        R: CryptoRng,
    {
        if self.is_draining() {
            return NotRunKind::Draining.into();
        }
        if !may_mint {
            return NotRunKind::NotReady.into();
        }
        match self.tokens.lock().mint(now, rng) {
            Ok(token) => Refusal {
                token: Some(token.to_string()),
                ..refusal
            },
            Err(kind) => kind.into(),
        }
    }

    /// Decides whether the call may run at this instance now, and whether it must run exclusively.
    fn check_limits(
        &self,
        calls: &mut ActiveCalls,
        arrival: &mut Arrival<'_>,
        now: Time,
    ) -> Result<bool, NotRunKind> {
        if matches!(
            arrival.source,
            Source::Caller {
                supplied_id: true,
                ..
            }
        ) {
            let request = caller_scoped_id(arrival);
            match calls.requests.record(now, request, arrival.fingerprint) {
                RequestIdMatch::New => {}
                RequestIdMatch::Duplicate => arrival.context.spare = 0,
                RequestIdMatch::Mismatch => return Err(NotRunKind::RequestMismatch),
            }
        }
        if !arrival.ready {
            return Err(NotRunKind::NotReady);
        }
        if !calls.has_capacity() {
            return Err(NotRunKind::Overloaded);
        }
        if self.is_draining() {
            return Err(NotRunKind::Draining);
        }
        let exclusive = match self.suspects.lock().isolation(now, arrival.fingerprint) {
            Isolation::None => false,
            Isolation::Exclusive => true,
            Isolation::Quarantined => return Err(NotRunKind::Quarantined),
        };
        let from_outside = matches!(arrival.source, Source::Caller { .. });
        match self
            .admission
            .lock()
            .admits(arrival.context, from_outside, now)
        {
            true => Ok(exclusive),
            false => Err(NotRunKind::Shed),
        }
    }

    /// Registers a call, and offers it to admission control unless it is refused or joins a run.
    fn register(
        &self,
        calls: &mut ActiveCalls,
        arrival: &Arrival<'_>,
        token: Option<Token>,
        exclusive_or_refusal: Result<bool, NotRunKind>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> ArrivalDecision<A> {
        let key = match token {
            Some(token) => Some(token_run_key(&token, arrival.fingerprint)),
            None => shared_run_key(arrival).filter(|_| self.joins_enabled),
        };
        let exclusive = match exclusive_or_refusal {
            Ok(exclusive) => exclusive,
            Err(kind) => {
                let key = key.filter(|_| token.is_some());
                key.map(|key| calls.joins.join(key, arrival.ticket));
                let call = new_call(arrival, Stage::Refused, token, key, now);
                calls.by_ticket.insert(arrival.ticket, call);
                return ArrivalDecision::Refused(kind.into());
            }
        };
        let joined = key.map(|key| calls.joins.join(key, arrival.ticket));
        if let Some(Join::Follow(leader)) = joined {
            let call = new_call(arrival, Stage::Following, token, key, now);
            calls.by_ticket.insert(arrival.ticket, call);
            return ArrivalDecision::Joined(leader);
        }
        let key = key.filter(|_| joined == Some(Join::Lead));
        let mut call = new_call(arrival, Stage::Queued, token, key, now);
        call.exclusive = exclusive;
        let job = call.job(arrival.ticket);
        calls.by_ticket.insert(arrival.ticket, call);
        self.admission.lock().controller().offer(job, now, effects);
        ArrivalDecision::Offered
    }
}

/// Refuses a call that is nested too deeply or was received before, or if no capacity is left.
///
/// A refusal states that the call was not run. A call with a token may have run before, so its
/// capacity check is left to `check_limits`, after the token is redeemed.
fn precheck(calls: &mut ActiveCalls, arrival: &Arrival<'_>) -> Result<(), NotRunKind> {
    if arrival.context.depth > MAX_DEPTH {
        return Err(NotRunKind::TooDeep);
    }
    if arrival.token.is_none() && !calls.has_capacity() {
        return Err(NotRunKind::Overloaded);
    }
    match &arrival.source {
        Source::Node(attempt) if !calls.attempts.record(attempt) => Err(NotRunKind::HopRejected),
        _ => Ok(()),
    }
}

/// Returns whether the caller needs a new token to send the call again.
fn needs_token(kind: ErrorKind) -> bool {
    let kinds = [NotRunKind::TokenRequired, NotRunKind::TokenBurned];
    kinds.map(ErrorKind::from).contains(&kind)
}

/// Returns the key of the run that a token permits.
fn token_run_key(token: &Token, fingerprint: Fingerprint) -> RunKey {
    RunKey {
        request: RequestId(token.number()),
        fingerprint,
    }
}

/// Returns the request id, combined with the caller's identity so that equal ids of different
/// callers differ.
fn caller_scoped_id(arrival: &Arrival<'_>) -> RequestId {
    let RequestId(id) = arrival.context.request;
    match arrival.source {
        Source::Caller { caller, .. } => RequestId(id ^ u128::from(caller)),
        Source::Node(_) => RequestId(id),
    }
}

/// Returns the key by which copies of an idempotent request share a run, or `None` if the call is
/// not idempotent or its fingerprint does not cover the whole body.
fn shared_run_key(arrival: &Arrival<'_>) -> Option<RunKey> {
    let key = RunKey {
        request: caller_scoped_id(arrival),
        fingerprint: arrival.fingerprint,
    };
    (arrival.context.idempotent && arrival.whole_body).then_some(key)
}

/// Builds the entry of the call table for an arriving call.
fn new_call(
    arrival: &Arrival<'_>,
    stage: Stage,
    token: Option<Token>,
    key: Option<RunKey>,
    now: Time,
) -> ActiveCall {
    ActiveCall {
        context: arrival.context.clone(),
        deadline: now.plus(arrival.context.remaining),
        stage,
        token,
        run_key: key,
        fingerprint: arrival.fingerprint,
        attempt: match &arrival.source {
            Source::Node(attempt) => Some(attempt.clone()),
            Source::Caller { .. } => None,
        },
        exclusive: false,
        crashed: false,
        earlier_run: None,
    }
}
