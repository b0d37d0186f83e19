//! Request ids, priorities and the context that a call passes from hop to hop.

use std::fmt;
use std::time::Duration;

use rand::CryptoRng;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::VariantNames;
use xxhash_rust::xxh3::xxh3_64;

/// Number of cohorts that requests are hashed into.
pub const COHORTS: u16 = 128;

/// Spare attempts of a request whose rule does not set `retries`.
pub const DEFAULT_SPARE_ATTEMPTS: u32 = 3;

/// Maximum depth of a call chain. A deeper sub-call is not run.
pub const MAX_DEPTH: u8 = 32;

/// Identifies a user request; all calls made on behalf of the request carry the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Derives an id by hashing the text that a caller supplied.
    pub fn from_text(text: &str) -> RequestId {
        RequestId(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
    }

    /// Generates an unguessable id.
    pub fn random<R>(rng: &mut R) -> RequestId
    where
        R: CryptoRng,
    {
        RequestId(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
    }

    /// Returns the cohort of the request, the same at every service.
    pub fn cohort(self) -> Cohort {
        let hash = xxh3_64(&self.0.to_le_bytes());
        Cohort((hash % u64::from(COHORTS)) as u16)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Whether a run repeats work that was done, or tried, before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    /// First attempt of a request.
    None,
    /// Further attempt of a request that reached a target before.
    Retry,
    /// First attempt of a sub-call that is attributed to a repeated run.
    Inherited,
}

/// Hash bucket of a request, from 0 to [`COHORTS`] - 1. Lower cohorts are shed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cohort(pub u16);

/// Importance of a call, ordered from the most to the least important.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Priority {
    /// Shed last, for example a wallet charge.
    Critical,
    /// Shed after normal calls.
    High,
    /// Default for a call without a rule.
    Normal,
    /// Shed before normal calls.
    Low,
    /// Shed first. Default for a sub-call without a context.
    Background,
}

/// Context that a call passes from hop to hop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// The user request that this call is part of.
    pub request: RequestId,
    /// Priority of the root of the request.
    pub priority: Priority,
    /// Whether this call may run more than once.
    pub idempotent: bool,
    /// Time left until the deadline, after which the caller no longer waits for the response.
    pub remaining: Duration,
    /// Spare attempts that this call and all calls below it may still use.
    pub spare: u32,
    /// Number of hops between the entry node and this call.
    pub depth: u8,
    /// Whether the call was already forwarded to another instance of the same service.
    pub moved: bool,
}

impl CallContext {
    /// Returns the cohort of the request.
    pub fn cohort(&self) -> Cohort {
        self.request.cohort()
    }
}
