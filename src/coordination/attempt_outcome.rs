//! What the end of an attempt says about the instance, and whether another attempt may follow.

use crate::coordination::retries;
use crate::coordination::target::AttemptOutcome;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// Lowest HTTP status that counts as a failure of the instance.
const SERVER_ERROR: u16 = 500;

/// Returns what the end of an attempt says about the instance.
pub fn classify(result: Result<u16, ErrorKind>) -> AttemptOutcome {
    match result {
        Ok(status) if status >= SERVER_ERROR => AttemptOutcome::Failed,
        Ok(_) => AttemptOutcome::Succeeded,
        Err(ErrorKind::NotRun(kind)) => of_not_run(kind),
        Err(ErrorKind::Unknown(kind)) => of_unknown(kind),
    }
}

/// Returns whether another attempt may follow one that ended with `kind`.
///
/// An instance that cannot be reached does not rule out the others.
pub fn may_retry(idempotent: bool, kind: ErrorKind) -> bool {
    kind == ErrorKind::NotRun(NotRunKind::NoInstance) || retries::may_follow(idempotent, kind)
}

fn of_not_run(kind: NotRunKind) -> AttemptOutcome {
    match kind {
        NotRunKind::Overloaded
        | NotRunKind::Shed
        | NotRunKind::DeadlineInQueue
        | NotRunKind::Draining
        | NotRunKind::TokensExhausted
        | NotRunKind::NotReady => AttemptOutcome::Refused,
        NotRunKind::NoInstance
        | NotRunKind::TargetUnreachable
        | NotRunKind::HopRejected
        | NotRunKind::Version => AttemptOutcome::Failed,
        NotRunKind::TargetRefused => AttemptOutcome::TargetUnavailable,
        NotRunKind::Withdrawn => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Succeeded,
    }
}

fn of_unknown(kind: UnknownKind) -> AttemptOutcome {
    match kind {
        UnknownKind::ConnectionLost
        | UnknownKind::AnswerTruncated
        | UnknownKind::Deadline
        | UnknownKind::TargetCrashed => AttemptOutcome::Failed,
        UnknownKind::Preempted => AttemptOutcome::Refused,
        UnknownKind::Cancelled => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Succeeded,
    }
}
