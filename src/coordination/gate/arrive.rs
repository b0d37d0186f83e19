//! What happens to a call between its arrival and admission.

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
    /// Decides about a call that arrives.
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
            pause.check(now);
            pause.may_mint()
        });
        let may_mint = may_mint && arrival.ready;
        let mut held = self.held.lock();
        if let Err(kind) = check(&mut held, arrival) {
            return ArrivalDecision::Refused(kind.into());
        }
        let token = match self.redeem_token(&mut held, arrival, now) {
            Ok(token) => token,
            Err(ArrivalDecision::Refused(refusal)) if wants_token(refusal.kind) => {
                drop(held);
                return ArrivalDecision::Refused(self.with_token(refusal, may_mint, now, rng));
            }
            Err(arrived) => return arrived,
        };
        let placed = self.place(&mut held, arrival, now);
        self.hold(&mut held, arrival, token, placed, now, effects)
    }

    /// Spends the token of a non-idempotent call. Returns the token to end with the call.
    fn redeem_token(
        &self,
        held: &mut ActiveCalls,
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
        let spend = self.tokens.lock().redeem(now, &token, arrival.fingerprint);
        match spend {
            Redemption::Run => Ok(Some(token)),
            Redemption::Replay(answer) => Err(ArrivalDecision::Replayed(answer)),
            Redemption::Refused(kind) => Err(refused(kind)),
            Redemption::InProgress => {
                let key = token_key(&token, arrival.fingerprint);
                let Some(leader) = held.joins.follow(key, arrival.ticket) else {
                    return Err(refused(UnknownKind::InProgress.into()));
                };
                let call = held_call(arrival, Stage::Following, None, Some(key), now);
                held.by_ticket.insert(arrival.ticket, call);
                Err(ArrivalDecision::Joined(leader))
            }
        }
    }

    /// Adds a fresh token to a refusal that asks for one, if one may be minted.
    fn with_token<R>(&self, refusal: Refusal, may_mint: bool, now: Time, rng: &mut R) -> Refusal
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

    /// Decides whether a call may be run here, and whether it must run alone.
    fn place(
        &self,
        held: &mut ActiveCalls,
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
            let request = scoped(arrival);
            match held.requests.record(now, request, arrival.fingerprint) {
                RequestIdMatch::New => {}
                RequestIdMatch::Duplicate => arrival.context.spare = 0,
                RequestIdMatch::Mismatch => return Err(NotRunKind::RequestMismatch),
            }
        }
        if !arrival.ready {
            return Err(NotRunKind::NotReady);
        }
        if !held.has_room() {
            return Err(NotRunKind::Overloaded);
        }
        if self.is_draining() {
            return Err(NotRunKind::Draining);
        }
        let alone = match self.suspects.lock().isolation(now, arrival.fingerprint) {
            Isolation::None => false,
            Isolation::Exclusive => true,
            Isolation::Quarantined => return Err(NotRunKind::Quarantined),
        };
        let entered = matches!(arrival.source, Source::Caller { .. });
        match self.intake.lock().lets_in(arrival.context, entered, now) {
            true => Ok(alone),
            false => Err(NotRunKind::Shed),
        }
    }

    /// Holds a call, and offers it to admission unless it is refused or shares a run.
    fn hold(
        &self,
        held: &mut ActiveCalls,
        arrival: &Arrival<'_>,
        token: Option<Token>,
        placed: Result<bool, NotRunKind>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> ArrivalDecision<A> {
        let key = match token {
            Some(token) => Some(token_key(&token, arrival.fingerprint)),
            None => share_key(arrival).filter(|_| self.joins),
        };
        let exclusive = match placed {
            Ok(exclusive) => exclusive,
            Err(kind) => {
                let key = key.filter(|_| token.is_some());
                key.map(|key| held.joins.join(key, arrival.ticket));
                let call = held_call(arrival, Stage::Refused, token, key, now);
                held.by_ticket.insert(arrival.ticket, call);
                return ArrivalDecision::Refused(kind.into());
            }
        };
        let joined = key.map(|key| held.joins.join(key, arrival.ticket));
        if let Some(Join::Follow(leader)) = joined {
            let call = held_call(arrival, Stage::Following, token, key, now);
            held.by_ticket.insert(arrival.ticket, call);
            return ArrivalDecision::Joined(leader);
        }
        let key = key.filter(|_| joined == Some(Join::Lead));
        let mut call = held_call(arrival, Stage::Queued, token, key, now);
        call.exclusive = exclusive;
        let job = call.job(arrival.ticket);
        held.by_ticket.insert(arrival.ticket, call);
        self.intake.lock().admission().offer(job, now, effects);
        ArrivalDecision::Offered
    }
}

/// Refuses a call that is too deep, was seen before, or finds no room.
///
/// A call with a token is refused for want of room only once the token is known not to have run:
/// the caller is told that it was not run.
fn check(held: &mut ActiveCalls, arrival: &Arrival<'_>) -> Result<(), NotRunKind> {
    if arrival.context.depth > MAX_DEPTH {
        return Err(NotRunKind::TooDeep);
    }
    if arrival.token.is_none() && !held.has_room() {
        return Err(NotRunKind::Overloaded);
    }
    match &arrival.source {
        Source::Node(attempt) if !held.attempts.record(attempt) => Err(NotRunKind::HopRejected),
        _ => Ok(()),
    }
}

fn wants_token(kind: ErrorKind) -> bool {
    let kinds = [NotRunKind::TokenRequired, NotRunKind::TokenBurned];
    kinds.map(ErrorKind::from).contains(&kind)
}

fn token_key(token: &Token, fingerprint: Fingerprint) -> RunKey {
    RunKey {
        request: RequestId(token.number()),
        fingerprint,
    }
}

/// Returns the request id, told apart from the same id of another caller.
fn scoped(arrival: &Arrival<'_>) -> RequestId {
    let RequestId(id) = arrival.context.request;
    match arrival.source {
        Source::Caller { caller, .. } => RequestId(id ^ u128::from(caller)),
        Source::Node(_) => RequestId(id),
    }
}

/// Returns the run that an idempotent call may share.
fn share_key(arrival: &Arrival<'_>) -> Option<RunKey> {
    let key = RunKey {
        request: scoped(arrival),
        fingerprint: arrival.fingerprint,
    };
    (arrival.context.idempotent && arrival.whole_body).then_some(key)
}

fn held_call(
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
        key,
        fingerprint: arrival.fingerprint,
        attempt: match &arrival.source {
            Source::Node(attempt) => Some(attempt.clone()),
            Source::Caller { .. } => None,
        },
        exclusive: false,
        crashed: false,
        shared: None,
    }
}
