//! Interpretation of a call's outcome for admission control and for the calls that share its run.

use crate::coordination::admission::RunResult;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;

/// Returns the error kind for followers of a run that gave no response to share, or `None` if the
/// run certainly did not take place.
pub(super) fn unknown_after_run<A>(outcome: &Outcome<Option<A>>) -> Option<UnknownKind> {
    match outcome {
        Outcome::Completed(_) => Some(UnknownKind::AnswerNotKept),
        Outcome::NotRun(_) => None,
        Outcome::Unknown(kind) => Some(*kind),
    }
}

/// Returns whether a run ended for a reason that concerns only its leader, not its followers.
pub(super) fn is_leader_specific<A>(outcome: &Outcome<Option<A>>) -> bool {
    match outcome {
        Outcome::Completed(response) => response.is_none(),
        Outcome::NotRun(kind) => {
            matches!(kind, NotRunKind::DeadlineInQueue | NotRunKind::Withdrawn)
        }
        Outcome::Unknown(kind) => matches!(
            kind,
            UnknownKind::Deadline | UnknownKind::Cancelled | UnknownKind::Preempted
        ),
    }
}

/// Returns the result that is reported to admission control.
pub(super) fn run_result<A>(outcome: &Outcome<Option<A>>) -> RunResult {
    match outcome {
        Outcome::Completed(_) => RunResult::Ok,
        Outcome::Unknown(
            UnknownKind::Cancelled | UnknownKind::Deadline | UnknownKind::Preempted,
        ) => RunResult::Cancelled,
        Outcome::NotRun(_) | Outcome::Unknown(_) => RunResult::Failed,
    }
}
