//! Idempotency tokens: a non-idempotent call runs at most once for each.
//!
//! A token is honoured only by the incarnation that minted it. The incarnation remembers what
//! became of each token for as long as the token is valid, and mints none when it has no room to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::CryptoRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint::Fingerprint;
use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// Time within which a minted token can start a run.
pub const TOKEN_VALIDITY: Duration = Duration::from_secs(60);

/// Time for which the end of a run is remembered, beyond [`TOKEN_VALIDITY`] or the end of the run.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(120);

/// Bounds on tokens and kept answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLimits {
    /// Time within which a minted token can start a run.
    pub validity: Duration,
    /// Time for which the end of a run is remembered, beyond the former or the end of the run.
    pub answer_retention: Duration,
    /// Bytes of answers kept for replay at most.
    pub max_kept_bytes: usize,
}

impl Default for TokenLimits {
    fn default() -> TokenLimits {
        TokenLimits {
            validity: TOKEN_VALIDITY,
            answer_retention: ANSWER_RETENTION,
            max_kept_bytes: MAX_KEPT_BYTES,
        }
    }
}

/// Tokens remembered at most.
pub const MAX_TOKENS: usize = 16_384;

/// Bytes of answers kept for replay at most.
pub const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

const TOKEN_PARTS: usize = 4;

/// Permits one run of a non-idempotent call at one incarnation of an instance.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    instance: u64,
    incarnation: Incarnation,
    sequence: u64,
    secret: u64,
}

impl Token {
    /// Returns whether an instance of this name minted the token, in whichever incarnation.
    pub fn is_of(&self, instance: &InstanceName) -> bool {
        self.instance == name_hash(instance)
    }

    /// Returns a number that no other token of the same incarnation has.
    pub fn number(&self) -> u128 {
        u128::from(self.sequence) << 64 | u128::from(self.secret)
    }

    /// Returns the incarnation that minted the token.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

fn name_hash(instance: &InstanceName) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Token {
            instance,
            incarnation,
            sequence,
            secret,
        } = self;
        write!(
            f,
            "{instance:016x}-{incarnation}-{sequence:016x}-{secret:016x}"
        )
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Token({}, {}, ..)", self.incarnation, self.sequence)
    }
}

/// The text is not a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency token is four groups of 16 hexadecimal digits joined by `-`")]
pub struct MalformedToken;

impl FromStr for Token {
    type Err = MalformedToken;

    fn from_str(text: &str) -> Result<Token, MalformedToken> {
        let parts = text
            .split('-')
            .map(hex_group)
            .collect::<Option<Vec<u64>>>()
            .ok_or(MalformedToken)?;
        let parts: [u64; TOKEN_PARTS] = parts.try_into().map_err(|_| MalformedToken)?;
        let [instance, incarnation, sequence, secret] = parts;
        Ok(Token {
            instance,
            incarnation: Incarnation(incarnation),
            sequence,
            secret,
        })
    }
}

fn hex_group(text: &str) -> Option<u64> {
    let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
    if !digits || text.len() != 16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// What to do with a call that presents a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Redemption<A> {
    /// Run the call, and then end the token.
    Run,
    /// Give this answer; the call ran before.
    Replay(A),
    /// The same call is running now.
    InProgress,
    /// Refuse the call.
    Refused(ErrorKind),
}

#[derive(Debug)]
enum State<A> {
    Offered,
    Running(Fingerprint),
    Kept(Fingerprint, A, usize),
    Ended(Fingerprint, UnknownKind),
    Burned,
}

#[derive(Debug)]
struct Record<A> {
    secret: u64,
    spend_by: Time,
    expires: Time,
    state: State<A>,
}

/// The idempotency tokens of one incarnation. `A` is an answer kept for replay.
#[derive(Debug)]
pub struct Tokens<A> {
    instance: u64,
    incarnation: Incarnation,
    next: u64,
    records: BTreeMap<u64, Record<A>>,
    expiry: BTreeSet<(Time, u64)>,
    kept_bytes: usize,
    limits: TokenLimits,
}

impl<A> Tokens<A>
where
    A: Clone,
{
    /// Builds the table of one incarnation of an instance.
    pub fn new(
        instance: &InstanceName,
        incarnation: Incarnation,
        limits: TokenLimits,
    ) -> Tokens<A> {
        Tokens {
            instance: name_hash(instance),
            incarnation,
            next: 0,
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            kept_bytes: 0,
            limits,
        }
    }

    /// Mints a token.
    ///
    /// # Errors
    ///
    /// `TokensExhausted` if [`MAX_TOKENS`] are remembered: none is forgotten to make room.
    pub fn mint<R>(&mut self, now: Time, rng: &mut R) -> Result<Token, NotRunKind>
    where
        R: CryptoRng,
    {
        self.forget(now);
        if self.records.len() >= MAX_TOKENS {
            return Err(NotRunKind::TokensExhausted);
        }
        let sequence = self.next;
        self.next += 1;
        let secret = rng.next_u64();
        let spend_by = now.plus(self.limits.validity);
        let expires = spend_by.plus(self.limits.answer_retention);
        let record = Record {
            secret,
            spend_by,
            expires,
            state: State::Offered,
        };
        self.records.insert(sequence, record);
        self.expiry.insert((expires, sequence));
        Ok(Token {
            instance: self.instance,
            incarnation: self.incarnation,
            sequence,
            secret,
        })
    }

    /// Decides on a call that presents `token`. After [`Redemption::Run`] the token is in progress
    /// until it is completed, burned or lost.
    pub fn redeem(&mut self, now: Time, token: &Token, fingerprint: Fingerprint) -> Redemption<A> {
        self.forget(now);
        if token.instance != self.instance || token.incarnation != self.incarnation {
            return Redemption::Refused(UnknownKind::TokenForeign.into());
        }
        if token.sequence >= self.next {
            return Redemption::Refused(NotRunKind::BadRequest.into());
        }
        let Some(record) = self.records.get_mut(&token.sequence) else {
            return Redemption::Refused(UnknownKind::TokenExpired.into());
        };
        if record.secret != token.secret {
            return Redemption::Refused(NotRunKind::BadRequest.into());
        }
        if matches!(record.state, State::Offered) && now >= record.spend_by {
            record.state = State::Burned;
        }
        match &record.state {
            State::Offered => {
                record.state = State::Running(fingerprint);
                self.expiry.remove(&(record.expires, token.sequence));
                Redemption::Run
            }
            State::Burned => Redemption::Refused(NotRunKind::TokenBurned.into()),
            State::Running(known) | State::Kept(known, ..) | State::Ended(known, _)
                if *known != fingerprint =>
            {
                Redemption::Refused(NotRunKind::RequestMismatch.into())
            }
            State::Running(_) => Redemption::InProgress,
            State::Kept(_, answer, _) => Redemption::Replay(answer.clone()),
            State::Ended(_, kind) => Redemption::Refused((*kind).into()),
        }
    }

    /// Ends a run that gave a whole answer of `bytes` bytes, and keeps it if there is room.
    pub fn complete(&mut self, now: Time, token: &Token, answer: A, bytes: usize) {
        let Some(fingerprint) = self.running(token) else {
            return;
        };
        if self.kept_bytes + bytes > self.limits.max_kept_bytes {
            let state = State::Ended(fingerprint, UnknownKind::AnswerNotKept);
            self.close(now, token, state);
            return;
        }
        self.kept_bytes += bytes;
        self.close(now, token, State::Kept(fingerprint, answer, bytes));
    }

    /// Ends a run whose whole answer can't be kept for replay.
    pub fn complete_without_answer(&mut self, now: Time, token: &Token) {
        self.complete_unknown(now, token, UnknownKind::AnswerNotKept);
    }

    /// Ends a run of which it is not known whether it took place.
    pub fn complete_unknown(&mut self, now: Time, token: &Token, kind: UnknownKind) {
        if let Some(fingerprint) = self.running(token) {
            self.close(now, token, State::Ended(fingerprint, kind));
        }
    }

    /// Gives up a token whose call was not run, so that no delayed copy of it can run.
    ///
    /// A token whose run has ended otherwise is left as it is.
    pub fn burn(&mut self, now: Time, token: &Token) {
        if self.running(token).is_some() {
            self.close(now, token, State::Burned);
            return;
        }
        if let Some(record) = self.record_mut(token)
            && matches!(record.state, State::Offered)
        {
            record.state = State::Burned;
        }
    }

    /// Returns the number of tokens remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no token is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the answers kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn record_mut(&mut self, token: &Token) -> Option<&mut Record<A>> {
        let own = token.instance == self.instance && token.incarnation == self.incarnation;
        self.records
            .get_mut(&token.sequence)
            .filter(|record| own && record.secret == token.secret)
    }

    fn running(&mut self, token: &Token) -> Option<Fingerprint> {
        match self.record_mut(token)?.state {
            State::Running(fingerprint) => Some(fingerprint),
            _ => None,
        }
    }

    fn close(&mut self, now: Time, token: &Token, state: State<A>) {
        let kept = self.limits.answer_retention;
        let Some(record) = self.record_mut(token) else {
            return;
        };
        record.state = state;
        record.expires = now.max(record.spend_by).plus(kept);
        let expires = record.expires;
        self.expiry.insert((expires, token.sequence));
    }

    fn forget(&mut self, now: Time) {
        while let Some(&(expires, sequence)) = self.expiry.first() {
            if now < expires {
                return;
            }
            self.expiry.pop_first();
            if let Some(record) = self.records.remove(&sequence)
                && let State::Kept(_, _, bytes) = record.state
            {
                self.kept_bytes -= bytes;
            }
        }
    }
}
