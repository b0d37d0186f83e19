//! What the end of an attempt says about the instance, and whether another attempt may follow.

use crate::coordination::retries;
use crate::coordination::target::Verdict;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// Lowest HTTP status that counts as a failure of the instance.
const SERVER_ERROR: u16 = 500;

/// Returns what the end of an attempt says about the instance.
pub fn of(result: Result<u16, ErrorKind>) -> Verdict {
    match result {
        Ok(status) if status >= SERVER_ERROR => Verdict::Failed,
        Ok(_) => Verdict::Worked,
        Err(ErrorKind::NotRun(kind)) => of_not_run(kind),
        Err(ErrorKind::Unknown(kind)) => of_unknown(kind),
    }
}

/// Returns whether another attempt may follow one that ended with `kind`.
///
/// An instance that cannot be reached does not rule out the others.
pub fn may_follow(idempotent: bool, kind: ErrorKind) -> bool {
    kind == ErrorKind::NotRun(NotRunKind::NoInstance) || retries::may_follow(idempotent, kind)
}

fn of_not_run(kind: NotRunKind) -> Verdict {
    match kind {
        NotRunKind::Overloaded
        | NotRunKind::Shed
        | NotRunKind::DeadlineInQueue
        | NotRunKind::Draining
        | NotRunKind::TokensExhausted
        | NotRunKind::NotReady => Verdict::Refused,
        NotRunKind::NoInstance
        | NotRunKind::TargetUnreachable
        | NotRunKind::HopRejected
        | NotRunKind::Version => Verdict::Failed,
        NotRunKind::TargetRefused => Verdict::Unfit,
        NotRunKind::Withdrawn => Verdict::Abandoned,
        _ => Verdict::Worked,
    }
}

fn of_unknown(kind: UnknownKind) -> Verdict {
    match kind {
        UnknownKind::ConnectionLost
        | UnknownKind::AnswerTruncated
        | UnknownKind::Deadline
        | UnknownKind::TargetCrashed => Verdict::Failed,
        UnknownKind::Preempted => Verdict::Refused,
        UnknownKind::Cancelled => Verdict::Abandoned,
        _ => Verdict::Worked,
    }
}
