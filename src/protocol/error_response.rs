//! HTTP responses to error kinds: status, `Retry-After`, and whether another instance is tried.

use std::time::Duration;

use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// HTTP response to a call that failed with an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header; `None` where a retry would fail the same way.
    pub retry_after: Option<Duration>,
    /// Whether the call may be sent to another instance immediately.
    pub try_other: bool,
}

/// `Retry-After` of short-lived conditions such as overload.
const SHORT_RETRY: Option<Duration> = Some(Duration::from_secs(1));
/// `Retry-After` of quarantined requests.
const LONG_RETRY: Option<Duration> = Some(Duration::from_secs(30));

/// HTTP status code and `Retry-After` of an error kind.
type Row = (u16, Option<Duration>);

/// Returns the HTTP response to a call that failed with `kind`.
pub fn error_response(kind: ErrorKind) -> ErrorResponse {
    let (status, retry_after) = match kind {
        ErrorKind::NotRun(kind) => not_run(kind),
        ErrorKind::Unknown(kind) => unknown(kind),
    };
    ErrorResponse {
        status,
        retry_after,
        try_other: kind.try_other(),
    }
}

fn not_run(kind: NotRunKind) -> Row {
    match kind {
        NotRunKind::Overloaded => (503, SHORT_RETRY),
        NotRunKind::Shed => (503, SHORT_RETRY),
        NotRunKind::DeadlineInQueue => (504, None),
        NotRunKind::Draining => (503, SHORT_RETRY),
        NotRunKind::TokenRequired => (428, None),
        NotRunKind::TokenBurned => (409, None),
        NotRunKind::TokensExhausted => (503, SHORT_RETRY),
        NotRunKind::RequestMismatch => (422, None),
        NotRunKind::ParentEnded => (410, None),
        NotRunKind::ContextUnknown => (403, None),
        NotRunKind::HopRejected => (403, None),
        NotRunKind::TooDeep => (508, None),
        NotRunKind::NoSuchService => (404, None),
        NotRunKind::NoInstance => (503, SHORT_RETRY),
        NotRunKind::LinkBudget => (503, SHORT_RETRY),
        NotRunKind::TargetRefused => (503, SHORT_RETRY),
        NotRunKind::TargetUnreachable => (503, SHORT_RETRY),
        NotRunKind::Quarantined => (503, LONG_RETRY),
        NotRunKind::BadRequest => (400, None),
        NotRunKind::HeadersTooLarge => (431, None),
        NotRunKind::BodyTooLarge => (413, None),
        NotRunKind::NotReady => (503, SHORT_RETRY),
        NotRunKind::Withdrawn => (499, None),
        NotRunKind::Version => (505, None),
        NotRunKind::OverQuota => (429, SHORT_RETRY),
        NotRunKind::StaleConfiguration => (503, SHORT_RETRY),
    }
}

fn unknown(kind: UnknownKind) -> Row {
    match kind {
        UnknownKind::ConnectionLost => (502, None),
        UnknownKind::AnswerTruncated => (502, None),
        UnknownKind::Deadline => (504, None),
        UnknownKind::Cancelled => (499, None),
        UnknownKind::Preempted => (503, SHORT_RETRY),
        UnknownKind::TargetCrashed => (502, None),
        UnknownKind::TokenForeign => (409, None),
        UnknownKind::TokenExpired => (409, None),
        UnknownKind::InProgress => (409, SHORT_RETRY),
        UnknownKind::AnswerNotKept => (409, None),
    }
}
