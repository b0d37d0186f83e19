//! Names of the HTTP headers that nodes, callers and targets exchange.

/// Opaque call context that a target copies from the request to its sub-calls.
pub const CONTEXT: &str = "dfl-context";

/// Request id, optionally set by the caller. Requests with the same id are the same user request.
pub const REQUEST_ID: &str = "dfl-request-id";

/// Number of times that the caller has sent this request before.
pub const ATTEMPT: &str = "dfl-attempt";

/// Time for which the caller still waits for the response, in milliseconds.
pub const TIMEOUT_MS: &str = "dfl-timeout-ms";

/// Idempotency token: sent with a non-idempotent request, or offered in a response.
pub const TOKEN: &str = "dfl-token";

/// Signed call context that one node sends to another, see [`Hop`](crate::protocol::hop::Hop).
pub const HOP: &str = "dfl-hop";

/// Outcome of the call: `completed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "dfl-outcome";

/// Error kind of a call that was not completed.
pub const ERROR: &str = "dfl-error";

/// Name of the instance that sent the response.
pub const INSTANCE: &str = "dfl-instance";

/// Admission level and load of the responding instance.
pub const LEVEL: &str = "dfl-level";

/// Extra attempts used by the call and all its sub-calls.
pub const EXTRA_ATTEMPTS_USED: &str = "dfl-spent";

/// Set by a target that refused the call before running it.
pub const REFUSED: &str = "dfl-refused";

/// Prefix of all headers that this project defines.
pub const PREFIX: &str = "dfl-";

/// Hop-by-hop headers of HTTP, which apply to a single connection and are not forwarded.
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

/// Returns whether the header `name` is forwarded to or from a target.
pub fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name))
}

/// Headers that may differ between two copies of the same request without changing its meaning.
pub const NOT_FINGERPRINTED: [&str; 7] = [
    "content-length",
    "date",
    "host",
    "traceparent",
    "tracestate",
    "x-forwarded-for",
    "x-request-id",
];

/// Returns whether the header `name` is included in the fingerprint of a request.
///
/// All headers are included except those that are known not to change the response.
pub fn is_fingerprinted(name: &str) -> bool {
    let excluded = NOT_FINGERPRINTED
        .iter()
        .any(|h| h.eq_ignore_ascii_case(name));
    let has_prefix = name
        .get(..PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(PREFIX));
    is_forwarded(name) && !excluded && !has_prefix
}
