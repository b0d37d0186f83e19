//! The table from error kind to answer.

use std::time::Duration;

use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// How an error kind is told to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Retry-After`, where waiting helps.
    pub retry_after: Option<Duration>,
    /// Whether another instance may be tried at once.
    pub try_other: bool,
}

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(30));

type Row = (u16, Option<Duration>);

/// Returns how `kind` is told to a caller.
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
        NotRunKind::Overloaded => (503, SOON),
        NotRunKind::Shed => (503, SOON),
        NotRunKind::DeadlineInQueue => (504, None),
        NotRunKind::Draining => (503, SOON),
        NotRunKind::TokenRequired => (428, None),
        NotRunKind::TokenBurned => (409, None),
        NotRunKind::TokensExhausted => (503, SOON),
        NotRunKind::RequestMismatch => (422, None),
        NotRunKind::ParentEnded => (410, None),
        NotRunKind::ContextUnknown => (403, None),
        NotRunKind::HopRejected => (403, None),
        NotRunKind::TooDeep => (508, None),
        NotRunKind::NoSuchService => (404, None),
        NotRunKind::NoInstance => (503, SOON),
        NotRunKind::LinkBudget => (503, SOON),
        NotRunKind::TargetRefused => (503, SOON),
        NotRunKind::TargetUnreachable => (503, SOON),
        NotRunKind::Quarantined => (503, LATER),
        NotRunKind::BadRequest => (400, None),
        NotRunKind::HeadersTooLarge => (431, None),
        NotRunKind::BodyTooLarge => (413, None),
        NotRunKind::NotReady => (503, SOON),
        NotRunKind::Withdrawn => (499, None),
        NotRunKind::Version => (505, None),
    }
}

fn unknown(kind: UnknownKind) -> Row {
    match kind {
        UnknownKind::ConnectionLost => (502, None),
        UnknownKind::AnswerTruncated => (502, None),
        UnknownKind::Deadline => (504, None),
        UnknownKind::Cancelled => (499, None),
        UnknownKind::Preempted => (503, SOON),
        UnknownKind::TargetCrashed => (502, None),
        UnknownKind::TokenForeign => (409, None),
        UnknownKind::TokenExpired => (409, None),
        UnknownKind::InProgress => (409, SOON),
        UnknownKind::AnswerNotKept => (409, None),
    }
}
