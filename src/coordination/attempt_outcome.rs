//! Classification of an attempt's result: what it shows about the instance, and whether another
//! attempt may follow.

use crate::coordination::retries;
use crate::coordination::target::AttemptOutcome;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;

/// Lowest HTTP status that counts as a failure of the instance.
const MIN_FAILURE_STATUS: u16 = 500;

/// Returns what the result of an attempt, an HTTP status or an error, shows about the instance.
pub fn classify(result: Result<u16, ErrorKind>) -> AttemptOutcome {
    match result {
        Ok(status) if status >= MIN_FAILURE_STATUS => AttemptOutcome::Failed,
        Ok(_) => AttemptOutcome::Succeeded,
        Err(ErrorKind::NotRun(kind)) => classify_not_run(kind),
        Err(ErrorKind::Unknown(kind)) => classify_unknown(kind),
    }
}

/// Returns whether the node that sent an attempt may send another one after it failed with `kind`.
///
/// [`retries::is_retryable`] decides, except that [`NotRunKind::NoInstance`] always allows another
/// attempt, because other instances may be reachable.
pub fn allows_another_attempt(idempotent: bool, kind: ErrorKind) -> bool {
    kind == ErrorKind::NotRun(NotRunKind::NoInstance) || retries::is_retryable(idempotent, kind)
}

fn classify_not_run(kind: NotRunKind) -> AttemptOutcome {
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

fn classify_unknown(kind: UnknownKind) -> AttemptOutcome {
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
