//! Operator documentation of each error kind: its meaning and the recommended action.

use std::fmt::Write as _;

use strum::IntoEnumIterator;

use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::protocol::error_response::error_response;

/// Meaning of an error kind and the recommended action, as shown on the operators' page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// What happened to the call.
    pub meaning: &'static str,
    /// What the caller or the operator should do.
    pub action: &'static str,
}

/// Returns the advice with this meaning and action.
const fn row(meaning: &'static str, action: &'static str) -> Advice {
    Advice { meaning, action }
}

/// Returns the meaning of an error kind and the recommended action.
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
            "Wait for `Retry-After`. If it persists, check the service's admission level and \
             concurrency limit with `status`.",
        ),
        NotRunKind::Shed => row(
            "The service, or one that it depends on, admits only calls of a higher priority.",
            "Wait for `Retry-After`. Find the deepest service in the call chain that sheds load.",
        ),
        NotRunKind::DeadlineInQueue => row(
            "The caller's deadline passed while the call was queued.",
            "Raise the timeout of the rule only if the target is healthy.",
        ),
        NotRunKind::Draining => row(
            "The instance is draining.",
            "None; other instances are tried.",
        ),
        NotRunKind::TokenRequired => row(
            "A non-idempotent call arrived without an idempotency token.",
            "Send it again with the token in this response.",
        ),
        NotRunKind::TokenBurned => row(
            "The token was invalidated when the call was refused.",
            "Send the call with a new token.",
        ),
        NotRunKind::TokensExhausted => row(
            "The node's token memory is full.",
            "Wait for `Retry-After`; raise `token-memory` if it persists.",
        ),
        NotRunKind::RequestMismatch => row(
            "A request id or token was reused for a different request.",
            "Fix the caller.",
        ),
        NotRunKind::ParentEnded => row(
            "The parent call of this sub-call has ended.",
            "None; nothing waits for the response.",
        ),
        NotRunKind::ContextUnknown => row(
            "The context header was not issued by this node.",
            "Copy `dfl-context` from the request, and send sub-calls to the node beside the target.",
        ),
        NotRunKind::HopRejected => row(
            "The `dfl-hop` header between nodes is malformed, replayed or has a wrong signature.",
            "Compare the fleet keys of the two nodes.",
        ),
        NotRunKind::TooDeep => row(
            "The call chain is more than 32 calls deep.",
            "Look for services that call each other in a cycle.",
        ),
        NotRunKind::NoSuchService => row(
            "No service with this name is known.",
            "Check the name and the platform's instance list.",
        ),
        NotRunKind::NoInstance => row(
            "No instance of the service is reachable.",
            "Check the service's nodes with `status`.",
        ),
        NotRunKind::LinkBudget => row(
            "The byte budget of the link between regions is exhausted.",
            "Find out why the local region has no instances; raise the link's rate if the bandwidth \
             is paid for.",
        ),
        NotRunKind::TargetRefused => row(
            "The target refused the call before running it.",
            "None if the target sheds load; otherwise check the target.",
        ),
        NotRunKind::TargetUnreachable => row(
            "The node cannot connect to its target.",
            "Check the target's process and `address` in `[target]`.",
        ),
        NotRunKind::Quarantined => row(
            "The request crashed targets and is quarantined for 10 minutes.",
            "Find the request in the logs and fix the target.",
        ),
        NotRunKind::BadRequest => row("The request is malformed.", "Fix the caller."),
        NotRunKind::HeadersTooLarge => row(
            "The headers exceed the size limit.",
            "Fix the caller, or raise `max-header-bytes`.",
        ),
        NotRunKind::BodyTooLarge => row(
            "The body exceeds the size limit.",
            "Fix the caller, or raise `max-body-bytes`.",
        ),
        NotRunKind::NotReady => row(
            "The node has no configuration yet, or is revalidating its state after a process pause.",
            "Wait for `Retry-After`. If it persists, check the platform and the peers.",
        ),
        NotRunKind::Withdrawn => row("The caller withdrew the call.", "None."),
        NotRunKind::OverQuota => row(
            "The organisation has used up its quota over the whole fleet.",
            "Wait for `Retry-After`. Raise the organisation's rate if the load is wanted.",
        ),
        NotRunKind::StaleConfiguration => row(
            "The node cannot prove that its configuration is recent enough to accept keys.",
            "Wait for `Retry-After`. Check the platform's store and the links between nodes.",
        ),
        NotRunKind::Version => row(
            "The peer uses a protocol version that this node does not support.",
            "Complete the upgrade.",
        ),
    }
}

const fn unknown(kind: UnknownKind) -> Advice {
    match kind {
        UnknownKind::ConnectionLost => row(
            "The connection broke after the call was sent.",
            "Check the target and the network; before repeating a non-idempotent call, look up \
             whether it took effect.",
        ),
        UnknownKind::AnswerTruncated => row(
            "The response ended before it was complete.",
            "As for `connection-lost`.",
        ),
        UnknownKind::Deadline => row(
            "The caller's deadline passed while the call ran.",
            "Look for the slow service; before repeating a non-idempotent call, look up whether it \
             took effect.",
        ),
        UnknownKind::Cancelled => row(
            "The caller cancelled the call while it ran.",
            "None, unless callers give up too early.",
        ),
        UnknownKind::Preempted => row(
            "The idempotent call was stopped to free its slot for a call of a higher priority.",
            "Wait for `Retry-After`; the service is at its concurrency limit.",
        ),
        UnknownKind::TargetCrashed => row(
            "The target crashed while it ran the call.",
            "Do not repeat it unchecked; see the page on poison requests.",
        ),
        UnknownKind::TokenForeign => row(
            "The token was issued before the node was restarted.",
            "Look up whether the operation took effect before requesting a new token.",
        ),
        UnknownKind::TokenExpired => row("The token has expired.", "As for `token-foreign`."),
        UnknownKind::InProgress => row(
            "A call with the same token is still running.",
            "Wait for `Retry-After`, then send the same token again.",
        ),
        UnknownKind::AnswerNotKept => row(
            "The call completed, but its response was too large to be kept for repeats.",
            "Look up the result.",
        ),
    }
}

/// Renders the Markdown page that lists all error kinds.
pub fn render_page() -> String {
    let mut page = String::from(
        "# Error kinds\n\nThe response to a call that was not completed carries `dfl-outcome` \
         (`not-run` or `unknown`) and `dfl-error`. `not-run` is sent only if the call certainly did \
         not run. Generated from the code by `cargo test --test errors`.\n\n\
         | outcome | kind | status | Retry-After | tried at another instance | meaning | action |\n\
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
