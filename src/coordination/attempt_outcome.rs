//! Classification of an attempt's result: what it shows about the instance, and whether another
//! attempt may follow.

use crate::coordination::budget;
use crate::coordination::target::Verdict;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// Lowest HTTP status that counts as a failure of the instance.
const SERVER_ERROR: u16 = 500;

/// Returns what the result of an attempt, an HTTP status or an error, shows about the instance.
pub fn classify(result: Result<u16, ErrorKind>) -> Verdict {
    match result {
        Ok(status) if status >= SERVER_ERROR => Verdict::Failed,
        Ok(_) => Verdict::Worked,
        Err(ErrorKind::NotRun(kind)) => of_not_run(kind),
        Err(ErrorKind::Unknown(kind)) => of_unknown(kind),
    }
}

/// Returns whether another attempt may follow one that failed with `kind`.
///
/// [`NotRunKind::NoInstance`] always allows it, because other instances may be reachable.
pub fn may_retry(idempotent: bool, kind: ErrorKind) -> bool {
    kind == ErrorKind::NotRun(NotRunKind::NoInstance) || budget::may_follow(idempotent, kind)
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
