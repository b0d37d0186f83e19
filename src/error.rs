//! The closed list of error kinds, and the outcome of a call.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Why a call was certainly not run.
///
/// Only code that can prove it may construct one: before the first byte goes to the target, or on
/// the target's own refusal.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunKind {
    /// The instance has no free slot and the queue has no room for this priority.
    Overloaded,
    /// The admission level of this service, or of one behind it, is above the call's.
    Shed,
    /// The deadline passed while the call was queued.
    DeadlineInQueue,
    /// The instance is draining.
    Draining,
    /// A non-idempotent call came without an idempotency token.
    TokenRequired,
    /// The idempotency token was given up by an earlier refusal.
    TokenBurned,
    /// The instance holds as many idempotency tokens as it may.
    TokensExhausted,
    /// The request id or token was used before with another method, path or body.
    RequestMismatch,
    /// The call that this sub-call belongs to is not running any more.
    ParentEnded,
    /// The context header was not issued by this node.
    ContextUnknown,
    /// A hop header is malformed, forged or replayed.
    HopRejected,
    /// The call chain is deeper than allowed.
    TooDeep,
    /// No service of this name is known.
    NoSuchService,
    /// No instance of the service can be reached.
    NoInstance,
    /// The byte budget of the link between regions is used up.
    LinkBudget,
    /// The target refused the call before running it.
    TargetRefused,
    /// The node cannot connect to its target.
    TargetUnreachable,
    /// The request is quarantined because it crashed targets.
    Quarantined,
    /// The request is malformed.
    BadRequest,
    /// The headers are larger than allowed.
    HeadersTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The node has not loaded its configuration yet, or is checking its view after a pause.
    NotReady,
    /// The caller withdrew the call before it started.
    Withdrawn,
    /// The peer speaks a version that this node does not understand.
    Version,
}

/// Why it is not known whether a call was run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownKind {
    /// The connection failed after the first byte was sent.
    ConnectionLost,
    /// The answer ended before it was complete.
    AnswerTruncated,
    /// The deadline passed while the call was running.
    Deadline,
    /// The call was cancelled while it was running.
    Cancelled,
    /// The call was cancelled to make room for one of higher priority.
    Preempted,
    /// The target crashed while it was running the call.
    TargetCrashed,
    /// The idempotency token was issued by an earlier incarnation.
    TokenForeign,
    /// The idempotency token is no longer valid.
    TokenExpired,
    /// A call with the same idempotency token is still running.
    InProgress,
    /// The answer is complete, but too large to be kept for a repeated request.
    AnswerNotKept,
}

/// The closed list of error kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "kind", rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The call was not run.
    NotRun(NotRunKind),
    /// It is not known whether the call was run.
    Unknown(UnknownKind),
}

impl ErrorKind {
    /// Returns whether another instance may be tried at once.
    ///
    /// It says that another instance may do better, not that running the call twice is harmless.
    pub fn try_other(self) -> bool {
        match self {
            ErrorKind::NotRun(kind) => matches!(
                kind,
                NotRunKind::Overloaded
                    | NotRunKind::Draining
                    | NotRunKind::TokensExhausted
                    | NotRunKind::TargetRefused
                    | NotRunKind::TargetUnreachable
                    | NotRunKind::NotReady
                    | NotRunKind::Version
            ),
            ErrorKind::Unknown(kind) => matches!(
                kind,
                UnknownKind::ConnectionLost | UnknownKind::AnswerTruncated | UnknownKind::Preempted
            ),
        }
    }
}

impl From<NotRunKind> for ErrorKind {
    fn from(kind: NotRunKind) -> ErrorKind {
        ErrorKind::NotRun(kind)
    }
}

impl From<UnknownKind> for ErrorKind {
    fn from(kind: UnknownKind) -> ErrorKind {
        ErrorKind::Unknown(kind)
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The target ran the call and its whole answer is here.
    Completed(A),
    /// The call was not run.
    NotRun(NotRunKind),
    /// It is not known whether the call was run.
    Unknown(UnknownKind),
}

impl<A> Outcome<A> {
    /// Builds the outcome of an error kind.
    pub fn from_kind(kind: ErrorKind) -> Outcome<A> {
        match kind {
            ErrorKind::NotRun(kind) => Outcome::NotRun(kind),
            ErrorKind::Unknown(kind) => Outcome::Unknown(kind),
        }
    }

    /// Returns the error kind, nothing for a whole answer.
    pub fn error(&self) -> Option<ErrorKind> {
        match self {
            Outcome::Completed(_) => None,
            Outcome::NotRun(kind) => Some(ErrorKind::NotRun(*kind)),
            Outcome::Unknown(kind) => Some(ErrorKind::Unknown(*kind)),
        }
    }

    /// Merges the outcome of a later attempt into that of the earlier ones.
    ///
    /// The result is [`Outcome::NotRun`] only if every attempt was.
    pub fn merge(self, later: Outcome<A>) -> Outcome<A> {
        match (self, later) {
            (Outcome::Completed(answer), _) => Outcome::Completed(answer),
            (_, Outcome::Completed(answer)) => Outcome::Completed(answer),
            (Outcome::Unknown(kind), _) => Outcome::Unknown(kind),
            (Outcome::NotRun(_), later) => later,
        }
    }
}
