//! Error kinds and the outcome of a call.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Reason why a call was certainly not run.
///
/// Only code that can prove it may construct one: before the first byte is sent to the target, or
/// if the target itself refuses the call.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunKind {
    /// The instance has no free slot and the queue has no room for this priority.
    Overloaded,
    /// The admission level of this service, or of a service downstream, excludes the call.
    Shed,
    /// The deadline passed while the call was queued.
    DeadlineInQueue,
    /// The instance is shutting down and accepts no new calls.
    Draining,
    /// A non-idempotent call arrived without an idempotency token.
    TokenRequired,
    /// The idempotency token was invalidated by an earlier refusal.
    TokenBurned,
    /// The instance holds the maximum number of idempotency tokens.
    TokensExhausted,
    /// The request id or token was used before with another method, path or body.
    RequestMismatch,
    /// The parent call of this sub-call is no longer running.
    ParentEnded,
    /// The context header was not issued by this node.
    ContextUnknown,
    /// A hop header is malformed, forged or replayed.
    HopRejected,
    /// The call chain is deeper than allowed.
    TooDeep,
    /// No service with this name is known.
    NoSuchService,
    /// No instance of the service can be reached.
    NoInstance,
    /// The byte budget of the link between regions is exhausted.
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
    /// The node has not loaded its configuration yet, or is verifying its view of the fleet after a
    /// process pause.
    NotReady,
    /// The caller cancelled the call before it started.
    Withdrawn,
    /// The peer uses a protocol version that this node does not support.
    Version,
    /// The quota of the organisation is used up.
    OverQuota,
    /// The node cannot prove that its configuration is recent enough to accept keys.
    StaleConfiguration,
}

/// Reason why it is not known whether a call was run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownKind {
    /// The connection failed after the first byte was sent.
    ConnectionLost,
    /// The response ended before it was complete.
    AnswerTruncated,
    /// The deadline passed while the call was running.
    Deadline,
    /// The call was cancelled while it was running.
    Cancelled,
    /// The call was cancelled to free its slot for a call of higher priority.
    Preempted,
    /// The target crashed while it was running the call.
    TargetCrashed,
    /// The idempotency token was minted by another instance or an earlier incarnation.
    TokenForeign,
    /// The idempotency token has expired.
    TokenExpired,
    /// A call with the same idempotency token is still running.
    InProgress,
    /// The response was complete, but too large to be stored for a repeated request.
    AnswerNotKept,
}

/// Reason why a call has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "kind", rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The call was not run.
    NotRun(NotRunKind),
    /// It is not known whether the call was run.
    Unknown(UnknownKind),
}

impl ErrorKind {
    /// Returns whether another instance may be tried immediately.
    ///
    /// The result only means that another instance may succeed, not that it is safe to run the
    /// call twice.
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
    /// The target ran the call; this is its complete response.
    Completed(A),
    /// The call was not run.
    NotRun(NotRunKind),
    /// It is not known whether the call was run.
    Unknown(UnknownKind),
}

impl<A> Outcome<A> {
    /// Returns the outcome for an error kind.
    pub fn from_kind(kind: ErrorKind) -> Outcome<A> {
        match kind {
            ErrorKind::NotRun(kind) => Outcome::NotRun(kind),
            ErrorKind::Unknown(kind) => Outcome::Unknown(kind),
        }
    }

    /// Returns the error kind, or `None` for a complete response.
    pub fn error(&self) -> Option<ErrorKind> {
        match self {
            Outcome::Completed(_) => None,
            Outcome::NotRun(kind) => Some(ErrorKind::NotRun(*kind)),
            Outcome::Unknown(kind) => Some(ErrorKind::Unknown(*kind)),
        }
    }

    /// Merges the outcome of a later attempt with the outcome of the earlier attempts.
    ///
    /// The result is [`Outcome::NotRun`] only if no attempt was run.
    pub fn merge(self, later: Outcome<A>) -> Outcome<A> {
        match (self, later) {
            (Outcome::Completed(response), _) => Outcome::Completed(response),
            (_, Outcome::Completed(response)) => Outcome::Completed(response),
            (Outcome::Unknown(kind), _) => Outcome::Unknown(kind),
            (Outcome::NotRun(_), later) => later,
        }
    }
}
