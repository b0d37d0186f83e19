//! What the outcome of a call means for admission and for the calls that share its run.

use crate::coordination::admission::RunResult;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;

/// Returns what a run that gave no answer to share leaves unknown.
pub(super) fn lost<A>(outcome: &Outcome<Option<A>>) -> Option<UnknownKind> {
    match outcome {
        Outcome::Completed(_) => Some(UnknownKind::AnswerNotKept),
        Outcome::NotRun(_) => None,
        Outcome::Unknown(kind) => Some(*kind),
    }
}

/// Returns whether a run ended for a reason of its leader's own, that says nothing to its followers.
pub(super) fn is_own_end<A>(outcome: &Outcome<Option<A>>) -> bool {
    match outcome {
        Outcome::Completed(answer) => answer.is_none(),
        Outcome::NotRun(kind) => {
            matches!(kind, NotRunKind::DeadlineInQueue | NotRunKind::Withdrawn)
        }
        Outcome::Unknown(kind) => matches!(
            kind,
            UnknownKind::Deadline | UnknownKind::Cancelled | UnknownKind::Preempted
        ),
    }
}

/// Returns how admission takes the end of a run.
pub(super) fn run_result<A>(outcome: &Outcome<Option<A>>) -> RunResult {
    match outcome {
        Outcome::Completed(_) => RunResult::Ok,
        Outcome::Unknown(
            UnknownKind::Cancelled | UnknownKind::Deadline | UnknownKind::Preempted,
        ) => RunResult::Cancelled,
        Outcome::NotRun(_) | Outcome::Unknown(_) => RunResult::Failed,
    }
}
