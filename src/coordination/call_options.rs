//! How a call is treated, with or without a rule.

use std::time::Duration;

use crate::call::CallContext;
use crate::call::DEFAULT_SPARE_ATTEMPTS;
use crate::call::Priority;
use crate::call::RequestId;
use crate::policy::CallRule;

/// Timeout of a call that no rule governs.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Methods that are idempotent where no rule says otherwise.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// CallOptions of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Priority of the call.
    pub priority: Priority,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time after which nobody waits for the answer.
    pub timeout: Duration,
    /// Spare attempts for the whole call tree.
    pub spare: u32,
    /// Whether the call may leave its region.
    pub cross_region: bool,
}

impl CallOptions {
    /// Returns the treatment under `rule`, or the default for `method`.
    pub fn new(rule: Option<&CallRule>, method: &str) -> CallOptions {
        match rule {
            Some(rule) => CallOptions {
                priority: rule.priority,
                idempotent: rule.idempotent,
                timeout: rule.timeout,
                spare: rule.retries.unwrap_or(DEFAULT_SPARE_ATTEMPTS),
                cross_region: rule.cross_region,
            },
            None => CallOptions {
                priority: Priority::Normal,
                idempotent: SAFE_METHODS.contains(&method),
                timeout: DEFAULT_TIMEOUT,
                spare: 0,
                cross_region: false,
            },
        }
    }

    /// Builds the context of a call that enters from outside.
    ///
    /// A call that its caller sends again gets no spare attempts.
    pub fn root_context(
        &self,
        request: RequestId,
        caller_waits: Option<Duration>,
        resent: bool,
    ) -> CallContext {
        CallContext {
            request,
            priority: self.priority,
            idempotent: self.idempotent,
            remaining: caller_waits.map_or(self.timeout, |t| t.min(self.timeout)),
            spare: if resent { 0 } else { self.spare },
            depth: 0,
            moved: false,
        }
    }
}
