//! Options of a call, from the policy rule that applies or from defaults.

use std::time::Duration;

use crate::call::CallContext;
use crate::call::DEFAULT_SPARE_ATTEMPTS;
use crate::call::Priority;
use crate::call::RequestId;
use crate::policy::CallRule;

/// Timeout of a call to which no rule applies.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Methods that are idempotent unless a rule specifies otherwise.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Options that govern one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Priority of the call.
    pub priority: Priority,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time until the response is no longer needed.
    pub timeout: Duration,
    /// Number of spare attempts for the whole call tree.
    pub spare: u32,
    /// Whether the call may be sent to another region.
    pub cross_region: bool,
}

impl CallOptions {
    /// Returns the options given by `rule`, or the defaults for `method` without a rule.
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

    /// Builds the context of a call that enters from outside the fleet.
    ///
    /// `caller_waits` is the caller's own timeout, which applies if it is shorter. A call that its
    /// caller sends again (`resent`) gets no spare attempts.
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
