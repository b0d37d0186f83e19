//! Idempotency tokens: a non-idempotent call runs at most once per token.
//!
//! Only the incarnation that minted a token accepts it. The incarnation remembers the state of each
//! token until the token expires, and mints no further token while its table is full.

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

/// Default time within which a minted token can start a run.
pub const TOKEN_VALIDITY: Duration = Duration::from_secs(60);

/// Default time for which the end of a run is remembered, counted from the end of the run or of the
/// token's validity, whichever is later.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(120);

/// Limits of the token table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLimits {
    /// Time within which a minted token can start a run.
    pub validity: Duration,
    /// Time for which the end of a run is remembered, counted from the end of the run or of
    /// `validity`, whichever is later.
    pub response_retention: Duration,
    /// Maximum total size of the responses kept for replay, in bytes.
    pub max_kept_bytes: usize,
}

impl Default for TokenLimits {
    fn default() -> TokenLimits {
        TokenLimits {
            validity: TOKEN_VALIDITY,
            response_retention: RESPONSE_RETENTION,
            max_kept_bytes: MAX_KEPT_BYTES,
        }
    }
}

/// Maximum number of remembered tokens.
pub const MAX_TOKENS: usize = 16_384;

/// Default maximum total size of the responses kept for replay, in bytes.
pub const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Number of groups of hexadecimal digits in the text form of a token.
const TOKEN_GROUPS: usize = 4;

/// Permission for one run of a non-idempotent call at one incarnation of an instance.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    instance: u64,
    incarnation: Incarnation,
    sequence: u64,
    secret: u64,
}

impl Token {
    /// Returns whether an instance of this name minted the token, in any incarnation.
    pub fn is_minted_by(&self, instance: &InstanceName) -> bool {
        self.instance == name_hash(instance)
    }

    /// Returns a number that is unique among the tokens of the incarnation.
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

/// Error for a text that is not a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency token is four groups of 16 hexadecimal digits joined by `-`")]
pub struct MalformedToken;

impl FromStr for Token {
    type Err = MalformedToken;

    fn from_str(text: &str) -> Result<Token, MalformedToken> {
        let groups = text
            .split('-')
            .map(parse_hex_group)
            .collect::<Option<Vec<u64>>>()
            .ok_or(MalformedToken)?;
        let groups: [u64; TOKEN_GROUPS] = groups.try_into().map_err(|_| MalformedToken)?;
        let [instance, incarnation, sequence, secret] = groups;
        Ok(Token {
            instance,
            incarnation: Incarnation(incarnation),
            sequence,
            secret,
        })
    }
}

/// Parses a group of exactly 16 hexadecimal digits.
fn parse_hex_group(text: &str) -> Option<u64> {
    let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
    if !digits || text.len() != 16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Decision on a call that presents a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Redemption<A> {
    /// Run the call, and record its end for the token.
    Run,
    /// The call ran before; answer it with this kept response.
    Replay(A),
    /// The same call is running now.
    InProgress,
    /// Refuse the call with this error.
    Refused(ErrorKind),
}

/// State of a token. Every state but `Minted` and `Burned` carries the fingerprint of the request
/// that redeemed the token; `Kept` also carries the response and its size in bytes.
#[derive(Debug)]
enum TokenState<A> {
    Minted,
    Running(Fingerprint),
    Kept(Fingerprint, A, usize),
    Ended(Fingerprint, UnknownKind),
    Burned,
}

/// A remembered token: redeemable until `redeem_by`, removed at `expires`.
#[derive(Debug)]
struct TokenRecord<A> {
    secret: u64,
    redeem_by: Time,
    expires: Time,
    state: TokenState<A>,
}

/// Idempotency tokens of one incarnation. `A` is the type of a response kept for replay.
#[derive(Debug)]
pub struct Tokens<A> {
    instance: u64,
    incarnation: Incarnation,
    next_sequence: u64,
    records: BTreeMap<u64, TokenRecord<A>>,
    expiry: BTreeSet<(Time, u64)>,
    kept_bytes: usize,
    limits: TokenLimits,
}

impl<A> Tokens<A>
where
    A: Clone,
{
    /// Builds an empty table for one incarnation of an instance.
    pub fn new(
        instance: &InstanceName,
        incarnation: Incarnation,
        limits: TokenLimits,
    ) -> Tokens<A> {
        Tokens {
            instance: name_hash(instance),
            incarnation,
            next_sequence: 0,
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
    /// `TokensExhausted` if [`MAX_TOKENS`] are remembered. No token is evicted to make room.
    pub fn mint<R>(&mut self, now: Time, rng: &mut R) -> Result<Token, NotRunKind>
    where
        R: CryptoRng,
    {
        self.remove_expired(now);
        if self.records.len() >= MAX_TOKENS {
            return Err(NotRunKind::TokensExhausted);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let secret = rng.next_u64();
        let redeem_by = now.plus(self.limits.validity);
        let expires = redeem_by.plus(self.limits.response_retention);
        let record = TokenRecord {
            secret,
            redeem_by,
            expires,
            state: TokenState::Minted,
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
    /// until its run is completed or the token is burned.
    pub fn redeem(&mut self, now: Time, token: &Token, fingerprint: Fingerprint) -> Redemption<A> {
        self.remove_expired(now);
        if token.instance != self.instance || token.incarnation != self.incarnation {
            return Redemption::Refused(UnknownKind::TokenForeign.into());
        }
        if token.sequence >= self.next_sequence {
            return Redemption::Refused(NotRunKind::BadRequest.into());
        }
        let Some(record) = self.records.get_mut(&token.sequence) else {
            return Redemption::Refused(UnknownKind::TokenExpired.into());
        };
        if record.secret != token.secret {
            return Redemption::Refused(NotRunKind::BadRequest.into());
        }
        if matches!(record.state, TokenState::Minted) && now >= record.redeem_by {
            record.state = TokenState::Burned;
        }
        match &record.state {
            TokenState::Minted => {
                record.state = TokenState::Running(fingerprint);
                self.expiry.remove(&(record.expires, token.sequence));
                Redemption::Run
            }
            TokenState::Burned => Redemption::Refused(NotRunKind::TokenBurned.into()),
            TokenState::Running(known)
            | TokenState::Kept(known, ..)
            | TokenState::Ended(known, _)
                if *known != fingerprint =>
            {
                Redemption::Refused(NotRunKind::RequestMismatch.into())
            }
            TokenState::Running(_) => Redemption::InProgress,
            TokenState::Kept(_, response, _) => Redemption::Replay(response.clone()),
            TokenState::Ended(_, kind) => Redemption::Refused((*kind).into()),
        }
    }

    /// Records that a run returned a complete response of `bytes` bytes, and keeps the response if
    /// there is memory for it.
    pub fn complete(&mut self, now: Time, token: &Token, response: A, bytes: usize) {
        let Some(fingerprint) = self.running_fingerprint(token) else {
            return;
        };
        if self.kept_bytes + bytes > self.limits.max_kept_bytes {
            let state = TokenState::Ended(fingerprint, UnknownKind::AnswerNotKept);
            self.end_run(now, token, state);
            return;
        }
        self.kept_bytes += bytes;
        self.end_run(now, token, TokenState::Kept(fingerprint, response, bytes));
    }

    /// Records that a run returned a complete response that cannot be kept for replay.
    pub fn complete_unkept(&mut self, now: Time, token: &Token) {
        self.complete_unknown(now, token, UnknownKind::AnswerNotKept);
    }

    /// Records that the outcome of a run is unknown.
    pub fn complete_unknown(&mut self, now: Time, token: &Token, kind: UnknownKind) {
        if let Some(fingerprint) = self.running_fingerprint(token) {
            self.end_run(now, token, TokenState::Ended(fingerprint, kind));
        }
    }

    /// Invalidates a token whose call was not run, so that no delayed copy of the call can run.
    ///
    /// A token whose run has ended in any other way is not changed.
    pub fn burn(&mut self, now: Time, token: &Token) {
        if self.running_fingerprint(token).is_some() {
            self.end_run(now, token, TokenState::Burned);
            return;
        }
        if let Some(record) = self.record_mut(token)
            && matches!(record.state, TokenState::Minted)
        {
            record.state = TokenState::Burned;
        }
    }

    /// Returns the number of remembered tokens.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no token is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total size of the kept responses, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the record of a token that this incarnation minted.
    fn record_mut(&mut self, token: &Token) -> Option<&mut TokenRecord<A>> {
        let minted_here = token.instance == self.instance && token.incarnation == self.incarnation;
        self.records
            .get_mut(&token.sequence)
            .filter(|record| minted_here && record.secret == token.secret)
    }

    /// Returns the fingerprint of the request that a token is running, if it is in progress.
    fn running_fingerprint(&mut self, token: &Token) -> Option<Fingerprint> {
        match self.record_mut(token)?.state {
            TokenState::Running(fingerprint) => Some(fingerprint),
            _ => None,
        }
    }

    /// Sets the state of a token after its run and schedules its expiry.
    fn end_run(&mut self, now: Time, token: &Token, state: TokenState<A>) {
        let retention = self.limits.response_retention;
        let Some(record) = self.record_mut(token) else {
            return;
        };
        record.state = state;
        record.expires = now.max(record.redeem_by).plus(retention);
        let expires = record.expires;
        self.expiry.insert((expires, token.sequence));
    }

    /// Removes the records that expired by `now`.
    fn remove_expired(&mut self, now: Time) {
        while let Some(&(expires, sequence)) = self.expiry.first() {
            if now < expires {
                return;
            }
            self.expiry.pop_first();
            if let Some(record) = self.records.remove(&sequence)
                && let TokenState::Kept(_, _, bytes) = record.state
            {
                self.kept_bytes -= bytes;
            }
        }
    }
}
