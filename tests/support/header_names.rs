//! Header names that the tests of the plain HTTP/1.1 request path use.

use dragonflylead::relay::header_names::HeaderNames;

/// Header names that the tests use.
pub(crate) const HEADER_NAMES: HeaderNames = HeaderNames {
    request_id: "X-Id",
    deadline_ms: "X-Deadline",
    target_instance: "X-Target",
    caller_service: "X-Caller",
    organisation: "X-Organisation",
    signature: "X-Signature",
    not_run: "X-Not-Run",
    instance: "X-Instance",
    load: "X-Load",
};
