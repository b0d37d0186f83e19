//! The table from error kind to answer.

use std::time::Duration;

use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// How an error kind is told to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Retry-After`, where waiting helps.
    pub retry_after: Option<Duration>,
    /// Whether another instance may be tried at once.
    pub try_other: bool,
}

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(30));

const fn row(status: u16, retry_after: Option<Duration>, try_other: bool) -> Answer {
    Answer {
        status,
        retry_after,
        try_other,
    }
}

/// Returns how `kind` is told to a caller.
pub fn answer(kind: ErrorKind) -> Answer {
    match kind {
        ErrorKind::NotRun(kind) => not_run(kind),
        ErrorKind::Unknown(kind) => unknown(kind),
    }
}

fn not_run(kind: NotRunKind) -> Answer {
    match kind {
        NotRunKind::Overloaded => row(503, SOON, true),
        NotRunKind::Shed => row(503, SOON, false),
        NotRunKind::DeadlineInQueue => row(504, None, false),
        NotRunKind::Draining => row(503, SOON, true),
        NotRunKind::TokenRequired => row(428, None, false),
        NotRunKind::TokenBurned => row(409, None, false),
        NotRunKind::TokensExhausted => row(503, SOON, true),
        NotRunKind::RequestMismatch => row(422, None, false),
        NotRunKind::ParentEnded => row(410, None, false),
        NotRunKind::ContextUnknown => row(403, None, false),
        NotRunKind::HopRejected => row(403, None, false),
        NotRunKind::TooDeep => row(508, None, false),
        NotRunKind::NoSuchService => row(404, None, false),
        NotRunKind::NoInstance => row(503, SOON, false),
        NotRunKind::LinkBudget => row(503, SOON, false),
        NotRunKind::TargetRefused => row(503, SOON, true),
        NotRunKind::Quarantined => row(503, LATER, false),
        NotRunKind::BadRequest => row(400, None, false),
        NotRunKind::HeadersTooLarge => row(431, None, false),
        NotRunKind::BodyTooLarge => row(413, None, false),
        NotRunKind::NotReady => row(503, SOON, true),
        NotRunKind::Withdrawn => row(499, None, false),
        NotRunKind::Version => row(505, None, true),
    }
}

fn unknown(kind: UnknownKind) -> Answer {
    match kind {
        UnknownKind::ConnectionLost => row(502, None, true),
        UnknownKind::AnswerTruncated => row(502, None, true),
        UnknownKind::Deadline => row(504, None, false),
        UnknownKind::Cancelled => row(499, None, false),
        UnknownKind::Preempted => row(503, SOON, true),
        UnknownKind::TargetCrashed => row(502, None, false),
        UnknownKind::TokenForeign => row(409, None, false),
        UnknownKind::TokenExpired => row(409, None, false),
        UnknownKind::InProgress => row(409, SOON, false),
        UnknownKind::AnswerNotKept => row(409, None, false),
    }
}
