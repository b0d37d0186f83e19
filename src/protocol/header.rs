//! Names of the headers that the system reads and writes.

/// Opaque context that an application copies onto its sub-calls.
pub const CONTEXT: &str = "dfl-context";

/// Request id that a caller may supply; the same id is the same user request.
pub const REQUEST_ID: &str = "dfl-request-id";

/// Number of times that the caller sent this request before.
pub const ATTEMPT: &str = "dfl-attempt";

/// Time that the caller still waits, in milliseconds.
pub const TIMEOUT_MS: &str = "dfl-timeout-ms";

/// Idempotency token, on a request to spend it, on an answer to offer one.
pub const TOKEN: &str = "dfl-token";

/// Signed call context between nodes.
pub const HOP: &str = "dfl-hop";

/// Outcome of the call: `completed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "dfl-outcome";

/// Error kind of a call that was not completed.
pub const ERROR: &str = "dfl-error";

/// Instance that gave the answer.
pub const INSTANCE: &str = "dfl-instance";

/// Admission level and load of the answering instance.
pub const LEVEL: &str = "dfl-level";

/// Spare attempts that the call and everything below it used.
pub const SPENT: &str = "dfl-spent";

/// A target's own statement that it refused the call before running it.
pub const REFUSED: &str = "dfl-refused";

/// Prefix shared by all headers of the system.
pub const PREFIX: &str = "dfl-";

/// Headers that belong to one connection and are not forwarded.
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header named `name` is forwarded to or from a target.
pub fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name))
}

/// Headers that differ between two copies of the same request without changing its meaning.
pub const PER_COPY: [&str; 7] = [
    "content-length",
    "date",
    "host",
    "traceparent",
    "tracestate",
    "x-forwarded-for",
    "x-request-id",
];

/// Returns whether a header named `name` is part of what a request asks for.
///
/// Any header that is not known to be harmless counts, as it may change the answer.
pub fn is_fingerprinted(name: &str) -> bool {
    let per_copy = PER_COPY.iter().any(|h| h.eq_ignore_ascii_case(name));
    let own = name
        .get(..PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(PREFIX));
    is_forwarded(name) && !per_copy && !own
}
