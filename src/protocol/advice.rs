//! What each error kind means to an operator, and what to do about it.

use std::fmt::Write as _;

use strum::IntoEnumIterator;

use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::protocol::error_response::error_response;

/// What an error kind means, and what to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// What happened.
    pub meaning: &'static str,
    /// What the caller or the operator does.
    pub action: &'static str,
}

const fn row(meaning: &'static str, action: &'static str) -> Advice {
    Advice { meaning, action }
}

/// Returns the advice about a kind.
pub const fn advice(kind: ErrorKind) -> Advice {
    match kind {
        ErrorKind::NotRun(kind) => not_run(kind),
        ErrorKind::Unknown(kind) => unknown(kind),
    }
}

const fn not_run(kind: NotRunKind) -> Advice {
    match kind {
        NotRunKind::Overloaded => row(
            "No slot is free and the queue has no room for this priority.",
            "Wait as told. If it lasts, see the level and limit of the service in `status`.",
        ),
        NotRunKind::Shed => row(
            "The service, or one behind it, lets in only more important calls.",
            "Wait as told. Look for the deepest service that sheds.",
        ),
        NotRunKind::DeadlineInQueue => row(
            "The caller's time was over before the call could start.",
            "Raise the timeout of the rule only if the target is healthy.",
        ),
        NotRunKind::Draining => row(
            "The instance is leaving.",
            "Nothing; other instances are tried.",
        ),
        NotRunKind::TokenRequired => row(
            "A non-idempotent call came without a token.",
            "Send it again with the token of this answer.",
        ),
        NotRunKind::TokenBurned => row(
            "The token was given up when the call was refused.",
            "Send the call with a new token.",
        ),
        NotRunKind::TokensExhausted => row(
            "The node holds as many tokens as its memory allows.",
            "Wait as told; raise `token-memory` if it lasts.",
        ),
        NotRunKind::RequestMismatch => row(
            "A request id or token was used again for another request.",
            "Mend the caller.",
        ),
        NotRunKind::ParentEnded => row(
            "The call that this sub-call belongs to is over.",
            "Nothing; nobody waits for the answer.",
        ),
        NotRunKind::ContextUnknown => row(
            "The context header was not issued by this node.",
            "Copy `dfl-context` from the request, and send sub-calls to the own node.",
        ),
        NotRunKind::HopRejected => row(
            "The header between nodes is malformed, forged or replayed.",
            "Compare the fleet keys of the two nodes.",
        ),
        NotRunKind::TooDeep => row(
            "The call chain is deeper than 32.",
            "Look for services that call each other in a circle.",
        ),
        NotRunKind::NoSuchService => row(
            "No service of this name is known.",
            "Check the name, and the platform's instance list.",
        ),
        NotRunKind::NoInstance => row(
            "No instance of the service can be reached.",
            "Check the service's nodes with `status`.",
        ),
        NotRunKind::LinkBudget => row(
            "The byte budget of the link between regions is used up.",
            "Find out why the own region has no instances; raise the link's rate if it is paid for.",
        ),
        NotRunKind::TargetRefused => row(
            "The target refused the call before it ran.",
            "Nothing, if the target sheds load; else look at the target.",
        ),
        NotRunKind::TargetUnreachable => row(
            "The node cannot connect to its target.",
            "Check the target's process and `address` in `[target]`.",
        ),
        NotRunKind::Quarantined => row(
            "The request crashed targets and is not run for 10 minutes.",
            "Find the request by its log lines; mend the target.",
        ),
        NotRunKind::BadRequest => row("The request is malformed.", "Mend the caller."),
        NotRunKind::HeadersTooLarge => row(
            "The headers are larger than allowed.",
            "Mend the caller, or raise `max-header-bytes`.",
        ),
        NotRunKind::BodyTooLarge => row(
            "The body is larger than allowed.",
            "Mend the caller, or raise `max-body-bytes`.",
        ),
        NotRunKind::NotReady => row(
            "The node has no configuration yet, or checks its view after a pause.",
            "Wait as told. If it lasts, check the platform and the peers.",
        ),
        NotRunKind::Withdrawn => row("The caller withdrew the call.", "Nothing."),
        NotRunKind::Version => row(
            "The peer speaks a version that this node does not understand.",
            "Finish the upgrade.",
        ),
    }
}

const fn unknown(kind: UnknownKind) -> Advice {
    match kind {
        UnknownKind::ConnectionLost => row(
            "The connection broke after the call was sent.",
            "Check the target and the network; look up a charge before repeating it.",
        ),
        UnknownKind::AnswerTruncated => row(
            "The answer ended before it was complete.",
            "As for connection-lost.",
        ),
        UnknownKind::Deadline => row(
            "The caller's time was over while the call ran.",
            "Look for the slow service; look up a charge before repeating it.",
        ),
        UnknownKind::Cancelled => row(
            "The caller gave up while the call ran.",
            "Nothing, unless callers give up early.",
        ),
        UnknownKind::Preempted => row(
            "The lookup gave way to a more important call.",
            "Wait as told; the service is full.",
        ),
        UnknownKind::TargetCrashed => row(
            "The target crashed while it ran the call.",
            "Do not repeat it blindly; see the page on poison requests.",
        ),
        UnknownKind::TokenForeign => row(
            "The token was issued before the node was restarted.",
            "Look up whether the operation took place before asking for a new token.",
        ),
        UnknownKind::TokenExpired => row("The token is no longer valid.", "As for token-foreign."),
        UnknownKind::InProgress => row(
            "A call with the same token still runs.",
            "Wait as told, then send the same token again.",
        ),
        UnknownKind::AnswerNotKept => row(
            "The call completed, but its answer is too large to be kept.",
            "Look up the result.",
        ),
    }
}

/// Writes the page that lists all error kinds.
pub fn page() -> String {
    let mut page = String::from(
        "# Error kinds\n\nA call that was not completed is answered with `dfl-outcome` (`not-run` \
         or `unknown`) and `dfl-error`. `not-run` is said only where it is certain. Generated from \
         the code by `cargo test --test errors`.\n\n\
         | outcome | kind | status | Retry-After | another instance is tried | meaning | what to do |\n\
         |---|---|---|---|---|---|---|\n",
    );
    let not_run = NotRunKind::iter().map(|kind| ("not-run", kind.to_string(), kind.into()));
    let unknown = UnknownKind::iter().map(|kind| ("unknown", kind.to_string(), kind.into()));
    for (outcome, name, kind) in not_run.chain(unknown) {
        let response = error_response(kind);
        let wait = response
            .retry_after
            .map_or_else(String::new, |wait| format!("{} s", wait.as_secs()));
        let other = if response.try_other { "yes" } else { "no" };
        let Advice { meaning, action } = advice(kind);
        let _ = writeln!(
            page,
            "| {outcome} | `{name}` | {} | {wait} | {other} | {meaning} | {action} |",
            response.status
        );
    }
    page
}
